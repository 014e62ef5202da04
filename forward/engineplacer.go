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

// enginePlacer places runs on the engines of each service. A run is one generation on an
// engine. Each host decides on its own: it knows its own runs exactly, and those of its peers
// as far as they report them.
type enginePlacer struct {
	self member.HostID
	zone member.Zone
	// clock gives the current time; nil stands for the system clock.
	clock *clock.Clock
	// roomForMoves is PlacementSettings.RoomForMoves.
	roomForMoves bool

	// paceEnabled enables placement by pace; it is set before the first configuration.
	paceEnabled bool

	mu    sync.Mutex
	pools map[ServiceName]*enginePool
	// lastReported is when each peer last reported its runs.
	lastReported map[member.HostID]time.Time
	// reports holds the engines' own reports; nil for none. It is set before use.
	reports *engineReports
	// balanceZones enables the load sharing between zones. It is set before use.
	balanceZones bool
	// recentlyEnded are the runs of this host whose answers recently completed.
	recentlyEnded []EndedRun
}

// enginePool is the placement state of one service's engines.
type enginePool struct {
	pool *policy.Pool
	spec Engine
	// available are the engines that this host places new runs on, as set by setAvailable.
	available []Upstream
	// remote are engines of other cells, on which hosts of these cells granted places to runs
	// of this host. They are dropped when this host has no run on them.
	remote map[member.UpstreamID]Upstream
	// poolEngines are the engines that the policy pool knows: available and remote.
	poolEngines map[member.UpstreamID]Upstream
	// waiting holds, for each queued run, the channels that receive its decision: several, if callers
	// use an ID for more than one request at a time.
	waiting map[policy.RunID][]chan policy.Decision
	// ownRuns are the runs of this host; peerRuns are those of its peers, with the host of
	// each.
	ownRuns  map[policy.RunID]*ownRun
	peerRuns map[policy.RunID]member.HostID
	// unconfirmedGrants is when places were granted to peers' runs that the peers have not
	// reported yet.
	unconfirmedGrants map[policy.RunID]time.Time
	// averageStep is the moving average of the decoding steps observed on all engines of the
	// service; zero before the first observation.
	averageStep time.Duration
	// stepSamples counts the observations in averageStep; lastObserved is when anything about
	// the engines was last observed.
	stepSamples  uint64
	lastObserved time.Time
	// pace is the pace of each engine.
	pace servicePace
	// balance shares load with other zones; nil where that is disabled.
	balance *zoneBalance
	// reports is that of the placer.
	reports *engineReports
	// heldForMoves is how many attempts at placing a request had been held back for departing
	// runs when that was last logged.
	heldForMoves uint64
	// paceMoved and paceFailed count the moves for pace that were tried.
	paceMoved, paceFailed uint64
}

// expectedStep is how long a decoding step is expected to take.
func (p *enginePool) expectedStep() time.Duration {
	if p.averageStep > 0 {
		return p.averageStep
	}
	return assumedStep
}

// shortAnswerLength is the length below which answers count as short.
func (p *enginePool) shortAnswerLength() policy.Tokens {
	return policy.Tokens(shortAnswerDuration / p.expectedStep())
}

// ownRun is a run of this host that holds a place on an engine.
type ownRun struct {
	request policy.Request
	// engine is guarded by enginePlacer.mu.
	engine member.UpstreamID
	// incarnation is that of engine and changes with it.
	incarnation Incarnation
	// firstTokenAt is when the first token arrived; zero before. It is guarded by
	// enginePlacer.mu.
	firstTokenAt time.Time
	// generatedTokens counts the tokens passed on to the caller so far.
	generatedTokens atomic.Int64
	// longestGap is the longest time between two of its events, in nanoseconds.
	longestGap atomic.Int64
	// pace is what its moves for pace depend on.
	pace paceHistory
}

// Placement settings.
const (
	// crossZoneStartCost is what an engine of another zone costs a new run, as a share of an
	// engine's memory. A stream between zones breaks when the zones are partitioned, so a run
	// starts there only if the engines of the own zone are much fuller. Short answers pay the
	// cost, too: hosts learn of runs in their own zone at once, but of those in other zones
	// only from time to time, so a remote engine that looks idle usually is not.
	crossZoneStartCost = 0.7
	// crossZoneMoveCost is the same cost for a run that moves. A move between zones also
	// occupies the links for twice as long.
	crossZoneMoveCost = 0.8
	// assumedStep is the duration of a decoding step until one has been observed.
	assumedStep = 10 * time.Millisecond
	// stepWeight is the weight of the newest observation in the moving average of steps.
	stepWeight = 0.01
	// shortAnswerDuration is how long the answers take that count as short. An engine that
	// leaves usually still completes them.
	shortAnswerDuration = 500 * time.Millisecond
	// assumedReadRate is how many prompt tokens per second an engine is assumed to read beside
	// decoding, until the rate has been observed: half of the 14,000 that the data sheets of
	// the first engines give, because a step that also reads part of a prompt takes about twice
	// as long.
	assumedReadRate = 7000.0
	// queueStagger is the period over which the hosts of a zone spread their queued requests
	// when an engine begins to take work. Hosts learn of each other's runs within about 5 ms,
	// and a zone has ten to twenty hosts.
	queueStagger = 100 * time.Millisecond
	// poolRefreshInterval is how often the pools are updated with the progress of their runs.
	poolRefreshInterval = 100 * time.Millisecond
	// maxRetryAfter and minRetryAfter bound the delay after which a refused caller is asked to
	// retry. Engines that leave are replaced within a few seconds.
	maxRetryAfter = 2 * time.Second
	minRetryAfter = 50 * time.Millisecond
)

func newEnginePlacer(self member.HostID, zone member.Zone) *enginePlacer {
	return &enginePlacer{self: self, zone: zone, pools: map[ServiceName]*enginePool{}, lastReported: map[member.HostID]time.Time{}}
}

func (e *enginePlacer) now() time.Time { return e.clock.Now() }

// configure creates and updates the pools of the engine services of a configuration.
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
				poolEngines: map[member.UpstreamID]Upstream{}, waiting: map[policy.RunID][]chan policy.Decision{},
				ownRuns: map[policy.RunID]*ownRun{}, peerRuns: map[policy.RunID]member.HostID{}, unconfirmedGrants: map[policy.RunID]time.Time{},
			}
			p.pool = policy.NewPool(policy.Settings{})
			p.reports = e.reports
			if e.balanceZones {
				p.balance = &zoneBalance{}
			}
			e.pools[name] = p
		}
		p.spec = *s.Engine
		if e.paceEnabled {
			p.pace.configure(t.ShortestGapObjective(name), p.spec)
		}
		settings := poolSettings(p.spec, t.ShortestGapObjective(name))
		settings.DeciderID, settings.RoomForMoves = string(e.self), e.roomForMoves && p.spec.Moves
		p.pool.SetSettings(settings)
	}
}

// services returns the engine services of a configuration, and those of earlier ones: requests that
// were accepted for these still wait or run.
func (e *enginePlacer) services(t *Table) []Service {
	e.mu.Lock()
	defer e.mu.Unlock()
	services := make([]Service, 0, len(e.pools))
	for name, p := range e.pools {
		s, _ := t.Service(name)
		if s.Engine == nil {
			spec := p.spec
			s = Service{Name: name, Engine: &spec}
		}
		services = append(services, s)
	}
	return services
}

const (
	// stepShareOfPause sets the longest step that placement aims at: this share of the shortest
	// pause that any route to the service allows between two events, divided by the tokens of
	// an event.
	stepShareOfPause = 0.9
	// defaultMaxStep is the longest step that placement aims at if no route limits the pause.
	defaultMaxStep = 40 * time.Millisecond
)

// poolSettings returns the settings of an engine's pool. shortestPause is the shortest pause
// that any route to the service allows between two events; zero if no route limits it.
func poolSettings(e Engine, shortestPause time.Duration) policy.Settings {
	s := policy.Settings{MaxStepTime: defaultMaxStep, MaxBatchSize: e.Batch, InitialPrefillRate: assumedReadRate, MaxQueueStagger: queueStagger}
	if shortestPause > 0 {
		s.MaxStepTime = time.Duration(stepShareOfPause * float64(shortestPause) / float64(max(e.EventTokens, 1)))
	}
	if e.Moves && e.TokenBytes > 0 {
		s.MovableTokens = policy.Tokens(e.LinkBitsPerSecond / 8 / e.TokenBytes * minMoveWindow.Seconds())
	}
	return s
}

// minMoveWindow is the shortest time in which runs can be moved off an engine that leaves: the
// shortest notice of such an engine, less the delay before the first move.
const minMoveWindow = 1400 * time.Millisecond

// setAvailable sets the engines of a service that new runs are placed on, and refreshes its
// pool. A slice that is passed again counts as unchanged.
func (e *enginePlacer) setAvailable(now time.Time, service ServiceName, available []Upstream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil {
		return
	}
	same := len(available) > 0 && len(available) == len(p.available) && &available[0] == &p.available[0]
	if p.available = available; !same || p.dropUnusedRemote() {
		p.updatePoolEngines()
	}
	p.refresh(now)
	p.observeZoneLoad(now, e.zone)
}

// updatePoolEngines passes the available and remote engines to the policy pool.
func (p *enginePool) updatePoolEngines() {
	ids := make([]member.UpstreamID, 0, len(p.available)+len(p.remote))
	clear(p.poolEngines)
	for _, u := range p.available {
		ids = append(ids, u.ID)
		p.poolEngines[u.ID] = u
	}
	var remote []member.UpstreamID
	for id, u := range p.remote {
		if p.poolEngines[id].ID == "" {
			ids, remote = append(ids, id), append(remote, id)
			p.poolEngines[id] = u
		}
	}
	p.pool.SetEngines(ids)
	// Hosts of other cells place runs on these engines; this host does not know their load, so
	// it must not place new runs there.
	p.pool.SetCordoned(remote)
	for _, u := range p.poolEngines {
		p.pool.SetZone(u.ID, u.Zone)
		p.pool.SetGroup(u.ID, string(u.Version))
	}
}

// dropUnusedRemote drops the remote engines on which this host has no runs. It reports whether
// it dropped any.
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

// addRemoteEngine adds an engine of another cell, on which a host of that cell granted a place.
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
	now := e.now()
	p.pool.Report(now, p.report(now, u.ID))
}

// refresh passes the state of the engines and runs to the policy pool, and delivers decisions
// on queued requests.
func (p *enginePool) refresh(now time.Time) {
	p.revokeUnusedGrants(now)
	for id, run := range p.ownRuns {
		p.pool.Progress(now, id, policy.Tokens(run.generatedTokens.Load()))
		p.pool.UpdatePrefill(now, id, run.firstTokenAt)
	}
	p.pace.update(now)
	for id := range p.poolEngines {
		p.pool.Report(now, p.report(now, id))
	}
	p.applyLoads(now)
	p.advance(now)
}

// advance delivers the decisions that the policy pool makes on queued requests.
func (p *enginePool) advance(now time.Time) {
	for _, d := range p.pool.Advance(now) {
		for _, waiting := range p.waiting[d.Run] {
			waiting <- d
		}
		delete(p.waiting, d.Run)
	}
}

// place places a generation on an engine. It waits for a place until the request's deadline at
// most.
func (e *enginePlacer) place(ctx context.Context, now time.Time, service ServiceName, r policy.Request) (Upstream, *ownRun, policy.Decision) {
	for {
		u, run, d := e.placeOnce(ctx, now, service, r)
		if run == nil || u.ID != "" {
			return u, run, d
		}
		// The engine left after the grant. The request is neither sent there nor refused for
		// that reason, but placed again.
		now = e.now()
		e.finish(now, service, run, false)
	}
}

// placeOnce makes one attempt for place. It returns a run with a zero Upstream if the granted
// engine has left since.
func (e *enginePlacer) placeOnce(ctx context.Context, now time.Time, service ServiceName, r policy.Request) (Upstream, *ownRun, policy.Decision) {
	e.mu.Lock()
	p := e.pools[service]
	if p == nil {
		e.mu.Unlock()
		return Upstream{}, nil, policy.Decision{Verdict: policy.Refused, Reason: policy.ReasonNoEngine, RetryAfter: maxRetryAfter}
	}
	r.Zone, r.CrossZoneCost = e.zone, crossZoneStartCost
	d := p.pool.Submit(now, r)
	if d.Verdict == policy.Queued {
		decision := make(chan policy.Decision, 1)
		p.waiting[r.Run] = append(p.waiting[r.Run], decision)
		e.mu.Unlock()
		select {
		case d = <-decision:
		case <-ctx.Done():
			return Upstream{}, nil, e.withdraw(p, r.Run, decision)
		}
		e.mu.Lock()
	}
	defer e.mu.Unlock()
	if d.Verdict != policy.Granted {
		return Upstream{}, nil, d
	}
	return p.poolEngines[d.Engine], p.addOwnRun(r, d.Engine), d
}

// withdraw cancels a queued request whose context has ended. The run stays in the queue while another
// request waits for it.
func (e *enginePlacer) withdraw(p *enginePool, run policy.RunID, decision chan policy.Decision) policy.Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	p.waiting[run] = slices.DeleteFunc(p.waiting[run], func(c chan policy.Decision) bool { return c == decision })
	if len(p.waiting[run]) == 0 {
		delete(p.waiting, run)
		p.pool.Finish(e.now(), policy.Finish{Run: run})
	}
	select {
	case <-decision:
	default:
	}
	return policy.Decision{Run: run, Verdict: policy.Refused, Reason: policy.ReasonDeadline}
}

// finish frees a run's place. complete says that the answer completed, so that its length is
// known.
func (e *enginePlacer) finish(now time.Time, service ServiceName, run *ownRun, complete bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil {
		return
	}
	generated := policy.Tokens(run.generatedTokens.Load())
	delete(p.ownRuns, run.request.Run)
	p.pool.Finish(now, policy.Finish{Run: run.request.Run, GeneratedTokens: generated, Complete: complete})
	if complete {
		e.recentlyEnded = append(e.recentlyEnded, EndedRun{Run: run.request.Run, Made: generated, endedAt: now})
	}
	p.advance(now)
}

// relocate finds another engine for a run whose engine leaves. It skips the engines that t
// excludes.
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

// movePriority ranks the runs that have to move off an engine; the highest moves first. Runs of
// routes with long answers precede those with short answers, which complete before the engine
// has left. Within each group the smallest precede, so that most runs move in the time
// available.
func (e *enginePlacer) movePriority(service ServiceName, run *ownRun) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil {
		return 0
	}
	memory := int(run.request.PromptTokens) + int(run.generatedTokens.Load())
	if p.pool.MeanLength(&run.request) < p.shortAnswerLength() {
		memory += int(p.spec.Memory)
	}
	return -memory
}

// recordFirstToken records that a run has generated its first token.
func (e *enginePlacer) recordFirstToken(now time.Time, service ServiceName, run *ownRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.pools[service]; p != nil {
		run.firstTokenAt = now
		p.pool.RecordFirstToken(now, run.request.Run)
		p.lastObserved = now
	}
}

// otherRuns counts the runs known on an engine, without the run except.
func (e *enginePlacer) otherRuns(service ServiceName, id member.UpstreamID, except policy.RunID) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil {
		return 0
	}
	n := p.pool.RunCount(id)
	if p.pool.EngineOf(except) == id {
		n--
	}
	return n
}

// hasRecentProgress reports whether a run on the engine is known to have generated a token
// within engineProgressTimeout.
func (e *enginePlacer) hasRecentProgress(now time.Time, service ServiceName, id member.UpstreamID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	return p != nil && now.Sub(p.pool.LastProgress(id)) <= engineProgressTimeout
}

// observeStep updates the average step with the time that an engine took per token.
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

// expectedDuration is how long an engine is expected to take to read a prompt and generate an
// output.
func (e *enginePlacer) expectedDuration(service ServiceName, prompt, output policy.Tokens) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil {
		return time.Duration(output) * assumedStep
	}
	return p.pool.IdlePrefillTime(prompt) + time.Duration(output)*p.expectedStep()
}

// returnToEngine counts a run on its engine again after a move that did not take place.
func (e *enginePlacer) returnToEngine(now time.Time, service ServiceName, run *ownRun, engine member.UpstreamID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.pools[service]; p != nil && p.pool.CancelRelocation(now, run.request.Run, engine) {
		run.engine, run.incarnation = engine, p.poolEngines[engine].Incarnation
	}
}

// resetEngine discards what is known about an engine that started again, including the runs
// counted on it.
func (e *enginePlacer) resetEngine(id member.UpstreamID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.pools {
		p.forgetPaces([]member.UpstreamID{id})
		for _, run := range p.pool.ResetEngine(id) {
			delete(p.peerRuns, run)
		}
	}
}

// enginesWithRuns lists the engines that have runs of this host or its peers.
func (e *enginePlacer) enginesWithRuns() []member.UpstreamID {
	e.mu.Lock()
	defer e.mu.Unlock()
	withRuns := map[member.UpstreamID]bool{}
	for _, p := range e.pools {
		for _, run := range p.ownRuns {
			withRuns[run.engine] = true
		}
		for id := range p.peerRuns {
			withRuns[p.pool.EngineOf(id)] = true
		}
	}
	delete(withRuns, "")
	return slices.Collect(maps.Keys(withRuns))
}
