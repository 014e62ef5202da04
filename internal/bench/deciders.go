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

// random sends each request to any engine at once.
type random struct {
	engines []member.UpstreamID
	source  *rand.Rand
}

func (d *random) submit(_ time.Time, _ int, r policy.Request) []policy.Decision {
	return []policy.Decision{{Run: r.Run, Verdict: policy.Granted, Engine: d.engines[d.source.IntN(len(d.engines))]}}
}
func (*random) finish(time.Time, policy.Finish)     {}
func (*random) report(time.Time, policy.Report)     {}
func (*random) advance(time.Time) []policy.Decision { return nil }

// leastLoaded sends each request to the engine that reported the least memory
// in use and waiting, each entry alone. With a reserve it holds requests back
// until an engine reports room beyond it.
type leastLoaded struct {
	reports map[member.UpstreamID]policy.Report
	source  *rand.Rand
	// reserve is the part of the memory to be kept free; zero holds nothing
	// back.
	reserve float64
	held    []policy.Request
}

func (d *leastLoaded) submit(now time.Time, _ int, r policy.Request) []policy.Decision {
	d.held = append(d.held, r)
	return d.advance(now)
}

func (*leastLoaded) finish(time.Time, policy.Finish) {}

func (d *leastLoaded) report(_ time.Time, r policy.Report) { d.reports[r.Engine] = r }

func (d *leastLoaded) advance(now time.Time) []policy.Decision {
	var decided []policy.Decision
	for len(d.held) > 0 {
		r := d.held[0]
		engine, room := d.least(r)
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

func (d *leastLoaded) least(r policy.Request) (member.UpstreamID, bool) {
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
	if d.reserve > 0 {
		return chosen.Engine, float64(chosen.UsedMemory+r.PromptTokens) <= (1-d.reserve)*float64(chosen.TotalMemory) && chosen.Waiting == 0
	}
	return chosen.Engine, true
}

// alone gives each entry a decider of its own.
type alone struct {
	each []decider
	// of remembers which entry has a run.
	of map[policy.RunID]int
}

func newAlone(entries int, make func() decider) *alone {
	d := &alone{of: map[policy.RunID]int{}}
	for range entries {
		d.each = append(d.each, make())
	}
	return d
}

func (d *alone) submit(now time.Time, entry int, r policy.Request) []policy.Decision {
	d.of[r.Run] = entry
	return d.each[entry].submit(now, entry, r)
}

func (d *alone) finish(now time.Time, f policy.Finish) { d.each[d.of[f.Run]].finish(now, f) }

func (d *alone) report(now time.Time, r policy.Report) {
	for _, one := range d.each {
		one.report(now, r)
	}
}

func (d *alone) advance(now time.Time) []policy.Decision {
	var decided []policy.Decision
	for _, one := range d.each {
		decided = append(decided, one.advance(now)...)
	}
	return decided
}

// without takes an engine away.
func (d *alone) without(id member.UpstreamID, alive []member.UpstreamID) {
	for _, one := range d.each {
		switch o := one.(type) {
		case *leastLoaded:
			delete(o.reports, id)
		case *pooled:
			o.pool.SetEngines(alive)
		}
	}
}

// pooled is the product's policy: one Pool that decides for all entries.
type pooled struct {
	pool *policy.Pool
}

func newPooled(engines []member.UpstreamID, s policy.Settings, opts ...policy.Option) *pooled {
	d := &pooled{pool: policy.NewPool(s, opts...)}
	d.pool.SetEngines(engines)
	return d
}

func (d *pooled) submit(now time.Time, _ int, r policy.Request) []policy.Decision {
	first := d.pool.Submit(now, r)
	if first.Verdict == policy.Queued {
		return nil
	}
	return []policy.Decision{first}
}

func (d *pooled) finish(now time.Time, f policy.Finish)   { d.pool.Finish(now, f) }
func (d *pooled) report(now time.Time, r policy.Report)   { d.pool.Report(now, r) }
func (d *pooled) advance(now time.Time) []policy.Decision { return d.pool.Advance(now) }

// meanLengths is the plain-mean length model, to be compared with the tail: an
// answer goes on until the mean of its route.
type meanLengths struct {
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
func (m *meanLengths) SurvivalCurve(r *policy.Request) policy.SurvivalCurve {
	return meanCurve(m.learned.MeanLength(r))
}

// MeanLength is the learned mean.
func (m *meanLengths) MeanLength(r *policy.Request) policy.Tokens { return m.learned.MeanLength(r) }

// Observe learns.
func (m *meanLengths) Observe(account resource.Account, route resource.Name, n policy.Tokens) {
	m.learned.Observe(account, route, n)
}
