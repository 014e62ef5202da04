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
	"github.com/shedpath/shedpath/permit"
	"github.com/shedpath/shedpath/ratelimit"
)

// wireLimitMark encodes ratelimit.Mark; Age is in milliseconds.
type wireLimitMark struct {
	Upstream  string
	Life, Age int64
	Named     bool
	Rate      float64
}

func toWireLimitMark(m ratelimit.PeerReport) wireLimitMark {
	return wireLimitMark{Upstream: string(m.Upstream), Life: m.Incarnation, Age: m.Age.Milliseconds(), Named: m.HasLimit, Rate: float64(m.Rate)}
}

func toWireLimitMarks(marks []ratelimit.PeerReport) []wireLimitMark {
	var w []wireLimitMark
	for _, m := range marks {
		w = append(w, toWireLimitMark(m))
	}
	return w
}

func (w wireLimitMark) mark() ratelimit.PeerReport {
	return ratelimit.PeerReport{
		Upstream: member.UpstreamID(w.Upstream), Incarnation: w.Life, Age: time.Duration(w.Age) * time.Millisecond,
		HasLimit: w.Named, Rate: ratelimit.Rate(w.Rate).Clamp(),
	}
}

func limitMarks(w []wireLimitMark) []ratelimit.PeerReport {
	var marks []ratelimit.PeerReport
	for _, l := range w {
		marks = append(marks, l.mark())
	}
	return marks
}

// wirePermitRequest encodes permit.Ask. Word has at most one element, the sender's newest
// observation of the upstream's limit.
type wirePermitRequest struct {
	From, Upstream string
	Rate           float64
	Rank           int
	Repeat, Must   bool
	Word           []wireLimitMark
}

func toWirePermitRequest(a permit.GrantRequest) wirePermitRequest {
	w := wirePermitRequest{
		From: string(a.From), Upstream: string(a.Upstream), Rate: float64(a.Rate), Rank: a.Rank, Repeat: a.Repeat, Must: a.Unconditional,
	}
	if a.HasLimitMark {
		w.Word = []wireLimitMark{toWireLimitMark(a.LimitMark)}
	}
	return w
}

func (w wirePermitRequest) request() permit.GrantRequest {
	a := permit.GrantRequest{
		Upstream:      member.UpstreamID(w.Upstream),
		PermitRequest: ratelimit.PermitRequest{From: member.HostID(w.From), Rate: ratelimit.Rate(w.Rate).Clamp(), Rank: w.Rank, Repeat: w.Repeat, Unconditional: w.Must},
	}
	if len(w.Word) > 0 {
		a.LimitMark, a.HasLimitMark = w.Word[0].mark(), true
	}
	return a
}

// wirePermitReply encodes permit.Reply; Wait is in milliseconds. Word has at most one element, the
// replying host's newest observation of the upstream's limit.
type wirePermitReply struct {
	Granted, Passed bool
	Wait            int64
	// ID, Zone and Address are those of the host that grants in place of this one; empty for none.
	ID, Zone, Address string
	Unknown           bool
	Word              []wireLimitMark
}

func toWirePermitReply(r permit.GrantReply) wirePermitReply {
	w := wirePermitReply{
		Granted: r.Granted, Passed: r.Outranked, Wait: r.Wait.Milliseconds(), Unknown: r.UnknownUpstream,
		ID: string(r.Granter.ID), Zone: string(r.Granter.Zone), Address: r.Granter.PeerAddress,
	}
	if r.HasLimitMark {
		w.Word = []wireLimitMark{toWireLimitMark(r.LimitMark)}
	}
	return w
}

func (w wirePermitReply) reply() permit.GrantReply {
	r := permit.GrantReply{
		Decision:        ratelimit.Decision{Granted: w.Granted, Outranked: w.Passed, Wait: time.Duration(w.Wait) * time.Millisecond},
		Granter:         forward.Peer{ID: member.HostID(w.ID), Zone: member.Zone(w.Zone), PeerAddress: w.Address},
		UnknownUpstream: w.Unknown,
	}
	if len(w.Word) > 0 {
		r.LimitMark, r.HasLimitMark = w.Word[0].mark(), true
	}
	return r
}

// Permit asks a peer for a permit to send a request to an upstream.
func (m *Mesh) Permit(ctx context.Context, to forward.Peer, a permit.GrantRequest) (permit.GrantReply, error) {
	var answer wirePermitReply
	if err := m.call(ctx, to.PeerAddress, kindPermit, toWirePermitRequest(a), &answer); err != nil {
		return permit.GrantReply{}, err
	}
	return answer.reply(), nil
}

func onPermit(f forwardHandler, body []byte) (any, error) {
	var w wirePermitRequest
	if err := msgpack.Unmarshal(body, &w); err != nil {
		return nil, trace.Wrap(err)
	}
	return toWirePermitReply(f.OnPermit(w.request())), nil
}
