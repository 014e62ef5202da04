// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync"
	"time"

	"github.com/shedpath/shedpath/member"
)

// eventInterval is the minimum interval between two log lines or other actions about one upstream:
// an upstream that sends a signal with every second answer would fill the log.
const eventInterval = time.Second

// eventLimiter limits how often this host acts on each upstream's events, such as by log lines. The
// empty ID stands for all upstreams. The zero value is ready to use.
type eventLimiter struct {
	mu sync.Mutex
	// lastAllowed is when an action about each upstream was last allowed.
	lastAllowed map[member.UpstreamID]time.Time
}

// allow reports whether an action about an upstream is allowed now, and if so records it.
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

// prune drops the upstreams about which an action is allowed again.
func (l *eventLimiter) prune(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, at := range l.lastAllowed {
		if now.Sub(at) >= eventInterval {
			delete(l.lastAllowed, id)
		}
	}
}
