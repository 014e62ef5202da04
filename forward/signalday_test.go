// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shedpath/shedpath/member"
)

var (
	signalSeedFlag  = flag.Uint64("signal.seed", 1, "seed of the callers in the simulations of upstream signals")
	signalSizesFlag = flag.Bool("signal.sizes", false, "simulate upstream signals on up to 300 hosts")
)

// signalDay is a simulated load on upstreams that signal that they leave or ask for backoff.
type signalDay struct {
	zones, hostsPerZone, upstreams int
	path                           string
	requestsPerSecond              float64
	periods                        []signalPeriod
	duration                       time.Duration
	// failEvery is signalFleet.failEvery.
	failEvery int
	// storeLostAt and storeBackAt bound the time in which the store is unavailable; zero for
	// never.
	storeLostAt, storeBackAt time.Duration
	// disturb, if set, disturbs the site while the load runs.
	disturb func(ctx context.Context, s *site, fleet *signalFleet)
	// transport, if set, returns a host's transport in place of a signalTransport.
	transport func(t signalTransport) Transport
	// hostAt, if set, returns the number of the host that a request reaches first at a time; negative for
	// any.
	hostAt func(at time.Duration) int
	// onFirstTry, if set, receives the answers to the first tries, with the time when they were sent.
	onFirstTry func(at time.Duration, s *fakeSink)
	// maxCallerRetries is how often a refused caller retries, after the delay that it is
	// given, at another host of the zone.
	maxCallerRetries int
}

// otherHostInZone returns another host of a host's zone. Successive values of n go through all
// of them. A zone's only host is returned itself.
func (s *site) otherHostInZone(f *Forwarder, n int) *Forwarder {
	zone := s.zoneHosts(f.settings.Self.Zone)
	at := slices.Index(zone, f)
	return zone[(at+1+n%max(len(zone)-1, 1))%len(zone)]
}

// zoneHosts returns a zone's hosts in the order of their addresses.
func (s *site) zoneHosts(zone member.Zone) []*Forwarder {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hosts []*Forwarder
	for _, address := range slices.Sorted(maps.Keys(s.hosts)) {
		if f := s.hosts[address]; f.settings.Self.Zone == zone {
			hosts = append(hosts, f)
		}
	}
	return hosts
}

// signalTally counts what callers received.
type signalTally struct {
	mu                                    sync.Mutex
	calls, served, truncated, mayHaveRun  int
	refused                               map[Code]int
	slowest                               time.Duration
	longestRetryAfter, shortestRetryAfter time.Duration
	// tries counts the callers by the number of their requests.
	tries map[int]int
}

// recordTries counts a caller by the number of its requests.
func (t *signalTally) recordTries(tries int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tries[tries]++
}

// record counts a caller's final answer.
func (t *signalTally) record(s *fakeSink, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	switch {
	case s.truncated:
		t.truncated++
	case s.refused != nil:
		t.refused[s.refused.Code]++
		if s.refused.MayHaveRun {
			t.mayHaveRun++
			return
		}
		t.slowest = max(t.slowest, took)
		t.longestRetryAfter = max(t.longestRetryAfter, s.refused.RetryAfter)
		if t.shortestRetryAfter == 0 || s.refused.RetryAfter < t.shortestRetryAfter {
			t.shortestRetryAfter = s.refused.RetryAfter
		}
	case s.status < 500:
		t.served++
	}
}

func (t *signalTally) String() string {
	return fmt.Sprintf("calls %d, served %d, cut %d, refused %v (may have run %d), slowest refusal %v, retry after %v to %v",
		t.calls, t.served, t.truncated, t.refused, t.mayHaveRun, t.slowest, t.shortestRetryAfter, t.longestRetryAfter)
}

// sustainableRate is the number of requests per second that one of three upstreams can serve
// alone.
func (d signalDay) sustainableRate() float64 {
	if d.path == "/order/" || d.path == "/status/" {
		return 30
	}
	return 7
}

// maxRefusalTime is how long it may take to refuse a request.
func (d signalDay) maxRefusalTime() time.Duration {
	return limitScenario{path: d.path}.maxRefusalTime()
}

// play simulates the day and calls verify with the results.
func (d signalDay) play(t *testing.T, seed uint64, verify func(*testing.T, *signalFleet, *signalTally)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fleet := newSignalFleet(d.periods...)
		fleet.failEvery = d.failEvery
		tally := &signalTally{refused: map[Code]int{}, tries: map[int]int{}}
		s := newCrashSiteWith(fleet.fakeFleet, d.zones, d.hostsPerZone, d.upstreams)
		for _, f := range s.hosts {
			f.transport = signalTransport{fleet, f.settings.Self.ID}
			if d.transport != nil {
				f.transport = d.transport(signalTransport{fleet, f.settings.Self.ID})
			}
			f.SetRetryLimit(RetryLimit{Ratio: 0.2, Slack: max(60, 2.2*float64(len(s.hosts))), Window: 10 * time.Second})
		}
		s.serveAll(ctx)
		var running sync.WaitGroup
		if d.storeLostAt > 0 {
			running.Go(func() {
				time.Sleep(d.storeLostAt)
				s.origin.unavailable.Store(true)
				time.Sleep(d.storeBackAt - d.storeLostAt)
				s.origin.unavailable.Store(false)
			})
		}
		if d.disturb != nil {
			running.Go(func() { d.disturb(ctx, s, fleet) })
		}
		time.Sleep(siteSettleTime / 2)
		random := rand.New(rand.NewPCG(seed, 0))
		pause := float64(time.Second) / d.requestsPerSecond
		for n := 0; fleet.elapsed() < d.duration; n++ {
			host := s.nthHost(random.IntN(d.zones * d.hostsPerZone))
			if d.hostAt != nil {
				if only := d.hostAt(fleet.elapsed()); only >= 0 {
					host = s.nthHost(only)
				}
			}
			for !host.Ready() {
				// Callers aren't directed to a host that isn't ready.
				host = s.nthHost(random.IntN(d.zones * d.hostsPerZone))
			}
			running.Go(func() {
				var sink *fakeSink
				began, at, tries := time.Now(), fleet.elapsed(), 0
				for ; tries <= d.maxCallerRetries && (sink == nil || sink.refused != nil); tries++ {
					if sink != nil {
						time.Sleep(sink.refused.RetryAfter)
						host = s.otherHostInZone(host, tries)
					}
					c := call(d.path)
					c.ID, c.Prompt = RequestID(fmt.Sprint("r", n, "-", tries)), Prompt{Tokens: 500, MaxOutputTokens: 300}
					sink = &fakeSink{}
					host.Serve(ctx, c, sink)
					if tries == 0 && d.onFirstTry != nil {
						d.onFirstTry(at, sink)
					}
				}
				tally.record(sink, time.Since(began))
				tally.recordTries(tries)
			})
			time.Sleep(time.Duration(-math.Log(1-random.Float64()) * pause))
		}
		running.Wait()
		verify(t, fleet, tally)
		cancel()
		synctest.Wait()
	})
}

// publishReady returns a disturbance that lists an upstream as ready repeatedly, at newer
// revisions.
func publishReady(id member.UpstreamID) func(context.Context, *site, *signalFleet) {
	return func(_ context.Context, s *site, fleet *signalFleet) {
		for n := 0; fleet.elapsed() < 12*time.Second; n++ {
			time.Sleep(700 * time.Millisecond)
			u, known := s.firstHost().fleet.Upstream(id)
			if !known {
				continue
			}
			u.Leaving, u.Revision = false, rev(50+n)
			s.origin.publish(Change{Upstream: u})
		}
	}
}

// reportViolations fails the test if there are violations, and prints the first three and the
// total.
func reportViolations(t *testing.T, what string, violations []violation) {
	t.Helper()
	for i, b := range violations {
		if i == 3 {
			break
		}
		t.Errorf("arrival %s: %v", what, b)
	}
	if len(violations) > 3 {
		t.Errorf("arrivals %s: %d in all", what, len(violations))
	}
}

// TestLeavingUpstreamGetsNoRequests checks that a host sends nothing to an upstream after an
// answer signaled that the upstream leaves.
func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	const from, until = 5 * time.Second, 14 * time.Second
	for name, c := range map[string]struct {
		day signalDay
		// mayRefuse says that callers need not all be served, because no upstream is available
		// or some requests fail.
		mayRefuse bool
	}{
		"the store is away":               {day: signalDay{path: "/order/", periods: []signalPeriod{{upstream: "app00"}}, storeLostAt: 4 * time.Second, storeBackAt: 18 * time.Second}},
		"the list says that it is ready":  {day: signalDay{path: "/order/", periods: []signalPeriod{{upstream: "app00"}}, disturb: publishReady("app00")}},
		"only its failures tell":          {day: signalDay{path: "/order/", periods: []signalPeriod{{upstream: "app00", failuresOnly: true}}}, mayRefuse: true},
		"it tells one host":               {day: signalDay{path: "/order/", periods: []signalPeriod{{upstream: "app00", onlyHosts: []member.HostID{"z1-h01"}}}}},
		"calls that may be repeated":      {day: signalDay{path: "/status/", periods: []signalPeriod{{upstream: "app00"}, {upstream: "app01"}}}},
		"all of a service":                {day: signalDay{path: "/order/", periods: []signalPeriod{{upstream: "app00"}, {upstream: "app01"}, {upstream: "app02"}}}, mayRefuse: true},
		"engines, the store is away":      {day: signalDay{path: "/llm/", periods: []signalPeriod{{upstream: "llm00"}}, storeLostAt: 4 * time.Second, storeBackAt: 18 * time.Second}},
		"engines, the list says ready":    {day: signalDay{path: "/llm/", periods: []signalPeriod{{upstream: "llm00"}}, disturb: publishReady("llm00")}},
		"engines whose streams can go on": {day: signalDay{path: "/resumable/", periods: []signalPeriod{{upstream: "llm00"}}}},
	} {
		t.Run(name, func(t *testing.T) {
			d := c.day
			d.zones, d.hostsPerZone, d.upstreams, d.requestsPerSecond, d.duration = 3, 2, 3, d.sustainableRate(), until
			for i := range d.periods {
				d.periods[i].leaving, d.periods[i].from, d.periods[i].until = true, from, until
			}
			d.play(t, *signalSeedFlag, func(t *testing.T, fleet *signalFleet, tally *signalTally) {
				t.Log(tally)
				reportViolations(t, "after the drain time", fleet.drainViolations())
				reportViolations(t, "after the signal", fleet.strictDrainViolations())
				if tally.slowest > d.maxRefusalTime() || tally.truncated > 0 || tally.mayHaveRun > 0 {
					t.Errorf("refusals took up to %v (at most %v allowed), %d streams were cut, %d refused requests may have run, expected none (%v)",
						tally.slowest, d.maxRefusalTime(), tally.truncated, tally.mayHaveRun, tally)
				}
				if !c.mayRefuse && tally.served < tally.calls {
					t.Errorf("callers served: %d of %d (%v)", tally.served, tally.calls, tally)
				}
			})
		})
	}
}

// TestUpstreamInBackoffGetsNoRequests checks that a host sends nothing to an upstream for as
// long as the upstream asked it to back off.
func TestUpstreamInBackoffGetsNoRequests(t *testing.T) {
	const from, until = 5 * time.Second, 11 * time.Second
	backoffPeriods := func(ids ...member.UpstreamID) []signalPeriod {
		var spells []signalPeriod
		for _, id := range ids {
			spells = append(spells, signalPeriod{upstream: id, backoff: 3 * time.Second})
		}
		return spells
	}
	oneHost := backoffPeriods("app00")
	oneHost[0].onlyHosts = []member.HostID{"z1-h01"}
	for name, c := range map[string]struct {
		day signalDay
		// mayRefuse says that callers need not all be served, because no upstream is available
		// at times or some requests fail.
		mayRefuse bool
	}{
		"calls":                          {day: signalDay{path: "/order/", periods: backoffPeriods("app00")}},
		"calls, a tenth fail":            {day: signalDay{path: "/order/", periods: backoffPeriods("app00"), failEvery: 10}, mayRefuse: true},
		"calls that may be repeated":     {day: signalDay{path: "/status/", periods: backoffPeriods("app00", "app01")}},
		"one host is asked":              {day: signalDay{path: "/order/", periods: oneHost}},
		"calls, all upstreams":           {day: signalDay{path: "/order/", periods: backoffPeriods("app00", "app01", "app02")}, mayRefuse: true},
		"streams":                        {day: signalDay{path: "/llm/", periods: backoffPeriods("llm00")}},
		"streams, two of three":          {day: signalDay{path: "/llm/", periods: backoffPeriods("llm00", "llm01")}},
		"streams that can go on":         {day: signalDay{path: "/resumable/", periods: backoffPeriods("llm00")}},
		"streams, all upstreams":         {day: signalDay{path: "/llm/", periods: backoffPeriods("llm00", "llm01", "llm02")}, mayRefuse: true},
		"calls, while the store is away": {day: signalDay{path: "/order/", periods: backoffPeriods("app00"), storeLostAt: 4 * time.Second, storeBackAt: 16 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			d := c.day
			d.zones, d.hostsPerZone, d.upstreams, d.requestsPerSecond, d.duration = 3, 2, 3, d.sustainableRate(), 18*time.Second
			for i := range d.periods {
				d.periods[i].from, d.periods[i].until = from, until
			}
			d.play(t, *signalSeedFlag, func(t *testing.T, fleet *signalFleet, tally *signalTally) {
				t.Log(tally, "rejections", fleet.rejections)
				reportViolations(t, "during backoff, over the allowance", fleet.backoffViolations())
				reportViolations(t, "during backoff", fleet.strictBackoffViolations())
				if tally.slowest > d.maxRefusalTime() || tally.truncated > 0 || tally.mayHaveRun > 0 {
					t.Errorf("refusals took up to %v (at most %v allowed), %d streams were cut, %d refused requests may have run, expected none (%v)",
						tally.slowest, d.maxRefusalTime(), tally.truncated, tally.mayHaveRun, tally)
				}
				if !c.mayRefuse && tally.served < tally.calls {
					t.Errorf("callers served: %d of %d (%v)", tally.served, tally.calls, tally)
				}
			})
		})
	}
}

// TestBackoffOfAllHostsEnds checks that after a backoff an upstream's request rate returns to
// within a fifth of that of a comparable upstream, without a peak.
func TestBackoffOfAllHostsEnds(t *testing.T) {
	const from, until, checkedFrom, lasts = 6 * time.Second, 9 * time.Second, 14 * time.Second, 34 * time.Second
	for _, size := range []struct{ zones, hostsPerZone int }{{3, 3}, {3, 20}, {5, 60}} {
		if size.hostsPerZone > 3 && !*signalSizesFlag {
			continue
		}
		t.Run(fmt.Sprint(size.zones*size.hostsPerZone, " hosts"), func(t *testing.T) {
			d := signalDay{
				zones: size.zones, hostsPerZone: size.hostsPerZone, upstreams: 2 * size.zones, path: "/order/",
				requestsPerSecond: 40 * float64(size.zones), duration: lasts,
				periods: []signalPeriod{{upstream: "app00", backoff: 3 * time.Second, from: from, until: until}},
			}
			d.play(t, *signalSeedFlag, func(t *testing.T, fleet *signalFleet, tally *signalTally) {
				t.Log(tally, "rejections", fleet.rejections)
				reportViolations(t, "during backoff, over the allowance", fleet.backoffViolations())
				reportViolations(t, "during backoff", fleet.strictBackoffViolations())
				if tally.served < tally.calls {
					t.Errorf("callers served: %d of %d (%v)", tally.served, tally.calls, tally)
				}
				// app00 is compared to the other upstream of its zone.
				comparedTo := member.UpstreamID(fmt.Sprintf("app%02d", size.zones))
				ratio := float64(fleet.requestCount("app00", checkedFrom, lasts)) / float64(fleet.requestCount(comparedTo, checkedFrom, lasts))
				mean := float64(fleet.requestCount(comparedTo, checkedFrom, lasts)) / (lasts - checkedFrom).Seconds()
				peak := 0
				for at := from; at < lasts; at += time.Second {
					peak = max(peak, fleet.requestCount("app00", at, at+time.Second))
				}
				t.Logf("app00 got %.2f of the %.0f requests per second of a comparable upstream; at most %d in one second", ratio, mean, peak)
				if ratio < 0.8 || ratio > 1.2 || float64(peak) > 2*mean {
					t.Errorf("app00 got %.2f of the %.0f requests per second of a comparable upstream, expected 0.8 to 1.2; at most %d in one second, expected at most twice the mean", ratio, mean, peak)
				}
			})
		})
	}
}

// TestRefusedCallersServedAfterBackoff checks that refused callers are served when they retry
// after the delay that they were given.
func TestRefusedCallersServedAfterBackoff(t *testing.T) {
	const from, until = 5 * time.Second, 6 * time.Second
	for name, only := range map[string][]member.HostID{"all hosts": nil, "one host": {"z1-h01"}} {
		for _, path := range []string{"/order/", "/llm/"} {
			t.Run(name+path, func(t *testing.T) {
				d := signalDay{zones: 3, hostsPerZone: 3, upstreams: 3, path: path, duration: 12 * time.Second, maxCallerRetries: 4}
				d.requestsPerSecond = d.sustainableRate()
				for n := range 3 {
					id := member.UpstreamID(fmt.Sprintf("%s%02d", map[string]string{"/order/": "app", "/llm/": "llm"}[path], n))
					d.periods = append(d.periods, signalPeriod{upstream: id, backoff: 3 * time.Second, from: from, until: until, onlyHosts: only})
				}
				d.play(t, *signalSeedFlag, func(t *testing.T, fleet *signalFleet, tally *signalTally) {
					t.Log(tally, "callers by requests sent", tally.tries)
					reportViolations(t, "during backoff, over the allowance", fleet.backoffViolations())
					reportViolations(t, "during backoff", fleet.strictBackoffViolations())
					if tally.served < tally.calls {
						t.Errorf("callers served: %d of %d (%v), callers by requests sent %v", tally.served, tally.calls, tally, tally.tries)
					}
				})
			})
		}
	}
}
