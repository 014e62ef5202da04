// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/shedpath/shedpath/claim"
)

// heldClaim is a claim that this entry made for a call.
type heldClaim struct {
	key    string
	record claim.Record
}

const (
	claimTimeout   = 2 * time.Second
	claimPause     = 20 * time.Millisecond
	claimRetry     = 2 * time.Second
	releaseTimeout = time.Minute
)

// claimCall claims a call. Without a failure, the call may be sent once.
func (e *Entry) claimCall(ctx context.Context, r ServiceRequest) (*heldClaim, *Failure) {
	now := e.now()
	key := claim.Key(r.Account, r.Route, r.IdempotencyKey)
	attempt := claim.NewAttempt(claim.Record{
		Claimant:    string(e.self.ID) + "/" + uuid.NewString(),
		RequestHash: claim.RequestHash(r.Method, r.Path, r.Body), ClaimedAt: now.UTC(),
	}, now.Add(claimTimeout))
	for {
		e.observeEra(e.claims.Era())
		step := attempt.Next(e.now())
		if held := e.claimed.heldFor(e.now()); held > 0 && step != claim.RejectDuplicate {
			e.abandon(key, attempt)
			return nil, fail(CodeNoClaim, NotRun, "the call could not be claimed: the platform was restored, and may lack claims").retryAfter(held)
		}
		switch step {
		case claim.Create:
			e.createClaim(ctx, key, attempt)
		case claim.Read:
			e.readClaim(ctx, key, attempt)
		case claim.Send:
			e.claimed.remember(e.now(), key, attempt.Record())
			return &heldClaim{key: key, record: attempt.Record()}, nil
		case claim.RejectDuplicate:
			return nil, duplicate(attempt.Record(), attempt.ConflictingClaim())
		case claim.GiveUp:
			e.abandon(key, attempt)
			return nil, fail(CodeNoClaim, NotRun, "the call could not be claimed: the platform does not answer").retryAfter(claimRetry)
		}
		if ctx.Err() != nil {
			e.abandon(key, attempt)
			return nil, fail(CodeCancelled, NotRun, "the caller left before the call was claimed")
		}
	}
}

func (e *Entry) createClaim(ctx context.Context, key string, a *claim.Attempt) {
	text, _ := json.Marshal(a.Record())
	wrote, err := e.claims.Swap(ctx, key, text, 0)
	a.CreateFinished(resultOf(err), wrote)
	if err != nil {
		pause(ctx, claimPause)
	}
}

func (e *Entry) readClaim(ctx context.Context, key string, a *claim.Attempt) {
	item, err := e.claims.Get(ctx, key)
	var there claim.Record
	if err == nil && item.Found() {
		err = json.Unmarshal(item.Value, &there)
	}
	a.ReadFinished(resultOf(err), item.Found(), there)
	if err != nil {
		pause(ctx, claimPause)
	}
}

func resultOf(err error) claim.Result {
	switch {
	case err == nil:
		return claim.Answered
	case errors.Is(err, ErrNotSent):
		return claim.NotSent
	default:
		return claim.OutcomeUnknown
	}
}

// duplicate tells the second caller of a key what is known of the first call.
func duplicate(ours, theirs claim.Record) *Failure {
	switch {
	case ours.RequestHash != theirs.RequestHash:
		return fail(CodeKeyReused, NotRun, "the Idempotency-Key was used for another call")
	case theirs.Status != 0:
		return fail(CodeDuplicate, NotRun, "the call with this Idempotency-Key was run; it was answered with status %d", theirs.Status)
	default:
		return fail(CodeDuplicate, Unknown, "a call with this Idempotency-Key is under way or its outcome is not known")
	}
}

// abandon removes the key of a claim that was given up, so that the caller can
// try again. That is safe at any later time: this attempt never sends.
func (e *Entry) abandon(key string, a *claim.Attempt) {
	if !a.MayHaveClaimed() {
		return
	}
	ours := a.Record().Claimant
	e.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		for {
			if e.removeClaim(ctx, key, ours) || !pause(ctx, jitter(claimRetry)) {
				return
			}
		}
	})
}

// removeClaim reports whether the claim surely isn't there as ours any more.
func (e *Entry) removeClaim(ctx context.Context, key, claimant string) bool {
	item, err := e.claims.Get(ctx, key)
	if err != nil {
		return false
	}
	var there claim.Record
	if !item.Found() || json.Unmarshal(item.Value, &there) != nil || there.Claimant != claimant {
		return true
	}
	_, err = e.claims.Delete(ctx, key, item.Version)
	return err == nil
}

// recordOutcome notes the upstream's answer on the claim, if the platform has
// room for it. A second caller is told it; nothing else depends on it.
func (e *Entry) recordOutcome(held *heldClaim, status int) {
	if status < http.StatusOK {
		return
	}
	e.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		item, err := e.outcomes.Get(ctx, held.key)
		if err != nil || !item.Found() {
			return
		}
		held.record.Status = status
		text, _ := json.Marshal(held.record)
		// Losing this costs only what a second caller is told.
		_, _ = e.outcomes.Swap(ctx, held.key, text, item.Version)
	})
}
