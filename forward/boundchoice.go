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

// choosePlain picks an upstream that isn't among those tried and gets leave to send to it.
// Without one it says what the request is refused with.
func (x *exchange) choosePlain(ctx context.Context, tried []member.UpstreamID, repeat bool) (Upstream, Refusal, bool) {
	now := x.now()
	if repeat {
		x.versions.set(x.rollouts.Repeat(x.service.Name))
	}
	takers := x.candidates(now, x.service.Name)
	if len(takers) == 0 {
		takers = x.takers(now)
		return Upstream{}, x.noUpstream(now, takers, x.soonest(now, takers, nil)), false
	}
	kept := x.keptFrom(now, takers)
	x.skippedUpstreams = len(kept)
	not := slices.Concat(tried, kept)
	refused := time.Duration(0)
	for {
		u, found := x.plainChooser.choose(now, takers, not)
		if !found {
			takers = x.takers(now)
			return u, x.noUpstream(now, takers, sooner(refused, x.soonest(now, takers, tried))), false
		}
		v := x.eligible(ctx, u, repeat)
		if v.OK() {
			return u, Refusal{}, true
		}
		refused = sooner(refused, v.Wait)
		now = x.now()
		x.plainChooser.done(now, u.ID, 0, false)
		not = append(not, u.ID)
	}
}

// sooner is the shorter of two waits of which zero is none.
func sooner(a, b time.Duration) time.Duration {
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

// placeBounded finds an engine for a request, and gets leave to send to it.
func (s *streamExchange) placeBounded(ctx context.Context, now time.Time, r policy.Request) (Upstream, placedRun, Refusal, bool) {
	var refused keptEngines
	for {
		kept := s.keptEngines(now)
		s.skippedUpstreams = len(kept.near) + len(kept.far)
		kept.also(&refused)
		r.AvoidAlso = slices.Concat(s.excluded, kept.near)
		p := s.findPlace(ctx, now, r, kept)
		if p.decision.Verdict != policy.Granted {
			return p.at, placedRun{}, s.placementRefusal(ctx, p.decision), false
		}
		v := s.eligible(ctx, p.at, s.attempts > 0)
		if v.OK() {
			return p.at, placedRun{p.run, p.decision}, Refusal{}, true
		}
		now = s.now()
		s.engines.finish(now, s.service.Name, p.run, false)
		refused.keep(p.at, s.peers.self.Zone, v.Wait)
		if ctx.Err() != nil || p.decision.Waited > 0 {
			// It has waited for a place once.
			return p.at, placedRun{}, s.placementRefusal(ctx, policy.Decision{Verdict: policy.Refused, Reason: policy.ReasonDeadline, RetryAfter: v.Wait}), false
		}
	}
}

// relocate finds another engine for a run, and gets leave to send it there.
func (x *exchange) relocate(ctx context.Context, now time.Time, run *ownRun, avoid []member.UpstreamID) (Upstream, bool) {
	kept := x.keptEngines(now)
	x.versions.set(x.rollouts.Repeat(x.service.Name))
	from := run.engine
	u, found := x.findTarget(ctx, now, run, slices.Concat(avoid, kept.near), kept.far)
	if !found {
		return u, false
	}
	if !x.eligible(ctx, u, false).OK() {
		x.engines.stay(x.now(), x.service.Name, run, from)
		return Upstream{}, false
	}
	return u, true
}

// keptEngines are the engines that this host may not send to now: of its own zone, and of
// others that it would send to without asking. soonest is how long it is until it may send
// to one of them.
type keptEngines struct {
	near, far []member.UpstreamID
	soonest   time.Duration
	// takers are the engines that take work, where any are bounded.
	takers []Upstream
}

func (x *exchange) keptEngines(now time.Time) keptEngines {
	var c keptEngines
	if !x.anyBound(now, &x.service) {
		return c
	}
	c.takers = x.takers(now)
	for _, u := range c.takers {
		if wait := x.keptBack(now, &x.service, u); wait > 0 {
			c.keep(u, x.peers.self.Zone, wait)
		}
	}
	return c
}

// keep adds an engine, to which this host may send after a while.
func (c *keptEngines) keep(u Upstream, own member.Zone, wait time.Duration) {
	c.soonest = sooner(c.soonest, wait)
	if u.Zone == own {
		c.near = append(c.near, u.ID)
	} else {
		c.far = append(c.far, u.ID)
	}
}

// also adds the engines of another such set.
func (c *keptEngines) also(other *keptEngines) {
	c.near, c.far = append(c.near, other.near...), append(c.far, other.far...)
	c.soonest = sooner(c.soonest, other.soonest)
}

// allAvoided reports whether nothing but engines that are kept from work, and some others,
// takes work, in one zone or, without one, in all.
func (c *keptEngines) allAvoided(others []member.UpstreamID, zone member.Zone) bool {
	return len(c.near)+len(c.far) > 0 && len(c.takers) > 0 && !slices.ContainsFunc(c.takers, func(u Upstream) bool {
		return (zone == "" || u.Zone == zone) && !slices.Contains(others, u.ID)
	})
}

// keptFrom lists those of some upstreams that this host may not send to now.
func (x *exchange) keptFrom(now time.Time, from []Upstream) []member.UpstreamID {
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

// keptCount is how many of the service's upstreams this host may not send to now.
func (x *exchange) keptCount(now time.Time) int {
	if !x.anyBound(now, &x.service) {
		return 0
	}
	return len(x.keptFrom(now, x.takers(now)))
}

// soonest is how long it is until this host may send to one of some upstreams that wasn't
// tried; zero where none is bounded.
func (x *exchange) soonest(now time.Time, from []Upstream, tried []member.UpstreamID) time.Duration {
	least := time.Duration(0)
	for _, u := range from {
		wait := x.keptBack(now, &x.service, u)
		if wait > 0 && !wasTried(tried, u.ID) && (least == 0 || wait < least) {
			least = wait
		}
	}
	return least
}
