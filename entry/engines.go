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

// Shape is the form of a generation request and its answer.
type Shape string

// The shapes of OpenAI's interface.
const (
	ShapeCompletion Shape = "completions"
	ShapeChat       Shape = "chat/completions"
)

// RunRequest starts a run on an engine.
type RunRequest struct {
	Run   policy.RunID
	ID    GenerationID
	Shape Shape
	// Body is the caller's request, with streaming asked for.
	Body     []byte
	Priority int
	// Prefix names the first PrefixTokens of the prompt.
	Prefix       string
	PrefixTokens policy.Tokens
}

// EventKind tells the events of a stream apart.
type EventKind int

// The kinds of stream event.
const (
	EventToken EventKind = iota
	EventEnd
)

// StreamEvent is one event of a run.
type StreamEvent struct {
	Kind EventKind
	Run  policy.RunID
	// Index is the token's, from 1.
	Index int
	// Data is the token's chunk in the request's shape, as the engine wrote it.
	Data string
	// End is set with EventEnd.
	End RunResult
}

// RunResult is an engine's word on how a run ended.
type RunResult struct {
	// Complete says that the answer came to its own end.
	Complete         bool
	PromptTokens     int
	CompletionTokens int
}

// Stream is a run being read. Events may be ranged over once; idle is called
// whenever the reader is about to wait for the engine. Close may be called at
// any time and ends the reading, not the run.
type Stream interface {
	Events(idle func()) iter.Seq2[StreamEvent, error]
	Close()
}

// EngineLoad is what an engine reports of itself.
type EngineLoad struct {
	policy.Report
	// Preemptions counts the runs that the engine threw back so far.
	Preemptions int
	Leaving     bool
	// Models are the versions that the engine has loaded.
	Models map[string]string
}

// Order tells an engine what to serve, fenced by the holder's token.
type Order struct {
	Token   uint64
	Model   string
	Version string
}

// Engines is the interface to the model engines.
//
// Start's error wraps ErrNotSent when the request surely didn't reach the
// engine, is an *EngineRefusal when the engine said that it won't run it, and
// leaves it unknown otherwise. Resume's wraps ErrRunGone when the engine
// doesn't have the run.
type Engines interface {
	Start(ctx context.Context, u member.Upstream, r RunRequest) (Stream, error)
	Resume(ctx context.Context, u member.Upstream, run policy.RunID, after int) (Stream, error)
	Load(ctx context.Context, u member.Upstream) (EngineLoad, error)
	CacheEvents(ctx context.Context, u member.Upstream, after uint64) ([]policy.CacheEvent, error)
	Order(ctx context.Context, u member.Upstream, o Order) error
}

// ErrRunNotFound says that an engine doesn't have the run that was asked for.
var ErrRunNotFound = errors.New("the engine doesn't have the run")

// ErrStreamIdle says that nothing came from an engine, not even a sign of life.
var ErrStreamIdle = errors.New("the link to the engine is silent")

// EngineRefusal is an engine's answer that it won't run a request.
type EngineRefusal struct {
	Status     int
	Text       string
	RetryAfter time.Duration
}

// Error gives the engine's status and text.
func (e *EngineRefusal) Error() string {
	return fmt.Sprintf("the engine answered %d: %s", e.Status, e.Text)
}
