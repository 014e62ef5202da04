// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"slices"
	"strings"
	"time"

	"github.com/shedpath/shedpath/policy"
)

// PacePlacements counts a service's runs that were placed by the pace of each engine.
type PacePlacements struct {
	Service ServiceName
	policy.PacePlacements
}

// PacePlacements returns the counts of the services with such runs, sorted by service name.
func (f *Forwarder) PacePlacements() []PacePlacements { return f.engines.pacePlacements() }

func (e *enginePlacer) pacePlacements() []PacePlacements {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []PacePlacements
	for name, p := range e.pools {
		if counts := p.pool.PacePlacements(); counts != (policy.PacePlacements{}) {
			all = append(all, PacePlacements{Service: name, PacePlacements: counts})
		}
	}
	slices.SortFunc(all, func(a, b PacePlacements) int { return strings.Compare(string(a.Service), string(b.Service)) })
	return all
}

// runPace returns what placement assumes of the pace of a run's engine, or false if the service's
// runs aren't placed by pace.
func (e *enginePlacer) runPace(now time.Time, service ServiceName, run policy.RunID) (policy.RunPace, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil {
		return policy.RunPace{}, false
	}
	return p.pool.RunPace(now, run)
}

// logPace logs the pace by which a run was placed on an engine; nothing if it wasn't.
func (x *exchange) logPace(now time.Time, u Upstream, run policy.RunID) {
	pace, placedByPace := x.engines.runPace(now, x.service.Name, run)
	if !placedByPace {
		return
	}
	x.journal.Request(x.call.ID, "placed by pace", "upstream", u.ID, "step", pace.StepTime, "slow_step", pace.SlowStepTime, "longest_foreseen", pace.LongestStep, "longest_allowed", pace.MaxStepTime, "known", pace.Known, "report_age", pace.Age)
}
