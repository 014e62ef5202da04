// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package admission

import "time"

// RecentPriorities remembers which priorities have been arriving. The zero value is ready to use.
type RecentPriorities struct {
	lastSeen map[int]time.Time
}

// arrivingWindow is how long after a request of a priority that priority counts as arriving. One
// host of thirty gets a short answer every 2.5 s of the load that the package is made for.
const arrivingWindow = 10 * time.Second

// Observe records that a request arrived.
func (r *RecentPriorities) Observe(now time.Time, priority int) {
	if r.lastSeen == nil {
		r.lastSeen = map[int]time.Time{}
	}
	r.lastSeen[priority] = now
}

// Yields reports whether a request must leave the engines that still read a prompt to more urgent
// requests. An engine reads one prompt after another, so the request would wait there, too; while
// it waits in the queue instead, an urgent prompt that arrives meanwhile precedes it. It yields
// only for the first part of the time that it can wait.
func (r *RecentPriorities) Yields(now time.Time, q *Request) bool {
	if now.Sub(q.ArrivedAt) >= time.Duration(yieldFraction*float64(q.slack(entryFraction))) {
		return false
	}
	for priority, at := range r.lastSeen {
		if priority > q.Priority && now.Sub(at) <= arrivingWindow {
			return true
		}
	}
	return false
}
