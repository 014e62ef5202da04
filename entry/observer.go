// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"time"

	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/resource"
)

// Observer counts what happens. Its methods are called on the data path and
// must be quick.
type Observer interface {
	// FirstToken is the time from the caller's request to its first token.
	FirstToken(pool resource.Name, d time.Duration)
	// BetweenTokens is the time from one token to the next.
	BetweenTokens(pool resource.Name, d time.Duration)
	// CallEnded counts a call's end: "ok" or the code of its failure.
	CallEnded(kind, outcome string, run RunState)
	// Waited is how long a generation was queued for a place.
	Waited(pool resource.Name, d time.Duration)
	// Placed counts who decided: "coordinator", "local" or "zone".
	Placed(pool resource.Name, by string)
	// Refused counts a generation that got no place.
	Refused(pool resource.Name, reason policy.Reason)
	// EngineLoad is an engine's last report.
	EngineLoad(pool resource.Name, load EngineLoad)
	// Retried counts a generation that was started again elsewhere.
	Retried(why string)
	// Resumed counts a stream taken up again.
	Resumed(why string)
	// Withheld counts an upstream's event or answer that was kept from the caller.
	Withheld(what string)
}

// noObserver counts nothing.
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
