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
	netConn net.Conn

	mu      sync.Mutex
	nextID  uint64
	pending map[uint64]chan *frame
	// closeErr is the error that ended the connection; nil while it is up.
	closeErr error
	// lastFrameAt is when the last frame came.
	lastFrameAt time.Time

	// sentBytes and receivedBytes count the bytes of both directions.
	sentBytes, receivedBytes *atomic.Int64
}

func newConn(c net.Conn, sent, received *atomic.Int64) *conn {
	return &conn{netConn: c, pending: map[uint64]chan *frame{}, sentBytes: sent, receivedBytes: received}
}

// readBufferBytes is read at once from a link. Most messages are shorter, and a host has many links.
const readBufferBytes = 1024

// writeTimeout is how long a peer may leave a full socket unread before the
// connection is given up.
const writeTimeout = 2 * time.Second

// call sends a request and waits for its reply.
func (c *conn) call(ctx context.Context, k callKind, request, reply any) error {
	body, err := encode(request)
	if err != nil {
		return trace.Wrap(err)
	}
	sentAt := time.Now()
	id, answered, err := c.send(k, body)
	if err != nil {
		return err
	}
	select {
	case f, ok := <-answered:
		return decodeReply(f, ok, reply)
	case <-ctx.Done():
		c.abandon(time.Now(), id, sentAt, ctx.Err())
		return ctx.Err()
	}
}

// silenceTimeout is how long a link may bring nothing, while an answer is due, before
// it is given up. Links can go silent for good without a reset while new ones work;
// the kernel would notice after minutes, and the hosts would place on each other's
// engines unseen for as long. Hosts answer each other within some milliseconds.
const silenceTimeout = 250 * time.Millisecond

var errLinkSilent = errors.New("the link to the peer is silent")

// abandon forgets a call that got no answer in time, and gives the link up if
// nothing has come over it since the call was sent.
func (c *conn) abandon(now time.Time, id uint64, sentAt time.Time, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
	if errors.Is(cause, context.DeadlineExceeded) && now.Sub(sentAt) >= silenceTimeout && c.lastFrameAt.Before(sentAt) {
		c.fail(errLinkSilent)
	}
}

func decodeReply(f *frame, ok bool, reply any) error {
	switch {
	case !ok:
		return trace.ConnectionProblem(nil, "the link to the peer broke")
	case f.Error != "":
		return &callError{Message: f.Error}
	default:
		return msgpack.Unmarshal(f.Body, reply)
	}
}

func (c *conn) send(k callKind, body []byte) (uint64, <-chan *frame, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeErr != nil {
		return 0, nil, c.closeErr
	}
	c.nextID++
	id := c.nextID
	message, err := appendFrame(nil, &frame{ID: id, Kind: k, Body: body})
	if err != nil {
		return 0, nil, err
	}
	answered := make(chan *frame, 1)
	c.pending[id] = answered
	if err := writeMessage(c.netConn, message); err != nil {
		c.fail(err)
		return 0, nil, err
	}
	c.sentBytes.Add(int64(len(message)))
	return id, answered, nil
}

func writeMessage(conn net.Conn, message []byte) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return trace.Wrap(err)
	}
	if _, err := conn.Write(message); err != nil {
		return trace.Wrap(err)
	}
	return nil
}

// fail ends the connection and every call on it. The mutex is held.
func (c *conn) fail(err error) {
	if c.closeErr != nil {
		return
	}
	c.closeErr = err
	_ = c.netConn.Close()
	for id, answered := range c.pending {
		close(answered)
		delete(c.pending, id)
	}
}

// readReplies hands replies to their calls until the connection ends.
func (c *conn) readReplies() {
	reader := bufio.NewReaderSize(&countingReader{from: c.netConn, count: c.receivedBytes}, readBufferBytes)
	for {
		f, err := readFrame(reader)
		c.mu.Lock()
		if err != nil {
			c.fail(trace.ConnectionProblem(err, "the link to the peer broke"))
			c.mu.Unlock()
			return
		}
		c.lastFrameAt = time.Now()
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

func (c *conn) isUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeErr == nil
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
