// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package eligibility

import (
	"fmt"
	"time"
)

// Reason says why something may not be sent to an upstream.
type Reason string

// The reasons.
const (
	// Unknown: the upstream is not, or no longer, on the host's list.
	Unknown Reason = "unknown"
	// Leaving: the upstream is leaving.
	Leaving Reason = "leaving"
	// Unusable: the upstream's entry on the list can't be used.
	Unusable Reason = "unusable"
	// ZoneOutOfService: the upstream's zone is out of service.
	ZoneOutOfService Reason = "zone_out"
	// RegionBarred: the request may not be served in the region of the upstream's zone.
	RegionBarred Reason = "region"
	// VersionBarred: a rollout withholds the request from the upstream's version, or has retired
	// that version.
	VersionBarred Reason = "version"
	// Quarantined: other upstreams ended while they processed the same request.
	Quarantined Reason = "quarantined"
	// Backoff: the upstream asked for a pause in the requests of this host.
	Backoff Reason = "backoff"
	// Limited: the rate limit of the upstream for all hosts together is reached.
	Limited Reason = "limited"
)

// Purpose says what is to be sent.
type Purpose int

// The purposes.
const (
	// Request is a caller's request, sent for the first time or repeated.
	Request Purpose = iota
	// Continuation resumes a run from the copy that the upstream holds.
	Continuation
	// Probe is a health check.
	Probe
	// Control is a call about a run or a copy that the upstream holds.
	Control
	// Identity is a health check that asks who has the upstream's address, as the end of an answer depends on it.
	Identity
)

// State is what a host knows of an upstream and of the request that is to be sent.
type State struct {
	// Unknown, Leaving, Unusable, ZoneOutOfService and Quarantined are true if the Reason of
	// that name holds.
	Unknown, Leaving, Unusable, ZoneOutOfService, Quarantined bool
	// RegionBarred says that the request may not be served in the upstream's region.
	RegionBarred bool
	// VersionBarred says that the upstream's version may not get the request.
	VersionBarred bool
	// ZoneClosed says that continuations may no longer be sent to the zone, either. It is set some
	// time after the zone went out of service.
	ZoneClosed bool
	// Backoff and LimitWait are how long the backoff and the rate limit still forbid requests;
	// zero if they don't.
	Backoff, LimitWait time.Duration
}

// Verdict is the result of Check. The zero value allows the send.
type Verdict struct {
	// Reason is why the send is denied; empty if it is allowed.
	Reason Reason
	// Wait is how long it is until the send may be allowed; zero if that isn't known.
	Wait time.Duration
	// Overridden is a reason against a send that is allowed all the same, because its run would
	// be lost without it; empty if there is none.
	Overridden Reason
}

// OK reports whether the send is allowed.
func (v Verdict) OK() bool { return v.Reason == "" }

// String returns "allowed", or the reason and the wait.
func (v Verdict) String() string {
	if v.OK() {
		return "allowed"
	}
	return fmt.Sprintf("%s (wait %v)", v.Reason, v.Wait)
}

// Check decides whether something may be sent to an upstream. If several reasons hold, it reports
// those that waiting doesn't resolve before those that it does.
func Check(s State, p Purpose) Verdict {
	switch p {
	case Control:
		// Without the call, the run would be lost.
		return Verdict{Overridden: s.firstReason()}
	case Continuation:
		return s.checkContinuation()
	}
	switch p {
	case Probe:
		s.Quarantined = false
	case Identity:
		// The upstream has had the request before, so only a backoff or limit that it asked for forbids the question.
		s = State{Backoff: s.Backoff, LimitWait: s.LimitWait}
	}
	reason := s.firstReason()
	if reason == Backoff || reason == Limited {
		return Verdict{Reason: reason, Wait: max(s.Backoff, s.LimitWait)}
	}
	return Verdict{Reason: reason}
}

// checkContinuation allows a continuation, because its run would be lost without it, except for
// reasons that protect others than the run.
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

// firstReason returns the first reason that holds; empty if none does.
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
