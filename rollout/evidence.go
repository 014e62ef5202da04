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

// Comparison is what answers are compared of: a route's, and what was measured of them.
type Comparison struct {
	Route   string
	Measure Measure
}

// Measure says what of an answer was measured.
type Measure int

// The measures.
const (
	// ResponseTime is a whole answer's time.
	ResponseTime Measure = iota
	// TimeToFirstEvent is the time to the first event of a stream.
	TimeToFirstEvent
	// TimeBetweenEvents is the mean time between the events of a stream.
	TimeBetweenEvents
)

const (
	// bucketsPerDoubling is how finely times are told apart.
	bucketsPerDoubling = 4
	bucketCount        = 80
	minBucketTime      = time.Millisecond
)

// Tally counts answers of one version.
type Tally struct {
	Succeeded, Failed uint32
	// Times counts the good answers by how long they took, each bucket a fourth of a doubling.
	Times [bucketCount]uint32
}

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

// countedSince is what was counted after an earlier state of the same tally.
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

// medianBucket is the bucket in which half of the good answers are reached.
func (t *Tally) medianBucket() int {
	n := uint32(0)
	for i, count := range t.Times {
		if n += count; 2*n >= t.Succeeded {
			return i
		}
	}
	return bucketCount - 1
}

// Median is about how long half of the good answers took at most.
func (t *Tally) Median() time.Duration {
	if t.Succeeded == 0 {
		return 0
	}
	return time.Duration(float64(minBucketTime) * math.Exp2(float64(t.medianBucket()+1)/bucketsPerDoubling))
}

// countSlower counts the good answers above a bucket.
func (t *Tally) countSlower(limit int) uint32 {
	n := uint32(0)
	for _, count := range t.Times[min(limit+1, bucketCount):] {
		n += count
	}
	return n
}

// Evidence is what one host has seen of a rollout's versions.
type Evidence struct {
	Comparison
	// Target says that it is of the target version.
	Target bool
	Tally
}

// Report is what a host has seen of a rollout, for the one that decides.
type Report struct {
	From    member.HostID
	Service resource.Name
	GivenAt history.Point
	// Phase is the one that the host keeps to, and Age how long ago the order was known there.
	Phase Phase
	Age   time.Duration
	// RunningRetired is how many of its requests run on versions that are to be left.
	RunningRetired int
	// Epoch tells this process of the host from an earlier one.
	Epoch uint64
	// Evidence is all that the host has seen since the order.
	Evidence []Evidence
}

// Observations are what a host sees of the versions of services with a rollout. The zero value
// works. It is safe for use by several goroutines.
type Observations struct {
	mu       sync.Mutex
	services map[resource.Name]*serviceObservations
}

type serviceObservations struct {
	givenAt history.Point
	tallies map[tallyKey]*Tally
	// count rises with each observation.
	count uint64
}

type tallyKey struct {
	Comparison
	target bool
}

// Begin forgets what was seen before an order.
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

// RecordAnswer takes in one answer, or the lack of one.
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

// Evidence returns what was seen since the order, and a count that rises with each observation.
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
