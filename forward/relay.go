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
	"github.com/shedpath/shedpath/rollout"
	"github.com/shedpath/shedpath/spool"
)

const (
	// heldPerStream is how much of one stream is held for a caller that is slower than its
	// engine: most answers are shorter as a whole.
	heldPerStream = 128 << 10
	// readerPatience is how long a caller may take nothing while its engine waits for it.
	// Upstreams cut off answers that stay unread for a few seconds.
	readerPatience = 2 * time.Second
)

// closeSpool waits until the caller has what was passed on, unless the context has ended.
func (s *streamExchange) closeSpool(ctx context.Context) error {
	if s.out == nil {
		return nil
	}
	out := s.out
	s.out = nil
	return out.Close(ctx)
}

// closeBody closes the body of an answer that isn't passed on. Nothing is lost
// when that fails: the connection is given up either way.
func closeBody(a *Response) {
	if a.Body != nil {
		_ = a.Body.Close()
	}
}

// answerFrom passes an engine's answer on.
func (s *streamExchange) answerFrom(ctx context.Context, u Upstream, a *Response) {
	if a.Status != http.StatusOK || !a.Signed || a.UnexpectedEncoding {
		s.recordRolloutAnswer(s.now(), u, rollout.First, true, 0)
	}
	if a.Status != http.StatusOK {
		s.passFailure(ctx, u, a)
		return
	}
	if !a.Signed || a.UnexpectedEncoding {
		closeBody(a)
		s.free(false)
		s.refuse(Refusal{Code: CodeBadAnswer, MayHaveRun: true}, "upstream", u.ID)
		return
	}
	if a.Signals.Closing {
		s.checkLeavingHint(ctx, u)
	}
	last, err := s.followRun(ctx, u, a)
	for err != nil && s.callerGone == nil {
		var resumed bool
		if u, a, resumed = s.resume(ctx, last); !resumed {
			break
		}
		last, err = s.followRun(ctx, u, a)
	}
	s.end(ctx, last, err)
}

// followRun passes one run's events on to its end and frees its place.
func (s *streamExchange) followRun(ctx context.Context, u Upstream, a *Response) (Upstream, error) {
	last, err := s.follow(ctx, u, a)
	switch {
	case err == nil:
		if s.moves == 0 && s.events > 2 && last.ID == s.firstAt.ID {
			s.recordRolloutAnswer(s.now(), last, rollout.Pace, false, s.lastAt.Sub(s.begunThere)/time.Duration(s.events-1))
		}
		s.fleet.RecordSuccess(last.ID)
		s.recordSurvival(s.now())
	case s.callerGone == nil && ctx.Err() == nil:
		now := s.now()
		s.recordRolloutAnswer(now, last, rollout.First, true, 0)
		s.recordBrokenStream(now, last.ID)
		s.recordBrokenConnection(ctx, now, last, s.begunThere, err)
	}
	s.free(err == nil)
	return last, err
}

// passFailure gives the caller an engine's own failure.
func (s *streamExchange) passFailure(ctx context.Context, u Upstream, a *Response) {
	t := upstreamAttempt{upstream: u, response: a}
	p := &unaryExchange{exchange: s.exchange}
	p.responseMemory.budget = &s.answers
	defer p.responseMemory.end()
	t.body, t.hasMore, t.err = p.responseMemory.read(a)
	s.free(false)
	if t.err != nil || !a.Signed || claimsNotRun(a.Status) {
		s.refuse(Refusal{Code: CodeBadAnswer, MayHaveRun: true}, "upstream", u.ID, "status", a.Status, "err", t.err)
		return
	}
	p.deliver(&t)
}

// end closes the answer: whole, cut, or refused when nothing had come.
func (s *streamExchange) end(ctx context.Context, u Upstream, err error) {
	about := []any{"upstream", u.ID, "first_event", s.firstAfter, "events", s.events, "moves", s.moves, "longest_pause", s.longest, "err", err}
	if undelivered := s.closeSpool(ctx); s.callerGone == nil && undelivered != nil && !errors.Is(undelivered, context.Cause(ctx)) {
		s.callerGone, err = undelivered, undelivered
	}
	why := endingOf(ctx)
	if s.callerGone != nil {
		why = callerLeft
	}
	switch {
	case errors.Is(s.callerGone, spool.ErrStalled):
		s.to.Truncate()
		s.answered("reader_stalled", about...)
	case err == nil:
		s.answered("ok", about...)
	case s.begun:
		s.to.Truncate()
		s.answered(why.outcome(), about...)
	case why != notEnded:
		s.refuse(Refusal{Code: why.code(), MayHaveRun: true}, about...)
	default:
		s.refuse(s.withQuarantineCode(s.now(), Refusal{Code: CodeLost, MayHaveRun: true}), about...)
	}
}

// follow passes a run's events on, from one engine after another, until the
// stream has ended. It returns the last engine.
func (s *streamExchange) follow(ctx context.Context, u Upstream, a *Response) (Upstream, error) {
	first := a
	for {
		m := s.watch(ctx, u, a)
		s.begunThere = time.Time{}
		err := s.relay(ctx, first, a)
		closeBody(a)
		if err == nil && (a.Framed || !m.stopped()) {
			// A framed answer that has its end is whole, whatever became of a
			// move: the run ended before it could be stopped.
			m.cancel(s)
			return u, s.finish(first)
		}
		next := m.handover(ctx)
		if next == nil && err == nil && !m.stopped() {
			// The run had ended by itself before it could be stopped.
			m.cancel(s)
			return u, s.finish(first)
		}
		if next == nil {
			m.cancel(s)
			return u, notEOF(err)
		}
		m.stop()
		if u, a, err = s.takeUp(ctx, next); err != nil {
			return next.to, err
		}
	}
}

// notEOF is the error of a stream that ended before its end.
func notEOF(err error) error {
	if err == nil {
		return io.ErrUnexpectedEOF
	}
	return err
}

// finish begins the answer of a stream that had no event at all.
func (s *streamExchange) finish(first *Response) error {
	if s.begun {
		return nil
	}
	s.begun = true
	return s.to.BeginResponse(first)
}

// relay passes on what one engine sends. It returns nil at a clean end.
func (s *streamExchange) relay(ctx context.Context, first, a *Response) error {
	// A caller whose connection fails is noticed while nothing comes from the engine, too.
	stop := context.AfterFunc(ctx, func() { closeBody(a) })
	defer stop()
	events := newEventReader(a.Body)
	for {
		event, id, err := events.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := s.pass(ctx, s.now(), first, event, id); err != nil {
			return err
		}
	}
}

// pass gives one event to the caller.
func (s *streamExchange) pass(ctx context.Context, now time.Time, first *Response, event []byte, id string) error {
	if !s.begun {
		s.begun = true
		s.observer.FirstEvent(now.Sub(s.call.Arrived))
		if s.callerGone = s.to.BeginResponse(first); s.callerGone != nil {
			return s.callerGone
		}
		s.out = spool.New(spool.Settings{Budget: &s.answers, Most: heldPerStream, Patience: readerPatience, Failed: s.leave}, s.to.Write, s.to.Abort)
	} else if !s.lastAt.IsZero() {
		gap := now.Sub(s.lastAt)
		s.longest = max(s.longest, gap)
		s.observer.Gap(gap)
		s.learn(now, gap)
	}
	if s.callerGone = s.out.Put(ctx, event); s.callerGone != nil {
		return s.callerGone
	}
	s.lastAt = now
	s.delivered.Store(true)
	s.noteBegun(now)
	if s.events == 0 {
		s.firstAfter = now.Sub(s.call.Arrived)
		s.recordRolloutAnswer(now, s.firstAt, rollout.First, false, now.Sub(s.sentAt))
		if s.run != nil {
			s.engines.recordFirstToken(now, s.service.Name, s.run)
		}
	}
	s.events++
	if id != "" {
		s.lastEvent = id
	}
	if s.run != nil {
		s.run.generatedTokens.Add(int64(s.eventTokens()))
	}
	return nil
}

// noteBegun takes in an event of the present engine. A run that has gone on for long enough
// doesn't bring its engine down.
func (s *streamExchange) noteBegun(now time.Time) {
	switch {
	case s.begunThere.IsZero():
		s.begunThere = now
	case !s.proven && now.Sub(s.begunThere) >= crashAttributionWindow:
		s.proven = true
		s.recordSurvival(now)
	}
}

func (s *streamExchange) eventTokens() policy.Tokens {
	if s.service.Engine == nil {
		return 1
	}
	return max(s.service.Engine.EventTokens, 1)
}

// learn takes the time between two events as the engine's step.
func (s *streamExchange) learn(now time.Time, gap time.Duration) {
	if s.run != nil {
		s.engines.observeStep(now, s.service.Name, gap/time.Duration(s.eventTokens()))
	}
}
