// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"math/rand/v2"
	"time"
)

// Directory lists hosts of the site, for those that start. The origin's news tell who
// is on it.
type Directory interface {
	// Announce puts this host on the list for a time, or keeps it there.
	Announce(ctx context.Context, self Peer, ttl time.Duration) error
	// Withdraw takes this host off the list.
	Withdraw(ctx context.Context) error
}

// Timing of the directory. Hosts that know each other keep in touch by
// themselves; an entry is for those that start, so it may be late.
const (
	// directoryHostsPerZone is how many hosts of a zone are on the directory: the first by
	// name of those that each of them knows. Hosts that don't know of each other so
	// come to know: each has the first of its own kind on the list. With every host on
	// it, each start cost two writes and, at 195 hosts, four pages of every reading.
	directoryHostsPerZone = 2
	// directoryStartDelay is how long a host that starts gets to know its peers before it
	// may count as one of the first.
	directoryStartDelay = 1500 * time.Millisecond
	// directoryCheckInterval is how often a host that isn't on the list looks whether it
	// should be.
	directoryCheckInterval = 500 * time.Millisecond
	// directoryRenewInterval is the period of renewing this host's entry, and
	// directoryTTL how long an entry stays without that.
	directoryRenewInterval = 20 * time.Second
	directoryTTL           = 60 * time.Second
	// directoryRewriteWindow is within what time after a restore of the origin this host's entry is
	// written again, which a copy may lack.
	directoryRewriteWindow = 2 * time.Second
	// directoryRetryDelay is the pause after a failed call. Refused calls have a
	// price, too.
	directoryRetryDelay = 2 * time.Second
)

// RunDirectory keeps this host in the directory, while it is one of the first of its
// zone, until the context ends.
func (f *Forwarder) RunDirectory(ctx context.Context, d Directory) {
	dep := dependencyStatus{name: "directory", journal: f.journal, now: f.now}
	PauseFor(ctx, directoryStartDelay)
	var renewAt time.Time
	era := f.OriginEra()
	for ctx.Err() == nil {
		now := f.now()
		if known := f.OriginEra(); known != era {
			era = known
			if again := now.Add(rand.N(directoryRewriteWindow)); again.Before(renewAt) {
				renewAt = again
			}
		}
		if now.Before(renewAt) || f.Stopping() || !f.peers.isAmongFirstOfZone(now, directoryHostsPerZone) {
			PauseFor(ctx, directoryCheckInterval)
			continue
		}
		if err := d.Announce(ctx, f.peers.self, directoryTTL); err != nil {
			PauseFor(ctx, dep.recordFailure(ctx, err)+directoryRetryDelay)
			continue
		}
		dep.recordSuccess(f.now())
		renewAt = now.Add(directoryRenewInterval)
	}
	leaving, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := d.Withdraw(leaving); err != nil {
		f.journal.HostEvent("directory entry not withdrawn", "err", err)
	}
}

// isAmongFirstOfZone reports whether this host is one of the first n of its zone by name, of
// those that it knows to take requests.
func (p *peerSet) isAmongFirstOfZone(now time.Time, n int) bool {
	if at, divided := p.treePosition(now); divided {
		return at < n
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	before := 0
	for _, s := range p.known {
		if s.Zone == p.self.Zone && s.ID < p.self.ID && !s.stopping && s.live(now) {
			before++
		}
	}
	return before < n
}
