// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/forward"
	"github.com/shedpath/shedpath/quarantine"
)

// quarantineHandler holds one request in quarantine until it is released.
type quarantineHandler struct {
	forwardHandler
	entry    quarantine.Entry
	released bool
}

func (p *quarantineHandler) OnQuarantine(release *quarantine.Fingerprint) ([]quarantine.Entry, bool) {
	if release != nil && *release == p.entry.Request {
		p.released = true
		return nil, true
	}
	return []quarantine.Entry{p.entry}, false
}

// TestQuarantineCall checks that an operator's command can list the requests that a host holds in
// quarantine, and release one.
func TestQuarantineCall(t *testing.T) {
	is := is.New(t)
	asked := quarantine.RequestIdentity{Caller: "counter", Target: "/llm/x"}
	held := quarantine.Entry{
		Request: asked.Fingerprint(), Origin: quarantine.Origin{Caller: "counter", Route: "chat"},
		Evidence: quarantine.Evidence{Standing: quarantine.Held, UpstreamsEnded: 3, SinceLastEnd: 1500 * time.Millisecond},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	host := &quarantineHandler{entry: held}
	go func() { _ = NewMesh("h1", testKey).ServeForward(ctx, listener, host, func(error) {}) }()
	m := NewMesh("operator", testKey)
	defer m.Close()
	address := listener.Addr().String()
	entries, released, err := m.Quarantine(ctx, address, nil)
	is.NoErr(err)
	is.Equal(entries, []quarantine.Entry{held})
	is.True(!released)
	_, released, err = m.Quarantine(ctx, address, &held.Request)
	is.NoErr(err)
	is.True(released && host.released)
}

// TestCrashMarkRoundTrip checks that marks of requests during which upstreams crashed are decoded
// unchanged, and that a mark without a valid fingerprint is skipped.
func TestCrashMarkRoundTrip(t *testing.T) {
	is := is.New(t)
	asked := quarantine.RequestIdentity{Caller: "counter", Target: "/llm/x", Body: []byte("b")}
	marks := []quarantine.Mark{{
		Request: asked.Fingerprint(), Origin: quarantine.Origin{Caller: "counter", Route: "chat"},
		Crashes: []quarantine.CrashAge{{Upstream: quarantine.Upstream{ID: "e1", Incarnation: 7}, Age: 250 * time.Millisecond}},
		Cleared: []quarantine.Upstream{{ID: "e2", Incarnation: 9}},
	}}
	share := toWireShare(time.Now(), forward.Share{Crashes: marks, Epoch: 5})
	is.Equal(share.share(time.Now()).Crashes, marks)
	is.Equal(share.share(time.Now()).Epoch, uint64(5))
	share.Crashes[0].Head = nil
	is.Equal(len(share.share(time.Now()).Crashes), 0)
}
