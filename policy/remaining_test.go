// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"testing"

	"github.com/matryer/is"
)

// TestExpectedRemaining guards against an estimate that ignores what the run has generated or its
// bound.
func TestExpectedRemaining(t *testing.T) {
	is := is.New(t)
	p := newTestPool(Settings{}, "g1")
	learnLengths(p, "r", 700)
	p.Adopt(testStart, newRequest("new", 100), "g1", 1)
	p.Adopt(testStart, newRequest("old", 100), "g1", 600)
	bounded := newRequest("bounded", 100)
	bounded.MaxOutputTokens = 50
	p.Adopt(testStart, bounded, "g1", 30)
	is.True(p.ExpectedRemaining("new") > 550 && p.ExpectedRemaining("new") < 850)
	is.True(p.ExpectedRemaining("old") < p.ExpectedRemaining("new")/2)
	is.Equal(p.ExpectedRemaining("bounded"), Tokens(20))
	is.Equal(p.ExpectedRemaining("unknown"), Tokens(0))
}
