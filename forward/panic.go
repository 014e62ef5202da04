// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"errors"
	"runtime/debug"
)

// errPanicked is what a try comes to that brought out a mistake in this program.
var errPanicked = errors.New("the request brought out a mistake in this program")

// recoverPanic ends a panic of one request's goroutine with that request. Without it the host
// would end, with all that it serves, and then each host that the request comes to next. It
// is to be deferred; then is told of the panic once that is noted.
func (x *exchange) recoverPanic(then func()) {
	reason := recover()
	if reason == nil {
		return
	}
	x.journal.Request(x.call.ID, "panicked", "route", x.route.Name, "why", reason, "stack", string(debug.Stack()))
	then()
}

// answerPanic gives the caller its final answer when serving it answerPanic.
func (x *exchange) answerPanic() {
	if x.delivered.Load() {
		x.sink.Truncate()
		x.recordOutcome(string(CodeInternal))
		return
	}
	x.refuse(Refusal{Code: CodeInternal, MayHaveRun: true})
}
