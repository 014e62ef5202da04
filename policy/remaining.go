// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

const (
	// remainingSpan is the index of the horizon, 256 tokens, in whose steps
	// ExpectedRemaining sums up the survival. Between the later horizons it isn't
	// nearly linear: with them, 1,067 instead of 700 tokens were expected.
	remainingSpan = 3
	// minReached is the probability below which the rest is left out.
	minReached = 0.01
)

// ExpectedRemaining returns how many further tokens a run is expected to generate;
// zero if the run isn't known.
func (p *Pool) ExpectedRemaining(id RunID) Tokens {
	run := p.runs[id]
	if run == nil {
		return 0
	}
	sum, reached := 0.0, 1.0
	for ahead := Tokens(0); ahead < horizons[len(horizons)-1] && reached > minReached; ahead += horizons[remainingSpan] {
		alive := run.curve.SurvivalAfter(run.generatedTokens + ahead)
		from, probability := Tokens(0), 1.0
		for k, to := range horizons[:remainingSpan+1] {
			sum += reached * float64(to-from) * (probability + alive[k]) / 2
			from, probability = to, alive[k]
		}
		reached *= probability
	}
	if run.MaxOutputTokens > 0 {
		return min(Tokens(sum), run.MaxOutputTokens-run.generatedTokens)
	}
	return Tokens(sum)
}
