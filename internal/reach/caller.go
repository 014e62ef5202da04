// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package reach checks whether the peer of a connection has closed it, and resets connections.
package reach

import (
	"context"
	"net"
	"syscall"
)

type connKey struct{}

// WithConn returns a context that holds a caller's connection for CallerDisconnected and
// ResetCaller. It is meant for the ConnContext of an http.Server.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// CallerDisconnected reports whether the caller of a request has closed its connection, as far
// as the local kernel knows. The request must have been read completely. net/http checks for a
// disconnect only while a handler runs: a request that lies unread until its caller has left
// would be sent on before net/http notices. The result is false if ctx holds no connection.
func CallerDisconnected(ctx context.Context) bool {
	c, known := ctx.Value(connKey{}).(net.Conn)
	return known && PeerClosed(c)
}

// ResetCaller resets the connection of a request's caller. HTTP/1.0 has no chunks, and an orderly
// close would end an answer without a length as if it were whole. It does nothing if ctx holds no
// TCP connection.
func ResetCaller(ctx context.Context) {
	c, known := ctx.Value(connKey{}).(net.Conn)
	if !known {
		return
	}
	if tcp, ok := unwrap(c).(*net.TCPConn); ok && tcp.SetLinger(0) == nil {
		// An error means that the connection is closed already.
		_ = tcp.Close()
	}
}

// unwrap returns the connection beneath those that wrap it, such as one of package tls.
func unwrap(c net.Conn) net.Conn {
	for {
		wrapped, isWrapped := c.(interface{ NetConn() net.Conn })
		if !isWrapped {
			return c
		}
		c = wrapped.NetConn()
	}
}

// PeerClosed reports whether the peer has closed its side of a connection or reset it, as far as
// the local kernel knows, and no data is left to read. It is also true if this side has closed
// the connection. It consumes no data, and it is false for a connection without a descriptor.
func PeerClosed(c net.Conn) bool {
	syscallConn, ok := unwrap(c).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	// raw.Control works while another goroutine is blocked in a Read of the connection;
	// raw.Read would wait for that Read to end. Control fails if this side has closed the
	// connection.
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = err == nil && n == 0 || err == syscall.ECONNRESET
	})
	return closed || err != nil
}
