// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Refusals for requests that no upstream accepts now, and the retry times that callers get.

// maxThrottledRetryAfter bounds the retry time, before jitter, that a caller gets while
// upstreams are throttled: other upstreams may become available meanwhile.
const maxThrottledRetryAfter = 10 * time.Second

// throttledRetrySpread bounds the time over which callers that wait for the same upstream are
// spread.
const throttledRetrySpread = time.Second

// refuseNoUpstream returns the refusal for a request that no upstream accepts now. wait is how
// long it is until a throttled upstream may get the request; zero if there is none.
func (x *exchange) refuseNoUpstream(now time.Time, accepting []Upstream, wait time.Duration) Refusal {
	if wait <= 0 {
		return Refusal{Code: CodeNoUpstream, RetryAfter: defaultRetryAfter}
	}
	wait = max(wait, x.pickReturnTime(now, accepting))
	r := Refusal{Code: CodeOverloaded, RetryAfter: min(max(wait, minRetryAfter), maxThrottledRetryAfter) + rand.N(min(wait, throttledRetrySpread)+1)}
	// Shortly before a backoff ends, any host may be the only one that still observes it.
	alone := func(u Upstream) bool {
		return x.backoffs.OnlyThisHost(now, u.ID) && x.backoffs.Remaining(now, u.ID) > throttledRetrySpread
	}
	if slices.ContainsFunc(accepting, alone) && x.peers.hasPeerInZone(now) {
		r.RetryAfter = otherHostRetryAfter
	}
	return r
}

// pickReturnTime picks one of the upstreams whose backoff ends at all hosts at about the same
// time as the first, and returns when it ends; zero if none asked for backoff. The end for all
// hosts counts, because the caller may retry at another host, together with other waiting
// callers.
func (x *exchange) pickReturnTime(now time.Time, accepting []Upstream) time.Duration {
	var ends []time.Duration
	for _, u := range accepting {
		if end := x.backoffs.RemainingOnAnyHost(now, u.ID); end > 0 {
			ends = append(ends, end)
		}
	}
	if len(ends) == 0 {
		return 0
	}
	slices.Sort(ends)
	last, _ := slices.BinarySearch(ends, ends[0]+2*throttledRetrySpread)
	return ends[rand.IntN(last)]
}

// refuseRejected returns the refusal for a request that upstreams rejected and that isn't
// retried.
func (x *exchange) refuseRejected(now time.Time) Refusal {
	accepting := x.acceptingUpstreams(now)
	throttled := len(x.throttledAmong(now, accepting))
	r := Refusal{Code: CodeOverloaded, RetryAfter: defaultRetryAfter}
	switch {
	case throttled > 0 && throttled == len(accepting):
		r = x.refuseNoUpstream(now, accepting, x.shortestWait(now, accepting, nil))
	case throttled > 0:
		// Other upstreams accept requests, and a caller that retries uses none of this host's
		// retry budget.
		r.RetryAfter = otherHostRetryAfter
	}
	return r
}
