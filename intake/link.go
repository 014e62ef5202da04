// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package intake

import (
	"net"
	"sync/atomic"
)

// headerBytes are the headers of a TCP segment on Ethernet, with timestamps. The bytes of one read or write
// count as one segment, and another one without data acknowledges it.
const headerBytes = 66

// Link counts the bytes on a host's network link. The zero value is ready to use. It is safe for
// concurrent use.
type Link struct {
	// Callers and Upstreams count the bytes exchanged with them.
	Callers, Upstreams Traffic
	// Peers returns the bytes exchanged with peers so far; nil counts none.
	Peers func() (sent, received int64)
}

// bytes returns how many bytes were sent and received so far.
func (l *Link) bytes() (sent, received int64) {
	if l.Peers != nil {
		sent, received = l.Peers()
	}
	for _, t := range []*Traffic{&l.Callers, &l.Upstreams} {
		s, r := t.Bytes()
		sent, received = sent+s, received+r
	}
	return sent, received
}

// Traffic counts the bytes of connections, with their headers. The zero value is ready to use. It is safe
// for concurrent use.
type Traffic struct {
	sent, received atomic.Int64
}

// Bytes returns how many bytes were sent and received so far.
func (t *Traffic) Bytes() (sent, received int64) { return t.sent.Load(), t.received.Load() }

// Count returns a connection whose bytes are counted.
func (t *Traffic) Count(c net.Conn) net.Conn { return &countedConn{Conn: c, traffic: t} }

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// NetConn returns the underlying connection.
func (c *countedConn) NetConn() net.Conn { return c.Conn }

// Read reads and counts bytes.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.traffic.received.Add(int64(n) + headerBytes)
		c.traffic.sent.Add(headerBytes)
	}
	return n, err
}

// Write writes and counts bytes.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.traffic.sent.Add(int64(n) + headerBytes)
		c.traffic.received.Add(headerBytes)
	}
	return n, err
}
