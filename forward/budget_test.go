// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestRetryBudget has repeats stop at the limit that all hosts share.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := retryBudget{limit: RetryLimit{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}}
	count := func(now time.Time) (n int) {
		for b.takeRetry(now, "app") {
			n++
		}
		return n
	}
	b.setHosts(1)
	is.Equal(count(now), 8) // 0.8 of the slack
	b.setHosts(5)
	for range 100 {
		b.countRequest(now, "app")
	}
	is.Equal(count(now), 9) // 0.8 of (20 and a fifth of the slack), less the 8
	is.Equal(count(now.Add(5*time.Second)), 0)
	is.Equal(count(now.Add(11*time.Second)), 1) // only a part of the slack is left
	var none retryBudget
	is.True(!none.takeRetry(now, "app"))
}

// TestRetryBudgetOfAllHosts has the repeats of all hosts together stay within the limit of
// their service, however few of the others each host hears.
//
// What callers would see: repeats hit upstreams that fail already. Each host that hears
// nobody took itself for the only one and had all of the slack: six hosts that were cut off
// from each other had 54 repeats where 22 are allowed, and six that started together 54 in
// their first moments.
func TestRetryBudgetOfAllHosts(t *testing.T) {
	const zones, hostsPerZone, firstTries = 3, 2, 10
	const settled = 4 * time.Second
	limit := RetryLimit{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}
	for name, c := range map[string]struct {
		// happens is before the repeats.
		happens func(s *site)
		// least is how many repeats there are at least: hosts that are in touch use the
		// limit.
		least int
	}{
		"all have just started": {func(*site) {}, 0},
		"in touch":              {func(*site) { time.Sleep(settled) }, 12},
		"cut off from each other": {func(s *site) {
			time.Sleep(settled)
			for zone := range zones {
				s.cutOff(s.zone(zone + 1)...)
			}
			time.Sleep(otherCellSilenceTimeout + time.Second)
		}, 0},
		"one zone is cut off": {func(s *site) {
			time.Sleep(settled)
			s.cutOff(s.zone(1)...)
			time.Sleep(otherCellSilenceTimeout + time.Second)
		}, 0},
		"cut off for longer than silent hosts are kept": {func(s *site) {
			time.Sleep(settled)
			for zone := range zones {
				s.cutOff(s.zone(zone + 1)...)
			}
			time.Sleep(peerForgetTimeout + time.Second)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				s := newSite(zones, hostsPerZone, false)
				s.startAll(ctx)
				synctest.Wait()
				c.happens(s)
				repeats := 0
				for _, f := range s.hosts {
					f.SetRetryLimit(limit)
					for range firstTries {
						f.retries.countRequest(f.now(), "app")
					}
					for f.retries.takeRetry(f.now(), "app") {
						repeats++
					}
				}
				allowed := int(limit.Ratio*firstTries*zones*hostsPerZone + limit.Slack)
				t.Logf("%d repeats, %d allowed", repeats, allowed)
				is.True(repeats <= allowed)
				is.True(repeats >= c.least)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestRetryBudgetAlone has a host without others have the whole limit once it has looked for
// them.
func TestRetryBudgetAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		s := newSite(1, 1, true)
		s.startAll(ctx)
		time.Sleep(2 * startupDuration)
		f := s.first()
		f.SetRetryLimit(RetryLimit{Slack: 10, Window: 10 * time.Second})
		repeats := 0
		for f.retries.takeRetry(f.now(), "app") {
			repeats++
		}
		is.Equal(repeats, 8) // 0.8 of the slack
		cancel()
		synctest.Wait()
	})
}
