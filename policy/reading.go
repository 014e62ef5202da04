// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"math"
	"slices"
	"time"
)

// An engine reads prompts one after another. How long that takes is foreseen, but
// engines of one pool differ in speed and hosts hear of each other's runs late, so what
// is foreseen is held to what is seen: a run without a token has not been read, and one
// with a token has, with all that were placed before it. From when first tokens came
// each engine's own speed is learnt.

const (
	// overdueFraction is the part of a prompt that is taken to be left to read when its run
	// has no token though it should have.
	overdueFraction = 0.25
	// slownessWeight is the weight of the newest observation of an engine's own speed:
	// most of a difference is learnt from five first tokens, for an engine of a spot
	// pool may be gone after some twenty.
	slownessWeight = 0.3
	// maxSlowness bounds an engine's slowness, and one observation of it.
	maxSlowness = 3.0
)

// expectedPrefillTime is how long the engine is expected to read a prompt.
func (p *Pool) expectedPrefillTime(now time.Time, e *engine, r *Request) time.Duration {
	return time.Duration(float64(p.prefill.duration(r.PromptTokens-e.cache.reusableTokens(now, r))) * p.slowness(e))
}

// slowness is how much longer an engine reads than the pool's engines do on average.
// What all of them have in common is in the pool's rate of reading.
func (p *Pool) slowness(e *engine) float64 {
	if !e.slownessLearned {
		return 1
	}
	return min(max(math.Exp(e.logSlowness-p.meanLogSlowness), 1/maxSlowness), maxSlowness)
}

// addPrefill counts a run's prompt among those that the engine has to read.
func (e *engine) addPrefill(now time.Time, run *placedRun, takes time.Duration) {
	run.prefillPending, run.prefillTime, run.knownSince = true, takes, now
	if e.prefillUntil.Before(now) {
		e.prefillUntil = now
	}
	e.prefillUntil = e.prefillUntil.Add(takes)
}

// extendPrefill takes in that a run has no token yet: its prompt, and those that came
// after it, are still to be read.
func (e *engine) extendPrefill(now time.Time, run *placedRun) {
	run.prefillPending = true
	left := max(run.prefillTime-now.Sub(e.prefillStart(run)), time.Duration(overdueFraction*float64(run.prefillTime)))
	_, after := e.pendingPrefill(run)
	if until := now.Add(left + after); until.After(e.prefillUntil) {
		e.prefillUntil = until
	}
}

// completePrefill takes in that a run's first token came at a time: no more is left to read
// than what came after it.
func (p *Pool) completePrefill(at time.Time, run *placedRun) {
	e := run.engine
	before, after := e.pendingPrefill(run)
	p.observePrefill(e, before+run.prefillTime, at.Sub(e.prefillStart(run)))
	for _, other := range e.orderedRuns {
		other.prefillPending = false
		if other == run {
			break
		}
	}
	if at.After(e.lastPrefillAt) {
		e.lastPrefillAt = at
	}
	if until := at.Add(after); until.Before(e.prefillUntil) {
		e.prefillUntil = until
	}
}

// prefillStart is when the engine began to read a run's prompt, or those before it that
// it hadn't read: when the run came, or when the last one that is known was read.
func (e *engine) prefillStart(run *placedRun) time.Time {
	if run.knownSince.Before(e.lastPrefillAt) {
		return e.lastPrefillAt
	}
	return run.knownSince
}

// pendingPrefill is how long the unread prompts take that came before a run's and after.
func (e *engine) pendingPrefill(run *placedRun) (before, after time.Duration) {
	at := slices.Index(e.orderedRuns, run)
	for i, p := range e.orderedRuns {
		switch {
		case !p.prefillPending || i == at:
		case i < at:
			before += p.prefillTime
		default:
			after += p.prefillTime
		}
	}
	return before, after
}

// observePrefill takes in how long an engine took to read what was foreseen to take
// another time.
func (p *Pool) observePrefill(e *engine, foreseen, took time.Duration) {
	if foreseen <= 0 || took <= 0 {
		return
	}
	off := min(max(float64(took)/float64(foreseen), 1/maxSlowness), maxSlowness)
	if !e.slownessLearned {
		e.logSlowness, e.slownessLearned = p.meanLogSlowness, true
	}
	e.logSlowness += slownessWeight * math.Log(off)
	p.meanLogSlowness = p.averageLogSlowness()
}

// averageLogSlowness is the mean over the engines that take work; those that nothing is
// known of count as the mean.
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

// UpdatePrefill takes in what another host tells of its run's prompt: when its first token
// came, or the zero time while it has none.
func (p *Pool) UpdatePrefill(now time.Time, id RunID, first time.Time) {
	run := p.runs[id]
	switch {
	case run == nil || run.prefillTime == 0:
		// It isn't known, or was read elsewhere.
	case first.IsZero():
		run.engine.extendPrefill(now, run)
	case run.prefillPending:
		p.completePrefill(first, run)
	}
}
