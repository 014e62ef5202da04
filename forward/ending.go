// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
)

// ending is why a request's context ended.
type ending int

const (
	// notEnded: it goes on.
	notEnded ending = iota
	// callerLeft: the caller's connection is gone.
	callerLeft
	// timeOver: the caller's or the route's time is over.
	timeOver
	// hostStopped: this host's time to stop is over.
	hostStopped
	// heldBack: upstreams have ended under the same request meanwhile.
	heldBack
)

// Causes of contexts that this package ends.
var (
	errDeadline = errors.New("the request's time is over")
	errStopped  = errors.New("the host's time to stop is over")
)

// endingOf tells why a request's context ended.
func endingOf(ctx context.Context) ending {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return notEnded
	case errors.Is(cause, errDeadline):
		return timeOver
	case errors.Is(cause, errStopped):
		return hostStopped
	case errors.Is(cause, errQuarantined):
		return heldBack
	default:
		return callerLeft
	}
}

// code is what a request that ended so is refused with.
func (e ending) code() Code {
	switch e {
	case timeOver:
		return CodeTimeout
	case hostStopped:
		return CodeInterrupted
	case heldBack:
		return CodeQuarantined
	default:
		return CodeCallerLeft
	}
}

// outcome is the word for the end of an answer that had begun.
func (e ending) outcome() string {
	switch e {
	case callerLeft:
		return "caller_left"
	case hostStopped:
		return string(CodeInterrupted)
	default:
		return "cut"
	}
}
