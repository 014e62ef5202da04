// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/quarantine"
)

// panickyHandler panics in the first call that it serves.
type panickyHandler struct {
	quarantineHandler
	calls atomic.Int32
}

func (h *panickyHandler) OnQuarantine(release *quarantine.Fingerprint) ([]quarantine.Entry, bool) {
	if h.calls.Add(1) == 1 {
		panic("a mistake")
	}
	return h.quarantineHandler.OnQuarantine(release)
}

// TestPanicEndsOneCall checks that a call whose handling panics is answered with an error at once and
// reported, and that the connection serves other calls.
func TestPanicEndsOneCall(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	reported := make(chan string, 1)
	server := NewMesh("h1", testKey, WithTasks(func(task string, _ any, _ []byte) { reported <- task }))
	served := make(chan error, 1)
	go func() { served <- server.ServeForward(ctx, listener, &panickyHandler{}, func(error) {}) }()
	m := NewMesh("operator", testKey)
	defer m.Close()
	_, _, err = m.Quarantine(ctx, listener.Addr().String(), nil)
	is.True(err != nil)
	is.Equal(err.Error(), (&callError{Message: errCallPanicked.Error()}).Error())
	is.Equal(<-reported, "peer call")
	_, _, err = m.Quarantine(ctx, listener.Addr().String(), nil)
	is.NoErr(err)
	cancel()
	is.NoErr(<-served)
}
