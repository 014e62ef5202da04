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

// What is bounded at which upstream, and what a permit.Limiter has to know of this host.

// rateLimitFor is what an upstream is given at most by all hosts together; false says that nothing
// bounds it.
func (f *Forwarder) rateLimitFor(now time.Time, s *Service, u Upstream) (ratelimit.Rate, bool) {
	named, isNamed := f.limiter.Words.Bound(now, u.ID)
	cold, isCold := f.coldRateLimit(now, s, u)
	switch {
	case !isNamed:
		return cold, isCold
	case isCold:
		return min(named, cold), true
	}
	return named, true
}

// mayBeThrottled reports whether some upstream of a service may be bounded.
func (f *Forwarder) mayBeThrottled(now time.Time, s *Service) bool {
	return f.backoffs.HasUpstreams() || f.limiter.Words.Any() || s.ColdRate > 0 && f.fleet.AnyCold(now)
}

// permitRequest is something to be sent to an upstream.
type permitRequest struct {
	// request is whose it is; empty for none.
	request  RequestID
	service  *Service
	upstream Upstream
	// rank, repeat and must are those of a ratelimit.Ask.
	rank         int
	repeat, must bool
}

// acquirePermit reports whether something may be sent to an upstream now, and if not, how long it is
// until it may be asked for again. It is asked just before sending.
func (f *Forwarder) acquirePermit(ctx context.Context, r permitRequest) (wait time.Duration, ok bool) {
	now := f.now()
	rate, bounded := f.rateLimitFor(now, r.service, r.upstream)
	if !bounded {
		return 0, true
	}
	asked := f.limiter.Wait(now, r.upstream.ID) == 0
	v := f.limiter.Take(ctx, permit.Request{Upstream: r.upstream.ID, Rate: rate, Rank: r.rank, Repeat: r.repeat, Must: r.must})
	if !r.must {
		f.observer.Permit(v.Outcome)
	}
	if !v.OK() && asked && r.request != "" {
		f.journal.Request(r.request, "kept back", "upstream", r.upstream.ID, "per_second", rate, "wait", v.Wait, "by", v.Outcome, "late", v.Late)
	}
	return v.Wait, v.OK()
}

// OnPermit serves a host that asks for leave to send to an upstream.
func (f *Forwarder) OnPermit(a permit.Ask) permit.Reply { return f.limiter.OnAsk(a) }

// sendDelay is how long it is until this host may send to an upstream, or may ask for leave
// to; zero when it may now.
func (f *Forwarder) sendDelay(now time.Time, s *Service, u Upstream) time.Duration {
	wait := f.backoffs.Delay(now, u.ID)
	if _, bounded := f.rateLimitFor(now, s, u); bounded {
		wait = max(wait, f.limiter.Wait(now, u.ID))
	}
	return wait
}

// permitSite is this host and the others as a permit.Limiter sees them.
type permitSite struct{ *Forwarder }

// Granter is the first host by rank of the upstream's zone.
func (p permitSite) Granter(now time.Time, id member.UpstreamID) Peer {
	// One that isn't known is of no zone, and any host may give it out.
	u, _ := p.fleet.Upstream(id)
	return p.peers.responsibleHost(now, string(id), p.peers.upstreamCell(u))
}

func (p permitSite) Hosts(now time.Time) (heard, known int) {
	return p.peers.liveHosts(now), p.peers.recentMaxHosts(now)
}

// Heard counts the hosts of all zones where these aren't divided: an upstream's limit is given out by
// a host of its cell, and the others of that are there or not.
func (p permitSite) Heard(now time.Time) (heard, known int) {
	if p.peers.zonesDivided() {
		return p.peers.cellHostCounts(now)
	}
	return p.Hosts(now)
}

func (p permitSite) Zone(id member.UpstreamID) (member.Zone, bool) {
	u, known := p.fleet.Upstream(id)
	return u.Zone, known
}

func (p permitSite) ReceiveWord(now time.Time, from member.HostID, m ratelimit.Mark) {
	p.receivePeerLimit(now, from, m)
}

// errPeersUnavailable says that this host has no way to the others yet.
var errPeersUnavailable = errors.New("no way to other hosts yet")

func (p permitSite) AskPeer(ctx context.Context, to Peer, a permit.Ask) (permit.Reply, error) {
	peers := p.loadPeerPort()
	if peers == nil {
		return permit.Reply{}, errPeersUnavailable
	}
	bounded, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	reply, err := peers.Permit(bounded, to, a)
	if err != nil && ctx.Err() == nil {
		p.journal.HostEvent("not answered for a permit", "peer", to.ID, "upstream", a.Upstream, "err", err)
	}
	return reply, err
}
