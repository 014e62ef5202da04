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

// Choosing an upstream while some are bounded: those to which this host may not send now are
// passed over, and where no others are left the caller is told at once when to come back.

// selectUpstream picks an upstream that isn't among those tried and gets leave to send to it.
// Without one it says what the request is refused with.
func (x *exchange) selectUpstream(ctx context.Context, tried []member.UpstreamID, repeat bool) (Upstream, Refusal, bool) {
	now := x.now()
	if repeat {
		x.versions.set(x.rollouts.Repeat(x.service.Name))
	}
	takers := x.candidates(now, x.service.Name)
	if len(takers) == 0 {
		takers = x.acceptingUpstreams(now)
		return Upstream{}, x.noUpstream(now, takers, x.shortestWait(now, takers, nil)), false
	}
	kept := x.throttledAmong(now, takers)
	x.skippedUpstreams = len(kept)
	not := slices.Concat(tried, kept)
	refused := time.Duration(0)
	for {
		u, found := x.plainChooser.pick(now, takers, not)
		if !found {
			takers = x.acceptingUpstreams(now)
			return u, x.noUpstream(now, takers, minNonZero(refused, x.shortestWait(now, takers, tried))), false
		}
		v := x.authorizeSend(ctx, u, repeat)
		if v.OK() {
			return u, Refusal{}, true
		}
		refused = minNonZero(refused, v.Wait)
		now = x.now()
		x.plainChooser.done(now, u.ID, 0, false)
		not = append(not, u.ID)
	}
}

// minNonZero is the shorter of two waits of which zero is none.
func minNonZero(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// placedRun is a run with the decision that placed it.
type placedRun struct {
	*ownRun
	decision policy.Decision
}

// placeWithPermit finds an engine for a request, and gets leave to send to it.
func (s *streamExchange) placeWithPermit(ctx context.Context, now time.Time, r policy.Request) (Upstream, placedRun, Refusal, bool) {
	var refused throttledSet
	for {
		kept := s.throttledEngines(now)
		s.skippedUpstreams = len(kept.sameZone) + len(kept.otherZones)
		kept.merge(&refused)
		r.AvoidAlso = slices.Concat(s.excluded, kept.sameZone)
		p := s.findPlacement(ctx, now, r, kept)
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
			// It has waited for a place once.
			return p.upstream, placedRun{}, s.placementRefusal(ctx, policy.Decision{Verdict: policy.Refused, Reason: policy.ReasonDeadline, RetryAfter: v.Wait}), false
		}
	}
}

// relocate finds another engine for a run, and gets leave to send it there.
func (x *exchange) relocate(ctx context.Context, now time.Time, run *ownRun, avoid []member.UpstreamID) (Upstream, bool) {
	kept := x.throttledEngines(now)
	x.versions.set(x.rollouts.Repeat(x.service.Name))
	from := run.engine
	u, found := x.findMoveTarget(ctx, now, run, slices.Concat(avoid, kept.sameZone), kept.otherZones)
	if !found {
		return u, false
	}
	if !x.authorizeSend(ctx, u, false).OK() {
		x.engines.returnToEngine(x.now(), x.service.Name, run, from)
		return Upstream{}, false
	}
	return u, true
}

// throttledSet are the engines that this host may not send to now: of its own zone, and of
// others that it would send to without asking. soonest is how long it is until it may send
// to one of them.
type throttledSet struct {
	sameZone, otherZones []member.UpstreamID
	shortestWait         time.Duration
	// accepting are the engines that take work, where any are bounded.
	accepting []Upstream
}

func (x *exchange) throttledEngines(now time.Time) throttledSet {
	var c throttledSet
	if !x.anyBound(now, &x.service) {
		return c
	}
	c.accepting = x.acceptingUpstreams(now)
	for _, u := range c.accepting {
		if wait := x.keptBack(now, &x.service, u); wait > 0 {
			c.add(u, x.peers.self.Zone, wait)
		}
	}
	return c
}

// add adds an engine, to which this host may send after a while.
func (c *throttledSet) add(u Upstream, own member.Zone, wait time.Duration) {
	c.shortestWait = minNonZero(c.shortestWait, wait)
	if u.Zone == own {
		c.sameZone = append(c.sameZone, u.ID)
	} else {
		c.otherZones = append(c.otherZones, u.ID)
	}
}

// merge adds the engines of another such set.
func (c *throttledSet) merge(other *throttledSet) {
	c.sameZone, c.otherZones = append(c.sameZone, other.sameZone...), append(c.otherZones, other.otherZones...)
	c.shortestWait = minNonZero(c.shortestWait, other.shortestWait)
}

// allExcluded reports whether nothing but engines that are kept from work, and some others,
// takes work, in one zone or, without one, in all.
func (c *throttledSet) allExcluded(others []member.UpstreamID, zone member.Zone) bool {
	return len(c.sameZone)+len(c.otherZones) > 0 && len(c.accepting) > 0 && !slices.ContainsFunc(c.accepting, func(u Upstream) bool {
		return (zone == "" || u.Zone == zone) && !slices.Contains(others, u.ID)
	})
}

// throttledAmong lists those of some upstreams that this host may not send to now.
func (x *exchange) throttledAmong(now time.Time, from []Upstream) []member.UpstreamID {
	if !x.anyBound(now, &x.service) {
		return nil
	}
	var ids []member.UpstreamID
	for _, u := range from {
		if x.keptBack(now, &x.service, u) > 0 {
			ids = append(ids, u.ID)
		}
	}
	return ids
}

// throttledCount is how many of the service's upstreams this host may not send to now.
func (x *exchange) throttledCount(now time.Time) int {
	if !x.anyBound(now, &x.service) {
		return 0
	}
	return len(x.throttledAmong(now, x.acceptingUpstreams(now)))
}

// shortestWait is how long it is until this host may send to one of some upstreams that wasn't
// tried; zero where none is bounded.
func (x *exchange) shortestWait(now time.Time, from []Upstream, tried []member.UpstreamID) time.Duration {
	least := time.Duration(0)
	for _, u := range from {
		wait := x.keptBack(now, &x.service, u)
		if wait > 0 && !wasTried(tried, u.ID) && (least == 0 || wait < least) {
			least = wait
		}
	}
	return least
}
