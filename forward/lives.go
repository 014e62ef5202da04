// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"slices"

	"github.com/shedpath/shedpath/member"
)

// Incarnation tells one start of an upstream from others under the same id: it is the time of
// the start, in milliseconds since 1970 by the upstream's own clock. It mostly rises with
// each start, but that clock may have been set back. Zero is told of an upstream whose start
// isn't known.
type Incarnation int64

// newerThan reports whether both are known, and this is the one that was born later.
func (l Incarnation) newerThan(other Incarnation) bool { return other != 0 && l > other }

// maxPastIncarnations is how many lives that are over are remembered of one upstream: word of them may
// come late by some seconds.
const maxPastIncarnations = 4

// isPastIncarnation reports whether a life is known to be one before the present.
func (k *knownUpstream) isPastIncarnation(life Incarnation) bool {
	return life != 0 && slices.Contains(k.pastIncarnations, life)
}

// startIncarnation begins an upstream's new life: whatever was believed of the one before is
// dropped, and what runs there is told that it is over.
func (f *Fleet) startIncarnation(k *knownUpstream, life Incarnation) {
	f.invalidate()
	if k.incarnationEnded != nil {
		close(k.incarnationEnded)
	}
	fresh := newKnownUpstream(k.Upstream)
	fresh.Leaving, fresh.Incarnation = false, life
	fresh.gone, fresh.missing = k.gone, k.missing
	fresh.pastIncarnations = append(k.pastIncarnations, k.Incarnation)
	if len(fresh.pastIncarnations) > maxPastIncarnations {
		fresh.pastIncarnations = slices.Delete(fresh.pastIncarnations, 0, 1)
	}
	*k = *fresh
	f.restarted = append(f.restarted, k.ID)
}

// ReceiveIncarnation takes in from another than the list which life an upstream is in. It reports
// whether what was told with it is of the life that is known here. Births decide between
// such news: one that was born earlier is believed when the list tells of it.
func (f *Fleet) ReceiveIncarnation(id member.UpstreamID, life Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.upstreams[id]
	switch {
	case k == nil || k.isPastIncarnation(life) || k.Incarnation.newerThan(life):
		return false
	case life.newerThan(k.Incarnation):
		f.startIncarnation(k, life)
		f.notify(true)
	}
	return true
}

// IncarnationEnded returns a channel that closes when the upstream's present life is over and
// another has begun; nil for an upstream that isn't known.
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

// TakeRestarted returns the upstreams that have begun a new life since the last call.
func (f *Fleet) TakeRestarted() []member.UpstreamID {
	f.mu.Lock()
	defer f.mu.Unlock()
	renewed := f.restarted
	f.restarted = nil
	return renewed
}

// resetRestartedUpstreams forgets what this host believes of the lives that are over.
func (f *Forwarder) resetRestartedUpstreams() {
	for _, id := range f.fleet.TakeRestarted() {
		u, _ := f.fleet.Upstream(id)
		f.journal.HostEvent("upstream started again", "upstream", id, "life", u.Incarnation)
		f.engines.resetEngine(id)
		f.plainChooser.reset(id)
		f.limiter.Renew(id)
		f.backoffs.Renew(id)
	}
}
