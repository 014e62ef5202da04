// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync"
	"time"

	"github.com/shedpath/shedpath/member"
)

// eventsEvery is the least time between two events about one upstream: one that tells
// something in every second answer would fill the log.
const eventsEvery = time.Second

// eventLimiter bounds what is done about each upstream's events, such as lines of the log. An
// empty id stands for all. The zero value works.
type eventLimiter struct {
	mu sync.Mutex
	// last is when something was last done about each.
	last map[member.UpstreamID]time.Time
}

// allow reports whether something may be done about an upstream now, and counts that.
func (l *eventLimiter) allow(now time.Time, id member.UpstreamID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ever := l.last[id]; ever && now.Sub(at) < eventsEvery {
		return false
	}
	if l.last == nil {
		l.last = map[member.UpstreamID]time.Time{}
	}
	l.last[id] = now
	return true
}

// forget drops the upstreams about which something may be done.
func (l *eventLimiter) forget(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, at := range l.last {
		if now.Sub(at) >= eventsEvery {
			delete(l.last, id)
		}
	}
}
