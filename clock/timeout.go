// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package clock

import (
	"context"
	"time"
)

// pendingTimeout is the timeout of a context that hasn't ended. Its timer runs by the monotonic
// clock, which stops while the machine is suspended, so the timer is reset after a suspension.
type pendingTimeout struct {
	expiresAt time.Time
	timer     *time.Timer
}

// WithTimeoutCause is like context.WithTimeoutCause, but the timeout includes the time for which
// the machine is suspended. The returned context has no deadline of its own: its Deadline method
// returns that of the parent.
func (c *Clock) WithTimeoutCause(parent context.Context, d time.Duration, cause error) (context.Context, context.CancelFunc) {
	if c == nil || c.sinceBoot == nil {
		return context.WithTimeoutCause(parent, d, cause)
	}
	ctx, cancel := context.WithCancelCause(parent)
	pending := &pendingTimeout{expiresAt: c.Now().Add(d)}
	c.mu.Lock()
	pending.timer = time.AfterFunc(d, func() { cancel(cause) })
	c.timeouts[pending] = true
	c.mu.Unlock()
	return ctx, func() {
		c.mu.Lock()
		delete(c.timeouts, pending)
		c.mu.Unlock()
		pending.timer.Stop()
		cancel(nil)
	}
}

// rearmTimeouts resets the timers of all pending timeouts after the machine resumed at the given
// time. The caller holds mu.
func (c *Clock) rearmTimeouts(now time.Time) {
	for pending := range c.timeouts {
		if pending.timer.Stop() {
			pending.timer.Reset(max(pending.expiresAt.Sub(now), 0))
		}
	}
}
