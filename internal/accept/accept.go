// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package accept accepts connections as far as the host has room, and detects a listener that can't accept any.
package accept

import (
	"errors"
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

	// open makes the channels, start starts to accept for a Gate, and end closes ended.
	open, start, end sync.Once
	// results are what Accept returns if there is a Gate, until ended is closed.
	results chan acceptResult
	ended   chan struct{}

	mu sync.Mutex
	// failingSince is the time of the first failure of the current series; it is zero after
	// a connection was accepted. lastAccept is when Accept last returned, with lastErr.
	failingSince, lastAccept time.Time
	lastErr                  error
}

// acceptResult is what Accept returns.
type acceptResult struct {
	conn net.Conn
	err  error
}

// Accept waits for the next connection and records whether it could be accepted.
func (l *Listener) Accept() (net.Conn, error) {
	if l.Gate == nil {
		c, err := l.Listener.Accept()
		l.recordAccept(l.Clock.Now(), err)
		return c, err
	}
	l.open.Do(l.makeChannels)
	l.start.Do(func() { go l.acceptForGate() })
	select {
	case r := <-l.results:
		return r.conn, r.err
	case <-l.ended:
		return nil, net.ErrClosed
	}
}

func (l *Listener) makeChannels() { l.results, l.ended = make(chan acceptResult), make(chan struct{}) }

// acceptForGate accepts connections and offers them to the gate, until the listener is closed.
func (l *Listener) acceptForGate() {
	for {
		c, err := l.Listener.Accept()
		now := l.Clock.Now()
		l.recordAccept(now, err)
		switch {
		case errors.Is(err, net.ErrClosed):
			l.finish()
			return
		case err != nil:
			l.deliver(acceptResult{err: err})
		default:
			l.offer(now, c, 0)
		}
	}
}

// offer offers a connection to the gate, and again later if it is to wait.
func (l *Listener) offer(now time.Time, c net.Conn, offers int) {
	taken, wait := l.Gate.Take(now, c, offers)
	switch {
	case taken != nil:
		l.deliver(acceptResult{conn: taken})
	case wait:
		time.AfterFunc(intake.OfferInterval, func() { l.offer(l.Clock.Now(), c, offers+1) })
	}
}

// deliver has Accept return a result. A connection that comes too late for that is closed.
func (l *Listener) deliver(r acceptResult) {
	select {
	case l.results <- r:
	case <-l.ended:
		if r.conn != nil {
			// Nothing was read from it.
			_ = r.conn.Close()
		}
	}
}

// Close closes the listener, and the connections that still wait when they are offered again.
func (l *Listener) Close() error {
	l.open.Do(l.makeChannels)
	l.finish()
	return l.Listener.Close()
}

func (l *Listener) finish() { l.end.Do(func() { close(l.ended) }) }

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
