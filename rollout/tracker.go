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

// Limits bound how many requests go to a version on trial, from all hosts together.
type Limits struct {
	// Share is the part of the service's requests, and Slack how many more.
	Share, Slack float64
}

const (
	// trialShareFraction of the allowed share goes to a version on trial. The rest is for what comes
	// between the move of all traffic and the moment at which a version that turns bad late is
	// found out.
	trialShareFraction = 0.4
	// trialSlackFraction of the slack is given out during the trial, so that a version is seen at all
	// where few requests come.
	trialSlackFraction = 0.3
	// rampShare of the requests goes to the target version in the second phase.
	rampShare = 0.12
	// maxCredit bounds what a host may send at once after a time in which the target version
	// had no upstream.
	maxCredit = 2
)

// Tracker is what a host knows of the rollouts. The zero value knows none and works. It is safe for
// use by several goroutines.
type Tracker struct {
	// Random returns a number from 0 to 1; nil draws at random.
	Random func() float64

	// hasEntries says that there is a rollout, which is all that most requests ask.
	hasEntries atomic.Bool

	mu      sync.Mutex
	entries map[resource.Name]*entry
}

// entry is one service's rollout.
type entry struct {
	Status
	// knownSince is when the order was first known of.
	knownSince time.Time
	// credit is how many requests this host may send to the target version now.
	credit float64
	// hadOtherVersions says that upstreams of other versions were there since the order was given.
	hadOtherVersions bool
}

// Any reports whether there is a rollout of some service.
func (t *Tracker) Any() bool { return t.hasEntries.Load() }

// Receive takes in what the origin or a peer says of a rollout. hosts is how many hosts share the
// slack. It reports whether that is news.
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
		// Rounded at random, so that the hosts' parts add up to the whole however small each is.
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

// noPhase stands for a phase that wasn't recorded.
const noPhase Phase = -1

// updateRecorded takes in what the origin has recorded.
func (e *entry) updateRecorded(at history.Point, p Phase) {
	if at.After(e.Recorded) {
		e.Recorded, e.RecordedPhase = at, p
	}
}

// ReceiveRecord takes in what the origin has recorded of a service. It reports whether a phase is news.
func (t *Tracker) ReceiveRecord(record Status) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[record.Service]
	if e == nil {
		// Its order was taken back.
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

// ReceiveAge takes in that an order was known to some host for a while: one that starts in the midst of
// a rollout reads the order, but not when it was given.
func (t *Tracker) ReceiveAge(now time.Time, service resource.Name, givenAt history.Point, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[service]; e != nil && e.GivenAt == givenAt {
		e.knownSince = earlier(e.knownSince, now.Add(-age))
	}
}

// MarkRecorded takes in that a phase was recorded, at a point that isn't known yet.
func (t *Tracker) MarkRecorded(service resource.Name, givenAt history.Point, p Phase) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[service]; e != nil && e.GivenAt == givenAt {
		e.RecordedPhase = max(e.RecordedPhase, p)
	}
}

// supersededBy reports whether another status is of a later order. A store that was restored may
// tell the same order at another point.
func (e *entry) supersededBy(s *Status) bool {
	if !s.GivenAt.After(e.GivenAt) {
		return false
	}
	sameOrder := s.Target == e.Target && s.Duration == e.Duration && s.GivenAt.Revision() == e.GivenAt.Revision()
	return !sameOrder || s.Withdrawn != e.Withdrawn
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// DrawFilter draws which upstreams of a service a new request may go to. hasTarget and hasOthers tell
// whether upstreams of the target version and of others take work.
func (t *Tracker) DrawFilter(service resource.Name, limits Limits, available func(target Version) (targetAvailable, othersAvailable bool)) VersionFilter {
	if !t.hasEntries.Load() {
		return VersionFilter{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[service]
	if e == nil {
		return VersionFilter{}
	}
	if targetRetired, othersRetired := e.retiredVersions(); targetRetired {
		return VersionFilter{Except: e.Target}
	} else if othersRetired {
		return VersionFilter{}
	}
	targetAvailable, othersAvailable := available(e.Target)
	e.hadOtherVersions = e.hadOtherVersions || othersAvailable
	if !e.hadOtherVersions {
		// The version was in service before the order.
		return VersionFilter{}
	}
	if e.accrueCredit(limits) && targetAvailable {
		e.credit--
		return VersionFilter{Only: e.Target}
	}
	return VersionFilter{Except: e.Target}
}

// accrueCredit counts a request, and reports whether it may go to the target version.
func (e *entry) accrueCredit(limits Limits) bool {
	share := trialShareFraction * limits.Share
	if e.Phase == Ramp {
		share = rampShare
	}
	e.credit = min(e.credit+share, max(e.credit, maxCredit))
	return e.credit >= 1
}

// RetryFilter is which upstreams a request may go to that another upstream has had, or that moves.
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

// Retired reports whether nothing new goes to a service's upstreams of a version, and what runs
// there is to leave.
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

// Statuses lists the rollouts by their services.
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
	slices.SortFunc(all, func(a, t Status) int { return cmp.Compare(a.Service, t.Service) })
	return all
}

// ImpliedWithdrawals lists the services of rollouts that a whole reading of the origin as of a point doesn't
// have.
func (t *Tracker) ImpliedWithdrawals(listed []Status, asOf history.Point) []Status {
	var withdrawals []Status
	for _, s := range t.Statuses(time.Time{}) {
		listed := slices.ContainsFunc(listed, func(r Status) bool { return r.Service == s.Service })
		if !listed && !s.Withdrawn && asOf.After(s.GivenAt) {
			withdrawals = append(withdrawals, Status{Order: Order{Service: s.Service, GivenAt: asOf, Withdrawn: true}})
		}
	}
	return withdrawals
}
