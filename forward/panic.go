// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"errors"
	"runtime/debug"

	"github.com/shedpath/shedpath/internal/supervise"
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
	x.observer.Panicked()
	x.journal.Request(x.call.ID, "panicked", "route", x.route.Name, "why", reason, "stack", string(debug.Stack()))
	onPanic()
}

// reportPanic logs a panic in a goroutine that belongs to no request. It is the supervise.Report of the
// forwarder's tasks.
func (f *Forwarder) reportPanic(task string, reason any, stack []byte) {
	f.observer.Panicked()
	f.journal.HostEvent("panicked", "task", task, "why", reason, "stack", string(stack))
}

// Tasks runs the goroutines of this host that belong to no request.
func (f *Forwarder) Tasks() supervise.Report { return f.tasks }

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
