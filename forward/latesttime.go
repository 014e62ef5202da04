// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync/atomic"
	"time"
)

// latestTime is the latest time at which something was proved to hold. The zero value is "never".
// It is safe for concurrent use.
//
// Times keep their monotonic clock reading: the wall clock of some hosts jumps, by seconds or an
// hour, and a proof that lies in the future after such a jump would hold for as long as the jump. A
// host that is cut off would go on admitting requests by an outdated configuration.
type latestTime struct{ at atomic.Pointer[time.Time] }

// advance moves the time forward, never back.
func (l *latestTime) advance(at time.Time) {
	for {
		old := l.at.Load()
		if old != nil && !at.After(*old) || l.at.CompareAndSwap(old, &at) {
			return
		}
	}
}

// clear resets the time to never.
func (l *latestTime) clear() { l.at.Store(nil) }

// age returns how long ago the time was, from zero to noProofAge.
func (l *latestTime) age(now time.Time) time.Duration {
	at := l.at.Load()
	if at == nil {
		return noProofAge
	}
	return min(max(now.Sub(*at), 0), noProofAge)
}

// noProofAge stands for the age of a proof that doesn't exist, and is the highest age that is
// reported; every bound is far below it.
const noProofAge = time.Hour
