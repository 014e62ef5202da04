// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"math"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/eligibility"
	"github.com/shedpath/shedpath/forward"
	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/permit"
	"github.com/shedpath/shedpath/ratelimit"
)

// TestPermitsOnTheWire has questions for permits, their answers and words of limits arrive as
// they were; a rate that can't be is taken for the nearest one that can.
func TestPermitsOnTheWire(t *testing.T) {
	is := is.New(t)
	mark := ratelimit.Mark{Upstream: "u", Life: 3, Named: true, Rate: 2.8, Age: 40 * time.Millisecond}
	ask := permit.Ask{
		Upstream: "u", Ask: ratelimit.Ask{From: "h", Rate: 2.8, Rank: 4, Repeat: true, Must: true}, HasWord: true, Word: mark,
	}
	is.Equal(toWirePermit(ask).ask(), ask)
	is.Equal(toWirePermit(permit.Ask{Upstream: "u"}).ask(), permit.Ask{Upstream: "u"})
	reply := permit.Reply{
		Grant: ratelimit.Grant{Granted: true, Passed: true, Wait: 250 * time.Millisecond}, Granter: forward.Peer{ID: "g", Zone: "z", PeerAddress: "10.0.0.1:1"},
		Unknown: true, HasWord: true, Word: mark,
	}
	is.Equal(toWirePermitted(reply).reply(), reply)
	share := forward.Share{Limits: []ratelimit.Mark{mark}}
	is.Equal(toWireShare(time.Now(), share).share(time.Now()).Limits, share.Limits)
	for _, bad := range []float64{-1, math.NaN(), math.Inf(-1)} {
		is.Equal(wireLimit{Rate: bad}.mark().Rate, ratelimit.Rate(0))
		is.Equal(wirePermit{Rate: bad}.ask().Rate, ratelimit.Rate(0))
	}
	is.Equal(wireLimit{Rate: math.Inf(1)}.mark().Rate, ratelimit.MostRate)
}

// BenchmarkPermit is one question for a permit and its answer between two processes' ends on
// one machine, both counted: the processor time that one host's request costs both.
func BenchmarkPermit(b *testing.B) {
	key := make([]byte, 32)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	asked := forward.New(forward.Settings{Self: forward.Peer{ID: "g", Zone: "z"}}, nil, nothingNoted{}, nothingCounted{})
	asked.Fleet().Replace(time.Now(), []forward.Upstream{{ID: "u", Service: "app", Zone: "z", Revision: history.NewPoint(0, 1)}}, history.NewPoint(0, 1))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server, caller := NewMesh("g", key), NewMesh("h", key)
	defer caller.Close()
	go func() { _ = server.ServeForward(ctx, listener, asked, ignore) }()
	to := forward.Peer{ID: "g", Zone: "z", PeerAddress: listener.Addr().String()}
	for b.Loop() {
		if _, err := caller.Permit(ctx, to, permit.Ask{Upstream: "u", Ask: ratelimit.Ask{From: "h", Rate: 4}}); err != nil {
			b.Fatal(err)
		}
	}
}

// nothingNoted and nothingCounted keep nothing.
type (
	nothingNoted   struct{}
	nothingCounted struct{}
)

func (nothingNoted) Request(forward.RequestID, string, ...any)      {}
func (nothingNoted) HostEvent(string, ...any)                       {}
func (nothingCounted) Answered(forward.Kind, string, time.Duration) {}
func (nothingCounted) FirstEvent(time.Duration)                     {}
func (nothingCounted) EventGap(time.Duration)                       {}
func (nothingCounted) Repeated(string)                              {}
func (nothingCounted) Moved(string, time.Duration)                  {}
func (nothingCounted) UnreadableEntries(int)                        {}
func (nothingCounted) ConnectionBroken(bool)                        {}
func (nothingCounted) Permit(permit.Outcome)                        {}
func (nothingCounted) Send(eligibility.Verdict)                     {}
func (nothingCounted) Signal(forward.SignalKind)                    {}
func (nothingCounted) Suspended(time.Duration)                      {}
