// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"time"

	"github.com/shedpath/shedpath/member"
)

// SetZone sets the availability zone of an engine.
func (p *Pool) SetZone(id EngineID, zone member.Zone) {
	if e := p.activeEngine(id); e != nil {
		e.zone = zone
	}
}

// SetGroup sets the group of an engine within the pool. Requests may be restricted
// to a group.
func (p *Pool) SetGroup(id EngineID, group string) {
	if e := p.activeEngine(id); e != nil {
		e.group = group
	}
}

// Progress records how many tokens a run has generated; the forecast of its
// engine's memory uses the count.
func (p *Pool) Progress(now time.Time, id RunID, generatedTokens Tokens) {
	run := p.runs[id]
	if run == nil {
		return
	}
	if generatedTokens > run.reportedTokens {
		run.reportedTokens, run.engine.progressedAt = generatedTokens, now
	}
	if generatedTokens <= run.generatedTokens {
		return
	}
	run.generatedTokens = generatedTokens
	run.startedAt = now.Add(-time.Duration(generatedTokens) * run.engine.expectedStepTime())
}

// Target restricts the engine that a run is moved to. The zero value allows any.
type Target struct {
	// CrossZoneCost is added to the cost of an engine in another zone than the
	// present engine's, as a share of an engine's memory. SameZoneOnly excludes
	// those engines.
	CrossZoneCost float64
	SameZoneOnly  bool
	// Zone replaces the present engine's zone unless it is empty.
	Zone member.Zone
	// ExcludedEngines are engines that aren't considered.
	ExcludedEngines []EngineID
	// OnlyGroup and ExcludedGroup are those of a Request.
	OnlyGroup, ExcludedGroup string
}

// RelocationRequest returns a request for another engine for a run, with the
// memory that the run uses by now. It returns false if the run isn't known.
func (p *Pool) RelocationRequest(id RunID) (Request, bool) {
	run := p.runs[id]
	if run == nil {
		return Request{}, false
	}
	request := run.Request
	request.PromptTokens += run.generatedTokens
	if run.MaxOutputTokens > 0 {
		request.MaxOutputTokens = max(run.MaxOutputTokens-run.generatedTokens, 1)
	}
	request.Prefix, request.PrefixTokens, request.ArrivedAt, request.PreviousEngine = 0, 0, time.Time{}, run.engine.id
	return request, true
}

// Relocate finds another engine for a run whose engine is about to leave, and
// counts the run there from now on. The engine must have room for the run with the
// tokens generated so far. Relocate returns false if no engine has room; the run
// then stays counted where it is.
func (p *Pool) Relocate(now time.Time, id RunID, t Target) (EngineID, bool) {
	request, known := p.RelocationRequest(id)
	if !known {
		return "", false
	}
	run := p.runs[id]
	request.Zone, request.CrossZoneCost, request.SameZoneOnly, request.ExcludedEngines = run.engine.zone, t.CrossZoneCost, t.SameZoneOnly, t.ExcludedEngines
	request.OnlyGroup, request.ExcludedGroup = t.OnlyGroup, t.ExcludedGroup
	if t.Zone != "" {
		request.Zone = t.Zone
	}
	to := p.choose(now, &request)
	if to == nil {
		return "", false
	}
	p.moveRun(now, run, to)
	p.countPace(to, &request)
	return to.id, true
}

// CancelRelocation counts a run on the given engine again because it wasn't moved
// after all. It returns false if the run or the engine isn't known.
func (p *Pool) CancelRelocation(now time.Time, id RunID, engine EngineID) bool {
	run, e := p.runs[id], p.knownEngine(engine)
	if run == nil || e == nil {
		return false
	}
	p.moveRun(now, run, e)
	return true
}

func (p *Pool) moveRun(now time.Time, run *placedRun, to *engine) {
	run.engine.remove(now, run)
	run.engine.refreshForecast(now)
	run.placedAt, run.prefillPending, run.prefillTime = time.Time{}, false, 0
	from, began := run.engine, run.startedAt
	p.updateDepartures(now, from)
	to.add(now, run)
	run.startedAt = began
	to.keepMovedProgress(now, run, from)
	p.updateDepartures(now, to)
	p.queueBlocked = false
}

// LastProgress returns when a run on an engine was last known to have generated a
// token; the zero time if none was.
func (p *Pool) LastProgress(id EngineID) time.Time {
	if e := p.knownEngine(id); e != nil {
		return e.progressedAt
	}
	return time.Time{}
}

// RunCount returns how many runs an engine is believed to have.
func (p *Pool) RunCount(id EngineID) int {
	if e := p.knownEngine(id); e != nil {
		return e.batchSize()
	}
	return 0
}

// EngineOf returns the engine on which a run is counted, or an empty ID.
func (p *Pool) EngineOf(id RunID) EngineID {
	if run := p.runs[id]; run != nil {
		return run.engine.id
	}
	return ""
}

// MeanLength returns the expected length of a request's answer, from the answers
// that ended.
func (p *Pool) MeanLength(r *Request) Tokens { return p.lengths.MeanLength(r) }
