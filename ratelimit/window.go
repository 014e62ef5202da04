// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"math"
	"time"
)

const (
	// limitWindow is the span in which requests are counted against a limit.
	limitWindow = 4 * time.Second
	// burstWindow is a shorter one, so that what was left over isn't sent all at once.
	burstWindow = time.Second
	// binWidth is by how much the spans slide: an eightieth of a window may stay unused.
	binWidth = 50 * time.Millisecond
	// binCount is for the longest span: two requests at just over one in four seconds.
	binCount = 164
	// idleThreshold is how long nobody asks until what was given before isn't believed to be
	// all: the host was suspended, or another gave out requests meanwhile.
	idleThreshold = time.Second
)

// window counts what an upstream was given lately. The zero value is one that nobody asked.
type window struct {
	bins [binCount]float64
	// newestBin is the number of the newestBin bin since began.
	newestBin int64
	startedAt time.Time
	// activeUntil is when it was activeUntil last, or the next who asks is expected, and rate what for.
	activeUntil time.Time
	lastRate    Rate
}

// quota is how many whole requests a rate allows, and in which span.
func quota(r Rate) (maxRequests float64, span time.Duration) {
	maxRequests = max(math.Ceil(float64(r)*limitWindow.Seconds()), 1)
	return maxRequests, time.Duration(maxRequests / float64(r) * float64(time.Second))
}

// burstQuota is how many requests a rate allows in burstOver.
func burstQuota(r Rate) float64 { return math.Ceil(float64(r)*burstWindow.Seconds()) + 1 }

// advance slides the window to a moment, and sees to what it can't know.
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

// noteActivity takes in when somebody asks.
func (w *window) noteActivity(at time.Time) {
	if at.After(w.activeUntil) {
		w.activeUntil = at
	}
}

// assumeUsed takes it that, up to one request, all was given out that might have been, evenly. No
// window is empty after a silence: those of several hosts would be used up together.
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

// capToQuota has what was given at a higher rate count as much as was allowed at a lower one, so
// that the upstream isn't left alone until that has slid out.
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

// binsSpanning is how many bins a span touches that ends within the newest.
func binsSpanning(span time.Duration) int {
	return min(int((span+binWidth-1)/binWidth)+1, binCount)
}

// binIndex is where the nth newest binIndex is.
func (w *window) binIndex(n int) int64 {
	return ((w.newestBin-int64(n))%binCount + binCount) % binCount
}

// sumNewest is what was given in the newest bins.
func (w *window) sumNewest(count int) float64 {
	sum := 0.0
	for n := range count {
		sum += w.bins[w.binIndex(n)]
	}
	return sum
}

// delay is how long it is until another request may go; zero when it may now.
func (w *window) delay(r Rate) time.Duration {
	maxRequests, span := quota(r)
	return max(w.delayForQuota(maxRequests, binsSpanning(span)), w.delayForQuota(burstQuota(r), binsSpanning(burstWindow)))
}

// roundingTolerance is left by the parts of requests that fill spreads over bins.
const roundingTolerance = 1e-6

// delayForQuota is how long it is until no more than some requests but one were given in the
// newest bins.
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

// add counts a request.
func (w *window) add() { w.bins[w.binIndex(0)]++ }
