// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/shedpath/shedpath/admission"
	"github.com/shedpath/shedpath/cell"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// AdmissionOutcome is the outcome of a request that asked for room in its zone.
type AdmissionOutcome string

// The outcomes of requests that asked for room in their zone.
const (
	AdmissionGranted AdmissionOutcome = "granted"
	AdmissionRefused AdmissionOutcome = "refused"
	// AdmissionLeft means that the caller left while the request waited.
	AdmissionLeft AdmissionOutcome = "left"
	// AdmissionFallback means that the request went on to the host's own queue because the
	// responsible host failed, stopped or didn't answer.
	AdmissionFallback AdmissionOutcome = "fallback"
)

const (
	// admissionCheckInterval is how often a host that waits for another's decision checks that the
	// other is still responsible.
	admissionCheckInterval = 50 * time.Millisecond
	// admissionFailurePause is how long a host that didn't answer isn't asked. After three of
	// these pauses a host that fell silent no longer counts as live.
	admissionFailurePause = 500 * time.Millisecond
	// admissionReplySlack is how long after the time at which a request must be placed a reply is
	// still awaited: the decision falls up to 5 ms late, and a reply takes a few more.
	admissionReplySlack = 50 * time.Millisecond
	// maxAdmissionsAsked bounds the requests of this host that wait at another, because each takes
	// one of the 256 concurrent calls of the connection that also carries the shares.
	maxAdmissionsAsked = 128
)

var (
	errNotResponsible  = errors.New("the host is no longer responsible")
	errAdmissionFailed = errors.New("the host failed to answer a recent request")
	errTooManyAsked    = errors.New("too many requests of this host wait at others")
)

// placeInZone places a new run in the order of the zone's queue. It places the run itself while
// the zone has room and no request of the same or a higher priority waits; then it asks other
// zones, and then the host that is responsible for the zone's requests. A host whose own zone has
// no engines, as while it is drained, asks that of another zone. placeInZone returns false if no
// host keeps a queue for the request, which is then for this host's own queue.
func (s *streamExchange) placeInZone(ctx context.Context, now time.Time, r policy.Request, throttled throttledSet, inOwnZone bool, otherZones []member.Zone) (placementResult, bool) {
	target := s.ownCell()
	if !inOwnZone {
		if len(otherZones) == 0 || s.peers.zonesDivided() {
			return placementResult{}, false
		}
		target = cell.ID{Zone: otherZones[0]}
	}
	service := s.service.Name
	request := s.engines.admissionRequest(now, service, r)
	yields := s.admissions.observe(now, service, &request)
	if inOwnZone && !s.admissions.blocks(now, service, r.Priority) {
		if result, ok := s.tryOwnZone(now, r, yields); ok {
			return result, true
		}
	}
	// A request that could be placed but yields to more urgent ones isn't for other zones: a
	// stream between zones breaks when they are partitioned.
	if !inOwnZone || !yields || !s.engines.hasRoom(now, service, r) {
		if result, ok := s.askOtherZones(ctx, r, throttled, otherZones); ok {
			return result, true
		}
	}
	if ctx.Err() != nil {
		return placementResult{decision: policy.Decision{Run: r.Run, Verdict: policy.Refused, Reason: policy.ReasonDeadline}}, true
	}
	if !inOwnZone {
		r.ExcludedEngines = slices.Concat(r.ExcludedEngines, throttled.otherZones)
	}
	if throttled.allExcluded(r.ExcludedEngines, target.Zone) {
		return placementResult{decision: policy.Decision{Run: r.Run, Verdict: policy.Refused, Reason: policy.ReasonQueueFull, RetryAfter: throttled.shortestWait}}, true
	}
	if s.engines.tooLong(service, r) {
		return placementResult{decision: policy.Decision{Run: r.Run, Verdict: policy.Refused, Reason: policy.ReasonTooLong}}, true
	}
	return s.askResponsible(ctx, r, request, target)
}

// tryOwnZone places a run on an engine of the own zone if one has room; if the run yields, only on
// one that reads no prompt.
func (s *streamExchange) tryOwnZone(now time.Time, r policy.Request, yields bool) (placementResult, bool) {
	if yields {
		r.ExcludedEngines = slices.Concat(r.ExcludedEngines, s.engines.readingEngines(now, s.service.Name))
	}
	u, run, d, ok := s.engines.tryPlaceInOwnZone(now, s.service.Name, r)
	return placementResult{upstream: u, run: run, decision: d}, ok
}

// askOtherZones asks hosts of other zones for a place. If some can't be asked, it tries all zones
// by this host's own view.
func (s *streamExchange) askOtherZones(ctx context.Context, r policy.Request, throttled throttledSet, zones []member.Zone) (placementResult, bool) {
	if len(zones) == 0 {
		return placementResult{}, false
	}
	service := s.service.Name
	r.ExcludedEngines = slices.Concat(r.ExcludedEngines, throttled.otherZones)
	grant, found, anyUnreachable := s.requestPlacement(ctx, zones, service, r)
	if found {
		s.registerGrantedEngine(service, grant.Engine)
		if u, run, d, ok := s.engines.placeGranted(s.now(), service, r, grant); ok {
			return placementResult{upstream: u, run: run, decision: d}, true
		}
	}
	if !anyUnreachable {
		return placementResult{}, false
	}
	return s.engines.tryPlaceElsewhere(s.now(), service, r)
}

// tryPlaceElsewhere places a request on an engine of another zone if one has room by this host's
// view.
func (e *enginePlacer) tryPlaceElsewhere(now time.Time, service ServiceName, r policy.Request) (placementResult, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil {
		return placementResult{}, false
	}
	for id, u := range p.poolEngines {
		if u.Zone == e.zone {
			r.ExcludedEngines = append(r.ExcludedEngines, id)
		}
	}
	r.Zone, r.CrossZoneCost = e.zone, crossZoneStartCost
	d, ok := p.pool.TryPlace(now, r)
	if !ok {
		return placementResult{}, false
	}
	return placementResult{upstream: p.poolEngines[d.Engine], run: p.addOwnRun(r, d.Engine), decision: d}, true
}

// askResponsible waits for the decision of the host that is responsible for the zone's requests.
func (s *streamExchange) askResponsible(ctx context.Context, r policy.Request, request admission.Request, target cell.ID) (placementResult, bool) {
	askedAt := s.now()
	request.Caller = admission.Caller(s.fingerprint().String())
	request.Deadline = s.deadline
	request.Restricted = len(r.ExcludedEngines) > 0 || r.OnlyGroup != "" || r.ExcludedGroup != ""
	host := s.responsibleForAdmission(askedAt, s.service.Name, target)
	if host.Zone != target.Zone {
		// No host of the zone is known.
		return placementResult{}, false
	}
	var result placementResult
	var reply AdmitReply
	var err error
	if host.ID == s.peers.self.ID {
		reply = s.awaitAdmission(ctx, s.service.Name, request, func(now time.Time, idleOnly bool) (PlacementGrant, bool) {
			var ok bool
			result, ok = s.tryOwnZone(now, r, idleOnly)
			return PlacementGrant{Engine: result.decision.Engine, TimeToFirstToken: result.decision.TimeToFirstToken}, ok
		})
	} else if reply, err = s.askPeerForAdmission(ctx, host, r, request, target); reply.Engine != "" {
		result, err = s.useAdmission(r, host, reply)
	}
	waited := s.now().Sub(askedAt)
	outcome := AdmissionFallback
	switch {
	case result.run != nil && ctx.Err() != nil:
		// The caller left as the place was granted.
		s.engines.finish(s.now(), s.service.Name, result.run, false)
		outcome, result = AdmissionLeft, placementResult{decision: policy.Decision{Run: r.Run, Verdict: policy.Refused, Reason: policy.ReasonDeadline}}
	case result.run != nil:
		outcome, result.decision.Waited = AdmissionGranted, max(reply.Waited, 1)
	case ctx.Err() != nil:
		outcome, result.decision = AdmissionLeft, policy.Decision{Run: r.Run, Verdict: policy.Refused, Reason: policy.ReasonDeadline}
	case reply.Refused:
		outcome, result.decision = AdmissionRefused, policy.Decision{Run: r.Run, Verdict: policy.Refused, Reason: reply.Reason, RetryAfter: reply.RetryAfter, Waited: waited}
	}
	s.observer.Admission(outcome, waited)
	s.journal.Request(s.call.ID, "asked the zone for room", "outcome", outcome, "host", host.ID, "priority", r.Priority, "waited", waited, "upstream", reply.Engine, "first_foreseen", max(reply.TimeToFirstToken, reply.Forecast), "retry_after", reply.RetryAfter, "err", err)
	return result, outcome != AdmissionFallback
}

// useAdmission records a run on the engine on which a peer granted it a place. If this host can't
// use the engine, it returns the place.
func (s *streamExchange) useAdmission(r policy.Request, host Peer, reply AdmitReply) (placementResult, error) {
	s.registerGrantedEngine(s.service.Name, reply.Engine)
	u, run, d, ok := s.engines.placeGranted(s.now(), s.service.Name, r, reply.PlacementGrant)
	if !ok {
		s.tasks.Go("admission", func() { s.withdrawFrom(host, s.service.Name, r.Run) })
		return placementResult{}, fmt.Errorf("the granted engine %s isn't known", reply.Engine)
	}
	return placementResult{upstream: u, run: run, decision: d}, nil
}

// askPeerForAdmission asks a peer and waits for its reply: until the request can no longer be
// placed in time, or the peer is no longer responsible.
func (s *streamExchange) askPeerForAdmission(ctx context.Context, host Peer, r policy.Request, request admission.Request, target cell.ID) (AdmitReply, error) {
	peers := s.loadPeerPort()
	if peers == nil {
		return AdmitReply{}, errPeersUnavailable
	}
	now := s.now()
	if err := s.admissions.beginAsk(now, host.ID); err != nil {
		return AdmitReply{}, err
	}
	defer s.admissions.endAsk()
	// The peer may expect the prompt to be read sooner than this host does.
	latest := request
	latest.Prefill = 0
	callCtx, cancel := context.WithTimeout(ctx, max(latest.LatestPlacement().Sub(now), 0)+admissionReplySlack)
	defer cancel()
	callCtx, abandon := context.WithCancelCause(callCtx)
	defer abandon(nil)
	s.tasks.Go("admission", func() { s.watchResponsible(callCtx, abandon, host, target) })
	ask := AdmitRequest{PlacementRequest: newPlacementRequest(s.peers.self.ID, s.service.Name, now, r), Caller: request.Caller, TimeLeft: s.timeLeft(now)}
	reply, err := peers.Admit(callCtx, host, ask)
	if err == nil {
		if reply.Engine == "" && !reply.Refused {
			err = errNotResponsible
		}
		return reply, err
	}
	// The host may still have the request in its queue, or a grant for it under way.
	s.tasks.Go("admission", func() { s.withdrawFrom(host, s.service.Name, r.Run) })
	if cause := context.Cause(callCtx); cause != nil {
		err = cause
	}
	if ctx.Err() == nil {
		s.admissions.recordFailure(s.now(), host.ID)
	}
	return AdmitReply{}, err
}

// watchResponsible ends a call when its host is no longer the responsible one.
func (s *streamExchange) watchResponsible(ctx context.Context, abandon context.CancelCauseFunc, host Peer, target cell.ID) {
	tick := time.NewTicker(admissionCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if s.responsibleForAdmission(s.now(), s.service.Name, target).ID != host.ID {
				abandon(errNotResponsible)
				return
			}
		}
	}
}

// withdrawFrom tells a peer that a request no longer waits and uses no place granted to it.
func (f *Forwarder) withdrawFrom(host Peer, service ServiceName, run policy.RunID) {
	peers := f.loadPeerPort()
	if peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
	defer cancel()
	r := AdmitRequest{PlacementRequest: PlacementRequest{From: f.peers.self.ID, Service: service, Run: run}, Withdraw: true}
	if _, err := peers.Admit(ctx, host, r); err != nil {
		// The grant expires by itself, and the request leaves the queue with its connection or
		// when it can no longer be placed in time.
		f.journal.Request(RequestID(run), "request not withdrawn", "peer", host.ID, "err", err)
	}
}

// beginAsk counts a request that waits at a peer. It returns an error if the peer must not be
// asked now.
func (a *zoneAdmissions) beginAsk(now time.Time, host member.HostID) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Before(a.failedUntil[host]) {
		return errAdmissionFailed
	}
	if a.asked >= maxAdmissionsAsked {
		return errTooManyAsked
	}
	a.asked++
	return nil
}

func (a *zoneAdmissions) endAsk() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked--
}

// recordFailure records that a peer didn't answer.
func (a *zoneAdmissions) recordFailure(now time.Time, host member.HostID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.failedUntil == nil {
		a.failedUntil = map[member.HostID]time.Time{}
	}
	maps.DeleteFunc(a.failedUntil, func(_ member.HostID, until time.Time) bool { return !now.Before(until) })
	a.failedUntil[host] = now.Add(admissionFailurePause)
}
