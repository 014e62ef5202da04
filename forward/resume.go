// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/shedpath/shedpath/quarantine"
)

// errFirstEventLate cancels a send to an engine that is silent for too long.
var errFirstEventLate = errors.New("the engine's first event is late")

// markMayHaveRun returns r, unless an earlier engine may have worked on the request. Then it
// returns a refusal that says so, whatever the last engine reported.
func (s *streamExchange) markMayHaveRun(r Refusal) Refusal {
	if !s.mayHaveRun || r.MayHaveRun {
		return r
	}
	if r.Code == CodeCallerLeft {
		r.MayHaveRun = true
		return r
	}
	return s.withQuarantineCode(s.now(), Refusal{Code: CodeLost, MayHaveRun: true})
}

// mayRunAgain reports whether a request that an engine may have worked on may be sent to
// another one. That holds only for lost requests of resumable streams, until their context
// ends.
func (s *streamExchange) mayRunAgain(ctx context.Context, code Code) bool {
	return s.route.Resumable && code == CodeLost && ctx.Err() == nil
}

// mayResume reports whether another engine may continue the stream if this one broke it off.
func (s *streamExchange) mayResume(ctx context.Context) bool {
	return s.mayRunAgain(ctx, CodeLost) && s.attempts+1 < s.route.Attempts && (s.eventCount == 0 || s.lastEventID != "")
}

// takeRetry counts an engine that may have run the request, and reports whether the route and
// the shared retry budget allow another send.
func (s *streamExchange) takeRetry(reason string) bool {
	s.attempts++
	return s.attempts < s.route.Attempts && s.takeRetryBudget(reason)
}

// takeRetryBudget takes a retry from the shared budget unless one is reserved, records it, and reports
// whether one was left.
func (s *streamExchange) takeRetryBudget(reason string) bool {
	reserved := s.retryReserved
	s.retryReserved = false
	if !reserved && !s.retries.takeRetry(s.now(), s.service.Name) {
		s.journal.Request(s.call.ID, "not repeated", "why", "retry budget used up", "after", reason)
		return false
	}
	s.observer.Repeated(reason)
	return true
}

// silenceCheckInterval is how often a stream whose first event is late looks for another engine.
const silenceCheckInterval = 200 * time.Millisecond

// sendFirst sends the request to its engine. A resumable stream with attempts left is withdrawn
// from an engine that stays silent for too long, once it may run on another one: it would be late
// there, and another engine may still answer in time.
func (s *streamExchange) sendFirst(ctx context.Context, u Upstream) (*Response, error) {
	begin := s.initialContinuation()
	if !s.route.Resumable || s.attempts+1 >= s.route.Attempts || s.route.Objective <= 0 {
		return s.send(ctx, u, begin)
	}
	bounded, cancel := context.WithCancelCause(ctx)
	stopWatch := s.watchSilence(bounded, u, func() { cancel(errFirstEventLate) })
	answer, err := s.send(bounded, u, begin)
	if withdrawn := stopWatch(); err != nil || withdrawn {
		if answer != nil {
			closeBody(answer)
		}
		defer cancel(nil)
		if errors.Is(context.Cause(bounded), errFirstEventLate) && !errors.Is(err, ErrNotSent) {
			return nil, errFirstEventLate
		}
		return nil, err
	}
	// The body of the answer is read under this context until the request ends.
	context.AfterFunc(ctx, func() { cancel(nil) })
	return answer, nil
}

// watchSilence withdraws the request from its engine when the first event is late and the request may run on
// another one. stop ends the watch and reports whether the request was withdrawn.
func (s *streamExchange) watchSilence(ctx context.Context, u Upstream, withdraw func()) (stop func() (withdrawn bool)) {
	arrived, ended := make(chan struct{}), make(chan struct{})
	withdrawn := false
	s.tasks.Go("silent engine", func() {
		defer close(ended)
		timer := time.NewTimer(firstEventTimeout(s.route.Objective))
		defer timer.Stop()
		for {
			select {
			case <-arrived:
				return
			case <-ctx.Done():
				return
			case <-timer.C:
			}
			if s.reserveRetry(ctx, s.now(), u) {
				withdrawn = true
				withdraw()
				return
			}
			timer.Reset(silenceCheckInterval)
		}
	})
	return func() bool {
		close(arrived)
		<-ended
		return withdrawn
	}
}

// reserveRetry takes a retry from the shared budget for a request that is to leave its engine, and reports
// whether one was left. It takes none unless another engine has room: a request that is withdrawn for nothing is lost.
func (s *streamExchange) reserveRetry(ctx context.Context, now time.Time, u Upstream) bool {
	if ctx.Err() != nil || s.quarantineEvidence(now).Standing >= quarantine.TrialDue || !s.hasRoomBeside(now, u) {
		return false
	}
	s.retryReserved = s.retries.takeRetry(now, s.service.Name)
	return s.retryReserved
}

// hasRoomBeside reports whether an engine that the request wasn't sent to could take it, by this host's view.
func (s *streamExchange) hasRoomBeside(now time.Time, u Upstream) bool {
	tried := append(slices.Clone(s.excluded), u.ID)
	if s.service.Engine != nil {
		r := s.policyRequest()
		r.ExcludedEngines = tried
		return s.engines.hasRoomAnywhere(now, s.service.Name, r)
	}
	return slices.ContainsFunc(s.Forwarder.candidates(now, s.service.Name), func(other Upstream) bool {
		return !slices.Contains(tried, other.ID) && s.zoneAllowed(other.Zone)
	})
}

// initialContinuation returns where a new run starts: after the last event that the caller has
// of an earlier answer. It is nil for a run from the beginning.
func (s *streamExchange) initialContinuation() *Continuation {
	if !s.route.Resumable || s.lastEventID == "" {
		return nil
	}
	return &Continuation{LastEventID: s.lastEventID}
}

// resume lets another engine run a stream that broke off and continue it after the last event
// that the caller has. An engine that surely didn't run it is followed by another. It returns false if the
// route, the retry budget or the engines don't allow that, or if the other engine brings no stream.
func (s *streamExchange) resume(ctx context.Context, broken Upstream) (Upstream, *Response, bool) {
	s.mayHaveRun = true
	if s.eventCount > 0 && s.lastEventID == "" {
		// Without an event id it is unknown where to continue.
		return Upstream{}, nil, false
	}
	if !s.mayRunAgain(ctx, CodeLost) || s.mustHoldBack(s.now()) || !s.takeRetry("broken_off") {
		return Upstream{}, nil, false
	}
	s.excluded = append(s.excluded, broken.ID)
	for range maxConnectAttempts {
		u, refusal, ok := s.place(ctx)
		if !ok {
			s.journal.Request(s.call.ID, "not resumed", "why", refusal.Code)
			break
		}
		answer, err := s.send(ctx, u, s.initialContinuation())
		if err == nil && answer.isStream() {
			s.journal.Request(s.call.ID, "resumed", "from", broken.ID, "upstream", u.ID, "after", s.lastEventID)
			return u, answer, true
		}
		s.releasePlace(false)
		notRun := err == nil && answer.NotRun
		hasNotRun := notRun || errors.Is(err, ErrNotSent) || err == nil && answer.WrongInstance
		// The call records the engine's failure. The caller's answer is cut if no engine is left, so the
		// refusal isn't sent.
		last := s.classifyFailure(ctx, u, answer, err)
		if !hasNotRun || ctx.Err() != nil || !s.mayTryAnother(ctx, u, last, notRun) {
			break
		}
	}
	return Upstream{}, nil, false
}
