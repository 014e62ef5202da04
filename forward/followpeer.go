// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"slices"
	"time"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/rollout"
	"github.com/shedpath/shedpath/roster"
)

// FollowRequest asks a peer for what is newer than what the asker has. Zero
// values ask for everything.
type FollowRequest struct {
	// From is the asker, and Announced what it knows of hosts that the peer may not.
	From      member.HostID
	Announced []roster.Announcement
	// Version is the newest configuration that the asker knows of.
	Version Version
	List    history.Point
	// Hosts is the cursor of the peer's last reply.
	Hosts HostCursor
	// Wait is how long the peer may wait for something newer.
	Wait time.Duration
}

// HostCursor says which of a host's peers another has been told of. It means
// something to the host that gave it only; the zero value stands for none.
type HostCursor struct{ Epoch, Found uint64 }

// FollowReply is what a peer has that is newer.
type FollowReply struct {
	// Version is of the peer's configuration, which is to be asked for by itself.
	Version Version
	Changes []Change
	Zones   []ZoneOrder
	// Rollouts are all that the peer knows.
	Rollouts []rollout.Status
	// Whole says that Changes and Zones are all that there are: the peer doesn't
	// remember all that was dropped since the asker's revision, or knows another era.
	Whole bool
	// Gaps says that the peer itself has passed over a part of what came since the asker's
	// revision.
	Gaps bool
	List history.Point
	// EraFrom is the lowest revision at which the era of List was seen, and EraAge how long ago
	// the peer learned of the era first.
	EraFrom history.Point
	EraAge  time.Duration
	// Hosts are what the peer has heard of hosts since, up to HostsAt.
	Hosts   []roster.Announcement
	HostsAt HostCursor
	// ConfigAge and OriginAge are as in Share.
	ConfigAge, OriginAge time.Duration
	// Busy says that the peer gives its list to others now, and that nothing else is told but Hosts.
	Busy bool
	// Generation rises with each change of the peer's list; it isn't told.
	Generation uint64
}

const (
	// followTimeout is how long after a peer's answer this host counts as
	// following it.
	followTimeout = 1100 * time.Millisecond
	// avoidZoneFor is how long a zone isn't followed after that has failed.
	avoidZoneFor = 5 * time.Second
	// originFresh is how recent a peer's proof by the origin must be to follow it:
	// its watch returns every watchWait at least.
	originFresh = watchWait + 600*time.Millisecond
	// configLate is how much older than the list's the proof of a peer's configuration
	// may be: a new one may still be on its way to that peer.
	configLate = 2 * time.Second
)

// followBounds bound one call that follows a peer's list.
type followBounds struct {
	// wait is how long the peer may wait for news, and timeout how long the
	// call may take.
	wait, timeout time.Duration
	// fresh is how recent the origin's proof must be that the peer has.
	fresh time.Duration
	// inherit says that the proof counts as this host's own, so that others may
	// follow it in turn.
	inherit bool
	// stale says that the peer's list is better than none, and proves nothing.
	stale bool
}

// accept reports whether a reply's proofs are recent enough to rely on. No proof is
// younger than its own telling.
func (b followBounds) accept(r FollowReply) bool {
	if b.stale {
		return !r.List.IsZero()
	}
	return 0 <= r.OriginAge && r.OriginAge <= b.fresh && 0 <= r.ConfigAge && r.ConfigAge <= b.fresh+configLate
}

var (
	// leaderBounds are for a host of the own zone.
	leaderBounds = followBounds{wait: 700 * time.Millisecond, timeout: followTimeout, fresh: originFresh, inherit: true}
	// neededBounds are for any host while the origin can't be had: those that
	// could watch it must not follow this host back.
	neededBounds = followBounds{wait: 700 * time.Millisecond, timeout: followTimeout, fresh: originFresh}
	// staleBounds are for any host while none has the origin, and this one knows nothing.
	staleBounds = followBounds{timeout: 300 * time.Millisecond, stale: true}
	// zoneBounds are for a host of another zone. The whole zone hears of
	// engines that leave through this call, and a link that is cut may just be
	// silent: that is to be noticed in a fraction of an engine's notice.
	zoneBounds = followBounds{
		wait: 150 * time.Millisecond, timeout: 300 * time.Millisecond, fresh: watchWait + 250*time.Millisecond,
		inherit: true,
	}
)

// OnFollow serves a peer that follows this host.
func (f *Forwarder) OnFollow(ctx context.Context, r FollowRequest) FollowReply {
	f.peers.takeAnnouncements(f.now(), r.From, r.Announced)
	if r.Wait > 0 {
		// A proof that waited here for the end of each follower's wait would be 1.85 s old at
		// the third host in a row: a watch, and the waits of a zone's leader and of its
		// followers. originFresh is 1.6 s.
		changed, proved := f.fleet.Changed(), f.originProofRenewed.waiting()
		if !f.fleet.Revision().After(r.List) && f.versionInForce() <= r.Version {
			timer := time.NewTimer(r.Wait)
			defer timer.Stop()
			select {
			case <-changed:
			case <-proved:
			case <-timer.C:
			case <-ctx.Done():
			}
		}
	}
	now := f.now()
	if f.busyWithLists(now, r.List) {
		reply := FollowReply{Busy: true}
		reply.Hosts, reply.HostsAt = f.peers.announcementsSince(now, r.From, r.Hosts)
		return reply
	}
	// Ages first: nothing in the reply is then older than its proof, whatever comes in
	// meanwhile.
	reply := FollowReply{ConfigAge: f.ContactAge(now), OriginAge: f.OriginAge(now)}
	f.fleet.fillReply(now, r.List, &reply)
	reply.Hosts, reply.HostsAt = f.peers.announcementsSince(now, r.From, r.Hosts)
	reply.Version, reply.Rollouts = f.versionInForce(), f.rollouts.Statuses(now)
	return reply
}

// followPeer takes over what a peer's list has that is newer. It reports
// whether the peer's list can be relied on.
func (f *Forwarder) followPeer(ctx context.Context, leader Peer, bounds followBounds) bool {
	peers := f.port()
	if peers == nil {
		return false
	}
	timeout := bounds.timeout
	if f.fleet.Revision().IsZero() && f.peers.isLarge() {
		timeout = max(timeout, wholeListTimeout)
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	slept := f.settings.Clock.Slept()
	announced, upTo := f.peers.announcementsFor(f.now(), leader.ID)
	reply, err := peers.Follow(call, leader, FollowRequest{
		From: f.peers.self.ID, Announced: announced,
		Version: f.knownVersion(), List: f.fleet.Revision(), Hosts: f.peers.cursorOf(leader.ID), Wait: bounds.wait,
	})
	late := f.settings.Clock.Slept() - slept
	reply.ConfigAge, reply.OriginAge = older(reply.ConfigAge, late), older(reply.OriginAge, late)
	reply.EraAge = older(reply.EraAge, late)
	if err == nil && reply.Busy {
		now := f.now()
		f.peers.takeAnnouncements(now, leader.ID, reply.Hosts)
		f.peers.gotAnnouncements(leader.ID, reply.HostsAt)
		f.peers.busy(now, leader.ID)
		return false
	}
	if err != nil || !bounds.accept(reply) || reply.List.Era() < f.fleet.Revision().Era() {
		f.journal.HostEvent("leader not followed", "peer", leader.ID, "origin_age", reply.OriginAge, "config_age", reply.ConfigAge,
			"list", reply.List, "own_list", f.fleet.Revision(), "err", err)
		f.peers.distrust(leader.ID)
		if err == nil && f.originProofInherited.Load() {
			// What this host knows is no newer than what its leader has. A proof that
			// the origin gave to it itself stays.
			f.originProvedAt.clear()
			f.followedPeerAnsweredAt.clear()
		}
		return false
	}
	now := f.now()
	if reply.Version <= f.versionInForce() {
		f.ContactProved(now.Add(-reply.ConfigAge))
	}
	f.offerConfig(leader, reply.Version)
	if bounds.inherit {
		f.proveOrigin(now.Add(-reply.OriginAge))
		f.originProofInherited.Store(true)
	}
	f.peers.toldUp(leader.ID, upTo)
	for i := range reply.Hosts {
		reply.Hosts[i].Age = older(reply.Hosts[i].Age, late)
	}
	f.peers.takeAnnouncements(now, leader.ID, reply.Hosts)
	f.peers.followed(now, leader.ID, reply)
	if !bounds.stale {
		f.followedPeerAnsweredAt.raise(now)
		f.fleet.ListTrusted()
	}
	for i := range reply.Rollouts {
		reply.Rollouts[i].Age = older(reply.Rollouts[i].Age, late)
	}
	f.takeRollouts(now, reply.Rollouts)
	zones, changes := f.fleet.TakeReply(now, reply)
	f.noteZones(zones)
	f.noteList(changes)
	return true
}

const (
	// bytesPerUpstream is about what an upstream takes in a list that is passed on.
	bytesPerUpstream = 40
	// wholeListTimeout is how long a call may take that brings the list of a large site: a small host
	// needs a second for it.
	wholeListTimeout = 4 * time.Second
	// listBacklog is for how long a host's link may be taken by lists that it gives to others.
	listBacklog = 400 * time.Millisecond
)

// busyWithLists reports whether a peer that asks for the whole list has to ask again later, or
// elsewhere: this host's link carries other things, too. Otherwise the list counts as given.
func (f *Forwarder) busyWithLists(now time.Time, after history.Point) bool {
	capacity := f.peers.self.Capacity
	if capacity <= 0 || !after.IsZero() {
		return false
	}
	takes := time.Duration(float64(f.fleet.count()*bytesPerUpstream*8) / (float64(capacity) * 1e6) * float64(time.Second))
	f.listSendMu.Lock()
	defer f.listSendMu.Unlock()
	if f.listSendDoneAt.Sub(now) > listBacklog {
		return true
	}
	f.listSendDoneAt = later(f.listSendDoneAt, now).Add(takes)
	return false
}

func (f *Fleet) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.upstreams)
}

// fillReply puts what changed after a point into a reply.
func (f *Fleet) fillReply(now time.Time, after history.Point, r *FollowReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.Changes, r.List, r.Whole = f.since(after)
	r.Generation = f.generation
	r.Zones = f.zonesSince(after, r.Whole)
	r.Gaps = slices.ContainsFunc(f.gaps, func(g gap) bool { return g.from.Before(r.List) && after.Before(g.to) })
	r.EraFrom = f.restore.First()
	if !f.eraSince.IsZero() {
		r.EraAge = now.Sub(f.eraSince)
	}
}

// TakeReply takes a peer's list in. It returns what made a difference.
func (f *Fleet) TakeReply(now time.Time, r FollowReply) ([]ZoneOrder, []Change) {
	f.enterEra(now, r.List, r.EraFrom, r.EraAge)
	if r.Whole {
		return f.ReplaceZones(now, r.Zones, r.List), f.TakeOver(now, r.Changes, r.List)
	}
	zones := f.ApplyZones(now, f.impliedOrders(r))
	if r.Gaps {
		return zones, f.applyWithGaps(now, r.Changes, r.List)
	}
	return zones, f.Apply(now, r.Changes, r.List)
}

func (f *Forwarder) versionInForce() Version {
	if t := f.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// port is the interface to the peers; nil before there is one.
func (f *Forwarder) port() Peers {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	return f.peerTransport
}
