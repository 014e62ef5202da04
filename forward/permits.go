// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/permit"
	"github.com/shedpath/shedpath/ratelimit"
)

// Rate limits of upstreams, and this host as its permit.Limiter sees it.

// rateLimitFor returns the rate limit of an upstream for all hosts together: the lower of the
// limit that it announced and the one for cold upstreams. It returns false if the upstream has
// no limit.
func (f *Forwarder) rateLimitFor(now time.Time, s *Service, u Upstream) (ratelimit.Rate, bool) {
	named, isNamed := f.limiter.NamedLimits.EffectiveRate(now, u.ID)
	cold, isCold := f.coldRateLimit(now, s, u)
	switch {
	case !isNamed:
		return cold, isCold
	case isCold:
		return min(named, cold), true
	}
	return named, true
}

// mayBeThrottled reports whether a backoff or a rate limit may apply to some upstream of a
// service.
func (f *Forwarder) mayBeThrottled(now time.Time, s *Service) bool {
	return f.backoffs.HasUpstreams() || f.rejections.Active() || f.limiter.NamedLimits.Any() || s.ColdRate > 0 && f.fleet.AnyCold(now)
}

// permitRequest asks for permission to send something to an upstream.
type permitRequest struct {
	// request is the ID of the caller's request that causes the send; empty if there is none.
	request  RequestID
	service  *Service
	upstream Upstream
	// rank, repeat and must have the meaning of the ratelimit.Ask fields of the same names.
	rank         int
	repeat, must bool
}

// acquirePermit reports whether something may be sent to an upstream now and, if not, how long
// to wait before asking again. It is called immediately before sending.
func (f *Forwarder) acquirePermit(ctx context.Context, r permitRequest) (wait time.Duration, ok bool) {
	now := f.now()
	rate, bounded := f.rateLimitFor(now, r.service, r.upstream)
	if !bounded {
		return 0, true
	}
	asked := f.limiter.Wait(now, r.upstream.ID) == 0
	v := f.limiter.Acquire(ctx, permit.Request{Upstream: r.upstream.ID, Rate: rate, Rank: r.rank, Repeat: r.repeat, Must: r.must})
	if !r.must {
		f.observer.Permit(v.Outcome)
	}
	if !v.OK() && asked && r.request != "" {
		f.journal.Request(r.request, "kept back", "upstream", r.upstream.ID, "per_second", rate, "wait", v.Wait, "by", v.Outcome, "late", v.Late)
	}
	return v.Wait, v.OK()
}

// OnPermit serves a peer that asks for a permit to send to an upstream.
func (f *Forwarder) OnPermit(a permit.GrantRequest) permit.GrantReply {
	return f.limiter.HandleGrantRequest(a)
}

// sendDelay returns how long it is until this host may send to an upstream, or may ask for a
// permit to do so; zero if it may now.
func (f *Forwarder) sendDelay(now time.Time, s *Service, u Upstream) time.Duration {
	wait := max(f.backoffs.Delay(now, u.ID), f.rejectionDelay(now, u))
	if _, bounded := f.rateLimitFor(now, s, u); bounded {
		wait = max(wait, f.limiter.Wait(now, u.ID))
	}
	return wait
}

// permitSite presents this host and its peers to a permit.Limiter.
type permitSite struct{ *Forwarder }

// Granter returns the host that grants an upstream's permits: the one responsible for it in
// the upstream's cell.
func (p permitSite) Granter(now time.Time, id member.UpstreamID) Peer {
	// An unknown upstream belongs to no zone, so any host may grant its permits.
	u, _ := p.fleet.Upstream(id)
	return p.peers.responsibleHost(now, string(id), p.peers.upstreamCell(u))
}

func (p permitSite) HostCounts(now time.Time) (heard, known int) {
	return p.peers.liveHosts(now), p.peers.recentMaxHosts(now)
}

// CellHostCounts returns how many hosts are live and how many are known. It counts the hosts of all
// zones unless zones are divided into cells. Then it counts this host's cell only, because an
// upstream's permits are granted within its cell.
func (p permitSite) CellHostCounts(now time.Time) (heard, known int) {
	if p.peers.zonesDivided() {
		return p.peers.cellHostCounts(now)
	}
	return p.HostCounts(now)
}

func (p permitSite) Zone(id member.UpstreamID) (member.Zone, bool) {
	u, known := p.fleet.Upstream(id)
	return u.Zone, known
}

func (p permitSite) ReceiveLimitMark(now time.Time, from member.HostID, m ratelimit.PeerReport) {
	p.receivePeerLimit(now, from, m)
}

// errPeersUnavailable is returned while this host cannot send requests to its peers yet.
var errPeersUnavailable = errors.New("connections to peers are not set up yet")

func (p permitSite) AskPeer(ctx context.Context, to Peer, a permit.GrantRequest) (permit.GrantReply, error) {
	peers := p.loadPeerPort()
	if peers == nil {
		return permit.GrantReply{}, errPeersUnavailable
	}
	bounded, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	reply, err := peers.Permit(bounded, to, a)
	if err != nil && ctx.Err() == nil {
		p.journal.HostEvent("not answered for a permit", "peer", to.ID, "upstream", a.Upstream, "err", err)
	}
	return reply, err
}
