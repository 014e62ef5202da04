// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"errors"
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/resource"
)

// recordBackoff records for how long an upstream that refused a request wants no further requests.
func (e *Entry) recordBackoff(id member.UpstreamID, d time.Duration) {
	if d <= 0 {
		return
	}
	if repeated := e.backoffs.Record(e.now(), id, 0, d, 0); !repeated {
		// The log line explains why the upstream gets no requests. A logger's error has nowhere
		// else to be reported.
		_ = e.logger.Log("msg", "upstream asks for backoff", "upstream", id, "for", d)
	}
}

// refusalBackoff returns the backoff that an engine asked for when it refused a run with status 429
// or 5xx, and zero for any other error.
func refusalBackoff(err error) time.Duration {
	var refused *EngineRefusal
	if errors.As(err, &refused) && (refused.Status == statusTooManyRequests || refused.Status >= 500) {
		return refused.RetryAfter
	}
	return 0
}

// enginesBackingOff lists the engines of a pool that are in backoff for this entry. If all of the
// pool's engines are, untilNext is the time until the first backoff ends; otherwise it is zero.
func (e *Entry) enginesBackingOff(pool resource.Name) (backingOff []member.UpstreamID, untilNext time.Duration) {
	if !e.backoffs.HasUpstreams() {
		return nil, 0
	}
	now := e.now()
	engines := e.members.EngineIDsFor(now, pool)
	for _, id := range engines {
		remaining := e.backoffs.Remaining(now, id)
		if remaining <= 0 {
			continue
		}
		backingOff = append(backingOff, id)
		if untilNext == 0 || remaining < untilNext {
			untilNext = remaining
		}
	}
	if len(backingOff) < len(engines) {
		untilNext = 0
	}
	return backingOff, untilNext
}

// excludeBackingOff returns the upstreams that aren't in backoff for this entry. If all are in
// backoff, untilNext is the time until the first backoff ends; otherwise it is zero.
func (e *Entry) excludeBackingOff(upstreams []member.Upstream) (available []member.Upstream, untilNext time.Duration) {
	now := e.now()
	for _, u := range upstreams {
		remaining := e.backoffs.Remaining(now, u.ID)
		if remaining <= 0 {
			available = append(available, u)
			continue
		}
		if untilNext == 0 || remaining < untilNext {
			untilNext = remaining
		}
	}
	if len(available) > 0 {
		untilNext = 0
	}
	return available, untilNext
}
