// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/shedpath/shedpath/eligibility"
	"github.com/shedpath/shedpath/member"
)

// Timing of moves.
const (
	// idleLinkCopyTime is how much longer than expected a copy may take for the links to count
	// as idle. The final copy, for which the run is stopped, then takes no longer, well below a
	// pause that a person notices.
	idleLinkCopyTime = 40 * time.Millisecond
	// finalCopyMargin is how long before the engine may be gone the run is stopped for the
	// final copy, even if the links are busy.
	finalCopyMargin = 500 * time.Millisecond
	// noticeGatherDelay is the wait between the first sign that an engine leaves and the first
	// move.
	noticeGatherDelay = 5 * time.Millisecond
	// maxMoveTargets bounds the engines that are asked whether their link is free, and
	// targetTurnTimeout bounds the wait for each reply.
	maxMoveTargets    = 4
	targetTurnTimeout = 30 * time.Millisecond
	// busyTargetTimeout bounds the wait for a target whose link is in use. It is most of the
	// time that a copy takes.
	busyTargetTimeout = 250 * time.Millisecond
	// failingCheckInterval is how often a mover checks whether its engine is failing.
	failingCheckInterval = 600 * time.Millisecond
	// moveRetryDelay is the wait before a failed move is tried again.
	moveRetryDelay = 50 * time.Millisecond
	// permitValidity is how long a permit that was taken when the target was chosen covers the
	// run's arrival there; a later arrival is counted as another send. Limits are enforced over
	// about four seconds.
	permitValidity = time.Second
	// moveTimeout bounds one copy; several copies may wait for one link.
	moveTimeout = 3 * time.Second
	// continueTimeout is how long the engines of a stopped run are tried while none is reached, however long the final
	// copy took, and continueRetryDelay the wait between tries. Engines keep copies for longer.
	continueTimeout    = 2 * time.Second
	continueRetryDelay = 100 * time.Millisecond
	// drainMargin is how long before the end of its drain time an engine isn't tried again: connecting takes
	// time, and the list had said earlier that the engine leaves.
	drainMargin = 500 * time.Millisecond
)

// handover says where a stopped run continues.
type handover struct {
	// target is where the run continues, source where it was stopped, and handle names the copy
	// of its memory.
	target Upstream
	source Upstream
	handle string
	// stoppedAt is when the source was asked to stop the run. permittedAt is when sending the
	// run to the target was permitted; zero if it continues at its source.
	stoppedAt, permittedAt time.Time
}

// mover watches the engine that a stream comes from, and moves the run when the engine leaves
// or fails.
type mover struct {
	source Upstream
	// answer is the stream that comes from the source.
	answer *Response
	stop   context.CancelFunc
	done   chan struct{}
	// movedAt is when the run was moved to the source; zero if it started there.
	movedAt time.Time

	// progress is the number of tokens passed on when watchEngine last looked, and progressAt is when
	// it last changed or the link was last checked. Only watchEngine uses them.
	progress   int64
	progressAt time.Time
	// carrierStopSeen is when watchEngine noticed that the peer that carries the stream stops.
	carrierStopSeen time.Time

	mu sync.Mutex
	// abortable is set while the run is moved for pace, which a sign that the source departs
	// ends.
	abortable bool
	// runStopping is set once the source was asked to stop the run. The end of the stream isn't
	// the end of the answer then.
	runStopping bool
	// stopFailed receives when the run turns out not to have been stopped.
	stopFailed chan struct{}
	// handle names the copy that was made; empty if there is none.
	handle string
	// result is where the run continues, once done is closed; nil if it wasn't moved.
	result *handover
}

// startMover starts a mover for the engine that the stream comes from. It also closes the
// answer when that instance of the engine is over.
func (s *streamExchange) startMover(ctx context.Context, u Upstream, a *Response) *mover {
	ctx, stop := context.WithCancel(ctx)
	m := &mover{source: u, answer: a, stop: stop, done: make(chan struct{}), stopFailed: make(chan struct{}, 1)}
	if s.moveCount > 0 {
		m.movedAt = s.now()
	}
	if s.service.Engine == nil || !s.service.Engine.Moves || s.run == nil {
		close(m.done)
		return m
	}
	run, leaving, over := s.run, s.fleet.LeavingStarted(u.ID), s.fleet.IncarnationEnded(u.ID)
	go func() {
		select {
		case <-ctx.Done():
		case <-over:
			// The engine restarted: the run is gone, and the new instance has no copy of
			// it. The connection may merely be silent, so the body is closed here.
			stop()
			closeBody(a)
		}
	}()
	go func() {
		defer close(m.done)
		// After a panic the run stays on its engine.
		defer s.recoverPanic(func() {})
		next := m.watchEngine(ctx, s.exchange, run, leaving)
		m.mu.Lock()
		m.result = next
		m.mu.Unlock()
		if next != nil {
			s.tasks.Go("broken stream", func() { m.endBrokenStream(ctx, s.exchange) })
		}
	}()
	return m
}

// watchEngine waits until the engine leaves or fails, and then moves the run. The result is nil
// if the run wasn't moved.
func (m *mover) watchEngine(ctx context.Context, x *exchange, run *ownRun, leaving <-chan struct{}) *handover {
	tick := time.NewTicker(failingCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-leaving:
			return m.evacuate(ctx, x, run)
		case <-tick.C:
			if next := m.leaveStoppingCarrier(ctx, x, run, leaving); next != nil || m.isRunStopping() {
				return next
			}
			if next := m.leaveBrokenLink(ctx, x, run); next != nil || m.isRunStopping() {
				return next
			}
			if next := m.leaveFailing(ctx, x, run); next != nil || m.isRunStopping() {
				return next
			}
			if next := m.leaveSlow(ctx, x, run, leaving); next != nil || m.isRunStopping() {
				return next
			}
		}
	}
}

// leaveFailing moves the run off a failing engine if another engine has room and the links of
// both are unused. Otherwise most streams on an engine that starts to fail are lost with it.
func (m *mover) leaveFailing(ctx context.Context, x *exchange, run *ownRun) *handover {
	// A copy needs another call to the engine, which may have asked for backoff.
	if !x.fleet.IsFailing(x.now(), m.source.ID) || x.backoffs.Remaining(x.now(), m.source.ID) > 0 || !x.leaveFailingMu.TryLock() {
		return nil
	}
	defer x.leaveFailingMu.Unlock()
	to, found := x.relocate(ctx, x.now(), run, nil)
	if !found {
		return nil
	}
	endTurns, err := m.tryTurns(ctx, x, run, to)
	defer endTurns()
	var next *handover
	if err == nil {
		x.shareRunChange(to)
		next, err = m.moveTo(ctx, x, to, m.expectedCopyTime(x, run, to), x.now().Add(moveTimeout))
	}
	if next != nil {
		return next
	}
	x.journal.Request(x.call.ID, "not moved off a failing engine", "from", m.source.ID, "to", to.ID, "err", err)
	x.engines.returnToEngine(x.now(), x.service.Name, run, m.source.ID)
	x.shareRunChange(to)
	m.discardCopy(x)
	return nil
}

// tryTurns takes the turns of both engines' links if nobody uses them.
func (m *mover) tryTurns(ctx context.Context, x *exchange, run *ownRun, to Upstream) (end func(), err error) {
	endSource, err := x.acquireTurn(ctx, m.source, TurnRequest{Engine: m.source.ID, Run: run.request.Run, NoWait: true})
	if err != nil {
		return endSource, err
	}
	endTarget, err := x.acquireTurn(ctx, to, TurnRequest{Engine: to.ID, Run: run.request.Run, NoWait: true})
	return func() {
		endTarget()
		endSource()
	}, err
}

// isRunStopping reports whether the source was asked to stop the run, in which case the end of
// its stream isn't the end of the answer.
func (m *mover) isRunStopping() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runStopping
}

// cancel ends the mover and frees its copy, if there is one.
func (m *mover) cancel(s *streamExchange) {
	m.stop()
	<-m.done
	m.discardCopy(s.exchange)
}

// discardCopy frees the copy, if there is one, in the background.
func (m *mover) discardCopy(x *exchange) {
	m.mu.Lock()
	handle := m.handle
	m.handle = ""
	m.mu.Unlock()
	if handle == "" {
		return
	}
	x.tasks.Go("copy", func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := x.discardCopy(ctx, m.source, handle); err != nil {
			// Engines free unused copies by themselves within seconds.
			x.journal.Request(x.call.ID, "copy not freed", "upstream", m.source.ID, "err", err)
		}
	})
}

// awaitHandover waits for a move in progress and returns where the run continues. It returns
// nil if no move is in progress, the run wasn't stopped or it is lost.
func (m *mover) awaitHandover(ctx context.Context) *handover {
	for ended := false; !ended; {
		if !m.isRunStopping() {
			return nil
		}
		select {
		case <-m.stopFailed:
		case <-m.done:
			ended = true
		case <-ctx.Done():
			ended = true
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.result
}

// evacuate copies the run to another engine while it continues, and stops it only for the final
// copy. A nil result means that there is nothing left to move.
func (m *mover) evacuate(ctx context.Context, x *exchange, run *ownRun) *handover {
	now := x.now()
	goneAt := x.fleet.ExpectedEnd(m.source.ID, now, x.expectedNotice(now, x.service))
	x.learnNotice(m.source)
	x.journal.Request(x.call.ID, "engine leaves", "upstream", m.source.ID, "foreseen_left", goneAt.Sub(now), "list_revision", x.fleet.Revision())
	// Engines often leave together; the notices of the others arrive a moment later.
	PauseFor(ctx, noticeGatherDelay)
	for ctx.Err() == nil {
		next, err := m.tryMove(ctx, x, run, goneAt)
		if next != nil {
			return next
		}
		x.journal.Request(x.call.ID, "move failed", "from", m.source.ID, "err", err, "foreseen_left", goneAt.Sub(x.now()))
		if m.isRunStopping() {
			return nil
		}
		PauseFor(ctx, moveRetryDelay)
	}
	return nil
}

// errNoTarget means that no other engine has room for a run.
var errNoTarget = errors.New("no other engine has room for the run")

// tryMove waits for the turn of the source's link and moves the run to the engine that is best
// at that time.
func (m *mover) tryMove(ctx context.Context, x *exchange, run *ownRun, goneAt time.Time) (*handover, error) {
	r := TurnRequest{Engine: m.source.ID, Run: run.request.Run, Priority: x.engines.movePriority(x.service.Name, run)}
	turnCtx, cancel := context.WithTimeout(ctx, goneAt.Add(-finalCopyMargin).Sub(x.now()))
	endTurn, err := x.acquireTurn(turnCtx, m.source, r)
	cancel()
	if err != nil {
		x.journal.Request(x.call.ID, "no turn", "engine", m.source.ID, "err", err)
	}
	defer endTurn()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	to, endTarget, found := m.chooseTarget(ctx, x, run)
	if !found {
		return nil, errNoTarget
	}
	defer endTarget()
	x.shareRunChange(to)
	x.shareRunChange(m.source)
	next, err := m.moveTo(ctx, x, to, m.expectedCopyTime(x, run, to), goneAt)
	if errors.Is(err, ErrTargetUnavailable) {
		x.fleet.Suspect(x.now(), to.ID)
	}
	if err != nil {
		m.discardCopy(x)
		x.engines.returnToEngine(x.now(), x.service.Name, run, m.source.ID)
		x.shareRunChange(to)
	}
	return next, err
}

// chooseTarget finds the best engine whose link no other move uses. If all links that it tried
// are in use, it waits for the last of them, and returns that engine even if the wait fails.
func (m *mover) chooseTarget(ctx context.Context, x *exchange, run *ownRun) (to Upstream, endTurn func(), found bool) {
	// Once the run counts elsewhere, the source is like any other engine to the placer.
	busy := []member.UpstreamID{m.source.ID}
	endTurn = func() {}
	for range maxMoveTargets {
		next, ok := x.relocate(ctx, x.now(), run, busy)
		if !ok {
			break
		}
		to, found = next, true
		turnCtx, cancel := context.WithTimeout(ctx, targetTurnTimeout)
		free, err := x.acquireTurn(turnCtx, to, TurnRequest{Engine: to.ID, Run: run.request.Run, NoWait: true})
		cancel()
		if err == nil {
			return to, free, true
		}
		busy = append(busy, to.ID)
	}
	if !found {
		return to, endTurn, false
	}
	turn, cancel := context.WithTimeout(ctx, busyTargetTimeout)
	defer cancel()
	free, err := x.acquireTurn(turn, to, TurnRequest{Engine: to.ID, Run: run.request.Run})
	if err != nil {
		x.journal.Request(x.call.ID, "no turn", "engine", to.ID, "err", err)
	}
	return to, free, true
}

// expectedCopyTime estimates how long a copy of the whole run takes on idle links. It is zero
// if the bandwidth is unknown.
func (m *mover) expectedCopyTime(x *exchange, run *ownRun, to Upstream) time.Duration {
	e := x.service.Engine
	if e.LinkBitsPerSecond <= 0 {
		return 0
	}
	bits := 8 * e.TokenBytes * (float64(run.request.PromptTokens) + float64(run.generatedTokens.Load()))
	copyTime := time.Duration(bits / e.LinkBitsPerSecond * float64(time.Second))
	if to.Zone != m.source.Zone {
		copyTime *= 2
	}
	return copyTime
}

// moveTo moves the run to one engine. goneAt is when the source may be gone.
func (m *mover) moveTo(ctx context.Context, x *exchange, to Upstream, expected time.Duration, goneAt time.Time) (*handover, error) {
	permittedAt := x.now()
	idleCopyLimit := expected + idleLinkCopyTime
	for {
		began := x.now()
		if _, err := m.copyMemory(ctx, x, to, false); err != nil {
			return nil, err
		}
		now := x.now()
		if now.Sub(began) <= idleCopyLimit || now.Add(finalCopyMargin).After(goneAt) {
			break
		}
		// The links were busy with other copies. The next copy is expected to be short, as the
		// target holds most of the run by then.
		idleCopyLimit = idleLinkCopyTime
	}
	if v := x.checkEligibility(x.now(), to, eligibility.Request); !v.OK() {
		// The run isn't stopped yet and can still move elsewhere.
		return nil, &notSentError{v}
	}
	if err := m.beginStop(ctx); err != nil {
		return nil, err
	}
	stoppedAt := x.now()
	moved, err := m.copyMemory(ctx, x, to, true)
	switch {
	case err == nil:
		return &handover{target: to, source: m.source, handle: moved.Handle, stoppedAt: stoppedAt, permittedAt: permittedAt}, nil
	case errors.Is(err, ErrRunNotFound), errors.Is(err, ErrMoveBusy), errors.Is(err, ErrNotSent), errors.Is(err, ErrTargetUnavailable) && moved.Handle == "":
		// The run was not stopped: it has ended, another copy is in progress, the engine wasn't
		// reached, or the target is gone. An engine that has stopped a run returns the handle of its
		// copy.
		m.mu.Lock()
		m.runStopping = false
		m.mu.Unlock()
		select {
		case m.stopFailed <- struct{}{}:
		default:
		}
		return nil, err
	case errors.Is(err, ErrTargetUnavailable):
		return &handover{target: m.source, source: m.source, handle: moved.Handle, stoppedAt: stoppedAt}, nil
	case m.handle != "":
		// It is unknown whether the run was stopped; its stream will show that.
		return &handover{target: to, source: m.source, handle: m.handle, stoppedAt: stoppedAt, permittedAt: permittedAt}, nil
	}
	return nil, err
}

// copyMemory asks the source to copy the run's memory to an engine, and waits until that is
// done. stop stops the run first.
func (m *mover) copyMemory(ctx context.Context, x *exchange, to Upstream, stop bool) (MoveResult, error) {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	began := x.now()
	moved, err := x.requestMove(ctx, m.source, MoveRequest{ID: x.call.ID, TargetAddress: to.Address, StopSource: stop})
	x.recordRefusedCopy(to, err)
	if moved.Handle != "" {
		m.mu.Lock()
		m.handle = moved.Handle
		m.mu.Unlock()
	}
	x.journal.Request(x.call.ID, "copied", "from", m.source.ID, "to", to.ID, "stop", stop, "took", x.now().Sub(began), "events", moved.EventsProduced, "err", err)
	return moved, err
}

// errNotContinued means that no engine continues a run that was stopped for a move. It is no failure of an engine:
// those that were asked didn't run it.
var errNotContinued = errors.New("no engine continues the run")

// continueRun sends the request to the engine that holds the copy. If that engine refuses, it
// sends the request to the engine where the run was stopped. While neither is reached, it tries
// again for continueTimeout, or until the engine's drain time ends. With an error it returns the
// engine that lost the run, or with errNotContinued the one where the run was stopped.
func (s *streamExchange) continueRun(ctx context.Context, h *handover) (Upstream, *Response, error) {
	targets := []Upstream{h.target}
	if h.target.ID != h.source.ID {
		targets = append(targets, h.source)
	}
	// An engine that asked for backoff is tried last.
	slices.SortStableFunc(targets, func(a, b Upstream) int {
		return cmp.Compare(s.backoffs.Remaining(s.now(), a.ID), s.backoffs.Remaining(s.now(), b.ID))
	})
	var lastErr error
	began, counted := s.now(), map[member.UpstreamID]bool{}
	for {
		var unreached []Upstream
		for _, u := range targets {
			if !counted[u.ID] && (u.ID != h.target.ID || s.now().Sub(h.permittedAt) > permitValidity) {
				s.countForcedSend(ctx, u)
				counted[u.ID] = true
			}
			a, err := s.takeUp(ctx, h, u)
			if err == nil {
				return u, a, nil
			}
			lastErr = err
			if !errors.Is(err, ErrNotSent) && !errors.Is(err, ErrTargetUnavailable) {
				// The engine may have continued the run; events of two runs must not be mixed.
				s.observer.Moved("lost", s.now().Sub(h.stoppedAt))
				return u, nil, err
			}
			if _, kept := notSentVerdict(err); errors.Is(err, ErrNotSent) && !kept && s.mayRetryAt(s.now().Add(continueRetryDelay), u) {
				unreached = append(unreached, u)
			}
		}
		if len(unreached) == 0 || ctx.Err() != nil || s.now().Add(continueRetryDelay).Sub(began) > continueTimeout {
			s.observer.Moved("lost", s.now().Sub(h.stoppedAt))
			return h.source, nil, fmt.Errorf("%w: %w", errNotContinued, lastErr)
		}
		targets = unreached
		PauseFor(ctx, continueRetryDelay)
	}
}

// mayRetryAt reports whether a run that an engine wasn't reached for may be sent there again: not once the engine
// has left for the drain time.
func (f *Forwarder) mayRetryAt(now time.Time, u Upstream) bool {
	left := f.fleet.LeavingFor(now, u.ID)
	return left == 0 || left+drainMargin <= f.settings.DrainTime
}

// errNotTheRun reports an answer to a moved run that isn't its stream. The engine may have continued the run.
var errNotTheRun = errors.New("the answer isn't the stream of the run")

// takeUp has an engine continue a run that was stopped. The error is ErrTargetUnavailable if the engine
// refuses.
func (s *streamExchange) takeUp(ctx context.Context, h *handover, u Upstream) (*Response, error) {
	a, err := s.send(ctx, u, &Continuation{Source: h.source.Address, Handle: h.handle, LastEventID: s.lastEventID})
	if err == nil && a.isStream() {
		s.moveCount++
		s.observer.Moved("ok", s.now().Sub(h.stoppedAt))
		s.journal.Request(s.call.ID, "moved", "from", h.source.ID, "to", u.ID, "after", s.lastEventID, "pause", s.now().Sub(h.stoppedAt))
		return a, nil
	}
	s.journal.Request(s.call.ID, "not taken up", "upstream", u.ID, "status", statusOf(a), "err", err)
	switch {
	case a == nil:
		return nil, err
	case a.NotRun || claimsNotRun(a.Status):
		err = ErrTargetUnavailable
	default:
		err = errNotTheRun
	}
	closeBody(a)
	return nil, err
}

// PauseFor waits for d or until the context ends. It returns at once if d is zero or negative.
func PauseFor(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
