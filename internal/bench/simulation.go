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

// The pool under measurement.
const (
	engineCount  = 4
	entryCount   = 3
	engineMemory = 24_000
	// reportInterval and reportLag are how often the load is had and how old it
	// is then.
	reportInterval  = 250 * time.Millisecond
	reportLag       = 500 * time.Millisecond
	advanceInterval = 20 * time.Millisecond
	// firstTokenTimeout is how long a caller waits for its first token.
	firstTokenTimeout = 10 * time.Second
	// warmUp is left out of the measurement, span is how long work comes in,
	// and settle how long it may take to end after that.
	warmUp        = 10 * time.Second
	arrivalPeriod = 70 * time.Second
	settlePeriod  = 60 * time.Second
	maxStepTime   = 70 * time.Millisecond
	// pauseDuration is how long a lost or paused coordinator is missed.
	pauseDuration  = time.Second
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
	// stepEnd is when the step under way ends; zero while idle.
	stepEnd  time.Time
	events   []engine.Event
	slowdown int
	dead     bool
	// running are the generations placed here, with some that have ended.
	running []*generation
}

// delayedReport is a load report on its way.
type delayedReport struct {
	deliverAt time.Time
	report    policy.Report
}

// generation is what is known of one generation.
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
	// retried says that the caller came back when it was told to, retryGranted that
	// it was let in then.
	retried, retryGranted bool
	stallTime             time.Duration
	longestGap            time.Duration
	preemptions           int
}

// simulation is one run of one policy.
type simulation struct {
	start           time.Time
	now             time.Time
	workload        workload
	decider         decider
	engines         []*simulatedEngine
	engineByID      map[member.UpstreamID]*simulatedEngine
	pendingArrivals []arrival
	// retries are refused callers that will try again, in order of time.
	retries         []*generation
	generationByRun map[policy.RunID]*generation
	generations     []*generation
	reports         []delayedReport
	// pausedUntil is until when nobody decides.
	pausedUntil time.Time
	// newDecider makes a decider afresh, for a lost coordinator.
	newDecider func() decider
	held       []*generation
	// nextFinishedCheck is when to look again whether everything has ended.
	nextFinishedCheck time.Time
}

// engineIDs names the pool's engines.
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
		h := &simulatedEngine{id: id, model: engine.NewModel(benchSettings()), slowdown: 1}
		s.engines = append(s.engines, h)
		s.engineByID[id] = h
		s.decider.report(start, s.loadReport(h))
	}
	return s
}

func (s *simulation) loadReport(h *simulatedEngine) policy.Report {
	load := h.model.Load()
	return policy.Report{
		Engine: h.id, TotalMemory: policy.Tokens(load.MemoryTokens), UsedMemory: policy.Tokens(load.UsedTokens),
		Running: load.Running, Waiting: load.Waiting, StepTime: load.Step * time.Duration(h.slowdown),
	}
}

// run goes through virtual time to the end of the settling.
func (s *simulation) run() measurement {
	end := s.start.Add(arrivalPeriod + settlePeriod)
	nextReport, nextAdvance := s.start, s.start
	happened := s.workload.event == noEvent
	for s.now.Before(end) {
		if !happened && s.now.Sub(s.start) >= eventOffset {
			happened = true
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
	return s.tally()
}

func (s *simulation) finished() bool {
	if len(s.pendingArrivals) > 0 || len(s.retries) > 0 || s.now.Before(s.nextFinishedCheck) {
		return false
	}
	s.nextFinishedCheck = s.now.Add(time.Second)
	for _, t := range s.generations {
		if !t.done && !t.refused && !t.lost {
			return false
		}
	}
	return true
}

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
	for _, h := range s.engines {
		if !h.stepEnd.IsZero() {
			next = earlier(next, h.stepEnd)
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

// triggerEvent is the workload's mishap.
func (s *simulation) triggerEvent() {
	switch s.workload.event {
	case engineLost:
		s.loseEngine(s.engines[0])
	case engineSlowed:
		s.engines[0].slowdown = slowdownFactor
	case coordinatorLost:
		s.pausedUntil = s.now.Add(pauseDuration)
		if _, ours := s.decider.(*poolDecider); ours {
			s.replaceCoordinator()
		}
	case coordinatorPaused:
		s.pausedUntil = s.now.Add(pauseDuration)
	}
}

// loseEngine ends an engine. Generations that gave a token are lost with it;
// the others are asked for again.
func (s *simulation) loseEngine(h *simulatedEngine) {
	h.dead = true
	h.stepEnd = time.Time{}
	var alive []member.UpstreamID
	for _, id := range engineIDs() {
		if id != h.id {
			alive = append(alive, id)
		}
	}
	switch d := s.decider.(type) {
	case *poolDecider:
		d.pool.SetEngines(alive)
	case *randomDecider:
		d.engines = alive
	case *perEntryDecider:
		d.removeEngine(h.id, alive)
	}
	for _, t := range s.generations {
		if t.engine != h || t.done {
			continue
		}
		s.decider.finish(s.now, policy.Finish{Run: t.request.Run, GeneratedTokens: policy.Tokens(t.generatedTokens)})
		t.engine, t.granted = nil, false
		if t.generatedTokens > 0 {
			t.lost = true
			continue
		}
		s.submit(t)
	}
}

// replaceCoordinator has a new pool take over: it knows nothing but what the
// entries tell it of their runs.
func (s *simulation) replaceCoordinator() {
	s.decider = s.newDecider()
	fresh, ours := s.decider.(*poolDecider)
	if !ours {
		return
	}
	for _, h := range s.engines {
		fresh.report(s.now, s.loadReport(h))
	}
	for _, t := range s.generations {
		switch {
		case t.engine != nil && !t.done:
			fresh.pool.Adopt(s.now, t.request, t.engine.id, policy.Tokens(t.generatedTokens))
		case !t.granted && !t.refused && !t.lost:
			s.held = append(s.held, t)
		}
	}
}

func (s *simulation) submitHeld() {
	held := s.held
	s.held = nil
	for _, t := range held {
		s.submit(t)
	}
}

func (s *simulation) submitArrivals() {
	for len(s.pendingArrivals) > 0 && !s.start.Add(s.pendingArrivals[0].offset).After(s.now) {
		a := s.pendingArrivals[0]
		s.pendingArrivals = s.pendingArrivals[1:]
		t := &generation{arrival: a, submitAt: s.now}
		t.request.Deadline = s.now.Add(firstTokenTimeout)
		s.generationByRun[a.request.Run] = t
		s.generations = append(s.generations, t)
		s.submit(t)
	}
	for len(s.retries) > 0 && !s.retries[0].submitAt.After(s.now) {
		t := s.retries[0]
		s.retries = s.retries[1:]
		t.refused = false
		t.request.Deadline = s.now.Add(firstTokenTimeout)
		s.submit(t)
	}
}

func (s *simulation) submit(t *generation) {
	if s.now.Before(s.pausedUntil) {
		s.held = append(s.held, t)
		return
	}
	s.apply(s.decider.submit(s.now, len(t.request.Run)%entryCount, t.request))
}

func (s *simulation) apply(decisions []policy.Decision) {
	for _, d := range decisions {
		t := s.generationByRun[d.Run]
		switch d.Verdict {
		case policy.Granted:
			s.grant(t, d)
		case policy.Refused:
			s.refuse(t, d)
		case policy.Queued:
		}
	}
}

func (s *simulation) grant(t *generation, d policy.Decision) {
	t.granted, t.engine = true, s.engineByID[d.Engine]
	t.retryGranted = t.retried
	if t.engine.dead {
		t.lost = true
		return
	}
	work := engine.Work{
		ID: engine.RunID(d.Run), Prompt: int(t.request.PromptTokens), Length: t.outputTokens, Priority: d.Priority,
		Prefix: prefixOf(t), PrefixTokens: int(t.request.PrefixTokens),
	}
	t.engine.model.Submit(work)
	t.engine.running = append(slices.DeleteFunc(t.engine.running, func(t *generation) bool { return t.done }), t)
	if t.engine.stepEnd.IsZero() {
		t.engine.stepEnd = s.now
	}
}

func prefixOf(t *generation) string {
	if t.request.Prefix == 0 {
		return ""
	}
	return fmt.Sprint(t.request.Prefix)
}

// refuse has a caller that was told when to come back do so, once.
func (s *simulation) refuse(t *generation, d policy.Decision) {
	t.refused = true
	if t.retried || d.RetryAfter == 0 {
		return
	}
	t.retried = true
	t.submitAt = s.now.Add(d.RetryAfter)
	at := len(s.retries)
	for at > 0 && s.retries[at-1].submitAt.After(t.submitAt) {
		at--
	}
	s.retries = append(s.retries, nil)
	copy(s.retries[at+1:], s.retries[at:])
	s.retries[at] = t
}

func (s *simulation) stepEngines() {
	for _, h := range s.engines {
		for !h.dead && !h.stepEnd.IsZero() && !h.stepEnd.After(s.now) {
			s.processEvents(h)
			events, took := h.model.Step()
			h.events = append(h.events[:0], events...)
			if took == 0 {
				h.stepEnd = time.Time{}
				break
			}
			h.stepEnd = s.now.Add(took * time.Duration(h.slowdown))
		}
	}
}

// processEvents accounts for the step that has just ended.
func (s *simulation) processEvents(h *simulatedEngine) {
	for _, event := range h.events {
		t := s.generationByRun[policy.RunID(event.Run)]
		switch event.Kind {
		case engine.Token:
			t.recordToken(s.now, event.Index)
		case engine.Preempted:
			t.preemptions++
		case engine.Ended:
			t.done = true
			s.decider.finish(s.now, policy.Finish{Run: t.request.Run, GeneratedTokens: policy.Tokens(event.Index), Complete: true})
		case engine.Admitted:
		}
	}
	h.events = h.events[:0]
}

// stallThreshold is the gap between tokens that counts as a stall.
const stallThreshold = 250 * time.Millisecond

func (t *generation) recordToken(now time.Time, index int) {
	t.generatedTokens = index
	if t.firstTokenAt.IsZero() {
		t.firstTokenAt = now
	} else {
		gap := now.Sub(t.lastTokenAt)
		t.longestGap = max(t.longestGap, gap)
		if gap >= stallThreshold {
			t.stallTime += gap
		}
	}
	t.lastTokenAt = now
}

func (s *simulation) collectReports() {
	for _, h := range s.engines {
		if !h.dead {
			s.reports = append(s.reports, delayedReport{deliverAt: s.now.Add(reportLag), report: s.loadReport(h)})
		}
	}
}

func (s *simulation) deliverReports() {
	for len(s.reports) > 0 && !s.reports[0].deliverAt.After(s.now) {
		report := s.reports[0].report
		s.reports = s.reports[1:]
		// A lost engine is known at once to all, for every policy alike.
		if !s.engineByID[report.Engine].dead {
			s.decider.report(s.now, report)
		}
	}
}
