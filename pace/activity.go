// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package pace

import (
	"cmp"
	"slices"
	"time"
)

const (
	// unevenRatio is how much longer an engine's BaseStep must be than that of the fast engines for the
	// engine to count as slow. Engines that are alike differ less: with 24 runs a step takes 1.39 times as
	// long as with one. Engines of 0.6 and 1.0 of the usual speed differ by 1.67.
	unevenRatio = 1.5
	// unevenTime is how long an engine must have been slow before it counts. Engines slow down for 0.6 s
	// at a time, and hosts and links for about a second, and the estimate of an engine that came meanwhile
	// needs as long again to follow.
	unevenTime = 3 * time.Second
	// loneUnevenTime is the same time if only one engine is slow. Of many equal engines one now and then
	// prefills for several seconds, and is slow meanwhile.
	loneUnevenTime = 4 * unevenTime
	// ordinarySpread is the least spread of a slow engine's steps, as a part of the typical spread. Steps
	// that prefill take twice as long as others, so that an engine that prefills without a pause looks
	// slow; its steps are all alike.
	ordinarySpread = 0.5
	// minActivitySamples is the least number of samples of the engine that activates. One slow sample
	// of eight is its SlowStep; of sixteen it isn't.
	minActivitySamples = 16
	// minKnownEngines is the least number of engines that can be compared.
	minKnownEngines = 2
	// holdTime is how long placement by pace stays active after the condition was last true.
	holdTime = 10 * time.Second
)

// Limit is what the callers of a service allow.
type Limit struct {
	// Pause is the shortest pause that any route to the service allows between two events; zero if no
	// route limits it.
	Pause time.Duration
	// EventTokens is the number of tokens of an event; less than one counts as one.
	EventTokens int
}

// Foreseen returns the pause that one event in a thousand exceeds on an engine. An answer of two hundred
// events has such a pause with a probability of a fifth.
func (l Limit) Foreseen(e Estimate) time.Duration {
	return e.TailStep() * time.Duration(max(l.EventTokens, 1))
}

// Reason is why placement by pace is active or not.
type Reason string

// The reasons of an Activity.
const (
	// ReasonSlowEngine: an engine is durably slower than the others, and the pause foreseen there is
	// longer than allowed.
	ReasonSlowEngine Reason = "slow_engine"
	// ReasonHeld: the condition was last true less than holdTime ago.
	ReasonHeld Reason = "held"
	// ReasonNoLimit: no route limits the pause.
	ReasonNoLimit Reason = "no_limit"
	// ReasonFewKnown: too few engines are known to compare them.
	ReasonFewKnown Reason = "few_known"
	// ReasonEven: no engine is durably slower than the others.
	ReasonEven Reason = "even"
	// ReasonWithinLimit: there are slower engines, but they keep within the allowed pause.
	ReasonWithinLimit Reason = "within_limit"
)

// Activity tells whether placement by pace is active, and why.
type Activity struct {
	Active bool
	// Changed is set if Active differs from the last call.
	Changed bool
	Reason  Reason
	// Engine is the slow engine with the longest foreseen pause, and Estimate its pace; both are zero
	// if no engine is slow.
	Engine   Engine
	Estimate Estimate
	// Foreseen is the pause foreseen on Engine.
	Foreseen time.Duration
	// FastStep is the BaseStep of the fast engines, with which the others are compared: the lower
	// quartile of the known engines. Known is their number.
	FastStep time.Duration
	Known    int
}

// activity is the state of UpdateActivity.
type activity struct {
	active     bool
	lastTrueAt time.Time
}

// UpdateActivity decides whether placement by pace is active. It is to be called several times a second.
// Active becomes true if the BaseStep of some engines has been unevenRatio times that of the fast engines for
// unevenTime, or that of one engine for loneUnevenTime, on new samples, and the pause foreseen on one of them
// exceeds the limit. It becomes false holdTime after that was last so, and at once if there is no limit.
//
// The comparison with the other engines keeps it false while all engines are slow together; the time and the
// new samples keep it false after a short slow period of one engine; BaseStep keeps it false while some
// engines of the same speed prefill more than others; and minActivitySamples after single slow steps. The fast
// engines are the lower quartile rather than the median, because in a zone of fifteen engines more than half
// may be slow ones.
func (m *Model) UpdateActivity(now time.Time, limit Limit) Activity {
	found := m.findSlowEngine(now, limit)
	switch {
	case found.Reason == ReasonSlowEngine:
		m.activity.lastTrueAt, found.Active = now, true
	case m.activity.active && found.Reason != ReasonNoLimit && now.Sub(m.activity.lastTrueAt) < holdTime:
		found.Active, found.Reason = true, ReasonHeld
	}
	found.Changed = found.Active != m.activity.active
	m.activity.active = found.Active
	return found
}

// findSlowEngine checks the condition at one time, and updates since when each engine is slow.
func (m *Model) findSlowEngine(now time.Time, limit Limit) Activity {
	if limit.Pause <= 0 {
		return Activity{Reason: ReasonNoLimit}
	}
	known := m.known(now)
	result := Activity{Reason: ReasonFewKnown, Known: len(known)}
	if len(known) < minKnownEngines {
		for _, r := range m.engines {
			r.unevenSince = time.Time{}
		}
		return result
	}
	m.tail = newTail(known)
	slices.SortFunc(known, func(a, b engineEstimate) int { return cmp.Compare(a.BaseStep, b.BaseStep) })
	result.Reason, result.FastStep = ReasonEven, known[len(known)/4].BaseStep
	slow, loneSince := 0, time.Time{}
	for _, e := range known {
		r := m.engines[e.engine]
		if e.Age > newSampleAge || float64(e.BaseStep) < unevenRatio*float64(result.FastStep) {
			r.unevenSince = time.Time{}
			continue
		}
		if r.unevenSince.IsZero() {
			r.unevenSince = now
		}
		if now.Sub(r.unevenSince) < unevenTime || e.Samples < minActivitySamples {
			continue
		}
		if e.SlowStep-e.BaseStep < time.Duration(ordinarySpread*(m.tail.slowStep-1)*float64(e.BaseStep)) {
			continue
		}
		slow, loneSince = slow+1, r.unevenSince
		if foreseen := limit.Foreseen(m.tail.of(e.Estimate)); foreseen > result.Foreseen {
			result.Engine, result.Estimate, result.Foreseen = e.engine, e.Estimate, foreseen
		}
	}
	switch {
	case slow == 1 && now.Sub(loneSince) < loneUnevenTime:
		result.Engine, result.Estimate, result.Foreseen = "", Estimate{}, 0
	case result.Foreseen > limit.Pause:
		result.Reason = ReasonSlowEngine
	case result.Engine != "":
		result.Reason = ReasonWithinLimit
	}
	return result
}
