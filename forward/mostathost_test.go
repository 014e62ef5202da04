// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shedpath/shedpath/member"
)

// mostAtNextHostFrom is when nearly all requests begin to come to another host than before.
const mostAtNextHostFrom = 16 * time.Second

// playMostAtOneHost plays a day on which, after some seconds, nearly all requests come to one host, and then
// to another one. It checks that as many are served at the first try as before, but for a quarter, once
// the hosts have had time to share their state.
func playMostAtOneHost(t *testing.T, d signalDay) {
	t.Helper()
	const from, next, until = 8 * time.Second, mostAtNextHostFrom, 24 * time.Second
	var mu sync.Mutex
	var before, during struct{ sent, served int }
	d.zones, d.hostsPerZone, d.duration = 3, 3, until
	d.hostAt = func(at time.Duration) int {
		switch {
		case at < from:
			return -1
		case at < next:
			return 0
		}
		return 4
	}
	d.onFirstTry = func(at time.Duration, s *fakeSink) {
		mu.Lock()
		defer mu.Unlock()
		counted := &before
		switch {
		case at < siteSettleTime, at >= from && at < from+maxPropagationDelay, at >= next && at < next+maxPropagationDelay:
			return
		case at >= from:
			counted = &during
		}
		counted.sent++
		if s.refused == nil && s.status < 500 && !s.truncated {
			counted.served++
		}
	}
	d.play(t, *signalSeedFlag, func(t *testing.T, _ *signalFleet, tally *signalTally) {
		t.Logf("before %d of %d served at the first try, during %d of %d; %v", before.served, before.sent, during.served, during.sent, tally)
		if 4*during.served*before.sent < 3*before.served*during.sent {
			t.Errorf("served at the first try: %d of %d while all requests come to one host, before %d of %d", during.served, during.sent, before.served, before.sent)
		}
	})
}

// TestMostRequestsAtOneHost guards against shares by host that don't follow the requests.
func TestMostRequestsAtOneHost(t *testing.T) {
	for name, d := range map[string]signalDay{
		"calls":        {path: "/order/", upstreams: 3, requestsPerSecond: 60},
		"streams":      {path: "/llm/", upstreams: 3, requestsPerSecond: 5},
		"many streams": {path: "/llm/", upstreams: 12, requestsPerSecond: 25},
	} {
		t.Run(name, func(t *testing.T) { playMostAtOneHost(t, d) })
	}
}

// TestRejectionLimitsAtOneHost guards against upstreams that stay half empty because each host keeps to an
// equal part of what they announce to bear.
func TestRejectionLimitsAtOneHost(t *testing.T) {
	for name, c := range map[string]struct {
		limit int
		rate  float64
		// firstIsLost says that the first host that gets the requests is lost when another gets them.
		firstIsLost bool
	}{"a limit": {20, 120, false}, "a low limit": {2, 90, false}, "the host is lost": {20, 120, true}, "the host is lost, a low limit": {2, 90, true}} {
		t.Run(name, func(t *testing.T) {
			f := &fragileFleet{slots: 6, limit: c.limit, announces: true, noRoomFrom: siteSettleTime, upstreams: map[member.UpstreamID]*fragileUpstream{}, ran: map[RequestID]int{}}
			d := signalDay{path: "/order/", upstreams: 3, requestsPerSecond: c.rate, transport: func(t signalTransport) Transport { return fragileTransport{t, f} }}
			if c.firstIsLost {
				d.disturb = func(ctx context.Context, s *site, _ *signalFleet) {
					PauseFor(ctx, mostAtNextHostFrom)
					s.isolate(s.nthHost(0).settings.Self.PeerAddress)
				}
			}
			playMostAtOneHost(t, d)
			if f.falls > 2 {
				t.Errorf("upstreams fell over %d times, expected at most 2", f.falls)
			}
		})
	}
}
