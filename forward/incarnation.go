// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"slices"

	"github.com/shedpath/shedpath/member"
)

// Incarnation tells one start of an upstream from others under the same ID. It is the time of
// the start by the upstream's own clock, in milliseconds since 1970. It usually increases with
// each start, but that clock may have been set back. Zero means that the start is not known.
type Incarnation int64

// newerThan reports whether l and other are both known and l started later.
func (l Incarnation) newerThan(other Incarnation) bool { return other != 0 && l > other }

// maxPastIncarnations is how many past incarnations of an upstream are remembered. Reports
// about them may arrive some seconds late.
const maxPastIncarnations = 4

// isPastIncarnation reports whether an incarnation is known to precede the present one.
func (k *knownUpstream) isPastIncarnation(incarnation Incarnation) bool {
	return incarnation != 0 && slices.Contains(k.pastIncarnations, incarnation)
}

// startIncarnation begins a new incarnation of an upstream. What was known of the previous one
// is dropped, and its runs are notified that it has ended.
func (f *Fleet) startIncarnation(k *knownUpstream, incarnation Incarnation) {
	f.invalidate()
	if k.incarnationEnded != nil {
		close(k.incarnationEnded)
	}
	fresh := newKnownUpstream(k.Upstream)
	fresh.Leaving, fresh.Incarnation = false, incarnation
	fresh.gone, fresh.missing = k.gone, k.missing
	fresh.pastIncarnations = append(k.pastIncarnations, k.Incarnation)
	if len(fresh.pastIncarnations) > maxPastIncarnations {
		fresh.pastIncarnations = slices.Delete(fresh.pastIncarnations, 0, 1)
	}
	*k = *fresh
	f.restarted = append(f.restarted, k.ID)
}

// ReceiveIncarnation records the incarnation of an upstream as reported by a source other than
// the list. It reports whether the rest of that report applies to the incarnation that is known
// here. Such reports are ordered by start time: an incarnation with an earlier start time is
// accepted only from the list.
func (f *Fleet) ReceiveIncarnation(id member.UpstreamID, incarnation Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.upstreams[id]
	switch {
	case k == nil || k.isPastIncarnation(incarnation) || k.Incarnation.newerThan(incarnation):
		return false
	case incarnation.newerThan(k.Incarnation):
		f.startIncarnation(k, incarnation)
		f.notify(true)
	}
	return true
}

// IncarnationEnded returns a channel that is closed when another incarnation replaces the
// upstream's present one; nil if the upstream is unknown.
func (f *Fleet) IncarnationEnded(id member.UpstreamID) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.upstreams[id]; k != nil {
		if k.incarnationEnded == nil {
			k.incarnationEnded = make(chan struct{})
		}
		return k.incarnationEnded
	}
	return nil
}

// TakeRestarted returns the upstreams that started a new incarnation since the last call.
func (f *Fleet) TakeRestarted() []member.UpstreamID {
	f.mu.Lock()
	defer f.mu.Unlock()
	restarted := f.restarted
	f.restarted = nil
	return restarted
}

// resetRestartedUpstreams discards what this host knows of past incarnations.
func (f *Forwarder) resetRestartedUpstreams() {
	for _, id := range f.fleet.TakeRestarted() {
		u, _ := f.fleet.Upstream(id)
		f.journal.HostEvent("upstream started again", "upstream", id, "life", u.Incarnation)
		f.engines.resetEngine(id)
		f.plainChooser.reset(id)
		f.limiter.Reset(id)
		f.backoffs.Remove(id)
	}
}
