// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package accept tells whether a listener takes connections.
package accept

import (
	"net"
	"sync"
	"time"

	"github.com/shedpath/shedpath/clock"
)

const (
	// maxRetryInterval is how soon net/http tries again at the latest where a connection can't
	// be taken (it waits 1 s at most), with half as much again for a busy machine. No
	// failure for longer says that one can be taken now, or waits to come.
	maxRetryInterval = 1500 * time.Millisecond
	// failureGracePeriod is how long a host goes on saying that it is ready while it takes none.
	// Descriptors that run out for a moment are no reason to send its callers elsewhere;
	// the platform asks each second, and some seconds of refusals are what callers bear.
	failureGracePeriod = time.Second
)

// Listener is a listener that notes whether connections can be taken: a process that has
// used up its descriptors answers on the connections that it has, and takes no other. Its
// zero value but for the listener works.
type Listener struct {
	net.Listener
	// Clock tells the present time; nil is the usual one.
	Clock *clock.Clock

	mu sync.Mutex
	// failingSince is when the first of a row of failures was, and lastAccept the newest one; zero
	// after a connection was taken.
	failingSince, lastAccept time.Time
	lastErr                  error
}

// Accept takes the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.recordAccept(l.Clock.Now(), err)
	return c, err
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

// PersistentError tells why no connection has been taken for a while; nil while they are.
func (l *Listener) PersistentError() error { return l.persistentErrorAt(l.Clock.Now()) }

func (l *Listener) persistentErrorAt(now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failingSince.IsZero() || now.Sub(l.lastAccept) > maxRetryInterval || now.Sub(l.failingSince) < failureGracePeriod {
		return nil
	}
	return l.lastErr
}
