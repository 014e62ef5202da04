// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package reach checks whether a TCP port is open and whether the peer of a connection has
// closed it.
package reach

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// PortClosed connects to a TCP address and closes the connection. The result has three cases:
//   - true, with an error, if the connection was refused (ECONNREFUSED): nothing listens there;
//   - false without an error if a process listens there;
//   - false with an error if it isn't known, for instance after a timeout.
func PortClosed(ctx context.Context, address string) (bool, error) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED), err
	}
	return false, c.Close()
}
