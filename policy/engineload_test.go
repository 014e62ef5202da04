// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestLoadCountsEachRunOnce guards against runs that are counted twice or forgotten when an engine's
// load is older than what a host knows: the host places runs, moves them and sees them end between the
// load and its arrival.
func TestLoadCountsEachRunOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const prompt = 1000
		engines := []EngineID{"g1", "g2"}
		p := NewPool(Settings{})
		p.SetEngines(engines)
		type simulatedRun struct {
			id      RunID
			engine  int
			began   int
			unknown bool
		}
		var runs []simulatedRun
		var loads [2][]EngineLoad
		var unknownRuns, unknownMemory [2][]int
		steps := rapid.IntRange(2, 40).Draw(t, "steps")
		now := testStart
		for step := range steps {
			now = testStart.Add(time.Duration(step) * testStepTime)
			for _, id := range engines {
				p.Report(now, Report{Engine: id, TotalMemory: 10_000_000, StepTime: testStepTime})
			}
			engine, event := rapid.IntRange(0, 1).Draw(t, "engine"), rapid.IntRange(0, 5).Draw(t, "event")
			id := RunID(fmt.Sprint("r", step))
			switch {
			case event == 0:
				p.PlaceOn(now, newRequest(string(id), prompt), engines[engine], 0)
				runs = append(runs, simulatedRun{id, engine, step, false})
			case event == 1:
				runs = append(runs, simulatedRun{id, engine, step, true})
			case len(runs) == 0:
			case event == 2:
				p.Finish(now, Finish{Run: runs[0].id})
				runs = runs[1:]
			case event == 3 && !runs[0].unknown:
				runs[0].engine = engine
				p.CancelRelocation(now, runs[0].id, engines[engine])
			case event == 4 && !runs[0].unknown && runs[0].engine != engine:
				// A peer reports the move of its run.
				p.Finish(now, Finish{Run: runs[0].id})
				p.Adopt(now, newRequest(string(runs[0].id), prompt), engines[engine], Tokens(step-runs[0].began))
				runs[0].engine = engine
			}
			for i := range engines {
				l := EngineLoad{Engine: engines[i], TakenAt: now}
				count, memory := 0, 0
				for _, r := range runs {
					if r.engine != i {
						continue
					}
					l.Active++
					l.UsedMemory += Tokens(prompt + step - r.began)
					if r.unknown {
						count, memory = count+1, memory+prompt+step-r.began
					}
				}
				loads[i] = append(loads[i], l)
				unknownRuns[i], unknownMemory[i] = append(unknownRuns[i], count), append(unknownMemory[i], memory)
			}
		}
		for i, id := range engines {
			at := rapid.IntRange(max(0, steps-100), steps-1).Draw(t, "taken at")
			p.Report(now, Report{Engine: id, TotalMemory: 10_000_000, StepTime: testStepTime})
			p.ApplyLoad(loads[i][at])
			e := p.activeEngine(id)
			if e.unattributedRuns != unknownRuns[i][at] || int(e.unattributedMemory) != unknownMemory[i][at] {
				t.Fatalf("%s: %d runs with %d tokens unattributed, want %d with %d", id, e.unattributedRuns, e.unattributedMemory, unknownRuns[i][at], unknownMemory[i][at])
			}
		}
	})
}

// TestLoadUnattributed covers loads that differ from the known runs for other reasons than unknown
// runs.
func TestLoadUnattributed(t *testing.T) {
	for name, c := range map[string]struct {
		load       EngineLoad
		wantMemory Tokens
		wantRuns   int
	}{
		"as known":                          {EngineLoad{UsedMemory: 3000, Active: 2}, 0, 0},
		"error of the estimates":            {EngineLoad{UsedMemory: 3500, Active: 2}, 0, 0},
		"a copy":                            {EngineLoad{UsedMemory: 5000, Active: 2}, 2000, 0},
		"runs of a dead host have ended":    {EngineLoad{UsedMemory: 1000, Active: 1}, 0, 0},
		"the latest run is queued":          {EngineLoad{UsedMemory: 1000, Active: 1, Queued: 1}, 0, 0},
		"a queued run and an unknown one":   {EngineLoad{UsedMemory: 3000, Active: 2, Queued: 1}, 2000, 1},
		"an unknown run that is queued":     {EngineLoad{UsedMemory: 3000, Active: 2, Queued: 1, TakenAt: testStart.Add(time.Hour)}, 2000, 1},
		"from before the known runs":        {EngineLoad{UsedMemory: 3000, Active: 2, TakenAt: testStart.Add(-1)}, 3000, 2},
		"from before them, and nothing ran": {EngineLoad{TakenAt: testStart.Add(-1)}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newTestPool(Settings{InitialPrefillRate: 1000}, "g1")
			for _, r := range []Request{newRequest("1", 1000), newRequest("2", 2000)} {
				_, ok := p.PlaceOn(testStart, r, "g1", 0)
				is.True(ok)
			}
			if c.load.TakenAt.IsZero() {
				c.load.TakenAt = testStart
			}
			c.load.Engine = "g1"
			p.ApplyLoad(c.load)
			e := p.activeEngine("g1")
			is.Equal(e.unattributedMemory, c.wantMemory)
			is.Equal(e.unattributedRuns, c.wantRuns)
			is.Equal(p.KnownRunCount("g1"), 2)
		})
	}
}

// TestLoadKeepsRunsOffFullEngines guards against places granted on engines that are full of runs or
// copies that no host knows, and against a load that outlives its use.
func TestLoadKeepsRunsOffFullEngines(t *testing.T) {
	for name, load := range map[string]EngineLoad{
		"runs":   {Engine: "g1", TakenAt: testStart, UsedMemory: 9500, Active: 5},
		"copies": {Engine: "g1", TakenAt: testStart, UsedMemory: 9500},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newTestPool(Settings{}, "g1", "g2")
			learnLengths(p, "r", 100)
			p.ApplyLoad(load)
			placed := map[EngineID]int{}
			for i := range 8 {
				if d, ok := p.TryPlace(testStart, newRequest(fmt.Sprint(i), 1000)); ok {
					placed[d.Engine]++
				}
			}
			is.Equal(placed, map[EngineID]int{"g2": 8})
			onlyThere := newRequest("only", 1000)
			onlyThere.ExcludedEngines = []EngineID{"g2"}
			_, ok := p.TryPlace(testStart, onlyThere)
			is.True(!ok)
			refresh := func() { p.Report(testStart, Report{Engine: "g1", TotalMemory: 10_000, StepTime: testStepTime}) }
			refresh()
			d, ok := p.TryPlace(testStart, newRequest("later", 1000))
			is.True(ok)
			is.Equal(d.Engine, EngineID("g1"))
			p.ApplyLoad(load)
			refresh()
			is.Equal(p.activeEngine("g1").unattributedMemory, Tokens(0))
		})
	}
}

// TestLoadOfRestartedEngine guards against runs that are remembered past a restart of their engine.
func TestLoadOfRestartedEngine(t *testing.T) {
	is := is.New(t)
	p := newTestPool(Settings{}, "g1")
	p.PlaceOn(testStart, newRequest("1", 1000), "g1", 0)
	p.Finish(testStart.Add(time.Second), Finish{Run: "1"})
	p.ResetEngine("g1")
	p.Report(testStart, Report{Engine: "g1", TotalMemory: 10_000, StepTime: testStepTime})
	p.ApplyLoad(EngineLoad{Engine: "g1", TakenAt: testStart, UsedMemory: 1000, Active: 1})
	is.Equal(p.RunCount("g1"), 1)
}
