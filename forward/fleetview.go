// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"slices"
	"time"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
)

// Queries of a Fleet.

// Upstream returns what is known of an upstream, and whether it is known at all.
func (f *Fleet) Upstream(id member.UpstreamID) (Upstream, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.upstreams[id]; k != nil {
		return k.Upstream, true
	}
	return Upstream{}, false
}

// Revision is the newest revision of the list that is known.
func (f *Fleet) Revision() history.Point {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// Available returns the upstreams of a service that take new work, or the suspect ones if there
// are no others. They are sorted by ID, so that decisions do not depend on the order of a map.
// The slice may be cached and must not be modified.
func (f *Fleet) Available(now time.Time, service ServiceName) []Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cached, found := f.index.availableCache[service]; found {
		return cached
	}
	upstreams, cacheable := f.availableForService(now, service, nil)
	if cacheable {
		if f.index.availableCache == nil {
			f.index.availableCache = map[ServiceName][]Upstream{}
		}
		f.index.availableCache[service] = upstreams
	}
	return upstreams
}

// AvailableExcept is like Available, without the upstreams for which except returns true.
func (f *Fleet) AvailableExcept(now time.Time, service ServiceName, except func(member.UpstreamID) bool) []Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	upstreams, _ := f.availableForService(now, service, except)
	return upstreams
}

// availableForService returns the upstreams that Available describes. cacheable says that the
// result stays the same until the fleet changes.
func (f *Fleet) availableForService(now time.Time, service ServiceName, except func(member.UpstreamID) bool) (healthy []Upstream, cacheable bool) {
	var suspects []Upstream
	cacheable = true
	for _, upstreams := range f.index.services[service] {
		for _, k := range upstreams {
			if except != nil && except(k.ID) {
				continue
			}
			cacheable = cacheable && !k.missing && !now.Before(k.suspectUntil)
			switch f.availabilityOf(now, k) {
			case available:
				healthy = append(healthy, k.Upstream)
			case suspect:
				suspects = append(suspects, k.Upstream)
			}
		}
	}
	if len(healthy) == 0 {
		// If no other upstream is left, suspect ones are better than none.
		healthy = suspects
	}
	slices.SortFunc(healthy, compareUpstreamIDs)
	return healthy, cacheable
}

// ChangesSince returns the changes after a revision and this host's own revision, for a peer
// that follows this host. whole says that the changes are the whole list, because of one of
// these:
//   - the peer knows no revision, or one of another era
//   - this host has forgotten upstreams that were removed since
//   - the revision lies in a gap of this host's history of the list
func (f *Fleet) ChangesSince(after history.Point) (changes []Change, revision history.Point, whole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changesSince(after)
}

// changesSince is ChangesSince with f.mu held.
func (f *Fleet) changesSince(after history.Point) (changes []Change, revision history.Point, whole bool) {
	whole = after.IsZero() || after.Before(f.forgottenUpTo) || slices.ContainsFunc(f.gaps, func(g gap) bool { return g.contains(after) }) ||
		!after.SameEra(f.revision)
	for _, k := range f.upstreams {
		if c := k.changeForPeers(); whole || c.Revision.After(after) {
			changes = append(changes, c)
		}
	}
	return changes, f.revision, whole
}

// ExpectedEnd is when an upstream that leaves is expected to end: the reported time, or else
// drain after the first sign that the upstream leaves. For an upstream that is not known to
// leave it is drain from now.
func (f *Fleet) ExpectedEnd(id member.UpstreamID, now time.Time, drain time.Duration) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.upstreams[id]
	switch {
	case k == nil || k.leavingSince.IsZero():
		return now.Add(drain)
	case !k.expectedEnd.IsZero():
		return k.expectedEnd
	default:
		return k.leavingSince.Add(drain)
	}
}

// LeavingFor is for how long an upstream has been known to leave; zero if it is not leaving.
func (f *Fleet) LeavingFor(now time.Time, id member.UpstreamID) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.upstreams[id]; k != nil && !k.leavingSince.IsZero() {
		return now.Sub(k.leavingSince)
	}
	return 0
}

// LeavingStarted returns a channel that is closed when the upstream starts leaving; nil if the
// upstream is unknown.
func (f *Fleet) LeavingStarted(id member.UpstreamID) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.upstreams[id]; k != nil {
		return k.leavingChannel()
	}
	return nil
}
