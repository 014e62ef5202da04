// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package eligibility

import (
	"fmt"
	"time"
)

// Reason says why something may not be sent.
type Reason string

// The reasons.
const (
	// Unknown: the host has no such upstream on its list, or not any more.
	Unknown Reason = "unknown"
	// Leaving: the upstream leaves.
	Leaving Reason = "leaving"
	// Unusable: its entry on the list can't be used.
	Unusable Reason = "unusable"
	// ZoneOutOfService: its zone is out of service.
	ZoneOutOfService Reason = "zone_out"
	// RegionBarred: its zone is of no region in which the request may be served.
	RegionBarred Reason = "region"
	// VersionBarred: its version may not get the request while a rollout is decided, or any more.
	VersionBarred Reason = "version"
	// Quarantined: upstreams ended under the same request.
	Quarantined Reason = "quarantined"
	// Backoff: it wants nothing from this host for a while.
	Backoff Reason = "backoff"
	// Limited: it gets no more at present from all hosts together.
	Limited Reason = "limited"
)

// Purpose is what is to be sent.
type Purpose int

// The purposes.
const (
	// Request is a caller's request, sent for the first time or once more.
	Request Purpose = iota
	// Continuation is a run that is taken up from the copy that the upstream holds.
	Continuation
	// Probe is a health check.
	Probe
	// Control is a call about a run or a copy that the upstream holds.
	Control
)

// State is what a host believes of an upstream and of the request that is to be sent.
type State struct {
	// Unknown, Leaving, Unusable, ZoneOutOfService and Quarantined are true where the reason of
	// that name holds.
	Unknown, Leaving, Unusable, ZoneOutOfService, Quarantined bool
	// RegionBarred says that the request may not be served in the upstream's region.
	RegionBarred bool
	// VersionBarred says that the upstream's version may not get the request.
	VersionBarred bool
	// ZoneClosed says that runs on their way to the zone may no longer go on there either.
	ZoneClosed bool
	// Backoff and LimitWait are how long each still keeps requests away; zero where it doesn't.
	Backoff, LimitWait time.Duration
}

// Verdict is the answer. The zero value allows.
type Verdict struct {
	// Reason is why not; empty where it may be sent.
	Reason Reason
	// Wait is how long it is until it may; zero where that isn't known.
	Wait time.Duration
	// Overridden is why it wouldn't be allowed if it could be left; empty mostly.
	Overridden Reason
}

// OK reports whether it may be sent.
func (v Verdict) OK() bool { return v.Reason == "" }

func (v Verdict) String() string {
	if v.OK() {
		return "allowed"
	}
	return fmt.Sprintf("%s (wait %v)", v.Reason, v.Wait)
}

// Check decides about one upstream. What can't be waited for goes before what can.
func Check(s State, p Purpose) Verdict {
	switch p {
	case Control:
		// The run is lost otherwise.
		return Verdict{Overridden: s.firstReason()}
	case Continuation:
		return s.checkContinuation()
	}
	if p == Probe {
		s.Quarantined = false
	}
	reason := s.firstReason()
	if reason == Backoff || reason == Limited {
		return Verdict{Reason: reason, Wait: max(s.Backoff, s.LimitWait)}
	}
	return Verdict{Reason: reason}
}

// checkContinuation allows what its run would be lost without, but for what harms others.
func (s *State) checkContinuation() Verdict {
	switch {
	case s.RegionBarred:
		return Verdict{Reason: RegionBarred}
	case s.Quarantined:
		return Verdict{Reason: Quarantined}
	case s.ZoneClosed:
		return Verdict{Reason: ZoneOutOfService}
	}
	return Verdict{Overridden: s.firstReason()}
}

// firstReason is the first firstReason that holds; empty where none does.
func (s *State) firstReason() Reason {
	switch {
	case s.RegionBarred:
		return RegionBarred
	case s.VersionBarred:
		return VersionBarred
	case s.Quarantined:
		return Quarantined
	case s.Unknown:
		return Unknown
	case s.Leaving:
		return Leaving
	case s.Unusable:
		return Unusable
	case s.ZoneOutOfService:
		return ZoneOutOfService
	case s.Backoff > 0 && s.Backoff >= s.LimitWait:
		return Backoff
	case s.LimitWait > 0:
		return Limited
	}
	return ""
}
