// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/shedpath/shedpath/forward"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/rejection"
)

// wireRejection encodes rejection.Announcement; Age is in milliseconds.
type wireRejection struct {
	Service string
	Limit   int
	Age     int64
}

func toWireRejections(all []rejection.Announcement) []wireRejection {
	var w []wireRejection
	for _, a := range all {
		w = append(w, wireRejection{Service: string(a.Service), Limit: a.Limit, Age: a.Age.Milliseconds()})
	}
	return w
}

func rejectionLimits(w []wireRejection) []rejection.Announcement {
	var all []rejection.Announcement
	for _, a := range w {
		all = append(all, rejection.Announcement{Service: rejection.ServiceName(a.Service), Limit: a.Limit, Age: duration(a.Age, time.Millisecond)})
	}
	return all
}

// wireWant encodes rejection.Want.
type wireWant struct {
	Upstream   string
	Held, More int
}

// wireLoanRequest encodes rejection.LoanRequest. The reply is a list of the numbers of places.
type wireLoanRequest struct {
	From       string
	Epoch, Seq uint64
	Wants      []wireWant
}

func toWireLoanRequest(r rejection.LoanRequest) wireLoanRequest {
	w := wireLoanRequest{From: string(r.From), Epoch: r.Epoch, Seq: r.Seq}
	for _, want := range r.Wants {
		w.Wants = append(w.Wants, wireWant{Upstream: string(want.Upstream), Held: want.Held, More: want.More})
	}
	return w
}

func (w wireLoanRequest) request() rejection.LoanRequest {
	r := rejection.LoanRequest{From: member.HostID(w.From), Epoch: w.Epoch, Seq: w.Seq}
	for _, want := range w.Wants {
		r.Wants = append(r.Wants, rejection.Want{Upstream: member.UpstreamID(want.Upstream), Held: want.Held, More: want.More})
	}
	return r
}

// Lend asks a peer to lend places at upstreams.
func (m *Mesh) Lend(ctx context.Context, to forward.Peer, r rejection.LoanRequest) (rejection.LoanReply, error) {
	var places []int
	if err := m.call(ctx, to.PeerAddress, kindLend, toWireLoanRequest(r), &places); err != nil {
		return rejection.LoanReply{}, err
	}
	return rejection.LoanReply{Places: places}, nil
}

func onLend(f forwardHandler, body []byte) (any, error) {
	var w wireLoanRequest
	if err := msgpack.Unmarshal(body, &w); err != nil {
		return nil, trace.Wrap(err)
	}
	return f.OnLend(w.request()).Places, nil
}
