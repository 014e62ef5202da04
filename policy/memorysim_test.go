// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/resource"
)

// This simulation covers the memory of the engines, under a load that fills it while engines are
// reclaimed and replaced:
//   - Prompts are read in chunks between the tokens of other runs.
//   - Runs that don't fit into the memory wait.
//   - When memory runs out, the newest of the least urgent runs is preempted and read again.
//   - A sixth of the engines leaves every few seconds, after a short notice in which the hosts move
//     their runs. Empty engines replace them some seconds later.

// memorySimConfig is a simConfig for engines whose memory is simulated.
type memorySimConfig struct {
	simConfig
	engineMemory Tokens
	// reclaimInterval is how often engines are reclaimed, and reclaimCount how many at once.
	reclaimInterval time.Duration
	reclaimCount    int
	// rank returns the rank with which a run is sent to its engine; runs of lower ranks go first.
	// Nil gives all runs the same rank.
	rank func(r *Request) int
	// settings are the settings of the hosts' pools.
	settings Settings
	// eventTokens is how many tokens a caller gets at a time; zero stands for one.
	eventTokens Tokens
	// expectedNotice is the notice that hosts expect of a reclaimed engine; with zero they don't
	// tell their pools that it departs.
	expectedNotice time.Duration
	// replacementDelay replaces simReplacementDelay unless it is zero.
	replacementDelay time.Duration
}

const (
	// simBaseStepTime is the duration of an engine's step without runs and reading, and
	// simStepTimePerRun what each run adds to it.
	simBaseStepTime   = 7 * time.Millisecond
	simStepTimePerRun = 120 * time.Microsecond
	// simReadChunk is how much of a prompt is read in one step, and simChunkReadTime how long
	// that takes.
	simReadChunk     = Tokens(112)
	simChunkReadTime = 8 * time.Millisecond
	// simMinReclaimNotice is the shortest notice that a reclaimed engine gets; notices are
	// uniform from it to half a second more. simReplacementDelay is the time from the end of a
	// reclaimed engine until an empty engine replaces it.
	simMinReclaimNotice = 1500 * time.Millisecond
	simReplacementDelay = 4 * time.Second
	// simMoveTimePerToken is how long it takes to copy the memory of one token to another engine.
	simMoveTimePerToken = 56 * time.Microsecond
	// simMaxTokenGap is the longest time between two tokens of an answer that counts as in time.
	simMaxTokenGap = 180 * time.Millisecond
	// simDefaultRank is the rank of all runs unless the config has a rank function.
	simDefaultRank = 5
	// simAnyRank, instead of a rank, lets preempt choose among the runs of all ranks.
	simAnyRank = 10
)

// memoryRun is a run on an engine whose memory is simulated.
type memoryRun struct {
	host   *simHost
	run    *simRun
	engine *memoryEngine
	// unread is how many tokens the engine still has to read before it makes the next one.
	unread                  Tokens
	answerLength, generated Tokens
	rank                    int
	// lastTokenAt is when the last token of an event came, and longestGap the longest time between
	// two events.
	lastTokenAt time.Time
	longestGap  time.Duration
	// preemptions counts how often the run was preempted.
	preemptions int
	ended       bool
	// lackedRoom is set once the run had to wait with its move because no engine had room.
	lackedRoom bool
}

func (m *memoryRun) memory() Tokens { return m.run.request.PromptTokens + m.generated }

// memoryEngine is an engine whose memory is simulated.
type memoryEngine struct {
	id               EngineID
	running, waiting []*memoryRun
	// reserved is the memory for runs that are being copied to this engine.
	reserved Tokens
	stopped  bool
	stepping bool
}

func (e *memoryEngine) usedMemory() Tokens {
	used := e.reserved
	for _, m := range e.running {
		used += m.memory()
	}
	return used
}

// memorySimResult counts the outcomes of requests of one kind, in addition to simResult.
type memorySimResult struct {
	inTime, lateFirstToken, longTokenGap, interrupted, preempted int
	// ended counts the runs that ended, and took sums the times from their arrivals.
	ended  int
	took   time.Duration
	wasted Tokens
	// withoutRoom counts the interrupted runs that had waited for room on another engine.
	withoutRoom int
}

// memorySimulation is the state of a running simulation that covers the engines' memory.
type memorySimulation struct {
	*simulation
	config        memorySimConfig
	engines       map[EngineID]*memoryEngine
	memoryResults map[string]*memorySimResult
	// slowdown returns how many times longer than usual an engine's steps take now. Nil makes all
	// engines equal.
	slowdown func(id EngineID) float64
	// observeGap is called with each time between two events of a run, unless it is nil.
	observeGap func(m *memoryRun, gap time.Duration)
	// reclaimRand draws the engines that are reclaimed, and their notices.
	reclaimRand *rand.Rand
	// departures is when the hosts expect each reclaimed engine to end.
	departures map[EngineID]time.Time
	// lackedRoom counts the attempts at a move that found no room.
	lackedRoom int
}

// simulateMemory runs a simulation and returns it and its results by kind of request.
func simulateMemory(c memorySimConfig) (*memorySimulation, map[string]*memorySimResult) {
	s := newMemorySimulation(c)
	s.run()
	return s, s.memoryResults
}

func newMemorySimulation(c memorySimConfig) *memorySimulation {
	s := &memorySimulation{simulation: newSimulation(c.simConfig), config: c, engines: map[EngineID]*memoryEngine{}, memoryResults: map[string]*memorySimResult{}, departures: map[EngineID]time.Time{}}
	s.engineMemory, s.settings = c.engineMemory, c.settings
	s.startOnEngine, s.reclaimRand = s.enqueueRun, s.decisionRand
	s.schedule(c.reclaimInterval/2, s.reclaimEngines)
	return s
}

func (s *memorySimulation) engine(id EngineID) *memoryEngine {
	e := s.engines[id]
	if e == nil {
		e = &memoryEngine{id: id}
		s.engines[id] = e
	}
	return e
}

func (s *memorySimulation) result(m *memoryRun) *memorySimResult {
	kind := string(m.run.request.Route)
	if s.memoryResults[kind] == nil {
		s.memoryResults[kind] = &memorySimResult{}
	}
	return s.memoryResults[kind]
}

// enqueueRun sends a run to its engine, where it waits for memory.
func (s *memorySimulation) enqueueRun(h *simHost, run *simRun, answerLength Tokens) {
	m := &memoryRun{host: h, run: run, unread: run.request.PromptTokens, answerLength: answerLength, rank: simDefaultRank}
	if s.config.rank != nil {
		m.rank = s.config.rank(&run.request)
	}
	run.memoryRun = m
	e := s.engine(run.engine)
	m.engine = e
	if e.stopped {
		s.endRun(m, false)
		return
	}
	e.enqueue(m)
	s.ensureStepping(e)
}

// enqueue adds a run to those that wait for memory, behind those of the same rank.
func (e *memoryEngine) enqueue(m *memoryRun) {
	at := slices.IndexFunc(e.waiting, func(other *memoryRun) bool { return other.rank > m.rank })
	if at < 0 {
		at = len(e.waiting)
	}
	e.waiting = slices.Insert(e.waiting, at, m)
}

// ensureStepping starts the steps of an engine that isn't stepping.
func (s *memorySimulation) ensureStepping(e *memoryEngine) {
	if !e.stepping && !e.stopped {
		e.stepping = true
		s.startStep(e)
	}
}

// startStep starts a step of an engine and schedules its end. The engine stops stepping if it has
// no run.
func (s *memorySimulation) startStep(e *memoryEngine) {
	s.admitWaiting(e)
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	duration := simBaseStepTime + time.Duration(len(e.running))*simStepTimePerRun
	var reading *memoryRun
	if at := slices.IndexFunc(e.running, func(m *memoryRun) bool { return m.unread > 0 }); at >= 0 {
		reading = e.running[at]
		duration += simChunkReadTime
	}
	if s.slowdown != nil {
		duration = time.Duration(float64(duration) * s.slowdown(e.id))
	}
	s.schedule(duration, func() {
		if e.stopped {
			return
		}
		s.finishStep(e, reading)
		s.startStep(e)
	})
}

// finishStep ends a step: a chunk of the prompt of the reading run, if any, is read, and each run
// that has been read makes a token. Runs are preempted if the memory doesn't suffice.
func (s *memorySimulation) finishStep(e *memoryEngine, reading *memoryRun) {
	for _, m := range slices.Clone(e.running) {
		switch {
		case m == reading:
			m.unread = max(m.unread-simReadChunk, 0)
			if m.unread > 0 {
				continue
			}
		case m.unread > 0:
			continue
		}
		s.generateToken(m)
	}
	for e.usedMemory() > s.engineMemory && len(e.running) > 0 {
		s.preempt(e, simAnyRank)
	}
}

// generateToken adds a token to a run.
func (s *memorySimulation) generateToken(m *memoryRun) {
	m.generated++
	switch {
	case m.generated == 1:
		m.run.firstTokenAt, m.lastTokenAt = s.now, s.now
		m.host.pool.RecordFirstToken(s.now, m.run.request.Run)
	case s.config.eventTokens == 0 || m.generated%s.config.eventTokens == 1:
		gap := s.now.Sub(m.lastTokenAt)
		m.longestGap, m.lastTokenAt = max(m.longestGap, gap), s.now
		if s.observeGap != nil {
			s.observeGap(m, gap)
		}
	}
	if m.generated >= m.answerLength {
		s.endRun(m, true)
	}
}

// admitWaiting starts waiting runs as long as there is memory. A waiting run preempts running
// ones of higher ranks.
func (s *memorySimulation) admitWaiting(e *memoryEngine) {
	for len(e.waiting) > 0 {
		m := e.waiting[0]
		for e.usedMemory()+m.memory()+1 > s.engineMemory {
			if !s.preempt(e, m.rank) {
				return
			}
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, m)
	}
}

// preempt preempts the newest of the runs with the highest rank above the given one; simAnyRank
// allows all ranks. The run has to be read again from its beginning. preempt returns false if
// there is no such run.
func (s *memorySimulation) preempt(e *memoryEngine, rank int) bool {
	var victim *memoryRun
	for _, m := range e.running {
		if rank < simAnyRank && m.rank <= rank {
			continue
		}
		if victim == nil || m.rank >= victim.rank {
			victim = m
		}
	}
	if victim == nil {
		return false
	}
	e.running = slices.DeleteFunc(e.running, func(m *memoryRun) bool { return m == victim })
	r := s.result(victim)
	r.preempted++
	r.wasted += victim.memory() - victim.unread
	victim.preemptions++
	victim.unread = victim.memory()
	e.enqueue(victim)
	return true
}

// endRun removes a run from its engine and counts its outcome.
func (s *memorySimulation) endRun(m *memoryRun, completed bool) {
	if m.ended {
		return
	}
	m.ended = true
	m.engine.remove(m)
	r, request := s.result(m), m.run.request
	r.ended, r.took = r.ended+1, r.took+s.now.Sub(request.ArrivedAt)
	switch {
	case !completed:
		r.interrupted++
		if m.lackedRoom {
			r.withoutRoom++
		}
	case m.run.firstTokenAt.Sub(request.ArrivedAt) > request.Objective:
		r.lateFirstToken++
	case m.longestGap > simMaxTokenGap:
		r.longTokenGap++
	default:
		r.inTime++
	}
	m.host.pool.Finish(s.now, Finish{Run: request.Run, GeneratedTokens: m.generated, Complete: completed})
	delete(m.host.ownRuns, request.Run)
}

func (e *memoryEngine) remove(m *memoryRun) {
	same := func(other *memoryRun) bool { return other == m }
	e.running = slices.DeleteFunc(e.running, same)
	e.waiting = slices.DeleteFunc(e.waiting, same)
}

// reclaimEngines announces the end of some engines, schedules their replacement by empty ones,
// and schedules the next reclaim.
func (s *memorySimulation) reclaimEngines() {
	for range s.config.reclaimCount {
		at := s.reclaimRand.IntN(len(s.engineIDs))
		id := s.engineIDs[at]
		zone := s.engineZones[id]
		s.engineIDs = slices.Delete(s.engineIDs, at, at+1)
		e := s.engine(id)
		notice := simMinReclaimNotice + time.Duration(s.reclaimRand.Int64N(int64(500*time.Millisecond)))
		s.schedule(simNotifyDelay, func() { s.moveNextRun(e) })
		s.schedule(notice, func() { s.stopEngine(e) })
		if s.config.expectedNotice > 0 {
			s.departures[id] = s.now.Add(s.config.expectedNotice)
		}
		s.schedule(notice+cmp.Or(s.config.replacementDelay, simReplacementDelay), func() {
			s.addEngine(zone)
			s.listEnginesOnAllHosts()
		})
	}
	for _, h := range s.hosts {
		h.pool.SetDepartures(s.departures)
	}
	s.listEnginesOnAllHosts()
	s.schedule(s.config.reclaimInterval, s.reclaimEngines)
}

// stopEngine stops an engine and interrupts its runs.
func (s *memorySimulation) stopEngine(e *memoryEngine) {
	e.stopped = true
	for _, m := range slices.Concat(e.running, e.waiting) {
		s.endRun(m, false)
	}
}

const (
	// simMoveRetryDelay is how long to wait when no run can be moved.
	simMoveRetryDelay = 50 * time.Millisecond
	// Only runs that have more than simMinTokensToMove tokens left are moved.
	simMinTokensToMove = 40
	// simMoveHeadroom is the memory that a move reserves for the tokens that the run makes
	// meanwhile.
	simMoveHeadroom = 50
)

// moveNextRun moves the smallest movable run off an engine that is about to stop, and continues
// with the next one.
func (s *memorySimulation) moveNextRun(e *memoryEngine) {
	if e.stopped || len(e.running)+len(e.waiting) == 0 {
		return
	}
	var m *memoryRun
	for _, other := range e.running {
		if other.unread == 0 && other.answerLength-other.generated > simMinTokensToMove && (m == nil || other.memory() < m.memory()) {
			m = other
		}
	}
	retry := func() {
		if m != nil {
			m.lackedRoom = true
			s.lackedRoom++
		}
		s.schedule(simMoveRetryDelay, func() { s.moveNextRun(e) })
	}
	if m == nil {
		retry()
		return
	}
	id, found := m.host.pool.Relocate(s.now, m.run.request.Run, Target{CrossZoneCost: s.otherZoneCost})
	target := s.engine(id)
	if !found || target.stopped || target.usedMemory()+m.memory()+simMoveHeadroom > s.engineMemory {
		if found {
			m.host.pool.CancelRelocation(s.now, m.run.request.Run, e.id)
		}
		retry()
		return
	}
	m.run.engine = id
	s.notifyPlacement(m.host, id)
	// The copy takes memory on the target from the start; the run continues meanwhile.
	reserved := m.memory() + simMoveHeadroom
	target.reserved += reserved
	s.schedule(time.Duration(m.memory())*simMoveTimePerToken, func() {
		target.reserved -= reserved
		switch {
		case m.ended || e.stopped && target.stopped:
		case target.stopped:
			s.endRun(m, false)
		default:
			e.remove(m)
			m.engine = target
			target.running = append(target.running, m)
			s.ensureStepping(target)
		}
		s.moveNextRun(e)
	})
}

// memoryLoad returns a load whose peaks need more memory than is left while a sixth of the
// engines is gone.
func memoryLoad(seed uint64) memorySimConfig {
	return memorySimConfig{
		settings:     Settings{InitialPrefillRate: simReadRate, MaxBatchSize: 24, MaxQueueStagger: 100 * time.Millisecond},
		engineMemory: 21_873, reclaimInterval: 3300 * time.Millisecond, reclaimCount: 5,
		simConfig: simConfig{
			zones: 3, hostsPerZone: 11, enginesPerZone: 10, duration: 34 * time.Second, otherZoneCost: 0.7, trafficAmplitude: 0.27, seed: seed, askOtherZones: true,
			kinds: []simRequestKind{
				{route: "chat", meanInterval: 180 * time.Millisecond, objective: 1800 * time.Millisecond, maxPrompt: 6000, maxAnswer: 1768, medianAnswer: 420},
				{route: "digest", meanInterval: 96 * time.Millisecond, objective: 1500 * time.Millisecond, maxPrompt: 5000, maxAnswer: 40, medianAnswer: 5, priority: 1},
			},
		},
	}
}

// memorySimTotals are sums over several seeds.
type memorySimTotals struct {
	memorySimResult
	requests, refused int
}

// simulateMemorySeeds simulates the load of memoryLoad, with a change, for several seeds and
// returns the sums of the results.
func simulateMemorySeeds(t *testing.T, name string, change func(*memorySimConfig)) map[string]*memorySimTotals {
	t.Helper()
	totals := map[string]*memorySimTotals{"chat": {}, "digest": {}}
	for seed := range uint64(2) {
		config := memoryLoad(seed + 1)
		change(&config)
		s, results := simulateMemory(config)
		for kind, total := range totals {
			r, l := results[kind], s.results[resource.Name(kind)]
			total.requests, total.refused = total.requests+l.requests, total.refused+l.refused
			total.inTime, total.lateFirstToken = total.inTime+r.inTime, total.lateFirstToken+r.lateFirstToken
			total.longTokenGap, total.interrupted = total.longTokenGap+r.longTokenGap, total.interrupted+r.interrupted
			total.preempted, total.wasted = total.preempted+r.preempted, total.wasted+r.wasted
		}
	}
	for _, kind := range []string{"chat", "digest"} {
		r := totals[kind]
		t.Logf("%s: %s: %d requests, %d in time, %d with a late first token, %d with a long gap between tokens, %d interrupted, %d refused; %d preemptions, %d tokens read for nothing",
			name, kind, r.requests, r.inTime, r.lateFirstToken, r.longTokenGap, r.interrupted, r.refused, r.preempted, r.wasted)
	}
	return totals
}

// TestFullMemory simulates the load as it is, and with one design decision at a time reverted.
// Each reversal must make more requests late and let fewer chats finish in time.
func TestFullMemory(t *testing.T) {
	baseline := simulateMemorySeeds(t, "as decided", func(*memorySimConfig) {})
	late := func(r map[string]*memorySimTotals) int {
		return r["chat"].lateFirstToken + r["chat"].longTokenGap + r["chat"].interrupted + r["digest"].lateFirstToken
	}
	for name, change := range map[string]func(*memorySimConfig){
		"urgency by route": func(c *memorySimConfig) {
			c.rank = func(r *Request) int { return 1 - r.Priority }
		},
		"zones not asked": func(c *memorySimConfig) { c.askOtherZones = false },
		"waiting for as long as it may be in time": func(c *memorySimConfig) {
			c.settings.MaxWaitFraction = 2
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			changed := simulateMemorySeeds(t, name, change)
			is.True(late(changed) > late(baseline))
			is.True(changed["chat"].inTime < baseline["chat"].inTime)
		})
	}
}

// TestFullMemoryNewEngines checks that requests which wait at many hosts don't collide on an
// engine that has just begun to take work. The hosts learn of the engine at the same moment, so
// without a stagger all of them use it at once.
func TestFullMemoryNewEngines(t *testing.T) {
	manyHosts := func(c *memorySimConfig) {
		c.hostsPerZone, c.enginesPerZone, c.reclaimCount = 22, 20, 10
		c.kinds[0].meanInterval, c.kinds[1].meanInterval = 90*time.Millisecond, 48*time.Millisecond
	}
	is := is.New(t)
	staggered := simulateMemorySeeds(t, "staggered", manyHosts)
	atOnce := simulateMemorySeeds(t, "at once", func(c *memorySimConfig) {
		manyHosts(c)
		c.settings.MaxQueueStagger = 0
	})
	served := func(r map[string]*memorySimTotals) int { return r["chat"].inTime + r["digest"].inTime }
	is.True(served(staggered) > served(atOnce))
	// A chat takes as much work as many digests, so chats are compared separately, too.
	is.True(staggered["chat"].inTime > atOnce["chat"].inTime)
	for _, kind := range []string{"chat", "digest"} {
		is.True(staggered[kind].lateFirstToken < atOnce[kind].lateFirstToken)
	}
}
