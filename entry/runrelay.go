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

// relay passes one run's tokens from its engine to the caller, taking the
// stream up again where the link fails.
type relay struct {
	*generation
	upstream member.Upstream
	id       GenerationID
	sequence sequence
	// startedElsewhere says that the caller already has a part of the answer from
	// another entry.
	startedElsewhere bool
	// firstTokenAt is when this entry's first token of the run came; zero before that.
	firstTokenAt time.Time
	// resumesWithoutToken counts the resumes since the last token.
	resumesWithoutToken int
	// lastErr is what ended the last reading.
	lastErr error
}

func formatPrefix(prefix uint64) string {
	if prefix == 0 {
		return ""
	}
	return strconv.FormatUint(prefix, 16)
}

// follow reads the run to its end. Without a stream it begins by resuming.
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
			// What a run asks that another entry began isn't known here.
			r.entry.handleLostUpstream(ctx, &r.asking, r.upstream, r.firstTokenAt)
		}
		stream = nil
	}
}

// relayEvents passes on what one stream brings. With neither an end nor a failure,
// the run is to be taken up again.
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
			r.entry.observer.Spoilt("duplicate")
		case actionResume:
			r.lastErr = errMissingToken
			return RunResult{}, false, nil
		case actionRejectForeign:
			r.entry.observer.Spoilt("foreign")
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

// What makes a relay take a stream up again, besides a failing link.
var (
	errMissingToken = errors.New("a token is missing")
	errForeignRun   = errors.New("the link carries another run")
	errNoEndEvent   = errors.New("the stream ended without an end mark")
)

// finish tells the sink of an answer that has no token at all.
func (r *relay) finish() *Failure {
	r.begin()
	if r.sinkErr != nil {
		return r.runFailure(CodeCancelled, "the caller left")
	}
	return nil
}

func (r *relay) begin() {
	if !r.started {
		r.started = true
		r.sinkErr = r.sink.Begin(r.id)
	}
}

func (r *relay) flush() {
	if r.started && r.sinkErr == nil {
		r.sinkErr = r.sink.Flush()
	}
}

func (r *relay) deliverToken(now time.Time, event StreamEvent) {
	r.begin()
	if r.sinkErr == nil {
		r.sinkErr = r.sink.Token(event.Index, event.Data)
	}
	r.resumesWithoutToken = 0
	r.running.made.Store(int64(event.Index))
	if r.firstTokenAt.IsZero() {
		r.firstTokenAt = now
	}
	if r.lastToken.IsZero() {
		if !r.startedElsewhere {
			r.entry.observer.FirstToken(r.pool, now.Sub(r.asked))
		}
	} else {
		r.entry.observer.BetweenTokens(r.pool, now.Sub(r.lastToken))
	}
	r.lastToken = now
}

// resumeStream resumes the same run at the next index, until the engine says that it
// doesn't have it or can't be reached any more.
func (r *relay) resumeStream(ctx context.Context) (Stream, *Failure) {
	for {
		if r.resumesWithoutToken >= maxResumes {
			return nil, r.runFailure(CodeUpstreamLost, "engine %s was lost: %v", r.upstream.ID, r.lastErr)
		}
		if r.resumesWithoutToken > 0 && !sleepContext(ctx, resumePause<<r.resumesWithoutToken) {
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

// sleepContext waits, and reports whether the context outlived the wait.
func sleepContext(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// runFailure is the failure of a run that may have done its work.
func (r *relay) runFailure(code Code, format string, args ...any) *Failure {
	state := Unknown
	if r.sequence.delivered > 0 {
		state = Partial
	}
	return newFailure(code, state, format, args...)
}
