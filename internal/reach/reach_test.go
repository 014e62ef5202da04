// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package reach

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"
)

// TestPortClosed checks that a port counts as closed only if its host refuses the connection.
func TestPortClosed(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	closed, err := PortClosed(t.Context(), address)
	is.NoErr(err)
	is.True(!closed) // the listener is open
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	closed, err = PortClosed(canceled, address)
	is.True(err != nil && !closed) // a canceled attempt proves nothing
	is.NoErr(listener.Close())
	closed, _ = PortClosed(t.Context(), address)
	is.True(closed)
}
