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

// These tests guard against hosts that ignore the rate limits that upstreams announce in their
// responses. Hosts then chose an upstream by latency and failure rate only, so that an
// upstream that announced 4 requests per second still got 74 in 4 s, three seconds later and
// from hosts that had received the limit; 1.5 times the limit plus 5 are allowed. Second
// attempts were only a small part of these requests, and the upstreams rejected none. A limit
// that each host applies by itself is not enough either: six hosts would send six times as
// much.

var (
	limitSizesFlag = flag.Bool("limit.sizes", false, "test limits on sites of up to 300 hosts")
	limitSeedFlag  = flag.Uint64("limit.seed", 1, "random seed of the callers of upstreams with limits")
)

// limitScenario is a load on upstreams, some of which announce rate limits.
type limitScenario struct {
	zones, hostsPerZone, upstreams int
	// path selects the kind of request.
	path string
	// perSecond is the number of requests per second in total. They arrive at randomly chosen
	// hosts, or all at the first host if atOneHost is set.
	perSecond float64
	atOneHost bool
	needs     []limitPeriod
	duration  time.Duration
	// hides returns the function that decides which responses omit the limit; nil omits it in
	// none.
	hides func() func() bool
	// coldRate is the rate limit of a cold plain upstream; zero sets none.
	coldRate float64
	// disturb runs during the scenario and causes faults on the site.
	disturb func(ctx context.Context, s *site, fleet *limitingFleet)
	// onPermitCount, if set, receives the number of permit requests between hosts.
	onPermitCount func(n int64)
}

// limitTally counts the outcomes of the requests of a scenario.
type limitTally struct {
	mu                        sync.Mutex
	requests, served, refused int
	// wronglyRefused counts refusals whose code isn't CodeOverloaded, and lateRefused those
	// that took longer than allowed.
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

// maxUnaryRefusalTime is how long the refusal of a unary request may take: one request to a
// peer that replies and one to a peer that does not.
const maxUnaryRefusalTime = 2 * peerRequestTimeout

// maxRefusalTime returns how long the refusal of a request may take. A stream may wait for an
// engine without a limit before that.
func (d limitScenario) maxRefusalTime() time.Duration {
	if d.path != "/llm/" && d.path != "/resumable/" {
		return maxUnaryRefusalTime
	}
	return maxUnaryRefusalTime + time.Duration(policy.DefaultMaxWaitFraction*float64(1800*time.Millisecond)) + poolRefreshInterval
}

// minLimitUsage is the share of a limit that must be used while the demand exceeds the limit.
const minLimitUsage = 0.9

// siteSettleTime is the time after which a site's hosts know each other. Upstreams announce
// limits only after it.
const siteSettleTime = 4 * time.Second

// run runs the scenario with a random seed, and passes the outcome to judge.
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
			// Callers arrive independently of each other, so the times between arrivals are
			// exponentially distributed.
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

// newLimitSite returns a site with hosts in several zones and upstreams that announce limits.
func newLimitSite(fleet *limitingFleet, zones, hostsPerZone, upstreams int) *site {
	s := newCrashSiteWith(fleet.fakeFleet, zones, hostsPerZone, upstreams)
	for _, f := range s.hosts {
		f.transport = &fakeTransport{send: fleet.sendFrom(f.settings.Self.ID), checkReachable: fleet.checkReachable}
	}
	return s
}

// hostAtAddress returns the host at an address; nil if there is none.
func (s *site) hostAtAddress(address string) *Forwarder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[address]
}

// firstHost returns the first host of the first zone.
func (s *site) firstHost() *Forwarder { return s.hostAtAddress("10.1.0.1:1") }

// nthHost returns the host with index n, counted across the zones in turn.
func (s *site) nthHost(n int) *Forwarder {
	zones := 0
	for s.hostAtAddress(fmt.Sprintf("10.%d.0.1:1", zones+1)) != nil {
		zones++
	}
	return s.hostAtAddress(fmt.Sprintf("10.%d.0.%d:1", n%zones+1, n/zones+1))
}

// needAfterSettling returns a need that lasts from siteSettleTime until the given time.
func needAfterSettling(id member.UpstreamID, rate ratelimit.Rate, until time.Duration) limitPeriod {
	return limitPeriod{upstream: id, from: siteSettleTime, until: until, rate: rate}
}

// TestAnnouncedLimits checks that all hosts together do not send more than the tolerated
// maximum to upstreams that announce a limit.
func TestAnnouncedLimits(t *testing.T) {
	limitScenario{
		zones: 3, hostsPerZone: 2, upstreams: 3, path: "/order/", perSecond: 36, duration: 18 * time.Second,
		needs: []limitPeriod{needAfterSettling("app00", 4, 18*time.Second), needAfterSettling("app01", 2.8, 18*time.Second)},
	}.run(t, *limitSeedFlag, func(t *testing.T, fleet *limitingFleet, _ *limitTally) {
		for _, id := range []member.UpstreamID{"app00", "app01"} {
			if w := fleet.worstOverTolerance(id, nil); w.exceeded() {
				t.Errorf("upstream %s got too many requests: %v", id, w)
			}
		}
	})
}

// TestLimitsKeptAndUsed checks that upstreams that announce limits get no more than these,
// counted in whole requests, and that nine tenths of the limits are used while the demand is
// higher. No caller may wait for a refusal, or be told that its request may have run.
func TestLimitsKeptAndUsed(t *testing.T) {
	const from = siteSettleTime + maxPropagationDelay
	for name, d := range map[string]limitScenario{
		"calls, at all hosts":         {path: "/order/", perSecond: 40},
		"calls, at one host":          {path: "/order/", perSecond: 40, atOneHost: true},
		"calls that may be repeated":  {path: "/status/", perSecond: 40},
		"streams, at all hosts":       {path: "/llm/", perSecond: 20},
		"streams, at one host":        {path: "/llm/", perSecond: 20, atOneHost: true},
		"streams that may be resumed": {path: "/resumable/", perSecond: 20},
	} {
		// With few requests, a single one changes the used share considerably.
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
						rule, aim, used := fleet.worstOverTolerance(n.upstream, nil), fleet.worstOverLimit(n.upstream), fleet.usedFraction(n.upstream, from, until, n.rate)
						t.Logf("upstream %s with a limit of %v per second: %v; used share %.2f", n.upstream, float64(n.rate), aim, used)
						if rule.exceeded() {
							t.Errorf("upstream %s got too many requests: %v", n.upstream, rule)
						}
						if aim.exceeded() {
							t.Errorf("upstream %s got more than its limit: %v", n.upstream, aim)
						}
						// The choice of an engine for a stream depends on more than the
						// limits, so an engine may be in low demand while others have room.
						if used < minLimitUsage && n.rate >= 1 && service == "app" {
							t.Errorf("upstream %s: used share of the limit is %.2f, want at least %.2f", n.upstream, used, minLimitUsage)
						}
					}
					if used := float64(got) / takes; used < minLimitUsage && kind == "all" {
						t.Errorf("all upstreams of service %s: used share of the limits is %.2f, want at least %.2f", service, used, minLimitUsage)
					}
					t.Logf("requests %d, served %d, refused %d, of which late %d; refused with a wrong code %d", tally.requests, tally.served, tally.refused, tally.lateRefused, tally.wronglyRefused)
					if tally.wronglyRefused > 0 || tally.lateRefused > 0 {
						t.Errorf("refused with a wrong code %d, refused late %d; want 0 of both", tally.wronglyRefused, tally.lateRefused)
					}
				})
			})
		}
	}
}

// TestEngineLimitSizes is TestLimitSizes for streams and engines that all announce limits.
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
					got += fleet.requestCount(n.upstream, siteSettleTime+maxPropagationDelay, until)
					takes += float64(n.rate) * (until - siteSettleTime - maxPropagationDelay).Seconds()
					if rule, aim := fleet.worstOverTolerance(n.upstream, nil), fleet.worstOverLimit(n.upstream); rule.exceeded() || aim.exceeded() {
						t.Errorf("upstream %s got more than its limit: %v; tolerated maximum: %v", n.upstream, aim, rule)
					}
				}
				t.Logf("used share %.2f; requests %d, served %d, refused %d, late %d, with a wrong code %d", float64(got)/takes, tally.requests, tally.served, tally.refused, tally.lateRefused, tally.wronglyRefused)
				if float64(got) < minLimitUsage*takes || tally.lateRefused > 0 || tally.wronglyRefused > 0 {
					t.Errorf("used share of the limits is %.2f, want at least %.2f; refused late %d, with a wrong code %d, want 0 of both", float64(got)/takes, minLimitUsage, tally.lateRefused, tally.wronglyRefused)
				}
			})
		})
	}
}

// TestLimitSizes tests limits on a site of 9 hosts and, with -limit.sizes, on sites of up to
// 300 hosts. The larger ones are off by default because the race detector's runtime fails on
// that many events.
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
						rule, aim, used := fleet.worstOverTolerance(n.upstream, nil), fleet.worstOverLimit(n.upstream), fleet.usedFraction(n.upstream, siteSettleTime+maxPropagationDelay, until, n.rate)
						t.Logf("upstream %s with a limit of %v per second: %v; used share %.2f", n.upstream, float64(n.rate), aim, used)
						if rule.exceeded() || aim.exceeded() {
							t.Errorf("upstream %s got more than its limit: %v; tolerated maximum: %v", n.upstream, aim, rule)
						}
						if used < minLimitUsage && n.rate >= 1 {
							t.Errorf("upstream %s: used share of the limit is %.2f, want at least %.2f", n.upstream, used, minLimitUsage)
						}
					}
					t.Logf("requests %d, served %d, refused %d, late %d, with a wrong code %d; %.0f permit requests per second", tally.requests, tally.served, tally.refused, tally.lateRefused, tally.wronglyRefused, float64(asks)/(until-siteSettleTime).Seconds())
				})
			})
		}
	}
}
