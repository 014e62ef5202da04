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
	From          member.HostID
	Announcements []roster.Announcement
	// Version is the newest configuration that the asker knows of.
	Version      Version
	ListRevision history.Point
	// HostCursor is the cursor of the peer's last reply.
	HostCursor HostCursor
	// Wait is how long the peer may wait for something newer.
	Wait time.Duration
}

// HostCursor says which of a host's peers another has been told of. It means
// something to the host that gave it only; the zero value stands for none.
type HostCursor struct{ Epoch, Position uint64 }

// FollowReply is what a peer has that is newer.
type FollowReply struct {
	// Version is of the peer's configuration, which is to be asked for by itself.
	Version Version
	Changes []Change
	Zones   []ZoneOrder
	// Rollouts are all that the peer knows.
	Rollouts []rollout.Status
	// Complete says that Changes and Zones are all that there are: the peer doesn't
	// remember all that was dropped since the asker's revision, or knows another era.
	Complete bool
	// HasGaps says that the peer itself has passed over a part of what came since the asker's
	// revision.
	HasGaps      bool
	ListRevision history.Point
	// EraFirstSeen is the lowest revision at which the era of List was seen, and EraAge how long ago
	// the peer learned of the era first.
	EraFirstSeen history.Point
	EraAge       time.Duration
	// Announcements are what the peer has heard of hosts since, up to HostsAt.
	Announcements []roster.Announcement
	HostCursor    HostCursor
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
	// zoneAvoidPeriod is how long a zone isn't followed after that has failed.
	zoneAvoidPeriod = 5 * time.Second
	// maxOriginProofAge is how recent a peer's proof by the origin must be to follow it:
	// its watch returns every watchWait at least.
	maxOriginProofAge = watchTimeout + 600*time.Millisecond
	// maxConfigLag is how much older than the list's the proof of a peer's configuration
	// may be: a new one may still be on its way to that peer.
	maxConfigLag = 2 * time.Second
)

// followBounds bound one call that follows a peer's list.
type followBounds struct {
	// wait is how long the peer may wait for news, and timeout how long the
	// call may take.
	wait, timeout time.Duration
	// maxOriginAge is how recent the origin's proof must be that the peer has.
	maxOriginAge time.Duration
	// inheritProof says that the proof counts as this host's own, so that others may
	// follow it in turn.
	inheritProof bool
	// allowStale says that the peer's list is better than none, and proves nothing.
	allowStale bool
}

// accept reports whether a reply's proofs are recent enough to rely on. No proof is
// younger than its own telling.
func (b followBounds) accept(r FollowReply) bool {
	if b.allowStale {
		return !r.ListRevision.IsZero()
	}
	return 0 <= r.OriginAge && r.OriginAge <= b.maxOriginAge && 0 <= r.ConfigAge && r.ConfigAge <= b.maxOriginAge+maxConfigLag
}

var (
	// leaderBounds are for a host of the own zone.
	leaderBounds = followBounds{wait: 700 * time.Millisecond, timeout: followTimeout, maxOriginAge: maxOriginProofAge, inheritProof: true}
	// originDownBounds are for any host while the origin can't be had: those that
	// could watch it must not follow this host back.
	originDownBounds = followBounds{wait: 700 * time.Millisecond, timeout: followTimeout, maxOriginAge: maxOriginProofAge}
	// staleBounds are for any host while none has the origin, and this one knows nothing.
	staleBounds = followBounds{timeout: 300 * time.Millisecond, allowStale: true}
	// zoneBounds are for a host of another zone. The whole zone hears of
	// engines that leave through this call, and a link that is cut may just be
	// silent: that is to be noticed in a fraction of an engine's notice.
	zoneBounds = followBounds{
		wait: 150 * time.Millisecond, timeout: 300 * time.Millisecond, maxOriginAge: watchTimeout + 250*time.Millisecond,
		inheritProof: true,
	}
)

// OnFollow serves a peer that follows this host.
func (f *Forwarder) OnFollow(ctx context.Context, r FollowRequest) FollowReply {
	f.peers.receiveAnnouncements(f.now(), r.From, r.Announcements)
	if r.Wait > 0 {
		// A proof that waited here for the end of each follower's wait would be 1.85 s old at
		// the third host in a row: a watch, and the waits of a zone's leader and of its
		// followers. originFresh is 1.6 s.
		changed, proved := f.fleet.Changed(), f.originProofRenewed.wakeChannel()
		if !f.fleet.Revision().After(r.ListRevision) && f.versionInForce() <= r.Version {
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
	if f.isBusyWithLists(now, r.ListRevision) {
		reply := FollowReply{Busy: true}
		reply.Announcements, reply.HostCursor = f.peers.announcementsForFollower(now, r.From, r.HostCursor)
		return reply
	}
	// Ages first: nothing in the reply is then older than its proof, whatever comes in
	// meanwhile.
	reply := FollowReply{ConfigAge: f.ContactAge(now), OriginAge: f.OriginAge(now)}
	f.fleet.fillFollowReply(now, r.ListRevision, &reply)
	reply.Announcements, reply.HostCursor = f.peers.announcementsForFollower(now, r.From, r.HostCursor)
	reply.Version, reply.Rollouts = f.versionInForce(), f.rollouts.Statuses(now)
	return reply
}

// followPeer takes over what a peer's list has that is newer. It reports
// whether the peer's list can be relied on.
func (f *Forwarder) followPeer(ctx context.Context, leader Peer, bounds followBounds) bool {
	peers := f.loadPeerPort()
	if peers == nil {
		return false
	}
	timeout := bounds.timeout
	if f.fleet.Revision().IsZero() && f.peers.isLargeSite() {
		timeout = max(timeout, fullListTimeout)
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	slept := f.settings.Clock.Slept()
	announced, upTo := f.peers.announcementsForLeader(f.now(), leader.ID)
	reply, err := peers.Follow(call, leader, FollowRequest{
		From: f.peers.self.ID, Announcements: announced,
		Version: f.newestKnownVersion(), ListRevision: f.fleet.Revision(), HostCursor: f.peers.rosterCursor(leader.ID), Wait: bounds.wait,
	})
	late := f.settings.Clock.Slept() - slept
	reply.ConfigAge, reply.OriginAge = ageWithDelay(reply.ConfigAge, late), ageWithDelay(reply.OriginAge, late)
	reply.EraAge = ageWithDelay(reply.EraAge, late)
	if err == nil && reply.Busy {
		now := f.now()
		f.peers.receiveAnnouncements(now, leader.ID, reply.Announcements)
		f.peers.setRosterCursor(leader.ID, reply.HostCursor)
		f.peers.markBusy(now, leader.ID)
		return false
	}
	if err != nil || !bounds.accept(reply) || reply.ListRevision.Era() < f.fleet.Revision().Era() {
		f.journal.HostEvent("leader not followed", "peer", leader.ID, "origin_age", reply.OriginAge, "config_age", reply.ConfigAge,
			"list", reply.ListRevision, "own_list", f.fleet.Revision(), "err", err)
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
	f.handleConfigOffer(leader, reply.Version)
	if bounds.inheritProof {
		f.recordOriginProof(now.Add(-reply.OriginAge))
		f.originProofInherited.Store(true)
	}
	f.peers.recordAnnouncedUpTo(leader.ID, upTo)
	for i := range reply.Announcements {
		reply.Announcements[i].Age = ageWithDelay(reply.Announcements[i].Age, late)
	}
	f.peers.receiveAnnouncements(now, leader.ID, reply.Announcements)
	f.peers.recordFollowReply(now, leader.ID, reply)
	if !bounds.allowStale {
		f.followedPeerAnsweredAt.advance(now)
		f.fleet.ListTrusted()
	}
	for i := range reply.Rollouts {
		reply.Rollouts[i].Age = ageWithDelay(reply.Rollouts[i].Age, late)
	}
	f.takeRollouts(now, reply.Rollouts)
	zones, changes := f.fleet.ApplyFollowReply(now, reply)
	f.logZoneChanges(zones)
	f.handleListChanges(changes)
	return true
}

const (
	// bytesPerUpstream is about what an upstream takes in a list that is passed on.
	bytesPerUpstream = 40
	// fullListTimeout is how long a call may take that brings the list of a large site: a small host
	// needs a second for it.
	fullListTimeout = 4 * time.Second
	// maxListBacklog is for how long a host's link may be taken by lists that it gives to others.
	maxListBacklog = 400 * time.Millisecond
)

// isBusyWithLists reports whether a peer that asks for the whole list has to ask again later, or
// elsewhere: this host's link carries other things, too. Otherwise the list counts as given.
func (f *Forwarder) isBusyWithLists(now time.Time, after history.Point) bool {
	capacity := f.peers.self.Capacity
	if capacity <= 0 || !after.IsZero() {
		return false
	}
	takes := time.Duration(float64(f.fleet.upstreamCount()*bytesPerUpstream*8) / (float64(capacity) * 1e6) * float64(time.Second))
	f.listSendMu.Lock()
	defer f.listSendMu.Unlock()
	if f.listSendDoneAt.Sub(now) > maxListBacklog {
		return true
	}
	f.listSendDoneAt = laterOf(f.listSendDoneAt, now).Add(takes)
	return false
}

func (f *Fleet) upstreamCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.upstreams)
}

// fillFollowReply puts what changed after a point into a reply.
func (f *Fleet) fillFollowReply(now time.Time, after history.Point, r *FollowReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.Changes, r.ListRevision, r.Complete = f.changesSince(after)
	r.Generation = f.generation
	r.Zones = f.zoneOrdersSince(after, r.Complete)
	r.HasGaps = slices.ContainsFunc(f.gaps, func(g gap) bool { return g.from.Before(r.ListRevision) && after.Before(g.to) })
	r.EraFirstSeen = f.restore.First()
	if !f.eraFirstSeen.IsZero() {
		r.EraAge = now.Sub(f.eraFirstSeen)
	}
}

// ApplyFollowReply takes a peer's list in. It returns what made a difference.
func (f *Fleet) ApplyFollowReply(now time.Time, r FollowReply) ([]ZoneOrder, []Change) {
	f.enterEra(now, r.ListRevision, r.EraFirstSeen, r.EraAge)
	if r.Complete {
		return f.ReplaceZoneOrders(now, r.Zones, r.ListRevision), f.ReplaceFromPeer(now, r.Changes, r.ListRevision)
	}
	zones := f.ApplyZoneOrders(now, f.impliedZoneOrders(r))
	if r.HasGaps {
		return zones, f.applyWithGaps(now, r.Changes, r.ListRevision)
	}
	return zones, f.Apply(now, r.Changes, r.ListRevision)
}

func (f *Forwarder) versionInForce() Version {
	if t := f.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// loadPeerPort is the interface to the peers; nil before there is one.
func (f *Forwarder) loadPeerPort() Peers {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	return f.peerTransport
}
