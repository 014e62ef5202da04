// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"errors"
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/resource"
)

// recordBackoff takes in for how long an upstream that turned a request away wants no other.
func (e *Entry) recordBackoff(id member.UpstreamID, d time.Duration) {
	if d <= 0 {
		return
	}
	if again := e.backoffs.Record(e.now(), id, 0, d, 0); !again {
		// The line says why the upstream gets nothing; a logger that fails has no other place.
		_ = e.logger.Log("msg", "upstream asks for backoff", "upstream", id, "for", d)
	}
}

// refusalBackoff is how long an engine that refused a run wants no other.
func refusalBackoff(err error) time.Duration {
	var refused *EngineRefusal
	if errors.As(err, &refused) && (refused.Status == statusTooMany || refused.Status >= 500) {
		return refused.RetryAfter
	}
	return 0
}

// enginesBackingOff lists the engines of a pool that want nothing from this entry now. If these
// are all, it returns how long it is until one of them does.
func (e *Entry) enginesBackingOff(pool resource.Name) (resting []member.UpstreamID, all time.Duration) {
	if !e.backoffs.HasUpstreams() {
		return nil, 0
	}
	now := e.now()
	engines := e.members.EnginesFor(now, pool)
	for _, id := range engines {
		left := e.backoffs.Remaining(now, id)
		if left <= 0 {
			continue
		}
		resting = append(resting, id)
		if all == 0 || left < all {
			all = left
		}
	}
	if len(resting) < len(engines) {
		all = 0
	}
	return resting, all
}

// excludeBackingOff drops the upstreams that want nothing from this entry now. If these are all,
// it returns how long it is until one of them does.
func (e *Entry) excludeBackingOff(upstreams []member.Upstream) (rest []member.Upstream, all time.Duration) {
	now := e.now()
	for _, u := range upstreams {
		left := e.backoffs.Remaining(now, u.ID)
		if left <= 0 {
			rest = append(rest, u)
			continue
		}
		if all == 0 || left < all {
			all = left
		}
	}
	if len(rest) > 0 {
		all = 0
	}
	return rest, all
}
