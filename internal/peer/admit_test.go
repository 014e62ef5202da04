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
	"github.com/vmihailenco/msgpack/v5"

	"github.com/shedpath/shedpath/forward"
	"github.com/shedpath/shedpath/member"
)

// TestShareOfOtherVersions guards against hosts of two versions that can't read each other's shares:
// without shares, each would count as down for the other.
func TestShareOfOtherVersions(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	plain, waiting := forward.Share{Epoch: 7}, forward.Share{Epoch: 7, Waiting: []forward.WaitingMark{{Service: "llm", Count: 2, Highest: 3}}}
	read := func(body []byte) forward.Share {
		var w shareMessage
		is.NoErr(msgpack.Unmarshal(body, &w))
		return w.share(now)
	}
	earlier, err := encode(toWireShare(now, plain))
	is.NoErr(err)
	present, err := encode(newShareMessage(now, plain))
	is.NoErr(err)
	is.Equal(present, earlier) // a share with nothing new is as before
	is.Equal(read(earlier).Epoch, uint64(7))
	extended, err := encode(newShareMessage(now, waiting))
	is.NoErr(err)
	is.Equal(read(extended).Waiting, waiting.Waiting)
	var fields []msgpack.RawMessage
	is.NoErr(msgpack.Unmarshal(extended, &fields))
	later, err := encode(append(fields, fields[0]))
	is.NoErr(err)
	is.Equal(read(later).Waiting, waiting.Waiting)

	// A host of the earlier version rejects the extended share.
	m := NewMesh("caller", testKey)
	defer m.Close()
	near, far := net.Pipe()
	defer far.Close()
	link := newConn(near, &m.sentBytes, &m.receivedBytes)
	m.conns["peer"] = link
	m.readers.Go(link.readReplies)
	go func() {
		for {
			call, err := readFrame(far)
			if err != nil {
				return
			}
			NewMesh("old", testKey).handleCall(t.Context(), far, &sync.Mutex{}, call, "caller", func(_ context.Context, _ member.HostID, _ callKind, body []byte) (any, error) {
				var w wireShare
				err := msgpack.Unmarshal(body, &w)
				return &w, err
			})
		}
	}()
	reply, err := m.Share(t.Context(), forward.Peer{PeerAddress: "peer"}, waiting)
	is.NoErr(err)
	is.Equal(reply.Epoch, uint64(7))
}

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
