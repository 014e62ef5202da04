// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package bench

import (
	"cmp"
	"slices"
	"time"

	"github.com/shedpath/shedpath/policy"
)

// oracle is the upper bound for any policy: it knows the length of every answer and
// the true state of every engine, and admits a run only if no run will be preempted
// and the step time stays within maxStepTime.
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
	var stillHeld []*generation
	for i, g := range o.held {
		if len(stillHeld) >= maxBlockedRequests {
			stillHeld = append(stillHeld, o.held[i:]...)
			break
		}
		g.request.Deadline = g.submitAt.Add(firstTokenTimeout)
		if now.After(g.request.Deadline) {
			decided = append(decided, policy.Decision{Run: g.request.Run, Verdict: policy.Refused, RetryAfter: time.Second})
			continue
		}
		e := o.pickEngine(g)
		if e == nil {
			stillHeld = append(stillHeld, g)
			continue
		}
		// Grant at once, so that the choice for the next held request counts this run.
		o.sim.grant(g, policy.Decision{Run: g.request.Run, Engine: e.id})
	}
	o.held = stillHeld
	return decided
}

// maxBlockedRequests is the number of held requests without a suitable engine after
// which advance tries no further ones. Up to then, later requests may overtake them.
const maxBlockedRequests = 16

// pickEngine returns the engine with the lowest peak memory among those that have room
// for the run, or nil.
func (o *oracle) pickEngine(g *generation) *simulatedEngine {
	var best *simulatedEngine
	lowest := 0
	for _, e := range o.sim.engines {
		if e.dead {
			continue
		}
		peak, batch := o.peakMemory(e, g)
		s := benchSettings()
		step := s.StepBase + time.Duration(batch)*s.StepPerRun
		if peak > s.MemoryTokens || step*time.Duration(e.slowdown) > maxStepTime {
			continue
		}
		if best == nil || peak < lowest {
			best, lowest = e, peak
		}
	}
	return best
}

// projectedRun is a run with the memory that it holds, in tokens, and the number of
// tokens that it has yet to generate.
type projectedRun struct {
	heldTokens, tokensLeft int
}

// peakMemory returns the highest memory use in tokens that the engine will reach with
// candidate added, and the size of its batch then.
func (o *oracle) peakMemory(e *simulatedEngine, candidate *generation) (peak, batch int) {
	runs := []projectedRun{{heldTokens: int(candidate.request.PromptTokens) + 1, tokensLeft: candidate.outputTokens}}
	for _, g := range e.running {
		if !g.done {
			runs = append(runs, projectedRun{heldTokens: int(g.request.PromptTokens) + g.generatedTokens + 1, tokensLeft: g.outputTokens - g.generatedTokens})
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
