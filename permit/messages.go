// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package permit

import (
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/ratelimit"
)

// GrantRequest asks the granting host for a permit to send one request to an upstream.
type GrantRequest struct {
	Upstream member.UpstreamID
	ratelimit.PermitRequest
	// LimitMark is the newest report of the upstream's limit that the requesting host knows, if
	// HasLimitMark is set.
	HasLimitMark bool
	LimitMark    ratelimit.PeerReport
}

// GrantReply answers a GrantRequest.
type GrantReply struct {
	ratelimit.Decision
	// Granter is the granting host if that is not the host that was asked; zero if it is.
	Granter member.Entry
	// UnknownUpstream says that the host doesn't know the upstream.
	UnknownUpstream bool
	// LimitMark is the newest report of the upstream's limit that the replying host knows, if
	// HasLimitMark is set.
	HasLimitMark bool
	LimitMark    ratelimit.PeerReport
}

// Outcome says how a permit was obtained, or why not.
type Outcome string

// The outcomes.
const (
	// Granted says that the granting host granted the permit.
	Granted Outcome = "granted"
	// Deferred says that the granting host refused, or that this host still waits after an earlier
	// refusal. A permit may be requested again later.
	Deferred Outcome = "kept_back"
	// OwnTurn says that this host used one of its own turns, because no granting host could be
	// asked.
	OwnTurn Outcome = "own_turn"
	// NoTurn says that no granting host could be asked, and this host has no turn now.
	NoTurn Outcome = "no_turn"
)
