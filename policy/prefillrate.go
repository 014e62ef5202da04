// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"math"
	"time"
)

// prefillRate learns how many prompt tokens an engine reads per second while it
// decodes, from the forecast and actual times of first tokens. Until the first
// observation it is initialRate; an initialRate of zero disables the estimate.
type prefillRate struct {
	initialRate float64
	// correction multiplies initialRate; zero stands for one.
	correction float64
	// samples counts the observations.
	samples uint64
}

const (
	// prefillRateWeight is the weight of the newest observation: half of a change
	// of speed is learned from seven prompts.
	prefillRateWeight = 0.1
	// maxPrefillRateError bounds one observation, because an engine that is stuck
	// says little about the others.
	maxPrefillRateError = 4.0
)

func (r *prefillRate) known() bool { return r.initialRate > 0 }

// tokensPerSecond returns the current estimate of the rate.
func (r *prefillRate) tokensPerSecond() float64 {
	if r.correction == 0 {
		return r.initialRate
	}
	return r.initialRate * r.correction
}

// duration returns how long n tokens take to read; zero if the rate isn't known.
func (r *prefillRate) duration(n Tokens) time.Duration {
	if !r.known() {
		return 0
	}
	return time.Duration(float64(n) / r.tokensPerSecond() * float64(time.Second))
}

// observe learns from the expected and the actual time to a first token.
func (r *prefillRate) observe(expected, actual time.Duration) {
	if !r.known() || expected <= 0 || actual <= 0 {
		return
	}
	if r.correction == 0 {
		r.correction = 1
	}
	ratio := min(max(float64(expected)/float64(actual), 1/maxPrefillRateError), maxPrefillRateError)
	r.correction *= math.Pow(ratio, prefillRateWeight)
	r.samples++
}

// RecordFirstToken records that a run generated its first token on the engine
// on which it was placed. Later tokens, and runs that were moved before, are
// ignored.
func (p *Pool) RecordFirstToken(now time.Time, id RunID) {
	run := p.runs[id]
	if run == nil || run.placedAt.IsZero() {
		return
	}
	p.prefill.observe(run.timeToFirstToken, now.Sub(run.placedAt))
	run.placedAt = time.Time{}
	p.UpdatePrefill(now, id, now)
}

// IdlePrefillTime returns how long an idle engine is expected to take to read a
// prompt of n tokens.
func (p *Pool) IdlePrefillTime(n Tokens) time.Duration { return p.prefill.duration(n) }

// PrefillRate returns how many prompt tokens an engine is expected to read per
// second, and from how many first tokens that was learned.
func (p *Pool) PrefillRate() (tokensPerSecond float64, samples uint64) {
	return p.prefill.tokensPerSecond(), p.prefill.samples
}
