// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"github.com/shedpath/shedpath/history"
)

// A restored origin lacks what it acknowledged after the copy was made. What was written since the
// restore is authoritative; otherwise what this host knew stands for a while, in which upstreams
// and operators write it again.

const (
	// relistGrace is how long after a restore the list may lack upstreams that live.
	relistGrace = listSettleTime
	// entryLapseGrace is how long after a restore the list may have upstreams that have ended:
	// their entries lapse after three heartbeats of 1.2 s.
	entryLapseGrace = 5 * time.Second
	// zoneOrderGrace is how long an order about a zone that the copy lacks, or has and was taken
	// back, is kept as it was known unless it is given again.
	zoneOrderGrace = 30 * time.Second
)

// restoreStats are what came of a restore.
type restoreStats struct {
	from, to history.Point
	// stillLeaving are the upstreams that leave though the copy doesn't say so, notListed those that
	// it lacks, listedButEnded those that it has although they were gone, and zoneOrdersKept the zoneOrdersKept whose
	// orders it tells otherwise.
	stillLeaving, notListed, listedButEnded, zoneOrdersKept int
}

// enterEra takes in that the origin is at a point, whose era was first seen at another some time
// ago. It is to be called before any change that was read there is applied.
func (f *Fleet) enterEra(now time.Time, at, first history.Point, ago time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restore.Observe(first)
	if !f.revision.IsZero() && at.Era() <= f.revision.Era() {
		return
	}
	f.eraFirstSeen = now.Add(-max(ago, 0))
	if f.revision.IsZero() {
		return
	}
	f.restoreStats = &restoreStats{from: f.revision, to: at}
	f.notify(true)
}

// OriginEra is the origin's era as this host knows it.
func (f *Forwarder) OriginEra() history.Era { return f.fleet.Revision().Era() }

// PeersInOtherEra counts the other hosts, heard lately, that know another era.
func (f *Forwarder) PeersInOtherEra() int {
	now, era := f.now(), f.OriginEra()
	return f.peers.count(func(s *peerState) bool { return s.live(now) && s.listRevision.Era() != era })
}

// isFromEarlierEra reports whether something was known before the era of what is read now.
func isFromEarlierEra(known, read history.Point) bool { return known.Era() < read.Era() }

// reconcile takes in what a list says that may be older than what is known of the upstream.
func (f *Fleet) reconcile(now time.Time, k *knownUpstream, c Change) bool {
	restored := isFromEarlierEra(k.Revision, c.Revision)
	switch {
	case restored && c.Gone:
		// Whoever tells so has waited for it to be listed again.
		return f.applyNewest(now, k, c)
	case restored && c.Missing:
		if !k.confirmEnded(c.Revision) {
			f.markUnlisted(now, k, c.Revision)
		}
		return false
	case k.Revision.SameEra(c.Revision), c.Gone, c.Missing, c.Unusable:
		return false
	}
	sameLife := c.Incarnation == 0 || k.Incarnation == 0 || c.Incarnation == k.Incarnation
	if c.Leaving && sameLife && !k.Leaving {
		// Nothing takes that back in one life, so it holds in whatever order it is heard.
		k.leavingDeclared = true
		k.startLeaving(now, SourceList)
		if restored {
			k.Revision = c.Revision
		} else {
			f.tellPeers(k, now.Add(saidShared))
		}
		return true
	}
	if !restored {
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
		f.tellPeers(k, now.Add(saidShared))
		f.restoreStats.update(func(r *restoreStats) { r.stillLeaving++ })
	case !k.gone:
		k.Revision = c.Revision
	}
	return false
}

// deferRelisting takes in an entry of the copy that a peer doesn't believe yet, for it knew the
// upstream to have ended. A host that has only the copy's word doesn't believe it, either.
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

// markUnlisted takes in that a list of a new era lacks an upstream. It reports false for one that was
// known in that era already.
func (f *Fleet) markUnlisted(now time.Time, k *knownUpstream, at history.Point) bool {
	if k.gone || !isFromEarlierEra(k.Revision, at) {
		return false
	}
	k.Revision, k.missing, k.missingSinceRestore = at, true, true
	f.restoreStats.update(func(r *restoreStats) { r.notListed++ })
	if k.leavingDeclared {
		f.tellPeers(k, now.Add(saidShared))
	}
	return true
}

// confirmEnded takes in that a list lacks an upstream, and reports whether it is known to have
// ended. Those who follow this host are told, if they may hold the copy's entry.
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

// deferZoneOrder keeps a zone's order as it was known before a restore, until what the copy has is
// believed.
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

// SettleZoneOrders believes what a restored list has said of zones for long enough. It returns the
// orders that made a difference.
func (f *Fleet) SettleZoneOrders(now time.Time) []ZoneOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	var news []ZoneOrder
	for zone, known := range f.zones {
		if known.pending == nil || now.Before(known.pending.BelievedFrom) {
			continue
		}
		o := *known.pending
		o.BelievedFrom = time.Time{}
		f.zones[zone] = zoneState{ZoneOrder: o, learnedAt: now}
		if known.OutOfService != o.OutOfService {
			news = append(news, o)
		}
	}
	f.notify(len(news) > 0)
	return news
}

// update adds to what came of a restore; there is none for a list of an era that is known.
func (r *restoreStats) update(add func(*restoreStats)) {
	if r != nil {
		add(r)
	}
}

// takeRestoreStats returns what came of a restore since the last call; nil when there was none.
func (f *Fleet) takeRestoreStats() *restoreStats {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.restoreStats
	f.restoreStats = nil
	return r
}

// logRestore logs that the origin was restored.
func (f *Forwarder) logRestore() {
	r := f.fleet.takeRestoreStats()
	if r == nil {
		return
	}
	f.journal.HostEvent("origin restored from a copy", "from", r.from, "to", r.to, "still_leaving", r.stillLeaving,
		"not_listed", r.notListed, "listed_but_ended", r.listedButEnded, "zone_orders_kept", r.zoneOrdersKept)
	f.queueHeldAgain(f.now())
}
