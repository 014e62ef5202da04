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

// TestStepLearnt checks that the expected duration of an answer, and the length that counts as
// short, follow the observed steps, whether these are three times faster or slower than
// assumed.
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

// TestShortestPause checks that the longest step that placement aims at follows the shortest
// pause that a route to the engines allows.
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
	is.Equal(poolSettings(*c.Services[1].Engine, 0).MaxStepTime, defaultMaxStep)
	// 120 ms for four tokens are 30 ms per step, of which a tenth is kept in reserve.
	is.Equal(poolSettings(*c.Services[1].Engine, 120*time.Millisecond).MaxStepTime, 27*time.Millisecond)
}

// TestKnownZones checks that placement knows which share of a zone's hosts reported their runs:
// a report counts for a second.
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
	busy := policy.Request{Run: "busy", Route: "/llm/", PromptTokens: 6000, Objective: 1800 * time.Millisecond, ArrivedAt: now}
	_, first, _ := f.engines.place(t.Context(), now, "llm", busy)
	is.Equal(first.engine, member.UpstreamID("near"))
	pool := f.engines.pools["llm"].pool
	for name, c := range map[string]struct {
		reporting []member.HostID
		at        time.Time
		want      float64
	}{
		"nobody told": {nil, now, 0},
		"half told":   {[]member.HostID{"a"}, now, 0.5},
		"all told":    {[]member.HostID{"a", "b"}, now, 1},
		"long ago":    {[]member.HostID{"a", "b"}, now.Add(maxReportAge + time.Millisecond), 0},
	} {
		clear(f.engines.lastReported)
		for _, id := range c.reporting {
			f.engines.replacePeerRuns(now, id, nil, nil)
		}
		f.engines.updateKnownParts(c.at, f.peers.zoneByHost())
		if got := pool.ZoneCoverage("z2"); got != c.want {
			t.Errorf("%s: known share of zone z2 is %v, expected %v", name, got, c.want)
		}
	}
}

// TestLengthsLearntTogether checks that a host learns the length of answers from its peers'
// runs that complete, each once, and not from runs that are cut off.
func TestLengthsLearntTogether(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	sender, receiver := newForwarder(t, &fakeTransport{}), newForwarder(t, &fakeTransport{})
	for _, f := range []*Forwarder{sender, receiver} {
		f.updatePlacementEngines(now, f.Table())
	}
	share := func() {
		s := sender.newShare(now)
		receiver.engines.replacePeerRuns(now, "h9", s.Runs, s.EndedRuns)
	}
	request := policy.Request{Route: "/llm/", Account: "counter", PromptTokens: 100}
	mean := func() policy.Tokens { return receiver.engines.pools["llm"].pool.MeanLength(&request) }
	before := mean()
	for i := range 200 {
		r := request
		r.Run = policy.RunID(fmt.Sprint("r", i))
		sender.updatePlacementEngines(now, sender.Table())
		_, run, _ := sender.engines.place(t.Context(), now, "llm", r)
		run.generatedTokens.Store(1000)
		share()
		now = now.Add(100 * time.Millisecond)
		sender.engines.finish(now, "llm", run, i%2 == 0)
		share()
		share() // a repeated report must not count twice
	}
	is.True(before < 600)
	is.True(mean() > 800 && mean() < 1000) // a hundred answers of 1,000 tokens, and the initial estimate
	is.Equal(len(receiver.engines.enginesWithRuns()), 0)
}

// TestGrantedEngineLeft checks that a queued request is placed again if the engine that it was
// granted is removed from the list before the request takes its place.
func TestGrantedEngineLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEnginePlacer("h1", "z1")
		e.configure(NewTable(testConfig(1)))
		first := Upstream{ID: "llm1", Service: "llm", Zone: "z1"}
		second := Upstream{ID: "llm2", Service: "llm", Zone: "z1"}
		now := time.Now()
		e.setAvailable(now, "llm", []Upstream{first})
		_, filling, _ := e.place(t.Context(), now, "llm", policy.Request{Run: "filling", PromptTokens: 33000})
		type placing struct {
			upstream Upstream
			run      *ownRun
		}
		placed := make(chan placing, 1)
		go func() {
			u, run, _ := e.place(t.Context(), now, "llm", policy.Request{Run: "waiting", PromptTokens: 3000, Deadline: now.Add(time.Minute)})
			placed <- placing{u, run}
		}()
		time.Sleep(queueStagger) // from now on llm1 takes queued requests
		later := time.Now()
		p := e.pools["llm"]
		e.mu.Lock()
		p.pool.Finish(later, policy.Finish{Run: filling.request.Run})
		p.advance(later) // llm1 is granted, and leaves before the request can go on
		clear(p.poolEngines)
		p.poolEngines[second.ID] = second
		p.pool.SetEngines([]member.UpstreamID{second.ID})
		p.pool.SetZone(second.ID, second.Zone)
		p.refresh(later)
		e.mu.Unlock()
		got := <-placed
		is.Equal(got.upstream, second)
		is.Equal(got.run.engine, second.ID)
		is.Equal(len(p.ownRuns), 2) // this run, and the one that fills llm1, whose end the placer has not been told
	})
}
