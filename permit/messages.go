// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package permit

import (
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/ratelimit"
)

// Ask asks the host that grants for leave to send one request to an upstream.
type Ask struct {
	Upstream member.UpstreamID
	ratelimit.Ask
	// Word is the asker's newest one of the upstream's limit; HasWord says that there is
	// one.
	HasWord bool
	Word    ratelimit.Mark
}

// Reply is the answer to an Ask.
type Reply struct {
	ratelimit.Grant
	// Granter is who grants, if that isn't the host that was asked.
	Granter member.Entry
	// Unknown says that the host doesn't know the upstream.
	Unknown bool
	// Word is the host's newest one of the limit; HasWord says that there is one.
	HasWord bool
	Word    ratelimit.Mark
}

// Outcome says how something got leave to be sent, or why not.
type Outcome string

// The outcomes.
const (
	// Granted by the host that gives out.
	Granted Outcome = "granted"
	// KeptBack by it, or by this host, which is to ask again later.
	KeptBack Outcome = "kept_back"
	// OwnTurn is leave from this host's own turns.
	OwnTurn Outcome = "own_turn"
	// NoTurn says that nobody could be asked, and this host has no turn.
	NoTurn Outcome = "no_turn"
)
