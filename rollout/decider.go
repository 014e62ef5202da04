// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"math"
	"time"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
)

const (
	// slowBuckets above the median of the version in service an answer counts as bad: two and
	// a half times as long.
	slowBuckets = 5
	// leastForMedian is how many answers of the version in service a median takes.
	leastForMedian = 8
	// worseBy is by how much larger the part of bad answers is that is looked for.
	worseBy = 0.25
	// What is taken of a version in service before anything was seen of it.
	priorBad, priorAnswers = 0.6, 20.0
	leastBad, mostBad      = 0.01, 0.6
	// proven is the evidence at which a version counts as bad: e to this power to one that its
	// answers come from a worse one. Suspected holds the rollout where it is.
	proven    = 9.0
	suspected = proven / 2
)

// When each phase begins, as a part of the time that the order gives.
const (
	rampFrom = 0.55
	fullFrom = 0.75
	// endFrom is when a rollout ends at the earliest: a version that turns bad before can still
	// be left.
	endFrom = 0.9
	// lastDoubt is when a version under suspicion is rolled back.
	lastDoubt = 0.9
	// fullAtLeast is for how long all traffic goes to the target before the rollout ends: a
	// version may turn bad under load.
	fullAtLeast = 400 * time.Millisecond
)

// Judge decides about one rollout by what all hosts have seen. The zero value works for any.
type Judge struct {
	given history.Point
	hosts map[member.HostID]*reported
	// old and worse are, by subject, what was seen of the versions in service, and the evidence
	// that the target is worse; all is the evidence of all subjects together.
	old   map[Subject]*Tally
	worse map[Subject]float64
	all   float64
	// fullSince is when the phase was first seen to be Full.
	fullSince time.Time
}

// reported is what a host reported last.
type reported struct {
	epoch   uint64
	at      time.Time
	phase   Phase
	running int
	tallies map[side]Tally
}

// Take takes in a host's report. One of another order starts anew.
func (j *Judge) Take(now time.Time, r Report) {
	if j.hosts == nil || r.Given.After(j.given) {
		*j = Judge{given: r.Given, hosts: map[member.HostID]*reported{}, old: map[Subject]*Tally{}, worse: map[Subject]float64{}}
	}
	if r.Given != j.given {
		return
	}
	h := j.hosts[r.From]
	if h == nil || h.epoch != r.Epoch {
		h = &reported{epoch: r.Epoch, tallies: map[side]Tally{}}
		j.hosts[r.From] = h
	}
	h.at, h.phase, h.running = now, r.Phase, r.Running
	// The versions in service first: the target is measured against them.
	for _, target := range []bool{false, true} {
		for _, e := range r.Evidence {
			if e.Target != target {
				continue
			}
			at := side{e.Subject, e.Target}
			before, seen := h.tallies[at]
			added := e.Tally
			if seen {
				added = e.since(&before)
			}
			h.tallies[at] = e.Tally
			j.count(at, &added)
		}
	}
}

func (j *Judge) count(at side, added *Tally) {
	if !at.target {
		if j.old[at.Subject] == nil {
			j.old[at.Subject] = &Tally{}
		}
		j.old[at.Subject].add(added)
		return
	}
	usual, limit := j.usual(at.Subject)
	bad := float64(added.Failed + added.slower(limit))
	good := float64(added.Good+added.Failed) - bad
	worse := min(usual+worseBy, 0.95)
	// A sequential test (CUSUM): each answer weighs by how much likelier it is from the worse
	// version, and evidence for the better one isn't saved up against later answers.
	weight := bad*math.Log(worse/usual) + good*math.Log((1-worse)/(1-usual))
	j.worse[at.Subject] = max(j.worse[at.Subject]+weight, 0)
	j.all = max(j.all+weight, 0)
}

// usual is which part of the answers of the versions in service is bad, and the highest bucket of
// a time that isn't.
func (j *Judge) usual(s Subject) (part float64, limit int) {
	old := j.old[s]
	if old == nil {
		old = &Tally{}
	}
	limit = bucketCount
	if old.Good >= leastForMedian {
		limit = old.median() + slowBuckets
	}
	bad := float64(old.Failed + old.slower(limit))
	answers := float64(old.Good+old.Failed) + priorAnswers
	part = (bad + priorBad) / answers
	// A standard deviation more: few answers may have shown too small a part.
	part += math.Sqrt(part * (1 - part) / answers)
	return min(max(part, leastBad), mostBad), limit
}

// Against is the evidence that the target version is worse; at proven it counts as bad.
func (j *Judge) Against() float64 {
	most := j.all
	for _, w := range j.worse {
		most = max(most, w)
	}
	return most
}

// Fleet is what a host that decides sees of the upstreams and hosts.
type Fleet struct {
	// HasTarget says that upstreams of the target version take work.
	HasTarget bool
	// Hosts are those that are heard, with this one; nil for all that report, where no host hears
	// all others.
	Hosts []member.HostID
}

// Decide returns the phase that the rollout should be in.
func (j *Judge) Decide(now time.Time, s Status, f Fleet) Phase {
	against := j.Against()
	if j.given != s.Given {
		against = 0
	}
	part := float64(s.Age) / float64(max(s.Lasts, time.Second))
	switch {
	case s.Withdrawn || s.Phase.Ended():
		return s.Phase
	case against >= proven, part >= 1 && !f.HasTarget:
		return RolledBack
	case against >= suspected:
		if part >= lastDoubt {
			return RolledBack
		}
		return s.Phase
	case !f.HasTarget:
		return s.Phase
	}
	switch s.Phase {
	case Trial:
		if part >= rampFrom {
			return Ramp
		}
	case Ramp:
		if part >= fullFrom {
			return Full
		}
	case Full:
		if j.fullSince.IsZero() {
			j.fullSince = now
		}
		if now.Sub(j.fullSince) >= fullAtLeast && part >= endFrom && j.left(now, s.Given, f.Hosts) {
			return Completed
		}
	}
	return s.Phase
}

// reportsWithin is how long a host counts that has reported.
const reportsWithin = 15 * time.Second

// left reports whether every host has said that nothing of its runs on the versions to be left.
func (j *Judge) left(now time.Time, given history.Point, hosts []member.HostID) bool {
	if j.given != given {
		return false
	}
	if hosts == nil {
		for id, h := range j.hosts {
			if now.Sub(h.at) <= reportsWithin {
				hosts = append(hosts, id)
			}
		}
	}
	for _, id := range hosts {
		if h := j.hosts[id]; h == nil || h.phase < Full || h.running > 0 {
			return false
		}
	}
	return true
}
