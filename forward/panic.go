// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"errors"
	"runtime/debug"
)

// errPanicked is the error of a try that panicked.
var errPanicked = errors.New("this program panicked while it handled the request")

// recoverPanic recovers from a panic in a goroutine of one request, so that only this request
// fails. Otherwise the host would end with everything that it serves, and so would every host
// to which the request is sent next. It must be deferred. onPanic is called after the panic is
// logged.
func (x *exchange) recoverPanic(onPanic func()) {
	reason := recover()
	if reason == nil {
		return
	}
	x.journal.Request(x.call.ID, "panicked", "route", x.route.Name, "why", reason, "stack", string(debug.Stack()))
	onPanic()
}

// answerPanic gives the caller its final answer after a panic.
func (x *exchange) answerPanic() {
	switch {
	case x.ended:
		// The caller has its answer, unless the panic was in writing it.
	case x.answerStarted:
		x.sink.Truncate()
		x.recordOutcome(string(CodeInternal))
	default:
		x.refuse(Refusal{Code: CodeInternal, MayHaveRun: true})
	}
}
