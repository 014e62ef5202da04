// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package socket

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Conn is a TCP connection whose Read returns io.EOF only if the other side has closed its end.
//
// Linux reports a connection error, such as a reset, to a single call, which may be a read or a write. Reads after that
// return an end of file, as if the other side had closed the connection. So Read returns a connection error that a Write
// has received in place of io.EOF. A reset after the end of the data is no such error. A time-out is one even if the end had
// arrived, as long as it wasn't read: the kernel doesn't distinguish the two.
//
// Once Read has met the end of the data, a Write in progress and any later one fails with os.ErrDeadlineExceeded.
type Conn struct {
	net.Conn

	// writing is held during a Write.
	writing sync.Mutex
	// writeErr is the connection error that a Write has received; nil if there was none.
	writeErr error
}

// NewConn returns a Conn for a connection that has no deadline for writes.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// NetConn returns the connection beneath.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil && isConnectionError(err) {
		c.writeErr = err
	}
	return n, err
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if writeErr := c.stopWriting(); writeErr != nil {
			err = writeErr
		}
	}
	return n, err
}

// past is a deadline that is over at any time; the zero time would be none.
var past = time.Time{}.Add(1)

// stopWriting ends the Write in progress and returns the connection error that it or an earlier one has received.
func (c *Conn) stopWriting() error {
	// Without a deadline, a Write could wait for as long as the other side doesn't read. If the kernel has given it a connection
	// error, it returns that all the same. SetWriteDeadline only fails if the connection is closed, which ends the Write, too.
	_ = c.SetWriteDeadline(past)
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}

// isConnectionError reports whether a write failed because of the connection's state. EPIPE doesn't count: it means that the
// other side had closed the connection before, or that the error has been reported to another call.
func isConnectionError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// A DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a DialFunc whose connections are each a *Conn.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}
