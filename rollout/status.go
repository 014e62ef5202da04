// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"time"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/resource"
)

// Version is the version of an upstream's software; empty if the upstream reports none.
type Version string

// Order is an operator's order to move a service's traffic to upstreams of a target version.
type Order struct {
	Service resource.Name
	Target  Version
	// Duration is how long the rollout may take.
	Duration time.Duration
	// GivenAt is the point in the origin's history at which the order was given or withdrawn.
	GivenAt history.Point
	// Withdrawn says that the order was withdrawn.
	Withdrawn bool
}

// Phase is the progress of a rollout. The zero value is the first phase. The phase of an order never
// decreases, so the greater of two reported phases is the newer one.
type Phase int

// The phases.
const (
	// Trial sends a small share of the new requests to the target version.
	Trial Phase = iota
	// Ramp sends a larger share of the new requests to the target version.
	Ramp
	// Full sends every new request to the target version and moves requests that run on other
	// versions.
	Full
	// Completed says that no request runs on other versions any longer.
	Completed
	// RolledBack sends no request to the target version any longer.
	RolledBack
)

var phaseNames = [...]string{"trial", "ramp", "full", "completed", "rolled_back"}

// String returns the name of the phase, or "unknown" for a phase that is not Valid.
func (p Phase) String() string {
	if !p.Valid() {
		return "unknown"
	}
	return phaseNames[p]
}

// Valid reports whether p is one of the defined phases.
func (p Phase) Valid() bool { return p >= Trial && p <= RolledBack }

// ParsePhase returns the phase with a name as written by Phase.String, and whether there is one.
func ParsePhase(s string) (Phase, bool) {
	for p, name := range phaseNames {
		if name == s {
			return Phase(p), true
		}
	}
	return 0, false
}

// Ended reports whether the phase is final, that is Completed or RolledBack.
func (p Phase) Ended() bool { return p >= Completed }

// Status is an order and the progress of its rollout.
type Status struct {
	Order
	Phase Phase
	// Age is how long ago a host first learnt of the order.
	Age time.Duration
	// Recorded is the point in the origin's history at which a phase of the service was last
	// written; zero if none was. RecordedPhase is that phase if it belongs to this order, or
	// else -1.
	Recorded      history.Point
	RecordedPhase Phase
}

// retiredVersions reports whether the target version is retired, and whether all other versions
// are. Upstreams of a retired version get no new requests.
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

// VersionFilter restricts the versions of the upstreams that a request may go to. The zero value
// allows every version.
type VersionFilter struct {
	// Only is the only version that is allowed, and Except the one that is not; empty for no
	// restriction.
	Only, Except Version
}

// Allows reports whether the filter lets a request go to an upstream of version v.
func (f VersionFilter) Allows(v Version) bool {
	return (f.Only == "" || v == f.Only) && (f.Except == "" || v != f.Except)
}
