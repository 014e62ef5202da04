// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package socket

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// TestSocketTimeouts checks the socket options with which the kernel closes a silent connection
// within a few seconds, whether unacknowledged data is in flight or not.
func TestSocketTimeouts(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	for _, c := range []struct {
		silence            time.Duration
		userTimeout, probe int
	}{{3 * time.Second, 3000, 1}, {8 * time.Second, 8000, 3}} {
		link, err := NewDialer(time.Second, c.silence).Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer link.Close()
		raw, err := link.(*net.TCPConn).SyscallConn()
		is.NoErr(err)
		for _, option := range []struct{ level, name, want int }{
			{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, c.userTimeout},
			{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
			{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, c.probe},
			{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, c.probe},
			{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, 3},
		} {
			is.NoErr(raw.Control(func(fd uintptr) {
				got, err := unix.GetsockoptInt(int(fd), option.level, option.name)
				is.NoErr(err)
				is.Equal(got, option.want)
			}))
		}
	}
}
