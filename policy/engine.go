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

// foresight is the memory in use at each horizon: its mean and variance, and
// what it would be if no run ended before.
type foresight struct {
	mean, variance, most [len(horizons)]float64
}

// placed is a run that holds a place on an engine.
type placed struct {
	Request
	engine *engine
	// curve foresees the run's length.
	curve Curve
	// began is when the run is taken to have started making tokens.
	began time.Time
	// made is the estimate of its tokens as of the engine's last refresh, and told what was
	// last told of them.
	made, told Tokens
	// priority is what the engine was told the run is worth.
	priority int
	// placedAt and firstAfter are when the run was placed here and after how
	// long its first token was foreseen; placedAt is zero once that has come,
	// and for the runs of others.
	placedAt   time.Time
	firstAfter time.Duration
	// unread says that the run's prompt is believed to be still unread on its engine,
	// and readTakes how long reading it takes there; zero where it was read before.
	unread    bool
	readTakes time.Duration
	// toldAt is when this pool heard of the run.
	toldAt time.Time
}

// engine is what a Pool knows of one engine.
type engine struct {
	id     EngineID
	zone   member.Zone
	group  string
	report Report
	// reported is when the report came; zero means never.
	reported time.Time
	// isNew says that it has begun to take work since the queue was last looked at, and
	// queueFrom is when what waits may be placed there.
	isNew     bool
	queueFrom time.Time
	// progressed is when a run there was last known to have made a token.
	progressed time.Time
	// withheld keeps new work away, for the engine is to be emptied.
	withheld bool
	runs     map[RunID]*placed
	// order is runs in the order of their placing, so that decisions don't
	// depend on the order of a map.
	order []*placed
	// ahead is foreseen from runs at refreshed, and kept up by additions
	// since.
	ahead     foresight
	refreshed time.Time
	// others is the memory in use that no run of ours explains, and
	// othersRunning the runs that hold it.
	others        Tokens
	othersRunning int
	// cache holds the prefixes that the engine is believed to have.
	cache prefixCache
	// readUntil is when the prompts placed so far are expected to be read.
	readUntil time.Time
	// lastRead is when the last prompt was read that is known of.
	lastRead time.Time
	// logSlow is the logarithm of how slowly the engine reads, on the same scale as the
	// pool's meanLogSlow. slowLearnt says that it has been learnt.
	logSlow    float64
	slowLearnt bool
}

func newEngine(id EngineID) *engine {
	return &engine{id: id, runs: map[RunID]*placed{}}
}

// known reports whether the engine has said how large it is.
func (e *engine) known() bool { return e.report.Memory > 0 }

func (e *engine) step() time.Duration {
	if e.report.Step > 0 {
		return e.report.Step
	}
	return defaultStep
}

// defaultStep is assumed of an engine that hasn't reported a step yet.
const defaultStep = 30 * time.Millisecond

func (e *engine) add(now time.Time, p *placed) {
	p.engine, p.began = e, now
	e.runs[p.Run] = p
	e.order = append(e.order, p)
	e.ahead.add(&p.Request, p.made, p.curve)
}

// batch is how many runs the engine is believed to decode.
func (e *engine) batch() int { return len(e.order) + e.othersRunning }

func (e *engine) remove(p *placed) {
	delete(e.runs, p.Run)
	if i := slices.Index(e.order, p); i >= 0 {
		e.order = slices.Delete(e.order, i, i+1)
	}
	// The foresight is made anew at the next refresh; until then the run's
	// memory counts as taken, which errs on the safe side.
}

// refresh foresees the engine's memory anew from its runs.
func (e *engine) refresh(now time.Time) {
	e.ahead = foresight{}
	e.refreshed = now
	step := e.step()
	for _, p := range e.order {
		p.made = max(p.made, Tokens(now.Sub(p.began)/step))
		if p.Limit > 0 {
			p.made = min(p.made, p.Limit-1)
		}
		e.ahead.add(&p.Request, p.made, p.curve)
	}
}

// add counts one run's memory at each horizon.
func (f *foresight) add(r *Request, made Tokens, c Curve) {
	alive := c.Alive(made)
	for k, ahead := range horizons {
		if alive[k] <= 0 || r.Limit > 0 && made+ahead >= r.Limit {
			return
		}
		size := float64(r.Prompt + made + ahead)
		f.mean[k] += alive[k] * size
		f.variance[k] += alive[k] * (1 - alive[k]) * size * size
		f.most[k] += size
	}
}

// foresee returns the highest mean of the engine's memory with the candidate on
// it, and whether it stays within the room: deviations above the mean, or no
// more than if no run ended. It takes no square roots, for it is asked of every
// engine.
func (e *engine) foresee(candidate *foresight, deviations, room float64) (peak float64, fits bool) {
	room -= float64(e.others)
	fits = true
	for k := range horizons {
		mean := e.ahead.mean[k] + candidate.mean[k]
		// The built-in max minds NaNs, which costs half of the whole decision.
		if mean > peak {
			peak = mean
		}
		if e.ahead.most[k]+candidate.most[k] <= room {
			continue
		}
		left := room - mean
		variance := e.ahead.variance[k] + candidate.variance[k]
		if left < 0 || left*left < deviations*deviations*variance {
			fits = false
		}
	}
	return peak + float64(e.others), fits
}

// foreseenPeak is the highest mean of the engine's memory that is foreseen.
func (e *engine) foreseenPeak() Tokens {
	peak, _ := e.foresee(&foresight{}, 0, float64(e.report.Memory))
	return Tokens(peak)
}

// take takes a report in. What it shows beyond the runs we know of is others'.
func (e *engine) take(now time.Time, r Report) {
	e.report, e.reported = r, now
	e.others, e.othersRunning = 0, 0
	if r.Running <= len(e.order) && len(e.order) > 0 {
		// Every run of the engine is among ours: a difference is the error of
		// our estimates, and no memory of others.
		return
	}
	known := Tokens(0)
	for _, p := range e.order {
		known += p.Prompt + p.made
	}
	e.others = max(r.Used-known, 0)
	e.othersRunning = r.Running - len(e.order)
}
