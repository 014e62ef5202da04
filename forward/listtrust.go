// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
)

// During and shortly after an outage of the platform the list may lack living upstreams. This file
// decides when a missing upstream counts as gone.

const (
	// listSettleTime is how long after an outage of the platform the list may still lack living
	// upstreams: the platform states about two seconds.
	listSettleTime = 2500 * time.Millisecond
	// minLapseOutage is the shortest outage in which entries can expire: upstreams renew theirs
	// about every 1.2 s, and an entry expires after three misses.
	minLapseOutage = 1500 * time.Millisecond
)

// Missing lists the upstreams that the list lacks but that don't count as gone yet.
func (f *Fleet) Missing() []member.UpstreamID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var missing []member.UpstreamID
	for id, k := range f.upstreams {
		if k.missing {
			missing = append(missing, id)
		}
	}
	return missing
}

// ListRegained records that the list can be read again after an outage. In a long outage, entries
// of living upstreams may have expired.
func (f *Fleet) ListRegained(now time.Time, lostFor time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trustMissingFrom = time.Time{}
	if lostFor >= minLapseOutage {
		f.trustMissingFrom = now.Add(listSettleTime)
	}
}

// ListTrusted records that this host follows a peer with an up-to-date list, which has decided
// itself which upstreams are gone. While this host has missing upstreams of its own, it goes on
// waiting for those.
func (f *Fleet) ListTrusted() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, k := range f.upstreams {
		if k.missing {
			return
		}
	}
	f.trustMissingFrom = time.Time{}
}

// ListLost records that the list can't be read.
func (f *Fleet) ListLost(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trustMissingFrom = now.Add(goneRetention)
}

// ReplaceFromPeer applies a peer's complete list as of a revision, including the dropped upstreams
// that the peer remembers. An upstream that the list lacks counts as missing first, unless it is
// leaving: its entry may have expired during an outage of the platform, before the peer had read
// anything.
func (f *Fleet) ReplaceFromPeer(now time.Time, list []Change, at history.Point) []Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.invalidate()
	before := f.revision
	var changed []Change
	listed := make(map[member.UpstreamID]bool, len(list))
	for _, c := range list {
		listed[c.ID] = !c.Gone
		if f.apply(now, c) {
			changed = append(changed, c)
		}
	}
	for id, k := range f.upstreams {
		switch {
		case listed[id] || k.Revision.After(at):
		case k.confirmEnded(at):
		case f.markUnlisted(now, k, at):
		case !k.Leaving:
			f.markMissing(now, k, at)
		case f.markGone(now, k, at):
			changed = append(changed, Change{Upstream: k.Upstream, Gone: true})
		}
	}
	f.recordGap(before, at)
	f.notify(len(changed) > 0 || before.IsZero())
	return changed
}

// Settle drops the upstreams that are still missing once the list has settled after an outage,
// accepts the entries of a restored list whose grace period is over, and forgets upstreams that are
// long gone. It is to be called regularly.
func (f *Fleet) Settle(now time.Time) []Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	var changed []Change
	for id, k := range f.upstreams {
		if k.pendingChange != nil && !now.Before(k.pendingChange.BelievedFrom) {
			c := *k.pendingChange
			c.BelievedFrom = time.Time{}
			if f.applyNewest(now, k, c) {
				changed = append(changed, c)
			}
		}
		if k.missing && !now.Before(f.trustMissingFrom) && !f.mayBeRelisted(now, k) {
			k.gone, k.missing, k.missingSinceRestore, k.droppedAt, k.relisted = true, false, false, now, relistedState{}
			k.startLeaving(now, SourceList)
			changed = append(changed, Change{Upstream: k.Upstream, Gone: true})
		}
		if k.gone && now.Sub(k.droppedAt) > goneRetention && (!k.leavingSelfReported || now.Sub(k.droppedAt) > selfReportRetention) {
			f.forgottenUpTo = history.Latest(f.forgottenUpTo, k.Revision)
			delete(f.upstreams, id)
			f.index.remove(k)
		}
	}
	f.notify(len(changed) > 0)
	return changed
}
