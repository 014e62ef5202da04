// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"

	"github.com/shedpath/shedpath/eligibility"
)

// An answer that has no declared end ends with its connection. It is whole if its upstream closed the connection, and
// broken off if its upstream ended, which looks the same. So the upstream is asked who it is.

// Identity is what is known about who has the address of an upstream.
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

// endedWithUpstream reports whether an answer that has no declared end, and whose connection was closed,
// was broken off by the end of its upstream. If this host was suspended meanwhile, the upstream's address may already
// belong to another instance.
func (x *exchange) endedWithUpstream(ctx context.Context, u Upstream) bool {
	began := x.now()
	found := IdentityEnded
	ended, err := x.checkUpstreamEnded(ctx, u)
	if !ended {
		found, err = x.askIdentity(ctx, u)
	}
	x.observer.Identified(found)
	if found != IdentitySame {
		x.journal.Request(x.call.ID, "upstream not identified", "upstream", u.ID, "outcome", found, "took", x.now().Sub(began), "err", err)
	}
	ended = found != IdentitySame && found != IdentityPresumed
	if ended {
		x.journal.Request(x.call.ID, "answer ended with its upstream", "upstream", u.ID, "looked", err)
	}
	return ended
}

// askIdentity asks an upstream who it is. That isn't known if a backoff or a rate limit forbids to ask, or the answer
// has no ID. The upstream is presumed to be the same then, but not right after a suspension, in which the address may have
// been given to another, nor if it may not be asked and is no longer listed, unless it is known to leave.
func (x *exchange) askIdentity(ctx context.Context, u Upstream) (Identity, error) {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	health, err := x.checkHealth(ctx, &x.service, u, eligibility.Identity)
	var notAsked *notSentError
	switch {
	case err != nil && !errors.As(err, &notAsked):
		return IdentityUnknown, err
	case health.WrongInstance || health.Instance != "" && health.Instance != u.ID:
		return IdentityOther, err
	case health.Instance != "":
		return IdentitySame, err
	case x.settings.Clock.MaxMessageDelay(x.now()) > 0:
		return IdentityUnknown, err
	}
	if _, listed := x.fleet.Upstream(u.ID); err != nil && !listed && x.fleet.LeavingFor(x.now(), u.ID) == 0 {
		return IdentityUnknown, err
	}
	return IdentityPresumed, err
}
