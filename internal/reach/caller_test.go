// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package reach

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// newConnPair returns both ends of a TCP connection.
func newConnPair(tb testing.TB) (local, remote net.Conn) {
	tb.Helper()
	is := is.New(tb)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	remote, err = net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	local, err = listener.Accept()
	is.NoErr(err)
	tb.Cleanup(func() {
		_ = local.Close()
		_ = remote.Close()
	})
	return local, remote
}

// TestPeerClosed checks that a connection counts as closed by the peer only once the peer has closed
// it and everything that the peer sent has been read.
func TestPeerClosed(t *testing.T) {
	is := is.New(t)
	local, remote := newConnPair(t)
	is.True(!PeerClosed(local)) // the connection is open and has no data
	_, err := remote.Write([]byte("x"))
	is.NoErr(err)
	is.NoErr(remote.Close())
	is.True(!PeerClosed(local)) // a byte is left to read
	_, err = local.Read(make([]byte, 8))
	is.NoErr(err)
	_, err = local.Read(make([]byte, 8))
	is.Equal(err, io.EOF) // the close has arrived
	is.True(PeerClosed(local))
	is.NoErr(local.Close())
	is.True(PeerClosed(local)) // closed on this side, too
	is.True(!CallerDisconnected(t.Context()))
	is.True(CallerDisconnected(WithConn(t.Context(), local)))
}

// TestPeerClosedDuringRead checks that PeerClosed doesn't wait for a Read that blocks.
func TestPeerClosedDuringRead(t *testing.T) {
	is := is.New(t)
	local, remote := newConnPair(t)
	read := make(chan error, 1)
	go func() {
		_, err := local.Read(make([]byte, 1))
		read <- err
	}()
	is.True(!PeerClosed(local))
	is.NoErr(remote.Close())
	is.True(<-read != nil)
	is.True(PeerClosed(local))
}

// BenchmarkPeerClosed measures the cost that PeerClosed adds to each request.
func BenchmarkPeerClosed(b *testing.B) {
	local, _ := newConnPair(b)
	for b.Loop() {
		PeerClosed(local)
	}
}

// TestResetCaller guards against a connection that ends in an orderly way although its answer isn't whole.
func TestResetCaller(t *testing.T) {
	for name, wrap := range map[string]func(net.Conn) net.Conn{
		"TCP": func(c net.Conn) net.Conn { return c },
		"TLS": func(c net.Conn) net.Conn { return tls.Server(c, &tls.Config{MinVersion: tls.VersionTLS12}) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			local, remote := newConnPair(t)
			ResetCaller(WithConn(t.Context(), wrap(local)))
			_, err := remote.Read(make([]byte, 1))
			is.True(errors.Is(err, syscall.ECONNRESET))
		})
	}
	ResetCaller(t.Context()) // no connection
}
