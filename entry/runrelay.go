// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/shedpath/shedpath/member"
)

// relay passes a run's tokens from its engine to the caller. When the link to the engine fails, it
// resumes the stream.
type relay struct {
	*generation
	upstream member.Upstream
	id       GenerationID
	sequence sequence
	// startedElsewhere reports whether another entry started the run and has sent the caller a part
	// of the answer.
	startedElsewhere bool
	// firstTokenAt is when this entry received its first token of the run; zero before that.
	firstTokenAt time.Time
	// resumesWithoutToken counts the resumes since the last token.
	resumesWithoutToken int
	// lastErr is the error that ended the last stream.
	lastErr error
}

// formatPrefix returns the prefix hash in hexadecimal, or an empty string for zero.
func formatPrefix(prefix uint64) string {
	if prefix == 0 {
		return ""
	}
	return strconv.FormatUint(prefix, 16)
}

// follow relays the run to its end. If the stream is nil, it resumes the run first.
func (r *relay) follow(ctx context.Context, stream Stream) (RunResult, *Failure) {
	for {
		if stream == nil {
			var failure *Failure
			if stream, failure = r.resumeStream(ctx); failure != nil {
				return RunResult{}, failure
			}
		}
		result, ended, failure := r.relayEvents(ctx, stream)
		stream.Close()
		if ended || failure != nil {
			return result, failure
		}
		if !r.startedElsewhere {
			// The request of a run that another entry started isn't known here.
			r.entry.handleLostUpstream(ctx, &r.asking, r.upstream, r.firstTokenAt)
		}
		stream = nil
	}
}

// relayEvents passes on the events of one stream. It reports whether the run has ended. If the run
// has neither ended nor failed, the stream must be resumed.
func (r *relay) relayEvents(ctx context.Context, stream Stream) (RunResult, bool, *Failure) {
	for event, err := range stream.Events(r.flush) {
		if ctx.Err() != nil || r.sinkErr != nil {
			return RunResult{}, false, r.runFailure(CodeCancelled, "the caller left")
		}
		if err != nil {
			r.lastErr = err
			return RunResult{}, false, nil
		}
		switch r.sequence.classify(event) {
		case actionDeliver:
			r.deliverToken(r.entry.now(), event)
		case actionDrop:
			r.entry.observer.Withheld("duplicate")
		case actionResume:
			r.lastErr = errMissingToken
			return RunResult{}, false, nil
		case actionRejectForeign:
			r.entry.observer.Withheld("foreign")
			r.lastErr = errForeignRun
			return RunResult{}, false, nil
		case actionFinish:
			return event.End, true, r.finish()
		case actionFail:
			return RunResult{}, false, r.runFailure(CodeBadStream, "the engine ended the run after %d tokens; %d came",
				event.End.CompletionTokens, r.sequence.delivered)
		}
	}
	r.lastErr = errNoEndEvent
	return RunResult{}, false, nil
}

// Reasons for resuming a stream other than a failed link.
var (
	errMissingToken = errors.New("a token is missing")
	errForeignRun   = errors.New("the link carries another run")
	errNoEndEvent   = errors.New("the stream ended without an end mark")
)

// finish begins the answer at the sink if the run had no token.
func (r *relay) finish() *Failure {
	r.begin()
	if r.sinkErr != nil {
		return r.runFailure(CodeCancelled, "the caller left")
	}
	return nil
}

// begin calls the sink's Begin once.
func (r *relay) begin() {
	if !r.begun {
		r.begun = true
		r.sinkErr = r.sink.Begin(r.id)
	}
}

func (r *relay) flush() {
	if r.begun && r.sinkErr == nil {
		r.sinkErr = r.sink.Flush()
	}
}

// deliverToken passes a token to the sink and records its latency.
func (r *relay) deliverToken(now time.Time, event StreamEvent) {
	r.begin()
	if r.sinkErr == nil {
		r.sinkErr = r.sink.Token(event.Index, event.Data)
	}
	r.resumesWithoutToken = 0
	r.ownRun.lastTokenIndex.Store(int64(event.Index))
	if r.firstTokenAt.IsZero() {
		r.firstTokenAt = now
	}
	if r.lastToken.IsZero() {
		if !r.startedElsewhere {
			r.entry.observer.FirstToken(r.pool, now.Sub(r.requestedAt))
		}
	} else {
		r.entry.observer.BetweenTokens(r.pool, now.Sub(r.lastToken))
	}
	r.lastToken = now
}

// resumeStream resumes the run behind the last delivered token. It retries with backoff until the
// engine no longer has the run, the caller has left, or maxFruitlessResumes resumes in a row have brought no
// token.
func (r *relay) resumeStream(ctx context.Context) (Stream, *Failure) {
	for {
		if r.resumesWithoutToken >= maxFruitlessResumes {
			return nil, r.runFailure(CodeUpstreamLost, "engine %s was lost: %v", r.upstream.ID, r.lastErr)
		}
		if r.resumesWithoutToken > 0 && !sleepContext(ctx, resumeDelay<<r.resumesWithoutToken) {
			return nil, r.runFailure(CodeCancelled, "the caller left")
		}
		r.resumesWithoutToken++
		r.entry.observer.Resumed(resumeReason(r.lastErr))
		stream, err := r.entry.engines.Resume(ctx, r.upstream, r.sequence.run, r.sequence.delivered)
		switch {
		case err == nil:
			return stream, nil
		case errors.Is(err, ErrRunNotFound):
			return nil, r.runFailure(CodeUpstreamLost, "engine %s no longer has the run", r.upstream.ID)
		case ctx.Err() != nil:
			return nil, r.runFailure(CodeCancelled, "the caller left")
		}
		r.lastErr = err
	}
}

// resumeReason returns the reason for a resume, as the observer counts it. Without an error, the
// run was started by another entry.
func resumeReason(err error) string {
	switch {
	case err == nil:
		return "other_entry"
	case errors.Is(err, errMissingToken):
		return "gap"
	case errors.Is(err, errForeignRun):
		return "foreign"
	case errors.Is(err, ErrStreamIdle):
		return "silent"
	default:
		return "link"
	}
}

// sleepContext waits for the delay. It reports false if the context ended first.
func sleepContext(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// runFailure returns the failure of a run whose work may have been done.
func (r *relay) runFailure(code Code, format string, args ...any) *Failure {
	state := Unknown
	if r.sequence.delivered > 0 {
		state = Partial
	}
	return newFailure(code, state, format, args...)
}
