// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package loopback

import (
	"fmt"
	"net"
	"testing"

	"github.com/matryer/is"
)

// TestReserveAddresses checks that reservations held at the same time get different addresses, and
// that a test can listen on the ports of each, whatever uses 127.0.0.1.
func TestReserveAddresses(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for range 50 {
		for _, address := range ReserveAddresses(t, 3) {
			is.True(!seen[address]) // the address was reserved twice
			seen[address] = true
			for port := FirstPort; port < FirstPort+4; port++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", address, port))
				is.NoErr(err)
				is.NoErr(l.Close())
			}
		}
	}
}
