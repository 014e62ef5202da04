// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"slices"
	"time"

	"github.com/shedpath/shedpath/member"
)

// horizons are the numbers of steps ahead for which an engine's memory use is
// forecast. Each run generates one token per step, so one list serves all runs of
// an engine.
var horizons = [...]Tokens{8, 32, 96, 256, 640, 1536, 4096}

// Survival holds, for each of Horizons, the probability that an answer is still
// being generated.
type Survival [len(horizons)]float64

// Horizons returns the distances ahead, in tokens, for which a SurvivalCurve
// gives probabilities.
func Horizons() [len(horizons)]Tokens { return horizons }

// memoryForecast is the memory use at each horizon: its mean, its variance, and
// the upper bound that it reaches if no run ends before.
type memoryForecast struct {
	mean, variance, upperBound [len(horizons)]float64
}

// placedRun is a run that holds a place on an engine.
type placedRun struct {
	Request
	engine *engine
	// curve forecasts the run's length.
	curve SurvivalCurve
	// startedAt is when the run is assumed to have started generating tokens.
	startedAt time.Time
	// arrivedAt is when the run is assumed to have come to its engine.
	arrivedAt time.Time
	// generatedTokens is the estimated count as of the engine's last refresh, and
	// reportedTokens the last count reported.
	generatedTokens, reportedTokens Tokens
	// preemptionPriority is the priority that was sent to the engine.
	preemptionPriority int
	// placedAt is when the run was placed here, and timeToFirstToken was the
	// forecast then. placedAt is zero once the first token has arrived, and for runs
	// that weren't placed here.
	placedAt         time.Time
	timeToFirstToken time.Duration
	// prefillPending reports that the engine is believed not to have read the prompt
	// yet. prefillTime is how long the engine takes to read it; zero if it was read
	// on another engine.
	prefillPending bool
	prefillTime    time.Duration
	// knownSince is when this pool learned of the run.
	knownSince time.Time
}

// engine is a Pool's view of one engine.
type engine struct {
	id     EngineID
	zone   member.Zone
	group  string
	report Report
	// reportedAt is when report arrived; zero means that no valid report exists.
	reportedAt time.Time
	// pace is the pace of report. It is valid if the report has a SlowStepTime.
	pace enginePace
	// isNew reports that the engine has begun to take work since the queue was last
	// examined. Queued requests may be placed there from queueServedFrom on.
	isNew           bool
	queueServedFrom time.Time
	// progressedAt is when a run on the engine was last known to have generated a
	// token.
	progressedAt time.Time
	// cordoned keeps new work off the engine.
	cordoned bool
	runs     map[RunID]*placedRun
	// orderedRuns holds runs in the order in which they were placed, so that
	// decisions don't depend on the iteration order of a map.
	orderedRuns []*placedRun
	// forecast is computed from the runs at refreshedAt; runs added since are
	// included.
	forecast    memoryForecast
	refreshedAt time.Time
	// unattributedMemory is the memory in use that no known run explains, and
	// unattributedRuns the number of runs that hold it.
	unattributedMemory Tokens
	unattributedRuns   int
	// loadApplied says that these come from the engine's own statement.
	loadApplied bool
	// departed holds the runs that left within departedRetention, in that order.
	departed []departedRun
	// cache holds the prefixes that the engine is believed to have cached.
	cache prefixCache
	// prefillUntil is when the engine is expected to have read all prompts placed so
	// far.
	prefillUntil time.Time
	// lastPrefillAt is when the last prompt that is known to be read was read.
	lastPrefillAt time.Time
	// logSlowness is the logarithm of the engine's prefill slowness, on the scale of
	// the pool's meanLogSlowness. It is valid if slownessLearned.
	logSlowness     float64
	slownessLearned bool
	// movePlaces is how many departing runs of its zone the engine has room for, and
	// departing what its own runs contribute to these if it departs itself. Both are as
	// of the last refresh of the pool's departures.
	movePlaces int
	departing  departingRuns
}

func newEngine(id EngineID) *engine {
	return &engine{id: id, runs: map[RunID]*placedRun{}}
}

// capacityKnown reports whether the engine has reported the size of its memory.
func (e *engine) capacityKnown() bool { return e.report.TotalMemory > 0 }

func (e *engine) expectedStepTime() time.Duration {
	if e.report.StepTime > 0 {
		return e.report.StepTime
	}
	return defaultStepTime
}

// defaultStepTime is assumed for an engine that hasn't reported a step time.
const defaultStepTime = 30 * time.Millisecond

func (e *engine) add(now time.Time, p *placedRun) {
	p.engine, p.startedAt, p.arrivedAt = e, now, now
	e.runs[p.Run] = p
	e.orderedRuns = append(e.orderedRuns, p)
	e.forecast.addRun(&p.Request, p.generatedTokens, p.curve)
}

// batchSize returns how many runs the engine is believed to decode.
func (e *engine) batchSize() int { return len(e.orderedRuns) + e.unattributedRuns }

func (e *engine) remove(now time.Time, p *placedRun) {
	e.recordDeparture(now, p)
	delete(e.runs, p.Run)
	if i := slices.Index(e.orderedRuns, p); i >= 0 {
		e.orderedRuns = slices.Delete(e.orderedRuns, i, i+1)
	}
	// The forecast is recomputed at the next refresh. Until then the run's memory
	// still counts as used, which errs on the safe side.
}

// refreshForecast recomputes the forecast of the engine's memory from its runs.
func (e *engine) refreshForecast(now time.Time) {
	e.forecast = memoryForecast{}
	e.refreshedAt = now
	step := e.expectedStepTime()
	for _, p := range e.orderedRuns {
		p.generatedTokens = max(p.generatedTokens, Tokens(now.Sub(p.startedAt)/step))
		if p.MaxOutputTokens > 0 {
			p.generatedTokens = min(p.generatedTokens, p.MaxOutputTokens-1)
		}
		e.forecast.addRun(&p.Request, p.generatedTokens, p.curve)
	}
}

// addRun adds one run's memory at each horizon.
func (f *memoryForecast) addRun(r *Request, generatedTokens Tokens, curve SurvivalCurve) {
	alive := curve.SurvivalAfter(generatedTokens)
	for k, ahead := range horizons {
		if alive[k] <= 0 || r.MaxOutputTokens > 0 && generatedTokens+ahead >= r.MaxOutputTokens {
			return
		}
		size := float64(r.PromptTokens + generatedTokens + ahead)
		f.mean[k] += alive[k] * size
		f.variance[k] += alive[k] * (1 - alive[k]) * size * size
		f.upperBound[k] += size
	}
}

// forecastWith returns the highest mean of the engine's memory use with the
// candidate on it, and whether it fits the budget. It fits if, at each horizon,
// one of these stays within the budget:
//   - the mean plus the given number of standard deviations,
//   - the memory used if no run ends.
//
// It computes no square roots because it is called for every engine.
func (e *engine) forecastWith(candidate *memoryForecast, deviations, budget float64) (peak float64, fits bool) {
	budget -= float64(e.unattributedMemory)
	fits = true
	for k := range horizons {
		mean := e.forecast.mean[k] + candidate.mean[k]
		// The built-in max handles NaNs, which takes up half the time of a whole
		// decision.
		if mean > peak {
			peak = mean
		}
		if e.forecast.upperBound[k]+candidate.upperBound[k] <= budget {
			continue
		}
		headroom := budget - mean
		variance := e.forecast.variance[k] + candidate.variance[k]
		if headroom < 0 || headroom*headroom < deviations*deviations*variance {
			fits = false
		}
	}
	return peak + float64(e.unattributedMemory), fits
}

// forecastPeak returns the highest forecast mean of the engine's memory use.
func (e *engine) forecastPeak() Tokens {
	peak, _ := e.forecastWith(&memoryForecast{}, 0, float64(e.report.TotalMemory))
	return Tokens(peak)
}

// applyReport records a report. Memory and runs beyond those known count as
// unattributed.
func (e *engine) applyReport(now time.Time, r Report) {
	from, hadPace := e.expectedStepTime(), e.report.SlowStepTime > 0
	e.report, e.reportedAt, e.pace = r, now, newEnginePace(r.StepTime, r.SlowStepTime)
	if hadPace || r.SlowStepTime > 0 {
		e.keepProgress(now, from)
	}
	e.unattributedMemory, e.unattributedRuns, e.loadApplied = 0, 0, false
	if r.Running <= len(e.orderedRuns) && len(e.orderedRuns) > 0 {
		// All runs of the engine are known: a difference in memory use is an error of
		// the estimates and isn't unattributed.
		return
	}
	known := Tokens(0)
	for _, p := range e.orderedRuns {
		known += p.PromptTokens + p.generatedTokens
	}
	e.unattributedMemory = max(r.UsedMemory-known, 0)
	e.unattributedRuns = r.Running - len(e.orderedRuns)
}
