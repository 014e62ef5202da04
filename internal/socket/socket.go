// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package socket sets up TCP connections that fail within a known time when the other side goes
// silent.
package socket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// probes is how many keep-alive probes may go unanswered.
const probes = 3

// NewDialer returns a dialer whose connections fail after a time of silence. Unacknowledged bytes
// are limited by TCP_USER_TIMEOUT. A connection with nothing in flight, such as a stream that is
// only read, is checked by keep-alive probes; Linux gives them up by TCP_USER_TIMEOUT, too, whatever
// their count, so both are set to the same time.
func NewDialer(timeout, silence time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, Control: limitUnacknowledged(silence), KeepAliveConfig: keepAlive(silence)}
}

// KeepAlive has an accepted connection fail after a time of silence if nothing is in flight. A slow
// reader isn't silence, so unacknowledged bytes aren't limited.
func KeepAlive(c *net.TCPConn, silence time.Duration) error {
	return c.SetKeepAliveConfig(keepAlive(silence))
}

func keepAlive(silence time.Duration) net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: silence / probes, Interval: silence / probes, Count: probes}
}

// limitUnacknowledged sets how long sent bytes may stay unacknowledged on a new socket.
func limitUnacknowledged(limit time.Duration) func(_, _ string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optErr error
		err := c.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optErr
	}
}
