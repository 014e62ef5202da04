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
	// followersMost is how many hosts follow one, where a zone is divided.
	followersMost = 8
	// ancestorsKept is how many of those before it in the tree a host keeps in touch with.
	ancestorsKept = 3
	// rootsKept is how many hosts at the top of a zone's tree keep in touch with as many of each
	// other zone's.
	rootsKept = 2
	// triedAgain is how long after it was forgotten for its silence a host is tried again that is
	// still announced.
	triedAgain = 2 * peerForgotten
	// busyPause is the mean time after which a host that gives its list to others is asked again.
	busyPause = 200 * time.Millisecond
	// newsPerCall bounds the announcements of hosts in one message.
	newsPerCall = 400
)

// add has a host be known. The mutex is held.
func (p *peerSet) add(host Peer) *peerState {
	s := &peerState{Peer: host, of: p.layout.OfHost(host)}
	s.near = s.of == p.own
	p.known[host.ID] = s
	return s
}

// announce has this host be announced anew when that is due, and forgets hosts that aren't any
// more.
func (p *peerSet) announce(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.Announce(now)
	p.roster.Forget(now)
	p.relayout()
	p.keepNeighbours(now)
}

// relayout works out the cells and the neighbours anew when hosts have come or gone. The mutex is
// held.
func (p *peerSet) relayout() {
	if p.layoutAt == p.roster.Changed() {
		return
	}
	p.layoutAt = p.roster.Changed()
	hosts := p.roster.Entries()
	next := p.layout.Next(hosts)
	if !next.Equal(p.layout) {
		p.layout = next
		p.own = next.OfHost(p.self)
		for _, s := range p.known {
			s.of = next.OfHost(s.Peer)
			s.near = s.of == p.own
		}
	}
	p.neighbours, p.zoneOrder = make(map[member.HostID]Peer, len(hosts)), nil
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
		slices.SortFunc(of, inTreeOrder)
	}
	p.zoneOrder = zones[p.self.Zone]
	for _, h := range cells[p.own] {
		p.neighbours[h.ID] = h
	}
	delete(cells, p.own)
	p.cells, p.firstZone = cells, nil
	for zone, of := range zones {
		if len(p.firstZone) == 0 || zone < p.firstZone[0].Zone {
			p.firstZone = of
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
	if at := slices.Index(p.zoneOrder, p.self); at >= 0 && at < rootsKept {
		for zone, of := range zones {
			for _, h := range of[:min(len(of), rootsKept)] {
				if zone != p.self.Zone {
					p.neighbours[h.ID] = h
				}
			}
		}
	}
	delete(p.neighbours, p.self.ID)
}

// keepNeighbours has the neighbours be known. One that was silent for long is tried again now and
// then. The mutex is held.
func (p *peerSet) keepNeighbours(now time.Time) {
	silent := p.silent(now)
	for id, of := range p.cells {
		if !slices.ContainsFunc(of, func(h Peer) bool { return p.neighbours[h.ID].ID != "" && !silent(h) }) {
			others := slices.DeleteFunc(slices.Clone(of), silent)
			if h, found := cell.Pick(p.self.ID, id.String(), others); found {
				p.neighbours[h.ID] = h
			}
		}
	}
	for id, h := range p.neighbours {
		if p.known[id] != nil || now.Sub(p.dropped[id]) < triedAgain {
			continue
		}
		s := p.add(h)
		s.tried, s.heard = now, now.Add(-peerSilent)
	}
	for id, at := range p.dropped {
		if now.Sub(at) >= triedAgain {
			delete(p.dropped, id)
		}
	}
}

// inTreeOrder orders the hosts of a zone: those that can carry more are followed by others.
func inTreeOrder(a, b Peer) int {
	return cmp.Or(-cmp.Compare(a.Capacity, b.Capacity), cmp.Compare(a.ID, b.ID))
}

// ancestors are the hosts before this one in its zone's tree, the one that it follows first, but
// for those that won't do. The mutex is held.
func (p *peerSet) ancestors(without func(Peer) bool) []Peer {
	order := p.zoneOrder
	if without != nil {
		order = slices.DeleteFunc(slices.Clone(order), func(h Peer) bool { return h.ID != p.self.ID && without(h) })
	}
	at := slices.IndexFunc(order, func(h Peer) bool { return h.ID == p.self.ID })
	var all []Peer
	for at > 0 && len(all) < ancestorsKept {
		at = (at - 1) / followersMost
		all = append(all, order[at])
	}
	return all
}

// silent reports whether a host was tried and isn't there, as far as this one knows. The mutex is
// held.
func (p *peerSet) silent(now time.Time) func(Peer) bool {
	return func(h Peer) bool {
		s := p.known[h.ID]
		return s != nil && (!s.live(now) || s.stopping) || !p.dropped[h.ID].IsZero()
	}
}

// treeLeader is the nearest of those before this host in its zone's tree whose list is fresh.
func (p *peerSet) treeLeader(now time.Time) (Peer, bool) {
	for _, h := range p.ancestors(p.silent(now)) {
		s := p.known[h.ID]
		if s == nil {
			s = p.add(h)
			s.heard = now.Add(-peerSilent)
		}
		if !s.stopping && !s.distrusted && s.originAge <= maxOriginProofAge {
			return s.Peer, true
		}
	}
	return Peer{}, false
}

// isFar reports whether a host is of another cell of a site whose zones are divided.
func (p *peerSet) isFar(id member.HostID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.known[id]
	return p.layout.Divided() && s != nil && !s.near
}

// isNear reports whether a host is of this one's cell, of a site whose zones are divided.
func (p *peerSet) isNear(id member.HostID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.known[id]
	return p.layout.Divided() && s != nil && s.near
}

// divided reports whether this host's zone has more than one cell.
func (p *peerSet) divided() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.layout.Divided()
}

// place is this host's place among those of its zone's tree that live, as far as it knows; false
// where the zone isn't divided.
func (p *peerSet) place(now time.Time) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.layout.Divided() || len(p.zoneOrder) == 0 {
		return 0, false
	}
	silent, at := p.silent(now), 0
	for _, h := range p.zoneOrder {
		if h.ID == p.self.ID {
			return at, true
		}
		if !silent(h) {
			at++
		}
	}
	return at, true
}

// takeAnnouncements takes in what a peer passes on of hosts.
func (p *peerSet) takeAnnouncements(now time.Time, from member.HostID, told []roster.Announcement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range told {
		p.roster.Receive(now, from, a)
	}
	p.relayout()
	p.keepNeighbours(now)
}

// announcementsFor are those that a host which is followed isn't known to have, and up to where
// they go.
func (p *peerSet) announcementsFor(now time.Time, to member.HostID) ([]roster.Announcement, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.known[to]
	if s == nil {
		return nil, 0
	}
	return p.roster.Since(now, s.toldUp, to, newsPerCall)
}

// toldUp takes in that a host which is followed was told of hosts.
func (p *peerSet) toldUp(to member.HostID, upTo uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[to]; s != nil {
		s.toldUp = max(s.toldUp, upTo)
	}
}

// announcementsSince are those for a host that follows this one, since an earlier answer.
func (p *peerSet) announcementsSince(now time.Time, to member.HostID, c HostCursor) ([]roster.Announcement, HostCursor) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.Epoch != p.epoch {
		c.Position = 0
	}
	told, upTo := p.roster.Since(now, c.Position, to, newsPerCall)
	return told, HostCursor{Epoch: p.epoch, Position: upTo}
}

// announcementsForNew are those for a host that has just started, a part in each call.
func (p *peerSet) announcementsForNew(now time.Time, to member.HostID) []roster.Announcement {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.known[to]
	if s == nil {
		return nil
	}
	told, upTo := p.roster.Since(now, s.toldNew, to, newsPerCall)
	s.toldNew = upTo
	return told
}

// firstOfAll is the first host of the first zone's tree that isn't known to be away. The mutex is held.
func (p *peerSet) firstOfAll(now time.Time) Peer {
	silent := p.silent(now)
	for _, h := range p.firstZone {
		if h.ID == p.self.ID && !p.stopping || h.ID != p.self.ID && !silent(h) && !now.Before(p.unreached[h.ID]) {
			return h
		}
	}
	return p.self
}

// unreachedFor is how long a host that a call didn't reach isn't called again that no other call
// goes to.
const unreachedFor = 5 * time.Second

// notReached takes in that a call to a host failed.
func (p *peerSet) notReached(now time.Time, id member.HostID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unreached == nil {
		p.unreached = map[member.HostID]time.Time{}
	}
	p.unreached[id] = now.Add(unreachedFor)
	for other, until := range p.unreached {
		if now.After(until) {
			delete(p.unreached, other)
		}
	}
}

// awaitsList reports whether a host before this one in its zone's tree lives, from which it will
// have the list.
func (p *peerSet) awaitsList(now time.Time) bool {
	if at, divided := p.place(now); !divided || at == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.ancestors(p.silent(now)) {
		if s := p.known[h.ID]; s != nil && s.foundAt != 0 && s.live(now) {
			return true
		}
	}
	return false
}

// noneHasList reports whether other hosts were heard, and none of them has a list yet.
func (p *peerSet) noneHasList() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	heard := false
	for _, s := range p.known {
		if s.foundAt != 0 && !s.list.IsZero() {
			return false
		}
		heard = heard || s.foundAt != 0
	}
	return heard
}

// largeSite is how many hosts a site has whose list takes long to be passed on.
const largeSite = 200

// isLarge reports whether the site is known to have many hosts.
func (p *peerSet) isLarge() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Len() > largeSite
}

// busy has a host that gives its list to others not be asked for it for a while.
func (p *peerSet) busy(now time.Time, id member.HostID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[id]; s != nil {
		s.busyUntil = now.Add(busyPause/2 + rand.N(busyPause))
	}
}

// announced is this host's own announcement.
func (p *peerSet) announced(now time.Time) (count uint64, ago time.Duration) {
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
	return p.layout, p.own
}

// cellHosts is how many hosts of this one's cell are heard, and how many there are; both with this
// one.
func (p *peerSet) cellHosts(now time.Time) (heard, known int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	heard, known = 1, 1
	for _, s := range p.known {
		if s.near {
			known++
			if s.live(now) {
				heard++
			}
		}
	}
	for id, h := range p.neighbours {
		if p.known[id] == nil && p.layout.OfHost(h) == p.own {
			known++
		}
	}
	return heard, known
}
