// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/shedpath/shedpath/member"
)

// Runs on departing engines must find a place on other engines within the notice
// that an engine gives. Such a run loses everything its caller has read if it
// finds none; a new request has lost nothing yet. New requests therefore leave
// room for these runs where Settings.RoomForMoves is set. The load that this is
// for: a sixth of the engines departs every few seconds with a notice of 1.5 to
// 2.1 s while the memory of the others is nearly full.

// departureRefreshInterval is how often the room for moves is recomputed. A run
// generates some ten tokens in that time, well below the size of a run; placements,
// moves and ends of runs update it at once.
const departureRefreshInterval = 100 * time.Millisecond

// departures is what the pool knows of departing engines and the room that their
// runs need. The zero value knows of none and holds nothing back.
type departures struct {
	// endsAt is when each departing engine is expected to end.
	endsAt map[EngineID]time.Time
	// zones holds the zones with departing runs as of refreshedAt; a zero refreshedAt
	// means that they have to be recomputed.
	zones       map[member.Zone]*zoneDepartures
	refreshedAt time.Time
	// stepLine is the step-time line as of refreshedAt; zero while engines report their
	// own pace.
	stepLine stepLine
	// held counts the attempts at placing a request that found room only where
	// departing runs need it.
	held uint64
}

// zoneDepartures compares the runs that must move off the departing engines of a
// zone with the places for them on its other engines.
type zoneDepartures struct {
	// runs is the expected number of runs that outlast their engine, and tokens the
	// memory that they use now.
	runs, tokens float64
	// oneRun is the memory forecast of a mean run of these. It is fixed between two
	// refreshes.
	oneRun memoryForecast
	// places is how many such runs fit on the zone's active engines. No engine counts
	// for more places than there are runs.
	places int
}

// SetDepartures sets which engines depart, and when each is expected to end.
// Engines that take new work don't count, nor do those whose end has passed.
func (p *Pool) SetDepartures(endsAt map[EngineID]time.Time) {
	p.departures.endsAt, p.departures.refreshedAt = endsAt, time.Time{}
	p.queueBlocked = false
}

// DepartingRuns describes the room in one zone for the runs on departing engines.
type DepartingRuns struct {
	Zone member.Zone
	// Runs is the expected number of runs that outlast their engine, Memory what they
	// use, and Places how many of them fit on the zone's other engines.
	Runs   float64
	Memory Tokens
	Places int
	// Age is how long ago the runs were last counted in full.
	Age time.Duration
}

// DepartingRuns returns the room for runs on departing engines, by zone in no
// particular order, and how many attempts at placing a request it has held back
// so far.
func (p *Pool) DepartingRuns(now time.Time) (zones []DepartingRuns, held uint64) {
	p.refreshDepartures(now)
	for zone, z := range p.departures.zones {
		zones = append(zones, DepartingRuns{Zone: zone, Runs: z.runs, Memory: Tokens(z.tokens), Places: z.places, Age: now.Sub(p.departures.refreshedAt)})
	}
	return zones, p.departures.held
}

// refreshDepartures recomputes the room for moves if it is out of date. It reports
// whether any run has to move.
func (p *Pool) refreshDepartures(now time.Time) bool {
	d := &p.departures
	if !p.settings.RoomForMoves || len(d.endsAt) == 0 {
		d.zones = nil
		return false
	}
	if age := now.Sub(d.refreshedAt); age >= 0 && age < departureRefreshInterval {
		return len(d.zones) > 0
	}
	d.zones, d.refreshedAt, d.stepLine = nil, now, stepLine{}
	if p.paces.engines == 0 { // otherwise costOn doesn't apply the line
		d.stepLine = p.stepTimes.fit()
	}
	for _, e := range p.removedEngines {
		e.departing = departingRuns{} // also of those that no longer depart or should have ended
	}
	// The order is fixed so that sums, and decisions with them, don't depend on that of a map.
	for _, id := range slices.Sorted(maps.Keys(d.endsAt)) {
		if e := p.removedEngines[id]; e != nil {
			p.countDeparting(now, e)
		}
	}
	for _, z := range d.zones {
		z.oneRun.scale(1 / z.runs)
	}
	if len(d.zones) == 0 {
		return false
	}
	for _, e := range p.engines {
		if z := d.zones[e.zone]; z != nil {
			e.movePlaces = p.movePlaces(now, e, z, nil)
			z.places += e.movePlaces
		}
	}
	return true
}

// departingRuns is what the runs of one departing engine contribute to their zone.
type departingRuns struct{ runs, tokens float64 }

// countDeparting adds the runs of a departing engine that outlast it to its zone.
func (p *Pool) countDeparting(now time.Time, e *engine) {
	left := p.departures.endsAt[e.id].Sub(now)
	if left <= 0 {
		return
	}
	counted, forecast := departingRuns{}, memoryForecast{}
	for _, run := range e.orderedRuns {
		weight := run.outlasts(Tokens(left / e.expectedStepTime()))
		if weight < minOutlastingProbability {
			continue
		}
		one := memoryForecast{}
		one.addRun(&run.Request, run.generatedTokens, run.curve)
		one.scale(weight)
		forecast.addForecast(&one)
		counted.runs += weight
		counted.tokens += weight * float64(run.PromptTokens+run.generatedTokens)
	}
	e.departing = counted
	if counted.runs == 0 {
		return
	}
	if p.departures.zones == nil {
		p.departures.zones = map[member.Zone]*zoneDepartures{}
	}
	z := p.departures.zones[e.zone]
	if z == nil {
		z = &zoneDepartures{}
		p.departures.zones[e.zone] = z
	}
	z.runs, z.tokens = z.runs+counted.runs, z.tokens+counted.tokens
	z.oneRun.addForecast(&forecast)
}

// minOutlastingProbability is the probability of outlasting its engine below which
// a run doesn't count: a short answer ends by itself.
const minOutlastingProbability = 0.1

// outlasts returns the probability that a run is still being generated after the
// given number of further tokens.
func (r *placedRun) outlasts(ahead Tokens) float64 {
	if r.MaxOutputTokens > 0 && r.generatedTokens+ahead >= r.MaxOutputTokens {
		return 0
	}
	alive := r.curve.SurvivalAfter(r.generatedTokens)
	from, probability := Tokens(0), 1.0
	for k, to := range horizons {
		if ahead < to {
			return probability + (alive[k]-probability)*float64(ahead-from)/float64(to-from)
		}
		from, probability = to, alive[k]
	}
	return probability
}

// updateDepartures corrects the room for moves after an engine's runs have
// changed.
func (p *Pool) updateDepartures(now time.Time, e *engine) {
	d := &p.departures
	z := d.zones[e.zone]
	if z == nil || d.refreshedAt.IsZero() {
		return
	}
	if p.enginesByID[e.id] == e {
		before := e.movePlaces
		e.movePlaces = p.movePlaces(now, e, z, nil)
		z.places += e.movePlaces - before
		return
	}
	// The mean run is kept until the next refresh; only the counts change.
	z.runs, z.tokens = z.runs-e.departing.runs, z.tokens-e.departing.tokens
	if z.runs < minOutlastingProbability {
		z.runs, z.tokens = 0, 0 // what is left is a rounding error, which must not need a place
	}
	oneRun := z.oneRun
	e.departing = departingRuns{}
	p.countDeparting(now, e)
	z.oneRun = oneRun
}

// movePlaces returns how many of a zone's departing runs an engine has room for,
// after a candidate if one is given. The bounds are those of costOn.
func (p *Pool) movePlaces(now time.Time, e *engine, z *zoneDepartures, candidate *memoryForecast) int {
	if !e.acceptsWork(now.Add(-maxReportAge)) {
		return 0
	}
	load, batch, budget := memoryForecast{}, e.batchSize(), p.memoryBudget(e)
	if candidate != nil {
		load, batch = *candidate, batch+1
	}
	limit := int(math.Ceil(z.runs))
	if p.settings.MaxBatchSize > 0 {
		limit = min(limit, p.settings.MaxBatchSize-batch)
	}
	for n := range limit {
		load.addForecast(&z.oneRun)
		_, fits := e.forecastWith(&load, p.settings.HeadroomDeviations, budget)
		if (batch+n > 0 || e.holdsUnknownMemory()) && (!fits || p.departures.stepLine.at(batch+n+1) > float64(p.settings.MaxStepTime)) {
			return n
		}
	}
	return max(limit, 0)
}

// leavesRoomForMoves reports whether a new request on an engine leaves the places
// that the departing runs of the engine's zone need.
func (p *Pool) leavesRoomForMoves(now time.Time, e *engine, growth *memoryForecast) bool {
	z := p.departures.zones[e.zone]
	if z == nil || float64(z.places-e.movePlaces) >= z.runs {
		return true
	}
	return float64(z.places-e.movePlaces+p.movePlaces(now, e, z, growth)) >= z.runs
}

// countHeld counts a search that found room only where departing runs need it.
func (p *Pool) countHeld(s *engineSearch) {
	if s.best == nil && s.held {
		p.departures.held++
	}
}

// isReserved reports whether an engine is kept free for another request than the
// given one. A run that moves may use it while runs must move off departing engines:
// requests wait because of these runs, and their engine must not stay closed to them.
func (p *Pool) isReserved(e *engine, r *Request) bool {
	return e == p.reservedEngine && (r.startsNewAnswer() || len(p.departures.zones) == 0)
}

// startsNewAnswer reports whether a request is for an answer that has not begun. A
// request for a run that moves has no arrival time.
func (r *Request) startsNewAnswer() bool { return !r.ArrivedAt.IsZero() }

func (f *memoryForecast) addForecast(other *memoryForecast) {
	for k := range horizons {
		f.mean[k] += other.mean[k]
		f.variance[k] += other.variance[k]
		f.upperBound[k] += other.upperBound[k]
	}
}

func (f *memoryForecast) scale(factor float64) {
	for k := range horizons {
		f.mean[k] *= factor
		f.variance[k] *= factor
		f.upperBound[k] *= factor
	}
}
