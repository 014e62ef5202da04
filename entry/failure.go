// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"fmt"
	"time"
)

// RunState is what a failed call's answer says about the work itself.
type RunState string

const (
	// NotRun is said only when no byte of the request can have reached an
	// upstream that would act on it.
	NotRun RunState = "not_run"
	// Unknown is said when the work may or may not have been done.
	Unknown RunState = "unknown"
	// Partial is said when the caller has seen a part of the answer.
	Partial RunState = "partial"
)

// Code is the stable word for a kind of failure.
type Code string

// The codes that callers see.
const (
	CodeBadRequest           Code = "bad_request"
	CodeUnauthorized         Code = "unauthorized"
	CodeUnknownModel         Code = "unknown_model"
	CodeUnknownRoute         Code = "unknown_route"
	CodePromptTooLong        Code = "prompt_too_long"
	CodeRequestTooLarge      Code = "request_too_large"
	CodeRateLimited          Code = "rate_limited"
	CodeOverloaded           Code = "overloaded"
	CodeNoEngine             Code = "no_engine"
	CodeLeaving              Code = "leaving"
	CodeNotReady             Code = "not_ready"
	CodeUpstreamLost         Code = "upstream_lost"
	CodeUpstreamRefused      Code = "upstream_refused"
	CodeBadStream            Code = "bad_stream"
	CodeBadGenerationID      Code = "bad_generation_id"
	CodeGenerationGone       Code = "generation_gone"
	CodeDuplicateRequest     Code = "duplicate_request"
	CodeIdempotencyKeyReused Code = "idempotency_key_reused"
	CodeClaimUnavailable     Code = "claim_unavailable"
	CodeTimeout              Code = "timeout"
	CodeCancelled            Code = "cancelled"
	// CodeQuarantined: upstreams ended under the same request, and it isn't sent any
	// more.
	CodeQuarantined Code = "quarantined"
)

// Failure is the final answer to a call that did not finish.
type Failure struct {
	Code     Code
	RunState RunState
	Message  string
	// RetryAfter is when to come back; zero means that coming back makes no
	// sense or that nothing is known.
	RetryAfter time.Duration
}

// Error gives the code, the run state and the message.
func (f *Failure) Error() string { return fmt.Sprintf("%s (%s): %s", f.Code, f.RunState, f.Message) }

func newFailure(code Code, run RunState, format string, args ...any) *Failure {
	return &Failure{Code: code, RunState: run, Message: fmt.Sprintf(format, args...)}
}

func (f *Failure) withRetryAfter(d time.Duration) *Failure {
	f.RetryAfter = d
	return f
}
