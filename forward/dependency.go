// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// initialRetryDelay and failMost bound the pause after a failed call; it doubles
	// with each failure in a row.
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 800 * time.Millisecond
)

// retryDelay is the pause after so many failures in a row, half of it jitter.
func retryDelay(failures int) time.Duration {
	pause := min(initialRetryDelay<<min(failures, 8), maxRetryDelay)
	return pause/2 + rand.N(pause)
}

// dependencyStatus notes when something that this host depends on is lost and
// regained. It is for one goroutine.
type dependencyStatus struct {
	name     string
	journal  Journal
	lostAt   time.Time
	failures int
	// now tells the present time.
	now func() time.Time
}

// recordFailure notes a failure and returns the pause before the next try.
func (d *dependencyStatus) recordFailure(ctx context.Context, err error) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	if d.lostAt.IsZero() {
		d.lostAt = d.now()
		d.journal.HostEvent("dependency lost", "what", d.name, "err", err)
	}
	d.failures++
	return retryDelay(d.failures)
}

// recordSuccess notes a success and returns how long the outage was that it ended; zero
// when there was none.
func (d *dependencyStatus) recordSuccess(now time.Time) time.Duration {
	d.failures = 0
	if d.lostAt.IsZero() {
		return 0
	}
	lostFor := now.Sub(d.lostAt)
	d.journal.HostEvent("dependency regained", "what", d.name, "lost_for", lostFor)
	d.lostAt = time.Time{}
	return lostFor
}
