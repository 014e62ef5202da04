// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// failLeast and failMost bound the pause after a failed call; it doubles
	// with each failure in a row.
	failLeast = 50 * time.Millisecond
	failMost  = 800 * time.Millisecond
)

// failPause is the pause after so many failures in a row, half of it jitter.
func failPause(failures int) time.Duration {
	pause := min(failLeast<<min(failures, 8), failMost)
	return pause/2 + rand.N(pause)
}

// dependency notes when something that this host depends on is lost and
// regained. It is for one goroutine.
type dependency struct {
	name     string
	journal  Journal
	lost     time.Time
	failures int
	// now tells the present time.
	now func() time.Time
}

// failed notes a failure and returns the pause before the next try.
func (d *dependency) failed(ctx context.Context, err error) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	if d.lost.IsZero() {
		d.lost = d.now()
		d.journal.HostEvent("dependency lost", "what", d.name, "err", err)
	}
	d.failures++
	return failPause(d.failures)
}

// ok notes a success and returns how long the outage was that it ended; zero
// when there was none.
func (d *dependency) ok(now time.Time) time.Duration {
	d.failures = 0
	if d.lost.IsZero() {
		return 0
	}
	lostFor := now.Sub(d.lost)
	d.journal.HostEvent("dependency regained", "what", d.name, "lost_for", lostFor)
	d.lost = time.Time{}
	return lostFor
}
