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

var trialsFlag = flag.Int("rollout.trials", 20, "number of seeds to run each trial with")

// targetBehavior is how the upstreams of the target version answer.
type targetBehavior struct {
	// failRate is the share of answers that fail, and slowRate the share that take slowFactor
	// times as long.
	failRate, slowRate, slowFactor float64
	// startFraction is the fraction of the order's duration after which the version starts to
	// behave so.
	startFraction float64
	// route is the only route on which the version behaves so; empty for all.
	route string
}

// trial is a rollout on simulated hosts, without a network.
type trial struct {
	hosts             int
	requestsPerSecond float64
	routes            []string
	// baselineFailRate is the share of answers of the version in service that fail.
	baselineFailRate float64
	target           targetBehavior
}

// outcome is the result of a trial.
type outcome struct {
	phase Phase
	// exposed is how many of the total requests went to the target version.
	exposed, total int
	// badAnswers is how many of the exposed requests failed or were slow.
	badAnswers int
}

const orderDuration = 12 * time.Second

var limits = Limits{Share: 0.1, Slack: 50}

// simulate runs the trial until the order's deadline and returns its outcome.
func (c trial) simulate(seed uint64) outcome {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	given := history.NewPoint(1, 7)
	status := Status{Order: Order{Service: "s", Target: "v2", Duration: orderDuration, GivenAt: given}}
	trackers, observations := make([]Tracker, c.hosts), make([]Observations, c.hosts)
	for i := range trackers {
		trackers[i].Random = random.Float64
		trackers[i].Receive(start, status, limits, c.hosts)
		observations[i].Begin(status)
	}
	var decider Decider
	var result outcome
	next := start
	const tick = 100 * time.Millisecond
	ids := make([]member.HostID, c.hosts)
	for i := range ids {
		ids[i] = member.HostID(fmt.Sprint("h", i))
	}
	for now := start; now.Sub(start) < orderDuration; now = now.Add(tick) {
		for ; next.Before(now.Add(tick)); next = next.Add(time.Duration(-math.Log(1-random.Float64()) / c.requestsPerSecond * float64(time.Second))) {
			i := random.IntN(c.hosts)
			route := c.routes[random.IntN(len(c.routes))]
			filter := trackers[i].DrawFilter("s", limits, func(Version) (bool, bool) { return true, true })
			target := filter.Only == "v2" || filter == (VersionFilter{}) && status.Phase == Full
			result.total++
			failRate, slowRate, slowFactor := c.baselineFailRate, 0.0, 1.0
			if v := c.target; target {
				result.exposed++
				if float64(now.Sub(start)) >= v.startFraction*float64(orderDuration) && (v.route == "" || v.route == route) {
					failRate, slowRate, slowFactor = max(v.failRate, c.baselineFailRate), v.slowRate, v.slowFactor
				}
			}
			took := time.Duration(float64(30*time.Millisecond) * math.Exp(0.5*random.NormFloat64()))
			isSlow, failed := random.Float64() < slowRate, random.Float64() < failRate
			if isSlow {
				took = time.Duration(float64(took) * slowFactor)
			}
			if target && (isSlow || failed) {
				result.badAnswers++
			}
			observations[i].RecordAnswer("s", Comparison{Route: route}, target, failed, took)
		}
		for i, id := range ids {
			evidence, _ := observations[i].Evidence("s")
			decider.ReceiveReport(now, Report{From: id, Service: "s", GivenAt: given, Phase: status.Phase, Evidence: evidence})
		}
		status.Age = now.Sub(start)
		if p := decider.Decide(now, status, FleetState{TargetAvailable: true, Hosts: ids}); p > status.Phase {
			status.Phase = p
			for i := range trackers {
				trackers[i].Receive(now, status, limits, c.hosts)
			}
		}
	}
	result.phase = status.Phase
	return result
}

// TestVersionsOnTrial checks that rollouts of good versions are completed and those of bad ones are
// rolled back by the deadline, and that bad versions get no more requests than Limits allows.
func TestVersionsOnTrial(t *testing.T) {
	two := []string{"a", "b"}
	for name, c := range map[string]struct {
		trial
		// completes says that the rollout should complete, rather than be rolled back.
		completes bool
		// maxWrongRate is the share of seeds that may have the wrong result.
		maxWrongRate float64
	}{
		"good":                            {trial{hosts: 9, requestsPerSecond: 50, routes: two, baselineFailRate: 0.01}, true, 0.05},
		"good, fails often":               {trial{hosts: 9, requestsPerSecond: 50, routes: two, baselineFailRate: 0.14}, true, 0.05},
		"good, many hosts":                {trial{hosts: 100, requestsPerSecond: 50, routes: two, baselineFailRate: 0.01}, true, 0.05},
		"good, thin traffic":              {trial{hosts: 9, requestsPerSecond: 3, routes: two, baselineFailRate: 0.01}, true, 0.05},
		"fails, at once":                  {trial{9, 50, two, 0.01, targetBehavior{failRate: 0.4}}, false, 0.05},
		"fails, thin traffic":             {trial{9, 3, two, 0.01, targetBehavior{failRate: 0.5}}, false, 0.15},
		"fails, many hosts":               {trial{100, 50, two, 0.01, targetBehavior{failRate: 0.4}}, false, 0.05},
		"fails, where some fail":          {trial{9, 120, two, 0.14, targetBehavior{failRate: 0.5}}, false, 0.05},
		"fails later":                     {trial{9, 50, two, 0.01, targetBehavior{failRate: 0.4, startFraction: 0.4}}, false, 0.05},
		"fails once all traffic is there": {trial{9, 50, two, 0.01, targetBehavior{failRate: 0.4, startFraction: 0.76}}, false, 0.05},
		"fails on one route":              {trial{9, 50, two, 0.01, targetBehavior{failRate: 0.5, route: "a"}}, false, 0.05},
		"a part is slow":                  {trial{9, 50, two, 0.01, targetBehavior{slowRate: 0.5, slowFactor: 5}}, false, 0.05},
		"slow, many hosts":                {trial{100, 120, two, 0.01, targetBehavior{slowRate: 0.5, slowFactor: 5}}, false, 0.05},
	} {
		t.Run(name, func(t *testing.T) {
			wrong, maxExposed, overExposed, maxBadAnswers := 0, 0, 0, 0
			for seed := range *trialsFlag {
				result := c.simulate(uint64(seed))
				if (result.phase == Completed) != c.completes || (result.phase == RolledBack) == c.completes {
					wrong++
				}
				if allowed := limits.Share*float64(result.total) + limits.Slack; !c.completes && float64(result.exposed) > allowed {
					overExposed++
				}
				maxExposed, maxBadAnswers = max(maxExposed, result.exposed), max(maxBadAnswers, result.badAnswers)
			}
			t.Logf("%d of %d trials had the wrong result; at most %d requests to the target version, above the limit in %d trials; at most %d bad answers", wrong, *trialsFlag, maxExposed, overExposed, maxBadAnswers)
			if float64(wrong) > c.maxWrongRate*float64(*trialsFlag) || overExposed > 0 {
				t.Errorf("%d of %d trials had the wrong result, %d sent too many requests to the target version", wrong, *trialsFlag, overExposed)
			}
		})
	}
}
