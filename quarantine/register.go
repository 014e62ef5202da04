// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shedpath/shedpath/member"
)

// marksAtOnce bounds what is told at once, some 100 bytes each.
const marksAtOnce = 64

// Register is a List that several goroutines use, with what each peer has been told of it.
// The zero value works.
type Register struct {
	mu   sync.Mutex
	list List
	told map[member.HostID]peerTold
	// forgotAt is when it was last looked for what can be forgotten.
	forgotAt time.Time
	// some says that the list isn't empty, which is all that most requests have to know.
	some atomic.Bool
}

// peerTold is up to which change a process of a peer has been told everything.
type peerTold struct{ epoch, upTo uint64 }

// SetHeldAfter changes how many upstreams have to end under a request for it to be held.
func (r *Register) SetHeldAfter(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list.HeldAfter = n
}

// Judge tells how a request stands. Nothing is known against most, and finding that out
// takes no look at their bodies. The fingerprint is given once it had to be worked out, or
// taken where it was before.
func (r *Register) Judge(now time.Time, a Asked, known *Fingerprint) (Evidence, *Fingerprint) {
	if !r.some.Load() {
		return Evidence{}, known
	}
	if known == nil && !r.knows(a.Head()) {
		return Evidence{}, nil
	}
	if known == nil {
		f := a.Fingerprint()
		known = &f
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.Judge(now, *known), known
}

func (r *Register) knows(h Head) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.Knows(h)
}

// Crashed is List.Crashed.
func (r *Register) Crashed(now time.Time, f Fingerprint, o Origin, u Upstream) Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.some.Store(true)
	return r.list.Crashed(now, f, o, u)
}

// TakeTry is List.TakeTry.
func (r *Register) TakeTry(now time.Time, f Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.TakeTry(now, f)
}

// RanWell is List.RanWell.
func (r *Register) RanWell(now time.Time, f Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.RanWell(now, f)
}

// Receive is List.Receive.
func (r *Register) Receive(now time.Time, marks []Mark) []Fingerprint {
	if len(marks) == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.some.Store(true)
	return r.list.Receive(now, marks)
}

// Entries is List.Entries.
func (r *Register) Entries(now time.Time) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.Entries(now)
}

// Mark is all that is known of a request.
func (r *Register) Mark(now time.Time, f Fingerprint) (Mark, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.list.records[f]
	if known == nil {
		return Mark{}, false
	}
	return known.mark(now, f), true
}

// Tell returns what a peer hasn't been told yet, and the change up to which that is all.
func (r *Register) Tell(now time.Time, to member.HostID) ([]Mark, uint64) {
	if !r.some.Load() {
		return nil, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.Since(now, r.told[to].upTo, marksAtOnce)
}

// Met takes in that a process of a peer was heard of, by an epoch of its own: one that has
// started again knows nothing of what its last process was told.
func (r *Register) Met(peer member.HostID, epoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if told, met := r.told[peer]; met && told.epoch == epoch {
		return
	}
	if r.told == nil {
		r.told = map[member.HostID]peerTold{}
	}
	r.told[peer] = peerTold{epoch: epoch}
}

// Told takes in that a process of a peer has been told everything up to a change.
func (r *Register) Told(peer member.HostID, epoch, upTo uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if told := r.told[peer]; told.epoch == epoch && upTo > told.upTo {
		r.told[peer] = peerTold{epoch, upTo}
	}
}

// Behind reports whether a peer hasn't been told of all that this host saw itself, which it
// may hear from nobody else.
func (r *Register) Behind(peer member.HostID) bool {
	if !r.some.Load() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, seen := r.list.Changes()
	return r.told[peer].upTo < seen
}

// forgetEvery is the least time between two looks for what can be forgotten, which is all
// kept for minutes.
const forgetEvery = 10 * time.Second

// forgetDue reports whether it is time to look for that, and notes it.
func (r *Register) forgetDue(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.forgotAt) < forgetEvery {
		return false
	}
	r.forgotAt = now
	return true
}

// Forget drops what says nothing any more, and what was told to peers that aren't known. It
// may be called often.
func (r *Register) Forget(now time.Time, isKnown func(member.HostID) bool) {
	if !r.forgetDue(now) {
		return
	}
	// Whoever knows the peers may ask what they were told under a lock of its own.
	gone := slices.DeleteFunc(r.met(), isKnown)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, peer := range gone {
		delete(r.told, peer)
	}
	r.list.Forget(now)
	r.some.Store(r.list.Len() > 0)
}

func (r *Register) met() []member.HostID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.told))
}
