// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"slices"
	"time"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
)

// What others ask of a Fleet; how it changes is in fleet.go.

// Upstream returns what is known of an upstream.
func (f *Fleet) Upstream(id member.UpstreamID) (Upstream, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.upstreams[id]; k != nil {
		return k.Upstream, true
	}
	return Upstream{}, false
}

// Revision is the newest revision of the list that was taken in.
func (f *Fleet) Revision() history.Point {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// Available returns a service's upstreams that take new work, in the order of their
// ids, so that decisions don't depend on the order of a map. They aren't to be changed.
func (f *Fleet) Available(now time.Time, service ServiceName) []Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cached, found := f.index.availableCache[service]; found {
		return cached
	}
	takers, lasting := f.availableForService(now, service, nil)
	if lasting {
		if f.index.availableCache == nil {
			f.index.availableCache = map[ServiceName][]Upstream{}
		}
		f.index.availableCache[service] = takers
	}
	return takers
}

// AvailableExcept is Takers without some upstreams.
func (f *Fleet) AvailableExcept(now time.Time, service ServiceName, but func(member.UpstreamID) bool) []Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	takers, _ := f.availableForService(now, service, but)
	return takers
}

// availableForService reports besides whether they stay the same until something is learnt.
func (f *Fleet) availableForService(now time.Time, service ServiceName, but func(member.UpstreamID) bool) (takers []Upstream, lasting bool) {
	var suspected []Upstream
	lasting = true
	for _, upstreams := range f.index.services[service] {
		for _, k := range upstreams {
			if but != nil && but(k.ID) {
				continue
			}
			lasting = lasting && !k.missing && !now.Before(k.suspectUntil)
			switch f.availabilityOf(now, k) {
			case available:
				takers = append(takers, k.Upstream)
			case suspect:
				suspected = append(suspected, k.Upstream)
			}
		}
	}
	if len(takers) == 0 {
		// With nobody else, those under suspicion are better than nothing.
		takers = suspected
	}
	slices.SortFunc(takers, compareUpstreamIDs)
	return takers, lasting
}

// ChangesSince returns what changed after a revision, for a peer that follows this host,
// and this host's own revision. It is the whole list where this host doesn't remember
// all that was dropped since, and where the peer knows another era or nothing.
func (f *Fleet) ChangesSince(after history.Point) (changes []Change, at history.Point, whole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changesSince(after)
}

func (f *Fleet) changesSince(after history.Point) (changes []Change, at history.Point, whole bool) {
	whole = after.IsZero() || after.Before(f.forgottenUpTo) || slices.ContainsFunc(f.gaps, func(g gap) bool { return g.contains(after) }) ||
		!after.SameEra(f.revision)
	for _, k := range f.upstreams {
		if c := k.changeForPeers(); whole || c.Revision.After(after) {
			changes = append(changes, c)
		}
	}
	return changes, f.revision, whole
}

// ExpectedEnd is when an upstream that leaves will be gone: by its own word, or drain
// after the first sign.
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

// LeavingFor is for how long an upstream has been known to leave; zero for one that isn't.
func (f *Fleet) LeavingFor(now time.Time, id member.UpstreamID) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.upstreams[id]; k != nil && !k.leavingSince.IsZero() {
		return now.Sub(k.leavingSince)
	}
	return 0
}

// LeavingStarted returns a channel that closes when the upstream starts leaving, and
// nil for one that isn't known.
func (f *Fleet) LeavingStarted(id member.UpstreamID) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.upstreams[id]; k != nil {
		return k.leavingChannel()
	}
	return nil
}
