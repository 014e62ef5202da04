// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package permit

import (
	"sync"
	"time"
)

// waits are moments before which something isn't tried again, by what it is about. The zero
// value has none. It is safe for use by several goroutines.
type waits[K comparable] struct {
	mu    sync.Mutex
	until map[K]time.Time
}

// left is how long it is until it is tried again.
func (w *waits[K]) left(now time.Time, k K) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(w.until[k].Sub(now), 0)
}

// extend has it not be tried before a moment, nor before one that was set already.
func (w *waits[K]) extend(k K, until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.until == nil {
		w.until = map[K]time.Time{}
	}
	if until.After(w.until[k]) {
		w.until[k] = until
	}
}

// end has it be tried at once.
func (w *waits[K]) end(k K) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.until, k)
}

// forget drops what is over.
func (w *waits[K]) forget(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k, until := range w.until {
		if now.After(until) {
			delete(w.until, k)
		}
	}
}
