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
	// Body is the request to the engine. It always asks for a streamed answer, even if the caller
	// didn't.
	Body         []byte
	PromptTokens policy.Tokens
	// MaxOutputTokens bounds the length of the answer; zero means up to the model's context window.
	MaxOutputTokens policy.Tokens
	// PrefixHash is a hash of the first PrefixTokens tokens of the prompt.
	PrefixHash   uint64
	PrefixTokens policy.Tokens
	// SharedParts are the parts of the prompt that other prompts may share.
	SharedParts []quarantine.PartID
}

// Sink receives an answer and passes it on to the caller. Begin is called once, before the first
// token, and Flush whenever no further token is available yet.
type Sink interface {
	Begin(id GenerationID) error
	Token(index int, data string) error
	Flush() error
}

// Bounds and delays of retries.
const (
	// maxStarts is the number of times that a generation may be started, as long as its caller
	// hasn't received anything.
	maxStarts = 3
	// maxFruitlessResumes is how often in a row a stream is resumed without receiving a token.
	maxFruitlessResumes = 4
	// resumeDelay is the base of the exponential delay between fruitless resumes.
	resumeDelay = 50 * time.Millisecond
	// defaultRetryAfter is the Retry-After of a failure for which no better estimate exists.
	defaultRetryAfter = time.Second
)

// generation is the state of one caller's generation at this entry.
type generation struct {
	entry       *Entry
	request     GenerationRequest
	pool        resource.Name
	sink        Sink
	requestedAt time.Time
	// begun reports whether Begin was called on the sink.
	begun bool
	// lastToken is the time at which the last token was passed on; zero before the first token.
	lastToken time.Time
	// ownRun is this entry's record of the run, which is reported to a new coordinator.
	ownRun *ownRun
	// sinkErr is the error of the connection to the caller. No other fault is recorded here.
	sinkErr error
	// asking identifies the request for the quarantine.
	asking trackedRequest
}

// Generate runs a generation and passes its tokens to the sink. The error is a *Failure.
func (e *Entry) Generate(ctx context.Context, r GenerationRequest, sink Sink) (RunResult, error) {
	result, failure := e.generate(ctx, r, sink)
	e.observeOutcome("generation", failure)
	if failure != nil {
		return result, failure
	}
	return result, nil
}

// observeOutcome passes the outcome of a call to the observer.
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
	g := &generation{entry: e, request: r, pool: model.Pool, sink: sink, requestedAt: e.now(), asking: trackedRequest{
		RequestIdentity: quarantine.RequestIdentity{Caller: string(r.Account), Method: string(r.Shape), Target: string(r.Route), Body: r.Body, Service: string(model.Pool), SharedParts: r.SharedParts}, route: r.Route,
	}}
	return g.run(ctx, g.requestedAt.Add(time.Duration(route.Timeout)))
}

// run starts the generation on one engine after another until one of them has delivered a token or
// completed the run, or the failure can't be retried.
func (g *generation) run(ctx context.Context, deadline time.Time) (RunResult, *Failure) {
	var previousEngine member.UpstreamID
	var lastFailure *Failure
	for starts := range maxStarts {
		if failure := g.entry.checkQuarantine(&g.asking); failure != nil {
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
		// The request may have been quarantined while it waited for a place.
		if failure := g.entry.checkQuarantine(&g.asking); failure != nil {
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

// runIDBytes is the number of random bytes in a run id, which make 16 characters in base64. That
// many are enough to make ids unique. Each message about a run carries its id, so the id is no
// longer than necessary.
const runIDBytes = 12

func newRunID() policy.RunID {
	id := make([]byte, runIDBytes)
	// rand.Read never returns an error.
	_, _ = rand.Read(id)
	return policy.RunID(base64.RawURLEncoding.EncodeToString(id))
}

// laterFailure returns the failure of a later try. If an earlier try may have run, the returned
// failure says so too.
func laterFailure(first, second *Failure) *Failure {
	if first != nil && first.RunState != NotRun && second.RunState == NotRun {
		second.RunState = first.RunState
	}
	return second
}

// retryable reports whether the generation may be started again: the caller has received nothing
// and is still connected, and the request didn't cause the failure.
func (g *generation) retryable(ctx context.Context, f *Failure) bool {
	if g.begun || g.sinkErr != nil || ctx.Err() != nil {
		return false
	}
	return f.Code == CodeUpstreamLost || f.Code == CodeBadStream || f.Code == CodeOverloaded
}

// place finds an engine for the run. It returns a failure if no engine takes the run, or if the
// caller leaves first.
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

// refusalFailure returns the failure for a refused placement.
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

// runOnEngine runs the generation on the engine on which it was placed, and gives its place back
// when it ends.
func (g *generation) runOnEngine(ctx context.Context, run policy.RunID, d policy.Decision) (RunResult, *Failure) {
	finish := policy.Finish{Run: run}
	defer func() { g.entry.placement.finish(g.pool, finish) }()
	upstream, known := g.entry.members.Upstream(d.Engine)
	if !known {
		return RunResult{}, newFailure(CodeUpstreamLost, NotRun, "engine %s is gone", d.Engine)
	}
	if wait := g.entry.backoffs.Remaining(g.entry.now(), d.Engine); wait > 0 {
		// The engine asked for backoff after the run was placed on it.
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
		Prefix: formatPrefix(g.request.PrefixHash), PrefixTokens: g.request.PrefixTokens,
	})
	if err != nil {
		g.entry.recordBackoff(d.Engine, refusalBackoff(err))
		failure := startFailure(ctx, d.Engine, err)
		if failure.Code == CodeUpstreamLost && failure.RunState != NotRun {
			g.entry.handleLostUpstream(ctx, &g.asking, upstream, time.Time{})
		}
		return RunResult{}, failure
	}
	relay := relay{generation: g, upstream: upstream, id: id, sequence: sequence{run: run}}
	result, failure := relay.follow(ctx, stream)
	if failure == nil {
		g.entry.recordSuccess(&g.asking)
	}
	finish.GeneratedTokens = policy.Tokens(relay.sequence.delivered)
	finish.Complete = failure == nil
	span.SetAttributes(attribute.Int("tokens", relay.sequence.delivered))
	return result, failure
}

// startFailure returns the failure for a run that could not be started on an engine.
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

// Resume continues a generation whose entry was lost, from the token after the last one that the
// caller received. The error is a *Failure.
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
	r := relay{generation: g, upstream: upstream, id: id, sequence: sequence{run: location.Run, delivered: index}, startedElsewhere: true}
	return r.follow(ctx, nil)
}
