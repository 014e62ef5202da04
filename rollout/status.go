// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"time"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/resource"
)

// Version names the software of an upstream.
type Version string

// Order asks to move a service's traffic to upstreams of a version.
type Order struct {
	Service resource.Name
	Target  Version
	// Duration is how long the move may take.
	Duration time.Duration
	// GivenAt is where in the origin's history the order was given, or taken back.
	GivenAt history.Point
	// Withdrawn says that there is no order any more.
	Withdrawn bool
}

// Phase is how far a rollout is. The zero value is the first phase. Phases of one order never go
// back; a later one is the newer word.
type Phase int

// The phases.
const (
	// Trial has a small part of the requests go to the target version.
	Trial Phase = iota
	// Ramp has a larger part go there.
	Ramp
	// Full has every new request go there, and what runs elsewhere is moved.
	Full
	// Completed says that nothing runs on other versions any more.
	Completed
	// RolledBack has nothing go to the target version any more.
	RolledBack
)

var phaseNames = [...]string{"trial", "ramp", "full", "completed", "rolled_back"}

func (p Phase) String() string {
	if !p.Valid() {
		return "unknown"
	}
	return phaseNames[p]
}

// Valid reports whether the phase is one of those above.
func (p Phase) Valid() bool { return p >= Trial && p <= RolledBack }

// ParsePhase reads what String writes.
func ParsePhase(s string) (Phase, bool) {
	for p, name := range phaseNames {
		if name == s {
			return Phase(p), true
		}
	}
	return 0, false
}

// Ended reports whether nothing more comes.
func (p Phase) Ended() bool { return p >= Completed }

// Status is an order and how far it is.
type Status struct {
	Order
	Phase Phase
	// Age is how long ago the order was first known of.
	Age time.Duration
	// Recorded is where in the origin's history a phase of the service was written last, and
	// RecordedPhase that phase if it was of this order; zero and -1 for none.
	Recorded      history.Point
	RecordedPhase Phase
}

// retiredVersions tells of which versions nothing takes new work: of the target, or of all others.
func (s *Status) retiredVersions() (targetRetired, othersRetired bool) {
	switch {
	case s.Withdrawn:
		return s.Phase != Completed, false
	case s.Phase == RolledBack:
		return true, false
	case s.Phase == Full, s.Phase == Completed:
		return false, true
	}
	return false, false
}

// VersionFilter is which upstreams of a service a request may go to. The zero value sets no bound.
type VersionFilter struct {
	// Only is the one version that it may go to, and Except the one that it may not.
	Only, Except Version
}

// Allows reports whether a request with the bound may go to an upstream of a version.
func (f VersionFilter) Allows(v Version) bool {
	return (f.Only == "" || v == f.Only) && (f.Except == "" || v != f.Except)
}
