// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/shedpath/shedpath/backoff"
	"github.com/shedpath/shedpath/forward"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/permit"
	"github.com/shedpath/shedpath/quarantine"
	"github.com/shedpath/shedpath/rejection"
	"github.com/shedpath/shedpath/rollout"
)

// forwardHandler answers the calls of a forwarder's peers.
type forwardHandler interface {
	OnShare(s forward.Share) forward.Share
	OnFollow(ctx context.Context, r forward.FollowRequest) forward.FollowReply
	OnConfig(have forward.Version) forward.ConfigReply
	OnAsk(a forward.PlacementRequest) forward.PlacementGrant
	OnPermit(a permit.GrantRequest) permit.GrantReply
	OnAdmit(ctx context.Context, r forward.AdmitRequest) forward.AdmitReply
	OnRollout(r rollout.Report) rollout.Status
	Rollouts() []forward.RolloutEntry
	OnTurn(ctx context.Context, r forward.TurnRequest) error
	OnEndTurn(r forward.TurnRequest)
	OnBackoff(mark backoff.Mark)
	OnLend(r rejection.LoanRequest) rejection.LoanReply
	OnQuarantine(release *quarantine.Fingerprint) ([]quarantine.Entry, bool)
}

// ServeForward answers the calls of a forwarder's peers until the context ends. onRefused is
// called with the error of each connection whose handshake failed or whose message was malformed.
func (m *Mesh) ServeForward(ctx context.Context, listener net.Listener, f forwardHandler, onRefused func(error)) error {
	handle := func(ctx context.Context, _ member.HostID, k callKind, body []byte) (any, error) {
		return m.dispatchForwardCall(ctx, f, k, body)
	}
	return m.serve(ctx, listener, handle, func(member.HostID) {}, onRefused)
}

// dispatchForwardCall decodes the body of a call, passes it to the handler, and returns the value
// to send as the reply.
func (m *Mesh) dispatchForwardCall(ctx context.Context, f forwardHandler, k callKind, body []byte) (any, error) {
	switch k {
	case kindShare:
		var w wireShare
		if err := msgpack.Unmarshal(body, &w); err != nil {
			return nil, trace.Wrap(err)
		}
		return toWireShare(m.clock.Now(), f.OnShare(w.share(m.clock.Now()))), nil
	case kindFollow:
		var w wireFollowRequest
		if err := msgpack.Unmarshal(body, &w); err != nil {
			return nil, trace.Wrap(err)
		}
		r := forward.FollowRequest{
			From: member.HostID(w.From), Announcements: announcements(w.Announced),
			Version: forward.Version(w.Version), ListRevision: newPoint(w.ListEra, w.List),
			HostCursor: forward.HostCursor{Epoch: w.Epoch, Position: w.Found}, Wait: time.Duration(w.Wait) * time.Millisecond,
		}
		reply := f.OnFollow(ctx, r)
		return toWireFollowReply(m.clock.Now(), reply, &m.lists)
	case kindConfig:
		var have uint64
		if err := msgpack.Unmarshal(body, &have); err != nil {
			return nil, trace.Wrap(err)
		}
		return m.configs.wireReply(f.OnConfig(forward.Version(have)))
	case kindAsk:
		var w wirePlacementRequest
		if err := msgpack.Unmarshal(body, &w); err != nil {
			return nil, trace.Wrap(err)
		}
		grant := f.OnAsk(w.request())
		return wirePlacementGrant{Engine: string(grant.Engine), First: grant.TimeToFirstToken.Milliseconds()}, nil
	case kindPermit:
		return onPermit(f, body)
	case kindAdmit:
		return onAdmit(ctx, f, body)
	case kindRollout:
		return onRollout(f, body)
	case kindRollouts:
		return onRollouts(f)
	case kindQuarantine:
		return onQuarantine(f, body)
	case kindLend:
		return onLend(f, body)
	case kindBackoff:
		var w wireBackoff
		if err := msgpack.Unmarshal(body, &w); err != nil {
			return nil, trace.Wrap(err)
		}
		f.OnBackoff(w.mark())
		return true, nil
	case kindTurn, kindEndTurn:
		var w wireTurnRequest
		if err := msgpack.Unmarshal(body, &w); err != nil {
			return nil, trace.Wrap(err)
		}
		if k == kindEndTurn {
			f.OnEndTurn(w.request())
			return true, nil
		}
		ctx, cancel := context.WithTimeout(ctx, time.Duration(w.Wait)*time.Millisecond)
		defer cancel()
		return true, f.OnTurn(ctx, w.request())
	default:
		return nil, trace.BadParameter("unknown kind of call %d", k)
	}
}
