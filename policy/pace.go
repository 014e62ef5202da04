// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"math"
	"time"
)

// Engines of one service may differ in speed, and each may be slow for some time.
// A caller counts an answer as late if a single pause between two of its events is
// too long, so an answer of hundreds of events is late on an engine where one step
// in a hundred is too long, and an answer of two events hardly ever is. If engines
// report a SlowStepTime, the terms of this file replace the line of step times that
// is fitted for the whole pool (see stepTimeModel). They address engines at 0.6 to
// 1.6 of the usual speed that are 2.5 times slower for 0.6 s in every 4 s.
//
// The terms are fractions of an engine's memory, as the other parts of a cost are.
// None of them forbids an engine: a late answer is better than none.

const (
	// pauseWeight is the cost of an answer that will be late because of a pause. All
	// of it is lost to its caller, so it costs as much as an engine full of memory:
	// engines that meet the bound are filled first, those of other zones included.
	pauseWeight = 1.0
	// unknownPauseRisk is the risk of a long pause on an engine whose pace isn't known
	// yet while others' is. One in three engines is slow in the load addressed, and
	// an engine that has just joined looks attractive because it is empty.
	unknownPauseRisk = 0.3
	// prefillPauseWeight is the cost of reading a prompt on an engine where that makes
	// the pauses of running answers too long, for an engine full of such answers and
	// a prompt as large as its memory. An engine holds about eight long answers.
	// Reading a prompt of a tenth of its memory takes a slow engine 0.6 s, and its
	// probability to become slower in that time is 0.3: two or three late answers.
	prefillPauseWeight = 20.0
	// exposureWeight is the cost of an answer that runs for meanEngineLife. Then its
	// engine most likely departs under it, and it must be moved or is cut, and its
	// memory is in use for longer. At 1 or 1.5 fewer long answers are in time; at 4 a
	// quarter more runs are cut because the fast engines are too full.
	exposureWeight = 2.0
	// meanEngineLife is how long an engine lives if a sixth of all departs every 3.3 s.
	meanEngineLife = 20 * time.Second
	// The probability that the longest pause exceeds the bound rises from zero to one
	// while its estimate rises from pauseRiskStart to pauseRiskEnd times the bound.
	// Estimates are made from few samples, and an estimate near the bound decides
	// little.
	pauseRiskStart = 0.8
	pauseRiskEnd   = 1.2
	// prefillPauseSteps is the number of steps among which the longest is estimated
	// for the answers that run while a prompt is read: reading 3,000 tokens in chunks
	// takes some 30 steps, and an answer sees about three prompts read.
	prefillPauseSteps = 100
	// exposedHorizon is the index in horizons of the length beyond which an answer has
	// more than a few events, so that a long pause among them is likely: 32 tokens,
	// eight events of four tokens.
	exposedHorizon = 1
)

// prefillPauseSpread is pauseSpread for prefillPauseSteps.
var prefillPauseSpread = pauseSpread(prefillPauseSteps)

// enginePace is how fast an engine decodes, in nanoseconds per step: the typical
// time, and the time that one step in ten exceeds, which isn't below the former.
type enginePace struct{ step, slowStep float64 }

// longest returns an estimate of the longest of several steps, whose number is
// given by its pauseSpread.
func (e *enginePace) longest(spread float64) float64 { return e.step + spread*(e.slowStep-e.step) }

// pauseSpread returns how many times the difference between the slow and the
// typical step the longest of n steps lies above the typical one. The tail is taken
// to be exponential: it falls to a tenth with each such difference.
func pauseSpread(n Tokens) float64 { return math.Log10(float64(max(n, 1))) }

// paceTotals are sums over the active engines that report their own pace. They are
// integers, so that they return to zero when engines report none any more. The zero
// value is empty.
type paceTotals struct {
	engines        int
	step, slowStep time.Duration
}

// add adds the pace of a report, or with a sign of -1 removes it.
func (t *paceTotals) add(r Report, sign int) {
	if r.SlowStepTime <= 0 {
		return
	}
	t.engines += sign
	t.step += time.Duration(sign) * r.StepTime
	t.slowStep += time.Duration(sign) * r.SlowStepTime
}

// sumPaces recomputes the totals after the list of engines has changed.
func (p *Pool) sumPaces() {
	p.paces = paceTotals{}
	for _, e := range p.engines {
		p.paces.add(e.report, 1)
	}
}

// typical returns the mean pace; zero if no engine reports its own.
func (t *paceTotals) typical() enginePace {
	if t.engines == 0 {
		return enginePace{}
	}
	return newEnginePace(t.step/time.Duration(t.engines), t.slowStep/time.Duration(t.engines))
}

func newEnginePace(step, slowStep time.Duration) enginePace {
	if slowStep < step {
		slowStep = step
	}
	return enginePace{step: float64(step), slowStep: float64(slowStep)}
}

// paceOf returns an engine's pace, and whether it is its own. An engine that
// reports none counts as typical.
func (p *Pool) paceOf(e *engine) (pace enginePace, own bool) {
	if e.report.SlowStepTime > 0 {
		return e.pace, true
	}
	return p.paces.typical(), false
}

// paceSearch holds what the pace terms need to know of a request and the pool. The
// zero value means that no engine reports its own pace, and the terms don't apply.
type paceSearch struct {
	active bool
	// typical is the pace assumed for an engine that reports none.
	typical enginePace
	// bounds is 1/MaxStepTime: times it, a duration is in multiples of the bound.
	bounds float64
	// spread is the pauseSpread of the expected answer.
	spread float64
	// pauseCost is the cost of a certain long pause: pauseWeight times the probability
	// that the answer lasts for more than a few events.
	pauseCost float64
	// exposureCost is the cost per nanosecond of step time.
	exposureCost float64
}

func (p *Pool) newPaceSearch(r *Request, growth *memoryForecast) paceSearch {
	if p.paces.engines == 0 {
		return paceSearch{}
	}
	length := p.lengths.MeanLength(r)
	return paceSearch{
		active: true, typical: p.paces.typical(), bounds: 1 / float64(p.settings.MaxStepTime), spread: pauseSpread(length),
		pauseCost:    pauseWeight * growth.mean[exposedHorizon] / float64(r.PromptTokens+horizons[exposedHorizon]),
		exposureCost: exposureWeight * float64(length) / float64(meanEngineLife),
	}
}

// cost returns the cost of an engine's pace for the request: its own pauses, what
// reading its prompt does to the answers that run there, and its time there.
// prefill is the cost of reading the prompt there.
func (s *paceSearch) cost(e *engine, prefill float64) float64 {
	pace, own := &e.pace, e.report.SlowStepTime > 0
	if !own {
		pace = &s.typical
	}
	risk := pauseRisk(pace.longest(s.spread) * s.bounds)
	if !own && risk < unknownPauseRisk {
		risk = unknownPauseRisk
	}
	cost := s.pauseCost*risk + s.exposureCost*pace.step
	if risk := pauseRisk(pace.longest(prefillPauseSpread) * s.bounds); risk > 0 {
		// The memory of the answers that are expected to go on for more than a few events.
		disturbed := e.forecast.mean[exposedHorizon] / float64(e.report.TotalMemory)
		cost += prefillPauseWeight / prefillWeight * disturbed * prefill * risk
	}
	return cost
}

// pauseRisk returns the probability that a pause exceeds the bound, by the estimate
// of the longest pause in multiples of the bound.
func pauseRisk(longest float64) float64 {
	// The built-in min and max handle NaNs, which takes longer.
	switch {
	case longest <= pauseRiskStart:
		return 0
	case longest >= pauseRiskEnd:
		return 1
	}
	return (longest - pauseRiskStart) * (1 / (pauseRiskEnd - pauseRiskStart))
}

// paceSlowness returns an engine's step time relative to the mean of the engines
// that report their pace; one if the engine or all active ones report none. It
// stands in for the engine's prefill slowness until that is learned: an engine that
// decodes slowly reads prompts slowly, too, and short answers placed there would be
// late.
func (p *Pool) paceSlowness(e *engine) float64 {
	// A removed engine keeps its last report, which paces doesn't include.
	if e.report.SlowStepTime <= 0 || e.report.StepTime <= 0 || p.paces.step <= 0 {
		return 1
	}
	ratio := float64(e.report.StepTime) * float64(p.paces.engines) / float64(p.paces.step)
	return min(max(ratio, 1/maxSlowness), maxSlowness)
}

// keepProgress keeps the estimated progress of an engine's runs when its step time
// changes: what a run has generated doesn't change with the estimate of its speed.
// An engine that doesn't report its own pace keeps the times at which its runs are
// assumed to have started.
func (e *engine) keepProgress(now time.Time, from time.Duration) {
	for _, run := range e.orderedRuns {
		run.rescaleProgress(now, from, e.expectedStepTime())
	}
}

// keepMovedProgress is keepProgress for a run that was moved here.
func (e *engine) keepMovedProgress(now time.Time, run *placedRun, from *engine) {
	if e.report.SlowStepTime > 0 || from.report.SlowStepTime > 0 {
		run.rescaleProgress(now, from.expectedStepTime(), e.expectedStepTime())
	}
}

// rescaleProgress changes when a run is assumed to have started, so that it has
// generated as much with the new step time as with the old one.
func (r *placedRun) rescaleProgress(now time.Time, from, to time.Duration) {
	if from != to {
		r.startedAt = now.Add(-time.Duration(float64(now.Sub(r.startedAt)) * float64(to) / float64(from)))
	}
}

// PacePlacements counts the runs placed while engines reported their own pace, by
// the estimated longest pause on the engine: within the bound, above it (a last
// resort), or on an engine of unknown pace.
type PacePlacements struct{ WithinBound, LastResort, Unknown uint64 }

// PacePlacements returns the counts since the pool was made.
func (p *Pool) PacePlacements() PacePlacements { return p.pacePlacements }

// countPace counts a placement in PacePlacements.
func (p *Pool) countPace(e *engine, r *Request) {
	pace, own := p.paceOf(e)
	switch {
	case p.paces.engines == 0:
	case !own:
		p.pacePlacements.Unknown++
	case pace.longest(pauseSpread(p.lengths.MeanLength(r))) > float64(p.settings.MaxStepTime):
		p.pacePlacements.LastResort++
	default:
		p.pacePlacements.WithinBound++
	}
}

// RunPace is what placement assumes of the pace of a run's engine.
type RunPace struct {
	StepTime, SlowStepTime time.Duration
	// LongestStep is the estimated longest step of an answer like the run's, and
	// MaxStepTime the bound for it.
	LongestStep, MaxStepTime time.Duration
	// Known reports that the engine's own pace is known; otherwise it counts as
	// typical. Age is the age of the engine's last report.
	Known bool
	Age   time.Duration
}

// RunPace returns what placement assumes of the pace of a run's engine, for the log.
// It returns false if the run isn't known or no engine reports its own pace.
func (p *Pool) RunPace(now time.Time, id RunID) (RunPace, bool) {
	run := p.runs[id]
	if run == nil || p.paces.engines == 0 {
		return RunPace{}, false
	}
	pace, own := p.paceOf(run.engine)
	return RunPace{
		StepTime: time.Duration(pace.step), SlowStepTime: time.Duration(pace.slowStep),
		LongestStep: time.Duration(pace.longest(pauseSpread(p.lengths.MeanLength(&run.Request)))), MaxStepTime: p.settings.MaxStepTime,
		Known: own, Age: now.Sub(run.engine.reportedAt),
	}, true
}
