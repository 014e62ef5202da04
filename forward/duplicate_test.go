// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/policy"
)

// TestSameIDTwiceInQueue checks that of two requests with one ID that wait for a place, none waits on
// when the other leaves, or when a place is free.
func TestSameIDTwiceInQueue(t *testing.T) {
	for name, c := range map[string]struct{ second, leaves bool }{
		"only one": {false, false}, "the first leaves": {true, true}, "both stay": {true, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newForwarder(t, &fakeTransport{})
				f.updatePlacementEngines(time.Now(), f.Table())
				now := time.Now()
				request := func(id policy.RunID) policy.Request {
					return policy.Request{Run: id, PromptTokens: 33_000, MaxOutputTokens: 1000, ArrivedAt: now, Deadline: now.Add(time.Minute), Objective: time.Minute}
				}
				var placed []*ownRun
				for _, id := range []policy.RunID{"a", "b", "c"} {
					_, run, _ := f.engines.place(t.Context(), now, "llm", request(id))
					placed = append(placed, run)
				}
				ctx, leave := context.WithCancel(t.Context())
				decided := make(chan policy.Decision, 2)
				wait := func(ctx context.Context) {
					_, _, d := f.engines.place(ctx, f.now(), "llm", request("twice"))
					decided <- d
				}
				go wait(ctx)
				synctest.Wait()
				ctx2, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				waiting := 1
				if c.second {
					waiting++
					go wait(ctx2)
				}
				synctest.Wait()
				is.Equal(len(decided), 0) // both wait
				if c.leaves {
					waiting--
					leave()
					is.Equal((<-decided).Verdict, policy.Refused)
				}
				for _, run := range placed {
					f.engines.finish(f.now(), "llm", run, false)
				}
				time.Sleep(poolRefreshInterval)
				f.updatePlacementEngines(f.now(), f.Table())
				synctest.Wait()
				is.Equal(len(decided), waiting)
				for len(decided) > 0 {
					is.Equal((<-decided).Verdict, policy.Granted)
				}
				leave()
			})
		})
	}
}
