// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
)

// watchTimeout is how long a watch waits. Changes end it at once, but a watch
// may miss them, so its silence is believed no longer than this: half of
// the time in which a configuration has to be in force.
const watchTimeout = time.Second

// follower keeps the configuration and the list of upstreams up to date, from
// the origin or from a peer that watches the origin.
type follower struct {
	*Forwarder
	origin       Origin
	originStatus dependencyStatus
	// needsFullRead says that everything has to be needsFullRead; at is the point that a watch
	// goes on from.
	needsFullRead bool
	watchFrom     history.Point
	// historyGoneCount are the watches in a row whose point the origin didn't have.
	historyGoneCount int
	// lastConfigRead is when everything was last read because a newer configuration is
	// known of than the one in force, and configReads how often in a row.
	lastConfigRead  time.Time
	configReadCount int
	// startedAt is when this host started to follow.
	startedAt time.Time
	// nextOriginRetry is when an origin that failed is asked again although a peer can be
	// followed.
	nextOriginRetry time.Time
	// unreadEntries counts the entries that couldn't be read since that was last logged, at
	// unreadNoted.
	unreadEntries  int
	unreadLoggedAt time.Time
	// zonesAvoidedUntil are the zones whose hosts couldn't be followed, until when.
	zonesAvoidedUntil map[member.Zone]time.Time
}

// While no peer is known, soloWatchPause is waited between two watches, but not for
// longer than soloPausePeriod after the start: a site may have one host.
const (
	soloWatchPause  = 300 * time.Millisecond
	soloPausePeriod = 3 * time.Second
)

// originRetryDelay is how long a host whose origin failed follows a peer before it
// tries the origin again.
const originRetryDelay = 4 * time.Second

const (
	// hostsPerRetryDelay is how many hosts of a zone try an origin that is down at the
	// usual pace; with more of them each pauses longer. The first that regains
	// it is followed by the others.
	hostsPerRetryDelay = 4
	// followableCheckInterval is how often a host that pauses looks for such a peer.
	followableCheckInterval = 100 * time.Millisecond
)

// A host that starts takes everything over from a peer, if it finds one in time: a
// reading of the origin takes a call for each page, and many hosts start together.
const (
	// defaultJoinTimeout is how long a host looks for such a peer. Its callers are sent to others
	// meanwhile, and a peer answers within some milliseconds.
	defaultJoinTimeout = 250 * time.Millisecond
	// firstStartJoinTimeout is the same when the site starts for the first time: there are no
	// callers, and the peers have only just begun to read.
	firstStartJoinTimeout = time.Second
	// maxJoinTimeout is the same where many hosts take the list over one after the other.
	maxJoinTimeout = 8 * time.Second
	// directoryReadTimeout bounds the reading of the directory: the store may be silent, and a peer be
	// found meanwhile.
	directoryReadTimeout = 300 * time.Millisecond
	// joinCheckInterval is how often it looks.
	joinCheckInterval = 10 * time.Millisecond
	// leaderCheckInterval is how often a host that has just joined looks for whom to follow.
	leaderCheckInterval = 50 * time.Millisecond
)

// Follow keeps the configuration and the list of upstreams up to date until the
// context ends.
func (f *Forwarder) Follow(ctx context.Context, origin Origin) {
	w := &follower{Forwarder: f, origin: origin, originStatus: dependencyStatus{name: "store", journal: f.journal, now: f.now}, needsFullRead: true, startedAt: f.now()}
	w.join(ctx)
	for ctx.Err() == nil {
		if w.followLeader(ctx) {
			continue
		}
		if w.awaitsLeader(f.now()) {
			PauseFor(ctx, leaderCheckInterval)
			continue
		}
		w.followOrigin(ctx)
	}
}

// join takes everything over from a peer that is up to date, unless none is found in time;
// then what one has that isn't: the origin may be silent for seconds.
func (w *follower) join(ctx context.Context) {
	deadline, finalDeadline := w.startedAt.Add(w.joinTimeout()), w.startedAt.Add(maxJoinTimeout)
	for w.now().Before(deadline) && !w.peers.anyFound() {
		PauseFor(ctx, joinCheckInterval)
	}
	if !w.peers.anyFound() && w.readDirectory(ctx) {
		deadline = w.now().Add(w.joinTimeout())
	}
	for ctx.Err() == nil && (w.now().Before(deadline) || w.now().Before(finalDeadline) && w.expectsPeerList(w.now())) {
		peer, found := w.peers.joinable(w.now())
		if found && w.followPeer(ctx, peer, originDownBounds) && w.catchUpConfig(ctx, peer) {
			w.markCaughtUp()
			w.journal.Belief("joined", "peer", peer.ID, "version", w.versionInForce(), "list_revision", w.watchFrom, "after", w.now().Sub(w.startedAt))
			return
		}
		PauseFor(ctx, joinCheckInterval)
	}
	w.takeStaleList(ctx)
}

// expectsPeerList reports whether other hosts will have the list that this one can take over from: those
// that are named to all as a site starts for the first time read it, and in a large site those before
// this one.
func (w *follower) expectsPeerList(now time.Time) bool {
	firstReads := w.settings.FirstStart && w.joinTimeout() > 0 && w.peers.noneHasList()
	return firstReads || w.peers.awaitsList(now)
}

// readDirectory has the hosts on the directory be known to a host that has found none. It reports
// whether there are any.
func (w *follower) readDirectory(ctx context.Context) bool {
	reader, ok := w.origin.(HostsReader)
	if !ok || w.joinTimeout() == 0 {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, directoryReadTimeout)
	defer cancel()
	hosts, err := reader.Hosts(callCtx)
	if err != nil {
		w.journal.Belief("directory not read", "err", err)
		return false
	}
	w.peers.list(w.now(), hosts)
	w.peers.notifyAll()
	return len(hosts) > 0
}

// catchUpConfig takes over the configuration that a peer has offered. It reports whether
// this host is up to date with that.
func (w *follower) catchUpConfig(ctx context.Context, peer Peer) bool {
	if w.versionInForce() < w.newestKnownVersion() {
		w.fetchConfig(ctx, w.loadPeerPort(), peer)
	}
	return w.versionInForce() >= w.newestKnownVersion()
}

// awaitsLeader reports whether this host has just joined, and knows one that comes before
// it in the order of leaders but that can't be followed yet.
func (w *follower) awaitsLeader(now time.Time) bool {
	return !w.needsFullRead && w.originStatus.failures == 0 && now.Sub(w.startedAt) < startLasts && w.peers.hasEarlier(now)
}

// joinTimeout is how long this host looks for a peer to join: not at all if it knows no
// address, or is one of those that others join when the site starts.
func (w *follower) joinTimeout() time.Duration {
	switch firstStart := w.settings.FirstStart; {
	case len(w.peers.seeds) == 0, firstStart && slices.Contains(w.peers.seeds, w.peers.self.PeerAddress):
		return 0
	case firstStart:
		return firstStartJoinTimeout
	default:
		return defaultJoinTimeout
	}
}

// markCaughtUp takes in that a peer has told all that it knows: nothing has to be read
// again, and a watch goes on from there.
func (w *follower) markCaughtUp() {
	w.needsFullRead, w.watchFrom = false, history.Latest(w.watchFrom, w.fleet.Revision())
}

// followLeader takes over what a peer has that is newer. It reports false when
// this host has to ask the origin itself.
func (w *follower) followLeader(ctx context.Context) bool {
	now := w.now()
	originDown := w.originStatus.failures > 0 && now.Before(w.nextOriginRetry)
	if w.needsFullRead && !originDown {
		return false
	}
	if !w.followPreferredPeer(ctx, now, originDown) {
		return false
	}
	w.markCaughtUp()
	if !originDown {
		// Another host has the origin again; this one needn't ask.
		w.originStatus.recordSuccess(now)
	}
	return true
}

// followPreferredPeer follows the leader of the zone, or any fresh host when that is needed;
// the leader itself follows another zone's host.
func (w *follower) followPreferredPeer(ctx context.Context, now time.Time, originDown bool) bool {
	leader, found := w.peers.leader(now, originDown)
	switch {
	case found && originDown:
		return w.followPeer(ctx, leader, originDownBounds)
	case found:
		return w.followPeer(ctx, leader, leaderBounds)
	case originDown:
		return false
	default:
		return w.followEarlierZone(ctx, now)
	}
}

// followEarlierZone has the host that leads its zone follow a host of an earlier zone,
// so that one host watches the origin for all of them. It reports whether that
// host could be followed; if not, its zone is left alone for a while.
func (w *follower) followEarlierZone(ctx context.Context, now time.Time) bool {
	peer, found := w.peers.ofEarlierZone(func(z member.Zone) bool { return now.Before(w.zonesAvoidedUntil[z]) }, now)
	if !found {
		return false
	}
	if w.followPeer(ctx, peer, zoneBounds) {
		return true
	}
	if w.zonesAvoidedUntil == nil {
		w.zonesAvoidedUntil = map[member.Zone]time.Time{}
	}
	// The hosts of a site that has just started are up to date a moment later.
	w.zonesAvoidedUntil[peer.Zone] = now.Add(min(zoneAvoidPeriod, now.Sub(w.startedAt)))
	return false
}

// followOrigin reads everything or waits for the next news.
func (w *follower) followOrigin(ctx context.Context) {
	provedAt, slept := w.now(), w.settings.Clock.Slept()
	var update OriginUpdate
	var err error
	if w.configReadDue(provedAt) {
		// A watch goes on from the revision of the list, by which the configuration
		// had been changed already.
		w.needsFullRead, w.lastConfigRead = true, provedAt
		w.configReadCount++
	}
	if w.needsFullRead {
		update, err = w.origin.Read(ctx, w.fleet.Revision().Era())
	} else {
		update, err = w.origin.Watch(ctx, w.watchFrom, watchTimeout)
	}
	switch {
	case errors.Is(err, ErrHistoryGone):
		w.handleHistoryGone(ctx)
		return
	case err != nil:
		w.handleOriginFailure(ctx, err)
		return
	case update.Revision.Era() < w.fleet.Revision().Era():
		w.handleOriginFailure(ctx, &EraRegressedError{Known: w.fleet.Revision(), Received: update.Revision})
		return
	case !w.needsFullRead && !update.Revision.SameEra(w.watchFrom):
		// What came between the watch's point and the restore isn't among the news.
		w.needsFullRead = true
		return
	case !w.needsFullRead && w.settings.Clock.Slept() == slept:
		// Otherwise the answer may have waited here while this machine was suspended.
		provedAt = w.now()
	}
	if !w.needsFullRead {
		w.historyGoneCount = 0
	}
	w.applyUpdate(provedAt, update)
	w.needsFullRead, w.watchFrom = false, update.Revision
	if provedAt.Sub(w.startedAt) < soloPausePeriod && w.peers.live(provedAt) == 1 {
		// Hosts that start together don't know each other yet, and each change
		// would be told to every one of them.
		PauseFor(ctx, soloWatchPause)
	}
}

// maxConfigReadDoublings bounds how often the pause between two such readings doubles: a restored origin
// may lack a configuration that is known of until it is written again.
const maxConfigReadDoublings = 5

// configReadDue reports whether everything is to be read because a newer configuration is known of
// than the one in force.
func (w *follower) configReadDue(now time.Time) bool {
	if w.versionInForce() >= w.newestKnownVersion() {
		w.configReadCount = 0
		return false
	}
	return now.Sub(w.lastConfigRead) >= watchTimeout<<min(w.configReadCount, maxConfigReadDoublings)
}

// handleHistoryGone takes in that the origin doesn't have the point that a watch goes on from, or was
// restored during a reading: everything has to be read again.
func (w *follower) handleHistoryGone(ctx context.Context) {
	w.journal.Belief("history gone", "after", w.watchFrom)
	w.needsFullRead = true
	w.historyGoneCount++
	if w.historyGoneCount > 1 {
		PauseFor(ctx, retryDelay(w.historyGoneCount))
	}
}

// applyUpdate takes in what the origin told, which was up to date at a time.
func (w *follower) applyUpdate(provedAt time.Time, update OriginUpdate) {
	now := w.now()
	if update.UnreadErr != nil {
		w.logUnread(now, update)
	}
	w.peers.list(now, update.Hosts)
	w.receiveCrashes(now, update.HeldRequests)
	if w.needsFullRead {
		w.journal.Belief("list read", "revision", update.Revision, "upstreams", len(update.Changes), "took", now.Sub(provedAt))
	}
	// Before the list's revision rises: who follows is told nothing again of what was before it.
	if w.needsFullRead {
		w.takeRollouts(now, w.rollouts.Missing(update.Rollouts, update.Revision))
	}
	w.takeRollouts(now, update.Rollouts)
	w.takeRolloutRecords(update.RolloutRecords)
	zones, changes := w.fleet.ApplyUpdate(now, update, w.needsFullRead)
	w.noteZones(zones)
	w.handleListChanges(changes)
	if lostFor := w.originStatus.recordSuccess(now); lostFor > 0 {
		w.fleet.ListRegained(now, lostFor)
	}
	if update.Config != nil {
		w.Configure(now, *update.Config)
	}
	w.ContactProved(provedAt)
	w.recordOriginProof(provedAt)
	w.proofInherited.Store(false)
}

// unreadLogInterval is the least time between two lines about entries that can't be read: they
// may be written anew several times a second.
const unreadLogInterval = time.Second

// logUnread counts entries that couldn't be read or used, and logs them now and then.
func (w *follower) logUnread(now time.Time, update OriginUpdate) {
	w.observer.Unread(update.UnreadCount)
	w.unreadEntries += update.UnreadCount
	if now.Sub(w.unreadLoggedAt) < unreadLogInterval {
		return
	}
	w.journal.Belief("not all could be read", "revision", update.Revision, "entries", w.unreadEntries, "err", update.UnreadErr)
	w.unreadEntries, w.unreadLoggedAt = 0, now
}

// handleOriginFailure takes in that the origin can't be had.
func (w *follower) handleOriginFailure(ctx context.Context, err error) {
	now := w.now()
	w.needsFullRead = true
	w.fleet.ListLost(now)
	// The proof is withdrawn, so that followers turn elsewhere at once and
	// engines are asked themselves.
	w.originContact.clear()
	w.fleet.Wake()
	w.takeStaleList(ctx)
	pause := w.originStatus.recordFailure(ctx, err)
	extraPause := pause * time.Duration(w.peers.liveInZone(now)/hostsPerRetryDelay)
	w.nextOriginRetry = now.Add(pause + extraPause + originRetryDelay)
	PauseFor(ctx, pause)
	w.pauseUntilFollowable(ctx, extraPause)
}

// takeStaleList has a host that has started while the origin is away, and knows no upstream,
// take what a peer has, however old that is: without it the host refuses all until the
// origin is back. It claims no proof by that, and goes on asking the origin.
func (w *follower) takeStaleList(ctx context.Context) {
	now := w.now()
	if !w.fleet.Revision().IsZero() {
		return
	}
	for _, peer := range w.peers.anyLive(now) {
		if !w.followPeer(ctx, peer, staleBounds) || w.fleet.Revision().IsZero() {
			continue
		}
		w.catchUpConfig(ctx, peer)
		w.journal.Belief("joined", "peer", peer.ID, "version", w.versionInForce(), "list_revision", w.fleet.Revision(), "stale", true, "origin_age", w.OriginAge(now), "after", now.Sub(w.startedAt))
		return
	}
}

// pauseUntilFollowable waits, but not on while a peer has regained the origin.
func (w *follower) pauseUntilFollowable(ctx context.Context, pause time.Duration) {
	until := w.now().Add(pause)
	for ctx.Err() == nil {
		now := w.now()
		if _, found := w.peers.leader(now, true); found || !now.Before(until) {
			return
		}
		PauseFor(ctx, min(until.Sub(now), followableCheckInterval))
	}
}

// isFollowing reports whether a peer gives this host what is new.
func (f *Forwarder) isFollowing(now time.Time) bool {
	return f.followed.age(now) < followTimeout
}

// handleListChanges logs what is new on the list and drops what was believed of lives that are
// over.
func (f *Forwarder) handleListChanges(changes []Change) {
	f.dropOldLives()
	f.logRestore()
	for _, c := range changes {
		f.journal.Belief("upstream listed", "upstream", c.ID, "service", c.Service, "zone", c.Zone,
			"leaving", c.Leaving, "gone", c.Gone, "unusable", c.Unusable, "cold", !c.ColdUntil.IsZero(), "revision", c.Revision)
	}
}

// minProofAdvance is by how much newer the origin's proof has to become for followers to be told
// at once: it is renewed each watchWait, and this leaves out what follows closely on that.
const minProofAdvance = watchTimeout / 2

// recordOriginProof takes in when the origin proved that this host is up to date.
func (f *Forwarder) recordOriginProof(provedAt time.Time) {
	now := f.now()
	oldAge := f.OriginAge(now)
	f.originContact.advance(provedAt)
	if oldAge-f.OriginAge(now) >= minProofAdvance {
		f.originProved.wake()
	}
}

// OriginAge is how long ago the origin itself last proved that this host is up
// to date.
func (f *Forwarder) OriginAge(now time.Time) time.Duration { return f.originContact.age(now) }
