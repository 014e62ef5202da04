// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"time"

	"github.com/shedpath/shedpath/member"
)

// SetZone says which availability zone an engine is in.
func (p *Pool) SetZone(id EngineID, zone member.Zone) {
	if e := p.activeEngine(id); e != nil {
		e.zone = zone
	}
}

// SetGroup says which of several groups of the pool an engine is of, to which requests may be
// bound.
func (p *Pool) SetGroup(id EngineID, group string) {
	if e := p.activeEngine(id); e != nil {
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
	if made > run.reportedTokens {
		run.reportedTokens, run.engine.progressedAt = made, now
	}
	if made <= run.generatedTokens {
		return
	}
	run.generatedTokens = made
	run.startedAt = now.Add(-time.Duration(made) * run.engine.expectedStepTime())
}

// Target says what another engine for a run has to be. Its zero value takes any.
type Target struct {
	// CrossZoneCost is what an engine of another zone than the present one's costs more, as a
	// share of an engine's memory; with OnlyZone, none of another zone is considered.
	CrossZoneCost float64
	SameZoneOnly  bool
	// Zone stands for the present engine's zone unless it is empty.
	Zone member.Zone
	// ExcludedEngines are engines that won't do.
	ExcludedEngines []EngineID
	// OnlyGroup and ExcludedGroup are those of a Request.
	OnlyGroup, ExcludedGroup string
}

// RelocationRequest is a run as a request for another engine: with the memory that it has by now.
func (p *Pool) RelocationRequest(id RunID) (Request, bool) {
	run := p.runs[id]
	if run == nil {
		return Request{}, false
	}
	grown := run.Request
	grown.PromptTokens += run.generatedTokens
	if run.MaxOutputTokens > 0 {
		grown.MaxOutputTokens = max(run.MaxOutputTokens-run.generatedTokens, 1)
	}
	grown.Prefix, grown.PrefixTokens, grown.ArrivedAt, grown.PreviousEngine = 0, 0, time.Time{}, run.engine.id
	return grown, true
}

// Relocate finds another engine for a run whose engine is about to leave, and counts the
// run there from now on. It has to fit as it has grown so far. It returns false when no
// engine has room; the run then stays counted where it is.
func (p *Pool) Relocate(now time.Time, id RunID, t Target) (EngineID, bool) {
	grown, known := p.RelocationRequest(id)
	if !known {
		return "", false
	}
	run := p.runs[id]
	grown.Zone, grown.CrossZoneCost, grown.SameZoneOnly, grown.ExcludedEngines = run.engine.zone, t.CrossZoneCost, t.SameZoneOnly, t.ExcludedEngines
	grown.OnlyGroup, grown.ExcludedGroup = t.OnlyGroup, t.ExcludedGroup
	if t.Zone != "" {
		grown.Zone = t.Zone
	}
	to := p.choose(now, &grown)
	if to == nil {
		return "", false
	}
	p.moveRun(now, run, to)
	return to.id, true
}

// CancelRelocation counts a run on an engine again that it wasn't moved from. It reports
// false when that engine isn't known.
func (p *Pool) CancelRelocation(now time.Time, id RunID, engine EngineID) bool {
	run, e := p.runs[id], p.knownEngine(engine)
	if run == nil || e == nil {
		return false
	}
	p.moveRun(now, run, e)
	return true
}

func (p *Pool) moveRun(now time.Time, run *placedRun, to *engine) {
	run.engine.remove(run)
	run.engine.refreshForecast(now)
	run.placedAt, run.prefillPending, run.prefillTime = time.Time{}, false, 0
	began := run.startedAt
	to.add(now, run)
	run.startedAt = began
	p.queueBlocked = false
}

// LastProgress is when a run on an engine was last known to have made a token; the zero
// time when none was.
func (p *Pool) LastProgress(id EngineID) time.Time {
	if e := p.knownEngine(id); e != nil {
		return e.progressedAt
	}
	return time.Time{}
}

// RunCount is how many runs an engine has, as far as is known.
func (p *Pool) RunCount(id EngineID) int {
	if e := p.knownEngine(id); e != nil {
		return e.batchSize()
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
func (p *Pool) MeanLength(r *Request) Tokens { return p.lengths.MeanLength(r) }
