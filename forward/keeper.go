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

// QuarantineStore keeps requests that are held.
type QuarantineStore interface {
	// Keep puts what is known of a request in place of what was kept of it.
	Keep(ctx context.Context, m quarantine.Mark) error
}

const (
	// saveQueueSize is how many requests may wait to be kept; a few are held in a day.
	saveQueueSize = 64
	// maxSaveAttempts bounds how often one is tried: some ten seconds of an origin that is down.
	maxSaveAttempts = 16
	// saveTimeout bounds one try.
	saveTimeout = time.Second
)

// queueSave has what is known of a request be kept. It doesn't wait.
func (f *Forwarder) queueSave(print quarantine.Fingerprint) {
	select {
	case f.fingerprintsToStore <- print:
	default:
		f.journal.HostEvent("not kept", "asks", print, "err", "too many wait")
	}
}

// queueHeldAgain has the requests that are held be kept again, which a restored origin may lack. One
// host does that for all.
func (f *Forwarder) queueHeldAgain(now time.Time) {
	for _, e := range f.crashes.Entries(now) {
		if e.Standing == quarantine.Held && f.peers.siteDutyHost(now, e.Request.String()) == f.peers.self.ID {
			f.queueSave(e.Request)
		}
	}
}

// RunQuarantineSaver keeps what is to be kept until the context ends.
func (f *Forwarder) RunQuarantineSaver(ctx context.Context, k QuarantineStore) {
	for {
		select {
		case <-ctx.Done():
			return
		case print := <-f.fingerprintsToStore:
			f.saveMark(ctx, k, print)
		}
	}
}

func (f *Forwarder) saveMark(ctx context.Context, k QuarantineStore, print quarantine.Fingerprint) {
	var err error
	for tries := range maxSaveAttempts {
		mark, known := f.crashes.Mark(f.now(), print)
		if !known {
			return
		}
		call, cancel := context.WithTimeout(ctx, saveTimeout)
		err = k.Keep(call, mark)
		cancel()
		if err == nil || ctx.Err() != nil {
			return
		}
		PauseFor(ctx, retryDelay(tries))
	}
	f.journal.HostEvent("not kept", "asks", print, "err", err)
}
