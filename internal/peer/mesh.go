// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"github.com/shedpath/shedpath/clock"
	"github.com/shedpath/shedpath/internal/supervise"
	"github.com/shedpath/shedpath/member"
)

// Mesh holds the connections to the peers. Each peer is dialled at the first call to it. Use
// NewMesh.
type Mesh struct {
	self member.HostID
	key  []byte
	// clock is the clock of the moments in messages, which are sent as the time until them; nil
	// for the usual clock.
	clock *clock.Clock

	mu    sync.Mutex
	conns map[string]*conn
	// dialing holds the dials under way, by address.
	dialing map[string]*dial
	// closed is set by Close.
	closed bool
	// readers are the goroutines that read the replies of dialled connections.
	readers conc.WaitGroup
	// carrier connects to upstreams for peers; nil refuses to.
	carrier TunnelCarrier
	// countTunnel returns a tunnel's connection with its bytes counted.
	countTunnel func(net.Conn) net.Conn
	configs     configPacker
	lists       listPacker
	// tasks runs what serves connections and calls.
	tasks supervise.Report

	sentBytes, receivedBytes atomic.Int64
}

// Option configures a Mesh.
type Option func(*Mesh)

// WithClock sets the clock by which moments are encoded and decoded. The default is the usual
// clock.
func WithClock(c *clock.Clock) Option { return func(m *Mesh) { m.clock = c } }

// WithTasks sets what reports panics in serving a connection or a call.
func WithTasks(r supervise.Report) Option { return func(m *Mesh) { m.tasks = r } }

// NewMesh returns a mesh without connections.
func NewMesh(self member.HostID, key []byte, opts ...Option) *Mesh {
	m := &Mesh{self: self, key: key, conns: map[string]*conn{}, dialing: map[string]*dial{}}
	m.countTunnel = func(c net.Conn) net.Conn { return &countedConn{c, m} }
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Bytes returns how many bytes were sent and received so far, on both dialled and
// accepted connections.
func (m *Mesh) Bytes() (sent, received int64) { return m.sentBytes.Load(), m.receivedBytes.Load() }

// Close closes the dialled connections and waits for their readers.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	for _, c := range m.conns {
		c.close()
	}
	m.mu.Unlock()
	m.readers.Wait()
}

const dialTimeout = time.Second

// call sends a request to the peer at an address and decodes its reply.
func (m *Mesh) call(ctx context.Context, address string, k callKind, request, reply any) error {
	c, err := m.connect(ctx, address)
	if err != nil {
		return err
	}
	return c.call(ctx, k, request, reply)
}

// dial is one attempt to open a connection. conn and err are set before done is closed.
type dial struct {
	done chan struct{}
	conn *conn
	err  error
}

// connect returns the connection to an address. If there is none, it waits for a dial until that or the
// context ends. The dial goes on without its callers, because a peer that is suspended still accepts
// connections and then says nothing.
func (m *Mesh) connect(ctx context.Context, address string) (*conn, error) {
	m.mu.Lock()
	if c := m.conns[address]; c != nil && c.isUp() {
		m.mu.Unlock()
		return c, nil
	}
	d := m.dialing[address]
	if d == nil {
		d = &dial{done: make(chan struct{})}
		m.dialing[address] = d
		go m.dial(d, address)
	}
	m.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dial opens a connection, stores it and starts its reader.
func (m *Mesh) dial(d *dial, address string) {
	defer close(d.done)
	d.err = errDialPanicked
	m.tasks.Do("peer dial", func() { d.conn, d.err = m.openConn(context.Background(), address) })
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.dialing, address)
	if d.err != nil {
		return
	}
	if m.closed {
		d.conn.close()
		return
	}
	m.conns[address] = d.conn
	m.readers.Go(func() {
		if !m.tasks.Do("peer replies", d.conn.readReplies) {
			// Without its reader the connection would leave each call without a reply.
			d.conn.close()
		}
	})
}

var errDialPanicked = errors.New("the dial panicked")

// openConn dials an address and performs the handshake.
func (m *Mesh) openConn(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	link, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "dialling peer %s", address)
	}
	if err := handshakeAsDialer(link, m.key, m.self); err != nil {
		_ = link.Close()
		return nil, trace.Wrap(err, "handshake with peer %s", address)
	}
	return newConn(link, &m.sentBytes, &m.receivedBytes), nil
}

// callHandler handles one call and returns the value to send as the reply.
type callHandler func(ctx context.Context, from member.HostID, k callKind, body []byte) (any, error)

// maxCallsPerConn bounds the concurrent calls of one accepted connection.
const maxCallsPerConn = 256

// serve accepts connections until the context ends or the listener fails, and waits
// for their calls to end. For each connection it calls onRefused if the handshake fails or a message
// is malformed, and onDisconnect when one ends after its handshake.
func (m *Mesh) serve(ctx context.Context, listener net.Listener, handle callHandler, onDisconnect func(member.HostID), onRefused func(error)) error {
	var connections conc.WaitGroup
	defer connections.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	connections.Go(func() {
		<-ctx.Done()
		_ = listener.Close()
	})
	for {
		link, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return trace.Wrap(err)
		}
		connections.Go(func() {
			defer link.Close()
			m.tasks.Do("peer connection", func() {
				from, err := m.serveConn(ctx, link, handle)
				if err != nil {
					onRefused(err)
				}
				if from != "" {
					onDisconnect(from)
				}
			})
		})
	}
}

// serveConn serves one peer until its connection ends, and returns the peer's name; empty if the handshake
// failed. Only that and a malformed message are errors, because connections break regularly.
func (m *Mesh) serveConn(ctx context.Context, link net.Conn, handle callHandler) (member.HostID, error) {
	from, err := handshakeAsAcceptor(link, m.key)
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = link.Close() })
	var calls conc.WaitGroup
	defer calls.Wait()
	defer cancel()
	defer stop()
	var writeLock sync.Mutex
	slots := make(chan struct{}, maxCallsPerConn)
	reader := bufio.NewReaderSize(&countingReader{from: link, count: &m.receivedBytes}, readBufferBytes)
	for {
		f, err := readFrame(reader)
		if errors.Is(err, errMalformed) {
			return from, trace.Wrap(err, "from peer %s", from)
		}
		if err != nil {
			return from, nil
		}
		if f.Kind == kindTunnel {
			// The connection serves nothing else. How it ends is the business of the host that
			// opened the tunnel.
			_ = m.serveTunnel(ctx, link, reader, f, from)
			return from, nil
		}
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			m.handleCall(ctx, link, &writeLock, f, from, handle)
		})
	}
}

// errCallPanicked is the reply to a call whose handling panicked.
var errCallPanicked = errors.New("the call panicked")

// handleCall handles one call and writes its reply.
func (m *Mesh) handleCall(ctx context.Context, link net.Conn, writeLock *sync.Mutex, f *frame, from member.HostID, handle callHandler) {
	reply := frame{ID: f.ID, Reply: true, Kind: f.Kind}
	var err error
	if !m.tasks.Do("peer call", func() {
		var result any
		if result, err = handle(ctx, from, f.Kind, f.Body); err == nil {
			reply.Body, err = encode(result)
		}
	}) {
		err = errCallPanicked
	}
	if err != nil {
		reply.Error, reply.Body = err.Error(), nil
	}
	message, err := appendFrame(nil, &reply)
	if err != nil {
		_ = link.Close()
		return
	}
	writeLock.Lock()
	defer writeLock.Unlock()
	if writeMessage(link, message) != nil {
		_ = link.Close()
		return
	}
	m.sentBytes.Add(int64(len(message)))
}
