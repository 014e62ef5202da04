// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"github.com/shedpath/shedpath/member"
)

// How hosts come to know of each other: by the directory, and by those that they follow.

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
