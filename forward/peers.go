// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
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
	// OriginAge is how long ago the origin itself proved that the host is up to
	// date; hosts that follow a peer have none of late.
	OriginAge time.Duration
	Stopping  bool
	// Runs are all generations of the host.
	Runs []RunState
	// Leaving are the host's own observations of engines that leave.
	Leaving []LeavingMark
}

// FollowRequest asks a peer for what is newer than what the asker has. Zero
// values ask for everything.
type FollowRequest struct {
	Version Version
	List    Revision
	// Wait is how long the peer may wait for something newer.
	Wait time.Duration
}

// FollowReply is what a peer has that is newer.
type FollowReply struct {
	// Config is nil when it isn't newer.
	Config  *Config
	Changes []Change
	List    Revision
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

// Directory lists the hosts of the site.
type Directory interface {
	// Announce puts this host on the list for a time, or keeps it there.
	Announce(ctx context.Context, self Peer, ttl time.Duration) error
	// Withdraw takes this host off the list.
	Withdraw(ctx context.Context) error
	Hosts(ctx context.Context) ([]Peer, error)
}

// Timing of what hosts tell each other.
const (
	// shareEvery is the period of shares to each peer; a new run is told at
	// once, to the peers of the own zone.
	shareEvery = 500 * time.Millisecond
	// shareTimeout bounds one share.
	shareTimeout = 700 * time.Millisecond
	// shareSoon gathers the changes of a moment into one share.
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
	// followWait and followTimeout bound a call that follows a peer's list.
	followWait    = 700 * time.Millisecond
	followTimeout = 1100 * time.Millisecond
	// originFresh is how recent a peer's proof by the origin must be to follow it:
	// its watch returns every watchWait at least.
	originFresh = watchWait + 600*time.Millisecond
	// directoryEvery is the period of reading the directory, and directoryTTL
	// how long an entry stays without being renewed. New hosts make themselves
	// known by calling, so this is for what got lost.
	directoryEvery = 6 * time.Second
	directoryTTL   = 18 * time.Second
	// directorySoon is when the directory is read again after the start, for
	// hosts mostly start together.
	directorySoon = 500 * time.Millisecond
)

// peerSet is what a host knows of its peers.
type peerSet struct {
	self Peer

	mu    sync.Mutex
	known map[member.HostID]*peerState
	// seeds are addresses of peers whose names aren't known yet.
	seeds []string
	// wake asks for a share to the own zone at once.
	wake chan struct{}
	// wakeAll asks for a share to all peers at once.
	wakeAll chan struct{}
}

// peerState is what a host knows of one peer.
type peerState struct {
	Peer
	// heard is when it last said something.
	heard     time.Time
	tried     time.Time
	originAge time.Duration
	stopping  bool
	// sending says that a share to it is under way.
	sending bool
	// failed says that the last share didn't arrive.
	failed bool
}

// live reports whether the peer is believed to be there.
func (s *peerState) live(now time.Time, own member.Zone) bool {
	if s.Zone == own {
		return now.Sub(s.heard) <= peerSilent
	}
	return !s.failed && now.Sub(s.heard) <= farSilent
}

func newPeerSet(self Peer, seeds []string) *peerSet {
	return &peerSet{self: self, known: map[member.HostID]*peerState{}, seeds: seeds, wake: make(chan struct{}, 1), wakeAll: make(chan struct{}, 1)}
}

// hear takes in what a peer said.
func (p *peerSet) hear(now time.Time, s Share) (isNew bool) {
	if s.From.ID == p.self.ID || s.From.ID == "" {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.known[s.From.ID]
	if state == nil {
		state = &peerState{}
		p.known[s.From.ID] = state
		isNew = true
	}
	state.Peer, state.heard, state.stopping, state.failed = s.From, now, s.Stopping, false
	state.originAge = s.OriginAge
	return isNew
}

// list takes in the directory: peers that were not known are tried.
func (p *peerSet) list(now time.Time, peers []Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range peers {
		if peer.ID != p.self.ID && p.known[peer.ID] == nil {
			p.known[peer.ID] = &peerState{Peer: peer, tried: now, heard: now.Add(-peerSilent)}
		}
	}
}

// targets returns the peers to share with now, and marks them as being sent to:
// those of the own zone, and when the period is over some of the other zones, or
// every peer when each must know.
func (p *peerSet) targets(now time.Time, period, every bool) []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var to []Peer
	var far []*peerState
	send := func(s *peerState) {
		s.sending, s.tried = true, now
		to = append(to, s.Peer)
	}
	for id, s := range p.known {
		switch {
		case now.Sub(s.heard) > peerForgotten:
			delete(p.known, id)
		case s.sending:
		case every || s.Zone == p.self.Zone && (period || s.live(now, p.self.Zone)):
			send(s)
		case period && s.Zone != p.self.Zone:
			far = append(far, s)
		}
	}
	slices.SortFunc(far, func(a, b *peerState) int { return a.tried.Compare(b.tried) })
	for _, s := range far[:min(len(far), farShares)] {
		send(s)
	}
	return to
}

func (p *peerSet) sent(id member.HostID, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[id]; s != nil {
		s.sending, s.failed = false, err != nil
	}
}

// live counts this host and the peers that were heard lately.
func (p *peerSet) live(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 1
	for _, s := range p.known {
		if s.live(now, p.self.Zone) {
			n++
		}
	}
	return n
}

// isKnown reports whether a peer is still remembered; the runs of one that isn't are
// no longer counted.
func (p *peerSet) isKnown(id member.HostID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known[id] != nil
}

// leader returns the peer whose list this host follows: the first live host of
// the zone by name, if that isn't this one. A host that can't read the list
// itself follows any peer whose list is fresh.
func (p *peerSet) leader(now time.Time, needed bool) (Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *peerState
	for _, s := range p.known {
		if !s.live(now, p.self.Zone) || s.stopping || s.Zone == p.self.Zone && s.originAge+now.Sub(s.heard) > originFresh+shareEvery {
			continue
		}
		if s.originAge > originFresh {
			continue
		}
		if !needed && (s.Zone != p.self.Zone || s.ID > p.self.ID) {
			continue
		}
		if best == nil || p.better(s, best) {
			best = s
		}
	}
	if best == nil {
		return Peer{}, false
	}
	return best.Peer, true
}

// better orders the peers to follow: the own zone's first, then by name.
func (p *peerSet) better(a, b *peerState) bool {
	if near := a.Zone == p.self.Zone; near != (b.Zone == p.self.Zone) {
		return near
	}
	return a.ID < b.ID
}

// nudge asks for a share to the own zone at once.
func (p *peerSet) nudge() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// nudgeAll asks for a share to all peers at once.
func (p *peerSet) nudgeAll() {
	select {
	case p.wakeAll <- struct{}{}:
	default:
	}
}

// tellPlaced tells the peers at once of a run on an engine: those of the own
// zone, or all when the engine is another zone's, whose hosts place there first.
func (f *Forwarder) tellPlaced(u Upstream) {
	if u.Zone == f.peers.self.Zone {
		f.peers.nudge()
		return
	}
	f.peers.nudgeAll()
}

// raise moves a time forward, never back.
func raise(to *atomic.Int64, at time.Time) {
	nanos := at.UnixNano()
	for {
		old := to.Load()
		if old >= nanos || to.CompareAndSwap(old, nanos) {
			return
		}
	}
}

// RunPeers tells the peers about this host until the context ends.
func (f *Forwarder) RunPeers(ctx context.Context, peers Peers) {
	f.peers.mu.Lock()
	f.peerPort = peers
	f.peers.mu.Unlock()
	var sending sync.WaitGroup
	defer sending.Wait()
	tick := time.NewTicker(shareEvery)
	defer tick.Stop()
	for {
		period, every := false, false
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			period = true
		case <-f.peers.wakeAll:
			every = true
			pauseFor(ctx, shareSoon)
		case <-f.peers.wake:
			pauseFor(ctx, shareSoon)
		}
		now := time.Now()
		f.retries.setHosts(f.peers.live(now))
		f.engines.forget(now, f.peers.isKnown)
		share := f.share(now)
		for _, to := range f.peers.targets(now, period, every) {
			sending.Go(func() { f.shareWith(ctx, peers, to, share) })
		}
		if period {
			f.callSeeds(ctx, &sending, peers, share)
		}
	}
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
		Runs: f.engines.states(), Leaving: f.fleet.Marks(now),
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
	for _, mark := range s.Leaving {
		f.fleet.MarkLeaving(now, mark.Engine, mark.In, false)
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
	f.engines.adopt(time.Now(), s.From.ID, s.Runs)
	f.hear(ctx, s)
	reply := f.share(time.Now())
	reply.Runs = nil
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
	var reply FollowReply
	if c := f.newest.Load(); c != nil && c.Version > r.Version {
		reply.Config = c
	}
	if r.List != noList {
		reply.Changes, reply.List = f.fleet.Since(r.List)
	}
	now := time.Now()
	reply.ConfigAge, reply.OriginAge = f.ContactAge(now), f.OriginAge(now)
	return reply
}

// followPeer takes over what a peer's list has that is newer. It reports
// whether the peer's list can be relied on.
func (f *Forwarder) followPeer(ctx context.Context, leader Peer) bool {
	f.peers.mu.Lock()
	peers := f.peerPort
	f.peers.mu.Unlock()
	if peers == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	reply, err := peers.Follow(ctx, leader, FollowRequest{Version: f.versionInForce(), List: f.fleet.Revision(), Wait: followWait})
	if err != nil || reply.OriginAge > originFresh || reply.ConfigAge > originFresh {
		f.journal.Belief("leader not followed", "peer", leader.ID, "origin_age", reply.OriginAge, "config_age", reply.ConfigAge, "err", err)
		f.peers.distrust(leader.ID)
		return false
	}
	now := time.Now()
	if reply.Config != nil {
		f.Configure(now, *reply.Config)
	}
	f.ContactProved(now.Add(-reply.ConfigAge))
	f.followed.Store(now.UnixNano())
	f.noteList(f.fleet.Apply(now, reply.Changes))
	return true
}

// distrust keeps a peer from being followed until it has spoken again.
func (p *peerSet) distrust(id member.HostID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[id]; s != nil {
		s.originAge = peerForgotten
	}
}

func (f *Forwarder) versionInForce() Version {
	if t := f.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// RunDirectory keeps this host in the directory and learns the others from it,
// until the context ends.
func (f *Forwarder) RunDirectory(ctx context.Context, d Directory) {
	dep := dependency{name: "directory", journal: f.journal}
	pause := directorySoon
	for ctx.Err() == nil {
		err := d.Announce(ctx, f.peers.self, directoryTTL)
		var hosts []Peer
		if err == nil {
			hosts, err = d.Hosts(ctx)
		}
		if err != nil {
			dep.failed(ctx, err)
			pauseFor(ctx, directoryEvery/8)
			continue
		}
		dep.ok(time.Now())
		f.peers.list(time.Now(), hosts)
		pauseFor(ctx, pause)
		pause = min(2*pause, directoryEvery)
	}
	leaving, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := d.Withdraw(leaving); err != nil {
		f.journal.Belief("directory entry not withdrawn", "err", err)
	}
}
