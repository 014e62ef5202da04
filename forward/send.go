// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/shedpath/shedpath/backoff"
	"github.com/shedpath/shedpath/eligibility"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/rejection"
)

// All requests to upstreams are sent from this file. It checks at the moment of sending
// whether the upstream may receive the request, and processes the signals that the response
// carries about the upstream.

// notSentError says why a request was not sent to its upstream. It matches ErrNotSent.
type notSentError struct{ eligibility.Verdict }

func (e *notSentError) Error() string { return fmt.Sprintf("not sent: %v", e.Verdict) }

func (e *notSentError) Is(target error) bool { return target == ErrNotSent }

// notSentVerdict returns the verdict of a notSentError in the chain of err; false if there is none.
func notSentVerdict(err error) (eligibility.Verdict, bool) {
	var kept *notSentError
	if errors.As(err, &kept) {
		return kept.Verdict, true
	}
	return eligibility.Verdict{}, false
}

// EligibilityState returns what the list of upstreams says about whether requests may be sent to
// an upstream.
func (f *Fleet) EligibilityState(now time.Time, id member.UpstreamID) eligibility.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.upstreams[id]
	if k == nil {
		return eligibility.State{Unknown: true}
	}
	zone := f.zones[k.Zone]
	return eligibility.State{
		Leaving: k.Leaving, Unusable: k.unusable,
		ZoneOutOfService: zone.OutOfService, ZoneClosed: zone.OutOfService && now.Sub(zone.learnedAt) > handoverGrace,
	}
}

// eligibilityState returns what this host knows about whether requests may be sent to an upstream,
// except for announced rate limits, which a permit covers.
func (f *Forwarder) eligibilityState(now time.Time, u Upstream) eligibility.State {
	s := f.fleet.EligibilityState(now, u.ID)
	s.Backoff, s.LimitWait = f.backoffs.Delay(now, u.ID), f.rejectionDelay(now, u)
	return s
}

// checkEligibility decides whether the request may be sent to an upstream now, apart from the permit
// that a rate-limited upstream needs.
func (x *exchange) checkEligibility(now time.Time, u Upstream, p eligibility.Purpose) eligibility.Verdict {
	s := x.eligibilityState(now, u)
	s.Quarantined, s.RegionBarred = x.mustHoldBack(now), !x.zoneAllowed(u.Zone)
	s.VersionBarred = !x.versions.get().Allows(u.Version) || x.rollouts.Retired(u.Service, u.Version)
	return eligibility.Check(s, p)
}

// authorizeSend decides whether the request may be sent to an upstream now, and obtains the permit
// that a rate-limited upstream needs. isRetry says that another upstream has already received
// the request.
func (x *exchange) authorizeSend(ctx context.Context, u Upstream, isRetry bool) eligibility.Verdict {
	if v := x.checkEligibility(x.now(), u, eligibility.Request); !v.OK() {
		return v
	}
	return x.permitVerdict(ctx, permitRequest{request: x.call.ID, service: &x.service, upstream: u, rank: int(x.urgency), repeat: isRetry})
}

// permitVerdict asks for a permit and returns the verdict on a send that needs nothing else.
func (f *Forwarder) permitVerdict(ctx context.Context, r permitRequest) eligibility.Verdict {
	wait, ok := f.acquirePermit(ctx, r)
	if ok {
		return eligibility.Verdict{}
	}
	return eligibility.Check(eligibility.State{LimitWait: max(wait, 1)}, eligibility.Request)
}

// countForcedSend counts a send to a rate-limited upstream that happens with or without a permit.
func (x *exchange) countForcedSend(ctx context.Context, u Upstream) {
	x.acquirePermit(ctx, permitRequest{service: &x.service, upstream: u, must: true})
}

// sendTo sends the request to an upstream. If the upstream may not receive it now, the error is a
// notSentError.
func (x *exchange) sendTo(ctx context.Context, u Upstream, out *UpstreamRequest) (*Response, error) {
	purpose := eligibility.Request
	if out.Continue != nil && out.Continue.Handle != "" {
		purpose = eligibility.Continuation
	}
	sent := x.now()
	v := x.checkEligibility(sent, u, purpose)
	var ticket backoff.Ticket
	var rejectable rejection.Ticket
	if v.OK() {
		force := v.Overridden != ""
		var wait time.Duration
		if ticket, wait = x.backoffs.Begin(sent, u.ID, force); wait > 0 {
			v = eligibility.Verdict{Reason: eligibility.Backoff, Wait: wait}
		} else if rejectable, wait = x.beginRejectable(sent, u, force); wait > 0 {
			x.backoffs.End(sent, u.ID, ticket, false)
			v = eligibility.Verdict{Reason: eligibility.Limited, Wait: wait}
		}
	}
	x.logVerdict(u, v)
	if !v.OK() {
		return nil, &notSentError{v}
	}
	answer, err := x.transport.Send(ctx, u, out)
	x.rejections.End(x.now(), rejectable, err == nil && answer.NotRun)
	if err != nil || answer.WrongInstance {
		x.backoffs.End(x.now(), u.ID, ticket, false)
		return answer, err
	}
	x.recordReached(u)
	answer.Signals.FromUpstream = answer.Signed || answer.NotRun
	x.recordRefusedRun(u, answer)
	x.applySignals(sent, u, answerToRequest, answer.Signals)
	x.backoffs.End(x.now(), u.ID, ticket, answer.Signed && !answer.NotRun && answer.Status < http.StatusInternalServerError)
	return answer, nil
}

// logVerdict logs and counts a request that isn't sent to its upstream, or is sent despite a reason
// against it.
func (x *exchange) logVerdict(u Upstream, v eligibility.Verdict) {
	switch {
	case !v.OK():
		x.journal.Request(x.call.ID, "not sent", "upstream", u.ID, "why", v.Reason, "wait", v.Wait)
	case v.Overridden != "":
		x.journal.Request(x.call.ID, "sent all the same", "upstream", u.ID, "despite", v.Overridden)
	default:
		return
	}
	x.observer.Send(v)
}

// requestMove asks an engine to copy a run's memory, and processes the signals in the reply.
func (x *exchange) requestMove(ctx context.Context, from Upstream, r MoveRequest) (MoveResult, error) {
	x.countControlCall(ctx, from)
	sent := x.now()
	result, err := x.transport.Move(ctx, from, r)
	x.applySignals(sent, from, answerToMove, result.Signals)
	return result, err
}

// discardCopy frees a copy of a run's memory, and processes the signals in the reply.
func (x *exchange) discardCopy(ctx context.Context, at Upstream, handle string) error {
	x.countControlCall(ctx, at)
	sent := x.now()
	signals, err := x.transport.Discard(ctx, at, handle)
	x.applySignals(sent, at, answerToDiscard, signals)
	return err
}

// countControlCall counts a call about a run, which goes to the run's engine even if a backoff or
// limit forbids other requests.
func (x *exchange) countControlCall(ctx context.Context, u Upstream) {
	x.countForcedSend(ctx, u)
	if v := eligibility.Check(x.eligibilityState(x.now(), u), eligibility.Control); v.Overridden != "" {
		x.observer.Send(v)
	}
}

// checkHealth asks an upstream for its health, unless nothing may be sent to it now for that purpose.
func (f *Forwarder) checkHealth(ctx context.Context, s *Service, u Upstream, p eligibility.Purpose) (Health, error) {
	sent := f.now()
	v := eligibility.Check(f.eligibilityState(sent, u), p)
	if v.OK() {
		// If permits are scarce, requests go before health checks.
		v = f.permitVerdict(ctx, permitRequest{service: s, upstream: u, rank: int(LeastUrgent), repeat: true})
	}
	if !v.OK() {
		f.observer.Send(v)
		return Health{}, &notSentError{v}
	}
	rejectable, wait := f.beginRejectable(sent, u, false)
	if wait > 0 {
		return Health{}, &notSentError{eligibility.Verdict{Reason: eligibility.Limited, Wait: wait}}
	}
	health, err := f.transport.Health(ctx, u, p, s.HealthPath)
	f.rejections.End(f.now(), rejectable, err == nil && health.Rejected)
	if err == nil {
		f.applySignals(sent, u, answerToHealth, health.Signals)
	}
	return health, err
}

// requestReport asks an engine for its own report of its load, under the conditions of a health check.
func (f *Forwarder) requestReport(ctx context.Context, s *Service, u Upstream) (EngineReport, error) {
	sent := f.now()
	v := eligibility.Check(f.eligibilityState(sent, u), eligibility.Probe)
	if v.OK() {
		v = f.permitVerdict(ctx, permitRequest{service: s, upstream: u, rank: int(LeastUrgent), repeat: true})
	}
	if !v.OK() {
		f.observer.Send(v)
		return EngineReport{}, &notSentError{v}
	}
	report, err := f.transport.Report(ctx, u)
	if err == nil {
		if report.Leaving && report.Check() == nil {
			f.fleet.setExpectedEnd(f.now(), u.ID, u.Incarnation, report.LeavesIn)
		}
		f.applySignals(sent, u, answerToReport, report.Signals)
	}
	return report, err
}

// maxBackoffJitter bounds the random time that is added to a backoff, so that hosts which received
// it together don't return together. For short backoffs the bound is a quarter of the backoff.
const maxBackoffJitter = 500 * time.Millisecond

// recordBackoff records that an upstream asked this host for a backoff of d. It reports whether the
// host wasn't already in a backoff from the upstream.
func (f *Forwarder) recordBackoff(now time.Time, u Upstream, d time.Duration) bool {
	if f.backoffs.Record(now, u.ID, int64(u.Incarnation), d, backoffJitter(d)) {
		return false
	}
	f.requestRelist()
	// Under overload, every upstream asks for backoff again and again. Notices to the peers are
	// rate-limited; what isn't announced at once goes out with the next periodic share.
	if f.backoffNoticeLimiter.Allow(now, "") {
		f.peers.notifyAll()
	}
	return true
}

// receivePeerBackoff records that an upstream asked a peer for backoff.
func (f *Forwarder) receivePeerBackoff(now time.Time, from member.HostID, mark backoff.Mark) {
	if !f.fleet.ReceiveIncarnation(mark.Upstream, Incarnation(mark.Incarnation)) || !f.backoffs.RecordPeer(now, from, mark, backoffJitter(mark.Remaining)) {
		return
	}
	f.requestRelist()
	if f.signalLogLimiter.Allow(now, mark.Upstream) {
		f.journal.HostEvent("upstream asks several hosts for backoff", "upstream", mark.Upstream, "peer", from, "for", mark.Remaining)
	}
}

// requestRelist makes Run refresh at once which engines accept work, so that runs waiting for an
// engine that no longer does are placed elsewhere.
func (f *Forwarder) requestRelist() {
	select {
	case f.relistRequested <- struct{}{}:
	default:
	}
}

// backoffJitter returns a random addition to a backoff of d.
func backoffJitter(d time.Duration) time.Duration { return rand.N(min(maxBackoffJitter, d/4) + 1) }

// candidates returns the service's upstreams that this request may be sent to, before limits are
// checked.
func (x *exchange) candidates(now time.Time, service ServiceName) []Upstream {
	return x.filterUpstreams(x.Forwarder.candidates(now, service))
}

// candidates returns the service's upstreams that accept work and aren't in a backoff. It checks
// neither rate limits nor how many requests an upstream may get right after its backoff.
func (f *Forwarder) candidates(now time.Time, service ServiceName) []Upstream {
	if !f.backoffs.HasUpstreams() {
		return f.fleet.Available(now, service)
	}
	return f.fleet.AvailableExcept(now, service, func(id member.UpstreamID) bool { return f.backoffs.Remaining(now, id) > 0 })
}

// BackoffEntries lists the upstreams that are in a backoff or returning from one.
func (f *Forwarder) BackoffEntries() []backoff.Status { return f.backoffs.Statuses(f.now()) }
