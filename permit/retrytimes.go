// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package permit

import (
	"sync"
	"time"
)

// retryTimes holds, by key, the time before which something is not tried again. The zero value is
// ready for use. It is safe for concurrent use.
type retryTimes[K comparable] struct {
	mu        sync.Mutex
	notBefore map[K]time.Time
}

// remaining returns how long it is until k may be tried again; zero if it may now.
func (r *retryTimes[K]) remaining(now time.Time, k K) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.notBefore[k].Sub(now), 0)
}

// extend sets the time before which k is not tried again, unless a later one is set.
func (r *retryTimes[K]) extend(k K, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.notBefore == nil {
		r.notBefore = map[K]time.Time{}
	}
	if until.After(r.notBefore[k]) {
		r.notBefore[k] = until
	}
}

// expiredWithin reports whether k may be tried again, since at most d ago.
func (r *retryTimes[K]) expiredWithin(now time.Time, k K, d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, found := r.notBefore[k]
	return found && !now.Before(at) && now.Sub(at) <= d
}

// removeIfExpired removes the time of k if it has passed.
func (r *retryTimes[K]) removeIfExpired(now time.Time, k K) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.Before(r.notBefore[k]) {
		delete(r.notBefore, k)
	}
}

// remove lets k be tried at once.
func (r *retryTimes[K]) remove(k K) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.notBefore, k)
}

// removeExpired removes the times that passed more than d ago.
func (r *retryTimes[K]) removeExpired(now time.Time, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, until := range r.notBefore {
		if now.Sub(until) > d {
			delete(r.notBefore, k)
		}
	}
}
