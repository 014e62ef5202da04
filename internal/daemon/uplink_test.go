// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/shedpath/shedpath/internal/telemetry"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/uplink"
)

// lonelyNetwork is an upstreamNetwork without peers.
type lonelyNetwork struct{ *upstreamNetwork }

func (lonelyNetwork) Peers(uplink.Target) []member.Entry { return nil }

// TestResetIsNoEnd guards against a connection to an upstream whose reset reads as the end of an answer because a write
// has received the error. Connections for peers are opened in the same way.
func TestResetIsNoEnd(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := c.Read(make([]byte, 1)); err == nil {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}()
	n := &upstreamNetwork{direct: (&net.Dialer{}).DialContext}
	c, err := n.DialDirect(t.Context(), uplink.Target{Address: listener.Addr().String()})
	is.NoErr(err)
	defer c.Close()
	_, err = c.Write(make([]byte, 16<<20))
	is.True(errors.Is(err, syscall.ECONNRESET))
	_, err = c.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// TestClosed checks that a port counts as closed only if its host refuses the connection.
func TestClosed(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	u := member.Upstream{ID: "u", Address: listener.Addr().String()}
	n := &upstreamNetwork{direct: (&net.Dialer{}).DialContext}
	n.dialer = &uplink.Dialer{Network: lonelyNetwork{n}, Observer: telemetry.NewEntryMetrics(log.NewNopLogger()), Now: time.Now}
	closed, err := n.Closed(t.Context(), u)
	is.NoErr(err)
	is.True(!closed) // the listener is open
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	closed, err = n.Closed(canceled, u)
	is.True(err != nil && !closed) // a canceled attempt proves nothing
	is.NoErr(listener.Close())
	closed, _ = n.Closed(t.Context(), u)
	is.True(closed)
}
