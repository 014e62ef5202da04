// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shedpath/shedpath/clock"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// engines places generations on the engines of each service. Each host decides
// by itself on what it knows: its own runs exactly, and its peers' runs as they
// tell them.
type engines struct {
	self member.HostID
	zone member.Zone
	// clock tells the present time; nil is the usual one.
	clock *clock.Clock

	mu    sync.Mutex
	pools map[ServiceName]*enginePool
	// reported is when each peer last told its runs.
	reported map[member.HostID]time.Time
	// ended are this host's runs whose answers ended by themselves lately.
	ended []EndedRun
}

// enginePool is the placement of one service's engines.
type enginePool struct {
	pool *policy.Pool
	spec Engine
	// takers are the engines that this host places on, as it was told last.
	takers []Upstream
	// borrowed are engines of other cells on which this host has runs.
	borrowed map[member.UpstreamID]Upstream
	// listed are the engines that take work, as the pool was told.
	listed map[member.UpstreamID]Upstream
	// waiting are the requests that wait for a place.
	waiting map[policy.RunID]chan policy.Decision
	// own are this host's runs, theirs those of its peers.
	own    map[policy.RunID]*ownRun
	theirs map[policy.RunID]member.HostID
	// granted are when places were given to runs of peers that haven't told of them yet.
	granted map[policy.RunID]time.Time
	// usualStep is the time of a step as it was observed of all engines; zero
	// before the first.
	usualStep time.Duration
	// stepSamples counts the pauses that steps were learnt from, and learntAt is
	// when anything was last learnt of the engines.
	stepSamples uint64
	learntAt    time.Time
}

// step is the usual time of a step as far as it is known.
func (p *enginePool) step() time.Duration {
	if p.usualStep > 0 {
		return p.usualStep
	}
	return stepPrior
}

// short is the length below which answers count as short.
func (p *enginePool) short() policy.Tokens { return policy.Tokens(shortTakes / p.step()) }

// ownRun is one generation of this host that holds a place.
type ownRun struct {
	request policy.Request
	// engine changes under the lock of engines.
	engine member.UpstreamID
	// life is the engine's; it changes with it.
	life Life
	// first is when its first token came; zero before. It changes under the lock of
	// engines.
	first time.Time
	// made counts the tokens passed on so far.
	made atomic.Int64
}

// Placement settings.
const (
	// farCostToStart is what an engine of another zone costs a new run, as a
	// share of an engine's memory: a stream across zones is cut when the zones
	// are, so it goes there only when the own zone's engines are much fuller. Short
	// answers pay it, too: hosts hear of each run on their own zone's engines at
	// once, but of another's only now and then, so an engine that looks idle from
	// afar mostly isn't.
	farCostToStart = 0.7
	// farCostToMove is the same for a run that moves; a move between zones also
	// takes the links twice as long.
	farCostToMove = 0.8
	// stepPrior is assumed of engines until any run has shown a step.
	stepPrior = 10 * time.Millisecond
	// stepMemory is the weight of the newest observation of a step.
	stepMemory = 0.01
	// shortTakes is how long short answers take: an engine that leaves mostly
	// still ends them.
	shortTakes = 500 * time.Millisecond
	// readRatePrior is how many prompt tokens an engine is taken to read in a
	// second beside its decoding until that is learnt: half of the 14,000 of the
	// first engines' sheets, for a step in which a part of a prompt is read takes
	// about twice as long.
	readRatePrior = 7000.0
	// queueStagger spreads over a zone's hosts when what waits at each goes to an engine
	// that has just begun to take work: they hear of each other's runs within some 5 ms,
	// and a zone has some ten or twenty hosts.
	queueStagger = 100 * time.Millisecond
	// refreshEvery is how often the pools are told where their runs stand.
	refreshEvery = 100 * time.Millisecond
	// retryMost bounds what a refused caller is told to wait: engines that
	// leave are replaced within a few seconds.
	retryMost  = 2 * time.Second
	retryLeast = 50 * time.Millisecond
)

func newEngines(self member.HostID, zone member.Zone) *engines {
	return &engines{self: self, zone: zone, pools: map[ServiceName]*enginePool{}, reported: map[member.HostID]time.Time{}}
}

func (e *engines) now() time.Time { return e.clock.Now() }

// configure takes in the engine services of a new configuration.
func (e *engines) configure(t *Table) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, s := range t.Services() {
		if s.Engine == nil {
			continue
		}
		p := e.pools[name]
		if p == nil {
			p = &enginePool{
				listed: map[member.UpstreamID]Upstream{}, waiting: map[policy.RunID]chan policy.Decision{},
				own: map[policy.RunID]*ownRun{}, theirs: map[policy.RunID]member.HostID{}, granted: map[policy.RunID]time.Time{},
			}
			p.pool = policy.NewPool(policy.Settings{})
			e.pools[name] = p
		}
		p.spec = *s.Engine
		settings := poolSettings(p.spec, t.ShortestPause(name))
		settings.Decider = string(e.self)
		p.pool.SetSettings(settings)
	}
}

const (
	// stepPart of the shortest pause that a route allows between two events is
	// the longest step that placement aims at, for each token of an event.
	stepPart = 0.9
	// stepBound is the same where no route sets a pause.
	stepBound = 40 * time.Millisecond
)

func poolSettings(e Engine, pause time.Duration) policy.Settings {
	s := policy.Settings{BetweenTokens: stepBound, MaxBatch: e.Batch, ReadRate: readRatePrior, Stagger: queueStagger}
	if pause > 0 {
		s.BetweenTokens = time.Duration(stepPart * float64(pause) / float64(max(e.EventTokens, 1)))
	}
	if e.Moves && e.TokenBytes > 0 {
		s.Movable = policy.Tokens(e.LinkBitsPerSecond / 8 / e.TokenBytes * shortNotice.Seconds())
	}
	return s
}

// shortNotice is the shortest notice of an engine that leaves, less what the first move
// waits.
const shortNotice = 1400 * time.Millisecond

// list tells which engines take work now.
func (e *engines) list(now time.Time, service ServiceName, takers []Upstream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil {
		return
	}
	same := len(takers) > 0 && len(takers) == len(p.takers) && &takers[0] == &p.takers[0]
	if p.takers = takers; !same || p.returnBorrowed() {
		p.relist()
	}
	p.refresh(now)
}

// relist tells the pool which engines there are.
func (p *enginePool) relist() {
	ids := make([]member.UpstreamID, 0, len(p.takers)+len(p.borrowed))
	clear(p.listed)
	for _, u := range p.takers {
		ids = append(ids, u.ID)
		p.listed[u.ID] = u
	}
	var lent []member.UpstreamID
	for id, u := range p.borrowed {
		if p.listed[id].ID == "" {
			ids, lent = append(ids, id), append(lent, id)
			p.listed[id] = u
		}
	}
	p.pool.SetEngines(ids)
	// Hosts of other cells place on these, and this one doesn't know what they have to do.
	p.pool.Withhold(lent)
	for _, u := range p.listed {
		p.pool.SetZone(u.ID, u.Zone)
		p.pool.SetGroup(u.ID, string(u.Version))
	}
}

// returnBorrowed drops the borrowed engines on which this host has no run any more.
func (p *enginePool) returnBorrowed() bool {
	if len(p.borrowed) == 0 {
		return false
	}
	before := len(p.borrowed)
	used := make(map[member.UpstreamID]bool, len(p.own))
	for _, run := range p.own {
		used[run.engine] = true
	}
	maps.DeleteFunc(p.borrowed, func(id member.UpstreamID, _ Upstream) bool { return !used[id] })
	return len(p.borrowed) < before
}

// borrow has an engine of another cell be known, on which a host of that has given a place.
func (e *engines) borrow(service ServiceName, u Upstream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil || p.listed[u.ID].ID != "" {
		return
	}
	if p.borrowed == nil {
		p.borrowed = map[member.UpstreamID]Upstream{}
	}
	p.borrowed[u.ID] = u
	p.relist()
	p.pool.Report(e.now(), policy.Report{Engine: u.ID, Memory: p.spec.Memory, Step: p.step()})
}

// refresh tells the pool how its engines stand and decides what waits.
func (p *enginePool) refresh(now time.Time) {
	p.revokeUnused(now)
	for id, run := range p.own {
		p.pool.Progress(now, id, policy.Tokens(run.made.Load()))
		p.pool.Reading(now, id, run.first)
	}
	for id := range p.listed {
		p.pool.Report(now, policy.Report{Engine: id, Memory: p.spec.Memory, Step: p.step()})
	}
	p.advance(now)
}

func (p *enginePool) advance(now time.Time) {
	for _, d := range p.pool.Advance(now) {
		if waiting := p.waiting[d.Run]; waiting != nil {
			delete(p.waiting, d.Run)
			waiting <- d
		}
	}
}

// place finds an engine for a generation; it waits until the request's
// deadline at most.
func (e *engines) place(ctx context.Context, now time.Time, service ServiceName, r policy.Request) (Upstream, *ownRun, policy.Decision) {
	for {
		u, run, d := e.placeOnce(ctx, now, service, r)
		if run == nil || u.ID != "" {
			return u, run, d
		}
		// The engine left between the grant and now. The request isn't sent to it, nor
		// refused for that.
		now = e.now()
		e.finish(now, service, run, false)
	}
}

// placeOnce is place; its upstream is zero when the engine that was granted has left.
func (e *engines) placeOnce(ctx context.Context, now time.Time, service ServiceName, r policy.Request) (Upstream, *ownRun, policy.Decision) {
	e.mu.Lock()
	p := e.pools[service]
	if p == nil {
		e.mu.Unlock()
		return Upstream{}, nil, policy.Decision{Verdict: policy.Refused, Reason: policy.ReasonNoEngine, RetryAfter: retryMost}
	}
	r.Zone, r.FarCost = e.zone, farCostToStart
	d := p.pool.Submit(now, r)
	if d.Verdict == policy.Queued {
		decided := make(chan policy.Decision, 1)
		p.waiting[r.Run] = decided
		e.mu.Unlock()
		select {
		case d = <-decided:
		case <-ctx.Done():
			return Upstream{}, nil, e.withdraw(p, r.Run, decided)
		}
		e.mu.Lock()
	}
	defer e.mu.Unlock()
	if d.Verdict != policy.Granted {
		return Upstream{}, nil, d
	}
	return p.listed[d.Engine], p.carry(r, d.Engine), d
}

// withdraw takes back a request whose caller left while it waited.
func (e *engines) withdraw(p *enginePool, run policy.RunID, decided chan policy.Decision) policy.Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(p.waiting, run)
	p.pool.Finish(e.now(), policy.Finish{Run: run})
	select {
	case <-decided:
	default:
	}
	return policy.Decision{Run: run, Verdict: policy.Refused, Reason: policy.ReasonDeadline}
}

// finish frees a run's place; whole says that its length is known.
func (e *engines) finish(now time.Time, service ServiceName, run *ownRun, whole bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil {
		return
	}
	made := policy.Tokens(run.made.Load())
	delete(p.own, run.request.Run)
	p.pool.Finish(now, policy.Finish{Run: run.request.Run, Made: made, Whole: whole})
	if whole {
		e.ended = append(e.ended, EndedRun{Run: run.request.Run, Made: made, endedAt: now})
	}
	p.advance(now)
}

// relocate finds another engine for a run whose engine leaves, not one of those
// to be avoided.
func (e *engines) relocate(now time.Time, service ServiceName, run *ownRun, t policy.Target) (Upstream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil {
		return Upstream{}, false
	}
	p.pool.Progress(now, run.request.Run, policy.Tokens(run.made.Load()))
	id, found := p.pool.Relocate(now, run.request.Run, t)
	if !found {
		return Upstream{}, false
	}
	run.engine, run.life = id, p.listed[id].Life
	return p.listed[id], true
}

// worth orders the runs that have to leave an engine: those of routes with long
// answers first, for short ones end by themselves; among them the smallest, so
// that most are moved in the time that there is.
func (e *engines) worth(service ServiceName, run *ownRun) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil {
		return 0
	}
	memory := int(run.request.Prompt) + int(run.made.Load())
	if p.pool.MeanLength(&run.request) < p.short() {
		memory += int(p.spec.Memory)
	}
	return -memory
}

// begun takes in that a run has made its first token.
func (e *engines) begun(now time.Time, service ServiceName, run *ownRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.pools[service]; p != nil {
		run.first = now
		p.pool.Begun(now, run.request.Run)
		p.learntAt = now
	}
}

// beside is how many runs an engine has besides one, as far as is known.
func (e *engines) beside(service ServiceName, id member.UpstreamID, but policy.RunID) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil {
		return 0
	}
	n := p.pool.RunsOn(id)
	if p.pool.EngineOf(but) == id {
		n--
	}
	return n
}

// works reports whether an engine was known to make tokens lately.
func (e *engines) works(now time.Time, service ServiceName, id member.UpstreamID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	return p != nil && now.Sub(p.pool.Progressed(id)) <= worksFor
}

// observeStep takes in how long an engine took for each of some tokens.
func (e *engines) observeStep(now time.Time, service ServiceName, step time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil {
		return
	}
	if p.usualStep == 0 {
		p.usualStep = step
	}
	p.usualStep += time.Duration(stepMemory * float64(step-p.usualStep))
	p.stepSamples++
	p.learntAt = now
}

// takes is how long an engine is expected to take for a prompt and an answer.
func (e *engines) takes(service ServiceName, prompt, out policy.Tokens) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil {
		return time.Duration(out) * stepPrior
	}
	return p.pool.TakesToRead(prompt) + time.Duration(out)*p.step()
}

// stay counts a run on an engine again that it wasn't moved from.
func (e *engines) stay(now time.Time, service ServiceName, run *ownRun, engine member.UpstreamID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.pools[service]; p != nil && p.pool.Return(now, run.request.Run, engine) {
		run.engine, run.life = engine, p.listed[engine].Life
	}
}

// renew forgets what is believed of an engine whose life is over.
func (e *engines) renew(id member.UpstreamID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.pools {
		for _, run := range p.pool.Renew(id) {
			delete(p.theirs, run)
		}
	}
}

// busy lists the engines that carry runs, of this host or its peers.
func (e *engines) busy() []member.UpstreamID {
	e.mu.Lock()
	defer e.mu.Unlock()
	carrying := map[member.UpstreamID]bool{}
	for _, p := range e.pools {
		for _, run := range p.own {
			carrying[run.engine] = true
		}
		for id := range p.theirs {
			carrying[p.pool.EngineOf(id)] = true
		}
	}
	delete(carrying, "")
	return slices.Collect(maps.Keys(carrying))
}
