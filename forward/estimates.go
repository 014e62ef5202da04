// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"slices"
	"strings"
	"time"
)

// Learnt is what a host has learnt of a service's engines, in place of the figures
// that it assumes at its start.
type Learnt struct {
	Service ServiceName
	// ReadRate is the prompt tokens that an engine reads in a second, learnt from
	// ReadSamples first tokens.
	ReadRate    float64
	ReadSamples uint64
	// Step is the usual time of a step, learnt from StepSamples pauses.
	Step        time.Duration
	StepSamples uint64
	// Age is how long ago anything was learnt; neverProved when nothing was.
	Age time.Duration
}

// Learnt returns what is known of each service's engines, in the order of their
// names.
func (f *Forwarder) Learnt() []Learnt { return f.engines.learnt(f.now()) }

func (e *engines) learnt(now time.Time) []Learnt {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []Learnt
	for name, p := range e.pools {
		l := Learnt{Service: name, Step: p.step(), StepSamples: p.stepSamples, Age: neverProved}
		l.ReadRate, l.ReadSamples = p.pool.ReadRate()
		if !p.learntAt.IsZero() {
			l.Age = min(now.Sub(p.learntAt), neverProved)
		}
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b Learnt) int { return strings.Compare(string(a.Service), string(b.Service)) })
	return all
}
