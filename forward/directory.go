// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"time"
)

// Directory lists the hosts of the site. The origin's news tell who is on it.
type Directory interface {
	// Announce puts this host on the list for a time, or keeps it there.
	Announce(ctx context.Context, self Peer, ttl time.Duration) error
	// Withdraw takes this host off the list.
	Withdraw(ctx context.Context) error
}

// ListedHost is a host's entry in the directory.
type ListedHost struct {
	Peer
	// Revision is the list's when the entry was written.
	Revision Revision
}

// Timing of the directory. Hosts that know each other keep in touch by
// themselves; an entry is for those that start, so it may be late.
const (
	// directoryEvery is the period of renewing this host's entry, and
	// directoryTTL how long an entry stays without that.
	directoryEvery = 20 * time.Second
	directoryTTL   = 60 * time.Second
	// directoryRetry is the pause after a failed call. Refused calls have a
	// price, too.
	directoryRetry = 2 * time.Second
)

// RunDirectory keeps this host in the directory until the context ends.
func (f *Forwarder) RunDirectory(ctx context.Context, d Directory) {
	dep := dependency{name: "directory", journal: f.journal}
	for ctx.Err() == nil {
		if err := d.Announce(ctx, f.peers.self, directoryTTL); err != nil {
			pauseFor(ctx, dep.failed(ctx, err)+directoryRetry)
			continue
		}
		dep.ok(time.Now())
		pauseFor(ctx, directoryEvery)
	}
	leaving, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := d.Withdraw(leaving); err != nil {
		f.journal.Belief("directory entry not withdrawn", "err", err)
	}
}
