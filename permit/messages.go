// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package permit

import (
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/ratelimit"
)

// GrantRequest asks the host that grants for leave to send one request to an upstream.
type GrantRequest struct {
	Upstream member.UpstreamID
	ratelimit.Ask
	// Word is the asker's newest one of the upstream's limit; HasLimitMark says that there is
	// one.
	HasLimitMark bool
	LimitMark    ratelimit.Mark
}

// GrantReply is the answer to an Ask.
type GrantReply struct {
	ratelimit.Grant
	// Granter is who grants, if that isn't the host that was asked.
	Granter member.Entry
	// UnknownUpstream says that the host doesn't know the upstream.
	UnknownUpstream bool
	// Word is the host's newest one of the limit; HasLimitMark says that there is one.
	HasLimitMark bool
	LimitMark    ratelimit.Mark
}

// Outcome says how something got leave to be sent, or why not.
type Outcome string

// The outcomes.
const (
	// Granted by the host that gives out.
	Granted Outcome = "granted"
	// Deferred by it, or by this host, which is to ask again later.
	Deferred Outcome = "kept_back"
	// OwnTurn is leave from this host's own turns.
	OwnTurn Outcome = "own_turn"
	// NoTurn says that nobody could be asked, and this host has no turn.
	NoTurn Outcome = "no_turn"
)
