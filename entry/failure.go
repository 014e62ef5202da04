// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"fmt"
	"time"
)

// RunState says whether the work of a failed call was done, as far as the entry knows.
type RunState string

const (
	// NotRun means that no byte of the request can have reached an upstream that would act on it.
	NotRun RunState = "not_run"
	// Unknown means that the work may or may not have been done.
	Unknown RunState = "unknown"
	// Partial means that the caller has received a part of the answer.
	Partial RunState = "partial"
)

// Code identifies a kind of failure. Callers may rely on the codes.
type Code string

// The codes that are sent to callers.
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
	// CodeQuarantined means that the request is no longer sent, because upstreams ended while they
	// ran the same request.
	CodeQuarantined Code = "quarantined"
)

// Failure is the final answer to a call that did not succeed.
type Failure struct {
	Code     Code
	RunState RunState
	Message  string
	// RetryAfter is how long the caller should wait before a retry; zero means that a retry makes
	// no sense or that no delay is known.
	RetryAfter time.Duration
}

// Error returns the code, the run state and the message.
func (f *Failure) Error() string { return fmt.Sprintf("%s (%s): %s", f.Code, f.RunState, f.Message) }

// newFailure returns a Failure with a formatted message.
func newFailure(code Code, run RunState, format string, args ...any) *Failure {
	return &Failure{Code: code, RunState: run, Message: fmt.Sprintf(format, args...)}
}

// withRetryAfter sets the failure's RetryAfter and returns the failure.
func (f *Failure) withRetryAfter(d time.Duration) *Failure {
	f.RetryAfter = d
	return f
}
