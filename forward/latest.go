// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync/atomic"
	"time"
)

// latestTime is the newest moment at which something was seen to hold. The zero value
// is "never". It is safe for use by several goroutines.
//
// Moments keep the reading of the steady clock that they came with: the time of day
// jumps on some hosts, by seconds or an hour, and a proof that lay in the future after
// such a jump would hold for as long as the jump was. A host that is cut off would go
// on admitting requests by a configuration that is out of date.
type latestTime struct{ at atomic.Pointer[time.Time] }

// advance moves the moment forward, never back.
func (l *latestTime) advance(at time.Time) {
	for {
		old := l.at.Load()
		if old != nil && !at.After(*old) || l.at.CompareAndSwap(old, &at) {
			return
		}
	}
}

// clear makes it never.
func (l *latestTime) clear() { l.at.Store(nil) }

// age is how long ago the moment was, from zero to neverProved.
func (l *latestTime) age(now time.Time) time.Duration {
	at := l.at.Load()
	if at == nil {
		return noProofAge
	}
	return min(max(now.Sub(*at), 0), noProofAge)
}

// noProofAge is the age of a proof that there is none of, and the highest age that
// is told; every bound is far below it.
const noProofAge = time.Hour
