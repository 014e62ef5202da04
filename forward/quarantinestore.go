// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"time"

	"github.com/shedpath/shedpath/quarantine"
)

// Hosts know of requests that crash upstreams only in memory. All hosts may end at once while such a
// request is still being sent, so the requests held in quarantine are also saved with the origin,
// where a host that starts and finds no peer reads them.

// QuarantineStore saves requests that are held in quarantine.
type QuarantineStore interface {
	// Keep replaces what is saved about the mark's request by the mark.
	Keep(ctx context.Context, m quarantine.Mark) error
}

const (
	// saveQueueSize is how many requests may wait to be saved; only a few are held in a day.
	saveQueueSize = 64
	// maxSaveAttempts bounds the attempts to save a request: they bridge an outage of the origin of
	// some ten seconds.
	maxSaveAttempts = 16
	// saveTimeout bounds one attempt.
	saveTimeout = time.Second
)

// queueSave queues a request to be saved. It doesn't wait.
func (f *Forwarder) queueSave(fingerprint quarantine.Fingerprint) {
	select {
	case f.fingerprintsToStore <- fingerprint:
	default:
		f.journal.HostEvent("not kept", "asks", fingerprint, "err", "the queue of requests to be saved is full")
	}
}

// queueHeldAgain queues all held requests to be saved again, because a restored origin may lack
// them. One host does that for all.
func (f *Forwarder) queueHeldAgain(now time.Time) {
	for _, e := range f.crashes.Entries(now) {
		if e.Standing == quarantine.Held && f.peers.siteDutyHost(now, e.Request.String()) == f.peers.self.ID {
			f.queueSave(e.Request)
		}
	}
}

// RunQuarantineSaver saves the queued requests until the context ends.
func (f *Forwarder) RunQuarantineSaver(ctx context.Context, k QuarantineStore) {
	for {
		select {
		case <-ctx.Done():
			return
		case fingerprint := <-f.fingerprintsToStore:
			f.saveMark(ctx, k, fingerprint)
		}
	}
}

func (f *Forwarder) saveMark(ctx context.Context, k QuarantineStore, fingerprint quarantine.Fingerprint) {
	var err error
	for attempt := range maxSaveAttempts {
		mark, known := f.crashes.Mark(f.now(), fingerprint)
		if !known {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, saveTimeout)
		err = k.Keep(callCtx, mark)
		cancel()
		if err == nil || ctx.Err() != nil {
			return
		}
		PauseFor(ctx, retryDelay(attempt))
	}
	f.journal.HostEvent("not kept", "asks", fingerprint, "err", err)
}
