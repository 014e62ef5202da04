// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/resource"
)

// bothAvailable reports that upstreams of the target version and of others are available.
func bothAvailable(Version) (targetAvailable, othersAvailable bool) { return true, true }

// TestExposureOfAllHosts checks that all hosts together, whatever their number and although each
// restarts once, send no more requests to a version on trial than Limits allows.
func TestExposureOfAllHosts(t *testing.T) {
	for _, hosts := range []int{1, 9, 86, 985} {
		for _, perHost := range []int{1, 6, 120} {
			t.Run(fmt.Sprintf("%d hosts, %d requests each", hosts, perHost), func(t *testing.T) {
				now := time.Unix(1000, 0)
				order := Status{Order: Order{Service: "s", Target: "v2", Duration: orderDuration, GivenAt: history.NewPoint(1, 7)}}
				random := rand.New(rand.NewPCG(uint64(hosts), uint64(perHost)))
				sent, total := 0, 0
				for range hosts {
					tracker := &Tracker{Random: random.Float64}
					tracker.Receive(now, order, limits, hosts)
					for n := range perHost {
						if n == perHost/2 {
							tracker = &Tracker{Random: random.Float64} // the host restarts
							tracker.Receive(now, order, limits, hosts)
						}
						total++
						if tracker.DrawFilter("s", limits, bothAvailable).Only == "v2" {
							sent++
						}
					}
				}
				allowed := limits.Share*float64(total) + limits.Slack
				t.Logf("%d of %d requests sent to the target version, %.0f allowed", sent, total, allowed)
				if float64(sent) > allowed {
					t.Errorf("%d of %d requests sent to the target version, want at most %.0f", sent, total, allowed)
				}
			})
		}
	}
}

// TestDrawFilter checks which versions new requests may go to, by phase and available upstreams.
func TestDrawFilter(t *testing.T) {
	for name, c := range map[string]struct {
		phase     Phase
		withdrawn bool
		available func(Version) (bool, bool)
		want      []VersionFilter
	}{
		"full":            {Full, false, bothAvailable, []VersionFilter{{}}},
		"completed":       {Completed, false, bothAvailable, []VersionFilter{{}}},
		"rolled back":     {RolledBack, false, bothAvailable, []VersionFilter{{Except: "v2"}}},
		"withdrawn":       {Trial, true, bothAvailable, []VersionFilter{{Except: "v2"}}},
		"on trial":        {Trial, false, bothAvailable, []VersionFilter{{Except: "v2"}, {Only: "v2"}}},
		"no target yet":   {Trial, false, func(Version) (bool, bool) { return false, true }, []VersionFilter{{Except: "v2"}}},
		"no other before": {Trial, false, func(Version) (bool, bool) { return true, false }, []VersionFilter{{}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now, tracker := time.Unix(1000, 0), &Tracker{}
			s := Status{Order: Order{Service: "s", Target: "v2", Duration: orderDuration, GivenAt: history.NewPoint(1, 7)}, Phase: c.phase}
			is.True(tracker.Receive(now, s, limits, 1))
			if c.withdrawn {
				is.True(tracker.Receive(now, Status{Order: Order{Service: "s", GivenAt: history.NewPoint(1, 8), Withdrawn: true}}, limits, 1))
			}
			drawn := map[VersionFilter]bool{}
			for range 200 {
				drawn[tracker.DrawFilter("s", limits, c.available)] = true
			}
			is.Equal(len(drawn), len(c.want))
			for _, w := range c.want {
				is.True(drawn[w])
			}
			is.Equal(tracker.DrawFilter("another", limits, c.available), VersionFilter{})
		})
	}
}

// TestDrawFilterAsksWithoutLock guards against a host that hangs for good: one goroutine has the list of upstreams and
// waits for the tracker in Retired, another has the tracker and waits for the list.
func TestDrawFilterAsksWithoutLock(t *testing.T) {
	is, tracker := is.New(t), &Tracker{}
	tracker.Receive(time.Unix(1000, 0), Status{Order: Order{Service: "s", Target: "v2", GivenAt: history.NewPoint(1, 7)}}, limits, 1)
	asked := 0
	tracker.DrawFilter("s", limits, func(Version) (targetAvailable, othersAvailable bool) {
		asked++
		free := tracker.mu.TryLock()
		if free {
			tracker.mu.Unlock()
		}
		is.True(free) // Retired would wait
		return true, true
	})
	is.Equal(asked, 1)
}

// TestOrderWhileFilterIsDrawn guards against a request that goes to a version by what is available of another one, when
// an order arrives between the two.
func TestOrderWhileFilterIsDrawn(t *testing.T) {
	is, tracker, now := is.New(t), &Tracker{}, time.Unix(1000, 0)
	tracker.Receive(now, Status{Order: Order{Service: "s", Target: "v2", GivenAt: history.NewPoint(1, 7)}}, limits, 1)
	var asked []Version
	filter := tracker.DrawFilter("s", limits, func(target Version) (targetAvailable, othersAvailable bool) {
		asked = append(asked, target)
		if target == "v2" {
			tracker.Receive(now, Status{Order: Order{Service: "s", Target: "v3", GivenAt: history.NewPoint(1, 8)}}, limits, 1)
		}
		return target == "v2", true
	})
	is.Equal(asked, []Version{"v2", "v3"})
	is.Equal(filter, VersionFilter{Except: "v3"})
}

// TestExposureWhenOtherVersionsLeave checks that a version on trial gets no more than its share of
// the requests when no upstreams of other versions are left.
func TestExposureWhenOtherVersionsLeave(t *testing.T) {
	is := is.New(t)
	tracker, othersAvailable := &Tracker{}, true
	tracker.Receive(time.Unix(1000, 0), Status{Order: Order{Service: "s", Target: "v2", GivenAt: history.NewPoint(1, 7)}}, limits, 100)
	n := 0
	for i := range 1000 {
		othersAvailable = i < 10
		if tracker.DrawFilter("s", limits, func(Version) (bool, bool) { return true, othersAvailable }).Only != "" {
			n++
		}
	}
	is.True(n <= 50)
}

// TestHostsAgreeOnRollouts checks that hosts that receive the same orders and phases in any order,
// each of them twice, end with the same order and phase.
func TestHostsAgreeOnRollouts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var messages []Status
		for n := range rapid.IntRange(1, 6).Draw(t, "words") {
			given := history.NewPoint(1, history.Revision(n/2+1))
			s := Status{Order: Order{Service: resource.Name("s"), Target: Version(fmt.Sprint("v", n/2)), Duration: orderDuration, GivenAt: given}}
			s.Phase = Phase(rapid.IntRange(int(Trial), int(RolledBack)).Draw(t, "phase"))
			messages = append(messages, s)
		}
		var first Status
		for host := range 2 {
			var tracker Tracker
			for _, i := range rapid.Permutation(indices(len(messages))).Draw(t, "order") {
				before := tracker.Statuses(now)
				tracker.Receive(now, messages[i], limits, 2)
				tracker.Receive(now, messages[i], limits, 2)
				if after := tracker.Statuses(now); len(before) > 0 && after[0].GivenAt == before[0].GivenAt && after[0].Phase < before[0].Phase {
					t.Fatalf("phase of an order went back from %v to %v", before[0].Phase, after[0].Phase)
				}
			}
			s := tracker.Statuses(now)[0]
			if host == 1 && (s.GivenAt != first.GivenAt || s.Phase != first.Phase) {
				t.Fatalf("first host has phase %v of the order given at %v, second host has phase %v of the order given at %v", first.Phase, first.GivenAt, s.Phase, s.GivenAt)
			}
			first = s
		}
	})
}

func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// TestOrderFromRestoredStore checks that an order which a restored store returns again
// keeps its phase, and that an order which is written again starts from Trial.
func TestOrderFromRestoredStore(t *testing.T) {
	is := is.New(t)
	now, tracker := time.Unix(1000, 0), &Tracker{}
	s := Status{Order: Order{Service: "s", Target: "v2", Duration: orderDuration, GivenAt: history.NewPoint(1, 7)}, Phase: RolledBack}
	tracker.Receive(now, s, limits, 1)
	s.GivenAt, s.Phase = history.NewPoint(2, 7), Trial
	is.True(!tracker.Receive(now, s, limits, 1))
	is.Equal(tracker.Statuses(now)[0].Phase, RolledBack)
	s.GivenAt = history.NewPoint(2, 9) // the order was written again
	is.True(tracker.Receive(now, s, limits, 1))
	is.Equal(tracker.Statuses(now)[0].Phase, Trial)
}
