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

// maxMarksPerMessage bounds the marks in one message; each takes some 100 bytes.
const maxMarksPerMessage = 64

// Register is a List that is safe for concurrent use, and records which changes have been sent to
// each peer. The zero value is ready to use.
type Register struct {
	mu           sync.Mutex
	list         List
	peerProgress map[member.HostID]sentProgress
	// lastPruneAt is when the last pruning began.
	lastPruneAt time.Time
	// nonEmpty says that the list may not be empty. Most requests need to know no more.
	nonEmpty atomic.Bool
}

// sentProgress is the number of the last change up to which a process of a peer, identified by
// its epoch, has been sent everything.
type sentProgress struct{ epoch, lastSentChange uint64 }

// SetHoldThreshold sets how many crashes it takes to hold a request.
func (r *Register) SetHoldThreshold(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list.HoldThreshold = n
}

// Evaluate returns the strongest evidence against a request and the parts of its prompt. For most
// requests there is none, which is found out without reading their bodies. known is the request's
// fingerprint if it was computed before; Evaluate returns it, or the one that it had to compute, or
// nil.
func (r *Register) Evaluate(now time.Time, a RequestIdentity, known *Fingerprint) (Finding, *Fingerprint) {
	if !r.nonEmpty.Load() {
		return Finding{}, known
	}
	known = r.fingerprintIfListed(&a, known)
	var parts []Fingerprint
	if r.hasParts() {
		parts = a.partFingerprints()
	}
	if known == nil && len(parts) == 0 {
		return Finding{}, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.EvaluateRequest(now, known, parts, a.Caller), known
}

// fingerprintIfListed returns the request's fingerprint if it is known, or if the request may be on the
// list; otherwise nil.
func (r *Register) fingerprintIfListed(a *RequestIdentity, known *Fingerprint) *Fingerprint {
	if known != nil || !r.mayContain(a.HeadDigest()) {
		return known
	}
	f := a.Fingerprint()
	return &f
}

func (r *Register) mayContain(h HeadDigest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.MayContain(h)
}

// hasParts reports whether any part is on the list.
func (r *Register) hasParts() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.partRecords > 0
}

// RecordCrash records that this host saw an upstream end while it ran a request. The crash counts
// against the request, whose fingerprint is f, and against the parts of its prompt, except those
// that survived recently. It returns the strongest evidence against the request, that crash
// included.
func (r *Register) RecordCrash(now time.Time, a RequestIdentity, f Fingerprint, o Origin, u Upstream) Finding {
	parts := a.partFingerprints()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nonEmpty.Store(true)
	r.list.RecordCrash(now, f, o, u)
	for _, part := range parts {
		if !r.list.survivals.has(now, part) {
			r.list.RecordCrash(now, part, o, u)
		}
	}
	return r.list.EvaluateRequest(now, &f, parts, a.Caller)
}

// NewlyHeld calls List.NewlyHeld.
func (r *Register) NewlyHeld(now time.Time) []Finding {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.NewlyHeld(now)
}

// RecordSurvival records that an upstream ran a request without a crash. That clears the request and
// the parts of its prompt of earlier crashes. It returns the evidence that there was against those
// that it cleared. known is as for Evaluate.
func (r *Register) RecordSurvival(now time.Time, a RequestIdentity, known *Fingerprint) []Finding {
	nonEmpty := r.nonEmpty.Load()
	if len(a.SharedParts) == 0 && !nonEmpty {
		return nil
	}
	if nonEmpty {
		known = r.fingerprintIfListed(&a, known)
	}
	subjects := a.partFingerprints()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list.survivals.add(now, subjects)
	if known != nil {
		subjects = append(subjects, *known)
	}
	var cleared []Finding
	for _, f := range subjects {
		if e := r.list.Evaluate(now, f); r.list.ClearCrashes(now, f) {
			cleared = append(cleared, Finding{f, e})
		}
	}
	return cleared
}

// BeginTrial calls List.BeginTrial.
func (r *Register) BeginTrial(now time.Time, f Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.BeginTrial(now, f)
}

// ClearCrashes calls List.ClearCrashes.
func (r *Register) ClearCrashes(now time.Time, f Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.ClearCrashes(now, f)
}

// Receive calls List.Receive. Crashes of parts that this host recently saw survive are received as
// cleared, and the reply to the peer says so.
func (r *Register) Receive(now time.Time, marks []Mark) bool {
	if len(marks) == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nonEmpty.Store(true)
	received := make([]Mark, len(marks))
	for n, m := range marks {
		if m.Request.IsPart() && r.list.survivals.has(now, m.Request) {
			m = m.withCrashesCleared()
		}
		received[n] = m
	}
	return r.list.Receive(now, received)
}

// ReceiveStored is Receive for marks that were stored without times. Only held requests and parts are
// stored, so their crashes are taken to be crashSpacing apart.
func (r *Register) ReceiveStored(now time.Time, marks []Mark) bool {
	stored := make([]Mark, len(marks))
	for n, m := range marks {
		stored[n] = m.withCrashesApart()
	}
	return r.Receive(now, stored)
}

// Entries calls List.Entries.
func (r *Register) Entries(now time.Time) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.Entries(now)
}

// Mark returns the mark of a request, and whether the request is on the list.
func (r *Register) Mark(now time.Time, f Fingerprint) (Mark, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.list.records[f]
	if known == nil {
		return Mark{}, false
	}
	return known.toMark(now, f), true
}

// UnsentMarks returns marks of the changes that a peer hasn't been sent, and the number of the
// last change that they cover.
func (r *Register) UnsentMarks(now time.Time, peer member.HostID) ([]Mark, uint64) {
	if !r.nonEmpty.Load() {
		return nil, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.MarksSince(now, r.peerProgress[peer].lastSentChange, maxMarksPerMessage)
}

// PeerSeen records that a process of a peer with this epoch is running. After a restart a peer
// lacks everything that its previous process was sent.
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

// MarksSent records that a process of a peer has been sent all changes up to lastChange.
func (r *Register) MarksSent(peer member.HostID, epoch, lastChange uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if progress := r.peerProgress[peer]; progress.epoch == epoch && lastChange > progress.lastSentChange {
		r.peerProgress[peer] = sentProgress{epoch, lastChange}
	}
}

// LacksLocalChanges reports whether a peer hasn't been sent all changes that this host observed
// itself. The peer may learn of those from no other host.
func (r *Register) LacksLocalChanges(peer member.HostID) bool {
	if !r.nonEmpty.Load() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, lastLocal := r.list.LastChanges()
	return r.peerProgress[peer].lastSentChange < lastLocal
}

// pruneInterval is the least time between two prunings. All that is pruned is kept for minutes.
const pruneInterval = 10 * time.Second

// beginPruneIfDue reports whether pruning is due, and if so records that it begins.
func (r *Register) beginPruneIfDue(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.lastPruneAt) < pruneInterval {
		return false
	}
	r.lastPruneAt = now
	return true
}

// Prune removes expired records, and the progress of unknown peers. It may be called often.
func (r *Register) Prune(now time.Time, isKnown func(member.HostID) bool) {
	if !r.beginPruneIfDue(now) {
		return
	}
	// isKnown is called without r.mu, because it may take a lock under which its owner calls
	// methods of the register.
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
