// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"math/rand/v2"
	"time"
)

// Directory lists hosts of the site, for hosts that start. The origin's updates contain the listed
// hosts.
type Directory interface {
	// Announce lists this host for a time, or renews its entry.
	Announce(ctx context.Context, self Peer, ttl time.Duration) error
	// Withdraw removes this host's entry.
	Withdraw(ctx context.Context) error
}

// Timing of the directory. Hosts that know each other exchange shares directly; an entry serves
// hosts that start, so it may be late.
const (
	// directoryHostsPerZone is how many hosts of a zone are listed: the first by name among those
	// that each host knows. Groups of hosts that don't know each other find each other by that,
	// because each group lists its own first hosts. With every host listed, each start would cost
	// two writes, and each full read several pages more.
	directoryHostsPerZone = 2
	// directoryStartDelay gives a host that starts the time to find its peers before it may count
	// as one of the first.
	directoryStartDelay = 1500 * time.Millisecond
	// directoryCheckInterval is how often a host checks whether it has to write its entry.
	directoryCheckInterval = 500 * time.Millisecond
	// directoryRenewInterval is how often this host renews its entry, and directoryTTL how long an
	// entry lasts without renewal.
	directoryRenewInterval = 20 * time.Second
	directoryTTL           = 60 * time.Second
	// directoryRewriteWindow is the time after a restore of the origin within which this host
	// writes its entry again, because the backup may lack it.
	directoryRewriteWindow = 2 * time.Second
	// directoryRetryDelay is added to the pause after a failed call: refused calls have a cost,
	// too.
	directoryRetryDelay = 2 * time.Second
)

// RunDirectory keeps this host in the directory while it is among the first of its zone, until the
// context ends. Then it withdraws the entry.
func (f *Forwarder) RunDirectory(ctx context.Context, d Directory) {
	status := dependencyStatus{name: "directory", journal: f.journal, now: f.now}
	PauseFor(ctx, directoryStartDelay)
	var renewAt time.Time
	era := f.OriginEra()
	for ctx.Err() == nil {
		now := f.now()
		if current := f.OriginEra(); current != era {
			era = current
			if rewriteAt := now.Add(rand.N(directoryRewriteWindow)); rewriteAt.Before(renewAt) {
				renewAt = rewriteAt
			}
		}
		if now.Before(renewAt) || f.Stopping() || !f.peers.isAmongFirstOfZone(now, directoryHostsPerZone) {
			PauseFor(ctx, directoryCheckInterval)
			continue
		}
		if err := d.Announce(ctx, f.peers.self, directoryTTL); err != nil {
			PauseFor(ctx, status.recordFailure(ctx, err)+directoryRetryDelay)
			continue
		}
		status.recordSuccess(f.now())
		renewAt = now.Add(directoryRenewInterval)
	}
	withdrawCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := d.Withdraw(withdrawCtx); err != nil {
		f.journal.HostEvent("directory entry not withdrawn", "err", err)
	}
}

// isAmongFirstOfZone reports whether this host is among the first n of the hosts of its zone that
// are known to take requests. The order is that of the zone's tree where the zone is divided, else
// by name.
func (p *peerSet) isAmongFirstOfZone(now time.Time, n int) bool {
	if position, divided := p.treePosition(now); divided {
		return position < n
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
