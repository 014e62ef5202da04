// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/policy"
)

// TestPacePlacements checks that runs placed by pace are counted and can be logged, and that
// nothing is counted or logged where no engine's own pace is used.
func TestPacePlacements(t *testing.T) {
	is := is.New(t)
	f := newForwarder(t, &fakeTransport{})
	now := time.Now()
	f.updatePlacementEngines(now, f.Table())
	_, _, d := f.engines.place(t.Context(), now, "llm", policy.Request{Run: "before", PromptTokens: 100})
	is.Equal(d.Verdict, policy.Granted)
	is.Equal(len(f.PacePlacements()), 0)
	_, placedByPace := f.engines.runPace(now, "llm", "before")
	is.True(!placedByPace)

	pool := f.engines.pools["llm"].pool
	for _, r := range pool.Reports() {
		r.StepTime, r.SlowStepTime = 8*time.Millisecond, 9*time.Millisecond
		pool.Report(now, r)
	}
	_, _, d = f.engines.place(t.Context(), now, "llm", policy.Request{Run: "after", PromptTokens: 100})
	is.Equal(d.Verdict, policy.Granted)
	is.Equal(f.PacePlacements(), []PacePlacements{{Service: "llm", PacePlacements: policy.PacePlacements{WithinBound: 1}}})
	pace, placedByPace := f.engines.runPace(now.Add(time.Second), "llm", "after")
	is.True(placedByPace && pace.Known)
	is.Equal(pace.SlowStepTime, 9*time.Millisecond)
	is.Equal(pace.Age, time.Second)
}
