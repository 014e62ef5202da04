// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package claim decides whether a call that must not be repeated may be sent.
//
// A call with an idempotency key is claimed by creating a key in the
// platform's key-value store, which fails if the key exists. The claimant that
// created the key may send the call once, and no other claimant ever may.
// Attempt is the state machine of one claimant. It does no I/O and reads no
// clock: the caller passes the current time to Next, carries out the step that
// Next returns, and reports the result.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/shedpath/shedpath/resource"
)

// Record is the value stored under a claim's key, as JSON.
type Record struct {
	// Claimant is unique to one attempt.
	Claimant string `json:"claimant"`
	// RequestHash is a hash of the call, to detect that an idempotency key is
	// reused for another call.
	RequestHash string `json:"request"`
	// Status is the status of the upstream's answer; zero means that no answer
	// was recorded.
	Status int `json:"status,omitempty"`
	// ClaimedAt is the time of the claim by the claimant's clock. It is for
	// information only.
	ClaimedAt time.Time `json:"at"`
}

// Key returns the platform key of a claim. It is a hash of the account, the
// route and the idempotency key.
func Key(account resource.Account, route resource.Name, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(string(account) + "\x00" + string(route) + "\x00" + idempotencyKey))
	return "shedpath/claims/" + hex.EncodeToString(sum[:])
}

// RequestHash returns the hash of a call for Record.RequestHash.
func RequestHash(method, path string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(method + "\x00" + path + "\x00"))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Step is the action that an attempt asks its caller to take next.
type Step int

// The steps of an attempt.
const (
	// Create asks the caller to create the claim's key if it doesn't exist.
	Create Step = iota
	// Read asks the caller to read the claim's key: the answer to the create was
	// lost, or the key existed already.
	Read
	// Send means that this attempt holds the claim: the call may be sent, once.
	Send
	// RejectDuplicate means that another attempt holds the claim: nothing is
	// sent, and the call is answered from ConflictingClaim.
	RejectDuplicate
	// GiveUp means that the deadline passed without a claim: this attempt never
	// sends the call.
	GiveUp
)

// Result is the outcome of a call to the platform.
type Result int

// The outcomes of a call to the platform.
const (
	// Answered means that the platform answered.
	Answered Result = iota
	// NotSent means that the call certainly had no effect.
	NotSent
	// OutcomeUnknown means that the call may have taken effect.
	OutcomeUnknown
)

// Attempt is the state of one attempt to claim a call. Create it with
// NewAttempt.
type Attempt struct {
	record   Record
	deadline time.Time
	step     Step
	// mayHaveCreated is set once this attempt may have created the key.
	mayHaveCreated bool
	conflicting    Record
}

// NewAttempt returns an attempt that gives up after the deadline. The claimant
// in the record must be unique to the attempt.
func NewAttempt(r Record, deadline time.Time) *Attempt {
	return &Attempt{record: r, deadline: deadline}
}

// Record returns the record that the Create step writes.
func (a *Attempt) Record() Record { return a.record }

// ConflictingClaim returns the other attempt's claim, after RejectDuplicate.
func (a *Attempt) ConflictingClaim() Record { return a.conflicting }

// MayHaveClaimed reports whether this attempt may have created the key. If so,
// the caller has to remove the key after GiveUp.
func (a *Attempt) MayHaveClaimed() bool { return a.mayHaveCreated }

// Next returns the step to take now. After the deadline it never returns Send.
func (a *Attempt) Next(now time.Time) Step {
	if now.After(a.deadline) && a.step != RejectDuplicate {
		a.step = GiveUp
	}
	return a.step
}

// CreateFinished records the outcome of a create. created is the platform's
// answer: whether the key was created.
func (a *Attempt) CreateFinished(result Result, created bool) {
	switch {
	case result == OutcomeUnknown:
		a.mayHaveCreated = true
		a.step = Read
	case result == Answered && created:
		a.mayHaveCreated = true
		a.step = Send
	case result == Answered:
		a.step = Read
	}
}

// Recheck makes an attempt that holds the claim read the key again before it sends, because the
// platform may have lost the claim meanwhile.
func (a *Attempt) Recheck() {
	if a.step == Send {
		a.step = Read
	}
}

// ReadFinished records the outcome of a read and, if the platform answered,
// whether the key was found and the record stored under it.
func (a *Attempt) ReadFinished(result Result, found bool, stored Record) {
	switch {
	case result != Answered:
	case !found:
		// An earlier create may still be in flight. Creating again is safe,
		// because only one of the two can succeed.
		a.step = Create
	case stored.Claimant == a.record.Claimant:
		a.step = Send
	default:
		a.conflicting = stored
		a.step = RejectDuplicate
	}
}
