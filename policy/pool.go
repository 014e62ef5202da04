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

// SurvivalCurve estimates how likely an answer of more than made tokens is to go
// on beyond each of Horizons.
type SurvivalCurve interface {
	SurvivalAfter(made Tokens) Survival
}

// lengthModel estimates the lengths of answers.
type lengthModel interface {
	SurvivalCurve(r *Request) SurvivalCurve
	MeanLength(r *Request) Tokens
}

// lengthLearner is a length model that learns from complete answers.
type lengthLearner interface {
	Observe(account resource.Account, route resource.Name, n Tokens)
}

// Pool decides for the engines of one pool in one availability zone. Use
// NewPool. It isn't safe for concurrent use.
type Pool struct {
	settings Settings
	lengths  lengthModel
	// engines holds the active engines in the order in which they were set, and
	// enginesByID indexes them. A host reports several times a second which engines
	// exist and the state of each; scanning the list for each report would grow with
	// the square of their number.
	engines     []*engine
	enginesByID map[EngineID]*engine
	// removedEngines holds engines that are no longer in the list: an engine that is
	// only kept from new work for a while comes back with its runs.
	removedEngines map[EngineID]*engine
	runs           map[RunID]*placedRun
	queue          queue
	stepTimes      stepTimeModel
	prefill        prefillRate
	// paces sums the paces that the active engines report.
	paces          paceTotals
	pacePlacements PacePlacements
	// meanLogSlowness is the mean of the engines' logSlowness.
	meanLogSlowness float64
	// zoneCoverage holds, for other zones, the fraction of their hosts that has
	// reported its runs recently.
	zoneCoverage map[member.Zone]float64
	// deciderCount is how many entries decide for these engines at the same time,
	// each within its share of the free memory. It is 1 for the coordinator.
	deciderCount int
	// reservedEngine is kept free for a request that found no room for a long time;
	// nil if none is.
	reservedEngine *engine
	// departures holds the engines that depart and the room that their runs need.
	departures departures
	// queueBlocked reports that no queued request found room since the last change.
	queueBlocked bool
}

// Option configures a Pool.
type Option func(*Pool)

// WithLengthModel replaces LearnedLengths.
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

// SetSettings changes the settings for later decisions.
func (p *Pool) SetSettings(s Settings) {
	s.applyDefaults()
	p.settings = s
	p.prefill.initialRate = s.InitialPrefillRate
}

// SetDeciderCount sets how many entries decide for these engines at the same
// time.
func (p *Pool) SetDeciderCount(n int) { p.deciderCount = max(n, 1) }

// SetEngines sets the engines that take new work. An engine that is left out
// takes none, but its runs stay known until they finish.
func (p *Pool) SetEngines(ids []EngineID) {
	p.queueBlocked = false
	if p.hasEngines(ids) {
		return
	}
	engines := make([]*engine, 0, len(ids))
	enginesByID := make(map[EngineID]*engine, len(ids))
	for _, id := range ids {
		e := p.knownEngine(id)
		if e == nil {
			e = newEngine(id)
		}
		e.isNew = e.isNew || p.enginesByID[id] == nil
		delete(p.removedEngines, id)
		engines = append(engines, e)
		enginesByID[id] = e
	}
	p.retainRemoved(enginesByID)
	p.engines, p.enginesByID = engines, enginesByID
	p.sumPaces()
	p.departures.refreshedAt = time.Time{}
}

// hasEngines reports whether the active engines are those given, in that order.
func (p *Pool) hasEngines(ids []EngineID) bool {
	return slices.EqualFunc(p.engines, ids, func(e *engine, id EngineID) bool { return e.id == id })
}

// ResetEngine forgets everything about an engine that has restarted, and returns
// the runs that it had: its cached prefixes, prefill speed and report are gone as
// well.
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
	p.departures.refreshedAt = time.Time{}
	fresh := newEngine(id)
	fresh.zone, fresh.group = old.zone, old.group
	if at := slices.Index(p.engines, old); at >= 0 {
		p.engines[at], p.enginesByID[id] = fresh, fresh
		p.sumPaces()
	} else {
		delete(p.removedEngines, id)
	}
	p.queueBlocked = false
	return ended
}

// maxRemovedEngines bounds removedEngines; above it, those without runs are
// dropped.
const maxRemovedEngines = 256

// retainRemoved remembers the engines that aren't in the new list, and drops those
// without runs while there are too many.
func (p *Pool) retainRemoved(enginesByID map[EngineID]*engine) {
	for _, e := range p.engines {
		if enginesByID[e.id] != nil {
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

// activeEngine returns an engine that takes new work, or nil.
func (p *Pool) activeEngine(id EngineID) *engine { return p.enginesByID[id] }

// knownEngine returns an active or a removed engine, or nil.
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

// Waiting returns the number of queued requests.
func (p *Pool) Waiting() int { return len(p.queue.items) }

// Running returns the number of runs that hold a place.
func (p *Pool) Running() int { return len(p.runs) }

// FreeTokens returns the memory that the engines report as free.
func (p *Pool) FreeTokens() Tokens {
	free := Tokens(0)
	for _, e := range p.engines {
		free += max(e.report.TotalMemory-e.report.UsedMemory, 0)
	}
	return free
}

// Report records an engine's report.
func (p *Pool) Report(now time.Time, r Report) {
	e := p.activeEngine(r.Engine)
	if e == nil {
		return
	}
	p.paces.add(e.report, -1)
	p.paces.add(r, 1)
	e.applyReport(now, r)
	e.refreshForecast(now)
	p.stepTimes.observe(r.Running, r.StepTime)
	p.queueBlocked = false
}

// Suspect keeps new work off an engine until its next report.
func (p *Pool) Suspect(id EngineID) {
	if e := p.activeEngine(id); e != nil {
		e.reportedAt = time.Time{}
	}
}

// SetCordoned keeps new work off the given engines, and allows it on all others.
func (p *Pool) SetCordoned(ids []EngineID) {
	for _, e := range p.engines {
		e.cordoned = slices.Contains(ids, e.id)
	}
	p.queueBlocked = false
}

// maxReportAge is the age of a report above which its engine takes no new work.
const maxReportAge = 3 * time.Second

// Reports returns the last report of each engine that sent one.
func (p *Pool) Reports() []Report {
	reports := make([]Report, 0, len(p.engines))
	for _, e := range p.engines {
		if e.capacityKnown() {
			reports = append(reports, e.report)
		}
	}
	return reports
}

// ApplyCacheEvent records a cache event of an engine.
func (p *Pool) ApplyCacheEvent(now time.Time, id EngineID, event CacheEvent) {
	if e := p.activeEngine(id); e != nil {
		e.cache.applyEvent(now, event)
	}
}

// Adopt adds a run that another decider placed, so that a new coordinator knows
// which runs its engines have.
func (p *Pool) Adopt(now time.Time, r Request, id EngineID, generatedTokens Tokens) {
	e := p.knownEngine(id)
	if e == nil || p.runs[r.Run] != nil {
		return
	}
	run := &placedRun{Request: r, generatedTokens: generatedTokens, curve: p.lengths.SurvivalCurve(&r)}
	p.runs[r.Run] = run
	e.add(now, run)
	if generatedTokens == 0 {
		e.addPrefill(now, run, p.expectedPrefillTime(now, e, &r))
	}
	run.startedAt, run.arrivedAt = now.Add(-time.Duration(generatedTokens)*e.expectedStepTime()), p.adoptedSince(now, run)
	p.updateDepartures(now, e)
}

// Submit asks for a place. For a run that is already known it changes nothing and
// returns the run's state.
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
	position := p.queue.position(w)
	if position == 0 {
		if e := p.choose(now, &r); e != nil {
			p.queue.advanceTo(w)
			return p.place(now, &r, e, 0)
		}
	}
	return p.enqueueOrRefuse(now, w, position)
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
	p.countPace(e, r)
	p.updateDepartures(now, e)
	return grantDecision(run, waited)
}

// TryPlace places a request if an engine has room now and no queued request comes
// before it. It doesn't queue the request.
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

// PlaceOn places a request on an engine that another decider has chosen, with that
// decider's forecast of the time to the first token. It returns false if the
// engine isn't active or the run is already placed.
func (p *Pool) PlaceOn(now time.Time, r Request, id EngineID, timeToFirstToken time.Duration) (Decision, bool) {
	e := p.activeEngine(id)
	if e == nil || p.runs[r.Run] != nil {
		return Decision{}, false
	}
	d := p.place(now, &r, e, 0)
	d.TimeToFirstToken = timeToFirstToken
	// The run keeps this pool's own forecast, and the prefill rate is learned
	// from that. The other decider's forecast doesn't depend on the rate learned
	// here, so learning from it would never converge.
	return d, true
}

// Finish removes a run from its engine or from the queue, and learns from it.
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
	run.engine.remove(now, run)
	run.engine.refreshForecast(now)
	p.updateDepartures(now, run.engine)
	p.queueBlocked = false
}

// LearnLength records the length of an answer that ended by itself. Finish does
// so for the runs that were placed here.
func (p *Pool) LearnLength(r *Request, generatedTokens Tokens) {
	if l, learns := p.lengths.(lengthLearner); learns {
		l.Observe(r.Account, r.Route, generatedTokens)
	}
}

// forecastRefreshInterval is how often an engine's memory forecast is recomputed.
const forecastRefreshInterval = 250 * time.Millisecond

// Advance decides about the queued requests as of now.
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

// staggerQueue delays queued requests for an engine that has just begun to take
// work until this decider's own time. All hosts learn of the engine at once;
// without the delay, all that have queued requests would place them there before
// they learn of each other's.
func (p *Pool) staggerQueue(now time.Time, e *engine) {
	if !e.isNew {
		return
	}
	e.isNew = false
	if p.settings.MaxQueueStagger > 0 {
		slot := xxhash.Sum64String(p.settings.DeciderID+" "+string(e.id)) % staggerSteps
		e.queueServedFrom = now.Add(time.Duration(slot) * p.settings.MaxQueueStagger / staggerSteps)
	}
}

// staggerSteps is the number of steps into which MaxQueueStagger is divided.
const staggerSteps = 1024

// Limits on how far later requests may overtake a request that finds no room.
const (
	// maxOvertaking is how many later requests are tried.
	maxOvertaking = 32
	// reserveAfterFraction is the fraction of a request's time until its deadline
	// after which an engine is reserved for it, so that small requests can't
	// overtake a large one forever.
	reserveAfterFraction = 0.5
)

// serveQueue places queued requests in the queue's order. Later requests may
// overtake those that find no room. The first of these that has waited for
// reserveAfterFraction of its time gets the engine reserved that is closest to
// having room for it.
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
