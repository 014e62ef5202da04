// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// mostRequests bounds the requests that are remembered, some 400 bytes each.
const mostRequests = 1024

// List is what a host knows of requests under which upstreams ended. The zero value knows
// none and works. It is for one goroutine at a time.
type List struct {
	// HeldAfter is how many upstreams have to end under a request for it to be held;
	// zero takes the default.
	HeldAfter int

	records map[Fingerprint]*record
	// heads counts the records with each head.
	heads map[Head]int
	// under are the requests that each upstream ended under.
	under map[Upstream][]Fingerprint
	// changes numbers the changes, and seen is the last one that this host saw itself.
	changes, seen uint64
}

// Evidence is what a request's standing rests on.
type Evidence struct {
	Standing Standing
	// Ended is how many upstreams have ended under it, and Last how long ago the last
	// one did.
	Ended int
	Last  time.Duration
}

func (l *List) heldAfter() int {
	if l.HeldAfter > 0 {
		return l.HeldAfter
	}
	return DefaultHeldAfter
}

// Knows reports whether a request with this head may be on the list; if not, it is Clear.
func (l *List) Knows(h Head) bool { return l.heads[h] > 0 }

// Len is how many requests are on the list.
func (l *List) Len() int { return len(l.records) }

// Judge tells how a request stands.
func (l *List) Judge(now time.Time, f Fingerprint) Evidence {
	r := l.records[f]
	if r == nil {
		return Evidence{}
	}
	var e Evidence
	for _, c := range r.crashes {
		if l.explained(f, r, c.Upstream) {
			continue
		}
		if age := now.Sub(c.At); e.Ended == 0 || age < e.Last {
			e.Last = age
		}
		e.Ended++
	}
	switch {
	case e.Ended >= l.heldAfter() && e.Last < heldFor(e.Ended-l.heldAfter()):
		e.Standing = Held
	case e.Ended >= l.heldAfter():
		e.Standing = Tried
	case e.Ended > 0:
		e.Standing = Suspect
	}
	return e
}

// explained reports whether an upstream's end under a request is another's doing: of one
// under which enough have ended to be held, and more than under this one. Requests that
// only ran beside such a one are served again as soon as that is known.
func (l *List) explained(f Fingerprint, r *record, u Upstream) bool {
	return slices.ContainsFunc(l.under[u], func(other Fingerprint) bool {
		ended := len(l.records[other].crashes)
		return other != f && ended >= l.heldAfter() && ended > len(r.crashes)
	})
}

// add takes in an end under a request, and reports whether it is new.
func (l *List) add(f Fingerprint, r *record, c Crash) bool {
	added, dropped := r.add(c)
	if !added {
		return false
	}
	l.under[c.Upstream] = append(l.under[c.Upstream], f)
	if dropped != (Upstream{}) {
		l.notUnder(f, dropped)
	}
	return true
}

// clear has an end under a request not count, and reports whether that is new.
func (l *List) clear(now time.Time, f Fingerprint, r *record, u Upstream) bool {
	l.notUnder(f, u)
	return r.clear(now, u)
}

// notUnder has an upstream's end not be under a request.
func (l *List) notUnder(f Fingerprint, u Upstream) {
	left := slices.DeleteFunc(l.under[u], func(other Fingerprint) bool { return other == f })
	if len(left) == 0 {
		delete(l.under, u)
		return
	}
	l.under[u] = left
}

// Crashed takes in that this host saw an upstream end under a request, and returns how
// that stands now.
func (l *List) Crashed(now time.Time, f Fingerprint, o Origin, u Upstream) Evidence {
	r := l.of(now, f)
	r.Origin = o
	if l.add(f, r, Crash{Upstream: u, At: now}) {
		l.changed(r, true)
	}
	return l.Judge(now, f)
}

// TakeTry reports whether a request that is to be tried once more may be sent now by this
// host, and counts it: not while an earlier try may still tell.
func (l *List) TakeTry(now time.Time, f Fingerprint) bool {
	r := l.records[f]
	if r == nil || !r.triedAt.IsZero() && now.Sub(r.triedAt) < tryTells {
		return false
	}
	r.triedAt = now
	return true
}

// RanWell takes in that an upstream has run a request and gone on, or that an operator lets
// it through. It reports whether there was anything against it.
func (l *List) RanWell(now time.Time, f Fingerprint) bool {
	r := l.records[f]
	if r == nil || len(r.crashes) == 0 {
		return false
	}
	for _, c := range slices.Clone(r.crashes) {
		l.clear(now, f, r, c.Upstream)
	}
	l.changed(r, true)
	return true
}

func (l *List) of(now time.Time, f Fingerprint) *record {
	if r := l.records[f]; r != nil {
		return r
	}
	if l.records == nil {
		l.records, l.heads, l.under = map[Fingerprint]*record{}, map[Head]int{}, map[Upstream][]Fingerprint{}
	}
	if len(l.records) >= mostRequests {
		l.Forget(now)
	}
	if len(l.records) >= mostRequests {
		l.dropLeast()
	}
	r := &record{}
	l.records[f] = r
	l.heads[f.Head]++
	return r
}

func (l *List) changed(r *record, seen bool) {
	l.changes++
	r.changed = l.changes
	if seen {
		l.seen = l.changes
	}
}

func (l *List) drop(f Fingerprint) {
	for _, c := range l.records[f].crashes {
		l.notUnder(f, c.Upstream)
	}
	delete(l.records, f)
	if l.heads[f.Head]--; l.heads[f.Head] <= 0 {
		delete(l.heads, f.Head)
	}
}

// Forget drops what says nothing any more. It is to be called from time to time.
func (l *List) Forget(now time.Time) {
	for f, r := range l.records {
		if r.over(now) {
			l.drop(f)
		}
	}
}

// dropLeast drops one record: of the caller that has the most, for one caller may send any
// number of different requests; of those the ones with the fewest ends first, and of these
// the one whose last end is longest ago.
func (l *List) dropLeast() {
	perCaller := map[string]int{}
	for _, r := range l.records {
		perCaller[r.Caller]++
	}
	var least Fingerprint
	var lowest *record
	order := func(a, b *record) int {
		return cmp.Or(
			cmp.Compare(perCaller[b.Caller], perCaller[a.Caller]), cmp.Compare(a.Caller, b.Caller),
			cmp.Compare(min(len(a.crashes), l.heldAfter()), min(len(b.crashes), l.heldAfter())), a.last().Compare(b.last()), cmp.Compare(a.changed, b.changed),
		)
	}
	for f, r := range l.records {
		if lowest == nil || order(r, lowest) < 0 {
			least, lowest = f, r
		}
	}
	l.drop(least)
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
	Ago time.Duration
}

// Changes is the number of the last change, and seen that of the last one that this host
// saw itself: others hear of these from nobody else.
func (l *List) Changes() (last, seen uint64) { return l.changes, l.seen }

// Since returns what has changed after a change, some at most, and the number of the
// change up to which that tells everything.
func (l *List) Since(now time.Time, after uint64, most int) ([]Mark, uint64) {
	if after >= l.changes {
		return nil, l.changes
	}
	type numbered struct {
		Fingerprint
		*record
	}
	var news []numbered
	for f, r := range l.records {
		if r.changed > after {
			news = append(news, numbered{f, r})
		}
	}
	slices.SortFunc(news, func(a, b numbered) int { return cmp.Compare(a.changed, b.changed) })
	upTo := l.changes
	if len(news) > most {
		news = news[:most]
		upTo = news[most-1].changed
	}
	marks := make([]Mark, 0, len(news))
	for _, n := range news {
		marks = append(marks, n.mark(now, n.Fingerprint))
	}
	return marks, upTo
}

func (r *record) mark(now time.Time, f Fingerprint) Mark {
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
		if l.receive(now, m) {
			held = append(held, m.Request)
		}
	}
	return held
}

// receive takes in one mark, and reports whether the request is held since.
func (l *List) receive(now time.Time, m Mark) bool {
	if l.records[m.Request] == nil && len(l.records) >= mostRequests && len(m.Crashes) < l.heldAfter() {
		// Full hosts would push out each other's suspects for ever.
		return false
	}
	r := l.of(now, m.Request)
	before, changed := l.Judge(now, m.Request).Standing, false
	if r.Origin == (Origin{}) {
		r.Origin = m.Origin
	}
	for _, u := range m.Cleared {
		changed = l.clear(now, m.Request, r, u) || changed
	}
	for _, c := range m.Crashes {
		changed = 0 <= c.Ago && c.Ago <= keptFor && l.add(m.Request, r, Crash{Upstream: c.Upstream, At: now.Add(-c.Ago)}) || changed
	}
	if changed {
		l.changed(r, false)
	}
	return before != Held && l.Judge(now, m.Request).Standing == Held
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
		if e := l.Judge(now, f); e.Standing != Clear {
			entries = append(entries, Entry{f, r.Origin, e})
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Standing, a.Standing), cmp.Compare(a.Last, b.Last), cmp.Compare(a.Request.String(), b.Request.String()))
	})
	return entries
}
