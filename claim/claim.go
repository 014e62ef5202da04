// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package claim decides whether a call that may not be repeated may be sent.
//
// A call with an idempotency key is claimed by creating a key in the
// platform's service that wasn't there; whoever created it may send the call,
// once, and nobody else ever may. Attempt is the state machine of one
// claimant. It is pure: the caller does what Next says, and tells what came of
// it, with the present time.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/shedpath/shedpath/resource"
)

// Record is what a claim's key holds.
type Record struct {
	// Claimant is unique to one attempt.
	Claimant string `json:"claimant"`
	// RequestHash is a hash of the call, to tell a key that is used for another.
	RequestHash string `json:"request"`
	// Status is the upstream's answer, when it was recorded; zero means that
	// nothing is known of it.
	Status int `json:"status,omitempty"`
	// ClaimedAt is when the claim was made, by the claimant's clock; it decides
	// nothing.
	ClaimedAt time.Time `json:"at"`
}

// Key returns the platform key of a claim.
func Key(account resource.Account, route resource.Name, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(string(account) + "\x00" + string(route) + "\x00" + idempotencyKey))
	return "shedpath/claims/" + hex.EncodeToString(sum[:])
}

// RequestHash returns the hash of a call that Record keeps.
func RequestHash(method, path string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(method + "\x00" + path + "\x00"))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Step is what an attempt wants done next.
type Step int

// The steps.
const (
	// Create asks for the claim's key to be created if it isn't there.
	Create Step = iota
	// Read asks for the claim's key to be read: the create's answer was lost,
	// or the key was there.
	Read
	// Send says that the claim is held: the call may be sent, once.
	Send
	// RejectDuplicate says that another attempt has the claim: the caller is told what
	// Other knows, and nothing is sent.
	RejectDuplicate
	// GiveUp says that the time is over without a claim; nothing is sent, and
	// never will be by this attempt.
	GiveUp
)

// Result is how a platform call ended.
type Result int

// The results.
const (
	// Answered says that the platform answered.
	Answered Result = iota
	// NotSent says that the call surely had no effect.
	NotSent
	// OutcomeUnknown says that the call may have had its effect.
	OutcomeUnknown
)

// Attempt is one try to claim a call. Use NewAttempt.
type Attempt struct {
	record   Record
	deadline time.Time
	step     Step
	// mayHaveCreated says that the key may be there by this attempt's doing.
	mayHaveCreated bool
	conflicting    Record
}

// NewAttempt returns an attempt that gives up at the deadline. The claimant
// must be unique.
func NewAttempt(r Record, deadline time.Time) *Attempt {
	return &Attempt{record: r, deadline: deadline}
}

// Record is what Create writes.
func (a *Attempt) Record() Record { return a.record }

// ConflictingClaim is the claim that stands in the way, after Tell.
func (a *Attempt) ConflictingClaim() Record { return a.conflicting }

// MayHaveClaimed reports whether the key may have been created by this
// attempt, so that after GiveUp it is to be removed.
func (a *Attempt) MayHaveClaimed() bool { return a.mayHaveCreated }

// Next says what to do now. Past the deadline it never says Send.
func (a *Attempt) Next(now time.Time) Step {
	if now.After(a.deadline) && a.step != RejectDuplicate {
		a.step = GiveUp
	}
	return a.step
}

// CreateFinished takes in how the create ended; wrote is its answer.
func (a *Attempt) CreateFinished(result Result, wrote bool) {
	switch {
	case result == OutcomeUnknown:
		a.mayHaveCreated = true
		a.step = Read
	case result == Answered && wrote:
		a.mayHaveCreated = true
		a.step = Send
	case result == Answered:
		a.step = Read
	}
}

// ReadFinished takes in how the read ended and, if it was done, what was there.
func (a *Attempt) ReadFinished(result Result, found bool, there Record) {
	switch {
	case result != Answered:
	case !found:
		// An earlier create may still be under way; creating again is safe,
		// for only one of the two can win.
		a.step = Create
	case there.Claimant == a.record.Claimant:
		a.step = Send
	default:
		a.conflicting = there
		a.step = RejectDuplicate
	}
}
