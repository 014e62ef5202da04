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
	// unlimitedWindow is the window from which on the requests in flight to an upstream are no
	// longer limited.
	unlimitedWindow = 16
	// maxSlowStart bounds the slow start after a backoff regardless of the upstream's answers.
	// Without it, an upstream that gets little traffic would stay limited for a long time.
	maxSlowStart = 5 * time.Second
	// fullWindowDelay is how long a request is delayed when the window of its upstream is full.
	fullWindowDelay = 50 * time.Millisecond
)

// Table records the backoffs that upstreams asked hosts for. This host sends nothing to an
// upstream
//   - until the backoff ends that the upstream asked this host for, and
//   - while the upstream has asked at least two hosts for backoff, because then the overload
//     isn't caused by a single host.
//
// After a backoff the upstream goes through a slow start: a window limits its requests in flight,
// starts at one and doubles with each successful answer.
//
// The zero value is an empty table that is ready for use. It is safe for concurrent use.
type Table struct {
	// nonEmpty says that upstreams isn't empty. Most requests need to know only that and don't
	// take the lock.
	nonEmpty atomic.Bool

	mu        sync.Mutex
	upstreams map[member.UpstreamID]*upstreamState
}

// upstreamState is what the table records about one upstream.
type upstreamState struct {
	incarnation int64
	// ownUntil is when the backoff of this host ends, and peersUntil when the backoff of each
	// peer ends.
	ownUntil   time.Time
	peersUntil map[member.HostID]time.Time
	// peerJitter is added to sharedUntil, so that hosts which learn of the backoffs together
	// don't return together.
	peerJitter time.Duration
	// noSendUntil is when this host may send requests again.
	noSendUntil time.Time
	// window is how many requests may be in flight during the slow start, and inFlight how many
	// are.
	window, inFlight int
}

// Mark tells peers that an upstream asked this host for backoff.
type Mark struct {
	Upstream member.UpstreamID
	// Incarnation tells this start of the upstream from others under the same ID.
	Incarnation int64
	// Remaining is how much longer the backoff lasts.
	Remaining time.Duration
}

// Status is the state of one upstream, for operators.
type Status struct {
	Upstream member.UpstreamID
	// Remaining is how much longer this host sends nothing to the upstream; zero once the backoff
	// has ended.
	Remaining time.Duration
	// Hosts is the number of hosts that are known to be in a backoff from the upstream.
	Hosts int
	// Window is how many requests this host may have in flight to the upstream during the slow
	// start.
	Window int
}

// Record records that an upstream asked this host for a backoff of d. jitter is added to d, so
// that hosts that were asked together don't return together. Record reports whether a backoff of
// this host was already active.
func (t *Table) Record(now time.Time, id member.UpstreamID, incarnation int64, d, jitter time.Duration) (active bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrAdd(id, incarnation)
	active = now.Before(s.ownUntil)
	// A later, shorter backoff doesn't end an earlier one.
	if until := now.Add(min(d, MaxDuration) + jitter); until.After(s.ownUntil) {
		s.ownUntil = until
	}
	s.extend()
	return active
}

// RecordPeer records that an upstream asked a peer for backoff. jitter is added to the time for
// which several hosts are in a backoff; only the jitter of the first mark about an upstream
// counts. RecordPeer reports whether this host has to wait longer because of the mark.
func (t *Table) RecordPeer(now time.Time, from member.HostID, m Mark, jitter time.Duration) (extended bool) {
	if m.Remaining <= 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrAdd(m.Upstream, m.Incarnation)
	if s.peersUntil == nil {
		s.peersUntil, s.peerJitter = map[member.HostID]time.Time{}, jitter
	}
	s.peersUntil[from] = now.Add(min(m.Remaining, MaxDuration))
	return s.extend()
}

// extend recomputes noSendUntil, which never moves back. It reports whether noSendUntil moved;
// the window then starts at one again.
func (s *upstreamState) extend() (extended bool) {
	until := s.ownUntil
	if shared := s.sharedUntil(); !shared.IsZero() && shared.Add(s.peerJitter).After(until) {
		until = shared.Add(s.peerJitter)
	}
	if !until.After(s.noSendUntil) {
		return false
	}
	s.noSendUntil, s.window = until, 1
	return true
}

// sharedUntil returns until when at least two hosts, which may include this one, are in a
// backoff; zero if fewer than two backoffs are known.
func (s *upstreamState) sharedUntil() time.Time {
	latest, secondLatest := s.ownUntil, time.Time{}
	for _, until := range s.peersUntil {
		if until.After(latest) {
			latest, until = until, latest
		}
		if until.After(secondLatest) {
			secondLatest = until
		}
	}
	return secondLatest
}

// getOrAdd returns the state of an incarnation of an upstream. The state of another incarnation
// is replaced by an empty one.
func (t *Table) getOrAdd(id member.UpstreamID, incarnation int64) *upstreamState {
	s := t.upstreams[id]
	if s == nil || s.incarnation != incarnation {
		if t.upstreams == nil {
			t.upstreams = map[member.UpstreamID]*upstreamState{}
		}
		s = &upstreamState{incarnation: incarnation}
		t.upstreams[id] = s
		t.nonEmpty.Store(true)
	}
	return s
}

// HasUpstreams reports whether the table holds any upstream, including those whose backoff has
// expired.
func (t *Table) HasUpstreams() bool { return t.nonEmpty.Load() }

// Remaining returns how much longer this host sends nothing to an upstream. It ignores the slow
// start.
func (t *Table) Remaining(now time.Time, id member.UpstreamID) time.Duration {
	if !t.nonEmpty.Load() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.upstreams[id]; s != nil {
		return max(s.noSendUntil.Sub(now), 0)
	}
	return 0
}

// Delay returns how long it is until a request may be sent to an upstream; zero if one may be
// sent now. Unlike Remaining, it covers the slow start.
func (t *Table) Delay(now time.Time, id member.UpstreamID) time.Duration {
	if !t.nonEmpty.Load() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.upstreams[id]; s != nil {
		return s.delay(now)
	}
	return 0
}

func (s *upstreamState) delay(now time.Time) time.Duration {
	switch {
	case now.Before(s.noSendUntil):
		return s.noSendUntil.Sub(now)
	case s.inSlowStart(now) && s.inFlight >= s.window:
		return fullWindowDelay
	}
	return 0
}

// inSlowStart reports whether the window limits the requests in flight, which is the case until
// it has grown to unlimitedWindow or maxSlowStart has passed.
func (s *upstreamState) inSlowStart(now time.Time) bool {
	return s.window > 0 && s.window < unlimitedWindow && now.Before(s.noSendUntil.Add(maxSlowStart))
}

// Ticket counts one request as in flight to an upstream. The zero value counts nothing.
type Ticket struct{ state *upstreamState }

// Begin counts a request as in flight if it may be sent now, and returns the ticket for End.
// Otherwise it returns how long to wait. With force, the request is counted even if it may not be
// sent. Nothing is counted for upstreams that aren't in the table.
func (t *Table) Begin(now time.Time, id member.UpstreamID, force bool) (Ticket, time.Duration) {
	if !t.nonEmpty.Load() {
		return Ticket{}, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.upstreams[id]
	if s == nil {
		return Ticket{}, 0
	}
	if wait := s.delay(now); wait > 0 && !force {
		return Ticket{}, wait
	}
	s.inFlight++
	return Ticket{s}, 0
}

// End records that the request of a ticket has ended. success says that the upstream processed
// it; outside a backoff this doubles the window.
func (t *Table) End(now time.Time, id member.UpstreamID, ticket Ticket, success bool) {
	if !t.nonEmpty.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.upstreams[id]
	if s == nil || ticket.state != s {
		return
	}
	s.inFlight--
	if success && !now.Before(s.noSendUntil) && s.window < unlimitedWindow {
		s.window *= 2
	}
}

// Remove removes an upstream, because it has started again.
func (t *Table) Remove(id member.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.upstreams, id)
	t.nonEmpty.Store(len(t.upstreams) > 0)
}

// countHosts returns how many hosts are in a backoff from the upstream.
func (s *upstreamState) countHosts(now time.Time) int {
	n := 0
	if now.Before(s.ownUntil) {
		n++
	}
	for _, until := range s.peersUntil {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// RemainingOnAnyHost returns how long it is until no known host is in a backoff from an upstream.
func (t *Table) RemainingOnAnyHost(now time.Time, id member.UpstreamID) time.Duration {
	if !t.nonEmpty.Load() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.upstreams[id]
	if s == nil {
		return 0
	}
	latest := s.noSendUntil
	for _, until := range s.peersUntil {
		if until.After(latest) {
			latest = until
		}
	}
	return max(latest.Sub(now), 0)
}

// OnlyThisHost reports whether this host is in a backoff from an upstream and no other host is
// known to be.
func (t *Table) OnlyThisHost(now time.Time, id member.UpstreamID) bool {
	if !t.nonEmpty.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.upstreams[id]
	return s != nil && now.Before(s.ownUntil) && s.countHosts(now) == 1
}

// RemoveExpired removes the upstreams that are neither in a backoff, on any host, nor in a slow
// start.
func (t *Table) RemoveExpired(now time.Time) {
	if !t.nonEmpty.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.upstreams {
		for host, until := range s.peersUntil {
			if !now.Before(until) {
				delete(s.peersUntil, host)
			}
		}
		if len(s.peersUntil) == 0 && !now.Before(s.noSendUntil.Add(maxSlowStart)) {
			delete(t.upstreams, id)
		}
	}
	t.nonEmpty.Store(len(t.upstreams) > 0)
}

// Marks returns the marks for the active backoffs of this host, without those of peers.
func (t *Table) Marks(now time.Time) []Mark {
	if !t.nonEmpty.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var marks []Mark
	for id, s := range t.upstreams {
		if remaining := s.ownUntil.Sub(now); remaining > 0 {
			marks = append(marks, Mark{Upstream: id, Incarnation: s.incarnation, Remaining: remaining})
		}
	}
	return marks
}

// Statuses returns the state of each upstream in the table.
func (t *Table) Statuses(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	statuses := make([]Status, 0, len(t.upstreams))
	for id, s := range t.upstreams {
		statuses = append(statuses, Status{Upstream: id, Remaining: max(s.noSendUntil.Sub(now), 0), Hosts: s.countHosts(now), Window: s.window})
	}
	return statuses
}
