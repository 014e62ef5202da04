// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/forward"
	"github.com/shedpath/shedpath/permit"
)

// TestCallEndsWithItsContext checks that a call ends with its context while its peer is silent: in the
// handshake, as a suspended machine is, which accepts connections.
func TestCallEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	m := NewMesh("caller", testKey)
	defer m.Close()
	began := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = m.Permit(ctx, forward.Peer{PeerAddress: listener.Addr().String()}, permit.GrantRequest{})
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.True(time.Since(began) < handshakeTimeout/2)
}

// TestUnreadConnectionHoldsUpNoOther checks that a peer that doesn't read holds up no call to another
// peer, and the calls that wait to be sent to it no longer than their contexts.
func TestUnreadConnectionHoldsUpNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var sent, received atomic.Int64
		unread, theirs := net.Pipe()
		other, alsoTheirs := net.Pipe()
		defer theirs.Close()
		defer alsoTheirs.Close()
		go answerCalls(alsoTheirs, func(int) bool { return true })
		m := NewMesh("caller", testKey)
		m.conns["unread"], m.conns["other"] = newConn(unread, &sent, &received), newConn(other, &sent, &received)
		go m.conns["other"].readReplies()
		began := time.Now()
		first := make(chan error, 1)
		go func() { first <- m.call(t.Context(), "unread", kindTurn, true, new(bool)) }()
		synctest.Wait() // the first call is in its write
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		is.True(errors.Is(m.call(ctx, "unread", kindTurn, true, new(bool)), context.DeadlineExceeded))
		is.Equal(time.Since(began), 20*time.Millisecond)
		is.NoErr(m.call(t.Context(), "other", kindTurn, true, new(bool)))
		is.Equal(time.Since(began), 20*time.Millisecond)
		is.True(<-first != nil)
		is.Equal(time.Since(began), writeTimeout)
		m.Close()
	})
}
