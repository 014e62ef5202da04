// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedpath/shedpath/member"
)

// maxInWindow returns the largest number of the ascending times that fall into any window of
// the given length.
func maxInWindow(times []time.Duration, window time.Duration) int {
	maxCount, first := 0, 0
	for last := range times {
		for times[last]-times[first] >= window {
			first++
		}
		maxCount = max(maxCount, last-first+1)
	}
	return maxCount
}

// TestGranterKeepsToTheLimit checks, for hosts that ask all the time, that any four seconds get
// no more requests than the limit allows, rounded up, and that 90 % of the limit is used.
func TestGranterKeepsToTheLimit(t *testing.T) {
	for _, rate := range []Rate{0.2, 0.4, 1, 2.8, 4, 6.5, 27, 90, 1000} {
		t.Run(fmt.Sprint(float64(rate)), func(t *testing.T) {
			is := is.New(t)
			var g Granter
			start := time.Now()
			var granted []time.Duration
			const duration = 60 * time.Second
			for at := time.Duration(0); at < duration; at += time.Millisecond {
				for range max(int(rate)/500, 1) {
					if g.Decide(start.Add(at), "u", PermitRequest{Rate: rate}).Granted {
						granted = append(granted, at)
					}
				}
			}
			is.True(maxInWindow(granted, limitWindow) <= int(math.Ceil(float64(rate)*limitWindow.Seconds()))) // any window stays within the limit
			is.True(float64(len(granted)) >= 0.9*float64(rate)*duration.Seconds())                            // 90 % of the limit is used
		})
	}
}

// TestGranterAnyTimes checks the limit for requests at arbitrary times, with pauses.
func TestGranterAnyTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g Granter
		rate := Rate(rapid.Float64Range(0.2, 50).Draw(t, "rate"))
		start, now := time.Now(), time.Duration(0)
		var granted []time.Duration
		for range 400 {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause ms")) * time.Millisecond
			if rapid.IntRange(0, 50).Draw(t, "silence") == 0 {
				now += 3 * time.Second
			}
			if g.Decide(start.Add(now), "u", PermitRequest{Rate: rate, Repeat: rapid.Bool().Draw(t, "repeat")}).Granted {
				granted = append(granted, now)
			}
		}
		if maxCount := maxInWindow(granted, limitWindow); maxCount > int(math.Ceil(float64(rate)*limitWindow.Seconds())) {
			t.Fatalf("granted %d requests within 4 s, more than a limit of %v a second allows", maxCount, rate)
		}
	})
}

// TestGranterAfterASilence checks that a host that nobody has asked before, or that was
// suspended, starts without a burst: another host may have granted requests meanwhile.
func TestGranterAfterASilence(t *testing.T) {
	is := is.New(t)
	var g Granter
	start := time.Now()
	granted := 0
	for at := time.Duration(0); at < 2*time.Second; at += 5 * time.Millisecond {
		if g.Decide(start.Add(at), "u", PermitRequest{Rate: 4}).Granted {
			granted++
		}
	}
	is.True(granted <= 2*4+1) // two seconds at 4 a second, without a burst
}

// TestGranterWhenTheLimitMoves checks that an upstream that names a lower limit still gets
// requests at that limit, and no more.
func TestGranterWhenTheLimitMoves(t *testing.T) {
	is := is.New(t)
	var g Granter
	start := time.Now()
	var granted []time.Duration
	for at := time.Duration(0); at < 30*time.Second; at += time.Millisecond {
		rate := Rate(8)
		if at >= 10*time.Second && at < 20*time.Second {
			rate = 2
		}
		if g.Decide(start.Add(at), "u", PermitRequest{Rate: rate}).Granted {
			granted = append(granted, at)
		}
	}
	grantedAtLowRate := 0
	for _, at := range granted {
		if at >= 10*time.Second && at < 20*time.Second {
			grantedAtLowRate++
		}
	}
	is.True(grantedAtLowRate >= 18 && grantedAtLowRate <= 21) // 10 s at 2 a second
	is.True(maxInWindow(granted, limitWindow) <= 32)          // 4 s at the higher limit
}

// TestGranterOrder checks that first attempts go before repeats and lower ranks before higher
// ones, and that no rank is refused forever.
func TestGranterOrder(t *testing.T) {
	is := is.New(t)
	var g Granter
	start := time.Now()
	first, repeats, lowRank := 0, 0, 0
	for at := time.Duration(0); at < 60*time.Second; at += 10 * time.Millisecond {
		now := start.Add(at)
		if g.Decide(now, "u", PermitRequest{Rate: 10, Rank: 5}).Granted {
			lowRank++
		}
		if g.Decide(now, "u", PermitRequest{Rate: 10, Rank: 1, Repeat: true}).Granted {
			repeats++
		}
		if g.Decide(now, "u", PermitRequest{Rate: 10, Rank: 1}).Granted {
			first++
		}
	}
	is.True(first >= 2*lowRank) // rank 1 gets most of the limit
	is.True(lowRank >= 60)      // rank 5 still gets 1 a second
	is.True(repeats <= 2)       // repeats yield to first attempts
}

// TestGranterPassesRepeats checks that a repeat that is refused although the rate has room
// doesn't keep a first attempt from being granted.
func TestGranterPassesRepeats(t *testing.T) {
	is := is.New(t)
	var g Granter
	now := time.Now()
	for g.Decide(now, "u", PermitRequest{Rate: 4}).Granted {
		now = now.Add(time.Millisecond)
	}
	is.True(!g.Decide(now, "u", PermitRequest{Rate: 4}).Outranked)
	now = now.Add(900 * time.Millisecond)
	repeat := g.Decide(now, "u", PermitRequest{Rate: 4, Repeat: true})
	is.True(!repeat.Granted && repeat.Outranked && repeat.Wait > 0)
	is.True(g.Decide(now, "u", PermitRequest{Rate: 4}).Granted)
}

// TestGranterCountsUnconditionalRequests checks that unconditional requests are counted against
// the limit.
func TestGranterCountsUnconditionalRequests(t *testing.T) {
	is := is.New(t)
	var g Granter
	start := time.Now()
	granted := 0
	for at := time.Duration(0); at < 20*time.Second; at += 10 * time.Millisecond {
		now := start.Add(at)
		if at%(500*time.Millisecond) == 0 {
			is.True(g.Decide(now, "u", PermitRequest{Rate: 4, Unconditional: true}).Granted)
		}
		if g.Decide(now, "u", PermitRequest{Rate: 4}).Granted {
			granted++
		}
	}
	is.True(granted >= 36 && granted <= 42) // 20 s at 4 a second, less 2 a second sent unconditionally
}

// TestGranterSpreadsRetries checks that hosts that are refused together ask again at different
// times.
func TestGranterSpreadsRetries(t *testing.T) {
	is := is.New(t)
	var g Granter
	now := time.Now()
	waits := map[time.Duration]int{}
	for n := range 300 {
		if decision := g.Decide(now, "u", PermitRequest{From: member.HostID(fmt.Sprint("h", n)), Rate: 4}); !decision.Granted {
			waits[decision.Wait/(100*time.Millisecond)]++
		}
	}
	is.True(len(waits) >= 8) // different 100 ms intervals
	for _, n := range waits {
		is.True(n <= 60) // hosts in one interval
	}
}

func BenchmarkDecide(b *testing.B) {
	var g Granter
	now := time.Now()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		g.Decide(now, "u", PermitRequest{Rate: 20})
	}
}
