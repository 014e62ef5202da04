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

// This file selects the neighbours of a host: the hosts with which it exchanges shares.
//
// Where no zone is divided into cells, every host is a neighbour. Otherwise the neighbours are:
//   - the hosts of its own cell,
//   - one host of each other cell,
//   - its ancestors in the tree of its zone, in which each host follows its parent,
//   - for the hosts at the top of that tree, the hosts at the top of every other zone's tree.

const (
	// maxFollowers is how many hosts follow the same host where zones are divided: the number of
	// children of a node in a zone's tree.
	maxFollowers = 8
	// maxAncestors is how many of its ancestors in the tree a host has as neighbours.
	maxAncestors = 3
	// rootsPerZone is how many hosts at the top of a zone's tree have the same number of hosts at
	// the top of each other zone's tree as neighbours.
	rootsPerZone = 2
	// silentRetryInterval is how long after it was forgotten a silent neighbour is tried again, if
	// it is still in the roster.
	silentRetryInterval = 2 * peerForgetTimeout
	// busyRetryDelay is the mean time after which this host asks a peer for its list again that was
	// busy sending it to others.
	busyRetryDelay = 200 * time.Millisecond
	// maxAnnouncementsPerMessage bounds the announcements of hosts in one message.
	maxAnnouncementsPerMessage = 400
)

// add adds a host to the known peers. The mutex is held.
func (p *peerSet) add(host Peer) *peerState {
	s := &peerState{Peer: host, cell: p.layout.HostCell(host)}
	s.sameCell = s.cell == p.ownCell
	p.known[host.ID] = s
	return s
}

// refreshRoster renews this host's announcement when that is due, removes hosts from the roster
// whose announcements have expired, and updates the neighbours.
func (p *peerSet) refreshRoster(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.Announce(now)
	p.roster.PruneExpired(now)
	p.updateLayout()
	p.trackNeighbours(now)
}

// updateLayout recomputes the cells and the neighbours after the roster has changed. The mutex is
// held.
func (p *peerSet) updateLayout() {
	if p.layoutRosterVersion == p.roster.Version() {
		return
	}
	p.layoutRosterVersion = p.roster.Version()
	hosts := p.roster.Entries()
	next := p.layout.Next(hosts)
	if !next.Equal(p.layout) {
		p.layout = next
		p.ownCell = next.HostCell(p.self)
		for _, s := range p.known {
			s.cell = next.HostCell(s.Peer)
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
		id := next.HostCell(h)
		cells[id] = append(cells[id], h)
	}
	for _, zoneHosts := range zones {
		slices.SortFunc(zoneHosts, compareTreeOrder)
	}
	p.zoneTree = zones[p.self.Zone]
	for _, h := range cells[p.ownCell] {
		p.neighbours[h.ID] = h
	}
	delete(cells, p.ownCell)
	p.otherCells, p.firstZoneTree = cells, nil
	for zone, zoneHosts := range zones {
		if len(p.firstZoneTree) == 0 || zone < p.firstZoneTree[0].Zone {
			p.firstZoneTree = zoneHosts
		}
	}
	for id, cellHosts := range cells {
		if h, found := cell.PickHost(p.self.ID, id.String(), cellHosts); found {
			p.neighbours[h.ID] = h
		}
	}
	for _, h := range p.ancestors(nil) {
		p.neighbours[h.ID] = h
	}
	if at := slices.Index(p.zoneTree, p.self); at >= 0 && at < rootsPerZone {
		for zone, zoneHosts := range zones {
			for _, h := range zoneHosts[:min(len(zoneHosts), rootsPerZone)] {
				if zone != p.self.Zone {
					p.neighbours[h.ID] = h
				}
			}
		}
	}
	delete(p.neighbours, p.self.ID)
}

// trackNeighbours picks another neighbour in each other cell that has no available one, and adds
// all neighbours to the known peers. A neighbour that was forgotten is added again after
// silentRetryInterval. The mutex is held.
func (p *peerSet) trackNeighbours(now time.Time) {
	unavailable := p.unavailable(now)
	for id, cellHosts := range p.otherCells {
		if !slices.ContainsFunc(cellHosts, func(h Peer) bool { return p.neighbours[h.ID].ID != "" && !unavailable(h) }) {
			candidates := slices.DeleteFunc(slices.Clone(cellHosts), unavailable)
			if h, found := cell.PickHost(p.self.ID, id.String(), candidates); found {
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

// compareTreeOrder orders the hosts of a zone's tree: hosts of higher capacity come first, so that
// others follow them; hosts of equal capacity are in the order of their IDs.
func compareTreeOrder(a, b Peer) int {
	return cmp.Or(-cmp.Compare(a.Capacity, b.Capacity), cmp.Compare(a.ID, b.ID))
}

// ancestors returns up to maxAncestors hosts above this one in its zone's tree, its parent first.
// The tree is built without the excluded hosts. The mutex is held.
func (p *peerSet) ancestors(excluded func(Peer) bool) []Peer {
	order := p.zoneTree
	if excluded != nil {
		order = slices.DeleteFunc(slices.Clone(order), func(h Peer) bool { return h.ID != p.self.ID && excluded(h) })
	}
	at := slices.IndexFunc(order, func(h Peer) bool { return h.ID == p.self.ID })
	var ancestors []Peer
	for at > 0 && len(ancestors) < maxAncestors {
		at = (at - 1) / maxFollowers
		ancestors = append(ancestors, order[at])
	}
	return ancestors
}

// unavailable returns a function that reports whether a host is known to be silent or stopping, or
// was recently forgotten for its silence. A host that was never tried counts as available. The
// mutex is held, also while the function is called.
func (p *peerSet) unavailable(now time.Time) func(Peer) bool {
	return func(h Peer) bool {
		s := p.known[h.ID]
		return s != nil && (!s.live(now) || s.stopping) || !p.forgottenAt[h.ID].IsZero()
	}
}

// treeLeader returns the nearest available ancestor in the zone's tree whose list is fresh. The
// mutex is held.
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

// inOtherCell reports whether a host is known, zones are divided, and the host belongs to another
// cell.
func (p *peerSet) inOtherCell(id member.HostID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.known[id]
	return p.layout.Divided() && s != nil && !s.sameCell
}

// inSameCell reports whether a host is known, zones are divided, and the host belongs to this
// host's cell.
func (p *peerSet) inSameCell(id member.HostID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.known[id]
	return p.layout.Divided() && s != nil && s.sameCell
}

// inOwnCell reports whether a peer is known and in this host's cell; an undivided zone is one cell.
func (p *peerSet) inOwnCell(id member.HostID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.known[id]
	return s != nil && s.sameCell
}

// zonesDivided reports whether any zone has more than one cell.
func (p *peerSet) zonesDivided() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.layout.Divided()
}

// treePosition returns how many available hosts come before this one in its zone's tree. It
// returns false where no zone is divided.
func (p *peerSet) treePosition(now time.Time) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.layout.Divided() || len(p.zoneTree) == 0 {
		return 0, false
	}
	unavailable, at := p.unavailable(now), 0
	for _, h := range p.zoneTree {
		if h.ID == p.self.ID {
			return at, true
		}
		if !unavailable(h) {
			at++
		}
	}
	return at, true
}

// receiveAnnouncements records announcements of hosts that a peer forwards.
func (p *peerSet) receiveAnnouncements(now time.Time, from member.HostID, announcements []roster.Announcement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range announcements {
		p.roster.Receive(now, from, a)
	}
	p.updateLayout()
	p.trackNeighbours(now)
}

// announcementsForLeader returns the announcements that a followed host may not have yet, and the
// roster position up to which they go, for recordAnnouncedUpTo.
func (p *peerSet) announcementsForLeader(now time.Time, to member.HostID) ([]roster.Announcement, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.known[to]
	if s == nil {
		return nil, 0
	}
	return p.roster.AnnouncementsSince(now, s.announcedUpTo, to, maxAnnouncementsPerMessage)
}

// recordAnnouncedUpTo records up to which roster position a followed host has received
// announcements.
func (p *peerSet) recordAnnouncedUpTo(to member.HostID, upTo uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[to]; s != nil {
		s.announcedUpTo = max(s.announcedUpTo, upTo)
	}
}

// announcementsForFollower returns the announcements for a host that follows this one since an
// earlier reply, which had the cursor, and the cursor for the next reply. The cursor of an earlier
// process of this host starts from the beginning.
func (p *peerSet) announcementsForFollower(now time.Time, to member.HostID, cursor HostCursor) ([]roster.Announcement, HostCursor) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cursor.Epoch != p.epoch {
		cursor.Position = 0
	}
	announcements, upTo := p.roster.AnnouncementsSince(now, cursor.Position, to, maxAnnouncementsPerMessage)
	return announcements, HostCursor{Epoch: p.epoch, Position: upTo}
}

// announcementsForJoiner returns announcements for a host that has just started: the next batch
// with each call.
func (p *peerSet) announcementsForJoiner(now time.Time, to member.HostID) []roster.Announcement {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.known[to]
	if s == nil {
		return nil
	}
	announcements, upTo := p.roster.AnnouncementsSince(now, s.joinAnnouncedUpTo, to, maxAnnouncementsPerMessage)
	s.joinAnnouncedUpTo = upTo
	return announcements
}

// firstAvailable returns the first available host of the first zone's tree that isn't stopping, or
// this host if there is none. The mutex is held.
func (p *peerSet) firstAvailable(now time.Time) Peer {
	unavailable := p.unavailable(now)
	for _, h := range p.firstZoneTree {
		if h.ID == p.self.ID && !p.stopping || h.ID != p.self.ID && !unavailable(h) && !now.Before(p.unreachableUntil[h.ID]) {
			return h
		}
	}
	return p.self
}

// unreachableCooldown is how long firstAvailable passes over a host after a call to it failed. It
// is for hosts to which this one makes no other calls, so that nothing else shows that they are
// back.
const unreachableCooldown = 5 * time.Second

// markUnreachable records that a call to a host failed.
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

// expectsListFromAncestor reports whether an ancestor in the zone's tree is live and has been in
// contact, so that this host can wait for the list of upstreams from it.
func (p *peerSet) expectsListFromAncestor(now time.Time) bool {
	if position, divided := p.treePosition(now); !divided || position == 0 {
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

// noPeerHasList reports whether other hosts have been in contact, and none of them has a list of
// upstreams yet.
func (p *peerSet) noPeerHasList() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	anyFound := false
	for _, s := range p.known {
		if s.foundNumber != 0 && !s.listRevision.IsZero() {
			return false
		}
		anyFound = anyFound || s.foundNumber != 0
	}
	return anyFound
}

// largeSiteHosts is the number of hosts above which the list of upstreams takes long to propagate.
const largeSiteHosts = 200

// isLargeSite reports whether the roster has more than largeSiteHosts hosts.
func (p *peerSet) isLargeSite() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Len() > largeSiteHosts
}

// markBusy keeps this host from asking a peer for its list for a while, as the peer is busy sending
// it to others. The delay is drawn, so that waiting hosts don't ask at the same time.
func (p *peerSet) markBusy(now time.Time, id member.HostID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[id]; s != nil {
		s.busyUntil = now.Add(busyRetryDelay/2 + rand.N(busyRetryDelay))
	}
}

// ownAnnouncement returns the number of this host's last announcement and how long ago it was made;
// zeros before the first.
func (p *peerSet) ownAnnouncement(now time.Time) (count uint64, ago time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.OwnAnnouncement(now)
}

// upstreamCell returns the cell whose hosts decide about an upstream.
func (p *peerSet) upstreamCell(u Upstream) cell.ID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.layout.UpstreamCell(u.ID, u.Zone)
}

// cellLayout returns how the zones are divided, and this host's cell.
func (p *peerSet) cellLayout() (cell.Layout, cell.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.layout, p.ownCell
}

// cellHostCounts returns how many hosts of this host's cell are live and how many are known, both
// including this one.
func (p *peerSet) cellHostCounts(now time.Time) (live, known int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	live, known = 1, 1
	for _, s := range p.known {
		if s.sameCell {
			known++
			if s.live(now) {
				live++
			}
		}
	}
	for id, h := range p.neighbours {
		if p.known[id] == nil && p.layout.HostCell(h) == p.ownCell {
			known++
		}
	}
	return live, known
}
