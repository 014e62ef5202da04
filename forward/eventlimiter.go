// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync"
	"time"

	"github.com/shedpath/shedpath/member"
)

// eventInterval is the least time between two events about one upstream: one that tells
// something in every second answer would fill the log.
const eventInterval = time.Second

// eventLimiter bounds what is done about each upstream's events, such as lines of the log. An
// empty id stands for all. The zero value works.
type eventLimiter struct {
	mu sync.Mutex
	// lastAllowed is when something was lastAllowed done about each.
	lastAllowed map[member.UpstreamID]time.Time
}

// allow reports whether something may be done about an upstream now, and counts that.
func (l *eventLimiter) allow(now time.Time, id member.UpstreamID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ever := l.lastAllowed[id]; ever && now.Sub(at) < eventInterval {
		return false
	}
	if l.lastAllowed == nil {
		l.lastAllowed = map[member.UpstreamID]time.Time{}
	}
	l.lastAllowed[id] = now
	return true
}

// prune drops the upstreams about which something may be done.
func (l *eventLimiter) prune(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, at := range l.lastAllowed {
		if now.Sub(at) >= eventInterval {
			delete(l.lastAllowed, id)
		}
	}
}
