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

// flushOutbox gives a pool's outbox to the goroutines that talk to the peers.
func (p *placement) flushOutbox(s *poolState) {
	if len(s.asks) > 0 {
		asked, owner := s.asks, s.owner
		s.asks = nil
		p.entry.spawn(func(ctx context.Context) { p.requestPlaces(ctx, s, owner, asked) })
	}
	for host, finished := range s.finished {
		delete(s.finished, host)
		to, known := p.entry.members.Entry(host)
		if !known {
			continue
		}
		p.entry.spawn(func(ctx context.Context) { p.sendFinished(ctx, s, to, finished) })
	}
	for host, decisions := range s.decisions {
		delete(s.decisions, host)
		to, known := p.entry.members.Entry(host)
		if known {
			p.entry.spawn(func(ctx context.Context) { p.sendDecisions(ctx, s, to, decisions) })
		}
	}
}

// sendFinished tells a coordinator of places that are free again, and again
// until it has heard or is dead.
func (p *placement) sendFinished(ctx context.Context, s *poolState, to member.Entry, finished []policy.Finish) {
	quick, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if p.entry.peers.Finished(quick, to, s.name, finished) == nil {
		return
	}
	if !pause(ctx, finishedRetryDelay) {
		return
	}
	_ = p.do(ctx, func(now time.Time) {
		if p.entry.members.Alive(now, to.ID) {
			s.finished[to.ID] = append(finished, s.finished[to.ID]...)
		}
	})
}

const finishedRetryDelay = 200 * time.Millisecond

// requestPlaces asks the coordinator for places. When it doesn't answer in time, this
// entry decides alone and leaves the coordinator in peace for a while.
func (p *placement) requestPlaces(ctx context.Context, s *poolState, owner member.Entry, asked []policy.Request) {
	quick, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	decisions, err := p.entry.peers.Place(quick, owner, s.name, asked)
	_ = p.do(ctx, func(now time.Time) {
		if err != nil {
			p.decideLocally(now, s, owner, asked)
			return
		}
		p.applyDecisions(s, owner, decisions)
	})
}

func (p *placement) decideLocally(now time.Time, s *poolState, owner member.Entry, asked []policy.Request) {
	if s.owner.ID == owner.ID {
		s.distrusted = now.Add(distrustFor)
	}
	for _, r := range asked {
		// The owner may have the request and grant it yet.
		s.finished[owner.ID] = append(s.finished[owner.ID], policy.Finish{Run: r.Run})
		if w := s.waiters[r.Run]; w != nil {
			p.submitHere(now, s, w)
		}
	}
}

// applyDecisions hands on what a coordinator decided, and gives back the places
// that nobody here wants any more.
func (p *placement) applyDecisions(s *poolState, owner member.Entry, decisions []policy.Decision) {
	for _, d := range decisions {
		if !p.decide(s, d, owner) && d.Verdict == policy.Granted && !p.holdsPlace(d, owner.ID) {
			s.finished[owner.ID] = append(s.finished[owner.ID], policy.Finish{Run: d.Run})
		}
	}
}

// holdsPlace reports whether the run of a decision is under way here as the
// coordinator decided. A second coordinator's place for it is not wanted, even
// on the same engine: nobody would tell that one of the end.
func (p *placement) holdsPlace(d policy.Decision, by member.HostID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := p.runs[d.Run]
	return own != nil && own.engine == d.Engine && own.coordinator.ID == by
}

// sendDecisions tells an entry what became of its queued requests.
func (p *placement) sendDecisions(ctx context.Context, s *poolState, to member.Entry, decisions []policy.Decision) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	// An entry that misses this asks again.
	_ = p.entry.peers.Decided(ctx, to, s.name, decisions)
}

// tryOtherZones tries the other zones when this one has no room.
func (p *placement) tryOtherZones(ctx context.Context, pool resource.Name, r policy.Request, d policy.Decision) policy.Decision {
	if d.Verdict != policy.Refused || d.Reason == policy.ReasonTooLong {
		return d
	}
	for _, to := range p.entry.members.OtherCoordinators(p.entry.now(), pool, r.PromptTokens) {
		quick, cancel := context.WithTimeout(ctx, otherZoneWait)
		decisions, err := p.entry.peers.Place(quick, to, pool, []policy.Request{r})
		cancel()
		if err != nil || len(decisions) != 1 || decisions[0].Verdict == policy.Queued {
			// Waiting is for the own zone, and an answer that comes late isn't
			// wanted either.
			_ = p.do(ctx, func(time.Time) {
				s := p.state(pool)
				s.finished[to.ID] = append(s.finished[to.ID], policy.Finish{Run: r.Run})
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

// OnPlace serves a peer's request for places.
func (p *placement) OnPlace(ctx context.Context, from member.HostID, pool resource.Name, asked []policy.Request) ([]policy.Decision, error) {
	if _, declared := p.entry.config.Catalog().Pool(pool); !declared {
		return nil, trace.NotFound("pool %s is not declared here", pool)
	}
	var decisions []policy.Decision
	err := p.do(ctx, func(now time.Time) {
		s := p.state(pool)
		for _, r := range asked {
			if _, over := s.ended[r.Run]; over {
				decisions = append(decisions, policy.Decision{Run: r.Run, Verdict: policy.Refused, Reason: policy.ReasonDeadline})
				continue
			}
			d := s.pool.Submit(now, r)
			if d.Verdict != policy.Refused {
				s.guests[r.Run] = from
			}
			decisions = append(decisions, d)
		}
	})
	if err != nil {
		return nil, err
	}
	return decisions, nil
}

// OnDecided takes what a coordinator decided about queued requests.
func (p *placement) OnDecided(ctx context.Context, from member.HostID, pool resource.Name, decisions []policy.Decision) error {
	return p.do(ctx, func(time.Time) {
		owner, known := p.entry.members.Entry(from)
		if known {
			p.applyDecisions(p.state(pool), owner, decisions)
		}
	})
}

// OnFinished frees the places of a peer's runs.
func (p *placement) OnFinished(ctx context.Context, pool resource.Name, finished []policy.Finish) error {
	return p.do(ctx, func(now time.Time) {
		s := p.state(pool)
		for _, f := range finished {
			if _, known := s.guests[f.Run]; !known {
				s.ended[f.Run] = now
			}
			delete(s.guests, f.Run)
			s.pool.Finish(now, f)
		}
	})
}

// OnRunning takes in the runs of a peer whose coordinator this entry became.
func (p *placement) OnRunning(ctx context.Context, from member.HostID, pool resource.Name, runs []PlacedRun) error {
	return p.do(ctx, func(now time.Time) {
		s := p.state(pool)
		for _, run := range runs {
			s.pool.Adopt(now, run.Request, run.Engine, run.Made)
			s.guests[run.Request.Run] = from
		}
	})
}

// applyReports takes in an engine's applyReports, from wherever it came.
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

// markSuspect keeps new work from engines that didn't answer, until they report
// again.
func (p *placement) markSuspect(ctx context.Context, pool resource.Name, silent []member.UpstreamID) {
	if len(silent) == 0 {
		return
	}
	_ = p.do(ctx, func(time.Time) {
		s := p.state(pool)
		for _, id := range silent {
			s.pool.Suspect(id)
		}
	})
}

// withhold keeps new work from the engines that are to be emptied.
func (p *placement) withhold(ctx context.Context, pool resource.Name, ids []member.UpstreamID) {
	_ = p.do(ctx, func(time.Time) { p.state(pool).pool.SetCordoned(ids) })
}
