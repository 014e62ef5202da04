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

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/ratelimit"
)

// What happened: two of three plain upstreams named in their answers how many requests a
// second they take from all hosts together, and went on serving. Three seconds later one
// that named 4 a second still got 74 in 4 s from hosts that had passed such answers on,
// where half as much again and 5 are borne; on another day 70 at 6.5, and 26 at 3.2.
//
// The cause: hosts chose an upstream by how fast it answers and how often it fails, and
// nothing of what it says of itself in its answers was read. Had each host kept to the
// limit by itself, six of them would have sent six times as much.
//
// Evidence: from the moment at which the limits were named the flow to those upstreams
// changed at no host; one host alone sent 34 to 49 in 4 s; second tries were 22 of 261; no
// upstream turned a request away.

var (
	limitSizesFlag = flag.Bool("limit.sizes", false, "play limits on sites of up to 300 hosts")
	limitSeedFlag  = flag.Uint64("limit.seed", 1, "seed of the callers of limited upstreams")
)

// limitScenario is a load on upstreams of which some name limits.
type limitScenario struct {
	zones, hostsPerZone, upstreams int
	// path chooses the kind of request.
	path string
	// perSecond is how many requests come, in all, at all hosts alike or at the first.
	perSecond float64
	atOneHost bool
	needs     []limitPeriod
	duration  time.Duration
	// hides makes needyFleet's.
	hides func() func() bool
	// coldRate is what a cold plain upstream bears; zero sets no bound.
	coldRate float64
	// disturb is what befalls the site meanwhile.
	disturb func(ctx context.Context, s *site, fleet *limitingFleet)
	// onPermitCount is told how many questions for onPermitCount there were, if it is set.
	onPermitCount func(n int64)
}

// limitTally is what callers got on such a day.
type limitTally struct {
	mu                        sync.Mutex
	requests, served, refused int
	// wronglyRefused counts refusals that don't say that the request has not run, and lateRefused those
	// that took longer than they may.
	wronglyRefused, lateRefused int
}

func (t *limitTally) record(s *fakeSink, took, atOnce time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	switch {
	case s.refused == nil:
		t.served++
	case s.refused.Code == CodeOverloaded:
		t.refused++
		if took > atOnce {
			t.lateRefused++
		}
	default:
		t.wronglyRefused++
	}
}

// maxUnaryRefusalTime is how long it may take to refuse a request: a question to another host and
// back, and one that isn't answered.
const maxUnaryRefusalTime = 2 * peerRequestTimeout

// maxRefusalTime is how long it may take to refuse a request: a stream may wait for an engine
// that isn't bounded before that.
func (d limitScenario) maxRefusalTime() time.Duration {
	if d.path != "/llm/" && d.path != "/resumable/" {
		return maxUnaryRefusalTime
	}
	return maxUnaryRefusalTime + time.Duration(policy.DefaultMaxWaitFraction*float64(1800*time.Millisecond)) + poolRefreshInterval
}

// minLimitUsage is how much of a limit is to be used while more is wanted.
const minLimitUsage = 0.9

// siteSettleTime is when a day's hosts know each other; needs begin after it.
const siteSettleTime = 4 * time.Second

// run plays the day with some seed.
func (d limitScenario) run(t *testing.T, seed uint64, judge func(*testing.T, *limitingFleet, *limitTally)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fleet, tally := newLimitingFleet(d.needs...), &limitTally{}
		if d.hides != nil {
			fleet.hidesLimit = d.hides()
		}
		s := newLimitSite(fleet, d.zones, d.hostsPerZone, d.upstreams)
		s.origin.config.Services[0].ColdRate = d.coldRate
		s.serveAll(ctx)
		random := rand.New(rand.NewPCG(seed, 0))
		var under sync.WaitGroup
		if d.disturb != nil {
			under.Go(func() { d.disturb(ctx, s, fleet) })
		}
		time.Sleep(siteSettleTime / 2)
		pause := float64(time.Second) / d.perSecond
		for n := 0; time.Since(fleet.start) < d.duration; n++ {
			host := s.firstHost()
			if !d.atOneHost {
				host = s.nthHost(random.IntN(d.zones * d.hostsPerZone))
			}
			under.Go(func() {
				c, sink := call(d.path), &fakeSink{}
				c.ID, c.Prompt = RequestID(fmt.Sprint("r", n)), Prompt{Tokens: 500, MaxOutputTokens: 300}
				host.Serve(ctx, c, sink)
				tally.record(sink, time.Since(c.Arrived), d.maxRefusalTime())
			})
			// The times between arrivals of callers that don't know of each other.
			time.Sleep(time.Duration(-math.Log(1-random.Float64()) * pause))
		}
		under.Wait()
		if d.onPermitCount != nil {
			d.onPermitCount(s.permitCalls.Load())
		}
		judge(t, fleet, tally)
		cancel()
		synctest.Wait()
	})
}

// newLimitSite returns zones of hosts before upstreams that name limits.
func newLimitSite(fleet *limitingFleet, zones, hostsPerZone, upstreams int) *site {
	s := newCrashSiteOf(fleet.fakeFleet, zones, hostsPerZone, upstreams)
	for _, f := range s.hosts {
		f.transport = &fakeTransport{send: fleet.sendFrom(f.settings.Self.ID), checkReachable: fleet.checkReachable}
	}
	return s
}

// hostAtAddress is the host hostAtAddress an address; nil where there is none.
func (s *site) hostAtAddress(address string) *Forwarder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[address]
}

// firstHost is the firstHost host of the firstHost zone, and nth the nth of all.
func (s *site) firstHost() *Forwarder { return s.hostAtAddress("10.1.0.1:1") }

func (s *site) nthHost(n int) *Forwarder {
	zones := 0
	for s.hostAtAddress(fmt.Sprintf("10.%d.0.1:1", zones+1)) != nil {
		zones++
	}
	return s.hostAtAddress(fmt.Sprintf("10.%d.0.%d:1", n%zones+1, n/zones+1))
}

// needAfterSettling is a need from when the hosts know each other until a time.
func needAfterSettling(id member.UpstreamID, rate ratelimit.Rate, until time.Duration) limitPeriod {
	return limitPeriod{upstream: id, from: siteSettleTime, until: until, rate: rate}
}

// TestAnnouncedLimits has upstreams that name a limit get no more from all hosts together than
// they are to bear at most.
func TestAnnouncedLimits(t *testing.T) {
	limitScenario{
		zones: 3, hostsPerZone: 2, upstreams: 3, path: "/order/", perSecond: 36, duration: 18 * time.Second,
		needs: []limitPeriod{needAfterSettling("app00", 4, 18*time.Second), needAfterSettling("app01", 2.8, 18*time.Second)},
	}.run(t, *limitSeedFlag, func(t *testing.T, fleet *limitingFleet, _ *limitTally) {
		for _, id := range []member.UpstreamID{"app00", "app01"} {
			if w := fleet.worstOverTolerance(id); w.exceeded() {
				t.Errorf("%s got %v", id, w)
			}
		}
	})
}

// TestLimitsKeptAndUsed has upstreams that name limits get no more than these, counted in whole
// requests, and nine tenths of them used while more is wanted; and no caller wait for a
// refusal, or hear that its request may have run.
func TestLimitsKeptAndUsed(t *testing.T) {
	const from = siteSettleTime + contactBound
	for name, d := range map[string]limitScenario{
		"calls, at all hosts":         {path: "/order/", perSecond: 40},
		"calls, at one host":          {path: "/order/", perSecond: 40, atOneHost: true},
		"calls that may be repeated":  {path: "/status/", perSecond: 40},
		"streams, at all hosts":       {path: "/llm/", perSecond: 20},
		"streams, at one host":        {path: "/llm/", perSecond: 20, atOneHost: true},
		"streams that may be resumed": {path: "/resumable/", perSecond: 20},
	} {
		// Of few requests each counts for much.
		service, until := "app", 40*time.Second
		if d.path == "/llm/" || d.path == "/resumable/" {
			service, until = "llm", 18*time.Second
		}
		at := func(n int, rate ratelimit.Rate) limitPeriod {
			return needAfterSettling(member.UpstreamID(fmt.Sprintf("%s%02d", service, n)), rate, until)
		}
		d.zones, d.hostsPerZone, d.upstreams, d.duration = 3, 3, 5, until
		for kind, needs := range map[string][]limitPeriod{
			"one": {at(0, 2)},
			"two": {at(0, 2.8), at(1, 1.2)},
			"all": {at(0, 2), at(1, 0.4), at(2, 3.5), at(3, 2), at(4, 2.8)},
		} {
			t.Run(name+", "+kind, func(t *testing.T) {
				d.needs = needs
				d.run(t, *limitSeedFlag, func(t *testing.T, fleet *limitingFleet, tally *limitTally) {
					got, takes := 0, 0.0
					for _, n := range needs {
						got += fleet.requestCount(n.upstream, from, until)
						takes += float64(n.rate) * (until - from).Seconds()
						rule, aim, used := fleet.worstOverTolerance(n.upstream), fleet.worstOverLimit(n.upstream), fleet.usedFraction(n.upstream, from, until, n.rate)
						t.Logf("%s at %v a second: %v; used %.2f", n.upstream, float64(n.rate), aim, used)
						if rule.exceeded() {
							t.Errorf("%s got %v", n.upstream, rule)
						}
						if aim.exceeded() {
							t.Errorf("%s was to get less: %v", n.upstream, aim)
						}
						// Which engine a stream goes to is decided by more than that, so
						// that more is wanted of one while others have room isn't sure.
						if used < minLimitUsage && n.rate >= 1 && service == "app" {
							t.Errorf("%s was used to %.2f", n.upstream, used)
						}
					}
					if used := float64(got) / takes; used < minLimitUsage && kind == "all" {
						t.Errorf("all of the service were used to %.2f", used)
					}
					t.Logf("asked %d, served %d, refused %d, of which late %d, wrongly %d", tally.requests, tally.served, tally.refused, tally.lateRefused, tally.wronglyRefused)
					if tally.wronglyRefused > 0 || tally.lateRefused > 0 {
						t.Errorf("refused wrongly %d, late %d", tally.wronglyRefused, tally.lateRefused)
					}
				})
			})
		}
	}
}

// TestEngineLimitSizes is TestLimitSizes for streams, of engines that all name limits.
func TestEngineLimitSizes(t *testing.T) {
	const until = 16 * time.Second
	for _, size := range []struct{ zones, hostsPerZone int }{{3, 3}, {3, 20}, {5, 60}} {
		if size.hostsPerZone > 3 && !*limitSizesFlag {
			continue
		}
		t.Run(fmt.Sprintf("%d hosts", size.zones*size.hostsPerZone), func(t *testing.T) {
			var needs []limitPeriod
			for n := range 10 {
				needs = append(needs, needAfterSettling(member.UpstreamID(fmt.Sprintf("llm%02d", n)), ratelimit.Rate(1+n%3), until))
			}
			limitScenario{
				zones: size.zones, hostsPerZone: size.hostsPerZone, upstreams: 10, path: "/llm/", perSecond: 60, needs: needs, duration: until,
			}.run(t, *limitSeedFlag, func(t *testing.T, fleet *limitingFleet, tally *limitTally) {
				got, takes := 0, 0.0
				for _, n := range needs {
					got += fleet.requestCount(n.upstream, siteSettleTime+contactBound, until)
					takes += float64(n.rate) * (until - siteSettleTime - contactBound).Seconds()
					if rule, aim := fleet.worstOverTolerance(n.upstream), fleet.worstOverLimit(n.upstream); rule.exceeded() || aim.exceeded() {
						t.Errorf("%s got %v (rule: %v)", n.upstream, aim, rule)
					}
				}
				t.Logf("used %.2f; asked %d, served %d, refused %d, late %d, wrongly %d", float64(got)/takes, tally.requests, tally.served, tally.refused, tally.lateRefused, tally.wronglyRefused)
				if float64(got) < minLimitUsage*takes || tally.lateRefused > 0 || tally.wronglyRefused > 0 {
					t.Errorf("used to %.2f; refused late %d, wrongly %d", float64(got)/takes, tally.lateRefused, tally.wronglyRefused)
				}
			})
		})
	}
}

// TestLimitSizes plays limits on sites of up to 300 hosts, where it is asked to; on one of 9
// hosts always: the race detector's own runtime fails on as many events as more have.
func TestLimitSizes(t *testing.T) {
	const until = 16 * time.Second
	for _, size := range []struct{ zones, hostsPerZone int }{{3, 3}, {3, 20}, {5, 60}} {
		if size.hostsPerZone > 3 && !*limitSizesFlag {
			continue
		}
		for load, atOneHost := range map[string]bool{"all hosts": false, "one host": true} {
			t.Run(fmt.Sprintf("%d hosts, %s", size.zones*size.hostsPerZone, load), func(t *testing.T) {
				needs := []limitPeriod{needAfterSettling("app00", 0.2, until), needAfterSettling("app01", 4, until), needAfterSettling("app02", 27, until)}
				var asks int64
				limitScenario{
					zones: size.zones, hostsPerZone: size.hostsPerZone, upstreams: 6, path: "/order/", perSecond: 300, atOneHost: atOneHost,
					needs: needs, duration: until, onPermitCount: func(n int64) { asks = n },
				}.run(t, *limitSeedFlag, func(t *testing.T, fleet *limitingFleet, tally *limitTally) {
					for _, n := range needs {
						rule, aim, used := fleet.worstOverTolerance(n.upstream), fleet.worstOverLimit(n.upstream), fleet.usedFraction(n.upstream, siteSettleTime+contactBound, until, n.rate)
						t.Logf("%s at %v a second: %v; used %.2f", n.upstream, float64(n.rate), aim, used)
						if rule.exceeded() || aim.exceeded() {
							t.Errorf("%s got %v (rule: %v)", n.upstream, aim, rule)
						}
						if used < minLimitUsage && n.rate >= 1 {
							t.Errorf("%s was used to %.2f", n.upstream, used)
						}
					}
					t.Logf("asked %d, served %d, refused %d, late %d, wrongly %d; %.0f questions a second", tally.requests, tally.served, tally.refused, tally.lateRefused, tally.wronglyRefused, float64(asks)/(until-siteSettleTime).Seconds())
				})
			})
		}
	}
}
