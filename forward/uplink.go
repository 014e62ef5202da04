// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/shedpath/shedpath/backoff"
	"github.com/shedpath/shedpath/eligibility"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/uplink"
)

// UplinkTarget returns an upstream as a target of connections.
func UplinkTarget(u Upstream, p eligibility.Purpose, request RequestID) uplink.Target {
	return uplink.Target{
		ID: u.ID, Service: uplink.ServiceName(u.Service), Zone: u.Zone, Incarnation: int64(u.Incarnation), Address: u.Address,
		Purpose: p, Request: string(request),
	}
}

// UplinkPeers returns the live peers that may pass on requests to an upstream: those of its region
// and of this host's. Peers of this host's zone and of other zones take turns, because a fault that
// cuts a whole zone off spares the others; within each group the order is random.
func (f *Forwarder) UplinkPeers(t uplink.Target) []Peer {
	regions := f.settings.Regions
	own, there := regions[f.peers.self.Zone], regions[t.Zone]
	var near, far []Peer
	for _, p := range f.peers.livePeers(f.now()) {
		switch region := regions[p.Zone]; {
		case region != own && region != there:
		case p.Zone == f.peers.self.Zone:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	return uplink.Alternate(rand.Shuffle, near, far)
}

// livePeers returns the peers that are live and not stopping.
func (p *peerSet) livePeers(now time.Time) []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var live []Peer
	for _, s := range p.known {
		if !s.stopping && s.foundNumber > 0 && s.live(now) {
			live = append(live, s.Peer)
		}
	}
	return live
}

// AuthorizeUplink decides whether this host may connect to an upstream for a peer, and returns the
// upstream as this host knows it. The error is uplink.ErrDenied or uplink.ErrBusy. What depends on
// the request has been decided by the peer.
func (f *Forwarder) AuthorizeUplink(t uplink.Target) (uplink.Target, error) {
	u, known := f.fleet.Upstream(t.ID)
	switch {
	case f.Stopping():
		return t, uplink.ErrBusy
	case !known, t.Incarnation != 0 && u.Incarnation != 0 && int64(u.Incarnation) != t.Incarnation:
		return t, uplink.ErrDenied
	case !eligibility.Check(f.eligibilityState(f.now(), u), t.Purpose).OK():
		return t, uplink.ErrDenied
	}
	return UplinkTarget(u, t.Purpose, RequestID(t.Request)), nil
}

// notifyCarrier reports a backoff to the peer that carried the answer. The upstream saw the request
// come from that peer, so the backoff is the peer's.
func (f *Forwarder) notifyCarrier(via member.HostID, u Upstream, d time.Duration) {
	f.peers.mu.Lock()
	peers, state := f.peerTransport, f.peers.known[via]
	f.peers.mu.Unlock()
	if peers == nil || state == nil {
		return
	}
	mark := backoff.Mark{Upstream: u.ID, Incarnation: int64(u.Incarnation), Remaining: d}
	f.tasks.Go("backoff", func() {
		ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
		defer cancel()
		if err := peers.Backoff(ctx, state.Peer, mark); err != nil {
			f.journal.HostEvent("backoff not passed on", "upstream", u.ID, "peer", via, "err", err)
		}
	})
}

// OnBackoff records a backoff that an upstream asked this host for in an answer that this host
// carried to a peer.
func (f *Forwarder) OnBackoff(mark backoff.Mark) {
	if u, known := f.fleet.Upstream(mark.Upstream); known && int64(u.Incarnation) == mark.Incarnation && mark.Remaining > 0 {
		f.recordBackoff(f.now(), u, mark.Remaining)
	}
}
