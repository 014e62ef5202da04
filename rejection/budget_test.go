// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package rejection

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedpath/shedpath/member"
)

// fixedSite is a site of a fixed size in which a host has the same position for all upstreams.
type fixedSite struct{ hosts, position int }

func (s fixedSite) Hosts() int                     { return s.hosts }
func (s fixedSite) Position(member.UpstreamID) int { return s.position }

// TestBudgetOfAllHosts guards against hosts that together have more at an upstream than it can run and
// reject in a second.
func TestBudgetOfAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts, limit := rapid.IntRange(1, 40).Draw(t, "hosts"), rapid.IntRange(0, 30).Draw(t, "limit")
		u := Upstream{ID: "u", Service: "s", Slots: rapid.IntRange(0, 10).Draw(t, "slots")}
		now := time.Unix(1e9, 0)
		budgets, tickets := make([]Budget, hosts), make([][]Ticket, hosts)
		for n := range budgets {
			budgets[n].Announced(now, "s", limit)
		}
		var rejected []time.Time
		inFlight := 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			n := rapid.IntRange(0, hosts-1).Draw(t, "host")
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			for n := range budgets {
				budgets[n].Announced(now, "s", limit) // every answer announces it
			}
			if len(tickets[n]) > 0 && rapid.Bool().Draw(t, "ends") {
				isRejected := rapid.Bool().Draw(t, "rejected")
				budgets[n].End(now, tickets[n][0], isRejected)
				tickets[n] = tickets[n][1:]
				inFlight--
				if isRejected {
					rejected = append(rejected, now)
				}
				continue
			}
			ticket, wait := budgets[n].Begin(now, u, fixedSite{hosts, n}, false)
			if wait > 0 {
				if budgets[n].Delay(now, u, fixedSite{hosts, n}) != wait {
					t.Fatalf("Delay differs from the wait %v of Begin", wait)
				}
				continue
			}
			tickets[n] = append(tickets[n], ticket)
			inFlight++
			for len(rejected) > 0 && now.Sub(rejected[0]) >= time.Second {
				rejected = rejected[1:]
			}
			if sum := inFlight + len(rejected); sum > u.Slots+limit {
				t.Fatalf("%d in flight and %d rejected in the last second, of %d that it can take", inFlight, len(rejected), u.Slots+limit)
			}
		}
	})
}

// TestAnnouncements checks until when an announcement holds, and what ends it.
func TestAnnouncements(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1e9, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	u, alone := Upstream{ID: "u", Service: "s"}, fixedSite{1, 0}
	var b Budget
	is.Equal(b.Delay(start, u, alone), time.Duration(0))
	is.True(b.Announced(start, "s", 0))
	is.True(!b.Announced(at(time.Second), "s", 0))
	is.True(b.Delay(at(time.Second), u, alone) > 0)
	is.Equal(b.Announcements(at(3*time.Second)), []Announcement{{Service: "s", Limit: 0, Age: 2 * time.Second}})
	is.True(b.Ended(at(4*time.Second), "s"))
	is.True(!b.Ended(at(4*time.Second), "s"))
	is.Equal(b.Delay(at(4*time.Second), u, alone), time.Duration(0))
	// A peer that heard it before its end doesn't bring it back.
	is.True(!b.Receive(at(5*time.Second), Announcement{Service: "s", Age: 2 * time.Second}))
	is.True(b.Receive(at(5*time.Second), Announcement{Service: "s", Limit: 3}))
	is.True(!b.Receive(at(5*time.Second), Announcement{Service: "t", Limit: -1}))
	is.True(!b.Receive(at(5*time.Second), Announcement{Service: "t", Age: -time.Second}))
	is.Equal(len(b.Announcements(at(5*time.Second+announcementLifetime))), 0)
	b.Prune(at(5*time.Second + 2*announcementLifetime))
	is.True(!b.Active())
}

// TestForcedRequestsCount checks that requests that are sent all the same leave less for others.
func TestForcedRequestsCount(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e9, 0)
	u, alone := Upstream{ID: "u", Service: "s"}, fixedSite{1, 0}
	var b Budget
	b.Announced(now, "s", 1)
	forced, wait := b.Begin(now, u, alone, true)
	is.Equal(wait, time.Duration(0))
	_, wait = b.Begin(now, u, alone, false)
	is.Equal(wait, retryDelay)
	b.End(now, forced, true)
	_, wait = b.Begin(now.Add(time.Second), u, alone, false)
	is.Equal(wait, window-time.Second)
	_, wait = b.Begin(now.Add(window), u, alone, false)
	is.Equal(wait, time.Duration(0))
}
