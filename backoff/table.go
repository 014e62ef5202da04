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

// Table keeps the upstreams that asked this host for backoff. Afterwards each gets as many
// requests at once as its window allows: one, and twice as many with each good answer. The
// zero value is ready to use. It is safe for use by several goroutines.
type Table struct {
	// some says that the table isn't empty, which is all that most requests ask.
	some atomic.Bool

	mu        sync.Mutex
	upstreams map[member.UpstreamID]*entry
}

// entry is one upstream's.
type entry struct {
	life int64
	// asked is when the host was asked last, by the upstream or by a peer's word; zero
	// for never.
	asked time.Time
	// until is when the backoff ends; zero where only peers were asked.
	until time.Time
	// bounded is when the window no longer applies.
	bounded time.Time
	// window is how many requests may be under way, and inFlight how many are.
	window, inFlight int
	// good is when the last good answer came.
	good time.Time
}

// Mark tells a peer that an upstream asked this host for backoff.
type Mark struct {
	Upstream member.UpstreamID
	// Life tells this start of the upstream from others under its id.
	Life int64
	// Ago is how long ago it asked, and For how much longer it wants nothing.
	Ago, For time.Duration
}

// Entry is how an upstream stands, for operators.
type Entry struct {
	Upstream member.UpstreamID
	// Left is how much longer it wants nothing; zero while it returns.
	Left time.Duration
	// Window is how many requests it may have at once then.
	Window int
}

// Ask takes in that an upstream asked this host for backoff. spread is added to it, so that
// hosts that were asked together return one after another. It reports whether the end moved
// from one that was over.
func (t *Table) Ask(now time.Time, id member.UpstreamID, life int64, d, spread time.Duration) (started bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.of(id, life)
	started = !now.Before(e.until)
	e.asked = now
	// Each answer binds until its own end: a shorter one later doesn't take it back.
	if until := now.Add(min(d, Longest) + spread); until.After(e.until) {
		e.until = until
	}
	e.window, e.bounded = 1, e.until.Add(returnLasts)
	return started
}

// Hear takes in that an upstream asked a peer for backoff. The host may go on sending, one
// request at a time until a good answer comes: only the peer may have sent too much.
func (t *Table) Hear(now time.Time, m Mark) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.of(m.Upstream, m.Life)
	asked := now.Add(-max(m.Ago, 0))
	if !asked.After(e.asked) || !asked.After(e.good) {
		return
	}
	e.asked, e.window = asked, 1
	if bounded := now.Add(min(max(m.For, 0), Longest) + returnLasts); bounded.After(e.bounded) {
		e.bounded = bounded
	}
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

// Resting is how much longer an upstream wants nothing from this host.
func (t *Table) Resting(now time.Time, id member.UpstreamID) time.Duration {
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
	case now.Before(e.bounded) && e.window < openAt && e.inFlight >= e.window:
		return windowPause
	}
	return 0
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
	if e == nil {
		return
	}
	if good {
		e.good = now
	}
	if ticket.entry != e {
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

// Forget drops the upstreams that are no longer bounded.
func (t *Table) Forget(now time.Time) {
	if !t.some.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.upstreams {
		if !now.Before(e.until) && !now.Before(e.bounded) {
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
		if left := e.until.Sub(now); left > 0 {
			marks = append(marks, Mark{Upstream: id, Life: e.life, Ago: now.Sub(e.asked), For: left})
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
		entries = append(entries, Entry{Upstream: id, Left: max(e.until.Sub(now), 0), Window: e.window})
	}
	return entries
}
