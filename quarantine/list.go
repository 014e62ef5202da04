// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// maxRequests bounds the requests that are remembered, some 400 bytes each.
const maxRequests = 1024

// List is what a host knows of requests under which upstreams ended. The zero value knows
// none and works. It is for one goroutine at a time.
type List struct {
	// HoldThreshold is how many upstreams have to end under a request for it to be held;
	// zero takes the default.
	HoldThreshold int

	records map[Fingerprint]*record
	// recordsPerHead counts the records with each head.
	recordsPerHead map[HeadDigest]int
	// requestsByUpstream are the requests that each upstream ended requestsByUpstream.
	requestsByUpstream map[Upstream][]Fingerprint
	// lastChange numbers the lastChange, and lastLocalChange is the last one that this host saw itself.
	lastChange, lastLocalChange uint64
}

// Evidence is what a request's standing rests on.
type Evidence struct {
	Standing Standing
	// UpstreamsEnded is how many upstreams have ended under it, and Last how long ago the last
	// one did.
	UpstreamsEnded int
	SinceLastEnd   time.Duration
}

func (l *List) holdThreshold() int {
	if l.HoldThreshold > 0 {
		return l.HoldThreshold
	}
	return DefaultHoldThreshold
}

// MayContain reports whether a request with this head may be on the list; if not, it is Clear.
func (l *List) MayContain(h HeadDigest) bool { return l.recordsPerHead[h] > 0 }

// Len is how many requests are on the list.
func (l *List) Len() int { return len(l.records) }

// Evaluate tells how a request stands.
func (l *List) Evaluate(now time.Time, f Fingerprint) Evidence {
	r := l.records[f]
	if r == nil {
		return Evidence{}
	}
	var e Evidence
	for _, c := range r.crashes {
		if l.explainedByOther(f, r, c.Upstream) {
			continue
		}
		if age := now.Sub(c.At); e.UpstreamsEnded == 0 || age < e.SinceLastEnd {
			e.SinceLastEnd = age
		}
		e.UpstreamsEnded++
	}
	switch {
	case e.UpstreamsEnded >= l.holdThreshold() && e.SinceLastEnd < holdTime(e.UpstreamsEnded-l.holdThreshold()):
		e.Standing = Held
	case e.UpstreamsEnded >= l.holdThreshold():
		e.Standing = TrialDue
	case e.UpstreamsEnded > 0:
		e.Standing = Suspect
	}
	return e
}

// explainedByOther reports whether an upstream's end under a request is another's doing: of one
// under which enough have ended to be held, and more than under this one. Requests that
// only ran beside such a one are served again as soon as that is known.
func (l *List) explainedByOther(f Fingerprint, r *record, u Upstream) bool {
	return slices.ContainsFunc(l.requestsByUpstream[u], func(other Fingerprint) bool {
		otherCrashes := len(l.records[other].crashes)
		return other != f && otherCrashes >= l.holdThreshold() && otherCrashes > len(r.crashes)
	})
}

// addCrash takes in an end under a request, and reports whether it is new.
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

// clearCrash has an end under a request not count, and reports whether that is new.
func (l *List) clearCrash(now time.Time, f Fingerprint, r *record, u Upstream) bool {
	l.unindexCrash(f, u)
	return r.clearCrash(now, u)
}

// unindexCrash has an upstream's end not be under a request.
func (l *List) unindexCrash(f Fingerprint, u Upstream) {
	left := slices.DeleteFunc(l.requestsByUpstream[u], func(other Fingerprint) bool { return other == f })
	if len(left) == 0 {
		delete(l.requestsByUpstream, u)
		return
	}
	l.requestsByUpstream[u] = left
}

// RecordCrash takes in that this host saw an upstream end under a request, and returns how
// that stands now.
func (l *List) RecordCrash(now time.Time, f Fingerprint, o Origin, u Upstream) Evidence {
	r := l.ensureRecord(now, f)
	r.Origin = o
	if l.addCrash(f, r, Crash{Upstream: u, At: now}) {
		l.numberChange(r, true)
	}
	return l.Evaluate(now, f)
}

// BeginTrial reports whether a request that is to be tried once more may be sent now by this
// host, and counts it: not while an earlier try may still tell.
func (l *List) BeginTrial(now time.Time, f Fingerprint) bool {
	r := l.records[f]
	if r == nil || !r.lastTrialAt.IsZero() && now.Sub(r.lastTrialAt) < trialInterval {
		return false
	}
	r.lastTrialAt = now
	return true
}

// ClearCrashes takes in that an upstream has run a request and gone on, or that an operator lets
// it through. It reports whether there was anything against it.
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
	return r
}

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
	if l.recordsPerHead[f.Head]--; l.recordsPerHead[f.Head] <= 0 {
		delete(l.recordsPerHead, f.Head)
	}
}

// PruneExpired drops what says nothing any more. It is to be called from time to time.
func (l *List) PruneExpired(now time.Time) {
	for f, r := range l.records {
		if r.isExpired(now) {
			l.removeRecord(f)
		}
	}
}

// evictRecord drops one record: of the caller that has the most, for one caller may send any
// number of different requests; of those the ones with the fewest ends first, and of these
// the one whose last end is longest ago.
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

// Mark is what one host tells another of a request. Hosts' clocks differ, so it tells ages.
type Mark struct {
	Request Fingerprint
	Origin  Origin
	Crashes []CrashAge
	// Cleared are upstreams whose ends don't count any more.
	Cleared []Upstream
}

// CrashAge is a Crash with how long ago it was.
type CrashAge struct {
	Upstream
	Age time.Duration
}

// LastChanges is the number of the last change, and seen that of the last one that this host
// saw itself: others hear of these from nobody else.
func (l *List) LastChanges() (last, local uint64) { return l.lastChange, l.lastLocalChange }

// MarksSince returns what has changed after a change, some at most, and the number of the
// change up to which that tells everything.
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
	for _, c := range r.crashes {
		m.Crashes = append(m.Crashes, CrashAge{c.Upstream, max(now.Sub(c.At), 0)})
	}
	return m
}

// Receive takes in what another host tells, and returns the requests that are held since.
func (l *List) Receive(now time.Time, marks []Mark) []Fingerprint {
	var held []Fingerprint
	for _, m := range marks {
		if l.receiveMark(now, m) {
			held = append(held, m.Request)
		}
	}
	return held
}

// receiveMark takes in one mark, and reports whether the request is held since.
func (l *List) receiveMark(now time.Time, m Mark) bool {
	if l.records[m.Request] == nil && len(l.records) >= maxRequests && len(m.Crashes) < l.holdThreshold() {
		// Full hosts would push out each other's suspects for ever.
		return false
	}
	r := l.ensureRecord(now, m.Request)
	before, changed := l.Evaluate(now, m.Request).Standing, false
	if r.Origin == (Origin{}) {
		r.Origin = m.Origin
	}
	for _, u := range m.Cleared {
		changed = l.clearCrash(now, m.Request, r, u) || changed
	}
	for _, c := range m.Crashes {
		changed = 0 <= c.Age && c.Age <= crashRetention && l.addCrash(m.Request, r, Crash{Upstream: c.Upstream, At: now.Add(-c.Age)}) || changed
	}
	if changed {
		l.numberChange(r, false)
	}
	return before != Held && l.Evaluate(now, m.Request).Standing == Held
}

// Entry is a request on the list as operators see it.
type Entry struct {
	Request Fingerprint
	Origin
	Evidence
}

// Entries lists what has something against it, what is held first.
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
