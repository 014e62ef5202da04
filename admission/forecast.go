// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/shedpath/shedpath/policy"
)

// unknownWait is the forecast wait if no engine is expected to have room at all: hosts learn of an
// engine that joins, or of runs that end, within that time.
const unknownWait = 500 * time.Millisecond

// forecast plans the waiting requests, in their order, on the engines' expected room.
type forecast struct{ engines []policy.EngineOutlook }

// newForecast returns a forecast that doesn't change the given outlooks.
func newForecast(engines []policy.EngineOutlook) forecast {
	f := forecast{engines: slices.Clone(engines)}
	for i := range f.engines {
		f.engines[i].Ends = slices.Clone(f.engines[i].Ends)
	}
	return f
}

// plan returns the engine that would generate a request's first token earliest, when the request
// is placed there and when its first token comes. It returns false if no engine ever has room.
func (f *forecast) plan(r *Request) (engine int, placed, first time.Duration, ok bool) {
	for i := range f.engines {
		at, fits := roomAt(&f.engines[i], r.Memory)
		if !fits {
			continue
		}
		if token := max(at, f.engines[i].Backlog) + r.Prefill; !ok || token < first {
			engine, placed, first, ok = i, at, token, true
		}
	}
	return engine, placed, first, ok
}

// roomAt returns when an engine has room for a run that uses the given memory. An engine without
// runs takes one of any size.
func roomAt(e *policy.EngineOutlook, memory policy.Tokens) (time.Duration, bool) {
	free, slots := e.Free, e.Slots
	at := time.Duration(0)
	for _, end := range e.Ends {
		if free >= memory && slots > 0 {
			return at, true
		}
		at, free, slots = end.In, free+end.Memory, slots+1
	}
	return at, slots > 0 && (free >= memory || !e.UnknownMemory)
}

// reserve counts a request on the engine on which it was planned.
func (f *forecast) reserve(r *Request, engine int, first time.Duration) {
	e := &f.engines[engine]
	e.Free, e.Slots, e.Backlog = e.Free-r.Memory, e.Slots-1, first
	end := policy.RunEnd{In: first + r.Decode, Memory: r.Memory}
	at, _ := slices.BinarySearchFunc(e.Ends, end, func(a, b policy.RunEnd) int { return cmp.Compare(a.In, b.In) })
	e.Ends = slices.Insert(e.Ends, at, end)
}

// nextEnd returns when the first of all runs is expected to end.
func (f *forecast) nextEnd() time.Duration {
	next := unknownWait
	for i := range f.engines {
		if ends := f.engines[i].Ends; len(ends) > 0 {
			next = min(next, ends[0].In)
		}
	}
	return next
}
