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
	if repeated := e.backoffs.Record(e.now(), id, 0, d, 0); !repeated {
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
func (e *Entry) enginesBackingOff(pool resource.Name) (backingOff []member.UpstreamID, untilNext time.Duration) {
	if !e.backoffs.HasUpstreams() {
		return nil, 0
	}
	now := e.now()
	engines := e.members.EnginesFor(now, pool)
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

// excludeBackingOff drops the upstreams that want nothing from this entry now. If these are all,
// it returns how long it is until one of them does.
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
