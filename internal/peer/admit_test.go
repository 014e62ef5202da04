// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/forward"
)

// TestAdmitConnectTimeout guards against a request that waits as long as its caller for a
// responsible host whose machine no longer accepts connections.
func TestAdmitConnectTimeout(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	m := NewMesh("caller", testKey)
	defer m.Close()
	began := time.Now()
	// Nothing answers the handshake, which takes handshakeTimeout to fail.
	_, err = m.Admit(t.Context(), forward.Peer{PeerAddress: listener.Addr().String()}, forward.AdmitRequest{})
	is.True(err != nil)
	is.True(time.Since(began) < handshakeTimeout/2)
}

// admittingHost records when the request that waits at it ends.
type admittingHost struct {
	forwardHandler
	waiting, ended chan struct{}
}

func (h admittingHost) OnAdmit(ctx context.Context, _ forward.AdmitRequest) forward.AdmitReply {
	close(h.waiting)
	<-ctx.Done()
	close(h.ended)
	return forward.AdmitReply{}
}

// TestAdmitEndsWithLink guards against requests that stay in the queue although their host has died.
func TestAdmitEndsWithLink(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, stop := context.WithCancel(t.Context())
	h := admittingHost{waiting: make(chan struct{}), ended: make(chan struct{})}
	server, caller := NewMesh("server", testKey), NewMesh("caller", testKey)
	var running sync.WaitGroup
	running.Go(func() { _ = server.ServeForward(ctx, listener, h, func(error) {}) })
	running.Go(func() {
		_, err := caller.Admit(ctx, forward.Peer{PeerAddress: listener.Addr().String()}, forward.AdmitRequest{})
		if err == nil {
			t.Error("a reply over a closed link")
		}
	})
	<-h.waiting
	caller.Close()
	<-h.ended
	stop()
	running.Wait()
}
