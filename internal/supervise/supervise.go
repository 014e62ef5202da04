// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package supervise runs the goroutines of a process that belong to no single request. A panic in one
// of them is reported and ends only that goroutine, so that the process goes on serving.
package supervise

import (
	"context"
	"runtime/debug"
	"time"
)

// RestartDelay is how long after a panic Loop runs its task again.
const RestartDelay = time.Second

// Report is called with the name of a task that panicked, the panic's value and its stack. A nil
// Report drops them.
type Report func(task string, reason any, stack []byte)

// Do calls work, and reports whether it returned without a panic.
func (r Report) Do(task string, work func()) (ok bool) {
	defer func() {
		if ok {
			return
		}
		// The panic's value is nil if the goroutine ends with runtime.Goexit.
		if reason := recover(); reason != nil && r != nil {
			r(task, reason, debug.Stack())
		}
	}()
	work()
	return true
}

// Go calls work in a new goroutine.
func (r Report) Go(task string, work func()) {
	go r.Do(task, work)
}

// Loop calls run until it returns without a panic, or the context ends. After a panic it waits for
// RestartDelay.
func (r Report) Loop(ctx context.Context, task string, run func(context.Context)) {
	for !r.Do(task, func() { run(ctx) }) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(RestartDelay):
		}
	}
}
