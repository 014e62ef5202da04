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

	"github.com/shedpath/shedpath/backoff"
	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/permit"
	"github.com/shedpath/shedpath/rejection"
	"github.com/shedpath/shedpath/rollout"
	"github.com/shedpath/shedpath/roster"
)

// TestLeader checks that a host follows the first host of its zone that has a fresh list, and any
// host that has one when it can't read the list itself.
func TestLeader(t *testing.T) {
	now := time.Now()
	peer := func(id, zone string, originAge time.Duration, stopping bool) Share {
		return Share{From: Peer{ID: member.HostID(id), Zone: member.Zone(zone)}, OriginAge: originAge, Stopping: stopping}
	}
	fresh, old := 500*time.Millisecond, 5*time.Second
	for name, c := range map[string]struct {
		peers  []Share
		needed bool
		want   member.HostID
	}{
		"alone":                    {nil, false, ""},
		"first of the zone":        {[]Share{peer("h1", "z1", fresh, false), peer("h2", "z1", fresh, false)}, false, "h1"},
		"this host is first":       {[]Share{peer("h7", "z1", fresh, false)}, false, ""},
		"needed, later in zone":    {[]Share{peer("h7", "z1", fresh, false)}, true, "h7"},
		"first has an old list":    {[]Share{peer("h1", "z1", old, false), peer("h2", "z1", fresh, false)}, false, "h2"},
		"first is stopping":        {[]Share{peer("h1", "z1", fresh, true)}, false, ""},
		"other zone":               {[]Share{peer("h1", "z2", fresh, false)}, false, ""},
		"needed, other zone":       {[]Share{peer("h1", "z2", fresh, false)}, true, "h1"},
		"needed, own zone is near": {[]Share{peer("h1", "z2", fresh, false), peer("h8", "z1", fresh, false)}, true, "h8"},
		"needed, nobody is fresh":  {[]Share{peer("h1", "z2", old, false)}, true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPeerSet(Peer{ID: "h5", Zone: "z1"}, nil)
			for _, s := range c.peers {
				p.recordShare(now, s)
			}
			leader, found := p.leader(now.Add(time.Second), c.needed)
			is.Equal(leader.ID, c.want)
			is.Equal(found, c.want != "")
			_, found = p.leader(now.Add(time.Minute), c.needed)
			is.True(!found) // the peers went silent
		})
	}
}

// failingOrigin serves a list until failing is set.
type failingOrigin struct {
	failing atomic.Bool
	reads   atomic.Int32
}

func (o *failingOrigin) Read(context.Context, history.Era) (OriginUpdate, error) {
	o.reads.Add(1)
	if o.failing.Load() {
		return OriginUpdate{}, errConnectionLost
	}
	return OriginUpdate{Changes: []Change{{Upstream: llmUpstream("llm1", 1, false)}}, Revision: rev(1)}, nil
}

func (o *failingOrigin) Watch(ctx context.Context, after history.Point, _ time.Duration) (OriginUpdate, error) {
	PauseFor(ctx, 100*time.Millisecond)
	if o.failing.Load() {
		return OriginUpdate{}, errConnectionLost
	}
	return OriginUpdate{Revision: after}, nil
}

// TestOfEarlierZone checks that the leader of a zone follows the first live host of the first zone
// before its own.
func TestOfEarlierZone(t *testing.T) {
	now := time.Now()
	peer := func(id, zone string, stopping bool) Share {
		return Share{From: Peer{ID: member.HostID(id), Zone: member.Zone(zone)}, Stopping: stopping}
	}
	for name, c := range map[string]struct {
		peers      []Share
		distrusted member.HostID
		avoided    member.Zone
		want       member.HostID
	}{
		"alone":                  {nil, "", "", ""},
		"first of the first":     {[]Share{peer("h2", "z1", false), peer("h1", "z2", false), peer("h3", "z1", false)}, "", "", "h2"},
		"only later zones":       {[]Share{peer("h1", "z3", false), peer("h2", "z4", false)}, "", "", ""},
		"own zone doesn't count": {[]Share{peer("h1", "z3", false)}, "", "", ""},
		"the first is stopping":  {[]Share{peer("h1", "z1", true), peer("h2", "z1", false)}, "", "", "h2"},
		"the first failed":       {[]Share{peer("h1", "z1", false), peer("h2", "z1", false)}, "h1", "", "h2"},
		"the zone is avoided":    {[]Share{peer("h1", "z1", false), peer("h2", "z2", false)}, "", "z1", "h2"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPeerSet(Peer{ID: "h5", Zone: "z3"}, nil)
			for _, s := range c.peers {
				p.recordShare(now, s)
			}
			p.distrust(c.distrusted)
			got, found := p.firstInEarlierZone(func(z member.Zone) bool { return z == c.avoided }, now.Add(time.Second))
			is.Equal(got.ID, c.want)
			is.Equal(found, c.want != "")
		})
	}
}

// countingOrigin never fails, and counts its watches.
type countingOrigin struct{ watches atomic.Int32 }

func (o *countingOrigin) Read(context.Context, history.Era) (OriginUpdate, error) {
	return OriginUpdate{Revision: rev(1)}, nil
}

func (o *countingOrigin) Watch(ctx context.Context, after history.Point, wait time.Duration) (OriginUpdate, error) {
	o.watches.Add(1)
	PauseFor(ctx, wait)
	return OriginUpdate{Revision: after}, nil
}

// fakeFollowedPeer implements Peers for a peer that can only be followed.
type fakeFollowedPeer struct {
	silent    atomic.Bool
	originAge atomic.Int64
	calls     atomic.Int32
	changes   []Change
}

func (p *fakeFollowedPeer) Share(context.Context, Peer, Share) (Share, error) {
	return Share{}, errConnectionLost
}
func (p *fakeFollowedPeer) Turn(context.Context, Peer, TurnRequest) error { return nil }
func (p *fakeFollowedPeer) Rollout(context.Context, Peer, rollout.Report) (rollout.Status, error) {
	return rollout.Status{}, errConnectionLost
}

func (p *fakeFollowedPeer) Permit(context.Context, Peer, permit.GrantRequest) (permit.GrantReply, error) {
	return permit.GrantReply{}, errConnectionLost
}

func (p *fakeFollowedPeer) Lend(context.Context, Peer, rejection.LoanRequest) (rejection.LoanReply, error) {
	return rejection.LoanReply{}, errConnectionLost
}

func (p *fakeFollowedPeer) Admit(context.Context, Peer, AdmitRequest) (AdmitReply, error) {
	return AdmitReply{}, errConnectionLost
}
func (p *fakeFollowedPeer) EndTurn(context.Context, Peer, TurnRequest) error  { return nil }
func (p *fakeFollowedPeer) Backoff(context.Context, Peer, backoff.Mark) error { return nil }
func (p *fakeFollowedPeer) Ask(context.Context, Peer, PlacementRequest) (PlacementGrant, error) {
	return PlacementGrant{}, errConnectionLost
}

func (p *fakeFollowedPeer) Config(context.Context, Peer, Version) (ConfigReply, error) {
	return ConfigReply{}, errConnectionLost
}

func (p *fakeFollowedPeer) Follow(ctx context.Context, _ Peer, r FollowRequest) (FollowReply, error) {
	p.calls.Add(1)
	if p.silent.Load() {
		<-ctx.Done()
		return FollowReply{}, ctx.Err()
	}
	PauseFor(ctx, r.Wait)
	return FollowReply{OriginAge: time.Duration(p.originAge.Load()), Announcements: []roster.Announcement{{Entry: Peer{ID: "h7", Zone: "z1"}, Sequence: 1}}, ListRevision: rev(7), Changes: p.changes}, nil
}

// TestFollowZone checks that one host watches the origin for several zones, and that a zone's
// leader turns to the origin itself within a fraction of a second when the host that it follows is
// silent or has lost the origin.
func TestFollowZone(t *testing.T) {
	for name, fail := range map[string]func(p *fakeFollowedPeer){
		"silent":          func(p *fakeFollowedPeer) { p.silent.Store(true) },
		"lost the origin": func(p *fakeFollowedPeer) { p.originAge.Store(int64(time.Minute)) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newForwarder(t, &fakeTransport{})
				peers, origin := &fakeFollowedPeer{}, &countingOrigin{}
				f.peerTransport = peers
				f.peers.recordShare(time.Now(), Share{From: Peer{ID: "h9", Zone: "z0"}, Epoch: 9, AnnouncementCount: 1})
				ctx, cancel := context.WithCancel(t.Context())
				go f.Follow(ctx, origin)
				time.Sleep(2 * time.Second)
				is.Equal(origin.watches.Load(), int32(0)) // the followed host watches the origin
				is.True(f.peers.isKnown("h7"))            // the followed host announces hosts that it has found
				// What it has learned about hosts is passed on, once.
				reply := f.OnFollow(ctx, FollowRequest{ListRevision: rev(6)})
				is.Equal(len(reply.Announcements), 2)
				is.Equal(reply.Announcements[0].Entry, Peer{ID: "h9", Zone: "z0"})
				is.Equal(reply.Announcements[1].Entry, Peer{ID: "h7", Zone: "z1"})
				is.Equal(len(f.OnFollow(ctx, FollowRequest{ListRevision: rev(6), HostCursor: reply.HostCursor}).Announcements), 0)
				is.True(f.OriginAge(time.Now()) < time.Second)
				fail(peers)
				calls := peers.calls.Load()
				time.Sleep(zoneBounds.timeout + zoneBounds.wait)
				is.True(origin.watches.Load() > 0)
				time.Sleep(2 * time.Second)
				is.True(peers.calls.Load() <= calls+1) // the other zone is avoided for a while
				is.True(f.OriginAge(time.Now()) < watchTimeout+time.Second)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestFollowAfterCut guards against a host that keeps an upstream which is gone. After a cut the
// host distrusts what is missing from the list, but has to accept it from the peer that it follows.
func TestFollowAfterCut(t *testing.T) {
	is := is.New(t)
	f := newForwarder(t, &fakeTransport{})
	f.peerTransport = &fakeFollowedPeer{changes: []Change{{Upstream: Upstream{ID: "llm1", Revision: rev(5)}, Gone: true}}}
	f.fleet.ListRegained(time.Now(), 10*time.Second)
	is.True(f.followPeer(t.Context(), Peer{ID: "h0"}, zoneBounds))
	select {
	case <-f.fleet.LeavingStarted("llm1"):
	default:
		t.Error("llm1 should be leaving, because the followed peer reports that it is gone")
	}
	changes, _, _ := f.fleet.ChangesSince(rev(4))
	is.Equal(len(changes), 1) // the followers of this host learn of it
}

// TestFollowNeeded checks that a host that can't reach the origin is kept up to date by a peer, but
// can't be followed itself: two such hosts would follow each other.
func TestFollowNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newForwarder(t, &fakeTransport{})
		f.peerTransport = &fakeFollowedPeer{}
		ctx, cancel := context.WithCancel(t.Context())
		origin := &failingOrigin{}
		go f.Follow(ctx, origin)
		synctest.Wait()
		origin.failing.Store(true)
		f.peers.recordShare(time.Now(), Share{From: Peer{ID: "h9", Zone: "z1"}})
		time.Sleep(2 * time.Second)
		is.True(f.isListCurrent(time.Now()))
		is.True(f.OriginAge(time.Now()) > maxOriginProofAge)
		cancel()
		synctest.Wait()
	})
}

// TestOriginDown checks that many hosts seldom ask an origin that is down, and that a host which
// reaches it again is followed well before the next attempt.
func TestOriginDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newForwarder(t, &fakeTransport{})
		peers := &fakeFollowedPeer{}
		peers.originAge.Store(int64(time.Minute))
		f.peerTransport = peers
		ctx, cancel := context.WithCancel(t.Context())
		origin := &failingOrigin{}
		origin.failing.Store(true)
		receiveShares := func(originAge time.Duration) {
			for n := range 20 {
				f.peers.recordShare(time.Now(), Share{From: Peer{ID: member.HostID(fmt.Sprint("h", 10+n)), Zone: "z1"}, OriginAge: originAge})
			}
		}
		receiveShares(time.Minute)
		go f.Follow(ctx, origin)
		for range 60 {
			time.Sleep(500 * time.Millisecond)
			receiveShares(time.Minute)
		}
		is.True(origin.reads.Load() <= 17) // in 30 s; a host that is alone asks at least 25 times
		peers.originAge.Store(0)
		before := origin.reads.Load()
		for range 5 {
			receiveShares(0)
			time.Sleep(500 * time.Millisecond)
		}
		is.True(f.isListCurrent(time.Now()))
		is.True(origin.reads.Load() <= before+1) // only the attempt that was already due
		cancel()
		synctest.Wait()
	})
}
