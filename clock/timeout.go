// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package clock

import (
	"context"
	"time"
)

// pendingTimeout is a context's end that is due. Its timer stands still with the steady clock, so
// it is set anew when the machine was suspended.
type pendingTimeout struct {
	expiresAt time.Time
	timer     *time.Timer
}

// WithTimeoutCause is context.WithTimeoutCause by the time that really passes. The context
// tells no deadline of its own.
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

// rearmTimeouts sets the alarms anew at a moment at which the machine went on. The mutex is
// held.
func (c *Clock) rearmTimeouts(now time.Time) {
	for pending := range c.timeouts {
		if pending.timer.Stop() {
			pending.timer.Reset(max(pending.expiresAt.Sub(now), 0))
		}
	}
}
