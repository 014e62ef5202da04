// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/shedpath/shedpath/eligibility"
	"github.com/shedpath/shedpath/member"
)

// Timing of moves.
const (
	// idleLinkCopyTime is how long a copy may take for the links to count as free: the
	// last part, for which the run stands still, then takes no longer, well
	// under the pause that a person notices.
	idleLinkCopyTime = 40 * time.Millisecond
	// finalCopyMargin is how long before the engine may be gone the run is stopped
	// for its last part even if the links are busy.
	finalCopyMargin = 500 * time.Millisecond
	// noticeGatherDelay is waited after the first sign that an engine leaves.
	noticeGatherDelay = 5 * time.Millisecond
	// maxMoveTargets is how many engines are asked whether their link is free, and
	// targetTurnTimeout how long each answer may take.
	maxMoveTargets    = 4
	targetTurnTimeout = 30 * time.Millisecond
	// busyTargetTimeout is how long a run waits for a target in use: most of a
	// copy's time.
	busyTargetTimeout = 250 * time.Millisecond
	// failingCheckInterval is how often a run looks whether its engine is failing.
	failingCheckInterval = 600 * time.Millisecond
	// moveRetryDelay is waited before a move that couldn't be made is tried again.
	moveRetryDelay = 50 * time.Millisecond
	// permitValidity is how long a run may take to its target and still count there as sent
	// when that was chosen; limits are kept to in some four seconds.
	permitValidity = time.Second
	// moveTimeout bounds one copy; several may wait on one link.
	moveTimeout = 3 * time.Second
)

// handover says where a stopped run goes on.
type handover struct {
	target Upstream
	source Upstream
	handle string
	// stoppedAt is when the run was stoppedAt, and permittedAt when it was to be sent there.
	stoppedAt, permittedAt time.Time
}

// mover watches one engine of a stream and moves the run when it leaves.
type mover struct {
	source Upstream
	stop   context.CancelFunc
	done   chan struct{}

	mu sync.Mutex
	// runStopping says that the run was told to stop at the source; it isn't at
	// its end when its stream is.
	runStopping bool
	// handle names a copy that was made; empty for none.
	handle string
	result *handover
}

// startMover starts a mover for the engine that the stream comes from, and ends the answer
// with the engine's life.
func (s *streamExchange) startMover(ctx context.Context, u Upstream, a *Response) *mover {
	ctx, stop := context.WithCancel(ctx)
	m := &mover{source: u, stop: stop, done: make(chan struct{})}
	if s.service.Engine == nil || !s.service.Engine.Moves || s.run == nil {
		close(m.done)
		return m
	}
	run, leaving, over := s.run, s.fleet.LeavingStarted(u.ID), s.fleet.IncarnationEnded(u.ID)
	go func() {
		select {
		case <-ctx.Done():
		case <-over:
			// The run ended with its engine's life, and no copy is to be looked for
			// in the new one. The connection may just be silent.
			stop()
			closeBody(a)
		}
	}()
	go func() {
		defer close(m.done)
		// The run goes on where it is.
		defer s.recoverPanic(func() {})
		next := m.watchEngine(ctx, s.exchange, run, leaving)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.result = next
	}()
	return m
}

// watchEngine waits until the engine leaves, or is failing, and moves the watchEngine.
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
			if next := m.leaveFailing(ctx, x, run); next != nil || m.isRunStopping() {
				return next
			}
		}
	}
}

// leaveFailing moves the run off an engine that is failing, if another has room and
// nothing else uses the links. Without it a stream on an engine that goes bad is
// mostly lost with it.
func (m *mover) leaveFailing(ctx context.Context, x *exchange, run *ownRun) *handover {
	// A copy is a call more to an engine that may have asked for backoff.
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

// tryTurns takes the turns of both links if nobody uses them.
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

// isRunStopping reports whether the run was told to stop, so that the end of its
// stream isn't the end of the answer.
func (m *mover) isRunStopping() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runStopping
}

// cancel ends the mover and frees a copy that won't be used.
func (m *mover) cancel(s *streamExchange) {
	m.stop()
	<-m.done
	m.discardCopy(s.exchange)
}

// discardCopy frees the copy that was made, if any, in the background.
func (m *mover) discardCopy(x *exchange) {
	m.mu.Lock()
	handle := m.handle
	m.handle = ""
	m.mu.Unlock()
	if handle == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := x.discardCopy(ctx, m.source, handle); err != nil {
			// The engines free it by themselves within seconds.
			x.journal.Request(x.call.ID, "copy not freed", "upstream", m.source.ID, "err", err)
		}
	}()
}

// awaitHandover waits for a move that is under way and returns where the run goes
// on, or nil when it was lost.
func (m *mover) awaitHandover(ctx context.Context) *handover {
	if !m.isRunStopping() {
		return nil
	}
	select {
	case <-m.done:
	case <-ctx.Done():
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.result
}

// evacuate copies the run to another engine while it goes on, and then stops it
// for the last part. A nil result means that there is nothing left to move.
func (m *mover) evacuate(ctx context.Context, x *exchange, run *ownRun) *handover {
	now := x.now()
	gone := x.fleet.ExpectedEnd(m.source.ID, now, x.settings.DrainTime)
	x.journal.Request(x.call.ID, "engine leaves", "upstream", m.source.ID, "foreseen_left", gone.Sub(now), "list_revision", x.fleet.Revision())
	// Engines often leave together; the others' notices are a moment behind.
	PauseFor(ctx, noticeGatherDelay)
	for ctx.Err() == nil {
		next, err := m.tryMove(ctx, x, run, gone)
		if next != nil {
			return next
		}
		x.journal.Request(x.call.ID, "move failed", "from", m.source.ID, "err", err, "foreseen_left", gone.Sub(x.now()))
		if m.isRunStopping() {
			return nil
		}
		PauseFor(ctx, moveRetryDelay)
	}
	return nil
}

// errNoTarget says that no other engine has room for a run.
var errNoTarget = errors.New("no other engine has room")

// tryMove waits for the turn and moves the run to the engine that suits best
// then.
func (m *mover) tryMove(ctx context.Context, x *exchange, run *ownRun, gone time.Time) (*handover, error) {
	r := TurnRequest{Engine: m.source.ID, Run: run.request.Run, Priority: x.engines.movePriority(x.service.Name, run)}
	turn, cancel := context.WithTimeout(ctx, gone.Add(-finalCopyMargin).Sub(x.now()))
	end, err := x.acquireTurn(turn, m.source, r)
	cancel()
	if err != nil {
		x.journal.Request(x.call.ID, "no turn", "engine", m.source.ID, "err", err)
	}
	defer end()
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
	next, err := m.moveTo(ctx, x, to, m.expectedCopyTime(x, run, to), gone)
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

// chooseTarget finds the best engine whose link isn't in use by another move; when all
// that were tried are, it waits for the last of them.
func (m *mover) chooseTarget(ctx context.Context, x *exchange, run *ownRun) (to Upstream, end func(), found bool) {
	var busy []member.UpstreamID
	end = func() {}
	for range maxMoveTargets {
		next, ok := x.relocate(ctx, x.now(), run, busy)
		if !ok {
			break
		}
		to, found = next, true
		turn, cancel := context.WithTimeout(ctx, targetTurnTimeout)
		free, err := x.acquireTurn(turn, to, TurnRequest{Engine: to.ID, Run: run.request.Run, NoWait: true})
		cancel()
		if err == nil {
			return to, free, true
		}
		busy = append(busy, to.ID)
	}
	if !found {
		return to, end, false
	}
	turn, cancel := context.WithTimeout(ctx, busyTargetTimeout)
	defer cancel()
	free, err := x.acquireTurn(turn, to, TurnRequest{Engine: to.ID, Run: run.request.Run})
	if err != nil {
		x.journal.Request(x.call.ID, "no turn", "engine", to.ID, "err", err)
	}
	return to, free, true
}

// expectedCopyTime is how long the whole copy takes on free links.
func (m *mover) expectedCopyTime(x *exchange, run *ownRun, to Upstream) time.Duration {
	e := x.service.Engine
	if e.LinkBitsPerSecond <= 0 {
		return 0
	}
	bits := 8 * e.TokenBytes * (float64(run.request.PromptTokens) + float64(run.generatedTokens.Load()))
	took := time.Duration(bits / e.LinkBitsPerSecond * float64(time.Second))
	if to.Zone != m.source.Zone {
		took *= 2
	}
	return took
}

// moveTo moves the run to one engine.
func (m *mover) moveTo(ctx context.Context, x *exchange, to Upstream, expected time.Duration, gone time.Time) (*handover, error) {
	permitted := x.now()
	free := expected + idleLinkCopyTime
	for {
		began := x.now()
		if _, err := m.copyMemory(ctx, x, to, false); err != nil {
			return nil, err
		}
		now := x.now()
		if now.Sub(began) <= free || now.Add(finalCopyMargin).After(gone) {
			break
		}
		// The links were busy with others' copies.
		free = idleLinkCopyTime
	}
	if v := x.checkEligibility(x.now(), to, eligibility.Request); !v.OK() {
		// The run isn't stopped yet, and may still go elsewhere.
		return nil, &notSentError{v}
	}
	m.mu.Lock()
	m.runStopping = true
	m.mu.Unlock()
	stopped := x.now()
	moved, err := m.copyMemory(ctx, x, to, true)
	switch {
	case err == nil:
		return &handover{target: to, source: m.source, handle: moved.Handle, stoppedAt: stopped, permittedAt: permitted}, nil
	case errors.Is(err, ErrRunNotFound), errors.Is(err, ErrMoveBusy), errors.Is(err, ErrTargetUnavailable) && moved.Handle == "":
		// Nothing was stopped: the run has ended, a copy is still going, or the
		// target is gone. An engine that has stopped a run names its copy.
		m.mu.Lock()
		m.runStopping = false
		m.mu.Unlock()
		return nil, err
	case errors.Is(err, ErrTargetUnavailable):
		return &handover{target: m.source, source: m.source, handle: moved.Handle, stoppedAt: stopped}, nil
	case m.handle != "":
		// Whether the run stopped isn't known; its stream will tell.
		return &handover{target: to, source: m.source, handle: m.handle, stoppedAt: stopped, permittedAt: permitted}, nil
	}
	return nil, err
}

// copyMemory has the run's memory copied once and waits until it is.
func (m *mover) copyMemory(ctx context.Context, x *exchange, to Upstream, stop bool) (MoveResult, error) {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	began := x.now()
	moved, err := x.requestMove(ctx, m.source, MoveRequest{ID: x.call.ID, TargetAddress: to.Address, StopSource: stop})
	if moved.Handle != "" {
		m.mu.Lock()
		m.handle = moved.Handle
		m.mu.Unlock()
	}
	x.journal.Request(x.call.ID, "copied", "from", m.source.ID, "to", to.ID, "stop", stop, "took", x.now().Sub(began), "events", moved.EventsProduced, "err", err)
	return moved, err
}

// continueRun sends the request to the engine that holds the copy; when that refuses
// it, to the engine where the run stopped.
func (s *streamExchange) continueRun(ctx context.Context, h *handover) (Upstream, *Response, error) {
	targets := []Upstream{h.target}
	if h.target.ID != h.source.ID {
		targets = append(targets, h.source)
	}
	var last error
	// One that wants nothing now is the last resort.
	slices.SortStableFunc(targets, func(a, b Upstream) int {
		return cmp.Compare(s.backoffs.Remaining(s.now(), a.ID), s.backoffs.Remaining(s.now(), b.ID))
	})
	for _, u := range targets {
		if u.ID != h.target.ID || s.now().Sub(h.permittedAt) > permitValidity {
			s.countForcedSend(ctx, u)
		}
		a, err := s.send(ctx, u, &Continuation{Source: h.source.Address, Handle: h.handle, LastEventID: s.lastEventID})
		if err == nil && a.Status == 200 && a.Signed {
			s.moveCount++
			s.observer.Moved("ok", s.now().Sub(h.stoppedAt))
			s.journal.Request(s.call.ID, "moved", "from", h.source.ID, "to", u.ID, "after", s.lastEventID, "pause", s.now().Sub(h.stoppedAt))
			return u, a, nil
		}
		s.journal.Request(s.call.ID, "not taken up", "upstream", u.ID, "status", statusOf(a), "err", err)
		last = err
		if a != nil {
			closeBody(a)
			last = ErrTargetUnavailable
		}
		if err != nil && !errors.Is(err, ErrNotSent) {
			// It may have been taken up there: two runs must not be joined.
			break
		}
	}
	s.observer.Moved("lost", s.now().Sub(h.stoppedAt))
	return Upstream{}, nil, last
}

// PauseFor waits for a while or until the context ends; not at all for less than nothing.
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
