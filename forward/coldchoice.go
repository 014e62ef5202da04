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

// Choosing an upstream while some are cold: those at which this host has no turn are
// passed over, and where no others are left the caller is told at once when there will be
// a turn.

// noUpstream refuses where no upstream takes the request. coldWait is how long it is
// until a cold one does; zero when none is cold.
func noUpstream(coldWait time.Duration) Refusal {
	if coldWait > 0 {
		return Refusal{Code: CodeOverloaded, RetryAfter: min(max(coldWait, retryLeast), retryMost)}
	}
	return Refusal{Code: CodeNoUpstream, RetryAfter: retryUnknown}
}

// choosePlain picks an upstream that isn't among those tried and uses this host's turn at
// it if it is cold. Without one it says what the request is refused with.
func (x *exchange) choosePlain(now time.Time, tried []member.UpstreamID) (Upstream, Refusal, bool) {
	takers := x.fleet.Takers(now, x.service.Name)
	cold, wait := x.withoutTurn(now, takers)
	not := slices.Concat(tried, cold)
	for {
		u, found := x.plain.choose(now, takers, not)
		if !found {
			return u, noUpstream(wait), false
		}
		if x.takeColdTurn(now, &x.service, u.ID) {
			return u, Refusal{}, true
		}
		x.plain.done(now, u.ID, 0, false)
		not = append(not, u.ID)
	}
}

// placedRun is a run with the decision that placed it.
type placedRun struct {
	*ownRun
	decision policy.Decision
}

// placeWarm finds an engine for a request, and uses this host's turn at it if it is cold.
func (s *streamExchange) placeWarm(ctx context.Context, now time.Time, r policy.Request) (Upstream, placedRun, Refusal, bool) {
	for {
		takers := s.coldTakers(now)
		cold, wait := s.withoutTurn(now, takers)
		r.AvoidAlso = slices.Concat(s.avoid, cold)
		if len(cold) > 0 && !slices.ContainsFunc(takers, func(u Upstream) bool { return !slices.Contains(r.AvoidAlso, u.ID) }) {
			return Upstream{}, placedRun{}, noUpstream(wait), false
		}
		u, run, d := s.findPlace(ctx, now, r)
		if d.Verdict != policy.Granted {
			return u, placedRun{}, s.noPlace(ctx, d), false
		}
		now = time.Now()
		if s.takeColdTurn(now, &s.service, u.ID) {
			return u, placedRun{run, d}, Refusal{}, true
		}
		// Another request of this host has used the turn, or the engine has become cold
		// while this one waited.
		s.engines.finish(now, s.service.Name, run, false)
	}
}

// relocate finds another engine for a run, one that isn't cold or at which this host has
// a turn.
func (x *exchange) relocate(ctx context.Context, now time.Time, run *ownRun, avoid []member.UpstreamID) (Upstream, bool) {
	cold, _ := x.withoutTurn(now, x.coldTakers(now))
	from := run.engine
	u, found := x.findTarget(ctx, now, run, slices.Concat(avoid, cold))
	if found && !x.takeColdTurn(now, &x.service, u.ID) {
		x.engines.stay(now, x.service.Name, run, from)
		return Upstream{}, false
	}
	return u, found
}

// coldTakers lists the upstreams that take work, if the turns at cold ones matter now.
func (x *exchange) coldTakers(now time.Time) []Upstream {
	if x.service.ColdRate <= 0 || !x.fleet.AnyCold(now) {
		return nil
	}
	return x.fleet.Takers(now, x.service.Name)
}

// withoutTurn lists those of some upstreams that this host may not send to now, and how
// long it is until it may send to one of them.
func (x *exchange) withoutTurn(now time.Time, from []Upstream) (ids []member.UpstreamID, soonest time.Duration) {
	for _, u := range from {
		wait := x.coldWait(now, &x.service, u.ID)
		if wait <= 0 {
			continue
		}
		if len(ids) == 0 || wait < soonest {
			soonest = wait
		}
		ids = append(ids, u.ID)
	}
	return ids, soonest
}
