// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/shedpath/shedpath/cell"
	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/roster"
)

// peerSet is what a host knows of its peers.
type peerSet struct {
	self Peer

	mu    sync.Mutex
	known map[member.HostID]*peerState
	// stopping says that this host does: others take over what it does for all.
	stopping bool
	// epoch tells this process's counts from those of an earlier one, and foundCount
	// counts the peers that were heard for the first time, or again after a silence.
	epoch, foundCount uint64
	// maxKnown is how many hosts were known at once, lately, and mostAt when.
	maxKnown   int
	maxKnownAt time.Time
	// seeds are addresses of peers whose names aren't known yet.
	seeds []string
	// wake asks for a share to the own zone at once.
	wake chan struct{}
	// wakeAll asks for a share to all peers at once.
	wakeAll chan struct{}
	// wokenCells are other cells whose peers are to be told at once.
	wokenCells map[cell.ID]bool
	// roster is which hosts there are, and layout how their zones are divided, as of layoutAt.
	roster              *roster.Roster
	layout              cell.Layout
	layoutRosterVersion uint64
	// ownCell is this host's cell.
	ownCell cell.ID
	// neighbours are the hosts that this one keeps in touch with; zoneOrder the hosts of its zone
	// in the order in which they follow each other, where the zone is divided.
	neighbours map[member.HostID]Peer
	zoneTree   []Peer
	// otherCells are the hosts of the other otherCells, and firstZone those of the first zone in the order of
	// its tree; unreached are hosts that a call didn't reach, until when they aren't called.
	otherCells       map[cell.ID][]Peer
	firstZoneTree    []Peer
	unreachableUntil map[member.HostID]time.Time
	// forgottenAt are when silent neighbours were forgotten.
	forgottenAt map[member.HostID]time.Time
}

// peerState is what a host knows of one peer.
type peerState struct {
	Peer
	// lastSeen is when it last said something.
	lastSeen  time.Time
	lastTried time.Time
	originAge time.Duration
	// listRevision is up to where it knows the listRevision of upstreams.
	listRevision history.Point
	stopping     bool
	// sharePending says that a share to it is under way.
	sharePending bool
	// foundNumber is the count of found when it was heard first; zero for one that others
	// only told of.
	foundNumber uint64
	// rosterCursor is up to where this host has its peers.
	rosterCursor HostCursor
	// lastShareFailed says that the last share didn't arrive.
	lastShareFailed bool
	// lastExchange is when both last told each other all, their runs included.
	lastExchange time.Time
	// sameCell says that it is of this host's cell, and of is its cell.
	sameCell bool
	cell     cell.ID
	// announcedUpTo is up to where it was told of this host's roster when it was followed.
	announcedUpTo uint64
	// joinAnnouncedUpTo is the same for what it was told when it started, and busyUntil is until when it is
	// not asked for its list.
	joinAnnouncedUpTo uint64
	busyUntil         time.Time
	// distrusted says that it couldn't be followed; it may have spoken since
	// only to others.
	distrusted bool
}

// hasPeerInZone reports whether another host of this one's zone takes requests.
func (p *peerSet) hasPeerInZone(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.known {
		if s.Zone == p.self.Zone && !s.stopping && s.live(now) {
			return true
		}
	}
	return false
}

// live reports whether the peer is believed to be there.
func (s *peerState) live(now time.Time) bool {
	if s.sameCell {
		return now.Sub(s.lastSeen) <= sameCellSilenceTimeout
	}
	return !s.lastShareFailed && now.Sub(s.lastSeen) <= otherCellSilenceTimeout
}

func newPeerSet(self Peer, seeds []string) *peerSet {
	epoch := rand.Uint64()
	return &peerSet{
		self: self, known: map[member.HostID]*peerState{}, epoch: epoch, seeds: seeds,
		wake: make(chan struct{}, 1), wakeAll: make(chan struct{}, 1),
		roster: roster.New(self, epoch), ownCell: cell.ID{Zone: self.Zone}, forgottenAt: map[member.HostID]time.Time{},
	}
}

// recordShare takes in what a peer said.
func (p *peerSet) recordShare(now time.Time, s Share) (isNew bool) {
	if s.From.ID == p.self.ID || s.From.ID == "" {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.AnnouncementCount > 0 {
		p.roster.Receive(now, s.From.ID, roster.Announcement{Entry: s.From, Epoch: s.Epoch, Count: s.AnnouncementCount, Age: s.AnnouncementAge})
	}
	state := p.known[s.From.ID]
	if state == nil {
		state = p.add(s.From)
		isNew = true
	}
	if state.foundNumber == 0 || now.Sub(state.lastSeen) > otherCellSilenceTimeout {
		p.foundCount++
		state.foundNumber = p.foundCount
	}
	state.Peer, state.lastSeen, state.stopping, state.lastShareFailed = s.From, now, s.Stopping, false
	state.originAge, state.distrusted, state.listRevision = s.OriginAge, false, s.List
	return isNew
}

// shareTargets returns the peers to share with now, and marks them as being sent to:
// those of the own zone, and when the period is over some of the other zones, or
// every peer when each must know; those of the zones that were woken; and those that
// are behind with what they hear from nobody else.
func (p *peerSet) shareTargets(now time.Time, period, every bool, behind func(member.HostID) bool) []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	woken := p.wokenCells
	p.wokenCells = nil
	var to []Peer
	var far []*peerState
	send := func(s *peerState) {
		s.sharePending, s.lastTried = true, now
		to = append(to, s.Peer)
	}
	for id, s := range p.known {
		switch {
		case now.Sub(s.lastSeen) > peerForgetTimeout:
			p.forget(now, id)
		case s.sharePending:
		case every || woken[s.cell] || period && behind(id) || s.sameCell && !period && s.live(now):
			send(s)
		case s.sameCell && period && (!p.layout.Divided() || now.Sub(s.lastExchange) >= shareInterval-exchangeSlack):
			// Of two hosts the one calls whose period is over first, and the other answers.
			send(s)
		case period && !s.sameCell && (!p.layout.Divided() || p.neighbours[id].ID != ""):
			// Others that chose this host call it by themselves.
			far = append(far, s)
		}
	}
	slices.SortFunc(far, func(a, b *peerState) int { return a.lastTried.Compare(b.lastTried) })
	// As many that each is told well before it would count as silent.
	count := max(otherCellSharesPerInterval, (2*len(far)*int(shareInterval)+int(otherCellSilenceTimeout)-1)/int(otherCellSilenceTimeout))
	if !p.layout.Divided() {
		count = otherCellSharesPerInterval
	}
	for _, s := range far[:min(len(far), count)] {
		send(s)
	}
	return to
}

// exchangeSlack keeps two hosts of about the same period from waiting for each other.
const exchangeSlack = 50 * time.Millisecond

// recordExchange takes in that a peer and this host have told each other all.
func (p *peerSet) recordExchange(now time.Time, id member.HostID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[id]; s != nil {
		s.lastExchange = now
	}
}

// markStopping has this host do nothing more for all.
func (p *peerSet) markStopping() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = true
}

// forget drops a peer. Where its zone isn't divided, the peers that are followed tell all of
// theirs again: it may be there still, behind a link that was cut.
func (p *peerSet) forget(now time.Time, id member.HostID) {
	delete(p.known, id)
	p.forgottenAt[id] = now
	if p.layout.Divided() {
		return
	}
	for _, s := range p.known {
		s.rosterCursor = HostCursor{}
	}
}

func (p *peerSet) recordShareResult(id member.HostID, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[id]; s != nil {
		s.sharePending, s.lastShareFailed = false, err != nil
	}
}

// count counts the peers for which something holds.
func (p *peerSet) count(holds func(*peerState) bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.known {
		if holds(s) {
			n++
		}
	}
	return n
}

// liveHosts counts this host and the peers that were heard lately.
func (p *peerSet) liveHosts(now time.Time) int {
	return 1 + p.count(func(s *peerState) bool { return s.live(now) })
}

// LivePeers counts the other hosts that were heard lately.
func (f *Forwarder) LivePeers() int { return f.peers.liveHosts(f.now()) - 1 }

// zoneByHost tells the zone of each known peer.
func (p *peerSet) zoneByHost() map[member.HostID]member.Zone {
	p.mu.Lock()
	defer p.mu.Unlock()
	zones := make(map[member.HostID]member.Zone, len(p.known))
	for id, s := range p.known {
		zones[id] = s.Zone
	}
	return zones
}

// liveHostsInZone counts this host and the peers of its zone that were heard lately.
func (p *peerSet) liveHostsInZone(now time.Time) int {
	n := 1 + p.count(func(s *peerState) bool { return s.Zone == p.self.Zone && s.live(now) })
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(n, len(p.zoneTree))
}

// siteDutyHost names the live host that has a duty of which there is one for the whole site.
func (p *peerSet) siteDutyHost(now time.Time, duty string) member.HostID {
	if p.zonesDivided() {
		// No host knows all others that live.
		return p.firstHost(now).ID
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	among := []Peer{p.self}
	for _, s := range p.known {
		if s.live(now) {
			among = append(among, s.Peer)
		}
	}
	return member.Rank(duty, among)[0].ID
}

// isKnown reports whether a peer is still remembered; the runs of one that isn't are
// no longer counted.
func (p *peerSet) isKnown(id member.HostID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known[id] != nil
}

// notifyOwnCell asks for a share to the own zone at once.
func (p *peerSet) notifyOwnCell() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// notifyCell asks for a share to the own cell and another at once.
func (p *peerSet) notifyCell(id cell.ID) {
	p.mu.Lock()
	if id != p.ownCell {
		if p.wokenCells == nil {
			p.wokenCells = map[cell.ID]bool{}
		}
		p.wokenCells[id] = true
	}
	p.mu.Unlock()
	p.notifyOwnCell()
}

// notifyAll asks for a share to all peers at once.
func (p *peerSet) notifyAll() {
	select {
	case p.wakeAll <- struct{}{}:
	default:
	}
}

// hostCountWindow is how long hosts that were once known are counted: hosts behind a cut
// still send.
const hostCountWindow = 5 * time.Minute

// recentMaxHosts is how many hosts, with this one, were known at once in the last minutes.
func (p *peerSet) recentMaxHosts(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := max(len(p.known)+1, p.roster.Len()); n >= p.maxKnown || now.Sub(p.maxKnownAt) > hostCountWindow {
		p.maxKnown, p.maxKnownAt = n, now
	}
	return p.maxKnown
}
