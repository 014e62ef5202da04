// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
)

// During and shortly after an outage of the platform the list may lack upstreams
// that live. What follows says when a missing one is believed to be gone.

const (
	// listSettleTime is how long after an outage of the platform the list may
	// still lack upstreams that live: the platform says about two seconds.
	listSettleTime = 2500 * time.Millisecond
	// minLapseOutage is the shortest outage in which entries run out: upstreams
	// write to theirs about every 1.2 s, and three misses drop it.
	minLapseOutage = 1500 * time.Millisecond
)

// Missing lists the upstreams that the list lacks without being believed.
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

// ListRegained tells that the list can be read again after an outage. In a long
// one, living upstreams may have been dropped from it.
func (f *Fleet) ListRegained(now time.Time, lostFor time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trustMissingFrom = time.Time{}
	if lostFor >= minLapseOutage {
		f.trustMissingFrom = now.Add(listSettleTime)
	}
}

// ListTrusted tells that a peer whose list is up to date is followed: it has
// judged itself what is gone. While this host has missing upstreams of its own, it
// waits for these as before.
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

// ListLost tells that the list can't be read.
func (f *Fleet) ListLost(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trustMissingFrom = now.Add(goneRetention)
}

// ReplaceFromPeer takes the whole list of a peer in as of a revision, with what that
// remembers of upstreams that were dropped. One that it lacks may have run out of its
// entry while the platform was away, before the peer had read anything: it counts as
// missing first.
func (f *Fleet) ReplaceFromPeer(now time.Time, list []Change, at history.Point) []Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.invalidate()
	before := f.revision
	var news []Change
	listed := make(map[member.UpstreamID]bool, len(list))
	for _, c := range list {
		listed[c.ID] = !c.Gone
		if f.apply(now, c) {
			news = append(news, c)
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
			news = append(news, Change{Upstream: k.Upstream, Gone: true})
		}
	}
	f.recordGap(before, at)
	f.notify(len(news) > 0)
	return news
}

// Settle drops what was missing when the list settled after an outage, believes what a
// restored list has said for long enough, and forgets what is long gone. It is to be called
// from time to time.
func (f *Fleet) Settle(now time.Time) []Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	var news []Change
	for id, k := range f.upstreams {
		if k.pendingChange != nil && !now.Before(k.pendingChange.BelievedFrom) {
			c := *k.pendingChange
			c.BelievedFrom = time.Time{}
			if f.applyNewest(now, k, c) {
				news = append(news, c)
			}
		}
		if k.missing && !now.Before(f.trustMissingFrom) && !f.mayBeRelisted(now, k) {
			k.gone, k.missing, k.missingSinceRestore, k.droppedAt = true, false, false, now
			k.startLeaving(now, SourceList)
			news = append(news, Change{Upstream: k.Upstream, Gone: true})
		}
		if k.gone && now.Sub(k.droppedAt) > goneRetention && (!k.leavingSelfReported || now.Sub(k.droppedAt) > forgetSaid) {
			f.forgottenUpTo = history.Latest(f.forgottenUpTo, k.Revision)
			delete(f.upstreams, id)
			f.index.remove(k)
		}
	}
	f.notify(len(news) > 0)
	return news
}
