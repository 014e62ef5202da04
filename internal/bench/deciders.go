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

// decider is a placement policy under measurement. Each call may decide about
// requests, the one it is about or others.
type decider interface {
	submit(now time.Time, entry int, r policy.Request) []policy.Decision
	finish(now time.Time, f policy.Finish)
	report(now time.Time, r policy.Report)
	advance(now time.Time) []policy.Decision
}

// randomDecider sends each request to any engine at once.
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

// leastLoadedDecider sends each request to the engine that reported the least memory
// in use and waiting, each entry alone. With a reserve it holds requests back
// until an engine reports room beyond it.
type leastLoadedDecider struct {
	reports map[member.UpstreamID]policy.Report
	source  *rand.Rand
	// reservedFraction is the part of the memory to be kept free; zero holds nothing
	// back.
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

// perEntryDecider gives each entry a decider of its own.
type perEntryDecider struct {
	deciders []decider
	// entryByRun remembers which entry has a run.
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

// removeEngine takes an engine away.
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

// poolDecider is the product's policy: one Pool that decides for all entries.
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

// meanLengthModel is the plain-mean length model, to be compared with the tail: an
// answer goes on until the mean of its route.
type meanLengthModel struct {
	learned policy.LearnedLengths
}

// meanCurve ends every answer at its mean.
type meanCurve policy.Tokens

// SurvivalAfter tells whether the mean answer would still be going.
func (m meanCurve) SurvivalAfter(made policy.Tokens) policy.Survival {
	var alive policy.Survival
	for k, ahead := range policy.Horizons() {
		if made+ahead < max(policy.Tokens(m), made+1) {
			alive[k] = 1
		}
	}
	return alive
}

// SurvivalCurve returns the mean as a curve.
func (m *meanLengthModel) SurvivalCurve(r *policy.Request) policy.SurvivalCurve {
	return meanCurve(m.learned.MeanLength(r))
}

// MeanLength is the learned mean.
func (m *meanLengthModel) MeanLength(r *policy.Request) policy.Tokens { return m.learned.MeanLength(r) }

// Observe learns.
func (m *meanLengthModel) Observe(account resource.Account, route resource.Name, n policy.Tokens) {
	m.learned.Observe(account, route, n)
}
