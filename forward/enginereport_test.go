// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/enginereport"
	"github.com/shedpath/shedpath/internal/event"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// reportingForwarder is a forwarder with engine reports that isn't just starting.
func reportingForwarder(t *testing.T, transport Transport, enabled bool) *Forwarder {
	f := newForwarder(t, transport)
	f.settings.Placement.EngineReports = enabled
	f.enableEngineReports()
	f.reports.tracker.ObservePeerRun(time.Now().Add(-time.Second))
	return f
}

// countOutcomes counts the outcomes of requests for reports.
type countOutcomes struct {
	silentObserver
	mu       sync.Mutex
	outcomes map[enginereport.Outcome]int
}

func (c *countOutcomes) EngineReport(o enginereport.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[o]++
}

// loadOf returns a report of a number of active runs with 3,000 tokens each.
func loadOf(active int) EngineReport {
	return EngineReport{Answer: enginereport.Answer{Load: enginereport.Load{Used: policy.Tokens(3000 * active), Active: active}}}
}

// startLife sets an engine's incarnation by the list.
func startLife(f *Forwarder, id member.UpstreamID, life Incarnation) {
	u, _ := f.fleet.Upstream(id)
	u.Incarnation, u.Revision = life, rev(int(life)+1)
	f.fleet.Apply(time.Now(), []Change{{Upstream: u}}, u.Revision)
}

// refuse has an engine reject a run as full, and a copy.
func refuse(f *Forwarder, id member.UpstreamID) {
	x := &exchange{Forwarder: f}
	x.service, _ = f.Table().Service("llm")
	u, _ := f.fleet.Upstream(id)
	a := answer(503, "")
	a.NotRun = true
	x.recordRefusedRun(u, a)
	x.recordRefusedCopy(u, ErrTargetUnavailable)
}

// TestEngineReports checks that an engine that refused something is asked while there is a reason and
// no longer, that only a usable answer reaches the placement, and that nothing happens where reports
// are disabled.
func TestEngineReports(t *testing.T) {
	answers := func(r EngineReport, err error) func(context.Context, *Forwarder) (EngineReport, error) {
		return func(context.Context, *Forwarder) (EngineReport, error) { return r, err }
	}
	impossible := loadOf(2)
	impossible.Total = 1
	for name, c := range map[string]struct {
		enabled   bool
		report    func(context.Context, *Forwarder) (EngineReport, error)
		wantAsked int32
		want      enginereport.Outcome
		wantRuns  int
	}{
		"disabled":    {false, answers(loadOf(2), nil), 0, "", 0},
		"a report":    {true, answers(loadOf(2), nil), 6, enginereport.Received, 2},
		"garbage":     {true, answers(EngineReport{}, enginereport.ErrUnusable), 6, enginereport.Unusable, 0},
		"impossible":  {true, answers(impossible, nil), 6, enginereport.Unusable, 0},
		"another one": {true, answers(EngineReport{}, enginereport.ErrOtherInstance), 6, enginereport.Outdated, 0},
		"doesn't come": {true, func(ctx context.Context, _ *Forwarder) (EngineReport, error) {
			<-ctx.Done()
			return loadOf(2), ctx.Err()
		}, 6, enginereport.NoAnswer, 0},
		"from before a restart": {true, func(_ context.Context, f *Forwarder) (EngineReport, error) {
			u, _ := f.fleet.Upstream("llm1")
			f.fleet.ReceiveIncarnation("llm1", u.Incarnation+1)
			return loadOf(2), nil
		}, 6, enginereport.Outdated, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var asked atomic.Int32
				transport := &fakeTransport{}
				f := reportingForwarder(t, transport, c.enabled)
				counts := &countOutcomes{outcomes: map[enginereport.Outcome]int{}}
				f.observer = counts
				startLife(f, "llm1", 1)
				transport.report = func(ctx context.Context, u Upstream) (EngineReport, error) {
					is.Equal(u.ID, member.UpstreamID("llm1"))
					asked.Add(1)
					return c.report(ctx, f)
				}
				ctx, cancel := context.WithCancel(t.Context())
				go f.RunEngineReports(ctx)
				time.Sleep(time.Second)
				f.updatePlacementEngines(time.Now(), f.Table())
				is.Equal(asked.Load(), int32(0)) // there is no reason
				refuse(f, "llm1")
				if c.wantRuns == 0 {
					f.fleet.Suspect(time.Now(), "llm1") // as after a refused copy: it gets no new work, but is asked
				}
				time.Sleep(650 * time.Millisecond)
				f.updatePlacementEngines(time.Now(), f.Table())
				is.Equal(f.engines.otherRuns("llm", "llm1", ""), c.wantRuns)
				time.Sleep(enginereport.RefusalDuration + enginereport.UseDuration)
				f.updatePlacementEngines(time.Now(), f.Table())
				is.Equal(f.engines.otherRuns("llm", "llm1", ""), 0) // the last report is too old
				is.Equal(asked.Load(), c.wantAsked)
				synctest.Wait()
				if c.want != "" {
					is.Equal(counts.outcomes, map[enginereport.Outcome]int{c.want: int(c.wantAsked)})
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestReportSaysLeaving checks that an engine that reports its departure gets no new work, and that the
// time that it states is used here and at peers, also if a header of the answer reports the departure,
// which is processed first.
func TestReportSaysLeaving(t *testing.T) {
	for name, header := range map[string]bool{"only in the report": false, "also in a header": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := reportingForwarder(t, &fakeTransport{report: func(context.Context, Upstream) (EngineReport, error) {
					r := loadOf(1)
					r.Leaving, r.LeavesIn, r.Signals.Leaving = true, 1200*time.Millisecond, header
					return r, nil
				}}, true)
				u, _ := f.fleet.Upstream("llm1")
				service, _ := f.Table().Service("llm")
				f.askEngine(t.Context(), &service, u, enginereport.ReasonRefusal)
				u, _ = f.fleet.Upstream("llm1")
				is.True(u.Leaving)
				end := time.Now().Add(1200 * time.Millisecond)
				is.Equal(f.fleet.ExpectedEnd("llm1", time.Now(), 3*time.Second), end)

				peer, without := reportingForwarder(t, &fakeTransport{}, true), reportingForwarder(t, &fakeTransport{}, false)
				marks := f.fleet.LeavingMarks(time.Now())
				peer.OnShare(Share{From: f.peers.self, Leaving: marks})
				time.Sleep(time.Millisecond) // a repetition that travels for longer doesn't put the end off
				peer.OnShare(Share{From: f.peers.self, Leaving: marks})
				is.Equal(peer.fleet.ExpectedEnd("llm1", time.Now(), 3*time.Second), end)
				without.OnShare(Share{From: f.peers.self, Leaving: marks})
				is.Equal(without.fleet.ExpectedEnd("llm1", time.Now(), 3*time.Second), time.Now().Add(3*time.Second))
			})
		})
	}
}

// TestReportLogLimiters guards against limiters that keep every engine that there ever was, as engines
// depart and join under new IDs all the time, and against refusals that hide why a report didn't come.
func TestReportLogLimiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := reportingForwarder(t, &fakeTransport{report: func(context.Context, Upstream) (EngineReport, error) {
			return EngineReport{}, enginereport.ErrUnusable
		}}, true)
		journal := &recordingJournal{}
		f.journal = journal
		u, _ := f.fleet.Upstream("llm1")
		service, _ := f.Table().Service("llm")
		for range 2 {
			refuse(f, "llm1")
			f.askEngine(t.Context(), &service, u, enginereport.ReasonRefusal)
		}
		is.Equal(len(journal.linesWithPrefix("engine had no room")), 1)
		is.Equal(len(journal.linesWithPrefix("no engine report")), 1)
		for _, l := range []*event.Limiter{&f.reports.logLimiter, &f.reports.refusalLogLimiter} {
			is.Equal(l.Len(), 1)
		}
		time.Sleep(event.Interval)
		f.pruneLimits(time.Now())
		for _, l := range []*event.Limiter{&f.reports.logLimiter, &f.reports.refusalLogLimiter} {
			is.Equal(l.Len(), 0)
		}
	})
}

// TestReportLogNamesKnownRuns guards against a log line that doesn't show runs of hosts that are gone: the
// second report of an engine must not count those that the first one has shown.
func TestReportLogNamesKnownRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := reportingForwarder(t, &fakeTransport{report: func(context.Context, Upstream) (EngineReport, error) { return loadOf(5), nil }}, true)
		journal := &recordingJournal{}
		f.journal = journal
		u, _ := f.fleet.Upstream("llm1")
		service, _ := f.Table().Service("llm")
		for range 2 {
			f.updatePlacementEngines(time.Now(), f.Table())
			f.askEngine(t.Context(), &service, u, enginereport.ReasonRefusal)
		}
		is.Equal(f.engines.otherRuns("llm", "llm1", ""), 5)
		lines := journal.linesWithPrefix("engine report")
		is.Equal(len(lines), 2)
		for _, line := range lines {
			is.True(strings.Contains(line, "runs_counted=0"))
		}
	})
}

// TestReportsAfterOutage checks that a host that starts asks all engines if no peer has older runs, and
// that the placement then leaves out engines that are full of runs of hosts that are gone.
func TestReportsAfterOutage(t *testing.T) {
	for name, c := range map[string]struct {
		// peerRunAge is how long ago the first token of a peer's run came; zero for no run.
		peerRunAge time.Duration
		wantAsked  int
		wantEngine member.UpstreamID
	}{
		"no peer has runs":          {0, 3, "llm3"},
		"a peer has runs since":     {100 * time.Millisecond, 3, "llm3"},
		"a peer has runs from then": {time.Minute, 0, "llm1"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var mu sync.Mutex
				var asked []member.UpstreamID
				f := newForwarder(t, &fakeTransport{report: func(_ context.Context, u Upstream) (EngineReport, error) {
					mu.Lock()
					defer mu.Unlock()
					asked = append(asked, u.ID)
					if u.ID == "llm3" {
						return loadOf(0), nil
					}
					return loadOf(11), nil
				}})
				f.settings.Placement.EngineReports = true
				f.enableEngineReports()
				ctx, cancel := context.WithCancel(t.Context())
				go f.RunEngineReports(ctx)
				time.Sleep(200 * time.Millisecond)
				peer := Share{From: Peer{ID: "h2", Zone: "z1", PeerAddress: "10.0.0.2:1"}}
				f.OnShare(peer) // from then on the peer's cell is known
				if c.peerRunAge > 0 {
					peer.Runs = []RunState{{Run: "old", Service: "llm", Engine: "llm9", FirstTokenAge: c.peerRunAge}}
				}
				f.OnShare(peer)
				f.peers.mu.Lock()
				f.peers.forget(time.Now(), "h2") // so that this host asks all engines
				f.peers.mu.Unlock()
				time.Sleep(300 * time.Millisecond)
				synctest.Wait()
				f.updatePlacementEngines(time.Now(), f.Table())
				is.Equal(len(asked), c.wantAsked)
				u, _, _ := placeRun(ctx, f, "r")
				is.Equal(u.ID, c.wantEngine)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestReportsBetweenHosts checks that the host that arbitrates an engine asks it when a peer was
// refused, that its peers use its report, and that another host asks after it has died.
func TestReportsBetweenHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		asked := map[member.HostID]int{}
		hosts := map[member.HostID]*Forwarder{}
		for n := 1; n <= 2; n++ {
			id := member.HostID(fmt.Sprint("h", n))
			f := reportingForwarder(t, &fakeTransport{report: func(context.Context, Upstream) (EngineReport, error) {
				asked[id]++
				return loadOf(3), nil
			}}, true)
			f.peers.self.ID, f.peers.self.PeerAddress = id, "10.0.0.1:"+string(id)
			hosts[id] = f
		}
		exchangeShares := func() {
			for _, pair := range [][]member.HostID{{"h1", "h2"}, {"h2", "h1"}} {
				from, to := hosts[pair[0]], hosts[pair[1]]
				share := from.newShare(time.Now())
				from.addEngineReports(time.Now(), &share, to.peers.self.ID)
				to.OnShare(share)
			}
		}
		ask := func(f *Forwarder) {
			var asking sync.WaitGroup
			f.askEngines(t.Context(), time.Now(), &asking)
			asking.Wait()
			f.updatePlacementEngines(time.Now(), f.Table())
		}
		exchangeShares()
		u, _ := hosts["h1"].fleet.Upstream("llm1")
		arbiter, other := hosts["h1"].peers.arbiter(time.Now(), u).ID, member.HostID("h1")
		if arbiter == other {
			other = "h2"
		}
		refuse(hosts[other], "llm1")
		exchangeShares()
		ask(hosts[other])
		ask(hosts[arbiter])
		is.Equal(asked, map[member.HostID]int{arbiter: 1})
		exchangeShares()
		ask(hosts[other])
		is.Equal(hosts[other].engines.otherRuns("llm", "llm1", ""), 3)
		is.Equal(asked, map[member.HostID]int{arbiter: 1})

		time.Sleep(sameCellSilenceTimeout + 1) // the arbiter has died
		ask(hosts[other])
		is.Equal(asked, map[member.HostID]int{arbiter: 1, other: 1})

		// A mark of an incarnation before the engine's restart is ignored.
		startLife(hosts[other], "llm1", 4)
		startLife(hosts[other], "llm1", 5)
		hosts[other].resetRestartedUpstreams()
		hosts[other].OnShare(Share{From: hosts[arbiter].peers.self, Reports: []enginereport.Mark{{Engine: "llm1", Incarnation: 4, Load: loadOf(3).Load, Age: 0}}})
		hosts[other].updatePlacementEngines(time.Now(), hosts[other].Table())
		is.Equal(hosts[other].engines.otherRuns("llm", "llm1", ""), 0)
		// One of a later incarnation tells of the restart.
		hosts[other].OnShare(Share{From: hosts[arbiter].peers.self, Reports: []enginereport.Mark{{Engine: "llm1", Incarnation: 6}}})
		u, _ = hosts[other].fleet.Upstream("llm1")
		is.Equal(u.Incarnation, Incarnation(6))
	})
}

// TestReportsDisabled guards against changes for deployments that don't ask for reports: neither
// shares nor decisions differ.
func TestReportsDisabled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		with, without := reportingForwarder(t, &fakeTransport{}, false), newForwarder(t, &fakeTransport{})
		mark := Share{From: Peer{ID: "h2", Zone: "z1"}, Reports: []enginereport.Mark{{Engine: "llm1", Load: loadOf(11).Load}}, ReportRequests: []enginereport.Request{{Remaining: time.Second}}}
		var engines [2][]member.UpstreamID
		for i, f := range []*Forwarder{with, without} {
			f.peers.epoch = 1
			f.OnShare(Share{From: mark.From})
			f.updatePlacementEngines(time.Now(), f.Table())
			if f == with {
				refuse(f, "llm1")
				f.OnShare(mark)
			}
			for n := range 20 {
				u, _, _ := placeRun(t.Context(), f, policy.RunID(fmt.Sprint(n)))
				engines[i] = append(engines[i], u.ID)
			}
			f.updatePlacementEngines(time.Now(), f.Table())
		}
		is.Equal(engines[0], engines[1])
		share := with.newShare(time.Now())
		with.addEngineReports(time.Now(), &share, "h2")
		is.Equal(len(share.Reports)+len(share.ReportRequests), 0)
		is.True(slices.Contains(engines[0], "llm1"))
	})
}
