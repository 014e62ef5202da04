// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"slices"
	"time"

	"github.com/shedpath/shedpath/member"
)

// Upstream is one start of an upstream: a request brings each of them down at most once,
// however many hosts or copies of the request saw that.
type Upstream struct {
	ID member.UpstreamID
	// Incarnation tells the starts under one id apart; zero where that isn't known.
	Incarnation int64
}

// Crash is an upstream's end under a request.
type Crash struct {
	Upstream
	At time.Time
}

// Origin says where a request comes from, for operators.
type Origin struct{ Caller, Route string }

// Standing is what is thought of a request.
type Standing int

// The standings.
const (
	// Clear: no upstream has ended under it since it last ran well.
	Clear Standing = iota
	// Suspect: some have. Most requests that were beside one that crashes upstreams are.
	Suspect
	// TrialDue: so many have that it would be held, but none for so long that one host may
	// send it once more: its upstreams may have been mended, or it was only beside.
	TrialDue
	// Held: so many have that it isn't to be sent any more.
	Held
)

const (
	// DefaultHoldThreshold is how many upstreams have to end under a request for it to be held.
	// Fewer would hold requests that only ran beside another.
	DefaultHoldThreshold = 3
	// initialHoldTime is how long after the last end a request is held until it is tried once
	// more; with each upstream that ends of that, it is heldMore times as long. One that
	// many send, and that was held by mistake, is served again after that, and one that
	// isn't takes three more upstreams in half an hour, and the next two hours later.
	initialHoldTime    = time.Minute
	holdTimeMultiplier = 5
	// trialInterval is within how long it shows whether an upstream bears a request.
	trialInterval = 30 * time.Second
	// crashRetention is how long after the last end all of it is forgotten.
	crashRetention = 24 * time.Hour
	// clearedRetention is how long it is known which ends don't count any more, so that hosts
	// which hear of them later don't count them either.
	clearedRetention = 5 * time.Minute
	// maxCrashes and mostCleared are kept of one request; further ones replace the oldest.
	maxCrashes = 8
	maxCleared = 16
)

// record is what is known of one request. Hosts that hear the same things in any order, and
// any number of times, have the same crashes: each upstream ends once, and what was taken
// back of it stays taken back.
type record struct {
	Origin
	// crashes count, and cleared are upstreams whose ends don't any more: the request has
	// run well since, or was let through. No upstream is among both.
	crashes []Crash
	cleared []Upstream
	// clearedAt is when the last of them was cleared here.
	clearedAt time.Time
	// lastTrialAt is when this host last sent the request once more although it was held.
	lastTrialAt time.Time
	// lastChange numbers the last change among the list's.
	lastChange uint64
}

// addCrash takes in an end, and reports whether it is new. dropped is the one that had to make
// room for it; zero for none.
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

// clearCrash has an upstream's end not count, and reports whether that is new.
func (r *record) clearCrash(now time.Time, u Upstream) bool {
	if slices.Contains(r.cleared, u) {
		return false
	}
	r.crashes = slices.DeleteFunc(r.crashes, func(c Crash) bool { return c.Upstream == u })
	r.cleared, r.clearedAt = append(r.cleared, u), now
	if len(r.cleared) > maxCleared {
		r.cleared = slices.Delete(r.cleared, 0, 1)
	}
	return true
}

// lastCrashAt is when an upstream lastCrashAt ended under the request; zero when none did.
func (r *record) lastCrashAt() time.Time {
	var last time.Time
	for _, c := range r.crashes {
		if c.At.After(last) {
			last = c.At
		}
	}
	return last
}

func (r *record) hasCrash(u Upstream) bool {
	return slices.ContainsFunc(r.crashes, func(c Crash) bool { return c.Upstream == u })
}

// holdTime is how long a request is held after so many ends more than it takes for that.
func holdTime(excess int) time.Duration {
	hold := initialHoldTime
	for range min(excess, 4) {
		hold *= holdTimeMultiplier
	}
	return hold
}

// isExpired reports whether the record says nothing any more.
func (r *record) isExpired(now time.Time) bool {
	if len(r.crashes) == 0 {
		return now.Sub(r.clearedAt) > clearedRetention
	}
	return now.Sub(r.lastCrashAt()) > crashRetention
}
