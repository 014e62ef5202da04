// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package enginereport

import (
	"errors"
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// Load is what an engine holds.
type Load struct {
	// Used is the memory that the engine can't reclaim.
	Used policy.Tokens
	// Active and Queued are the runs that hold memory and those that wait for it.
	Active, Queued int
}

// Answer is an engine's answer to a host that asks for its report.
type Answer struct {
	Load
	// Total is the size of the engine's memory; zero if it isn't stated.
	Total policy.Tokens
	// Leaving says that the engine states that it is departing. LeavesIn is how long it will
	// still serve; zero if unknown.
	Leaving  bool
	LeavesIn time.Duration
}

// Mark is one host's message to its peers about the report that it got from an engine.
type Mark struct {
	Engine      member.UpstreamID
	Incarnation int64
	Load
	// Age is how long ago the load was as stated.
	Age time.Duration
}

// Request asks the peers to ask an engine for its report.
type Request struct {
	// Engine is empty for all engines of the cell.
	Engine member.UpstreamID
	// Remaining is for how much longer there is a reason.
	Remaining time.Duration
}

// Outcome names what became of a request for a report, for the metrics.
type Outcome string

// The outcomes.
const (
	Received Outcome = "received"
	// NoAnswer: the engine didn't answer in time, or nothing may be sent to it.
	NoAnswer Outcome = "no_answer"
	// Unusable: the answer can't be decoded, or its values are impossible.
	Unusable Outcome = "unusable"
	// Outdated: the engine has restarted since, or the address belongs to another one.
	Outdated Outcome = "outdated"
	// PeerUnusable: a peer's message has impossible values.
	PeerUnusable Outcome = "peer_unusable"
)

// Errors of a report that can't be used.
var (
	ErrUnusable      = errors.New("the engine's report is not usable")
	ErrOtherInstance = errors.New("the report is from another instance")
)

// maxRuns bounds the runs of one engine that are accepted as possible. Engines serve 24 at once; a
// number far above that is an error, and would keep all work off the engine.
const maxRuns = 10_000

// usable reports whether the values are possible.
func (l Load) usable() bool {
	return l.Used >= 0 && l.Active >= 0 && l.Queued >= 0 && l.Active <= maxRuns && l.Queued <= maxRuns
}

// Check returns ErrUnusable if the values are impossible.
func (a Answer) Check() error {
	if !a.usable() || a.Total < 0 || a.Total > 0 && a.Used > a.Total || a.LeavesIn < 0 {
		return ErrUnusable
	}
	return nil
}

// OutcomeOf returns the outcome of a request for a report that ended with err.
func OutcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return Received
	case errors.Is(err, ErrOtherInstance):
		return Outdated
	case errors.Is(err, ErrUnusable):
		return Unusable
	}
	return NoAnswer
}
