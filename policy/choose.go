// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"math/bits"
	"slices"
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/resource"
)

// Weights of the parts of an engine's cost. The parts are fractions of the total
// memory or of MaxStepTime, or squared fractions of the request's objective or of
// MovableTokens.
const (
	prefillWeight  = 2.0
	memoryWeight   = 1.0
	stepTimeWeight = 0.5
	waitWeight     = 1.0
	moveWeight     = 0.5
)

// chooseForQueued is choose for a queued request: it skips engines that don't
// serve the queue yet.
func (p *Pool) chooseForQueued(now time.Time, w *queuedRequest) *engine {
	return p.chooseWhere(now, &w.Request, func(e *engine) bool { return !now.Before(e.queueServedFrom) })
}

func acceptAny(*engine) bool { return true }

// choose returns the engine of the lowest cost that has room, or nil. It
// allocates nothing.
func (p *Pool) choose(now time.Time, r *Request) *engine { return p.chooseWhere(now, r, acceptAny) }

func (p *Pool) chooseWhere(now time.Time, r *Request, eligible func(*engine) bool) *engine {
	s := engineSearch{now: now, oldestReport: now.Add(-maxReportAge), request: r, growth: p.forecastRequest(r), stepLine: p.stepTimes.fit()}
	s.pace = p.newPaceSearch(r, &s.growth)
	s.leaveRoom = r.startsNewAnswer() && p.refreshDepartures(now)
	far := false
	for _, e := range p.engines {
		if e.zone != r.Zone {
			far = true
			continue
		}
		if !eligible(e) {
			continue
		}
		if cost, fits := p.evaluate(&s, e); fits {
			s.sameZoneLoad.add(cost)
			s.consider(e, cost.total())
		}
	}
	if !far || r.SameZoneOnly {
		p.countHeld(&s)
		return s.best
	}
	for _, e := range p.engines {
		if e.zone == r.Zone || !eligible(e) {
			continue
		}
		if cost, fits := p.evaluate(&s, e); fits {
			cost.load = s.sameZoneLoad.raiseTowardsMean(cost.load, 1-p.ZoneCoverage(e.zone))
			s.consider(e, cost.total()+r.CrossZoneCost)
		}
	}
	p.countHeld(&s)
	return s.best
}

// engineSearch is the state of one search for an engine.
type engineSearch struct {
	now, oldestReport time.Time
	request           *Request
	growth            memoryForecast
	stepLine          stepLine
	pace              paceSearch
	// sameZoneLoad is the mean load of the engines in the request's zone that have
	// room.
	sameZoneLoad meanLoad
	best         *engine
	lowestCost   float64
	// leaveRoom is set if the request must leave room for departing runs, and held if
	// it found room only where they need it.
	leaveRoom, held bool
}

func (s *engineSearch) consider(e *engine, cost float64) {
	if s.best == nil || cost < s.lowestCost {
		s.best, s.lowestCost = e, cost
	}
}

// engineCost is the cost of placing a request on an engine: prefill for reading
// the part of the prompt that isn't cached there, load for the engine's work, pace
// for how fast the engine decodes.
type engineCost struct{ prefill, load, pace float64 }

func (c engineCost) total() float64 { return c.prefill + c.load + c.pace }

// meanLoad accumulates the mean load of several engines.
type meanLoad struct {
	sum   float64
	count int
}

func (m *meanLoad) add(c engineCost) { m.sum, m.count = m.sum+c.load, m.count+1 }

// raiseTowardsMean corrects the load of an engine some of whose runs are unknown:
// a load below the mean is raised towards it by the unknown fraction. Otherwise
// the engines of a zone from which a host receives few run reports always look
// idle, and the hosts of four zones choose the newest engine of a fifth all at
// once.
func (m *meanLoad) raiseTowardsMean(load, unknown float64) float64 {
	if m.count == 0 {
		return load
	}
	return load + unknown*max(m.sum/float64(m.count)-load, 0)
}

// evaluate returns the cost of an engine for a request, and whether the engine
// may take it.
func (p *Pool) evaluate(s *engineSearch, e *engine) (engineCost, bool) {
	if p.isReserved(e, s.request) || !e.acceptsWork(s.oldestReport) || e.id == s.request.PreviousEngine || slices.Contains(s.request.ExcludedEngines, e.id) {
		return engineCost{}, false
	}
	if !s.request.allows(e) {
		return engineCost{}, false
	}
	cost, fits := p.costOn(s.now, e, s.request, &s.growth, s.stepLine, &s.pace)
	if fits && s.leaveRoom && !p.leavesRoomForMoves(s.now, e, &s.growth) {
		s.held = true
		return cost, false
	}
	return cost, fits
}

// allows reports whether an engine is in the zones and groups to which the
// request is restricted.
func (r *Request) allows(e *engine) bool {
	if r.AllowedZones != nil && !slices.Contains(r.AllowedZones, e.zone) {
		return false
	}
	return (r.OnlyGroup == "" || e.group == r.OnlyGroup) && (r.ExcludedGroup == "" || e.group != r.ExcludedGroup)
}

// SetZoneCoverage sets which fraction of another zone's hosts has reported its
// runs recently. Zones without a value count as fully covered.
func (p *Pool) SetZoneCoverage(zone member.Zone, fraction float64) {
	if p.zoneCoverage == nil {
		p.zoneCoverage = map[member.Zone]float64{}
	}
	p.zoneCoverage[zone] = fraction
}

// ZoneCoverage returns the fraction set by SetZoneCoverage, or 1.
func (p *Pool) ZoneCoverage(zone member.Zone) float64 {
	if fraction, known := p.zoneCoverage[zone]; known {
		return fraction
	}
	return 1
}

// forecastRequest returns the memory that a request will add to an engine's.
func (p *Pool) forecastRequest(r *Request) memoryForecast {
	var growth memoryForecast
	growth.addRun(r, 0, p.lengths.SurvivalCurve(r))
	return growth
}

// leastOverfull returns the engine whose forecast memory use with the request
// exceeds its budget least, or stays furthest below it; nil if no engine accepts
// the request.
func (p *Pool) leastOverfull(now time.Time, r *Request) *engine {
	growth, oldestReport := p.forecastRequest(r), now.Add(-maxReportAge)
	var best *engine
	lowestExcess := 0.0
	for _, e := range p.engines {
		if !e.acceptsWork(oldestReport) || !r.allows(e) {
			continue
		}
		peak, _ := e.forecastWith(&growth, p.settings.HeadroomDeviations, p.memoryBudget(e))
		if excess := peak - p.memoryBudget(e); best == nil || excess < lowestExcess {
			best, lowestExcess = e, excess
		}
	}
	return best
}

// acceptsWork reports whether the engine takes new work: its capacity is known,
// it isn't cordoned, and its last report isn't older than oldestReport.
func (e *engine) acceptsWork(oldestReport time.Time) bool {
	return e.capacityKnown() && !e.cordoned && !e.reportedAt.Before(oldestReport)
}

// costOn returns the cost of an engine for a request, and whether the engine has
// room. The bounds on memory and step time don't apply to an idle engine.
func (p *Pool) costOn(now time.Time, e *engine, r *Request, growth *memoryForecast, line stepLine, pace *paceSearch) (engineCost, bool) {
	batch := e.batchSize() + 1
	step := line.at(batch)
	if pace.active {
		step = 0 // paceSearch.cost takes its place
	}
	peak, fits := e.forecastWith(growth, p.settings.HeadroomDeviations, p.memoryBudget(e))
	if (batch > 1 || e.holdsUnknownMemory()) && (!fits || step > float64(p.settings.MaxStepTime)) {
		return engineCost{}, false
	}
	if p.settings.MaxBatchSize > 0 && batch > p.settings.MaxBatchSize || p.missesFirstTokenDeadline(now, e, r) {
		return engineCost{}, false
	}
	memory := float64(e.report.TotalMemory)
	uncachedTokens := float64(r.PromptTokens - e.cache.reusableTokens(now, r))
	cost := engineCost{
		prefill: prefillWeight * uncachedTokens / memory,
		load:    memoryWeight*peak/memory + stepTimeWeight*step/float64(p.settings.MaxStepTime) + p.moveCost(peak) + p.waitCost(now, e, r, uncachedTokens),
	}
	if pace.active {
		cost.pace = pace.cost(e, cost.prefill)
	}
	return cost, true
}

// moveCost weighs that the engine's memory has to be moved off it when it leaves:
// the square of its fraction of MovableTokens.
func (p *Pool) moveCost(peak float64) float64 {
	if p.settings.MovableTokens <= 0 {
		return 0
	}
	fraction := peak / float64(p.settings.MovableTokens)
	return moveWeight * fraction * fraction
}

// waitCost weighs the time to the first token: the square of its fraction of the
// objective, because a wait well within the objective should cost next to
// nothing.
func (p *Pool) waitCost(now time.Time, e *engine, r *Request, uncachedTokens float64) float64 {
	if !p.prefill.known() || r.Objective <= 0 {
		return 0
	}
	wait := max(e.prefillUntil.Sub(now).Seconds(), 0)
	fraction := (wait + uncachedTokens/p.prefill.tokensPerSecond()*p.slowness(e)) / r.Objective.Seconds()
	return waitWeight * fraction * fraction
}

// memoryBudget returns the memory that admission may fill. With several deciders,
// each keeps to its share of the memory reported free.
func (p *Pool) memoryBudget(e *engine) float64 {
	room := p.settings.MaxMemoryFraction * float64(e.report.TotalMemory)
	if p.deciderCount > 1 {
		used := float64(e.report.UsedMemory)
		room = used + max(room-used, 0)/float64(p.deciderCount)
	}
	return room
}

// priorityMultiplier leaves room between account priorities for ranking the runs
// of one priority.
const priorityMultiplier = 64

// preemptionPriority returns the priority to send to the engine. Among runs of
// one account priority, a pool with the tail objective ranks long prompts higher,
// which cost most to read again.
func (p *Pool) preemptionPriority(r *Request) int {
	priority := r.Priority * priorityMultiplier
	if p.settings.Objective == resource.ObjectiveTail {
		priority += bits.Len(uint(r.PromptTokens))
	}
	return priority
}
