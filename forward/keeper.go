// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"time"

	"github.com/shedpath/shedpath/quarantine"
)

// What hosts know of requests that crash upstreams is in their memories. All of them may end
// at once, and the request goes on coming; so the ones that are held are kept with the
// origin, too, where a host that starts and finds no peer reads them.

// Keeper keeps requests that are held.
type Keeper interface {
	// Keep puts what is known of a request in place of what was kept of it.
	Keep(ctx context.Context, m quarantine.Mark) error
}

const (
	// keepRing is how many requests may wait to be kept; a few are held in a day.
	keepRing = 64
	// keepTries bounds how often one is tried: some ten seconds of an origin that is down.
	keepTries = 16
	// keepTimeout bounds one try.
	keepTimeout = time.Second
)

// keep has what is known of a request be kept. It doesn't wait.
func (f *Forwarder) keep(print quarantine.Fingerprint) {
	select {
	case f.fingerprintsToStore <- print:
	default:
		f.journal.HostEvent("not kept", "asks", print, "err", "too many wait")
	}
}

// rekeepHeld has the requests that are held be kept again, which a restored origin may lack. One
// host does that for all.
func (f *Forwarder) rekeepHeld(now time.Time) {
	for _, e := range f.crashes.Entries(now) {
		if e.Standing == quarantine.Held && f.peers.first(now, e.Request.String()) == f.peers.self.ID {
			f.keep(e.Request)
		}
	}
}

// RunKeeper keeps what is to be kept until the context ends.
func (f *Forwarder) RunKeeper(ctx context.Context, k Keeper) {
	for {
		select {
		case <-ctx.Done():
			return
		case print := <-f.fingerprintsToStore:
			f.keepOne(ctx, k, print)
		}
	}
}

func (f *Forwarder) keepOne(ctx context.Context, k Keeper, print quarantine.Fingerprint) {
	var err error
	for tries := range keepTries {
		mark, known := f.crashes.Mark(f.now(), print)
		if !known {
			return
		}
		call, cancel := context.WithTimeout(ctx, keepTimeout)
		err = k.Keep(call, mark)
		cancel()
		if err == nil || ctx.Err() != nil {
			return
		}
		PauseFor(ctx, failPause(tries))
	}
	f.journal.HostEvent("not kept", "asks", print, "err", err)
}
