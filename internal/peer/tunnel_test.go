// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/eligibility"
	"github.com/shedpath/shedpath/forward"
	"github.com/shedpath/shedpath/intake"
	"github.com/shedpath/shedpath/internal/golden"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/uplink"
)

// fixedCarrier connects every tunnel to one address, or refuses it.
type fixedCarrier struct {
	address string
	err     error
	asked   chan uplink.Target
}

func (c *fixedCarrier) Connect(ctx context.Context, _ member.HostID, t uplink.Target) (net.Conn, error) {
	if c.asked != nil {
		c.asked <- t
	}
	if c.err != nil {
		return nil, c.err
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", c.address)
}

// tunnelPeers returns a mesh, and the address of one that carries its tunnels. stop ends the latter.
func tunnelPeers(t *testing.T, opts ...Option) (m *Mesh, to forward.Peer, stop func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = NewMesh("carrier", testKey, opts...).ServeForward(ctx, l, goldenHost{}, func(error) {})
	}()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return NewMesh("origin", testKey), forward.Peer{ID: "carrier", PeerAddress: l.Addr().String()}, stop
}

// upstreamConns returns an upstream's address and the connections made to it.
func upstreamConns(t *testing.T) (string, <-chan *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	conns := make(chan *net.TCPConn, 4)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c.(*net.TCPConn)
		}
	}()
	return l.Addr().String(), conns
}

// TestTunnelEnds guards against a tunnel that passes a broken answer off as a whole one, or leaves an
// upstream working for a caller that left.
func TestTunnelEnds(t *testing.T) {
	for name, c := range map[string]struct {
		// end ends the tunnel after a part of the answer.
		end  func(t *testing.T, upstream *net.TCPConn, stopCarrier func())
		want error
	}{
		"the upstream ends": {func(_ *testing.T, u *net.TCPConn, _ func()) { _ = u.Close() }, nil},
		"the upstream breaks": {func(t *testing.T, u *net.TCPConn, _ func()) {
			is.New(t).NoErr(u.SetLinger(0))
			_ = u.Close()
		}, io.ErrUnexpectedEOF},
		"the carrier ends": {func(_ *testing.T, _ *net.TCPConn, stop func()) { stop() }, io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, conns := upstreamConns(t)
			m, to, stop := tunnelPeers(t, WithTunnels(&fixedCarrier{address: address}))
			tunnel, err := m.DialThrough(t.Context(), to, uplink.Target{ID: "u"})
			is.NoErr(err)
			defer tunnel.Close()
			_, err = io.WriteString(tunnel, "question")
			is.NoErr(err)
			upstream := <-conns
			question := make([]byte, len("question"))
			_, err = io.ReadFull(upstream, question)
			is.NoErr(err)
			is.Equal(string(question), "question")
			part := bytes.Repeat([]byte("answer"), 3000)
			_, err = upstream.Write(part)
			is.NoErr(err)
			got := make([]byte, len(part))
			_, err = io.ReadFull(tunnel, got)
			is.NoErr(err)
			is.True(bytes.Equal(got, part))
			c.end(t, upstream, stop)
			rest, err := io.ReadAll(tunnel)
			is.Equal(len(rest), 0)
			is.Equal(err, c.want)
		})
	}
}

// TestCutTunnelIsNotTheEndOfAnAnswer guards against an end of a tunnel, or a frame that is no part of an answer, that is taken for the
// end of the answer.
func TestCutTunnelIsNotTheEndOfAnAnswer(t *testing.T) {
	encoded := func(f *frame) []byte {
		text, err := appendFrame(nil, f)
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	var part, last writtenBytes
	if err := errors.Join(writeTunnelPart(&part, []byte("part")), writeTunnelPart(&last, []byte{})); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		sent  []byte
		ended bool
	}{
		"last frame":              {last.Bytes(), true},
		"nothing":                 {nil, false},
		"part of a frame's size":  {last.Bytes()[:2], false},
		"size":                    {last.Bytes()[:4], false},
		"part of a frame":         {part.Bytes()[:len(part.Bytes())-1], false},
		"part of the last frame":  {last.Bytes()[:len(last.Bytes())-1], false},
		"frame of no bytes":       {make([]byte, 4), false},
		"frame without a part":    {encoded(&frame{ID: 1, Reply: true, Kind: kindTunnel}), false},
		"frame with an error":     {encoded(&frame{ID: 1, Reply: true, Kind: kindTunnel, Error: "stopping"}), false},
		"part of another type":    {encoded(&frame{ID: 1, Reply: true, Kind: kindTunnel, Body: []byte{0x07}}), false},
		"part that has no value":  {encoded(&frame{ID: 1, Reply: true, Kind: kindTunnel, Body: []byte{0xc0}}), false},
		"part that is cut inside": {encoded(&frame{ID: 1, Reply: true, Kind: kindTunnel, Body: []byte{0xc4, 0x05, 'p'}}), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sent := append(bytes.Clone(part.Bytes()), c.sent...)
			tunnel := &tunnelConn{reader: bufio.NewReader(bytes.NewReader(sent))}
			got := make([]byte, len("part"))
			_, err := io.ReadFull(tunnel, got)
			is.NoErr(err)
			is.Equal(string(got), "part")
			n, err := tunnel.Read(got)
			is.Equal(n, 0)
			is.Equal(errors.Is(err, io.EOF), c.ended)
		})
	}
}

// TestLongAnswerThroughTunnelIsCountedApart guards against an answer without an end that fills what either host of its tunnel
// counts as traffic between peers, which has no bound for one transfer.
func TestLongAnswerThroughTunnelIsCountedApart(t *testing.T) {
	is := is.New(t)
	const answerBytes = 1 << 20
	address, conns := upstreamConns(t)
	var links [2]intake.Link // the carrier's and the origin's
	_, to, stop := tunnelPeers(t, WithTunnels(&fixedCarrier{address: address}), WithTunnelCount(links[0].CountTunnel))
	m := NewMesh("origin", testKey, WithTunnelCount(links[1].CountTunnel))
	tunnel, err := m.DialThrough(t.Context(), to, uplink.Target{ID: "u"})
	is.NoErr(err)
	defer tunnel.Close()
	upstream := <-conns
	go func() {
		// The test reads as much; what breaks the connection shows there.
		_, _ = upstream.Write(make([]byte, answerBytes))
	}()
	_, err = io.ReadFull(tunnel, make([]byte, answerBytes))
	is.NoErr(err)
	stop()
	sent, _ := links[0].Tunnels.Bytes()
	_, received := links[1].Tunnels.Bytes()
	is.True(sent > answerBytes && received > answerBytes)
	sent, received = m.Bytes()
	is.Equal(sent+received, int64(0))
}

// TestTunnelClosedByOrigin guards against an upstream that works on for a caller that left.
func TestTunnelClosedByOrigin(t *testing.T) {
	is := is.New(t)
	address, conns := upstreamConns(t)
	m, to, _ := tunnelPeers(t, WithTunnels(&fixedCarrier{address: address}))
	tunnel, err := m.DialThrough(t.Context(), to, uplink.Target{ID: "u"})
	is.NoErr(err)
	upstream := <-conns
	is.NoErr(tunnel.Close())
	is.NoErr(upstream.SetReadDeadline(time.Now().Add(10 * time.Second)))
	_, err = upstream.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// TestTunnelRefusals checks that the reason for which a peer opens no tunnel arrives.
func TestTunnelRefusals(t *testing.T) {
	for _, want := range tunnelErrors[1:] {
		t.Run(want.Error(), func(t *testing.T) {
			m, to, _ := tunnelPeers(t, WithTunnels(&fixedCarrier{err: want}))
			_, err := m.DialThrough(t.Context(), to, uplink.Target{ID: "u"})
			is.New(t).True(errors.Is(err, want))
		})
	}
}

// TestTunnelToOlderPeer checks that a peer which knows no tunnels refuses them at once.
func TestTunnelToOlderPeer(t *testing.T) {
	is := is.New(t)
	m, to, _ := tunnelPeers(t)
	_, err := m.DialThrough(t.Context(), to, uplink.Target{ID: "u"})
	var failed *callError
	is.True(errors.As(err, &failed))
}

// TestTunnelOfAnotherSite guards against a tunnel for a host that doesn't have the key.
func TestTunnelOfAnotherSite(t *testing.T) {
	is := is.New(t)
	asked := make(chan uplink.Target, 1)
	_, to, _ := tunnelPeers(t, WithTunnels(&fixedCarrier{asked: asked}))
	_, err := NewMesh("origin", []byte("another key")).DialThrough(t.Context(), to, uplink.Target{ID: "u"})
	is.True(err != nil)
	is.Equal(len(asked), 0)
}

// TestGoldenTunnel pins the bytes that open a tunnel, and those of its answer.
func TestGoldenTunnel(t *testing.T) {
	is := is.New(t)
	b := golden.Open(t, "tunnel")
	body, err := encode(toWireTunnelRequest(uplink.Target{ID: "u1", Incarnation: 7, Purpose: eligibility.Control, Request: "r1"}))
	is.NoErr(err)
	var sent writtenBytes
	is.NoErr(writeTunnelFrame(&sent, &frame{ID: 1, Kind: kindTunnel, Body: body}))
	b.Bytes("call", sent.Bytes())
	for _, refusal := range tunnelErrors {
		sent.Reset()
		body, err := encode(toWireTunnelReply(refusal))
		is.NoErr(err)
		is.NoErr(writeTunnelFrame(&sent, &frame{ID: 1, Reply: true, Kind: kindTunnel, Body: body}))
		name := "reply, open"
		if refusal != nil {
			name = "reply, " + refusal.Error()
		}
		b.Bytes(name, sent.Bytes())
	}
	for _, part := range []struct{ name, text string }{{"a part", "part"}, {"the last part", ""}} {
		sent.Reset()
		is.NoErr(writeTunnelPart(&sent, []byte(part.text)))
		b.Bytes("answer, "+part.name, sent.Bytes())
	}
}

// writtenBytes is a connection that keeps what is written.
type writtenBytes struct {
	net.Conn
	bytes.Buffer
}

func (w *writtenBytes) Write(p []byte) (int, error) { return w.Buffer.Write(p) }
func (w *writtenBytes) Read(p []byte) (int, error)  { return w.Buffer.Read(p) }

// FuzzTunnelRequest checks that the body of a call for a tunnel gives a target or an error.
func FuzzTunnelRequest(f *testing.F) {
	body, err := encode(toWireTunnelRequest(uplink.Target{ID: "u", Request: "r"}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(body))
	f.Add([]byte{0x94, 0xa1})
	f.Fuzz(func(_ *testing.T, body []byte) {
		m := NewMesh("m", testKey, WithTunnels(&fixedCarrier{err: uplink.ErrDenied}))
		_, _ = m.connectTunnel(context.Background(), &frame{Kind: kindTunnel, Body: body}, "a")
	})
}
