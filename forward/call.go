// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/resource"
)

// RequestID is the caller's name for one request; it is passed on as it came.
type RequestID string

// Call is one caller's request, read whole.
type Call struct {
	ID     RequestID
	Method string
	// Host and Path choose the route; Target is the path and query as sent.
	Host, Path, Target string
	// Header is what is passed on: nothing that belongs to one connection or
	// that this system sets itself.
	Header http.Header
	Body   []byte
	// APIKey is the caller's; empty when it gave none.
	APIKey string
	// Arrived is when the request began to be served here.
	Arrived time.Time
	// CallerTimeout is how long the caller waits; zero when it didn't say.
	CallerTimeout time.Duration
	// LastEventID is the id of the last event that the caller has of an earlier
	// answer; empty when it begins anew.
	LastEventID string
	// Prompt is what a generation asks of an engine's memory; zero for other
	// requests.
	Prompt Prompt
}

// Prompt is the size of a generation's request.
type Prompt struct {
	Tokens policy.Tokens
	// MaxOutputTokens bounds the answer; zero when the caller set no bound.
	MaxOutputTokens policy.Tokens
	// ExpectedOutputTokens is the caller's guess of the answer's length; zero when it
	// made none.
	ExpectedOutputTokens policy.Tokens
	// PrefixHash names the first PrefixTokens of the prompt, which other prompts
	// may share; zero when none are.
	PrefixHash   uint64
	PrefixTokens policy.Tokens
}

// Sink takes the answer on its way to the caller. Its methods return an error
// when the caller is gone.
type Sink interface {
	// SendResponse answers with an upstream's whole answer.
	SendResponse(a *Response, body []byte) error
	// BeginResponse answers with an upstream's status and header; what follows is
	// written as it comes.
	BeginResponse(a *Response) error
	Write(p []byte) error
	// Abort has a Write that is under way fail, and all later ones. It may be called beside Write.
	Abort()
	// Refuse is the final answer to a request that failed.
	Refuse(r Refusal) error
	// Truncate ends an answer that has begun so that the caller sees that it isn't
	// whole.
	Truncate()
}

// Code is the stable word for why a request failed here.
type Code string

// The codes. Those up to CodeLate promise that the request has not run and
// never will.
const (
	CodeNotReady   Code = "not_ready"
	CodeStopping   Code = "stopping"
	CodeNoRoute    Code = "no_route"
	CodeBadKey     Code = "bad_key"
	CodeBadRequest Code = "bad_request"
	CodeTooLarge   Code = "too_large"
	CodeNoUpstream Code = "no_upstream"
	CodeOverloaded Code = "overloaded"
	// CodeRegion says that no upstream takes work in the regions where the request may be served.
	CodeRegion      Code = "no_upstream_in_region"
	CodeLate        Code = "late"
	CodeLost        Code = "upstream_lost"
	CodeBadAnswer   Code = "bad_answer"
	CodeTimeout     Code = "timeout"
	CodeCallerLeft  Code = "caller_left"
	CodeInterrupted Code = "interrupted"
	// CodeInternal: this program has a mistake that the request brought out.
	CodeInternal Code = "internal"
	// CodeQuarantined: upstreams ended under the same request, and it isn't sent any
	// more.
	CodeQuarantined Code = "quarantined"
)

// Refusal is the final answer to a request that failed.
type Refusal struct {
	Code Code
	// MayHaveRun is whether an upstream may have worked on the request.
	MayHaveRun bool
	// RetryAfter is when to come back; zero says nothing.
	RetryAfter time.Duration
}

// UpstreamRequest is a request on its way to an upstream.
type UpstreamRequest struct {
	Call    *Call
	Account resource.Account
	// TimeLeft is how long the upstream may work.
	TimeLeft time.Duration
	// Urgency is what the upstream is told of the request's.
	Urgency Urgency
	// Continue takes a run up from where another engine stopped it.
	Continue *Continuation
	// BackupEngine is an engine that a copy of the run is kept on; empty for none.
	BackupEngine string
}

// Continuation says where a run's memory is and what the caller has of it.
type Continuation struct {
	// Source is the address of the engine that the memory came from, and Handle
	// names it there. Without a handle the engine reads everything anew, which
	// only a resumable route allows.
	Source string
	Handle string
	// LastEventID is the id of the last event that the caller has.
	LastEventID string
}

// Response is an upstream's answer. Body is to be closed, which ends the work if
// it isn't done.
type Response struct {
	Status int
	// Header is what is passed on to the caller.
	Header http.Header
	// ContentLength is the body's, or -1 when the upstream didn't say.
	ContentLength int64
	// Framed says that the body's end can be told from a broken connection.
	Framed bool
	Body   io.ReadCloser
	// NotRun is the upstream's word that it didn't run the request and won't.
	NotRun bool
	// WrongInstance says that the address is another upstream's by now.
	WrongInstance bool
	// Signed says that the answer carries the upstream's signature.
	Signed bool
	// UnexpectedEncoding says that the body isn't in the form that the caller asked for.
	UnexpectedEncoding bool
	Signals            Signals
}

// Errors of a Transport, besides those of the context.
var (
	// ErrNotSent says that no byte of the request can have reached the
	// upstream.
	ErrNotSent = errors.New("the request was not sent")
	// ErrMismatchedResponse says that the bytes on the connection were no answer to this
	// request.
	ErrMismatchedResponse = errors.New("the answer isn't this request's")
	// ErrPortClosed says that nobody listens at the upstream's address.
	ErrPortClosed = errors.New("nobody listens there")
)

// Transport sends requests to upstreams. After any error but ErrNotSent the
// request may have run. When the context ends, the connection is closed.
type Transport interface {
	Send(ctx context.Context, u Upstream, r *UpstreamRequest) (*Response, error)
	// Move copies a run's memory to another engine.
	Move(ctx context.Context, from Upstream, r MoveRequest) (MoveResult, error)
	// Health asks an upstream how it is.
	Health(ctx context.Context, u Upstream, path string) (Health, error)
	// CheckReachable opens a connection to an upstream and closes it. The error is
	// ErrPortClosed where its machine answers and it doesn't listen.
	CheckReachable(ctx context.Context, u Upstream) error
	// Discard frees a copy that won't be used.
	Discard(ctx context.Context, at Upstream, handle string) (Signals, error)
}

// Health is what an upstream says of itself.
type Health struct {
	// Healthy says that it works and isn't leaving.
	Healthy bool
	// Rejected says that it had no room for the question, which tells nothing about Well.
	Rejected bool
	// ColdRemaining is how much longer it is cold; zero when it isn't.
	ColdRemaining time.Duration
	// Life is its present one; zero when it doesn't say.
	Life    Incarnation
	Signals Signals
}

// MoveRequest asks the engine that runs a request to copy its memory.
type MoveRequest struct {
	ID            RequestID
	TargetAddress string
	// StopSource ends the run at the source before the last part is copied.
	StopSource bool
}

// MoveResult is an engine's answer to a MoveRequest.
type MoveResult struct {
	// Handle names the copy; it may be set beside an error.
	Handle string
	// EventsProduced is how many events the run had made.
	EventsProduced int
	Signals        Signals
}

// Errors of Transport.Move.
var (
	ErrRunNotFound       = errors.New("the engine doesn't have the run")
	ErrMoveBusy          = errors.New("another copy of the run is under way")
	ErrTargetUnavailable = errors.New("the target has no room or can't be reached")
	ErrNoMoveReply       = errors.New("the engine gave no answer to the move")
)
