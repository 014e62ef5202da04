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
	// slowBucketOffset above the median of the version in service an answer counts as bad: two and
	// a half times as long.
	slowBucketOffset = 5
	// minAnswersForMedian is how many answers of the version in service a median takes.
	minAnswersForMedian = 8
	// badRateIncrease is by how much larger the part of bad answers is that is looked for.
	badRateIncrease = 0.25
	// What is taken of a version in service before anything was seen of it.
	priorBadAnswers, priorAnswers = 0.6, 20.0
	minBadRate, maxBadRate        = 0.01, 0.6
	// provenEvidence is the evidence at which a version counts as bad: e to this power to one that its
	// answers come from a worse one. Suspected holds the rollout where it is.
	provenEvidence    = 9.0
	suspicionEvidence = provenEvidence / 2
)

// When each phase begins, as a part of the time that the order gives.
const (
	rampStart = 0.55
	fullStart = 0.75
	// earliestCompletion is when a rollout ends at the earliest: a version that turns bad before can still
	// be left.
	earliestCompletion = 0.9
	// suspicionDeadline is when a version under suspicion is rolled back.
	suspicionDeadline = 0.9
	// minFullDuration is for how long all traffic goes to the target before the rollout ends: a
	// version may turn bad under load.
	minFullDuration = 400 * time.Millisecond
)

// Decider decides about one rollout by what all hosts have seen. The zero value works for any.
type Decider struct {
	givenAt history.Point
	hosts   map[member.HostID]*hostReport
	// baseline and worse are, by subject, what was seen of the versions in service, and the evidence
	// that the target is worse; all is the evidence of all subjects together.
	baseline      map[Comparison]*Tally
	evidence      map[Comparison]float64
	totalEvidence float64
	// fullSince is when the phase was first seen to be Full.
	fullSince time.Time
}

// hostReport is what a host hostReport last.
type hostReport struct {
	epoch          uint64
	receivedAt     time.Time
	phase          Phase
	runningRetired int
	tallies        map[tallyKey]Tally
}

// ReceiveReport takes in a host's report. One of another order starts anew.
func (d *Decider) ReceiveReport(now time.Time, r Report) {
	if d.hosts == nil || r.GivenAt.After(d.givenAt) {
		*d = Decider{givenAt: r.GivenAt, hosts: map[member.HostID]*hostReport{}, baseline: map[Comparison]*Tally{}, evidence: map[Comparison]float64{}}
	}
	if r.GivenAt != d.givenAt {
		return
	}
	h := d.hosts[r.From]
	if h == nil || h.epoch != r.Epoch {
		h = &hostReport{epoch: r.Epoch, tallies: map[tallyKey]Tally{}}
		d.hosts[r.From] = h
	}
	h.receivedAt, h.phase, h.runningRetired = now, r.Phase, r.RunningRetired
	// The versions in service first: the target is measured against them.
	for _, target := range []bool{false, true} {
		for _, e := range r.Evidence {
			if e.Target != target {
				continue
			}
			key := tallyKey{e.Comparison, e.Target}
			before, seen := h.tallies[key]
			added := e.Tally
			if seen {
				added = e.countedSince(&before)
			}
			h.tallies[key] = e.Tally
			d.addEvidence(key, &added)
		}
	}
}

func (d *Decider) addEvidence(key tallyKey, added *Tally) {
	if !key.target {
		if d.baseline[key.Comparison] == nil {
			d.baseline[key.Comparison] = &Tally{}
		}
		d.baseline[key.Comparison].add(added)
		return
	}
	baselineRate, limit := d.baselineBadRate(key.Comparison)
	bad := float64(added.Failed + added.countSlower(limit))
	good := float64(added.Succeeded+added.Failed) - bad
	worseRate := min(baselineRate+badRateIncrease, 0.95)
	// A sequential test (CUSUM): each answer weighs by how much likelier it is from the worse
	// version, and evidence for the better one isn't saved up against later answers.
	weight := bad*math.Log(worseRate/baselineRate) + good*math.Log((1-worseRate)/(1-baselineRate))
	d.evidence[key.Comparison] = max(d.evidence[key.Comparison]+weight, 0)
	d.totalEvidence = max(d.totalEvidence+weight, 0)
}

// baselineBadRate is which part of the answers of the versions in service is bad, and the highest bucket of
// a time that isn't.
func (d *Decider) baselineBadRate(key Comparison) (rate float64, limit int) {
	baseline := d.baseline[key]
	if baseline == nil {
		baseline = &Tally{}
	}
	limit = bucketCount
	if baseline.Succeeded >= minAnswersForMedian {
		limit = baseline.medianBucket() + slowBucketOffset
	}
	bad := float64(baseline.Failed + baseline.countSlower(limit))
	answers := float64(baseline.Succeeded+baseline.Failed) + priorAnswers
	rate = (bad + priorBadAnswers) / answers
	// A standard deviation more: few answers may have shown too small a part.
	rate += math.Sqrt(rate * (1 - rate) / answers)
	return min(max(rate, minBadRate), maxBadRate), limit
}

// EvidenceAgainst is the evidence that the target version is worse; at proven it counts as bad.
func (d *Decider) EvidenceAgainst() float64 {
	maxEvidence := d.totalEvidence
	for _, evidence := range d.evidence {
		maxEvidence = max(maxEvidence, evidence)
	}
	return maxEvidence
}

// FleetState is what a host that decides sees of the upstreams and hosts.
type FleetState struct {
	// TargetAvailable says that upstreams of the target version take work.
	TargetAvailable bool
	// Hosts are those that are heard, with this one; nil for all that report, where no host hears
	// all others.
	Hosts []member.HostID
}

// Decide returns the phase that the rollout should be in.
func (d *Decider) Decide(now time.Time, s Status, f FleetState) Phase {
	evidence := d.EvidenceAgainst()
	if d.givenAt != s.GivenAt {
		evidence = 0
	}
	elapsed := float64(s.Age) / float64(max(s.Duration, time.Second))
	switch {
	case s.Withdrawn || s.Phase.Ended():
		return s.Phase
	case evidence >= provenEvidence, elapsed >= 1 && !f.TargetAvailable:
		return RolledBack
	case evidence >= suspicionEvidence:
		if elapsed >= suspicionDeadline {
			return RolledBack
		}
		return s.Phase
	case !f.TargetAvailable:
		return s.Phase
	}
	switch s.Phase {
	case Trial:
		if elapsed >= rampStart {
			return Ramp
		}
	case Ramp:
		if elapsed >= fullStart {
			return Full
		}
	case Full:
		if d.fullSince.IsZero() {
			d.fullSince = now
		}
		if now.Sub(d.fullSince) >= minFullDuration && elapsed >= earliestCompletion && d.oldVersionsDrained(now, s.GivenAt, f.Hosts) {
			return Completed
		}
	}
	return s.Phase
}

// reportMaxAge is how long a host counts that has reported.
const reportMaxAge = 15 * time.Second

// oldVersionsDrained reports whether every host has said that nothing of its runs on the versions to be oldVersionsDrained.
func (d *Decider) oldVersionsDrained(now time.Time, given history.Point, hosts []member.HostID) bool {
	if d.givenAt != given {
		return false
	}
	if hosts == nil {
		for id, h := range d.hosts {
			if now.Sub(h.receivedAt) <= reportMaxAge {
				hosts = append(hosts, id)
			}
		}
	}
	for _, id := range hosts {
		if h := d.hosts[id]; h == nil || h.phase < Full || h.runningRetired > 0 {
			return false
		}
	}
	return true
}
