// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shedpath/shedpath/member"
)

// Word is what one answer said of its upstream's need.
type Word struct {
	// Named says that the answer named a limit, which is Rate.
	Named bool
	Rate  Rate
	// Since and At bound the moment at which the upstream wrote it: when the request was
	// sent and when the answer came. The head of a stream may be as old as its request.
	Since, At time.Time
}

// Mark is a host's newest word of one upstream, for its peers.
type Mark struct {
	Upstream member.UpstreamID
	// Life tells this start of the upstream from others under its id.
	Life  int64
	Named bool
	Rate  Rate
	// Age is how long ago the word was heard; that of an end, how long ago the request
	// was sent whose answer named no limit.
	Age time.Duration
}

// Entry is how an upstream stands, for operators.
type Entry struct {
	Upstream member.UpstreamID
	// Named is its limit, and zero while it returns after its need.
	Named Rate
	// Bound is what it gets at most at present.
	Bound Rate
	// Age is how old the word is, and From the host that heard it.
	Age  time.Duration
	From member.HostID
}

// Change says what a word changed.
type Change int

// The changes.
const (
	Unchanged Change = iota
	Named
	Moved
	Ended
)

func (c Change) String() string {
	return [...]string{"unchanged", "limit named", "limit moved", "limit ended"}[c]
}

const (
	// LeastRate is what an upstream gets that names less, or none at all: nobody would
	// hear that its need is over if it were left alone. One request in 5 s is a quarter
	// of what may come beside any limit.
	LeastRate Rate = 0.2
	// unconfirmedFor is how long a word stands that no answer has confirmed. At LeastRate
	// six requests bring an answer meanwhile; where nothing was sent, or nothing was
	// answered, the upstream returns in steps. If that is too soon it gets, until its
	// first answer, as much as it named; if it is too late it stands idle for so long.
	unconfirmedFor = 30 * time.Second
	// returnDoubles is in how long the bound of an upstream doubles whose need is over:
	// hosts hear of it together, and all would turn to the one that stood idle.
	returnDoubles = 500 * time.Millisecond
	// returnAfter is when that begins: an upstream may name its limit in every second answer.
	returnAfter = 500 * time.Millisecond
	// returnsFor is after how long it isn't bounded any more: it gets 256 times what it
	// had named.
	returnsFor = returnAfter + 8*returnDoubles
)

// Words are the newest words of all upstreams. The zero value works. It is safe for use by
// several goroutines.
type Words struct {
	// some says that an upstream is bounded, which is all that most requests ask.
	some atomic.Bool

	mu        sync.Mutex
	upstreams map[member.UpstreamID]*upstreamWord
}

// upstreamWord is one upstream's.
type upstreamWord struct {
	life  int64
	named bool
	// rate is the one that it named last; where it has ended, what it returns from.
	rate Rate
	// at is when a limit was last heard; of an end, when the request was sent whose
	// answer named none.
	at   time.Time
	from member.HostID
	// endedAt is when its need was over here; zero while it isn't.
	endedAt time.Time
}

// Receive takes in an answer's word, heard by a host. Life is the upstream's at that time.
func (w *Words) Receive(now time.Time, id member.UpstreamID, life int64, from member.HostID, word Word) Change {
	if !word.Named && !w.some.Load() {
		return Unchanged
	}
	at := word.At
	if !word.Named {
		at = word.Since
	}
	return w.take(now, id, life, from, word.Named, word.Rate, at)
}

// ReceiveMark takes in a peer's word.
func (w *Words) ReceiveMark(now time.Time, from member.HostID, m Mark) Change {
	if !m.Named && !w.some.Load() {
		return Unchanged
	}
	return w.take(now, m.Upstream, m.Life, from, m.Named, m.Rate, now.Add(-max(m.Age, 0)))
}

func (w *Words) take(now time.Time, id member.UpstreamID, life int64, from member.HostID, named bool, rate Rate, at time.Time) Change {
	w.mu.Lock()
	defer w.mu.Unlock()
	u := w.upstreams[id]
	if u == nil || u.life != life && u.life != 0 && life != 0 {
		if !named {
			return Unchanged
		}
		u = &upstreamWord{life: life}
		w.put(id, u)
	}
	if u.life == 0 {
		// It wasn't known when the limit was heard first.
		u.life = life
	}
	// An answer without a limit ends it only if its request was sent after the limit was
	// last heard: else it may be the older word.
	if !at.After(u.at) {
		return Unchanged
	}
	was, before := u.bounded(now), u.rate
	u.at, u.from = at, from
	if !named {
		return u.end(now)
	}
	u.named, u.rate, u.endedAt = true, rate, time.Time{}
	switch {
	case !was:
		return Named
	case before != rate:
		return Moved
	}
	return Unchanged
}

func (w *Words) put(id member.UpstreamID, u *upstreamWord) {
	if w.upstreams == nil {
		w.upstreams = map[member.UpstreamID]*upstreamWord{}
	}
	w.upstreams[id] = u
	w.some.Store(true)
}

// end begins the upstream's return.
func (u *upstreamWord) end(now time.Time) Change {
	if !u.named {
		return Unchanged
	}
	u.named, u.endedAt = false, now
	return Ended
}

// bounded reports whether the upstream names a limit.
func (u *upstreamWord) bounded(now time.Time) bool {
	return u.named && now.Sub(u.at) < unconfirmedFor
}

// bound is what the upstream gets at most; false says that nothing bounds it.
func (u *upstreamWord) bound(now time.Time) (Rate, bool) {
	least := max(u.rate, LeastRate)
	if u.bounded(now) {
		return least, true
	}
	ended := u.endedAt
	if u.named {
		ended = u.at.Add(unconfirmedFor)
	}
	since := now.Sub(ended)
	if since >= returnsFor {
		return 0, false
	}
	return least * Rate(math.Exp2(float64(max(since-returnAfter, 0))/float64(returnDoubles))), true
}

// Bound is what an upstream gets at most; false says that nothing bounds it.
func (w *Words) Bound(now time.Time, id member.UpstreamID) (Rate, bool) {
	if !w.some.Load() {
		return 0, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	u := w.upstreams[id]
	if u == nil {
		return 0, false
	}
	return u.bound(now)
}

// Returning is for how long at most an upstream's present bound holds whose need is over, for it
// rises; false for one that names a limit, or that nothing bounds.
func (w *Words) Returning(now time.Time, id member.UpstreamID) (time.Duration, bool) {
	if !w.some.Load() {
		return 0, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	u := w.upstreams[id]
	if u == nil || u.bounded(now) {
		return 0, false
	}
	return returnDoubles, true
}

// Any reports whether some upstream may be bounded.
func (w *Words) Any() bool { return w.some.Load() }

// Renew forgets an upstream that has started again.
func (w *Words) Renew(id member.UpstreamID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.upstreams, id)
	w.some.Store(len(w.upstreams) > 0)
}

// Forget drops the upstreams that aren't bounded any more, and those that aren't known. It
// returns those of which a word ended because no answer confirmed it.
func (w *Words) Forget(now time.Time, isKnown func(member.UpstreamID) bool) (unconfirmed []member.UpstreamID) {
	if !w.some.Load() {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, u := range w.upstreams {
		if u.named && !u.bounded(now) {
			u.named, u.endedAt = false, u.at.Add(unconfirmedFor)
			unconfirmed = append(unconfirmed, id)
		}
		if _, bounded := u.bound(now); !bounded || !isKnown(id) {
			delete(w.upstreams, id)
		}
	}
	w.some.Store(len(w.upstreams) > 0)
	return unconfirmed
}

// Mark is the newest word of an upstream; false says that there is none.
func (w *Words) Mark(now time.Time, id member.UpstreamID) (Mark, bool) {
	if !w.some.Load() {
		return Mark{}, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	u := w.upstreams[id]
	if u == nil {
		return Mark{}, false
	}
	return u.mark(now, id), true
}

// Marks are the newest words of all upstreams.
func (w *Words) Marks(now time.Time) []Mark {
	if !w.some.Load() {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	marks := make([]Mark, 0, len(w.upstreams))
	for id, u := range w.upstreams {
		marks = append(marks, u.mark(now, id))
	}
	return marks
}

func (u *upstreamWord) mark(now time.Time, id member.UpstreamID) Mark {
	return Mark{Upstream: id, Life: u.life, Named: u.named, Rate: u.rate, Age: now.Sub(u.at)}
}

// Entries lists how the bounded upstreams stand, by their ids.
func (w *Words) Entries(now time.Time) []Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	entries := make([]Entry, 0, len(w.upstreams))
	for id, u := range w.upstreams {
		e := Entry{Upstream: id, Age: now.Sub(u.at), From: u.from}
		// Zero for one that isn't bounded any more and wasn't forgotten yet.
		e.Bound, _ = u.bound(now)
		if u.bounded(now) {
			e.Named = u.rate
		}
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(string(a.Upstream), string(b.Upstream)) })
	return entries
}
