// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/shedpath/shedpath/admission"
	"github.com/shedpath/shedpath/eligibility"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/rollout"
	"github.com/shedpath/shedpath/spool"
)

// streamExchange serves one streaming request. It relays the events of one engine after another
// when the run is moved or resumed.
type streamExchange struct {
	*exchange
	// run is the place that the request holds on an engine; nil while it holds none.
	run *ownRun
	// spool buffers what the caller hasn't read yet; nil before the answer starts.
	spool *spool.Spool
	// cancel ends the context under which the request is served.
	cancel context.CancelFunc
	// lastEventID is the id of the last event that the caller has, at first from an earlier
	// answer. eventCount is how many events were passed on.
	lastEventID string
	eventCount  int
	// engineFirstEventAt is when the current engine's first event came; zero before.
	engineFirstEventAt time.Time
	// source is the engine that the stream comes from. While a move is prepared, the engine of run is
	// the target already.
	source Upstream
	// carrier is the peer that carries the stream from there; empty for a connection of this host.
	carrier member.HostID
	// spoolDelayed says that the caller held up the last event.
	spoolDelayed bool
	// initialEngine is the engine to which a new run was last sent, and initialSentAt when that
	// was. Engines that resume the stream or take over a moved run are not recorded here.
	initialEngine Upstream
	initialSentAt time.Time
	// survivalRecorded is set once a run of the request has lasted long enough after its first
	// event to show that the request doesn't crash engines.
	survivalRecorded bool
	// lastEventAt is when the last event was passed on; zero before the first.
	lastEventAt time.Time
	// timeToFirstEvent is the time from the request's arrival to its first event.
	timeToFirstEvent time.Duration
	// longestGap is the longest time between two events.
	longestGap time.Duration
	// moveCount is how often the run was continued after it was stopped for a move.
	moveCount int
	// failedDials lists the engines that could not be connected to or whose address now belongs
	// to another upstream. excluded lists these, the engines that are presumed unreachable, and
	// those that rejected the request or broke off its run.
	failedDials, excluded []member.UpstreamID
	// attempts counts the engines that may have run the request, and rejections those that
	// reported that they didn't.
	attempts, rejections int
	// retryReserved is set if the next retry was already taken from the shared budget.
	retryReserved bool
	// mayHaveRun is set if an engine may have worked on the request.
	mayHaveRun bool
	// callerErr is the error of the caller's connection; nil while it works.
	callerErr error
}

const (
	// maxDials bounds the upstreams that one request is tried on. A refused connection takes
	// a millisecond or two, and after an outage of the upstream list half of the upstreams may be
	// gone.
	maxDials = 12
	// dialTimeFraction is the fraction of the route's objective after which no further upstream
	// is tried. The rest is needed to process the request.
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
	for dials := 0; dials < maxDials && (dials < maxConnectAttempts || s.mayDial(x.now())); dials++ {
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
			s.recordRolloutAnswer(s.now(), u, rollout.TimeToFirstEvent, true, 0)
		}
		s.releasePlace(false)
		last = s.classifyFailure(ctx, u, answer, err)
		if !s.mayTryAnother(ctx, u, last, err == nil && answer.NotRun) {
			break
		}
	}
	s.refuse(s.withQuarantineCode(x.now(), s.markMayHaveRun(last)), "service", x.service.Name, "sent", s.attempts)
}

// mayTryAnother reports whether the request may be sent to another engine after u brought no
// stream. notRun is set if u reported that it didn't run the request.
func (s *streamExchange) mayTryAnother(ctx context.Context, u Upstream, last Refusal, notRun bool) bool {
	s.mayHaveRun = s.mayHaveRun || last.MayHaveRun
	switch {
	case last.Code == CodeCallerLeft, last.MayHaveRun && !s.mayRunAgain(ctx, last.Code), s.mustHoldBack(s.now()):
		return false
	case !last.MayHaveRun && !notRun:
		// The request never reached the engine.
		return true
	}
	s.excluded = append(s.excluded, u.ID)
	if notRun {
		s.rejections++
		return s.rejections < maxRejections && s.takeRetryBudget(string(last.Code))
	}
	return s.takeRetry(string(last.Code))
}

// mayDial reports whether there is time to try another upstream.
func (x *exchange) mayDial(now time.Time) bool {
	return x.route.Objective <= 0 || now.Sub(x.call.Arrived) < time.Duration(dialTimeFraction*float64(x.route.Objective))
}

// excludeUnreachable excludes an engine that could not be connected to. If the engine is in
// another zone, all engines of that zone are excluded, because a cut link cuts off every one of
// them.
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

// hasUntriedEngine reports whether an engine is left to try. Once all are excluded, it reduces
// the exclusions to the failed dials, so that the engines that were only presumed unreachable
// are tried as well.
func (s *streamExchange) hasUntriedEngine(now time.Time) bool {
	if len(s.excluded) == 0 {
		return true
	}
	takers := s.acceptingUpstreams(now)
	anyBesides := func(tried []member.UpstreamID) bool {
		return slices.ContainsFunc(takers, func(u Upstream) bool { return !slices.Contains(tried, u.ID) })
	}
	if anyBesides(s.excluded) {
		return true
	}
	s.excluded = slices.Clone(s.failedDials)
	return anyBesides(s.failedDials)
}

// place finds an engine for the request. Without one it returns the refusal to answer with.
func (s *streamExchange) place(ctx context.Context) (Upstream, Refusal, bool) {
	now := s.now()
	if s.attempts > 0 {
		s.versions.set(s.rollouts.RetryFilter(s.service.Name))
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
		// An engine whose backoff has just ended is missing from the list until the next refresh.
		layout, own := s.peers.cellLayout()
		s.engines.setAvailable(now, s.service.Name, s.placementEngines(now, s.service.Name, layout, own))
	}
	if s.service.Engine == nil {
		return s.placePlain(ctx)
	}
	r := s.policyRequest()
	u, run, refusal, ok := s.placeWithPermit(ctx, now, r)
	if !ok {
		return u, refusal, false
	}
	s.run = run.ownRun
	d, p := run.decision, s.call.Prompt
	s.shareRunChange(u)
	s.journal.Request(s.call.ID, "placed", "upstream", u.ID, "waited", d.Waited, "first_foreseen", d.TimeToFirstToken, "memory_foreseen", d.PeakMemory, "runs", d.BatchSize, "zone", u.Zone, "skipped", s.skippedUpstreams, "prompt", p.Tokens, "limit", p.MaxOutputTokens, "hint", p.ExpectedOutputTokens, "list_revision", s.fleet.Revision(), "contact_age", s.ContactAge(now))
	s.logPace(now, u, r.Run)
	return u, Refusal{}, true
}

// policyRequest returns the request as the policy sees it.
func (s *streamExchange) policyRequest() policy.Request {
	p := s.call.Prompt
	return policy.Request{
		Run: s.runID(), Route: policyRoute(s.route), Account: s.account.Name,
		Priority:     s.placementPriority(),
		PromptTokens: max(p.Tokens, 1), MaxOutputTokens: p.MaxOutputTokens, Prefix: p.PrefixHash, PrefixTokens: p.PrefixTokens,
		QueueBytes: len(s.call.Body), Objective: s.route.Objective, ExcludedEngines: s.excluded, AllowedZones: s.zones,
		OnlyGroup: string(s.versions.get().Only), ExcludedGroup: string(s.versions.get().Except),
		ArrivedAt: s.call.Arrived, Deadline: s.call.Arrived.Add(s.route.Objective),
	}
}

// placementPriority returns the request's priority in the policy, where more urgent requests have a
// higher one. In a zone's queue, the route's urgency decides between requests of the same urgency:
// an account's urgency replaces that of the route, and routes with different objectives would
// otherwise be equal for accounts that have one.
func (s *streamExchange) placementPriority() int {
	priority := int(LeastUrgent - s.urgency)
	if !s.settings.Placement.ZoneAdmission {
		return priority
	}
	return priority*(int(LeastUrgent)+1) + int(LeastUrgent-s.route.Urgency)
}

// placePlain picks an upstream for a stream whose service isn't run by engines.
func (s *streamExchange) placePlain(ctx context.Context) (Upstream, Refusal, bool) {
	u, none, found := s.selectUpstream(ctx, s.excluded, s.attempts > 0)
	if !found {
		return u, none, false
	}
	s.plainChooser.done(s.now(), u.ID, 0, false)
	return u, Refusal{}, true
}

// placementRefusal returns the refusal of a request that got no place.
func (s *streamExchange) placementRefusal(ctx context.Context, d policy.Decision) Refusal {
	switch cause := endCauseOf(ctx); cause {
	case endCallerLeft:
		return Refusal{Code: CodeCallerLeft}
	case endHostStopped:
		return Refusal{Code: cause.code(), RetryAfter: s.stoppingRetryAfter(s.now())}
	case endQuarantined:
		return quarantineRefusal
	}
	if d.Reason == admission.ReasonForecast {
		return Refusal{Code: CodeOverloaded, RetryAfter: d.RetryAfter}
	}
	wait := min(max(d.RetryAfter, minRetryAfter), maxRetryAfter)
	if d.Reason == policy.ReasonNoEngine {
		return Refusal{Code: CodeNoUpstream, RetryAfter: wait}
	}
	return Refusal{Code: CodeOverloaded, RetryAfter: wait}
}

func policyRoute(r Route) ServiceName { return ServiceName(r.Name) }

// releasePlace frees the place of the run, if there is one. whole reports that the answer is
// complete, so that its length is known.
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

// runUrgency is the urgency sent to engines with every run, whatever its route or account;
// urgency only orders who gets a place on this host. An engine whose memory is full evicts a
// run of lower urgency in mid-stream to admit another. The evicted stream is late, and the
// engine reads all of it again.
const runUrgency = DefaultUrgency

// send sends the request to an engine. c says where to continue; nil starts a new run.
func (s *streamExchange) send(ctx context.Context, u Upstream, c *Continuation) (*Response, error) {
	out := &UpstreamRequest{Call: s.call, Account: s.account.Name, TimeLeft: s.timeLeft(s.now()), Urgency: runUrgency, Continue: c}
	return s.sendTo(ctx, u, out)
}

// classifyFailure returns the refusal for a send that brought no stream, closes its answer and
// records the failure of the upstream.
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
		s.recordUnreached(now, u, err)
		s.excludeUnreachable(now, u)
		return Refusal{Code: CodeNoUpstream, RetryAfter: defaultRetryAfter}
	case endCauseOf(ctx) == endCallerLeft:
		return Refusal{Code: CodeCallerLeft, MayHaveRun: true}
	case ctx.Err() != nil:
		return Refusal{Code: endCauseOf(ctx).code(), MayHaveRun: !errors.Is(err, ErrNotSent)}
	case errors.Is(err, errFirstEventLate):
		// The watch of the first event has marked the engine as failing, unless its other
		// runs make progress.
		return Refusal{Code: CodeLost, MayHaveRun: true}
	case err != nil && s.linkBroken(ctx, u):
		s.journal.Request(s.call.ID, "link broke", "upstream", u.ID, "err", err)
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
