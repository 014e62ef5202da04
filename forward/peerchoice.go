// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shedpath/shedpath/cell"
	"github.com/shedpath/shedpath/member"
)

// leader returns the peer whose list this host follows: the first live host of
// the zone by name, if that isn't this one. A host that can't read the list
// itself follows any peer whose list is fresh.
func (p *peerSet) leader(now time.Time, needed bool) (Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.layout.Divided() && !needed {
		return p.treeLeader(now)
	}
	var best *peerState
	for _, s := range p.known {
		if !s.live(now) || s.stopping || s.sameCell && s.originAge+now.Sub(s.lastSeen) > maxOriginProofAge+shareInterval {
			continue
		}
		if s.originAge > maxOriginProofAge {
			continue
		}
		if !needed && (s.Zone != p.self.Zone || s.ID > p.self.ID) {
			continue
		}
		if best == nil || p.preferred(s, best) {
			best = s
		}
	}
	if best == nil {
		return Peer{}, false
	}
	return best.Peer, true
}

// hasPredecessor reports whether a live host comes before this one by zone and name.
func (p *peerSet) hasPredecessor(now time.Time) bool {
	if at, divided := p.treePosition(now); divided {
		return at > 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.known {
		earlier := s.Zone < p.self.Zone || s.Zone == p.self.Zone && s.ID < p.self.ID
		if earlier && !s.stopping && s.live(now) {
			return true
		}
	}
	return false
}

// maxStaleSources is how many peers a host that knows nothing asks at once for what they have.
const maxStaleSources = 3

// randomLivePeers draws some live peers, those of the own zone first.
func (p *peerSet) randomLivePeers(now time.Time) []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var near, far []Peer
	for _, s := range p.known {
		switch {
		case s.stopping || s.foundNumber == 0 || !s.live(now):
		case s.Zone == p.self.Zone:
			near = append(near, s.Peer)
		default:
			far = append(far, s.Peer)
		}
	}
	// The order of a map will do for drawing.
	peers := append(near, far...)
	return peers[:min(len(peers), maxStaleSources)]
}

// bootstrapPeer returns a peer that a host which starts can take everything over from, one
// of its own zone if there is any. It is drawn, for many may start together.
func (p *peerSet) bootstrapPeer(now time.Time) (Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var near, far []Peer
	for _, s := range p.known {
		switch {
		case s.foundNumber == 0 || s.stopping || s.distrusted || now.Before(s.busyUntil) || s.originAge+now.Sub(s.lastSeen) > maxOriginProofAge:
		case s.Zone == p.self.Zone:
			near = append(near, s.Peer)
		default:
			far = append(far, s.Peer)
		}
	}
	if p.layout.Divided() {
		// Each host tells a few others only, and those before it in the tree know first.
		for _, h := range p.ancestors(p.unavailable(now)) {
			if i := slices.IndexFunc(near, func(o Peer) bool { return o.ID == h.ID }); i >= 0 {
				return near[i], true
			}
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

// firstInEarlierZone returns the first live host, by zone and name, of a zone that
// comes before this host's and isn't avoided.
func (p *peerSet) firstInEarlierZone(avoided func(member.Zone) bool, now time.Time) (Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var first *peerState
	for _, s := range p.known {
		if s.Zone >= p.self.Zone || s.distrusted || s.stopping || !s.live(now) || avoided(s.Zone) {
			continue
		}
		if first == nil || s.Zone < first.Zone || s.Zone == first.Zone && p.precedes(s.Peer, first.Peer) {
			first = s
		}
	}
	if first == nil {
		return Peer{}, false
	}
	return first.Peer, true
}

// precedes reports whether a host of a zone comes before another of it: those that start follow the
// first. The mutex is held.
func (p *peerSet) precedes(a, b Peer) bool {
	if p.layout.Divided() {
		return compareTreeOrder(a, b) < 0
	}
	return a.ID < b.ID
}

// preferred orders the peers to follow: the own zone's first, then by name.
func (p *peerSet) preferred(a, b *peerState) bool {
	if near := a.Zone == p.self.Zone; near != (b.Zone == p.self.Zone) {
		return near
	}
	return a.ID < b.ID
}

// distrust keeps a peer from being followed until it has spoken again.
func (p *peerSet) distrust(id member.HostID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[id]; s != nil {
		s.originAge, s.distrusted = peerForgetTimeout, true
	}
}

// responsibleHost returns the host that ranks first for a duty about something in a cell: of the cell's
// hosts that live and don't stop; of those of it that were heard lately, though they can't be
// reached, for they may have the duty still; or else of all hosts.
func (p *peerSet) responsibleHost(now time.Time, duty string, of cell.ID) Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var near, heard, all []Peer
	if !p.stopping {
		all = append(all, p.self)
		if p.ownCell == of {
			near = append(near, p.self)
		}
	}
	for _, s := range p.known {
		if s.stopping {
			continue
		}
		live := s.live(now)
		if live {
			all = append(all, s.Peer)
		}
		switch {
		case s.cell != of:
		case live:
			near = append(near, s.Peer)
		case now.Sub(s.lastSeen) <= otherCellSilenceTimeout:
			heard = append(heard, s.Peer)
		}
	}
	for _, among := range [][]Peer{near, heard, all} {
		if len(among) > 0 {
			return member.First(duty, among)
		}
	}
	return p.self
}
