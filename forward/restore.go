// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"github.com/shedpath/shedpath/history"
)

// A restored origin lacks what it acknowledged after the backup was made. What was written since the
// restore is authoritative; otherwise what this host knew stays valid for a grace period, in which
// upstreams and operators write it again.

const (
	// relistGrace is how long after a restore the list may lack living upstreams.
	relistGrace = listSettleTime
	// entryLapseGrace is how long after a restore the list may contain upstreams that have ended:
	// their entries expire after three missed heartbeats of 1.2 s.
	entryLapseGrace = 5 * time.Second
	// zoneOrderGrace is how long after a restore a zone's order stays as it was known, unless it is
	// given again, when the backup lacks the order or contains one that was withdrawn.
	zoneOrderGrace = 30 * time.Second
)

// restoreStats counts the differences between a restored list and what this host knew.
type restoreStats struct {
	from, to history.Point
	// stillLeaving counts the upstreams that leave although the backup doesn't say so, notListed
	// those that it lacks, listedButEnded those that it contains although they have ended, and
	// zoneOrdersKept the zones whose orders differ in it.
	stillLeaving, notListed, listedButEnded, zoneOrdersKept int
}

// enterEra records that the origin is at a point whose era was first seen at another point some
// time ago. It must be called before any change that was read there is applied.
func (f *Fleet) enterEra(now time.Time, at, firstSeen history.Point, firstSeenAgo time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restore.Observe(firstSeen)
	if !f.revision.IsZero() && at.Era() <= f.revision.Era() {
		return
	}
	f.eraFirstSeen = now.Add(-max(firstSeenAgo, 0))
	if f.revision.IsZero() {
		return
	}
	f.restoreStats = &restoreStats{from: f.revision, to: at}
	f.notify(true)
}

// OriginEra returns the origin's era as this host knows it.
func (f *Forwarder) OriginEra() history.Era { return f.fleet.Revision().Era() }

// PeersInOtherEra counts the live peers that know another era.
func (f *Forwarder) PeersInOtherEra() int {
	now, era := f.now(), f.OriginEra()
	return f.peers.count(func(s *peerState) bool { return s.live(now) && s.listRevision.Era() != era })
}

// isFromEarlierEra reports whether something was known before the era of what is read now.
func isFromEarlierEra(known, read history.Point) bool { return known.Era() < read.Era() }

// reconcile handles a listed change that may be older than what is known of the upstream. It
// reports whether the change made a difference.
func (f *Fleet) reconcile(now time.Time, k *knownUpstream, c Change) bool {
	knownBeforeRestore := isFromEarlierEra(k.Revision, c.Revision)
	switch {
	case knownBeforeRestore && c.Gone:
		// The sender has already waited for the upstream to be listed again.
		return f.applyNewest(now, k, c)
	case knownBeforeRestore && c.Missing:
		if !k.confirmEnded(c.Revision) {
			f.markUnlisted(now, k, c.Revision)
		}
		return false
	case k.Revision.SameEra(c.Revision), c.Gone, c.Missing, c.Unusable:
		return false
	}
	sameLife := c.Incarnation == 0 || k.Incarnation == 0 || c.Incarnation == k.Incarnation
	if c.Leaving && sameLife && !k.Leaving {
		// Leaving is final within one life, so it holds in whatever order the changes arrive.
		k.leavingDeclared = true
		k.startLeaving(now, SourceList)
		if knownBeforeRestore {
			k.Revision = c.Revision
		} else {
			f.shareLeaving(k, now.Add(declaredLeavingShareTime))
		}
		return true
	}
	if !knownBeforeRestore {
		return false
	}
	switch {
	case c.Incarnation.newerThan(k.Incarnation):
		return f.applyNewest(now, k, c)
	case k.gone && k.pendingChange == nil:
		c.BelievedFrom = f.eraFirstSeen.Add(entryLapseGrace)
		k.pendingChange = &c
		f.restoreStats.update(func(r *restoreStats) { r.listedButEnded++ })
	case k.missing:
		return f.applyNewest(now, k, c)
	case k.leavingDeclared && !c.Leaving:
		f.shareLeaving(k, now.Add(declaredLeavingShareTime))
		f.restoreStats.update(func(r *restoreStats) { r.stillLeaving++ })
	case !k.gone:
		k.Revision = c.Revision
	}
	return false
}

// deferRelisting handles an entry of the backup that a peer doesn't accept yet because it knew the
// upstream to have ended. A host that knows only the backup's entry doesn't accept it, either.
func (f *Fleet) deferRelisting(now time.Time, k *knownUpstream, c Change) bool {
	switch {
	case k.gone:
		k.pendingChange = &c
		return false
	case k.Revision.After(c.Revision):
		return false
	}
	k.gone, k.missing, k.missingSinceRestore, k.droppedAt, k.pendingChange = true, false, false, now, &c
	k.Revision = history.Point{}
	k.startLeaving(now, SourcePeer)
	return true
}

// markUnlisted records that a list of a new era lacks an upstream. It reports false if the upstream
// has ended or is known in that era already.
func (f *Fleet) markUnlisted(now time.Time, k *knownUpstream, at history.Point) bool {
	if k.gone || !isFromEarlierEra(k.Revision, at) {
		return false
	}
	k.Revision, k.missing, k.missingSinceRestore = at, true, true
	f.restoreStats.update(func(r *restoreStats) { r.notListed++ })
	if k.leavingDeclared {
		f.shareLeaving(k, now.Add(declaredLeavingShareTime))
	}
	return true
}

// confirmEnded handles a list that lacks an upstream, and reports whether the upstream is known to
// have ended. A pending entry of the backup is dropped, and the revision rises so that followers
// which may hold that entry are told.
func (k *knownUpstream) confirmEnded(at history.Point) bool {
	if k.pendingChange != nil {
		k.pendingChange, k.Revision = nil, at
	}
	return k.gone
}

// mayBeRelisted reports whether an upstream that a restored list lacks may still be written again.
func (f *Fleet) mayBeRelisted(now time.Time, k *knownUpstream) bool {
	return k.missingSinceRestore && now.Before(f.eraFirstSeen.Add(relistGrace))
}

// deferZoneOrder keeps a zone's order as it was known before a restore, until the order of the
// backup is accepted.
func (f *Fleet) deferZoneOrder(o ZoneOrder) {
	known := f.zones[o.Zone]
	o.BelievedFrom = f.eraFirstSeen.Add(zoneOrderGrace)
	if known.pending != nil {
		o.BelievedFrom = known.pending.BelievedFrom
	} else {
		f.restoreStats.update(func(r *restoreStats) { r.zoneOrdersKept++ })
	}
	known.pending = &o
	f.setZoneState(known)
}

// SettleZoneOrders accepts the zone orders of a restored list whose grace period is over. It
// returns the orders that made a difference.
func (f *Fleet) SettleZoneOrders(now time.Time) []ZoneOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	var changed []ZoneOrder
	for zone, known := range f.zones {
		if known.pending == nil || now.Before(known.pending.BelievedFrom) {
			continue
		}
		o := *known.pending
		o.BelievedFrom = time.Time{}
		f.zones[zone] = zoneState{ZoneOrder: o, learnedAt: now}
		if known.OutOfService != o.OutOfService {
			changed = append(changed, o)
		}
	}
	f.notify(len(changed) > 0)
	return changed
}

// update changes the counts of a restore. It does nothing on nil, which stands for a list without a
// restore.
func (r *restoreStats) update(change func(*restoreStats)) {
	if r != nil {
		change(r)
	}
}

// takeRestoreStats returns the counts of a restore since the last call; nil if there was none.
func (f *Fleet) takeRestoreStats() *restoreStats {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.restoreStats
	f.restoreStats = nil
	return r
}

// logRestore logs that the origin was restored, and has the held requests saved again.
func (f *Forwarder) logRestore() {
	r := f.fleet.takeRestoreStats()
	if r == nil {
		return
	}
	f.journal.HostEvent("origin restored from a copy", "from", r.from, "to", r.to, "still_leaving", r.stillLeaving,
		"not_listed", r.notListed, "listed_but_ended", r.listedButEnded, "zone_orders_kept", r.zoneOrdersKept)
	f.queueHeldAgain(f.now())
}
