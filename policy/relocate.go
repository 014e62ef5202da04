// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"time"

	"github.com/shedpath/shedpath/member"
)

// SetZone says which availability zone an engine is in.
func (p *Pool) SetZone(id EngineID, zone member.Zone) {
	if e := p.engine(id); e != nil {
		e.zone = zone
	}
}

// SetGroup says which of several groups of the pool an engine is of, to which requests may be
// bound.
func (p *Pool) SetGroup(id EngineID, group string) {
	if e := p.engine(id); e != nil {
		e.group = group
	}
}

// Progress takes in how many tokens a run has made, which its engine's memory
// is foreseen from.
func (p *Pool) Progress(now time.Time, id RunID, made Tokens) {
	run := p.runs[id]
	if run == nil {
		return
	}
	if made > run.told {
		run.told, run.engine.progressed = made, now
	}
	if made <= run.made {
		return
	}
	run.made = made
	run.began = now.Add(-time.Duration(made) * run.engine.step())
}

// Target says what another engine for a run has to be. Its zero value takes any.
type Target struct {
	// FarCost is what an engine of another zone than the present one's costs more, as a
	// share of an engine's memory; with OnlyZone, none of another zone is considered.
	FarCost  float64
	OnlyZone bool
	// Zone stands for the present engine's zone unless it is empty.
	Zone member.Zone
	// Avoid are engines that won't do.
	Avoid []EngineID
	// OnlyGroup and ButGroup are those of a Request.
	OnlyGroup, ButGroup string
}

// Grown is a run as a request for another engine: with the memory that it has by now.
func (p *Pool) Grown(id RunID) (Request, bool) {
	run := p.runs[id]
	if run == nil {
		return Request{}, false
	}
	grown := run.Request
	grown.Prompt += run.made
	if run.Limit > 0 {
		grown.Limit = max(run.Limit-run.made, 1)
	}
	grown.Prefix, grown.PrefixTokens, grown.Arrived, grown.Avoid = 0, 0, time.Time{}, run.engine.id
	return grown, true
}

// Relocate finds another engine for a run whose engine is about to leave, and counts the
// run there from now on. It has to fit as it has grown so far. It returns false when no
// engine has room; the run then stays counted where it is.
func (p *Pool) Relocate(now time.Time, id RunID, t Target) (EngineID, bool) {
	grown, known := p.Grown(id)
	if !known {
		return "", false
	}
	run := p.runs[id]
	grown.Zone, grown.FarCost, grown.OnlyZone, grown.AvoidAlso = run.engine.zone, t.FarCost, t.OnlyZone, t.Avoid
	grown.OnlyGroup, grown.ButGroup = t.OnlyGroup, t.ButGroup
	if t.Zone != "" {
		grown.Zone = t.Zone
	}
	to := p.choose(now, &grown)
	if to == nil {
		return "", false
	}
	p.rehome(now, run, to)
	return to.id, true
}

// Return counts a run on an engine again that it wasn't moved from. It reports
// false when that engine isn't known.
func (p *Pool) Return(now time.Time, id RunID, engine EngineID) bool {
	run, e := p.runs[id], p.anyEngine(engine)
	if run == nil || e == nil {
		return false
	}
	p.rehome(now, run, e)
	return true
}

func (p *Pool) rehome(now time.Time, run *placed, to *engine) {
	run.engine.remove(run)
	run.engine.refresh(now)
	run.placedAt, run.unread, run.readTakes = time.Time{}, false, 0
	began := run.began
	to.add(now, run)
	run.began = began
	p.blocked = false
}

// Progressed is when a run on an engine was last known to have made a token; the zero
// time when none was.
func (p *Pool) Progressed(id EngineID) time.Time {
	if e := p.anyEngine(id); e != nil {
		return e.progressed
	}
	return time.Time{}
}

// RunsOn is how many runs an engine has, as far as is known.
func (p *Pool) RunsOn(id EngineID) int {
	if e := p.anyEngine(id); e != nil {
		return e.batch()
	}
	return 0
}

// EngineOf returns the engine that a run is counted on, or nothing.
func (p *Pool) EngineOf(id RunID) EngineID {
	if run := p.runs[id]; run != nil {
		return run.engine.id
	}
	return ""
}

// MeanLength is the expected length of an answer, from those that ended.
func (p *Pool) MeanLength(r *Request) Tokens { return p.lengths.Mean(r) }
