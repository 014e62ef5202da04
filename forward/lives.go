// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"slices"

	"github.com/shedpath/shedpath/member"
)

// Life tells one start of an upstream from others under the same id: it is the time of
// the start, in milliseconds since 1970 by the upstream's own clock. It mostly rises with
// each start, but that clock may have been set back. Zero is told of an upstream whose start
// isn't known.
type Life int64

// newerThan reports whether both are known, and this is the one that was born later.
func (l Life) newerThan(other Life) bool { return other != 0 && l > other }

// mostPast is how many lives that are over are remembered of one upstream: word of them may
// come late by some seconds.
const mostPast = 4

// isOver reports whether a life is known to be one before the present.
func (k *known) isOver(life Life) bool { return life != 0 && slices.Contains(k.past, life) }

// renew begins an upstream's new life: whatever was believed of the one before is
// dropped, and what runs there is told that it is over.
func (f *Fleet) renew(k *known, life Life) {
	f.touch()
	if k.over != nil {
		close(k.over)
	}
	fresh := newKnown(k.Upstream)
	fresh.Leaving, fresh.Life = false, life
	fresh.gone, fresh.missing = k.gone, k.missing
	fresh.past = append(k.past, k.Life)
	if len(fresh.past) > mostPast {
		fresh.past = slices.Delete(fresh.past, 0, 1)
	}
	*k = *fresh
	f.renewed = append(f.renewed, k.ID)
}

// ReceiveLife takes in from another than the list which life an upstream is in. It reports
// whether what was told with it is of the life that is known here. Births decide between
// such news: one that was born earlier is believed when the list tells of it.
func (f *Fleet) ReceiveLife(id member.UpstreamID, life Life) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.upstreams[id]
	switch {
	case k == nil || k.isOver(life) || k.Life.newerThan(life):
		return false
	case life.newerThan(k.Life):
		f.renew(k, life)
		f.notify(true)
	}
	return true
}

// Over returns a channel that closes when the upstream's present life is over and
// another has begun; nil for an upstream that isn't known.
func (f *Fleet) Over(id member.UpstreamID) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.upstreams[id]; k != nil {
		if k.over == nil {
			k.over = make(chan struct{})
		}
		return k.over
	}
	return nil
}

// TakeRenewed returns the upstreams that have begun a new life since the last call.
func (f *Fleet) TakeRenewed() []member.UpstreamID {
	f.mu.Lock()
	defer f.mu.Unlock()
	renewed := f.renewed
	f.renewed = nil
	return renewed
}

// dropOldLives forgets what this host believes of the lives that are over.
func (f *Forwarder) dropOldLives() {
	for _, id := range f.fleet.TakeRenewed() {
		u, _ := f.fleet.Upstream(id)
		f.journal.HostEvent("upstream started again", "upstream", id, "life", u.Life)
		f.engines.renew(id)
		f.plainChooser.renew(id)
		f.limiter.Renew(id)
		f.backoffs.Renew(id)
	}
}
