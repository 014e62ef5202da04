// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package rejection

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shedpath/shedpath/member"
)

const (
	// window is how long a rejection counts. Upstreams count those of a second; the rest covers the
	// time that requests and answers take.
	window = 1250 * time.Millisecond
	// retryDelay is how long a request waits that finds all of a host's part in flight.
	retryDelay = 50 * time.Millisecond
	// announcementLifetime is how long an announcement holds that no answer renews or ends.
	announcementLifetime = 30 * time.Second
	// maxServices bounds the services whose announcements are kept.
	maxServices = 1024
)

// MaxLimit is the largest limit that is kept to; a larger one counts as this.
const MaxLimit = 1 << 20

// ServiceName identifies a service.
type ServiceName string

// Announcement tells peers that the upstreams of a service have announced a limit.
type Announcement struct {
	Service ServiceName
	// Limit is the number of rejections a second above which an upstream falls over.
	Limit int
	// Age is how long ago an answer announced it.
	Age time.Duration
}

// Upstream is what a decision needs to know of an upstream.
type Upstream struct {
	ID      member.UpstreamID
	Service ServiceName
	// Slots is how many requests it processes at once for certain; zero if that isn't known.
	Slots int
}

// Site tells how many hosts share a budget.
type Site interface {
	// Hosts is the number of hosts that send requests, this one included; at least 1.
	Hosts() int
	// Position is this host's position in the order of all hosts that belongs to an upstream, from 0.
	Position(id member.UpstreamID) int
}

// Budget holds the limits that upstreams have announced, and what this host has sent to them. The
// zero value is ready to use. It is safe for concurrent use.
type Budget struct {
	// active says that some announcement may hold. Most requests need to know only that.
	active atomic.Bool

	mu        sync.Mutex
	services  map[ServiceName]announcement
	upstreams map[member.UpstreamID]*upstream
	// borrowers and lenders are the peers to which this host has lent places, and those from which it
	// has borrowed some or is about to. lastLoanSeq is the number of its last LoanRequest.
	borrowers   map[member.HostID]*borrower
	lenders     map[member.HostID]*lender
	lastLoanSeq uint64
}

type announcement struct {
	limit int
	// heardAt is when an answer last had it; zero once an answer lacked it. endedAt is when that was.
	heardAt, endedAt time.Time
}

// upstream is what this host has sent to one upstream.
type upstream struct {
	inFlight int
	// rejectedAt are the times of the rejections that still count, the oldest first.
	rejectedAt []time.Time
	// part is this host's part when it was last looked at, without what it has lent or borrowed.
	part int
	// refused counts the requests that found no place since the last LoanRequests.
	refused int
	// peak is the most places that were used or wanted at once since peakSince, and lastPeak the most in
	// the window before.
	peak, lastPeak int
	peakSince      time.Time
}

// Active reports whether the upstreams of any service may have announced a limit.
func (b *Budget) Active() bool { return b.active.Load() }

// Announced records that an answer announced a limit. It reports whether the service had none.
func (b *Budget) Announced(now time.Time, service ServiceName, limit int) (isNew bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.announce(service, min(limit, MaxLimit), now)
}

// announce records an announcement, unless a newer one, or its end, is known. The mutex is held.
func (b *Budget) announce(service ServiceName, limit int, at time.Time) (isNew bool) {
	a, known := b.services[service]
	if at.Before(a.heardAt) || at.Before(a.endedAt) || !known && len(b.services) >= maxServices {
		return false
	}
	if b.services == nil {
		b.services = map[ServiceName]announcement{}
	}
	b.services[service] = announcement{limit: limit, heardAt: at, endedAt: a.endedAt}
	b.active.Store(true)
	return a.heardAt.IsZero()
}

// Ended records that an answer announced no limit. It reports whether the service had one.
func (b *Budget) Ended(now time.Time, service ServiceName) (had bool) {
	if !b.active.Load() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	a, known := b.services[service]
	if !known || a.heardAt.IsZero() {
		return false
	}
	b.services[service] = announcement{endedAt: now}
	return true
}

// Receive records what a peer has heard. It reports whether the service had no limit.
func (b *Budget) Receive(now time.Time, a Announcement) (isNew bool) {
	if a.Limit < 0 || a.Age < 0 || a.Age >= announcementLifetime {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.announce(a.Service, min(a.Limit, MaxLimit), now.Add(-a.Age))
}

// Announcements lists the announcements that hold, for peers.
func (b *Budget) Announcements(now time.Time) []Announcement {
	if !b.active.Load() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []Announcement
	for service, a := range b.services {
		if a.holds(now) {
			all = append(all, Announcement{Service: service, Limit: a.limit, Age: now.Sub(a.heardAt)})
		}
	}
	slices.SortFunc(all, func(a, b Announcement) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	return all
}

func (a announcement) holds(now time.Time) bool {
	return !a.heardAt.IsZero() && now.Sub(a.heardAt) < announcementLifetime
}

// Delay returns how long it is until this host may send a request to an upstream; zero if it may now.
func (b *Budget) Delay(now time.Time, u Upstream, s Site) time.Duration {
	if !b.active.Load() {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.delay(now, u, s)
}

func (b *Budget) delay(now time.Time, u Upstream, s Site) time.Duration {
	a := b.services[u.Service]
	if !a.holds(now) {
		return 0
	}
	state := b.ensureUpstream(u.ID)
	state.part = hostPart(a.limit, u, s)
	state.forget(now)
	places := state.part - b.lent(now, u.ID, "") + b.borrowed(now, u.ID)
	if state.used() < places {
		return 0
	}
	state.refused++
	state.recordUse(now, state.used()+1)
	if state.part == 0 {
		return window
	}
	if len(state.rejectedAt) == 0 {
		return retryDelay
	}
	return max(state.rejectedAt[0].Add(window).Sub(now), retryDelay)
}

func (b *Budget) ensureUpstream(id member.UpstreamID) *upstream {
	state := b.upstreams[id]
	if state == nil {
		if b.upstreams == nil {
			b.upstreams = map[member.UpstreamID]*upstream{}
		}
		state = &upstream{}
		b.upstreams[id] = state
	}
	return state
}

// hostPart returns how many requests and recent rejections this host may have at an upstream. If all of
// them together are as many as the upstream processes at once and may reject in a second, it has to
// reject no more than that. Where there are more hosts than that, only the first in the upstream's own
// order of hosts send to it.
func hostPart(limit int, u Upstream, s Site) int {
	total, hosts := u.Slots+limit, max(s.Hosts(), 1)
	part := total / hosts
	if s.Position(u.ID) < total%hosts {
		part++
	}
	return part
}

// forget drops the rejections that count no longer.
func (u *upstream) forget(now time.Time) {
	for len(u.rejectedAt) > 0 && now.Sub(u.rejectedAt[0]) >= window {
		u.rejectedAt = u.rejectedAt[1:]
	}
}

// used returns how many places the requests in flight and the rejections that count take.
func (u *upstream) used() int { return u.inFlight + len(u.rejectedAt) }

// recordUse updates the peak with a number of places that are used or wanted at the same time.
func (u *upstream) recordUse(now time.Time, places int) {
	switch age := now.Sub(u.peakSince); {
	case age >= 2*window:
		u.peak, u.lastPeak, u.peakSince = 0, 0, now
	case age >= window:
		u.peak, u.lastPeak, u.peakSince = 0, u.peak, now
	}
	u.peak = max(u.peak, places)
}

// recentPeak returns the most places that were used or wanted at once within the last window at least.
func (u *upstream) recentPeak(now time.Time) int {
	u.recordUse(now, u.used())
	return max(u.peak, u.lastPeak)
}

// isIdle reports whether nothing has to be remembered of the upstream.
func (u *upstream) isIdle(now time.Time) bool {
	u.forget(now)
	return u.recentPeak(now) == 0
}

// Ticket counts one request as in flight. The zero value counts nothing.
type Ticket struct{ id member.UpstreamID }

// Begin counts a request as in flight if it may be sent now; otherwise it returns how long to wait.
// With force, it is counted even if it may not be sent.
func (b *Budget) Begin(now time.Time, u Upstream, s Site, force bool) (Ticket, time.Duration) {
	if !b.active.Load() {
		return Ticket{}, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if wait := b.delay(now, u, s); wait > 0 && !force {
		return Ticket{}, wait
	}
	state := b.ensureUpstream(u.ID)
	state.inFlight++
	state.recordUse(now, state.used())
	return Ticket{u.ID}, 0
}

// End records that a request isn't in flight any more, and whether it was rejected.
func (b *Budget) End(now time.Time, t Ticket, rejected bool) {
	if t.id == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.upstreams[t.id]
	state.inFlight--
	if rejected {
		state.rejectedAt = append(state.rejectedAt, now)
	}
	state.forget(now)
}

// Prune drops what is over.
func (b *Budget) Prune(now time.Time) {
	if !b.active.Load() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, a := range b.services {
		if !a.holds(now) && now.Sub(a.endedAt) >= announcementLifetime {
			delete(b.services, service)
		}
	}
	for id, state := range b.upstreams {
		if state.isIdle(now) {
			delete(b.upstreams, id)
		}
	}
	maps.DeleteFunc(b.borrowers, func(_ member.HostID, to *borrower) bool { return now.Sub(to.heardAt) >= loanExpiry })
	b.active.Store(len(b.services) > 0 || len(b.upstreams) > 0)
}
