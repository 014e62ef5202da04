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

// maxMarksPerMessage bounds what is told at once, some 100 bytes each.
const maxMarksPerMessage = 64

// Register is a List that several goroutines use, with what each peer has been told of it.
// The zero value works.
type Register struct {
	mu           sync.Mutex
	list         List
	peerProgress map[member.HostID]sentProgress
	// lastPruneAt is when it was last looked for what can be forgotten.
	lastPruneAt time.Time
	// nonEmpty says that the list isn't empty, which is all that most requests have to know.
	nonEmpty atomic.Bool
}

// sentProgress is up to which change a process of a peer has been told everything.
type sentProgress struct{ epoch, lastSentChange uint64 }

// SetHoldThreshold changes how many upstreams have to end under a request for it to be held.
func (r *Register) SetHoldThreshold(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list.HoldThreshold = n
}

// Evaluate tells how a request stands. Nothing is known against most, and finding that out
// takes no look at their bodies. The fingerprint is given once it had to be worked out, or
// taken where it was before.
func (r *Register) Evaluate(now time.Time, a RequestIdentity, known *Fingerprint) (Evidence, *Fingerprint) {
	if !r.nonEmpty.Load() {
		return Evidence{}, known
	}
	if known == nil && !r.mayContain(a.HeadDigest()) {
		return Evidence{}, nil
	}
	if known == nil {
		f := a.Fingerprint()
		known = &f
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.Evaluate(now, *known), known
}

func (r *Register) mayContain(h HeadDigest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.MayContain(h)
}

// RecordCrash is List.RecordCrash.
func (r *Register) RecordCrash(now time.Time, f Fingerprint, o Origin, u Upstream) Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nonEmpty.Store(true)
	return r.list.RecordCrash(now, f, o, u)
}

// BeginTrial is List.BeginTrial.
func (r *Register) BeginTrial(now time.Time, f Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.BeginTrial(now, f)
}

// ClearCrashes is List.ClearCrashes.
func (r *Register) ClearCrashes(now time.Time, f Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.ClearCrashes(now, f)
}

// Receive is List.Receive.
func (r *Register) Receive(now time.Time, marks []Mark) []Fingerprint {
	if len(marks) == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nonEmpty.Store(true)
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
	return known.toMark(now, f), true
}

// UnsentMarks returns what a peer hasn't been told yet, and the change up to which that is all.
func (r *Register) UnsentMarks(now time.Time, peer member.HostID) ([]Mark, uint64) {
	if !r.nonEmpty.Load() {
		return nil, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.MarksSince(now, r.peerProgress[peer].lastSentChange, maxMarksPerMessage)
}

// PeerSeen takes in that a process of a peer was heard of, by an epoch of its own: one that has
// started again knows nothing of what its last process was told.
func (r *Register) PeerSeen(peer member.HostID, epoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if progress, known := r.peerProgress[peer]; known && progress.epoch == epoch {
		return
	}
	if r.peerProgress == nil {
		r.peerProgress = map[member.HostID]sentProgress{}
	}
	r.peerProgress[peer] = sentProgress{epoch: epoch}
}

// MarksSent takes in that a process of a peer has been told everything up to a change.
func (r *Register) MarksSent(peer member.HostID, epoch, lastChange uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if progress := r.peerProgress[peer]; progress.epoch == epoch && lastChange > progress.lastSentChange {
		r.peerProgress[peer] = sentProgress{epoch, lastChange}
	}
}

// LacksLocalChanges reports whether a peer hasn't been told of all that this host saw itself, which it
// may hear from nobody else.
func (r *Register) LacksLocalChanges(peer member.HostID) bool {
	if !r.nonEmpty.Load() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, lastLocal := r.list.LastChanges()
	return r.peerProgress[peer].lastSentChange < lastLocal
}

// pruneInterval is the least time between two looks for what can be forgotten, which is all
// kept for minutes.
const pruneInterval = 10 * time.Second

// beginPruneIfDue reports whether it is time to look for that, and notes it.
func (r *Register) beginPruneIfDue(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.lastPruneAt) < pruneInterval {
		return false
	}
	r.lastPruneAt = now
	return true
}

// Prune drops what says nothing any more, and what was told to peers that aren't known. It
// may be called often.
func (r *Register) Prune(now time.Time, isKnown func(member.HostID) bool) {
	if !r.beginPruneIfDue(now) {
		return
	}
	// Whoever knows the peers may ask what they were told under a lock of its own.
	gone := slices.DeleteFunc(r.knownPeers(), isKnown)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, peer := range gone {
		delete(r.peerProgress, peer)
	}
	r.list.PruneExpired(now)
	r.nonEmpty.Store(r.list.Len() > 0)
}

func (r *Register) knownPeers() []member.HostID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.peerProgress))
}
