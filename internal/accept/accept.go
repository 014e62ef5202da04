// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package accept detects a listener that can't accept connections.
package accept

import (
	"net"
	"sync"
	"time"

	"github.com/shedpath/shedpath/clock"
	"github.com/shedpath/shedpath/intake"
)

const (
	// maxRetryInterval bounds the time between two failures of one series: net/http retries
	// a failed Accept after at most 1 s, and a busy machine may need half as much again. If
	// no failure follows for longer, Accept waits for a connection or has accepted one.
	maxRetryInterval = 1500 * time.Millisecond
	// failureGracePeriod is how long Accept may fail while the host still reports itself
	// ready. A short lack of file descriptors is no reason to send callers elsewhere: the
	// platform checks readiness every second, and callers tolerate a few seconds of refusals.
	failureGracePeriod = time.Second
)

// Listener wraps a net.Listener and records whether Accept succeeds. A process that has
// used up its file descriptors still answers on its open connections, but can't accept
// another. Only the embedded Listener has to be set.
type Listener struct {
	net.Listener
	// Clock is the source of the current time; nil means the system clock.
	Clock *clock.Clock
	// Gate closes connections for which the host has no room; nil closes none.
	Gate *intake.Gate

	mu sync.Mutex
	// failingSince is the time of the first failure of the current series; it is zero after
	// a connection was accepted. lastAccept is when Accept last returned, with lastErr.
	failingSince, lastAccept time.Time
	lastErr                  error
}

// Accept waits for the next connection and records whether it could be accepted.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		now := l.Clock.Now()
		l.recordAccept(now, err)
		if err != nil || l.Gate == nil {
			return c, err
		}
		if taken := l.Gate.Take(now, c); taken != nil {
			return taken, nil
		}
	}
}

func (l *Listener) recordAccept(now time.Time, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.failingSince = time.Time{}
	case l.failingSince.IsZero() || now.Sub(l.lastAccept) > maxRetryInterval:
		l.failingSince = now
	}
	l.lastAccept, l.lastErr = now, err
}

// PersistentError returns the last error of Accept if Accept has failed for at least
// failureGracePeriod, and nil otherwise.
func (l *Listener) PersistentError() error { return l.persistentErrorAt(l.Clock.Now()) }

func (l *Listener) persistentErrorAt(now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failingSince.IsZero() || now.Sub(l.lastAccept) > maxRetryInterval || now.Sub(l.failingSince) < failureGracePeriod {
		return nil
	}
	return l.lastErr
}
