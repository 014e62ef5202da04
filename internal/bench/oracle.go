// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package bench

import (
	"cmp"
	"slices"
	"time"

	"github.com/shedpath/shedpath/policy"
)

// oracle is the bound: it knows every answer's length and every engine's true
// state, and admits a run exactly when no run will have to be thrown back.
type oracle struct {
	sim  *simulation
	held []*track
}

func (*oracle) finish(time.Time, policy.Finish) {}
func (*oracle) report(time.Time, policy.Report) {}

func (o *oracle) submit(now time.Time, _ int, r policy.Request) []policy.Decision {
	o.held = append(o.held, o.sim.tracks[r.Run])
	return o.advance(now)
}

func (o *oracle) advance(now time.Time) []policy.Decision {
	var decided []policy.Decision
	var kept []*track
	for i, t := range o.held {
		if len(kept) >= oracleTries {
			kept = append(kept, o.held[i:]...)
			break
		}
		t.request.Deadline = t.asked.Add(waitLimit)
		if now.After(t.request.Deadline) {
			decided = append(decided, policy.Decision{Run: t.request.Run, Verdict: policy.Refused, RetryAfter: time.Second})
			continue
		}
		h := o.choose(t)
		if h == nil {
			kept = append(kept, t)
			continue
		}
		// The next one held is to see this one on its engine.
		o.sim.grant(t, policy.Decision{Run: t.request.Run, Engine: h.id})
	}
	o.held = kept
	return decided
}

// oracleTries is how many requests that find no room let others pass.
const oracleTries = 16

func (o *oracle) choose(t *track) *host {
	var best *host
	lowest := 0
	for _, h := range o.sim.hosts {
		if h.dead {
			continue
		}
		peak, batch := o.peak(h, t)
		s := benchSettings()
		step := s.StepBase + time.Duration(batch)*s.StepPerRun
		if peak > s.MemoryTokens || step*time.Duration(h.slow) > betweenTokens {
			continue
		}
		if best == nil || peak < lowest {
			best, lowest = h, peak
		}
	}
	return best
}

// growing is a run with what it holds and how many tokens it has still to make.
type growing struct {
	held, left int
}

// peak is the most memory that an engine will need with one more run, and the
// size of its batch.
func (o *oracle) peak(h *host, candidate *track) (peak, batch int) {
	runs := []growing{{held: int(candidate.request.PromptTokens) + 1, left: candidate.length}}
	for _, t := range h.running {
		if !t.done {
			runs = append(runs, growing{held: int(t.request.PromptTokens) + t.made + 1, left: t.length - t.made})
		}
	}
	slices.SortFunc(runs, func(a, b growing) int { return cmp.Compare(a.left, b.left) })
	held := 0
	for _, r := range runs {
		held += r.held
	}
	for i, r := range runs {
		peak = max(peak, held+(len(runs)-i)*r.left)
		held -= r.held
	}
	return peak, len(runs)
}
