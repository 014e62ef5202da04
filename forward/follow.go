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

// watchTimeout bounds one watch of the origin. A change ends the watch at once, but a watch may
// miss a change, so its silence is relied on for no longer than this: half of the time in which a
// configuration has to be in force.
const watchTimeout = time.Second

// follower keeps the configuration and the list of upstreams up to date, from the origin or from a
// peer that watches the origin.
type follower struct {
	*Forwarder
	origin       Origin
	originStatus dependencyStatus
	// needsFullRead says that the next call to the origin reads everything; watchFrom is the point
	// after which a watch continues.
	needsFullRead bool
	watchFrom     history.Point
	// historyGoneCount counts how often in a row the origin no longer had the history that a call
	// needed.
	historyGoneCount int
	// lastConfigRead is when everything was last read because a newer configuration than the one in
	// force is known; configReadCount counts such reads in a row.
	lastConfigRead  time.Time
	configReadCount int
	// startedAt is when this host started to follow.
	startedAt time.Time
	// nextOriginRetry is when this host asks a failed origin again although it can follow a peer.
	nextOriginRetry time.Time
	// unreadEntries counts the entries that couldn't be read since this was last logged, at
	// unreadLoggedAt.
	unreadEntries  int
	unreadLoggedAt time.Time
	// zonesAvoidedUntil holds the zones whose hosts couldn't be followed, and until when each is
	// avoided.
	zonesAvoidedUntil map[member.Zone]time.Time
}

// While no peer is known, a host pauses for soloWatchPause between two watches, but only within
// soloPausePeriod after its start: a site may consist of one host.
const (
	soloWatchPause  = 300 * time.Millisecond
	soloPausePeriod = 3 * time.Second
)

// originRetryDelay is how long, beyond the retry pause, a host whose origin failed follows a peer
// before it asks the origin again.
const originRetryDelay = 4 * time.Second

const (
	// While the origin is down, each host waits one extra retry delay for every hostsPerRetryDelay
	// live hosts in its zone. The others follow the first host that reaches the origin again.
	hostsPerRetryDelay = 4
	// followableCheckInterval is how often a pausing host looks for a peer that reaches the origin.
	followableCheckInterval = 100 * time.Millisecond
)

// A host that starts copies everything from a peer if it finds one in time: a full read of the
// origin takes a call for each page, and many hosts may start together.
const (
	// defaultJoinTimeout bounds the search for such a peer. Clients are sent to other hosts
	// meanwhile, and a peer answers within some milliseconds.
	defaultJoinTimeout = 250 * time.Millisecond
	// firstStartJoinTimeout is the same bound when the whole site starts for the first time: there
	// are no clients yet, and the peers have only just begun to read.
	firstStartJoinTimeout = time.Second
	// maxJoinTimeout is the same bound where many hosts receive the list one after another.
	maxJoinTimeout = 8 * time.Second
	// directoryReadTimeout bounds a read of the directory: the store may not answer, and a peer may
	// be found meanwhile.
	directoryReadTimeout = 300 * time.Millisecond
	// joinCheckInterval is how often a joining host looks for such a peer.
	joinCheckInterval = 10 * time.Millisecond
	// leaderCheckInterval is how often a host that has just joined checks whether it can follow an
	// earlier host.
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

// join copies everything from a peer that is up to date. If it finds none in time, it copies an
// outdated list, because the origin may not answer for seconds.
func (w *follower) join(ctx context.Context) {
	deadline, finalDeadline := w.startedAt.Add(w.joinTimeout()), w.startedAt.Add(maxJoinTimeout)
	for w.now().Before(deadline) && !w.peers.anyPeerFound() {
		PauseFor(ctx, joinCheckInterval)
	}
	if !w.peers.anyPeerFound() && w.readDirectory(ctx) {
		deadline = w.now().Add(w.joinTimeout())
	}
	for ctx.Err() == nil && (w.now().Before(deadline) || w.now().Before(finalDeadline) && w.expectsPeerList(w.now())) {
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

// expectsPeerList reports whether this host can copy the list from another host if it waits. At the
// first start of a site the seed hosts read the list, and in a large site the hosts before this one
// receive it first.
func (w *follower) expectsPeerList(now time.Time) bool {
	firstReads := w.settings.FirstStart && w.joinTimeout() > 0 && w.peers.noPeerHasList()
	return firstReads || w.peers.expectsListFromAncestor(now)
}

// readDirectory adds the hosts in the directory to the known peers and asks for a share to all of
// them. It reports whether the directory lists any. It is for a host that has found no peer.
func (w *follower) readDirectory(ctx context.Context) bool {
	reader, ok := w.origin.(HostsReader)
	if !ok || w.joinTimeout() == 0 {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, directoryReadTimeout)
	defer cancel()
	hosts, err := reader.Hosts(callCtx)
	if err != nil {
		w.journal.HostEvent("directory not read", "err", err)
		return false
	}
	w.peers.addFromDirectory(w.now(), hosts)
	w.peers.notifyAll()
	return len(hosts) > 0
}

// catchUpConfig fetches the configuration that a peer has offered. It reports whether the newest
// known configuration is then in force.
func (w *follower) catchUpConfig(ctx context.Context, peer Peer) bool {
	if w.versionInForce() < w.newestKnownVersion() {
		w.fetchConfig(ctx, w.loadPeerPort(), peer)
	}
	return w.versionInForce() >= w.newestKnownVersion()
}

// awaitsLeader reports whether this host has just joined and knows a live host before it in the
// order of leaders, which it should follow as soon as that host can be followed.
func (w *follower) awaitsLeader(now time.Time) bool {
	return !w.needsFullRead && w.originStatus.failures == 0 && now.Sub(w.startedAt) < startupDuration && w.peers.hasPredecessor(now)
}

// joinTimeout returns how long this host looks for a peer to join. It is zero without seed
// addresses and, at the first start of a site, on the seed hosts themselves, which the others join.
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

// markCaughtUp records that a peer has sent everything that it knows: no full read is needed, and a
// watch continues from the revision of the list.
func (w *follower) markCaughtUp() {
	w.needsFullRead, w.watchFrom = false, history.Latest(w.watchFrom, w.fleet.Revision())
}

// followLeader receives newer state from a peer. It reports false when this host has to ask the
// origin itself.
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
		// Another host reaches the origin, so this host needn't ask it.
		w.originStatus.recordSuccess(now)
	}
	return true
}

// followPreferredPeer follows the leader of the zone, or any peer with a fresh list while the
// origin is down. The leader itself follows a host of an earlier zone.
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

// followEarlierZone lets the leader of this zone follow a host of an earlier zone, so that one host
// watches the origin for all zones. It reports whether that host could be followed; if not, its
// zone is avoided for a while.
func (w *follower) followEarlierZone(ctx context.Context, now time.Time) bool {
	peer, found := w.peers.firstInEarlierZone(func(z member.Zone) bool { return now.Before(w.zonesAvoidedUntil[z]) }, now)
	if !found {
		return false
	}
	if w.followPeer(ctx, peer, zoneBounds) {
		return true
	}
	if w.zonesAvoidedUntil == nil {
		w.zonesAvoidedUntil = map[member.Zone]time.Time{}
	}
	// Right after a site starts, hosts that aren't up to date yet will be a moment later, so they
	// are avoided no longer than this host has run.
	w.zonesAvoidedUntil[peer.Zone] = now.Add(min(zoneAvoidPeriod, now.Sub(w.startedAt)))
	return false
}

// followOrigin reads everything from the origin or waits for its next update.
func (w *follower) followOrigin(ctx context.Context) {
	provedAt, slept := w.now(), w.settings.Clock.TotalSuspended()
	var update OriginUpdate
	var err error
	if w.configReadDue(provedAt) {
		// A watch continues from the revision of the list, and would miss a configuration that was
		// written before it.
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
		// The update lacks what was written between the point of the watch and the restore.
		w.needsFullRead = true
		return
	case !w.needsFullRead && w.settings.Clock.TotalSuspended() == slept:
		// The machine wasn't suspended during the watch. If it was, the answer may have waited
		// here, and is only proved for the time before the call.
		provedAt = w.now()
	}
	if !w.needsFullRead {
		w.historyGoneCount = 0
	}
	w.applyUpdate(provedAt, update)
	w.needsFullRead, w.watchFrom = false, update.Revision
	if provedAt.Sub(w.startedAt) < soloPausePeriod && w.peers.liveHosts(provedAt) == 1 {
		// Hosts that start together don't know each other yet, and the origin would send each
		// change to every one of them.
		PauseFor(ctx, soloWatchPause)
	}
}

// maxConfigReadDoublings bounds how often the pause between two full reads for a newer configuration
// doubles: a restored origin may lack that configuration until it is written again.
const maxConfigReadDoublings = 5

// configReadDue reports whether a full read is due because a newer configuration than the one in
// force is known.
func (w *follower) configReadDue(now time.Time) bool {
	if w.versionInForce() >= w.newestKnownVersion() {
		w.configReadCount = 0
		return false
	}
	return now.Sub(w.lastConfigRead) >= watchTimeout<<min(w.configReadCount, maxConfigReadDoublings)
}

// handleHistoryGone schedules a full read: the origin no longer has the point after which a watch
// continues, or was restored during a read. It pauses if that happens repeatedly.
func (w *follower) handleHistoryGone(ctx context.Context) {
	w.journal.HostEvent("history gone", "after", w.watchFrom)
	w.needsFullRead = true
	w.historyGoneCount++
	if w.historyGoneCount > 1 {
		PauseFor(ctx, retryDelay(w.historyGoneCount))
	}
}

// applyUpdate applies what the origin sent, which was up to date at provedAt.
func (w *follower) applyUpdate(provedAt time.Time, update OriginUpdate) {
	now := w.now()
	if update.UnreadErr != nil {
		w.logUnread(now, update)
	}
	w.peers.addFromDirectory(now, update.Hosts)
	w.receiveStoredCrashes(now, update.HeldRequests)
	if w.needsFullRead {
		w.journal.HostEvent("list read", "revision", update.Revision, "upstreams", len(update.Changes), "took", now.Sub(provedAt))
	}
	// Rollouts are applied before the revision of the list rises, because followers aren't sent
	// again what came before that revision.
	if w.needsFullRead {
		w.receiveRollouts(now, w.rollouts.ImpliedWithdrawals(update.Rollouts, update.Revision))
	}
	w.receiveRollouts(now, update.Rollouts)
	w.receiveRolloutRecords(update.RolloutRecords)
	zones, changes := w.fleet.ApplyUpdate(now, update, w.needsFullRead)
	w.logZoneChanges(zones)
	w.handleListChanges(changes)
	if lostFor := w.originStatus.recordSuccess(now); lostFor > 0 {
		w.fleet.ListRegained(now, lostFor)
	}
	if update.Config != nil {
		w.Configure(now, *update.Config)
	}
	w.ContactProved(provedAt)
	w.recordOriginProof(provedAt)
	w.originProofInherited.Store(false)
}

// unreadLogInterval is the minimum interval between two log lines about entries that can't be read:
// such entries may be rewritten several times a second.
const unreadLogInterval = time.Second

// logUnread counts the entries that couldn't be read or used, and logs the count at most once per
// unreadLogInterval.
func (w *follower) logUnread(now time.Time, update OriginUpdate) {
	w.observer.UnreadableEntries(update.UnreadCount)
	w.unreadEntries += update.UnreadCount
	if now.Sub(w.unreadLoggedAt) < unreadLogInterval {
		return
	}
	w.journal.HostEvent("not all could be read", "revision", update.Revision, "entries", w.unreadEntries, "err", update.UnreadErr)
	w.unreadEntries, w.unreadLoggedAt = 0, now
}

// handleOriginFailure records that the origin can't be reached, and pauses before the next attempt.
func (w *follower) handleOriginFailure(ctx context.Context, err error) {
	now := w.now()
	w.needsFullRead = true
	w.fleet.ListLost(now)
	// The proof is withdrawn, so that followers turn to another host at once and this host probes
	// the engines itself.
	w.originProvedAt.clear()
	w.fleet.WakeWaiters()
	w.takeStaleList(ctx)
	pause := w.originStatus.recordFailure(ctx, err)
	extraPause := pause * time.Duration(w.peers.liveHostsInZone(now)/hostsPerRetryDelay)
	w.nextOriginRetry = now.Add(pause + extraPause + originRetryDelay)
	PauseFor(ctx, pause)
	w.pauseUntilFollowable(ctx, extraPause)
}

// takeStaleList lets a host that started during an outage of the origin, and so knows no upstream,
// copy a peer's list however old it is: without a list the host refuses every request until the
// origin is back. The copy proves nothing, and the host goes on asking the origin.
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

// pauseUntilFollowable pauses, but ends early when a peer that reaches the origin can be followed.
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

// isFollowing reports whether a peer that this host follows has answered within followTimeout.
func (f *Forwarder) isFollowing(now time.Time) bool {
	return f.followedPeerAnsweredAt.age(now) < followTimeout
}

// handleListChanges drops what is known of earlier lives of upstreams, and logs a restore of the
// origin and the changes of the list.
func (f *Forwarder) handleListChanges(changes []Change) {
	f.resetRestartedUpstreams()
	f.logRestore()
	for _, c := range changes {
		f.journal.HostEvent("upstream listed", "upstream", c.ID, "service", c.Service, "zone", c.Zone,
			"leaving", c.Leaving, "gone", c.Gone, "unusable", c.Unusable, "cold", !c.ColdUntil.IsZero(), "revision", c.Revision)
	}
}

// minProofAdvance is by how much newer the origin's proof has to become for waiting followers to be
// answered at once. The proof is renewed every watchTimeout; renewals that follow closely on one
// another are left out.
const minProofAdvance = watchTimeout / 2

// recordOriginProof records when the origin proved that this host is up to date.
func (f *Forwarder) recordOriginProof(provedAt time.Time) {
	now := f.now()
	oldAge := f.OriginAge(now)
	f.originProvedAt.advance(provedAt)
	if oldAge-f.OriginAge(now) >= minProofAdvance {
		f.originProofRenewed.Wake()
	}
}

// OriginAge returns how long ago the origin proved that this host is up to date, to this host or to
// the peer that it follows.
func (f *Forwarder) OriginAge(now time.Time) time.Duration { return f.originProvedAt.age(now) }
