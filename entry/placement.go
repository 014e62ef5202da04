// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/resource"
)

// ownRun is a run of one of this entry's own callers.
type ownRun struct {
	request policy.Request
	engine  member.UpstreamID
	// coordinator is the entry that placed the run and receives the report of its end. It is empty
	// if this entry placed the run.
	coordinator member.Entry
	// lastTokenIndex is the index of the last token passed on to the caller.
	lastTokenIndex atomic.Int64
}

// waiter is a request of one of this entry's own callers that waits for a place.
type waiter struct {
	request  policy.Request
	decision chan policy.Decision
	// requestedAt is when the request was last sent to a coordinator. It is zero while this entry's
	// own pool has the request.
	requestedAt time.Time
	coordinator member.Entry
}

// poolState is this entry's state of one pool.
type poolState struct {
	name resource.Name
	// pool places the runs that this entry decides about: those of the whole zone while this entry
	// is the coordinator, and otherwise its own.
	pool *policy.Pool
	// owner is the pool's coordinator in this zone, as of the last update.
	owner member.Entry
	// distrustedUntil is the time until which the owner isn't asked, because it didn't answer in
	// time.
	distrustedUntil time.Time
	waiters         map[policy.RunID]*waiter
	// peerRuns maps the peers' runs and queued requests that the pool holds to the peers.
	peerRuns map[policy.RunID]member.HostID
	// endedRuns holds the time of each report of an ended run that arrived before the request for
	// its place, because messages may overtake each other.
	endedRuns map[policy.RunID]time.Time
	// pendingRequests, pendingFinishes and pendingDecisions are the messages to other entries that
	// flushOutbox sends next.
	pendingRequests  []policy.Request
	pendingFinishes  map[member.HostID][]policy.Finish
	pendingDecisions map[member.HostID][]policy.Decision
}

// placement is the duty that finds engines for generations. Its goroutine owns the pools; all other
// code reaches them through a bounded channel of commands.
type placement struct {
	entry    *Entry
	commands chan func(now time.Time)
	pools    map[resource.Name]*poolState

	mu sync.Mutex
	// runs holds the runs of this entry's own callers.
	runs map[policy.RunID]*ownRun
}

const (
	// commandBufferSize is the capacity of the command channel, and the most commands that are
	// drained at once.
	commandBufferSize = 4096
	// placementInterval is the time until the next placement round while requests wait for a place,
	// unless a command triggers a round earlier. membersInterval is that time otherwise, and the
	// interval of updatePools.
	placementInterval = 20 * time.Millisecond
	membersInterval   = 200 * time.Millisecond
	// placeTimeout is how long the coordinator may take to answer a request for places before this
	// entry decides itself.
	placeTimeout = 30 * time.Millisecond
	// distrustFor is how long a coordinator isn't asked after it failed to answer.
	distrustFor = time.Second
	// requestRetryInterval is how long a queued request waits for its coordinator's decision before
	// it is sent again.
	requestRetryInterval = time.Second
	// otherZoneTimeout bounds a request for a place in another zone.
	otherZoneTimeout = 250 * time.Millisecond
	// endedRunTTL is how long after the report of its end a run's late request is still refused.
	endedRunTTL = time.Minute
)

func newPlacement(e *Entry) *placement {
	return &placement{
		entry: e, commands: make(chan func(time.Time), commandBufferSize),
		pools: map[resource.Name]*poolState{}, runs: map[policy.RunID]*ownRun{},
	}
}

// do runs a command on the placement goroutine and waits for it. If do returns an error, the
// command may still run later, so the caller must not read the variables that the command writes.
func (p *placement) do(ctx context.Context, command func(now time.Time)) error {
	done := make(chan struct{})
	select {
	case p.commands <- func(now time.Time) { command(now); close(done) }:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run executes commands and placement rounds until the context ends.
func (p *placement) run(ctx context.Context) {
	tick := time.NewTimer(membersInterval)
	defer tick.Stop()
	lastUpdate := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-p.commands:
			command(p.entry.now())
			p.drainCommands()
		case <-tick.C:
		}
		now := p.entry.now()
		if now.Sub(lastUpdate) >= membersInterval {
			lastUpdate = now
			p.updatePools(now)
		}
		for _, s := range p.pools {
			p.advance(now, s)
			p.flushOutbox(s)
		}
		tick.Reset(p.nextTickDelay())
	}
}

// nextTickDelay returns the time until the next round, which is shorter while a request waits for a
// place.
func (p *placement) nextTickDelay() time.Duration {
	for _, s := range p.pools {
		if len(s.waiters) > 0 || s.pool.Waiting() > 0 {
			return placementInterval
		}
	}
	return membersInterval
}

// drainCommands runs the commands that are already in the channel, so that one round covers them
// all.
func (p *placement) drainCommands() {
	for range commandBufferSize {
		select {
		case command := <-p.commands:
			command(p.entry.now())
		default:
			return
		}
	}
}

// state returns the state of a pool, and creates it if it doesn't exist yet.
func (p *placement) state(name resource.Name) *poolState {
	s := p.pools[name]
	if s == nil {
		s = &poolState{
			name: name, pool: policy.NewPool(p.settings(name)),
			endedRuns: map[policy.RunID]time.Time{}, waiters: map[policy.RunID]*waiter{}, peerRuns: map[policy.RunID]member.HostID{},
			pendingFinishes: map[member.HostID][]policy.Finish{}, pendingDecisions: map[member.HostID][]policy.Decision{},
		}
		p.pools[name] = s
		p.updatePool(p.entry.now(), s)
	}
	return s
}

// settings returns the declared settings of a pool.
func (p *placement) settings(name resource.Name) policy.Settings {
	declared, _ := p.entry.config.Catalog().Pool(name)
	return policy.Settings{
		Objective: declared.Objective, MaxStepTime: time.Duration(declared.BetweenTokens),
		MaxQueueLength: declared.QueueLimit, MaxQueueBytes: declared.QueueBytes,
	}
}

// updatePools updates every pool to the current members and configuration.
func (p *placement) updatePools(now time.Time) {
	p.entry.backoffs.RemoveExpired(now)
	for _, name := range p.entry.config.Catalog().PoolNames() {
		p.updatePool(now, p.state(name))
	}
}

// updatePool updates a pool's settings, engines and coordinator, and drops the state of dead peers
// and of expired ended runs.
func (p *placement) updatePool(now time.Time, s *poolState) {
	engines := p.entry.members.EngineIDsFor(now, s.name)
	s.pool.SetSettings(p.settings(s.name))
	s.pool.SetEngines(engines)
	live := p.entry.members.AvailableInOwnZone(now)
	owner := p.entry.members.Coordinator(now, s.name)
	if owner.ID != s.owner.ID {
		s.owner, s.distrustedUntil = owner, time.Time{}
		p.announceRuns(s)
	}
	s.pool.SetDeciderCount(len(live))
	if p.coordinates(s) && !p.entry.settings.LocalPlacement {
		s.pool.SetDeciderCount(1)
	}
	p.dropDeadPeerRuns(now, s)
	for run, at := range s.endedRuns {
		if now.Sub(at) > endedRunTTL {
			delete(s.endedRuns, run)
		}
	}
}

// coordinates reports whether this entry is the pool's coordinator.
func (p *placement) coordinates(s *poolState) bool { return s.owner.ID == p.entry.self.ID }

// dropDeadPeerRuns frees the places of runs whose entry is presumed dead.
func (p *placement) dropDeadPeerRuns(now time.Time, s *poolState) {
	for run, host := range s.peerRuns {
		if p.entry.members.PresumedDead(now, host) {
			delete(s.peerRuns, run)
			s.pool.Finish(now, policy.Finish{Run: run})
		}
	}
}

// announceRuns reports this entry's runs on the pool's engines to a new coordinator.
func (p *placement) announceRuns(s *poolState) {
	var placed []PlacedRun
	p.mu.Lock()
	for _, run := range p.runs {
		if u, ok := p.entry.members.Upstream(run.engine); ok && u.Pool == string(s.name) && u.Zone == p.entry.self.Zone {
			run.coordinator = s.owner
			placed = append(placed, PlacedRun{Request: run.request, Engine: run.engine, GeneratedTokens: policy.Tokens(run.lastTokenIndex.Load())})
		}
	}
	p.mu.Unlock()
	if len(placed) == 0 || p.coordinates(s) {
		return
	}
	owner := s.owner
	p.entry.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		// A coordinator that doesn't receive the runs still sees the memory that they use in the
		// engines' load reports.
		_ = p.entry.peers.Running(ctx, owner, s.name, placed)
	})
}

// place requests a place for a run of one of this entry's own callers and waits for the decision.
// It returns an error only if the context ends first, that is, if the caller left. It then gives up
// the place or the request.
func (p *placement) place(ctx context.Context, pool resource.Name, r policy.Request) (policy.Decision, error) {
	w := &waiter{request: r, decision: make(chan policy.Decision, 1)}
	err := p.do(ctx, func(now time.Time) { p.submit(now, p.state(pool), w) })
	if err == nil {
		select {
		case d := <-w.decision:
			return p.tryOtherZones(ctx, pool, r, d), nil
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	p.finish(pool, policy.Finish{Run: r.Run})
	return policy.Decision{}, trace.Wrap(err)
}

// submit sends a request to the pool's coordinator, or to the pool of this entry if this entry
// decides itself.
func (p *placement) submit(now time.Time, s *poolState, w *waiter) {
	s.waiters[w.request.Run] = w
	if p.coordinates(s) || p.entry.settings.LocalPlacement || now.Before(s.distrustedUntil) {
		p.submitLocally(now, s, w)
		return
	}
	w.requestedAt, w.coordinator = now, s.owner
	s.pendingRequests = append(s.pendingRequests, w.request)
}

// submitLocally submits a request to the pool of this entry.
func (p *placement) submitLocally(now time.Time, s *poolState, w *waiter) {
	w.requestedAt, w.coordinator = time.Time{}, member.Entry{}
	p.deliverDecision(s, s.pool.Submit(now, w.request), member.Entry{})
}

// deliverDecision passes a final decision to the request that waits for it. A decision that the
// request is queued leaves it waiting. deliverDecision reports whether a request was waiting.
func (p *placement) deliverDecision(s *poolState, d policy.Decision, coordinator member.Entry) bool {
	w := s.waiters[d.Run]
	if w == nil {
		return false
	}
	if d.Verdict == policy.Queued {
		return true
	}
	delete(s.waiters, d.Run)
	if d.Verdict == policy.Granted {
		p.mu.Lock()
		p.runs[d.Run] = &ownRun{request: w.request, engine: d.Engine, coordinator: coordinator}
		p.mu.Unlock()
		p.entry.observer.Placed(s.name, p.deciderLabel(s, coordinator))
	}
	w.decision <- d
	return true
}

// deciderLabel returns the decider of a placement as Observer.Placed expects it.
func (p *placement) deciderLabel(s *poolState, coordinator member.Entry) string {
	if coordinator.ID != "" || p.coordinates(s) {
		return "coordinator"
	}
	return "local"
}

// advance decides about the requests that are queued here, and sends those that wait for a
// coordinator again after requestRetryInterval.
func (p *placement) advance(now time.Time, s *poolState) {
	for _, d := range s.pool.Advance(now) {
		if host, isPeerRun := s.peerRuns[d.Run]; isPeerRun {
			if d.Verdict == policy.Refused {
				delete(s.peerRuns, d.Run)
			}
			s.pendingDecisions[host] = append(s.pendingDecisions[host], d)
			continue
		}
		p.deliverDecision(s, d, member.Entry{})
	}
	for _, w := range s.waiters {
		if w.requestedAt.IsZero() || now.Sub(w.requestedAt) < requestRetryInterval {
			continue
		}
		p.submit(now, s, w)
	}
}

// ownRun returns the record of a run of this entry's own callers, or an empty record if there is
// none.
func (p *placement) ownRun(run policy.RunID) *ownRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.runs[run]; r != nil {
		return r
	}
	return &ownRun{}
}

// finish frees a run's place or removes its request from the queue, here or at its coordinator.
func (p *placement) finish(pool resource.Name, f policy.Finish) {
	p.mu.Lock()
	own := p.runs[f.Run]
	delete(p.runs, f.Run)
	p.mu.Unlock()
	// Commands are always executed while the entry runs. After that, the place needn't be freed.
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = p.do(ctx, func(now time.Time) {
		s := p.state(pool)
		coordinator := member.Entry{}
		if w := s.waiters[f.Run]; w != nil {
			coordinator = w.coordinator
			delete(s.waiters, f.Run)
		}
		if own != nil {
			coordinator = own.coordinator
		}
		if coordinator.ID == "" || coordinator.ID == p.entry.self.ID {
			s.pool.Finish(now, f)
			return
		}
		if own != nil && f.Complete {
			s.pool.LearnLength(&own.request, f.GeneratedTokens)
		}
		s.pendingFinishes[coordinator.ID] = append(s.pendingFinishes[coordinator.ID], f)
	})
}

// coordinatedPoolStatuses returns the statuses of the pools that this entry coordinates, or none if
// the context ends first.
func (p *placement) coordinatedPoolStatuses(ctx context.Context) []PoolStatus {
	var statuses []PoolStatus
	err := p.do(ctx, func(time.Time) {
		for _, s := range p.pools {
			if p.coordinates(s) {
				statuses = append(statuses, PoolStatus{
					Pool: s.name, Zone: p.entry.self.Zone, FreeTokens: s.pool.FreeTokens(),
					Waiting: s.pool.Waiting(), Reports: s.pool.Reports(),
				})
			}
		}
	})
	if err != nil {
		return nil
	}
	return statuses
}
