// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"github.com/shedpath/shedpath/member"
)

// How hosts come to know of each other: by the directory, and by those that they follow.

// listedMost is how many hosts are known at which none is taken from the directory any more: who
// knows so many learns of others by them.
const listedMost = 100

// list takes in what the directory told of: hosts that were not known are
// tried.
func (p *peerSet) list(now time.Time, hosts []Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, host := range hosts {
		if host.ID != p.self.ID && p.known[host.ID] == nil && len(p.known) < listedMost {
			s := p.add(host)
			s.tried, s.heard = now, now.Add(-peerSilent)
		}
	}
}

// anyFound reports whether another host was ever heard.
func (p *peerSet) anyFound() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.found > 0
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

// gotAnnouncements takes in up to where a peer has passed on what it knows of hosts.
func (p *peerSet) gotAnnouncements(id member.HostID, c HostCursor) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[id]; s != nil {
		s.cursor = c
	}
}

// followed takes in what a peer that is followed replied.
func (p *peerSet) followed(now time.Time, id member.HostID, r FollowReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[id]; s != nil {
		s.cursor, s.heard, s.originAge = r.HostCursor, now, r.OriginAge
	}
}
