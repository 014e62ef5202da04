// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"math/bits"
	"slices"
	"time"

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

// choose returns the engine with room at the lowest cost, or nil. It allocates
// nothing.
func (p *Pool) choose(now time.Time, r *Request) *engine {
	grown, line := p.foreseen(r), p.steps.line()
	oldest := now.Add(-staleAfter)
	var best *engine
	lowest := 0.0
	for _, e := range p.engines {
		if e == p.kept || !e.takes(oldest) || e.id == r.Avoid || slices.Contains(r.AvoidAlso, e.id) {
			continue
		}
		cost, fits := p.cost(now, e, r, &grown, line)
		if fits && (best == nil || cost < lowest) {
			best, lowest = e, cost
		}
	}
	return best
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
		if !e.takes(oldest) {
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
func (p *Pool) cost(now time.Time, e *engine, r *Request, grown *foresight, line stepLine) (float64, bool) {
	batch := e.batch() + 1
	step := line.at(batch)
	peak, fits := e.foresee(grown, p.settings.Deviations, p.room(e))
	if batch > 1 && (!fits || step > float64(p.settings.BetweenTokens)) {
		return 0, false
	}
	if p.settings.MaxBatch > 0 && batch > p.settings.MaxBatch || p.tooLate(now, e, r) {
		return 0, false
	}
	memory := float64(e.report.Memory)
	read := float64(r.Prompt - e.cache.reusable(now, r))
	cost := (weightRead*read+weightPeak*peak)/memory + weightStep*step/float64(p.settings.BetweenTokens)
	if e.zone != r.Zone {
		cost += r.FarCost
	}
	return cost + p.moveCost(peak) + p.waitCost(now, e, r, read), true
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
