// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// initialRetryDelay and maxRetryDelay bound the mean pause after a failed call, which doubles
	// with each failure in a row.
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 800 * time.Millisecond
)

// retryDelay returns the pause after the given number of failures in a row, with jitter of up to
// half the mean in both directions.
func retryDelay(failures int) time.Duration {
	pause := min(initialRetryDelay<<min(failures, 8), maxRetryDelay)
	return pause/2 + rand.N(pause)
}

// dependencyStatus logs when something that this host depends on is lost and regained. It isn't
// safe for concurrent use.
type dependencyStatus struct {
	name    string
	journal Journal
	// lostAt is when the present outage began; zero outside one. failures counts the failures in a
	// row.
	lostAt   time.Time
	failures int
	// now returns the present time.
	now func() time.Time
}

// recordFailure records a failure and returns the pause before the next attempt. After the context
// has ended it records nothing.
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

// recordSuccess records a success and returns how long the outage that it ended has lasted; zero if
// there was none.
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
