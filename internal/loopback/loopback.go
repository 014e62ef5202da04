// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package loopback gives tests addresses of their own on this machine.
//
// A test whose processes need ports that are known beforehand can't look for free ones
// on 127.0.0.1: between the look and the process's listen another connection may take
// them, and while thousands of connections rest in TIME-WAIT hardly any two in a row are
// free. On an address of its own every port below the range of outgoing connections is.
package loopback

import (
	"fmt"
	"net"
	"os"
	"testing"
)

// FirstPort is the first of the ports that a test may use on its own addresses; they are
// below those that the system gives to outgoing connections.
const FirstPort = 7200

const (
	// lockPort is listened on while an address is in use.
	lockPort = 7199
	// blockCount is how many blockCount of addresses there are; each is a /24.
	blockCount = 1 << 14
	// firstBlock leaves 127.0.0.0/10 alone, which others use.
	firstBlock = 1 << 14
)

// ReserveAddresses returns n addresses (at most 250) that no other test of this machine has until
// this one ends.
func ReserveAddresses(t testing.TB, n int) []string {
	t.Helper()
	for i := range blockCount {
		block := firstBlock + (os.Getpid()+i)%blockCount
		address := func(host int) string { return fmt.Sprintf("127.%d.%d.%d", block>>8, block&0xff, host) }
		lock, err := net.Listen("tcp", fmt.Sprintf("%s:%d", address(1), lockPort))
		if err != nil {
			// Another test has this block.
			continue
		}
		t.Cleanup(func() { _ = lock.Close() })
		reserved := make([]string, n)
		for host := range reserved {
			reserved[host] = address(host + 1)
		}
		return reserved
	}
	t.Fatal("every block of addresses is in use")
	return nil
}
