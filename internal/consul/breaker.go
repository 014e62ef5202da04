// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package consul

import (
	"math/rand/v2"
	"sync"
	"time"
)

// breaker is a circuit breaker: it stops calls to a service that keeps failing, and lets a
// trial call through from time to time. The zero value is closed and lets every call through.
type breaker struct {
	mu sync.Mutex
	// failures counts the failures since the last success.
	failures int
	// nextTrial is when the next trial call may go; it applies once failures has reached
	// failuresToOpen.
	nextTrial time.Time
	// random returns the jitter, in [0,1). Nil means math/rand.
	random func() float64
}

const (
	failuresToOpen = 4
	minBackoff     = 100 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

// allow reports whether a call may go now. Allowing a trial call postpones the next one, so
// that trial calls go one at a time.
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

// recordOutcome records whether a call that allow let through succeeded.
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

// backoff returns the time until the next trial call. It doubles with each failure after the
// breaker opens, up to maxBackoff; half of it is jittered.
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
