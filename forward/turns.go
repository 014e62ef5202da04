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

// TurnRequest asks for the turn to move a run off an engine. An engine's link copies one run
// after another: if several hosts copied at once, a stopped run would stand still while the
// copies of others are sent.
type TurnRequest struct {
	Engine member.UpstreamID
	Run    policy.RunID
	// Priority orders waiting requests; the highest goes first.
	Priority int
	// NoWait takes the turn only if it is free.
	NoWait bool
}

// turnQueues grants the turns of the engines that this host arbitrates. The zero value is
// ready to use. The state is soft: a turn that isn't released expires.
type turnQueues struct {
	// clock gives the current time; nil stands for the system clock.
	clock *clock.Clock

	mu       sync.Mutex
	byEngine map[member.UpstreamID]*turnQueue
}

// turnQueue holds the turn of one engine and the requests that wait for it.
type turnQueue struct {
	// holder is the run that has the turn until expiresAt; empty if the turn is free.
	holder    policy.RunID
	expiresAt time.Time
	// openedAt is when the first request arrived.
	openedAt time.Time
	waiting  []*turnWaiter
}

type turnWaiter struct {
	TurnRequest
	// granted closes when the waiter gets the turn, removed when the waiter leaves the queue
	// without it.
	granted, removed chan struct{}
}

const (
	// turnGatherDelay is how long the first request for an engine waits for others, so that
	// the priorities take effect: hosts learn within milliseconds of each other that an engine
	// is leaving.
	turnGatherDelay = 8 * time.Millisecond
	// turnTTL is the longest duration of a turn; a move takes less.
	turnTTL = 900 * time.Millisecond
	// turnQueueRetention is how long an unused queue is kept.
	turnQueueRetention = 10 * time.Second
	// turnCheckInterval is how often a waiter checks whether the holder's turn has expired.
	turnCheckInterval = 20 * time.Millisecond
)

func (t *turnQueues) now() time.Time { return t.clock.Now() }

// acquire waits for the turn. It returns the context's error, or errTurnNotGranted if the
// run's host no longer wants the turn.
func (t *turnQueues) acquire(ctx context.Context, r TurnRequest) error {
	w := &turnWaiter{TurnRequest: r, granted: make(chan struct{}), removed: make(chan struct{})}
	line := t.enqueue(t.now(), w)
	PauseFor(ctx, turnGatherDelay)
	tick := time.NewTicker(turnCheckInterval)
	defer tick.Stop()
	for {
		t.grantNext(t.now(), line)
		select {
		case <-w.granted:
			return nil
		case <-w.removed:
			return errTurnNotGranted
		case <-ctx.Done():
			t.withdraw(line, w)
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// tryAcquire takes the turn if it is free and no request waits for it.
func (t *turnQueues) tryAcquire(now time.Time, r TurnRequest) bool {
	line := t.queueFor(now, r.Engine)
	t.mu.Lock()
	defer t.mu.Unlock()
	if line.holder != "" && now.Before(line.expiresAt) || len(line.waiting) > 0 {
		return false
	}
	line.holder, line.expiresAt = r.Run, now.Add(turnTTL)
	return true
}

func (t *turnQueues) enqueue(now time.Time, w *turnWaiter) *turnQueue {
	line := t.queueFor(now, w.Engine)
	t.mu.Lock()
	defer t.mu.Unlock()
	line.waiting = append(line.waiting, w)
	return line
}

// queueFor returns an engine's queue, and deletes other queues that are no longer used.
func (t *turnQueues) queueFor(now time.Time, engine member.UpstreamID) *turnQueue {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byEngine == nil {
		t.byEngine = map[member.UpstreamID]*turnQueue{}
	}
	for id, l := range t.byEngine {
		if id != engine && len(l.waiting) == 0 && now.Sub(l.expiresAt) > turnQueueRetention && now.Sub(l.openedAt) > turnQueueRetention {
			delete(t.byEngine, id)
		}
	}
	line := t.byEngine[engine]
	if line == nil {
		line = &turnQueue{openedAt: now}
		t.byEngine[engine] = line
	}
	return line
}

// grantNext grants the turn, if it is free, to the waiting request with the highest priority.
func (t *turnQueues) grantNext(now time.Time, line *turnQueue) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if line.holder != "" && now.Before(line.expiresAt) || len(line.waiting) == 0 || now.Sub(line.openedAt) < turnGatherDelay {
		return
	}
	best := 0
	for i, w := range line.waiting {
		if w.Priority > line.waiting[best].Priority {
			best = i
		}
	}
	w := line.waiting[best]
	line.waiting = slices.Delete(line.waiting, best, best+1)
	line.holder, line.expiresAt = w.Run, now.Add(turnTTL)
	close(w.granted)
}

func (t *turnQueues) withdraw(line *turnQueue, w *turnWaiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	line.remove(w.Run)
}

// release ends the turn of a run, or withdraws the run if it still waits.
func (t *turnQueues) release(now time.Time, engine member.UpstreamID, run policy.RunID) {
	t.mu.Lock()
	line := t.byEngine[engine]
	if line == nil {
		t.mu.Unlock()
		return
	}
	line.remove(run)
	t.mu.Unlock()
	t.grantNext(now, line)
}

// remove removes a run from the queue, whether it has the turn or waits for it.
func (l *turnQueue) remove(run policy.RunID) {
	if l.holder == run {
		l.holder = ""
	}
	l.waiting = slices.DeleteFunc(l.waiting, func(w *turnWaiter) bool {
		if w.Run == run {
			close(w.removed)
		}
		return w.Run == run
	})
}

// arbiter returns the host of the engine's cell that grants its turns: a live one that isn't stopping; if there is
// none, a live one; this host if the cell has no live one. A host that stops may have ended before its silence
// shows that.
func (p *peerSet) arbiter(now time.Time, u Upstream) Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var staying, stopping []Peer
	add := func(peer Peer, stops bool) {
		if stops {
			stopping = append(stopping, peer)
		} else {
			staying = append(staying, peer)
		}
	}
	cell := p.layout.UpstreamCell(u.ID, u.Zone)
	if p.ownCell == cell {
		add(p.self, p.stopping)
	}
	for _, s := range p.known {
		if s.cell == cell && s.live(now) {
			add(s.Peer, s.stopping)
		}
	}
	candidates := staying
	if len(candidates) == 0 {
		candidates = stopping
	}
	if len(candidates) == 0 {
		return p.self
	}
	return member.HighestRanked("moves off "+string(u.ID), candidates)
}

// errTurnNotGranted means that the turn of an engine was not granted.
var errTurnNotGranted = errors.New("the turn was not granted")

// acquireTurn requests the turn of an engine's link and returns a function that ends it. If
// the arbiter can't be reached, or doesn't grant the turn in time, acquireTurn returns an
// error, and the run may move without a turn.
func (f *Forwarder) acquireTurn(ctx context.Context, at Upstream, r TurnRequest) (end func(), err error) {
	nothing := func() {}
	arbiter := f.peers.arbiter(f.now(), at)
	if arbiter.ID == f.peers.self.ID {
		if err := f.OnTurn(ctx, r); err != nil {
			return nothing, err
		}
		return func() { f.turns.release(f.now(), r.Engine, r.Run) }, nil
	}
	peers := f.loadPeerPort()
	if peers == nil {
		return nothing, errTurnNotGranted
	}
	if err := peers.Turn(ctx, arbiter, r); err != nil {
		if ctx.Err() != nil {
			// The arbiter doesn't know that the request no longer waits. A run that ends while
			// it waits would get the turn and block the others until the turn expires, which
			// takes 0.9 s of a notice of 1.7 s.
			f.tasks.Go("turn", func() { f.releaseTurn(peers, arbiter, r) })
		}
		return nothing, err
	}
	return func() { f.tasks.Go("turn", func() { f.releaseTurn(peers, arbiter, r) }) }, nil
}

// releaseTurn tells an arbiter that a run neither has a turn nor waits for one.
func (f *Forwarder) releaseTurn(peers Peers, arbiter Peer, r TurnRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
	defer cancel()
	if err := peers.EndTurn(ctx, arbiter, r); err != nil {
		// The turn expires by itself.
		f.journal.Request(RequestID(r.Run), "turn not ended", "arbiter", arbiter.ID, "err", err)
	}
}

// OnTurn serves a peer that requests a turn.
func (f *Forwarder) OnTurn(ctx context.Context, r TurnRequest) error {
	if r.NoWait {
		if !f.turns.tryAcquire(f.now(), r) {
			return errTurnNotGranted
		}
		return nil
	}
	if err := f.turns.acquire(ctx, r); err != nil {
		return errTurnNotGranted
	}
	return nil
}

// OnEndTurn serves a peer that ends its turn.
func (f *Forwarder) OnEndTurn(r TurnRequest) { f.turns.release(f.now(), r.Engine, r.Run) }
