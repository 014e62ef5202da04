// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package consul

import (
	"math/rand/v2"
	"sync"
	"time"
)

// breaker stops calls to a service that keeps failing, and lets one through
// from time to time to see whether it is back. The zero value is closed and
// lets every call through.
type breaker struct {
	mu sync.Mutex
	// failures counts the failures since the last success.
	failures int
	// nextTrial is when the next trial call may go; it holds while failures has
	// reached failuresToOpen.
	nextTrial time.Time
	// random gives the jitter, in [0,1). Nil means math/rand.
	random func() float64
}

const (
	failuresToOpen = 4
	minBackoff     = 100 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

// allow reports whether a call may go now. Letting a trial call through puts
// the next trial off, so that only one goes at a time.
func (b *breaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < failuresToOpen {
		return true
	}
	if now.Before(b.nextTrial) {
		return false
	}
	b.nextTrial = now.Add(b.backoff())
	return true
}

// recordOutcome tells how a call that allow let through ended.
func (b *breaker) recordOutcome(now time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.failures = 0
		return
	}
	b.failures++
	if b.failures >= failuresToOpen {
		b.nextTrial = now.Add(b.backoff())
	}
}

// backoff doubles with each failure past the opening, with half of it jitter.
func (b *breaker) backoff() time.Duration {
	wait := minBackoff
	for i := failuresToOpen; i < b.failures && wait < maxBackoff; i++ {
		wait *= 2
	}
	random := b.random
	if random == nil {
		random = rand.Float64
	}
	wait = min(wait, maxBackoff)
	return wait/2 + time.Duration(random()*float64(wait)/2)
}
