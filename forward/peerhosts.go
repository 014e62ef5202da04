// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"github.com/shedpath/shedpath/member"
)

// How hosts come to know of each other: by the directory, and by those that they follow.

// maxPeersFromDirectory is how many hosts are known at which none is taken from the directory any more: who
// knows so many learns of others by them.
const maxPeersFromDirectory = 100

// addFromDirectory takes in what the directory told of: hosts that were not known are
// tried.
func (p *peerSet) addFromDirectory(now time.Time, hosts []Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, host := range hosts {
		if host.ID != p.self.ID && p.known[host.ID] == nil && len(p.known) < maxPeersFromDirectory {
			s := p.add(host)
			s.lastTried, s.lastSeen = now, now.Add(-sameCellSilenceTimeout)
		}
	}
}

// anyPeerFound reports whether another host was ever heard.
func (p *peerSet) anyPeerFound() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.foundCount > 0
}

// rosterCursor is up to where this host has a peer's peers.
func (p *peerSet) rosterCursor(id member.HostID) HostCursor {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[id]; s != nil {
		return s.rosterCursor
	}
	return HostCursor{}
}

// setRosterCursor takes in up to where a peer has passed on what it knows of hosts.
func (p *peerSet) setRosterCursor(id member.HostID, c HostCursor) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[id]; s != nil {
		s.rosterCursor = c
	}
}

// recordFollowReply takes in what a peer that is recordFollowReply replied.
func (p *peerSet) recordFollowReply(now time.Time, id member.HostID, r FollowReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[id]; s != nil {
		s.rosterCursor, s.lastSeen, s.originAge = r.HostCursor, now, r.OriginAge
	}
}
