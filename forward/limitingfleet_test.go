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

// Upstreams in virtual time that name limits, and what is checked of them.

// limitPeriod is a time for which an upstream names a limit.
type limitPeriod struct {
	upstream    member.UpstreamID
	from, until time.Duration
	rate        ratelimit.Rate
}

// request is an arrival at an upstream.
type request struct {
	at   time.Duration
	host member.HostID
}

// limitingFleet plays upstreams that name limits in their answers.
type limitingFleet struct {
	*fakeFleet
	limitPeriods []limitPeriod
	// hidesLimit has a part of the answers name nothing although the upstream is in need; nil
	// has none.
	hidesLimit func() bool

	mu       sync.Mutex
	start    time.Time
	requests map[member.UpstreamID][]request
	// firstLimitAt is when each host first had an answer that named a limit.
	firstLimitAt map[member.UpstreamID]map[member.HostID]time.Duration
}

func newLimitingFleet(needs ...limitPeriod) *limitingFleet {
	return &limitingFleet{
		fakeFleet: newFakeFleet(), limitPeriods: needs, start: time.Now(), requests: map[member.UpstreamID][]request{},
		firstLimitAt: map[member.UpstreamID]map[member.HostID]time.Duration{},
	}
}

// limit is what an upstream names at a time.
func (f *limitingFleet) limit(id member.UpstreamID, at time.Duration) (ratelimit.Rate, bool) {
	for _, n := range f.limitPeriods {
		if n.upstream == id && n.from <= at && at < n.until {
			return n.rate, true
		}
	}
	return 0, false
}

// sendFrom plays an upstream's answer to one host.
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
		a.Signals.Limit = NamedLimit{Named: true, Rate: rate}
		if f.firstLimitAt[u.ID] == nil {
			f.firstLimitAt[u.ID] = map[member.HostID]time.Duration{}
		}
		if _, known := f.firstLimitAt[u.ID][host]; !known {
			f.firstLimitAt[u.ID][host] = at
		}
		return a, nil
	}
}

// limitWindow is the span in which an upstream's requests are counted against its limit.
const limitWindow = 4 * time.Second

// worstWindow is the highest excess of requests in any window over what is allowed there.
type worstWindow struct {
	received, allowed int
	at                time.Duration
}

func (w worstWindow) String() string {
	return fmt.Sprintf("%d in the 4 s up to %v, %d allowed", w.received, w.at, w.allowed)
}

// exceeded says that more came than is allowed.
func (w worstWindow) exceeded() bool { return w.received > w.allowed }

// findWorstWindow counts an upstream's requests in each window that ends later than the contact bound
// after its need began, and returns the window that is furthest over what is
// allowed at its highest limit. Requests that don't count are passed over.
func (f *limitingFleet) findWorstWindow(id member.UpstreamID, allowed func(ratelimit.Rate) float64, counts func(request) bool) worstWindow {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := worstWindow{allowed: math.MaxInt}
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
		here := worstWindow{received: len(window), allowed: int(allowed(rate)), at: r.at}
		if most.allowed == math.MaxInt || here.received-here.allowed > most.received-most.allowed {
			most = here
		}
	}
	return most
}

// highestLimit is the highestLimit limit that an upstream names in the window up to a time, if it has
// named one since the contact bound before that.
func (f *limitingFleet) highestLimit(id member.UpstreamID, at time.Duration) (ratelimit.Rate, bool) {
	if _, named := f.limit(id, at-contactBound); !named {
		return 0, false
	}
	var highest ratelimit.Rate
	for t := at - contactBound; t <= at; t += 50 * time.Millisecond {
		rate, named := f.limit(id, t)
		if !named {
			return 0, false
		}
		highest = max(highest, rate)
	}
	before, _ := f.limit(id, at-limitWindow)
	return max(highest, before), true
}

// worstOverTolerance is the window furthest over what an upstream is to bear at most: half as much again
// as its limit, and 5, from the hosts that had heard of it for half a second.
func (f *limitingFleet) worstOverTolerance(id member.UpstreamID, excused ...member.HostID) worstWindow {
	allowed := func(r ratelimit.Rate) float64 { return 1.5*float64(r)*limitWindow.Seconds() + 5 }
	return f.findWorstWindow(id, allowed, func(r request) bool {
		at, told := f.firstLimitAt[id][r.host]
		return told && r.at >= at+500*time.Millisecond && !slices.Contains(excused, r.host)
	})
}

// worstOverLimit is the window furthest over the limit itself, counted in whole requests, from all
// hosts, as soon as they have had time to hear of it.
func (f *limitingFleet) worstOverLimit(id member.UpstreamID) worstWindow {
	allowed := func(r ratelimit.Rate) float64 {
		return math.Ceil(float64(max(r, ratelimit.LeastRate)) * limitWindow.Seconds())
	}
	return f.findWorstWindow(id, allowed, func(r request) bool {
		_, heard := f.limit(id, r.at-contactBound)
		return heard
	})
}

// usedFraction is how many requests an upstream got between two times, as a part of what its limit
// allows in that time.
func (f *limitingFleet) usedFraction(id member.UpstreamID, from, until time.Duration, rate ratelimit.Rate) float64 {
	return float64(f.requestCount(id, from, until)) / (float64(rate) * (until - from).Seconds())
}

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
