// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"github.com/shedpath/shedpath/member"
)

// Hosts learn of each other from the directory and from the hosts that they follow.

// maxPeersFromDirectory is the number of known peers from which on no host is added from the
// directory: a host with that many peers learns of the others from them.
const maxPeersFromDirectory = 100

// addFromDirectory adds the hosts of the directory that aren't known yet to the known peers, so
// that they are tried.
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

// anyPeerFound reports whether any other host has ever been in contact.
func (p *peerSet) anyPeerFound() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.foundCount > 0
}

// rosterCursor returns the cursor up to which this host has received a peer's announcements; zero
// if the peer isn't known.
func (p *peerSet) rosterCursor(id member.HostID) HostCursor {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[id]; s != nil {
		return s.rosterCursor
	}
	return HostCursor{}
}

// setRosterCursor records the cursor up to which a peer has sent its announcements.
func (p *peerSet) setRosterCursor(id member.HostID, c HostCursor) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[id]; s != nil {
		s.rosterCursor = c
	}
}

// recordFollowReply records the state of a followed peer as of its reply.
func (p *peerSet) recordFollowReply(now time.Time, id member.HostID, r FollowReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[id]; s != nil {
		s.rosterCursor, s.lastSeen, s.originAge = r.HostCursor, now, r.OriginAge
	}
}
