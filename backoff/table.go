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
	// openAt is the window at which an upstream is no longer bounded.
	openAt = 16
	// returnLasts bounds how long an upstream stays bounded after its backoff, whatever its
	// answers: one that gets little traffic would stay so for long.
	returnLasts = 5 * time.Second
	// windowPause is when to look again at an upstream whose window is full.
	windowPause = 50 * time.Millisecond
)

// Table keeps the upstreams that asked hosts for backoff. One that asked this host gets
// nothing from it until the end, and neither does one that asked two other hosts: it isn't
// these that send too much. Afterwards each gets as many requests at once as its window
// allows: one, and twice as many with each good answer. The zero value is ready to use. It
// is safe for use by several goroutines.
type Table struct {
	// some says that the table isn't empty, which is all that most requests ask.
	some atomic.Bool

	mu        sync.Mutex
	upstreams map[member.UpstreamID]*entry
}

// entry is one upstream's.
type entry struct {
	life int64
	// own is when the backoff ends that this host was asked for, and peers when those end
	// that others were.
	own   time.Time
	peers map[member.HostID]time.Time
	// spread is added to what peers were asked for.
	spread time.Duration
	// until is when this host may send again.
	until time.Time
	// window is how many requests may be under way then, and inFlight how many are.
	window, inFlight int
}

// Mark tells a peer that an upstream asked this host for backoff.
type Mark struct {
	Upstream member.UpstreamID
	// Life tells this start of the upstream from others under its id.
	Life int64
	// For is how much longer it wants nothing from the host.
	For time.Duration
}

// Entry is how an upstream stands, for operators.
type Entry struct {
	Upstream member.UpstreamID
	// Left is how much longer it gets nothing from this host; zero while it returns.
	Left time.Duration
	// Hosts is how many hosts it wants nothing from, as far as is known.
	Hosts int
	// Window is how many requests it may have at once while it returns.
	Window int
}

// Ask takes in that an upstream asked this host for backoff. spread is added to it, so that
// hosts which were asked together return one after another. It reports whether the upstream
// wanted nothing from this host before, either.
func (t *Table) Ask(now time.Time, id member.UpstreamID, life int64, d, spread time.Duration) (again bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.of(id, life)
	again = now.Before(e.own)
	// Each answer binds until its own end: a shorter one later doesn't take it back.
	if until := now.Add(min(d, Longest) + spread); until.After(e.own) {
		e.own = until
	}
	e.extend()
	return again
}

// Receive takes in that an upstream asked a peer for backoff. spread is Ask's. It reports
// whether the upstream gets nothing from this host for a longer time because of it.
func (t *Table) Receive(now time.Time, from member.HostID, m Mark, spread time.Duration) (longer bool) {
	if m.For <= 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.of(m.Upstream, m.Life)
	if e.peers == nil {
		e.peers, e.spread = map[member.HostID]time.Time{}, spread
	}
	e.peers[from] = now.Add(min(m.For, Longest))
	return e.extend()
}

// extend works out anew until when this host sends nothing. It reports whether that is later
// than before.
func (e *entry) extend() (longer bool) {
	until := e.own
	if common := e.common(); !common.IsZero() && common.Add(e.spread).After(until) {
		until = common.Add(e.spread)
	}
	if !until.After(e.until) {
		return false
	}
	e.until, e.window = until, 1
	return true
}

// common is until when at least two hosts are to send nothing; zero for never.
func (e *entry) common() time.Time {
	first, second := e.own, time.Time{}
	for _, until := range e.peers {
		if until.After(first) {
			first, until = until, first
		}
		if until.After(second) {
			second = until
		}
	}
	return second
}

func (t *Table) of(id member.UpstreamID, life int64) *entry {
	e := t.upstreams[id]
	if e == nil || e.life != life {
		if t.upstreams == nil {
			t.upstreams = map[member.UpstreamID]*entry{}
		}
		e = &entry{life: life}
		t.upstreams[id] = e
		t.some.Store(true)
	}
	return e
}

// Any reports whether some upstream may be in the table.
func (t *Table) Any() bool { return t.some.Load() }

// Remaining is how much longer an upstream wants nothing from this host.
func (t *Table) Remaining(now time.Time, id member.UpstreamID) time.Duration {
	if !t.some.Load() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.upstreams[id]; e != nil {
		return max(e.until.Sub(now), 0)
	}
	return 0
}

// Wait is how long it is until something may be sent to an upstream; zero when it may now.
func (t *Table) Wait(now time.Time, id member.UpstreamID) time.Duration {
	if !t.some.Load() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.upstreams[id]; e != nil {
		return e.wait(now)
	}
	return 0
}

func (e *entry) wait(now time.Time) time.Duration {
	switch {
	case now.Before(e.until):
		return e.until.Sub(now)
	case e.returning(now) && e.inFlight >= e.window:
		return windowPause
	}
	return 0
}

// returning reports whether the window applies.
func (e *entry) returning(now time.Time) bool {
	return e.window > 0 && e.window < openAt && now.Before(e.until.Add(returnLasts))
}

// Ticket counts one request as under way at an upstream. The zero value counts nothing.
type Ticket struct{ entry *entry }

// Begin counts a request as under way if it may be sent now; else it returns how long it is
// until it may. must counts it in any case.
func (t *Table) Begin(now time.Time, id member.UpstreamID, must bool) (Ticket, time.Duration) {
	if !t.some.Load() {
		return Ticket{}, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.upstreams[id]
	if e == nil {
		return Ticket{}, 0
	}
	if wait := e.wait(now); wait > 0 && !must {
		return Ticket{}, wait
	}
	e.inFlight++
	return Ticket{e}, 0
}

// End takes in the end of what was begun. good says that the upstream has served it.
func (t *Table) End(now time.Time, id member.UpstreamID, ticket Ticket, good bool) {
	if !t.some.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.upstreams[id]
	if e == nil || ticket.entry != e {
		return
	}
	e.inFlight--
	if good && !now.Before(e.until) && e.window < openAt {
		e.window *= 2
	}
}

// Renew forgets an upstream that has started again.
func (t *Table) Renew(id member.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.upstreams, id)
	t.some.Store(len(t.upstreams) > 0)
}

// hosts counts the hosts that are to send nothing.
func (e *entry) hosts(now time.Time) int {
	n := 0
	if now.Before(e.own) {
		n++
	}
	for _, until := range e.peers {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// Everywhere is how long it is until the upstream takes requests from every host again, as
// far as is known.
func (t *Table) Everywhere(now time.Time, id member.UpstreamID) time.Duration {
	if !t.some.Load() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.upstreams[id]
	if e == nil {
		return 0
	}
	last := e.until
	for _, until := range e.peers {
		if until.After(last) {
			last = until
		}
	}
	return max(last.Sub(now), 0)
}

// Alone reports whether an upstream wants nothing from this host, and no other is known of
// which it doesn't want anything either.
func (t *Table) Alone(now time.Time, id member.UpstreamID) bool {
	if !t.some.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.upstreams[id]
	return e != nil && now.Before(e.own) && e.hosts(now) == 1
}

// Forget drops the upstreams that are no longer bounded.
func (t *Table) Forget(now time.Time) {
	if !t.some.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.upstreams {
		for host, until := range e.peers {
			if !now.Before(until) {
				delete(e.peers, host)
			}
		}
		if len(e.peers) == 0 && !now.Before(e.until.Add(returnLasts)) {
			delete(t.upstreams, id)
		}
	}
	t.some.Store(len(t.upstreams) > 0)
}

// Marks tells which upstreams want nothing from this host.
func (t *Table) Marks(now time.Time) []Mark {
	if !t.some.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var marks []Mark
	for id, e := range t.upstreams {
		if left := e.own.Sub(now); left > 0 {
			marks = append(marks, Mark{Upstream: id, Life: e.life, For: left})
		}
	}
	return marks
}

// Entries lists the upstreams in the table.
func (t *Table) Entries(now time.Time) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	entries := make([]Entry, 0, len(t.upstreams))
	for id, e := range t.upstreams {
		entries = append(entries, Entry{Upstream: id, Left: max(e.until.Sub(now), 0), Hosts: e.hosts(now), Window: e.window})
	}
	return entries
}
