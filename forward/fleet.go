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

// Upstream is one engine or plain service instance as the host list has it.
type Upstream struct {
	ID      member.UpstreamID
	Service ServiceName
	// Address is IP:port.
	Address string
	Zone    member.Zone
	// Slots is how many requests it works on at once.
	Slots   int
	Leaving bool
	// Version is of its software; empty where that isn't told.
	Version rollout.Version
	// Incarnation tells this start of the upstream from others under the same id.
	Incarnation Incarnation
	// Revision is where in the list's history this was written.
	Revision history.Point
}

// Change is one change of the host list: an upstream as it now is, or, with
// Gone, one that was dropped from the list at Upstream.Revision.
type Change struct {
	Upstream
	Gone bool
	// Missing says that the list lacks it, but that who tells so doesn't believe
	// yet that it is gone.
	Missing bool
	// Unusable says that its entry names no upstream that could be used: nothing else
	// than the id and the revision is known, and it gets no new work.
	Unusable bool
	// ColdUntil is when it will be warm; zero for one that isn't cold.
	ColdUntil time.Time
	// BelievedFrom is when this is believed of an upstream that had ended before the list was
	// restored from a copy, which still has it; zero for others.
	BelievedFrom time.Time
}

// Fleet is what this host believes about the upstreams. The zero value knows
// none and works. It is safe for use by several goroutines.
//
// An upstream that the list dropped stays known as leaving for a while, for it
// goes on serving what it already runs.
type Fleet struct {
	mu        sync.Mutex
	upstreams map[member.UpstreamID]*knownUpstream
	// revision is the one up to which every change is known. A single upstream may be
	// known as of a newer one: a list that is read in pages isn't of one moment.
	revision history.Point
	// restore tells what the origin wrote in the present era, which was first seen at eraSince by
	// this host or who told it; restored counts what came of the last restore.
	restore      history.Restore
	eraFirstSeen time.Time
	restoreStats *restoreStats
	// forgottenUpTo is the newest revision at which something was dropped that isn't
	// remembered any more.
	forgottenUpTo history.Point
	// coldUntil is when the last upstream will be warm that was ever cold.
	coldUntil time.Time
	// ownFailingUntil and shareLeavingUntil are the latest of all upstreams', so that hosts which have
	// found nothing lately needn't look through them for each share.
	ownFailingUntil, shareLeavingUntil time.Time
	// restarted are upstreams that have begun a new life since TakeRenewed.
	restarted []member.UpstreamID
	// gaps are passed over by readings of the whole list, and maybe by who told what is new: what
	// came and went in them was never known here.
	gaps []gap
	// trustMissingFrom is when a missing upstream is believed to be gone: during
	// and shortly after an outage the list may lack upstreams that live.
	trustMissingFrom time.Time
	// zones holds the newest order about each zone that there ever was one about.
	zones map[member.Zone]zoneState
	// generation rises with each change.
	generation uint64
	// index finds upstreams by service and cell.
	index fleetIndex
	// changed closes at the next change and is made anew.
	changed chan struct{}
}

// knownUpstream is an upstream and the marks that this host has put on it.
type knownUpstream struct {
	Upstream
	// gone says that the list no longer has it; missing, that the list lacks
	// it but isn't believed yet.
	gone, missing bool
	// missingSinceRestore says that it is missing because the copy that the list was restored from lacks
	// it: it takes work until relistedBy.
	missingSinceRestore bool
	// pendingChange is what the copy says of an upstream that was gone, which is believed from its
	// BelievedFrom on; nil for none.
	pendingChange *Change
	// droppedAt is when it was dropped last.
	droppedAt time.Time
	// leavingDeclared says that the list told that it leaves, and didn't just drop it.
	leavingDeclared bool
	// leavingSince is when it was first known to be leaving; zero while it isn't.
	leavingSince time.Time
	// unusable says that its entry can't be used any more.
	unusable bool
	// coldUntil is when it will be warm; zero for one that isn't cold.
	coldUntil time.Time
	// incarnationEnded closes when its life is incarnationEnded and another has begun under its id; nil while nobody has
	// asked for it.
	incarnationEnded chan struct{}
	// pastIncarnations are the lives before, the latest last.
	pastIncarnations []Incarnation
	// expectedEnd is when it ends; zero while that isn't known.
	expectedEnd time.Time
	// shareLeavingUntil is until when peers are told of this host's own word that it leaves, which
	// isn't the list's; zero where it has none.
	shareLeavingUntil time.Time
	// leavingSelfReported says that the upstream itself told that it leaves; nothing but a new life takes
	// that back.
	leavingSelfReported bool
	// leavingSource is who told first that it leaves; empty while it doesn't.
	leavingSource LeavingSource
	// retiredByRollout says that a rollout has it be left.
	retiredByRollout bool
	// leavingUnconfirmed says that only another sign than the list's tells that it leaves.
	leavingUnconfirmed bool
	// leavingStarted closes when it starts leavingStarted; nil while nobody has asked for it.
	leavingStarted chan struct{}
	// suspectUntil keeps new work away after a connection failed.
	suspectUntil time.Time
	// consecutiveFailures counts the requests that were lost there in a row.
	consecutiveFailures int
	// ownFailingUntil is how long this host's own finding keeps new work away.
	ownFailingUntil time.Time
}

const (
	// goneRetention is how long a dropped upstream is remembered. Its address may
	// be another's by then; the id guards against that.
	goneRetention = 30 * time.Second
	// suspectDuration is how long an upstream that refused a connection gets no new
	// work: about two heartbeats of the upstreams.
	suspectDuration = 2 * time.Second
)

// Apply takes changes of the list in, which are all that there were since the revision
// that was known up to another. Older ones than what is known of the same upstream change
// nothing. It returns those that made a difference.
func (f *Fleet) Apply(now time.Time, changes []Change, at history.Point) []Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applyAll(now, changes, at)
}

// applyWithGaps is Apply for what may lack some of the changes.
func (f *Fleet) applyWithGaps(now time.Time, changes []Change, at history.Point) []Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordGap(f.revision, at)
	return f.applyAll(now, changes, at)
}

func (f *Fleet) applyAll(now time.Time, changes []Change, at history.Point) []Change {
	f.revision = history.Latest(f.revision, at)
	var news []Change
	for _, c := range changes {
		if f.apply(now, c) {
			news = append(news, c)
		}
	}
	f.notify(len(news) > 0)
	return news
}

// Replace takes in the whole list of upstreams as of a revision: what it lacks is gone.
func (f *Fleet) Replace(now time.Time, list []Upstream, at history.Point) []Change {
	changes := make([]Change, len(list))
	for i, u := range list {
		changes[i].Upstream = u
	}
	return f.ReplaceEntries(now, changes, at)
}

// ReplaceEntries is Replace for a list of which not every entry can be used.
func (f *Fleet) ReplaceEntries(now time.Time, list []Change, at history.Point) []Change {
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
		if listed[id] || k.Revision.After(at) {
			continue
		}
		if k.confirmEnded(at) || f.markUnlisted(now, k, at) {
			continue
		}
		gone := Change{Upstream: k.Upstream, Gone: true}
		gone.Revision = at
		if f.apply(now, gone) {
			news = append(news, gone)
		}
	}
	f.recordGap(before, at)
	f.notify(len(news) > 0)
	return news
}

// gap is a part of the list's history, without its ends.
type gap struct{ from, to history.Point }

// maxGaps bounds how many are remembered; the oldest are joined.
const maxGaps = 32

func (g gap) contains(p history.Point) bool { return g.from.Before(p) && p.Before(g.to) }

// recordGap takes in that the list is known as of a revision, but not each change since
// the one that was known before.
func (f *Fleet) recordGap(before, at history.Point) {
	f.revision = history.Latest(f.revision, at)
	if !at.After(before) {
		return
	}
	f.gaps = append(slices.DeleteFunc(f.gaps, func(g gap) bool { return !g.to.SameEra(at) }), gap{before, at})
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
		// Also one that isn't there any more: those who follow this host may know it.
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

// applyNewest takes in what is the newest known of an upstream.
func (f *Fleet) applyNewest(now time.Time, k *knownUpstream, c Change) bool {
	if c.Missing && k.confirmEnded(c.Revision) {
		return false
	}
	k.pendingChange = nil
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
		// Also one that was born earlier by its clock, which may have been set back: the
		// order of the list's entries decides, not that of births.
		f.startIncarnation(k, c.Incarnation)
	}
	before := k.Upstream
	if !c.Revision.SameEra(before.Revision) {
		before.Revision = c.Revision
	}
	same := !k.gone && !k.missing && !k.unusable && before == c.Upstream
	if !c.Leaving && !k.leavingDeclared && (k.leavingUnconfirmed || k.gone && c.Revision.After(k.Revision)) {
		// The list knows better than other signs; and an entry that ran out
		// while its upstream was cut off comes back.
		k.cancelLeaving()
	}
	// An id is of one incarnation: once it has said that it leaves, it never
	// comes back.
	k.leavingDeclared = k.leavingDeclared || c.Leaving
	c.Leaving = c.Leaving || k.Leaving
	k.gone = k.gone && c.Revision == k.Revision
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

// markUnusable takes in that the upstream's entry can't be used as of a revision. What runs
// there goes on, and an entry that can be used gives it work again.
func (k *knownUpstream) markUnusable(at history.Point) bool {
	k.Revision = at
	if k.unusable || k.gone {
		return false
	}
	k.unusable = true
	return true
}

// markMissing takes in that whom this host follows doesn't find an upstream on the list,
// and doesn't believe yet that it is gone.
func (f *Fleet) markMissing(now time.Time, k *knownUpstream, at history.Point) bool {
	if f.markUnlisted(now, k, at) {
		return false
	}
	if k.gone || k.Leaving || at == k.Revision && !k.missing {
		return false
	}
	k.Revision, k.missing = at, true
	f.trustMissingFrom = laterOf(f.trustMissingFrom, now.Add(listSettleTime))
	return false
}

func (f *Fleet) markGone(now time.Time, k *knownUpstream, at history.Point) bool {
	// Also of one that is gone already: those who follow this host may know it as it
	// was before this revision, and are told what is newer than theirs.
	k.Revision = history.Latest(k.Revision, at)
	if k.gone {
		return false
	}
	if now.Before(f.trustMissingFrom) && !k.Leaving || f.mayBeRelisted(now, k) {
		k.missing = true
		return false
	}
	k.gone, k.missing, k.missingSinceRestore, k.leavingUnconfirmed = true, false, false, false
	k.droppedAt = now
	k.startLeaving(now, SourceList)
	return true
}

// changeForPeers is the upstream as a peer that follows this host is told of it. Signs other than
// the list's travel by themselves, and are taken back; what came with the list stays.
func (k *knownUpstream) changeForPeers() Change {
	c := Change{Upstream: k.Upstream, Gone: k.gone, Missing: k.missing, Unusable: k.unusable, ColdUntil: k.coldUntil}
	c.Leaving = k.Leaving && (k.leavingDeclared || !k.leavingUnconfirmed)
	if k.pendingChange != nil {
		return *k.pendingChange
	}
	return c
}

// cancelLeaving takes back that the upstream leaves.
func (k *knownUpstream) cancelLeaving() {
	k.Leaving, k.leavingUnconfirmed, k.retiredByRollout, k.leavingSince, k.leavingStarted, k.leavingSource = false, false, false, time.Time{}, nil, ""
}

// startLeaving marks the upstream as leaving, for good.
func (k *knownUpstream) startLeaving(now time.Time, source LeavingSource) {
	k.Leaving = true
	if k.leavingSince.IsZero() {
		k.leavingSince, k.leavingSource = now, source
		if k.leavingStarted != nil {
			close(k.leavingStarted)
		}
	}
}

// leavingChannel closes when the upstream starts leaving.
func (k *knownUpstream) leavingChannel() <-chan struct{} {
	if k.leavingStarted == nil {
		k.leavingStarted = make(chan struct{})
		if !k.leavingSince.IsZero() {
			close(k.leavingStarted)
		}
	}
	return k.leavingStarted
}

// MarkLeaving takes in another sign than the list's that an upstream leaves; in
// is how long it will still serve, zero when that isn't known. Own observations
// are told to the peers. It reports whether that is new.
func (f *Fleet) MarkLeaving(now time.Time, id member.UpstreamID, in time.Duration, own bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.upstreams[id]
	if k == nil || k.Leaving {
		return false
	}
	source := SourcePeer
	if own {
		source = SourceHost
		f.tellPeers(k, now.Add(markShared))
	}
	k.startLeaving(now, source)
	k.leavingUnconfirmed = true
	if in > 0 {
		k.expectedEnd = now.Add(in)
	}
	f.notify(true)
	return true
}

// Suspect keeps new work from an upstream for a while.
func (f *Fleet) Suspect(now time.Time, id member.UpstreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.upstreams[id]; k != nil {
		k.suspectUntil = now.Add(suspectDuration)
		f.notify(true)
	}
}

// invalidate has who takes work be worked out anew.
func (f *Fleet) invalidate() {
	f.generation++
	f.index.availableCache = nil
}

func (f *Fleet) notify(changed bool) {
	if changed {
		f.invalidate()
	}
	if changed && f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// WakeWaiters closes the channel of Changed although nothing has changed here.
func (f *Fleet) WakeWaiters() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notify(true)
}

// Changed returns a channel that closes at the next change.
func (f *Fleet) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}
