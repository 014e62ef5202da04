// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/shedpath/shedpath/eligibility"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/quarantine"
	"github.com/shedpath/shedpath/resource"
)

// RequestID is the caller's ID of one request; it is passed on unchanged.
type RequestID string

// Call is one caller's request, with its body read completely.
type Call struct {
	ID     RequestID
	Method string
	// Host and Path select the route; Target is the path and query as received.
	Host, Path, Target string
	// Header is passed on to the upstream. It holds no hop-by-hop headers and none that this
	// system sets itself.
	Header http.Header
	Body   []byte
	// APIKey is the caller's key; empty if it sent none.
	APIKey string
	// Arrived is when this host began to handle the request.
	Arrived time.Time
	// CallerTimeout is how long the caller waits for the response; zero if it didn't say.
	CallerTimeout time.Duration
	// LastEventID is the ID of the last event that the caller received of an earlier response
	// to the request; empty for a stream from the start.
	LastEventID string
	// Prompt is the size of a generation's prompt and output; zero for other requests.
	Prompt Prompt
}

// Prompt describes the size of a generation.
type Prompt struct {
	Tokens policy.Tokens
	// MaxOutputTokens bounds the output; zero if the caller set no bound.
	MaxOutputTokens policy.Tokens
	// ExpectedOutputTokens is the caller's estimate of the output's length; zero if it gave none.
	ExpectedOutputTokens policy.Tokens
	// PrefixHash identifies the first PrefixTokens tokens of the prompt, which other prompts may
	// share; both are zero if the caller named no shared prefix.
	PrefixHash   uint64
	PrefixTokens policy.Tokens
	// SharedParts are the parts of the prompt, in order, that other prompts may share. The last part
	// belongs to the request or its session and isn't among them.
	SharedParts []quarantine.PartID
}

// Sink receives the response for the caller. Its methods return an error if the caller's
// connection has failed.
type Sink interface {
	// SendResponse sends a complete response.
	SendResponse(a *Response, body []byte) error
	// BeginResponse sends the status and header of a response whose body follows in calls of
	// Write.
	BeginResponse(a *Response) error
	// Write sends the next part of the body.
	Write(p []byte) error
	// Abort makes a Write in progress and all later ones fail. It may be called concurrently with
	// Write.
	Abort()
	// Refuse sends the final answer to a request that failed.
	Refuse(r Refusal) error
	// Truncate ends a response that has begun in such a way that the caller sees that it is
	// incomplete.
	Truncate()
}

// Code identifies the reason why this host refused a request or failed to complete it.
type Code string

// The codes. Those up to CodeLate guarantee that the request has not run and never will.
const (
	CodeNotReady   Code = "not_ready"
	CodeStopping   Code = "stopping"
	CodeNoRoute    Code = "no_route"
	CodeBadKey     Code = "bad_key"
	CodeBadRequest Code = "bad_request"
	CodeTooLarge   Code = "too_large"
	CodeNoUpstream Code = "no_upstream"
	CodeOverloaded Code = "overloaded"
	// CodeRegion: no upstream accepts work in the regions where the request may be served.
	CodeRegion      Code = "no_upstream_in_region"
	CodeLate        Code = "late"
	CodeLost        Code = "upstream_lost"
	CodeBadAnswer   Code = "bad_answer"
	CodeTimeout     Code = "timeout"
	CodeCallerLeft  Code = "caller_left"
	CodeInterrupted Code = "interrupted"
	// CodeInternal: a bug in this program showed while it served the request.
	CodeInternal Code = "internal"
	// CodeQuarantined: upstreams ended while they ran the same request, and it isn't sent to any more
	// of them.
	CodeQuarantined Code = "quarantined"
)

// Refusal is the final answer to a request that failed.
type Refusal struct {
	Code Code
	// MayHaveRun says that an upstream may have worked on the request.
	MayHaveRun bool
	// RetryAfter is how long the caller should wait before it retries; zero gives no advice.
	RetryAfter time.Duration
}

// UpstreamRequest is a request as it is sent to an upstream.
type UpstreamRequest struct {
	Call    *Call
	Account resource.Account
	// TimeLeft is how long the upstream may work on the request; zero sets no limit.
	TimeLeft time.Duration
	// Urgency is the urgency that is announced to the upstream.
	Urgency Urgency
	// Continue resumes a run that another engine stopped or lost; nil for a run from the start.
	Continue *Continuation
	// BackupEngine is the engine on which a copy of the run is kept; empty for none.
	BackupEngine string
}

// Continuation says where the memory of an earlier run of the request is, and which events the
// caller has received.
type Continuation struct {
	// Source is the address of the engine that the memory comes from, and Handle identifies the
	// memory there. Without a handle, the engine processes the whole prompt again, which only
	// a resumable route allows.
	Source string
	Handle string
	// LastEventID is the ID of the last event that the caller received.
	LastEventID string
}

// Response is an upstream's response. Body must be closed; closing it early makes the upstream
// stop working on the request.
type Response struct {
	Status int
	// Header is passed on to the caller.
	Header http.Header
	// ContentLength is the length of the body in bytes, or -1 if the upstream didn't declare it.
	ContentLength int64
	// Framed says that the body has a declared length or end, so that a broken connection isn't
	// taken for the end of the body.
	Framed bool
	Body   io.ReadCloser
	// NotRun says that the upstream declared that it didn't run the request and won't.
	NotRun bool
	// WrongInstance says that another upstream now uses the address.
	WrongInstance bool
	// Signed says that the response carries the upstream's signature.
	Signed bool
	// UnexpectedEncoding says that the body is encoded in a way that the caller didn't ask for.
	UnexpectedEncoding bool
	Signals            Signals
}

// isStream reports whether the response is a stream that may be passed on.
func (r *Response) isStream() bool {
	return r.Status == http.StatusOK && r.Signed && !r.UnexpectedEncoding
}

// Errors of a Transport, in addition to those of the context.
var (
	// ErrNotSent says that no byte of the request can have reached the upstream.
	ErrNotSent = errors.New("the request was not sent")
	// ErrMismatchedResponse says that the bytes on the connection were not a response to this
	// request.
	ErrMismatchedResponse = errors.New("the response belongs to another request")
	// ErrPortClosed says that no process listens on the upstream's address.
	ErrPortClosed = errors.New("no process listens on the upstream's address")
)

// Transport sends requests to upstreams. After any error other than ErrNotSent the request may
// have run. When the context ends, the connection is closed.
type Transport interface {
	Send(ctx context.Context, u Upstream, r *UpstreamRequest) (*Response, error)
	// Move copies a run's memory from one engine to another.
	Move(ctx context.Context, from Upstream, r MoveRequest) (MoveResult, error)
	// Health asks an upstream for its health.
	Health(ctx context.Context, u Upstream, p eligibility.Purpose, path string) (Health, error)
	// Report asks an engine for its own report of its load. The error is
	// enginereport.ErrOtherInstance if another upstream answers, and enginereport.ErrUnusable if the
	// answer can't be decoded.
	Report(ctx context.Context, u Upstream) (EngineReport, error)
	// CheckReachable opens a connection to an upstream and closes it. The error is ErrPortClosed if
	// the upstream's machine responds but no process listens on the port. direct says that this
	// host's own link reached the upstream, not that of a peer.
	CheckReachable(ctx context.Context, u Upstream) (direct bool, err error)
	// Discard frees a copy of a run's memory that won't be used.
	Discard(ctx context.Context, at Upstream, handle string) (Signals, error)
}

// Health is an upstream's answer to a health check.
type Health struct {
	// Healthy says that the upstream works and isn't leaving.
	Healthy bool
	// Rejected says that the upstream had no capacity for the health check, so that Healthy carries
	// no information.
	Rejected bool
	// ColdRemaining is how much longer the upstream is cold; zero if it isn't.
	ColdRemaining time.Duration
	// Life is the upstream's present life; zero if it didn't report one.
	Life Incarnation
	// Instance is the ID of the upstream that answered; empty if the answer has none.
	Instance member.UpstreamID
	// WrongInstance says that another upstream now uses the address, whether or not it gave its ID.
	WrongInstance bool
	Signals       Signals
}

// MoveRequest asks the engine that runs a request to copy the run's memory to another engine.
type MoveRequest struct {
	ID RequestID
	// TargetAddress is the address of the engine that receives the copy.
	TargetAddress string
	// StopSource stops the run at the source before the last part is copied.
	StopSource bool
}

// MoveResult is an engine's reply to a MoveRequest.
type MoveResult struct {
	// Handle identifies the copy at the source; it may be set together with an error.
	Handle string
	// EventsProduced is the number of events that the run had produced.
	EventsProduced int
	Signals        Signals
}

// Errors of Transport.Move.
var (
	ErrRunNotFound       = errors.New("the engine doesn't have the run")
	ErrMoveBusy          = errors.New("another copy of the run is under way")
	ErrTargetUnavailable = errors.New("the target has no room or can't be reached")
	ErrNoMoveReply       = errors.New("the engine gave no usable reply to the move request")
)
