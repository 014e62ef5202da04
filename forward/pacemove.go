// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"slices"
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/rebalance"
)

// paceEstimator estimates how fast the engines of one service decode: the typical time of a step, and
// the time that one step in a thousand exceeds. ok is false if that isn't known.
type paceEstimator interface {
	Estimate(now time.Time, engine member.UpstreamID) (step, slowStep time.Duration, ok bool)
}

// paceMoves is what this host needs for moves for pace. The zero value moves nothing.
type paceMoves struct {
	// paceOf returns the estimates for a service; nil while placement by pace isn't active for it.
	// It is set before the forwarder serves.
	paceOf func(ServiceName) paceEstimator
}

// paceHistory is what a run's moves for pace depend on. It is used by one mover at a time.
type paceHistory struct {
	// tried counts the moves for pace whose links were free.
	tried int
	// triedAt is when the last of these ended.
	triedAt time.Time
}

// leaveSlow moves the run off an engine that is too slow for it, if a faster engine of the same
// zone has room, the links of both are unused, and no departing engine of the zone has runs. The
// zone is this host's own, where it knows all runs. A sign that the source departs ends the
// attempt, unless the source has been asked to stop the run.
func (m *mover) leaveSlow(ctx context.Context, x *exchange, run *ownRun, leaving <-chan struct{}) *handover {
	if !x.settings.Placement.PaceMoves || x.paceMoves.paceOf == nil || m.source.Zone != x.peers.self.Zone {
		return nil
	}
	estimates, now := x.paceMoves.paceOf(x.service.Name), x.now()
	if estimates == nil {
		return nil
	}
	source, r := estimatePace(estimates, now, m.source.ID), m.rebalanceRun(x, run)
	reason := rebalance.Leaves(now, r, source)
	if reason == rebalance.None || x.backoffs.Remaining(now, m.source.ID) > 0 || x.hasDepartingRuns(now, m.source.Zone) || !x.leaveFailingMu.TryLock() {
		return nil
	}
	defer x.leaveFailingMu.Unlock()
	to, found := x.relocateForPace(ctx, now, run, r, source, estimates)
	if !found {
		return nil
	}
	target := estimatePace(estimates, now, to.ID)
	endTurns, err := m.tryTurns(ctx, x, run, to)
	defer endTurns()
	var next *handover
	if err == nil {
		run.pace.tried++
		x.journal.Request(x.call.ID, "moves for pace", "reason", reason, "from", m.source.ID, "to", to.ID, "step", source.Step, "slow_step", source.SlowStep, "target_step", target.Step, "target_slow_step", target.SlowStep, "max_step", r.MaxStep, "remaining", r.Remaining, "deadline_in", timeUntil(now, r.Deadline), "tried", run.pace.tried)
		x.shareRunChange(to)
		m.setAbortable(true)
		copyCtx, cancel := context.WithCancel(ctx)
		stop := m.cancelOnLeaving(leaving, cancel)
		next, err = m.moveTo(copyCtx, x, to, m.expectedCopyTime(x, run, to), now.Add(moveTimeout))
		stop()
		m.setAbortable(false)
		run.pace.triedAt = x.now()
		x.engines.countPaceMove(x.service.Name, next != nil)
	}
	if next != nil {
		return next
	}
	x.journal.Request(x.call.ID, "not moved for pace", "from", m.source.ID, "to", to.ID, "err", err)
	x.engines.returnToEngine(x.now(), x.service.Name, run, m.source.ID)
	x.shareRunChange(to)
	m.discardCopy(x)
	return nil
}

// timeUntil is how long it is until a deadline; zero if there is none.
func timeUntil(now, deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return 0
	}
	return deadline.Sub(now)
}

func estimatePace(estimates paceEstimator, now time.Time, id member.UpstreamID) rebalance.Pace {
	step, slow, known := estimates.Estimate(now, id)
	if !known {
		return rebalance.Pace{}
	}
	return rebalance.Pace{Step: step, SlowStep: slow}
}

// rebalanceRun describes the run for the decision.
func (m *mover) rebalanceRun(x *exchange, run *ownRun) rebalance.Run {
	r := rebalance.Run{
		Remaining: x.engines.expectedRemaining(x.now(), x.service.Name, run), Deadline: x.deadline,
		Moves: run.pace.tried, MovedAt: laterOf(m.movedAt, run.pace.triedAt),
	}
	if x.route.GapObjective > 0 {
		r.Exceeded = time.Duration(run.longestGap.Load()) > x.route.GapObjective
		r.MaxStep = time.Duration(stepShareOfPause * float64(x.route.GapObjective) / float64(max(x.service.Engine.EventTokens, 1)))
	}
	return r
}

// expectedRemaining is how many further tokens a run is expected to generate.
func (e *enginePlacer) expectedRemaining(now time.Time, service ServiceName, run *ownRun) policy.Tokens {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil {
		return 0
	}
	p.pool.Progress(now, run.request.Run, policy.Tokens(run.generatedTokens.Load()))
	return p.pool.ExpectedRemaining(run.request.Run)
}

// countPaceMove counts a move for pace that was tried.
func (e *enginePlacer) countPaceMove(service ServiceName, moved bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch p := e.pools[service]; {
	case p == nil:
	case moved:
		p.paceMoved++
	default:
		p.paceFailed++
	}
}

// hasDepartingRuns reports whether a departing engine of a zone has runs. Their moves need the
// links.
func (x *exchange) hasDepartingRuns(now time.Time, zone member.Zone) bool {
	for id := range x.fleet.departures(now, x.service.Name, x.expectedNotice(now, x.service)) {
		if u, known := x.fleet.Upstream(id); known && u.Zone == zone && x.engines.otherRuns(x.service.Name, id, "") > 0 {
			return true
		}
	}
	return false
}

// relocateForPace finds a faster engine with room in the zone of the run's engine.
func (x *exchange) relocateForPace(ctx context.Context, now time.Time, run *ownRun, r rebalance.Run, source rebalance.Pace, estimates paceEstimator) (Upstream, bool) {
	from, zone := run.engine, x.peers.self.Zone
	avoid, anySuits := x.throttledEngines(now).sameZone, false
	for _, u := range x.acceptingUpstreams(now) {
		if u.Zone != zone || u.ID == from {
			continue
		}
		if rebalance.Suits(now, r, source, estimatePace(estimates, now, u.ID)) {
			anySuits = true
			continue
		}
		avoid = append(slices.Clip(avoid), u.ID)
	}
	if !anySuits {
		return Upstream{}, false
	}
	x.versions.set(x.rollouts.RetryFilter(x.service.Name))
	versions := x.versions.get()
	to, found := x.engines.relocate(now, x.service.Name, run, policy.Target{
		SameZoneOnly: true, Zone: zone, ExcludedEngines: avoid, OnlyGroup: string(versions.Only), ExcludedGroup: string(versions.Except),
	})
	if !found {
		return Upstream{}, false
	}
	// The pool may know an engine that the list lacks by now.
	if !rebalance.Suits(now, r, source, estimatePace(estimates, now, to.ID)) || !x.authorizeSend(ctx, to, false).OK() {
		x.engines.returnToEngine(x.now(), x.service.Name, run, from)
		return Upstream{}, false
	}
	return to, true
}

// setAbortable sets whether a sign that the engine departs ends the move in progress.
func (m *mover) setAbortable(abortable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.abortable = abortable
}

// cancelOnLeaving cancels a move when the engine starts leaving, unless the run is being stopped by
// then. The returned function ends the wait and the move's context.
func (m *mover) cancelOnLeaving(leaving <-chan struct{}, cancel context.CancelFunc) (stop func()) {
	done := make(chan struct{})
	go func() {
		select {
		case <-done:
		case <-leaving:
			m.mu.Lock()
			defer m.mu.Unlock()
			if !m.runStopping {
				cancel()
			}
		}
	}()
	return func() {
		close(done)
		cancel()
	}
}

// beginStop records that the source is about to be asked to stop the run. It returns an error if
// the move has been given up since.
func (m *mover) beginStop(ctx context.Context) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.abortable && ctx.Err() != nil {
		return context.Cause(ctx)
	}
	m.runStopping = true
	return nil
}

// noteGap records a pause between two events of the run. Only the relaying goroutine calls it.
func (s *streamExchange) noteGap(gap time.Duration) {
	if s.run != nil && int64(gap) > s.run.longestGap.Load() {
		s.run.longestGap.Store(int64(gap))
	}
}
