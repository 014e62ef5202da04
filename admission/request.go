// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package admission

import (
	"time"

	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/resource"
)

// Caller identifies what a caller asks for across its attempts; it isn't the ID of one attempt.
type Caller string

// Request is a request that found no room.
type Request struct {
	Run policy.RunID
	// Caller connects an attempt with an earlier one that was refused; empty gives no credit.
	Caller  Caller
	Account resource.Account
	// Priority is that of a policy.Request: the highest goes first.
	Priority int
	// Memory is the memory that the run uses at its expected length.
	Memory policy.Tokens
	// Prefill is how long an engine reads the prompt, and Decode how long it then generates.
	Prefill, Decode time.Duration
	// Objective is the target time from ArrivedAt to the first token; zero sets none.
	Objective time.Duration
	ArrivedAt time.Time
	// Deadline is when the caller gives up; zero if that isn't known.
	Deadline time.Time
	// Restricted is set if the request may use only some engines, so that finding no room says
	// nothing about other requests.
	Restricted bool
}

const (
	// entryFraction is the part of its objective within which the first token of a request must
	// be forecast when it arrives. The forecast is a mean, and the rest covers its error.
	entryFraction = 0.9
	// yieldFraction is the part of the time a request can wait for which it leaves engines that
	// still read a prompt to more urgent requests. A long answer with an objective of 4 s and a
	// prompt that takes 0.4 s then yields for 2.1 s, and has more than a second left to find an
	// engine that still reads one prompt or two.
	yieldFraction = 0.65
	// maxWait bounds the wait of a request without an objective and a deadline.
	maxWait = 10 * time.Second
)

// slack returns how long after its arrival a request can be placed and still have its first token
// within a part of its objective.
func (r *Request) slack(part float64) time.Duration {
	if r.Objective > 0 {
		return max(time.Duration(part*float64(r.Objective))-r.Prefill, 0)
	}
	if !r.Deadline.IsZero() {
		return r.Deadline.Sub(r.ArrivedAt)
	}
	return maxWait
}

// LatestPlacement returns when the request must be placed for its first token to arrive within
// its objective.
func (r *Request) LatestPlacement() time.Time {
	latest := r.ArrivedAt.Add(r.slack(1))
	if !r.Deadline.IsZero() && r.Deadline.Before(latest) {
		return r.Deadline
	}
	return latest
}
