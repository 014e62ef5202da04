// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/policy"
)

// TestStepLearnt has the time of an answer, and what counts as a short one,
// follow the steps that engines show, three times faster and slower ones alike.
func TestStepLearnt(t *testing.T) {
	for name, c := range map[string]struct {
		step  time.Duration
		short policy.Tokens
	}{
		"not seen yet":       {0, 50},
		"as assumed":         {10 * time.Millisecond, 50},
		"three times faster": {3333 * time.Microsecond, 150},
		"three times slower": {30 * time.Millisecond, 16},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newForwarder(t, &fakeTransport{})
			for range 200 {
				if c.step > 0 {
					f.engines.observeStep(time.Now(), "llm", c.step)
				}
			}
			step := max(c.step, 0)
			if step == 0 {
				step = stepPrior
			}
			is.Equal(f.engines.takes("llm", 0, 100), 100*step)
			p := f.engines.pools["llm"]
			is.Equal(p.short(), c.short)
		})
	}
}

// TestShortestPause has the longest step that placement aims at follow the
// shortest pause that a route to the engines allows.
func TestShortestPause(t *testing.T) {
	is := is.New(t)
	c := testConfig(1)
	is.Equal(NewTable(c).ShortestPause("llm"), time.Duration(0))
	strict, lax := c.Routes[2], c.Routes[2]
	strict.Name, strict.PathPrefix, strict.GapObjective = "strict", "/strict/", 120*time.Millisecond
	lax.Name, lax.PathPrefix, lax.GapObjective = "lax", "/lax/", 600*time.Millisecond
	c.Routes = append(c.Routes, lax, strict)
	table := NewTable(c)
	is.Equal(table.ShortestPause("llm"), 120*time.Millisecond)
	is.Equal(table.ShortestPause("app"), time.Duration(0))
	is.Equal(poolSettings(*c.Services[1].Engine, 0).BetweenTokens, stepBound)
	// 120 ms for four tokens are 30 ms a step, and a tenth is kept back.
	is.Equal(poolSettings(*c.Services[1].Engine, 120*time.Millisecond).BetweenTokens, 27*time.Millisecond)
}
