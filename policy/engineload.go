// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"slices"
	"time"
)

// EngineLoad is an engine's own statement of its load at a past moment. It includes runs and copies
// of runs that no live decider knows.
type EngineLoad struct {
	Engine EngineID
	// TakenAt is when the load was as stated.
	TakenAt time.Time
	// UsedMemory is the memory in use that the engine can't reclaim, which excludes queued runs.
	UsedMemory Tokens
	// Active and Queued are the runs that hold memory and those that wait for it.
	Active, Queued int
}

// departedRun is a run that has left its engine. A load from before that still includes it.
type departedRun struct {
	run                           RunID
	promptTokens, generatedTokens Tokens
	arrivedAt, leftAt             time.Time
}

const (
	// departedRetention is how long departed runs are remembered: a load is applied for up to 2 s
	// after it arrives, and is up to 1 s old then.
	departedRetention = 3 * time.Second
	// maxDeparted bounds the departed runs of one engine: an engine that serves 24 runs ends some four
	// short answers per second.
	maxDeparted = 64
	// maxEstimateError is the fraction of an engine's memory up to which a difference counts as an
	// error of the estimates if all runs are known. The unreported progress of 24 runs in half a
	// second is some 1,500 of 26,860 tokens; a copy of a run holds 3,000 or more.
	maxEstimateError = 1.0 / 16
)

// ApplyLoad counts the memory and runs that a load has and the known runs don't explain as
// unattributed, until the engine's next Report. Known runs are compared as of TakenAt: those that
// came since aren't in the load, and those that left since are.
func (p *Pool) ApplyLoad(l EngineLoad) {
	e := p.activeEngine(l.Engine)
	if e == nil {
		return
	}
	e.report.UsedMemory, e.report.Running, e.report.Waiting = l.UsedMemory, l.Active+l.Queued, l.Queued
	e.unattributedMemory, e.unattributedRuns = e.unexplained(l)
	e.loadApplied = true
	p.queueBlocked = false
}

// unexplained returns what a load has beyond the runs known on the engine as of then.
func (e *engine) unexplained(l EngineLoad) (memory Tokens, runs int) {
	known, count, queued := Tokens(0), 0, l.Queued
	for _, p := range slices.Backward(e.orderedRuns) {
		if p.arrivedAt.After(l.TakenAt) {
			continue
		}
		count++
		if p.prefillPending && queued > 0 {
			// The queue of an engine holds the latest runs, which take no memory yet.
			queued--
			continue
		}
		known += e.memoryAt(l.TakenAt, e.refreshedAt, p.PromptTokens, p.generatedTokens)
	}
	for _, d := range e.departed {
		if d.arrivedAt.After(l.TakenAt) || !d.leftAt.After(l.TakenAt) {
			continue
		}
		count++
		known += e.memoryAt(l.TakenAt, d.leftAt, d.promptTokens, d.generatedTokens)
	}
	runs, memory = max(l.Active+l.Queued-count, 0), max(l.UsedMemory-known, 0)
	if runs == 0 && float64(memory) <= maxEstimateError*float64(e.report.TotalMemory) {
		return 0, 0
	}
	return memory, runs
}

// KnownRunCount returns how many runs on an engine are known, without those that only the engine's own
// load shows.
func (p *Pool) KnownRunCount(id EngineID) int {
	if e := p.knownEngine(id); e != nil {
		return len(e.orderedRuns)
	}
	return 0
}

// memoryAt returns the memory that a run held at an earlier time than the one as of which its
// generated tokens are known.
func (e *engine) memoryAt(earlier, known time.Time, promptTokens, generatedTokens Tokens) Tokens {
	since := Tokens(max(known.Sub(earlier), 0) / e.expectedStepTime())
	return promptTokens + max(generatedTokens-since, 0)
}

// holdsUnknownMemory reports whether the engine itself states memory that no known run explains.
func (e *engine) holdsUnknownMemory() bool { return e.loadApplied && e.unattributedMemory > 0 }

// recordDeparture remembers a run that leaves the engine, and forgets those that left long ago and
// those above maxDeparted.
func (e *engine) recordDeparture(now time.Time, p *placedRun) {
	expired := max(len(e.departed)+1-maxDeparted, 0)
	for expired < len(e.departed) && now.Sub(e.departed[expired].leftAt) > departedRetention {
		expired++
	}
	e.departed = slices.Delete(e.departed, 0, expired)
	e.departed = append(e.departed, departedRun{
		run: p.Run, promptTokens: p.PromptTokens, generatedTokens: p.generatedTokens, arrivedAt: p.arrivedAt, leftAt: now,
	})
}

// adoptedSince returns when a run that another decider placed on an engine is assumed to have arrived
// there: now if it has just left another engine or has generated nothing, otherwise when it began to
// generate.
func (p *Pool) adoptedSince(now time.Time, run *placedRun) time.Time {
	if run.generatedTokens == 0 {
		return now
	}
	left := func(d departedRun) bool { return d.run == run.Run && now.Sub(d.leftAt) <= departedRetention }
	for _, e := range p.enginesByID {
		if e != run.engine && slices.ContainsFunc(e.departed, left) {
			return now
		}
	}
	for _, e := range p.removedEngines {
		if e != run.engine && slices.ContainsFunc(e.departed, left) {
			return now
		}
	}
	return now.Add(-time.Duration(run.generatedTokens) * run.engine.expectedStepTime())
}
