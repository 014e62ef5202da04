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

// leader returns the peer from which this host follows the list of upstreams: of the live hosts of
// its zone whose list is fresh, the one with the lowest ID, unless that is this host. With
// mustFollow, for a host that can't read the list itself, it returns any peer whose list is
// fresh, preferring its own zone. If zones are divided, the leader comes from the zone's
// tree unless mustFollow is set.
func (p *peerSet) leader(now time.Time, mustFollow bool) (Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.layout.Divided() && !mustFollow {
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
		if !mustFollow && (s.Zone != p.self.Zone || s.ID > p.self.ID) {
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

// hasPredecessor reports whether a live host precedes this one: in the zone's tree if the zone
// is divided, otherwise by zone and host ID.
func (p *peerSet) hasPredecessor(now time.Time) bool {
	if position, divided := p.treePosition(now); divided {
		return position > 0
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

// maxStaleSources bounds the peers that a starting host asks for a stale list of upstreams when
// it can get no fresh one.
const maxStaleSources = 3

// randomLivePeers returns up to maxStaleSources random live peers, those of the own zone first.
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
	// Map iteration order is random enough for this selection.
	peers := append(near, far...)
	return peers[:min(len(peers), maxStaleSources)]
}

// bootstrapPeer returns a peer from which a starting host can copy the list of upstreams and
// the configuration, from its own zone if possible. The choice is random because many hosts
// may start together.
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
		// Each host passes changes on to a few others only, so its ancestors in the tree learn
		// of them first.
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

// firstInEarlierZone returns the first live host of the first zone that sorts before this
// host's zone and isn't avoided.
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

// precedes reports whether host a comes before host b of the same zone, in tree order if
// zones are divided and by ID otherwise. The mutex is held.
func (p *peerSet) precedes(a, b Peer) bool {
	if p.layout.Divided() {
		return compareTreeOrder(a, b) < 0
	}
	return a.ID < b.ID
}

// preferred reports whether this host follows peer a rather than b: peers of its own zone come
// first, then the lower ID.
func (p *peerSet) preferred(a, b *peerState) bool {
	if near := a.Zone == p.self.Zone; near != (b.Zone == p.self.Zone) {
		return near
	}
	return a.ID < b.ID
}

// distrust keeps a peer from being followed until this host receives a message from it again.
func (p *peerSet) distrust(id member.HostID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[id]; s != nil {
		s.originAge, s.distrusted = peerForgetTimeout, true
	}
}

// responsibleHost returns the host that ranks first, by rendezvous hashing, for a duty in a
// cell. It is chosen from the first of these groups that isn't empty:
//   - live hosts of the cell that aren't stopping;
//   - hosts of the cell that were heard within otherCellSilenceTimeout but can't be reached now: they may
//     still hold the duty;
//   - all live hosts.
func (p *peerSet) responsibleHost(now time.Time, duty string, cellID cell.ID) Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var reachable, recent, anyCell []Peer
	if !p.stopping {
		anyCell = append(anyCell, p.self)
		if p.ownCell == cellID {
			reachable = append(reachable, p.self)
		}
	}
	for _, s := range p.known {
		if s.stopping {
			continue
		}
		live := s.live(now)
		if live {
			anyCell = append(anyCell, s.Peer)
		}
		switch {
		case s.cell != cellID:
		case live:
			reachable = append(reachable, s.Peer)
		case now.Sub(s.lastSeen) <= otherCellSilenceTimeout:
			recent = append(recent, s.Peer)
		}
	}
	for _, candidates := range [][]Peer{reachable, recent, anyCell} {
		if len(candidates) > 0 {
			return member.HighestRanked(duty, candidates)
		}
	}
	return p.self
}
