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
	ctx, end := context.WithCancelCause(parent)
	a := &pendingTimeout{expiresAt: c.Now().Add(d)}
	c.mu.Lock()
	a.timer = time.AfterFunc(d, func() { end(cause) })
	c.timeouts[a] = true
	c.mu.Unlock()
	return ctx, func() {
		c.mu.Lock()
		delete(c.timeouts, a)
		c.mu.Unlock()
		a.timer.Stop()
		end(nil)
	}
}

// rearmTimeouts sets the alarms anew at a moment at which the machine went on. The mutex is
// held.
func (c *Clock) rearmTimeouts(now time.Time) {
	for a := range c.timeouts {
		if a.timer.Stop() {
			a.timer.Reset(max(a.expiresAt.Sub(now), 0))
		}
	}
}
