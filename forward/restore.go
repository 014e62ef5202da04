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
	// relistWithin is how long after a restore the list may lack upstreams that live.
	relistWithin = listSettles
	// lapseWithin is how long after a restore the list may have upstreams that have ended:
	// their entries lapse after three heartbeats of 1.2 s.
	lapseWithin = 5 * time.Second
	// reorderWithin is how long an order about a zone that the copy lacks, or has and was taken
	// back, is kept as it was known unless it is given again.
	reorderWithin = 30 * time.Second
)

// restoreCounts are what came of a restore.
type restoreCounts struct {
	from, to history.Point
	// leaving are the upstreams that leave though the copy doesn't say so, unlisted those that
	// it lacks, ended those that it has although they were gone, and zones the zones whose
	// orders it tells otherwise.
	leaving, unlisted, ended, zones int
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
	f.eraSince = now.Add(-max(ago, 0))
	if f.revision.IsZero() {
		return
	}
	f.restored = &restoreCounts{from: f.revision, to: at}
	f.notify(true)
}

// OriginEra is the origin's era as this host knows it.
func (f *Forwarder) OriginEra() history.Era { return f.fleet.Revision().Era() }

// PeersInOtherEra counts the other hosts, heard lately, that know another era.
func (f *Forwarder) PeersInOtherEra() int {
	now, era := f.now(), f.OriginEra()
	return f.peers.count(func(s *peerState) bool { return s.live(now) && s.list.Era() != era })
}

// ofEarlierEra reports whether something was known before the era of what is read now.
func ofEarlierEra(known, read history.Point) bool { return known.Era() < read.Era() }

// reconcile takes in what a list says that may be older than what is known of the upstream.
func (f *Fleet) reconcile(now time.Time, k *known, c Change) bool {
	restored := ofEarlierEra(k.Revision, c.Revision)
	switch {
	case restored && c.Gone:
		// Whoever tells so has waited for it to be listed again.
		return f.set(now, k, c)
	case restored && c.Missing:
		if !k.confirmEnded(c.Revision) {
			f.unlist(now, k, c.Revision)
		}
		return false
	case k.Revision.SameEra(c.Revision), c.Gone, c.Missing, c.Unusable:
		return false
	}
	sameLife := c.Life == 0 || k.Life == 0 || c.Life == k.Life
	if c.Leaving && sameLife && !k.Leaving {
		// Nothing takes that back in one life, so it holds in whatever order it is heard.
		k.declared = true
		k.leave(now, SourceList)
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
	case c.Life.newerThan(k.Life):
		return f.set(now, k, c)
	case k.gone && k.pending == nil:
		c.BelievedFrom = f.eraSince.Add(lapseWithin)
		k.pending = &c
		f.restored.count(func(r *restoreCounts) { r.ended++ })
	case k.missing:
		return f.set(now, k, c)
	case k.declared && !c.Leaving:
		f.tellPeers(k, now.Add(saidShared))
		f.restored.count(func(r *restoreCounts) { r.leaving++ })
	case !k.gone:
		k.Revision = c.Revision
	}
	return false
}

// deferRelisting takes in an entry of the copy that a peer doesn't believe yet, for it knew the
// upstream to have ended. A host that has only the copy's word doesn't believe it, either.
func (f *Fleet) deferRelisting(now time.Time, k *known, c Change) bool {
	switch {
	case k.gone:
		k.pending = &c
		return false
	case k.Revision.After(c.Revision):
		return false
	}
	k.gone, k.missing, k.unlisted, k.droppedAt, k.pending = true, false, false, now, &c
	k.Revision = history.Point{}
	k.leave(now, SourcePeer)
	return true
}

// unlist takes in that a list of a new era lacks an upstream. It reports false for one that was
// known in that era already.
func (f *Fleet) unlist(now time.Time, k *known, at history.Point) bool {
	if k.gone || !ofEarlierEra(k.Revision, at) {
		return false
	}
	k.Revision, k.missing, k.unlisted = at, true, true
	f.restored.count(func(r *restoreCounts) { r.unlisted++ })
	if k.declared {
		f.tellPeers(k, now.Add(saidShared))
	}
	return true
}

// confirmEnded takes in that a list lacks an upstream, and reports whether it is known to have
// ended. Those who follow this host are told, if they may hold the copy's entry.
func (k *known) confirmEnded(at history.Point) bool {
	if k.pending != nil {
		k.pending, k.Revision = nil, at
	}
	return k.gone
}

// mayBeRelisted reports whether an upstream that a restored list lacks may still be written again.
func (f *Fleet) mayBeRelisted(now time.Time, k *known) bool {
	return k.unlisted && now.Before(f.eraSince.Add(relistWithin))
}

// deferOrder keeps a zone's order as it was known before a restore, until what the copy has is
// believed.
func (f *Fleet) deferOrder(o ZoneOrder) {
	known := f.zones[o.Zone]
	o.BelievedFrom = f.eraSince.Add(reorderWithin)
	if known.pending != nil {
		o.BelievedFrom = known.pending.BelievedFrom
	} else {
		f.restored.count(func(r *restoreCounts) { r.zones++ })
	}
	known.pending = &o
	f.setZone(known)
}

// SettleZones believes what a restored list has said of zones for long enough. It returns the
// orders that made a difference.
func (f *Fleet) SettleZones(now time.Time) []ZoneOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	var news []ZoneOrder
	for zone, known := range f.zones {
		if known.pending == nil || now.Before(known.pending.BelievedFrom) {
			continue
		}
		o := *known.pending
		o.BelievedFrom = time.Time{}
		f.zones[zone] = zoneState{ZoneOrder: o, heard: now}
		if known.Out != o.Out {
			news = append(news, o)
		}
	}
	f.notify(len(news) > 0)
	return news
}

// count adds to what came of a restore; there is none for a list of an era that is known.
func (r *restoreCounts) count(add func(*restoreCounts)) {
	if r != nil {
		add(r)
	}
}

// takeRestored returns what came of a restore since the last call; nil when there was none.
func (f *Fleet) takeRestored() *restoreCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.restored
	f.restored = nil
	return r
}

// noteRestore logs that the origin was restored.
func (f *Forwarder) noteRestore() {
	r := f.fleet.takeRestored()
	if r == nil {
		return
	}
	f.journal.HostEvent("origin restored from a copy", "from", r.from, "to", r.to, "still_leaving", r.leaving,
		"not_listed", r.unlisted, "listed_but_ended", r.ended, "zone_orders_kept", r.zones)
	f.rekeepHeld(f.now())
}
