// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/ratelimit"
)

// Simulated upstreams that name request limits, in virtual time, and the checks of what they
// receive.

// limitPeriod is a period in which an upstream names a limit.
type limitPeriod struct {
	upstream    member.UpstreamID
	from, until time.Duration
	rate        ratelimit.Rate
}

// request is the arrival of a request at an upstream.
type request struct {
	at   time.Duration
	host member.HostID
}

// limitingFleet simulates upstreams that name limits in their answers.
type limitingFleet struct {
	*fakeFleet
	limitPeriods []limitPeriod
	// hidesLimit reports for each answer in a limit period whether it leaves out the limit;
	// nil leaves it out of none.
	hidesLimit func() bool

	mu       sync.Mutex
	start    time.Time
	requests map[member.UpstreamID][]request
	// firstLimitAt is when each host first received an answer that named a limit.
	firstLimitAt map[member.UpstreamID]map[member.HostID]time.Duration
}

func newLimitingFleet(needs ...limitPeriod) *limitingFleet {
	return &limitingFleet{
		fakeFleet: newFakeFleet(), limitPeriods: needs, start: time.Now(), requests: map[member.UpstreamID][]request{},
		firstLimitAt: map[member.UpstreamID]map[member.HostID]time.Duration{},
	}
}

// limit returns the limit that an upstream names at a time.
func (f *limitingFleet) limit(id member.UpstreamID, at time.Duration) (ratelimit.Rate, bool) {
	for _, n := range f.limitPeriods {
		if n.upstream == id && n.from <= at && at < n.until {
			return n.rate, true
		}
	}
	return 0, false
}

// sendFrom returns a send function that simulates the upstreams' answers to one host.
func (f *limitingFleet) sendFrom(host member.HostID) func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
	return func(ctx context.Context, u Upstream, out *UpstreamRequest) (*Response, error) {
		f.mu.Lock()
		f.requests[u.ID] = append(f.requests[u.ID], request{time.Since(f.start), host})
		f.mu.Unlock()
		a, err := f.Send(ctx, u, out)
		if err != nil {
			return nil, err
		}
		at := time.Since(f.start)
		f.mu.Lock()
		defer f.mu.Unlock()
		rate, named := f.limit(u.ID, at)
		if !named || f.hidesLimit != nil && f.hidesLimit() {
			return a, nil
		}
		a.Signals.Limit = AnnouncedLimit{Announced: true, Rate: rate}
		if f.firstLimitAt[u.ID] == nil {
			f.firstLimitAt[u.ID] = map[member.HostID]time.Duration{}
		}
		if _, known := f.firstLimitAt[u.ID][host]; !known {
			f.firstLimitAt[u.ID][host] = at
		}
		return a, nil
	}
}

// limitWindow is the length of the sliding window in which an upstream's requests are counted.
const limitWindow = 4 * time.Second

// worstWindow is the window in which the requests exceed the allowed number by most.
type worstWindow struct {
	received, allowed int
	at                time.Duration
}

func (w worstWindow) String() string {
	return fmt.Sprintf("%d requests in the 4 s up to %v, %d allowed", w.received, w.at, w.allowed)
}

// exceeded reports whether more requests came than are allowed.
func (w worstWindow) exceeded() bool { return w.received > w.allowed }

// findWorstWindow counts an upstream's requests in each window that ends at least maxPropagationDelay
// after the start of a limit period, and returns the window that is furthest over what is
// allowed at its highest limit. Requests for which counts is false are ignored.
func (f *limitingFleet) findWorstWindow(id member.UpstreamID, allowed func(ratelimit.Rate) float64, counts func(request) bool) worstWindow {
	f.mu.Lock()
	defer f.mu.Unlock()
	worst := worstWindow{allowed: math.MaxInt}
	var window []request
	for _, r := range f.requests[id] {
		if !counts(r) {
			continue
		}
		window = append(window, r)
		window = slices.DeleteFunc(window, func(old request) bool { return r.at-old.at >= limitWindow })
		rate, covered := f.highestLimit(id, r.at)
		if !covered {
			continue
		}
		current := worstWindow{received: len(window), allowed: int(allowed(rate)), at: r.at}
		if worst.allowed == math.MaxInt || current.received-current.allowed > worst.received-worst.allowed {
			worst = current
		}
	}
	return worst
}

// highestLimit returns the highest limit that an upstream names in the window up to a time. It
// reports false unless the upstream has named a limit throughout the contact bound before that
// time.
func (f *limitingFleet) highestLimit(id member.UpstreamID, at time.Duration) (ratelimit.Rate, bool) {
	if _, named := f.limit(id, at-maxPropagationDelay); !named {
		return 0, false
	}
	var highest ratelimit.Rate
	for t := at - maxPropagationDelay; t <= at; t += 50 * time.Millisecond {
		rate, named := f.limit(id, t)
		if !named {
			return 0, false
		}
		highest = max(highest, rate)
	}
	before, _ := f.limit(id, at-limitWindow)
	return max(highest, before), true
}

// worstOverTolerance returns the window furthest over what an upstream has to tolerate, 1.5
// times its limit and 5 requests, from hosts that have known of the limit for half a second.
func (f *limitingFleet) worstOverTolerance(id member.UpstreamID, excused func(request) bool) worstWindow {
	allowed := func(r ratelimit.Rate) float64 { return 1.5*float64(r)*limitWindow.Seconds() + 5 }
	return f.findWorstWindow(id, allowed, func(r request) bool {
		at, known := f.firstLimitAt[id][r.host]
		return known && r.at >= at+500*time.Millisecond && (excused == nil || !excused(r))
	})
}

// worstOverAllowance returns the window furthest over the limit itself, rounded up to whole requests, from the
// requests that count.
func (f *limitingFleet) worstOverAllowance(id member.UpstreamID, counts func(request) bool) worstWindow {
	return f.findWorstWindow(id, func(r ratelimit.Rate) float64 {
		return math.Ceil(float64(max(r, ratelimit.MinRate)) * limitWindow.Seconds())
	}, counts)
}

// worstOverLimit returns the window furthest over the limit itself, rounded up to whole
// requests, from all hosts, once they have had time to learn of the limit.
func (f *limitingFleet) worstOverLimit(id member.UpstreamID) worstWindow {
	return f.worstOverAllowance(id, func(r request) bool {
		_, known := f.limit(id, r.at-maxPropagationDelay)
		return known
	})
}

// usedFraction returns the number of requests that an upstream got between two times, as a
// fraction of what its limit allows in that time.
func (f *limitingFleet) usedFraction(id member.UpstreamID, from, until time.Duration, rate ratelimit.Rate) float64 {
	return float64(f.requestCount(id, from, until)) / (float64(rate) * (until - from).Seconds())
}

// requestCount returns the number of requests that an upstream got between two times.
func (f *limitingFleet) requestCount(id member.UpstreamID, from, until time.Duration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.requests[id] {
		if r.at >= from && r.at < until {
			n++
		}
	}
	return n
}
