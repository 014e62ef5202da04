// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
)

// endCause is why a request's context ended.
type endCause int

const (
	// endNone: it goes on.
	endNone endCause = iota
	// endCallerLeft: the caller's connection is gone.
	endCallerLeft
	// endDeadline: the caller's or the route's time is over.
	endDeadline
	// endHostStopped: this host's time to stop is over.
	endHostStopped
	// endQuarantined: upstreams have ended under the same request meanwhile.
	endQuarantined
)

// Causes of contexts that this package ends.
var (
	errDeadline = errors.New("the request's time is over")
	errStopped  = errors.New("the host's time to stop is over")
)

// endCauseOf tells why a request's context ended.
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

// code is what a request that ended so is refused with.
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

// outcome is the word for the end of an answer that had begun.
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
