// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package bench

import (
	"fmt"
	"slices"
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/standin/engine"
)

// Parameters of the simulated pool.
const (
	engineCount  = 4
	entryCount   = 3
	engineMemory = 24_000
	// reportInterval is the interval between load reports, and reportLag their age on
	// delivery.
	reportInterval  = 250 * time.Millisecond
	reportLag       = 500 * time.Millisecond
	advanceInterval = 20 * time.Millisecond
	// firstTokenTimeout is how long a request may wait to be granted.
	firstTokenTimeout = 10 * time.Second
	// warmUp is excluded from the measurement. Requests arrive during arrivalPeriod,
	// which includes the warm-up, and have settlePeriod after that to finish.
	warmUp        = 10 * time.Second
	arrivalPeriod = 70 * time.Second
	settlePeriod  = 60 * time.Second
	// maxStepTime is the longest step that placement may cause; each step is a gap
	// between tokens.
	maxStepTime = 70 * time.Millisecond
	// pauseDuration is how long no decisions are made after the coordinator is lost or
	// paused.
	pauseDuration = time.Second
	// slowdownFactor multiplies the step time of a slowed engine.
	slowdownFactor = 3
)

func benchSettings() engine.Settings {
	s := engine.DefaultSettings()
	s.MemoryTokens, s.MaxBatch = engineMemory, 256
	return s
}

// simulatedEngine is one engine of the pool.
type simulatedEngine struct {
	id    member.UpstreamID
	model *engine.Model
	// stepEnd is when the current step ends; zero while the engine is idle.
	stepEnd time.Time
	// events are those of the current step.
	events   []engine.Event
	slowdown int
	dead     bool
	// running holds the generations placed on this engine. It may include finished
	// ones.
	running []*generation
}

// delayedReport is a load report that has yet to be delivered.
type delayedReport struct {
	deliverAt time.Time
	report    policy.Report
}

// generation is the state of one generation in the simulation.
type generation struct {
	arrival
	submitAt        time.Time
	engine          *simulatedEngine
	granted         bool
	firstTokenAt    time.Time
	lastTokenAt     time.Time
	generatedTokens int
	done            bool
	refused         bool
	lost            bool
	// retried is set if the caller retries after a refusal, retryGranted if that retry
	// is granted.
	retried, retryGranted bool
	stallTime             time.Duration
	longestGap            time.Duration
	preemptions           int
}

// simulation simulates one policy under one workload in virtual time.
type simulation struct {
	start           time.Time
	now             time.Time
	workload        workload
	decider         decider
	engines         []*simulatedEngine
	engineByID      map[member.UpstreamID]*simulatedEngine
	pendingArrivals []arrival
	// retries are the refused generations to submit again, ordered by submitAt.
	retries         []*generation
	generationByRun map[policy.RunID]*generation
	generations     []*generation
	reports         []delayedReport
	// pausedUntil is the time until which no decisions are made.
	pausedUntil time.Time
	// newDecider creates a new decider when a coordinator is lost.
	newDecider func() decider
	// held are the generations to submit after the pause.
	held []*generation
	// nextFinishedCheck is when to check again whether all generations have ended.
	nextFinishedCheck time.Time
}

// engineIDs returns the IDs of the pool's engines.
func engineIDs() []member.UpstreamID {
	ids := make([]member.UpstreamID, engineCount)
	for i := range ids {
		ids[i] = member.UpstreamID(fmt.Sprintf("g%d", i))
	}
	return ids
}

func newSimulation(w workload, arrivals []arrival, build func(s *simulation) decider) *simulation {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := &simulation{
		start: start, now: start, workload: w, pendingArrivals: arrivals,
		engineByID: map[member.UpstreamID]*simulatedEngine{}, generationByRun: map[policy.RunID]*generation{},
	}
	s.newDecider = func() decider { return build(s) }
	s.decider = s.newDecider()
	for _, id := range engineIDs() {
		e := &simulatedEngine{id: id, model: engine.NewModel(benchSettings()), slowdown: 1}
		s.engines = append(s.engines, e)
		s.engineByID[id] = e
		s.decider.report(start, s.loadReport(e))
	}
	return s
}

func (s *simulation) loadReport(e *simulatedEngine) policy.Report {
	load := e.model.Load()
	return policy.Report{
		Engine: e.id, TotalMemory: policy.Tokens(load.MemoryTokens), UsedMemory: policy.Tokens(load.UsedTokens),
		Running: load.Running, Waiting: load.Waiting, StepTime: load.StepDuration * time.Duration(e.slowdown),
	}
}

// run advances virtual time until all generations have ended or settlePeriod is over.
func (s *simulation) run() measurement {
	end := s.start.Add(arrivalPeriod + settlePeriod)
	nextReport, nextAdvance := s.start, s.start
	eventTriggered := s.workload.event == noEvent
	for s.now.Before(end) {
		if !eventTriggered && s.now.Sub(s.start) >= eventOffset {
			eventTriggered = true
			s.triggerEvent()
		}
		s.submitArrivals()
		s.stepEngines()
		if !s.now.Before(nextReport) {
			nextReport = s.now.Add(reportInterval)
			s.collectReports()
		}
		if !s.now.Before(nextAdvance) {
			nextAdvance = s.now.Add(advanceInterval)
			s.deliverReports()
			if !s.now.Before(s.pausedUntil) {
				s.submitHeld()
				s.apply(s.decider.advance(s.now))
			}
		}
		s.now = s.nextEventTime(nextReport, nextAdvance)
		if s.finished() {
			break
		}
	}
	return s.results()
}

func (s *simulation) finished() bool {
	if len(s.pendingArrivals) > 0 || len(s.retries) > 0 || s.now.Before(s.nextFinishedCheck) {
		return false
	}
	s.nextFinishedCheck = s.now.Add(time.Second)
	for _, g := range s.generations {
		if !g.done && !g.refused && !g.lost {
			return false
		}
	}
	return true
}

// nextEventTime returns the earliest of the given times, the next arrival and the ends
// of the current steps.
func (s *simulation) nextEventTime(moments ...time.Time) time.Time {
	next := moments[0]
	for _, m := range moments[1:] {
		if m.Before(next) {
			next = m
		}
	}
	if len(s.pendingArrivals) > 0 {
		next = earlier(next, s.start.Add(s.pendingArrivals[0].offset))
	}
	for _, e := range s.engines {
		if !e.stepEnd.IsZero() {
			next = earlier(next, e.stepEnd)
		}
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// triggerEvent makes the workload's event happen.
func (s *simulation) triggerEvent() {
	switch s.workload.event {
	case engineLost:
		s.loseEngine(s.engines[0])
	case engineSlowed:
		s.engines[0].slowdown = slowdownFactor
	case coordinatorLost:
		s.pausedUntil = s.now.Add(pauseDuration)
		if _, isPool := s.decider.(*poolDecider); isPool {
			s.replaceCoordinator()
		}
	case coordinatorPaused:
		s.pausedUntil = s.now.Add(pauseDuration)
	}
}

// loseEngine takes an engine out of service. Its generations that have produced a token
// are lost; the others are submitted again.
func (s *simulation) loseEngine(e *simulatedEngine) {
	e.dead = true
	e.stepEnd = time.Time{}
	var alive []member.UpstreamID
	for _, id := range engineIDs() {
		if id != e.id {
			alive = append(alive, id)
		}
	}
	switch d := s.decider.(type) {
	case *poolDecider:
		d.pool.SetEngines(alive)
	case *randomDecider:
		d.engines = alive
	case *perEntryDecider:
		d.removeEngine(e.id, alive)
	}
	for _, g := range s.generations {
		if g.engine != e || g.done {
			continue
		}
		s.decider.finish(s.now, policy.Finish{Run: g.request.Run, GeneratedTokens: policy.Tokens(g.generatedTokens)})
		g.engine, g.granted = nil, false
		if g.generatedTokens > 0 {
			g.lost = true
			continue
		}
		s.submit(g)
	}
}

// replaceCoordinator replaces the decider by a new pool. The new pool knows only the
// load reports and what the entries report of their runs: it adopts the running
// generations, and undecided ones are submitted again after the pause.
func (s *simulation) replaceCoordinator() {
	s.decider = s.newDecider()
	fresh, isPool := s.decider.(*poolDecider)
	if !isPool {
		return
	}
	for _, e := range s.engines {
		fresh.report(s.now, s.loadReport(e))
	}
	for _, g := range s.generations {
		switch {
		case g.engine != nil && !g.done:
			fresh.pool.Adopt(s.now, g.request, g.engine.id, policy.Tokens(g.generatedTokens))
		case !g.granted && !g.refused && !g.lost:
			s.held = append(s.held, g)
		}
	}
}

func (s *simulation) submitHeld() {
	held := s.held
	s.held = nil
	for _, g := range held {
		s.submit(g)
	}
}

func (s *simulation) submitArrivals() {
	for len(s.pendingArrivals) > 0 && !s.start.Add(s.pendingArrivals[0].offset).After(s.now) {
		a := s.pendingArrivals[0]
		s.pendingArrivals = s.pendingArrivals[1:]
		g := &generation{arrival: a, submitAt: s.now}
		g.request.Deadline = s.now.Add(firstTokenTimeout)
		s.generationByRun[a.request.Run] = g
		s.generations = append(s.generations, g)
		s.submit(g)
	}
	for len(s.retries) > 0 && !s.retries[0].submitAt.After(s.now) {
		t := s.retries[0]
		s.retries = s.retries[1:]
		t.refused = false
		t.request.Deadline = s.now.Add(firstTokenTimeout)
		s.submit(t)
	}
}

func (s *simulation) submit(g *generation) {
	if s.now.Before(s.pausedUntil) {
		s.held = append(s.held, g)
		return
	}
	s.apply(s.decider.submit(s.now, len(g.request.Run)%entryCount, g.request))
}

func (s *simulation) apply(decisions []policy.Decision) {
	for _, d := range decisions {
		g := s.generationByRun[d.Run]
		switch d.Verdict {
		case policy.Granted:
			s.grant(g, d)
		case policy.Refused:
			s.refuse(g, d)
		case policy.Queued:
		}
	}
}

func (s *simulation) grant(g *generation, d policy.Decision) {
	g.granted, g.engine = true, s.engineByID[d.Engine]
	g.retryGranted = g.retried
	if g.engine.dead {
		g.lost = true
		return
	}
	work := engine.Generation{
		ID: engine.RunID(d.Run), PromptTokens: int(g.request.PromptTokens), OutputTokens: g.outputTokens, Priority: d.Priority,
		Prefix: prefixOf(g), PrefixTokens: int(g.request.PrefixTokens),
	}
	g.engine.model.Submit(work)
	g.engine.running = append(slices.DeleteFunc(g.engine.running, func(t *generation) bool { return t.done }), g)
	if g.engine.stepEnd.IsZero() {
		g.engine.stepEnd = s.now
	}
}

func prefixOf(g *generation) string {
	if g.request.Prefix == 0 {
		return ""
	}
	return fmt.Sprint(g.request.Prefix)
}

// refuse marks a generation as refused and, if the refusal gives a retry delay, schedules
// its one retry.
func (s *simulation) refuse(g *generation, d policy.Decision) {
	g.refused = true
	if g.retried || d.RetryAfter == 0 {
		return
	}
	g.retried = true
	g.submitAt = s.now.Add(d.RetryAfter)
	index := len(s.retries)
	for index > 0 && s.retries[index-1].submitAt.After(g.submitAt) {
		index--
	}
	s.retries = append(s.retries, nil)
	copy(s.retries[index+1:], s.retries[index:])
	s.retries[index] = g
}

func (s *simulation) stepEngines() {
	for _, e := range s.engines {
		for !e.dead && !e.stepEnd.IsZero() && !e.stepEnd.After(s.now) {
			s.processEvents(e)
			events, took := e.model.Step()
			e.events = append(e.events[:0], events...)
			if took == 0 {
				e.stepEnd = time.Time{}
				break
			}
			e.stepEnd = s.now.Add(took * time.Duration(e.slowdown))
		}
	}
}

// processEvents processes the events of the step that has just ended.
func (s *simulation) processEvents(e *simulatedEngine) {
	for _, event := range e.events {
		g := s.generationByRun[policy.RunID(event.Run)]
		switch event.Kind {
		case engine.Token:
			g.recordToken(s.now, event.Index)
		case engine.Preempted:
			g.preemptions++
		case engine.Ended:
			g.done = true
			s.decider.finish(s.now, policy.Finish{Run: g.request.Run, GeneratedTokens: policy.Tokens(event.Index), Complete: true})
		case engine.Admitted:
		}
	}
	e.events = e.events[:0]
}

// stallThreshold is the shortest gap between two tokens that counts as a stall.
const stallThreshold = 250 * time.Millisecond

func (g *generation) recordToken(now time.Time, index int) {
	g.generatedTokens = index
	if g.firstTokenAt.IsZero() {
		g.firstTokenAt = now
	} else {
		gap := now.Sub(g.lastTokenAt)
		g.longestGap = max(g.longestGap, gap)
		if gap >= stallThreshold {
			g.stallTime += gap
		}
	}
	g.lastTokenAt = now
}

func (s *simulation) collectReports() {
	for _, e := range s.engines {
		if !e.dead {
			s.reports = append(s.reports, delayedReport{deliverAt: s.now.Add(reportLag), report: s.loadReport(e)})
		}
	}
}

func (s *simulation) deliverReports() {
	for len(s.reports) > 0 && !s.reports[0].deliverAt.After(s.now) {
		report := s.reports[0].report
		s.reports = s.reports[1:]
		// Every policy learns of a lost engine at once, so its late reports are dropped.
		if !s.engineByID[report.Engine].dead {
			s.decider.report(s.now, report)
		}
	}
}
