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
	// slowBucketOffset is how many buckets above the median of the versions in service an answer
	// may be before it counts as bad: about two and a half times the median.
	slowBucketOffset = 5
	// minAnswersForMedian is how many successful answers of the versions in service are needed to
	// compute a median.
	minAnswersForMedian = 8
	// badRateIncrease is the increase of the rate of bad answers that the test looks for.
	badRateIncrease = 0.25
	// priorBadAnswers and priorAnswers are the counts assumed for the versions in service before
	// any answer was observed.
	priorBadAnswers, priorAnswers = 0.6, 20.0
	minBadRate, maxBadRate        = 0.01, 0.6
	// provenEvidence is the evidence, as a logarithm of a likelihood ratio, at which the target
	// version counts as bad. From suspicionEvidence on, the rollout stays in its phase.
	provenEvidence    = 9.0
	suspicionEvidence = provenEvidence / 2
)

// Times in a rollout. Those that are plain numbers are fractions of the order's duration.
const (
	rampStart = 0.55
	fullStart = 0.75
	// earliestCompletion is when a rollout completes at the earliest. A target version that turns
	// bad before that can still be rolled back.
	earliestCompletion = 0.9
	// suspicionDeadline is from when on a version under suspicion is rolled back.
	suspicionDeadline = 0.9
	// minFullDuration is how long all traffic goes to the target before the rollout completes,
	// because a version may turn bad only under full load.
	minFullDuration = 400 * time.Millisecond
)

// Decider decides on the phases of one service's rollout, from the reports of all hosts. The zero
// value is ready for use. It is not safe for concurrent use.
type Decider struct {
	givenAt history.Point
	hosts   map[member.HostID]*hostReport
	// baseline counts the answers of the versions in service, by comparison. evidence is the
	// evidence that the target version is worse, by comparison, and totalEvidence that of all
	// comparisons together.
	baseline      map[Comparison]*Tally
	evidence      map[Comparison]float64
	totalEvidence float64
	// fullSince is when Decide first found the rollout in phase Full, with the target version
	// available and not under suspicion.
	fullSince time.Time
}

// hostReport is the last report of a host.
type hostReport struct {
	epoch          uint64
	receivedAt     time.Time
	phase          Phase
	runningRetired int
	tallies        map[tallyKey]Tally
}

// ReceiveReport adds a host's report. The report of a later order discards everything known of the
// earlier one; reports of earlier orders are ignored.
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
	// The versions in service come first, because the target is compared with them.
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

// addEvidence adds newly counted answers to the baseline, or for the target version to the evidence
// against it.
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
	// A sequential test (CUSUM): each answer counts with the logarithm of how much likelier it is
	// from a worse version. The sum never drops below zero, so that good answers don't offset
	// later bad ones.
	weight := bad*math.Log(worseRate/baselineRate) + good*math.Log((1-worseRate)/(1-baselineRate))
	d.evidence[key.Comparison] = max(d.evidence[key.Comparison]+weight, 0)
	d.totalEvidence = max(d.totalEvidence+weight, 0)
}

// baselineBadRate returns the rate of bad answers of the versions in service, and the highest bucket
// whose answers don't count as bad for being slow.
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
	// Add a standard deviation, because the rate of a few answers may be too low.
	rate += math.Sqrt(rate * (1 - rate) / answers)
	return min(max(rate, minBadRate), maxBadRate), limit
}

// EvidenceAgainst returns the greatest evidence that the target version is worse than those in
// service, of any comparison or of all together. At provenEvidence the version counts as bad.
func (d *Decider) EvidenceAgainst() float64 {
	maxEvidence := d.totalEvidence
	for _, evidence := range d.evidence {
		maxEvidence = max(maxEvidence, evidence)
	}
	return maxEvidence
}

// FleetState is what the deciding host knows of the upstreams and hosts.
type FleetState struct {
	// TargetAvailable says that upstreams of the target version are available for new requests.
	TargetAvailable bool
	// Hosts are the live hosts, including the deciding one. If no host is in contact with all
	// others, Hosts is nil and stands for all hosts that reported lately.
	Hosts []member.HostID
}

// Decide returns the phase that the rollout should be in, which is the phase of s or a later one.
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

// reportMaxAge is how long after its last report a host is still waited for if FleetState.Hosts is nil.
const reportMaxAge = 15 * time.Second

// oldVersionsDrained reports whether every host has reported that it applies phase Full or a later
// one and that none of its requests runs on a retired version.
func (d *Decider) oldVersionsDrained(now time.Time, givenAt history.Point, hosts []member.HostID) bool {
	if d.givenAt != givenAt {
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
