// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"slices"
	"sync"
	"time"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/rollout"
)

// Upstream is one engine or instance of a plain service, as it stands in the host list.
type Upstream struct {
	ID      member.UpstreamID
	Service ServiceName
	// Address is IP:port.
	Address string
	Zone    member.Zone
	// Slots is how many requests the upstream processes at once.
	Slots   int
	Leaving bool
	// Version is the version of the upstream's software; empty if not reported.
	Version rollout.Version
	// Incarnation tells this start of the upstream from others under the same ID.
	Incarnation Incarnation
	// Revision is the point in the list's history at which the entry was written.
	Revision history.Point
}

// Change is one change of the host list: the new state of an upstream or, with Gone, its
// removal from the list at Upstream.Revision.
type Change struct {
	Upstream
	Gone bool
	// Missing says that the upstream is not on the list, but that the host which reports the
	// change does not treat it as gone yet.
	Missing bool
	// Unusable says that the entry does not describe an upstream that could be used. Only the
	// ID and the revision are known, and the upstream gets no new work.
	Unusable bool
	// ColdUntil is when the upstream will have warmed up; zero if it is not cold.
	ColdUntil time.Time
	// BelievedFrom is when the change takes effect if the list was restored from a backup that
	// contains an upstream which had already ended; zero for other changes.
	BelievedFrom time.Time
	// made is when the entry was made, before any later changes of it; zero if it isn't known. It
	// isn't sent to peers.
	made history.Point
}

// EntryMade says when the entry that the change describes was made.
func (c *Change) EntryMade(at history.Point) { c.made = at }

// Fleet is what this host knows about the upstreams. The zero value is an empty fleet that is
// ready for use. It is safe for concurrent use.
//
// An upstream that was removed from the list is remembered as leaving for a while, because it
// keeps serving the requests that it already has.
type Fleet struct {
	mu        sync.Mutex
	upstreams map[member.UpstreamID]*knownUpstream
	// revision is the revision up to which every change is known. A single upstream may be
	// known at a newer revision, because a list that is read in pages is not a snapshot of one
	// moment.
	revision history.Point
	// restore holds what is known of writes to the origin in the present era. eraFirstSeen is
	// when the era was first seen, by this host or by the host that reported it. restoreStats
	// counts the effects of the last restore until takeRestoreStats collects them.
	restore      history.EraTracker
	eraFirstSeen time.Time
	restoreStats *restoreStats
	// forgottenUpTo is the newest revision of the removed upstreams that this host has
	// forgotten.
	forgottenUpTo history.Point
	// coldUntil is when the last of the upstreams that are or were cold will have warmed up.
	coldUntil time.Time
	// ownFailingUntil and shareLeavingUntil are the latest values of all upstreams. They save a
	// scan of the upstreams for each message to peers if this host has no recent findings.
	ownFailingUntil, shareLeavingUntil time.Time
	// mayHaveUnreached and mayHaveRelisted save a scan of the upstreams for checks that are due.
	mayHaveUnreached, mayHaveRelisted bool
	// restarted are the upstreams that started a new incarnation since the last TakeRestarted.
	restarted []member.UpstreamID
	// gaps are the parts of the list's history that this host does not know in full: after a
	// read of the whole list, or changes from a peer that has gaps itself. Upstreams that were
	// added and removed within a gap were never known here.
	gaps []gap
	// trustMissingFrom is when upstreams that are missing from the list count as gone. During
	// and shortly after an outage the list may lack upstreams that are alive.
	trustMissingFrom time.Time
	// zones holds the newest order about each zone that has ever had one.
	zones map[member.Zone]zoneState
	// generation increases with each change.
	generation uint64
	// index finds upstreams by service and cell.
	index fleetIndex
	// changed is closed at the next change; nil if nobody waits.
	changed chan struct{}
}

// knownUpstream is an upstream with what this host has recorded about it.
type knownUpstream struct {
	Upstream
	// gone says that the upstream was removed from the list. missing says that the list lacks
	// the upstream, but that it does not count as gone yet.
	gone, missing bool
	// missingSinceRestore says that the upstream is missing because the backup from which the
	// list was restored lacks it. The upstream takes work while mayBeRelisted holds.
	missingSinceRestore bool
	// pendingChange is the entry that the backup holds for an upstream which was gone; it takes
	// effect at its BelievedFrom. It is nil if there is none.
	pendingChange *Change
	// droppedAt is when the upstream was last recorded as gone.
	droppedAt time.Time
	// leavingDeclared says that the list or the upstream itself reported that it leaves, rather
	// than that the list just dropped it or that this host inferred it.
	leavingDeclared bool
	// leavingSince is when the upstream was first known to be leaving; zero if it is not.
	leavingSince time.Time
	// unusable says that the upstream's current entry cannot be used.
	unusable bool
	// coldUntil is when the upstream will have warmed up; zero if it is not cold.
	coldUntil time.Time
	// incarnationEnded is closed when a new incarnation replaces the present one; nil until
	// IncarnationEnded is called.
	incarnationEnded chan struct{}
	// pastIncarnations are the previous incarnations, the latest last.
	pastIncarnations []Incarnation
	// expectedEnd is when the upstream is expected to end; zero if unknown.
	expectedEnd time.Time
	// shareLeavingUntil is until when this host tells its peers that the upstream leaves, where
	// the list does not say so; zero if it has nothing to tell.
	shareLeavingUntil time.Time
	// leavingSelfReported says that the upstream itself reported that it leaves. Only a new
	// incarnation clears that.
	leavingSelfReported bool
	// leavingSource is the first source that reported that the upstream leaves; empty if it
	// does not.
	leavingSource LeavingSource
	// retiredByRollout says that the upstream is leaving because a rollout retired its version.
	retiredByRollout bool
	// leavingUnconfirmed says that a source other than the list indicates that the upstream
	// leaves; a newer entry of the list, or the upstream itself, may take that back.
	leavingUnconfirmed bool
	// leavingStarted is closed when the upstream starts leaving; nil until leavingChannel is
	// called.
	leavingStarted chan struct{}
	// suspectUntil is until when the upstream gets no new work after a failure that this host
	// or a peer of its zone found.
	suspectUntil time.Time
	// unreached is what is known of failed connections of this host.
	unreached unreachedState
	// relisted is set while the list has the upstream as staying after it was said to leave, and
	// hasReturned once it turned out to stay.
	relisted    relistedState
	hasReturned bool
	// consecutiveFailures counts the requests that the upstream lost in a row.
	consecutiveFailures int
	// ownFailingUntil is until when findings of this host itself keep new work away.
	ownFailingUntil time.Time
}

const (
	// goneRetention is how long a removed upstream is remembered. Its address may belong to
	// another upstream by then; the ID tells them apart.
	goneRetention = 30 * time.Second
	// suspectDuration is how long an upstream that refused a connection gets no new work: about
	// two heartbeats of the upstreams.
	suspectDuration = 2 * time.Second
)

// Apply applies changes of the list, which must be all changes from the known revision up to
// the given one. A change that is older than what is known of its upstream has no effect. Apply
// returns the changes that had an effect.
func (f *Fleet) Apply(now time.Time, changes []Change, revision history.Point) []Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applyAll(now, changes, revision)
}

// applyWithGaps is like Apply for changes that may be incomplete.
func (f *Fleet) applyWithGaps(now time.Time, changes []Change, revision history.Point) []Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordGap(f.revision, revision)
	return f.applyAll(now, changes, revision)
}

func (f *Fleet) applyAll(now time.Time, changes []Change, revision history.Point) []Change {
	isFirst := f.revision.IsZero() // a host is ready once its placement got the first list
	f.revision = history.Latest(f.revision, revision)
	var news []Change
	for _, c := range changes {
		if f.apply(now, c) {
			news = append(news, c)
		}
	}
	f.notify(len(news) > 0 || isFirst)
	return news
}

// Replace replaces the list of upstreams by the whole list as of a revision; upstreams that it
// lacks are gone. It returns the changes that had an effect.
func (f *Fleet) Replace(now time.Time, list []Upstream, revision history.Point) []Change {
	changes := make([]Change, len(list))
	for i, u := range list {
		changes[i].Upstream = u
	}
	return f.ReplaceEntries(now, changes, revision)
}

// ReplaceEntries is like Replace, for a list that may contain unusable entries.
func (f *Fleet) ReplaceEntries(now time.Time, list []Change, revision history.Point) []Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.invalidate()
	before := f.revision
	var news []Change
	listed := make(map[member.UpstreamID]bool, len(list))
	for _, c := range list {
		listed[c.ID] = true
		if f.apply(now, c) {
			news = append(news, c)
		}
	}
	for id, k := range f.upstreams {
		if listed[id] || k.Revision.After(revision) {
			continue
		}
		if k.confirmEnded(revision) || f.markUnlisted(now, k, revision) {
			continue
		}
		gone := Change{Upstream: k.Upstream, Gone: true}
		gone.Revision = revision
		if f.apply(now, gone) {
			news = append(news, gone)
		}
	}
	f.recordGap(before, revision)
	f.notify(len(news) > 0 || before.IsZero())
	return news
}

// gap is an interval of the list's history, without its end points.
type gap struct{ from, to history.Point }

// maxGaps bounds the number of gaps that are remembered. Above it the oldest two are merged.
const maxGaps = 32

func (g gap) contains(p history.Point) bool { return g.from.Before(p) && p.Before(g.to) }

// recordGap records that the list is known as of a revision, but not every change since before.
func (f *Fleet) recordGap(before, revision history.Point) {
	f.revision = history.Latest(f.revision, revision)
	if !revision.After(before) {
		return
	}
	f.gaps = append(slices.DeleteFunc(f.gaps, func(g gap) bool { return !g.to.SameEra(revision) }), gap{before, revision})
	if len(f.gaps) > maxGaps {
		f.gaps[1].from = f.gaps[0].from
		f.gaps = f.gaps[1:]
	}
}

func (f *Fleet) apply(now time.Time, c Change) bool {
	f.invalidate()
	if f.upstreams == nil {
		f.upstreams = map[member.UpstreamID]*knownUpstream{}
	}
	k := f.upstreams[c.ID]
	if k == nil {
		// A removed upstream is added as well: hosts that follow this one may know the
		// upstream.
		k = newKnownUpstream(c.Upstream)
		if c.Missing {
			k.Revision = history.Point{}
		}
		f.upstreams[c.ID] = k
		f.index.add(k)
	}
	switch {
	case k.isPastIncarnation(c.Incarnation):
		return false
	case !c.BelievedFrom.IsZero():
		return f.deferRelisting(now, k, c)
	case k.pendingChange != nil && isFromEarlierEra(c.Revision, k.pendingChange.Revision):
		return false
	case !f.restore.Supersedes(c.Revision, k.Revision):
		return f.reconcile(now, k, c)
	default:
		return f.applyNewest(now, k, c)
	}
}

// applyNewest applies a change that is newer than what is known of the upstream. It reports
// whether the change had an effect.
func (f *Fleet) applyNewest(now time.Time, k *knownUpstream, c Change) bool {
	if c.Missing && k.confirmEnded(c.Revision) {
		return false
	}
	k.pendingChange = nil
	isRelisted, listedLeaving := k.isRelistedBy(c), c.Leaving
	switch {
	case c.Gone:
		return f.markGone(now, k, c.Revision)
	case c.Missing:
		return f.markMissing(now, k, c.Revision)
	case c.Unusable:
		return k.markUnusable(c.Revision)
	case c.Incarnation == 0:
		c.Incarnation = k.Incarnation
	case k.Incarnation != 0 && c.Incarnation != k.Incarnation:
		// The start time of the new incarnation may be the earlier one, as the upstream's clock
		// may have been set back. The order of the list's entries decides, not that of the
		// start times.
		f.startIncarnation(k, c.Incarnation)
	}
	before := k.Upstream
	if !c.Revision.SameEra(before.Revision) {
		before.Revision = c.Revision
	}
	same := !k.gone && !k.missing && !k.unusable && before == c.Upstream
	switch stays := !c.Leaving && !k.leavingDeclared; {
	case stays && k.leavingUnconfirmed && !k.retiredByRollout && c.Revision == k.Revision:
		// The entry is older than the sign, so the upstream is asked.
		isRelisted = k.relisted.at.IsZero()
	case stays && (k.leavingUnconfirmed || k.gone && c.Revision.After(k.Revision)):
		// A newer entry overrides other sources, and an entry that expired while its upstream was
		// partitioned comes back.
		k.cancelLeaving()
		k.relisted = relistedState{}
	}
	// An incarnation that reported that it leaves never comes back.
	k.leavingDeclared = k.leavingDeclared || c.Leaving
	c.Leaving = c.Leaving || k.Leaving
	k.gone = k.gone && c.Revision == k.Revision
	if k.Address != c.Address {
		k.unreached = unreachedState{}
	}
	switch {
	case isRelisted:
		f.setRelisted(now, k)
	case listedLeaving:
		k.relisted = relistedState{}
	}
	if k.Service != c.Service || k.Zone != c.Zone {
		f.index.remove(k)
		defer f.index.add(k)
	}
	k.Upstream, k.missing, k.missingSinceRestore, k.unusable, k.coldUntil = c.Upstream, false, false, false, c.ColdUntil
	f.coldUntil = laterOf(f.coldUntil, c.ColdUntil)
	if c.Leaving {
		k.startLeaving(now, SourceList)
	}
	return !same
}

func newKnownUpstream(u Upstream) *knownUpstream {
	return &knownUpstream{Upstream: u}
}

// markUnusable records that the upstream's entry cannot be used as of a revision. Requests that
// it already has go on, and a usable entry makes it take work again.
func (k *knownUpstream) markUnusable(revision history.Point) bool {
	k.Revision = revision
	if k.unusable || k.gone {
		return false
	}
	k.unusable = true
	return true
}

// markMissing records that the followed peer does not find the upstream on the list, but does
// not treat it as gone yet. It always returns false, as the upstream does not count as gone
// here, either.
func (f *Fleet) markMissing(now time.Time, k *knownUpstream, revision history.Point) bool {
	if f.markUnlisted(now, k, revision) {
		return false
	}
	if k.gone || k.Leaving || revision == k.Revision && !k.missing {
		return false
	}
	k.Revision, k.missing = revision, true
	f.trustMissingFrom = laterOf(f.trustMissingFrom, now.Add(listSettleTime))
	return false
}

// markGone records that the upstream was removed from the list at a revision. It only marks the
// upstream as missing if it may be listed again after a restore, or, unless it is leaving, if
// there was an outage. It reports whether the upstream is newly gone.
func (f *Fleet) markGone(now time.Time, k *knownUpstream, revision history.Point) bool {
	// The revision rises even if the upstream is gone already: hosts that follow this one may
	// know the upstream as it was before this revision, and receive only what is newer than
	// their own state.
	k.Revision = history.Latest(k.Revision, revision)
	if k.gone {
		return false
	}
	if now.Before(f.trustMissingFrom) && !k.Leaving || f.mayBeRelisted(now, k) {
		k.missing = true
		return false
	}
	k.gone, k.missing, k.missingSinceRestore, k.leavingUnconfirmed = true, false, false, false
	k.droppedAt, k.relisted = now, relistedState{}
	k.startLeaving(now, SourceList)
	return true
}

// changeForPeers is the state of the upstream as sent to hosts that follow this one, or its
// pending change. Signs of leaving from other sources than the list can be taken back and are
// shared separately, so the change contains only what came with the list.
func (k *knownUpstream) changeForPeers() Change {
	c := Change{Upstream: k.Upstream, Gone: k.gone, Missing: k.missing, Unusable: k.unusable, ColdUntil: k.coldUntil}
	c.Leaving = k.Leaving && (k.leavingDeclared || !k.leavingUnconfirmed) && k.relisted.at.IsZero()
	if k.pendingChange != nil {
		return *k.pendingChange
	}
	return c
}

// cancelLeaving records that the upstream does not leave after all.
func (k *knownUpstream) cancelLeaving() {
	k.Leaving, k.leavingUnconfirmed, k.retiredByRollout, k.leavingSince, k.leavingStarted, k.leavingSource = false, false, false, time.Time{}, nil, ""
}

// startLeaving marks the upstream as leaving. source is recorded if it is the first one.
func (k *knownUpstream) startLeaving(now time.Time, source LeavingSource) {
	k.Leaving = true
	if k.leavingSince.IsZero() {
		k.leavingSince, k.leavingSource = now, source
		if k.leavingStarted != nil {
			close(k.leavingStarted)
		}
	}
}

// leavingChannel returns a channel that is closed when the upstream starts leaving.
func (k *knownUpstream) leavingChannel() <-chan struct{} {
	if k.leavingStarted == nil {
		k.leavingStarted = make(chan struct{})
		if !k.leavingSince.IsZero() {
			close(k.leavingStarted)
		}
	}
	return k.leavingStarted
}

// MarkLeaving records that a source other than the list indicates that an upstream leaves.
// remaining is how long the upstream will still serve; zero if unknown. With ownFinding the
// sign was observed by this host, which shares it with its peers. MarkLeaving reports whether
// the sign is new.
func (f *Fleet) MarkLeaving(now time.Time, id member.UpstreamID, remaining time.Duration, ownFinding bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.upstreams[id]
	if k == nil || k.Leaving {
		return false
	}
	source := SourcePeer
	if ownFinding {
		source = SourceHost
		f.shareLeaving(k, now.Add(observedLeavingShareTime))
	}
	k.startLeaving(now, source)
	k.leavingUnconfirmed = true
	if remaining > 0 {
		k.expectedEnd = now.Add(remaining)
	}
	f.notify(true)
	return true
}

// Suspect keeps new work from an upstream for suspectDuration.
func (f *Fleet) Suspect(now time.Time, id member.UpstreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.upstreams[id]; k != nil {
		k.suspectUntil = now.Add(suspectDuration)
		f.notify(true)
	}
}

// invalidate discards the cached available upstreams and increments the generation.
func (f *Fleet) invalidate() {
	f.generation++
	f.index.availableCache = nil
}

// notify wakes those that wait for a change if changed is true.
func (f *Fleet) notify(changed bool) {
	if changed {
		f.invalidate()
	}
	if changed && f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// WakeWaiters closes the channel of Changed although nothing has changed in the fleet.
func (f *Fleet) WakeWaiters() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notify(true)
}

// Changed returns a channel that is closed at the next change.
func (f *Fleet) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}
