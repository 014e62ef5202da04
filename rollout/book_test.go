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

func both(Version) (hasTarget, hasOthers bool) { return true, true }

// TestExposureOfAllHosts has hosts of any number, that start again at any time, send no more to a
// version on trial than is allowed to all of them.
func TestExposureOfAllHosts(t *testing.T) {
	for _, hosts := range []int{1, 9, 86, 985} {
		for _, perHost := range []int{1, 6, 120} {
			t.Run(fmt.Sprintf("%d hosts, %d requests each", hosts, perHost), func(t *testing.T) {
				now := time.Unix(1000, 0)
				order := Status{Order: Order{Service: "s", Target: "v2", Lasts: lasts, Given: history.NewPoint(1, 7)}}
				random := rand.New(rand.NewPCG(uint64(hosts), uint64(perHost)))
				sent, all := 0, 0
				for range hosts {
					b := &Book{Draw: random.Float64}
					b.Receive(now, order, limits, hosts)
					for n := range perHost {
						if n == perHost/2 {
							b = &Book{Draw: random.Float64} // it has started again
							b.Receive(now, order, limits, hosts)
						}
						all++
						if b.Bound("s", limits, both).Only == "v2" {
							sent++
						}
					}
				}
				allowed := limits.Share*float64(all) + limits.Slack
				t.Logf("%d of %d, %.0f allowed", sent, all, allowed)
				if float64(sent) > allowed {
					t.Errorf("%d of %d, %.0f allowed", sent, all, allowed)
				}
			})
		}
	}
}

// TestBound has requests go to the versions that the phase allows.
func TestBound(t *testing.T) {
	for name, c := range map[string]struct {
		phase     Phase
		withdrawn bool
		has       func(Version) (bool, bool)
		want      []Bound
	}{
		"full":            {Full, false, both, []Bound{{}}},
		"completed":       {Completed, false, both, []Bound{{}}},
		"rolled back":     {RolledBack, false, both, []Bound{{But: "v2"}}},
		"withdrawn":       {Trial, true, both, []Bound{{But: "v2"}}},
		"on trial":        {Trial, false, both, []Bound{{But: "v2"}, {Only: "v2"}}},
		"no target yet":   {Trial, false, func(Version) (bool, bool) { return false, true }, []Bound{{But: "v2"}}},
		"no other before": {Trial, false, func(Version) (bool, bool) { return true, false }, []Bound{{}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now, b := time.Unix(1000, 0), &Book{}
			s := Status{Order: Order{Service: "s", Target: "v2", Lasts: lasts, Given: history.NewPoint(1, 7)}, Phase: c.phase}
			is.True(b.Receive(now, s, limits, 1))
			if c.withdrawn {
				is.True(b.Receive(now, Status{Order: Order{Service: "s", Given: history.NewPoint(1, 8), Withdrawn: true}}, limits, 1))
			}
			got := map[Bound]bool{}
			for range 200 {
				got[b.Bound("s", limits, c.has)] = true
			}
			is.Equal(len(got), len(c.want))
			for _, w := range c.want {
				is.True(got[w])
			}
			is.Equal(b.Bound("another", limits, c.has), Bound{})
		})
	}
}

// TestLastOfOthersLeaves has a version on trial get no more than its part although upstreams of
// no other version are left.
func TestLastOfOthersLeaves(t *testing.T) {
	is := is.New(t)
	b, has := &Book{}, true
	b.Receive(time.Unix(1000, 0), Status{Order: Order{Service: "s", Target: "v2", Given: history.NewPoint(1, 7)}}, limits, 100)
	n := 0
	for i := range 1000 {
		has = i < 10
		if b.Bound("s", limits, func(Version) (bool, bool) { return true, has }).Only != "" {
			n++
		}
	}
	is.True(n <= 50)
}

// TestHostsAgreeOnRollouts has hosts that hear of orders, phases and withdrawals in any order, some
// several times, come to know the same.
func TestHostsAgreeOnRollouts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var told []Status
		for n := range rapid.IntRange(1, 6).Draw(t, "words") {
			given := history.NewPoint(1, history.Revision(n/2+1))
			s := Status{Order: Order{Service: resource.Name("s"), Target: Version(fmt.Sprint("v", n/2)), Lasts: lasts, Given: given}}
			s.Phase = Phase(rapid.IntRange(int(Trial), int(RolledBack)).Draw(t, "phase"))
			told = append(told, s)
		}
		var first Status
		for host := range 2 {
			var b Book
			for _, i := range rapid.Permutation(indices(len(told))).Draw(t, "order") {
				before := b.Statuses(now)
				b.Receive(now, told[i], limits, 2)
				b.Receive(now, told[i], limits, 2)
				if after := b.Statuses(now); len(before) > 0 && after[0].Given == before[0].Given && after[0].Phase < before[0].Phase {
					t.Fatalf("went back from %v to %v", before[0].Phase, after[0].Phase)
				}
			}
			s := b.Statuses(now)[0]
			if host == 1 && (s.Given != first.Given || s.Phase != first.Phase) {
				t.Fatalf("one has %v at %v, the other %v at %v", first.Phase, first.Given, s.Phase, s.Given)
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

// TestOrderOfARestoredStore has an order that a restored store tells again go on where it was.
func TestOrderOfARestoredStore(t *testing.T) {
	is := is.New(t)
	now, b := time.Unix(1000, 0), &Book{}
	s := Status{Order: Order{Service: "s", Target: "v2", Lasts: lasts, Given: history.NewPoint(1, 7)}, Phase: RolledBack}
	b.Receive(now, s, limits, 1)
	s.Given, s.Phase = history.NewPoint(2, 7), Trial
	is.True(!b.Receive(now, s, limits, 1))
	is.Equal(b.Statuses(now)[0].Phase, RolledBack)
	s.Given = history.NewPoint(2, 9) // written anew
	is.True(b.Receive(now, s, limits, 1))
	is.Equal(b.Statuses(now)[0].Phase, Trial)
}
