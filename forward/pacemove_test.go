// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// fakePace is the step of each engine; one step in ten takes twice as long.
type fakePace map[member.UpstreamID]time.Duration

func (p fakePace) Estimate(_ time.Time, id member.UpstreamID) (step, slowStep time.Duration, ok bool) {
	return p[id], 2 * p[id], p[id] > 0
}

// TestMoveForPace checks when a run on a slow engine continues on a faster one, and that it stays,
// is counted where it is, and leaves no copy behind if the move fails halfway. The slow engine is
// llm1, and llm2 the fast one.
func TestMoveForPace(t *testing.T) {
	const copyTime = 300 * time.Millisecond // longer than on idle links, so that copies are repeated before the final one
	type scene struct {
		f        *Forwarder
		move     func(ctx context.Context, r MoveRequest) (MoveResult, error)
		duration time.Duration
		stop     context.CancelFunc
		// zone is the zone of the slow engine, and finalAborted is set if the final copy, for which
		// the run is stopped, was given up.
		zone         member.Zone
		finalAborted bool
	}
	for name, c := range map[string]struct {
		prepare func(s *scene)
		// event happens 1 s after the start, during the second copy, or at eventAt.
		event   func(s *scene)
		eventAt time.Duration
		// to is where the run continues; empty if it stays.
		to member.UpstreamID
		// moved, failed and discarded are the expected numbers.
		moved, failed uint64
		discarded     int
	}{
		"moves":           {to: "llm2", moved: 1},
		"setting off":     {prepare: func(s *scene) { s.f.settings.Placement.PaceMoves = false }},
		"pace not known":  {prepare: func(s *scene) { s.f.paceMoves.paceOf = nil }},
		"pace not active": {prepare: func(s *scene) { s.f.paceMoves.paceOf = func(ServiceName) paceEstimator { return nil } }},
		"none is faster": {prepare: func(s *scene) {
			s.f.paceMoves.paceOf = func(ServiceName) paceEstimator { return fakePace{"llm1": 25 * time.Millisecond} }
		}},
		"in another zone":  {prepare: func(s *scene) { s.zone = "z2" }},
		"link is used":     {prepare: func(s *scene) { useLink(s.f, "llm2") }},
		"its link is used": {prepare: func(s *scene) { useLink(s.f, "llm1") }},
		"runs must leave llm3": {prepare: func(s *scene) {
			s.duration = 1500 * time.Millisecond
			s.f.engines.place(context.Background(), time.Now(), "llm", policy.Request{Run: "other", PromptTokens: 3000, ExcludedEngines: []member.UpstreamID{"llm1", "llm2"}, Deadline: time.Now().Add(time.Minute)})
			s.f.fleet.MarkLeaving(time.Now(), "llm3", 0, true)
		}},
		"target has no room": {failed: 2, prepare: func(s *scene) {
			s.duration = 30 * time.Second
			s.move = func(context.Context, MoveRequest) (MoveResult, error) { return MoveResult{}, ErrTargetUnavailable }
		}},
		"no faster engine has room": {prepare: func(s *scene) {
			s.f.engines.place(context.Background(), time.Now(), "llm", policy.Request{Run: "other", PromptTokens: 31000, ExcludedEngines: []member.UpstreamID{"llm1", "llm3"}, Deadline: time.Now().Add(time.Minute)})
		}},
		"host stops":               {failed: 1, discarded: 1, event: func(s *scene) { s.stop() }},
		"source leaves":            {failed: 1, discarded: 1, to: "llm2", event: func(s *scene) { s.f.fleet.MarkLeaving(time.Now(), "llm1", 0, true) }},
		"source leaves at the end": {moved: 1, to: "llm2", eventAt: 3450 * time.Millisecond, event: func(s *scene) { s.f.fleet.MarkLeaving(time.Now(), "llm1", 0, true) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &scene{duration: 4 * time.Second, zone: "z1"}
				transport := &fakeTransport{move: func(ctx context.Context, _ Upstream, r MoveRequest) (MoveResult, error) {
					if s.move != nil {
						return s.move(ctx, r)
					}
					PauseFor(ctx, copyTime)
					s.finalAborted = s.finalAborted || r.StopSource && ctx.Err() != nil
					return MoveResult{Handle: "h"}, ctx.Err()
				}}
				f := newForwarder(t, transport)
				s.f = f
				f.settings.Placement.PaceMoves = true
				f.paceMoves.paceOf = func(ServiceName) paceEstimator {
					return fakePace{"llm1": 25 * time.Millisecond, "llm2": 10 * time.Millisecond, "llm3": 24 * time.Millisecond}
				}
				now := time.Now()
				f.updatePlacementEngines(now, f.Table())
				_, run, _ := f.engines.place(t.Context(), now, "llm", policy.Request{Run: "r1", PromptTokens: 3000, ExcludedEngines: []member.UpstreamID{"llm2", "llm3"}, Deadline: now.Add(time.Minute)})
				if c.prepare != nil {
					c.prepare(s)
				}
				ctx, cancel := context.WithTimeout(t.Context(), s.duration)
				defer cancel()
				s.stop = cancel
				if c.event != nil {
					at := time.Second
					if c.eventAt > 0 {
						at = c.eventAt
					}
					time.AfterFunc(at, func() { c.event(s) })
				}
				go func() { // the pool only considers engines with recent reports
					for ctx.Err() == nil {
						PauseFor(ctx, time.Second)
						f.updatePlacementEngines(time.Now(), f.Table())
					}
				}()
				source, _ := f.fleet.Upstream("llm1")
				source.Zone = s.zone
				m := &mover{source: source, answer: &Response{}}
				x := &exchange{Forwarder: f, service: f.Table().Services()["llm"], route: Route{GapObjective: 180 * time.Millisecond}, call: call("/llm/")}
				next := m.watchEngine(ctx, x, run, f.fleet.LeavingStarted("llm1"))
				cancel()
				synctest.Wait()
				if c.to == "" {
					is.True(next == nil)
					is.Equal(run.engine, member.UpstreamID("llm1"))
					is.Equal(f.engines.pools["llm"].pool.EngineOf("r1"), member.UpstreamID("llm1"))
				} else {
					is.True(next != nil)
					is.Equal(next.target.ID, c.to)
				}
				status := f.MoveStatus()[0]
				is.Equal(status.PaceMoved, c.moved)
				is.Equal(status.PaceFailed, c.failed)
				is.Equal(len(transport.discarded), c.discarded)
				is.True(!s.finalAborted)
				is.True(f.leaveFailingMu.TryLock()) // the next run may move
			})
		})
	}
}

// useLink occupies the link of an engine for a minute.
func useLink(f *Forwarder, id member.UpstreamID) {
	link := f.turns.queueFor(time.Now(), id)
	link.holder, link.expiresAt = "other", time.Now().Add(time.Minute)
}

// TestPaceMoveInterval guards against a run that is moved again right after a move, and against
// moving an answer that is late already.
func TestPaceMoveInterval(t *testing.T) {
	is := is.New(t)
	f := newForwarder(t, &fakeTransport{})
	now := time.Now()
	f.updatePlacementEngines(now, f.Table())
	_, run, _ := f.engines.place(t.Context(), now, "llm", policy.Request{Run: "r1", PromptTokens: 3000, Deadline: now.Add(time.Minute)})
	s := &streamExchange{exchange: &exchange{Forwarder: f, service: f.Table().Services()["llm"], route: Route{GapObjective: 180 * time.Millisecond}, call: call("/llm/")}, run: run}
	m := &mover{movedAt: now}
	is.True(!m.rebalanceRun(s.exchange, run).Exceeded)
	s.noteGap(200 * time.Millisecond)
	s.noteGap(20 * time.Millisecond)
	run.pace = paceHistory{tried: 1, triedAt: now.Add(-time.Second)}
	r := m.rebalanceRun(s.exchange, run)
	is.True(r.Exceeded)
	is.Equal(r.MaxStep, 40500*time.Microsecond) // 0.9 of 180 ms for four tokens
	is.Equal(r.Moves, 1)
	is.Equal(r.MovedAt, now)
	is.True(r.Remaining > 0 && r.Remaining < 4096)
}

// TestAbortBeforeStop guards against a run that is stopped although its move was given up just
// before: it would have to be continued from a copy that nobody made.
func TestAbortBeforeStop(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	m := &mover{}
	m.setAbortable(true)
	is.NoErr(m.beginStop(ctx))
	is.True(m.isRunStopping())
	cancel()
	given := &mover{}
	given.setAbortable(true)
	is.True(given.beginStop(ctx) != nil)
	is.True(!given.isRunStopping())
	given.setAbortable(false)
	is.NoErr(given.beginStop(ctx)) // other moves go on as before
}
