// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package reach tells whether anybody listens at an address.
package reach

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// PortClosed opens a connection and closes it. It reports whether nobody listens there, by the
// word of the machine itself; without that the error says why it isn't known, and without
// either somebody listens.
func PortClosed(ctx context.Context, address string) (bool, error) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED), err
	}
	return false, c.Close()
}
