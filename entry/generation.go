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
	Body         []byte
	PromptTokens policy.Tokens
	// MaxOutputTokens bounds the answer; zero leaves it to the model.
	MaxOutputTokens policy.Tokens
	// PrefixHash is a hash of the first PrefixTokens of the prompt.
	PrefixHash   uint64
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
	// maxFruitlessResumes is how often in a row a stream is taken up without a token
	// coming of it.
	maxFruitlessResumes = 4
	resumeDelay         = 50 * time.Millisecond
	defaultRetryAfter   = time.Second
)

// generation is one caller's generation on its way through this entry.
type generation struct {
	entry       *Entry
	request     GenerationRequest
	pool        resource.Name
	sink        Sink
	requestedAt time.Time
	// begun is whether Begin was called.
	begun bool
	// lastToken is when the last token was passed on; zero before the first.
	lastToken time.Time
	// ownRun is this entry's record of the run, for its coordinator.
	ownRun *ownRun
	// sinkErr is the caller's link failing; everything else ends by itself.
	sinkErr error
	// asking is what the generation asks.
	asking asking
}

// Generate runs a generation and passes its tokens to the sink. The error is a
// *Failure.
func (e *Entry) Generate(ctx context.Context, r GenerationRequest, sink Sink) (RunResult, error) {
	result, failure := e.generate(ctx, r, sink)
	e.observeOutcome("generation", failure)
	if failure != nil {
		return result, failure
	}
	return result, nil
}

func (e *Entry) observeOutcome(kind string, failure *Failure) {
	if failure == nil {
		e.observer.CallEnded(kind, "ok", "")
		return
	}
	e.observer.CallEnded(kind, string(failure.Code), failure.RunState)
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
	if r.PromptTokens >= window {
		return RunResult{}, newFailure(CodePromptTooLong, NotRun,
			"the prompt has about %d tokens; the model takes %d with the answer", r.PromptTokens, window)
	}
	if r.MaxOutputTokens == 0 || r.MaxOutputTokens > window-r.PromptTokens {
		r.MaxOutputTokens = window - r.PromptTokens
	}
	g := &generation{entry: e, request: r, pool: model.Pool, sink: sink, requestedAt: e.now(), asking: asking{
		Asked: quarantine.Asked{Caller: string(r.Account), Method: string(r.Shape), Target: string(r.Route), Body: r.Body}, route: r.Route,
	}}
	return g.run(ctx, g.requestedAt.Add(time.Duration(route.Timeout)))
}

// run starts the generation on one engine after another, until one has given
// the caller a token or ended it.
func (g *generation) run(ctx context.Context, deadline time.Time) (RunResult, *Failure) {
	var previousEngine member.UpstreamID
	var lastFailure *Failure
	for starts := range maxStarts {
		if failure := g.entry.held(&g.asking); failure != nil {
			return RunResult{}, laterFailure(lastFailure, failure)
		}
		if starts > 0 && !g.entry.retries.take() {
			break
		}
		run := newRunID()
		decision, failure := g.place(ctx, run, previousEngine, deadline)
		if failure != nil {
			return RunResult{}, laterFailure(lastFailure, failure)
		}
		// It may have waited for its place.
		if failure := g.entry.held(&g.asking); failure != nil {
			g.entry.placement.finish(g.pool, policy.Finish{Run: run})
			return RunResult{}, laterFailure(lastFailure, failure)
		}
		result, failure := g.runOnEngine(ctx, run, decision)
		if failure == nil {
			g.entry.retries.earn()
			return result, nil
		}
		if !g.retryable(ctx, failure) {
			return result, failure
		}
		g.entry.observer.Retried(string(failure.Code))
		previousEngine, lastFailure = decision.Engine, failure
	}
	return RunResult{}, lastFailure.withRetryAfter(defaultRetryAfter)
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

// laterFailure answers with a second try's failure, unless the first may have run.
func laterFailure(first, second *Failure) *Failure {
	if first != nil && first.RunState != NotRun && second.RunState == NotRun {
		second.RunState = first.RunState
	}
	return second
}

// retryable reports whether the generation may be started again: the caller
// has seen nothing, is still there, and the fault wasn't its own.
func (g *generation) retryable(ctx context.Context, f *Failure) bool {
	if g.begun || g.sinkErr != nil || ctx.Err() != nil {
		return false
	}
	return f.Code == CodeUpstreamLost || f.Code == CodeBadStream || f.Code == CodeOverloaded
}

func (g *generation) place(ctx context.Context, run policy.RunID, previousEngine member.UpstreamID, deadline time.Time) (policy.Decision, *Failure) {
	ctx, span := g.entry.tracer.Start(ctx, "placement", trace.WithAttributes(attribute.String("pool", string(g.pool))))
	defer span.End()
	backingOff, wait := g.entry.enginesBackingOff(g.pool)
	if wait > 0 {
		return policy.Decision{}, newFailure(CodeOverloaded, NotRun, "every engine asked this entry to stay away").withRetryAfter(wait)
	}
	account, _ := g.entry.config.Catalog().Account(g.request.Account)
	r := policy.Request{
		Run: run, Route: g.request.Route, Account: g.request.Account, Priority: account.Priority,
		PromptTokens: g.request.PromptTokens, MaxOutputTokens: g.request.MaxOutputTokens, QueueBytes: len(g.request.Body),
		Prefix: g.request.PrefixHash, PrefixTokens: g.request.PrefixTokens, Deadline: deadline, PreviousEngine: previousEngine, ExcludedEngines: backingOff,
	}
	decision, err := g.entry.placement.place(ctx, g.pool, r)
	if err != nil {
		return decision, newFailure(CodeCancelled, NotRun, "the caller left while waiting for an engine")
	}
	span.SetAttributes(attribute.String("engine", string(decision.Engine)))
	if decision.Verdict == policy.Refused {
		g.entry.observer.Refused(g.pool, decision.Reason)
		return decision, refusalFailure(decision)
	}
	g.ownRun = g.entry.placement.ownRun(run)
	g.entry.observer.Waited(g.pool, decision.Waited)
	return decision, nil
}

func refusalFailure(d policy.Decision) *Failure {
	switch d.Reason {
	case policy.ReasonTooLong:
		return newFailure(CodePromptTooLong, NotRun, "no engine's memory holds the prompt")
	case policy.ReasonNoEngine:
		return newFailure(CodeNoEngine, NotRun, "no engine takes work for this model now").withRetryAfter(d.RetryAfter)
	default:
		return newFailure(CodeOverloaded, NotRun, "every engine is full (%s)", d.Reason).withRetryAfter(d.RetryAfter)
	}
}

// runOnEngine runs the generation on the engine that it was placed on.
func (g *generation) runOnEngine(ctx context.Context, run policy.RunID, d policy.Decision) (RunResult, *Failure) {
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
	id := newGenerationID(g.entry.generationKey, runLocation{
		Engine: d.Engine, Run: run, Account: g.request.Account, Route: g.request.Route,
	})
	ctx, span := g.entry.tracer.Start(ctx, "upstream", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("engine", string(d.Engine)), attribute.String("run", string(run))))
	defer span.End()
	stream, err := g.entry.engines.Start(ctx, upstream, RunRequest{
		Run: run, ID: id, Shape: g.request.Shape, Body: g.request.Body, Priority: d.Priority,
		Prefix: prefixName(g.request.PrefixHash), PrefixTokens: g.request.PrefixTokens,
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
	result, failure := relay.follow(ctx, stream)
	if failure == nil {
		g.entry.survived(&g.asking)
	}
	finish.GeneratedTokens = policy.Tokens(relay.sequence.delivered)
	finish.Complete = failure == nil
	span.SetAttributes(attribute.Int("tokens", relay.sequence.delivered))
	return result, failure
}

func startFailure(ctx context.Context, engine member.UpstreamID, err error) *Failure {
	var refused *EngineRefusal
	switch {
	case ctx.Err() != nil:
		return newFailure(CodeCancelled, Unknown, "the caller left")
	case errors.Is(err, ErrNotSent):
		return newFailure(CodeUpstreamLost, NotRun, "engine %s can't be reached", engine)
	case errors.As(err, &refused) && refused.Status < 500 && refused.Status != statusTooManyRequests:
		return newFailure(CodeUpstreamRefused, NotRun, "%v", refused)
	case errors.As(err, &refused):
		return newFailure(CodeOverloaded, NotRun, "%v", refused).withRetryAfter(refused.RetryAfter)
	default:
		return newFailure(CodeUpstreamLost, Unknown, "engine %s was lost: %v", engine, err)
	}
}

const statusTooManyRequests = 429

// Resume carries on with a generation whose entry was lost, behind the token
// that the caller saw last. The error is a *Failure.
func (e *Entry) Resume(ctx context.Context, account resource.Account, lastEvent string, sink Sink) (RunResult, error) {
	result, failure := e.resume(ctx, account, lastEvent, sink)
	e.observeOutcome("resume", failure)
	if failure != nil {
		return result, failure
	}
	return result, nil
}

func (e *Entry) resume(ctx context.Context, account resource.Account, lastEvent string, sink Sink) (RunResult, *Failure) {
	id, index, err := ParseEventID(lastEvent)
	if err != nil {
		return RunResult{}, newFailure(CodeBadGenerationID, Unknown, "%v", err)
	}
	location, err := id.decode(e.generationKey)
	if err != nil || location.Account != account {
		return RunResult{}, newFailure(CodeBadGenerationID, Unknown, "the generation id is not one of this account's")
	}
	release, failure := e.admit(account)
	if failure != nil {
		failure.RunState = Partial
		return RunResult{}, failure
	}
	defer release()
	upstream, known := e.members.Upstream(location.Engine)
	if !known {
		return RunResult{}, newFailure(CodeGenerationGone, Partial, "the engine of this generation is gone")
	}
	g := &generation{
		entry: e, sink: sink, requestedAt: e.now(), request: GenerationRequest{Account: account, Route: location.Route},
		pool: resource.Name(upstream.Pool), ownRun: &ownRun{},
	}
	r := relay{generation: g, upstream: upstream, id: id, sequence: sequence{run: location.Run, delivered: index}, resumed: true}
	return r.follow(ctx, nil)
}
