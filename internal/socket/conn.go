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

// Conn is a TCP connection on which an end of the data is only reported if the other side sent one.
//
// Linux reports a failure of a connection, such as a reset, once: to whichever of read and write looks first. Later
// reads return an end of the data, which looks the same as that of a connection whose other side closed it. So if a Write
// was given the failure, Read returns it, too, in place of io.EOF. A reset after an end that has arrived is no failure. A
// time-out is one even then, if the end hadn't been read: the two can't be told apart.
//
// The end of the data is the end of the connection: a Write in progress then fails with os.ErrDeadlineExceeded, as does
// any later one.
type Conn struct {
	net.Conn

	// writing is held during a Write.
	writing sync.Mutex
	// failure is the failure of the connection that a Write was given; nil if there was none.
	failure error
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
	if c.failure == nil && isConnectionFailure(err) {
		c.failure = err
	}
	return n, err
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if failure := c.writeFailure(); failure != nil {
			err = failure
		}
	}
	return n, err
}

// writeFailure ends the Write in progress and returns the failure that this or an earlier one was given.
func (c *Conn) writeFailure() error {
	// A Write that waits for the other side would go on for as long as it doesn't read. The system call of one that was given a
	// failure has returned, which its deadline doesn't change. An error means that the connection is closed, and so is the Write.
	_ = c.SetWriteDeadline(time.Unix(0, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.failure
}

// isConnectionFailure reports whether an error of a write is that of the connection. EPIPE isn't: it says that the connection
// had ended before, by the end of the data or by a failure that was reported already.
func isConnectionFailure(err error) bool {
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
