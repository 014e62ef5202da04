// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"cmp"
	"slices"
	"time"
)

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

// withCrashesApart returns the mark with its crashes crashSpacing apart, the last of them just now.
func (m Mark) withCrashesApart() Mark {
	m.Crashes = slices.Clone(m.Crashes)
	for n := range m.Crashes {
		m.Crashes[n].Age = time.Duration(n) * crashSpacing
	}
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
