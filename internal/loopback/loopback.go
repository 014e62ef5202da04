// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package loopback reserves loopback addresses for the exclusive use of one test.
//
// A test whose processes need ports that are known beforehand can't search for free ports on
// 127.0.0.1: before the process listens on a port, another connection may take it, and while
// thousands of connections are in TIME-WAIT hardly any two consecutive ports are free. On an
// exclusive address every port below the range of outgoing connections is free.
package loopback

import (
	"fmt"
	"net"
	"os"
	"testing"
)

// FirstPort is the first port that a test may use on its reserved addresses. It is below the
// range that the system assigns to outgoing connections.
const FirstPort = 7200

const (
	// lockPort is the port on which a test listens to hold a block of addresses.
	lockPort = 7199
	// blockCount is the number of blocks of addresses; each is a /24.
	blockCount = 1 << 14
	// firstBlock excludes 127.0.0.0/10, which other programs use.
	firstBlock = 1 << 14
)

// ReserveAddresses returns n addresses (at most 250) that no other test on this machine gets until
// this test ends. It fails the test if every block is taken.
func ReserveAddresses(t testing.TB, n int) []string {
	t.Helper()
	for i := range blockCount {
		block := firstBlock + (os.Getpid()+i)%blockCount
		address := func(host int) string { return fmt.Sprintf("127.%d.%d.%d", block>>8, block&0xff, host) }
		lock, err := net.Listen("tcp", fmt.Sprintf("%s:%d", address(1), lockPort))
		if err != nil {
			// Another test holds this block.
			continue
		}
		t.Cleanup(func() { _ = lock.Close() })
		reserved := make([]string, n)
		for host := range reserved {
			reserved[host] = address(host + 1)
		}
		return reserved
	}
	t.Fatal("all blocks of loopback addresses are in use")
	return nil
}
