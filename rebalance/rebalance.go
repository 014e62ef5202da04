// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package rebalance decides whether a running answer continues on a faster
// engine: when the pauses between its events exceed what its caller allows, or
// when it won't be complete by its deadline.
//
// The load that this is for: engines of 0.6, 1.0 and 1.6 times the usual speed,
// each 2.5 times slower for 0.6 s at a time, callers that allow pauses of 180 ms,
// and answers of some 750 tokens. A move pauses the answer for 20 to 70 ms and
// occupies both engines' links for some 0.2 s.
//
// The package does no I/O, starts no goroutine and reads no clock. It keeps no
// state; the caller counts the moves of each run.
package rebalance

import (
	"time"

	"github.com/shedpath/shedpath/policy"
)

const (
	// MaxMoves bounds the moves of one run for pace, including those that failed after
	// their copy began. A run that is still too slow after two is on the best engine
	// there is, or the estimates are wrong.
	MaxMoves = 2
	// MinInterval is the time between two moves of a run. Estimates follow a change of
	// an engine within some 4 s, and a second pause of 70 ms so soon would be noticed.
	MinInterval = 4 * time.Second
	// minSpeedup is how many times faster the target must be. The target slows down by
	// 2% for each run that it gets, the source speeds up by as much, and estimates are
	// off by some 10%; with 1.3, a run isn't drawn back by these.
	minSpeedup = 1.3
	// minRemaining is the least number of tokens that are still expected. The last ten
	// events of four tokens seldom include a long pause.
	minRemaining policy.Tokens = 40
	// minSaving is the least time that a move must save. It is several times the pause
	// of at most 70 ms, and more than the 0.4 s for which the two links together are
	// occupied.
	minSaving = 500 * time.Millisecond
	// deadlineReserve is the fraction of the time until the deadline that must suffice
	// for a target. Expected lengths are means.
	deadlineReserve = 0.9
)

// Pace is how fast an engine decodes: the typical time of a step, and the time
// that one step in a thousand exceeds, as an answer of some hundred events may.
type Pace struct{ Step, SlowStep time.Duration }

// known reports whether the values are usable.
func (p Pace) known() bool { return p.Step > 0 && p.SlowStep > 0 }

// Run is a running answer.
type Run struct {
	// MaxStep is the longest step with which pauses stay within what the caller
	// allows; zero sets no bound.
	MaxStep time.Duration
	// Remaining is how many tokens are still expected.
	Remaining policy.Tokens
	// Exceeded is set once a pause was longer than the caller allows. The answer is
	// late then, and shorter pauses don't help it: moving such runs as well frees
	// their slow engines for answers that become late there, too.
	Exceeded bool
	// Deadline is when the answer must be complete; zero sets none.
	Deadline time.Time
	// Moves counts the run's moves for pace so far. MovedAt is when it was last moved,
	// or a move for pace was last tried, for any reason; zero if never.
	Moves   int
	MovedAt time.Time
}

// Reason is why a run should leave its engine.
type Reason string

// The reasons to leave an engine.
const (
	// None means that the run stays.
	None Reason = ""
	// Pauses means that the engine exceeds the pauses that the caller allows.
	Pauses Reason = "pauses"
	// Late means that the answer won't be complete by its deadline.
	Late Reason = "late"
)

// Leaves returns why a run should leave its engine of the given pace. The result
// is None if the run may not be moved now.
func Leaves(now time.Time, r Run, source Pace) Reason {
	switch {
	case !source.known() || r.Remaining < minRemaining:
		return None
	case r.Moves >= MaxMoves || !r.MovedAt.IsZero() && now.Sub(r.MovedAt) < MinInterval:
		return None
	case !r.Exceeded && r.pausesTooLong(source):
		return Pauses
	case r.endsAfter(now, source, 1):
		return Late
	}
	return None
}

// Suits reports whether a run that leaves its engine should continue on one of
// the target's pace.
func Suits(now time.Time, r Run, source, target Pace) bool {
	if !target.known() || float64(target.Step)*minSpeedup > float64(source.Step) {
		return false
	}
	if r.pausesTooLong(target) || r.endsAfter(now, target, deadlineReserve) {
		return false
	}
	return time.Duration(r.Remaining)*(source.Step-target.Step) >= minSaving
}

// pausesTooLong reports whether pauses on an engine exceed the bound.
func (r Run) pausesTooLong(p Pace) bool { return r.MaxStep > 0 && p.SlowStep > r.MaxStep }

// endsAfter reports whether the answer takes longer than the given fraction of the
// time until its deadline.
func (r Run) endsAfter(now time.Time, p Pace, fraction float64) bool {
	if r.Deadline.IsZero() {
		return false
	}
	return float64(r.Remaining)*float64(p.Step) > fraction*float64(r.Deadline.Sub(now))
}
