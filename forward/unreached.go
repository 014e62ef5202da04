// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shedpath/shedpath/member"
)

const (
	// unreachedCheckInterval is the time between two checks of an upstream that wasn't reached.
	unreachedCheckInterval = 800 * time.Millisecond
	// unreachedCheckTick is how often this host looks for checks that are due.
	unreachedCheckTick = 100 * time.Millisecond
	// unreachedCheckTimeout bounds one check. Connecting through a peer may take that long.
	unreachedCheckTimeout = 500 * time.Millisecond
	// minChecksPerTick is how many checks start in one tick. The number doubles after a tick in which an upstream
	// was reached, up to maxChecksPerTick: after a broken link all of its upstreams are back at once.
	minChecksPerTick = 2
	maxChecksPerTick = 32
	// maxChecksPending bounds the checks under way.
	maxChecksPending = 64
)

// unreachedState is what a host knows of an upstream that it couldn't connect to. The zero value stands for an
// upstream that was reached or never tried.
type unreachedState struct {
	// since is when the first connection failed; zero for an upstream that isn't unreached.
	since time.Time
	// checkAt is when this host checks the upstream next.
	checkAt time.Time
}

// MarkUnreached records that this host couldn't connect to an upstream. The upstream gets no new work from this
// host until a check or a request reaches it, unless no other is available. It reports whether the upstream was
// reached or untried before. A broken link also refuses connections, so this says nothing about other hosts.
func (f *Fleet) MarkUnreached(now time.Time, id member.UpstreamID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.upstreams[id]
	if k == nil || k.Leaving {
		return false
	}
	isNew := k.unreached.since.IsZero()
	if isNew {
		k.unreached.since = now
	}
	k.unreached.checkAt = now.Add(unreachedCheckInterval)
	f.mayHaveUnreached = true
	k.suspectUntil = laterOf(k.suspectUntil, now.Add(suspectDuration))
	f.notify(true)
	return isNew
}

// MarkReached records that this host connected to an upstream, and returns for how long it had not; zero if the
// upstream wasn't unreached. A connection to an earlier address or incarnation has no effect.
func (f *Fleet) MarkReached(now time.Time, u Upstream) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.upstreams[u.ID]
	if k == nil || k.unreached.since.IsZero() || k.Address != u.Address || k.Incarnation != u.Incarnation {
		return 0
	}
	unreachedFor := now.Sub(k.unreached.since)
	k.unreached, k.suspectUntil = unreachedState{}, k.ownFailingUntil
	f.notify(true)
	return max(unreachedFor, 1)
}

// UnreachedCount returns the number of upstreams that get no new work because this host can't connect to them.
func (f *Fleet) UnreachedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, k := range f.upstreams {
		if !k.unreached.since.IsZero() && !k.Leaving {
			n++
		}
	}
	return n
}

// hasUnreached reports whether some upstream may be unreached. The mutex must be held.
func (f *Fleet) hasUnreached() bool { return f.mayHaveUnreached }

// awaitChecks waits until there is something to check, and reports false if the context has ended. has must only read
// the fleet.
func (f *Fleet) awaitChecks(ctx context.Context, has func(*Fleet) bool) bool {
	for ctx.Err() == nil {
		changed := f.Changed()
		f.mu.Lock()
		found := has(f)
		f.mu.Unlock()
		if found {
			return true
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return false
}

// dueChecks returns at most limit upstreams whose check is due, the longest due first, and schedules their next
// checks.
func (f *Fleet) dueChecks(now time.Time, limit int) []Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	var due []*knownUpstream
	f.mayHaveUnreached = false
	for _, k := range f.upstreams {
		if k.unreached.since.IsZero() {
			continue
		}
		f.mayHaveUnreached = true
		if !k.Leaving && !k.unusable && !now.Before(k.unreached.checkAt) {
			due = append(due, k)
		}
	}
	slices.SortFunc(due, func(a, b *knownUpstream) int {
		return cmp.Or(a.unreached.checkAt.Compare(b.unreached.checkAt), compareUpstreamIDs(a.Upstream, b.Upstream))
	})
	var checks []Upstream
	for _, k := range due[:min(len(due), limit)] {
		k.unreached.checkAt = now.Add(unreachedCheckInterval)
		checks = append(checks, k.Upstream)
	}
	return checks
}

// runUnreachedChecks checks the upstreams that this host couldn't connect to until the context ends.
func (f *Forwarder) runUnreachedChecks(ctx context.Context) {
	var checks sync.WaitGroup
	defer checks.Wait()
	var pending, reached atomic.Int64
	limit := minChecksPerTick
	for f.fleet.awaitChecks(ctx, (*Fleet).hasUnreached) {
		PauseFor(ctx, unreachedCheckTick)
		if reached.Swap(0) > 0 {
			limit = min(2*limit, maxChecksPerTick)
		} else {
			limit = minChecksPerTick
		}
		for _, u := range f.fleet.dueChecks(f.now(), min(limit, maxChecksPending-int(pending.Load()))) {
			pending.Add(1)
			checks.Go(func() {
				defer pending.Add(-1)
				f.tasks.Do("unreached upstream", func() {
					if f.checkUnreached(ctx, u) {
						reached.Add(1)
					}
				})
			})
		}
	}
}

// checkUnreached reports whether this host connects to an upstream, over its own link or through a peer.
func (f *Forwarder) checkUnreached(ctx context.Context, u Upstream) bool {
	if !f.fleet.InService(u.Zone) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, unreachedCheckTimeout)
	defer cancel()
	// The error is that of the failed connection, which has been logged.
	if _, err := f.transport.CheckReachable(ctx, u); err != nil {
		return false
	}
	f.recordReached(u)
	return true
}

// recordUnreached records that a request couldn't be sent to an upstream.
func (f *Forwarder) recordUnreached(now time.Time, u Upstream, err error) {
	if f.fleet.MarkUnreached(now, u.ID) {
		f.journal.HostEvent("upstream not reached", "upstream", u.ID, "service", u.Service, "zone", u.Zone, "err", err)
	}
}

// recordReached records that this host connected to an upstream.
func (f *Forwarder) recordReached(u Upstream) {
	if unreachedFor := f.fleet.MarkReached(f.now(), u); unreachedFor > 0 {
		f.journal.HostEvent("upstream reached again", "upstream", u.ID, "service", u.Service, "zone", u.Zone, "after", unreachedFor)
	}
}
