// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"time"
)

// FollowRequest asks a peer for what is newer than what the asker has. Zero
// values ask for everything.
type FollowRequest struct {
	Version Version
	List    Revision
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
	// Config is nil when it isn't newer.
	Config  *Config
	Changes []Change
	// Whole says that Changes are the whole list: the peer doesn't remember all
	// that was dropped since the asker's revision.
	Whole bool
	List  Revision
	// Hosts are those that the peer has found since, up to HostsAt.
	Hosts   []Peer
	HostsAt HostCursor
	// ConfigAge and OriginAge are as in Share.
	ConfigAge, OriginAge time.Duration
}

const (
	// followTimeout is how long after a peer's answer this host counts as
	// following it.
	followTimeout = 1100 * time.Millisecond
	// shunZoneFor is how long a zone isn't followed after that has failed.
	shunZoneFor = 5 * time.Second
	// originFresh is how recent a peer's proof by the origin must be to follow it:
	// its watch returns every watchWait at least.
	originFresh = watchWait + 600*time.Millisecond
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
}

// accept reports whether a reply's proofs are recent enough to rely on. No proof is
// younger than its own telling.
func (b followBounds) accept(r FollowReply) bool {
	return 0 <= r.OriginAge && r.OriginAge <= b.fresh && 0 <= r.ConfigAge && r.ConfigAge <= b.fresh
}

var (
	// leaderBounds are for a host of the own zone.
	leaderBounds = followBounds{wait: 700 * time.Millisecond, timeout: followTimeout, fresh: originFresh, inherit: true}
	// neededBounds are for any host while the origin can't be had: those that
	// could watch it must not follow this host back.
	neededBounds = followBounds{wait: 700 * time.Millisecond, timeout: followTimeout, fresh: originFresh}
	// zoneBounds are for a host of another zone. The whole zone hears of
	// engines that leave through this call, and a link that is cut may just be
	// silent: that is to be noticed in a fraction of an engine's notice.
	zoneBounds = followBounds{
		wait: 150 * time.Millisecond, timeout: 300 * time.Millisecond, fresh: watchWait + 250*time.Millisecond,
		inherit: true,
	}
)

// fetchConfig takes a newer configuration over from a peer.
func (f *Forwarder) fetchConfig(ctx context.Context, from Peer, version Version) {
	f.peers.mu.Lock()
	peers := f.peerPort
	f.peers.mu.Unlock()
	if peers == nil || !f.fetching.CompareAndSwap(false, true) {
		return
	}
	defer f.fetching.Store(false)
	reply, err := peers.Follow(ctx, from, FollowRequest{Version: version, List: noList})
	if err != nil {
		f.journal.Belief("configuration not fetched", "peer", from.ID, "err", err)
		return
	}
	if reply.Config != nil && f.Configure(time.Now(), *reply.Config) {
		f.journal.Belief("configuration fetched", "peer", from.ID, "version", reply.Config.Version)
	}
}

// noList asks a peer for no changes of the list.
const noList = ^Revision(0)

// OnFollow serves a peer that follows this host.
func (f *Forwarder) OnFollow(ctx context.Context, r FollowRequest) FollowReply {
	if r.List != noList && r.Wait > 0 {
		changed := f.fleet.Changed()
		if f.fleet.Revision() <= r.List && f.versionInForce() <= r.Version {
			timer := time.NewTimer(r.Wait)
			defer timer.Stop()
			select {
			case <-changed:
			case <-timer.C:
			case <-ctx.Done():
			}
		}
	}
	now := time.Now()
	// Ages first, the configuration last: nothing in the reply is then older than its
	// proof, whatever comes in meanwhile.
	reply := FollowReply{ConfigAge: f.ContactAge(now), OriginAge: f.OriginAge(now)}
	if r.List != noList {
		reply.Changes, reply.List, reply.Whole = f.fleet.Since(r.List)
		reply.Hosts, reply.HostsAt = f.peers.foundSince(now, r.Hosts)
	}
	if c := f.newest.Load(); c != nil && c.Version > r.Version {
		reply.Config = c
	}
	return reply
}

// followPeer takes over what a peer's list has that is newer. It reports
// whether the peer's list can be relied on.
func (f *Forwarder) followPeer(ctx context.Context, leader Peer, bounds followBounds) bool {
	f.peers.mu.Lock()
	peers := f.peerPort
	f.peers.mu.Unlock()
	if peers == nil {
		return false
	}
	call, cancel := context.WithTimeout(ctx, bounds.timeout)
	defer cancel()
	reply, err := peers.Follow(call, leader, FollowRequest{
		Version: f.versionInForce(), List: f.fleet.Revision(), Hosts: f.peers.cursorOf(leader.ID), Wait: bounds.wait,
	})
	if err != nil || !bounds.accept(reply) {
		f.journal.Belief("leader not followed", "peer", leader.ID, "origin_age", reply.OriginAge, "config_age", reply.ConfigAge, "err", err)
		f.peers.distrust(leader.ID)
		if err == nil && f.proofInherited.Load() {
			// What this host knows is no newer than what its leader has. A proof that
			// the origin gave to it itself stays.
			f.originContact.clear()
			f.followed.clear()
		}
		return false
	}
	now := time.Now()
	if reply.Config != nil {
		f.Configure(now, *reply.Config)
	}
	f.ContactProved(now.Add(-reply.ConfigAge))
	if bounds.inherit {
		f.originContact.raise(now.Add(-reply.OriginAge))
		f.proofInherited.Store(true)
	}
	f.followed.raise(now)
	f.peers.list(now, reply.Hosts)
	f.peers.followed(now, leader.ID, reply)
	f.fleet.ListTrusted()
	take := f.fleet.Apply
	if reply.Whole {
		take = f.fleet.TakeOver
	}
	f.noteList(take(now, reply.Changes, reply.List))
	return true
}

func (f *Forwarder) versionInForce() Version {
	if t := f.table.Load(); t != nil {
		return t.Version
	}
	return 0
}
