// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/resource"
)

// flushOutbox sends a pool's pending messages to the peers, each in its own goroutine.
func (p *placement) flushOutbox(s *poolState) {
	if len(s.pendingRequests) > 0 {
		requests, owner := s.pendingRequests, s.owner
		s.pendingRequests = nil
		p.entry.spawn(func(ctx context.Context) { p.requestPlaces(ctx, s, owner, requests) })
	}
	for host, finished := range s.pendingFinishes {
		delete(s.pendingFinishes, host)
		to, known := p.entry.members.Entry(host)
		if !known {
			continue
		}
		p.entry.spawn(func(ctx context.Context) { p.sendFinished(ctx, s, to, finished) })
	}
	for host, decisions := range s.pendingDecisions {
		delete(s.pendingDecisions, host)
		to, known := p.entry.members.Entry(host)
		if known {
			p.entry.spawn(func(ctx context.Context) { p.sendDecisions(ctx, s, to, decisions) })
		}
	}
}

// sendFinished reports ended runs to their coordinator, which frees their places. A report that
// fails goes back into the outbox while the coordinator is alive.
func (p *placement) sendFinished(ctx context.Context, s *poolState, to member.Entry, finished []policy.Finish) {
	callCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if p.entry.peers.Finished(callCtx, to, s.name, finished) == nil {
		return
	}
	if !sleepContext(ctx, finishedRetryDelay) {
		return
	}
	_ = p.do(ctx, func(now time.Time) {
		if p.entry.members.Alive(now, to.ID) {
			s.pendingFinishes[to.ID] = append(finished, s.pendingFinishes[to.ID]...)
		}
	})
}

// finishedRetryDelay is the time between a failed report of ended runs and the next try.
const finishedRetryDelay = 200 * time.Millisecond

// requestPlaces asks the coordinator for places. If the coordinator doesn't answer in time, this
// entry decides the requests itself.
func (p *placement) requestPlaces(ctx context.Context, s *poolState, owner member.Entry, requests []policy.Request) {
	callCtx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	decisions, err := p.entry.peers.Place(callCtx, owner, s.name, requests)
	_ = p.do(ctx, func(now time.Time) {
		if err != nil {
			p.decideLocally(now, s, owner, requests)
			return
		}
		p.applyDecisions(s, owner, decisions)
	})
}

// decideLocally submits requests to this entry's own pool after the coordinator failed to answer,
// and stops asking that coordinator for the time of distrustFor.
func (p *placement) decideLocally(now time.Time, s *poolState, owner member.Entry, requests []policy.Request) {
	if s.owner.ID == owner.ID {
		s.distrustedUntil = now.Add(distrustFor)
	}
	for _, r := range requests {
		// The coordinator may have received the request and may still grant it.
		s.pendingFinishes[owner.ID] = append(s.pendingFinishes[owner.ID], policy.Finish{Run: r.Run})
		if w := s.waiters[r.Run]; w != nil {
			p.submitLocally(now, s, w)
		}
	}
}

// applyDecisions passes a coordinator's decisions to the requests that wait for them, and gives
// back granted places that no request here waits for any longer.
func (p *placement) applyDecisions(s *poolState, owner member.Entry, decisions []policy.Decision) {
	for _, d := range decisions {
		if !p.deliverDecision(s, d, owner) && d.Verdict == policy.Granted && !p.holdsPlace(d, owner.ID) {
			s.pendingFinishes[owner.ID] = append(s.pendingFinishes[owner.ID], policy.Finish{Run: d.Run})
		}
	}
}

// holdsPlace reports whether the decision's run is in progress here, on the decided engine and
// placed by this coordinator. A place from a second coordinator is given back even if it is on the
// same engine, because the run's end is reported only to the coordinator that placed it.
func (p *placement) holdsPlace(d policy.Decision, coordinator member.HostID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := p.runs[d.Run]
	return own != nil && own.engine == d.Engine && own.coordinator.ID == coordinator
}

// sendDecisions sends a peer the decisions about its queued requests.
func (p *placement) sendDecisions(ctx context.Context, s *poolState, to member.Entry, decisions []policy.Decision) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	// A peer that doesn't receive the decisions asks again.
	_ = p.entry.peers.Decided(ctx, to, s.name, decisions)
}

// tryOtherZones asks the coordinators of other zones for a place when this zone has refused the
// request for another reason than the length of its prompt.
func (p *placement) tryOtherZones(ctx context.Context, pool resource.Name, r policy.Request, d policy.Decision) policy.Decision {
	if d.Verdict != policy.Refused || d.Reason == policy.ReasonTooLong {
		return d
	}
	for _, to := range p.entry.members.CoordinatorsInOtherZones(p.entry.now(), pool, r.PromptTokens) {
		callCtx, cancel := context.WithTimeout(ctx, otherZoneTimeout)
		decisions, err := p.entry.peers.Place(callCtx, to, pool, []policy.Request{r})
		cancel()
		if err != nil || len(decisions) != 1 || decisions[0].Verdict == policy.Queued {
			// Requests are queued in their own zone only. The run is reported as finished,
			// so that the coordinator drops it from its queue, or frees the place if its
			// answer comes too late.
			_ = p.do(ctx, func(time.Time) {
				s := p.state(pool)
				s.pendingFinishes[to.ID] = append(s.pendingFinishes[to.ID], policy.Finish{Run: r.Run})
			})
			continue
		}
		if decisions[0].Verdict == policy.Refused {
			continue
		}
		p.mu.Lock()
		p.runs[r.Run] = &ownRun{request: r, engine: decisions[0].Engine, coordinator: to}
		p.mu.Unlock()
		p.entry.observer.Placed(pool, "zone")
		return decisions[0]
	}
	return d
}

// OnPlace handles a peer's request for places.
func (p *placement) OnPlace(ctx context.Context, from member.HostID, pool resource.Name, requests []policy.Request) ([]policy.Decision, error) {
	if _, declared := p.entry.config.Catalog().Pool(pool); !declared {
		return nil, trace.NotFound("pool %s is not declared here", pool)
	}
	var decisions []policy.Decision
	err := p.do(ctx, func(now time.Time) {
		s := p.state(pool)
		for _, r := range requests {
			if _, over := s.endedRuns[r.Run]; over {
				decisions = append(decisions, policy.Decision{Run: r.Run, Verdict: policy.Refused, Reason: policy.ReasonDeadline})
				continue
			}
			d := s.pool.Submit(now, r)
			if d.Verdict != policy.Refused {
				s.peerRuns[r.Run] = from
			}
			decisions = append(decisions, d)
		}
	})
	if err != nil {
		return nil, err
	}
	return decisions, nil
}

// OnDecided handles a coordinator's decisions about this entry's queued requests.
func (p *placement) OnDecided(ctx context.Context, from member.HostID, pool resource.Name, decisions []policy.Decision) error {
	return p.do(ctx, func(time.Time) {
		owner, known := p.entry.members.Entry(from)
		if known {
			p.applyDecisions(p.state(pool), owner, decisions)
		}
	})
}

// OnFinished frees the places of a peer's ended runs.
func (p *placement) OnFinished(ctx context.Context, pool resource.Name, finished []policy.Finish) error {
	return p.do(ctx, func(now time.Time) {
		s := p.state(pool)
		for _, f := range finished {
			if _, known := s.peerRuns[f.Run]; !known {
				s.endedRuns[f.Run] = now
			}
			delete(s.peerRuns, f.Run)
			s.pool.Finish(now, f)
		}
	})
}

// OnRunning records the running requests of a peer whose coordinator this entry has become.
func (p *placement) OnRunning(ctx context.Context, from member.HostID, pool resource.Name, runs []PlacedRun) error {
	return p.do(ctx, func(now time.Time) {
		s := p.state(pool)
		for _, run := range runs {
			s.pool.Adopt(now, run.Request, run.Engine, run.GeneratedTokens)
			s.peerRuns[run.Request.Run] = from
		}
	})
}

// applyReports passes engines' load reports and cache events to their pool. The reports come from
// the engines themselves or from a peer's heartbeat.
func (p *placement) applyReports(ctx context.Context, pool resource.Name, reports []policy.Report, cache map[member.UpstreamID][]policy.CacheEvent) {
	_ = p.do(ctx, func(now time.Time) {
		s := p.state(pool)
		for _, r := range reports {
			s.pool.Report(now, r)
		}
		for engine, events := range cache {
			for _, event := range events {
				s.pool.ApplyCacheEvent(now, engine, event)
			}
		}
	})
}

// markSuspect keeps new work from engines that didn't answer until they report again.
func (p *placement) markSuspect(ctx context.Context, pool resource.Name, unresponsive []member.UpstreamID) {
	if len(unresponsive) == 0 {
		return
	}
	_ = p.do(ctx, func(time.Time) {
		s := p.state(pool)
		for _, id := range unresponsive {
			s.pool.Suspect(id)
		}
	})
}

// withhold keeps new work from the given engines, which are to be drained. Engines of an earlier call
// that aren't given again take new work again.
func (p *placement) withhold(ctx context.Context, pool resource.Name, ids []member.UpstreamID) {
	_ = p.do(ctx, func(time.Time) { p.state(pool).pool.SetCordoned(ids) })
}
