// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// newPaceForwarder returns a forwarder whose callers allow pauses of 100 ms.
func newPaceForwarder(t *testing.T, transport Transport, enabled bool) *Forwarder {
	f := newForwarder(t, transport)
	f.engines.paceEnabled = enabled
	c := testConfig(2)
	c.Routes[2].GapObjective = 100 * time.Millisecond
	f.Configure(time.Now(), c)
	return f
}

// observeEngines records 14 seconds of events on llm1, with the given step, and on llm2, with one of
// 10 ms, and updates the placement after each. It returns the time of the last.
func observeEngines(f *Forwarder, step time.Duration) time.Time {
	now := time.Now()
	for end := now.Add(14 * time.Second); now.Before(end); now = now.Add(50 * time.Millisecond) {
		f.engines.observePace(now, "llm", Upstream{ID: "llm1"}, step)
		f.engines.observePace(now, "llm", Upstream{ID: "llm2"}, 10*time.Millisecond)
		f.updatePlacementEngines(now, f.Table())
	}
	return now
}

// TestPaceReports checks that with placement by pace each engine is reported with its own step times and
// an unknown one without, and that nothing is learned, reported or shared without it.
func TestPaceReports(t *testing.T) {
	is := is.New(t)
	f := newPaceForwarder(t, &fakeTransport{}, true)
	now, p := observeEngines(f, 40*time.Millisecond), f.engines.pools["llm"]
	slow, fast, unknown := p.report(now, "llm1"), p.report(now, "llm2"), p.report(now, "llm3")
	is.True(slow.StepTime > 35*time.Millisecond && slow.SlowStepTime >= slow.StepTime && fast.StepTime < 12*time.Millisecond)
	is.Equal(unknown.SlowStepTime, time.Duration(0)) // the pool decides what it counts as
	is.True(f.Paces()[0].Active && len(f.Paces()[0].Engines) == 2)
	f.engines.resetEngine("llm1")
	is.Equal(len(f.Paces()[0].Engines), 1)

	f = newPaceForwarder(t, &fakeTransport{}, true)
	now, p = observeEngines(f, 13*time.Millisecond), f.engines.pools["llm"]
	marks := f.engines.paceMarks(now, false)
	is.Equal(len(marks), 2)
	is.Equal(p.report(now, "llm1"), policy.Report{Engine: "llm1", TotalMemory: p.spec.Memory, StepTime: assumedStep}) // the engines are alike

	f = newPaceForwarder(t, &fakeTransport{}, false)
	now, p = observeEngines(f, 40*time.Millisecond), f.engines.pools["llm"]
	f.fleet.Replace(now, []Upstream{{ID: "llm1", Service: "llm", Incarnation: 7, Revision: rev(2)}}, rev(2))
	marks[0].Incarnation, marks[1].Incarnation = 9, 9
	f.receivePaces(now, "h2", marks)
	u, _ := f.fleet.Upstream("llm1")
	is.Equal(u.Incarnation, Incarnation(7))
	is.Equal(p.report(now, "llm1"), policy.Report{Engine: "llm1", TotalMemory: p.spec.Memory, StepTime: assumedStep})
	is.Equal(len(f.engines.paceMarks(now, false))+len(f.Paces()), 0)
}

// sharedWith records the share that a peer receives.
type sharedWith struct {
	Peers
	share Share
}

func (s *sharedWith) Share(_ context.Context, _ Peer, share Share) (Share, error) {
	s.share = share
	return Share{}, errors.New("no reply")
}

// TestPaceExchange checks that marks reach the hosts of the same cell only, with the reply a host that
// has just started, and that a mark of a past incarnation, or of an engine that is gone, has no effect.
func TestPaceExchange(t *testing.T) {
	is := is.New(t)
	from, to := newPaceForwarder(t, &fakeTransport{}, true), newPaceForwarder(t, &fakeTransport{}, true)
	now := observeEngines(from, 40*time.Millisecond)
	near, far := Peer{ID: "h2", Zone: "z1"}, Peer{ID: "h3", Zone: "z2"}
	for peer, want := range map[Peer]int{near: 2, far: 0} {
		from.peers.recordShare(now, Share{From: peer})
		sent := &sharedWith{}
		share := from.newShare(now)
		share.Paces = from.engines.paceMarks(now, false)
		from.shareWith(t.Context(), sent, peer, share)
		is.Equal(len(sent.share.Paces), want)
		is.Equal(len(from.pacesForReply(now, Share{From: peer})), want)
		is.Equal(len(from.pacesForReply(now, Share{From: peer, List: rev(1)})), 0) // gets this host's shares
	}
	marks := from.engines.paceMarks(now, false)
	to.fleet.Replace(now, []Upstream{{ID: "llm1", Service: "llm", Incarnation: 7, Revision: rev(2)}, {ID: "llm2", Service: "llm", Revision: rev(2)}}, rev(2))
	marks[0].Incarnation, marks[1].Incarnation = 6, 0
	marks[0].Engine, marks[1].Engine = "llm1", "llm2"
	to.receivePaces(now, "h1", marks)
	is.Equal(to.Paces()[0].Engines[0].Engine, member.UpstreamID("llm2"))
	is.Equal(len(to.Paces()[0].Engines), 1)
	to.fleet.Replace(now, []Upstream{{ID: "llm1", Service: "llm", Incarnation: 7, Revision: rev(3)}}, rev(3))
	to.updatePaces(now)
	is.Equal(len(to.Paces()[0].Engines), 0)
}

// TestPaceOfStream checks that a stream's gaps count for the engine that it comes from, also while a move
// is prepared, and that a gap that spans a resumption teaches nothing.
func TestPaceOfStream(t *testing.T) {
	for name, c := range map[string]struct {
		moved bool
		want  map[member.UpstreamID]int
	}{
		"moved after 15 events":   {true, map[member.UpstreamID]int{"llm1": 14}},
		"resumed after 14 events": {false, map[member.UpstreamID]int{"llm1": 13, "llm2": 13}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, e := is.New(t), engineScript{eventCount: 60, handle: "h", copyTime: 200 * time.Millisecond, stopped: make(chan struct{})}
				transport := &fakeTransport{send: e.send, move: e.move}
				path := "/llm/"
				if !c.moved {
					path = "/resumable/"
					transport.send = func(ctx context.Context, u Upstream, r *UpstreamRequest) (*Response, error) {
						part := engineScript{eventCount: 14, stopped: make(chan struct{})}
						if r.Continue == nil {
							part.eventCount = 60
							time.AfterFunc(290*time.Millisecond, func() { close(part.stopped) })
						} else {
							r.Continue = nil
							time.Sleep(600 * time.Millisecond)
						}
						return part.send(ctx, u, r)
					}
				}
				f := newPaceForwarder(t, transport, true)
				if c.moved {
					f.fleet.Suspect(time.Now(), "llm3")
					f.fleet.Suspect(time.Now(), "llm2") // llm1 gets the run
					time.AfterFunc(100*time.Millisecond, func() {
						f.fleet.Replace(time.Now(), upstreamsWithLeaving(f, "llm1"), rev(2))
						f.updatePlacementEngines(time.Now(), f.Table())
					})
				}
				f.updatePlacementEngines(time.Now(), f.Table())
				f.Serve(t.Context(), call(path), &fakeSink{})
				for _, mark := range f.engines.paceMarks(time.Now(), true) {
					is.True(mark.SlowStep < 6*time.Millisecond) // 20 ms for four tokens
					is.True(mark.Samples <= c.want[mark.Engine] && mark.Samples >= c.want[mark.Engine]-2)
					delete(c.want, mark.Engine)
				}
				is.Equal(len(c.want), 0)
				synctest.Wait()
			})
		})
	}
}

// TestPaceOfHeldUpStream checks that the gap after an event which the caller held up teaches nothing.
func TestPaceOfHeldUpStream(t *testing.T) {
	is, f := is.New(t), newPaceForwarder(t, &fakeTransport{}, true)
	s := &streamExchange{exchange: &exchange{Forwarder: f}, run: &ownRun{}, engineFirstEventAt: time.Now(), source: Upstream{ID: "llm1"}}
	s.service.Name = "llm"
	for held, marks := range map[time.Duration]int{2 * spoolDelayLimit: 0, 0: 1} {
		f.engines.forgetPaces([]member.UpstreamID{"llm1"})
		s.noteSpoolDelay(time.Now().Add(-held))
		s.recordPace(time.Now(), 20*time.Millisecond)
		is.Equal(len(f.engines.paceMarks(time.Now(), false)), marks)
	}
}
