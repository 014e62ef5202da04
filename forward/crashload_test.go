// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/quarantine"
)

var crashLoadsFlag = flag.Bool("crash.days", false, "compare hold thresholds for requests that crash upstreams, on three sizes of site")

// crashLoad is a load during which upstreams end for several reasons, among them requests that
// crash them.
type crashLoad struct {
	zones, hostsPerZone, engines int
	// normalPerSecond is the rate of requests that crash nothing. One in five has the same
	// content as others, as requests on a popular subject do. The rest are unique, and each is
	// sent up to three times while its upstream ends under it.
	normalPerSecond float64
	// crashingRequests is how many different requests crash upstreams, and crashingPerSecond the
	// rate at which they arrive in total.
	crashingRequests  int
	crashingPerSecond float64
	// reclaimInterval is the mean time between engines that leave with notice, crashInterval
	// between engines that end without notice, and flapInterval between the ends of two engines
	// that end in turn again and again. Zero means never.
	reclaimInterval, crashInterval, flapInterval time.Duration
	duration                                     time.Duration
}

// crashTally counts the outcomes of a load.
type crashTally struct {
	mu sync.Mutex
	// normal counts the answers to requests that crash nothing. Of these, lost ended with their
	// engine, wronglyHeld were refused as quarantined, and wronglyHeldUnique are those of the
	// wrongly held whose content is unique.
	normal, lost, wronglyHeld, wronglyHeldUnique int
	// refused counts the normal requests that were refused for another reason.
	refused int
	// enginesEnded counts the engines that crashing requests ended, and crashingArrivals how
	// often such a request reached an engine.
	enginesEnded, crashingArrivals int
}

func (t *crashTally) String() string {
	return fmt.Sprintf("normal requests: %d, lost %d, refused %d, wrongly held %d; engines ended by crashing requests: %d", t.normal, t.lost, t.refused, t.wronglyHeld, t.enginesEnded)
}

func (t *crashTally) record(s *fakeSink, isUnique bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.normal++
	switch {
	case s.refused != nil && s.refused.Code == CodeQuarantined:
		t.wronglyHeld++
		if isUnique {
			t.wronglyHeldUnique++
		}
	case lostWithEngine(s):
		t.lost++
	case s.refused != nil:
		t.refused++
	}
}

// run runs the load on a new site whose hosts have the given hold threshold, and returns the
// outcomes. Zero is the default threshold.
func (l crashLoad) run(t *testing.T, holdThreshold int, seed uint64) *crashTally {
	t.Helper()
	tally := &crashTally{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		random := rand.New(rand.NewPCG(seed, 0))
		fleet := newFakeFleet()
		fleet.eventCount = 160
		s := newCrashSiteWith(fleet, l.zones, l.hostsPerZone, l.engines)
		for _, f := range s.hosts {
			f.crashes.SetHoldThreshold(holdThreshold)
		}
		s.serveAll(ctx)
		time.Sleep(4 * time.Second)
		var mu sync.Mutex
		draw := func(n int) int {
			mu.Lock()
			defer mu.Unlock()
			return random.IntN(n)
		}
		var calls sync.WaitGroup
		every := func(perSecond float64, job func(n int)) {
			if perSecond <= 0 {
				return
			}
			pause := time.Duration(float64(time.Second) / perSecond)
			draws := rand.New(rand.NewPCG(seed, uint64(draw(math.MaxInt))))
			calls.Go(func() {
				for n := 0; time.Duration(n)*pause < l.duration; n++ {
					calls.Go(func() { job(n) })
					time.Sleep(pause/2 + time.Duration(draws.Int64N(int64(pause))))
				}
			})
		}
		hosts := l.zones * l.hostsPerZone
		every(l.normalPerSecond, func(n int) {
			body, tries := fmt.Sprint("good", n), 3
			if n%5 == 0 {
				body, tries = fmt.Sprint("popular", n%3), 1
			}
			for range tries {
				sink := &fakeSink{}
				s.anyHost(draw(hosts), l).Serve(ctx, crashCall("/llm/", body, n), sink)
				tally.record(sink, tries > 1)
				if !lostWithEngine(sink) {
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
		every(l.crashingPerSecond, func(n int) {
			body := fmt.Sprint(crashingPrefix, draw(l.crashingRequests))
			s.anyHost(draw(hosts), l).Serve(ctx, crashCall("/llm/", body, n), &fakeSink{})
		})
		rate := func(d time.Duration) float64 {
			if d <= 0 {
				return 0
			}
			return 1 / d.Seconds()
		}
		randomEngine := func() member.UpstreamID { return member.UpstreamID(fmt.Sprintf("llm%02d", draw(l.engines))) }
		revision := rev(100)
		every(rate(l.crashInterval), func(int) { fleet.endUpstream(randomEngine()) })
		every(rate(l.flapInterval), func(n int) { fleet.endUpstream(member.UpstreamID(fmt.Sprintf("llm%02d", n%2))) })
		every(rate(l.reclaimInterval), func(int) {
			id := randomEngine()
			u, known := s.hostAt(0).fleet.Upstream(id)
			if !known || u.Leaving {
				return
			}
			mu.Lock()
			revision = rev(revision.Revision() + 1)
			u.Leaving, u.Revision = true, revision
			mu.Unlock()
			s.origin.publish(Change{Upstream: u})
			time.Sleep(2 * time.Second)
			fleet.endUpstream(id)
			time.Sleep(4 * time.Second)
			mu.Lock()
			revision = rev(revision.Revision() + 1)
			u.ID, u.Leaving, u.Revision = u.ID+"x", false, revision
			mu.Unlock()
			s.origin.publish(Change{Upstream: u})
		})
		calls.Wait()
		fleet.mu.Lock()
		for body := range fleet.crashes {
			tally.enginesEnded += len(fleet.crashes[body])
			tally.crashingArrivals += len(fleet.arrivals[body])
		}
		fleet.mu.Unlock()
		cancel()
		synctest.Wait()
	})
	return tally
}

// anyHost returns the host with number n, modulo the size of the load's site.
func (s *site) anyHost(n int, l crashLoad) *Forwarder {
	return s.hosts[fmt.Sprintf("10.%d.0.%d:1", n%l.zones+1, n/l.zones%l.hostsPerZone+1)]
}

// faultyLoad returns a load with engines that are reclaimed, crash and flap, but without requests
// that crash them.
func faultyLoad(zones, hostsPerZone, engines int) crashLoad {
	return crashLoad{
		zones: zones, hostsPerZone: hostsPerZone, engines: engines, normalPerSecond: float64(engines) / 2, duration: time.Minute,
		reclaimInterval: 6 * time.Second, crashInterval: 5 * time.Second, flapInterval: 4 * time.Second,
	}
}

// withCrashingRequests returns the load with count different requests that crash engines. Their
// rate is the given share of the normal rate.
func (l crashLoad) withCrashingRequests(count int, share float64) crashLoad {
	l.crashingRequests, l.crashingPerSecond = count, share*l.normalPerSecond
	return l
}

// TestCrashLoad runs loads with engines that are reclaimed, crash and flap, without and with
// crashing requests (a tenth of the normal rate). No request with unique content may be held by
// mistake, and the crashing requests may end only a few engines each: three, and those that they
// reached before hosts could know. Requests with common content may be held for a minute by
// coincidence, so those are only logged.
//
// The loads last a third of the usual time, because the race detector's own runtime failed on
// full ones, and they take ten seconds and more with it. The flag -crash.days runs full ones.
func TestCrashLoad(t *testing.T) {
	load := faultyLoad(3, 2, 12)
	load.duration = 20 * time.Second
	t.Run("no such request", func(t *testing.T) {
		is := is.New(t)
		tally := load.run(t, 0, 1)
		t.Log(tally)
		is.Equal(tally.wronglyHeldUnique, 0)
		is.True(tally.normal > 100)
	})
	t.Run("a tenth of them", func(t *testing.T) {
		is := is.New(t)
		tally := load.withCrashingRequests(2, 0.1).run(t, 0, 1)
		t.Log(tally)
		is.Equal(tally.wronglyHeldUnique, 0)
		is.True(tally.enginesEnded <= 2*(3+2))
	})
}

// TestCrashHoldThresholds logs the outcomes of several hold thresholds, if the flag -crash.days
// is set.
func TestCrashHoldThresholds(t *testing.T) {
	if !*crashLoadsFlag {
		t.Skip("runs only with -crash.days")
	}
	for _, size := range []struct {
		name                         string
		zones, hostsPerZone, engines int
	}{{"small", 3, 2, 12}, {"grown", 3, 20, 45}, {"large", 5, 39, 62}} {
		faults := faultyLoad(size.zones, size.hostsPerZone, size.engines)
		quiet := faults
		quiet.reclaimInterval, quiet.crashInterval, quiet.flapInterval = 0, 0, 0
		for _, load := range []struct {
			name string
			crashLoad
		}{{"none", faults}, {"few", quiet.withCrashingRequests(2, 0.1)}, {"many", faults.withCrashingRequests(max(4, size.engines/3), 0.1)}} {
			for _, holdThreshold := range []int{math.MaxInt, quarantine.DefaultHoldThreshold, 2} {
				total := &crashTally{}
				for seed := range uint64(3) {
					tally := load.run(t, holdThreshold, seed+1)
					total.normal, total.lost, total.refused = total.normal+tally.normal, total.lost+tally.lost, total.refused+tally.refused
					total.wronglyHeld, total.enginesEnded = total.wronglyHeld+tally.wronglyHeld, total.enginesEnded+tally.enginesEnded
				}
				t.Logf("site %s, %s crashing requests (%d): hold threshold %d: %v", size.name, load.name, load.crashingRequests, holdThreshold, total)
			}
		}
	}
}
