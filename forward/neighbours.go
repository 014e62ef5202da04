// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shedpath/shedpath/cell"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/roster"
)

// Which of all hosts this one keeps in touch with. In a site of undivided zones that is every
// host. Else it is the hosts of its cell, one host of each other cell, and those that it follows:
// the hosts of a zone form a tree, in which each follows an earlier one.

const (
	// maxFollowers is how many hosts follow one, where a zone is divided.
	maxFollowers = 8
	// maxAncestors is how many of those before it in the tree a host keeps in touch with.
	maxAncestors = 3
	// rootsPerZone is how many hosts at the top of a zone's tree keep in touch with as many of each
	// other zone's.
	rootsPerZone = 2
	// silentRetryInterval is how long after it was forgotten for its silence a host is tried again that is
	// still announced.
	silentRetryInterval = 2 * peerForgetTimeout
	// busyRetryDelay is the mean time after which a host that gives its list to others is asked again.
	busyRetryDelay = 200 * time.Millisecond
	// maxAnnouncementsPerMessage bounds the announcements of hosts in one message.
	maxAnnouncementsPerMessage = 400
)

// add has a host be known. The mutex is held.
func (p *peerSet) add(host Peer) *peerState {
	s := &peerState{Peer: host, cell: p.layout.OfHost(host)}
	s.sameCell = s.cell == p.ownCell
	p.known[host.ID] = s
	return s
}

// refreshRoster has this host be announced anew when that is due, and forgets hosts that aren't any
// more.
func (p *peerSet) refreshRoster(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.Announce(now)
	p.roster.Forget(now)
	p.updateLayout()
	p.trackNeighbours(now)
}

// updateLayout works out the cells and the neighbours anew when hosts have come or gone. The mutex is
// held.
func (p *peerSet) updateLayout() {
	if p.layoutRosterVersion == p.roster.Changed() {
		return
	}
	p.layoutRosterVersion = p.roster.Changed()
	hosts := p.roster.Entries()
	next := p.layout.Next(hosts)
	if !next.Equal(p.layout) {
		p.layout = next
		p.ownCell = next.OfHost(p.self)
		for _, s := range p.known {
			s.cell = next.OfHost(s.Peer)
			s.sameCell = s.cell == p.ownCell
		}
	}
	p.neighbours, p.zoneTree = make(map[member.HostID]Peer, len(hosts)), nil
	if !next.Divided() {
		for _, h := range hosts {
			p.neighbours[h.ID] = h
		}
		delete(p.neighbours, p.self.ID)
		return
	}
	zones, cells := map[member.Zone][]Peer{}, map[cell.ID][]Peer{}
	for _, h := range hosts {
		zones[h.Zone] = append(zones[h.Zone], h)
		of := next.OfHost(h)
		cells[of] = append(cells[of], h)
	}
	for _, of := range zones {
		slices.SortFunc(of, compareTreeOrder)
	}
	p.zoneTree = zones[p.self.Zone]
	for _, h := range cells[p.ownCell] {
		p.neighbours[h.ID] = h
	}
	delete(cells, p.ownCell)
	p.otherCells, p.firstZoneTree = cells, nil
	for zone, of := range zones {
		if len(p.firstZoneTree) == 0 || zone < p.firstZoneTree[0].Zone {
			p.firstZoneTree = of
		}
	}
	for id, of := range cells {
		if h, found := cell.Pick(p.self.ID, id.String(), of); found {
			p.neighbours[h.ID] = h
		}
	}
	for _, h := range p.ancestors(nil) {
		p.neighbours[h.ID] = h
	}
	if at := slices.Index(p.zoneTree, p.self); at >= 0 && at < rootsPerZone {
		for zone, of := range zones {
			for _, h := range of[:min(len(of), rootsPerZone)] {
				if zone != p.self.Zone {
					p.neighbours[h.ID] = h
				}
			}
		}
	}
	delete(p.neighbours, p.self.ID)
}

// trackNeighbours has the neighbours be known. One that was silent for long is tried again now and
// then. The mutex is held.
func (p *peerSet) trackNeighbours(now time.Time) {
	silent := p.unavailable(now)
	for id, of := range p.otherCells {
		if !slices.ContainsFunc(of, func(h Peer) bool { return p.neighbours[h.ID].ID != "" && !silent(h) }) {
			others := slices.DeleteFunc(slices.Clone(of), silent)
			if h, found := cell.Pick(p.self.ID, id.String(), others); found {
				p.neighbours[h.ID] = h
			}
		}
	}
	for id, h := range p.neighbours {
		if p.known[id] != nil || now.Sub(p.forgottenAt[id]) < silentRetryInterval {
			continue
		}
		s := p.add(h)
		s.lastTried, s.lastSeen = now, now.Add(-sameCellSilenceTimeout)
	}
	for id, at := range p.forgottenAt {
		if now.Sub(at) >= silentRetryInterval {
			delete(p.forgottenAt, id)
		}
	}
}

// compareTreeOrder orders the hosts of a zone: those that can carry more are followed by others.
func compareTreeOrder(a, b Peer) int {
	return cmp.Or(-cmp.Compare(a.Capacity, b.Capacity), cmp.Compare(a.ID, b.ID))
}

// ancestors are the hosts before this one in its zone's tree, the one that it follows first, but
// for those that won't do. The mutex is held.
func (p *peerSet) ancestors(without func(Peer) bool) []Peer {
	order := p.zoneTree
	if without != nil {
		order = slices.DeleteFunc(slices.Clone(order), func(h Peer) bool { return h.ID != p.self.ID && without(h) })
	}
	at := slices.IndexFunc(order, func(h Peer) bool { return h.ID == p.self.ID })
	var all []Peer
	for at > 0 && len(all) < maxAncestors {
		at = (at - 1) / maxFollowers
		all = append(all, order[at])
	}
	return all
}

// unavailable reports whether a host was tried and isn't there, as far as this one knows. The mutex is
// held.
func (p *peerSet) unavailable(now time.Time) func(Peer) bool {
	return func(h Peer) bool {
		s := p.known[h.ID]
		return s != nil && (!s.live(now) || s.stopping) || !p.forgottenAt[h.ID].IsZero()
	}
}

// treeLeader is the nearest of those before this host in its zone's tree whose list is fresh.
func (p *peerSet) treeLeader(now time.Time) (Peer, bool) {
	for _, h := range p.ancestors(p.unavailable(now)) {
		s := p.known[h.ID]
		if s == nil {
			s = p.add(h)
			s.lastSeen = now.Add(-sameCellSilenceTimeout)
		}
		if !s.stopping && !s.distrusted && s.originAge <= maxOriginProofAge {
			return s.Peer, true
		}
	}
	return Peer{}, false
}

// inOtherCell reports whether a host is of another cell of a site whose zones are divided.
func (p *peerSet) inOtherCell(id member.HostID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.known[id]
	return p.layout.Divided() && s != nil && !s.sameCell
}

// inSameCell reports whether a host is of this one's cell, of a site whose zones are divided.
func (p *peerSet) inSameCell(id member.HostID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.known[id]
	return p.layout.Divided() && s != nil && s.sameCell
}

// zonesDivided reports whether this host's zone has more than one cell.
func (p *peerSet) zonesDivided() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.layout.Divided()
}

// treePosition is this host's treePosition among those of its zone's tree that live, as far as it knows; false
// where the zone isn't divided.
func (p *peerSet) treePosition(now time.Time) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.layout.Divided() || len(p.zoneTree) == 0 {
		return 0, false
	}
	silent, at := p.unavailable(now), 0
	for _, h := range p.zoneTree {
		if h.ID == p.self.ID {
			return at, true
		}
		if !silent(h) {
			at++
		}
	}
	return at, true
}

// receiveAnnouncements takes in what a peer passes on of hosts.
func (p *peerSet) receiveAnnouncements(now time.Time, from member.HostID, told []roster.Announcement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range told {
		p.roster.Receive(now, from, a)
	}
	p.updateLayout()
	p.trackNeighbours(now)
}

// announcementsForLeader are those that a host which is followed isn't known to have, and up to where
// they go.
func (p *peerSet) announcementsForLeader(now time.Time, to member.HostID) ([]roster.Announcement, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.known[to]
	if s == nil {
		return nil, 0
	}
	return p.roster.Since(now, s.announcedUpTo, to, maxAnnouncementsPerMessage)
}

// recordAnnouncedUpTo takes in that a host which is followed was told of hosts.
func (p *peerSet) recordAnnouncedUpTo(to member.HostID, upTo uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[to]; s != nil {
		s.announcedUpTo = max(s.announcedUpTo, upTo)
	}
}

// announcementsForFollower are those for a host that follows this one, since an earlier answer.
func (p *peerSet) announcementsForFollower(now time.Time, to member.HostID, c HostCursor) ([]roster.Announcement, HostCursor) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.Epoch != p.epoch {
		c.Position = 0
	}
	told, upTo := p.roster.Since(now, c.Position, to, maxAnnouncementsPerMessage)
	return told, HostCursor{Epoch: p.epoch, Position: upTo}
}

// announcementsForJoiner are those for a host that has just started, a part in each call.
func (p *peerSet) announcementsForJoiner(now time.Time, to member.HostID) []roster.Announcement {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.known[to]
	if s == nil {
		return nil
	}
	told, upTo := p.roster.Since(now, s.joinAnnouncedUpTo, to, maxAnnouncementsPerMessage)
	s.joinAnnouncedUpTo = upTo
	return told
}

// firstAvailable is the first host of the first zone's tree that isn't known to be away. The mutex is held.
func (p *peerSet) firstAvailable(now time.Time) Peer {
	silent := p.unavailable(now)
	for _, h := range p.firstZoneTree {
		if h.ID == p.self.ID && !p.stopping || h.ID != p.self.ID && !silent(h) && !now.Before(p.unreachableUntil[h.ID]) {
			return h
		}
	}
	return p.self
}

// unreachableCooldown is how long a host that a call didn't reach isn't called again that no other call
// goes to.
const unreachableCooldown = 5 * time.Second

// markUnreachable takes in that a call to a host failed.
func (p *peerSet) markUnreachable(now time.Time, id member.HostID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unreachableUntil == nil {
		p.unreachableUntil = map[member.HostID]time.Time{}
	}
	p.unreachableUntil[id] = now.Add(unreachableCooldown)
	for other, until := range p.unreachableUntil {
		if now.After(until) {
			delete(p.unreachableUntil, other)
		}
	}
}

// expectsListFromAncestor reports whether a host before this one in its zone's tree lives, from which it will
// have the list.
func (p *peerSet) expectsListFromAncestor(now time.Time) bool {
	if at, divided := p.treePosition(now); !divided || at == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.ancestors(p.unavailable(now)) {
		if s := p.known[h.ID]; s != nil && s.foundNumber != 0 && s.live(now) {
			return true
		}
	}
	return false
}

// noPeerHasList reports whether other hosts were heard, and none of them has a list yet.
func (p *peerSet) noPeerHasList() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	heard := false
	for _, s := range p.known {
		if s.foundNumber != 0 && !s.listRevision.IsZero() {
			return false
		}
		heard = heard || s.foundNumber != 0
	}
	return heard
}

// largeSiteHosts is how many hosts a site has whose list takes long to be passed on.
const largeSiteHosts = 200

// isLargeSite reports whether the site is known to have many hosts.
func (p *peerSet) isLargeSite() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Len() > largeSiteHosts
}

// markBusy has a host that gives its list to others not be asked for it for a while.
func (p *peerSet) markBusy(now time.Time, id member.HostID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[id]; s != nil {
		s.busyUntil = now.Add(busyRetryDelay/2 + rand.N(busyRetryDelay))
	}
}

// ownAnnouncement is this host's own announcement.
func (p *peerSet) ownAnnouncement(now time.Time) (count uint64, ago time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Own(now)
}

// upstreamCell is the cell whose hosts decide about an upstream.
func (p *peerSet) upstreamCell(u Upstream) cell.ID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.layout.OfUpstream(u.ID, u.Zone)
}

// cellLayout is how the zones are divided, and this host's cell.
func (p *peerSet) cellLayout() (cell.Layout, cell.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.layout, p.ownCell
}

// cellHostCounts is how many hosts of this one's cell are heard, and how many there are; both with this
// one.
func (p *peerSet) cellHostCounts(now time.Time) (heard, known int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	heard, known = 1, 1
	for _, s := range p.known {
		if s.sameCell {
			known++
			if s.live(now) {
				heard++
			}
		}
	}
	for id, h := range p.neighbours {
		if p.known[id] == nil && p.layout.OfHost(h) == p.ownCell {
			known++
		}
	}
	return heard, known
}
