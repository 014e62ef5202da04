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
)

// remoteZonePeer is a host's interface to one host of another zone.
type remoteZonePeer struct {
	fakeFollowedPeer
	remote *Forwarder
	// dropReplies has answers not arrive, dropRequests requests neither.
	dropReplies, dropRequests bool
	calls                     int
}

func (p *remoteZonePeer) Ask(ctx context.Context, _ Peer, a PlacementRequest) (PlacementGrant, error) {
	p.calls++
	if p.dropRequests {
		<-ctx.Done()
		return PlacementGrant{}, ctx.Err()
	}
	grant := p.remote.OnAsk(a)
	if p.dropReplies {
		return PlacementGrant{}, errGone
	}
	return grant, nil
}

// newTwoZoneHosts returns a host of z1, with engine near, and one of z2, with engines far1 and
// far2, that know each other.
func newTwoZoneHosts(t *testing.T) (near, far *Forwarder, peer *remoteZonePeer) {
	t.Helper()
	now := time.Now()
	list := []Upstream{
		{ID: "near", Service: "llm", Address: "10.0.0.1:1", Zone: "z1", Slots: 24, Revision: rev(2)},
		{ID: "far1", Service: "llm", Address: "10.0.0.2:1", Zone: "z2", Slots: 24, Revision: rev(2)},
		{ID: "far2", Service: "llm", Address: "10.0.0.3:1", Zone: "z2", Slots: 24, Revision: rev(2)},
	}
	host := func(id member.HostID, zone member.Zone) *Forwarder {
		f := New(Settings{Self: Peer{ID: id, Zone: zone, PeerAddress: "10.9.0.1:1"}}, &fakeTransport{}, silentJournal{}, silentObserver{})
		f.fleet.Replace(now, list, rev(2))
		f.Configure(now, testConfig(1))
		return f
	}
	near, far = host("h1", "z1"), host("h2", "z2")
	near.peers.recordShare(now, Share{From: far.peers.self})
	far.peers.recordShare(now, Share{From: near.peers.self})
	peer = &remoteZonePeer{remote: far}
	near.peerTransport = peer
	return near, far, peer
}

// fillEngine has a host carry a run that leaves no room for another on an engine.
func fillEngine(t *testing.T, f *Forwarder, engine member.UpstreamID) {
	t.Helper()
	r := policy.Request{Run: policy.RunID("fill-" + engine), Prompt: 32500, Limit: 100, Zone: f.engines.zone}
	if _, _, _, ok := f.engines.placeAt(time.Now(), "llm", r, PlacementGrant{Engine: engine}); !ok {
		t.Fatal("not placed")
	}
}

// placeRun places a request at a host as a stream does.
func placeRun(ctx context.Context, f *Forwarder, run policy.RunID) (Upstream, *ownRun, policy.Decision) {
	p := findPlacementOn(ctx, f, run)
	return p.upstream, p.run, p.decision
}

func findPlacementOn(ctx context.Context, f *Forwarder, run policy.RunID) placementResult {
	now := time.Now()
	s := &streamExchange{exchange: &exchange{Forwarder: f, call: call("/llm/")}}
	s.service, _ = f.Table().Service("llm")
	return s.findPlacement(ctx, now, policy.Request{
		Run: run, Route: "/llm/", Prompt: 3000, Limit: 500, Objective: 1800 * time.Millisecond, Arrived: now, Deadline: now.Add(1800 * time.Millisecond),
	}, s.throttledEngines(now))
}

// TestAskForPlaces has a host place in its own zone while that has room, and then where
// a host of another zone gives it a place, which knows better what runs there.
func TestAskForPlaces(t *testing.T) {
	for name, c := range map[string]struct {
		// full are engines that their zones' hosts know to be full.
		full         []member.UpstreamID
		lost, silent bool
		want         member.UpstreamID
		verdict      policy.Verdict
		asked        int
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
				peer.dropReplies, peer.dropRequests = c.lost, c.silent
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
				is.Equal(d.Verdict, c.verdict)
				is.Equal(u.ID, c.want)
				is.Equal(peer.calls, c.asked)
				is.Equal(run != nil, c.want != "")
				if c.verdict == policy.Granted && c.asked == 1 && !c.silent {
					is.Equal(far.engines.pools["llm"].peerRuns["r"], near.peers.self.ID) // counted there at once
				}
			})
		})
	}
}

// TestUnusedGrantExpires has a place that was given to a peer's run be kept until the peer
// must have told of the run, and then be free again unless it did.
func TestUnusedGrantExpires(t *testing.T) {
	for name, c := range map[string]struct {
		told bool
		want bool
	}{
		"told":               {true, true},
		"the answer is lost": {false, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				near, far, peer := newTwoZoneHosts(t)
				peer.dropReplies = !c.told
				fillEngine(t, near, "near")
				fillEngine(t, far, "far1")
				ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
				defer cancel()
				_, _, _ = placeRun(ctx, near, "r")
				counted := func() bool { return far.engines.pools["llm"].pool.EngineOf("r") == "far2" }
				far.engines.replacePeerRuns(time.Now(), "h1", nil, nil) // a share that was on its way
				is.True(counted())
				if c.told {
					far.engines.replacePeerRuns(time.Now(), "h1", near.engines.runStates(time.Now()), nil)
				}
				time.Sleep(placementGrantTTL + time.Millisecond)
				far.updatePlacementEngines(time.Now(), far.Table())
				is.Equal(counted(), c.want)
			})
		})
	}
}

// TestAskForTargets has a run that has to move go to an engine of its own zone, or else
// where a host of another zone gives it a place.
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
		is.True(found) // back to the own zone
		is.Equal(run.engine, member.UpstreamID("near"))
	})
}

// TestAskedRunStaysCounted has a peer's run that finds no room to move to stay counted on
// the engine where it is.
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
