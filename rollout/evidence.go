// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"math"
	"sync"
	"time"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/resource"
)

// Comparison identifies one comparison between versions: one measure on one route.
type Comparison struct {
	Route   string
	Measure Measure
}

// Measure says which time of an answer was measured.
type Measure int

// The measures.
const (
	// ResponseTime is the time to the end of a plain answer.
	ResponseTime Measure = iota
	// TimeToFirstEvent is the time to the first event of a stream.
	TimeToFirstEvent
	// TimeBetweenEvents is the mean time between the events of a stream.
	TimeBetweenEvents
)

const (
	// bucketsPerDoubling is the resolution of Tally.Times: each doubling of the time spans this
	// many buckets.
	bucketsPerDoubling = 4
	bucketCount        = 80
	// minBucketTime is where the first bucket starts. It counts shorter times, too.
	minBucketTime = time.Millisecond
)

// Tally counts the answers of one version for one Comparison.
type Tally struct {
	Succeeded, Failed uint32
	// Times is a histogram of the times of the successful answers. Its buckets grow
	// exponentially, with bucketsPerDoubling buckets for each doubling of the time.
	Times [bucketCount]uint32
}

// timeBucket returns the index in Tally.Times of the bucket for d.
func timeBucket(d time.Duration) int {
	if d <= minBucketTime {
		return 0
	}
	index := int(bucketsPerDoubling * math.Log2(float64(d)/float64(minBucketTime)))
	return min(max(index, 0), bucketCount-1)
}

func (t *Tally) add(o *Tally) {
	t.Succeeded, t.Failed = t.Succeeded+o.Succeeded, t.Failed+o.Failed
	for i := range o.Times {
		t.Times[i] += o.Times[i]
	}
}

// countedSince returns what was counted after before, an earlier state of the same tally. It
// returns all of t if before is nil or has greater counts than t, which then isn't its successor.
func (t *Tally) countedSince(before *Tally) Tally {
	if before == nil || before.Succeeded > t.Succeeded || before.Failed > t.Failed {
		return *t
	}
	diff := Tally{Succeeded: t.Succeeded - before.Succeeded, Failed: t.Failed - before.Failed}
	for i := range t.Times {
		diff.Times[i] = t.Times[i] - before.Times[i]
	}
	return diff
}

// medianBucket returns the index of the bucket that holds the median time of the successful
// answers.
func (t *Tally) medianBucket() int {
	n := uint32(0)
	for i, count := range t.Times {
		if n += count; 2*n >= t.Succeeded {
			return i
		}
	}
	return bucketCount - 1
}

// Median returns the approximate median time of the successful answers, rounded up to the end of
// its bucket; zero if there are none.
func (t *Tally) Median() time.Duration {
	if t.Succeeded == 0 {
		return 0
	}
	return time.Duration(float64(minBucketTime) * math.Exp2(float64(t.medianBucket()+1)/bucketsPerDoubling))
}

// countSlower returns how many successful answers are in buckets above limit.
func (t *Tally) countSlower(limit int) uint32 {
	n := uint32(0)
	for _, count := range t.Times[min(limit+1, bucketCount):] {
		n += count
	}
	return n
}

// Evidence is what one host has observed of the target version, or of all others, for one
// Comparison.
type Evidence struct {
	Comparison
	// Target says that the tally counts answers of the target version.
	Target bool
	Tally
}

// Report is what a host reports of a rollout to the host that decides on it.
type Report struct {
	From    member.HostID
	Service resource.Name
	GivenAt history.Point
	// Phase is the phase that the reporting host applies, and Age how long the order has been
	// known there.
	Phase Phase
	Age   time.Duration
	// RunningRetired is how many of the host's requests still run on retired versions.
	RunningRetired int
	// Epoch distinguishes this process of the host from earlier ones, whose counts started at
	// zero, too.
	Epoch uint64
	// Evidence holds the totals of everything observed since the order was given.
	Evidence []Evidence
}

// Observations collects what a host observes of the versions of services with a rollout. The zero
// value is ready for use. It is safe for concurrent use.
type Observations struct {
	mu       sync.Mutex
	services map[resource.Name]*serviceObservations
}

// serviceObservations are the observations since the last order for one service.
type serviceObservations struct {
	givenAt history.Point
	tallies map[tallyKey]*Tally
	// count is the number of observations so far.
	count uint64
}

// tallyKey identifies a tally: a comparison, and whether it counts answers of the target version or
// of others.
type tallyKey struct {
	Comparison
	target bool
}

// Begin starts collecting for the order of s, and discards what was observed before that order.
func (o *Observations) Begin(s Status) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.services == nil {
		o.services = map[resource.Name]*serviceObservations{}
	}
	if observations := o.services[s.Service]; observations == nil || observations.givenAt != s.GivenAt {
		o.services[s.Service] = &serviceObservations{givenAt: s.GivenAt, tallies: map[tallyKey]*Tally{}}
	}
}

// RecordAnswer counts one answer, or one failure to answer. It ignores services for which Begin was
// not called.
func (o *Observations) RecordAnswer(service resource.Name, comparison Comparison, target, failed bool, took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	observations := o.services[service]
	if observations == nil {
		return
	}
	observations.count++
	key := tallyKey{comparison, target}
	t := observations.tallies[key]
	if t == nil {
		t = &Tally{}
		observations.tallies[key] = t
	}
	if failed {
		t.Failed++
		return
	}
	t.Succeeded++
	t.Times[timeBucket(took)]++
}

// Evidence returns what was observed since the order was given, and the number of observations.
func (o *Observations) Evidence(service resource.Name) ([]Evidence, uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	observations := o.services[service]
	if observations == nil {
		return nil, 0
	}
	all := make([]Evidence, 0, len(observations.tallies))
	for key, t := range observations.tallies {
		all = append(all, Evidence{Comparison: key.Comparison, Target: key.target, Tally: *t})
	}
	return all, observations.count
}
