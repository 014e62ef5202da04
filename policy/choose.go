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
	weightRead = 2.0
	weightPeak = 1.0
	weightStep = 0.5
	weightWait = 1.0
	weightMove = 0.5
)

// chooseFor is choose for a request that waits.
func (p *Pool) chooseFor(now time.Time, w *waiting) *engine {
	return p.chooseAmong(now, &w.Request, func(e *engine) bool { return !now.Before(e.queueFrom) })
}

func anyOne(*engine) bool { return true }

// choose returns the engine with room at the lowest cost, or nil. It allocates
// nothing.
func (p *Pool) choose(now time.Time, r *Request) *engine { return p.chooseAmong(now, r, anyOne) }

func (p *Pool) chooseAmong(now time.Time, r *Request, among func(*engine) bool) *engine {
	s := search{now: now, oldest: now.Add(-staleAfter), request: r, grown: p.foreseen(r), line: p.steps.line()}
	far := false
	for _, e := range p.engines {
		if e.zone != r.Zone {
			far = true
			continue
		}
		if !among(e) {
			continue
		}
		if cost, fits := p.weigh(&s, e); fits {
			s.near.add(cost)
			s.take(e, cost.sum())
		}
	}
	if !far || r.OnlyZone {
		return s.best
	}
	for _, e := range p.engines {
		if e.zone == r.Zone || !among(e) {
			continue
		}
		if cost, fits := p.weigh(&s, e); fits {
			cost.load = s.near.atLeast(cost.load, 1-p.KnownPart(e.zone))
			s.take(e, cost.sum()+r.FarCost)
		}
	}
	return s.best
}

// search is one search for an engine.
type search struct {
	now, oldest time.Time
	request     *Request
	grown       foresight
	line        stepLine
	// near is what the engines of the request's zone cost that have room.
	near   meanLoad
	best   *engine
	lowest float64
}

func (s *search) take(e *engine, cost float64) {
	if s.best == nil || cost < s.lowest {
		s.best, s.lowest = e, cost
	}
}

// engineCost is what an engine costs a request: by itself, and by what the engine
// already has to do.
type engineCost struct{ own, load float64 }

func (c engineCost) sum() float64 { return c.own + c.load }

// meanLoad is the mean load of some engines.
type meanLoad struct {
	sum float64
	n   int
}

func (m *meanLoad) add(c engineCost) { m.sum, m.n = m.sum+c.load, m.n+1 }

// atLeast is what an engine's load is taken for of which only a part of its runs is
// known: the unknown part makes up for the difference to the mean of those that are
// known well. Where hosts hear little of another zone, its engines look idle to them
// all the time, and the hosts of four zones meet on a fifth's newest engine.
func (m *meanLoad) atLeast(load, unknown float64) float64 {
	if m.n == 0 {
		return load
	}
	return load + unknown*max(m.sum/float64(m.n)-load, 0)
}

// weigh weighs an engine for a request, and reports whether it will do.
func (p *Pool) weigh(s *search, e *engine) (engineCost, bool) {
	if e == p.kept || !e.takes(s.oldest) || e.id == s.request.Avoid || slices.Contains(s.request.AvoidAlso, e.id) {
		return engineCost{}, false
	}
	if !s.request.allows(e) {
		return engineCost{}, false
	}
	return p.cost(s.now, e, s.request, &s.grown, s.line)
}

// allows reports whether an engine is of the zones and groups that the request is bound to.
func (r *Request) allows(e *engine) bool {
	if r.Zones != nil && !slices.Contains(r.Zones, e.zone) {
		return false
	}
	return (r.OnlyGroup == "" || e.group == r.OnlyGroup) && (r.ButGroup == "" || e.group != r.ButGroup)
}

// SetKnownPart says which part of another zone's hosts has told lately what it runs.
// Zones that nothing was said of are known.
func (p *Pool) SetKnownPart(zone member.Zone, part float64) {
	if p.knownParts == nil {
		p.knownParts = map[member.Zone]float64{}
	}
	p.knownParts[zone] = part
}

// KnownPart is what SetKnownPart said.
func (p *Pool) KnownPart(zone member.Zone) float64 {
	if part, said := p.knownParts[zone]; said {
		return part
	}
	return 1
}

// foreseen is the memory that a request will add to an engine's.
func (p *Pool) foreseen(r *Request) foresight {
	var grown foresight
	grown.add(r, 0, p.lengths.Of(r))
	return grown
}

// soonest returns the engine whose memory is foreseen to be least in use with
// the request on it, or nil.
func (p *Pool) soonest(now time.Time, r *Request) *engine {
	grown, oldest := p.foreseen(r), now.Add(-staleAfter)
	var best *engine
	lowest := 0.0
	for _, e := range p.engines {
		if !e.takes(oldest) || !r.allows(e) {
			continue
		}
		peak, _ := e.foresee(&grown, p.settings.Deviations, p.room(e))
		if over := peak - p.room(e); best == nil || over < lowest {
			best, lowest = e, over
		}
	}
	return best
}

// takes reports whether the engine takes new work: it isn't being emptied, and
// its last report isn't older than the given time.
func (e *engine) takes(oldest time.Time) bool {
	return e.known() && !e.withheld && !e.reported.Before(oldest)
}

// cost weighs an engine for a request, and reports whether it has room. An idle
// engine has room for anything.
func (p *Pool) cost(now time.Time, e *engine, r *Request, grown *foresight, line stepLine) (engineCost, bool) {
	batch := e.batch() + 1
	step := line.at(batch)
	peak, fits := e.foresee(grown, p.settings.Deviations, p.room(e))
	if batch > 1 && (!fits || step > float64(p.settings.BetweenTokens)) {
		return engineCost{}, false
	}
	if p.settings.MaxBatch > 0 && batch > p.settings.MaxBatch || p.tooLate(now, e, r) {
		return engineCost{}, false
	}
	memory := float64(e.report.Memory)
	read := float64(r.Prompt - e.cache.reusable(now, r))
	return engineCost{
		own:  weightRead * read / memory,
		load: weightPeak*peak/memory + weightStep*step/float64(p.settings.BetweenTokens) + p.moveCost(peak) + p.waitCost(now, e, r, read),
	}, true
}

// moveCost weighs that what an engine holds has to be moved off it when it
// leaves: the square of its part of what can be.
func (p *Pool) moveCost(peak float64) float64 {
	if p.settings.Movable <= 0 {
		return 0
	}
	part := peak / float64(p.settings.Movable)
	return weightMove * part * part
}

// waitCost weighs the time to the first token: the square of its part of the
// objective, for a wait well within the objective is worth next to nothing.
func (p *Pool) waitCost(now time.Time, e *engine, r *Request, read float64) float64 {
	if !p.reads.known() || r.Objective <= 0 {
		return 0
	}
	wait := max(e.readUntil.Sub(now).Seconds(), 0)
	part := (wait + read/p.reads.perSecond()*p.slowness(e)) / r.Objective.Seconds()
	return weightWait * part * part
}

// room is the memory that admission may fill. One of several deciders keeps to
// its share of what was reported free.
func (p *Pool) room(e *engine) float64 {
	room := p.settings.FullMark * float64(e.report.Memory)
	if p.share > 1 {
		used := float64(e.report.Used)
		room = used + max(room-used, 0)/float64(p.share)
	}
	return room
}

// priorityStep leaves room between the accounts' priorities for what a run is
// worth among its equals.
const priorityStep = 64

// worth is the priority that an engine is told. Among runs of one account
// priority, a pool that protects the tail keeps long readings, which cost most
// to read again.
func (p *Pool) worth(r *Request) int {
	worth := r.Priority * priorityStep
	if p.settings.Objective == resource.ObjectiveTail {
		worth += bits.Len(uint(r.Prompt))
	}
	return worth
}
