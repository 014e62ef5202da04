// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package event

import (
	"sync"
	"time"

	"github.com/shedpath/shedpath/member"
)

// Interval is the minimum interval between two log lines or other actions about one upstream:
// an upstream that sends a signal with every second answer would fill the log.
const Interval = time.Second

// Limiter limits how often this host acts on each upstream's events, such as by log lines. The
// empty ID stands for all upstreams. The zero value is ready to use.
type Limiter struct {
	mu sync.Mutex
	// lastAllowed is when an action about each upstream was last allowed.
	lastAllowed map[member.UpstreamID]time.Time
}

// Allow reports whether an action about an upstream is allowed now, and if so records it.
func (l *Limiter) Allow(now time.Time, id member.UpstreamID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ever := l.lastAllowed[id]; ever && now.Sub(at) < Interval {
		return false
	}
	if l.lastAllowed == nil {
		l.lastAllowed = map[member.UpstreamID]time.Time{}
	}
	l.lastAllowed[id] = now
	return true
}

// Prune drops the upstreams about which an action is allowed again.
func (l *Limiter) Prune(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, at := range l.lastAllowed {
		if now.Sub(at) >= Interval {
			delete(l.lastAllowed, id)
		}
	}
}

// Len returns the number of upstreams that are remembered.
func (l *Limiter) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.lastAllowed)
}
