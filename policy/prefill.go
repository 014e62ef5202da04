// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"math"
	"slices"
	"time"
)

// An engine reads prompts (prefill) one after another. The time that takes is
// forecast, but engines of one pool differ in speed and hosts learn of each other's
// runs late, so the forecast is corrected by observation: the prompt of a run
// without a token hasn't been read, and the prompt of a run with a token has been
// read, with all prompts placed before it. Each engine's own speed is learned from
// the times of first tokens.

const (
	// overdueFraction is the fraction of a prompt that is assumed to be still unread
	// if its run has no token although it should have.
	overdueFraction = 0.25
	// slownessWeight is the weight of the newest observation of an engine's own
	// speed. At this weight most of a difference is learned from five first tokens;
	// an engine of a spot pool may be gone after about twenty.
	slownessWeight = 0.3
	// maxSlowness bounds an engine's slowness and each observation of it, and its
	// inverse bounds them from below.
	maxSlowness = 3.0
)

// expectedPrefillTime returns how long the engine is expected to take to read the
// part of a prompt that it hasn't cached.
func (p *Pool) expectedPrefillTime(now time.Time, e *engine, r *Request) time.Duration {
	return time.Duration(float64(p.prefill.duration(r.PromptTokens-e.cache.reusableTokens(now, r))) * p.slowness(e))
}

// slowness returns the engine's prefill time relative to the average of the
// pool's engines. What they have in common is part of the pool's prefill rate.
func (p *Pool) slowness(e *engine) float64 {
	if !e.slownessLearned {
		return p.paceSlowness(e)
	}
	return min(max(math.Exp(e.logSlowness-p.meanLogSlowness), 1/maxSlowness), maxSlowness)
}

// addPrefill adds a run's prompt to those that the engine has to read.
func (e *engine) addPrefill(now time.Time, run *placedRun, duration time.Duration) {
	run.prefillPending, run.prefillTime, run.knownSince = true, duration, now
	if e.prefillUntil.Before(now) {
		e.prefillUntil = now
	}
	e.prefillUntil = e.prefillUntil.Add(duration)
}

// extendPrefill records that a run has no token yet: its prompt and those placed
// after it are still to be read.
func (e *engine) extendPrefill(now time.Time, run *placedRun) {
	run.prefillPending = true
	remaining := max(run.prefillTime-now.Sub(e.prefillStart(run)), time.Duration(overdueFraction*float64(run.prefillTime)))
	_, after := e.pendingPrefill(run)
	if until := now.Add(remaining + after); until.After(e.prefillUntil) {
		e.prefillUntil = until
	}
}

// completePrefill records the time of a run's first token: only the prompts
// placed after the run's are still to be read.
func (p *Pool) completePrefill(firstTokenAt time.Time, run *placedRun) {
	e := run.engine
	before, after := e.pendingPrefill(run)
	p.observePrefill(e, before+run.prefillTime, firstTokenAt.Sub(e.prefillStart(run)))
	for _, other := range e.orderedRuns {
		other.prefillPending = false
		if other == run {
			break
		}
	}
	if firstTokenAt.After(e.lastPrefillAt) {
		e.lastPrefillAt = firstTokenAt
	}
	if until := firstTokenAt.Add(after); until.Before(e.prefillUntil) {
		e.prefillUntil = until
	}
}

// prefillStart returns when the engine began to read a run's prompt or the unread
// prompts before it: when the run became known, or when the last prompt was read,
// if that is later.
func (e *engine) prefillStart(run *placedRun) time.Time {
	if run.knownSince.Before(e.lastPrefillAt) {
		return e.lastPrefillAt
	}
	return run.knownSince
}

// pendingPrefill returns how long the unread prompts take that were placed before
// a run's and after it.
func (e *engine) pendingPrefill(run *placedRun) (before, after time.Duration) {
	index := slices.Index(e.orderedRuns, run)
	for i, p := range e.orderedRuns {
		switch {
		case !p.prefillPending || i == index:
		case i < index:
			before += p.prefillTime
		default:
			after += p.prefillTime
		}
	}
	return before, after
}

// observePrefill learns an engine's slowness from an expected and an actual
// prefill time.
func (p *Pool) observePrefill(e *engine, expected, actual time.Duration) {
	if expected <= 0 || actual <= 0 {
		return
	}
	ratio := min(max(float64(actual)/float64(expected), 1/maxSlowness), maxSlowness)
	if !e.slownessLearned {
		e.logSlowness, e.slownessLearned = p.meanLogSlowness+math.Log(p.paceSlowness(e)), true
	}
	e.logSlowness += slownessWeight * math.Log(ratio)
	p.meanLogSlowness = p.averageLogSlowness()
}

// averageLogSlowness returns the mean over the active engines whose slowness is
// learned.
func (p *Pool) averageLogSlowness() float64 {
	sum, learnt := 0.0, 0
	for _, e := range p.engines {
		if e.slownessLearned {
			sum += e.logSlowness
			learnt++
		}
	}
	return sum / float64(max(learnt, 1))
}

// UpdatePrefill records what a host reports of its run's prompt: when its first
// token was generated, or the zero time if there is none yet.
func (p *Pool) UpdatePrefill(now time.Time, id RunID, firstTokenAt time.Time) {
	run := p.runs[id]
	switch {
	case run == nil || run.prefillTime == 0:
		// The run isn't known, or its prompt was read on another engine.
	case firstTokenAt.IsZero():
		run.engine.extendPrefill(now, run)
	case run.prefillPending:
		p.completePrefill(firstTokenAt, run)
	}
}
