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

// Subject is what answers are compared of: a route's, and what was measured of them.
type Subject struct {
	Route   string
	Measure Measure
}

// Measure says what of an answer was measured.
type Measure int

// The measures.
const (
	// Whole is a whole answer's time.
	Whole Measure = iota
	// First is the time to the first event of a stream.
	First
	// Pace is the mean time between the events of a stream.
	Pace
)

const (
	// bucketsPerDoubling is how finely times are told apart.
	bucketsPerDoubling = 4
	bucketCount        = 80
	leastTime          = time.Millisecond
)

// Tally counts answers of one version.
type Tally struct {
	Good, Failed uint32
	// Times counts the good answers by how long they took, each bucket a fourth of a doubling.
	Times [bucketCount]uint32
}

func bucket(d time.Duration) int {
	if d <= leastTime {
		return 0
	}
	at := int(bucketsPerDoubling * math.Log2(float64(d)/float64(leastTime)))
	return min(max(at, 0), bucketCount-1)
}

func (t *Tally) add(o *Tally) {
	t.Good, t.Failed = t.Good+o.Good, t.Failed+o.Failed
	for i := range o.Times {
		t.Times[i] += o.Times[i]
	}
}

// since is what was counted after an earlier state of the same tally.
func (t *Tally) since(before *Tally) Tally {
	if before == nil || before.Good > t.Good || before.Failed > t.Failed {
		return *t
	}
	d := Tally{Good: t.Good - before.Good, Failed: t.Failed - before.Failed}
	for i := range t.Times {
		d.Times[i] = t.Times[i] - before.Times[i]
	}
	return d
}

// median is the bucket in which half of the good answers are reached.
func (t *Tally) median() int {
	n := uint32(0)
	for i, count := range t.Times {
		if n += count; 2*n >= t.Good {
			return i
		}
	}
	return bucketCount - 1
}

// Median is about how long half of the good answers took at most.
func (t *Tally) Median() time.Duration {
	if t.Good == 0 {
		return 0
	}
	return time.Duration(float64(leastTime) * math.Exp2(float64(t.median()+1)/bucketsPerDoubling))
}

// slower counts the good answers above a bucket.
func (t *Tally) slower(than int) uint32 {
	n := uint32(0)
	for _, count := range t.Times[min(than+1, bucketCount):] {
		n += count
	}
	return n
}

// Evidence is what one host has seen of a rollout's versions.
type Evidence struct {
	Subject
	// Target says that it is of the target version.
	Target bool
	Tally
}

// Report is what a host has seen of a rollout, for the one that decides.
type Report struct {
	From    member.HostID
	Service resource.Name
	Given   history.Point
	// Phase is the one that the host keeps to, and Age how long ago the order was known there.
	Phase Phase
	Age   time.Duration
	// Running is how many of its requests run on versions that are to be left.
	Running int
	// Epoch tells this process of the host from an earlier one.
	Epoch uint64
	// Evidence is all that the host has seen since the order.
	Evidence []Evidence
}

// Observations are what a host sees of the versions of services with a rollout. The zero value
// works. It is safe for use by several goroutines.
type Observations struct {
	mu       sync.Mutex
	services map[resource.Name]*observed
}

type observed struct {
	given   history.Point
	tallies map[side]*Tally
	// count rises with each observation.
	count uint64
}

type side struct {
	Subject
	target bool
}

// Begin forgets what was seen before an order.
func (o *Observations) Begin(s Status) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.services == nil {
		o.services = map[resource.Name]*observed{}
	}
	if seen := o.services[s.Service]; seen == nil || seen.given != s.Given {
		o.services[s.Service] = &observed{given: s.Given, tallies: map[side]*Tally{}}
	}
}

// Answer takes in one answer, or the lack of one.
func (o *Observations) Answer(service resource.Name, subject Subject, target, failed bool, took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := o.services[service]
	if seen == nil {
		return
	}
	seen.count++
	at := side{subject, target}
	t := seen.tallies[at]
	if t == nil {
		t = &Tally{}
		seen.tallies[at] = t
	}
	if failed {
		t.Failed++
		return
	}
	t.Good++
	t.Times[bucket(took)]++
}

// Report returns what was seen since the order, and a count that rises with each observation.
func (o *Observations) Report(service resource.Name) ([]Evidence, uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := o.services[service]
	if seen == nil {
		return nil, 0
	}
	all := make([]Evidence, 0, len(seen.tallies))
	for at, t := range seen.tallies {
		all = append(all, Evidence{Subject: at.Subject, Target: at.target, Tally: *t})
	}
	return all, seen.count
}
