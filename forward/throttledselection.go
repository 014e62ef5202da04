// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"slices"
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// Selection of an upstream while some are throttled, which means that a backoff or a rate
// limit forbids this host to send to them now. Throttled upstreams are skipped. If no others
// are left, the request is refused at once with the time after which to retry.

// selectUpstream picks an upstream that isn't in tried and obtains the permit to send to it.
// isRetry says that another upstream has already received the request. If no upstream is
// left, it returns the refusal for the caller and false.
func (x *exchange) selectUpstream(ctx context.Context, tried []member.UpstreamID, isRetry bool) (Upstream, Refusal, bool) {
	now := x.now()
	if isRetry {
		x.versions.set(x.rollouts.RetryFilter(x.service.Name))
	}
	accepting := x.candidates(now, x.service.Name)
	if len(accepting) == 0 {
		accepting = x.acceptingUpstreams(now)
		return Upstream{}, x.refuseNoUpstream(now, accepting, x.shortestWait(now, accepting, nil)), false
	}
	throttled := x.throttledAmong(now, accepting)
	x.skippedUpstreams = len(throttled)
	excluded := slices.Concat(tried, throttled)
	var scarce []member.UpstreamID
	if !isRetry {
		scarce = x.scarceAmong(now, accepting)
	}
	refusalWait := time.Duration(0)
	for {
		u, found := x.plainChooser.pick(now, accepting, excluded, scarce)
		if !found {
			accepting = x.acceptingUpstreams(now)
			return u, x.refuseNoUpstream(now, accepting, minNonZero(refusalWait, x.shortestWait(now, accepting, tried))), false
		}
		v := x.authorizeSend(ctx, u, isRetry)
		if v.OK() {
			return u, Refusal{}, true
		}
		refusalWait = minNonZero(refusalWait, v.Wait)
		now = x.now()
		x.plainChooser.done(now, u.ID, 0, false)
		excluded = append(excluded, u.ID)
	}
}

// minNonZero returns the shorter of two waits, where zero means no wait is known.
func minNonZero(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// placedRun is a run together with the decision that placed it.
type placedRun struct {
	*ownRun
	decision policy.Decision
}

// placeWithPermit places a run on an engine and obtains the permit to send to that engine. If the
// send isn't allowed, it frees the place, excludes the engine and tries another.
func (s *streamExchange) placeWithPermit(ctx context.Context, now time.Time, r policy.Request) (Upstream, placedRun, Refusal, bool) {
	var refused throttledSet
	for {
		throttled := s.throttledEngines(now)
		s.skippedUpstreams = len(throttled.sameZone) + len(throttled.otherZones)
		throttled.merge(&refused)
		r.ExcludedEngines = slices.Concat(s.excluded, throttled.sameZone)
		p := s.findPlacement(ctx, now, r, throttled)
		if p.decision.Verdict != policy.Granted {
			return p.upstream, placedRun{}, s.placementRefusal(ctx, p.decision), false
		}
		v := s.authorizeSend(ctx, p.upstream, s.attempts > 0)
		if v.OK() {
			return p.upstream, placedRun{p.run, p.decision}, Refusal{}, true
		}
		now = s.now()
		s.engines.finish(now, s.service.Name, p.run, false)
		refused.add(p.upstream, s.peers.self.Zone, v.Wait)
		if ctx.Err() != nil || p.decision.Waited > 0 {
			// The request has already waited for a place; it isn't queued a second time.
			return p.upstream, placedRun{}, s.placementRefusal(ctx, policy.Decision{Verdict: policy.Refused, Reason: policy.ReasonDeadline, RetryAfter: v.Wait}), false
		}
	}
}

// relocate moves a run's place to another engine and obtains the permit to send to that engine.
// If the send isn't allowed, the run's place stays on its present engine.
func (x *exchange) relocate(ctx context.Context, now time.Time, run *ownRun, avoid []member.UpstreamID) (Upstream, bool) {
	throttled := x.throttledEngines(now)
	x.versions.set(x.rollouts.RetryFilter(x.service.Name))
	from := run.engine
	u, found := x.findMoveTarget(ctx, now, run, slices.Concat(avoid, throttled.sameZone), throttled.otherZones)
	if !found {
		return u, false
	}
	if !x.authorizeSend(ctx, u, false).OK() {
		x.engines.returnToEngine(x.now(), x.service.Name, run, from)
		return Upstream{}, false
	}
	x.logPace(now, u, run.request.Run)
	return u, true
}

// throttledSet holds the engines to which this host may not send now, split into those of its
// own zone and those of other zones.
type throttledSet struct {
	sameZone, otherZones []member.UpstreamID
	// shortestWait is the time until one of them may be used; zero if there are none.
	shortestWait time.Duration
	// accepting are the engines that accept new work; nil if no engine can be throttled.
	accepting []Upstream
}

// throttledEngines returns the service's engines to which this host may not send now.
func (x *exchange) throttledEngines(now time.Time) throttledSet {
	var throttled throttledSet
	if !x.mayBeThrottled(now, &x.service) {
		return throttled
	}
	throttled.accepting = x.acceptingUpstreams(now)
	for _, u := range throttled.accepting {
		if wait := x.sendDelay(now, &x.service, u); wait > 0 {
			throttled.add(u, x.peers.self.Zone, wait)
		}
	}
	return throttled
}

// add adds an engine to which this host may send after wait.
func (c *throttledSet) add(u Upstream, ownZone member.Zone, wait time.Duration) {
	c.shortestWait = minNonZero(c.shortestWait, wait)
	if u.Zone == ownZone {
		c.sameZone = append(c.sameZone, u.ID)
	} else {
		c.otherZones = append(c.otherZones, u.ID)
	}
}

// merge adds the engines of another set.
func (c *throttledSet) merge(other *throttledSet) {
	c.sameZone, c.otherZones = append(c.sameZone, other.sameZone...), append(c.otherZones, other.otherZones...)
	c.shortestWait = minNonZero(c.shortestWait, other.shortestWait)
}

// allExcluded reports whether some engine is throttled and every engine that accepts new work
// in a zone is excluded. An empty zone stands for all zones.
func (c *throttledSet) allExcluded(excluded []member.UpstreamID, zone member.Zone) bool {
	return len(c.sameZone)+len(c.otherZones) > 0 && len(c.accepting) > 0 && !slices.ContainsFunc(c.accepting, func(u Upstream) bool {
		return (zone == "" || u.Zone == zone) && !slices.Contains(excluded, u.ID)
	})
}

// throttledAmong returns the given upstreams to which this host may not send now.
func (x *exchange) throttledAmong(now time.Time, upstreams []Upstream) []member.UpstreamID {
	if !x.mayBeThrottled(now, &x.service) {
		return nil
	}
	var ids []member.UpstreamID
	for _, u := range upstreams {
		if x.sendDelay(now, &x.service, u) > 0 {
			ids = append(ids, u.ID)
		}
	}
	return ids
}

// scarceAmong returns the given upstreams whose permits are scarce and may be requested now.
func (x *exchange) scarceAmong(now time.Time, upstreams []Upstream) []member.UpstreamID {
	if !x.limiter.NamedLimits.Any() {
		return nil
	}
	var ids []member.UpstreamID
	for _, u := range upstreams {
		if x.limiter.Scarce(now, u.ID) {
			ids = append(ids, u.ID)
		}
	}
	return ids
}

// throttledCount returns the number of upstreams that accept new work but to which this host
// may not send now.
func (x *exchange) throttledCount(now time.Time) int {
	if !x.mayBeThrottled(now, &x.service) {
		return 0
	}
	return len(x.throttledAmong(now, x.acceptingUpstreams(now)))
}

// shortestWait returns the time until this host may send to one of the throttled upstreams that
// haven't been tried; zero if there are none.
func (x *exchange) shortestWait(now time.Time, upstreams []Upstream, tried []member.UpstreamID) time.Duration {
	shortest := time.Duration(0)
	for _, u := range upstreams {
		wait := x.sendDelay(now, &x.service, u)
		if wait > 0 && !wasTried(tried, u.ID) && (shortest == 0 || wait < shortest) {
			shortest = wait
		}
	}
	return shortest
}
