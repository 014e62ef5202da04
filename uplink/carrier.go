// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package uplink

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"

	"github.com/shedpath/shedpath/member"
)

// maxCarried bounds the connections that a host carries for its peers at once.
const maxCarried = 512

// Carrier connects to upstreams for peers that don't reach them. It is safe for concurrent use.
type Carrier struct {
	Dialer *Dialer
	// Authorize returns the upstream with its address as this host knows it. The error is ErrDenied
	// if this host may not send to it.
	Authorize func(t Target) (Target, error)
	// Carried records a connection that a peer asked for and its result.
	Carried func(from member.HostID, t Target, err error)

	mu       sync.Mutex
	active   int
	stopping bool
	// idle is closed when the carrier stops and carries nothing; nil before Stop.
	idle chan struct{}
}

// Connect connects to an upstream for a peer, over the own link only. Closing the connection
// releases its place. The error is one of those of a peer that was asked.
func (c *Carrier) Connect(ctx context.Context, from member.HostID, t Target) (net.Conn, error) {
	conn, err := c.connect(ctx, &t)
	c.Carried(from, t, err)
	return conn, err
}

func (c *Carrier) connect(ctx context.Context, t *Target) (net.Conn, error) {
	if !c.acquire() {
		return nil, ErrBusy
	}
	known, err := c.Authorize(*t)
	if err != nil {
		c.release()
		return nil, err
	}
	*t = known
	conn, err := c.Dialer.DialDirect(ctx, known)
	if err != nil {
		c.release()
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, ErrPortClosed
		}
		return nil, ErrUnreachable
	}
	return &carriedConn{Conn: conn, release: sync.OnceFunc(c.release)}, nil
}

func (c *Carrier) acquire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping || c.active >= maxCarried {
		return false
	}
	c.active++
	return true
}

func (c *Carrier) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active--
	if c.stopping && c.active == 0 {
		close(c.idle)
	}
}

// Active returns the number of connections that are carried.
func (c *Carrier) Active() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active
}

// Stop refuses further connections, and waits until none is carried or the context ends.
func (c *Carrier) Stop(ctx context.Context) {
	c.mu.Lock()
	if !c.stopping {
		c.stopping, c.idle = true, make(chan struct{})
		if c.active == 0 {
			close(c.idle)
		}
	}
	idle := c.idle
	c.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

// carriedConn is a connection that holds a place of a Carrier.
type carriedConn struct {
	net.Conn
	release func()
}

// Close closes the connection and releases its place.
func (c *carriedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
