// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/shedpath/shedpath/admission"
	"github.com/shedpath/shedpath/forward"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// wireWaiting encodes forward.WaitingMark.
type wireWaiting struct {
	Service        string
	Count, Highest int
}

func toWireWaiting(marks []forward.WaitingMark) []wireWaiting {
	var w []wireWaiting
	for _, m := range marks {
		w = append(w, wireWaiting{Service: string(m.Service), Count: m.Count, Highest: m.Highest})
	}
	return w
}

func waitingMarks(w []wireWaiting) []forward.WaitingMark {
	var marks []forward.WaitingMark
	for _, m := range w {
		marks = append(marks, forward.WaitingMark{Service: forward.ServiceName(m.Service), Count: m.Count, Highest: m.Highest})
	}
	return marks
}

// wireAdmitRequest encodes forward.AdmitRequest; Left is the time until the caller gives up, in
// milliseconds.
type wireAdmitRequest struct {
	Place  wirePlacementRequest
	Caller string
	Left   int64
	// Withdraw ends an earlier request for the run.
	Withdraw bool
}

// wireAdmitReply encodes forward.AdmitReply; times are in milliseconds.
type wireAdmitReply struct {
	Engine                       string
	First                        int64
	Refused                      bool
	Reason                       string
	RetryAfter, Waited, Forecast int64
}

func toWireAdmitRequest(r forward.AdmitRequest) wireAdmitRequest {
	return wireAdmitRequest{Place: toWirePlacementRequest(r.PlacementRequest), Caller: string(r.Caller), Left: r.TimeLeft.Milliseconds(), Withdraw: r.Withdraw}
}

func (w wireAdmitRequest) request() forward.AdmitRequest {
	return forward.AdmitRequest{
		PlacementRequest: w.Place.request(), Caller: admission.Caller(w.Caller), TimeLeft: duration(w.Left, time.Millisecond), Withdraw: w.Withdraw,
	}
}

func toWireAdmitReply(r forward.AdmitReply) wireAdmitReply {
	return wireAdmitReply{
		Engine: string(r.Engine), First: r.TimeToFirstToken.Milliseconds(), Refused: r.Refused, Reason: string(r.Reason),
		RetryAfter: r.RetryAfter.Milliseconds(), Waited: r.Waited.Milliseconds(), Forecast: r.Forecast.Milliseconds(),
	}
}

func (w wireAdmitReply) reply() forward.AdmitReply {
	return forward.AdmitReply{
		PlacementGrant: forward.PlacementGrant{Engine: member.UpstreamID(w.Engine), TimeToFirstToken: duration(w.First, time.Millisecond)},
		Refused:        w.Refused, Reason: policy.Reason(w.Reason),
		RetryAfter: duration(w.RetryAfter, time.Millisecond), Waited: duration(w.Waited, time.Millisecond), Forecast: duration(w.Forecast, time.Millisecond),
	}
}

// admitConnectTimeout bounds the connection to the responsible host. Hosts of a cell are less than
// a millisecond apart; one that doesn't accept a connection in this time counts as down.
const admitConnectTimeout = 40 * time.Millisecond

// Admit waits at the host that is responsible for the zone's requests for a place, until the
// context ends.
func (m *Mesh) Admit(ctx context.Context, to forward.Peer, r forward.AdmitRequest) (forward.AdmitReply, error) {
	c, err := m.connectWithin(ctx, admitConnectTimeout, to.PeerAddress)
	if err != nil {
		return forward.AdmitReply{}, err
	}
	var answer wireAdmitReply
	if err := c.call(ctx, kindAdmit, toWireAdmitRequest(r), &answer); err != nil {
		return forward.AdmitReply{}, err
	}
	return answer.reply(), nil
}

// connectWithin returns the connection to an address if it is there in time. A dial goes on after
// that, for later calls.
func (m *Mesh) connectWithin(ctx context.Context, limit time.Duration, address string) (*conn, error) {
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	c, err := m.connect(bounded, address)
	if err != nil && bounded.Err() != nil && ctx.Err() == nil {
		return nil, trace.ConnectionProblem(err, "no connection to peer %s within %v", address, limit)
	}
	return c, err
}

func onAdmit(ctx context.Context, f forwardHandler, body []byte) (any, error) {
	var w wireAdmitRequest
	if err := msgpack.Unmarshal(body, &w); err != nil {
		return nil, trace.Wrap(err)
	}
	return toWireAdmitReply(f.OnAdmit(ctx, w.request())), nil
}
