// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package backoff

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/shedpath/shedpath/member"
)

const (
	// unlimitedWindow is the window at which an upstream is no longer bounded.
	unlimitedWindow = 16
	// maxSlowStart bounds how long an upstream stays bounded after its backoff, whatever its
	// answers: one that gets little traffic would stay so for long.
	maxSlowStart = 5 * time.Second
	// fullWindowDelay is when to look again at an upstream whose window is full.
	fullWindowDelay = 50 * time.Millisecond
)

// Table keeps the upstreams that asked hosts for backoff. One that asked this host gets
// nothing from it until the end, and neither does one that asked two other hosts: it isn't
// these that send too much. Afterwards each gets as many requests at once as its window
// allows: one, and twice as many with each good answer. The zero value is ready to use. It
// is safe for use by several goroutines.
type Table struct {
	// nonEmpty says that the table isn't empty, which is all that most requests ask.
	nonEmpty atomic.Bool

	mu        sync.Mutex
	upstreams map[member.UpstreamID]*upstreamState
}

// upstreamState is one upstream's.
type upstreamState struct {
	incarnation int64
	// ownUntil is when the backoff ends that this host was asked for, and peers when those end
	// that others were.
	ownUntil   time.Time
	peersUntil map[member.HostID]time.Time
	// peerJitter is added to what peers were asked for.
	peerJitter time.Duration
	// noSendUntil is when this host may send again.
	noSendUntil time.Time
	// window is how many requests may be under way then, and inFlight how many are.
	window, inFlight int
}

// Mark tells a peer that an upstream asked this host for backoff.
type Mark struct {
	Upstream member.UpstreamID
	// Incarnation tells this start of the upstream from others under its id.
	Incarnation int64
	// Remaining is how much longer it wants nothing from the host.
	Remaining time.Duration
}

// Status is how an upstream stands, for operators.
type Status struct {
	Upstream member.UpstreamID
	// Remaining is how much longer it gets nothing from this host; zero while it returns.
	Remaining time.Duration
	// Hosts is how many hosts it wants nothing from, as far as is known.
	Hosts int
	// Window is how many requests it may have at once while it returns.
	Window int
}

// Record takes in that an upstream asked this host for backoff. spread is added to it, so that
// hosts which were asked together return one after another. It reports whether the upstream
// wanted nothing from this host before, either.
func (t *Table) Record(now time.Time, id member.UpstreamID, life int64, d, spread time.Duration) (again bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.getOrAdd(id, life)
	again = now.Before(e.ownUntil)
	// Each answer binds until its own end: a shorter one later doesn't take it back.
	if until := now.Add(min(d, MaxDuration) + spread); until.After(e.ownUntil) {
		e.ownUntil = until
	}
	e.extend()
	return again
}

// RecordPeer takes in that an upstream asked a peer for backoff. spread is Ask's. It reports
// whether the upstream gets nothing from this host for a longer time because of it.
func (t *Table) RecordPeer(now time.Time, from member.HostID, m Mark, spread time.Duration) (longer bool) {
	if m.Remaining <= 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.getOrAdd(m.Upstream, m.Incarnation)
	if e.peersUntil == nil {
		e.peersUntil, e.peerJitter = map[member.HostID]time.Time{}, spread
	}
	e.peersUntil[from] = now.Add(min(m.Remaining, MaxDuration))
	return e.extend()
}

// extend works out anew until when this host sends nothing. It reports whether that is later
// than before.
func (e *upstreamState) extend() (longer bool) {
	until := e.ownUntil
	if common := e.sharedUntil(); !common.IsZero() && common.Add(e.peerJitter).After(until) {
		until = common.Add(e.peerJitter)
	}
	if !until.After(e.noSendUntil) {
		return false
	}
	e.noSendUntil, e.window = until, 1
	return true
}

// sharedUntil is until when at least two hosts are to send nothing; zero for never.
func (e *upstreamState) sharedUntil() time.Time {
	first, second := e.ownUntil, time.Time{}
	for _, until := range e.peersUntil {
		if until.After(first) {
			first, until = until, first
		}
		if until.After(second) {
			second = until
		}
	}
	return second
}

func (t *Table) getOrAdd(id member.UpstreamID, life int64) *upstreamState {
	e := t.upstreams[id]
	if e == nil || e.incarnation != life {
		if t.upstreams == nil {
			t.upstreams = map[member.UpstreamID]*upstreamState{}
		}
		e = &upstreamState{incarnation: life}
		t.upstreams[id] = e
		t.nonEmpty.Store(true)
	}
	return e
}

// HasUpstreams reports whether some upstream may be in the table.
func (t *Table) HasUpstreams() bool { return t.nonEmpty.Load() }

// Remaining is how much longer an upstream wants nothing from this host.
func (t *Table) Remaining(now time.Time, id member.UpstreamID) time.Duration {
	if !t.nonEmpty.Load() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.upstreams[id]; e != nil {
		return max(e.noSendUntil.Sub(now), 0)
	}
	return 0
}

// Delay is how long it is until something may be sent to an upstream; zero when it may now.
func (t *Table) Delay(now time.Time, id member.UpstreamID) time.Duration {
	if !t.nonEmpty.Load() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.upstreams[id]; e != nil {
		return e.delay(now)
	}
	return 0
}

func (e *upstreamState) delay(now time.Time) time.Duration {
	switch {
	case now.Before(e.noSendUntil):
		return e.noSendUntil.Sub(now)
	case e.inSlowStart(now) && e.inFlight >= e.window:
		return fullWindowDelay
	}
	return 0
}

// inSlowStart reports whether the window applies.
func (e *upstreamState) inSlowStart(now time.Time) bool {
	return e.window > 0 && e.window < unlimitedWindow && now.Before(e.noSendUntil.Add(maxSlowStart))
}

// Ticket counts one request as under way at an upstream. The zero value counts nothing.
type Ticket struct{ state *upstreamState }

// Begin counts a request as under way if it may be sent now; else it returns how long it is
// until it may. must counts it in any case.
func (t *Table) Begin(now time.Time, id member.UpstreamID, must bool) (Ticket, time.Duration) {
	if !t.nonEmpty.Load() {
		return Ticket{}, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.upstreams[id]
	if e == nil {
		return Ticket{}, 0
	}
	if wait := e.delay(now); wait > 0 && !must {
		return Ticket{}, wait
	}
	e.inFlight++
	return Ticket{e}, 0
}

// End takes in the end of what was begun. good says that the upstream has served it.
func (t *Table) End(now time.Time, id member.UpstreamID, ticket Ticket, good bool) {
	if !t.nonEmpty.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.upstreams[id]
	if e == nil || ticket.state != e {
		return
	}
	e.inFlight--
	if good && !now.Before(e.noSendUntil) && e.window < unlimitedWindow {
		e.window *= 2
	}
}

// Remove forgets an upstream that has started again.
func (t *Table) Remove(id member.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.upstreams, id)
	t.nonEmpty.Store(len(t.upstreams) > 0)
}

// countHosts counts the countHosts that are to send nothing.
func (e *upstreamState) countHosts(now time.Time) int {
	n := 0
	if now.Before(e.ownUntil) {
		n++
	}
	for _, until := range e.peersUntil {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// RemainingOnAnyHost is how long it is until the upstream takes requests from every host again, as
// far as is known.
func (t *Table) RemainingOnAnyHost(now time.Time, id member.UpstreamID) time.Duration {
	if !t.nonEmpty.Load() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.upstreams[id]
	if e == nil {
		return 0
	}
	last := e.noSendUntil
	for _, until := range e.peersUntil {
		if until.After(last) {
			last = until
		}
	}
	return max(last.Sub(now), 0)
}

// OnlyThisHost reports whether an upstream wants nothing from this host, and no other is known of
// which it doesn't want anything either.
func (t *Table) OnlyThisHost(now time.Time, id member.UpstreamID) bool {
	if !t.nonEmpty.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.upstreams[id]
	return e != nil && now.Before(e.ownUntil) && e.countHosts(now) == 1
}

// RemoveExpired drops the upstreams that are no longer bounded.
func (t *Table) RemoveExpired(now time.Time) {
	if !t.nonEmpty.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.upstreams {
		for host, until := range e.peersUntil {
			if !now.Before(until) {
				delete(e.peersUntil, host)
			}
		}
		if len(e.peersUntil) == 0 && !now.Before(e.noSendUntil.Add(maxSlowStart)) {
			delete(t.upstreams, id)
		}
	}
	t.nonEmpty.Store(len(t.upstreams) > 0)
}

// Marks tells which upstreams want nothing from this host.
func (t *Table) Marks(now time.Time) []Mark {
	if !t.nonEmpty.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var marks []Mark
	for id, e := range t.upstreams {
		if left := e.ownUntil.Sub(now); left > 0 {
			marks = append(marks, Mark{Upstream: id, Incarnation: e.incarnation, Remaining: left})
		}
	}
	return marks
}

// Statuses lists the upstreams in the table.
func (t *Table) Statuses(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	entries := make([]Status, 0, len(t.upstreams))
	for id, e := range t.upstreams {
		entries = append(entries, Status{Upstream: id, Remaining: max(e.noSendUntil.Sub(now), 0), Hosts: e.countHosts(now), Window: e.window})
	}
	return entries
}
