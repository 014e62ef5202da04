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

// TestRetryBudget checks that retries stop at the limit that all hosts share.
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
	is.Equal(count(now), 8) // 0.8 of the slack of 10
	b.setHosts(5)
	for range 100 {
		b.countRequest(now, "app")
	}
	is.Equal(count(now), 9) // 0.8 of (20 + a fifth of the slack), minus the 8 already taken
	is.Equal(count(now.Add(5*time.Second)), 0)
	is.Equal(count(now.Add(11*time.Second)), 1) // the requests have left the window; 0.8 of a fifth of the slack remains
	var zero retryBudget
	is.True(!zero.takeRetry(now, "app"))
}

// TestRetryBudgetOfAllHosts checks that the retries of all hosts together stay within their
// service's limit, however few of the others each host can reach.
//
// It guards against retries that pile up on upstreams which already fail: a host that reaches no
// other once took itself for the only one and used the whole slack, so that six hosts that
// were partitioned, or had just started, sent 54 retries where 22 are allowed.
func TestRetryBudgetOfAllHosts(t *testing.T) {
	const zones, hostsPerZone, firstTries = 3, 2, 10
	const settleTime = 4 * time.Second
	limit := RetryLimit{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}
	for name, c := range map[string]struct {
		// happens runs before the retries.
		happens func(s *site)
		// minRetries is the lowest number of retries that is accepted: hosts that reach each other use
		// the limit.
		minRetries int
	}{
		"all have just started": {func(*site) {}, 0},
		"in touch":              {func(*site) { time.Sleep(settleTime) }, 12},
		"cut off from each other": {func(s *site) {
			time.Sleep(settleTime)
			for zone := range zones {
				s.isolate(s.zoneAddresses(zone + 1)...)
			}
			time.Sleep(otherCellSilenceTimeout + time.Second)
		}, 0},
		"one zone is cut off": {func(s *site) {
			time.Sleep(settleTime)
			s.isolate(s.zoneAddresses(1)...)
			time.Sleep(otherCellSilenceTimeout + time.Second)
		}, 0},
		"cut off for longer than silent hosts are kept": {func(s *site) {
			time.Sleep(settleTime)
			for zone := range zones {
				s.isolate(s.zoneAddresses(zone + 1)...)
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
				t.Logf("%d retries on all hosts, %d allowed", repeats, allowed)
				is.True(repeats <= allowed)      // more retries than the limit allows
				is.True(repeats >= c.minRetries) // fewer retries than hosts in contact use
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestRetryBudgetAlone checks that a host without peers gets the whole limit once it has looked for
// peers.
func TestRetryBudgetAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		s := newSite(1, 1, true)
		s.startAll(ctx)
		time.Sleep(2 * startupDuration)
		f := s.firstHost()
		f.SetRetryLimit(RetryLimit{Slack: 10, Window: 10 * time.Second})
		repeats := 0
		for f.retries.takeRetry(f.now(), "app") {
			repeats++
		}
		is.Equal(repeats, 8) // 0.8 of the slack of 10
		cancel()
		synctest.Wait()
	})
}
