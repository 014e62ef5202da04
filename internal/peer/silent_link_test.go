// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestSilentLink checks that a connection is closed if a reply is due and nothing is received, and
// that it stays up if the peer is only slow with one reply.
func TestSilentLink(t *testing.T) {
	for name, c := range map[string]struct {
		// answers reports whether the peer answers the n-th call.
		answers func(n int) bool
		timeout time.Duration
		// cancelled says that the caller cancels the call just before its deadline.
		cancelled bool
		wantUp    bool
	}{
		"silent":                       {func(int) bool { return false }, 300 * time.Millisecond, false, false},
		"silent, for a moment only":    {func(int) bool { return false }, 30 * time.Millisecond, false, true},
		"silent, but the caller left":  {func(int) bool { return false }, 300 * time.Millisecond, true, true},
		"one answer is slow":           {func(n int) bool { return n != 2 }, 300 * time.Millisecond, false, true},
		"silent after a first answer":  {func(n int) bool { return n == 1 }, 300 * time.Millisecond, false, false},
		"every call is answered, fast": {func(int) bool { return true }, 300 * time.Millisecond, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ours, theirs := net.Pipe()
				go answerCalls(theirs, c.answers)
				var sent, received atomic.Int64
				link := newConn(ours, &sent, &received)
				go link.readReplies()
				for range 3 {
					ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
					if c.cancelled {
						time.AfterFunc(c.timeout-time.Millisecond, cancel)
					}
					go func() {
						defer cancel()
						var reply bool
						_ = link.call(ctx, kindTurn, true, &reply) // only the connection's state is checked
					}()
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(time.Second)
				synctest.Wait()
				is.Equal(link.isUp(), c.wantUp)
				link.close()
				is.NoErr(theirs.Close())
			})
		})
	}
}

// answerCalls reads calls and replies to those that answers selects by their number.
func answerCalls(link net.Conn, answers func(n int) bool) {
	reader := bufio.NewReader(link)
	for n := 1; ; n++ {
		f, err := readFrame(reader)
		if err != nil {
			return
		}
		if !answers(n) {
			continue
		}
		body, err := encode(true)
		if err != nil {
			return
		}
		message, err := appendFrame(nil, &frame{ID: f.ID, Reply: true, Kind: f.Kind, Body: body})
		if err != nil || writeMessage(link, message) != nil {
			return
		}
	}
}
