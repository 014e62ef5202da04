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

// watchWait is how long a watch waits. Changes end it at once, but a watch
// may miss them, so its silence is believed no longer than this: half of
// the time in which a configuration has to be in force.
const watchWait = time.Second

// follower keeps the configuration and the list of upstreams up to date, from
// the origin or from a peer that watches the origin.
type follower struct {
	*Forwarder
	from Origin
	dep  dependency
	// read says that everything has to be read; at is the point that a watch
	// goes on from.
	read bool
	at   history.Point
	// refusals are the watches in a row whose point the origin didn't have.
	refusals int
	// configRead is when everything was last read because a newer configuration is
	// known of than the one in force, and configReads how often in a row.
	configRead  time.Time
	configReads int
	// began is when this host started to follow.
	began time.Time
	// nextTry is when an origin that failed is asked again although a peer can be
	// followed.
	nextTry time.Time
	// unread counts the entries that couldn't be read since that was last logged, at
	// unreadNoted.
	unread      int
	unreadNoted time.Time
	// avoided are the zones whose hosts couldn't be followed, until when.
	avoided map[member.Zone]time.Time
}

// While no peer is known, alonePause is waited between two watches, but not for
// longer than aloneLasts after the start: a site may have one host.
const (
	alonePause = 300 * time.Millisecond
	aloneLasts = 3 * time.Second
)

// originPause is how long a host whose origin failed follows a peer before it
// tries the origin again.
const originPause = 4 * time.Second

const (
	// hostsAtOnce is how many hosts of a zone try an origin that is down at the
	// usual pace; with more of them each pauses longer. The first that regains
	// it is followed by the others.
	hostsAtOnce = 4
	// followableCheck is how often a host that pauses looks for such a peer.
	followableCheck = 100 * time.Millisecond
)

// A host that starts takes everything over from a peer, if it finds one in time: a
// reading of the origin takes a call for each page, and many hosts start together.
const (
	// joinWait is how long a host looks for such a peer. Its callers are sent to others
	// meanwhile, and a peer answers within some milliseconds.
	joinWait = 250 * time.Millisecond
	// firstJoinWait is the same when the site starts for the first time: there are no
	// callers, and the peers have only just begun to read.
	firstJoinWait = time.Second
	// joinMost is the same where many hosts take the list over one after the other.
	joinMost = 8 * time.Second
	// directoryTimeout bounds the reading of the directory: the store may be silent, and a peer be
	// found meanwhile.
	directoryTimeout = 300 * time.Millisecond
	// joinCheck is how often it looks.
	joinCheck = 10 * time.Millisecond
	// settleCheck is how often a host that has just joined looks for whom to follow.
	settleCheck = 50 * time.Millisecond
)

// Follow keeps the configuration and the list of upstreams up to date until the
// context ends.
func (f *Forwarder) Follow(ctx context.Context, from Origin) {
	w := &follower{Forwarder: f, from: from, dep: dependency{name: "store", journal: f.journal, now: f.now}, read: true, began: f.now()}
	w.join(ctx)
	for ctx.Err() == nil {
		if w.followLeader(ctx) {
			continue
		}
		if w.settling(f.now()) {
			PauseFor(ctx, settleCheck)
			continue
		}
		w.followOrigin(ctx)
	}
}

// join takes everything over from a peer that is up to date, unless none is found in time;
// then what one has that isn't: the origin may be silent for seconds.
func (w *follower) join(ctx context.Context) {
	until, last := w.began.Add(w.joinWait()), w.began.Add(joinMost)
	for w.now().Before(until) && !w.peers.anyFound() {
		PauseFor(ctx, joinCheck)
	}
	if !w.peers.anyFound() && w.readDirectory(ctx) {
		until = w.now().Add(w.joinWait())
	}
	for ctx.Err() == nil && (w.now().Before(until) || w.now().Before(last) && w.awaitsList(w.now())) {
		peer, found := w.peers.joinable(w.now())
		if found && w.followPeer(ctx, peer, neededBounds) && w.joinConfig(ctx, peer) {
			w.upToDate()
			w.journal.HostEvent("joined", "peer", peer.ID, "version", w.versionInForce(), "list_revision", w.at, "after", w.now().Sub(w.began))
			return
		}
		PauseFor(ctx, joinCheck)
	}
	w.takeStale(ctx)
}

// awaitsList reports whether other hosts will have the list that this one can take over from: those
// that are named to all as a site starts for the first time read it, and in a large site those before
// this one.
func (w *follower) awaitsList(now time.Time) bool {
	firstReads := w.settings.FirstStart && w.joinWait() > 0 && w.peers.noneHasList()
	return firstReads || w.peers.awaitsList(now)
}

// readDirectory has the hosts on the directory be known to a host that has found none. It reports
// whether there are any.
func (w *follower) readDirectory(ctx context.Context) bool {
	from, can := w.from.(HostsReader)
	if !can || w.joinWait() == 0 {
		return false
	}
	call, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	hosts, err := from.Hosts(call)
	if err != nil {
		w.journal.HostEvent("directory not read", "err", err)
		return false
	}
	w.peers.list(w.now(), hosts)
	w.peers.notifyAll()
	return len(hosts) > 0
}

// joinConfig takes over the configuration that a peer has offered. It reports whether
// this host is up to date with that.
func (w *follower) joinConfig(ctx context.Context, from Peer) bool {
	if w.versionInForce() < w.knownVersion() {
		w.fetchConfig(ctx, w.port(), from)
	}
	return w.versionInForce() >= w.knownVersion()
}

// settling reports whether this host has just joined, and knows one that comes before
// it in the order of leaders but that can't be followed yet.
func (w *follower) settling(now time.Time) bool {
	return !w.read && w.dep.failures == 0 && now.Sub(w.began) < startLasts && w.peers.hasEarlier(now)
}

// joinWait is how long this host looks for a peer to join: not at all if it knows no
// address, or is one of those that others join when the site starts.
func (w *follower) joinWait() time.Duration {
	switch first := w.settings.FirstStart; {
	case len(w.peers.seeds) == 0, first && slices.Contains(w.peers.seeds, w.peers.self.PeerAddress):
		return 0
	case first:
		return firstJoinWait
	default:
		return joinWait
	}
}

// upToDate takes in that a peer has told all that it knows: nothing has to be read
// again, and a watch goes on from there.
func (w *follower) upToDate() {
	w.read, w.at = false, history.Latest(w.at, w.fleet.Revision())
}

// followLeader takes over what a peer has that is newer. It reports false when
// this host has to ask the origin itself.
func (w *follower) followLeader(ctx context.Context) bool {
	now := w.now()
	needed := w.dep.failures > 0 && now.Before(w.nextTry)
	if w.read && !needed {
		return false
	}
	if !w.followOne(ctx, now, needed) {
		return false
	}
	w.upToDate()
	if !needed {
		// Another host has the origin again; this one needn't ask.
		w.dep.ok(now)
	}
	return true
}

// followOne follows the leader of the zone, or any fresh host when that is needed;
// the leader itself follows another zone's host.
func (w *follower) followOne(ctx context.Context, now time.Time, needed bool) bool {
	leader, found := w.peers.leader(now, needed)
	switch {
	case found && needed:
		return w.followPeer(ctx, leader, neededBounds)
	case found:
		return w.followPeer(ctx, leader, leaderBounds)
	case needed:
		return false
	default:
		return w.followZone(ctx, now)
	}
}

// followZone has the host that leads its zone follow a host of an earlier zone,
// so that one host watches the origin for all of them. It reports whether that
// host could be followed; if not, its zone is left alone for a while.
func (w *follower) followZone(ctx context.Context, now time.Time) bool {
	far, found := w.peers.ofEarlierZone(func(z member.Zone) bool { return now.Before(w.avoided[z]) }, now)
	if !found {
		return false
	}
	if w.followPeer(ctx, far, zoneBounds) {
		return true
	}
	if w.avoided == nil {
		w.avoided = map[member.Zone]time.Time{}
	}
	// The hosts of a site that has just started are up to date a moment later.
	w.avoided[far.Zone] = now.Add(min(avoidZoneFor, now.Sub(w.began)))
	return false
}

// followOrigin reads everything or waits for the next news.
func (w *follower) followOrigin(ctx context.Context) {
	proved, slept := w.now(), w.settings.Clock.Slept()
	var news News
	var err error
	if w.configReadDue(proved) {
		// A watch goes on from the revision of the list, by which the configuration
		// had been changed already.
		w.read, w.configRead = true, proved
		w.configReads++
	}
	if w.read {
		news, err = w.from.Read(ctx, w.fleet.Revision().Era())
	} else {
		news, err = w.from.Watch(ctx, w.at, watchWait)
	}
	switch {
	case errors.Is(err, ErrHistoryGone):
		w.historyGone(ctx)
		return
	case err != nil:
		w.lost(ctx, err)
		return
	case news.At.Era() < w.fleet.Revision().Era():
		w.lost(ctx, &EraFellError{Known: w.fleet.Revision(), Told: news.At})
		return
	case !w.read && !news.At.SameEra(w.at):
		// What came between the watch's point and the restore isn't among the news.
		w.read = true
		return
	case !w.read && w.settings.Clock.Slept() == slept:
		// Otherwise the answer may have waited here while this machine was suspended.
		proved = w.now()
	}
	if !w.read {
		w.refusals = 0
	}
	w.take(proved, news)
	w.read, w.at = false, news.At
	if proved.Sub(w.began) < aloneLasts && w.peers.live(proved) == 1 {
		// Hosts that start together don't know each other yet, and each change
		// would be told to every one of them.
		PauseFor(ctx, alonePause)
	}
}

// mostConfigReads bounds how often the pause between two such readings doubles: a restored origin
// may lack a configuration that is known of until it is written again.
const mostConfigReads = 5

// configReadDue reports whether everything is to be read because a newer configuration is known of
// than the one in force.
func (w *follower) configReadDue(now time.Time) bool {
	if w.versionInForce() >= w.knownVersion() {
		w.configReads = 0
		return false
	}
	return now.Sub(w.configRead) >= watchWait<<min(w.configReads, mostConfigReads)
}

// historyGone takes in that the origin doesn't have the point that a watch goes on from, or was
// restored during a reading: everything has to be read again.
func (w *follower) historyGone(ctx context.Context) {
	w.journal.HostEvent("history gone", "after", w.at)
	w.read = true
	w.refusals++
	if w.refusals > 1 {
		PauseFor(ctx, failPause(w.refusals))
	}
}

// take takes in what the origin told, which was up to date at a time.
func (w *follower) take(proved time.Time, news News) {
	now := w.now()
	if news.Unread != nil {
		w.noteUnread(now, news)
	}
	w.peers.list(now, news.Hosts)
	w.receiveCrashes(now, news.Crashes)
	if w.read {
		w.journal.HostEvent("list read", "revision", news.At, "upstreams", len(news.Changes), "took", now.Sub(proved))
	}
	// Before the list's revision rises: who follows is told nothing again of what was before it.
	if w.read {
		w.takeRollouts(now, w.rollouts.Missing(news.Rollouts, news.At))
	}
	w.takeRollouts(now, news.Rollouts)
	w.takeRolloutRecords(news.RolloutRecords)
	zones, changes := w.fleet.TakeNews(now, news, w.read)
	w.noteZones(zones)
	w.noteList(changes)
	if lostFor := w.dep.ok(now); lostFor > 0 {
		w.fleet.ListRegained(now, lostFor)
	}
	if news.Config != nil {
		w.Configure(now, *news.Config)
	}
	w.ContactProved(proved)
	w.proveOrigin(proved)
	w.originProofInherited.Store(false)
}

// unreadPause is the least time between two lines about entries that can't be read: they
// may be written anew several times a second.
const unreadPause = time.Second

// noteUnread counts entries that couldn't be read or used, and logs them now and then.
func (w *follower) noteUnread(now time.Time, news News) {
	w.observer.UnreadableEntries(news.UnreadCount)
	w.unread += news.UnreadCount
	if now.Sub(w.unreadNoted) < unreadPause {
		return
	}
	w.journal.HostEvent("not all could be read", "revision", news.At, "entries", w.unread, "err", news.Unread)
	w.unread, w.unreadNoted = 0, now
}

// lost takes in that the origin can't be had.
func (w *follower) lost(ctx context.Context, err error) {
	now := w.now()
	w.read = true
	w.fleet.ListLost(now)
	// The proof is withdrawn, so that followers turn elsewhere at once and
	// engines are asked themselves.
	w.originProvedAt.clear()
	w.fleet.Wake()
	w.takeStale(ctx)
	pause := w.dep.failed(ctx, err)
	more := pause * time.Duration(w.peers.liveInZone(now)/hostsAtOnce)
	w.nextTry = now.Add(pause + more + originPause)
	PauseFor(ctx, pause)
	w.pauseUntilFollowable(ctx, more)
}

// takeStale has a host that has started while the origin is away, and knows no upstream,
// take what a peer has, however old that is: without it the host refuses all until the
// origin is back. It claims no proof by that, and goes on asking the origin.
func (w *follower) takeStale(ctx context.Context) {
	now := w.now()
	if !w.fleet.Revision().IsZero() {
		return
	}
	for _, peer := range w.peers.anyLive(now) {
		if !w.followPeer(ctx, peer, staleBounds) || w.fleet.Revision().IsZero() {
			continue
		}
		w.joinConfig(ctx, peer)
		w.journal.HostEvent("joined", "peer", peer.ID, "version", w.versionInForce(), "list_revision", w.fleet.Revision(), "stale", true, "origin_age", w.OriginAge(now), "after", now.Sub(w.began))
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
		PauseFor(ctx, min(until.Sub(now), followableCheck))
	}
}

// following reports whether a peer gives this host what is new.
func (f *Forwarder) following(now time.Time) bool {
	return f.followedPeerAnsweredAt.age(now) < followTimeout
}

// noteList logs what is new on the list and drops what was believed of lives that are
// over.
func (f *Forwarder) noteList(news []Change) {
	f.dropOldLives()
	f.noteRestore()
	for _, n := range news {
		f.journal.HostEvent("upstream listed", "upstream", n.ID, "service", n.Service, "zone", n.Zone,
			"leaving", n.Leaving, "gone", n.Gone, "unusable", n.Unusable, "cold", !n.ColdUntil.IsZero(), "revision", n.Revision)
	}
}

// proofStep is by how much newer the origin's proof has to become for followers to be told
// at once: it is renewed each watchWait, and this leaves out what follows closely on that.
const proofStep = watchWait / 2

// proveOrigin takes in when the origin proved that this host is up to date.
func (f *Forwarder) proveOrigin(at time.Time) {
	now := f.now()
	before := f.OriginAge(now)
	f.originProvedAt.raise(at)
	if before-f.OriginAge(now) >= proofStep {
		f.originProofRenewed.wake()
	}
}

// OriginAge is how long ago the origin itself last proved that this host is up
// to date.
func (f *Forwarder) OriginAge(now time.Time) time.Duration { return f.originProvedAt.age(now) }
