// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/shedpath/shedpath/member"
)

// peerSet is what a host knows of its peers.
type peerSet struct {
	self Peer

	mu    sync.Mutex
	known map[member.HostID]*peerState
	// epoch tells this process's counts from those of an earlier one, and found
	// counts the peers that were heard for the first time, or again after a silence.
	epoch, found uint64
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
	// foundAt is the count of found when it was heard first; zero for one that others
	// only told of.
	foundAt uint64
	// cursor is up to where this host has its peers.
	cursor HostCursor
	// failed says that the last share didn't arrive.
	failed bool
	// distrusted says that it couldn't be followed; it may have spoken since
	// only to others.
	distrusted bool
}

// zoneHasOther reports whether another host of this one's zone takes requests.
func (p *peerSet) zoneHasOther(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.known {
		if s.Zone == p.self.Zone && !s.stopping && s.live(now, p.self.Zone) {
			return true
		}
	}
	return false
}

// live reports whether the peer is believed to be there.
func (s *peerState) live(now time.Time, own member.Zone) bool {
	if s.Zone == own {
		return now.Sub(s.heard) <= peerSilent
	}
	return !s.failed && now.Sub(s.heard) <= farSilent
}

func newPeerSet(self Peer, seeds []string) *peerSet {
	return &peerSet{
		self: self, known: map[member.HostID]*peerState{}, epoch: rand.Uint64(), seeds: seeds,
		wake: make(chan struct{}, 1), wakeAll: make(chan struct{}, 1),
	}
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
	if state.foundAt == 0 || now.Sub(state.heard) > farSilent {
		p.found++
		state.foundAt = p.found
	}
	state.Peer, state.heard, state.stopping, state.failed = s.From, now, s.Stopping, false
	state.originAge, state.distrusted = s.OriginAge, false
	return isNew
}

// list takes in what the directory or a peer told of: hosts that were not known are
// tried.
func (p *peerSet) list(now time.Time, hosts []Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, host := range hosts {
		if host.ID != p.self.ID && p.known[host.ID] == nil {
			p.known[host.ID] = &peerState{Peer: host, tried: now, heard: now.Add(-peerSilent)}
		}
	}
}

// foundSince returns the peers that this host has heard itself since an earlier
// answer, and the cursor for the next one. Those that it only knows by others aren't
// passed on: hosts that are gone would be told in a circle.
func (p *peerSet) foundSince(now time.Time, c HostCursor) ([]Peer, HostCursor) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.Epoch != p.epoch {
		c.Found = 0
	}
	var hosts []Peer
	for _, s := range p.known {
		if s.foundAt > c.Found && now.Sub(s.heard) <= peerForgotten {
			hosts = append(hosts, s.Peer)
		}
	}
	return hosts, HostCursor{Epoch: p.epoch, Found: p.found}
}

// cursorOf is up to where this host has a peer's peers.
func (p *peerSet) cursorOf(id member.HostID) HostCursor {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[id]; s != nil {
		return s.cursor
	}
	return HostCursor{}
}

// followed takes in what a peer that is followed replied.
func (p *peerSet) followed(now time.Time, id member.HostID, r FollowReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[id]; s != nil {
		s.cursor, s.heard, s.originAge = r.HostsAt, now, r.OriginAge
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
			p.forget(id)
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

// forget drops a peer, and has the peers that are followed tell all of theirs again:
// it may be there still, behind a link that was cut.
func (p *peerSet) forget(id member.HostID) {
	delete(p.known, id)
	for _, s := range p.known {
		s.cursor = HostCursor{}
	}
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

// zones tells the zone of each known peer.
func (p *peerSet) zones() map[member.HostID]member.Zone {
	p.mu.Lock()
	defer p.mu.Unlock()
	zones := make(map[member.HostID]member.Zone, len(p.known))
	for id, s := range p.known {
		zones[id] = s.Zone
	}
	return zones
}

// liveInZone counts this host and the peers of its zone that were heard lately.
func (p *peerSet) liveInZone(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 1
	for _, s := range p.known {
		if s.Zone == p.self.Zone && s.live(now, p.self.Zone) {
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

// hasEarlier reports whether a live host comes before this one by zone and name.
func (p *peerSet) hasEarlier(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.known {
		earlier := s.Zone < p.self.Zone || s.Zone == p.self.Zone && s.ID < p.self.ID
		if earlier && !s.stopping && s.live(now, p.self.Zone) {
			return true
		}
	}
	return false
}

// joinable returns a peer that a host which starts can take everything over from, one
// of its own zone if there is any. It is drawn, for many may start together.
func (p *peerSet) joinable(now time.Time) (Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var near, far []Peer
	for _, s := range p.known {
		switch {
		case s.foundAt == 0 || s.stopping || s.distrusted || s.originAge+now.Sub(s.heard) > originFresh:
		case s.Zone == p.self.Zone:
			near = append(near, s.Peer)
		default:
			far = append(far, s.Peer)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return Peer{}, false
	}
	return near[rand.IntN(len(near))], true
}

// ofEarlierZone returns the first live host, by zone and name, of a zone that
// comes before this host's and isn't shunned.
func (p *peerSet) ofEarlierZone(shunned func(member.Zone) bool, now time.Time) (Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var first *peerState
	for _, s := range p.known {
		if s.Zone >= p.self.Zone || s.distrusted || s.stopping || !s.live(now, p.self.Zone) || shunned(s.Zone) {
			continue
		}
		if first == nil || s.Zone < first.Zone || s.Zone == first.Zone && s.ID < first.ID {
			first = s
		}
	}
	if first == nil {
		return Peer{}, false
	}
	return first.Peer, true
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

// distrust keeps a peer from being followed until it has spoken again.
func (p *peerSet) distrust(id member.HostID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[id]; s != nil {
		s.originAge, s.distrusted = peerForgotten, true
	}
}
