// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"slices"
	"time"

	"github.com/shedpath/shedpath/member"
)

// Upstream is one incarnation of an upstream. A request crashes each incarnation at most once,
// however many hosts see that and however many copies of the request run there.
type Upstream struct {
	ID member.UpstreamID
	// Incarnation tells the starts under one ID apart; zero if it isn't known.
	Incarnation int64
}

// Crash records that an upstream ended while it ran a request.
type Crash struct {
	Upstream
	At time.Time
	// Caller sent the request; empty if that isn't known.
	Caller string
}

// Origin tells operators where a request comes from. For a part, it is that of the last request.
type Origin struct{ Caller, Route string }

// Standing says whether a request is suspected of crashing upstreams, and whether it may be sent.
type Standing int

// The standings of a request, in ascending order of severity.
const (
	// Clear: no crash counts against the request.
	Clear Standing = iota
	// Suspect: some crashes count against the request, but fewer than the hold threshold. Most
	// requests that ran beside one that crashes upstreams are suspects.
	Suspect
	// TrialDue: the hold threshold is reached, but the hold time since the last crash is over, so
	// one host may send the request once more. The upstreams may have been fixed, or the request
	// may only have run beside the one that crashed them.
	TrialDue
	// Held: the hold threshold is reached and the hold time isn't over, so the request must not
	// be sent.
	Held
)

const (
	// DefaultHoldThreshold is how many crashes it takes to hold a request. A lower threshold
	// would hold requests that only ran beside another.
	DefaultHoldThreshold = 3
	// crashSpacing is how far apart crashes of a part must be to count as several, and minCrashesApart
	// how many of these it takes to hold it while other prompts run well.
	crashSpacing    = 250 * time.Millisecond
	minCrashesApart = 2
	// unprovenMargin is how many more crashes apart it takes to hold a part while no prompt has run well
	// at this host yet.
	unprovenMargin = 2
	// SettleTime is how long after a crash it counts towards holding a part. By then all hosts have
	// reported the requests that were beginning to run there, so that a part which many prompts share
	// isn't ahead of the one that only the crashing ones have.
	SettleTime = 100 * time.Millisecond
	// initialHoldTime is how long after the last crash a request is held before a trial. Each
	// further crash multiplies the hold time by holdTimeMultiplier. A popular request that was
	// held by mistake is served again after the first hold time. One that does crash upstreams
	// takes three more of them in half an hour, and the next two hours later.
	initialHoldTime    = time.Minute
	holdTimeMultiplier = 5
	// maxPartTrials is how many trials of a part may fail. After that it is held until its record expires
	// or an operator releases it.
	maxPartTrials = 3
	// trialInterval is the least time between two trials of a request by one host. After it the
	// outcome of a trial is known.
	trialInterval = 30 * time.Second
	// crashRetention is how long after the last crash the record of a request is kept.
	crashRetention = 24 * time.Hour
	// clearedRetention is how long a record without crashes keeps its cleared upstreams, so that
	// hosts which learn of those crashes later don't count them either.
	clearedRetention = 5 * time.Minute
	// maxCrashes and maxCleared bound the crashes and cleared upstreams kept per request; a
	// further one replaces the oldest.
	maxCrashes = 32
	maxCleared = 64
)

// record is what is known of one request or part. Hosts that receive the same reports, in any order
// and any number of times, end up with the same crashes: each incarnation of an upstream crashes
// once, and a crash that was cleared stays cleared.
type record struct {
	Origin
	// crashes are the crashes that count. cleared are the upstreams whose crashes no longer
	// count, because the request has since run without a crash or an operator released it. No
	// upstream is in both.
	crashes []Crash
	cleared []Upstream
	// clearedAt is when this host last added to cleared.
	clearedAt time.Time
	// lastTrialAt is when this host last began a trial of the request.
	lastTrialAt time.Time
	// reachedThreshold says that the crashes have sufficed to hold the record, and that some still count.
	// Otherwise a held part would be sent again once nothing else runs.
	reachedThreshold bool
	// wasHeld says that the record was held at the last call of List.NewlyHeld.
	wasHeld bool
	// lastChange is the number of the last change of this record, among all changes of the list.
	lastChange uint64
}

// addCrash adds a crash and reports whether it was new. dropped is the upstream of the crash that
// was removed to make room, or the zero value.
func (r *record) addCrash(c Crash) (added bool, dropped Upstream) {
	if slices.Contains(r.cleared, c.Upstream) || r.hasCrash(c.Upstream) {
		return false, Upstream{}
	}
	r.crashes = append(r.crashes, c)
	if len(r.crashes) > maxCrashes {
		dropped = r.crashes[0].Upstream
		r.crashes = slices.Delete(r.crashes, 0, 1)
	}
	return true, dropped
}

// clearCrash makes an upstream's crash no longer count, and reports whether it wasn't cleared
// already.
func (r *record) clearCrash(now time.Time, u Upstream) bool {
	if slices.Contains(r.cleared, u) {
		return false
	}
	r.crashes = slices.DeleteFunc(r.crashes, func(c Crash) bool { return c.Upstream == u })
	r.reachedThreshold = r.reachedThreshold && len(r.crashes) > 0
	r.cleared, r.clearedAt = append(r.cleared, u), now
	if len(r.cleared) > maxCleared {
		r.cleared = slices.Delete(r.cleared, 0, 1)
	}
	return true
}

// firstCrashAt returns the time of the earliest crash, or zero if there is none.
func (r *record) firstCrashAt() time.Time {
	var first time.Time
	for _, c := range r.crashes {
		if first.IsZero() || c.At.Before(first) {
			first = c.At
		}
	}
	return first
}

// lastCrashAt returns the time of the latest crash, or zero if there is none.
func (r *record) lastCrashAt() time.Time {
	var last time.Time
	for _, c := range r.crashes {
		if c.At.After(last) {
			last = c.At
		}
	}
	return last
}

// onlyCaller returns the caller whose requests caused all crashes; empty if there are several or it
// isn't known.
func (r *record) onlyCaller() string {
	for _, c := range r.crashes {
		if c.Caller != r.crashes[0].Caller {
			return ""
		}
	}
	return r.crashes[0].Caller
}

func (r *record) hasCrash(u Upstream) bool {
	return slices.ContainsFunc(r.crashes, func(c Crash) bool { return c.Upstream == u })
}

// holdTime returns how long a request is held after the last crash, if its crashes exceed the
// hold threshold by excess.
func holdTime(excess int) time.Duration {
	hold := initialHoldTime
	for range min(excess, 4) {
		hold *= holdTimeMultiplier
	}
	return hold
}

// isExpired reports whether the record is too old to matter.
func (r *record) isExpired(now time.Time) bool {
	if len(r.crashes) == 0 {
		return now.Sub(r.clearedAt) > clearedRetention
	}
	return now.Sub(r.lastCrashAt()) > crashRetention
}
