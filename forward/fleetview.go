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

// Takers returns a service's upstreams that take new work, in the order of their
// ids, so that decisions don't depend on the order of a map. They aren't to be changed.
func (f *Fleet) Takers(now time.Time, service ServiceName) []Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cached, found := f.index.takers[service]; found {
		return cached
	}
	takers, lasting := f.allTakers(now, service, nil)
	if lasting {
		if f.index.takers == nil {
			f.index.takers = map[ServiceName][]Upstream{}
		}
		f.index.takers[service] = takers
	}
	return takers
}

// TakersBut is Takers without some upstreams.
func (f *Fleet) TakersBut(now time.Time, service ServiceName, but func(member.UpstreamID) bool) []Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	takers, _ := f.allTakers(now, service, but)
	return takers
}

// allTakers reports besides whether they stay the same until something is learnt.
func (f *Fleet) allTakers(now time.Time, service ServiceName, but func(member.UpstreamID) bool) (takers []Upstream, lasting bool) {
	var suspected []Upstream
	lasting = true
	for _, upstreams := range f.index.services[service] {
		for _, k := range upstreams {
			if but != nil && but(k.ID) {
				continue
			}
			lasting = lasting && !k.missing && !now.Before(k.suspectUntil)
			switch f.standing(now, k) {
			case taking:
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
	slices.SortFunc(takers, byID)
	return takers, lasting
}

// Since returns what changed after a revision, for a peer that follows this host,
// and this host's own revision. It is the whole list where this host doesn't remember
// all that was dropped since, and where the peer knows another era or nothing.
func (f *Fleet) Since(after history.Point) (changes []Change, at history.Point, whole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.since(after)
}

func (f *Fleet) since(after history.Point) (changes []Change, at history.Point, whole bool) {
	whole = after.IsZero() || after.Before(f.forgotten) || slices.ContainsFunc(f.gaps, func(g gap) bool { return g.has(after) }) ||
		!after.SameEra(f.revision)
	for _, k := range f.upstreams {
		if c := k.change(); whole || c.Revision.After(after) {
			changes = append(changes, c)
		}
	}
	return changes, f.revision, whole
}

// GoneAt is when an upstream that leaves will be gone: by its own word, or drain
// after the first sign.
func (f *Fleet) GoneAt(id member.UpstreamID, now time.Time, drain time.Duration) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.upstreams[id]
	switch {
	case k == nil || k.leftAt.IsZero():
		return now.Add(drain)
	case !k.goneAt.IsZero():
		return k.goneAt
	default:
		return k.leftAt.Add(drain)
	}
}

// LeavingFor is for how long an upstream has been known to leave; zero for one that isn't.
func (f *Fleet) LeavingFor(now time.Time, id member.UpstreamID) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.upstreams[id]; k != nil && !k.leftAt.IsZero() {
		return now.Sub(k.leftAt)
	}
	return 0
}

// Leaving returns a channel that closes when the upstream starts leaving, and
// nil for one that isn't known.
func (f *Fleet) Leaving(id member.UpstreamID) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.upstreams[id]; k != nil {
		return k.leavingChannel()
	}
	return nil
}
