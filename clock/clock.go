// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package clock tells the present time on machines that may be suspended. While a machine
// is suspended its steady clock, by which this language measures durations, stands still:
// when it goes on, a lease that ran out long ago seems to hold, and a proof of half a
// minute ago to be fresh. Two moments of a Clock differ by the time that really passed.
package clock

import (
	"context"
	"sync"
	"time"
)

const (
	// maxReadSkew is how far two clocks that are read one after the other may seem to
	// differ by nothing but that.
	maxReadSkew = time.Millisecond
	// BacklogWindow is how long after a machine went on it may still meet what had come before:
	// bytes in its sockets, which are read in a few milliseconds, or some ten times that
	// where many wait and the processor is shared.
	BacklogWindow = 250 * time.Millisecond
	// SuspensionCheckInterval is how often Run looks whether the machine was suspended.
	SuspensionCheckInterval = 100 * time.Millisecond
)

// Clock tells the present time. Nil and the zero value work, for a machine that is never
// suspended. It is safe for use by several goroutines.
type Clock struct {
	// sinceBoot is the time since some moment by a clock that goes on while the machine
	// is suspended; nil where there is none.
	sinceBoot func() time.Duration

	mu sync.Mutex
	// startedAt and beganBoot are the same moment by both clocks.
	startedAt      time.Time
	startSinceBoot time.Duration
	// totalSuspended is how long the machine was suspended since, in all, and woke when it last
	// went on, after lastSleep.
	totalSuspended time.Duration
	resumedAt      time.Time
	lastSuspension time.Duration
	timeouts       map[*pendingTimeout]bool
}

// New returns a Clock that learns of suspensions by a clock that goes on meanwhile.
func New(sinceBoot func() time.Duration) *Clock {
	return &Clock{sinceBoot: sinceBoot, startSinceBoot: sinceBoot(), startedAt: time.Now(), timeouts: map[*pendingTimeout]bool{}}
}

// Now is the present moment. It carries the steady clock's reading, put forward by the time
// for which the machine was suspended.
func (c *Clock) Now() time.Time {
	if c == nil || c.sinceBoot == nil {
		return time.Now()
	}
	// In this order a pause between the two readings never looks like a suspension.
	boot := c.sinceBoot()
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if slept := boot - c.startSinceBoot - now.Sub(c.startedAt); slept > c.totalSuspended+maxReadSkew {
		c.lastSuspension, c.totalSuspended = slept-c.totalSuspended, slept
		c.resumedAt = now.Add(c.totalSuspended)
		c.rearmTimeouts(c.resumedAt)
	}
	return now.Add(c.totalSuspended)
}

// Since is how long ago a moment of this Clock was.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// TotalSuspended is how long the machine was suspended in all. An answer that was waited for while
// that grew may have come before, and is older than it seems by as much.
func (c *Clock) TotalSuspended() time.Duration {
	if c == nil {
		return 0
	}
	c.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.totalSuspended
}

// MaxMessageDelay is by how much a message that is handled now may be older than it seems: it may
// have come before the machine was suspended, if that is only just over.
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

// Run looks for suspensions until the context ends, so that what is due rings soon after
// the machine goes on even if nobody asks for the time.
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
