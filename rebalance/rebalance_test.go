// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package rebalance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var testStart = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

const ms = time.Millisecond

func at(d time.Duration) time.Time { return testStart.Add(d) }

// maxStep is the bound for pauses of 180 ms between events of four tokens.
const maxStep = 40 * ms

func TestDecision(t *testing.T) {
	slow, steady, fast := Pace{22 * ms, 60 * ms}, Pace{12 * ms, 38 * ms}, Pace{8 * ms, 20 * ms}
	run := Run{MaxStep: maxStep, Remaining: 400, Deadline: at(30 * time.Second)}
	with := func(change func(*Run)) Run {
		r := run
		change(&r)
		return r
	}
	for name, c := range map[string]struct {
		run            Run
		source, target Pace
		reason         Reason
		suits          bool
	}{
		"pauses are too long":            {run, slow, fast, Pauses, true},
		"source is within the bound":     {run, steady, fast, None, true},
		"source isn't known":             {run, Pace{}, fast, None, false},
		"target isn't known":             {run, slow, Pace{}, Pauses, false},
		"target exceeds the bound":       {run, slow, Pace{8 * ms, 41 * ms}, Pauses, false},
		"target is hardly faster":        {run, Pace{15 * ms, 60 * ms}, steady, Pauses, false},
		"late already":                   {with(func(r *Run) { r.Exceeded = true }), slow, fast, None, true},
		"late already, and too slow":     {with(func(r *Run) { r.Exceeded, r.Deadline = true, at(8*time.Second) }), slow, fast, Late, true},
		"moved long ago":                 {with(func(r *Run) { r.MovedAt = at(-4 * time.Second) }), slow, fast, Pauses, true},
		"moved just now":                 {with(func(r *Run) { r.MovedAt = at(-3999 * ms) }), slow, fast, None, true},
		"moved twice":                    {with(func(r *Run) { r.Moves = 2 }), slow, fast, None, true},
		"almost complete":                {with(func(r *Run) { r.Remaining = 39 }), slow, fast, None, true},
		"too little is saved":            {with(func(r *Run) { r.Remaining = 45 }), slow, Pace{11 * ms, 20 * ms}, Pauses, false},
		"no bound on pauses":             {with(func(r *Run) { r.MaxStep = 0 }), slow, fast, None, true},
		"too slow for its deadline":      {with(func(r *Run) { r.MaxStep, r.Deadline = 0, at(8*time.Second) }), slow, fast, Late, true},
		"neither is in time":             {with(func(r *Run) { r.MaxStep, r.Deadline = 0, at(3*time.Second) }), slow, fast, Late, false},
		"no deadline":                    {with(func(r *Run) { r.MaxStep, r.Deadline = 0, time.Time{} }), slow, fast, None, true},
		"target in time without reserve": {with(func(r *Run) { r.MaxStep, r.Deadline = 0, at(3300*ms) }), slow, fast, Late, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Leaves(testStart, c.run, c.source), c.reason)
			is.Equal(Suits(testStart, c.run, c.source, c.target), c.suits)
		})
	}
}
