// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package zoneload

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// TestForecast guards against forecasts that ignore the trend, or follow a jump too far, and against
// loads that other zones take for impossible.
func TestForecast(t *testing.T) {
	for name, c := range map[string]struct {
		// perSecond is the change of the used fraction, and of the backlog in seconds.
		used, perSecond, backlog, backlogPerSecond float64
		samples                                    int
		want                                       float64
		wantBacklog                                time.Duration
	}{
		"steady":            {0.6, 0, 0.2, 0, 31, 0.6, 200 * time.Millisecond},
		"rising":            {0.5, 0.1, 0.2, 0.05, 31, 1, 450 * time.Millisecond},
		"falling":           {0.9, -0.1, 0.3, -0.2, 31, 0.4, 0},
		"too few samples":   {0.5, 0.1, 0, 0, 9, 0.58, 0},
		"a jump":            {0.2, 0.3, 0, 0, 31, 1.35, 0},
		"few engines left":  {14, 0, 0, 0, 31, maxFullness, 0},
		"no sample":         {0, 0, 0, 0, 0, 0, 0},
		"the last is older": {0.5, 0, 0, 0, -31, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var f Forecaster
			now := start
			for i := range max(c.samples, -c.samples) {
				now = at(time.Duration(i) * 100 * time.Millisecond)
				f.Observe(now, c.used+c.perSecond*float64(i)/10, time.Duration((c.backlog+c.backlogPerSecond*float64(i)/10)*float64(time.Second)))
			}
			if c.samples < 0 {
				now = now.Add(MaxAge + 1)
			}
			l, known := f.Load(now, "z1")
			is.Equal(known, c.samples > 0)
			if known {
				is.True(math.Abs(l.Forecast-c.want) < 1e-6)
				is.True(new(Balancer).Receive(now, l)) // other zones accept what a zone tells
				is.True((l.Backlog - max(c.wantBacklog, 0)).Abs() < time.Millisecond)
			}
		})
	}
}

// TestDecide guards against requests sent to a zone that isn't much emptier, or by values that are old.
func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		own, other Load
		// since is the time since the other zone's load arrived.
		since     time.Duration
		wantShare float64
	}{
		"own zone has room":    {Load{Forecast: 0.84}, Load{Forecast: 0.1}, 0, 0},
		"other is emptier":     {Load{Forecast: 0.9}, Load{Forecast: 0.4}, 0, 0.5},
		"a little emptier":     {Load{Forecast: 0.9}, Load{Forecast: 0.66}, 0, 0},
		"just enough emptier":  {Load{Forecast: 0.9}, Load{Forecast: 0.6499}, 0, 0.2},
		"far emptier":          {Load{Forecast: 1.04}, Load{Forecast: 0.04}, 0, 0.8},
		"full of prompts":      {Load{Backlog: time.Second}, Load{Forecast: 0.5}, 0, 0.5},
		"other has prompts":    {Load{Forecast: 0.9}, Load{Backlog: 700 * time.Millisecond}, 0, 0},
		"value is just recent": {Load{Forecast: 0.9}, Load{Forecast: 0.4, Age: time.Second}, 2 * time.Second, 0.5},
		"value is old":         {Load{Forecast: 0.9}, Load{Forecast: 0.4, Age: time.Second}, 2*time.Second + 1, 0},
		"value was old":        {Load{Forecast: 0.9}, Load{Forecast: 0.4, Age: MaxAge + 1}, 0, 0},
		"value is impossible":  {Load{Forecast: 0.9}, Load{Forecast: math.NaN()}, 0, 0},
		"negative backlog":     {Load{Forecast: 0.9}, Load{Backlog: -1}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var b Balancer
			c.own.Zone, c.other.Zone = "z1", "z2"
			is.Equal(b.Receive(start, c.other), !slices.Contains([]string{"value was old", "value is impossible", "negative backlog"}, name))
			b.Receive(start, Load{Zone: "z3", Forecast: 0.8})
			b.Update(c.own, true)
			zones := []member.Zone{"z1", "z3", "z2", "z4"}
			d := b.Decide(at(c.since), c.own, zones, 0)
			is.True(math.Abs(d.Share-c.wantShare) < 1e-3)
			is.Equal(d.Zone == "z2", c.wantShare > 0)
			if c.wantShare > 0 {
				is.Equal(b.Decide(at(c.since), c.own, zones, c.wantShare+0.01).Zone, member.Zone("")) // not all of them
				is.Equal(b.Decide(at(c.since), c.own, []member.Zone{"z3"}, 0).Zone, member.Zone(""))  // may not be served there
				b.Receive(at(c.since), Load{Zone: "z2", Forecast: 0.9, Age: c.since + c.other.Age + 1})
				is.Equal(b.Decide(at(c.since), c.own, zones, 0).Zone, member.Zone("z2")) // an older value changes nothing
			}
		})
	}
}

// TestHysteresis guards against load sharing that starts and ends with each small change.
func TestHysteresis(t *testing.T) {
	is := is.New(t)
	var b Balancer
	for _, step := range []struct {
		fullness float64
		known    bool
		want     bool
	}{{0.8, true, false}, {0.86, true, true}, {0.8, true, true}, {0.76, true, true}, {0.74, true, false}, {0.84, true, false}, {0.9, true, true}, {0.9, false, false}} {
		before := b.active
		active, changed := b.Update(Load{Forecast: step.fullness}, step.known)
		is.Equal(active, step.want)
		is.Equal(changed, before != step.want)
	}
}

// TestZonesUnderLoad simulates two zones of which one gets more short answers than it serves, while
// their values travel with a delay. Neither may be full, and the requests may not swing between them.
func TestZonesUnderLoad(t *testing.T) {
	is := is.New(t)
	const step, answersTake, delay = 100 * time.Millisecond, 10, 5
	zones := []member.Zone{"z1", "z2"}
	run := func(share bool) (peak float64, back int) {
		var forecasters [2]Forecaster
		var balancers [2]Balancer
		var running [2][answersTake]int // by the step in which they end
		var sent [2][]Load
		for n := range 300 {
			now := at(time.Duration(n) * step)
			// Demand rises and falls by a quarter in 11 s, and z1 gets twice as much.
			swing := 1 + 0.25*math.Sin(2*math.Pi*float64(n)/110)
			for i, zone := range zones {
				running[i][n%answersTake] = 0
				total := 0
				for _, r := range running[i] {
					total += r
				}
				used := float64(total) / 100
				forecasters[i].Observe(now, used, 0)
				own, known := forecasters[i].Load(now, zone)
				balancers[i].Update(own, known)
				sent[i] = append(sent[i], own)
				if n >= delay {
					l := sent[1-i][n-delay]
					l.Age += delay * step
					balancers[i].Receive(now, l)
				}
				requests := int(swing * []float64{9, 4.5}[i])
				for k := range requests {
					to := i
					if d := balancers[i].Decide(now, own, zones, float64(k)/float64(requests)); share && d.Zone != "" {
						to = 1 - i
						back += i
					}
					running[to][n%answersTake]++
				}
				peak = max(peak, used)
			}
		}
		return peak, back
	}
	alone, _ := run(false)
	shared, back := run(true)
	is.True(alone > 0.96)
	is.True(shared < 0.95)
	is.Equal(back, 0)
}
