// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package intake

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// headerBytes are the headers of a TCP segment on Ethernet, with timestamps. The bytes of one read or write
	// count as one segment, and another one without data acknowledges it.
	headerBytes = 66
	// elasticShare is the part of the link's rate up to which a long transfer counts as load. It takes more if it
	// gets more, but yields that to other connections.
	elasticShare = 1.0 / 64
	// elasticBurst is how many bytes of a connection count in full before it is a long transfer.
	elasticBurst = 256 << 10
	// elasticCeiling is the part of the link's rate up to which long transfers fill the link, and minElasticRate what
	// they get in any case, all of them together.
	elasticCeiling, minElasticRate = 0.8, 0.05
	// writeCheckInterval is how often a write that waits for its turn checks whether its connection was closed or its
	// deadline has passed.
	writeCheckInterval = 50 * time.Millisecond
)

// Link counts the bytes on a host's network link. The zero value is ready to use. It is safe for
// concurrent use.
type Link struct {
	// Callers, Upstreams and Tunnels count the bytes exchanged with them.
	Callers, Upstreams, Tunnels Traffic
	// Peers returns the bytes exchanged with peers so far, apart from tunnels; nil counts none.
	Peers func() (sent, received int64)

	// granted is how many bytes a long transfer may have counted as load so far, in each direction.
	granted atomic.Int64
	// elastic limits what long transfers send to callers and peers; nil if the rate of the link isn't known.
	elastic atomic.Pointer[rate.Limiter]
}

// CountCaller returns a caller's connection with its bytes counted. What a long answer sends waits while the link has
// no room for it.
func (l *Link) CountCaller(c net.Conn) net.Conn { return l.count(&l.Callers, c, true) }

// CountUpstream returns an upstream's connection with its bytes counted.
func (l *Link) CountUpstream(c net.Conn) net.Conn { return l.count(&l.Upstreams, c, false) }

// CountTunnel returns a tunnel's connection with its bytes counted. What a long answer sends waits like that to a
// caller.
func (l *Link) CountTunnel(c net.Conn) net.Conn { return l.count(&l.Tunnels, c, true) }

func (l *Link) count(t *Traffic, c net.Conn, limited bool) net.Conn {
	granted := l.granted.Load()
	return &countedConn{
		Conn: c, traffic: t, link: l, limited: limited,
		sent: allowance{left: elasticBurst, at: granted}, received: allowance{left: elasticBurst, at: granted},
	}
}

// grant adds to what long transfers may have counted, and adjusts what they may send to what the other traffic leaves
// of the link.
func (l *Link) grant(now time.Time, bytesPerSecond float64, since time.Duration, use float64) {
	l.granted.Add(int64(elasticShare * bytesPerSecond * since.Seconds()))
	limit := rate.Limit(max(elasticCeiling-use, minElasticRate) * bytesPerSecond)
	if limiter := l.elastic.Load(); limiter != nil {
		limiter.SetLimitAt(now, limit)
	} else if bytesPerSecond > 0 {
		l.elastic.Store(rate.NewLimiter(limit, elasticBurst))
	}
}

// load returns how many bytes were sent and received so far that count as load.
func (l *Link) load() (sent, received int64) {
	if l.Peers != nil {
		sent, received = l.Peers()
	}
	for _, t := range []*Traffic{&l.Callers, &l.Upstreams, &l.Tunnels} {
		sent, received = sent+t.sentLoad.Load(), received+t.receivedLoad.Load()
	}
	return sent, received
}

// Traffic counts the bytes of connections, with their headers. The zero value is ready to use. It is safe
// for concurrent use.
type Traffic struct {
	sent, received         atomic.Int64
	sentLoad, receivedLoad atomic.Int64
}

// Bytes returns how many bytes were sent and received so far.
func (t *Traffic) Bytes() (sent, received int64) { return t.sent.Load(), t.received.Load() }

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
	limiter := c.link.elastic.Load()
	if limiter == nil {
		return nil
	}
	now := time.Now()
	until := now.Add(limiter.ReserveN(now, min(n, elasticBurst)).DelayFrom(now))
	for ; now.Before(until); now = time.Now() {
		if c.closed.Load() {
			return net.ErrClosed
		}
		if deadline := c.deadline.Load(); deadline != nil && !deadline.IsZero() && !now.Before(*deadline) {
			return os.ErrDeadlineExceeded
		}
		time.Sleep(min(until.Sub(now), writeCheckInterval))
	}
	return nil
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
