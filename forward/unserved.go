// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"math/rand/v2"
	"slices"
	"time"
)

// What callers are told that no upstream serves now, and when they return.

// maxThrottledRetryAfter bounds what a caller is told to wait for upstreams that get nothing now:
// others may come in place of them meanwhile.
const maxThrottledRetryAfter = 10 * time.Second

// throttledRetrySpread is the most over which callers return that wait for the same upstream.
const throttledRetrySpread = time.Second

// refuseNoUpstream refuses where no upstream takes the request. wait is how long it is until one
// of those may get it that don't now; zero when there are none.
func (x *exchange) refuseNoUpstream(now time.Time, takers []Upstream, wait time.Duration) Refusal {
	if wait <= 0 {
		return Refusal{Code: CodeNoUpstream, RetryAfter: defaultRetryAfter}
	}
	wait = max(wait, x.pickReturnTime(now, takers))
	r := Refusal{Code: CodeOverloaded, RetryAfter: min(max(wait, minRetryAfter), maxThrottledRetryAfter) + rand.N(min(wait, throttledRetrySpread)+1)}
	// Near its end every host may be alone with some upstream's.
	alone := func(u Upstream) bool {
		return x.backoffs.OnlyThisHost(now, u.ID) && x.backoffs.Remaining(now, u.ID) > throttledRetrySpread
	}
	if slices.ContainsFunc(takers, alone) && x.peers.hasPeerInZone(now) {
		r.RetryAfter = otherHostRetryAfter
	}
	return r
}

// pickReturnTime draws one of the upstreams that take requests from every host again at about the
// same time as the first, and returns when it does; zero where none asked for backoff. The
// caller may come to another host, and with others who wait.
func (x *exchange) pickReturnTime(now time.Time, takers []Upstream) time.Duration {
	var ends []time.Duration
	for _, u := range takers {
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

// refuseRejected refuses a request that upstreams rejected and that isn't sent on.
func (x *exchange) refuseRejected(now time.Time) Refusal {
	takers := x.acceptingUpstreams(now)
	kept := len(x.throttledAmong(now, takers))
	r := Refusal{Code: CodeOverloaded, RetryAfter: defaultRetryAfter}
	switch {
	case kept > 0 && kept == len(takers):
		r = x.refuseNoUpstream(now, takers, x.shortestWait(now, takers, nil))
	case kept > 0:
		// Others take requests, and a caller that comes back draws on no budget of ours.
		r.RetryAfter = otherHostRetryAfter
	}
	return r
}
