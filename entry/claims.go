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

const (
	// claimTimeout bounds the claiming of a call, and the recording of its outcome.
	claimTimeout = 2 * time.Second
	// claimAttemptDelay is the delay before the next platform call after a failed one.
	claimAttemptDelay = 20 * time.Millisecond
	// claimRetryAfter is when a caller may retry a call that could not be claimed, and the
	// interval at which an abandoned claim's removal is retried.
	claimRetryAfter = 2 * time.Second
	// claimCleanupTimeout bounds the background removal of a claim whose call is not sent.
	claimCleanupTimeout = time.Minute
)

// claimCall claims a call. If it returns no failure, the call may be sent once.
func (e *Entry) claimCall(ctx context.Context, r ServiceRequest) (*recentClaim, *Failure) {
	now := e.now()
	key := claim.Key(r.Account, r.Route, r.IdempotencyKey)
	attempt := claim.NewAttempt(claim.Record{
		Claimant:    string(e.self.ID) + "/" + uuid.NewString(),
		RequestHash: claim.RequestHash(r.Method, r.Path, r.Body), ClaimedAt: now.UTC(),
	}, now.Add(claimTimeout))
	for {
		e.observeEra(e.claims.Era())
		step := attempt.Next(e.now())
		blocked := e.claimHistory.blockedFor(e.now())
		switch {
		case step == claim.RejectDuplicate:
			return nil, duplicateFailure(attempt.Record(), attempt.ConflictingClaim())
		case blocked > 0 && step != claim.GiveUp && e.claimHistory.isJoining(e.now()):
			// The peers may say before the deadline that claims can be made.
			attempt.Recheck()
			sleepContext(ctx, claimAttemptDelay)
		case blocked > 0:
			return nil, e.failBlockedClaim(key, attempt, blocked)
		case step == claim.Create:
			e.createClaim(ctx, key, attempt)
		case step == claim.Read:
			e.readClaim(ctx, key, attempt)
		case step == claim.Send:
			held, blocked := e.claimHistory.hold(e.now(), key, attempt.Record())
			if blocked > 0 {
				return nil, e.failBlockedClaim(key, attempt, blocked)
			}
			return held, nil
		case step == claim.GiveUp:
			e.abandonClaim(key, attempt)
			return nil, newFailure(CodeClaimUnavailable, NotRun, "the call could not be claimed: the platform does not answer").withRetryAfter(claimRetryAfter)
		}
		if ctx.Err() != nil {
			e.abandonClaim(key, attempt)
			return nil, newFailure(CodeCancelled, NotRun, "the caller left before the call was claimed")
		}
	}
}

// failBlockedClaim gives up an attempt because new claims are blocked after a restore.
func (e *Entry) failBlockedClaim(key string, a *claim.Attempt, blocked time.Duration) *Failure {
	e.abandonClaim(key, a)
	return newFailure(CodeClaimUnavailable, NotRun, "the call could not be claimed: the platform was restored, and may lack claims").withRetryAfter(blocked)
}

func (e *Entry) createClaim(ctx context.Context, key string, a *claim.Attempt) {
	text, _ := json.Marshal(a.Record())
	wrote, err := e.claims.Swap(ctx, key, text, 0)
	a.CreateFinished(claimResult(err), wrote)
	if err != nil {
		sleepContext(ctx, claimAttemptDelay)
	}
}

func (e *Entry) readClaim(ctx context.Context, key string, a *claim.Attempt) {
	item, err := e.claims.Get(ctx, key)
	var stored claim.Record
	if err == nil && item.Found() {
		err = json.Unmarshal(item.Value, &stored)
	}
	a.ReadFinished(claimResult(err), item.Found(), stored)
	if err != nil {
		sleepContext(ctx, claimAttemptDelay)
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

// duplicateFailure returns the failure for a call whose idempotency key is already claimed. It says
// what is known of the first call.
func duplicateFailure(attempted, stored claim.Record) *Failure {
	switch {
	case attempted.RequestHash != stored.RequestHash:
		return newFailure(CodeIdempotencyKeyReused, NotRun, "the Idempotency-Key was used for another call")
	case stored.Status != 0:
		return newFailure(CodeDuplicateRequest, NotRun, "the call with this Idempotency-Key was run; it was answered with status %d", stored.Status)
	default:
		return newFailure(CodeDuplicateRequest, Unknown, "a call with this Idempotency-Key is under way or its outcome is not known")
	}
}

// abandonClaim removes the claim of an attempt that was given up, so that the caller can try again.
func (e *Entry) abandonClaim(key string, a *claim.Attempt) {
	if !a.MayHaveClaimed() {
		return
	}
	e.claimHistory.addReleased(e.now(), key, a.Record())
	e.removeUnsentClaim(key, a.Record().Claimant)
}

// releaseClaim removes the claim of a call that was not sent, so that the caller can try again.
func (e *Entry) releaseClaim(c *recentClaim) {
	e.claimHistory.release(c)
	e.removeUnsentClaim(c.key, c.record.Claimant)
}

// removeUnsentClaim removes a claim in the background. Removal is safe at any later time, because
// the call is never sent for this claim.
func (e *Entry) removeUnsentClaim(key, claimant string) {
	e.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, claimCleanupTimeout)
		defer cancel()
		for e.removeClaim(ctx, key, claimant) != nil {
			if !sleepContext(ctx, jitter(claimRetryAfter)) {
				return
			}
		}
	})
}

// removeClaim deletes the claim if this claimant made it. Without an error the key certainly no
// longer holds this claimant's claim.
func (e *Entry) removeClaim(ctx context.Context, key, claimant string) error {
	item, err := e.claims.Get(ctx, key)
	if err != nil {
		return err
	}
	var stored claim.Record
	if !item.Found() || json.Unmarshal(item.Value, &stored) != nil || stored.Claimant != claimant {
		return nil
	}
	_, err = e.claims.Delete(ctx, key, item.Version)
	return err
}

// recordOutcome adds the status of the upstream's answer to the claim if the platform accepts the
// write. The status is only reported to a second caller with the same key; nothing else depends on
// it.
func (e *Entry) recordOutcome(c *recentClaim, status int) {
	if status < http.StatusOK {
		return
	}
	e.claimHistory.setStatus(c, status)
	e.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		item, err := e.outcomes.Get(ctx, c.key)
		if err != nil || !item.Found() {
			return
		}
		record, _ := e.claimHistory.state(c)
		text, _ := json.Marshal(record)
		// Without the status, a second caller only learns that the outcome is unknown.
		_, _ = e.outcomes.Swap(ctx, c.key, text, item.Version)
	})
}
