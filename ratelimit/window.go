// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"math"
	"time"
)

const (
	// limitWindow is the time in which requests are counted against a limit.
	limitWindow = 4 * time.Second
	// burstWindow is a shorter window that keeps unused capacity from being sent all at once.
	burstWindow = time.Second
	// binWidth is the step in which the windows slide. Up to an eightieth of limitWindow may
	// stay unused.
	binWidth = 50 * time.Millisecond
	// binCount suffices for the longest window: two requests at a rate just above one in four
	// seconds.
	binCount = 164
	// idleThreshold is how long a window may go without a request before its counts are taken
	// as incomplete: the host was suspended, or another host granted requests meanwhile.
	idleThreshold = time.Second
)

// window counts the requests recently granted for an upstream. The zero value has seen no
// requests.
type window struct {
	bins [binCount]float64
	// newestBin is the number of the newest bin, counted from startedAt.
	newestBin int64
	startedAt time.Time
	// activeUntil is when the last permit request came or, if later, when the next is expected.
	// lastRate is the rate of the last one.
	activeUntil time.Time
	lastRate    Rate
}

// quota returns how many whole requests a rate allows, and in which window.
func quota(r Rate) (maxRequests float64, span time.Duration) {
	maxRequests = max(math.Ceil(float64(r)*limitWindow.Seconds()), 1)
	return maxRequests, time.Duration(maxRequests / float64(r) * float64(time.Second))
}

// burstQuota returns how many requests a rate allows in burstWindow.
func burstQuota(r Rate) float64 { return math.Ceil(float64(r)*burstWindow.Seconds()) + 1 }

// advance slides the window to the current time. It corrects the counts if the rate was lowered
// or the window was idle.
func (w *window) advance(now time.Time, r Rate) {
	if w.startedAt.IsZero() {
		w.startedAt = now
	}
	bin := int64(now.Sub(w.startedAt) / binWidth)
	for steps := 0; w.newestBin < bin && steps < binCount; steps++ {
		w.newestBin++
		w.bins[w.newestBin%binCount] = 0
	}
	w.newestBin = max(w.newestBin, bin)
	idle := w.activeUntil.IsZero() || now.Sub(w.activeUntil) > idleThreshold
	lowered := r < w.lastRate
	w.noteActivity(now)
	w.lastRate = r
	if lowered {
		w.capToQuota(r)
	}
	if idle {
		w.assumeUsed(r)
	}
}

// noteActivity records when a host asks or is expected to ask.
func (w *window) noteActivity(at time.Time) {
	if at.After(w.activeUntil) {
		w.activeUntil = at
	}
}

// assumeUsed fills the window evenly with the requests that other hosts may have granted, up to
// one request below the quota. After an idle time the window can't be taken as empty: several
// hosts could each use up a whole window.
func (w *window) assumeUsed(r Rate) {
	maxRequests, span := quota(r)
	count := binsSpanning(span)
	left := maxRequests - 1 - w.sumNewest(count)
	for n := range count {
		if left > 0 {
			w.bins[w.binIndex(n)] += left / float64(count)
		}
	}
}

// capToQuota reduces requests granted at a higher rate to the quota of a lower one, so that the
// upstream doesn't go without requests until they have left the window.
func (w *window) capToQuota(r Rate) {
	maxRequests, span := quota(r)
	count := binsSpanning(span)
	if w.sumNewest(count) <= maxRequests {
		return
	}
	clear(w.bins[:])
	for n := range count {
		w.bins[w.binIndex(n)] = maxRequests / float64(count)
	}
}

// binsSpanning returns how many bins a time span touches that ends within the newest bin.
func binsSpanning(span time.Duration) int {
	return min(int((span+binWidth-1)/binWidth)+1, binCount)
}

// binIndex returns the index of the nth newest bin.
func (w *window) binIndex(n int) int64 {
	return ((w.newestBin-int64(n))%binCount + binCount) % binCount
}

// sumNewest returns the number of requests in the newest count bins.
func (w *window) sumNewest(count int) float64 {
	sum := 0.0
	for n := range count {
		sum += w.bins[w.binIndex(n)]
	}
	return sum
}

// delay returns the time until another request may be sent, zero if one may be sent now.
func (w *window) delay(r Rate) time.Duration {
	maxRequests, span := quota(r)
	return max(w.delayForQuota(maxRequests, binsSpanning(span)), w.delayForQuota(burstQuota(r), binsSpanning(burstWindow)))
}

// roundingTolerance absorbs the rounding of the fractions of requests that assumeUsed and
// capToQuota spread over bins.
const roundingTolerance = 1e-6

// delayForQuota returns the time until the newest count bins hold at most maxRequests-1
// requests.
func (w *window) delayForQuota(maxRequests float64, count int) time.Duration {
	excess := w.sumNewest(count) - (maxRequests - 1)
	for n := count - 1; n >= 0 && excess > roundingTolerance; n-- {
		excess -= w.bins[w.binIndex(n)]
		if excess <= roundingTolerance {
			return time.Duration(count-n) * binWidth
		}
	}
	return 0
}

// add counts a granted request.
func (w *window) add() { w.bins[w.binIndex(0)]++ }
