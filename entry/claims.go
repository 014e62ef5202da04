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

// callClaim is a claim that this entry made for a call.
type callClaim struct {
	key    string
	record claim.Record
}

const (
	claimTimeout        = 2 * time.Second
	claimAttemptDelay   = 20 * time.Millisecond
	claimRetryAfter     = 2 * time.Second
	claimCleanupTimeout = time.Minute
)

// claimCall claims a call. Without a failure, the call may be sent once.
func (e *Entry) claimCall(ctx context.Context, r ServiceRequest) (*callClaim, *Failure) {
	now := e.now()
	key := claim.Key(r.Account, r.Route, r.IdempotencyKey)
	attempt := claim.NewAttempt(claim.Record{
		Claimant:    string(e.self.ID) + "/" + uuid.NewString(),
		RequestHash: claim.RequestHash(r.Method, r.Path, r.Body), ClaimedAt: now.UTC(),
	}, now.Add(claimTimeout))
	for {
		e.observeEra(e.claims.Era())
		step := attempt.Next(e.now())
		if held := e.claimHistory.blockedFor(e.now()); held > 0 && step != claim.RejectDuplicate {
			e.abandonClaim(key, attempt)
			return nil, newFailure(CodeClaimUnavailable, NotRun, "the call could not be claimed: the platform was restored, and may lack claims").withRetryAfter(held)
		}
		switch step {
		case claim.Create:
			e.createClaim(ctx, key, attempt)
		case claim.Read:
			e.readClaim(ctx, key, attempt)
		case claim.Send:
			e.claimHistory.remember(e.now(), key, attempt.Record())
			return &callClaim{key: key, record: attempt.Record()}, nil
		case claim.RejectDuplicate:
			return nil, duplicateFailure(attempt.Record(), attempt.ConflictingClaim())
		case claim.GiveUp:
			e.abandonClaim(key, attempt)
			return nil, newFailure(CodeClaimUnavailable, NotRun, "the call could not be claimed: the platform does not answer").withRetryAfter(claimRetryAfter)
		}
		if ctx.Err() != nil {
			e.abandonClaim(key, attempt)
			return nil, newFailure(CodeCancelled, NotRun, "the caller left before the call was claimed")
		}
	}
}

func (e *Entry) createClaim(ctx context.Context, key string, a *claim.Attempt) {
	text, _ := json.Marshal(a.Record())
	wrote, err := e.claims.Swap(ctx, key, text, 0)
	a.CreateFinished(claimResult(err), wrote)
	if err != nil {
		pause(ctx, claimAttemptDelay)
	}
}

func (e *Entry) readClaim(ctx context.Context, key string, a *claim.Attempt) {
	item, err := e.claims.Get(ctx, key)
	var there claim.Record
	if err == nil && item.Found() {
		err = json.Unmarshal(item.Value, &there)
	}
	a.ReadFinished(claimResult(err), item.Found(), there)
	if err != nil {
		pause(ctx, claimAttemptDelay)
	}
}

func claimResult(err error) claim.Result {
	switch {
	case err == nil:
		return claim.Answered
	case errors.Is(err, ErrNotSent):
		return claim.NotSent
	default:
		return claim.OutcomeUnknown
	}
}

// duplicateFailure tells the second caller of a key what is known of the first call.
func duplicateFailure(ours, theirs claim.Record) *Failure {
	switch {
	case ours.RequestHash != theirs.RequestHash:
		return newFailure(CodeIdempotencyKeyReused, NotRun, "the Idempotency-Key was used for another call")
	case theirs.Status != 0:
		return newFailure(CodeDuplicateRequest, NotRun, "the call with this Idempotency-Key was run; it was answered with status %d", theirs.Status)
	default:
		return newFailure(CodeDuplicateRequest, Unknown, "a call with this Idempotency-Key is under way or its outcome is not known")
	}
}

// abandonClaim removes the key of a claim that was given up, so that the caller can
// try again. That is safe at any later time: this attempt never sends.
func (e *Entry) abandonClaim(key string, a *claim.Attempt) {
	if !a.MayHaveClaimed() {
		return
	}
	ours := a.Record().Claimant
	e.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, claimCleanupTimeout)
		defer cancel()
		for {
			if e.removeClaim(ctx, key, ours) || !pause(ctx, jitter(claimRetryAfter)) {
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
func (e *Entry) recordOutcome(held *callClaim, status int) {
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
