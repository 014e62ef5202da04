// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"bytes"
	"context"
	"errors"
	"reflect"
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
	Engine                   string
	First                    int64
	Refused                  bool
	Reason                   string
	RetryAfter, Waited, Late int64
}

func toWireAdmitRequest(r forward.AdmitRequest) wireAdmitRequest {
	return wireAdmitRequest{Place: toWirePlacementRequest(r.PlacementRequest), Caller: string(r.Caller), Left: r.TimeLeft.Milliseconds(), Withdraw: r.Withdraw}
}

func (w wireAdmitRequest) request() forward.AdmitRequest {
	return forward.AdmitRequest{
		PlacementRequest: w.Place.request(), Caller: admission.Caller(w.Caller), TimeLeft: time.Duration(w.Left) * time.Millisecond, Withdraw: w.Withdraw,
	}
}

func toWireAdmitReply(r forward.AdmitReply) wireAdmitReply {
	return wireAdmitReply{
		Engine: string(r.Engine), First: r.TimeToFirstToken.Milliseconds(), Refused: r.Refused, Reason: string(r.Reason),
		RetryAfter: r.RetryAfter.Milliseconds(), Waited: r.Waited.Milliseconds(), Late: r.Forecast.Milliseconds(),
	}
}

func (w wireAdmitReply) reply() forward.AdmitReply {
	return forward.AdmitReply{
		PlacementGrant: forward.PlacementGrant{Engine: member.UpstreamID(w.Engine), TimeToFirstToken: time.Duration(w.First) * time.Millisecond},
		Refused:        w.Refused, Reason: policy.Reason(w.Reason),
		RetryAfter: time.Duration(w.RetryAfter) * time.Millisecond, Waited: time.Duration(w.Waited) * time.Millisecond, Forecast: time.Duration(w.Late) * time.Millisecond,
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
	type result struct {
		conn *conn
		err  error
	}
	connected := make(chan result, 1)
	go func() {
		c, err := m.connect(context.WithoutCancel(ctx), address)
		connected <- result{c, err}
	}()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case r := <-connected:
		return r.conn, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-timer.C:
		return nil, trace.ConnectionProblem(nil, "no connection to peer %s within %v", address, limit)
	}
}

func onAdmit(ctx context.Context, f forwardHandler, body []byte) (any, error) {
	var w wireAdmitRequest
	if err := msgpack.Unmarshal(body, &w); err != nil {
		return nil, trace.Wrap(err)
	}
	return toWireAdmitReply(f.OnAdmit(ctx, w.request())), nil
}

// A struct that is encoded as an array can only be decoded into one with as many fields. A share
// therefore has the fields of wireShare alone unless it has more to tell, and what follows fields
// that this version knows is skipped.

// wireShareExtended is a share with the fields that hosts of earlier versions don't know.
type wireShareExtended struct {
	wireShare
	Waiting []wireWaiting
}

// shareMessage is a share as it is sent.
type shareMessage struct{ wireShareExtended }

func newShareMessage(now time.Time, s forward.Share) *shareMessage {
	return &shareMessage{wireShareExtended{toWireShare(now, s), toWireWaiting(s.Waiting)}}
}

func (w *shareMessage) share(now time.Time) forward.Share {
	s := w.wireShare.share(now)
	s.Waiting = waitingMarks(w.Waiting)
	return s
}

// EncodeMsgpack writes the share without the fields that earlier versions don't know if those are
// empty.
func (w *shareMessage) EncodeMsgpack(to *msgpack.Encoder) error {
	if len(w.Waiting) == 0 {
		return to.Encode(&w.wireShare)
	}
	return to.Encode(&w.wireShareExtended)
}

// shareFieldCount is the number of fields of wireShare.
var shareFieldCount = reflect.TypeFor[wireShare]().NumField()

// DecodeMsgpack reads a share of this version, an earlier or a later one.
func (w *shareMessage) DecodeMsgpack(from *msgpack.Decoder) error {
	body, err := from.DecodeRaw()
	if err != nil {
		return err
	}
	fields, err := msgpack.NewDecoder(bytes.NewReader(body)).DecodeArrayLen()
	if err != nil {
		return err
	}
	if fields <= shareFieldCount {
		return msgpack.Unmarshal(body, &w.wireShare)
	}
	var parts []msgpack.RawMessage
	if err := msgpack.Unmarshal(body, &parts); err != nil {
		return err
	}
	known, err := encode(parts[:shareFieldCount])
	if err != nil {
		return err
	}
	if err := msgpack.Unmarshal(known, &w.wireShare); err != nil {
		return err
	}
	return msgpack.Unmarshal(parts[shareFieldCount], &w.Waiting)
}

// callShare sends a share. To a host of an earlier version, which can't read what this one adds, it
// is sent again without that.
func (m *Mesh) callShare(ctx context.Context, to forward.Peer, s forward.Share, answer *shareMessage) error {
	now := m.clock.Now()
	err := m.call(ctx, to.PeerAddress, kindShare, newShareMessage(now, s), answer)
	var failed *callError
	if len(s.Waiting) == 0 || !errors.As(err, &failed) {
		return err
	}
	s.Waiting = nil
	return m.call(ctx, to.PeerAddress, kindShare, newShareMessage(now, s), answer)
}
