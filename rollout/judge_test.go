// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
)

var trialsFlag = flag.Int("rollout.trials", 20, "how many seeds each version on trial is judged with")

// version is how a version's upstreams answer.
type version struct {
	// fails is the part that fails, and slow the part that takes several times as long.
	fails, slow, times float64
	// from is from which part of the order's time on it does so.
	from float64
	// route is the only one on which it does so; empty for all.
	route string
}

// trial is a rollout as hosts see it, without a network.
type trial struct {
	hosts     int
	perSecond float64
	routes    []string
	// fails is the part that fails of the version in service.
	fails  float64
	target version
}

// outcome is what came of it.
type outcome struct {
	phase Phase
	// exposed is how many requests went to the target, of all.
	exposed, all int
	// bad is how many of these were answered badly.
	bad int
}

const lasts = 12 * time.Second

var limits = Limits{Share: 0.1, Slack: 50}

func (c trial) play(seed uint64) outcome {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	given := history.NewPoint(1, 7)
	status := Status{Order: Order{Service: "s", Target: "v2", Lasts: lasts, Given: given}}
	books, seen := make([]Book, c.hosts), make([]Observations, c.hosts)
	for i := range books {
		books[i].Draw = random.Float64
		books[i].Receive(start, status, limits, c.hosts)
		seen[i].Begin(status)
	}
	var judge Judge
	var o outcome
	next := start
	const tick = 100 * time.Millisecond
	ids := make([]member.HostID, c.hosts)
	for i := range ids {
		ids[i] = member.HostID(fmt.Sprint("h", i))
	}
	for now := start; now.Sub(start) < lasts; now = now.Add(tick) {
		for ; next.Before(now.Add(tick)); next = next.Add(time.Duration(-math.Log(1-random.Float64()) / c.perSecond * float64(time.Second))) {
			i := random.IntN(c.hosts)
			route := c.routes[random.IntN(len(c.routes))]
			b := books[i].Bound("s", limits, func(Version) (bool, bool) { return true, true })
			target := b.Only == "v2" || b == (Bound{}) && status.Phase == Full
			o.all++
			fails, slow, times := c.fails, 0.0, 1.0
			if v := c.target; target {
				o.exposed++
				if float64(now.Sub(start)) >= v.from*float64(lasts) && (v.route == "" || v.route == route) {
					fails, slow, times = max(v.fails, c.fails), v.slow, v.times
				}
			}
			took := time.Duration(float64(30*time.Millisecond) * math.Exp(0.5*random.NormFloat64()))
			isSlow, failed := random.Float64() < slow, random.Float64() < fails
			if isSlow {
				took = time.Duration(float64(took) * times)
			}
			if target && (isSlow || failed) {
				o.bad++
			}
			seen[i].Answer("s", Subject{Route: route}, target, failed, took)
		}
		for i, id := range ids {
			evidence, _ := seen[i].Report("s")
			judge.Take(now, Report{From: id, Service: "s", Given: given, Phase: status.Phase, Evidence: evidence})
		}
		status.Age = now.Sub(start)
		if p := judge.Decide(now, status, Fleet{HasTarget: true, Hosts: ids}); p > status.Phase {
			status.Phase = p
			for i := range books {
				books[i].Receive(now, status, limits, c.hosts)
			}
		}
	}
	o.phase = status.Phase
	return o
}

// TestVersionsOnTrial has good versions completed and bad ones rolled back by the deadline, and
// bad ones get no more than the exposure that is allowed.
func TestVersionsOnTrial(t *testing.T) {
	two := []string{"a", "b"}
	for name, c := range map[string]struct {
		trial
		good bool
		// wrong is how large a part may be judged wrongly.
		wrong float64
	}{
		"good":                            {trial{hosts: 9, perSecond: 50, routes: two, fails: 0.01}, true, 0.05},
		"good, fails often":               {trial{hosts: 9, perSecond: 50, routes: two, fails: 0.14}, true, 0.05},
		"good, many hosts":                {trial{hosts: 100, perSecond: 50, routes: two, fails: 0.01}, true, 0.05},
		"good, thin traffic":              {trial{hosts: 9, perSecond: 3, routes: two, fails: 0.01}, true, 0.05},
		"fails, at once":                  {trial{9, 50, two, 0.01, version{fails: 0.4}}, false, 0.05},
		"fails, thin traffic":             {trial{9, 3, two, 0.01, version{fails: 0.5}}, false, 0.15},
		"fails, many hosts":               {trial{100, 50, two, 0.01, version{fails: 0.4}}, false, 0.05},
		"fails, where some fail":          {trial{9, 120, two, 0.14, version{fails: 0.5}}, false, 0.05},
		"fails later":                     {trial{9, 50, two, 0.01, version{fails: 0.4, from: 0.4}}, false, 0.05},
		"fails once all traffic is there": {trial{9, 50, two, 0.01, version{fails: 0.4, from: 0.76}}, false, 0.05},
		"fails on one route":              {trial{9, 50, two, 0.01, version{fails: 0.5, route: "a"}}, false, 0.05},
		"a part is slow":                  {trial{9, 50, two, 0.01, version{slow: 0.5, times: 5}}, false, 0.05},
		"slow, many hosts":                {trial{100, 120, two, 0.01, version{slow: 0.5, times: 5}}, false, 0.05},
	} {
		t.Run(name, func(t *testing.T) {
			wrong, most, over, bad := 0, 0, 0, 0
			for seed := range *trialsFlag {
				o := c.play(uint64(seed))
				if (o.phase == Completed) != c.good || (o.phase == RolledBack) == c.good {
					wrong++
				}
				if allowed := limits.Share*float64(o.all) + limits.Slack; !c.good && float64(o.exposed) > allowed {
					over++
				}
				most, bad = max(most, o.exposed), max(bad, o.bad)
			}
			t.Logf("judged wrongly %d of %d; exposed %d at most, beyond the bound %d times; bad answers %d at most", wrong, *trialsFlag, most, over, bad)
			if float64(wrong) > c.wrong*float64(*trialsFlag) || over > 0 {
				t.Errorf("judged wrongly %d of %d, exposed too often %d", wrong, *trialsFlag, over)
			}
		})
	}
}
