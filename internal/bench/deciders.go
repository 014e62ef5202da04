// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package bench

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/resource"
)

// decider is a placement policy under measurement. submit and advance may return
// decisions on any undecided requests, not just on the one submitted.
type decider interface {
	submit(now time.Time, entry int, r policy.Request) []policy.Decision
	finish(now time.Time, f policy.Finish)
	report(now time.Time, r policy.Report)
	advance(now time.Time) []policy.Decision
}

// randomDecider grants each request at once on a random engine.
type randomDecider struct {
	engines []member.UpstreamID
	source  *rand.Rand
}

func (d *randomDecider) submit(_ time.Time, _ int, r policy.Request) []policy.Decision {
	return []policy.Decision{{Run: r.Run, Verdict: policy.Granted, Engine: d.engines[d.source.IntN(len(d.engines))]}}
}
func (*randomDecider) finish(time.Time, policy.Finish)     {}
func (*randomDecider) report(time.Time, policy.Report)     {}
func (*randomDecider) advance(time.Time) []policy.Decision { return nil }

// leastLoadedDecider sends each request to the engine that reported the lowest load,
// counting memory in use and waiting requests. With a reserve it holds requests back
// until that engine reports enough free memory beyond the reserve and no waiting
// requests.
type leastLoadedDecider struct {
	reports map[member.UpstreamID]policy.Report
	source  *rand.Rand
	// reservedFraction is the fraction of an engine's memory to keep free. Zero means
	// that requests are never held back.
	reservedFraction float64
	held             []policy.Request
}

func (d *leastLoadedDecider) submit(now time.Time, _ int, r policy.Request) []policy.Decision {
	d.held = append(d.held, r)
	return d.advance(now)
}

func (*leastLoadedDecider) finish(time.Time, policy.Finish) {}

func (d *leastLoadedDecider) report(_ time.Time, r policy.Report) { d.reports[r.Engine] = r }

func (d *leastLoadedDecider) advance(now time.Time) []policy.Decision {
	var decided []policy.Decision
	for len(d.held) > 0 {
		r := d.held[0]
		engine, room := d.pickEngine(r)
		switch {
		case room:
			decided = append(decided, policy.Decision{Run: r.Run, Verdict: policy.Granted, Engine: engine})
		case now.After(r.Deadline):
			decided = append(decided, policy.Decision{Run: r.Run, Verdict: policy.Refused, RetryAfter: time.Second})
		default:
			return decided
		}
		d.held = d.held[1:]
	}
	return decided
}

// pickEngine returns a random one of the least loaded engines and whether the request
// may be sent there now.
func (d *leastLoadedDecider) pickEngine(r policy.Request) (member.UpstreamID, bool) {
	var best []policy.Report
	for _, report := range d.reports {
		load := report.UsedMemory + 1000*policy.Tokens(report.Waiting)
		switch {
		case len(best) == 0 || load < best[0].UsedMemory+1000*policy.Tokens(best[0].Waiting):
			best = []policy.Report{report}
		case load == best[0].UsedMemory+1000*policy.Tokens(best[0].Waiting):
			best = append(best, report)
		}
	}
	if len(best) == 0 {
		return "", false
	}
	slices.SortFunc(best, func(a, b policy.Report) int {
		if a.Engine < b.Engine {
			return -1
		}
		return 1
	})
	chosen := best[d.source.IntN(len(best))]
	if d.reservedFraction > 0 {
		return chosen.Engine, float64(chosen.UsedMemory+r.PromptTokens) <= (1-d.reservedFraction)*float64(chosen.TotalMemory) && chosen.Waiting == 0
	}
	return chosen.Engine, true
}

// perEntryDecider gives each entry a decider of its own, so that entries decide
// without knowledge of each other's placements.
type perEntryDecider struct {
	deciders []decider
	// entryByRun maps each run to the index of its entry.
	entryByRun map[policy.RunID]int
}

func newPerEntryDecider(entries int, newDecider func() decider) *perEntryDecider {
	d := &perEntryDecider{entryByRun: map[policy.RunID]int{}}
	for range entries {
		d.deciders = append(d.deciders, newDecider())
	}
	return d
}

func (d *perEntryDecider) submit(now time.Time, entry int, r policy.Request) []policy.Decision {
	d.entryByRun[r.Run] = entry
	return d.deciders[entry].submit(now, entry, r)
}

func (d *perEntryDecider) finish(now time.Time, f policy.Finish) {
	d.deciders[d.entryByRun[f.Run]].finish(now, f)
}

func (d *perEntryDecider) report(now time.Time, r policy.Report) {
	for _, one := range d.deciders {
		one.report(now, r)
	}
}

func (d *perEntryDecider) advance(now time.Time) []policy.Decision {
	var decided []policy.Decision
	for _, one := range d.deciders {
		decided = append(decided, one.advance(now)...)
	}
	return decided
}

// removeEngine removes the engine id from every decider; alive are the remaining
// engines.
func (d *perEntryDecider) removeEngine(id member.UpstreamID, alive []member.UpstreamID) {
	for _, one := range d.deciders {
		switch o := one.(type) {
		case *leastLoadedDecider:
			delete(o.reports, id)
		case *poolDecider:
			o.pool.SetEngines(alive)
		}
	}
}

// poolDecider is the daemon's policy: a policy.Pool that decides on all requests that it
// receives.
type poolDecider struct {
	pool *policy.Pool
}

func newPoolDecider(engines []member.UpstreamID, s policy.Settings, opts ...policy.Option) *poolDecider {
	d := &poolDecider{pool: policy.NewPool(s, opts...)}
	d.pool.SetEngines(engines)
	return d
}

func (d *poolDecider) submit(now time.Time, _ int, r policy.Request) []policy.Decision {
	first := d.pool.Submit(now, r)
	if first.Verdict == policy.Queued {
		return nil
	}
	return []policy.Decision{first}
}

func (d *poolDecider) finish(now time.Time, f policy.Finish)   { d.pool.Finish(now, f) }
func (d *poolDecider) report(now time.Time, r policy.Report)   { d.pool.Report(now, r) }
func (d *poolDecider) advance(now time.Time) []policy.Decision { return d.pool.Advance(now) }

// meanLengthModel is a length model for comparison with the learned tail: it assumes
// that every answer ends at the learned mean length.
type meanLengthModel struct {
	learned policy.LearnedLengths
}

// meanCurve is the survival curve of an answer that ends exactly at the mean length.
type meanCurve policy.Tokens

// SurvivalAfter returns 1 for each horizon at which an answer of mean length is still
// being generated, and 0 for the others. An answer that has reached the mean is
// assumed to end with its next token.
func (m meanCurve) SurvivalAfter(made policy.Tokens) policy.Survival {
	var alive policy.Survival
	for k, ahead := range policy.Horizons() {
		if made+ahead < max(policy.Tokens(m), made+1) {
			alive[k] = 1
		}
	}
	return alive
}

// SurvivalCurve returns the curve of an answer of the mean length for r.
func (m *meanLengthModel) SurvivalCurve(r *policy.Request) policy.SurvivalCurve {
	return meanCurve(m.learned.MeanLength(r))
}

// MeanLength returns the learned mean length for r.
func (m *meanLengthModel) MeanLength(r *policy.Request) policy.Tokens { return m.learned.MeanLength(r) }

// Observe records the length n of a finished answer.
func (m *meanLengthModel) Observe(account resource.Account, route resource.Name, n policy.Tokens) {
	m.learned.Observe(account, route, n)
}
