// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/resource"
)

// A load that fills the engines' memory while engines come and go is played on engines
// that keep account of it: prompts are read in pieces between the tokens of other runs,
// what doesn't fit waits, and when memory runs out the newest of the least urgent runs is
// thrown back and read anew. A sixth of the engines leaves every few seconds with a short
// notice, in which their hosts move the runs, and empty ones come some seconds later.

// memorySimConfig is what such a load adds to a plan.
type memorySimConfig struct {
	simConfig
	engineMemory Tokens
	// reclaimInterval is how often reclaimed engines leave, that many at once.
	reclaimInterval time.Duration
	reclaimCount    int
	// rank is what an engine is told of a run; lower goes first. Nil has all alike.
	rank func(r *Request) int
	// settings are those of the hosts' pools.
	settings Settings
}

const (
	// simBaseStepTime is a step of an engine with nothing to read, and playedRun's part of it.
	simBaseStepTime   = 7 * time.Millisecond
	simStepTimePerRun = 120 * time.Microsecond
	// simReadChunk is how much of a prompt is read in one step, and playedRead how long
	// that takes.
	simReadChunk     = Tokens(112)
	simChunkReadTime = 8 * time.Millisecond
	// simMinReclaimNotice is the shortest notice of a reclaimed engine; half a second more is as
	// likely. playedEmpty is when an empty engine comes in its place.
	simMinReclaimNotice = 1500 * time.Millisecond
	simReplacementDelay = 4 * time.Second
	// simMoveTimePerToken is how long the memory of a token takes to another engine.
	simMoveTimePerToken = 56 * time.Microsecond
	// simMaxTokenGap is the longest pause between two tokens with which an answer is in time.
	simMaxTokenGap = 180 * time.Millisecond
)

// memoryRun is a run on an engine whose memory is played.
type memoryRun struct {
	host   *simHost
	run    *simRun
	engine *memoryEngine
	// unread is what the engine has to read still before the next token.
	unread                  Tokens
	answerLength, generated Tokens
	rank                    int
	// lastTokenAt is when its last token came, longest the longest pause, and since when it
	// runs there.
	lastTokenAt time.Time
	longestGap  time.Duration
	// preemptions counts how often it was preemptions back.
	preemptions int
	ended       bool
}

func (m *memoryRun) memory() Tokens { return m.run.request.Prompt + m.generated }

// memoryEngine is an engine that keeps account of its memory.
type memoryEngine struct {
	id               EngineID
	running, waiting []*memoryRun
	// reserved is the memory of copies that are on their way here.
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

// memorySimResult is what callers of one kind got, besides what loadResult tells.
type memorySimResult struct {
	inTime, lateFirstToken, longTokenGap, interrupted, preempted int
	wasted                                                       Tokens
}

// memorySimulation plays a fullPlan.
type memorySimulation struct {
	*simulation
	config        memorySimConfig
	engines       map[EngineID]*memoryEngine
	memoryResults map[string]*memorySimResult
}

// simulateMemory returns what the callers of each kind got.
func simulateMemory(c memorySimConfig) (*memorySimulation, map[string]*memorySimResult) {
	s := &memorySimulation{simulation: newSimulation(c.simConfig), config: c, engines: map[EngineID]*memoryEngine{}, memoryResults: map[string]*memorySimResult{}}
	s.engineMemory, s.settings = c.engineMemory, c.settings
	s.startOnEngine = s.enqueueRun
	s.schedule(c.reclaimInterval/2, s.reclaimEngines)
	s.run()
	return s, s.memoryResults
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

// enqueueRun has an engine enqueueRun a run.
func (s *memorySimulation) enqueueRun(h *simHost, run *simRun, answerLength Tokens) {
	m := &memoryRun{host: h, run: run, unread: run.request.Prompt, answerLength: answerLength, rank: 5}
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

// enqueue puts a run among those that enqueue for memory.
func (e *memoryEngine) enqueue(m *memoryRun) {
	at := slices.IndexFunc(e.waiting, func(other *memoryRun) bool { return other.rank > m.rank })
	if at < 0 {
		at = len(e.waiting)
	}
	e.waiting = slices.Insert(e.waiting, at, m)
}

// ensureStepping has an engine step if it doesn't already.
func (s *memorySimulation) ensureStepping(e *memoryEngine) {
	if !e.stepping && !e.stopped {
		e.stepping = true
		s.startStep(e)
	}
}

// startStep plays one startStep of an engine.
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
	s.schedule(duration, func() {
		if e.stopped {
			return
		}
		s.finishStep(e, reading)
		s.startStep(e)
	})
}

// finishStep is the end of a step in which a piece of one run's prompt may have been read.
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
		s.preempt(e, 10)
	}
}

// generateToken has a run make a generateToken.
func (s *memorySimulation) generateToken(m *memoryRun) {
	m.generated++
	if m.generated == 1 {
		m.run.firstTokenAt = s.now
		m.host.pool.Begun(s.now, m.run.request.Run)
	} else {
		m.longestGap = max(m.longestGap, s.now.Sub(m.lastTokenAt))
	}
	m.lastTokenAt = s.now
	if m.generated >= m.answerLength {
		s.endRun(m, true)
	}
}

// admitWaiting has what waits run as far as there is memory; what is more urgent than what runs
// throws that back.
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

// preempt throws the newest of the least urgent runs back that is less urgent than some
// bound.
func (s *memorySimulation) preempt(e *memoryEngine, rank int) bool {
	var victim *memoryRun
	for _, m := range e.running {
		if rank < 10 && m.rank <= rank {
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

// endRun takes a run off its engine.
func (s *memorySimulation) endRun(m *memoryRun, completed bool) {
	if m.ended {
		return
	}
	m.ended = true
	m.engine.remove(m)
	r, request := s.result(m), m.run.request
	switch {
	case !completed:
		r.interrupted++
	case m.run.firstTokenAt.Sub(request.Arrived) > request.Objective:
		r.lateFirstToken++
	case m.longestGap > simMaxTokenGap:
		r.longTokenGap++
	default:
		r.inTime++
	}
	m.host.pool.Finish(s.now, Finish{Run: request.Run, Made: m.generated, Whole: completed})
	delete(m.host.ownRuns, request.Run)
}

func (e *memoryEngine) remove(m *memoryRun) {
	same := func(other *memoryRun) bool { return other == m }
	e.running = slices.DeleteFunc(e.running, same)
	e.waiting = slices.DeleteFunc(e.waiting, same)
}

// reclaimEngines has some engines leave, and empty ones come for them.
func (s *memorySimulation) reclaimEngines() {
	for range s.config.reclaimCount {
		at := s.decisionRand.IntN(len(s.engineIDs))
		id := s.engineIDs[at]
		zone := s.engineZones[id]
		s.engineIDs = slices.Delete(s.engineIDs, at, at+1)
		e := s.engine(id)
		notice := simMinReclaimNotice + time.Duration(s.decisionRand.Int64N(int64(500*time.Millisecond)))
		s.schedule(simNotifyDelay, func() { s.moveNextRun(e) })
		s.schedule(notice, func() { s.stopEngine(e) })
		s.schedule(notice+simReplacementDelay, func() {
			s.addEngine(zone)
			s.listEnginesOnAllHosts()
		})
	}
	s.listEnginesOnAllHosts()
	s.schedule(s.config.reclaimInterval, s.reclaimEngines)
}

// stopEngine ends an engine and what it runs.
func (s *memorySimulation) stopEngine(e *memoryEngine) {
	e.stopped = true
	for _, m := range slices.Concat(e.running, e.waiting) {
		s.endRun(m, false)
	}
}

// simMoveRetryDelay is when a run that couldn't be moved is tried again.
const simMoveRetryDelay = 50 * time.Millisecond

// moveNextRun moves the smallest run of an engine that leaves, and then the next.
func (s *memorySimulation) moveNextRun(e *memoryEngine) {
	if e.stopped || len(e.running)+len(e.waiting) == 0 {
		return
	}
	var m *memoryRun
	for _, other := range e.running {
		if other.unread == 0 && other.answerLength-other.generated > 40 && (m == nil || other.memory() < m.memory()) {
			m = other
		}
	}
	retry := func() { s.schedule(simMoveRetryDelay, func() { s.moveNextRun(e) }) }
	if m == nil {
		retry()
		return
	}
	id, found := m.host.pool.Relocate(s.now, m.run.request.Run, Target{FarCost: s.otherZoneCost})
	target := s.engine(id)
	if !found || target.stopped || target.usedMemory()+m.memory()+50 > s.engineMemory {
		if found {
			m.host.pool.Return(s.now, m.run.request.Run, e.id)
		}
		retry()
		return
	}
	m.run.engine = id
	s.notifyPlacement(m.host, id)
	// The copy holds memory at the target from its beginning; the run goes on meanwhile.
	reserved := m.memory() + 50
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

// memoryLoad is a load whose crests need more memory than there is while a sixth of the
// engines is gone.
func memoryLoad(seed uint64) memorySimConfig {
	return memorySimConfig{
		settings:     Settings{ReadRate: simReadRate, MaxBatch: 24, Stagger: 100 * time.Millisecond},
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

// memorySimTotals are sums over some seeds.
type memorySimTotals struct {
	memorySimResult
	requests, refused int
}

// simulateMemorySeeds plays the load with something changed and sums up what callers got.
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
		t.Logf("%s: %s asked %d, in time %d, first token late %d, pause late %d, cut %d, refused %d; thrown back %d, %d tokens read for nothing",
			name, kind, r.requests, r.inTime, r.lateFirstToken, r.longTokenGap, r.interrupted, r.refused, r.preempted, r.wasted)
	}
	return totals
}

// TestFullMemory plays the load as it is decided, and with one decision at a time taken
// back: each of them serves more callers in time.
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
			c.settings.WaitPart = 2
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

// TestFullMemoryNewEngines has what waits at many hosts not meet on an engine that has just
// begun to take work: the hosts hear of it at the same moment.
func TestFullMemoryNewEngines(t *testing.T) {
	manyHosts := func(c *memorySimConfig) {
		c.hostsPerZone, c.enginesPerZone, c.reclaimCount = 22, 20, 10
		c.kinds[0].meanInterval, c.kinds[1].meanInterval = 90*time.Millisecond, 48*time.Millisecond
	}
	is := is.New(t)
	staggered := simulateMemorySeeds(t, "staggered", manyHosts)
	atOnce := simulateMemorySeeds(t, "at once", func(c *memorySimConfig) {
		manyHosts(c)
		c.settings.Stagger = 0
	})
	served := func(r map[string]*memorySimTotals) int { return r["chat"].inTime + r["digest"].inTime }
	is.True(served(staggered) > served(atOnce))
	// Each long answer is many short ones' work.
	is.True(staggered["chat"].inTime > atOnce["chat"].inTime)
	for _, kind := range []string{"chat", "digest"} {
		is.True(staggered[kind].lateFirstToken < atOnce[kind].lateFirstToken)
	}
}
