// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package accept

import (
	"io"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// exhaustedListener fails with EMFILE while exhausted is set, like a listener in a process without
// a free file descriptor. Otherwise it returns a connection every 100 ms.
type exhaustedListener struct {
	exhausted atomic.Bool
	closed    chan struct{}
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.exhausted.Load() {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	case <-time.After(100 * time.Millisecond):
	}
	local, remote := net.Pipe()
	_ = remote.Close()
	return local, nil
}

func (l *exhaustedListener) Close() error {
	close(l.closed)
	return nil
}
func (l *exhaustedListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestPersistentErrorOfServer runs an http.Server, with net/http's own delays between retries, on a
// listener that fails. The error must be reported within 2.5 seconds, for as long as Accept fails,
// and no longer than two seconds after Accept works again.
func TestPersistentErrorOfServer(t *testing.T) {
	const maxDetectionTime = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		inner := &exhaustedListener{closed: make(chan struct{})}
		l := &Listener{Listener: inner}
		server := &http.Server{Handler: http.NotFoundHandler(), ErrorLog: stdlog.New(io.Discard, "", 0)}
		ended := make(chan error, 1)
		go func() { ended <- server.Serve(l) }()
		time.Sleep(5 * time.Second)
		is.NoErr(l.PersistentError())
		for range 3 {
			inner.exhausted.Store(true)
			time.Sleep(500 * time.Millisecond)
			is.NoErr(l.PersistentError()) // the failure may be temporary
			time.Sleep(maxDetectionTime)
			is.True(l.PersistentError() != nil)
			time.Sleep(10 * time.Second)
			is.True(l.PersistentError() != nil)
			inner.exhausted.Store(false)
			time.Sleep(maxDetectionTime)
			is.NoErr(l.PersistentError())
		}
		is.NoErr(server.Close())
		is.Equal(<-ended, http.ErrServerClosed)
	})
}
