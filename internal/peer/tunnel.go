// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/shedpath/shedpath/eligibility"
	"github.com/shedpath/shedpath/forward"
	"github.com/shedpath/shedpath/internal/socket"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/uplink"
)

// A tunnel is a connection to an upstream that a peer carries. It has a connection of its own
// between the hosts, on which the call that opens it is the only one. After the reply, bytes to the
// upstream follow as they are, and those from the upstream in frames: the last frame is empty, so
// that an end of the connection isn't taken for the end of an answer.

// TunnelCarrier connects to upstreams for peers.
type TunnelCarrier interface {
	Connect(ctx context.Context, from member.HostID, t uplink.Target) (net.Conn, error)
}

// WithTunnels has a Mesh carry tunnels. Without it they are refused.
func WithTunnels(c TunnelCarrier) Option { return func(m *Mesh) { m.carrier = c } }

// WithTunnelCount has the bytes of tunnels counted by the connections that count returns instead of by Bytes.
func WithTunnelCount(count func(net.Conn) net.Conn) Option {
	return func(m *Mesh) { m.countTunnel = count }
}

const (
	// tunnelSilence is how long either side of a tunnel may be silent before it counts as broken.
	tunnelSilence = 8 * time.Second
	// tunnelBufferBytes is the size of the largest part of an answer in one frame.
	tunnelBufferBytes = 4 << 10
)

// wireTunnelRequest encodes uplink.Target, except what the peer knows itself.
type wireTunnelRequest struct {
	Upstream    string
	Incarnation int64
	Purpose     int
	Request     string
}

func toWireTunnelRequest(t uplink.Target) wireTunnelRequest {
	return wireTunnelRequest{Upstream: string(t.ID), Incarnation: t.Incarnation, Purpose: int(t.Purpose), Request: t.Request}
}

func (w wireTunnelRequest) target() uplink.Target {
	return uplink.Target{ID: member.UpstreamID(w.Upstream), Incarnation: w.Incarnation, Purpose: eligibility.Purpose(w.Purpose), Request: w.Request}
}

// wireTunnelReply says whether the tunnel is open; Refusal is a key of tunnelErrors, or zero.
type wireTunnelReply struct {
	Refusal uint8
}

// tunnelErrors are the reasons for which a tunnel isn't opened. The indexes are part of the wire
// format.
var tunnelErrors = []error{nil, uplink.ErrPortClosed, uplink.ErrUnreachable, uplink.ErrDenied, uplink.ErrBusy}

func toWireTunnelReply(err error) wireTunnelReply {
	for i, known := range tunnelErrors {
		if errors.Is(err, known) {
			return wireTunnelReply{Refusal: uint8(i)}
		}
	}
	return toWireTunnelReply(uplink.ErrUnreachable)
}

func (w wireTunnelReply) err() error {
	if int(w.Refusal) >= len(tunnelErrors) {
		return uplink.ErrUnreachable
	}
	return tunnelErrors[w.Refusal]
}

// DialThrough opens a connection to an upstream through a peer.
func (m *Mesh) DialThrough(ctx context.Context, to forward.Peer, t uplink.Target) (net.Conn, error) {
	link, err := socket.NewDialer(dialTimeout, tunnelSilence).DialContext(ctx, "tcp", to.PeerAddress)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "dialling peer %s", to.PeerAddress)
	}
	// Closing only ends the handshake, which reports the end of the context.
	stop := context.AfterFunc(ctx, func() { _ = link.Close() })
	c, err := m.openTunnel(m.countTunnel(link), t)
	if !stop() {
		err = context.Cause(ctx)
	}
	if err != nil {
		// The error to report is why there is no tunnel.
		_ = link.Close()
		return nil, err
	}
	return c, nil
}

// openTunnel performs the handshake and the call that opens a tunnel.
func (m *Mesh) openTunnel(link net.Conn, t uplink.Target) (*tunnelConn, error) {
	if err := handshakeAsDialer(link, m.key, m.self); err != nil {
		return nil, trace.Wrap(err, "handshake with the peer")
	}
	body, err := encode(toWireTunnelRequest(t))
	if err != nil {
		return nil, err
	}
	if err := writeTunnelFrame(link, &frame{ID: 1, Kind: kindTunnel, Body: body}); err != nil {
		return nil, err
	}
	c := &tunnelConn{Conn: link, reader: bufio.NewReaderSize(link, readBufferBytes)}
	f, err := readFrame(c.reader)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "the connection to the peer broke")
	}
	if f.Error != "" {
		return nil, &callError{Message: f.Error}
	}
	var reply wireTunnelReply
	if err := msgpack.Unmarshal(f.Body, &reply); err != nil {
		return nil, trace.Wrap(err)
	}
	return c, reply.err()
}

func writeTunnelFrame(link net.Conn, f *frame) error {
	message, err := appendFrame(nil, f)
	if err != nil {
		return err
	}
	_, err = link.Write(message)
	return trace.Wrap(err)
}

// tunnelConn is the end of a tunnel at the host that opened it.
type tunnelConn struct {
	net.Conn
	reader *bufio.Reader
	// rest is the unread part of the last frame.
	rest []byte
	// ended says that the upstream has ended the connection.
	ended bool
}

// Read reads bytes from the upstream. An end of the connection without the last frame is
// io.ErrUnexpectedEOF.
func (c *tunnelConn) Read(p []byte) (int, error) {
	for len(c.rest) == 0 {
		if c.ended {
			return 0, io.EOF
		}
		f, err := readFrame(c.reader)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return 0, err
		}
		if c.rest, err = f.tunnelPart(); err != nil {
			return 0, err
		}
		c.ended = len(c.rest) == 0
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// tunnelPart returns the part of an answer that a frame carries. A frame without one isn't the last frame, which carries an
// empty part.
func (f *frame) tunnelPart() ([]byte, error) {
	var part []byte
	if err := msgpack.Unmarshal(f.Body, &part); err != nil || part == nil {
		return nil, fmt.Errorf("%w: a frame without a part of the answer; error %q, %v", io.ErrUnexpectedEOF, f.Error, err)
	}
	return part, nil
}

// serveTunnel carries a tunnel until one of its sides ends. f is the call that opens it.
func (m *Mesh) serveTunnel(ctx context.Context, tcp net.Conn, reader *bufio.Reader, f *frame, from member.HostID) error {
	link := m.countTunnel(tcp)
	upstream, err := m.connectTunnel(ctx, f, from)
	if err != nil && !isTunnelError(err) {
		return writeTunnelFrame(link, &frame{ID: f.ID, Reply: true, Kind: f.Kind, Error: err.Error()})
	}
	if upstream != nil {
		defer upstream.Close()
	}
	body, encodeErr := encode(toWireTunnelReply(err))
	if encodeErr != nil {
		return encodeErr
	}
	if err := writeTunnelFrame(link, &frame{ID: f.ID, Reply: true, Kind: f.Kind, Body: body}); err != nil || upstream == nil {
		return err
	}
	if tcp, ok := tcp.(*net.TCPConn); ok {
		if err := socket.KeepAlive(tcp, tunnelSilence); err != nil {
			return trace.Wrap(err)
		}
	}
	// Closing only ends the copies; their errors report what ended the tunnel.
	stop := context.AfterFunc(ctx, func() { _ = upstream.Close() })
	defer stop()
	var toUpstream conc.WaitGroup
	defer toUpstream.Wait()
	defer link.Close()
	callerLeft := make(chan struct{})
	toUpstream.Go(func() {
		defer close(callerLeft)
		// An upstream may answer and close before it has read the whole request. The rest is discarded until the caller closes the
		// link, which it does once it has the answer. An error on the link ends the tunnel, too.
		if _, err := io.Copy(upstream, reader); err != nil {
			_, _ = io.Copy(io.Discard, reader)
		}
		// The upstream stops working for a caller that has left.
		_ = upstream.Close()
	})
	if err := copyAnswer(link, upstream); err != nil {
		return err
	}
	// The answer is whole, whatever closing brings.
	_ = upstream.Close()
	// Closing the link with unread bytes would reset it, and drop frames that haven't been sent yet.
	select {
	case <-callerLeft:
	case <-ctx.Done():
	}
	return nil
}

func isTunnelError(err error) bool {
	for _, known := range tunnelErrors[1:] {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// connectTunnel connects to the upstream that a call names.
func (m *Mesh) connectTunnel(ctx context.Context, f *frame, from member.HostID) (net.Conn, error) {
	if m.carrier == nil {
		return nil, trace.BadParameter("unknown kind of call %d", f.Kind)
	}
	var w wireTunnelRequest
	if err := msgpack.Unmarshal(f.Body, &w); err != nil {
		return nil, trace.Wrap(err)
	}
	return m.carrier.Connect(ctx, from, w.target())
}

// copyAnswer copies what the upstream sends, in frames. If the connection to the upstream breaks,
// there is no last frame.
func copyAnswer(link net.Conn, upstream io.Reader) error {
	buffer := make([]byte, tunnelBufferBytes)
	for {
		n, err := upstream.Read(buffer)
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("the upstream broke off: %w", err)
		}
		if n > 0 {
			if err := writeTunnelPart(link, buffer[:n]); err != nil {
				return err
			}
		}
		if err != nil {
			return writeTunnelPart(link, []byte{})
		}
	}
}

// writeTunnelPart writes a part of an answer; an empty part is the last.
func writeTunnelPart(link net.Conn, part []byte) error {
	body, err := encode(part)
	if err != nil {
		return err
	}
	return writeTunnelFrame(link, &frame{ID: 1, Reply: true, Kind: kindTunnel, Body: body})
}
