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
	// trialPart of the allowed share goes to a version on trial. The rest is for what comes
	// between the move of all traffic and the moment at which a version that turns bad late is
	// found out.
	trialPart = 0.4
	// slackPart of the slack is given out during the trial, so that a version is seen at all
	// where few requests come.
	slackPart = 0.3
	// rampPart of the requests goes to the target version in the second phase.
	rampPart = 0.12
	// mostSaved bounds what a host may send at once after a time in which the target version
	// had no upstream.
	mostSaved = 2
)

// Book is what a host knows of the rollouts. The zero value knows none and works. It is safe for
// use by several goroutines.
type Book struct {
	// Draw returns a number from 0 to 1; nil draws at random.
	Draw func() float64

	// some says that there is a rollout, which is all that most requests ask.
	some atomic.Bool

	mu      sync.Mutex
	entries map[resource.Name]*entry
}

// entry is one service's rollout.
type entry struct {
	Status
	// since is when the order was first known of.
	since time.Time
	// saved is how many requests this host may send to the target version now.
	saved float64
	// hadOthers says that upstreams of other versions were there since the order was given.
	hadOthers bool
}

// Any reports whether there is a rollout of some service.
func (b *Book) Any() bool { return b.some.Load() }

// Receive takes in what the origin or a peer says of a rollout. hosts is how many hosts share the
// slack. It reports whether that is news.
func (b *Book) Receive(now time.Time, s Status, l Limits, hosts int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[s.Service]
	switch {
	case e == nil || e.supersededBy(&s):
		if e == nil && s.Withdrawn {
			return false
		}
		if s.Recorded.IsZero() {
			s.RecordedPhase = noPhase
		}
		if s.Withdrawn {
			s.Target, s.Phase, s.Lasts = e.Target, e.Phase, e.Lasts
		}
		fresh := &entry{Status: s, since: now.Add(-s.Age)}
		if e != nil && !s.Recorded.After(e.Recorded) {
			fresh.Recorded, fresh.RecordedPhase = e.Recorded, noPhase
		}
		// Rounded at random, so that the hosts' parts add up to the whole however small each is.
		draw := b.Draw
		if draw == nil {
			draw = rand.Float64
		}
		fresh.saved = draw() + slackPart*l.Slack/float64(max(hosts, 1))
		if b.entries == nil {
			b.entries = map[resource.Name]*entry{}
		}
		b.entries[s.Service] = fresh
		b.some.Store(true)
		return true
	case s.Given != e.Given || s.Withdrawn != e.Withdrawn:
		return false
	}
	e.since = earlier(e.since, now.Add(-s.Age))
	e.note(s.Recorded, s.RecordedPhase)
	if s.Phase <= e.Phase {
		return false
	}
	e.Phase = s.Phase
	return true
}

// noPhase stands for a phase that wasn't recorded.
const noPhase Phase = -1

// note takes in what the origin has recorded.
func (e *entry) note(at history.Point, p Phase) {
	if at.After(e.Recorded) {
		e.Recorded, e.RecordedPhase = at, p
	}
}

// Record takes in what the origin has recorded of a service. It reports whether a phase is news.
func (b *Book) Record(r Status) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[r.Service]
	if e == nil {
		// Its order was taken back.
		r.Withdrawn, r.RecordedPhase = true, r.Phase
		if b.entries == nil {
			b.entries = map[resource.Name]*entry{}
		}
		b.entries[r.Service] = &entry{Status: r}
		b.some.Store(true)
		return true
	}
	if r.Target != e.Target || r.Given.Revision() != e.Given.Revision() {
		e.note(r.Recorded, noPhase)
		return false
	}
	e.note(r.Recorded, r.Phase)
	if r.Phase <= e.Phase {
		return false
	}
	e.Phase = r.Phase
	return true
}

// Aged takes in that an order was known to some host for a while: one that starts in the midst of
// a rollout reads the order, but not when it was given.
func (b *Book) Aged(now time.Time, service resource.Name, given history.Point, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.entries[service]; e != nil && e.Given == given {
		e.since = earlier(e.since, now.Add(-age))
	}
}

// Written takes in that a phase was recorded, at a point that isn't known yet.
func (b *Book) Written(service resource.Name, given history.Point, p Phase) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.entries[service]; e != nil && e.Given == given {
		e.RecordedPhase = max(e.RecordedPhase, p)
	}
}

// supersededBy reports whether another status is of a later order. A store that was restored may
// tell the same order at another point.
func (e *entry) supersededBy(s *Status) bool {
	if !s.Given.After(e.Given) {
		return false
	}
	same := s.Target == e.Target && s.Lasts == e.Lasts && s.Given.Revision() == e.Given.Revision()
	return !same || s.Withdrawn != e.Withdrawn
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Bound draws which upstreams of a service a new request may go to. hasTarget and hasOthers tell
// whether upstreams of the target version and of others take work.
func (b *Book) Bound(service resource.Name, l Limits, has func(target Version) (hasTarget, hasOthers bool)) Bound {
	if !b.some.Load() {
		return Bound{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[service]
	if e == nil {
		return Bound{}
	}
	if target, others := e.retires(); target {
		return Bound{But: e.Target}
	} else if others {
		return Bound{}
	}
	hasTarget, hasOthers := has(e.Target)
	e.hadOthers = e.hadOthers || hasOthers
	if !e.hadOthers {
		// The version was in service before the order.
		return Bound{}
	}
	if e.take(l) && hasTarget {
		e.saved--
		return Bound{Only: e.Target}
	}
	return Bound{But: e.Target}
}

// take counts a request, and reports whether it may go to the target version.
func (e *entry) take(l Limits) bool {
	part := trialPart * l.Share
	if e.Phase == Ramp {
		part = rampPart
	}
	e.saved = min(e.saved+part, max(e.saved, mostSaved))
	return e.saved >= 1
}

// Repeat is which upstreams a request may go to that another upstream has had, or that moves.
func (b *Book) Repeat(service resource.Name) Bound {
	if !b.some.Load() {
		return Bound{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[service]
	if e == nil {
		return Bound{}
	}
	if _, others := e.retires(); others || !e.hadOthers && e.Phase < RolledBack {
		return Bound{}
	}
	return Bound{But: e.Target}
}

// Retired reports whether nothing new goes to a service's upstreams of a version, and what runs
// there is to leave.
func (b *Book) Retired(service resource.Name, v Version) bool {
	if !b.some.Load() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[service]
	if e == nil {
		return false
	}
	target, others := e.retires()
	return target && v == e.Target || others && v != e.Target
}

// Statuses lists the rollouts by their services.
func (b *Book) Statuses(now time.Time) []Status {
	if !b.some.Load() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]Status, 0, len(b.entries))
	for _, e := range b.entries {
		s := e.Status
		s.Age = now.Sub(e.since)
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

// Missing lists the services of rollouts that a whole reading of the origin as of a point doesn't
// have.
func (b *Book) Missing(read []Status, at history.Point) []Status {
	var missing []Status
	for _, s := range b.Statuses(time.Time{}) {
		listed := slices.ContainsFunc(read, func(r Status) bool { return r.Service == s.Service })
		if !listed && !s.Withdrawn && at.After(s.Given) {
			missing = append(missing, Status{Order: Order{Service: s.Service, Given: at, Withdrawn: true}})
		}
	}
	return missing
}
