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
)

// Everything that goes to an upstream goes through here: it is judged at the moment of
// sending, and what the answer tells about the upstream is taken in.

// notSentError says why a request was not sent to its upstream. It is an ErrNotSent.
type notSentError struct{ eligibility.Verdict }

func (e *notSentError) Error() string { return fmt.Sprintf("not sent: %v", e.Verdict) }

func (e *notSentError) Is(target error) bool { return target == ErrNotSent }

// notSentVerdict returns the verdict of a keptBackError.
func notSentVerdict(err error) (eligibility.Verdict, bool) {
	var kept *notSentError
	if errors.As(err, &kept) {
		return kept.Verdict, true
	}
	return eligibility.Verdict{}, false
}

// EligibilityState is what the fleet knows that bears on sending to an upstream.
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
		ZoneOut: zone.OutOfService, ZoneClosed: zone.OutOfService && now.Sub(zone.learnedAt) > handoverGrace,
	}
}

// eligibilityState is what this host knows that bears on sending to an upstream, but for the
// permit that a bounded one needs.
func (f *Forwarder) eligibilityState(now time.Time, u Upstream) eligibility.State {
	s := f.fleet.EligibilityState(now, u.ID)
	s.Backoff = f.backoffs.Wait(now, u.ID)
	return s
}

// checkEligibility decides whether the request may be sent to an upstream now, but for a permit.
func (x *exchange) checkEligibility(now time.Time, u Upstream, p eligibility.Purpose) eligibility.Verdict {
	s := x.eligibilityState(now, u)
	s.Quarantined, s.RegionBarred = x.held(now), !x.zoneAllowed(u.Zone)
	s.VersionBarred = !x.versions.get().Allows(u.Version) || x.rollouts.Retired(u.Service, u.Version)
	return eligibility.Judge(s, p)
}

// authorizeSend decides whether the request may be sent to an upstream now, and gets the permit that
// a bounded one needs. repeat says that another upstream has had it.
func (x *exchange) authorizeSend(ctx context.Context, u Upstream, repeat bool) eligibility.Verdict {
	if v := x.checkEligibility(x.now(), u, eligibility.Request); !v.OK() {
		return v
	}
	return x.permitVerdict(ctx, permitRequest{request: x.call.ID, service: &x.service, upstream: u, rank: int(x.urgency), repeat: repeat})
}

// permitVerdict is the verdict on something that only a permit may be missing for.
func (f *Forwarder) permitVerdict(ctx context.Context, r permitRequest) eligibility.Verdict {
	wait, ok := f.permit(ctx, r)
	if ok {
		return eligibility.Verdict{}
	}
	return eligibility.Judge(eligibility.State{Limit: max(wait, 1)}, eligibility.Request)
}

// countForcedSend has something be counted that goes to a bounded upstream in any case.
func (x *exchange) countForcedSend(ctx context.Context, u Upstream) {
	x.permit(ctx, permitRequest{service: &x.service, upstream: u, must: true})
}

// sendTo sends the request to an upstream, unless that may not get it now.
func (x *exchange) sendTo(ctx context.Context, u Upstream, out *UpstreamRequest) (*Response, error) {
	purpose := eligibility.Request
	if out.Continue != nil && out.Continue.Handle != "" {
		purpose = eligibility.Continuation
	}
	sent := x.now()
	v := x.checkEligibility(sent, u, purpose)
	var ticket backoff.Ticket
	if v.OK() {
		var wait time.Duration
		if ticket, wait = x.backoffs.Begin(sent, u.ID, v.Despite != ""); wait > 0 {
			v = eligibility.Verdict{Reason: eligibility.Backoff, Wait: wait}
		}
	}
	x.logVerdict(u, v)
	if !v.OK() {
		return nil, &notSentError{v}
	}
	answer, err := x.transport.Send(ctx, u, out)
	if err != nil || answer.WrongInstance {
		x.backoffs.End(x.now(), u.ID, ticket, false)
		return answer, err
	}
	answer.Signals.Own = answer.Signed || answer.NotRun
	x.takeSignals(sent, u, answerToRequest, answer.Signals)
	x.backoffs.End(x.now(), u.ID, ticket, answer.Signed && !answer.NotRun && answer.Status < http.StatusInternalServerError)
	return answer, nil
}

// logVerdict tells of a request that isn't sent to its upstream, or is all the same.
func (x *exchange) logVerdict(u Upstream, v eligibility.Verdict) {
	switch {
	case !v.OK():
		x.journal.Request(x.call.ID, "not sent", "upstream", u.ID, "why", v.Reason, "wait", v.Wait)
	case v.Despite != "":
		x.journal.Request(x.call.ID, "sent all the same", "upstream", u.ID, "despite", v.Despite)
	default:
		return
	}
	x.observer.Send(v)
}

// requestMove has a run's memory copied, and takes in what the answer tells about the engine.
func (x *exchange) requestMove(ctx context.Context, from Upstream, r MoveRequest) (MoveResult, error) {
	x.countControlCall(ctx, from)
	sent := x.now()
	moved, err := x.transport.Move(ctx, from, r)
	x.takeSignals(sent, from, answerToMove, moved.Signals)
	return moved, err
}

// discardCopy frees a copy, and takes in what the answer tells about the engine.
func (x *exchange) discardCopy(ctx context.Context, at Upstream, handle string) error {
	x.countControlCall(ctx, at)
	sent := x.now()
	told, err := x.transport.Discard(ctx, at, handle)
	x.takeSignals(sent, at, answerToDiscard, told)
	return err
}

// countControlCall counts a call about a run that goes to its engine whatever that asked for.
func (x *exchange) countControlCall(ctx context.Context, u Upstream) {
	x.countForcedSend(ctx, u)
	if v := eligibility.Judge(x.eligibilityState(x.now(), u), eligibility.Control); v.Despite != "" {
		x.observer.Send(v)
	}
}

// checkHealth asks an upstream how it is, unless it may not be asked now.
func (f *Forwarder) checkHealth(ctx context.Context, s *Service, u Upstream) (Health, error) {
	sent := f.now()
	v := eligibility.Judge(f.eligibilityState(sent, u), eligibility.Probe)
	if v.OK() {
		// Where requests want the upstream's permits, they go first.
		v = f.permitVerdict(ctx, permitRequest{service: s, upstream: u, rank: int(LeastUrgent), repeat: true})
	}
	if !v.OK() {
		f.observer.Send(v)
		return Health{}, &notSentError{v}
	}
	health, err := f.transport.Health(ctx, u, s.HealthPath)
	if err == nil {
		f.takeSignals(sent, u, answerToHealth, health.Signals)
	}
	return health, err
}

// maxBackoffJitter is the most that is added to a backoff, so that hosts which were asked
// together don't return together; it is a part of the backoff where that is shorter.
const maxBackoffJitter = 500 * time.Millisecond

// recordBackoff takes in that an upstream wants nothing from this host for a while. It reports
// whether that is news.
func (f *Forwarder) recordBackoff(now time.Time, u Upstream, d time.Duration) bool {
	if f.backoffs.Ask(now, u.ID, int64(u.Incarnation), d, backoffJitter(d)) {
		return false
	}
	f.requestRelist()
	// Under overload every upstream asks again and again; what isn't told at once goes with
	// the next share.
	if f.backoffNoticeLimiter.allow(now, "") {
		f.peers.notifyAll()
	}
	return true
}

// receivePeerBackoff takes in that an upstream wants nothing from a peer for a while.
func (f *Forwarder) receivePeerBackoff(now time.Time, from member.HostID, mark backoff.Mark) {
	if !f.fleet.ReceiveIncarnation(mark.Upstream, Incarnation(mark.Life)) || !f.backoffs.Receive(now, from, mark, backoffJitter(mark.For)) {
		return
	}
	f.requestRelist()
	if f.signalLogLimiter.allow(now, mark.Upstream) {
		f.journal.HostEvent("upstream asks several hosts for backoff", "upstream", mark.Upstream, "peer", from, "for", mark.For)
	}
}

// requestRelist has the placement hear at once which engines take work: what waits for one
// that doesn't any more goes elsewhere.
func (f *Forwarder) requestRelist() {
	select {
	case f.relistRequested <- struct{}{}:
	default:
	}
}

func backoffJitter(d time.Duration) time.Duration { return rand.N(min(maxBackoffJitter, d/4) + 1) }

// candidates are those of a service's upstreams that this request may go to.
func (x *exchange) candidates(now time.Time, service ServiceName) []Upstream {
	return x.filterUpstreams(x.Forwarder.candidates(now, service))
}

// candidates are the upstreams of a service that a request may go to, but for limits and
// the windows of those that return after a backoff.
func (f *Forwarder) candidates(now time.Time, service ServiceName) []Upstream {
	if !f.backoffs.Any() {
		return f.fleet.Available(now, service)
	}
	return f.fleet.AvailableExcept(now, service, func(id member.UpstreamID) bool { return f.backoffs.Remaining(now, id) > 0 })
}

// BackoffEntries lists the upstreams that asked this host for backoff.
func (f *Forwarder) BackoffEntries() []backoff.Entry { return f.backoffs.Entries(f.now()) }
