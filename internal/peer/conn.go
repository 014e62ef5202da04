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

// callError is the error that a peer's handler returned for a call. The connection stays up.
type callError struct {
	Message string
}

func (e *callError) Error() string { return "the peer returned an error: " + e.Message }

// conn is the dialer's end of one connection. It carries many concurrent calls.
type conn struct {
	netConn net.Conn
	// writing holds an element while a message is written. A channel, so that those who wait for it can
	// give up: a peer that doesn't read holds up a write for writeTimeout.
	writing chan struct{}

	mu     sync.Mutex
	nextID uint64
	// pending holds, by call ID, the channel that receives the reply. It is closed without a
	// reply if the connection ends.
	pending map[uint64]chan *frame
	// closeErr is the error that ended the connection; nil while it is up.
	closeErr error
	// down is set with closeErr. It is read without mu.
	down atomic.Bool
	// lastFrameAt is when the last frame was received.
	lastFrameAt time.Time

	// sentBytes and receivedBytes count the bytes of each direction; they are shared with other
	// connections.
	sentBytes, receivedBytes *atomic.Int64
}

func newConn(c net.Conn, sent, received *atomic.Int64) *conn {
	return &conn{netConn: c, writing: make(chan struct{}, 1), pending: map[uint64]chan *frame{}, sentBytes: sent, receivedBytes: received}
}

// readBufferBytes is the size of a connection's read buffer. Most messages are shorter, and a
// host has many connections.
const readBufferBytes = 1024

// writeTimeout bounds the write of one message: a connection whose peer doesn't read is closed
// after that time.
const writeTimeout = 2 * time.Second

// call sends a request, waits for its reply and decodes it into reply.
func (c *conn) call(ctx context.Context, k callKind, request, reply any) error {
	body, err := encode(request)
	if err != nil {
		return trace.Wrap(err)
	}
	sentAt := time.Now()
	id, answered, err := c.send(ctx, k, body)
	if err != nil {
		return err
	}
	select {
	case f, ok := <-answered:
		if !ok {
			return c.closeError()
		}
		return decodeReply(f, reply)
	case <-ctx.Done():
		c.abandon(time.Now(), id, sentAt, ctx.Err())
		return ctx.Err()
	}
}

// silenceTimeout is how long a connection may deliver nothing while a reply is due
// before it is closed. A connection can go silent for good without a reset, although
// new connections work. The kernel notices that only after minutes, and until then each
// host would place runs on the other's engines without the other seeing them. Hosts
// normally reply within a few milliseconds.
const silenceTimeout = 250 * time.Millisecond

var errLinkSilent = errors.New("the connection to the peer is silent")

// abandon removes a call whose context ended without a reply. It closes the connection if
// the call's deadline passed, at least silenceTimeout after it was sent, and no frame has
// been received since.
func (c *conn) abandon(now time.Time, id uint64, sentAt time.Time, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
	if errors.Is(cause, context.DeadlineExceeded) && now.Sub(sentAt) >= silenceTimeout && c.lastFrameAt.Before(sentAt) {
		c.fail(errLinkSilent)
	}
}

// decodeReply decodes the frame of a reply.
func decodeReply(f *frame, reply any) error {
	if f.Error != "" {
		return &callError{Message: f.Error}
	}
	return msgpack.Unmarshal(f.Body, reply)
}

// closeError returns the error that ended the connection.
func (c *conn) closeError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return trace.ConnectionProblem(c.closeErr, "the connection to the peer broke: %v", c.closeErr)
}

// send writes a request and returns its call ID and the channel that receives the reply.
func (c *conn) send(ctx context.Context, k callKind, body []byte) (uint64, <-chan *frame, error) {
	select {
	case c.writing <- struct{}{}:
		defer func() { <-c.writing }()
	case <-ctx.Done():
		return 0, nil, ctx.Err()
	}
	id, answered, err := c.register()
	if err != nil {
		return 0, nil, err
	}
	message, err := appendFrame(nil, &frame{ID: id, Kind: k, Body: body})
	if err != nil {
		c.unregister(id)
		return 0, nil, err
	}
	if err := writeMessage(c.netConn, message); err != nil {
		c.end(err)
		return 0, nil, err
	}
	c.sentBytes.Add(int64(len(message)))
	return id, answered, nil
}

// register returns the ID of a new call and the channel that receives its reply.
func (c *conn) register() (uint64, <-chan *frame, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeErr != nil {
		return 0, nil, c.closeErr
	}
	c.nextID++
	answered := make(chan *frame, 1)
	c.pending[c.nextID] = answered
	return c.nextID, answered, nil
}

func (c *conn) unregister(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// writeMessage writes a message within writeTimeout.
func writeMessage(conn net.Conn, message []byte) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return trace.Wrap(err)
	}
	if _, err := conn.Write(message); err != nil {
		return trace.Wrap(err)
	}
	return nil
}

// fail closes the connection and ends every pending call. c.mu must be held.
func (c *conn) fail(err error) {
	if c.closeErr != nil {
		return
	}
	c.closeErr = err
	c.down.Store(true)
	_ = c.netConn.Close()
	for id, answered := range c.pending {
		close(answered)
		delete(c.pending, id)
	}
}

// readReplies passes replies to their pending calls until the connection ends.
func (c *conn) readReplies() {
	reader := bufio.NewReaderSize(&countingReader{from: c.netConn, count: c.receivedBytes}, readBufferBytes)
	for {
		f, err := readFrame(reader)
		c.mu.Lock()
		if err != nil {
			c.fail(err)
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

func (c *conn) close() { c.end(net.ErrClosed) }

// end closes the connection because of an error.
func (c *conn) end(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail(err)
}

func (c *conn) isUp() bool { return !c.down.Load() }

// countedConn is a connection of a tunnel, whose bytes a Mesh counts.
type countedConn struct {
	net.Conn
	mesh *Mesh
}

// Read reads and counts bytes.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mesh.receivedBytes.Add(int64(n))
	return n, err
}

// Write writes and counts bytes.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mesh.sentBytes.Add(int64(n))
	return n, err
}

// countingReader adds the number of bytes read to count.
type countingReader struct {
	from  io.Reader
	count *atomic.Int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	r.count.Add(int64(n))
	return n, err
}
