// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/shedpath/shedpath/entry"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/resource"
)

// Heartbeat exchanges heartbeats with a peer.
func (m *Mesh) Heartbeat(ctx context.Context, to member.Entry, h entry.Heartbeat) (entry.Heartbeat, error) {
	var answer wireHeartbeat
	if err := m.call(ctx, to.PeerAddress, kindHeartbeat, toWireHeartbeat(h), &answer); err != nil {
		return entry.Heartbeat{}, err
	}
	return answer.heartbeat(), nil
}

// Place requests placement decisions for runs of a pool from its coordinator.
func (m *Mesh) Place(ctx context.Context, to member.Entry, pool resource.Name, requests []policy.Request) ([]policy.Decision, error) {
	request := wirePlaceRequest{Pool: string(pool)}
	now := m.clock.Now()
	for _, r := range requests {
		request.Asked = append(request.Asked, toWireRequest(now, r))
	}
	var answer wireDecisions
	if err := m.call(ctx, to.PeerAddress, kindPlace, request, &answer); err != nil {
		return nil, err
	}
	return answer.decisions(), nil
}

// Decided sends an entry host the decisions about its queued requests.
func (m *Mesh) Decided(ctx context.Context, to member.Entry, pool resource.Name, decisions []policy.Decision) error {
	var answer bool
	return m.call(ctx, to.PeerAddress, kindDecided, toWireDecisions(pool, decisions), &answer)
}

// Finished reports to a coordinator the runs that left their engines.
func (m *Mesh) Finished(ctx context.Context, to member.Entry, pool resource.Name, finished []policy.Finish) error {
	request := wireFinished{Pool: string(pool)}
	for _, f := range finished {
		request.Finished = append(request.Finished, wireFinish{Run: string(f.Run), Made: int(f.GeneratedTokens), Whole: f.Complete})
	}
	var answer bool
	return m.call(ctx, to.PeerAddress, kindFinished, request, &answer)
}

// Running reports to a new coordinator the runs that are placed on its engines.
func (m *Mesh) Running(ctx context.Context, to member.Entry, pool resource.Name, runs []entry.PlacedRun) error {
	request := wireRunning{Pool: string(pool)}
	now := m.clock.Now()
	for _, r := range runs {
		request.Runs = append(request.Runs, wireRun{Request: toWireRequest(now, r.Request), Engine: string(r.Engine), Made: int(r.GeneratedTokens)})
	}
	var answer bool
	return m.call(ctx, to.PeerAddress, kindRunning, request, &answer)
}

// ClaimRepair exchanges the states of the repair of claims with a peer.
func (m *Mesh) ClaimRepair(ctx context.Context, to member.Entry, r entry.ClaimRepair) (entry.ClaimRepair, error) {
	var answer wireClaimRepair
	if err := m.call(ctx, to.PeerAddress, kindClaimRepair, toWireClaimRepair(r), &answer); err != nil {
		return entry.ClaimRepair{}, err
	}
	return answer.claimRepair(), nil
}

// Log fetches the part of the peer's configuration log that follows a revision.
func (m *Mesh) Log(ctx context.Context, to member.Entry, after resource.Revision) (entry.LogTail, error) {
	var answer wireLogTail
	var tail entry.LogTail
	if err := m.call(ctx, to.PeerAddress, kindLog, wireLogRequest{After: uint64(after)}, &answer); err != nil {
		return tail, err
	}
	if len(answer.Snapshot) > 0 {
		if err := json.Unmarshal(answer.Snapshot, &tail.Snapshot); err != nil {
			return tail, trace.Wrap(err, "decoding the snapshot from peer %s", to.PeerAddress)
		}
	}
	if len(answer.Entries) > 0 {
		if err := json.Unmarshal(answer.Entries, &tail.Entries); err != nil {
			return tail, trace.Wrap(err, "decoding the log entries from peer %s", to.PeerAddress)
		}
	}
	return tail, nil
}

// Serve answers the peers' calls until the context ends. onRefused is called with
// the error of each connection whose handshake failed.
func (m *Mesh) Serve(ctx context.Context, listener net.Listener, h entry.PeerHandler, onRefused func(error)) error {
	return m.serve(ctx, listener, func(ctx context.Context, from member.HostID, k callKind, body []byte) (any, error) {
		return dispatchEntryCall(ctx, m.clock.Now(), h, from, k, body)
	}, h.OnLinkDown, onRefused)
}

// dispatchEntryCall decodes the body of a call, passes it to the handler, and returns the
// value to send as the reply.
func dispatchEntryCall(ctx context.Context, now time.Time, h entry.PeerHandler, from member.HostID, k callKind, body []byte) (any, error) {
	switch k {
	case kindHeartbeat:
		return onHeartbeat(now, h, body)
	case kindPlace:
		return onPlace(ctx, now, h, from, body)
	case kindDecided:
		return onDecided(ctx, h, from, body)
	case kindFinished:
		return onFinished(ctx, h, body)
	case kindRunning:
		return onRunning(ctx, now, h, from, body)
	case kindLog:
		return onLog(h, body)
	case kindClaimRepair:
		return onClaimRepair(now, h, body)
	default:
		return nil, trace.BadParameter("unknown kind of call %d", k)
	}
}

func onHeartbeat(now time.Time, h entry.PeerHandler, body []byte) (any, error) {
	var w wireHeartbeat
	if err := msgpack.Unmarshal(body, &w); err != nil {
		return nil, trace.Wrap(err)
	}
	return toWireHeartbeat(h.OnHeartbeat(now, w.heartbeat())), nil
}

func onClaimRepair(now time.Time, h entry.PeerHandler, body []byte) (any, error) {
	var w wireClaimRepair
	if err := msgpack.Unmarshal(body, &w); err != nil {
		return nil, trace.Wrap(err)
	}
	return toWireClaimRepair(h.OnClaimRepair(now, w.claimRepair())), nil
}

func onPlace(ctx context.Context, now time.Time, h entry.PeerHandler, from member.HostID, body []byte) (any, error) {
	var w wirePlaceRequest
	if err := msgpack.Unmarshal(body, &w); err != nil {
		return nil, trace.Wrap(err)
	}
	requests := make([]policy.Request, 0, len(w.Asked))
	for _, r := range w.Asked {
		requests = append(requests, r.request(now))
	}
	decisions, err := h.OnPlace(ctx, from, resource.Name(w.Pool), requests)
	if err != nil {
		return nil, err
	}
	return toWireDecisions(resource.Name(w.Pool), decisions), nil
}

func onDecided(ctx context.Context, h entry.PeerHandler, from member.HostID, body []byte) (any, error) {
	var w wireDecisions
	if err := msgpack.Unmarshal(body, &w); err != nil {
		return nil, trace.Wrap(err)
	}
	return true, h.OnDecided(ctx, from, resource.Name(w.Pool), w.decisions())
}

func onFinished(ctx context.Context, h entry.PeerHandler, body []byte) (any, error) {
	var w wireFinished
	if err := msgpack.Unmarshal(body, &w); err != nil {
		return nil, trace.Wrap(err)
	}
	finished := make([]policy.Finish, 0, len(w.Finished))
	for _, f := range w.Finished {
		finished = append(finished, policy.Finish{Run: policy.RunID(f.Run), GeneratedTokens: policy.Tokens(f.Made), Complete: f.Whole})
	}
	return true, h.OnFinished(ctx, resource.Name(w.Pool), finished)
}

func onRunning(ctx context.Context, now time.Time, h entry.PeerHandler, from member.HostID, body []byte) (any, error) {
	var w wireRunning
	if err := msgpack.Unmarshal(body, &w); err != nil {
		return nil, trace.Wrap(err)
	}
	runs := make([]entry.PlacedRun, 0, len(w.Runs))
	for _, r := range w.Runs {
		runs = append(runs, entry.PlacedRun{
			Request: r.Request.request(now), Engine: member.UpstreamID(r.Engine), GeneratedTokens: policy.Tokens(r.Made),
		})
	}
	return true, h.OnRunning(ctx, from, resource.Name(w.Pool), runs)
}

func onLog(h entry.PeerHandler, body []byte) (any, error) {
	var w wireLogRequest
	if err := msgpack.Unmarshal(body, &w); err != nil {
		return nil, trace.Wrap(err)
	}
	tail := h.OnLog(resource.Revision(w.After))
	var answer wireLogTail
	var err error
	if tail.Snapshot != nil {
		if answer.Snapshot, err = json.Marshal(tail.Snapshot); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	if len(tail.Entries) > 0 {
		if answer.Entries, err = json.Marshal(tail.Entries); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return answer, nil
}
