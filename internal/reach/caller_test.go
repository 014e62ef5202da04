// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package reach

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// newConnPair returns both ends of a connection.
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

// TestPeerClosed has a connection count as left once the other end has closed it and all that it
// sent was read.
func TestPeerClosed(t *testing.T) {
	is := is.New(t)
	local, remote := newConnPair(t)
	is.True(!PeerClosed(local)) // open and still
	_, err := remote.Write([]byte("x"))
	is.NoErr(err)
	is.NoErr(remote.Close())
	is.True(!PeerClosed(local)) // something is to be read
	_, err = local.Read(make([]byte, 8))
	is.NoErr(err)
	_, err = local.Read(make([]byte, 8))
	is.Equal(err, io.EOF) // the close has arrived
	is.True(PeerClosed(local))
	is.NoErr(local.Close())
	is.True(PeerClosed(local)) // closed at this end, too
	is.True(!CallerDisconnected(t.Context()))
	is.True(CallerDisconnected(WithConn(t.Context(), local)))
}

// TestPeerClosedDuringRead has the question be answered while the connection is read.
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

// BenchmarkPeerClosed is what each request pays for the question.
func BenchmarkPeerClosed(b *testing.B) {
	local, _ := newConnPair(b)
	for b.Loop() {
		PeerClosed(local)
	}
}
