// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"slices"
	"strings"
	"time"
)

// EngineEstimate is what a host has learned about a service's engines, in place of the values that
// it assumes at its start.
type EngineEstimate struct {
	Service ServiceName
	// PrefillRate is how many prompt tokens an engine reads per second, estimated from
	// PrefillSamples first tokens.
	PrefillRate    float64
	PrefillSamples uint64
	// StepTime is the usual duration of a decode step, estimated from StepSamples pauses between
	// events.
	StepTime    time.Duration
	StepSamples uint64
	// Age is how long ago anything was last learned; noProofAge if nothing was.
	Age time.Duration
}

// EngineEstimates returns the estimates for each service's engines, sorted by service name.
func (f *Forwarder) EngineEstimates() []EngineEstimate { return f.engines.estimates(f.now()) }

func (e *enginePlacer) estimates(now time.Time) []EngineEstimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []EngineEstimate
	for name, p := range e.pools {
		l := EngineEstimate{Service: name, StepTime: p.expectedStep(), StepSamples: p.stepSamples, Age: noProofAge}
		l.PrefillRate, l.PrefillSamples = p.pool.PrefillRate()
		if !p.lastObserved.IsZero() {
			l.Age = min(now.Sub(p.lastObserved), noProofAge)
		}
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b EngineEstimate) int { return strings.Compare(string(a.Service), string(b.Service)) })
	return all
}
