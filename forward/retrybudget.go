// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync"
	"time"
)

// RetryLimit bounds the retries of requests to one service, summed over all hosts: in each
// Window, Ratio of the service's requests plus Slack.
type RetryLimit struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// retryBudget is this host's share of a RetryLimit for each service: Ratio of the host's own
// requests plus an equal share of Slack. The zero value allows no retries.
type retryBudget struct {
	mu    sync.Mutex
	limit RetryLimit
	// hosts is the number of hosts that share the slack. Zero means that it isn't known yet; this
	// host then gets no share.
	hosts    int
	services map[ServiceName]*retryWindow
	// startedAt is when the first request was counted. Buckets are numbered from it and not by
	// the time of day: if the clock were set back, the window would stand still for as long,
	// and if it were set forward, retries already spent would be forgotten.
	startedAt time.Time
}

// retryWindow counts one service's requests and retries in a window that slides by buckets.
type retryWindow struct {
	// In each bucket, first counts requests and again counts retries.
	buckets [windowBuckets]struct{ first, again float64 }
	// newestBucket is the number of the newest bucket, counted from the budget's startedAt.
	newestBucket int64
}

const (
	// windowBuckets is the number of buckets in a window.
	windowBuckets = 10
	// usableFraction is the part of the limit that a host uses, so that all hosts together stay
	// within it although their counts differ slightly.
	usableFraction = 0.8
)

// setHosts sets the number of hosts that share the limit.
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

// countRequest counts a request that is sent for the first time.
func (b *retryBudget) countRequest(now time.Time, service ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(now, service)
	w.buckets[w.newestBucket%windowBuckets].first++
}

// takeRetry reports whether the budget allows another retry, and if so counts it.
func (b *retryBudget) takeRetry(now time.Time, service ServiceName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(now, service)
	var requests, retries float64
	for _, bucket := range w.buckets {
		requests += bucket.first
		retries += bucket.again
	}
	if retries+1 > usableFraction*(b.limit.Ratio*requests+b.slackShare()) {
		return false
	}
	w.buckets[w.newestBucket%windowBuckets].again++
	return true
}

// slackShare returns this host's share of the slack. The mutex is held.
func (b *retryBudget) slackShare() float64 {
	if b.hosts == 0 {
		return 0
	}
	return b.limit.Slack / float64(b.hosts)
}

// currentWindow returns a service's window, advanced to now. The mutex is held.
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
	bucket := int64(now.Sub(b.startedAt) / max(b.limit.Window/windowBuckets, 1))
	for steps := 0; w.newestBucket < bucket && steps < windowBuckets; steps++ {
		w.newestBucket++
		w.buckets[w.newestBucket%windowBuckets] = struct{ first, again float64 }{}
	}
	w.newestBucket = max(w.newestBucket, bucket)
	return w
}
