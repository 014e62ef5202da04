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

// enginePlacer places generations on the enginePlacer of each service. Each host decides
// by itself on what it knows: its own runs exactly, and its peers' runs as they
// tell them.
type enginePlacer struct {
	self member.HostID
	zone member.Zone
	// clock tells the present time; nil is the usual one.
	clock *clock.Clock

	mu    sync.Mutex
	pools map[ServiceName]*enginePool
	// lastReported is when each peer last told its runs.
	lastReported map[member.HostID]time.Time
	// recentlyEnded are this host's runs whose answers recentlyEnded by themselves lately.
	recentlyEnded []EndedRun
}

// enginePool is the placement of one service's engines.
type enginePool struct {
	pool *policy.Pool
	spec Engine
	// available are the engines that this host places on, as it was told last.
	available []Upstream
	// remote are engines of other cells on which this host has runs.
	remote map[member.UpstreamID]Upstream
	// poolEngines are the engines that take work, as the pool was told.
	poolEngines map[member.UpstreamID]Upstream
	// waiting are the requests that wait for a place.
	waiting map[policy.RunID]chan policy.Decision
	// ownRuns are this host's runs, theirs those of its peers.
	ownRuns  map[policy.RunID]*ownRun
	peerRuns map[policy.RunID]member.HostID
	// unconfirmedGrants are when places were given to runs of peers that haven't told of them yet.
	unconfirmedGrants map[policy.RunID]time.Time
	// averageStep is the time of a step as it was observed of all engines; zero
	// before the first.
	averageStep time.Duration
	// stepSamples counts the pauses that steps were learnt from, and learntAt is
	// when anything was last learnt of the engines.
	stepSamples  uint64
	lastObserved time.Time
}

// expectedStep is the usual time of a expectedStep as far as it is known.
func (p *enginePool) expectedStep() time.Duration {
	if p.averageStep > 0 {
		return p.averageStep
	}
	return assumedStep
}

// shortAnswerLength is the length below which answers count as shortAnswerLength.
func (p *enginePool) shortAnswerLength() policy.Tokens {
	return policy.Tokens(shortAnswerDuration / p.expectedStep())
}

// ownRun is one generation of this host that holds a place.
type ownRun struct {
	request policy.Request
	// engine changes under the lock of engines.
	engine member.UpstreamID
	// incarnation is the engine's; it changes with it.
	incarnation Incarnation
	// firstTokenAt is when its firstTokenAt token came; zero before. It changes under the lock of
	// engines.
	firstTokenAt time.Time
	// generatedTokens counts the tokens passed on so far.
	generatedTokens atomic.Int64
}

// Placement settings.
const (
	// crossZoneStartCost is what an engine of another zone costs a new run, as a
	// share of an engine's memory: a stream across zones is cut when the zones
	// are, so it goes there only when the own zone's engines are much fuller. Short
	// answers pay it, too: hosts hear of each run on their own zone's engines at
	// once, but of another's only now and then, so an engine that looks idle from
	// afar mostly isn't.
	crossZoneStartCost = 0.7
	// crossZoneMoveCost is the same for a run that moves; a move between zones also
	// takes the links twice as long.
	crossZoneMoveCost = 0.8
	// assumedStep is assumed of engines until any run has shown a step.
	assumedStep = 10 * time.Millisecond
	// stepWeight is the weight of the newest observation of a step.
	stepWeight = 0.01
	// shortAnswerDuration is how long short answers take: an engine that leaves mostly
	// still ends them.
	shortAnswerDuration = 500 * time.Millisecond
	// assumedReadRate is how many prompt tokens an engine is taken to read in a
	// second beside its decoding until that is learnt: half of the 14,000 of the
	// first engines' sheets, for a step in which a part of a prompt is read takes
	// about twice as long.
	assumedReadRate = 7000.0
	// queueStagger spreads over a zone's hosts when what waits at each goes to an engine
	// that has just begun to take work: they hear of each other's runs within some 5 ms,
	// and a zone has some ten or twenty hosts.
	queueStagger = 100 * time.Millisecond
	// poolRefreshInterval is how often the pools are told where their runs stand.
	poolRefreshInterval = 100 * time.Millisecond
	// maxRetryAfter bounds what a refused caller is told to wait: engines that
	// leave are replaced within a few seconds.
	maxRetryAfter = 2 * time.Second
	minRetryAfter = 50 * time.Millisecond
)

func newEnginePlacer(self member.HostID, zone member.Zone) *enginePlacer {
	return &enginePlacer{self: self, zone: zone, pools: map[ServiceName]*enginePool{}, lastReported: map[member.HostID]time.Time{}}
}

func (e *enginePlacer) now() time.Time { return e.clock.Now() }

// configure takes in the engine services of a new configuration.
func (e *enginePlacer) configure(t *Table) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, s := range t.Services() {
		if s.Engine == nil {
			continue
		}
		p := e.pools[name]
		if p == nil {
			p = &enginePool{
				poolEngines: map[member.UpstreamID]Upstream{}, waiting: map[policy.RunID]chan policy.Decision{},
				ownRuns: map[policy.RunID]*ownRun{}, peerRuns: map[policy.RunID]member.HostID{}, unconfirmedGrants: map[policy.RunID]time.Time{},
			}
			p.pool = policy.NewPool(policy.Settings{})
			e.pools[name] = p
		}
		p.spec = *s.Engine
		settings := poolSettings(p.spec, t.ShortestGapObjective(name))
		settings.Decider = string(e.self)
		p.pool.SetSettings(settings)
	}
}

const (
	// stepShareOfPause of the shortest pause that a route allows between two events is
	// the longest step that placement aims at, for each token of an event.
	stepShareOfPause = 0.9
	// defaultMaxStep is the same where no route sets a pause.
	defaultMaxStep = 40 * time.Millisecond
)

func poolSettings(e Engine, pause time.Duration) policy.Settings {
	s := policy.Settings{BetweenTokens: defaultMaxStep, MaxBatch: e.Batch, ReadRate: assumedReadRate, Stagger: queueStagger}
	if pause > 0 {
		s.BetweenTokens = time.Duration(stepShareOfPause * float64(pause) / float64(max(e.EventTokens, 1)))
	}
	if e.Moves && e.TokenBytes > 0 {
		s.Movable = policy.Tokens(e.LinkBitsPerSecond / 8 / e.TokenBytes * minMoveWindow.Seconds())
	}
	return s
}

// minMoveWindow is the shortest notice of an engine that leaves, less what the first move
// waits.
const minMoveWindow = 1400 * time.Millisecond

// setAvailable tells which engines take work now.
func (e *enginePlacer) setAvailable(now time.Time, service ServiceName, takers []Upstream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil {
		return
	}
	same := len(takers) > 0 && len(takers) == len(p.available) && &takers[0] == &p.available[0]
	if p.available = takers; !same || p.dropUnusedRemote() {
		p.updatePoolEngines()
	}
	p.refresh(now)
}

// updatePoolEngines tells the pool which engines there are.
func (p *enginePool) updatePoolEngines() {
	ids := make([]member.UpstreamID, 0, len(p.available)+len(p.remote))
	clear(p.poolEngines)
	for _, u := range p.available {
		ids = append(ids, u.ID)
		p.poolEngines[u.ID] = u
	}
	var lent []member.UpstreamID
	for id, u := range p.remote {
		if p.poolEngines[id].ID == "" {
			ids, lent = append(ids, id), append(lent, id)
			p.poolEngines[id] = u
		}
	}
	p.pool.SetEngines(ids)
	// Hosts of other cells place on these, and this one doesn't know what they have to do.
	p.pool.Withhold(lent)
	for _, u := range p.poolEngines {
		p.pool.SetZone(u.ID, u.Zone)
		p.pool.SetGroup(u.ID, string(u.Version))
	}
}

// dropUnusedRemote drops the borrowed engines on which this host has no run any more.
func (p *enginePool) dropUnusedRemote() bool {
	if len(p.remote) == 0 {
		return false
	}
	before := len(p.remote)
	used := make(map[member.UpstreamID]bool, len(p.ownRuns))
	for _, run := range p.ownRuns {
		used[run.engine] = true
	}
	maps.DeleteFunc(p.remote, func(id member.UpstreamID, _ Upstream) bool { return !used[id] })
	return len(p.remote) < before
}

// addRemoteEngine has an engine of another cell be known, on which a host of that has given a place.
func (e *enginePlacer) addRemoteEngine(service ServiceName, u Upstream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil || p.poolEngines[u.ID].ID != "" {
		return
	}
	if p.remote == nil {
		p.remote = map[member.UpstreamID]Upstream{}
	}
	p.remote[u.ID] = u
	p.updatePoolEngines()
	p.pool.Report(e.now(), policy.Report{Engine: u.ID, Memory: p.spec.Memory, Step: p.expectedStep()})
}

// refresh tells the pool how its engines stand and decides what waits.
func (p *enginePool) refresh(now time.Time) {
	p.revokeUnused(now)
	for id, run := range p.ownRuns {
		p.pool.Progress(now, id, policy.Tokens(run.generatedTokens.Load()))
		p.pool.Reading(now, id, run.firstTokenAt)
	}
	for id := range p.poolEngines {
		p.pool.Report(now, policy.Report{Engine: id, Memory: p.spec.Memory, Step: p.expectedStep()})
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
func (e *enginePlacer) place(ctx context.Context, now time.Time, service ServiceName, r policy.Request) (Upstream, *ownRun, policy.Decision) {
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
func (e *enginePlacer) placeOnce(ctx context.Context, now time.Time, service ServiceName, r policy.Request) (Upstream, *ownRun, policy.Decision) {
	e.mu.Lock()
	p := e.pools[service]
	if p == nil {
		e.mu.Unlock()
		return Upstream{}, nil, policy.Decision{Verdict: policy.Refused, Reason: policy.ReasonNoEngine, RetryAfter: maxRetryAfter}
	}
	r.Zone, r.FarCost = e.zone, crossZoneStartCost
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
	return p.poolEngines[d.Engine], p.carry(r, d.Engine), d
}

// withdraw takes back a request whose caller left while it waited.
func (e *enginePlacer) withdraw(p *enginePool, run policy.RunID, decided chan policy.Decision) policy.Decision {
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
func (e *enginePlacer) finish(now time.Time, service ServiceName, run *ownRun, whole bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil {
		return
	}
	made := policy.Tokens(run.generatedTokens.Load())
	delete(p.ownRuns, run.request.Run)
	p.pool.Finish(now, policy.Finish{Run: run.request.Run, Made: made, Whole: whole})
	if whole {
		e.recentlyEnded = append(e.recentlyEnded, EndedRun{Run: run.request.Run, Made: made, endedAt: now})
	}
	p.advance(now)
}

// relocate finds another engine for a run whose engine leaves, not one of those
// to be avoided.
func (e *enginePlacer) relocate(now time.Time, service ServiceName, run *ownRun, t policy.Target) (Upstream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil {
		return Upstream{}, false
	}
	p.pool.Progress(now, run.request.Run, policy.Tokens(run.generatedTokens.Load()))
	id, found := p.pool.Relocate(now, run.request.Run, t)
	if !found {
		return Upstream{}, false
	}
	run.engine, run.incarnation = id, p.poolEngines[id].Incarnation
	return p.poolEngines[id], true
}

// movePriority orders the runs that have to leave an engine: those of routes with long
// answers first, for short ones end by themselves; among them the smallest, so
// that most are moved in the time that there is.
func (e *enginePlacer) movePriority(service ServiceName, run *ownRun) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil {
		return 0
	}
	memory := int(run.request.Prompt) + int(run.generatedTokens.Load())
	if p.pool.MeanLength(&run.request) < p.shortAnswerLength() {
		memory += int(p.spec.Memory)
	}
	return -memory
}

// recordFirstToken takes in that a run has made its first token.
func (e *enginePlacer) recordFirstToken(now time.Time, service ServiceName, run *ownRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.pools[service]; p != nil {
		run.firstTokenAt = now
		p.pool.Begun(now, run.request.Run)
		p.lastObserved = now
	}
}

// otherRuns is how many runs an engine has besides one, as far as is known.
func (e *enginePlacer) otherRuns(service ServiceName, id member.UpstreamID, but policy.RunID) int {
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

// hasRecentProgress reports whether an engine was known to make tokens lately.
func (e *enginePlacer) hasRecentProgress(now time.Time, service ServiceName, id member.UpstreamID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	return p != nil && now.Sub(p.pool.Progressed(id)) <= engineProgressTimeout
}

// observeStep takes in how long an engine took for each of some tokens.
func (e *enginePlacer) observeStep(now time.Time, service ServiceName, step time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil {
		return
	}
	if p.averageStep == 0 {
		p.averageStep = step
	}
	p.averageStep += time.Duration(stepWeight * float64(step-p.averageStep))
	p.stepSamples++
	p.lastObserved = now
}

// expectedDuration is how long an engine is expected to take for a prompt and an answer.
func (e *enginePlacer) expectedDuration(service ServiceName, prompt, out policy.Tokens) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil {
		return time.Duration(out) * assumedStep
	}
	return p.pool.TakesToRead(prompt) + time.Duration(out)*p.expectedStep()
}

// returnToEngine counts a run on an engine again that it wasn't moved from.
func (e *enginePlacer) returnToEngine(now time.Time, service ServiceName, run *ownRun, engine member.UpstreamID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.pools[service]; p != nil && p.pool.Return(now, run.request.Run, engine) {
		run.engine, run.incarnation = engine, p.poolEngines[engine].Incarnation
	}
}

// resetEngine forgets what is believed of an engine whose life is over.
func (e *enginePlacer) resetEngine(id member.UpstreamID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.pools {
		for _, run := range p.pool.Renew(id) {
			delete(p.peerRuns, run)
		}
	}
}

// enginesWithRuns lists the engines that carry runs, of this host or its peers.
func (e *enginePlacer) enginesWithRuns() []member.UpstreamID {
	e.mu.Lock()
	defer e.mu.Unlock()
	carrying := map[member.UpstreamID]bool{}
	for _, p := range e.pools {
		for _, run := range p.ownRuns {
			carrying[run.engine] = true
		}
		for id := range p.peerRuns {
			carrying[p.pool.EngineOf(id)] = true
		}
	}
	delete(carrying, "")
	return slices.Collect(maps.Keys(carrying))
}
