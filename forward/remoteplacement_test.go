// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/uplink"
)

// remoteZonePeer is the interface of one host to a single host of another zone.
type remoteZonePeer struct {
	fakeFollowedPeer
	remote *Forwarder
	// dropReplies has answers not arrive, dropRequests requests neither.
	dropReplies, dropRequests bool
	calls                     int
}

func (p *remoteZonePeer) Ask(ctx context.Context, _ Peer, request PlacementRequest) (PlacementGrant, error) {
	p.calls++
	if p.dropRequests {
		<-ctx.Done()
		return PlacementGrant{}, ctx.Err()
	}
	grant := p.remote.OnAsk(request)
	if p.dropReplies {
		return PlacementGrant{}, errConnectionLost
	}
	return grant, nil
}

// newTwoZoneHosts returns a host of z1, whose zone has the engine near, and a host of z2, whose zone
// has the engines far1 and far2. They know each other; peer is the first one's interface to
// the second.
func newTwoZoneHosts(t *testing.T) (near, far *Forwarder, peer *remoteZonePeer) {
	t.Helper()
	now := time.Now()
	upstreams := []Upstream{
		{ID: "near", Service: "llm", Address: "10.0.0.1:1", Zone: "z1", Slots: 24, Revision: rev(2)},
		{ID: "far1", Service: "llm", Address: "10.0.0.2:1", Zone: "z2", Slots: 24, Revision: rev(2)},
		{ID: "far2", Service: "llm", Address: "10.0.0.3:1", Zone: "z2", Slots: 24, Revision: rev(2)},
	}
	newHost := func(id member.HostID, zone member.Zone) *Forwarder {
		f := New(Settings{Self: Peer{ID: id, Zone: zone, PeerAddress: "10.9.0.1:1"}}, &fakeTransport{}, silentJournal{}, silentObserver{})
		f.fleet.Replace(now, upstreams, rev(2))
		f.Configure(now, testConfig(1))
		return f
	}
	near, far = newHost("h1", "z1"), newHost("h2", "z2")
	near.peers.recordShare(now, Share{From: far.peers.self})
	far.peers.recordShare(now, Share{From: near.peers.self})
	peer = &remoteZonePeer{remote: far}
	near.peerTransport = peer
	return near, far, peer
}

// fillEngine places a run on an engine that leaves no room for another.
func fillEngine(t *testing.T, f *Forwarder, engine member.UpstreamID) {
	t.Helper()
	request := policy.Request{Run: policy.RunID("fill-" + engine), PromptTokens: 32500, MaxOutputTokens: 100, Zone: f.engines.zone}
	if _, _, _, ok := f.engines.placeGranted(time.Now(), "llm", request, PlacementGrant{Engine: engine}); !ok {
		t.Fatalf("filling run not placed on engine %s: want a place", engine)
	}
}

// placeRun places a run as a stream does, and returns its engine and the decision.
func placeRun(ctx context.Context, f *Forwarder, run policy.RunID) (Upstream, *ownRun, policy.Decision) {
	p := findPlacementOn(ctx, f, run)
	return p.upstream, p.run, p.decision
}

// findPlacementOn calls findPlacement for a run on host f.
func findPlacementOn(ctx context.Context, f *Forwarder, run policy.RunID) placementResult {
	now := time.Now()
	s := &streamExchange{exchange: &exchange{Forwarder: f, call: call("/llm/")}}
	s.service, _ = f.Table().Service("llm")
	return s.findPlacement(ctx, now, policy.Request{
		Run: run, Route: "/llm/", PromptTokens: 3000, MaxOutputTokens: 500, Objective: 1800 * time.Millisecond, ArrivedAt: now, Deadline: now.Add(1800 * time.Millisecond),
	}, s.throttledEngines(now))
}

// TestAskForPlaces checks that a host places runs in its own zone while that has room, and then on
// the engine that a host of another zone grants, since that host knows its zone's load better.
func TestAskForPlaces(t *testing.T) {
	for name, c := range map[string]struct {
		// full are engines that the hosts of their zones know to be full.
		full                      []member.UpstreamID
		dropReplies, dropRequests bool
		wantEngine                member.UpstreamID
		wantVerdict               policy.Verdict
		wantCalls                 int
	}{
		"room near":                   {nil, false, false, "near", policy.Granted, 0},
		"room in the other zone":      {[]member.UpstreamID{"near", "far1"}, false, false, "far2", policy.Granted, 1},
		"room nowhere":                {[]member.UpstreamID{"near", "far1", "far2"}, false, false, "", policy.Refused, 1},
		"nobody answers, so by guess": {[]member.UpstreamID{"near", "far1"}, false, true, "far1", policy.Granted, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				near, far, peer := newTwoZoneHosts(t)
				peer.dropReplies, peer.dropRequests = c.dropReplies, c.dropRequests
				for _, id := range c.full {
					if id == "near" {
						fillEngine(t, near, id)
						continue
					}
					fillEngine(t, far, id)
				}
				ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
				defer cancel()
				u, run, d := placeRun(ctx, near, "r")
				is.Equal(d.Verdict, c.wantVerdict)
				is.Equal(u.ID, c.wantEngine)
				is.Equal(peer.calls, c.wantCalls)
				is.Equal(run != nil, c.wantEngine != "")
				if c.wantVerdict == policy.Granted && c.wantCalls == 1 && !c.dropRequests {
					is.Equal(far.engines.pools["llm"].peerRuns["r"], near.peers.self.ID) // the granting host counts the run at once
				}
			})
		})
	}
}

// TestUnusedGrantExpires checks that a place granted to a peer's run is kept until the peer must have
// reported the run, and is freed then if the peer hasn't.
func TestUnusedGrantExpires(t *testing.T) {
	for name, c := range map[string]struct {
		reported bool
		want     bool
	}{
		"told":               {true, true},
		"the answer is lost": {false, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				near, far, peer := newTwoZoneHosts(t)
				peer.dropReplies = !c.reported
				fillEngine(t, near, "near")
				fillEngine(t, far, "far1")
				ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
				defer cancel()
				_, _, _ = placeRun(ctx, near, "r")
				counted := func() bool { return far.engines.pools["llm"].pool.EngineOf("r") == "far2" }
				far.engines.replacePeerRuns(time.Now(), "h1", nil, nil) // a share that was sent before the run was placed
				is.True(counted())
				if c.reported {
					far.engines.replacePeerRuns(time.Now(), "h1", near.engines.runStates(time.Now()), nil)
				}
				time.Sleep(placementGrantTTL + time.Millisecond)
				far.updatePlacementEngines(time.Now(), far.Table())
				is.Equal(counted(), c.want)
			})
		})
	}
}

// TestAskForTargets checks that a run which has to move goes to another engine of its zone if that has
// room, and otherwise to the engine that a host of another zone grants.
func TestAskForTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far, peer := newTwoZoneHosts(t)
		_, run, d := placeRun(t.Context(), near, "r")
		is.Equal(d.Engine, member.UpstreamID("near"))
		fillEngine(t, far, "far2")
		x := &exchange{Forwarder: near, call: call("/llm/")}
		x.service, _ = near.Table().Service("llm")
		to, found := x.relocate(t.Context(), time.Now(), run, nil)
		is.True(found)
		is.Equal(to.ID, member.UpstreamID("far1"))
		is.Equal(run.engine, member.UpstreamID("far1"))
		is.Equal(peer.calls, 1)
		fillEngine(t, far, "far1")
		_, found = x.relocate(t.Context(), time.Now(), run, nil)
		is.True(found) // the run returns to its host's own zone
		is.Equal(run.engine, member.UpstreamID("near"))
	})
}

// TestAskedRunStaysCounted checks that a peer's run which finds no room to move to stays counted on its
// present engine.
func TestAskedRunStaysCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far, _ := newTwoZoneHosts(t)
		fillEngine(t, near, "near")
		_, run, d := placeRun(t.Context(), near, "r")
		is.True(d.Engine == "far1" || d.Engine == "far2")
		other := map[member.UpstreamID]member.UpstreamID{"far1": "far2", "far2": "far1"}[d.Engine]
		fillEngine(t, far, other)
		x := &exchange{Forwarder: near, call: call("/llm/")}
		x.service, _ = near.Table().Service("llm")
		_, found := x.relocate(t.Context(), time.Now(), run, nil)
		is.True(!found)
		is.Equal(far.engines.pools["llm"].pool.EngineOf("r"), d.Engine)
		is.Equal(run.engine, d.Engine)
	})
}

// TestUnansweredPlacementRequestIsNotTheEndOfAPeer guards against hosts that take a peer for gone, and so have no host
// left to carry their connections, because one of their placement requests wasn't answered within some milliseconds.
// A host without processor for that long finds every peer silent.
func TestUnansweredPlacementRequestIsNotTheEndOfAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far, peer := newTwoZoneHosts(t)
		fillEngine(t, near, "near")
		place := func(run policy.RunID) {
			ctx, cancel := context.WithTimeout(t.Context(), 2*peerRequestTimeout)
			defer cancel()
			placeRun(ctx, near, run)
		}
		peer.dropRequests = true
		place("r1")
		is.Equal(near.LivePeers(), 1)
		is.Equal(len(near.UplinkPeers(uplink.Target{})), 1)
		peer.dropRequests = false
		place("r2")
		is.Equal(peer.calls, 1) // it isn't asked again at once
		time.Sleep(initialPlacementPause)
		place("r3")
		is.Equal(peer.calls, 2)
		is.True(far.engines.pools["llm"].peerRuns["r3"] != "")
		near.peers.recordShareResult("h2", errConnectionLost)
		is.Equal(near.LivePeers(), 0) // a peer that can't be reached is noticed
	})
}

// TestPauseBetweenUnansweredPlacementRequests checks that the pause in which a silent peer isn't asked for a place
// doubles, up to a maximum, until a message from it arrives.
func TestPauseBetweenUnansweredPlacementRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far, _ := newTwoZoneHosts(t)
		pause := func() time.Duration {
			near.peers.recordUnanswered(time.Now(), "h2")
			for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
				if _, found := near.peers.randomPeerOutsideCell(time.Now(), "z2"); found {
					return time.Since(began)
				}
				near.peers.recordUnanswered(time.Now(), "h2") // a request that was under way doesn't extend the pause
				is.True(time.Since(began) <= maxPlacementPause)
			}
		}
		is.Equal([]time.Duration{pause(), pause(), pause()}, []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second})
		near.peers.recordShare(time.Now(), Share{From: far.peers.self})
		is.Equal(pause(), initialPlacementPause)
	})
}
