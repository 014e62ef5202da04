// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync"
	"time"
)

// RetryLimit bounds the requests that are sent once more to one service, over
// all hosts: Ratio of the service's requests and Slack more in each Window.
type RetryLimit struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// retryBudget is this host's part of a RetryLimit: the ratio of its own
// requests, and an even part of the slack. The zero value allows nothing.
type retryBudget struct {
	mu    sync.Mutex
	limit RetryLimit
	// hosts share the slack. While it is zero, how many there are isn't known, and this
	// one has no part of it.
	hosts    int
	services map[ServiceName]*retryWindow
	// startedAt is the first moment that was counted, from which buckets are numbered:
	// by the time of day, a jump back would stop the window for as long as the jump
	// was, and one ahead would forget what has been spent.
	startedAt time.Time
}

// retryWindow counts one service's requests and repeats in a window that
// slides by buckets.
type retryWindow struct {
	buckets [windowBuckets]struct{ first, again float64 }
	// newestBucket is the number of the newest bucket since the budget began.
	newestBucket int64
}

const (
	// windowBuckets is how many parts a window slides by.
	windowBuckets = 10
	// usableFraction of the limit is used, so that hosts that count a little
	// differently stay within it together.
	usableFraction = 0.8
)

// setHosts says how many hosts share the limit.
func (b *retryBudget) setHosts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(n, 1)
}

func (b *retryBudget) setLimit(l RetryLimit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = l
}

// countRequest counts a request that is sent for the countRequest time.
func (b *retryBudget) countRequest(now time.Time, service ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(now, service)
	w.buckets[w.newestBucket%windowBuckets].first++
}

// takeRetry reports whether a request may be sent once more, and counts it.
func (b *retryBudget) takeRetry(now time.Time, service ServiceName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(now, service)
	var first, again float64
	for _, bucket := range w.buckets {
		first += bucket.first
		again += bucket.again
	}
	if again+1 > usableFraction*(b.limit.Ratio*first+b.slackShare()) {
		return false
	}
	w.buckets[w.newestBucket%windowBuckets].again++
	return true
}

// slackShare is this host's part of it.
func (b *retryBudget) slackShare() float64 {
	if b.hosts == 0 {
		return 0
	}
	return b.limit.Slack / float64(b.hosts)
}

func (b *retryBudget) currentWindow(now time.Time, service ServiceName) *retryWindow {
	if b.services == nil {
		b.services = map[ServiceName]*retryWindow{}
	}
	w := b.services[service]
	if w == nil {
		w = &retryWindow{}
		b.services[service] = w
	}
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	at := int64(now.Sub(b.startedAt) / max(b.limit.Window/windowBuckets, 1))
	for steps := 0; w.newestBucket < at && steps < windowBuckets; steps++ {
		w.newestBucket++
		w.buckets[w.newestBucket%windowBuckets] = struct{ first, again float64 }{}
	}
	w.newestBucket = max(w.newestBucket, at)
	return w
}
