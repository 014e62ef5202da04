// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package socket

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// mute makes one end of a connection drop all packets, as if its link were cut.
func mute(t *testing.T, c *net.TCPConn) {
	is := is.New(t)
	raw, err := c.SyscallConn()
	is.NoErr(err)
	const returnConstant = 0x06
	dropAll := unix.SockFilter{Code: returnConstant, K: 0}
	is.NoErr(raw.Control(func(fd uintptr) {
		is.NoErr(unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll}))
	}))
}

// pair returns both ends of a connection.
func pair(t *testing.T, dialer *net.Dialer) (dialled, accepted *net.TCPConn) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	c, err := dialer.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	a, err := l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close(); _ = a.Close() })
	return c.(*net.TCPConn), a.(*net.TCPConn)
}

// TestSilentPeerIsNoticed checks on real sockets when the kernel gives up a connection whose other end
// is silent. With TCP_USER_TIMEOUT set, Linux gives up keep-alive probes by it, whatever their count.
func TestSilentPeerIsNoticed(t *testing.T) {
	t.Parallel()
	const silence = 3 * time.Second
	manyProbes := NewDialer(time.Second, silence)
	manyProbes.KeepAliveConfig.Count = 30
	for name, c := range map[string]struct {
		dialer *net.Dialer
		// accepts says that the accepted end is checked, which has KeepAlive.
		accepts bool
		// writes says that bytes are in flight.
		writes bool
	}{
		"nothing in flight":        {dialer: NewDialer(time.Second, silence)},
		"bytes in flight":          {dialer: NewDialer(time.Second, silence), writes: true},
		"thirty probes":            {dialer: manyProbes},
		"accepted, only keepalive": {dialer: &net.Dialer{}, accepts: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			checked, other := pair(t, c.dialer)
			if c.accepts {
				checked, other = other, checked
				is.NoErr(KeepAlive(checked, silence))
			}
			mute(t, other)
			began := time.Now()
			if c.writes {
				_, err := checked.Write([]byte("x"))
				is.NoErr(err)
			}
			is.NoErr(checked.SetReadDeadline(began.Add(20 * time.Second)))
			_, err := checked.Read(make([]byte, 1))
			is.True(!errors.Is(err, os.ErrDeadlineExceeded))
			is.True(errors.Is(err, syscall.ETIMEDOUT))
			// Four probe intervals at most: the first after one, the third is the last.
			took := time.Since(began)
			is.True(took > silence/2 && took < silence*4/3+2*time.Second)
			t.Log(took)
		})
	}
}
