// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import "time"

// MaxOverdue returns how long ago the deadline passed of the request in flight that is furthest past
// its own; zero if none is past its deadline.
func (f *Forwarder) MaxOverdue() time.Duration {
	now := f.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var longest time.Duration
	for x := range f.inFlight {
		if by := x.publishedDeadline.Load(); by != nil && !by.IsZero() {
			longest = max(longest, now.Sub(*by))
		}
	}
	return longest
}
