// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"sync"
	"time"

	"github.com/shedpath/shedpath/member"
)

// Peer is another entry host.
type Peer = member.Entry

// Share is what a host tells its peers of itself.
type Share struct {
	From Peer
	// Version is the configuration in force, and ConfigAge how long ago it was
	// proved to be the newest.
	Version   Version
	ConfigAge time.Duration
	// OriginAge is how long ago the origin proved that the host is up to date,
	// to it or to the host that it follows.
	OriginAge time.Duration
	Stopping  bool
	// Runs are all generations of the host.
	Runs []RunState
	// Ended are those of its runs that ended by themselves lately.
	Ended []EndedRun
	// Leaving are the host's own observations of engines that leave.
	Leaving []LeavingMark
	// Failing are its findings of upstreams that lose requests.
	Failing []FailingMark
}

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

// Peers is the interface to the other hosts.
type Peers interface {
	// Share tells a peer about this host and returns the same of the peer,
	// without its runs.
	Share(ctx context.Context, to Peer, s Share) (Share, error)
	Follow(ctx context.Context, to Peer, r FollowRequest) (FollowReply, error)
	// Turn waits at an arbiter for the turn to move a run; EndTurn gives it
	// back.
	Turn(ctx context.Context, to Peer, r TurnRequest) error
	EndTurn(ctx context.Context, to Peer, r TurnRequest) error
}

// Timing of what hosts tell each other.
const (
	// shareEvery is the period of shares to each peer; a new run is told at
	// once, to the peers of the own zone.
	shareEvery = 500 * time.Millisecond
	// startLasts is how long after its start a host looks for its peers more
	// often.
	startLasts = time.Second
	// shareTimeout bounds one share.
	shareTimeout = 700 * time.Millisecond
	// shareSoon is the least time between two shares: the changes of a moment go into
	// one, but the first is told at once, for until then other hosts may place runs on
	// the same engine.
	shareSoon = 3 * time.Millisecond
	// farShares is how many peers of other zones are told in each period, one
	// after another: bytes between zones have a price.
	farShares = 3
	// peerSilent is how long after its last word a peer of the own zone counts
	// as gone, and farSilent the same for one of another zone.
	peerSilent = 1600 * time.Millisecond
	farSilent  = 15 * time.Second
	// peerForgotten is how long a silent peer is still tried, and its runs are
	// still counted on their engines.
	peerForgotten = 20 * time.Second
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

// tellPlaced tells the peers at once of a run on an engine: those of the own
// zone, or all when the engine is another zone's, whose hosts place there first.
func (f *Forwarder) tellPlaced(u Upstream) {
	if u.Zone == f.peers.self.Zone {
		f.peers.nudge()
		return
	}
	f.peers.nudgeAll()
}

// RunPeers tells the peers about this host until the context ends.
func (f *Forwarder) RunPeers(ctx context.Context, peers Peers) {
	f.peers.mu.Lock()
	f.peerPort = peers
	f.peers.mu.Unlock()
	var sending sync.WaitGroup
	defer sending.Wait()
	began := time.Now()
	var shared time.Time
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		period, every := false, false
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			period = true
			tick.Reset(sharePause(now.Sub(began)))
		case <-f.peers.wakeAll:
			every = true
			pauseFor(ctx, shareSoon-time.Since(shared))
		case <-f.peers.wake:
			pauseFor(ctx, shareSoon-time.Since(shared))
		}
		now := time.Now()
		shared = now
		f.retries.setHosts(f.peers.live(now))
		f.engines.forget(now, f.peers.isKnown)
		f.engines.noteKnown(now, f.peers.zones())
		share := f.share(now)
		for _, to := range f.peers.targets(now, period, every) {
			sending.Go(func() { f.shareWith(ctx, peers, to, share) })
		}
		if period {
			f.callSeeds(ctx, &sending, peers, share)
		}
	}
}

// sharePause is the time to the next share: short at first, for a host that
// knows no peer watches the origin itself.
func sharePause(sinceStart time.Duration) time.Duration {
	if sinceStart < startLasts {
		return shareEvery / 4
	}
	return shareEvery
}

// callSeeds tries the addresses that the settings name while no peer is known.
func (f *Forwarder) callSeeds(ctx context.Context, sending *sync.WaitGroup, peers Peers, share Share) {
	f.peers.mu.Lock()
	known := len(f.peers.known)
	f.peers.mu.Unlock()
	if known > 0 {
		return
	}
	for _, address := range f.peers.seeds {
		if address != f.peers.self.PeerAddress {
			sending.Go(func() { f.shareWith(ctx, peers, Peer{PeerAddress: address}, share) })
		}
	}
}

func (f *Forwarder) share(now time.Time) Share {
	s := Share{
		From: f.peers.self, ConfigAge: f.ContactAge(now), OriginAge: f.OriginAge(now), Stopping: f.Stopping(),
		Runs: f.engines.states(now), Ended: f.engines.endedRuns(now), Leaving: f.fleet.Marks(now),
		Failing: f.fleet.FailingMarks(now),
	}
	if t := f.table.Load(); t != nil {
		s.Version = t.Version
	}
	return s
}

func (f *Forwarder) shareWith(ctx context.Context, peers Peers, to Peer, share Share) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	reply, err := peers.Share(ctx, to, share)
	f.peers.sent(to.ID, err)
	if err == nil {
		f.hear(ctx, reply)
	}
}

// hear takes in what a peer says of itself, and fetches its configuration if
// that is newer.
func (f *Forwarder) hear(ctx context.Context, s Share) {
	now := time.Now()
	if s.ConfigAge < 0 || s.OriginAge < 0 {
		f.journal.Belief("peer told an age below zero", "peer", s.From.ID, "config_age", s.ConfigAge, "origin_age", s.OriginAge)
		s.ConfigAge, s.OriginAge = neverProved, neverProved
	}
	for _, mark := range s.Leaving {
		f.fleet.MarkLeaving(now, mark.Engine, mark.In, false)
	}
	if s.From.Zone == f.peers.self.Zone {
		f.fleet.HearFailing(now, s.Failing)
	}
	if f.peers.hear(now, s) {
		f.journal.Belief("peer found", "peer", s.From.ID, "zone", s.From.Zone)
	}
	version := Version(0)
	if t := f.table.Load(); t != nil {
		version = t.Version
	}
	if s.Version <= version {
		if s.Version == version && version > 0 {
			f.ContactProved(now.Add(-s.ConfigAge))
		}
		return
	}
	f.fetchConfig(ctx, s.From, version)
}

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

// OnShare serves a peer's share.
func (f *Forwarder) OnShare(ctx context.Context, s Share) Share {
	f.engines.adopt(time.Now(), s.From.ID, s.Runs, s.Ended)
	f.hear(ctx, s)
	reply := f.share(time.Now())
	reply.Runs, reply.Ended = nil, nil
	return reply
}

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
