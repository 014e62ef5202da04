// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"time"
)

// Directory lists the hosts of the site.
type Directory interface {
	// Announce puts this host on the list for a time, or keeps it there.
	Announce(ctx context.Context, self Peer, ttl time.Duration) error
	// Withdraw takes this host off the list.
	Withdraw(ctx context.Context) error
	Hosts(ctx context.Context) ([]Peer, error)
}

// Timing of the directory.
const (
	// directoryEvery is the period of reading the directory, and directoryTTL
	// how long an entry stays without being renewed. New hosts make themselves
	// known by calling, so this is for what got lost.
	directoryEvery = 6 * time.Second
	directoryTTL   = 18 * time.Second
	// directorySoon is when the directory is read again after the start, for
	// hosts mostly start together.
	directorySoon = 500 * time.Millisecond
)

// RunDirectory keeps this host in the directory and learns the others from it,
// until the context ends.
func (f *Forwarder) RunDirectory(ctx context.Context, d Directory) {
	dep := dependency{name: "directory", journal: f.journal}
	pause := directorySoon
	for ctx.Err() == nil {
		err := d.Announce(ctx, f.peers.self, directoryTTL)
		var hosts []Peer
		if err == nil {
			hosts, err = d.Hosts(ctx)
		}
		if err != nil {
			dep.failed(ctx, err)
			pauseFor(ctx, directoryEvery/8)
			continue
		}
		dep.ok(time.Now())
		f.peers.list(time.Now(), hosts)
		pauseFor(ctx, pause)
		pause = min(2*pause, directoryEvery)
	}
	leaving, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := d.Withdraw(leaving); err != nil {
		f.journal.Belief("directory entry not withdrawn", "err", err)
	}
}
