// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
)

// turnLoad is the load that one limited upstream gets from many hosts.
type turnLoad struct {
	// maxPerSecond is the largest number of requests in any second, meanPerSecond the mean.
	maxPerSecond  int
	meanPerSecond float64
}

// simulateTurns lets hosts send to one limited upstream in their turns whenever they have a
// request, and returns the load.
func simulateTurns(upstream member.UpstreamID, hosts int, rate Rate, knownHosts func(host int) int, hasRequest func(at time.Duration) bool) turnLoad {
	const step, duration = 10 * time.Millisecond, 20 * time.Second
	turns := make([]TurnSchedule, hosts)
	for h := range turns {
		turns[h].Self = member.HostID(fmt.Sprint("h", h))
	}
	start := time.Now()
	var sent []time.Duration
	for at := time.Duration(0); at < duration; at += step {
		for h := range turns {
			if !hasRequest(at) {
				continue
			}
			if _, ok := turns[h].Take(start.Add(at), upstream, TurnPeriod(rate, knownHosts(h))); ok {
				sent = append(sent, at)
			}
		}
	}
	load := turnLoad{meanPerSecond: float64(len(sent)) / duration.Seconds()}
	for first, last := 0, 0; last < len(sent); last++ {
		for sent[last]-sent[first] >= time.Second {
			first++
		}
		load.maxPerSecond = max(load.maxPerSecond, last-first+1)
	}
	return load
}

// TestTurnsShare checks that all hosts together send a limited upstream no more than it can
// bear in any second, and use most of their share of the limit, for any number of hosts and any
// timing of requests. The bound is 1.5 times the limit plus 5 requests.
func TestTurnsShare(t *testing.T) {
	always := func(time.Duration) bool { return true }
	bursts := func(at time.Duration) bool { return at%(3*time.Second) < 600*time.Millisecond }
	for _, hosts := range []int{1, 3, 6, 66, 195} {
		for _, rate := range []Rate{4, 27, 90} {
			for name, c := range map[string]struct {
				hasRequest func(time.Duration) bool
				// knownHosts is how many of the hosts each host knows.
				knownHosts int
				minUse     float64
			}{
				"always":                       {always, hosts, 0.45},
				"bursts":                       {bursts, hosts, 0},
				"one in ten isn't known":       {always, max(hosts*9/10, 1), 0.45},
				"bursts, one in ten not known": {bursts, max(hosts*9/10, 1), 0},
			} {
				t.Run(fmt.Sprintf("%d hosts, %v a second, %s", hosts, rate, name), func(t *testing.T) {
					is := is.New(t)
					const runs = 4
					mean := 0.0
					for run := range runs {
						load := simulateTurns(member.UpstreamID(fmt.Sprint("u", run)), hosts, rate, func(int) int { return c.knownHosts }, c.hasRequest)
						if bound := int(1.5*float64(rate) + 5); load.maxPerSecond > bound {
							t.Errorf("upstream got %d requests in a second, want at most %d", load.maxPerSecond, bound)
						}
						mean += load.meanPerSecond / runs
					}
					is.True(mean >= c.minUse*float64(rate)) // the share of the limit is used
				})
			}
		}
	}
}
