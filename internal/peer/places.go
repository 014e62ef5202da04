// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"time"

	"github.com/shedpath/shedpath/backoff"
	"github.com/shedpath/shedpath/forward"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/resource"
)

// wireTurnRequest encodes forward.TurnRequest. Wait is how long the arbiter may keep the request
// waiting, in milliseconds, because the caller's context isn't sent.
type wireTurnRequest struct {
	Engine, Run string
	Worth       int
	AtOnce      bool
	Wait        int64
}

func toWireTurnRequest(r forward.TurnRequest) wireTurnRequest {
	return wireTurnRequest{Engine: string(r.Engine), Run: string(r.Run), Worth: r.Priority, AtOnce: r.NoWait}
}

func (w wireTurnRequest) request() forward.TurnRequest {
	return forward.TurnRequest{Engine: member.UpstreamID(w.Engine), Run: policy.RunID(w.Run), Priority: w.Worth, NoWait: w.AtOnce}
}

// Turn requests the turn to move a run off an engine from the engine's arbiter, and waits for the
// reply.
func (m *Mesh) Turn(ctx context.Context, to forward.Peer, r forward.TurnRequest) error {
	var answer bool
	w := toWireTurnRequest(r)
	if deadline, ok := ctx.Deadline(); ok {
		w.Wait = time.Until(deadline).Milliseconds()
	}
	return m.call(ctx, to.PeerAddress, kindTurn, w, &answer)
}

// EndTurn returns a turn to the arbiter that granted it.
func (m *Mesh) EndTurn(ctx context.Context, to forward.Peer, r forward.TurnRequest) error {
	var answer bool
	return m.call(ctx, to.PeerAddress, kindEndTurn, toWireTurnRequest(r), &answer)
}

// Backoff reports a backoff to the peer that carried the answer in which an upstream asked for it.
func (m *Mesh) Backoff(ctx context.Context, to forward.Peer, mark backoff.Mark) error {
	var answer bool
	return m.call(ctx, to.PeerAddress, kindBackoff, toWireBackoff(mark), &answer)
}

// wirePlacementRequest encodes forward.PlacementRequest; times are in milliseconds.
type wirePlacementRequest struct {
	From, Service, Run, Route, Account string
	Urgency, Prompt, Limit             int
	Objective, Waited                  int64
	Avoid                              []string
	OnlyGroup, ButGroup                string
}

// wirePlacementGrant encodes forward.PlacementGrant; First is the expected time to the first token,
// in milliseconds.
type wirePlacementGrant struct {
	Engine string
	First  int64
}

func toWirePlacementRequest(a forward.PlacementRequest) wirePlacementRequest {
	w := wirePlacementRequest{
		From: string(a.From), Service: string(a.Service), Run: string(a.Run), Route: string(a.Route), Account: string(a.Account),
		Urgency: a.Priority, Prompt: int(a.PromptTokens), Limit: int(a.MaxOutputTokens),
		Objective: a.Objective.Milliseconds(), Waited: a.Elapsed.Milliseconds(), OnlyGroup: a.OnlyGroup, ButGroup: a.ExcludedGroup,
	}
	for _, id := range a.ExcludedEngines {
		w.Avoid = append(w.Avoid, string(id))
	}
	return w
}

func (w wirePlacementRequest) request() forward.PlacementRequest {
	a := forward.PlacementRequest{
		From: member.HostID(w.From), Service: forward.ServiceName(w.Service), Run: policy.RunID(w.Run),
		Route: resource.Name(w.Route), Account: resource.Account(w.Account),
		Priority: w.Urgency, PromptTokens: policy.Tokens(w.Prompt), MaxOutputTokens: policy.Tokens(w.Limit),
		Objective: time.Duration(w.Objective) * time.Millisecond, Elapsed: time.Duration(w.Waited) * time.Millisecond,
		OnlyGroup: w.OnlyGroup, ExcludedGroup: w.ButGroup,
	}
	for _, id := range w.Avoid {
		a.ExcludedEngines = append(a.ExcludedEngines, member.UpstreamID(id))
	}
	return a
}

// Ask asks a peer to reserve a place for a run on one of its zone's engines.
func (m *Mesh) Ask(ctx context.Context, to forward.Peer, a forward.PlacementRequest) (forward.PlacementGrant, error) {
	var answer wirePlacementGrant
	if err := m.call(ctx, to.PeerAddress, kindAsk, toWirePlacementRequest(a), &answer); err != nil {
		return forward.PlacementGrant{}, err
	}
	return forward.PlacementGrant{Engine: member.UpstreamID(answer.Engine), TimeToFirstToken: time.Duration(answer.First) * time.Millisecond}, nil
}
