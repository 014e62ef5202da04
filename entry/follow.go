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
	// resumed says that the caller already has a part of the answer from
	// another entry.
	resumed bool
	// firstToken is when this entry's first token of the run came; zero before that.
	firstToken time.Time
	// fruitless counts the resumes since the last token.
	fruitless int
	// why is what ended the last reading.
	why error
}

func prefixName(prefix uint64) string {
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
			if stream, failure = r.takeUp(ctx); failure != nil {
				return RunResult{}, failure
			}
		}
		ending, ended, failure := r.read(ctx, stream)
		stream.Close()
		if ended || failure != nil {
			return ending, failure
		}
		if !r.resumed {
			// What a run asks that another entry began isn't known here.
			r.entry.broke(ctx, &r.asking, r.upstream, r.firstToken)
		}
		stream = nil
	}
}

// read passes on what one stream brings. With neither an end nor a failure,
// the run is to be taken up again.
func (r *relay) read(ctx context.Context, stream Stream) (RunResult, bool, *Failure) {
	for event, err := range stream.Events(r.flush) {
		if ctx.Err() != nil || r.sinkErr != nil {
			return RunResult{}, false, r.lost(CodeCancelled, "the caller left")
		}
		if err != nil {
			r.why = err
			return RunResult{}, false, nil
		}
		switch r.sequence.judge(event) {
		case deliver:
			r.pass(r.entry.now(), event)
		case drop:
			r.entry.observer.Spoilt("duplicate")
		case resume:
			r.why = errGap
			return RunResult{}, false, nil
		case foreign:
			r.entry.observer.Spoilt("foreign")
			r.why = errForeign
			return RunResult{}, false, nil
		case done:
			return event.End, true, r.finish()
		case broken:
			return RunResult{}, false, r.lost(CodeBadStream, "the engine ended the run after %d tokens; %d came",
				event.End.CompletionTokens, r.sequence.delivered)
		}
	}
	r.why = errCutShort
	return RunResult{}, false, nil
}

// What makes a relay take a stream up again, besides a failing link.
var (
	errGap      = errors.New("a token is missing")
	errForeign  = errors.New("the link carries another run")
	errCutShort = errors.New("the stream ended without an end mark")
)

// finish tells the sink of an answer that has no token at all.
func (r *relay) finish() *Failure {
	r.begin()
	if r.sinkErr != nil {
		return r.lost(CodeCancelled, "the caller left")
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

func (r *relay) pass(now time.Time, event StreamEvent) {
	r.begin()
	if r.sinkErr == nil {
		r.sinkErr = r.sink.Token(event.Index, event.Data)
	}
	r.fruitless = 0
	r.running.made.Store(int64(event.Index))
	if r.firstToken.IsZero() {
		r.firstToken = now
	}
	if r.lastToken.IsZero() {
		if !r.resumed {
			r.entry.observer.FirstToken(r.pool, now.Sub(r.asked))
		}
	} else {
		r.entry.observer.BetweenTokens(r.pool, now.Sub(r.lastToken))
	}
	r.lastToken = now
}

// takeUp resumes the same run at the next index, until the engine says that it
// doesn't have it or can't be reached any more.
func (r *relay) takeUp(ctx context.Context) (Stream, *Failure) {
	for {
		if r.fruitless >= maxResumes {
			return nil, r.lost(CodeUpstreamLost, "engine %s was lost: %v", r.upstream.ID, r.why)
		}
		if r.fruitless > 0 && !pause(ctx, resumePause<<r.fruitless) {
			return nil, r.lost(CodeCancelled, "the caller left")
		}
		r.fruitless++
		r.entry.observer.Resumed(resumeReason(r.why))
		stream, err := r.entry.engines.Resume(ctx, r.upstream, r.sequence.run, r.sequence.delivered)
		switch {
		case err == nil:
			return stream, nil
		case errors.Is(err, ErrRunNotFound):
			return nil, r.lost(CodeUpstreamLost, "engine %s no longer has the run", r.upstream.ID)
		case ctx.Err() != nil:
			return nil, r.lost(CodeCancelled, "the caller left")
		}
		r.why = err
	}
}

func resumeReason(why error) string {
	switch {
	case why == nil:
		return "other_entry"
	case errors.Is(why, errGap):
		return "gap"
	case errors.Is(why, errForeign):
		return "foreign"
	case errors.Is(why, ErrStreamIdle):
		return "silent"
	default:
		return "link"
	}
}

// pause waits, and reports whether the context outlived the wait.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// lost is the failure of a run that may have done its work.
func (r *relay) lost(code Code, format string, args ...any) *Failure {
	state := Unknown
	if r.sequence.delivered > 0 {
		state = Partial
	}
	return newFailure(code, state, format, args...)
}
