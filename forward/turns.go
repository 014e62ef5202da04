// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/shedpath/shedpath/clock"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// TurnRequest asks for the turn to move a run off an engine. An engine's link
// copies one run after another; when several hosts copy at once, a stopped run
// stands still while others' copies are sent.
type TurnRequest struct {
	Engine member.UpstreamID
	Run    policy.RunID
	// Worth orders those that wait: the highest goes first.
	Worth int
	// AtOnce asks only whether the turn is free.
	AtOnce bool
}

// turns gives out the turns of the engines that this host arbitrates. The zero
// value works. It is soft: a turn that isn't ended runs out.
type turns struct {
	// clock tells the present time; nil is the usual one.
	clock *clock.Clock

	mu      sync.Mutex
	engines map[member.UpstreamID]*turnLine
}

// turnLine is one engine's line.
type turnLine struct {
	// holder has the turn until then; empty when nobody has.
	holder policy.RunID
	until  time.Time
	// opened is when the first request came.
	opened  time.Time
	waiting []*turnWaiter
}

type turnWaiter struct {
	TurnRequest
	// granted closes when the turn is this waiter's, dropped when it isn't in the
	// line any more.
	granted, dropped chan struct{}
}

const (
	// turnGather is how long the first request for an engine waits for others,
	// so that the order matters: hosts learn of a leaving within milliseconds.
	turnGather = 8 * time.Millisecond
	// turnLasts is the longest turn; a move takes less.
	turnLasts = 900 * time.Millisecond
	// turnIdle is when a line that nobody uses is forgotten.
	turnIdle = 10 * time.Second
	// turnCheck is how often a waiter looks whether the holder's turn ran out.
	turnCheck = 20 * time.Millisecond
)

func (t *turns) now() time.Time { return t.clock.Now() }

// take waits for the turn. The error is the context's, or errNoTurn when the run's
// host doesn't want the turn any more.
func (t *turns) take(ctx context.Context, r TurnRequest) error {
	w := &turnWaiter{TurnRequest: r, granted: make(chan struct{}), dropped: make(chan struct{})}
	line := t.join(t.now(), w)
	PauseFor(ctx, turnGather)
	tick := time.NewTicker(turnCheck)
	defer tick.Stop()
	for {
		t.grant(t.now(), line)
		select {
		case <-w.granted:
			return nil
		case <-w.dropped:
			return errNoTurn
		case <-ctx.Done():
			t.withdraw(line, w)
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// try takes the turn if nobody has it or waits for it.
func (t *turns) try(now time.Time, r TurnRequest) bool {
	line := t.line(now, r.Engine)
	t.mu.Lock()
	defer t.mu.Unlock()
	if line.holder != "" && now.Before(line.until) || len(line.waiting) > 0 {
		return false
	}
	line.holder, line.until = r.Run, now.Add(turnLasts)
	return true
}

func (t *turns) join(now time.Time, w *turnWaiter) *turnLine {
	line := t.line(now, w.Engine)
	t.mu.Lock()
	defer t.mu.Unlock()
	line.waiting = append(line.waiting, w)
	return line
}

// line returns an engine's line, and forgets those that nobody uses.
func (t *turns) line(now time.Time, engine member.UpstreamID) *turnLine {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.engines == nil {
		t.engines = map[member.UpstreamID]*turnLine{}
	}
	for id, l := range t.engines {
		if id != engine && len(l.waiting) == 0 && now.Sub(l.until) > turnIdle && now.Sub(l.opened) > turnIdle {
			delete(t.engines, id)
		}
	}
	line := t.engines[engine]
	if line == nil {
		line = &turnLine{opened: now}
		t.engines[engine] = line
	}
	return line
}

// grant gives the turn to the one that is worth most, if nobody has it.
func (t *turns) grant(now time.Time, line *turnLine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if line.holder != "" && now.Before(line.until) || len(line.waiting) == 0 || now.Sub(line.opened) < turnGather {
		return
	}
	best := 0
	for i, w := range line.waiting {
		if w.Worth > line.waiting[best].Worth {
			best = i
		}
	}
	w := line.waiting[best]
	line.waiting = slices.Delete(line.waiting, best, best+1)
	line.holder, line.until = w.Run, now.Add(turnLasts)
	close(w.granted)
}

func (t *turns) withdraw(line *turnLine, w *turnWaiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	line.drop(w.Run)
}

// end gives a turn back, or the place in the line of a run that still waits.
func (t *turns) end(now time.Time, engine member.UpstreamID, run policy.RunID) {
	t.mu.Lock()
	line := t.engines[engine]
	if line == nil {
		t.mu.Unlock()
		return
	}
	line.drop(run)
	t.mu.Unlock()
	t.grant(now, line)
}

// drop takes a run out of the line, whether it has the turn or waits for it.
func (l *turnLine) drop(run policy.RunID) {
	if l.holder == run {
		l.holder = ""
	}
	l.waiting = slices.DeleteFunc(l.waiting, func(w *turnWaiter) bool {
		if w.Run == run {
			close(w.dropped)
		}
		return w.Run == run
	})
}

// arbiter returns the live host of the engine's cell that gives out its turns;
// it is this host when the zone has no other.
func (p *peerSet) arbiter(now time.Time, u Upstream) Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var near []Peer
	of := p.layout.OfUpstream(u.ID, u.Zone)
	if p.ownCell == of {
		near = append(near, p.self)
	}
	for _, s := range p.known {
		if s.cell == of && s.live(now) {
			near = append(near, s.Peer)
		}
	}
	if len(near) == 0 {
		return p.self
	}
	return member.HighestRanked("moves off "+string(u.ID), near)
}

// errNoTurn is an arbiter's word that another has the turn.
var errNoTurn = errors.New("another has the turn")

// takeTurn asks for the turn of an engine's link and returns how to end it. When
// the arbiter can't be reached, or the turn doesn't come in time, the error says
// so, and the run may go without.
func (f *Forwarder) takeTurn(ctx context.Context, at Upstream, r TurnRequest) (end func(), err error) {
	nothing := func() {}
	arbiter := f.peers.arbiter(f.now(), at)
	if arbiter.ID == f.peers.self.ID {
		if err := f.OnTurn(ctx, r); err != nil {
			return nothing, err
		}
		return func() { f.turns.end(f.now(), r.Engine, r.Run) }, nil
	}
	peers := f.loadPeerPort()
	if peers == nil {
		return nothing, errNoTurn
	}
	if err := peers.Turn(ctx, arbiter, r); err != nil {
		if ctx.Err() != nil {
			// The arbiter doesn't know that nobody waits any more. A run that ends
			// by itself while it waits would get the turn and hold the others up
			// until it runs out: 0.9 s of a notice of 1.7 s.
			go f.endTurn(peers, arbiter, r)
		}
		return nothing, err
	}
	return func() { go f.endTurn(peers, arbiter, r) }, nil
}

// endTurn tells an arbiter that a run neither has nor wants a turn any more.
func (f *Forwarder) endTurn(peers Peers, arbiter Peer, r TurnRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
	defer cancel()
	if err := peers.EndTurn(ctx, arbiter, r); err != nil {
		// The turn runs out by itself.
		f.journal.Request(RequestID(r.Run), "turn not ended", "arbiter", arbiter.ID, "err", err)
	}
}

// OnTurn serves a peer that asks for a turn.
func (f *Forwarder) OnTurn(ctx context.Context, r TurnRequest) error {
	if r.AtOnce {
		if !f.turns.try(f.now(), r) {
			return errNoTurn
		}
		return nil
	}
	if err := f.turns.take(ctx, r); err != nil {
		return errNoTurn
	}
	return nil
}

// OnEndTurn serves a peer that ends its turn.
func (f *Forwarder) OnEndTurn(r TurnRequest) { f.turns.end(f.now(), r.Engine, r.Run) }
