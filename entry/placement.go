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

// ownRun is a run that this entry carries.
type ownRun struct {
	request policy.Request
	engine  member.UpstreamID
	// coordinator placed the run and is told of its end; empty means that
	// this entry placed it.
	coordinator member.Entry
	// made is the index of the last token passed on.
	made atomic.Int64
}

// waiter is a request of this entry's own that has no place yet.
type waiter struct {
	request policy.Request
	decided chan policy.Decision
	// asked is when a coordinator last had the request; zero when the pool
	// here has it.
	asked       time.Time
	coordinator member.Entry
}

// poolState is one pool as this entry sees it.
type poolState struct {
	name resource.Name
	// pool decides for this entry alone, and for the whole zone while this
	// entry is its coordinator.
	pool *policy.Pool
	// owner coordinates the pool in this zone, as of the last tick.
	owner member.Entry
	// distrusted is until when the owner isn't asked, after it failed to
	// answer in time.
	distrusted time.Time
	waiters    map[policy.RunID]*waiter
	// guests are the peers' requests that the pool here holds, by run.
	guests map[policy.RunID]member.HostID
	// ended are the runs whose end was told before their request came, by when:
	// messages may overtake each other.
	ended map[policy.RunID]time.Time
	// outbox is what other entries are to be told at the next turn.
	asks      []policy.Request
	finished  map[member.HostID][]policy.Finish
	decisions map[member.HostID][]policy.Decision
}

// placement is the duty that finds engines for generations. One goroutine owns
// its pools; everything else reaches them by a bounded ring of commands.
type placement struct {
	entry    *Entry
	commands chan func(now time.Time)
	pools    map[resource.Name]*poolState

	mu sync.Mutex
	// runs are those that this entry carries.
	runs map[policy.RunID]*ownRun
}

const (
	placementRing = 4096
	placementTick = 20 * time.Millisecond
	membersTick   = 200 * time.Millisecond
	// answerWithin is how long the coordinator may take to say how a request
	// stands, before this entry decides alone.
	answerWithin = 30 * time.Millisecond
	distrustFor  = time.Second
	// askAgainAfter is how long a queued request trusts its coordinator's
	// silence.
	askAgainAfter = time.Second
	otherZoneWait = 250 * time.Millisecond
	// endedKept is how long a request may come after its end.
	endedKept = time.Minute
)

func newPlacement(e *Entry) *placement {
	return &placement{
		entry: e, commands: make(chan func(time.Time), placementRing),
		pools: map[resource.Name]*poolState{}, runs: map[policy.RunID]*ownRun{},
	}
}

// do runs a command on the duty's goroutine and waits for it. After an error the
// command may still run later: what it writes must not be read then.
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

// run carries the duty out until the context ends.
func (p *placement) run(ctx context.Context) {
	tick := time.NewTimer(membersTick)
	defer tick.Stop()
	lastMembers := time.Time{}
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
		if now.Sub(lastMembers) >= membersTick {
			lastMembers = now
			p.followMembers(now)
		}
		for _, s := range p.pools {
			p.advance(now, s)
			p.flushOutbox(s)
		}
		tick.Reset(p.untilNextTurn())
	}
}

// untilNextTurn is short while something waits for a place.
func (p *placement) untilNextTurn() time.Duration {
	for _, s := range p.pools {
		if len(s.waiters) > 0 || s.pool.Waiting() > 0 {
			return placementTick
		}
	}
	return membersTick
}

// drainCommands takes what else is at hand, so that one turn serves many.
func (p *placement) drainCommands() {
	for range placementRing {
		select {
		case command := <-p.commands:
			command(p.entry.now())
		default:
			return
		}
	}
}

func (p *placement) state(name resource.Name) *poolState {
	s := p.pools[name]
	if s == nil {
		s = &poolState{
			name: name, pool: policy.NewPool(p.settings(name)),
			ended: map[policy.RunID]time.Time{}, waiters: map[policy.RunID]*waiter{}, guests: map[policy.RunID]member.HostID{},
			finished: map[member.HostID][]policy.Finish{}, decisions: map[member.HostID][]policy.Decision{},
		}
		p.pools[name] = s
		p.followPool(p.entry.now(), s)
	}
	return s
}

func (p *placement) settings(name resource.Name) policy.Settings {
	declared, _ := p.entry.config.Catalog().Pool(name)
	return policy.Settings{
		Objective: declared.Objective, MaxStepTime: time.Duration(declared.BetweenTokens),
		MaxQueueLength: declared.QueueLimit, MaxQueueBytes: declared.QueueBytes,
	}
}

// followMembers brings every pool up to date with the members and the
// configuration.
func (p *placement) followMembers(now time.Time) {
	p.entry.backoffs.RemoveExpired(now)
	for _, name := range p.entry.config.Catalog().PoolNames() {
		p.followPool(now, p.state(name))
	}
}

func (p *placement) followPool(now time.Time, s *poolState) {
	engines := p.entry.members.EnginesFor(now, s.name)
	s.pool.SetSettings(p.settings(s.name))
	s.pool.SetEngines(engines)
	live := p.entry.members.LiveHere(now)
	owner := p.entry.members.Coordinator(now, s.name)
	if owner.ID != s.owner.ID {
		s.owner, s.distrusted = owner, time.Time{}
		p.announceRuns(s)
	}
	s.pool.SetDeciderCount(len(live))
	if p.coordinates(s) && !p.entry.settings.LocalPlacement {
		s.pool.SetDeciderCount(1)
	}
	p.dropLostGuests(now, s)
	for run, at := range s.ended {
		if now.Sub(at) > endedKept {
			delete(s.ended, run)
		}
	}
}

func (p *placement) coordinates(s *poolState) bool { return s.owner.ID == p.entry.self.ID }

// dropLostGuests frees the places of runs whose entry died.
func (p *placement) dropLostGuests(now time.Time, s *poolState) {
	for run, host := range s.guests {
		if p.entry.members.Gone(now, host) {
			delete(s.guests, run)
			s.pool.Finish(now, policy.Finish{Run: run})
		}
	}
}

// announceRuns tells a new coordinator what its engines carry.
func (p *placement) announceRuns(s *poolState) {
	var placed []PlacedRun
	p.mu.Lock()
	for _, run := range p.runs {
		if u, ok := p.entry.members.Upstream(run.engine); ok && u.Pool == string(s.name) && u.Zone == p.entry.self.Zone {
			run.coordinator = s.owner
			placed = append(placed, PlacedRun{Request: run.request, Engine: run.engine, Made: policy.Tokens(run.made.Load())})
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
		// A coordinator that misses this sees the memory in the reports.
		_ = p.entry.peers.Running(ctx, owner, s.name, placed)
	})
}

// place finds a place for one of this entry's own requests, and waits for it
// as long as the context allows. Its error means that the caller left.
func (p *placement) place(ctx context.Context, pool resource.Name, r policy.Request) (policy.Decision, error) {
	w := &waiter{request: r, decided: make(chan policy.Decision, 1)}
	err := p.do(ctx, func(now time.Time) { p.submit(now, p.state(pool), w) })
	if err == nil {
		select {
		case d := <-w.decided:
			return p.tryOtherZones(ctx, pool, r, d), nil
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	p.finish(pool, policy.Finish{Run: r.Run})
	return policy.Decision{}, trace.Wrap(err)
}

// submit brings a request to the pool's coordinator, or decides here.
func (p *placement) submit(now time.Time, s *poolState, w *waiter) {
	s.waiters[w.request.Run] = w
	if p.coordinates(s) || p.entry.settings.LocalPlacement || now.Before(s.distrusted) {
		p.submitHere(now, s, w)
		return
	}
	w.asked, w.coordinator = now, s.owner
	s.asks = append(s.asks, w.request)
}

func (p *placement) submitHere(now time.Time, s *poolState, w *waiter) {
	w.asked, w.coordinator = time.Time{}, member.Entry{}
	p.decide(s, s.pool.Submit(now, w.request), member.Entry{})
}

// decide hands a decision to the request that waits for it. It reports whether
// there was one.
func (p *placement) decide(s *poolState, d policy.Decision, by member.Entry) bool {
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
		p.runs[d.Run] = &ownRun{request: w.request, engine: d.Engine, coordinator: by}
		p.mu.Unlock()
		p.entry.observer.Placed(s.name, p.decider(s, by))
	}
	w.decided <- d
	return true
}

func (p *placement) decider(s *poolState, by member.Entry) string {
	if by.ID != "" || p.coordinates(s) {
		return "coordinator"
	}
	return "local"
}

// advance decides about what waits here and asks again about what waits
// elsewhere.
func (p *placement) advance(now time.Time, s *poolState) {
	for _, d := range s.pool.Advance(now) {
		if host, guest := s.guests[d.Run]; guest {
			if d.Verdict == policy.Refused {
				delete(s.guests, d.Run)
			}
			s.decisions[host] = append(s.decisions[host], d)
			continue
		}
		p.decide(s, d, member.Entry{})
	}
	for _, w := range s.waiters {
		if w.asked.IsZero() || now.Sub(w.asked) < askAgainAfter {
			continue
		}
		p.submit(now, s, w)
	}
}

// ownRun returns the record of a run that this entry carries.
func (p *placement) ownRun(run policy.RunID) *ownRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.runs[run]; r != nil {
		return r
	}
	return &ownRun{}
}

// finish frees a run's place, wherever it was placed or is queued.
func (p *placement) finish(pool resource.Name, f policy.Finish) {
	p.mu.Lock()
	own := p.runs[f.Run]
	delete(p.runs, f.Run)
	p.mu.Unlock()
	// The ring is always drained while the entry runs; after that nobody
	// needs the place.
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
		s.finished[coordinator.ID] = append(s.finished[coordinator.ID], f)
	})
}

// status is what this entry tells of the pools that it coordinates.
func (p *placement) status(ctx context.Context) []PoolStatus {
	var told []PoolStatus
	err := p.do(ctx, func(time.Time) {
		for _, s := range p.pools {
			if p.coordinates(s) {
				told = append(told, PoolStatus{
					Pool: s.name, Zone: p.entry.self.Zone, Free: s.pool.FreeTokens(),
					Waiting: s.pool.Waiting(), Reports: s.pool.Reports(),
				})
			}
		}
	})
	if err != nil {
		return nil
	}
	return told
}
