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
	// out holds what the caller hasn't taken yet; nil before the answer's beginning.
	out *spool.Spool
	// leave ends what runs for the caller.
	leave context.CancelFunc
	// begun says that the caller has the answer's beginning.
	begun bool
	// lastEvent is the id of the last event that the caller has, and events
	// how many it has.
	lastEvent string
	events    int
	// begunThere is when the first event of the present engine came; zero before.
	begunThere time.Time
	// firstAt is the engine that it was sent to first, and sentAt when.
	firstAt Upstream
	sentAt  time.Time
	// proven says that an engine has run it for longer than it takes to begin.
	proven bool
	// lastAt is when the last event was passed on; zero before the first.
	lastAt time.Time
	// firstAfter is the time to the first event.
	firstAfter time.Duration
	// longest is the longest pause between two events.
	longest time.Duration
	// moves counts the engines that the run was moved to.
	moves int
	// dialed are the engines that couldn't be reached for this request, and
	// avoid those and the ones that probably can't either.
	dialed, avoid []member.UpstreamID
	// sent counts the engines that may have run the request, and rejected those that said
	// that they didn't.
	sent, rejected int
	// mayHaveRun says that one of them may have worked on it.
	mayHaveRun bool
	// callerGone is the error of the caller's connection.
	callerGone error
}

const (
	// mostStreamDials bounds the engines that one stream is tried on. A refused
	// connection takes a millisecond or two, and after an outage of the list
	// half of it may be gone.
	mostStreamDials = 12
	// dialPart is the part of the objective after which no further engine is
	// tried: what is left has to do for the prompt.
	dialPart = 0.5
)

// serveStream answers a request with a stream of events.
func (x *exchange) serveStream(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &streamExchange{exchange: x, lastEvent: x.call.LastEventID, leave: cancel}
	defer s.closeSpool(ctx)
	x.retries.countRequest(x.now(), x.service.Name)
	var last Refusal
	for dials := 0; dials < mostStreamDials && (dials < maxConnectAttempts || s.mayDial(x.now())); dials++ {
		u, refusal, ok := s.place(ctx)
		if !ok {
			s.refuse(s.honest(refusal), "service", x.service.Name, "avoided", len(s.avoid), "kept_back", x.throttledCount(x.now()))
			return
		}
		s.firstAt, s.sentAt = u, s.now()
		stopWatch := s.watchFirstEvent(u.ID)
		answer, err := s.sendFirst(ctx, u)
		stopWatch()
		if err == nil && !answer.NotRun && !answer.WrongInstance {
			s.answerFrom(ctx, u, answer)
			return
		}
		if ctx.Err() == nil && err != nil && !errors.Is(err, ErrNotSent) {
			s.recordRolloutAnswer(s.now(), u, rollout.First, true, 0)
		}
		s.free(false)
		last = s.judge(ctx, u, answer, err)
		if !s.mayTryAnother(ctx, u, last, err == nil && answer.NotRun) {
			break
		}
	}
	s.refuse(s.withQuarantineCode(x.now(), s.honest(last)), "service", x.service.Name, "sent", s.sent)
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
	s.avoid = append(s.avoid, u.ID)
	if notRun {
		s.rejected++
		return s.rejected < maxRejections && s.takeBudget(string(last.Code))
	}
	return s.takeRepeat(string(last.Code))
}

// mayDial reports whether there is time to try another engine.
func (s *streamExchange) mayDial(now time.Time) bool {
	return s.route.Objective <= 0 || now.Sub(s.call.Arrived) < time.Duration(dialPart*float64(s.route.Objective))
}

// unreachable keeps this request from an engine that couldn't be connected to,
// and from the others of its zone if that isn't this host's own: a link that is
// cut leads to all of them.
func (s *streamExchange) unreachable(now time.Time, u Upstream) {
	s.dialed = append(s.dialed, u.ID)
	s.avoid = append(s.avoid, u.ID)
	if u.Zone == s.engines.zone {
		return
	}
	for _, other := range s.acceptingUpstreams(now) {
		if other.Zone == u.Zone && other.ID != u.ID {
			s.avoid = append(s.avoid, other.ID)
		}
	}
	s.fleet.MarkZoneUnreachable(now, s.service.Name, u.Zone)
	s.peers.notifyOwnCell()
}

// untried reports whether an engine is left that hasn't been tried. Those that
// were only guessed to be out of reach are tried when there are no others.
func (s *streamExchange) untried(now time.Time) bool {
	if len(s.avoid) == 0 {
		return true
	}
	takers := s.acceptingUpstreams(now)
	without := func(tried []member.UpstreamID) bool {
		return slices.ContainsFunc(takers, func(u Upstream) bool { return !slices.Contains(tried, u.ID) })
	}
	if without(s.avoid) {
		return true
	}
	s.avoid = slices.Clone(s.dialed)
	return without(s.dialed)
}

// place finds an engine, or says why there is none.
func (s *streamExchange) place(ctx context.Context) (Upstream, Refusal, bool) {
	now := s.now()
	if s.sent > 0 {
		s.versions.set(s.rollouts.Repeat(s.service.Name))
	}
	if !s.untried(now) {
		takers := s.acceptingUpstreams(now)
		return Upstream{}, s.refuseNoUpstream(now, takers, s.shortestWait(now, takers, nil)), false
	}
	if s.backoffs.Any() {
		candidates := s.Forwarder.candidates(now, s.service.Name)
		if takers := s.acceptingUpstreams(now); len(takers) > 0 && len(candidates) == 0 {
			return Upstream{}, s.refuseNoUpstream(now, takers, s.shortestWait(now, takers, nil)), false
		}
		// One whose backoff has just ended isn't listed until the next tick.
		layout, own := s.peers.cellLayout()
		s.engines.setAvailable(now, s.service.Name, s.placedOn(now, s.service.Name, layout, own))
	}
	p := s.call.Prompt
	r := policy.Request{
		Run: s.runID(), Route: policyRoute(s.route), Account: s.account.Name,
		// The policy ranks upwards.
		Priority: int(LeastUrgent - s.urgency),
		Prompt:   max(p.Tokens, 1), Limit: p.MaxOutputTokens, Prefix: p.PrefixHash, PrefixTokens: p.PrefixTokens,
		Bytes: len(s.call.Body), Objective: s.route.Objective, AvoidAlso: s.avoid, Zones: s.zones,
		OnlyGroup: string(s.versions.get().Only), ButGroup: string(s.versions.get().But),
		Arrived: s.call.Arrived, Deadline: s.call.Arrived.Add(s.route.Objective),
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
	s.journal.Request(s.call.ID, "placed", "upstream", u.ID, "waited", d.Waited, "first_foreseen", d.FirstAfter, "memory_foreseen", d.Memory, "runs", d.Batch, "zone", u.Zone, "skipped", s.skipped, "prompt", p.Tokens, "limit", p.MaxOutputTokens, "hint", p.ExpectedOutputTokens, "list_revision", s.fleet.Revision(), "contact_age", s.ContactAge(now))
	return u, Refusal{}, true
}

// placePlain picks an upstream for a stream that isn't an engine's.
func (s *streamExchange) placePlain(ctx context.Context) (Upstream, Refusal, bool) {
	u, none, found := s.selectUpstream(ctx, s.avoid, s.sent > 0)
	if !found {
		return u, none, false
	}
	s.plain.done(s.now(), u.ID, 0, false)
	return u, Refusal{}, true
}

func (s *streamExchange) noPlace(ctx context.Context, d policy.Decision) Refusal {
	switch why := endingOf(ctx); why {
	case callerLeft:
		return Refusal{Code: CodeCallerLeft}
	case hostStopped:
		return Refusal{Code: why.code(), RetryAfter: s.retryStopping(s.now())}
	case heldBack:
		return quarantineRefusal
	}
	wait := min(max(d.RetryAfter, minRetryAfter), maxRetryAfter)
	if d.Reason == policy.ReasonNoEngine {
		return Refusal{Code: CodeNoUpstream, RetryAfter: wait}
	}
	return Refusal{Code: CodeOverloaded, RetryAfter: wait}
}

func policyRoute(r Route) ServiceName { return ServiceName(r.Name) }

// free gives the run's place back; whole says that its length is known.
func (s *streamExchange) free(whole bool) {
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
	out := &UpstreamRequest{Call: s.call, Account: s.account.Name, TimeLeft: s.left(s.now()), Urgency: runUrgency, Continue: c}
	return s.sendTo(ctx, u, out)
}

// judge says what a send that brought no stream means for the caller, and marks
// the upstream accordingly.
func (s *streamExchange) judge(ctx context.Context, u Upstream, a *Response, err error) Refusal {
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
		s.unreachable(now, u)
		return Refusal{Code: CodeNoUpstream, RetryAfter: retryUnknown}
	case endingOf(ctx) == callerLeft:
		return Refusal{Code: CodeCallerLeft, MayHaveRun: true}
	case ctx.Err() != nil:
		return Refusal{Code: endingOf(ctx).code(), MayHaveRun: !errors.Is(err, ErrNotSent)}
	case errors.Is(err, errFirstEventLate):
		// The engine counts as failing already.
		return Refusal{Code: CodeLost, MayHaveRun: true}
	case err != nil:
		s.recordEngineFailure(now, u.ID, "it lost a request")
		s.recordBrokenConnection(ctx, now, u, time.Time{}, err)
		return Refusal{Code: CodeLost, MayHaveRun: true}
	case a.WrongInstance:
		s.fleet.MarkLeaving(now, u.ID, 0, true)
		s.dialed = append(s.dialed, u.ID)
		s.avoid = append(s.avoid, u.ID)
		return Refusal{Code: CodeNoUpstream, RetryAfter: retryUnknown}
	default:
		return s.refuseRejected(now)
	}
}
