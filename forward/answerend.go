// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/shedpath/shedpath/eligibility"
)

// An answer that has no declared end ends with its connection. It is whole if its upstream closed the connection, and
// broken off if its upstream ended, which looks the same. So the upstream's identity is checked.

// Identity is what is known about the instance at the address of an upstream.
type Identity string

const (
	// IdentitySame: the upstream has answered.
	IdentitySame Identity = "same"
	// IdentityPresumed: the upstream may not be asked or doesn't give its ID, and nothing says that it ended.
	IdentityPresumed Identity = "presumed"
	// IdentityOther: another instance has the address.
	IdentityOther Identity = "other"
	// IdentityEnded: nothing listens at the address, or the upstream has started again.
	IdentityEnded Identity = "ended"
	// IdentityUnknown: the upstream couldn't be asked, or didn't answer.
	IdentityUnknown Identity = "unknown"
)

const (
	// identityTimeout bounds one question. It is long, as a question that waits for a slot loses its place in the
	// upstream's queue when it is repeated.
	identityTimeout = 5 * time.Second
	// identityReachTimeout bounds the connection before a question. An own link that is cut refuses connections, too, so the
	// peers that are asked for another way need the time to answer.
	identityReachTimeout = time.Second
	// minIdentityPause is the pause after the first question that brought no answer. It doubles with each further one up
	// to maxIdentityPause.
	minIdentityPause = 20 * time.Millisecond
	maxIdentityPause = 500 * time.Millisecond
	// maxIdentityWait bounds the wait of a request that has no deadline.
	maxIdentityWait = time.Minute
	// maxUnreachedTime is how long a request that may be run elsewhere waits for an upstream that can't be connected to.
	// Callers give up a stream that is silent for two seconds or more.
	maxUnreachedTime = time.Second
	// endedRunPlaceTime is how long a run whose stream has ended keeps its place while its engine is asked.
	endedRunPlaceTime = 50 * time.Millisecond
)

// errEndUnknown ends an answer of which it wasn't found out in time whether it is whole.
var errEndUnknown = errors.New("it isn't known whether the upstream ended")

// checkWhole returns an error if an answer without a declared end, whose connection was closed, may not count as whole:
// io.ErrUnexpectedEOF if its upstream ended, or errEndUnknown. repeatable says that the request may be run elsewhere.
func (x *exchange) checkWhole(ctx context.Context, u Upstream, repeatable bool) error {
	switch x.identify(ctx, u, repeatable) {
	case IdentitySame, IdentityPresumed:
		return nil
	case IdentityUnknown:
		return errEndUnknown
	default:
		return io.ErrUnexpectedEOF
	}
}

// identify finds out which instance is at the address of an upstream whose answer has ended. A crowded upstream answers late, and one with
// too many connections resets the question, so it is asked until it answers or ctx ends. If the request is
// repeatable, an upstream that hasn't accepted a connection is given up after maxUnreachedTime.
func (x *exchange) identify(ctx context.Context, u Upstream, repeatable bool) Identity {
	ctx, cancel := context.WithTimeout(ctx, maxIdentityWait)
	defer cancel()
	began := x.now()
	q := identityQuestion{exchange: x, upstream: u}
	asked := 1
	found, wait, err := q.ask(ctx)
	for pause := minIdentityPause; found == IdentityUnknown && wait >= 0; pause = min(2*pause, maxIdentityPause) {
		PauseFor(ctx, max(pause, wait))
		if ctx.Err() != nil || repeatable && !q.reached && x.now().Sub(began) >= maxUnreachedTime {
			break
		}
		asked++
		found, wait, err = q.ask(ctx)
	}
	x.observer.Identified(found)
	if found != IdentitySame {
		x.journal.Request(x.call.ID, "upstream not identified", "upstream", u.ID, "outcome", found, "took", x.now().Sub(began), "tries", asked, "err", err)
	}
	if found == IdentityEnded || found == IdentityOther {
		x.journal.Request(x.call.ID, "answer ended with its upstream", "upstream", u.ID, "looked", err)
	}
	return found
}

// identityQuestion is the question which instance is at the address of an upstream.
type identityQuestion struct {
	*exchange
	upstream Upstream
	// suspended says that this host was suspended shortly before a question, so that the address may have been given to
	// another instance.
	suspended bool
	// reached says that a connection to the address was accepted.
	reached bool
	// failed says that a question brought no answer.
	failed bool
}

// ask asks once. If the result is IdentityUnknown, wait is how long not to ask again, or negative if that brings nothing.
func (q *identityQuestion) ask(ctx context.Context) (found Identity, wait time.Duration, err error) {
	q.suspended = q.suspended || q.settings.Clock.MaxMessageDelay(q.now()) > 0
	ended, err := q.checkUpstreamEnded(ctx, q.upstream, identityReachTimeout)
	if ended {
		return IdentityEnded, 0, err
	}
	q.reached = q.reached || err == nil
	bounded, cancel := context.WithTimeout(ctx, identityTimeout)
	defer cancel()
	health, err := q.checkHealth(bounded, &q.service, q.upstream, eligibility.Identity)
	if v, notAsked := notSentVerdict(err); notAsked {
		return q.presume(), q.boundWait(v.Wait), err
	}
	q.suspended = q.suspended || q.settings.Clock.MaxMessageDelay(q.now()) > 0
	switch {
	case err != nil:
		q.failed = true
		return IdentityUnknown, 0, err
	case health.WrongInstance || health.Instance != "" && health.Instance != q.upstream.ID:
		return IdentityOther, 0, nil
	case health.Life.newerThan(q.upstream.Incarnation):
		// The list of upstreams may not have the restart yet.
		return IdentityEnded, 0, nil
	case health.Instance != "":
		return IdentitySame, 0, nil
	case !q.suspended:
		return IdentityPresumed, 0, nil
	case health.Rejected:
		return IdentityUnknown, 0, nil
	default:
		return IdentityUnknown, -1, nil
	}
}

// presume returns what to take an upstream for that may not be asked. It is presumed to be the same unless this host was
// suspended, a question failed, or the upstream is no longer listed and isn't known to leave.
func (q *identityQuestion) presume() Identity {
	_, listed := q.fleet.Upstream(q.upstream.ID)
	if q.suspended || q.failed || !listed && q.fleet.LeavingFor(q.now(), q.upstream.ID) == 0 {
		return IdentityUnknown
	}
	return IdentityPresumed
}

// boundWait returns wait, or a negative time if the request's deadline is before its end.
func (q *identityQuestion) boundWait(wait time.Duration) time.Duration {
	if left := q.timeLeft(q.now()); wait >= maxIdentityWait || left > 0 && wait >= left {
		return -1
	}
	return wait
}
