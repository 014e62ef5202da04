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

// Finding is the evidence against one cause: a request or a part of its prompt.
type Finding struct {
	Cause Fingerprint
	Evidence
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

// Evaluate returns the evidence against a request.
func (l *List) Evaluate(now time.Time, f Fingerprint) Evidence {
	r := l.records[f]
	if r == nil {
		return Evidence{}
	}
	threshold := l.holdThreshold()
	if f.IsPart() && !l.survivals.any() {
		threshold += unprovenMargin
	}
	var e Evidence
	settled := 0
	for _, c := range r.crashes {
		if l.explainedByOther(f, r, c.Upstream) {
			continue
		}
		age := now.Sub(c.At)
		if e.UpstreamsEnded == 0 || age < e.SinceLastEnd {
			e.SinceLastEnd = age
		}
		if !f.IsPart() || age >= SettleTime {
			settled++
		}
		e.UpstreamsEnded++
	}
	switch {
	case e.UpstreamsEnded == 0:
	case settled < threshold:
		e.Standing = Suspect
	case e.SinceLastEnd < holdTime(e.UpstreamsEnded-l.holdThreshold()):
		e.Standing = Held
	default:
		e.Standing = TrialDue
	}
	return e
}

// EvaluateRequest returns the strongest evidence against sending a request. whole is the
// request's fingerprint; nil if the request isn't on the list. A part that has reached the hold
// threshold counts only if
//   - crashes of this caller's requests are among those that count, or of more than one caller's, so
//     that no caller can have a part held for others by naming it; and
//   - everything else that may explain its crashes is in this request, too. Otherwise the request
//     shows what the cause is: it survives, or it ends an upstream without the others.
//
// The request as a whole doesn't count either if a part that it lacks may explain its crashes.
func (l *List) EvaluateRequest(now time.Time, whole *Fingerprint, parts []Fingerprint, caller string) Finding {
	var worst Finding
	add := func(f Fingerprint) {
		e := l.Evaluate(now, f)
		if e.Standing > Suspect && !l.appliesTo(f, whole, parts, caller) {
			e.Standing = Suspect
		}
		if e.Standing > worst.Standing {
			worst = Finding{f, e}
		}
	}
	if whole != nil {
		add(*whole)
	}
	for _, part := range parts {
		add(part)
	}
	return worst
}

// appliesTo reports whether the crashes that count against a request or against one of its parts
// speak against sending the request.
func (l *List) appliesTo(f Fingerprint, whole *Fingerprint, parts []Fingerprint, caller string) bool {
	r := l.records[f]
	if only := r.onlyCaller(); only != "" && only != caller {
		return false
	}
	isRival := func(other Fingerprint) bool {
		if other == f || whole != nil && other == *whole || slices.Contains(parts, other) {
			return false
		}
		return (f.IsPart() || other.IsPart()) && l.mayExplain(l.records[other], r)
	}
	return !slices.ContainsFunc(r.crashes, func(c Crash) bool { return slices.ContainsFunc(l.requestsByUpstream[c.Upstream], isRival) })
}

// mayExplain reports whether a record may be that of the cause of another record's crashes: it has
// reached the hold threshold, and lacks at most one of them, which may have another cause.
func (l *List) mayExplain(r, explained *record) bool {
	unexplained := 0
	for _, c := range explained.crashes {
		if !r.hasCrash(c.Upstream) {
			unexplained++
		}
	}
	return len(r.crashes) >= l.holdThreshold() && unexplained <= 1
}

// explainedByOther reports whether an upstream's end is blamed on another request that it was
// running: one that has reached the hold threshold and has more crashes than this one. Requests
// that only ran beside such a request are served again as soon as that is known.
func (l *List) explainedByOther(f Fingerprint, r *record, u Upstream) bool {
	return slices.ContainsFunc(l.requestsByUpstream[u], func(other Fingerprint) bool {
		otherCrashes := len(l.records[other].crashes)
		return other != f && otherCrashes >= l.holdThreshold() && otherCrashes > len(r.crashes)
	})
}

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

// Mark is a host's report to a peer about one request or part. It contains ages instead of times,
// because the hosts' clocks differ.
type Mark struct {
	Request Fingerprint
	// Origin has no caller if the crashes of a part were caused by more than one.
	Origin  Origin
	Crashes []CrashAge
	// Cleared are the upstreams whose crashes no longer count.
	Cleared []Upstream
}

// withCrashesCleared returns the mark with all crashes among the cleared ones.
func (m Mark) withCrashesCleared() Mark {
	m.Cleared = slices.Clone(m.Cleared)
	for _, c := range m.Crashes {
		m.Cleared = append(m.Cleared, c.Upstream)
	}
	m.Crashes = nil
	return m
}

// CrashAge is a Crash with its age instead of its time.
type CrashAge struct {
	Upstream
	Age time.Duration
}

// LastChanges returns the number of the last change, and that of the last change that this host
// observed itself: peers may learn of it from no other host.
func (l *List) LastChanges() (last, local uint64) { return l.lastChange, l.lastLocalChange }

// MarksSince returns the marks of the requests that changed after the given change, oldest change
// first and at most maxMarks of them. It also returns the number of the last change that they
// cover: all changes up to it are included.
func (l *List) MarksSince(now time.Time, afterChange uint64, maxMarks int) ([]Mark, uint64) {
	if afterChange >= l.lastChange {
		return nil, l.lastChange
	}
	type numbered struct {
		Fingerprint
		*record
	}
	var changedRecords []numbered
	for f, r := range l.records {
		if r.lastChange > afterChange {
			changedRecords = append(changedRecords, numbered{f, r})
		}
	}
	slices.SortFunc(changedRecords, func(a, b numbered) int { return cmp.Compare(a.lastChange, b.lastChange) })
	lastIncluded := l.lastChange
	if len(changedRecords) > maxMarks {
		changedRecords = changedRecords[:maxMarks]
		lastIncluded = changedRecords[maxMarks-1].lastChange
	}
	marks := make([]Mark, 0, len(changedRecords))
	for _, n := range changedRecords {
		marks = append(marks, n.toMark(now, n.Fingerprint))
	}
	return marks, lastIncluded
}

func (r *record) toMark(now time.Time, f Fingerprint) Mark {
	m := Mark{Request: f, Origin: r.Origin, Cleared: slices.Clone(r.cleared)}
	if f.IsPart() && len(r.crashes) > 0 {
		m.Origin.Caller = r.onlyCaller()
	}
	for _, c := range r.crashes {
		m.Crashes = append(m.Crashes, CrashAge{c.Upstream, max(now.Sub(c.At), 0)})
	}
	return m
}

// Receive merges a peer's marks into the list, and reports whether that changed anything.
func (l *List) Receive(now time.Time, marks []Mark) bool {
	changed := false
	for _, m := range marks {
		changed = l.receiveMark(now, m) || changed
	}
	return changed
}

func (l *List) receiveMark(now time.Time, m Mark) bool {
	if l.records[m.Request] == nil && len(l.records) >= maxRequests && len(m.Crashes) < l.holdThreshold() {
		// Otherwise full hosts would evict each other's suspects forever.
		return false
	}
	r := l.ensureRecord(now, m.Request)
	changed := false
	if r.Origin == (Origin{}) {
		r.Origin = m.Origin
	}
	for _, u := range m.Cleared {
		changed = l.clearCrash(now, m.Request, r, u) || changed
	}
	for _, c := range m.Crashes {
		changed = 0 <= c.Age && c.Age <= crashRetention && l.addCrash(m.Request, r, Crash{Upstream: c.Upstream, At: now.Add(-c.Age), Caller: m.Origin.Caller}) || changed
	}
	if changed {
		l.numberChange(r, false)
	}
	return changed
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
