// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"time"

	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/resource"
)

// Observer receives measurements and counts of events. Its methods are called on the data path and
// must return quickly.
type Observer interface {
	// FirstToken records the time from the caller's request to its first token.
	FirstToken(pool resource.Name, d time.Duration)
	// BetweenTokens records the time from one token to the next.
	BetweenTokens(pool resource.Name, d time.Duration)
	// CallEnded counts a call by its outcome, which is "ok" or the code of its failure.
	CallEnded(kind, outcome string, run RunState)
	// Waited records how long a generation was queued for a place.
	Waited(pool resource.Name, d time.Duration)
	// Placed counts a placement by the decider: "coordinator", "local" or "zone".
	Placed(pool resource.Name, by string)
	// Refused counts a generation that was refused a place.
	Refused(pool resource.Name, reason policy.Reason)
	// EngineLoad records an engine's latest load report.
	EngineLoad(pool resource.Name, load EngineLoad)
	// Retried counts a failure after which a generation may be started again, by the failure's code.
	Retried(why string)
	// Resumed counts an attempt to resume a stream, by its reason.
	Resumed(why string)
	// Withheld counts an event or answer of an upstream that was not passed on to the caller.
	Withheld(what string)
}

// noObserver discards everything.
type noObserver struct{}

func (noObserver) FirstToken(resource.Name, time.Duration)    {}
func (noObserver) BetweenTokens(resource.Name, time.Duration) {}
func (noObserver) CallEnded(string, string, RunState)         {}
func (noObserver) Waited(resource.Name, time.Duration)        {}
func (noObserver) Placed(resource.Name, string)               {}
func (noObserver) Refused(resource.Name, policy.Reason)       {}
func (noObserver) EngineLoad(resource.Name, EngineLoad)       {}
func (noObserver) Retried(string)                             {}
func (noObserver) Resumed(string)                             {}
func (noObserver) Withheld(string)                            {}
