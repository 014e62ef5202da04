// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/policy"
)

// TestNewRequestsLeaveRoom checks that a host holds new requests back for the runs on a departing
// engine only with the setting, and no longer than the notice. The other engines have room for a
// small request, but not for those runs.
func TestNewRequestsLeaveRoom(t *testing.T) {
	for name, c := range map[string]struct {
		off       bool
		leaving   bool
		remaining time.Duration
		after     time.Duration
		granted   bool
	}{
		"departing":                  {leaving: true},
		"setting off":                {leaving: true, off: true, granted: true},
		"nothing departs":            {granted: true},
		"notice is over":             {leaving: true, after: 2100 * time.Millisecond, granted: true},
		"engine said it ends early":  {leaving: true, remaining: time.Second, after: 1100 * time.Millisecond, granted: true},
		"engine said it serves long": {leaving: true, remaining: 4 * time.Second, after: 2100 * time.Millisecond, granted: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newForwarder(t, &fakeTransport{})
			f.settings.Placement.RoomForMoves, f.engines.roomForMoves = !c.off, !c.off
			f.engines.configure(f.Table())
			now := time.Now()
			f.updatePlacementEngines(now, f.Table())
			for n := range 6 {
				_, run, _ := f.engines.place(t.Context(), now, "llm", policy.Request{
					Run: policy.RunID(fmt.Sprint("old", n)), Route: "/llm/", PromptTokens: 14000, MaxOutputTokens: 900, ArrivedAt: now, Deadline: now.Add(time.Minute),
				})
				is.True(run != nil)
			}
			if c.leaving {
				f.fleet.MarkLeaving(now, "llm3", c.remaining, true)
			}
			now = now.Add(c.after)
			f.updatePlacementEngines(now, f.Table())
			// The request is tried, not queued, so that the test needs no waiting.
			_, _, _, granted := f.engines.tryPlaceInOwnZone(now, "llm", policy.Request{
				Run: "new", Route: "/llm/", PromptTokens: 1000, MaxOutputTokens: 100, ArrivedAt: now, Deadline: now.Add(time.Minute),
			})
			is.Equal(granted, c.granted)
			f.updateDepartures(now, f.Table().Services()["llm"])
			is.Equal(f.MoveStatus()[0].Held > 0, !c.granted)
		})
	}
}
