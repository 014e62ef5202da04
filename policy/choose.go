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

// Weights of the parts of an engine's cost; each part is a share of the whole
// memory or of the longest step.
const (
	prefillWeight  = 2.0
	memoryWeight   = 1.0
	stepTimeWeight = 0.5
	waitWeight     = 1.0
	moveWeight     = 0.5
)

// chooseForQueued is choose for a request that waits.
func (p *Pool) chooseForQueued(now time.Time, w *queuedRequest) *engine {
	return p.chooseWhere(now, &w.Request, func(e *engine) bool { return !now.Before(e.queueServedFrom) })
}

func acceptAny(*engine) bool { return true }

// choose returns the engine with room at the lowest cost, or nil. It allocates
// nothing.
func (p *Pool) choose(now time.Time, r *Request) *engine { return p.chooseWhere(now, r, acceptAny) }

func (p *Pool) chooseWhere(now time.Time, r *Request, among func(*engine) bool) *engine {
	s := engineSearch{now: now, oldestReport: now.Add(-maxReportAge), request: r, growth: p.forecastRequest(r), stepLine: p.stepTimes.fit()}
	far := false
	for _, e := range p.engines {
		if e.zone != r.Zone {
			far = true
			continue
		}
		if !among(e) {
			continue
		}
		if cost, fits := p.evaluate(&s, e); fits {
			s.sameZoneLoad.add(cost)
			s.consider(e, cost.total())
		}
	}
	if !far || r.SameZoneOnly {
		return s.best
	}
	for _, e := range p.engines {
		if e.zone == r.Zone || !among(e) {
			continue
		}
		if cost, fits := p.evaluate(&s, e); fits {
			cost.load = s.sameZoneLoad.raiseTowardsMean(cost.load, 1-p.ZoneCoverage(e.zone))
			s.consider(e, cost.total()+r.CrossZoneCost)
		}
	}
	return s.best
}

// engineSearch is one engineSearch for an engine.
type engineSearch struct {
	now, oldestReport time.Time
	request           *Request
	growth            memoryForecast
	stepLine          stepLine
	// sameZoneLoad is what the engines of the request's zone cost that have room.
	sameZoneLoad meanLoad
	best         *engine
	lowestCost   float64
}

func (s *engineSearch) consider(e *engine, cost float64) {
	if s.best == nil || cost < s.lowestCost {
		s.best, s.lowestCost = e, cost
	}
}

// engineCost is what an engine costs a request: by itself, and by what the engine
// already has to do.
type engineCost struct{ prefill, load float64 }

func (c engineCost) total() float64 { return c.prefill + c.load }

// meanLoad is the mean load of some engines.
type meanLoad struct {
	sum   float64
	count int
}

func (m *meanLoad) add(c engineCost) { m.sum, m.count = m.sum+c.load, m.count+1 }

// raiseTowardsMean is what an engine's load is taken for of which only a part of its runs is
// known: the unknown part makes up for the difference to the mean of those that are
// known well. Where hosts hear little of another zone, its engines look idle to them
// all the time, and the hosts of four zones meet on a fifth's newest engine.
func (m *meanLoad) raiseTowardsMean(load, unknown float64) float64 {
	if m.count == 0 {
		return load
	}
	return load + unknown*max(m.sum/float64(m.count)-load, 0)
}

// evaluate weighs an engine for a request, and reports whether it will do.
func (p *Pool) evaluate(s *engineSearch, e *engine) (engineCost, bool) {
	if e == p.reservedEngine || !e.acceptsWork(s.oldestReport) || e.id == s.request.PreviousEngine || slices.Contains(s.request.ExcludedEngines, e.id) {
		return engineCost{}, false
	}
	if !s.request.allows(e) {
		return engineCost{}, false
	}
	return p.costOn(s.now, e, s.request, &s.growth, s.stepLine)
}

// allows reports whether an engine is of the zones and groups that the request is bound to.
func (r *Request) allows(e *engine) bool {
	if r.AllowedZones != nil && !slices.Contains(r.AllowedZones, e.zone) {
		return false
	}
	return (r.OnlyGroup == "" || e.group == r.OnlyGroup) && (r.ExcludedGroup == "" || e.group != r.ExcludedGroup)
}

// SetZoneCoverage says which part of another zone's hosts has told lately what it runs.
// Zones that nothing was said of are known.
func (p *Pool) SetZoneCoverage(zone member.Zone, part float64) {
	if p.zoneCoverage == nil {
		p.zoneCoverage = map[member.Zone]float64{}
	}
	p.zoneCoverage[zone] = part
}

// ZoneCoverage is what SetKnownPart said.
func (p *Pool) ZoneCoverage(zone member.Zone) float64 {
	if part, said := p.zoneCoverage[zone]; said {
		return part
	}
	return 1
}

// forecastRequest is the memory that a request will add to an engine's.
func (p *Pool) forecastRequest(r *Request) memoryForecast {
	var grown memoryForecast
	grown.addRun(r, 0, p.lengths.SurvivalCurve(r))
	return grown
}

// leastOverfull returns the engine whose memory is foreseen to be least in use with
// the request on it, or nil.
func (p *Pool) leastOverfull(now time.Time, r *Request) *engine {
	grown, oldest := p.forecastRequest(r), now.Add(-maxReportAge)
	var best *engine
	lowest := 0.0
	for _, e := range p.engines {
		if !e.acceptsWork(oldest) || !r.allows(e) {
			continue
		}
		peak, _ := e.forecastWith(&grown, p.settings.HeadroomDeviations, p.memoryBudget(e))
		if over := peak - p.memoryBudget(e); best == nil || over < lowest {
			best, lowest = e, over
		}
	}
	return best
}

// acceptsWork reports whether the engine acceptsWork new work: it isn't being emptied, and
// its last report isn't older than the given time.
func (e *engine) acceptsWork(oldest time.Time) bool {
	return e.capacityKnown() && !e.cordoned && !e.reportedAt.Before(oldest)
}

// costOn weighs an engine for a request, and reports whether it has room. An idle
// engine has room for anything.
func (p *Pool) costOn(now time.Time, e *engine, r *Request, grown *memoryForecast, line stepLine) (engineCost, bool) {
	batch := e.batchSize() + 1
	step := line.at(batch)
	peak, fits := e.forecastWith(grown, p.settings.HeadroomDeviations, p.memoryBudget(e))
	if batch > 1 && (!fits || step > float64(p.settings.MaxStepTime)) {
		return engineCost{}, false
	}
	if p.settings.MaxBatchSize > 0 && batch > p.settings.MaxBatchSize || p.missesFirstTokenDeadline(now, e, r) {
		return engineCost{}, false
	}
	memory := float64(e.report.TotalMemory)
	read := float64(r.PromptTokens - e.cache.reusableTokens(now, r))
	return engineCost{
		prefill: prefillWeight * read / memory,
		load:    memoryWeight*peak/memory + stepTimeWeight*step/float64(p.settings.MaxStepTime) + p.moveCost(peak) + p.waitCost(now, e, r, read),
	}, true
}

// moveCost weighs that what an engine holds has to be moved off it when it
// leaves: the square of its part of what can be.
func (p *Pool) moveCost(peak float64) float64 {
	if p.settings.MovableTokens <= 0 {
		return 0
	}
	part := peak / float64(p.settings.MovableTokens)
	return moveWeight * part * part
}

// waitCost weighs the time to the first token: the square of its part of the
// objective, for a wait well within the objective is worth next to nothing.
func (p *Pool) waitCost(now time.Time, e *engine, r *Request, read float64) float64 {
	if !p.prefill.known() || r.Objective <= 0 {
		return 0
	}
	wait := max(e.prefillUntil.Sub(now).Seconds(), 0)
	part := (wait + read/p.prefill.tokensPerSecond()*p.slowness(e)) / r.Objective.Seconds()
	return waitWeight * part * part
}

// memoryBudget is the memory that admission may fill. One of several deciders keeps to
// its share of what was reported free.
func (p *Pool) memoryBudget(e *engine) float64 {
	room := p.settings.MaxMemoryFraction * float64(e.report.TotalMemory)
	if p.deciderCount > 1 {
		used := float64(e.report.UsedMemory)
		room = used + max(room-used, 0)/float64(p.deciderCount)
	}
	return room
}

// priorityMultiplier leaves room between the accounts' priorities for what a run is
// worth among its equals.
const priorityMultiplier = 64

// preemptionPriority is the priority that an engine is told. Among runs of one account
// priority, a pool that protects the tail keeps long readings, which cost most
// to read again.
func (p *Pool) preemptionPriority(r *Request) int {
	worth := r.Priority * priorityMultiplier
	if p.settings.Objective == resource.ObjectiveTail {
		worth += bits.Len(uint(r.PromptTokens))
	}
	return worth
}
