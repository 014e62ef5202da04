// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// decisionsHash plays a random load on a pool and returns a hash of all its decisions. Each report
// is passed through change.
func decisionsHash(seed uint64, change func(Report) Report) uint64 {
	random, hash := rand.New(rand.NewPCG(seed, 0)), fnv.New64a()
	p := NewPool(Settings{InitialPrefillRate: 7000, MaxBatchSize: 24, MovableTokens: 25_000, MaxStepTime: 24 * time.Millisecond})
	ids := []EngineID{"a", "b", "c", "d", "e", "f", "g"}
	p.SetEngines(ids)
	now := testStart
	var runs []RunID
	for n := range 3000 {
		now = now.Add(time.Duration(random.IntN(30)) * time.Millisecond)
		if n%50 == 0 {
			p.SetEngines(ids[:len(ids)-n/50%2])
		}
		for i, id := range ids {
			p.SetZone(id, simZone(i%2))
			// Reports with runs teach the pool's line of step times.
			step := time.Duration(7+i)*time.Millisecond + time.Duration(p.RunCount(id))*time.Millisecond
			p.Report(now, change(Report{Engine: id, TotalMemory: 26_860, StepTime: step, Running: p.RunCount(id)}))
		}
		r := Request{
			Run: RunID(fmt.Sprint("r", n)), Route: "long", PromptTokens: Tokens(1 + random.IntN(6000)), MaxOutputTokens: 1500, Zone: simZone(n % 2), CrossZoneCost: 0.7,
			Objective: 1800 * time.Millisecond, ArrivedAt: now, Deadline: now.Add(2 * time.Second),
		}
		if n%2 == 0 {
			r.Route = "short"
		}
		fmt.Fprintln(hash, p.Submit(now, r), p.Advance(now))
		runs = append(runs, r.Run)
		if n > 40 {
			at := random.IntN(len(runs))
			p.RecordFirstToken(now, runs[at])
			p.Progress(now, runs[at], Tokens(random.IntN(900)))
			to, moved := p.Relocate(now, runs[random.IntN(len(runs))], Target{CrossZoneCost: 0.7})
			fmt.Fprintln(hash, to, moved)
			p.Finish(now, Finish{Run: runs[at], GeneratedTokens: Tokens(1 + random.IntN(900)), Complete: true})
			runs = append(runs[:at], runs[at+1:]...)
		}
	}
	return hash.Sum64()
}

// TestDecisionsWithoutOwnPace checks that a pool whose engines report no SlowStepTime decides as
// the version before SlowStepTime existed, which recorded the hashes.
func TestDecisionsWithoutOwnPace(t *testing.T) {
	is := is.New(t)
	same := func(r Report) Report { return r }
	for seed, recorded := range []uint64{1164571514390276930, 1275907286436639320, 6560229203004792337} {
		is.Equal(decisionsHash(uint64(seed), same), recorded)
	}
	// The load would show a difference.
	is.True(decisionsHash(0, func(r Report) Report { r.SlowStepTime = 2 * r.StepTime; return r }) != decisionsHash(0, same))
}

const (
	paceBound  = 40 * time.Millisecond
	paceMemory = Tokens(26_860)
)

// newPacePool returns a pool of engines "slow", "usual" and "fast", whose paces are those of the
// load that pace.go addresses, and which knows the lengths of long and short answers. Each engine
// runs the given number of long answers.
func newPacePool(running int) *Pool {
	p := NewPool(Settings{MaxStepTime: paceBound, InitialPrefillRate: 7000})
	p.SetEngines([]EngineID{"slow", "usual", "fast"})
	learnLengths(p, "long", 752)
	learnLengths(p, "short", 8)
	reportPaces(p, 1)
	for _, id := range p.Engines() {
		for n := range running {
			p.Adopt(testStart, longRequest(fmt.Sprint(id, n)), id, 1)
		}
	}
	return p
}

// reportPaces reports a pace of each engine of newPacePool. A factor of zero reports no own pace.
func reportPaces(p *Pool, factor time.Duration) {
	for id, step := range map[EngineID]time.Duration{"slow": 17, "usual": 10, "fast": 6} {
		p.Report(testStart, Report{Engine: id, TotalMemory: paceMemory, StepTime: step * time.Millisecond, SlowStepTime: factor * step * 5 / 3 * time.Millisecond})
	}
}

func longRequest(run string) Request {
	return Request{Run: RunID(run), Route: "long", Account: "a", PromptTokens: 3079, Deadline: testStart.Add(time.Minute)}
}

func shortRequest(run string) Request {
	return Request{Run: RunID(run), Route: "short", Account: "a", PromptTokens: 2550, Deadline: testStart.Add(time.Minute)}
}

// TestChoiceByPace checks which engine takes a request.
func TestChoiceByPace(t *testing.T) {
	// fill puts long answers on an engine until it has no room.
	fill := func(p *Pool, id EngineID) {
		for n := range 7 {
			p.Adopt(testStart, longRequest(fmt.Sprint("fill", id, n)), id, 1)
		}
	}
	add := func(p *Pool, id EngineID, n int) {
		for i := range n {
			p.Adopt(testStart, longRequest(fmt.Sprint("add", id, i)), id, 1)
		}
	}
	// addNew replaces an engine by one that reports no pace.
	addNew := func(p *Pool, replaced EngineID) {
		p.SetEngines(append(slices.DeleteFunc(p.Engines(), func(id EngineID) bool { return id == replaced }), "new"))
		p.Report(testStart, Report{Engine: "new", TotalMemory: paceMemory, StepTime: time.Millisecond})
	}
	for _, c := range []struct {
		name    string
		prepare func(*Pool)
		request Request
		want    EngineID
	}{
		{"a long answer goes to the fastest engine", func(*Pool) {}, longRequest("r"), "fast"},
		{"a long answer avoids an empty engine that exceeds the bound", func(p *Pool) { add(p, "usual", 5); add(p, "fast", 6) }, longRequest("r"), "usual"},
		{"an engine that exceeds the bound is a last resort", func(p *Pool) { fill(p, "usual"); fill(p, "fast") }, longRequest("r"), "slow"},
		{"a short answer goes where no caller waits for tokens", func(p *Pool) { add(p, "usual", 1); add(p, "fast", 1) }, shortRequest("r"), "slow"},
		{"a short answer avoids long answers that it would make late", func(p *Pool) { add(p, "slow", 2); add(p, "usual", 3); add(p, "fast", 3) }, shortRequest("r"), "fast"},
		{"memory spreads the load", func(p *Pool) { add(p, "fast", 4) }, longRequest("r"), "usual"},
		{"an engine of unknown pace isn't tried first", func(p *Pool) { add(p, "fast", 1); addNew(p, "slow") }, longRequest("r"), "fast"},
		{"an engine of unknown pace precedes a full one", func(p *Pool) { add(p, "usual", 5); addNew(p, "fast") }, longRequest("r"), "new"},
		{"an engine of unknown pace precedes one that exceeds the bound", func(p *Pool) { fill(p, "usual"); addNew(p, "fast") }, longRequest("r"), "new"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPacePool(0)
			c.prepare(p)
			d := p.Submit(testStart, c.request)
			is.Equal(d.Verdict, Granted)
			is.Equal(d.Engine, c.want)
		})
	}
}

// TestLastResort checks that engines which are all slower than the bound still take runs. Without
// their own pace, the pool's line of step times forbids them.
func TestLastResort(t *testing.T) {
	is := is.New(t)
	for _, slowStep := range []time.Duration{0, 60 * time.Millisecond} {
		p := newPacePool(1)
		for _, id := range p.Engines() {
			for running := range 5 {
				p.Report(testStart, Report{Engine: id, TotalMemory: paceMemory, Running: 1 + running, StepTime: 50 * time.Millisecond, SlowStepTime: slowStep})
			}
			p.Report(testStart, Report{Engine: id, TotalMemory: paceMemory, Running: 1, StepTime: 50 * time.Millisecond, SlowStepTime: slowStep})
		}
		_, placed := p.TryPlace(testStart, longRequest("r"))
		is.Equal(placed, slowStep > 0)
	}
}

// TestPaceLeavesRoom checks that the cost of slower engines doesn't fill the fast ones first: the
// usual engine takes its part while the fast one has room for two more long answers, which may
// have to move there.
func TestPaceLeavesRoom(t *testing.T) {
	is := is.New(t)
	p := newPacePool(0)
	placed := map[EngineID]int{}
	for n := range 7 {
		placed[p.Submit(testStart, longRequest(fmt.Sprint("r", n))).Engine]++
	}
	is.Equal(placed["slow"], 0)
	is.True(placed["fast"] > placed["usual"])
	is.True(placed["fast"] <= 5 && placed["usual"] >= 2)
}

// TestRelocationByPace checks that a run that must move avoids an engine that exceeds the bound,
// and takes it if no other has room.
func TestRelocationByPace(t *testing.T) {
	is := is.New(t)
	p := newPacePool(0)
	p.Adopt(testStart, longRequest("r"), "fast", 100)
	p.Adopt(testStart, longRequest("other"), "usual", 100)
	to, moved := p.Relocate(testStart, "r", Target{})
	is.True(moved)
	is.Equal(to, EngineID("usual"))
	to, moved = p.Relocate(testStart, "r", Target{ExcludedEngines: []EngineID{"fast"}})
	is.True(moved)
	is.Equal(to, EngineID("slow"))
	is.Equal(p.PacePlacements(), PacePlacements{WithinBound: 1, LastResort: 1})
}

// TestProgressKeptByPace checks that a run isn't taken to be further or less far when the step
// time of its engine changes, or when it moves to an engine with another. Otherwise the forecast
// of memory is wrong by the ratio of the step times until the next report of its progress.
func TestProgressKeptByPace(t *testing.T) {
	is := is.New(t)
	p := newPacePool(0)
	now := testStart.Add(time.Second)
	p.Adopt(now, longRequest("r"), "slow", 300)
	report := Report{Engine: "slow", TotalMemory: paceMemory, StepTime: 8 * time.Millisecond, SlowStepTime: 9 * time.Millisecond}
	p.Report(now, report)
	is.Equal(p.runs["r"].generatedTokens, Tokens(300))
	p.Report(now.Add(800*time.Millisecond), report)
	is.Equal(p.runs["r"].generatedTokens, Tokens(400))
	now = now.Add(800 * time.Millisecond)
	to, moved := p.Relocate(now, "r", Target{})
	is.True(moved)
	is.Equal(to, EngineID("fast"))
	p.runs["r"].engine.refreshForecast(now.Add(60 * time.Millisecond))
	is.Equal(p.runs["r"].generatedTokens, Tokens(410))
}

// TestPaceForgotten checks that the pool keeps nothing of the paces of engines that report none
// any more, have restarted or have left. Otherwise decisions would differ from those before.
func TestPaceForgotten(t *testing.T) {
	for name, forget := range map[string]func(p *Pool){
		"reported no more": func(p *Pool) { reportPaces(p, 0) },
		"left":             func(p *Pool) { p.SetEngines(nil) },
		"restarted": func(p *Pool) {
			for _, id := range p.Engines() {
				p.ResetEngine(id)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPacePool(1)
			is.Equal(p.paces.engines, 3)
			forget(p)
			is.Equal(p.paces, paceTotals{})
			_, active := p.RunPace(testStart, "fast0")
			is.True(!active)
		})
	}
}

// TestPrefillByPace checks that an engine's pace stands in for the speed at which it reads prompts
// until that is learned. Otherwise short answers are late on slow engines that have just joined.
func TestPrefillByPace(t *testing.T) {
	is := is.New(t)
	p := newPacePool(0)
	first := func(id EngineID) time.Duration {
		r := shortRequest("r")
		return p.timeToFirstToken(testStart, p.activeEngine(id), &r).Round(time.Millisecond)
	}
	is.Equal(first("slow"), 563*time.Millisecond) // 2,550 tokens at 7 tokens per ms, times 17/11
	is.Equal(first("fast"), 199*time.Millisecond)
	// A forecast that comes true changes nothing.
	p.PlaceOn(testStart, shortRequest("s"), "slow", 0)
	p.RecordFirstToken(testStart.Add(first("slow")/2), "s")
	p.Finish(testStart, Finish{Run: "s"})
	is.True(p.slowness(p.activeEngine("slow")) > 0.9 && p.slowness(p.activeEngine("slow")) < 1.6)
}

// TestWaitByPace checks that the expected wait for a place uses each engine's own step time.
func TestWaitByPace(t *testing.T) {
	is := is.New(t)
	p := newPacePool(1)
	length := float64(p.MeanLength(&Request{Route: "long", Account: "a"}))
	is.True(math.Abs(p.completionsPerSecond()-(1/0.017+1/0.010+1/0.006)/length) < 1e-9)
}

// TestRunPace checks what the log gets of an engine's pace.
func TestRunPace(t *testing.T) {
	is := is.New(t)
	p := newPacePool(1)
	pace, active := p.RunPace(testStart.Add(time.Second), "slow0")
	is.True(active && pace.Known)
	is.Equal(pace.Age, time.Second)
	is.True(pace.LongestStep > pace.MaxStepTime)
	pace, _ = p.RunPace(testStart, "fast0")
	is.True(pace.LongestStep < pace.MaxStepTime)
}

// TestPaceOfRemovedEngine guards against an engine off the list whose last report has a pace while no
// engine on the list reports one: its slowness was no number, and once it was back on the list, that of
// all engines was none either.
func TestPaceOfRemovedEngine(t *testing.T) {
	is := is.New(t)
	p := newPacePool(0)
	p.Adopt(testStart, shortRequest("before"), "slow", 0)
	p.SetEngines([]EngineID{"usual", "fast"})
	reportPaces(p, 0)
	p.Adopt(testStart, shortRequest("after"), "slow", 0)
	is.True(p.runs["after"].prefillTime > 0)
	p.UpdatePrefill(testStart, "before", testStart.Add(400*time.Millisecond))
	p.SetEngines([]EngineID{"slow", "usual", "fast"})
	p.UpdatePrefill(testStart, "after", testStart.Add(800*time.Millisecond))
	for _, e := range p.engines {
		slowness := p.slowness(e)
		is.True(slowness >= 1/maxSlowness && slowness <= maxSlowness)
	}
}
