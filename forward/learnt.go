// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"slices"
	"strings"
	"time"
)

// EngineEstimate is what a host has learnt of a service's engines, in place of the figures
// that it assumes at its start.
type EngineEstimate struct {
	Service ServiceName
	// PrefillRate is the prompt tokens that an engine reads in a second, learnt from
	// ReadSamples first tokens.
	PrefillRate    float64
	PrefillSamples uint64
	// StepTime is the usual time of a step, learnt from StepSamples pauses.
	StepTime    time.Duration
	StepSamples uint64
	// Age is how long ago anything was learnt; neverProved when nothing was.
	Age time.Duration
}

// EngineEstimates returns what is known of each service's engines, in the order of their
// names.
func (f *Forwarder) EngineEstimates() []EngineEstimate { return f.engines.learnt(f.now()) }

func (e *enginePlacer) learnt(now time.Time) []EngineEstimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []EngineEstimate
	for name, p := range e.pools {
		l := EngineEstimate{Service: name, StepTime: p.expectedStep(), StepSamples: p.stepSamples, Age: noProofAge}
		l.PrefillRate, l.PrefillSamples = p.pool.ReadRate()
		if !p.lastObserved.IsZero() {
			l.Age = min(now.Sub(p.lastObserved), noProofAge)
		}
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b EngineEstimate) int { return strings.Compare(string(a.Service), string(b.Service)) })
	return all
}
