// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// longBody is more than the buffers of a connection hold.
var longBody = strings.Repeat("u", 16<<20)

// reset resets a connection.
func reset(is *is.I, c *net.TCPConn) {
	is.NoErr(c.SetLinger(0))
	is.NoErr(c.Close())
}

// TestResetIsNoEnd guards against a reset that reads as the end of the data because a write has received the error.
func TestResetIsNoEnd(t *testing.T) {
	is := is.New(t)
	for range 50 {
		raw, server := pair(t, &net.Dialer{})
		client := NewConn(raw)
		written := make(chan error, 1)
		go func() {
			_, err := io.WriteString(client, longBody)
			written <- err
		}()
		_, err := io.ReadFull(server, make([]byte, 1<<20))
		is.NoErr(err)
		_, err = io.WriteString(server, "part")
		is.NoErr(err)
		reset(is, server)
		_, err = io.ReadAll(client)
		is.True(errors.Is(err, syscall.ECONNRESET))
		is.True(<-written != nil)
	}
}

// TestResetReportedToWrite checks a reset that a write has received before anything is read.
func TestResetReportedToWrite(t *testing.T) {
	is := is.New(t)
	raw, server := pair(t, &net.Dialer{})
	client := NewConn(raw)
	_, err := io.WriteString(server, "part")
	is.NoErr(err)
	go func() {
		// The client's write is in progress once the first byte of it has arrived.
		if _, err := server.Read(make([]byte, 1)); err == nil {
			_ = server.SetLinger(0)
		}
		_ = server.Close()
	}()
	_, err = io.WriteString(client, longBody)
	is.True(errors.Is(err, syscall.ECONNRESET))
	body, err := io.ReadAll(client)
	is.Equal(string(body), "part") // what has arrived is read
	is.True(errors.Is(err, syscall.ECONNRESET))
	_, err = client.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET)) // and the error stays
}

// TestEndBesideWrite guards against an end of the data that counts as a failure, or that is only reported after the write.
func TestEndBesideWrite(t *testing.T) {
	for name, after := range map[string]func(is *is.I, server *net.TCPConn){
		"the rest isn't read":    func(*is.I, *net.TCPConn) {},
		"reset after the end":    reset,
		"closed with bytes left": func(is *is.I, server *net.TCPConn) { is.NoErr(server.Close()) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for range 20 {
				raw, server := pair(t, &net.Dialer{})
				client := NewConn(raw)
				written := make(chan error, 1)
				go func() {
					_, err := io.WriteString(client, longBody)
					written <- err
				}()
				_, err := io.WriteString(server, "whole")
				is.NoErr(err)
				is.NoErr(server.CloseWrite())
				after(is, server)
				body, err := io.ReadAll(client)
				is.NoErr(err)
				is.Equal(string(body), "whole")
				err = <-written
				is.True(errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE))
			}
		})
	}
}

// TestConnAfterOrderlyClose checks a connection that is used in both directions and then closed.
func TestConnAfterOrderlyClose(t *testing.T) {
	is := is.New(t)
	raw, server := pair(t, &net.Dialer{})
	client := NewConn(raw)
	_, err := io.WriteString(client, "question")
	is.NoErr(err)
	_, err = io.ReadFull(server, make([]byte, len("question")))
	is.NoErr(err)
	_, err = io.WriteString(server, "answer")
	is.NoErr(err)
	is.NoErr(server.Close())
	body, err := io.ReadAll(client)
	is.NoErr(err)
	is.Equal(string(body), "answer")
}
