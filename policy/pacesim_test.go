// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// This simulation covers engines of three speeds, each of which is slower for a short time now and
// then, on top of what memorysim_test.go simulates. Hosts learn the pace of each engine from the
// gaps between the events of all runs.

const (
	// Each engine is simSpellFactor times slower for simSpell in every simSpellPeriod.
	simSpell       = 600 * time.Millisecond
	simSpellPeriod = 4 * time.Second
	simSpellFactor = 2.5
	// simSpellPhase is the offset between the slow times of two engines.
	simSpellPhase  = 1230 * time.Millisecond
	simEventTokens = Tokens(4)
	// Engines' paces are estimated from at most simPaceSamples gaps of the last simPaceAge and
	// from at least simMinPaceSamples.
	simPaceSamples, simMinPaceSamples = 2000, 8
	simPaceAge                        = 10 * time.Second
	simPaceInterval                   = 500 * time.Millisecond
)

// simEngineSpeeds are the speeds of the engines in the order of their creation.
var simEngineSpeeds = []float64{0.6, 1, 1.6}

// paceSimulation is a memorySimulation with engines of several speeds.
type paceSimulation struct {
	*memorySimulation
	speeds map[EngineID]float64
	// spellPhases are the offsets of the times at which the engines are slower.
	spellPhases map[EngineID]time.Duration
	samples     map[EngineID][]paceSample
	// reports are the present estimates, and typical is the median of the known ones.
	reports map[EngineID]Report
	typical Report
	// longBySpeed counts the long answers that ended on engines of each speed, and shortBySpeed
	// the short ones.
	longBySpeed, shortBySpeed map[float64]int
}

type paceSample struct {
	at   time.Time
	step time.Duration
}

// unevenLoad returns the load of engines of three speeds.
func unevenLoad(seed uint64) memorySimConfig {
	return memorySimConfig{
		settings: Settings{
			InitialPrefillRate: simReadRate, MaxBatchSize: 24, MaxQueueStagger: 100 * time.Millisecond, MovableTokens: 25_000,
			MaxStepTime: time.Duration(0.9 * float64(simMaxTokenGap) / float64(simEventTokens)),
		},
		engineMemory: 26_860, reclaimInterval: 3300 * time.Millisecond, reclaimCount: 7, eventTokens: simEventTokens,
		simConfig: simConfig{
			zones: 3, hostsPerZone: 21, enginesPerZone: 15, duration: 30 * time.Second, otherZoneCost: 0.7, trafficAmplitude: 0.27, seed: seed, askOtherZones: true,
			kinds: []simRequestKind{
				{route: "long", meanInterval: 3 * time.Second * 10 / 213, objective: 1800 * time.Millisecond, maxPrompt: 6157, maxAnswer: 1503, priority: 1},
				{route: "short", meanInterval: 3 * time.Second / 24, objective: 1500 * time.Millisecond, maxPrompt: 5099, maxAnswer: 15},
			},
		},
	}
}

// simulateUneven simulates a load on engines of several speeds. report returns the report of an
// engine from the estimate of its pace and from that of a typical one. An engine of unknown pace
// is estimated as typical, without a SlowStepTime.
func simulateUneven(c memorySimConfig, report func(own, typical Report) Report) *paceSimulation {
	s := &paceSimulation{
		memorySimulation: newMemorySimulation(c), speeds: map[EngineID]float64{}, spellPhases: map[EngineID]time.Duration{}, samples: map[EngineID][]paceSample{},
		reports: map[EngineID]Report{}, longBySpeed: map[float64]int{}, shortBySpeed: map[float64]int{},
	}
	s.typical = Report{StepTime: simStepTime}
	// The same engines are reclaimed whatever the hosts decide.
	s.reclaimRand = rand.New(rand.NewPCG(c.seed, 2))
	s.slowdown = s.slowdownOf
	s.observeGap = func(m *memoryRun, gap time.Duration) {
		id := m.engine.id
		s.samples[id] = append(s.samples[id], paceSample{s.now, gap / time.Duration(simEventTokens)})
	}
	s.report = func(id EngineID) Report {
		own, known := s.reports[id]
		if !known {
			own = Report{StepTime: s.typical.StepTime}
		}
		r := report(own, s.typical)
		r.Engine, r.TotalMemory = id, s.engineMemory
		return r
	}
	s.burst = func(k simRequestKind) float64 {
		if at := s.now.Sub(testStart); k.route == "long" && at > 12*time.Second && at < 18*time.Second {
			return 2.2
		}
		return 1
	}
	start := s.startOnEngine
	s.startOnEngine = func(h *simHost, run *simRun, answerLength Tokens) {
		if run.request.Route == "long" {
			s.longBySpeed[s.speedOf(run.engine)]++
		} else {
			s.shortBySpeed[s.speedOf(run.engine)]++
		}
		start(h, run, answerLength)
	}
	s.schedule(simPaceInterval, s.estimatePaces)
	s.run()
	return s
}

func (s *paceSimulation) speedOf(id EngineID) float64 {
	if s.speeds[id] == 0 {
		// IDs are ordered by creation.
		for _, created := range slices.Sorted(maps.Keys(s.engineZones)) {
			if s.speeds[created] == 0 {
				s.spellPhases[created] = time.Duration(len(s.speeds)) * simSpellPhase
				s.speeds[created] = simEngineSpeeds[len(s.speeds)%len(simEngineSpeeds)]
			}
		}
	}
	return s.speeds[id]
}

func (s *paceSimulation) slowdownOf(id EngineID) float64 {
	speed := s.speedOf(id)
	if (s.now.Sub(testStart)+s.spellPhases[id])%simSpellPeriod < simSpell {
		return simSpellFactor / speed
	}
	return 1 / speed
}

// estimatePaces updates the estimates that all hosts have, and schedules the next update.
func (s *paceSimulation) estimatePaces() {
	clear(s.reports)
	var steps, slowSteps []time.Duration
	for _, id := range s.engineIDs {
		samples := s.samples[id]
		samples = slices.DeleteFunc(samples, func(p paceSample) bool { return s.now.Sub(p.at) > simPaceAge })
		samples = samples[max(len(samples)-simPaceSamples, 0):]
		s.samples[id] = samples
		if len(samples) < simMinPaceSamples {
			continue
		}
		var sorted []time.Duration
		for _, p := range samples {
			sorted = append(sorted, p.step)
		}
		slices.Sort(sorted)
		r := Report{StepTime: sorted[len(sorted)/2], SlowStepTime: sorted[len(sorted)*9/10]}
		s.reports[id] = r
		steps, slowSteps = append(steps, r.StepTime), append(slowSteps, r.SlowStepTime)
	}
	if len(steps) > 0 {
		slices.Sort(steps)
		slices.Sort(slowSteps)
		s.typical = Report{StepTime: steps[len(steps)/2], SlowStepTime: slowSteps[len(slowSteps)/2]}
	}
	s.schedule(simPaceInterval, s.estimatePaces)
}

// pooledPace reports the typical step time for all engines, as hosts that don't use each engine's
// pace do.
func pooledPace(_, typical Report) Report { return Report{StepTime: typical.StepTime} }

func ownPace(own, _ Report) Report { return own }

// paceSimTotals are sums over several seeds.
type paceSimTotals struct {
	kinds                   map[string]*memorySimResult
	longOnSlow, shortOnSlow int
}

func simulateUnevenSeeds(t *testing.T, name string, report func(own, typical Report) Report) paceSimTotals {
	t.Helper()
	total := paceSimTotals{kinds: map[string]*memorySimResult{"long": {}, "short": {}}}
	for seed := range uint64(2) {
		s := simulateUneven(unevenLoad(seed+1), report)
		for kind, sum := range total.kinds {
			r := s.memoryResults[kind]
			sum.inTime, sum.lateFirstToken, sum.longTokenGap = sum.inTime+r.inTime, sum.lateFirstToken+r.lateFirstToken, sum.longTokenGap+r.longTokenGap
			sum.interrupted, sum.preempted, sum.ended, sum.took = sum.interrupted+r.interrupted, sum.preempted+r.preempted, sum.ended+r.ended, sum.took+r.took
		}
		slow := simEngineSpeeds[0]
		total.longOnSlow, total.shortOnSlow = total.longOnSlow+s.longBySpeed[slow], total.shortOnSlow+s.shortBySpeed[slow]
	}
	for kind, r := range total.kinds {
		t.Logf("%s: %s: %d ended, %d in time, %d with a late first token, %d with a long pause, %d interrupted, %d preemptions, mean time %v; %d long and %d short placed on slow engines",
			name, kind, r.ended, r.inTime, r.lateFirstToken, r.longTokenGap, r.interrupted, r.preempted, r.took/time.Duration(r.ended), total.longOnSlow, total.shortOnSlow)
	}
	return total
}

// TestLoadOfEnginesOfThreeSpeeds checks what callers get if placement uses each engine's own pace,
// against the same load without. Nearly all long answers on the slow engines are late because of a
// pause, while the other engines have room for most of them.
func TestLoadOfEnginesOfThreeSpeeds(t *testing.T) {
	is := is.New(t)
	pooled, own := simulateUnevenSeeds(t, "pooled", pooledPace), simulateUnevenSeeds(t, "own", ownPace)
	long, short := own.kinds["long"], own.kinds["short"]
	is.True(long.longTokenGap*100 < pooled.kinds["long"].longTokenGap*80)
	is.True(long.inTime*100 > pooled.kinds["long"].inTime*106)
	is.True(long.took/time.Duration(long.ended) < pooled.kinds["long"].took/time.Duration(pooled.kinds["long"].ended))
	// Short answers move to the slow engines, and few are late for it.
	is.True(own.shortOnSlow*100 > pooled.shortOnSlow*120)
	is.True(short.inTime*100 > pooled.kinds["short"].inTime*95)
	// The slow engines are a last resort in the burst. Fuller fast engines must not lose what is
	// gained: runs are cut there when they find no room to move to, or not in time.
	is.True(own.longOnSlow*100 < pooled.longOnSlow*85 && own.longOnSlow*4 > pooled.longOnSlow)
	is.True(long.interrupted*100 <= pooled.kinds["long"].interrupted*110)
	is.True((long.longTokenGap+long.interrupted)*100 < (pooled.kinds["long"].longTokenGap+pooled.kinds["long"].interrupted)*80)
}
