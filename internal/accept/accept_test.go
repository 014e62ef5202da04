// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package accept

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/intake"
)

// TestPersistentError checks that the error is reported once Accept has failed for a second, until
// a connection is accepted or no further failure follows.
func TestPersistentError(t *testing.T) {
	const step = 500 * time.Millisecond
	errTooManyFiles := errors.New("too many open files")
	for name, c := range map[string]struct {
		// accepts are the results of successive calls of Accept, one step apart.
		accepts []error
		after   time.Duration
		want    error
	}{
		"nothing came":              {nil, 0, nil},
		"taken":                     {[]error{nil, nil}, 0, nil},
		"one failure":               {[]error{errTooManyFiles}, 0, nil},
		"failures for a second":     {[]error{nil, errTooManyFiles, errTooManyFiles, errTooManyFiles}, 0, errTooManyFiles},
		"taken again":               {[]error{errTooManyFiles, errTooManyFiles, errTooManyFiles, nil}, 0, nil},
		"failures, then none since": {[]error{errTooManyFiles, errTooManyFiles, errTooManyFiles}, maxRetryInterval + time.Millisecond, nil},
		"failures, then silence":    {[]error{errTooManyFiles, errTooManyFiles, errTooManyFiles}, maxRetryInterval, errTooManyFiles},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, now := &Listener{}, time.Now()
			for _, err := range c.accepts {
				now = now.Add(step)
				l.recordAccept(now, err)
			}
			is.Equal(l.persistentErrorAt(now.Add(c.after)), c.want)
		})
	}
}

// TestIsolatedFailures checks that a failure long after the previous one begins a new series.
func TestIsolatedFailures(t *testing.T) {
	is := is.New(t)
	l, now := &Listener{}, time.Now()
	errTooManyFiles := errors.New("too many open files")
	l.recordAccept(now, errTooManyFiles)
	now = now.Add(time.Minute)
	l.recordAccept(now, errTooManyFiles)
	is.NoErr(l.persistentErrorAt(now))
}

// pipeListener returns the connections that are sent to it.
type pipeListener struct{ conns chan net.Conn }

func (l *pipeListener) Accept() (net.Conn, error) {
	c, open := <-l.conns
	if !open {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l *pipeListener) Close() error   { close(l.conns); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestConnectionsWaitForRoom guards against a connection that is closed although there is room a moment later, and
// against one that stays open when its listener is closed.
func TestConnectionsWaitForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const callers = 200
		events := &intakeEvents{}
		began := time.Now()
		var room atomic.Bool
		peers := func() (sent, received int64) {
			if room.Load() {
				return 0, 0
			}
			return int64(time.Since(began).Seconds() * 2000), 0
		}
		meter := &intake.Meter{Link: &intake.Link{Peers: peers}, BytesPerSecond: 1000, ProcessorShare: 0.1}
		go meter.Run(t.Context(), time.Now)
		time.Sleep(3 * time.Second)
		inner := &pipeListener{make(chan net.Conn)}
		l := &Listener{Listener: inner, Gate: &intake.Gate{Meter: meter, Observer: events}}
		var ends []io.Closer
		dial := func() <-chan error {
			near, far := net.Pipe()
			defer func() { ends = append(ends, near) }()
			inner.conns <- far
			closed := make(chan error, 1)
			go func() {
				_, err := near.Read(make([]byte, 1))
				closed <- err
			}()
			return closed
		}
		accepted := make(chan net.Conn, callers)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					close(accepted)
					return
				}
				accepted <- c
			}
		}()
		dial()
		<-accepted // one a second is taken in any case
		waits := 0
		for range callers {
			closed := dial()
			synctest.Wait()
			if len(closed) == 0 {
				waits++
			}
		}
		is.True(waits > 0 && waits < callers) // some are closed at once
		room.Store(true)
		time.Sleep(2 * intake.OfferInterval)
		synctest.Wait()
		is.Equal(len(accepted), waits)
		room.Store(false)
		time.Sleep(3 * time.Second)
		dial()
		<-accepted
		var late []<-chan error
		for range callers {
			late = append(late, dial())
		}
		is.NoErr(l.Close())
		time.Sleep(time.Second)
		for _, closed := range late {
			is.Equal(len(closed), 1)
		}
		for _, c := range ends {
			is.NoErr(c.Close())
		}
	})
}
