// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package permit

import (
	"sync"
	"time"
)

// retryTimes are moments before which something isn't tried again, by what it is about. The zero
// value has none. It is safe for use by several goroutines.
type retryTimes[K comparable] struct {
	mu        sync.Mutex
	notBefore map[K]time.Time
}

// remaining is how long it is until it is tried again.
func (w *retryTimes[K]) remaining(now time.Time, k K) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(w.notBefore[k].Sub(now), 0)
}

// extend has it not be tried before a moment, nor before one that was set already.
func (w *retryTimes[K]) extend(k K, until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.notBefore == nil {
		w.notBefore = map[K]time.Time{}
	}
	if until.After(w.notBefore[k]) {
		w.notBefore[k] = until
	}
}

// remove has it be tried at once.
func (w *retryTimes[K]) remove(k K) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.notBefore, k)
}

// removeExpired drops what is over.
func (w *retryTimes[K]) removeExpired(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k, until := range w.notBefore {
		if now.After(until) {
			delete(w.notBefore, k)
		}
	}
}
