// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"cmp"
	"slices"
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/resource"
)

// EngineOutlook is a forecast of when an engine has room, for a decider that orders the requests
// of several hosts.
type EngineOutlook struct {
	Engine EngineID
	// Free is the memory left when all known runs have reached their expected length; it is
	// negative if that is more than admission fills.
	Free Tokens
	// Slots is how many further runs the batch takes now.
	Slots int
	// Backlog is how long the engine still reads the prompts placed on it.
	Backlog time.Duration
	// UnknownMemory is set if the engine states memory that no known run explains, so that it still
	// has runs when the known ones have ended.
	UnknownMemory bool
	// Ends are the expected ends of the known runs, the earliest first.
	Ends []RunEnd
}

// RunEnd is when a run is expected to end and the memory that it frees then.
type RunEnd struct {
	In     time.Duration
	Memory Tokens
}

// unboundedSlots is the number of free slots of an engine whose batch isn't bounded.
const unboundedSlots = 1 << 20

// Outlook returns the outlook of the engines of a zone that take new work.
func (p *Pool) Outlook(now time.Time, zone member.Zone) []EngineOutlook {
	oldestReport := now.Add(-maxReportAge)
	var all []EngineOutlook
	for _, e := range p.engines {
		if e.zone != zone || !e.acceptsWork(oldestReport) {
			continue
		}
		o := EngineOutlook{
			Engine: e.id, Free: Tokens(p.memoryBudget(e)) - e.unattributedMemory, Slots: unboundedSlots, Backlog: e.prefillBacklog(now),
			UnknownMemory: e.holdsUnknownMemory(), Ends: make([]RunEnd, 0, len(e.orderedRuns)),
		}
		if p.settings.MaxBatchSize > 0 {
			o.Slots = p.settings.MaxBatchSize - e.batchSize()
		}
		for _, run := range e.orderedRuns {
			rest := expectedRest(run.curve, run.generatedTokens, run.MaxOutputTokens)
			end := RunEnd{In: time.Duration(rest) * e.expectedStepTime(), Memory: run.PromptTokens + run.generatedTokens + rest}
			if run.prefillPending {
				end.In += o.Backlog
			}
			o.Free -= end.Memory
			o.Ends = append(o.Ends, end)
		}
		slices.SortFunc(o.Ends, func(a, b RunEnd) int { return cmp.Compare(a.In, b.In) })
		all = append(all, o)
	}
	return all
}

// expectedRest returns how many more tokens an answer is expected to get: the integral of its
// survival curve, up to the answer's limit.
func expectedRest(curve SurvivalCurve, made, limit Tokens) Tokens {
	alive := curve.SurvivalAfter(made)
	sum, from, survival := 0.0, Tokens(0), 1.0
	for k, horizon := range horizons {
		if limit > 0 && made+horizon > limit {
			horizon = max(limit-made, from)
		}
		sum += float64(horizon-from) * (survival + alive[k]) / 2
		from, survival = horizon, alive[k]
	}
	return max(Tokens(sum), 1)
}

// ReadingEngines returns the engines that still read prompts placed on them.
func (p *Pool) ReadingEngines(now time.Time) []EngineID {
	var ids []EngineID
	for _, e := range p.engines {
		if e.prefillBacklog(now) > 0 {
			ids = append(ids, e.id)
		}
	}
	return ids
}

// HeldTokens returns the tokens that each account's runs use, or will use at their expected
// length.
func (p *Pool) HeldTokens() map[resource.Account]Tokens {
	held := map[resource.Account]Tokens{}
	for _, run := range p.runs {
		held[run.Account] += run.PromptTokens + max(run.generatedTokens, p.lengths.MeanLength(&run.Request))
	}
	return held
}

// HasRoom reports whether an engine could take the request now, whatever is queued.
func (p *Pool) HasRoom(now time.Time, r Request) bool { return p.choose(now, &r) != nil }
