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

// peerSet holds the peers that a host knows, their state, and the layout of the cells. Its methods
// are safe for concurrent use unless they say that the mutex is held.
type peerSet struct {
	self Peer

	mu    sync.Mutex
	known map[member.HostID]*peerState
	// stopping says that this host is stopping, so that other hosts take over its duties for the
	// site.
	stopping bool
	// epoch identifies this process, as its counts mean nothing after a restart. foundCount counts
	// how often a peer was found: by its first share, or by one after a long silence.
	epoch, foundCount uint64
	// maxKnown is the highest recent number of hosts known at once, and maxKnownAt is when it was
	// reached.
	maxKnown   int
	maxKnownAt time.Time
	// seeds are addresses of peers whose IDs aren't known yet.
	seeds []string
	// wake requests an immediate share to the own cell and to wokenCells.
	wake chan struct{}
	// wakeAll requests an immediate share to all peers.
	wakeAll chan struct{}
	// wokenCells are the other cells whose peers get the next share.
	wokenCells map[cell.ID]bool
	// roster lists the hosts of the site. layout is how their zones are divided into cells, computed
	// when the roster's change count was layoutRosterVersion.
	roster              *roster.Roster
	layout              cell.Layout
	layoutRosterVersion uint64
	// ownCell is this host's cell.
	ownCell cell.ID
	// neighbours are the hosts with which this host exchanges shares, without itself. zoneTree has
	// the hosts of its zone in tree order, in which each follows an earlier one; it is nil where no
	// zone is divided.
	neighbours map[member.HostID]Peer
	zoneTree   []Peer
	// otherCells are the hosts of the other cells. firstZoneTree has the hosts of the zone that
	// is first by name, in tree order. unreachableUntil is until when firstAvailable and firstHost skip a host
	// to which a call failed.
	otherCells       map[cell.ID][]Peer
	firstZoneTree    []Peer
	unreachableUntil map[member.HostID]time.Time
	// forgottenAt is when silent peers were forgotten.
	forgottenAt map[member.HostID]time.Time
}

// peerState is what a host knows of one peer.
type peerState struct {
	Peer
	// lastSeen is when the last share or follow reply came from the peer. A peer that is added
	// before any contact starts as silent: at the time of adding less sameCellSilenceTimeout.
	lastSeen time.Time
	// lastTried is when the last share to the peer was started, or when the peer was added.
	lastTried time.Time
	// originAge is the peer's OriginAge as of lastSeen; while the peer is distrusted, an age that is
	// too old to follow it.
	originAge time.Duration
	// listRevision is the point up to which the peer knows the list of upstreams.
	listRevision history.Point
	stopping     bool
	// mergesRuns says that the peer understands shares with changes of runs only, and runs is what it knows
	// of this host's runs.
	mergesRuns bool
	runs       sharedRuns
	// sharePending says that a share to the peer is in progress.
	sharePending bool
	// foundNumber is the foundCount at which the peer was last found; zero for a peer that was
	// never in contact and is known only from the directory or from other hosts.
	foundNumber uint64
	// rosterCursor is the cursor up to which this host has received the peer's announcements.
	rosterCursor HostCursor
	// lastShareFailed says that the last share to the peer failed.
	lastShareFailed bool
	// placementPauseUntil is until when the peer isn't asked for places, and unansweredCount how many pauses it has had
	// since its last message.
	placementPauseUntil time.Time
	unansweredCount     int
	// lastExchange is when both hosts last sent each other their state including their runs.
	lastExchange time.Time
	// sameCell says that the peer is in this host's cell; cell is the peer's cell.
	sameCell bool
	cell     cell.ID
	// announcedUpTo is the position in this host's roster up to which the peer received
	// announcements while this host followed it.
	announcedUpTo uint64
	// joinAnnouncedUpTo is the same for the replies to the peer's shares after it started.
	joinAnnouncedUpTo uint64
	// busyUntil is until when the peer isn't asked for its list.
	busyUntil time.Time
	// distrusted says that following the peer failed. The next share from the peer clears it; until
	// then the peer may have been in contact with other hosts only.
	distrusted bool
}

// hasPeerInZone reports whether another host of this host's zone is live and not stopping.
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

// isStopping reports whether a peer has said that it stops.
func (p *peerSet) isStopping(id member.HostID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.known[id]
	return s != nil && s.stopping
}

// live reports whether the peer counts as live: a peer of the same cell by its last message alone,
// another peer also by the result of the last share to it.
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

// recordShare records a share from a peer. It reports whether the peer was unknown before.
func (p *peerSet) recordShare(now time.Time, s Share) (isNew bool) {
	if s.From.ID == p.self.ID || s.From.ID == "" {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.AnnouncementCount > 0 {
		p.roster.Receive(now, s.From.ID, roster.Announcement{Entry: s.From, Epoch: s.Epoch, Sequence: s.AnnouncementCount, Age: s.AnnouncementAge})
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
	if !p.layout.Divided() {
		delete(p.unreachableUntil, s.From.ID)
	}
	state.originAge, state.distrusted, state.listRevision = s.OriginAge, false, s.List
	state.placementPauseUntil, state.unansweredCount = time.Time{}, 0
	return isNew
}

// shareTargets returns the peers that get a share now, and marks a share to each as pending. Peers
// with a pending share are left out. The targets are:
//   - all peers, if all is set;
//   - the peers of the woken cells;
//   - outside the interval, the live peers of the own cell;
//   - in a periodic round, the peers of the own cell that are due, live or not;
//   - in a periodic round, some neighbours in other cells, those first that were tried longest ago;
//   - in a periodic round, the peers that are behind with what they receive from no other host.
//
// shareTargets also forgets the peers that have been silent for peerForgetTimeout.
func (p *peerSet) shareTargets(now time.Time, periodic, all bool, behind func(member.HostID) bool) []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	wokenCells := p.wokenCells
	p.wokenCells = nil
	var to []Peer
	var farPeers []*peerState
	send := func(s *peerState) {
		s.sharePending, s.lastTried = true, now
		to = append(to, s.Peer)
	}
	for id, s := range p.known {
		switch {
		case now.Sub(s.lastSeen) > peerForgetTimeout:
			p.forget(now, id)
		case s.sharePending:
		case all || wokenCells[s.cell] || periodic && behind(id) || s.sameCell && !periodic && s.live(now):
			send(s)
		case s.sameCell && periodic && (!p.layout.Divided() || now.Sub(s.lastExchange) >= shareInterval-exchangeSlack):
			// A share and its reply are an exchange in both directions, so of two hosts only the
			// one whose interval ends first sends a share.
			send(s)
		case periodic && !s.sameCell && (!p.layout.Divided() || p.neighbours[id].ID != ""):
			// Hosts that have this one as a neighbour, but aren't its neighbours, send shares
			// themselves.
			farPeers = append(farPeers, s)
		}
	}
	slices.SortFunc(farPeers, func(a, b *peerState) int { return a.lastTried.Compare(b.lastTried) })
	// So many that each peer gets a share twice per otherCellSilenceTimeout.
	count := max(otherCellSharesPerInterval, (2*len(farPeers)*int(shareInterval)+int(otherCellSilenceTimeout)-1)/int(otherCellSilenceTimeout))
	if !p.layout.Divided() {
		count = otherCellSharesPerInterval
	}
	for _, s := range farPeers[:min(len(farPeers), count)] {
		send(s)
	}
	return to
}

// exchangeSlack keeps two hosts whose intervals end at about the same time from each waiting for the
// other's share.
const exchangeSlack = 50 * time.Millisecond

// recordExchange records that a peer and this host have just sent each other their state including
// their runs.
func (p *peerSet) recordExchange(now time.Time, id member.HostID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[id]; s != nil {
		s.lastExchange = now
	}
}

// markStopping withdraws this host from the duties that one host has for others.
func (p *peerSet) markStopping() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = true
}

// forget removes a peer. Where no zone is divided, followed peers then send all their
// announcements again: the forgotten peer may still be there, behind a link that was cut. The mutex
// is held.
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

// recordShareResult records the end of a share to a peer and whether it failed.
func (p *peerSet) recordShareResult(id member.HostID, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[id]; s != nil {
		s.sharePending, s.lastShareFailed = false, err != nil
	}
}

// count returns the number of peers for which holds returns true.
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

// liveHosts returns the number of live peers, plus one for this host.
func (p *peerSet) liveHosts(now time.Time) int {
	return 1 + p.count(func(s *peerState) bool { return s.live(now) })
}

// LivePeers returns the number of live peers, without this host.
func (f *Forwarder) LivePeers() int { return f.peers.liveHosts(f.now()) - 1 }

// zoneByHost returns the zone of each known peer.
func (p *peerSet) zoneByHost() map[member.HostID]member.Zone {
	p.mu.Lock()
	defer p.mu.Unlock()
	zones := make(map[member.HostID]member.Zone, len(p.known))
	for id, s := range p.known {
		zones[id] = s.Zone
	}
	return zones
}

// liveHostsInZone returns the number of live peers in this host's zone, plus one for this host.
// Where zones are divided, no host exchanges shares with the whole zone, and the number is at least
// that of all hosts in the zone's tree.
func (p *peerSet) liveHostsInZone(now time.Time) int {
	n := 1 + p.count(func(s *peerState) bool { return s.Zone == p.self.Zone && s.live(now) })
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(n, len(p.zoneTree))
}

// siteDutyHost returns the ID of the live host that has a duty which one host has for the site.
func (p *peerSet) siteDutyHost(now time.Time, duty string) member.HostID {
	if p.zonesDivided() {
		// No host knows which of all others are live.
		return p.firstHost(now).ID
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := []Peer{p.self}
	for _, s := range p.known {
		if s.live(now) {
			candidates = append(candidates, s.Peer)
		}
	}
	return member.Rank(duty, candidates)[0].ID
}

// isKnown reports whether a peer is known. The runs of a forgotten peer no longer count.
func (p *peerSet) isKnown(id member.HostID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known[id] != nil
}

// notifyOwnCell requests an immediate share to the own cell.
func (p *peerSet) notifyOwnCell() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// notifyCell requests an immediate share to the own cell and to another.
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

// notifyAll requests an immediate share to all peers.
func (p *peerSet) notifyAll() {
	select {
	case p.wakeAll <- struct{}{}:
	default:
	}
}

// hostCountWindow is how long hosts that were once known still count: hosts behind a network
// partition still send.
const hostCountWindow = 5 * time.Minute

// recentMaxHosts returns the highest number of hosts, with this one, known at once within about
// hostCountWindow.
func (p *peerSet) recentMaxHosts(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := max(len(p.known)+1, p.roster.Len()); n >= p.maxKnown || now.Sub(p.maxKnownAt) > hostCountWindow {
		p.maxKnown, p.maxKnownAt = n, now
	}
	return p.maxKnown
}
