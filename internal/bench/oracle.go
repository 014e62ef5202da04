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
	held []*generation
}

func (*oracle) finish(time.Time, policy.Finish) {}
func (*oracle) report(time.Time, policy.Report) {}

func (o *oracle) submit(now time.Time, _ int, r policy.Request) []policy.Decision {
	o.held = append(o.held, o.sim.generationByRun[r.Run])
	return o.advance(now)
}

func (o *oracle) advance(now time.Time) []policy.Decision {
	var decided []policy.Decision
	var kept []*generation
	for i, t := range o.held {
		if len(kept) >= maxBlockedRequests {
			kept = append(kept, o.held[i:]...)
			break
		}
		t.request.Deadline = t.submitAt.Add(firstTokenTimeout)
		if now.After(t.request.Deadline) {
			decided = append(decided, policy.Decision{Run: t.request.Run, Verdict: policy.Refused, RetryAfter: time.Second})
			continue
		}
		h := o.pickEngine(t)
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

// maxBlockedRequests is how many requests that find no room let others pass.
const maxBlockedRequests = 16

func (o *oracle) pickEngine(t *generation) *simulatedEngine {
	var best *simulatedEngine
	lowest := 0
	for _, h := range o.sim.engines {
		if h.dead {
			continue
		}
		peak, batch := o.peakMemory(h, t)
		s := benchSettings()
		step := s.StepBase + time.Duration(batch)*s.StepPerRun
		if peak > s.MemoryTokens || step*time.Duration(h.slowdown) > maxStepTime {
			continue
		}
		if best == nil || peak < lowest {
			best, lowest = h, peak
		}
	}
	return best
}

// projectedRun is a run with what it holds and how many tokens it has still to make.
type projectedRun struct {
	heldTokens, tokensLeft int
}

// peakMemory is the most memory that an engine will need with one more run, and the
// size of its batch.
func (o *oracle) peakMemory(h *simulatedEngine, candidate *generation) (peak, batch int) {
	runs := []projectedRun{{heldTokens: int(candidate.request.PromptTokens) + 1, tokensLeft: candidate.outputTokens}}
	for _, t := range h.running {
		if !t.done {
			runs = append(runs, projectedRun{heldTokens: int(t.request.PromptTokens) + t.generatedTokens + 1, tokensLeft: t.outputTokens - t.generatedTokens})
		}
	}
	slices.SortFunc(runs, func(a, b projectedRun) int { return cmp.Compare(a.tokensLeft, b.tokensLeft) })
	held := 0
	for _, r := range runs {
		held += r.heldTokens
	}
	for i, r := range runs {
		peak = max(peak, held+(len(runs)-i)*r.tokensLeft)
		held -= r.heldTokens
	}
	return peak, len(runs)
}
