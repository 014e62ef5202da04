// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"errors"
	"fmt"
	"iter"
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// Shape is the API format of a generation request and its answer, named by the path of its endpoint
// under /v1/.
type Shape string

// The formats of the OpenAI API.
const (
	ShapeCompletion Shape = "completions"
	ShapeChat       Shape = "chat/completions"
)

// RunRequest is a request to start a run on an engine.
type RunRequest struct {
	Run   policy.RunID
	ID    GenerationID
	Shape Shape
	// Body is the caller's request, changed to ask for a streamed answer.
	Body     []byte
	Priority int
	// Prefix identifies the first PrefixTokens tokens of the prompt.
	Prefix       string
	PrefixTokens policy.Tokens
}

// EventKind is the kind of a stream event.
type EventKind int

// The kinds of stream events.
const (
	EventToken EventKind = iota
	EventEnd
)

// StreamEvent is one event of a run's stream: a token or the end.
type StreamEvent struct {
	Kind EventKind
	Run  policy.RunID
	// Index is the token's position in the answer, counted from 1.
	Index int
	// Data is the token's chunk in the request's format, as the engine wrote it.
	Data string
	// End is set if Kind is EventEnd.
	End RunResult
}

// RunResult is an engine's report of how a run ended.
type RunResult struct {
	// Complete reports whether the run produced its whole answer.
	Complete         bool
	PromptTokens     int
	CompletionTokens int
}

// Stream reads the events of a run. Events may be ranged over once; it calls idle whenever it is
// about to wait for the engine. Close may be called at any time; it ends the reading, not the run.
type Stream interface {
	Events(idle func()) iter.Seq2[StreamEvent, error]
	Close()
}

// EngineLoad is an engine's report of its load and state.
type EngineLoad struct {
	policy.Report
	// Preemptions counts the runs that the engine has preempted so far.
	Preemptions int
	// Leaving reports whether the engine is stopping.
	Leaving bool
	// Models maps each loaded model to its version.
	Models map[string]string
}

// Order tells an engine which version of a model to serve. Token is the fencing token of the order
// lease's holder.
type Order struct {
	Token   uint64
	Model   string
	Version string
}

// Engines is the client of the model engines.
//
// The error of Start tells what happened to the request:
//   - it wraps ErrNotSent if the request certainly didn't reach the engine,
//   - it is an *EngineRefusal if the engine refused to run the request,
//   - any other error leaves open whether the request was run.
//
// The error of Resume wraps ErrRunNotFound if the engine doesn't have the run.
type Engines interface {
	Start(ctx context.Context, u member.Upstream, r RunRequest) (Stream, error)
	Resume(ctx context.Context, u member.Upstream, run policy.RunID, after int) (Stream, error)
	Load(ctx context.Context, u member.Upstream) (EngineLoad, error)
	CacheEvents(ctx context.Context, u member.Upstream, after uint64) ([]policy.CacheEvent, error)
	Order(ctx context.Context, u member.Upstream, o Order) error
}

// ErrRunNotFound reports that an engine doesn't have the requested run.
var ErrRunNotFound = errors.New("the engine doesn't have the run")

// ErrStreamIdle reports that an engine sent nothing on a stream for too long, not even a keep-alive.
var ErrStreamIdle = errors.New("the link to the engine is silent")

// EngineRefusal is the error of a request that an engine refused to run.
type EngineRefusal struct {
	// Status is the HTTP status of the engine's answer.
	Status int
	Text   string
	// RetryAfter is the backoff that the engine asked for; zero if it asked for none.
	RetryAfter time.Duration
}

// Error returns the engine's status and text.
func (e *EngineRefusal) Error() string {
	return fmt.Sprintf("the engine answered %d: %s", e.Status, e.Text)
}
