// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/quarantine"
	"github.com/shedpath/shedpath/resource"
)

// GenerationRequest is a caller's request for a generation.
type GenerationRequest struct {
	Account resource.Account
	Route   resource.Name
	Shape   Shape
	// Body asks the engine for a stream, whatever the caller asked for.
	Body   []byte
	Prompt policy.Tokens
	// Limit bounds the answer; zero leaves it to the model.
	Limit policy.Tokens
	// Prefix is a hash of the first PrefixTokens of the prompt.
	Prefix       uint64
	PrefixTokens policy.Tokens
}

// Sink takes an answer on its way to the caller. Begin comes once, before the
// first token; Flush whenever no more is at hand.
type Sink interface {
	Begin(id GenerationID) error
	Token(index int, data string) error
	Flush() error
}

// Limits of how long the entry tries.
const (
	// maxStarts is how many engines a generation is started on, while its
	// caller has seen nothing.
	maxStarts = 3
	// maxResumes is how often in a row a stream is taken up without a token
	// coming of it.
	maxResumes   = 4
	resumePause  = 50 * time.Millisecond
	retryUnknown = time.Second
)

// generation is one caller's generation on its way through this entry.
type generation struct {
	entry   *Entry
	request GenerationRequest
	pool    resource.Name
	sink    Sink
	asked   time.Time
	// started is whether Begin was called.
	started bool
	// lastToken is when the last token was passed on; zero before the first.
	lastToken time.Time
	// running is this entry's record of the run, for its coordinator.
	running *ownRun
	// sinkErr is the caller's link failing; everything else ends by itself.
	sinkErr error
	// asking is what the generation asks.
	asking asking
}

// Generate runs a generation and passes its tokens to the sink. The error is a
// *Failure.
func (e *Entry) Generate(ctx context.Context, r GenerationRequest, sink Sink) (RunResult, error) {
	ending, failure := e.generate(ctx, r, sink)
	e.answered("generation", failure)
	if failure != nil {
		return ending, failure
	}
	return ending, nil
}

func (e *Entry) answered(kind string, failure *Failure) {
	if failure == nil {
		e.observer.Answered(kind, "ok", "")
		return
	}
	e.observer.Answered(kind, string(failure.Code), failure.RunState)
}

func (e *Entry) generate(ctx context.Context, r GenerationRequest, sink Sink) (RunResult, *Failure) {
	release, failure := e.admit(r.Account)
	if failure != nil {
		return RunResult{}, failure
	}
	defer release()
	catalog := e.config.Catalog()
	route, known := catalog.Route(r.Route)
	if !known || route.Model == "" {
		return RunResult{}, newFailure(CodeUnknownModel, NotRun, "there is no model %q", r.Route)
	}
	model, known := catalog.Model(route.Model)
	if !known {
		return RunResult{}, newFailure(CodeUnknownModel, NotRun, "the model %q behind %q is not declared", route.Model, r.Route)
	}
	window := policy.Tokens(model.ContextTokens)
	if r.Prompt >= window {
		return RunResult{}, newFailure(CodePromptTooLong, NotRun,
			"the prompt has about %d tokens; the model takes %d with the answer", r.Prompt, window)
	}
	if r.Limit == 0 || r.Limit > window-r.Prompt {
		r.Limit = window - r.Prompt
	}
	g := &generation{entry: e, request: r, pool: model.Pool, sink: sink, asked: e.now(), asking: asking{
		Asked: quarantine.Asked{Caller: string(r.Account), Method: string(r.Shape), Target: string(r.Route), Body: r.Body}, route: r.Route,
	}}
	return g.run(ctx, g.asked.Add(time.Duration(route.Timeout)))
}

// run starts the generation on one engine after another, until one has given
// the caller a token or ended it.
func (g *generation) run(ctx context.Context, deadline time.Time) (RunResult, *Failure) {
	var avoid member.UpstreamID
	var last *Failure
	for starts := range maxStarts {
		if failure := g.entry.held(&g.asking); failure != nil {
			return RunResult{}, later(last, failure)
		}
		if starts > 0 && !g.entry.retries.take() {
			break
		}
		run := newRunID()
		decision, failure := g.place(ctx, run, avoid, deadline)
		if failure != nil {
			return RunResult{}, later(last, failure)
		}
		// It may have waited for its place.
		if failure := g.entry.held(&g.asking); failure != nil {
			g.entry.placement.finish(g.pool, policy.Finish{Run: run})
			return RunResult{}, later(last, failure)
		}
		ending, failure := g.onEngine(ctx, run, decision)
		if failure == nil {
			g.entry.retries.earn()
			return ending, nil
		}
		if !g.repeatable(ctx, failure) {
			return ending, failure
		}
		g.entry.observer.Retried(string(failure.Code))
		avoid, last = decision.Engine, failure
	}
	return RunResult{}, last.withRetryAfter(retryUnknown)
}

// runIDBytes make a run id of 16 letters that nobody else draws. It travels in
// each message about the run, so it is no longer than it has to be.
const runIDBytes = 12

func newRunID() policy.RunID {
	id := make([]byte, runIDBytes)
	// rand.Read never fails.
	_, _ = rand.Read(id)
	return policy.RunID(base64.RawURLEncoding.EncodeToString(id))
}

// later answers with a second try's failure, unless the first may have run.
func later(first, second *Failure) *Failure {
	if first != nil && first.RunState != NotRun && second.RunState == NotRun {
		second.RunState = first.RunState
	}
	return second
}

// repeatable reports whether the generation may be started again: the caller
// has seen nothing, is still there, and the fault wasn't its own.
func (g *generation) repeatable(ctx context.Context, f *Failure) bool {
	if g.started || g.sinkErr != nil || ctx.Err() != nil {
		return false
	}
	return f.Code == CodeUpstreamLost || f.Code == CodeBadStream || f.Code == CodeOverloaded
}

func (g *generation) place(ctx context.Context, run policy.RunID, avoid member.UpstreamID, deadline time.Time) (policy.Decision, *Failure) {
	ctx, span := g.entry.tracer.Start(ctx, "placement", trace.WithAttributes(attribute.String("pool", string(g.pool))))
	defer span.End()
	resting, wait := g.entry.enginesBackingOff(g.pool)
	if wait > 0 {
		return policy.Decision{}, newFailure(CodeOverloaded, NotRun, "every engine asked this entry to stay away").withRetryAfter(wait)
	}
	account, _ := g.entry.config.Catalog().Account(g.request.Account)
	r := policy.Request{
		Run: run, Route: g.request.Route, Account: g.request.Account, Priority: account.Priority,
		PromptTokens: g.request.Prompt, MaxOutputTokens: g.request.Limit, QueueBytes: len(g.request.Body),
		Prefix: g.request.Prefix, PrefixTokens: g.request.PrefixTokens, Deadline: deadline, PreviousEngine: avoid, ExcludedEngines: resting,
	}
	decision, err := g.entry.placement.place(ctx, g.pool, r)
	if err != nil {
		return decision, newFailure(CodeCancelled, NotRun, "the caller left while waiting for an engine")
	}
	span.SetAttributes(attribute.String("engine", string(decision.Engine)))
	if decision.Verdict == policy.Refused {
		g.entry.observer.Refused(g.pool, decision.Reason)
		return decision, refusal(decision)
	}
	g.running = g.entry.placement.ownRun(run)
	g.entry.observer.Waited(g.pool, decision.Waited)
	return decision, nil
}

func refusal(d policy.Decision) *Failure {
	switch d.Reason {
	case policy.ReasonTooLong:
		return newFailure(CodePromptTooLong, NotRun, "no engine's memory holds the prompt")
	case policy.ReasonNoEngine:
		return newFailure(CodeNoEngine, NotRun, "no engine takes work for this model now").withRetryAfter(d.RetryAfter)
	default:
		return newFailure(CodeOverloaded, NotRun, "every engine is full (%s)", d.Reason).withRetryAfter(d.RetryAfter)
	}
}

// onEngine runs the generation on the engine that it was placed on.
func (g *generation) onEngine(ctx context.Context, run policy.RunID, d policy.Decision) (RunResult, *Failure) {
	finish := policy.Finish{Run: run}
	defer func() { g.entry.placement.finish(g.pool, finish) }()
	upstream, known := g.entry.members.Upstream(d.Engine)
	if !known {
		return RunResult{}, newFailure(CodeUpstreamLost, NotRun, "engine %s is gone", d.Engine)
	}
	if wait := g.entry.backoffs.Remaining(g.entry.now(), d.Engine); wait > 0 {
		// It asked for that since the run was placed there.
		return RunResult{}, newFailure(CodeOverloaded, NotRun, "engine %s asked this entry to stay away", d.Engine).withRetryAfter(wait)
	}
	id := newGenerationID(g.entry.generationKey, location{
		Engine: d.Engine, Run: run, Account: g.request.Account, Route: g.request.Route,
	})
	ctx, span := g.entry.tracer.Start(ctx, "upstream", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("engine", string(d.Engine)), attribute.String("run", string(run))))
	defer span.End()
	stream, err := g.entry.engines.Start(ctx, upstream, RunRequest{
		Run: run, ID: id, Shape: g.request.Shape, Body: g.request.Body, Priority: d.Priority,
		Prefix: prefixName(g.request.Prefix), PrefixTokens: g.request.PrefixTokens,
	})
	if err != nil {
		g.entry.recordBackoff(d.Engine, refusalBackoff(err))
		failure := startFailure(ctx, d.Engine, err)
		if failure.Code == CodeUpstreamLost && failure.RunState != NotRun {
			g.entry.broke(ctx, &g.asking, upstream, time.Time{})
		}
		return RunResult{}, failure
	}
	relay := relay{generation: g, upstream: upstream, id: id, sequence: sequence{run: run}}
	ending, failure := relay.follow(ctx, stream)
	if failure == nil {
		g.entry.survived(&g.asking)
	}
	finish.GeneratedTokens = policy.Tokens(relay.sequence.delivered)
	finish.Complete = failure == nil
	span.SetAttributes(attribute.Int("tokens", relay.sequence.delivered))
	return ending, failure
}

func startFailure(ctx context.Context, engine member.UpstreamID, err error) *Failure {
	var refused *EngineRefusal
	switch {
	case ctx.Err() != nil:
		return newFailure(CodeCancelled, Unknown, "the caller left")
	case errors.Is(err, ErrNotSent):
		return newFailure(CodeUpstreamLost, NotRun, "engine %s can't be reached", engine)
	case errors.As(err, &refused) && refused.Status < 500 && refused.Status != statusTooMany:
		return newFailure(CodeUpstreamRefused, NotRun, "%v", refused)
	case errors.As(err, &refused):
		return newFailure(CodeOverloaded, NotRun, "%v", refused).withRetryAfter(refused.RetryAfter)
	default:
		return newFailure(CodeUpstreamLost, Unknown, "engine %s was lost: %v", engine, err)
	}
}

const statusTooMany = 429

// Resume carries on with a generation whose entry was lost, behind the token
// that the caller saw last. The error is a *Failure.
func (e *Entry) Resume(ctx context.Context, account resource.Account, lastEvent string, sink Sink) (RunResult, error) {
	ending, failure := e.resume(ctx, account, lastEvent, sink)
	e.answered("resume", failure)
	if failure != nil {
		return ending, failure
	}
	return ending, nil
}

func (e *Entry) resume(ctx context.Context, account resource.Account, lastEvent string, sink Sink) (RunResult, *Failure) {
	id, index, err := ParseEventID(lastEvent)
	if err != nil {
		return RunResult{}, newFailure(CodeBadGenerationID, Unknown, "%v", err)
	}
	at, err := id.open(e.generationKey)
	if err != nil || at.Account != account {
		return RunResult{}, newFailure(CodeBadGenerationID, Unknown, "the generation id is not one of this account's")
	}
	release, failure := e.admit(account)
	if failure != nil {
		failure.RunState = Partial
		return RunResult{}, failure
	}
	defer release()
	upstream, known := e.members.Upstream(at.Engine)
	if !known {
		return RunResult{}, newFailure(CodeGenerationGone, Partial, "the engine of this generation is gone")
	}
	g := &generation{
		entry: e, sink: sink, asked: e.now(), request: GenerationRequest{Account: account, Route: at.Route},
		pool: resource.Name(upstream.Pool), running: &ownRun{},
	}
	r := relay{generation: g, upstream: upstream, id: id, sequence: sequence{run: at.Run, delivered: index}, resumed: true}
	return r.follow(ctx, nil)
}
