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
	// maxStreamSpoolBytes bounds the bytes of one stream that are held for a caller that reads
	// more slowly than its engine writes. Most whole answers are shorter.
	maxStreamSpoolBytes = 128 << 10
	// readerStallTimeout is how long a caller may read nothing while its engine waits for it.
	// Upstreams cut off answers that stay unread for a few seconds.
	readerStallTimeout = 2 * time.Second
)

// closeSpool waits until the caller has received everything that was passed on, or until the
// context ends.
func (s *streamExchange) closeSpool(ctx context.Context) error {
	if s.spool == nil {
		return nil
	}
	out := s.spool
	s.spool = nil
	return out.Close(ctx)
}

// closeBody closes the body of an answer that isn't read any further. Its error is ignored,
// because the connection is given up either way.
func closeBody(a *Response) {
	if a.Body != nil {
		_ = a.Body.Close()
	}
}

// relayAnswer relays an engine's answer to the caller, and resumes the stream when it breaks
// off.
func (s *streamExchange) relayAnswer(ctx context.Context, u Upstream, a *Response) {
	if !a.isStream() {
		s.recordRolloutAnswer(s.now(), u, rollout.TimeToFirstEvent, true, 0)
	}
	if a.Status != http.StatusOK {
		s.relayFailure(ctx, u, a)
		return
	}
	if !a.isStream() {
		closeBody(a)
		s.releasePlace(false)
		s.refuse(Refusal{Code: CodeBadAnswer, MayHaveRun: true}, "upstream", u.ID)
		return
	}
	if a.Signals.Closing {
		s.checkLeavingHint(ctx, u)
	}
	lastEngine, err := s.relayRun(ctx, u, a)
	for err != nil && s.callerErr == nil {
		var resumed bool
		if u, a, resumed = s.resume(ctx, lastEngine); !resumed {
			if errors.Is(err, errEndUnknown) && s.route.Resumable && ctx.Err() == nil {
				err = s.checkWhole(ctx, lastEngine, false)
			}
			break
		}
		lastEngine, err = s.relayRun(ctx, u, a)
	}
	s.endAnswer(ctx, lastEngine, err)
}

// relayRun relays one run's events to its end and frees its place. It returns the last engine
// of the run.
func (s *streamExchange) relayRun(ctx context.Context, u Upstream, a *Response) (Upstream, error) {
	lastEngine, err := s.relayAcrossMoves(ctx, u, a)
	switch {
	case err == nil:
		if s.moveCount == 0 && s.eventCount > 2 && lastEngine.ID == s.initialEngine.ID {
			s.recordRolloutAnswer(s.now(), lastEngine, rollout.TimeBetweenEvents, false, s.lastEventAt.Sub(s.engineFirstEventAt)/time.Duration(s.eventCount-1))
		}
		s.fleet.RecordSuccess(lastEngine.ID)
		s.recordSurvival(s.now())
	case errors.Is(err, errEndUnknown):
		// Nothing speaks against the engine.
	case errors.Is(err, errNotContinued):
		// No engine broke off a stream.
	case s.callerErr == nil && ctx.Err() == nil:
		now := s.now()
		if s.carrier != "" || s.linkBroken(ctx, lastEngine) {
			s.journal.Request(s.call.ID, "link broke", "upstream", lastEngine.ID, "err", err)
			if s.carrier != "" {
				// Other peers know whether the upstream ended or only the link to the carrier.
				s.recordBrokenConnection(ctx, now, lastEngine, s.engineFirstEventAt, err)
			}
			break
		}
		s.recordRolloutAnswer(now, lastEngine, rollout.TimeToFirstEvent, true, 0)
		s.recordBrokenStream(now, lastEngine.ID)
		s.recordBrokenConnection(ctx, now, lastEngine, s.engineFirstEventAt, err)
	}
	s.releasePlace(err == nil)
	return lastEngine, err
}

// relayFailure relays an engine's own failure to the caller.
func (s *streamExchange) relayFailure(ctx context.Context, u Upstream, a *Response) {
	t := upstreamAttempt{upstream: u, response: a}
	p := &unaryExchange{exchange: s.exchange}
	p.responseMemory.budget = &s.answerBudget
	defer p.responseMemory.release()
	p.readBody(&t)
	s.releasePlace(false)
	p.checkEnd(ctx, &t)
	if t.err != nil || !a.Signed || claimsNotRun(a.Status) {
		s.refuse(Refusal{Code: CodeBadAnswer, MayHaveRun: true}, "upstream", u.ID, "status", a.Status, "err", t.err)
		return
	}
	p.deliver(ctx, &t)
}

// endAnswer ends the caller's answer: complete, cut, or refused if it hasn't started.
func (s *streamExchange) endAnswer(ctx context.Context, u Upstream, err error) {
	undelivered := s.closeSpool(ctx)
	if s.callerErr == nil && undelivered != nil && !errors.Is(undelivered, context.Cause(ctx)) {
		s.callerErr, err = undelivered, undelivered
	}
	if err == nil {
		err = undelivered
	}
	keyvals := []any{"upstream", u.ID, "first_event", s.timeToFirstEvent, "events", s.eventCount, "moves", s.moveCount, "longest_pause", s.longestGap, "err", err}
	cause := endCauseOf(ctx)
	if s.callerErr != nil {
		cause = endCallerLeft
	}
	switch {
	case errors.Is(s.callerErr, spool.ErrStalled):
		s.sink.Truncate()
		s.recordOutcome("reader_stalled", keyvals...)
	case err == nil:
		s.recordOutcome("ok", keyvals...)
	case s.answerStarted:
		s.sink.Truncate()
		s.recordOutcome(cause.outcome(), keyvals...)
	case cause != endNone:
		s.refuse(Refusal{Code: cause.code(), MayHaveRun: true}, keyvals...)
	default:
		s.refuse(s.withQuarantineCode(s.now(), Refusal{Code: CodeLost, MayHaveRun: true}), keyvals...)
	}
}

// relayAcrossMoves relays the events of a run, from one engine after another when it is moved,
// until the stream ends. It returns the last engine.
func (s *streamExchange) relayAcrossMoves(ctx context.Context, u Upstream, a *Response) (Upstream, error) {
	first := a
	for {
		m := s.startMover(ctx, u, a)
		s.engineFirstEventAt, s.source, s.carrier = time.Time{}, u, a.Signals.Via
		err := s.relayEvents(ctx, first, a)
		closeBody(a)
		if err == nil && !m.isRunStopping() {
			err = s.checkEnd(ctx, u, a, m)
		}
		if err == nil && (a.Framed || !m.isRunStopping()) {
			// A framed answer that reached its end is complete, even if a move is in progress:
			// the run ended before it could be stopped.
			m.cancel(s)
			return u, s.ensureAnswerStarted(first)
		}
		next := m.awaitHandover(ctx)
		if next == nil && err == nil && !m.isRunStopping() {
			// The run ended by itself before it could be stopped.
			m.cancel(s)
			if err := s.checkEnd(ctx, u, a, m); err != nil {
				return u, err
			}
			return u, s.ensureAnswerStarted(first)
		}
		if next == nil {
			m.cancel(s)
			return u, orUnexpectedEOF(err)
		}
		m.stop()
		if u, a, err = s.continueRun(ctx, next); err != nil {
			s.engineFirstEventAt, s.source, s.carrier = time.Time{}, u, ""
			return u, err
		}
	}
}

// checkEnd returns an error if the end of an engine's stream isn't the end of its run, or that isn't known.
func (s *streamExchange) checkEnd(ctx context.Context, u Upstream, a *Response, m *mover) error {
	if a.Framed {
		return nil
	}
	if s.engineFirstEventAt.IsZero() {
		return io.ErrUnexpectedEOF
	}
	repeatable := s.mayResume(ctx)
	whole := make(chan error, 1)
	s.tasks.Go("identity", func() {
		// After a panic the channel is closed without a result.
		defer close(whole)
		whole <- s.checkWhole(ctx, u, repeatable)
	})
	timer := time.NewTimer(endedRunPlaceTime)
	defer timer.Stop()
	for {
		select {
		case err, checked := <-whole:
			if !checked {
				return errPanicked
			}
			return err
		case <-timer.C:
			// The run doesn't go on at the engine, so others may have its place.
			if !m.isRunStopping() {
				m.cancel(s)
				s.releasePlace(false)
			}
		}
	}
}

// orUnexpectedEOF returns the error of a stream that ended too early: err, or
// io.ErrUnexpectedEOF if err is nil.
func orUnexpectedEOF(err error) error {
	if err == nil {
		return io.ErrUnexpectedEOF
	}
	return err
}

// ensureAnswerStarted starts the answer of a stream that had no event.
func (s *streamExchange) ensureAnswerStarted(first *Response) error {
	if s.answerStarted {
		return nil
	}
	return s.beginAnswer(first)
}

// beginAnswer starts the answer with the head of the first engine's. A length isn't passed on: another engine may
// continue the stream in a different one.
func (s *streamExchange) beginAnswer(first *Response) error {
	s.answerStarted = true
	first.ContentLength = -1
	return s.sink.BeginResponse(first)
}

// relayEvents passes on the events that one engine sends. It returns nil if the stream ends
// between two events.
func (s *streamExchange) relayEvents(ctx context.Context, first, a *Response) error {
	// Closing the body ends the read when the caller leaves while the engine is silent.
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
		if err := s.relayEvent(ctx, s.now(), first, event, id); err != nil {
			return err
		}
	}
}

// relayEvent passes one event to the caller.
func (s *streamExchange) relayEvent(ctx context.Context, now time.Time, first *Response, event []byte, id string) error {
	if !s.answerStarted {
		s.observer.FirstEvent(now.Sub(s.call.Arrived))
		if s.callerErr = s.beginAnswer(first); s.callerErr != nil {
			return s.callerErr
		}
		s.spool = spool.New(spool.Settings{Budget: &s.answerBudget, MaxBytes: maxStreamSpoolBytes, StallTimeout: readerStallTimeout, OnWriteFailure: s.cancel}, s.sink.Write, s.sink.Abort)
	} else if !s.lastEventAt.IsZero() {
		gap := now.Sub(s.lastEventAt)
		s.longestGap = max(s.longestGap, gap)
		s.noteGap(gap)
		s.observer.EventGap(gap)
		s.recordStep(now, gap)
		s.recordPace(now, gap)
	}
	if s.callerErr = s.spool.Put(ctx, event); s.callerErr != nil {
		return s.callerErr
	}
	s.noteSpoolDelay(now)
	s.lastEventAt = now
	s.delivered.Store(true)
	s.noteEngineEvent(now)
	if s.eventCount == 0 {
		s.timeToFirstEvent = now.Sub(s.call.Arrived)
		s.recordRolloutAnswer(now, s.initialEngine, rollout.TimeToFirstEvent, false, now.Sub(s.initialSentAt))
		if s.run != nil {
			s.engines.recordFirstToken(now, s.service.Name, s.run)
		}
	}
	s.eventCount++
	if id != "" {
		s.lastEventID = id
	}
	if s.run != nil {
		s.run.generatedTokens.Add(int64(s.tokensPerEvent()))
	}
	return nil
}

// noteEngineEvent records the current engine's first event. A run that has lasted long enough
// after it shows that the request doesn't crash the engine.
func (s *streamExchange) noteEngineEvent(now time.Time) {
	switch {
	case s.engineFirstEventAt.IsZero():
		s.engineFirstEventAt = now
	case !s.survivalRecorded && now.Sub(s.engineFirstEventAt) >= crashAttributionWindow:
		s.survivalRecorded = true
		s.recordSurvival(now)
	}
}

// tokensPerEvent returns how many tokens an event carries, at least 1.
func (s *streamExchange) tokensPerEvent() policy.Tokens {
	if s.service.Engine == nil {
		return 1
	}
	return max(s.service.Engine.EventTokens, 1)
}

// recordStep derives the engine's step time from the gap between two events.
func (s *streamExchange) recordStep(now time.Time, gap time.Duration) {
	if s.run != nil {
		s.engines.observeStep(now, s.service.Name, gap/time.Duration(s.tokensPerEvent()))
	}
}
