// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
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
