// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"slices"
	"time"

	"github.com/shedpath/shedpath/member"
)

// horizons are the numbers of steps ahead at which an engine's memory is
// foreseen. In each step every run of an engine makes one token, so one list
// serves all its runs.
var horizons = [...]Tokens{8, 32, 96, 256, 640, 1536, 4096}

// Survival is the chance of still going at each of Horizons.
type Survival [len(horizons)]float64

// Horizons are the distances ahead that a Curve is asked about, in tokens.
func Horizons() [len(horizons)]Tokens { return horizons }

// memoryForecast is the memory in use at each horizon: its mean and variance, and
// what it would be if no run ended before.
type memoryForecast struct {
	mean, variance, upperBound [len(horizons)]float64
}

// placedRun is a run that holds a place on an engine.
type placedRun struct {
	Request
	engine *engine
	// curve foresees the run's length.
	curve SurvivalCurve
	// startedAt is when the run is taken to have started making tokens.
	startedAt time.Time
	// generatedTokens is the estimate of its tokens as of the engine's last refresh, and reportedTokens what was
	// last reportedTokens of them.
	generatedTokens, reportedTokens Tokens
	// preemptionPriority is what the engine was told the run is worth.
	preemptionPriority int
	// placedAt and firstAfter are when the run was placed here and after how
	// long its first token was foreseen; placedAt is zero once that has come,
	// and for the runs of others.
	placedAt         time.Time
	timeToFirstToken time.Duration
	// prefillPending says that the run's prompt is believed to be still prefillPending on its engine,
	// and readTakes how long reading it takes there; zero where it was read before.
	prefillPending bool
	prefillTime    time.Duration
	// knownSince is when this pool heard of the run.
	knownSince time.Time
}

// engine is what a Pool knows of one engine.
type engine struct {
	id     EngineID
	zone   member.Zone
	group  string
	report Report
	// reportedAt is when the report came; zero means never.
	reportedAt time.Time
	// isNew says that it has begun to take work since the queue was last looked at, and
	// queueFrom is when what waits may be placed there.
	isNew           bool
	queueServedFrom time.Time
	// progressedAt is when a run there was last known to have made a token.
	progressedAt time.Time
	// cordoned keeps new work away, for the engine is to be emptied.
	cordoned bool
	runs     map[RunID]*placedRun
	// orderedRuns is runs in the orderedRuns of their placing, so that decisions don't
	// depend on the orderedRuns of a map.
	orderedRuns []*placedRun
	// forecast is foreseen from runs at refreshed, and kept up by additions
	// since.
	forecast    memoryForecast
	refreshedAt time.Time
	// unattributedMemory is the memory in use that no run of ours explains, and
	// othersRunning the runs that hold it.
	unattributedMemory Tokens
	unattributedRuns   int
	// cache holds the prefixes that the engine is believed to have.
	cache prefixCache
	// prefillUntil is when the prompts placed so far are expected to be read.
	prefillUntil time.Time
	// lastPrefillAt is when the last prompt was read that is known of.
	lastPrefillAt time.Time
	// logSlowness is the logarithm of how slowly the engine reads, on the same scale as the
	// pool's meanLogSlow. slowLearnt says that it has been learnt.
	logSlowness     float64
	slownessLearned bool
}

func newEngine(id EngineID) *engine {
	return &engine{id: id, runs: map[RunID]*placedRun{}}
}

// capacityKnown reports whether the engine has said how large it is.
func (e *engine) capacityKnown() bool { return e.report.TotalMemory > 0 }

func (e *engine) expectedStepTime() time.Duration {
	if e.report.StepTime > 0 {
		return e.report.StepTime
	}
	return defaultStepTime
}

// defaultStepTime is assumed of an engine that hasn't reported a step yet.
const defaultStepTime = 30 * time.Millisecond

func (e *engine) add(now time.Time, p *placedRun) {
	p.engine, p.startedAt = e, now
	e.runs[p.Run] = p
	e.orderedRuns = append(e.orderedRuns, p)
	e.forecast.addRun(&p.Request, p.generatedTokens, p.curve)
}

// batchSize is how many runs the engine is believed to decode.
func (e *engine) batchSize() int { return len(e.orderedRuns) + e.unattributedRuns }

func (e *engine) remove(p *placedRun) {
	delete(e.runs, p.Run)
	if i := slices.Index(e.orderedRuns, p); i >= 0 {
		e.orderedRuns = slices.Delete(e.orderedRuns, i, i+1)
	}
	// The foresight is made anew at the next refresh; until then the run's
	// memory counts as taken, which errs on the safe side.
}

// refreshForecast foresees the engine's memory anew from its runs.
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

// addRun counts one run's memory at each horizon.
func (f *memoryForecast) addRun(r *Request, made Tokens, c SurvivalCurve) {
	alive := c.SurvivalAfter(made)
	for k, ahead := range horizons {
		if alive[k] <= 0 || r.MaxOutputTokens > 0 && made+ahead >= r.MaxOutputTokens {
			return
		}
		size := float64(r.PromptTokens + made + ahead)
		f.mean[k] += alive[k] * size
		f.variance[k] += alive[k] * (1 - alive[k]) * size * size
		f.upperBound[k] += size
	}
}

// forecastWith returns the highest mean of the engine's memory with the candidate on
// it, and whether it stays within the room: deviations above the mean, or no
// more than if no run ended. It takes no square roots, for it is asked of every
// engine.
func (e *engine) forecastWith(candidate *memoryForecast, deviations, room float64) (peak float64, fits bool) {
	room -= float64(e.unattributedMemory)
	fits = true
	for k := range horizons {
		mean := e.forecast.mean[k] + candidate.mean[k]
		// The built-in max minds NaNs, which costs half of the whole decision.
		if mean > peak {
			peak = mean
		}
		if e.forecast.upperBound[k]+candidate.upperBound[k] <= room {
			continue
		}
		left := room - mean
		variance := e.forecast.variance[k] + candidate.variance[k]
		if left < 0 || left*left < deviations*deviations*variance {
			fits = false
		}
	}
	return peak + float64(e.unattributedMemory), fits
}

// forecastPeak is the highest mean of the engine's memory that is foreseen.
func (e *engine) forecastPeak() Tokens {
	peak, _ := e.forecastWith(&memoryForecast{}, 0, float64(e.report.TotalMemory))
	return Tokens(peak)
}

// applyReport takes a report in. What it shows beyond the runs we know of is others'.
func (e *engine) applyReport(now time.Time, r Report) {
	e.report, e.reportedAt = r, now
	e.unattributedMemory, e.unattributedRuns = 0, 0
	if r.Running <= len(e.orderedRuns) && len(e.orderedRuns) > 0 {
		// Every run of the engine is among ours: a difference is the error of
		// our estimates, and no memory of others.
		return
	}
	known := Tokens(0)
	for _, p := range e.orderedRuns {
		known += p.PromptTokens + p.generatedTokens
	}
	e.unattributedMemory = max(r.UsedMemory-known, 0)
	e.unattributedRuns = r.Running - len(e.orderedRuns)
}
