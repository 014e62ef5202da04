// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
)

// Tests of upstreams that signal that they leave or ask for backoff, while hosts and upstreams
// restart, hosts are cut off and entries of the list lapse.

// replaceWithNewProcess replaces a host by a new process that knows nothing.
func (s *site) replaceWithNewProcess(ctx context.Context, fleet *signalFleet, replaced *Forwarder) {
	f := New(replaced.settings, signalTransport{fleet, replaced.settings.Self.ID}, silentJournal{}, silentObserver{})
	f.SetRetryLimit(RetryLimit{Ratio: 0.2, Slack: 60, Window: 10 * time.Second})
	s.replaceHost(f)
	s.start(ctx, f)
	go f.Run(ctx)
}

// TestLeavingHoldsUnderFaults checks that an upstream that leaves gets no requests until it
// restarts.
func TestLeavingHoldsUnderFaults(t *testing.T) {
	const from, until = 5 * time.Second, 16 * time.Second
	const id = member.UpstreamID("app00")
	lapseFor := func(back time.Duration) func(context.Context, *site, *signalFleet) {
		return func(_ context.Context, s *site, _ *signalFleet) {
			time.Sleep(6 * time.Second)
			u, _ := s.firstHost().fleet.Upstream(id)
			u.Leaving, u.Revision = false, rev(50)
			s.origin.publish(Change{Upstream: u, Gone: true})
			time.Sleep(back)
			u.Revision = rev(60)
			s.origin.publish(Change{Upstream: u})
		}
	}
	restart := func(before, after Incarnation, address string) func(context.Context, *site, *signalFleet) {
		return func(_ context.Context, s *site, fleet *signalFleet) {
			time.Sleep(3 * time.Second)
			u, _ := s.firstHost().fleet.Upstream(id)
			u.Incarnation, u.Revision = before, rev(40)
			s.origin.publish(Change{Upstream: u})
			time.Sleep(5 * time.Second)
			fleet.mu.Lock()
			fleet.periods = nil
			fleet.received = map[member.UpstreamID]map[member.HostID][]receivedSignal{}
			fleet.mu.Unlock()
			u.Incarnation, u.Revision, u.Address = after, rev(50), address
			s.origin.publish(Change{Upstream: u})
		}
	}
	for name, c := range map[string]struct {
		disturb                  func(context.Context, *site, *signalFleet)
		storeLostAt, storeBackAt time.Duration
		// quietFrom is from when no host may send requests to the upstream, whether it
		// received the signal or not; zero skips the check.
		quietFrom time.Duration
		// servesAgain says that the upstream has to get requests at the end.
		servesAgain bool
	}{
		"hosts hear it from each other":             {quietFrom: from + maxPropagationDelay},
		"its entry lapses for 1 s":                  {disturb: lapseFor(time.Second)},
		"its entry lapses for 5 s":                  {disturb: lapseFor(5 * time.Second)},
		"the store is away until it has long ended": {storeLostAt: 3 * time.Second, storeBackAt: 15 * time.Second, quietFrom: from + maxPropagationDelay},
		"hosts start again while the store is away": {
			storeLostAt: 3 * time.Second, storeBackAt: 15 * time.Second, quietFrom: 12 * time.Second,
			disturb: func(ctx context.Context, s *site, fleet *signalFleet) {
				time.Sleep(8 * time.Second)
				for n := range 3 {
					s.replaceWithNewProcess(ctx, fleet, s.nthHost(n))
					time.Sleep(time.Second)
				}
			},
		},
		"hosts are cut off from each other and the store": {
			storeLostAt: 3 * time.Second, storeBackAt: 15 * time.Second,
			disturb: func(_ context.Context, s *site, _ *signalFleet) {
				time.Sleep(4 * time.Second)
				for zone := range 3 {
					s.isolate(s.zoneAddresses(zone + 1)...)
				}
			},
		},
		"it starts again under its id":   {servesAgain: true, disturb: restart(1, 2, "10.9.9.1:80")},
		"it starts again at its address": {servesAgain: true, disturb: restart(1, 2, "10.9.0.1:80")},
	} {
		t.Run(name, func(t *testing.T) {
			d := signalDay{
				zones: 3, hostsPerZone: 2, upstreams: 3, path: "/order/", requestsPerSecond: 30, duration: until,
				periods:     []signalPeriod{{upstream: id, leaving: true, from: from, until: until}},
				storeLostAt: c.storeLostAt, storeBackAt: c.storeBackAt, disturb: c.disturb,
			}
			d.play(t, *signalSeedFlag, func(t *testing.T, fleet *signalFleet, tally *signalTally) {
				t.Log(tally)
				reportViolations(t, "after the drain time", fleet.drainViolations())
				if n := fleet.requestCount(id, c.quietFrom, until); c.quietFrom > 0 && n > 0 {
					t.Errorf("upstream %s got %d requests from %v on, expected none", id, n, c.quietFrom)
				}
				if n := fleet.requestCount(id, until-4*time.Second, until); c.servesAgain && n < 15 {
					t.Errorf("upstream %s got %d requests in the last 4 s, after its restart, expected at least 15", id, n)
				}
				if tally.served < tally.calls {
					t.Errorf("callers served: %d of %d (%v)", tally.served, tally.calls, tally)
				}
			})
		})
	}
}

// TestRunsMoveOffLeavingEngine checks that no stream is cut when an engine that reported that
// it leaves ends after the drain time.
func TestRunsMoveOffLeavingEngine(t *testing.T) {
	const from = 6 * time.Second
	d := signalDay{
		zones: 3, hostsPerZone: 2, upstreams: 3, path: "/llm/", requestsPerSecond: 6, duration: 12 * time.Second,
		periods:     []signalPeriod{{upstream: "llm00", leaving: true, from: from, until: from + leavingDrainTime}},
		storeLostAt: 4 * time.Second, storeBackAt: 14 * time.Second,
		disturb: func(_ context.Context, _ *site, fleet *signalFleet) {
			time.Sleep(from + leavingDrainTime)
			fleet.endUpstream("llm00")
		},
	}
	d.play(t, *signalSeedFlag, func(t *testing.T, fleet *signalFleet, tally *signalTally) {
		t.Log(tally, "calls of the hosts themselves to llm00", len(fleet.arrivals["llm00"])-fleet.requestCount("llm00", 0, d.duration))
		reportViolations(t, "after the drain time", fleet.drainViolations())
		if tally.truncated > 0 {
			t.Errorf("%d streams were cut, expected none (%v)", tally.truncated, tally)
		}
	})
}

// TestLeavingReachesEveryHost checks that all hosts stop sending to an upstream that leaves
// within the contact bound while the store is unavailable.
func TestLeavingReachesEveryHost(t *testing.T) {
	const from, until = 5 * time.Second, 12 * time.Second
	for _, size := range []struct{ zones, hostsPerZone int }{{3, 3}, {3, 20}, {5, 60}} {
		if size.hostsPerZone > 3 && !*signalSizesFlag {
			continue
		}
		t.Run(fmt.Sprint(size.zones*size.hostsPerZone, " hosts"), func(t *testing.T) {
			d := signalDay{
				zones: size.zones, hostsPerZone: size.hostsPerZone, upstreams: 2 * size.zones, path: "/order/",
				requestsPerSecond: 40 * float64(size.zones), duration: until, storeLostAt: 4 * time.Second, storeBackAt: 14 * time.Second,
				periods: []signalPeriod{{upstream: "app00", leaving: true, from: from, until: until}},
			}
			d.play(t, *signalSeedFlag, func(t *testing.T, fleet *signalFleet, tally *signalTally) {
				t.Logf("%v; app00 got %d requests from the start of its signal on", tally, fleet.requestCount("app00", from, until))
				reportViolations(t, "after the drain time", fleet.drainViolations())
				reportViolations(t, "after the signal", fleet.strictDrainViolations())
				if n := fleet.requestCount("app00", from+maxPropagationDelay, until); n > 0 {
					t.Errorf("app00 got %d requests later than the contact bound after the start of its signal, expected none", n)
				}
				if tally.served < tally.calls {
					t.Errorf("callers served: %d of %d (%v)", tally.served, tally.calls, tally)
				}
			})
		})
	}
}

// TestMoveAvoidsEngineInBackoff checks that a run moves to another engine, and is not cut, if
// the target of the move asks for backoff.
func TestMoveAvoidsEngineInBackoff(t *testing.T) {
	for name, duringStop := range map[string]bool{"during the first copy": false, "during the last part": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := &engineScript{eventCount: 60, handle: "h", copyTime: 200 * time.Millisecond, stopped: make(chan struct{})}
				transport := &fakeTransport{send: e.send}
				f, sink := newForwarder(t, transport), &fakeSink{}
				resting := member.UpstreamID("")
				transport.move = func(ctx context.Context, from Upstream, r MoveRequest) (MoveResult, error) {
					if resting == "" && r.StopSource == duringStop {
						resting = member.UpstreamID(r.TargetAddress[len("10.1.0.1:"):])
						f.backoffs.Record(f.now(), resting, 0, 10*time.Second, 0)
					}
					return e.move(ctx, from, r)
				}
				f.fleet.Suspect(time.Now(), "llm2")
				f.fleet.Suspect(time.Now(), "llm3")
				f.updatePlacementEngines(time.Now(), f.Table()) // the first engine gets the run
				time.AfterFunc(100*time.Millisecond, func() {
					f.fleet.Replace(time.Now(), upstreamsWithLeaving(f, "llm1"), rev(2))
					f.updatePlacementEngines(time.Now(), f.Table())
				})
				f.Serve(t.Context(), call("/llm/"), sink)
				is.True(!sink.truncated)
				is.True(resting != "")
				is.True(!slices.Contains(transport.sentTo(), resting))
				is.Equal(strings.Count(sink.body.String(), "data"), 60)
				synctest.Wait()
			})
		})
	}
}

// TestFailingEngineInBackoffGetsNoMoves checks that a run stays on a failing engine that asks
// for backoff, and that the engine gets no move calls.
func TestFailingEngineInBackoffGetsNoMoves(t *testing.T) {
	for name, backoff := range map[string]time.Duration{"no backoff": 0, "backoff": 10 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := &engineScript{eventCount: 60, handle: "h", copyTime: 100 * time.Millisecond, stopped: make(chan struct{})}
				moves := 0
				transport := &fakeTransport{send: e.send, move: func(ctx context.Context, from Upstream, r MoveRequest) (MoveResult, error) {
					moves++
					return e.move(ctx, from, r)
				}}
				f, sink := newForwarder(t, transport), &fakeSink{}
				f.updatePlacementEngines(time.Now(), f.Table())
				time.AfterFunc(100*time.Millisecond, func() {
					at := transport.sentTo()[0]
					f.fleet.RecordFailure(f.now(), at)
					if backoff > 0 {
						f.backoffs.Record(f.now(), at, 0, backoff, 0)
					}
				})
				f.Serve(t.Context(), call("/llm/"), sink)
				is.True(!sink.truncated)
				is.Equal(moves > 0, backoff == 0)
				synctest.Wait()
			})
		})
	}
}
