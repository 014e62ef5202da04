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

// FollowRequest asks a peer for what is newer than the sender's state. Zero values ask for
// everything.
type FollowRequest struct {
	// From is the sender, and Announcements are those of hosts that the peer may not know.
	From          member.HostID
	Announcements []roster.Announcement
	// Version is the newest configuration that the sender knows of, and ListRevision the point up
	// to which it knows the list of upstreams.
	Version      Version
	ListRevision history.Point
	// HostCursor is the cursor of the peer's last reply.
	HostCursor HostCursor
	// Wait bounds how long the peer may wait for something newer.
	Wait time.Duration
}

// HostCursor marks which announcements of hosts the host that issued it has already sent to the
// holder. Only the issuer can interpret it; the zero value stands for none.
type HostCursor struct{ Epoch, Position uint64 }

// FollowReply holds what a peer has that is newer.
type FollowReply struct {
	// Version is that of the peer's configuration, which is fetched by a separate call.
	Version Version
	Changes []Change
	Zones   []ZoneOrder
	// Rollouts are all rollouts that the peer knows.
	Rollouts []rollout.Status
	// Complete says that Changes and Zones are the full state: the peer doesn't remember everything
	// that was dropped since the sender's revision, or knows another era.
	Complete bool
	// HasGaps says that the peer itself has missed some of the changes since the sender's revision.
	HasGaps      bool
	ListRevision history.Point
	// EraFirstSeen is the lowest revision at which the era of ListRevision was seen, and EraAge how
	// long ago the peer first learned of the era.
	EraFirstSeen history.Point
	EraAge       time.Duration
	// Announcements are what the peer has learned about hosts since the request's cursor;
	// HostCursor marks up to where.
	Announcements []roster.Announcement
	HostCursor    HostCursor
	// ConfigAge and OriginAge are as in Share.
	ConfigAge, OriginAge time.Duration
	// Busy says that the peer is sending its list to others, and that the reply holds nothing but
	// announcements and their cursor.
	Busy bool
	// Generation rises with each change of the peer's list; it isn't sent.
	Generation uint64
}

const (
	// followTimeout bounds most calls that follow a peer, and is how long after a peer's answer
	// this host counts as following it.
	followTimeout = 1100 * time.Millisecond
	// zoneAvoidPeriod bounds how long a zone is avoided after one of its hosts couldn't be
	// followed.
	zoneAvoidPeriod = 5 * time.Second
	// maxOriginProofAge is the highest age of a peer's proof by the origin at which the peer can be
	// followed: its watch returns at least every watchTimeout.
	maxOriginProofAge = watchTimeout + 600*time.Millisecond
	// maxConfigLag is by how much the proof of a peer's configuration may be older than that of its
	// list: a new configuration may still be on its way to that peer.
	maxConfigLag = 2 * time.Second
)

// followBounds bounds one call that follows a peer's list.
type followBounds struct {
	// wait is how long the peer may wait for changes, and timeout bounds the call.
	wait, timeout time.Duration
	// maxOriginAge is the highest accepted age of the peer's proof by the origin.
	maxOriginAge time.Duration
	// inheritProof makes the peer's proof count as this host's own, so that others may follow this
	// host in turn.
	inheritProof bool
	// allowStale accepts a list of any age. Such a list proves nothing.
	allowStale bool
}

// accept reports whether the proofs of a reply are recent enough to rely on. Negative ages are
// rejected: no proof is younger than the reply that carries it.
func (b followBounds) accept(r FollowReply) bool {
	if b.allowStale {
		return !r.ListRevision.IsZero()
	}
	return 0 <= r.OriginAge && r.OriginAge <= b.maxOriginAge && 0 <= r.ConfigAge && r.ConfigAge <= b.maxOriginAge+maxConfigLag
}

var (
	// leaderBounds are for the leader of this host's zone.
	leaderBounds = followBounds{wait: 700 * time.Millisecond, timeout: followTimeout, maxOriginAge: maxOriginProofAge, inheritProof: true}
	// originDownBounds are for any host while this host can't reach the origin. The proof isn't
	// inherited, so that hosts which could watch the origin don't follow this host back.
	originDownBounds = followBounds{wait: 700 * time.Millisecond, timeout: followTimeout, maxOriginAge: maxOriginProofAge}
	// staleBounds are for any host while none reaches the origin and this host knows no upstream.
	staleBounds = followBounds{timeout: 300 * time.Millisecond, allowStale: true}
	// zoneBounds are for a host of another zone. The whole zone learns of leaving engines through
	// this call, and a link that is cut may just be silent, which has to be noticed within a
	// fraction of the notice that an engine gives.
	zoneBounds = followBounds{
		wait: 150 * time.Millisecond, timeout: 300 * time.Millisecond, maxOriginAge: watchTimeout + 250*time.Millisecond,
		inheritProof: true,
	}
)

// OnFollow answers a peer that follows this host. It waits up to the requested time for something
// newer.
func (f *Forwarder) OnFollow(ctx context.Context, r FollowRequest) FollowReply {
	f.peers.receiveAnnouncements(f.now(), r.From, r.Announcements)
	if r.Wait > 0 {
		// A renewed proof ends the wait, too. Otherwise a proof could be 1.85 s old at the third
		// host in a row, after a watch and the waits of a zone's leader and of its followers, while
		// maxOriginProofAge is 1.6 s.
		changed, proved := f.fleet.Changed(), f.originProofRenewed.Channel()
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
	// The ages are taken first, so that nothing in the reply is older than its proof, even if
	// changes arrive meanwhile.
	reply := FollowReply{ConfigAge: f.ContactAge(now), OriginAge: f.OriginAge(now)}
	f.fleet.fillFollowReply(now, r.ListRevision, &reply)
	reply.Announcements, reply.HostCursor = f.peers.announcementsForFollower(now, r.From, r.HostCursor)
	reply.Version, reply.Rollouts = f.versionInForce(), f.rollouts.Statuses(now)
	return reply
}

// followPeer asks a peer for changes and applies them. It reports whether the peer's list can be
// relied on.
func (f *Forwarder) followPeer(ctx context.Context, peer Peer, bounds followBounds) bool {
	peers := f.loadPeerPort()
	if peers == nil {
		return false
	}
	timeout := bounds.timeout
	if f.fleet.Revision().IsZero() && f.peers.isLargeSite() {
		timeout = max(timeout, fullListTimeout)
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	slept := f.settings.Clock.TotalSuspended()
	announcements, announcedUpTo := f.peers.announcementsForLeader(f.now(), peer.ID)
	reply, err := peers.Follow(callCtx, peer, FollowRequest{
		From: f.peers.self.ID, Announcements: announcements,
		Version: f.newestKnownVersion(), ListRevision: f.fleet.Revision(), HostCursor: f.peers.rosterCursor(peer.ID), Wait: bounds.wait,
	})
	suspendedFor := f.settings.Clock.TotalSuspended() - slept
	reply.ConfigAge, reply.OriginAge = ageWithDelay(reply.ConfigAge, suspendedFor), ageWithDelay(reply.OriginAge, suspendedFor)
	reply.EraAge = ageWithDelay(reply.EraAge, suspendedFor)
	if err == nil && reply.Busy {
		now := f.now()
		f.peers.receiveAnnouncements(now, peer.ID, reply.Announcements)
		f.peers.setRosterCursor(peer.ID, reply.HostCursor)
		f.peers.markBusy(now, peer.ID)
		return false
	}
	if err != nil || !bounds.accept(reply) || reply.ListRevision.Era() < f.fleet.Revision().Era() {
		f.journal.HostEvent("leader not followed", "peer", peer.ID, "origin_age", reply.OriginAge, "config_age", reply.ConfigAge,
			"list", reply.ListRevision, "own_list", f.fleet.Revision(), "err", err)
		f.peers.distrust(peer.ID)
		if err == nil && f.originProofInherited.Load() {
			// The proof was inherited, and this host knows nothing newer than the rejected peer. A
			// proof that the origin gave to this host directly stays.
			f.originProvedAt.clear()
			f.followedPeerAnsweredAt.clear()
		}
		return false
	}
	now := f.now()
	if reply.Version <= f.versionInForce() {
		f.ContactProved(now.Add(-reply.ConfigAge))
	}
	f.handleConfigOffer(peer, reply.Version)
	if bounds.inheritProof {
		f.recordOriginProof(now.Add(-reply.OriginAge))
		f.originProofInherited.Store(true)
	}
	f.peers.recordAnnouncedUpTo(peer.ID, announcedUpTo)
	for i := range reply.Announcements {
		reply.Announcements[i].Age = ageWithDelay(reply.Announcements[i].Age, suspendedFor)
	}
	f.peers.receiveAnnouncements(now, peer.ID, reply.Announcements)
	f.peers.recordFollowReply(now, peer.ID, reply)
	if !bounds.allowStale {
		f.followedPeerAnsweredAt.advance(now)
		f.fleet.ListTrusted()
	}
	for i := range reply.Rollouts {
		reply.Rollouts[i].Age = ageWithDelay(reply.Rollouts[i].Age, suspendedFor)
	}
	f.receiveRollouts(now, reply.Rollouts)
	zones, changes := f.fleet.ApplyFollowReply(now, reply)
	f.logZoneChanges(zones)
	f.handleListChanges(changes)
	return true
}

const (
	// bytesPerUpstream is the approximate size of an upstream in a list that is sent to a peer.
	bytesPerUpstream = 40
	// fullListTimeout bounds a call that transfers the list of a large site: a small host needs a
	// second for it.
	fullListTimeout = 4 * time.Second
	// maxListBacklog is for how long a host's link may be occupied by lists that it sends to
	// others.
	maxListBacklog = 400 * time.Millisecond
)

// isBusyWithLists reports whether a peer that asks for the full list has to ask again later or
// elsewhere, because this host's link also carries other traffic. Otherwise it reserves the link
// for the transfer.
func (f *Forwarder) isBusyWithLists(now time.Time, after history.Point) bool {
	capacity := f.peers.self.Capacity
	if capacity <= 0 || !after.IsZero() {
		return false
	}
	transferTime := time.Duration(float64(f.fleet.upstreamCount()*bytesPerUpstream*8) / (float64(capacity) * 1e6) * float64(time.Second))
	f.listSendMu.Lock()
	defer f.listSendMu.Unlock()
	if f.listSendDoneAt.Sub(now) > maxListBacklog {
		return true
	}
	f.listSendDoneAt = laterOf(f.listSendDoneAt, now).Add(transferTime)
	return false
}

func (f *Fleet) upstreamCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.upstreams)
}

// fillFollowReply adds the list's changes after a point to a reply.
func (f *Fleet) fillFollowReply(now time.Time, after history.Point, r *FollowReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.Changes, r.ListRevision, r.Complete = f.changesSince(after)
	r.Generation = f.generation
	r.Zones = f.zoneOrdersSince(after, r.Complete)
	r.HasGaps = slices.ContainsFunc(f.gaps, func(g gap) bool { return g.from.Before(r.ListRevision) && after.Before(g.to) })
	r.EraFirstSeen = f.restore.LowestSeen()
	if !f.eraFirstSeen.IsZero() {
		r.EraAge = now.Sub(f.eraFirstSeen)
	}
}

// ApplyFollowReply applies a peer's list. It returns the zone orders and the changes that made a
// difference.
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

// loadPeerPort returns the interface to the peers; nil before RunPeers has set it.
func (f *Forwarder) loadPeerPort() Peers {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	return f.peerTransport
}
