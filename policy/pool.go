// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/resource"
)

// SurvivalCurve tells how likely an answer of more than made tokens is to have more at
// each of Horizons ahead.
type SurvivalCurve interface {
	SurvivalAfter(made Tokens) Survival
}

// lengthModel knows how long answers get.
type lengthModel interface {
	SurvivalCurve(r *Request) SurvivalCurve
	MeanLength(r *Request) Tokens
}

// lengthLearner is a length model that learns from answers that ended.
type lengthLearner interface {
	Observe(account resource.Account, route resource.Name, n Tokens)
}

// Pool decides for the engines of one pool in one availability zone. Use
// NewPool. It isn't safe for use by several goroutines.
type Pool struct {
	settings Settings
	lengths  lengthModel
	// engines is in the order in which they were named, and named finds them by id: a
	// host says several times a second which engines there are and how each stands, and
	// by a search through all of them that grows with the square of their number.
	engines     []*engine
	enginesByID map[EngineID]*engine
	// removedEngines are engines that are no longer named: one that is only kept from new
	// work for a while comes back with its runs.
	removedEngines map[EngineID]*engine
	runs           map[RunID]*placedRun
	queue          queue
	stepTimes      stepTimeModel
	prefill        prefillRate
	// meanLogSlowness is the mean of the engines' logSlow.
	meanLogSlowness float64
	// zoneCoverage says of other zones which part of their hosts has told lately what it
	// runs.
	zoneCoverage map[member.Zone]float64
	// deciderCount is how many entries decide about these engines at once, each
	// within its part of the free memory. It is 1 for the coordinator.
	deciderCount int
	// reservedEngine is the engine that is reservedEngine for a large request; nil mostly.
	reservedEngine *engine
	// queueBlocked says that the queue's head found no room since the last change.
	queueBlocked bool
}

// Option changes how a Pool is built.
type Option func(*Pool)

// WithLengthModel replaces the learned lengths.
func WithLengthModel(m lengthModel) Option {
	return func(p *Pool) { p.lengths = m }
}

// NewPool returns a pool without engines.
func NewPool(s Settings, opts ...Option) *Pool {
	s.applyDefaults()
	p := &Pool{settings: s, lengths: &LearnedLengths{}, runs: map[RunID]*placedRun{}, prefill: prefillRate{initialRate: s.InitialPrefillRate}, deciderCount: 1}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// SetSettings changes the settings for decisions from now on.
func (p *Pool) SetSettings(s Settings) {
	s.applyDefaults()
	p.settings = s
	p.prefill.initialRate = s.InitialPrefillRate
}

// SetDeciderCount says how many entries decide about these engines at once.
func (p *Pool) SetDeciderCount(n int) { p.deciderCount = max(n, 1) }

// SetEngines says which engines take new work. An engine that is no longer
// named takes none; what it runs stays known until it finishes.
func (p *Pool) SetEngines(ids []EngineID) {
	p.queueBlocked = false
	if p.hasEngines(ids) {
		return
	}
	engines := make([]*engine, 0, len(ids))
	named := make(map[EngineID]*engine, len(ids))
	for _, id := range ids {
		e := p.knownEngine(id)
		if e == nil {
			e = newEngine(id)
		}
		e.isNew = e.isNew || p.enginesByID[id] == nil
		delete(p.removedEngines, id)
		engines = append(engines, e)
		named[id] = e
	}
	p.retainRemoved(named)
	p.engines, p.enginesByID = engines, named
}

// hasEngines reports whether the engines are those already, in the same order.
func (p *Pool) hasEngines(ids []EngineID) bool {
	return slices.EqualFunc(p.engines, ids, func(e *engine, id EngineID) bool { return e.id == id })
}

// ResetEngine forgets everything about an engine that has started again: its runs, which are
// returned, what it keeps, how fast it reads and what it reported.
func (p *Pool) ResetEngine(id EngineID) []RunID {
	old := p.knownEngine(id)
	if old == nil {
		return nil
	}
	ended := make([]RunID, 0, len(old.orderedRuns))
	for _, run := range old.orderedRuns {
		ended = append(ended, run.Run)
		delete(p.runs, run.Run)
	}
	fresh := newEngine(id)
	fresh.zone, fresh.group = old.zone, old.group
	if at := slices.Index(p.engines, old); at >= 0 {
		p.engines[at], p.enginesByID[id] = fresh, fresh
	} else {
		delete(p.removedEngines, id)
	}
	p.queueBlocked = false
	return ended
}

// maxRemovedEngines bounds the engines that are remembered without runs.
const maxRemovedEngines = 256

// retainRemoved remembers the engines that aren't named any more.
func (p *Pool) retainRemoved(named map[EngineID]*engine) {
	for _, e := range p.engines {
		if named[e.id] != nil {
			continue
		}
		if p.removedEngines == nil {
			p.removedEngines = map[EngineID]*engine{}
		}
		p.removedEngines[e.id] = e
	}
	for id, e := range p.removedEngines {
		if len(p.removedEngines) > maxRemovedEngines && len(e.orderedRuns) == 0 {
			delete(p.removedEngines, id)
		}
	}
}

// activeEngine returns an activeEngine that takes new work; nil when none of that name does.
func (p *Pool) activeEngine(id EngineID) *engine { return p.enginesByID[id] }

// knownEngine returns an engine that takes new work or is away; nil when it isn't
// known.
func (p *Pool) knownEngine(id EngineID) *engine {
	if e := p.activeEngine(id); e != nil {
		return e
	}
	return p.removedEngines[id]
}

// Engines returns the engines that take new work.
func (p *Pool) Engines() []EngineID {
	ids := make([]EngineID, len(p.engines))
	for i, e := range p.engines {
		ids[i] = e.id
	}
	return ids
}

// Waiting is how many requests are queued.
func (p *Pool) Waiting() int { return len(p.queue.items) }

// Running is how many runs hold a place.
func (p *Pool) Running() int { return len(p.runs) }

// FreeTokens is the memory that the engines report as free.
func (p *Pool) FreeTokens() Tokens {
	free := Tokens(0)
	for _, e := range p.engines {
		free += max(e.report.TotalMemory-e.report.UsedMemory, 0)
	}
	return free
}

// Report takes in what an engine said of itself.
func (p *Pool) Report(now time.Time, r Report) {
	e := p.activeEngine(r.Engine)
	if e == nil {
		return
	}
	e.applyReport(now, r)
	e.refreshForecast(now)
	p.stepTimes.observe(r.Running, r.StepTime)
	p.queueBlocked = false
}

// Suspect keeps new work from an engine until it reports again.
func (p *Pool) Suspect(id EngineID) {
	if e := p.activeEngine(id); e != nil {
		e.reportedAt = time.Time{}
	}
}

// SetCordoned keeps new work from the named engines, and from no others that were
// named before.
func (p *Pool) SetCordoned(ids []EngineID) {
	for _, e := range p.engines {
		e.cordoned = slices.Contains(ids, e.id)
	}
	p.queueBlocked = false
}

// maxReportAge is how old a report may be for its engine to take new work.
const maxReportAge = 3 * time.Second

// Reports returns each engine's last report.
func (p *Pool) Reports() []Report {
	reports := make([]Report, 0, len(p.engines))
	for _, e := range p.engines {
		if e.capacityKnown() {
			reports = append(reports, e.report)
		}
	}
	return reports
}

// ApplyCacheEvent takes in a cache event of an engine.
func (p *Pool) ApplyCacheEvent(now time.Time, id EngineID, event CacheEvent) {
	if e := p.activeEngine(id); e != nil {
		e.cache.applyEvent(now, event)
	}
}

// Adopt takes in a run that was placed by another, so that a new coordinator
// knows what its engines already carry.
func (p *Pool) Adopt(now time.Time, r Request, id EngineID, made Tokens) {
	e := p.knownEngine(id)
	if e == nil || p.runs[r.Run] != nil {
		return
	}
	run := &placedRun{Request: r, generatedTokens: made, curve: p.lengths.SurvivalCurve(&r)}
	p.runs[r.Run] = run
	e.add(now, run)
	if made == 0 {
		e.addPrefill(now, run, p.expectedPrefillTime(now, e, &r))
	}
	run.startedAt = now.Add(-time.Duration(made) * e.expectedStepTime())
}

// Submit asks for a place. Asking again for a run that is known changes
// nothing and tells how it stands.
func (p *Pool) Submit(now time.Time, r Request) Decision {
	if run := p.runs[r.Run]; run != nil {
		return grantDecision(run, 0)
	}
	if p.queue.indexOf(r.Run) >= 0 {
		return Decision{Run: r.Run, Verdict: Queued}
	}
	if refusal, no := p.refuseImpossible(r); no {
		return refusal
	}
	w := p.queue.newRequest(now, r, r.PromptTokens+p.lengths.MeanLength(&r))
	at := p.queue.position(w)
	if at == 0 {
		if e := p.choose(now, &r); e != nil {
			p.queue.advanceTo(w)
			return p.place(now, &r, e, 0)
		}
	}
	return p.enqueueOrRefuse(now, w, at)
}

func grantDecision(run *placedRun, waited time.Duration) Decision {
	return Decision{
		Run: run.Run, Verdict: Granted, Engine: run.engine.id, Priority: run.preemptionPriority, Waited: waited, TimeToFirstToken: run.timeToFirstToken,
		PeakMemory: run.engine.forecastPeak(), BatchSize: run.engine.batchSize(),
	}
}

func (p *Pool) place(now time.Time, r *Request, e *engine, waited time.Duration) Decision {
	run := &placedRun{Request: *r, curve: p.lengths.SurvivalCurve(r), preemptionPriority: p.preemptionPriority(r)}
	p.runs[r.Run] = run
	run.placedAt, run.timeToFirstToken = now, p.timeToFirstToken(now, e, r)
	e.add(now, run)
	e.addPrefill(now, run, p.expectedPrefillTime(now, e, r))
	e.cache.put(now, r.Prefix, r.PrefixTokens)
	return grantDecision(run, waited)
}

// TryPlace places a request if that can be done at once, ahead of nothing that waits. It
// doesn't queue it.
func (p *Pool) TryPlace(now time.Time, r Request) (Decision, bool) {
	if p.runs[r.Run] != nil || p.queue.indexOf(r.Run) >= 0 {
		return Decision{}, false
	}
	cost := r.PromptTokens + p.lengths.MeanLength(&r)
	w := p.queue.newRequest(now, r, cost)
	if p.queue.position(w) == 0 {
		if e := p.choose(now, &r); e != nil {
			p.queue.advanceTo(w)
			return p.place(now, &r, e, 0), true
		}
	}
	p.queue.adjustCharge(r.Account, -cost)
	return Decision{}, false
}

// PlaceOn places a request on an engine that another decider has chosen, which expects
// its first token after some time. It reports false when that engine isn't known.
func (p *Pool) PlaceOn(now time.Time, r Request, id EngineID, firstAfter time.Duration) (Decision, bool) {
	e := p.activeEngine(id)
	if e == nil || p.runs[r.Run] != nil {
		return Decision{}, false
	}
	d := p.place(now, &r, e, 0)
	d.TimeToFirstToken = firstAfter
	// What is learnt from its first token is measured against what is foreseen here: what
	// the other foresaw doesn't follow from what is learnt here, and learning from that
	// would never come to an end.
	return d, true
}

// Finish takes a run off its engine, or out of the queue, and learns from it.
func (p *Pool) Finish(now time.Time, f Finish) {
	if i := p.queue.indexOf(f.Run); i >= 0 {
		w := p.queue.removeAt(i)
		p.refuse(w, ReasonDeadline, 0)
		return
	}
	run := p.runs[f.Run]
	if run == nil {
		return
	}
	delete(p.runs, f.Run)
	estimate := p.lengths.MeanLength(&run.Request)
	p.queue.adjustCharge(run.Account, f.GeneratedTokens-estimate)
	if f.Complete {
		p.LearnLength(&run.Request, f.GeneratedTokens)
	}
	run.engine.remove(run)
	run.engine.refreshForecast(now)
	p.queueBlocked = false
}

// LearnLength takes in the length of an answer that ended by itself; Finish does so
// for the runs that were placed here.
func (p *Pool) LearnLength(r *Request, made Tokens) {
	if l, learns := p.lengths.(lengthLearner); learns {
		l.Observe(r.Account, r.Route, made)
	}
}

// forecastRefreshInterval is how often an engine's memory is foreseen anew.
const forecastRefreshInterval = 250 * time.Millisecond

// Advance decides about what waits, as of now.
func (p *Pool) Advance(now time.Time) []Decision {
	for _, e := range p.engines {
		p.staggerQueue(now, e)
		if now.Sub(e.refreshedAt) >= forecastRefreshInterval {
			e.refreshForecast(now)
			p.queueBlocked = false
		}
	}
	decided := p.refuseLate(now)
	if p.queueBlocked {
		return decided
	}
	return p.serveQueue(now, decided)
}

// staggerQueue has an engine that has just begun to take work get what waits here only when
// this decider's time has come. All hosts hear of it at once, and those that have requests
// waiting would all place them there before they hear of each other's.
func (p *Pool) staggerQueue(now time.Time, e *engine) {
	if !e.isNew {
		return
	}
	e.isNew = false
	if p.settings.MaxQueueStagger > 0 {
		part := xxhash.Sum64String(p.settings.DeciderID+" "+string(e.id)) % staggerSteps
		e.queueServedFrom = now.Add(time.Duration(part) * p.settings.MaxQueueStagger / staggerSteps)
	}
}

// staggerSteps is how finely the time of Stagger is divided.
const staggerSteps = 1024

// Limits of how far a request that finds no room lets others pass.
const (
	// maxOvertaking is how many requests behind it are tried.
	maxOvertaking = 32
	// reserveAfterFraction is the part of its time after which an engine is kept for
	// it, so that small requests can't pass a large one for ever.
	reserveAfterFraction = 0.5
)

// serveQueue places what it can in the queue's order. A request that finds no room
// lets others pass; when the first of them has waited for half of its time, the
// engine that will have room for it soonest is kept for it.
func (p *Pool) serveQueue(now time.Time, decided []Decision) []Decision {
	skipped := 0
	p.reservedEngine = nil
	for i := 0; i < len(p.queue.items) && skipped <= maxOvertaking; {
		w := p.queue.items[i]
		e := p.chooseForQueued(now, w)
		if e != nil {
			p.queue.removeAt(i)
			p.queue.advanceTo(w)
			decided = append(decided, p.place(now, &w.Request, e, now.Sub(w.queuedAt)))
			continue
		}
		if p.reservedEngine == nil && now.Sub(w.queuedAt) > time.Duration(reserveAfterFraction*float64(w.Deadline.Sub(w.queuedAt))) {
			p.reservedEngine = p.leastOverfull(now, &w.Request)
		}
		skipped++
		i++
	}
	p.queueBlocked = len(p.queue.items) > 0
	return decided
}
