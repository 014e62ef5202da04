// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// errFirstEventLate ends a send to an engine that is silent for too long.
var errFirstEventLate = errors.New("the engine's first event is late")

// markMayHaveRun says of a refusal that the request may have run if an earlier engine
// may have worked on it, whatever the last one said.
func (s *streamExchange) markMayHaveRun(r Refusal) Refusal {
	if !s.mayHaveRun || r.MayHaveRun || r.Code == CodeCallerLeft {
		return r
	}
	return s.withQuarantineCode(s.now(), Refusal{Code: CodeLost, MayHaveRun: true})
}

// mayRunAgain reports whether a request that an engine may have worked on may be
// sent to another: only streams that can be resumed are, while their time lasts.
func (s *streamExchange) mayRunAgain(ctx context.Context, why Code) bool {
	return s.route.Resumable && why == CodeLost && ctx.Err() == nil
}

// takeRetry counts a request that an engine got, and reports whether the route
// and the shared budget allow another.
func (s *streamExchange) takeRetry(why string) bool {
	s.attempts++
	return s.attempts < s.route.Attempts && s.takeRetryBudget(why)
}

// takeRetryBudget reports whether the shared budget allows another send.
func (s *streamExchange) takeRetryBudget(why string) bool {
	if !s.retries.takeRetry(s.now(), s.service.Name) {
		s.journal.Request(s.call.ID, "not repeated", "why", "retry budget used up", "after", why)
		return false
	}
	s.observer.Repeated(why)
	return true
}

// sendFirst sends the request to its engine. A resumable stream that has further
// attempts isn't left with an engine that stays silent: it would be late there,
// and another engine may still answer it.
func (s *streamExchange) sendFirst(ctx context.Context, u Upstream) (*Response, error) {
	begin := s.initialContinuation()
	if !s.route.Resumable || s.attempts+1 >= s.route.Attempts || s.route.Objective <= 0 {
		return s.send(ctx, u, begin)
	}
	bounded, cancel := context.WithCancelCause(ctx)
	silent := time.AfterFunc(firstEventTimeout(s.route.Objective), func() { cancel(errFirstEventLate) })
	answer, err := s.send(bounded, u, begin)
	if err != nil || !silent.Stop() {
		if answer != nil {
			closeBody(answer)
		}
		defer cancel(nil)
		if errors.Is(context.Cause(bounded), errFirstEventLate) && !errors.Is(err, ErrNotSent) {
			return nil, errFirstEventLate
		}
		return nil, err
	}
	// The answer lives as long as the request.
	context.AfterFunc(ctx, func() { cancel(nil) })
	return answer, nil
}

// initialContinuation is where a run starts: from the caller's last event, if it has one.
func (s *streamExchange) initialContinuation() *Continuation {
	if !s.route.Resumable || s.lastEventID == "" {
		return nil
	}
	return &Continuation{LastEventID: s.lastEventID}
}

// resume has another engine run a stream that broke off and go on after the last
// event that the caller has. It returns false when the route, the budget or the
// engines don't allow it.
func (s *streamExchange) resume(ctx context.Context, broken Upstream) (Upstream, *Response, bool) {
	s.mayHaveRun = true
	if s.eventCount > 0 && s.lastEventID == "" {
		// Without an id there is no telling where to go on.
		return Upstream{}, nil, false
	}
	if !s.mayRunAgain(ctx, CodeLost) || s.mustHoldBack(s.now()) || !s.takeRetry("broken_off") {
		return Upstream{}, nil, false
	}
	s.excluded = append(s.excluded, broken.ID)
	u, refusal, ok := s.place(ctx)
	if !ok {
		s.journal.Request(s.call.ID, "not resumed", "why", refusal.Code)
		return Upstream{}, nil, false
	}
	answer, err := s.send(ctx, u, s.initialContinuation())
	if err == nil && answer.Status == http.StatusOK && answer.Signed && !answer.UnexpectedEncoding {
		s.journal.Request(s.call.ID, "resumed", "from", broken.ID, "upstream", u.ID, "after", s.lastEventID)
		return u, answer, true
	}
	s.releasePlace(false)
	// The caller's answer is cut either way; judge marks the engine.
	s.classifyFailure(ctx, u, answer, err)
	return Upstream{}, nil, false
}
