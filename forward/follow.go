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
func (f *Forwarder) Follow(ctx context.Context, from Origin) {
	w := &follower{Forwarder: f, origin: from, originStatus: dependencyStatus{name: "store", journal: f.journal, now: f.now}, needsFullRead: true, startedAt: f.now()}
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
	until, last := w.startedAt.Add(w.joinTimeout()), w.startedAt.Add(maxJoinTimeout)
	for w.now().Before(until) && !w.peers.anyPeerFound() {
		PauseFor(ctx, joinCheckInterval)
	}
	if !w.peers.anyPeerFound() && w.readDirectory(ctx) {
		until = w.now().Add(w.joinTimeout())
	}
	for ctx.Err() == nil && (w.now().Before(until) || w.now().Before(last) && w.expectsPeerList(w.now())) {
		peer, found := w.peers.bootstrapPeer(w.now())
		if found && w.followPeer(ctx, peer, originDownBounds) && w.catchUpConfig(ctx, peer) {
			w.markCaughtUp()
			w.journal.HostEvent("joined", "peer", peer.ID, "version", w.versionInForce(), "list_revision", w.watchFrom, "after", w.now().Sub(w.startedAt))
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
	firstReads := w.settings.FirstStart && w.joinTimeout() > 0 && w.peers.noPeerHasList()
	return firstReads || w.peers.expectsListFromAncestor(now)
}

// readDirectory has the hosts on the directory be known to a host that has found none. It reports
// whether there are any.
func (w *follower) readDirectory(ctx context.Context) bool {
	from, can := w.origin.(HostsReader)
	if !can || w.joinTimeout() == 0 {
		return false
	}
	call, cancel := context.WithTimeout(ctx, directoryReadTimeout)
	defer cancel()
	hosts, err := from.Hosts(call)
	if err != nil {
		w.journal.HostEvent("directory not read", "err", err)
		return false
	}
	w.peers.addFromDirectory(w.now(), hosts)
	w.peers.notifyAll()
	return len(hosts) > 0
}

// catchUpConfig takes over the configuration that a peer has offered. It reports whether
// this host is up to date with that.
func (w *follower) catchUpConfig(ctx context.Context, from Peer) bool {
	if w.versionInForce() < w.newestKnownVersion() {
		w.fetchConfig(ctx, w.loadPeerPort(), from)
	}
	return w.versionInForce() >= w.newestKnownVersion()
}

// awaitsLeader reports whether this host has just joined, and knows one that comes before
// it in the order of leaders but that can't be followed yet.
func (w *follower) awaitsLeader(now time.Time) bool {
	return !w.needsFullRead && w.originStatus.failures == 0 && now.Sub(w.startedAt) < startupDuration && w.peers.hasPredecessor(now)
}

// joinTimeout is how long this host looks for a peer to join: not at all if it knows no
// address, or is one of those that others join when the site starts.
func (w *follower) joinTimeout() time.Duration {
	switch first := w.settings.FirstStart; {
	case len(w.peers.seeds) == 0, first && slices.Contains(w.peers.seeds, w.peers.self.PeerAddress):
		return 0
	case first:
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
	needed := w.originStatus.failures > 0 && now.Before(w.nextOriginRetry)
	if w.needsFullRead && !needed {
		return false
	}
	if !w.followPreferredPeer(ctx, now, needed) {
		return false
	}
	w.markCaughtUp()
	if !needed {
		// Another host has the origin again; this one needn't ask.
		w.originStatus.recordSuccess(now)
	}
	return true
}

// followPreferredPeer follows the leader of the zone, or any fresh host when that is needed;
// the leader itself follows another zone's host.
func (w *follower) followPreferredPeer(ctx context.Context, now time.Time, needed bool) bool {
	leader, found := w.peers.leader(now, needed)
	switch {
	case found && needed:
		return w.followPeer(ctx, leader, originDownBounds)
	case found:
		return w.followPeer(ctx, leader, leaderBounds)
	case needed:
		return false
	default:
		return w.followEarlierZone(ctx, now)
	}
}

// followEarlierZone has the host that leads its zone follow a host of an earlier zone,
// so that one host watches the origin for all of them. It reports whether that
// host could be followed; if not, its zone is left alone for a while.
func (w *follower) followEarlierZone(ctx context.Context, now time.Time) bool {
	far, found := w.peers.firstInEarlierZone(func(z member.Zone) bool { return now.Before(w.zonesAvoidedUntil[z]) }, now)
	if !found {
		return false
	}
	if w.followPeer(ctx, far, zoneBounds) {
		return true
	}
	if w.zonesAvoidedUntil == nil {
		w.zonesAvoidedUntil = map[member.Zone]time.Time{}
	}
	// The hosts of a site that has just started are up to date a moment later.
	w.zonesAvoidedUntil[far.Zone] = now.Add(min(zoneAvoidPeriod, now.Sub(w.startedAt)))
	return false
}

// followOrigin reads everything or waits for the next news.
func (w *follower) followOrigin(ctx context.Context) {
	proved, slept := w.now(), w.settings.Clock.Slept()
	var news OriginUpdate
	var err error
	if w.configReadDue(proved) {
		// A watch goes on from the revision of the list, by which the configuration
		// had been changed already.
		w.needsFullRead, w.lastConfigRead = true, proved
		w.configReadCount++
	}
	if w.needsFullRead {
		news, err = w.origin.Read(ctx, w.fleet.Revision().Era())
	} else {
		news, err = w.origin.Watch(ctx, w.watchFrom, watchTimeout)
	}
	switch {
	case errors.Is(err, ErrHistoryGone):
		w.handleHistoryGone(ctx)
		return
	case err != nil:
		w.handleOriginFailure(ctx, err)
		return
	case news.Revision.Era() < w.fleet.Revision().Era():
		w.handleOriginFailure(ctx, &EraRegressedError{Known: w.fleet.Revision(), Received: news.Revision})
		return
	case !w.needsFullRead && !news.Revision.SameEra(w.watchFrom):
		// What came between the watch's point and the restore isn't among the news.
		w.needsFullRead = true
		return
	case !w.needsFullRead && w.settings.Clock.Slept() == slept:
		// Otherwise the answer may have waited here while this machine was suspended.
		proved = w.now()
	}
	if !w.needsFullRead {
		w.historyGoneCount = 0
	}
	w.applyUpdate(proved, news)
	w.needsFullRead, w.watchFrom = false, news.Revision
	if proved.Sub(w.startedAt) < soloPausePeriod && w.peers.liveHosts(proved) == 1 {
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
	w.journal.HostEvent("history gone", "after", w.watchFrom)
	w.needsFullRead = true
	w.historyGoneCount++
	if w.historyGoneCount > 1 {
		PauseFor(ctx, retryDelay(w.historyGoneCount))
	}
}

// applyUpdate takes in what the origin told, which was up to date at a time.
func (w *follower) applyUpdate(proved time.Time, news OriginUpdate) {
	now := w.now()
	if news.UnreadErr != nil {
		w.logUnread(now, news)
	}
	w.peers.addFromDirectory(now, news.Hosts)
	w.receiveCrashes(now, news.HeldRequests)
	if w.needsFullRead {
		w.journal.HostEvent("list read", "revision", news.Revision, "upstreams", len(news.Changes), "took", now.Sub(proved))
	}
	// Before the list's revision rises: who follows is told nothing again of what was before it.
	if w.needsFullRead {
		w.takeRollouts(now, w.rollouts.Missing(news.Rollouts, news.Revision))
	}
	w.takeRollouts(now, news.Rollouts)
	w.takeRolloutRecords(news.RolloutRecords)
	zones, changes := w.fleet.ApplyUpdate(now, news, w.needsFullRead)
	w.logZoneChanges(zones)
	w.handleListChanges(changes)
	if lostFor := w.originStatus.recordSuccess(now); lostFor > 0 {
		w.fleet.ListRegained(now, lostFor)
	}
	if news.Config != nil {
		w.Configure(now, *news.Config)
	}
	w.ContactProved(proved)
	w.recordOriginProof(proved)
	w.originProofInherited.Store(false)
}

// unreadLogInterval is the least time between two lines about entries that can't be read: they
// may be written anew several times a second.
const unreadLogInterval = time.Second

// logUnread counts entries that couldn't be read or used, and logs them now and then.
func (w *follower) logUnread(now time.Time, news OriginUpdate) {
	w.observer.UnreadableEntries(news.UnreadCount)
	w.unreadEntries += news.UnreadCount
	if now.Sub(w.unreadLoggedAt) < unreadLogInterval {
		return
	}
	w.journal.HostEvent("not all could be read", "revision", news.Revision, "entries", w.unreadEntries, "err", news.UnreadErr)
	w.unreadEntries, w.unreadLoggedAt = 0, now
}

// handleOriginFailure takes in that the origin can't be had.
func (w *follower) handleOriginFailure(ctx context.Context, err error) {
	now := w.now()
	w.needsFullRead = true
	w.fleet.ListLost(now)
	// The proof is withdrawn, so that followers turn elsewhere at once and
	// engines are asked themselves.
	w.originProvedAt.clear()
	w.fleet.WakeWaiters()
	w.takeStaleList(ctx)
	pause := w.originStatus.recordFailure(ctx, err)
	more := pause * time.Duration(w.peers.liveHostsInZone(now)/hostsPerRetryDelay)
	w.nextOriginRetry = now.Add(pause + more + originRetryDelay)
	PauseFor(ctx, pause)
	w.pauseUntilFollowable(ctx, more)
}

// takeStaleList has a host that has started while the origin is away, and knows no upstream,
// take what a peer has, however old that is: without it the host refuses all until the
// origin is back. It claims no proof by that, and goes on asking the origin.
func (w *follower) takeStaleList(ctx context.Context) {
	now := w.now()
	if !w.fleet.Revision().IsZero() {
		return
	}
	for _, peer := range w.peers.randomLivePeers(now) {
		if !w.followPeer(ctx, peer, staleBounds) || w.fleet.Revision().IsZero() {
			continue
		}
		w.catchUpConfig(ctx, peer)
		w.journal.HostEvent("joined", "peer", peer.ID, "version", w.versionInForce(), "list_revision", w.fleet.Revision(), "stale", true, "origin_age", w.OriginAge(now), "after", now.Sub(w.startedAt))
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
	return f.followedPeerAnsweredAt.age(now) < followTimeout
}

// handleListChanges logs what is new on the list and drops what was believed of lives that are
// over.
func (f *Forwarder) handleListChanges(news []Change) {
	f.resetRestartedUpstreams()
	f.logRestore()
	for _, n := range news {
		f.journal.HostEvent("upstream listed", "upstream", n.ID, "service", n.Service, "zone", n.Zone,
			"leaving", n.Leaving, "gone", n.Gone, "unusable", n.Unusable, "cold", !n.ColdUntil.IsZero(), "revision", n.Revision)
	}
}

// minProofAdvance is by how much newer the origin's proof has to become for followers to be told
// at once: it is renewed each watchWait, and this leaves out what follows closely on that.
const minProofAdvance = watchTimeout / 2

// recordOriginProof takes in when the origin proved that this host is up to date.
func (f *Forwarder) recordOriginProof(at time.Time) {
	now := f.now()
	before := f.OriginAge(now)
	f.originProvedAt.advance(at)
	if before-f.OriginAge(now) >= minProofAdvance {
		f.originProofRenewed.wake()
	}
}

// OriginAge is how long ago the origin itself last proved that this host is up
// to date.
func (f *Forwarder) OriginAge(now time.Time) time.Duration { return f.originProvedAt.age(now) }
