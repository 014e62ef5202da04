// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package clock provides the current time on machines that may be suspended. While a machine is
// suspended, its monotonic clock, by which Go measures durations, stops. After the machine
// resumes, a lease that expired long ago therefore seems valid, and a proof that is half a minute
// old seems fresh. Two times of a Clock differ by the time that actually passed, suspensions
// included.
package clock

import (
	"context"
	"sync"
	"time"
)

const (
	// maxReadSkew bounds the difference between two clocks that comes only from reading them
	// one after the other.
	maxReadSkew = time.Millisecond
	// BacklogWindow is how long after a machine resumes it may still process messages that
	// arrived before the suspension. They are bytes in its sockets, which are read within a few
	// milliseconds, or some ten times that if there are many and the processor is shared.
	BacklogWindow = 250 * time.Millisecond
	// SuspensionCheckInterval is how often Run checks whether the machine was suspended.
	SuspensionCheckInterval = 100 * time.Millisecond
)

// Clock returns the current time and measures suspensions of the machine. A nil Clock and the
// zero value are ready for use, and assume that the machine is never suspended. A Clock is safe for
// concurrent use.
type Clock struct {
	// sinceBoot returns the time since a fixed moment, by a clock that keeps running while the
	// machine is suspended. It is nil if the machine has no such clock.
	sinceBoot func() time.Duration

	mu sync.Mutex
	// startedAt and startSinceBoot are the time of creation by the monotonic clock and by
	// sinceBoot.
	startedAt      time.Time
	startSinceBoot time.Duration
	// totalSuspended is how long the machine was suspended in total since then. resumedAt is
	// when the end of the last suspension was noticed, and lastSuspension how long that lasted.
	totalSuspended time.Duration
	resumedAt      time.Time
	lastSuspension time.Duration
	timeouts       map[*pendingTimeout]bool
}

// New returns a Clock that detects suspensions by sinceBoot, which returns the time since a fixed
// moment by a clock that keeps running while the machine is suspended.
func New(sinceBoot func() time.Duration) *Clock {
	return &Clock{sinceBoot: sinceBoot, startSinceBoot: sinceBoot(), startedAt: time.Now(), timeouts: map[*pendingTimeout]bool{}}
}

// Now returns the current time. Its monotonic reading is advanced by the total time for which the
// machine was suspended.
func (c *Clock) Now() time.Time {
	if c == nil || c.sinceBoot == nil {
		return time.Now()
	}
	// sinceBoot is read first, so that a pause between the two reads never looks like a
	// suspension.
	bootTime := c.sinceBoot()
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if suspended := bootTime - c.startSinceBoot - now.Sub(c.startedAt); suspended > c.totalSuspended+maxReadSkew {
		c.lastSuspension, c.totalSuspended = suspended-c.totalSuspended, suspended
		c.resumedAt = now.Add(c.totalSuspended)
		c.rearmTimeouts(c.resumedAt)
	}
	return now.Add(c.totalSuspended)
}

// Since returns the time that passed since t, which must come from this Clock.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// TotalSuspended returns how long the machine was suspended in total. If it grew while the caller
// waited for an answer, the answer may have arrived before the suspension, and may be older than
// it seems by the difference.
func (c *Clock) TotalSuspended() time.Duration {
	if c == nil {
		return 0
	}
	c.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.totalSuspended
}

// MaxMessageDelay returns by how much a message that is handled at the given time may be older
// than it seems. Within BacklogWindow after a suspension that is the length of the suspension, as
// the message may have arrived before it; otherwise it is zero.
func (c *Clock) MaxMessageDelay(now time.Time) time.Duration {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastSuspension == 0 || now.Sub(c.resumedAt) > BacklogWindow {
		return 0
	}
	return c.lastSuspension
}

// Run checks for suspensions until the context ends, so that expired timeouts fire soon after the
// machine resumes even if nothing calls Now.
func (c *Clock) Run(ctx context.Context) {
	if c == nil || c.sinceBoot == nil {
		return
	}
	tick := time.NewTicker(SuspensionCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			c.Now()
		}
	}
}
