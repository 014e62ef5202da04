// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"math"
	"time"
)

// prefillRate learns how many prompt tokens an engine reads in a second beside its
// decoding, from how far foreseen first tokens were off. Until the first was
// seen it is the prior; a prior of zero leaves reading out of account.
type prefillRate struct {
	initialRate float64
	// correction corrects the prior; zero stands for one.
	correction float64
	// samples counts what was learnt from.
	samples uint64
}

const (
	// prefillRateWeight is the weight of the newest observation: half of a change
	// of speed is learnt from seven prompts.
	prefillRateWeight = 0.1
	// maxPrefillRateError bounds one observation, for an engine that stands still says
	// little about the others.
	maxPrefillRateError = 4.0
)

func (r *prefillRate) known() bool { return r.initialRate > 0 }

// tokensPerSecond is the rate as it is known now.
func (r *prefillRate) tokensPerSecond() float64 {
	if r.correction == 0 {
		return r.initialRate
	}
	return r.initialRate * r.correction
}

// duration is how long some tokens are read; zero when nothing is known.
func (r *prefillRate) duration(n Tokens) time.Duration {
	if !r.known() {
		return 0
	}
	return time.Duration(float64(n) / r.tokensPerSecond() * float64(time.Second))
}

// observe takes in a first token that was foreseen after some time and came
// after another.
func (r *prefillRate) observe(foreseen, came time.Duration) {
	if !r.known() || foreseen <= 0 || came <= 0 {
		return
	}
	if r.correction == 0 {
		r.correction = 1
	}
	off := min(max(float64(foreseen)/float64(came), 1/maxPrefillRateError), maxPrefillRateError)
	r.correction *= math.Pow(off, prefillRateWeight)
	r.samples++
}

// RecordFirstToken takes in that a run made its first token on the engine that it was
// placed on. Later tokens and runs that were moved before say nothing.
func (p *Pool) RecordFirstToken(now time.Time, id RunID) {
	run := p.runs[id]
	if run == nil || run.placedAt.IsZero() {
		return
	}
	p.prefill.observe(run.timeToFirstToken, now.Sub(run.placedAt))
	run.placedAt = time.Time{}
	p.UpdatePrefill(now, id, now)
}

// IdlePrefillTime is how long an idle engine is expected to read a prompt.
func (p *Pool) IdlePrefillTime(n Tokens) time.Duration { return p.prefill.duration(n) }

// PrefillRate is how many prompt tokens an engine is expected to read in a second,
// and from how many first tokens that was learnt.
func (p *Pool) PrefillRate() (tokensPerSecond float64, samples uint64) {
	return p.prefill.tokensPerSecond(), p.prefill.samples
}
