// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
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
				step = assumedStep
			}
			is.Equal(f.engines.expectedDuration("llm", 0, 100), 100*step)
			p := f.engines.pools["llm"]
			is.Equal(p.shortAnswerLength(), c.short)
		})
	}
}

// TestShortestPause has the longest step that placement aims at follow the
// shortest pause that a route to the engines allows.
func TestShortestPause(t *testing.T) {
	is := is.New(t)
	c := testConfig(1)
	is.Equal(NewTable(c).ShortestGapObjective("llm"), time.Duration(0))
	strict, lax := c.Routes[2], c.Routes[2]
	strict.Name, strict.PathPrefix, strict.GapObjective = "strict", "/strict/", 120*time.Millisecond
	lax.Name, lax.PathPrefix, lax.GapObjective = "lax", "/lax/", 600*time.Millisecond
	c.Routes = append(c.Routes, lax, strict)
	table := NewTable(c)
	is.Equal(table.ShortestGapObjective("llm"), 120*time.Millisecond)
	is.Equal(table.ShortestGapObjective("app"), time.Duration(0))
	is.Equal(poolSettings(*c.Services[1].Engine, 0).BetweenTokens, defaultMaxStep)
	// 120 ms for four tokens are 30 ms a step, and a tenth is kept back.
	is.Equal(poolSettings(*c.Services[1].Engine, 120*time.Millisecond).BetweenTokens, 27*time.Millisecond)
}

// TestKnownZones has placement know how much of each zone it hears: a peer's runs are
// known for a second after it told them.
func TestKnownZones(t *testing.T) {
	is := is.New(t)
	f := newForwarder(t, &fakeTransport{})
	now := time.Now()
	f.fleet.Replace(now, []Upstream{
		{ID: "near", Service: "llm", Zone: "z1", Revision: rev(2)}, {ID: "far", Service: "llm", Zone: "z2", Revision: rev(2)},
	}, rev(2))
	f.updatePlacementEngines(now, f.Table())
	for _, id := range []member.HostID{"a", "b"} {
		f.peers.recordShare(now, Share{From: Peer{ID: id, Zone: "z2"}})
	}
	busy := policy.Request{Run: "busy", Route: "/llm/", Prompt: 6000, Objective: 1800 * time.Millisecond, Arrived: now}
	_, first, _ := f.engines.place(t.Context(), now, "llm", busy)
	is.Equal(first.engine, member.UpstreamID("near"))
	pool := f.engines.pools["llm"].pool
	for name, c := range map[string]struct {
		tell []member.HostID
		at   time.Time
		want float64
	}{
		"nobody told": {nil, now, 0},
		"half told":   {[]member.HostID{"a"}, now, 0.5},
		"all told":    {[]member.HostID{"a", "b"}, now, 1},
		"long ago":    {[]member.HostID{"a", "b"}, now.Add(maxReportAge + time.Millisecond), 0},
	} {
		clear(f.engines.lastReported)
		for _, id := range c.tell {
			f.engines.replacePeerRuns(now, id, nil, nil)
		}
		f.engines.updateKnownParts(c.at, f.peers.zoneByHost())
		if got := pool.KnownPart("z2"); got != c.want {
			t.Errorf("%s: %v of the zone is known, not %v", name, got, c.want)
		}
	}
}

// TestLengthsLearntTogether has a host learn how long answers get from the runs of its
// peers that end by themselves, each once, and not from those that are cut.
func TestLengthsLearntTogether(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	teller, hearer := newForwarder(t, &fakeTransport{}), newForwarder(t, &fakeTransport{})
	for _, f := range []*Forwarder{teller, hearer} {
		f.updatePlacementEngines(now, f.Table())
	}
	tell := func() {
		s := teller.newShare(now)
		hearer.engines.replacePeerRuns(now, "h9", s.Runs, s.EndedRuns)
	}
	request := policy.Request{Route: "/llm/", Account: "counter", Prompt: 100}
	mean := func() policy.Tokens { return hearer.engines.pools["llm"].pool.MeanLength(&request) }
	before := mean()
	for i := range 200 {
		r := request
		r.Run = policy.RunID(fmt.Sprint("r", i))
		teller.updatePlacementEngines(now, teller.Table())
		_, run, _ := teller.engines.place(t.Context(), now, "llm", r)
		run.generatedTokens.Store(1000)
		tell()
		now = now.Add(100 * time.Millisecond)
		teller.engines.finish(now, "llm", run, i%2 == 0)
		tell()
		tell() // an answer that is told again isn't learnt again
	}
	is.True(before < 600)
	is.True(mean() > 800 && mean() < 1000) // a hundred answers of 1,000 tokens, and the prior
	is.Equal(len(hearer.engines.enginesWithRuns()), 0)
}

// TestGrantedEngineLeft has a request that waited be placed anew when the engine that
// it was granted was taken off the list before it could take the place.
func TestGrantedEngineLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEnginePlacer("h1", "z1")
		e.configure(NewTable(testConfig(1)))
		first := Upstream{ID: "llm1", Service: "llm", Zone: "z1"}
		second := Upstream{ID: "llm2", Service: "llm", Zone: "z1"}
		now := time.Now()
		e.setAvailable(now, "llm", []Upstream{first})
		_, filling, _ := e.place(t.Context(), now, "llm", policy.Request{Run: "filling", Prompt: 33000})
		type placing struct {
			at  Upstream
			run *ownRun
		}
		placed := make(chan placing, 1)
		go func() {
			u, run, _ := e.place(t.Context(), now, "llm", policy.Request{Run: "waiting", Prompt: 3000, Deadline: now.Add(time.Minute)})
			placed <- placing{u, run}
		}()
		time.Sleep(queueStagger) // llm1 takes what waits
		later := time.Now()
		p := e.pools["llm"]
		e.mu.Lock()
		p.pool.Finish(later, policy.Finish{Run: filling.request.Run})
		p.advance(later) // llm1 is granted; before the request can go on, it leaves
		clear(p.poolEngines)
		p.poolEngines[second.ID] = second
		p.pool.SetEngines([]member.UpstreamID{second.ID})
		p.pool.SetZone(second.ID, second.Zone)
		p.refresh(later)
		e.mu.Unlock()
		got := <-placed
		is.Equal(got.at, second)
		is.Equal(got.run.engine, second.ID)
		is.Equal(len(p.ownRuns), 2) // the one that fills llm1, whose end wasn't told, and this
	})
}
