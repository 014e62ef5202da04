// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// maxRequests bounds the requests and parts on a list; each takes some 400 bytes.
const maxRequests = 1024

// List holds what a host knows of requests, and parts of prompts, that crash upstreams. The zero
// value is an empty list that is ready to use. It isn't safe for concurrent use.
type List struct {
	// HoldThreshold is how many crashes it takes to hold a request; zero means
	// DefaultHoldThreshold.
	HoldThreshold int

	records map[Fingerprint]*record
	// recordsPerHead counts the records with each head digest.
	recordsPerHead map[HeadDigest]int
	// partRecords counts the records of parts.
	partRecords int
	// requestsByUpstream lists the requests, and the parts of their prompts, that each upstream was
	// running when it ended.
	requestsByUpstream map[Upstream][]Fingerprint
	// survivals holds the parts that this host itself saw survive.
	survivals survivals
	// lastChange is the number of the last change of the list, and lastLocalChange that of the
	// last change that this host observed itself.
	lastChange, lastLocalChange uint64
}

// Evidence is the standing of a request and the crashes that it follows from.
type Evidence struct {
	Standing Standing
	// UpstreamsEnded is how many crashes count against the request, and SinceLastEnd the time
	// since the latest of them.
	UpstreamsEnded int
	SinceLastEnd   time.Duration
}

func (l *List) holdThreshold() int {
	if l.HoldThreshold > 0 {
		return l.HoldThreshold
	}
	return DefaultHoldThreshold
}

// MayContain reports whether a request with this head digest may be on the list. If it isn't, its
// standing is Clear.
func (l *List) MayContain(h HeadDigest) bool { return l.recordsPerHead[h] > 0 }

// Len returns the number of requests on the list.
func (l *List) Len() int { return len(l.records) }

// addCrash adds a crash to a request's record, and reports whether it was new.
func (l *List) addCrash(f Fingerprint, r *record, c Crash) bool {
	added, dropped := r.addCrash(c)
	if !added {
		return false
	}
	l.requestsByUpstream[c.Upstream] = append(l.requestsByUpstream[c.Upstream], f)
	if dropped != (Upstream{}) {
		l.unindexCrash(f, dropped)
	}
	return true
}

// clearCrash makes an upstream's crash no longer count against a request, and reports whether it
// wasn't cleared already.
func (l *List) clearCrash(now time.Time, f Fingerprint, r *record, u Upstream) bool {
	l.unindexCrash(f, u)
	return r.clearCrash(now, u)
}

// unindexCrash removes a request from those that an upstream was running when it ended.
func (l *List) unindexCrash(f Fingerprint, u Upstream) {
	left := slices.DeleteFunc(l.requestsByUpstream[u], func(other Fingerprint) bool { return other == f })
	if len(left) == 0 {
		delete(l.requestsByUpstream, u)
		return
	}
	l.requestsByUpstream[u] = left
}

// RecordCrash records that this host saw an upstream end while it ran a request, and returns the
// evidence against the request, that crash included.
func (l *List) RecordCrash(now time.Time, f Fingerprint, o Origin, u Upstream) Evidence {
	r := l.ensureRecord(now, f)
	r.Origin = o
	if l.addCrash(f, r, Crash{Upstream: u, At: now, Caller: o.Caller}) {
		l.numberChange(r, true)
	}
	return l.Evaluate(now, f)
}

// BeginTrial reports whether this host may send a request whose trial is due, and records the
// start of the trial. It refuses while the outcome of this host's last trial may still be open.
func (l *List) BeginTrial(now time.Time, f Fingerprint) bool {
	r := l.records[f]
	if r == nil || !r.lastTrialAt.IsZero() && now.Sub(r.lastTrialAt) < trialInterval {
		return false
	}
	r.lastTrialAt = now
	return true
}

// ClearCrashes clears all crashes of a request, because an upstream has run it without a crash or
// because an operator releases it. It reports whether there were any.
func (l *List) ClearCrashes(now time.Time, f Fingerprint) bool {
	r := l.records[f]
	if r == nil || len(r.crashes) == 0 {
		return false
	}
	for _, c := range slices.Clone(r.crashes) {
		l.clearCrash(now, f, r, c.Upstream)
	}
	l.numberChange(r, true)
	return true
}

// ensureRecord returns the record of a request, and creates it if there is none. On a full list,
// that evicts another.
func (l *List) ensureRecord(now time.Time, f Fingerprint) *record {
	if r := l.records[f]; r != nil {
		return r
	}
	if l.records == nil {
		l.records, l.recordsPerHead, l.requestsByUpstream = map[Fingerprint]*record{}, map[HeadDigest]int{}, map[Upstream][]Fingerprint{}
	}
	if len(l.records) >= maxRequests {
		l.PruneExpired(now)
	}
	if len(l.records) >= maxRequests {
		l.evictRecord()
	}
	r := &record{}
	l.records[f] = r
	l.recordsPerHead[f.Head]++
	if f.IsPart() {
		l.partRecords++
	}
	return r
}

// numberChange gives a changed record the next change number. local says that this host observed
// the change itself.
func (l *List) numberChange(r *record, local bool) {
	l.lastChange++
	r.lastChange = l.lastChange
	if local {
		l.lastLocalChange = l.lastChange
	}
}

func (l *List) removeRecord(f Fingerprint) {
	for _, c := range l.records[f].crashes {
		l.unindexCrash(f, c.Upstream)
	}
	delete(l.records, f)
	if f.IsPart() {
		l.partRecords--
	}
	if l.recordsPerHead[f.Head]--; l.recordsPerHead[f.Head] <= 0 {
		delete(l.recordsPerHead, f.Head)
	}
}

// PruneExpired removes expired records. Call it from time to time.
func (l *List) PruneExpired(now time.Time) {
	for f, r := range l.records {
		if r.isExpired(now) {
			l.removeRecord(f)
		}
	}
}

// evictRecord removes one record. The criteria, in order of precedence:
//   - a record of the caller with the most records, because one caller may send any number of
//     different requests;
//   - the one with the fewest crashes, where crashes beyond the hold threshold don't count;
//   - the one whose last crash is the oldest.
func (l *List) evictRecord() {
	recordsPerCaller := map[string]int{}
	for _, r := range l.records {
		recordsPerCaller[r.Caller]++
	}
	var evictedKey Fingerprint
	var evicted *record
	compare := func(a, b *record) int {
		return cmp.Or(
			cmp.Compare(recordsPerCaller[b.Caller], recordsPerCaller[a.Caller]), cmp.Compare(a.Caller, b.Caller),
			cmp.Compare(min(len(a.crashes), l.holdThreshold()), min(len(b.crashes), l.holdThreshold())), a.lastCrashAt().Compare(b.lastCrashAt()), cmp.Compare(a.lastChange, b.lastChange),
		)
	}
	for f, r := range l.records {
		if evicted == nil || compare(r, evicted) < 0 {
			evictedKey, evicted = f, r
		}
	}
	l.removeRecord(evictedKey)
}

// NewlyHeld returns the evidence against the requests and parts that are held and weren't at the
// last call.
func (l *List) NewlyHeld(now time.Time) []Finding {
	var held []Finding
	for f, r := range l.records {
		if len(r.crashes) < l.holdThreshold() {
			r.wasHeld = false
			continue
		}
		e := l.Evaluate(now, f)
		if e.Standing == Held && !r.wasHeld {
			held = append(held, Finding{f, e})
		}
		r.wasHeld = e.Standing == Held
	}
	return held
}

// Entry is a request or part on the list, as shown to operators.
type Entry struct {
	Request Fingerprint
	Origin
	Evidence
}

// Entries returns the requests and parts whose standing isn't Clear, held ones first.
func (l *List) Entries(now time.Time) []Entry {
	var entries []Entry
	for f, r := range l.records {
		if e := l.Evaluate(now, f); e.Standing != Clear {
			entries = append(entries, Entry{f, r.Origin, e})
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Standing, a.Standing), cmp.Compare(a.SinceLastEnd, b.SinceLastEnd), cmp.Compare(a.Request.String(), b.Request.String()))
	})
	return entries
}
