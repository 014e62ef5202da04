// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package loopback

import (
	"fmt"
	"net"
	"testing"

	"github.com/matryer/is"
)

// TestReserveAddresses has tests that run at once get different addresses, whose ports can be
// listened on whatever goes on at the usual address.
func TestReserveAddresses(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for range 50 {
		for _, address := range ReserveAddresses(t, 3) {
			is.True(!seen[address]) // given twice
			seen[address] = true
			for port := FirstPort; port < FirstPort+4; port++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", address, port))
				is.NoErr(err)
				is.NoErr(l.Close())
			}
		}
	}
}
