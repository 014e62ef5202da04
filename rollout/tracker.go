// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/resource"
)

// Limits bounds how many requests of all hosts together go to a version on trial.
type Limits struct {
	// Share is the allowed share of the service's requests, from 0 to 1. Slack is a number of
	// requests that is allowed in addition.
	Share, Slack float64
}

const (
	// trialShareFraction is the fraction of the allowed share that phase Trial uses. The rest is
	// reserved for the requests between the move of all traffic and the detection of a version that
	// turns bad late.
	trialShareFraction = 0.4
	// trialSlackFraction is the fraction of the slack that is used from the start, so that the
	// target version gets requests even if a service has few.
	trialSlackFraction = 0.3
	// rampShare is the share of the requests that goes to the target version in phase Ramp.
	rampShare = 0.12
	// maxCredit bounds how many requests a host may send at once after a time in which no upstream
	// of the target version was available.
	maxCredit = 2
)

// Tracker holds what a host knows of the rollouts. The zero value knows none and is ready for use. It
// is safe for concurrent use.
type Tracker struct {
	// Random returns a random number in [0, 1); nil stands for rand.Float64.
	Random func() float64

	// hasEntries says that there is a rollout of some service. Most requests need only this and
	// don't lock mu.
	hasEntries atomic.Bool

	mu      sync.Mutex
	entries map[resource.Name]*entry
}

// entry is the rollout of one service.
type entry struct {
	Status
	// knownSince is when any host first learnt of the order, as far as known here.
	knownSince time.Time
	// credit is how many requests this host may send to the target version now.
	credit float64
	// hadOtherVersions says that upstreams of other versions were available at some time since
	// the order was given.
	hadOtherVersions bool
}

// Any reports whether a rollout of some service is known.
func (t *Tracker) Any() bool { return t.hasEntries.Load() }

// Receive applies the status of a rollout that the origin or a peer reported. hosts is the number of
// hosts that share the slack. Receive reports whether the status has a new order, a withdrawal or a
// later phase.
func (t *Tracker) Receive(now time.Time, s Status, limits Limits, hosts int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[s.Service]
	switch {
	case e == nil || e.supersededBy(&s):
		if e == nil && s.Withdrawn {
			return false
		}
		if s.Recorded.IsZero() {
			s.RecordedPhase = noPhase
		}
		if s.Withdrawn {
			s.Target, s.Phase, s.Duration = e.Target, e.Phase, e.Duration
		}
		newEntry := &entry{Status: s, knownSince: now.Add(-s.Age)}
		if e != nil && !s.Recorded.After(e.Recorded) {
			newEntry.Recorded, newEntry.RecordedPhase = e.Recorded, noPhase
		}
		// Random rounding, so that the hosts' parts of the slack add up to the whole even if each
		// is much less than one request.
		draw := t.Random
		if draw == nil {
			draw = rand.Float64
		}
		newEntry.credit = draw() + trialSlackFraction*limits.Slack/float64(max(hosts, 1))
		if t.entries == nil {
			t.entries = map[resource.Name]*entry{}
		}
		t.entries[s.Service] = newEntry
		t.hasEntries.Store(true)
		return true
	case s.GivenAt != e.GivenAt || s.Withdrawn != e.Withdrawn:
		return false
	}
	e.knownSince = earlier(e.knownSince, now.Add(-s.Age))
	e.updateRecorded(s.Recorded, s.RecordedPhase)
	if s.Phase <= e.Phase {
		return false
	}
	e.Phase = s.Phase
	return true
}

// noPhase is the RecordedPhase of an order without a recorded phase.
const noPhase Phase = -1

// updateRecorded applies a phase that the origin recorded at a point, unless a newer one is known.
func (e *entry) updateRecorded(at history.Point, p Phase) {
	if at.After(e.Recorded) {
		e.Recorded, e.RecordedPhase = at, p
	}
}

// ReceiveRecord applies the phase that the origin has recorded for a service. It reports whether the
// phase changed or the record is of an unknown rollout.
func (t *Tracker) ReceiveRecord(record Status) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[record.Service]
	if e == nil {
		// The origin has no order for the service, so the order was withdrawn.
		record.Withdrawn, record.RecordedPhase = true, record.Phase
		if t.entries == nil {
			t.entries = map[resource.Name]*entry{}
		}
		t.entries[record.Service] = &entry{Status: record}
		t.hasEntries.Store(true)
		return true
	}
	if record.Target != e.Target || record.GivenAt.Revision() != e.GivenAt.Revision() {
		e.updateRecorded(record.Recorded, noPhase)
		return false
	}
	e.updateRecorded(record.Recorded, record.Phase)
	if record.Phase <= e.Phase {
		return false
	}
	e.Phase = record.Phase
	return true
}

// ReceiveAge applies how long another host has known an order. A host that starts during a rollout
// reads the order from the origin, but not the time at which it was given.
func (t *Tracker) ReceiveAge(now time.Time, service resource.Name, givenAt history.Point, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[service]; e != nil && e.GivenAt == givenAt {
		e.knownSince = earlier(e.knownSince, now.Add(-age))
	}
}

// MarkRecorded notes that a phase was recorded at a point which is not known yet.
func (t *Tracker) MarkRecorded(service resource.Name, givenAt history.Point, p Phase) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[service]; e != nil && e.GivenAt == givenAt {
		e.RecordedPhase = max(e.RecordedPhase, p)
	}
}

// supersededBy reports whether s is of a later order. A store that was restored may return the same
// order at another point of its history; that order doesn't supersede e.
func (e *entry) supersededBy(s *Status) bool {
	if !s.GivenAt.After(e.GivenAt) {
		return false
	}
	sameOrder := s.Target == e.Target && s.Duration == e.Duration && s.GivenAt.Revision() == e.GivenAt.Revision()
	return !sameOrder || s.Withdrawn != e.Withdrawn
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// DrawFilter returns which versions a new request for a service may go to, and counts the request.
// available reports whether upstreams of the target version, and of other versions, are available for
// new requests. It is called without the tracker's lock, as it may wait for a caller of Retired.
func (t *Tracker) DrawFilter(service resource.Name, limits Limits, available func(target Version) (targetAvailable, othersAvailable bool)) VersionFilter {
	if !t.hasEntries.Load() {
		return VersionFilter{}
	}
	for {
		target, undecided := t.undecidedTarget(service)
		var targetAvailable, othersAvailable bool
		if undecided {
			targetAvailable, othersAvailable = available(target)
		}
		t.mu.Lock()
		e := t.entries[service]
		if e != nil && e.undecided() && (!undecided || e.Target != target) {
			t.mu.Unlock()
			continue // another order arrived meanwhile
		}
		filter := e.drawFilter(limits, targetAvailable, othersAvailable)
		t.mu.Unlock()
		return filter
	}
}

// undecidedTarget returns the target version of a service's rollout, and whether both it and the other
// versions may get new requests.
func (t *Tracker) undecidedTarget(service resource.Name) (Version, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[service]
	if e == nil {
		return "", false
	}
	return e.Target, e.undecided()
}

func (e *entry) undecided() bool {
	targetRetired, othersRetired := e.retiredVersions()
	return !targetRetired && !othersRetired
}

// drawFilter returns which versions a new request may go to. A nil entry stands for a service without a
// rollout.
func (e *entry) drawFilter(limits Limits, targetAvailable, othersAvailable bool) VersionFilter {
	if e == nil {
		return VersionFilter{}
	}
	if targetRetired, othersRetired := e.retiredVersions(); targetRetired {
		return VersionFilter{Except: e.Target}
	} else if othersRetired {
		return VersionFilter{}
	}
	e.hadOtherVersions = e.hadOtherVersions || othersAvailable
	if !e.hadOtherVersions {
		// No other version was available since the order was given, so the target version was in
		// service already.
		return VersionFilter{}
	}
	if e.accrueCredit(limits) && targetAvailable {
		e.credit--
		return VersionFilter{Only: e.Target}
	}
	return VersionFilter{Except: e.Target}
}

// accrueCredit adds the credit for one new request, and reports whether the credit suffices to send
// it to the target version.
func (e *entry) accrueCredit(limits Limits) bool {
	share := trialShareFraction * limits.Share
	if e.Phase == Ramp {
		share = rampShare
	}
	e.credit = min(e.credit+share, max(e.credit, maxCredit))
	return e.credit >= 1
}

// RetryFilter returns which versions a request may go to if it was sent to another upstream before,
// or moves.
func (t *Tracker) RetryFilter(service resource.Name) VersionFilter {
	if !t.hasEntries.Load() {
		return VersionFilter{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[service]
	if e == nil {
		return VersionFilter{}
	}
	if _, othersRetired := e.retiredVersions(); othersRetired || !e.hadOtherVersions && e.Phase < RolledBack {
		return VersionFilter{}
	}
	return VersionFilter{Except: e.Target}
}

// Retired reports whether a service's upstreams of a version get no new requests, and the requests
// that run there are to be moved.
func (t *Tracker) Retired(service resource.Name, v Version) bool {
	if !t.hasEntries.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[service]
	if e == nil {
		return false
	}
	targetRetired, othersRetired := e.retiredVersions()
	return targetRetired && v == e.Target || othersRetired && v != e.Target
}

// Statuses returns the known rollouts, sorted by service.
func (t *Tracker) Statuses(now time.Time) []Status {
	if !t.hasEntries.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Status, 0, len(t.entries))
	for _, e := range t.entries {
		s := e.Status
		s.Age = now.Sub(e.knownSince)
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

// ImpliedWithdrawals returns a withdrawal for each known rollout that is not in originStatuses, the
// complete list that the origin had at the point asOf. Orders that were given later are left out.
func (t *Tracker) ImpliedWithdrawals(originStatuses []Status, asOf history.Point) []Status {
	var withdrawals []Status
	for _, s := range t.Statuses(time.Time{}) {
		listed := slices.ContainsFunc(originStatuses, func(r Status) bool { return r.Service == s.Service })
		if !listed && !s.Withdrawn && asOf.After(s.GivenAt) {
			withdrawals = append(withdrawals, Status{Order: Order{Service: s.Service, GivenAt: asOf, Withdrawn: true}})
		}
	}
	return withdrawals
}
