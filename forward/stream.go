// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/shedpath/shedpath/eligibility"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/rollout"
	"github.com/shedpath/shedpath/spool"
)

// streamExchange passes one stream on, from one engine after another when it is
// moved.
type streamExchange struct {
	*exchange
	run *ownRun
	// spool holds what the caller hasn't taken yet; nil before the answer's beginning.
	spool *spool.Spool
	// cancel ends what runs for the caller.
	cancel context.CancelFunc
	// answerStarted says that the caller has the answer's beginning.
	answerStarted bool
	// lastEventID is the id of the last event that the caller has, and events
	// how many it has.
	lastEventID string
	eventCount  int
	// engineFirstEventAt is when the first event of the present engine came; zero before.
	engineFirstEventAt time.Time
	// initialEngine is the engine that it was sent to first, and sentAt when.
	initialEngine Upstream
	initialSentAt time.Time
	// survivalRecorded says that an engine has run it for longer than it takes to begin.
	survivalRecorded bool
	// lastEventAt is when the last event was passed on; zero before the first.
	lastEventAt time.Time
	// timeToFirstEvent is the time to the first event.
	timeToFirstEvent time.Duration
	// longestGap is the longestGap pause between two events.
	longestGap time.Duration
	// moveCount counts the engines that the run was moved to.
	moveCount int
	// failedDials are the engines that couldn't be reached for this request, and
	// excluded those and the ones that probably can't either.
	failedDials, excluded []member.UpstreamID
	// attempts counts the engines that may have run the request, and rejections those that said
	// that they didn't.
	attempts, rejections int
	// mayHaveRun says that one of them may have worked on it.
	mayHaveRun bool
	// callerErr is the error of the caller's connection.
	callerErr error
}

const (
	// maxStreamDials bounds the engines that one stream is tried on. A refused
	// connection takes a millisecond or two, and after an outage of the list
	// half of it may be gone.
	maxStreamDials = 12
	// dialTimeFraction is the part of the objective after which no further engine is
	// tried: what is left has to do for the prompt.
	dialTimeFraction = 0.5
)

// serveStream answers a request with a stream of events.
func (x *exchange) serveStream(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &streamExchange{exchange: x, lastEventID: x.call.LastEventID, cancel: cancel}
	defer s.closeSpool(ctx)
	x.retries.countRequest(x.now(), x.service.Name)
	var last Refusal
	for dials := 0; dials < maxStreamDials && (dials < maxConnectAttempts || s.mayDial(x.now())); dials++ {
		u, refusal, ok := s.place(ctx)
		if !ok {
			s.refuse(s.markMayHaveRun(refusal), "service", x.service.Name, "avoided", len(s.excluded), "kept_back", x.throttledCount(x.now()))
			return
		}
		s.initialEngine, s.initialSentAt = u, s.now()
		stopWatch := s.watchFirstEvent(u.ID)
		answer, err := s.sendFirst(ctx, u)
		stopWatch()
		if err == nil && !answer.NotRun && !answer.WrongInstance {
			s.relayAnswer(ctx, u, answer)
			return
		}
		if ctx.Err() == nil && err != nil && !errors.Is(err, ErrNotSent) {
			s.recordRolloutAnswer(s.now(), u, rollout.First, true, 0)
		}
		s.releasePlace(false)
		last = s.classifyFailure(ctx, u, answer, err)
		if !s.mayTryAnother(ctx, u, last, err == nil && answer.NotRun) {
			break
		}
	}
	s.refuse(s.withQuarantineCode(x.now(), s.markMayHaveRun(last)), "service", x.service.Name, "sent", s.attempts)
}

// mayTryAnother reports whether the request may be sent to another engine after one
// that brought no stream. notRun is that engine's word.
func (s *streamExchange) mayTryAnother(ctx context.Context, u Upstream, last Refusal, notRun bool) bool {
	s.mayHaveRun = s.mayHaveRun || last.MayHaveRun
	switch {
	case last.Code == CodeCallerLeft, last.MayHaveRun && !s.mayRunAgain(ctx, last.Code), s.mustHoldBack(s.now()):
		return false
	case !last.MayHaveRun && !notRun:
		// The engine never had it.
		return true
	}
	s.excluded = append(s.excluded, u.ID)
	if notRun {
		s.rejections++
		return s.rejections < maxRejections && s.takeRetryBudget(string(last.Code))
	}
	return s.takeRetry(string(last.Code))
}

// mayDial reports whether there is time to try another engine.
func (s *streamExchange) mayDial(now time.Time) bool {
	return s.route.Objective <= 0 || now.Sub(s.call.Arrived) < time.Duration(dialTimeFraction*float64(s.route.Objective))
}

// excludeUnreachable keeps this request from an engine that couldn't be connected to,
// and from the others of its zone if that isn't this host's own: a link that is
// cut leads to all of them.
func (s *streamExchange) excludeUnreachable(now time.Time, u Upstream) {
	s.failedDials = append(s.failedDials, u.ID)
	s.excluded = append(s.excluded, u.ID)
	if u.Zone == s.engines.zone {
		return
	}
	for _, other := range s.acceptingUpstreams(now) {
		if other.Zone == u.Zone && other.ID != u.ID {
			s.excluded = append(s.excluded, other.ID)
		}
	}
	s.fleet.MarkZoneUnreachable(now, s.service.Name, u.Zone)
	s.peers.notifyOwnCell()
}

// hasUntriedEngine reports whether an engine is left that hasn't been tried. Those that
// were only guessed to be out of reach are tried when there are no others.
func (s *streamExchange) hasUntriedEngine(now time.Time) bool {
	if len(s.excluded) == 0 {
		return true
	}
	takers := s.acceptingUpstreams(now)
	without := func(tried []member.UpstreamID) bool {
		return slices.ContainsFunc(takers, func(u Upstream) bool { return !slices.Contains(tried, u.ID) })
	}
	if without(s.excluded) {
		return true
	}
	s.excluded = slices.Clone(s.failedDials)
	return without(s.failedDials)
}

// place finds an engine, or says why there is none.
func (s *streamExchange) place(ctx context.Context) (Upstream, Refusal, bool) {
	now := s.now()
	if s.attempts > 0 {
		s.versions.set(s.rollouts.Repeat(s.service.Name))
	}
	if !s.hasUntriedEngine(now) {
		takers := s.acceptingUpstreams(now)
		return Upstream{}, s.refuseNoUpstream(now, takers, s.shortestWait(now, takers, nil)), false
	}
	if s.backoffs.HasUpstreams() {
		candidates := s.Forwarder.candidates(now, s.service.Name)
		if takers := s.acceptingUpstreams(now); len(takers) > 0 && len(candidates) == 0 {
			return Upstream{}, s.refuseNoUpstream(now, takers, s.shortestWait(now, takers, nil)), false
		}
		// One whose backoff has just ended isn't listed until the next tick.
		layout, own := s.peers.cellLayout()
		s.engines.setAvailable(now, s.service.Name, s.placementEngines(now, s.service.Name, layout, own))
	}
	p := s.call.Prompt
	r := policy.Request{
		Run: s.runID(), Route: policyRoute(s.route), Account: s.account.Name,
		// The policy ranks upwards.
		Priority:     int(LeastUrgent - s.urgency),
		PromptTokens: max(p.Tokens, 1), MaxOutputTokens: p.MaxOutputTokens, Prefix: p.PrefixHash, PrefixTokens: p.PrefixTokens,
		QueueBytes: len(s.call.Body), Objective: s.route.Objective, ExcludedEngines: s.excluded, AllowedZones: s.zones,
		OnlyGroup: string(s.versions.get().Only), ExcludedGroup: string(s.versions.get().But),
		ArrivedAt: s.call.Arrived, Deadline: s.call.Arrived.Add(s.route.Objective),
	}
	if s.service.Engine == nil {
		return s.placePlain(ctx)
	}
	u, run, refusal, ok := s.placeWithPermit(ctx, now, r)
	if !ok {
		return u, refusal, false
	}
	s.run = run.ownRun
	d := run.decision
	s.shareRunChange(u)
	s.journal.Request(s.call.ID, "placed", "upstream", u.ID, "waited", d.Waited, "first_foreseen", d.TimeToFirstToken, "memory_foreseen", d.PeakMemory, "runs", d.BatchSize, "zone", u.Zone, "skipped", s.skippedUpstreams, "prompt", p.Tokens, "limit", p.MaxOutputTokens, "hint", p.ExpectedOutputTokens, "list_revision", s.fleet.Revision(), "contact_age", s.ContactAge(now))
	return u, Refusal{}, true
}

// placePlain picks an upstream for a stream that isn't an engine's.
func (s *streamExchange) placePlain(ctx context.Context) (Upstream, Refusal, bool) {
	u, none, found := s.selectUpstream(ctx, s.excluded, s.attempts > 0)
	if !found {
		return u, none, false
	}
	s.plainChooser.done(s.now(), u.ID, 0, false)
	return u, Refusal{}, true
}

func (s *streamExchange) placementRefusal(ctx context.Context, d policy.Decision) Refusal {
	switch why := endCauseOf(ctx); why {
	case endCallerLeft:
		return Refusal{Code: CodeCallerLeft}
	case endHostStopped:
		return Refusal{Code: why.code(), RetryAfter: s.retryStopping(s.now())}
	case endQuarantined:
		return quarantineRefusal
	}
	wait := min(max(d.RetryAfter, minRetryAfter), maxRetryAfter)
	if d.Reason == policy.ReasonNoEngine {
		return Refusal{Code: CodeNoUpstream, RetryAfter: wait}
	}
	return Refusal{Code: CodeOverloaded, RetryAfter: wait}
}

func policyRoute(r Route) ServiceName { return ServiceName(r.Name) }

// releasePlace gives the run's place back; whole says that its length is known.
func (s *streamExchange) releasePlace(whole bool) {
	if s.run == nil {
		return
	}
	s.engines.finish(s.now(), s.service.Name, s.run, whole)
	if u, known := s.fleet.Upstream(s.run.engine); known {
		s.shareRunChange(u)
	}
	s.run = nil
}

// runUrgency is what every engine is told of every run, whatever its route or account:
// urgency orders who gets a place here. An engine whose memory is full throws a run of
// lower urgency back in the midst of its stream to admit another; its caller gets it late,
// and all of it is read again.
const runUrgency = DefaultUrgency

func (s *streamExchange) send(ctx context.Context, u Upstream, c *Continuation) (*Response, error) {
	out := &UpstreamRequest{Call: s.call, Account: s.account.Name, TimeLeft: s.timeLeft(s.now()), Urgency: runUrgency, Continue: c}
	return s.sendTo(ctx, u, out)
}

// classifyFailure says what a send that brought no stream means for the caller, and marks
// the upstream accordingly.
func (s *streamExchange) classifyFailure(ctx context.Context, u Upstream, a *Response, err error) Refusal {
	now := s.now()
	s.journal.Request(s.call.ID, "try failed", "upstream", u.ID, "status", statusOf(a), "err", err)
	if a != nil {
		closeBody(a)
	}
	kept, isKept := notSentVerdict(err)
	switch {
	case isKept && kept.Reason == eligibility.Quarantined:
		return quarantineRefusal
	case isKept && ctx.Err() == nil:
		return s.refuseNoUpstream(now, s.acceptingUpstreams(now), kept.Wait)
	case errors.Is(err, ErrNotSent) && ctx.Err() == nil:
		s.fleet.Suspect(now, u.ID)
		s.excludeUnreachable(now, u)
		return Refusal{Code: CodeNoUpstream, RetryAfter: defaultRetryAfter}
	case endCauseOf(ctx) == endCallerLeft:
		return Refusal{Code: CodeCallerLeft, MayHaveRun: true}
	case ctx.Err() != nil:
		return Refusal{Code: endCauseOf(ctx).code(), MayHaveRun: !errors.Is(err, ErrNotSent)}
	case errors.Is(err, errFirstEventLate):
		// The engine counts as failing already.
		return Refusal{Code: CodeLost, MayHaveRun: true}
	case err != nil:
		s.recordEngineFailure(now, u.ID, "it lost a request")
		s.recordBrokenConnection(ctx, now, u, time.Time{}, err)
		return Refusal{Code: CodeLost, MayHaveRun: true}
	case a.WrongInstance:
		s.fleet.MarkLeaving(now, u.ID, 0, true)
		s.failedDials = append(s.failedDials, u.ID)
		s.excluded = append(s.excluded, u.ID)
		return Refusal{Code: CodeNoUpstream, RetryAfter: defaultRetryAfter}
	default:
		return s.refuseRejected(now)
	}
}
