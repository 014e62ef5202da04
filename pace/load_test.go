// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package pace

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
)

// zoneLoad describes the engines of one zone. Their number, and that of the hosts, their runs, prompts
// and steps are as in docs/design/uneven-load.md.
type zoneLoad struct {
	// speeds are assigned to the engines in turn.
	speeds []float64
	// spells is the part of the time in which an engine is 2.5 times slower, for spellTime at a time.
	spells float64
	// slowAll is when all engines are three times slower for a second; zero for never.
	slowAll time.Duration
	// pause is the pause that callers allow; zero stands for 180 ms.
	pause time.Duration
}

const (
	zoneHosts, zoneEngines, engineRuns = 21, 15, 5
	spellTime                          = 600 * time.Millisecond
)

// simulatedEngine generates events of four tokens for all of its runs.
type simulatedEngine struct {
	id                        Engine
	speed                     float64
	next, spellUntil, spellAt time.Duration
	prefillSteps              int
	// runs has each run's host and its remaining events.
	runs [engineRuns]struct{ host, events int }
}

// event returns the time that the engine's next event takes.
func (e *simulatedEngine) event(random *rand.Rand, load zoneLoad) time.Duration {
	total := 0.0
	for range 4 {
		if e.next >= e.spellAt {
			e.spellAt = e.next + spellTime
			if random.Float64() < load.spells {
				e.spellUntil = e.spellAt
			}
		}
		step := 7 + 0.12*engineRuns
		if e.prefillSteps > 0 {
			e.prefillSteps--
			step += 8
		}
		step /= e.speed
		if e.next < e.spellUntil {
			step *= 2.5
		}
		if load.slowAll > 0 && e.next >= load.slowAll && e.next < load.slowAll+time.Second {
			step *= 3
		}
		if random.Float64() < 1.2*step/1000 {
			e.prefillSteps += 25
		}
		total += step
	}
	return time.Duration(total * float64(time.Millisecond))
}

// simulate runs a zone for a duration against the models of all hosts, which exchange marks every 500 ms.
// An engine is replaced by a new one every 1.3 s. It returns the part of the checks of all hosts in which
// placement by pace was active.
func simulate(seed uint64, load zoneLoad, duration time.Duration) float64 {
	limit := Limit{Pause: cmp.Or(load.pause, 180*time.Millisecond), EventTokens: 4}
	random, start := rand.New(rand.NewPCG(seed, 1)), time.Unix(1000, 0)
	var models [zoneHosts]Model
	var engines [zoneEngines]*simulatedEngine
	active, checks := 0, 0
	for now := time.Duration(0); now < duration; now += 10 * time.Millisecond {
		replaced := int(now / (1300 * time.Millisecond))
		for i := range engines {
			if engines[i] == nil || now%(1300*time.Millisecond) == 0 && i == replaced%zoneEngines {
				engines[i] = &simulatedEngine{id: Engine(fmt.Sprint(i, "-", replaced)), speed: load.speeds[(i+replaced)%len(load.speeds)], next: now}
			}
			for e := engines[i]; e.next <= now; {
				gap := e.event(random, load)
				e.next += gap
				for k := range e.runs {
					if e.runs[k].events == 0 {
						e.runs[k].host, e.runs[k].events = random.IntN(zoneHosts), 1+random.IntN(187)
					}
					e.runs[k].events--
					models[e.runs[k].host].Observe(start.Add(e.next), e.id, 1, gap/4, engineRuns)
				}
			}
		}
		at := start.Add(now)
		for host := range models {
			if now%(500*time.Millisecond) == 0 {
				marks := models[host].Marks(at)
				for to := range models {
					if to != host {
						models[to].ReceiveMarks(at, member.HostID(fmt.Sprint(host)), marks)
					}
				}
			}
			if now%(100*time.Millisecond) == 0 {
				models[host].Prune(at)
				checks++
				if models[host].UpdateActivity(at, limit).Active {
					active++
				}
			}
		}
	}
	return float64(active) / float64(checks)
}

// TestActivityOfZones guards against placement by pace that becomes active where all engines are alike,
// and that doesn't, or doesn't stay so, where their speeds differ.
func TestActivityOfZones(t *testing.T) {
	for name, c := range map[string]struct {
		load     zoneLoad
		min, max float64
	}{
		"alike":                    {zoneLoad{speeds: []float64{1}}, 0, 0},
		"alike, with slow periods": {zoneLoad{speeds: []float64{1}, spells: 0.15}, 0, 0},
		"alike, a slow second":     {zoneLoad{speeds: []float64{1}, slowAll: 5 * time.Second}, 0, 0},
		"alike, over the limit":    {zoneLoad{speeds: []float64{1}, slowAll: 5 * time.Second, pause: 60 * time.Millisecond}, 0, 0},
		"uneven":                   {zoneLoad{speeds: []float64{0.6, 1, 1.6}, spells: 0.15}, 0.4, 1},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				got := simulate(seed, c.load, 20*time.Second)
				t.Logf("seed %d: active in %.2f of the checks", seed, got)
				is.New(t).True(got >= c.min && got <= c.max)
			}
		})
	}
}
