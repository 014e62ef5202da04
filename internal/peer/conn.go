// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

// callError is what a peer's handler answered a call with.
type callError struct {
	Message string
}

func (e *callError) Error() string { return "the peer answered: " + e.Message }

// conn is the dialer's end of one connection, with many calls under way.
type conn struct {
	net net.Conn

	mu      sync.Mutex
	nextID  uint64
	pending map[uint64]chan *frame
	// closed is the error that ended the connection; nil while it is up.
	closed error
	// heard is when the last frame came.
	heard time.Time

	// sent and received count the bytes of both directions.
	sent, received *atomic.Int64
}

func newConn(c net.Conn, sent, received *atomic.Int64) *conn {
	return &conn{net: c, pending: map[uint64]chan *frame{}, sent: sent, received: received}
}

// readerBytes is read at once from a link. Most messages are shorter, and a host has many links.
const readerBytes = 1024

// writeTimeout is how long a peer may leave a full socket unread before the
// connection is given up.
const writeTimeout = 2 * time.Second

// call sends a request and waits for its reply.
func (c *conn) call(ctx context.Context, k kind, request, reply any) error {
	body, err := encode(request)
	if err != nil {
		return trace.Wrap(err)
	}
	sent := time.Now()
	id, answered, err := c.send(k, body)
	if err != nil {
		return err
	}
	select {
	case f, up := <-answered:
		return decodeReply(f, up, reply)
	case <-ctx.Done():
		c.abandon(time.Now(), id, sent, ctx.Err())
		return ctx.Err()
	}
}

// silentFor is how long a link may bring nothing, while an answer is due, before
// it is given up. Links can go silent for good without a reset while new ones work;
// the kernel would notice after minutes, and the hosts would place on each other's
// engines unseen for as long. Hosts answer each other within some milliseconds.
const silentFor = 250 * time.Millisecond

var errSilent = errors.New("the link to the peer is silent")

// abandon forgets a call that got no answer in time, and gives the link up if
// nothing has come over it since the call was sent.
func (c *conn) abandon(now time.Time, id uint64, sent time.Time, why error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
	if errors.Is(why, context.DeadlineExceeded) && now.Sub(sent) >= silentFor && c.heard.Before(sent) {
		c.fail(errSilent)
	}
}

func decodeReply(f *frame, up bool, reply any) error {
	switch {
	case !up:
		return trace.ConnectionProblem(nil, "the link to the peer broke")
	case f.Error != "":
		return &callError{Message: f.Error}
	default:
		return msgpack.Unmarshal(f.Body, reply)
	}
}

func (c *conn) send(k kind, body []byte) (uint64, <-chan *frame, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed != nil {
		return 0, nil, c.closed
	}
	c.nextID++
	id := c.nextID
	message, err := appendFrame(nil, &frame{ID: id, Kind: k, Body: body})
	if err != nil {
		return 0, nil, err
	}
	answered := make(chan *frame, 1)
	c.pending[id] = answered
	if err := writeWhole(c.net, message); err != nil {
		c.fail(err)
		return 0, nil, err
	}
	c.sent.Add(int64(len(message)))
	return id, answered, nil
}

func writeWhole(to net.Conn, message []byte) error {
	if err := to.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return trace.Wrap(err)
	}
	if _, err := to.Write(message); err != nil {
		return trace.Wrap(err)
	}
	return nil
}

// fail ends the connection and every call on it. The mutex is held.
func (c *conn) fail(err error) {
	if c.closed != nil {
		return
	}
	c.closed = err
	_ = c.net.Close()
	for id, answered := range c.pending {
		close(answered)
		delete(c.pending, id)
	}
}

// readReplies hands replies to their calls until the connection ends.
func (c *conn) readReplies() {
	reader := bufio.NewReaderSize(&countingReader{from: c.net, count: c.received}, readerBytes)
	for {
		f, err := readFrame(reader)
		c.mu.Lock()
		if err != nil {
			c.fail(trace.ConnectionProblem(err, "the link to the peer broke"))
			c.mu.Unlock()
			return
		}
		c.heard = time.Now()
		if answered := c.pending[f.ID]; answered != nil && f.Reply {
			delete(c.pending, f.ID)
			answered <- f
		}
		c.mu.Unlock()
	}
}

func (c *conn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail(net.ErrClosed)
}

func (c *conn) up() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed == nil
}

type countingReader struct {
	from  io.Reader
	count *atomic.Int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	r.count.Add(int64(n))
	return n, err
}
