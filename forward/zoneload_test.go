// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/zoneload"
)

// countShifts counts the outcomes of short answers requested in another zone.
type countShifts struct {
	silentObserver
	outcomes map[zoneload.Outcome]int
}

func (c *countShifts) ZoneShift(o zoneload.Outcome) { c.outcomes[o]++ }

// TestPlaceInEmptierZone checks that only short answers go to a zone that is emptier, only while the
// own zone is about to be full, and that the own zone is used where the other can't be.
func TestPlaceInEmptierZone(t *testing.T) {
	for name, c := range map[string]struct {
		enabled bool
		// ownUsed is the memory in use in the own zone.
		ownUsed policy.Tokens
		// answerLength is that of earlier answers.
		answerLength policy.Tokens
		// age is that of the other zone's load when the request is placed.
		age                         time.Duration
		dropRequests, otherZoneFull bool
		wantOutcome                 zoneload.Outcome
	}{
		"short answer":            {true, 30000, 8, 0, false, false, zoneload.Granted},
		"long answer":             {true, 30000, 500, 0, false, false, ""},
		"own zone has room":       {true, 25000, 8, 0, false, false, ""},
		"disabled":                {false, 30000, 8, 0, false, false, ""},
		"value is old":            {true, 30000, 8, zoneload.MaxAge + 1, false, false, ""},
		"zone can't be reached":   {true, 30000, 8, 0, true, false, zoneload.Unreachable},
		"other zone has got full": {true, 30000, 8, 0, false, true, zoneload.NoRoom},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				near, far, peer := newTwoZoneHosts(t)
				counts := &countShifts{outcomes: map[zoneload.Outcome]int{}}
				near.observer = counts
				for _, f := range []*Forwarder{near, far} {
					is.True(f.engines.pools["llm"].balance == nil) // disabled by default
					f.settings.Placement.ZoneAdmission = c.enabled
					if c.enabled {
						f.engines.pools["llm"].balance = &zoneBalance{draw: func() float64 { return 0.79 }}
					}
				}
				for range 300 {
					near.engines.pools["llm"].pool.LearnLength(&policy.Request{Route: "/llm/"}, c.answerLength)
					far.engines.pools["llm"].pool.LearnLength(&policy.Request{Route: "/llm/"}, c.answerLength)
				}
				filling := policy.Request{Run: "filling", Route: "/llm/", PromptTokens: c.ownUsed, MaxOutputTokens: 1, Zone: "z1"}
				_, filled, _, ok := near.engines.placeGranted(time.Now(), "llm", filling, PlacementGrant{Engine: "near"})
				is.True(ok)
				near.engines.recordFirstToken(time.Now(), "llm", filled)
				for _, f := range []*Forwarder{near, far} {
					f.updatePlacementEngines(time.Now(), f.Table())
				}
				share := far.newShare(time.Now())
				far.addZoneLoads(time.Now(), &share, near.peers.self.ID)
				is.Equal(len(share.ZoneLoad) > 0, c.enabled)
				near.OnShare(share)
				if c.otherZoneFull {
					fillEngine(t, far, "far1")
					fillEngine(t, far, "far2")
				}
				peer.dropRequests = c.dropRequests
				time.Sleep(c.age)
				near.updatePlacementEngines(time.Now(), near.Table())
				u, run, _ := placeRun(t.Context(), near, "r")
				is.True(run != nil)
				is.Equal(u.Zone == "z2", c.wantOutcome == zoneload.Granted)
				want := map[zoneload.Outcome]int{}
				if c.wantOutcome != "" {
					want[c.wantOutcome] = 1
				}
				is.Equal(counts.outcomes, want)
			})
		})
	}
}

// TestZoneLoadEnabled checks that the setting enables the load sharing.
func TestZoneLoadEnabled(t *testing.T) {
	is := is.New(t)
	f := New(Settings{Self: Peer{ID: "h1", Zone: "z1"}, Placement: PlacementSettings{ZoneAdmission: true}}, &fakeTransport{}, silentJournal{}, silentObserver{})
	f.Configure(time.Now(), testConfig(1))
	is.True(f.engines.pools["llm"].balance != nil)
}
