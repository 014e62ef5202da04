// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package intake

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// writeCheckInterval is how often a write that waits for room on the link checks whether there is some by now,
	// whether its connection was closed, and whether its deadline has passed. minWriteWait is the shortest wait.
	writeCheckInterval = 50 * time.Millisecond
	minWriteWait       = time.Millisecond
)

// allowance bounds the bytes of one direction of a connection that count as load.
type allowance struct {
	mu sync.Mutex
	// left is how many more bytes count, and at the grant by which it was computed.
	left, at int64
}

// take returns how many of n bytes count as load.
func (a *allowance) take(n, granted int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.left, a.at = min(a.left+granted-a.at, elasticBurst), granted
	counted := min(n, a.left)
	a.left -= counted
	return counted
}

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	traffic        *Traffic
	link           *Link
	sent, received allowance
	// limited says that what a long transfer sends waits for room on the link.
	limited bool
	// closed says that the connection was closed, and deadline is that of writes; nil or zero if there is none.
	closed   atomic.Bool
	deadline atomic.Pointer[time.Time]
}

// NetConn returns the underlying connection.
func (c *countedConn) NetConn() net.Conn { return c.Conn }

// Read reads and counts bytes.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.countReceived(int64(n) + headerBytes)
		c.countSent(headerBytes)
	}
	return n, err
}

// Write writes and counts bytes. Those of a long transfer wait until the link has room for them.
func (c *countedConn) Write(p []byte) (int, error) {
	if elastic := c.countSent(int64(len(p)) + headerBytes); elastic > 0 && c.limited {
		if err := c.waitForRoom(int(elastic)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.countReceived(headerBytes)
	}
	return n, err
}

// waitForRoom waits until a long transfer may send n more bytes. It ends with the connection, and at the deadline.
func (c *countedConn) waitForRoom(n int) error {
	for {
		now := time.Now()
		wait := c.link.takeElastic(now, n)
		if wait <= 0 {
			return nil
		}
		if c.closed.Load() {
			return net.ErrClosed
		}
		if deadline := c.deadline.Load(); deadline != nil && !deadline.IsZero() && !now.Before(*deadline) {
			return os.ErrDeadlineExceeded
		}
		time.Sleep(min(wait, writeCheckInterval))
	}
}

// SetDeadline sets the deadline of reads and writes.
func (c *countedConn) SetDeadline(t time.Time) error {
	c.deadline.Store(&t)
	return c.Conn.SetDeadline(t)
}

// SetWriteDeadline sets the deadline of writes.
func (c *countedConn) SetWriteDeadline(t time.Time) error {
	c.deadline.Store(&t)
	return c.Conn.SetWriteDeadline(t)
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// countSent counts n bytes, and returns how many of them are those of a long transfer.
func (c *countedConn) countSent(n int64) (elastic int64) {
	load := c.sent.take(n, c.link.granted.Load())
	c.traffic.sent.Add(n)
	c.traffic.sentLoad.Add(load)
	return n - load
}

func (c *countedConn) countReceived(n int64) {
	c.traffic.received.Add(n)
	c.traffic.receivedLoad.Add(c.received.take(n, c.link.granted.Load()))
}
