// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
)

// TestCutOffHostsAreCounted checks that hosts which are no longer heard from still count when a
// rate is divided.
func TestCutOffHostsAreCounted(t *testing.T) {
	is := is.New(t)
	p := newPeerSet(Peer{ID: "h0", Zone: "z1"}, nil)
	now := time.Now()
	for n := range 65 {
		p.recordShare(now, Share{From: Peer{ID: member.HostID(fmt.Sprint("h", n+1)), Zone: "z1"}})
	}
	is.Equal(p.recentMaxHosts(now), 66)
	now = now.Add(30 * time.Second)
	p.shareTargets(now, true, false, func(member.HostID) bool { return false }) // forgets the peers that have been silent for long
	is.Equal(p.liveHosts(now), 1)
	is.Equal(p.recentMaxHosts(now), 66)
	is.Equal(p.recentMaxHosts(now.Add(hostCountWindow)), 1)
}

// TestColdUpstreams checks that calls and streams go to warm upstreams while this host has no
// turn at the cold ones, and that a request which only cold upstreams could take is refused at
// once with the time of the next turn.
func TestColdUpstreams(t *testing.T) {
	for path, service := range map[string]string{"/order/": "app", "/llm/": "llm"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				transport := &fakeTransport{send: func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
					return answer(http.StatusOK, "id: 1\ndata: a\n\n"), nil
				}}
				f := newForwarder(t, transport)
				now := time.Now()
				c := testConfig(2)
				c.Services[0].ColdRate, c.Services[1].ColdRate = 10, 10
				f.Configure(now, c)
				ctx, cancel := context.WithCancel(t.Context())
				go f.Run(ctx)
				// A host in the cold upstreams' zone grants their rate, and cannot be asked
				// here. So this host has its own turns, and never those of the granting host.
				for n := range 9 {
					f.peers.recordShare(now, Share{From: Peer{ID: member.HostID(fmt.Sprint("p", n)), Zone: "z2"}})
				}
				cold := func(ids ...string) {
					var changes []Change
					for _, id := range ids {
						u, _ := f.fleet.Upstream(member.UpstreamID(id))
						u.Revision = rev(u.Revision.Revision() + 1)
						// Within one zone, hosts would know of each other's runs on the
						// upstream.
						u.Zone = "z2"
						changes = append(changes, Change{Upstream: u, ColdUntil: time.Now().Add(10 * time.Second)})
					}
					f.fleet.Apply(time.Now(), changes, rev(2))
				}
				small := func() *Call {
					c := call(path)
					c.Prompt.Tokens = 50
					return c
				}
				// An upstream bears 10 requests a second, and half of that is granted. Ten
				// hosts share half of these 5 a second in turns, which is one turn of this host
				// in 4 s.
				cold(service+"1", service+"2")
				for range 40 {
					f.Serve(t.Context(), small(), &fakeSink{})
					time.Sleep(100 * time.Millisecond)
				}
				got := map[member.UpstreamID]int{}
				for _, id := range transport.sentTo() {
					got[id]++
				}
				is.Equal(len(transport.sentTo()), 40)
				is.True(got[member.UpstreamID(service+"1")] <= 2 && got[member.UpstreamID(service+"2")] <= 2)
				cold(service + "3")
				refused := 0
				for range 40 {
					sink := &fakeSink{}
					began := time.Now()
					f.Serve(t.Context(), small(), sink)
					if sink.refused != nil {
						refused++
						is.Equal(sink.refused.Code, CodeOverloaded)
						is.True(!sink.refused.MayHaveRun && sink.refused.RetryAfter > 0)
						is.Equal(time.Since(began), time.Duration(0))
					}
					time.Sleep(50 * time.Millisecond)
				}
				is.True(refused > 20)
				time.Sleep(10 * time.Second) // all upstreams are warm again
				sink := &fakeSink{}
				f.Serve(t.Context(), call(path), sink)
				is.Equal(sink.refused, nil)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestColdEngineIsShared checks that a cold engine gets no more runs per second from all hosts
// together than it bears, both while the hosts reach each other and while half of them reach
// only the engine.
func TestColdEngineIsShared(t *testing.T) {
	const maxRate = 20
	for name, cut := range map[string]bool{"in touch": false, "half is cut off": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				fleet := newLimitingFleet()
				s := newLimitSite(fleet, 1, 10, 2)
				config := testConfig(2)
				config.Services[1].ColdRate = maxRate
				s.origin.configure(2, rev(20))
				s.origin.config.Services = config.Services
				s.serveAll(ctx)
				time.Sleep(2 * time.Second)
				for _, f := range s.hosts {
					f.fleet.MarkCold("llm00", time.Now().Add(time.Minute))
				}
				if cut {
					for n := range 5 {
						s.isolate(s.nthHost(n).settings.Self.PeerAddress)
					}
				}
				for n := range 600 {
					c := call("/llm/")
					c.ID, c.Prompt.Tokens = RequestID(fmt.Sprint("r", n)), 50
					go s.nthHost(n%10).Serve(ctx, c, &fakeSink{})
					time.Sleep(10 * time.Millisecond)
				}
				var arrivals []time.Duration
				fleet.mu.Lock()
				for _, r := range fleet.requests["llm00"] {
					arrivals = append(arrivals, r.at)
				}
				fleet.mu.Unlock()
				most, first := 0, 0
				for last := range arrivals {
					for arrivals[last]-arrivals[first] >= time.Second {
						first++
					}
					most = max(most, last-first+1)
				}
				is.True(most <= maxRate)
				is.True(len(arrivals) >= 30)
				cancel()
				synctest.Wait()
			})
		})
	}
}
