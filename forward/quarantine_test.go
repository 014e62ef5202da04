// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/quarantine"
)

// crashScenario is a site, in virtual time, that gets requests under which upstreams crash.
type crashScenario struct {
	*testing.T
	*site
	fleet *fakeFleet
	ctx   context.Context
	// stopHosts ends all hosts.
	stopHosts    context.CancelFunc
	requestCount atomic.Int32
}

// runCrashScenario runs play on a site whose hosts know each other.
func runCrashScenario(t *testing.T, play func(d *crashScenario)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		d := &crashScenario{T: t, fleet: newFakeFleet(), ctx: ctx}
		d.site = newCrashSite(d.fleet, 12)
		var hosts context.Context
		hosts, d.stopHosts = context.WithCancel(ctx)
		d.serveAll(hosts)
		time.Sleep(3 * time.Second)
		play(d)
		cancel()
		synctest.Wait()
	})
}

// send has a host serve a request and returns what its caller received.
func (d *crashScenario) send(f *Forwarder, path, body string) *fakeSink {
	sink := &fakeSink{}
	f.Serve(d.ctx, crashCall(path, body, int(d.requestCount.Add(1))), sink)
	return sink
}

// crashThreeUpstreams sends a request to three hosts, one after another, and checks that it
// ends an upstream at each.
func (d *crashScenario) crashThreeUpstreams(path, body string) {
	for n := range 3 {
		d.send(d.hostAt(n), path, body)
		time.Sleep(100 * time.Millisecond)
	}
	if _, all := d.fleet.arrivalsAfter(body, 3, 0); all != 3 {
		d.Fatalf("%d upstreams ended under request %q, want 3", all, body)
	}
}

// lostWithEngine reports whether a stream was lost together with its engine.
func lostWithEngine(sink *fakeSink) bool {
	return sink.truncated || sink.refused != nil && sink.refused.MayHaveRun
}

// heldBackAt reports whether a host refuses a request at once because it is quarantined.
func (d *crashScenario) heldBackAt(f *Forwarder, path, body string) bool {
	began := time.Now()
	sink := d.send(f, path, body)
	return sink.refused != nil && *sink.refused == quarantineRefusal && time.Since(began) < time.Millisecond
}

// TestQuarantineReachesEveryHost checks that a request under which upstreams ended is soon
// held back at every host, including hosts that were cut off or not started at that time.
func TestQuarantineReachesEveryHost(t *testing.T) {
	t.Run("at all that reach each other, at once", func(t *testing.T) {
		runCrashScenario(t, func(d *crashScenario) {
			d.crashThreeUpstreams("/llm/", crashingPrefix)
			for n := range 6 {
				if !d.heldBackAt(d.hostAt(n), "/llm/", crashingPrefix) {
					d.Errorf("host %d sends the quarantined request", n)
				}
			}
		})
	})
	t.Run("at one that was cut off, when it is back", func(t *testing.T) {
		runCrashScenario(t, func(d *crashScenario) {
			cut := d.hostAt(5)
			d.makeUnreachable(cut.settings.Self.PeerAddress)
			d.freeze(cut.settings.Self.PeerAddress)
			time.Sleep(100 * time.Millisecond)
			d.crashThreeUpstreams("/llm/", crashingPrefix)
			time.Sleep(10 * time.Second)
			d.reconnect(cut.settings.Self.PeerAddress)
			time.Sleep(maxPropagationDelay)
			if !d.heldBackAt(cut, "/llm/", crashingPrefix) {
				d.Errorf("the host that was cut off sends the quarantined request after its return")
			}
		})
	})
	t.Run("at one that starts, and under a name that is known", func(t *testing.T) {
		runCrashScenario(t, func(d *crashScenario) {
			d.crashThreeUpstreams("/llm/", crashingPrefix)
			time.Sleep(time.Second)
			old := d.hostAt(5)
			again := New(old.settings, old.transport, silentJournal{}, silentObserver{})
			d.replaceHost(again)
			d.start(d.ctx, again)
			go again.Run(d.ctx)
			time.Sleep(maxPropagationDelay)
			if !d.heldBackAt(again, "/llm/", crashingPrefix) {
				d.Errorf("the restarted host sends the quarantined request")
			}
		})
	})
	t.Run("at all of them, when all have ended at once", func(t *testing.T) {
		runCrashScenario(t, func(d *crashScenario) {
			d.origin.unavailable.Store(true)
			d.crashThreeUpstreams("/llm/", crashingPrefix)
			time.Sleep(time.Second)
			d.origin.unavailable.Store(false)
			time.Sleep(3 * time.Second)
			d.restartAll()
			time.Sleep(maxPropagationDelay)
			for n := range 6 {
				if !d.heldBackAt(d.hostAt(n), "/llm/", crashingPrefix) {
					d.Errorf("host %d sends the quarantined request", n)
				}
			}
		})
	})
	t.Run("no more, when it was let through before all ended", func(t *testing.T) {
		runCrashScenario(t, func(d *crashScenario) {
			d.crashThreeUpstreams("/llm/", crashingPrefix)
			time.Sleep(time.Second)
			print := d.hostAt(0).Quarantined()[0].Request
			if _, released := d.hostAt(3).OnQuarantine(&print); !released {
				d.Errorf("OnQuarantine(%v) released nothing, want the request released", print)
			}
			time.Sleep(time.Second)
			d.restartAll()
			time.Sleep(maxPropagationDelay)
			if d.heldBackAt(d.hostAt(0), "/llm/", crashingPrefix) {
				d.Errorf("the released request is held back again after all hosts restarted")
			}
		})
	})
	t.Run("when the hosts that saw it are gone", func(t *testing.T) {
		runCrashScenario(t, func(d *crashScenario) {
			d.crashThreeUpstreams("/llm/", crashingPrefix)
			for n := range 3 {
				d.makeUnreachable(d.hostAt(n).settings.Self.PeerAddress)
			}
			for n := 3; n < 6; n++ {
				if !d.heldBackAt(d.hostAt(n), "/llm/", crashingPrefix) {
					d.Errorf("host %d sends the quarantined request", n)
				}
			}
		})
	})
}

// TestOnlyExecutionClearsQuarantine checks that the evidence against a request is not cleared
// by the answer of an upstream that did not run it, or failed it.
func TestOnlyExecutionClearsQuarantine(t *testing.T) {
	notRun := func() *Response { a := answer(503, ""); a.NotRun = true; return a }
	other := func() *Response { a := answer(421, ""); a.WrongInstance = true; return a }
	failed := func() *Response { return answer(500, "no") }
	fine := func() *Response { return answer(200, "fine") }
	for name, c := range map[string]struct {
		answer  func() *Response
		cleared bool
	}{"full": {notRun, false}, "another instance": {other, false}, "failed": {failed, false}, "answered": {fine, true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newForwarder(t, &fakeTransport{send: func(context.Context, Upstream, *UpstreamRequest) (*Response, error) { return c.answer(), nil }})
			asked := call("/order/")
			x := &exchange{Forwarder: f, call: asked, account: Account{Name: "counter"}}
			f.crashes.RecordCrash(f.now(), x.requestIdentity(), x.fingerprint(), quarantine.Origin{}, quarantine.Upstream{ID: "app9"})
			f.Serve(t.Context(), asked, &fakeSink{})
			is.Equal(len(f.Quarantined()) == 0, c.cleared)
		})
	}
}

// restartAll stops all hosts and starts them again without their state.
func (d *crashScenario) restartAll() {
	d.stopHosts()
	ctx, stop := context.WithCancel(d.ctx)
	d.stopHosts = stop
	var fresh []*Forwarder
	for n := range 6 {
		old := d.hostAt(n)
		again := New(old.settings, old.transport, silentJournal{}, silentObserver{})
		d.replaceHost(again)
		fresh = append(fresh, again)
	}
	for _, f := range fresh {
		d.start(ctx, f)
		go f.Run(ctx)
	}
}

// TestQuarantineOfRequestsInFlight checks that requests that arrived before the third crash,
// and have no answer yet, do not start at another upstream. This holds for requests that wait
// for a place, and for those that an upstream has not started on.
func TestQuarantineOfRequestsInFlight(t *testing.T) {
	runCrashScenario(t, func(d *crashScenario) {
		is := is.New(d.T)
		d.send(d.hostAt(0), "/llm/", crashingPrefix)
		d.send(d.hostAt(1), "/llm/", crashingPrefix)
		// Four more requests arrive at once at different hosts, 200 ms after the one that
		// ends the third upstream. That upstream ends 190 ms later, before they end theirs.
		third := make(chan *fakeSink, 1)
		go func() { third <- d.send(d.hostAt(2), "/llm/", crashingPrefix) }()
		time.Sleep(200 * time.Millisecond)
		sinks := make(chan *fakeSink, 4)
		for n := range 4 {
			go func() {
				sink := &fakeSink{}
				d.hostAt(n).Serve(d.ctx, crashCall("/llm/", crashingPrefix, 100+n), sink)
				sinks <- sink
			}()
		}
		is.Equal(*(<-third).refused, Refusal{Code: CodeQuarantined, MayHaveRun: true})
		for range 4 {
			is.Equal((<-sinks).refused.Code, CodeQuarantined)
		}
		_, all := d.fleet.arrivalsAfter(crashingPrefix, 3, 0)
		is.Equal(all, 3)
	})
}

// TestHarmlessRequestsAreServed checks that requests that merely ran beside one that crashes
// upstreams, or were lost for other reasons, are served as usual when they are sent again.
func TestHarmlessRequestsAreServed(t *testing.T) {
	t.Run("lost beside it three times", func(t *testing.T) {
		runCrashScenario(t, func(d *crashScenario) {
			is := is.New(d.T)
			// Both requests run on the only engine that is available each time.
			for n := range 3 {
				only := fmt.Sprintf("llm%02d", n)
				d.keepOnlyEngines(only)
				go d.send(d.hostAt(n), "/llm/", crashingPrefix)
				is.True(lostWithEngine(d.send(d.hostAt(n), "/llm/", "good")))
			}
			d.keepOnlyEngines("llm05")
			// The two requests can't be told apart, so both are held back. Once the crashing
			// one has ended an upstream without the other, the other is served.
			is.True(d.heldBackAt(d.hostAt(0), "/llm/", "good"))
		})
	})
	t.Run("lost beside it twice, and it ends two more alone", func(t *testing.T) {
		runCrashScenario(t, func(d *crashScenario) {
			is := is.New(d.T)
			for n := range 2 {
				d.keepOnlyEngines(fmt.Sprintf("llm%02d", n))
				go d.send(d.hostAt(n), "/llm/", crashingPrefix)
				is.True(lostWithEngine(d.send(d.hostAt(n), "/llm/", "good")))
			}
			d.keepOnlyEngines("llm05")
			is.True(lostWithEngine(d.send(d.hostAt(0), "/llm/", crashingPrefix)))
			time.Sleep(100 * time.Millisecond)
			for n := range 6 {
				entries := d.hostAt(n).crashes.Entries(time.Now())
				is.Equal(len(entries), 1) // there is no evidence against the other request any longer
				is.Equal(entries[0].UpstreamsEnded, 3)
			}
		})
	})
	t.Run("lost beside it twice, then well", func(t *testing.T) {
		runCrashScenario(t, func(d *crashScenario) {
			is := is.New(d.T)
			for n := range 2 {
				d.keepOnlyEngines(fmt.Sprintf("llm%02d", n))
				go d.send(d.hostAt(n), "/llm/", crashingPrefix)
				is.True(lostWithEngine(d.send(d.hostAt(n), "/llm/", "good")))
			}
			d.keepOnlyEngines("llm05")
			is.Equal(d.send(d.hostAt(3), "/llm/", "good").refused, nil)
			d.keepOnlyEngines("llm06")
			go d.send(d.hostAt(0), "/llm/", crashingPrefix)
			is.True(lostWithEngine(d.send(d.hostAt(0), "/llm/", "good")))
			d.keepOnlyEngines("llm07")
			is.Equal(d.send(d.hostAt(4), "/llm/", "good").refused, nil)
		})
	})
	t.Run("a link that resets", func(t *testing.T) {
		runCrashScenario(t, func(d *crashScenario) {
			is := is.New(d.T)
			for n := range 5 {
				go func() {
					time.Sleep(fakeFirstEventDelay / 2)
					d.fleet.breakConnections()
				}()
				is.True(lostWithEngine(d.send(d.hostAt(n), "/llm/", "good")))
			}
			is.Equal(d.send(d.hostAt(0), "/llm/", "good").refused, nil)
		})
	})
	t.Run("engines that said that they leave", func(t *testing.T) {
		runCrashScenario(t, func(d *crashScenario) {
			is := is.New(d.T)
			for n := range 5 {
				only := fmt.Sprintf("llm%02d", n)
				d.keepOnlyEngines(only)
				go func() {
					time.Sleep(fakeFirstEventDelay / 2)
					for _, f := range d.hosts {
						f.fleet.MarkLeaving(time.Now(), member.UpstreamID(only), 0, false)
					}
					time.Sleep(minLeavingNotice)
					d.fleet.endUpstream(member.UpstreamID(only))
				}()
				is.True(lostWithEngine(d.send(d.hostAt(n), "/llm/", "good")))
			}
			d.keepOnlyEngines("llm08")
			is.Equal(d.send(d.hostAt(0), "/llm/", "good").refused, nil)
		})
	})
	t.Run("long under way when its engines end", func(t *testing.T) {
		runCrashScenario(t, func(d *crashScenario) {
			is := is.New(d.T)
			d.fleet.eventCount = 100
			for n := range 4 {
				only := fmt.Sprintf("llm%02d", n)
				d.keepOnlyEngines(only)
				go func() {
					time.Sleep(fakeFirstEventDelay + crashAttributionWindow + time.Second)
					d.fleet.endUpstream(member.UpstreamID(only))
				}()
				is.True(d.send(d.hostAt(n), "/llm/", "good").truncated)
			}
			d.keepOnlyEngines("llm08")
			is.True(!d.send(d.hostAt(0), "/llm/", "good").truncated)
		})
	})
}

// keepOnlyEngines makes all engines except the given ones unavailable, and the given ones
// available, at all hosts at once.
func (d *crashScenario) keepOnlyEngines(ids ...string) {
	keep := map[member.UpstreamID]bool{}
	for _, id := range ids {
		keep[member.UpstreamID(id)] = true
	}
	for _, f := range d.hosts {
		f.fleet.mu.Lock()
		for id, k := range f.fleet.upstreams {
			if k.Service == "llm" {
				k.unusable = !keep[id]
				k.suspectUntil, k.ownFailingUntil, k.consecutiveFailures = time.Time{}, time.Time{}, 0
			}
		}
		f.fleet.notify(true)
		f.fleet.mu.Unlock()
	}
	time.Sleep(10 * time.Millisecond)
}
