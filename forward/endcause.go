// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
)

// endCause says why a request's context ended.
type endCause int

const (
	// endNone: the context hasn't ended.
	endNone endCause = iota
	// endCallerLeft: the caller's connection is gone.
	endCallerLeft
	// endDeadline: the caller's or the route's deadline has passed.
	endDeadline
	// endHostStopped: this host's time for stopping is over.
	endHostStopped
	// endQuarantined: upstreams ended under the same request after it was admitted.
	endQuarantined
)

// Causes of contexts that this package ends.
var (
	errDeadline = errors.New("the deadline of the request has passed")
	errStopped  = errors.New("the time for stopping this host is over")
)

// endCauseOf returns why a request's context ended.
func endCauseOf(ctx context.Context) endCause {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return endNone
	case errors.Is(cause, errDeadline):
		return endDeadline
	case errors.Is(cause, errStopped):
		return endHostStopped
	case errors.Is(cause, errQuarantined):
		return endQuarantined
	default:
		return endCallerLeft
	}
}

// code returns the code of the refusal for a request that ended for this cause.
func (e endCause) code() Code {
	switch e {
	case endDeadline:
		return CodeTimeout
	case endHostStopped:
		return CodeInterrupted
	case endQuarantined:
		return CodeQuarantined
	default:
		return CodeCallerLeft
	}
}

// outcome returns the recorded outcome of an answer that had started.
func (e endCause) outcome() string {
	switch e {
	case endCallerLeft:
		return "caller_left"
	case endHostStopped:
		return string(CodeInterrupted)
	default:
		return "cut"
	}
}
