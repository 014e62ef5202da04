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
	"github.com/shedpath/shedpath/enginereport"
	"github.com/shedpath/shedpath/forward"
	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/permit"
	"github.com/shedpath/shedpath/ratelimit"
	"github.com/shedpath/shedpath/zoneload"
)

// TestPermitRoundTrip checks that permit requests, their replies and observed limits are decoded
// unchanged, and that an invalid rate is replaced by the nearest valid one.
func TestPermitRoundTrip(t *testing.T) {
	is := is.New(t)
	mark := ratelimit.PeerReport{Upstream: "u", Incarnation: 3, HasLimit: true, Rate: 2.8, Age: 40 * time.Millisecond}
	ask := permit.GrantRequest{
		Upstream: "u", PermitRequest: ratelimit.PermitRequest{From: "h", Rate: 2.8, Rank: 4, Repeat: true, Unconditional: true}, HasLimitMark: true, LimitMark: mark,
	}
	is.Equal(toWirePermitRequest(ask).request(), ask)
	is.Equal(toWirePermitRequest(permit.GrantRequest{Upstream: "u"}).request(), permit.GrantRequest{Upstream: "u"})
	reply := permit.GrantReply{
		Decision: ratelimit.Decision{Granted: true, Outranked: true, Wait: 250 * time.Millisecond}, Granter: forward.Peer{ID: "g", Zone: "z", PeerAddress: "10.0.0.1:1"},
		UnknownUpstream: true, HasLimitMark: true, LimitMark: mark,
	}
	is.Equal(toWirePermitReply(reply).reply(), reply)
	share := forward.Share{Limits: []ratelimit.PeerReport{mark}}
	is.Equal(toWireShare(time.Now(), share).share(time.Now()).Limits, share.Limits)
	for _, invalid := range []float64{-1, math.NaN(), math.Inf(-1)} {
		is.Equal(wireLimitMark{Rate: invalid}.mark().Rate, ratelimit.Rate(0))
		is.Equal(wirePermitRequest{Rate: invalid}.request().Rate, ratelimit.Rate(0))
	}
	is.Equal(wireLimitMark{Rate: math.Inf(1)}.mark().Rate, ratelimit.MaxRate)
}

// BenchmarkPermit measures one permit request and its reply between two meshes in one process. The
// figures include both sides.
func BenchmarkPermit(b *testing.B) {
	key := make([]byte, 32)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	asked := forward.New(forward.Settings{Self: forward.Peer{ID: "g", Zone: "z"}}, nil, nopLog{}, nopMetrics{})
	asked.Fleet().Replace(time.Now(), []forward.Upstream{{ID: "u", Service: "app", Zone: "z", Revision: history.NewPoint(0, 1)}}, history.NewPoint(0, 1))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server, caller := NewMesh("g", key), NewMesh("h", key)
	defer caller.Close()
	go func() { _ = server.ServeForward(ctx, listener, asked, ignoreError) }()
	to := forward.Peer{ID: "g", Zone: "z", PeerAddress: listener.Addr().String()}
	for b.Loop() {
		if _, err := caller.Permit(ctx, to, permit.GrantRequest{Upstream: "u", PermitRequest: ratelimit.PermitRequest{From: "h", Rate: 4}}); err != nil {
			b.Fatal(err)
		}
	}
}

// nopLog and nopMetrics discard everything.
type (
	nopLog     struct{}
	nopMetrics struct{}
)

func (nopLog) Request(forward.RequestID, string, ...any)        {}
func (nopLog) HostEvent(string, ...any)                         {}
func (nopMetrics) Answered(forward.Kind, string, time.Duration) {}
func (nopMetrics) FirstEvent(time.Duration)                     {}
func (nopMetrics) EventGap(time.Duration)                       {}
func (nopMetrics) Repeated(string)                              {}
func (nopMetrics) Moved(string, time.Duration)                  {}
func (nopMetrics) UnreadableEntries(int)                        {}
func (nopMetrics) ConnectionBroken(bool)                        {}
func (nopMetrics) Identified(forward.Identity)                  {}
func (nopMetrics) Permit(permit.Outcome)                        {}
func (nopMetrics) Send(eligibility.Verdict)                     {}
func (nopMetrics) Signal(forward.SignalKind)                    {}
func (nopMetrics) Suspended(time.Duration)                      {}
func (nopMetrics) Panicked()                                    {}
func (nopMetrics) ZoneShift(zoneload.Outcome)                   {}
func (nopMetrics) EngineReport(enginereport.Outcome)            {}

func (nopMetrics) Admission(forward.AdmissionOutcome, time.Duration) {}
