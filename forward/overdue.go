// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync"
	"time"

	"github.com/shedpath/shedpath/quarantine"
)

// MaxOverdue returns how long ago the deadline passed of the request in flight that is furthest past
// its own; zero if none is past its deadline.
func (f *Forwarder) MaxOverdue() time.Duration {
	now := f.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var longest time.Duration
	for x := range f.inFlight {
		if by := x.publishedDeadline.Load(); by != nil && !by.IsZero() {
			longest = max(longest, now.Sub(*by))
		}
	}
	return longest
}

// ProbeLocks takes and releases each lock that all requests depend on. It doesn't return while one of them
// is held. Before each, it calls at with the lock's name.
func (f *Forwarder) ProbeLocks(at func(lock string)) {
	now := f.now()
	for _, l := range []struct {
		name string
		take func()
	}{
		{"requests", func() { takeLock(&f.mu) }},
		{"upstreams", func() { takeLock(&f.fleet.mu) }},
		{"engines", func() { takeLock(&f.engines.mu) }},
		{"peers", func() { takeLock(&f.peers.mu) }},
		{"admissions", func() { takeLock(&f.admissions.mu) }},
		{"turns", func() { takeLock(&f.turns.mu) }},
		{"latencies", func() { takeLock(&f.plainChooser.mu) }},
		{"retries", func() { takeLock(&f.retries.mu) }},
		{"rollouts", func() { f.rollouts.Statuses(now) }},
		{"quarantine", func() { f.crashes.Mark(now, quarantine.Fingerprint{}) }},
		{"rejections", func() { f.rejections.Borrowed() }},
	} {
		at(l.name)
		l.take()
	}
}

func takeLock(l sync.Locker) {
	l.Lock()
	defer l.Unlock()
}
