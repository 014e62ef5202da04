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

// wireLimit is ratelimit.Mark; Age is in milliseconds.
type wireLimit struct {
	Upstream  string
	Life, Age int64
	Named     bool
	Rate      float64
}

func toWireLimit(m ratelimit.Mark) wireLimit {
	return wireLimit{Upstream: string(m.Upstream), Life: m.Life, Age: m.Age.Milliseconds(), Named: m.Named, Rate: float64(m.Rate)}
}

func toWireLimits(marks []ratelimit.Mark) []wireLimit {
	var w []wireLimit
	for _, m := range marks {
		w = append(w, toWireLimit(m))
	}
	return w
}

func (w wireLimit) mark() ratelimit.Mark {
	return ratelimit.Mark{
		Upstream: member.UpstreamID(w.Upstream), Life: w.Life, Age: time.Duration(w.Age) * time.Millisecond,
		Named: w.Named, Rate: ratelimit.Rate(w.Rate).Sane(),
	}
}

func limitMarks(w []wireLimit) []ratelimit.Mark {
	var marks []ratelimit.Mark
	for _, l := range w {
		marks = append(marks, l.mark())
	}
	return marks
}

// wirePermit is permit.Ask; Word is empty where there is none.
type wirePermit struct {
	From, Upstream string
	Rate           float64
	Rank           int
	Repeat, Must   bool
	Word           []wireLimit
}

func toWirePermit(a permit.GrantRequest) wirePermit {
	w := wirePermit{
		From: string(a.From), Upstream: string(a.Upstream), Rate: float64(a.Rate), Rank: a.Rank, Repeat: a.Repeat, Must: a.Must,
	}
	if a.HasLimitMark {
		w.Word = []wireLimit{toWireLimit(a.LimitMark)}
	}
	return w
}

func (w wirePermit) ask() permit.GrantRequest {
	a := permit.GrantRequest{
		Upstream: member.UpstreamID(w.Upstream),
		Ask:      ratelimit.Ask{From: member.HostID(w.From), Rate: ratelimit.Rate(w.Rate).Sane(), Rank: w.Rank, Repeat: w.Repeat, Must: w.Must},
	}
	if len(w.Word) > 0 {
		a.LimitMark, a.HasLimitMark = w.Word[0].mark(), true
	}
	return a
}

// wirePermitted is permit.Reply; Wait is in milliseconds.
type wirePermitted struct {
	Granted, Passed bool
	Wait            int64
	// ID, Zone and Address are those of the host that grants instead; empty for none.
	ID, Zone, Address string
	Unknown           bool
	Word              []wireLimit
}

func toWirePermitted(r permit.GrantReply) wirePermitted {
	w := wirePermitted{
		Granted: r.Granted, Passed: r.Passed, Wait: r.Wait.Milliseconds(), Unknown: r.UnknownUpstream,
		ID: string(r.Granter.ID), Zone: string(r.Granter.Zone), Address: r.Granter.PeerAddress,
	}
	if r.HasLimitMark {
		w.Word = []wireLimit{toWireLimit(r.LimitMark)}
	}
	return w
}

func (w wirePermitted) reply() permit.GrantReply {
	r := permit.GrantReply{
		Grant:           ratelimit.Grant{Granted: w.Granted, Passed: w.Passed, Wait: time.Duration(w.Wait) * time.Millisecond},
		Granter:         forward.Peer{ID: member.HostID(w.ID), Zone: member.Zone(w.Zone), PeerAddress: w.Address},
		UnknownUpstream: w.Unknown,
	}
	if len(w.Word) > 0 {
		r.LimitMark, r.HasLimitMark = w.Word[0].mark(), true
	}
	return r
}

// Permit asks a peer for leave to send to an upstream.
func (m *Mesh) Permit(ctx context.Context, to forward.Peer, a permit.GrantRequest) (permit.GrantReply, error) {
	var answer wirePermitted
	if err := m.call(ctx, to.PeerAddress, kindPermit, toWirePermit(a), &answer); err != nil {
		return permit.GrantReply{}, err
	}
	return answer.reply(), nil
}

func onPermit(f forwardPeer, body []byte) (any, error) {
	var w wirePermit
	if err := msgpack.Unmarshal(body, &w); err != nil {
		return nil, trace.Wrap(err)
	}
	return toWirePermitted(f.OnPermit(w.ask())), nil
}
