// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package permit

import (
	"context"
	"errors"
	"time"

	"github.com/shedpath/shedpath/internal/supervise"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/ratelimit"
)

const (
	// permitTTL is how long after its request a permit may be used. A host that was suspended
	// in between must not use a permit that was granted long ago.
	permitTTL = 250 * time.Millisecond
	// unansweredRetryDelay is how long a host that didn't answer is not asked again, because each
	// attempt delays a request by the time limit for an answer.
	unansweredRetryDelay = time.Second
	// scarcityTTL is how long after the end of its wait a refused host takes the upstream's permits
	// to be scarce.
	scarcityTTL = 2 * time.Second
	// partitionShareMultiplier multiplies the share of the limit that the live hosts get if the
	// granting host is in the upstream's zone. An upstream has to bear at most one and a half times
	// the limit that it names. Without the multiplier, the loss of a third of the hosts would leave
	// a third of the limit unused for as long as those hosts are remembered. Hosts of another
	// zone that hear from no host of the upstream's zone get their plain share, because the hosts
	// of that zone may still hear from them.
	partitionShareMultiplier = 1.5
)

// Site tells a Limiter about the hosts and upstreams, and lets it ask other hosts.
type Site interface {
	// Granter returns the granting host of an upstream, as far as this host knows.
	Granter(now time.Time, id member.UpstreamID) member.Entry
	// HostCounts returns how many hosts are live, and how many were known at once lately, live or
	// not. Both include this host.
	HostCounts(now time.Time) (live, known int)
	// CellHostCounts returns how many hosts of this host's cell are live, and how many there are.
	// Both include this host.
	CellHostCounts(now time.Time) (live, known int)
	// Zone returns the zone of an upstream; false if the upstream is not known.
	Zone(id member.UpstreamID) (member.Zone, bool)
	// AskPeer sends a request to another host. It waits for the answer for a bounded time.
	AskPeer(ctx context.Context, to member.Entry, request GrantRequest) (GrantReply, error)
	// ReceiveLimitMark applies another host's report of an upstream's limit.
	ReceiveLimitMark(now time.Time, from member.HostID, m ratelimit.PeerReport)
}

// Request describes something that is to be sent to a rate-limited upstream.
type Request struct {
	Upstream member.UpstreamID
	// Rate is the most that the upstream may get from all hosts together.
	Rate ratelimit.Rate
	// Rank, Repeat and Must are passed on in the GrantRequest.
	Rank         int
	Repeat, Must bool
}

// Verdict answers a Request.
type Verdict struct {
	Outcome Outcome
	// Wait is how long it is until a permit may be requested again; zero if the request may be
	// sent.
	Wait time.Duration
	// Late says that the answer came too late for its permit to be used.
	Late bool
}

// OK reports whether the request may be sent now.
func (v Verdict) OK() bool { return v.Outcome == Granted || v.Outcome == OwnTurn }

// Limiter obtains permits to send to rate-limited upstreams, and grants permits for the upstreams of
// which this host is the granting host. Create it with New. It is safe for concurrent use.
type Limiter struct {
	// NamedLimits holds the newest limit that each upstream named.
	NamedLimits ratelimit.Limits
	// Tasks runs the requests whose results aren't awaited.
	Tasks supervise.Report

	self member.Entry
	site Site
	now  func() time.Time
	// granter grants permits to all hosts. turns are what this host may send without a grant.
	granter ratelimit.Granter
	turns   ratelimit.TurnSchedule
	// nextRequest is when this host may request a permit for an upstream again. unresponsive is
	// when it may ask a host again that didn't answer.
	nextRequest  retryTimes[member.UpstreamID]
	unresponsive retryTimes[member.HostID]
}

// New returns the limiter of the host self. now returns the current time.
func New(self member.Entry, s Site, now func() time.Time) *Limiter {
	return &Limiter{self: self, site: s, now: now, turns: ratelimit.TurnSchedule{Self: self.ID}}
}

// Acquire requests a permit. It is called just before the request is sent.
func (l *Limiter) Acquire(ctx context.Context, r Request) Verdict {
	now := l.now()
	if r.Must {
		// The request is sent in any case and is only counted, so it doesn't wait for the answer.
		l.Tasks.Go("permit", func() { l.requestPermit(context.WithoutCancel(ctx), now, r) })
		return Verdict{Outcome: Granted}
	}
	if wait := l.nextRequest.remaining(now, r.Upstream); wait > 0 {
		return Verdict{Outcome: Deferred, Wait: wait}
	}
	grant, outcome := l.requestPermit(ctx, now, r)
	late := l.now().Sub(now) > permitTTL
	if grant.Granted && !late {
		return Verdict{Outcome: outcome}
	}
	if outcome != NoTurn {
		outcome = Deferred
	}
	wait := grant.Wait
	if boundHolds, returning := l.NamedLimits.RecoveryInterval(now, r.Upstream); returning {
		// The granting host computed the wait from a bound that will have doubled after boundHolds.
		wait = min(wait, boundHolds)
	}
	if grant.Outranked {
		// The permits are scarce for requests of another rank only.
		l.nextRequest.removeIfExpired(l.now(), r.Upstream)
	} else {
		l.nextRequest.extend(r.Upstream, l.now().Add(wait))
	}
	return Verdict{Outcome: outcome, Wait: wait, Late: late}
}

// LimitRaised notes that the limit of an upstream was raised. It lets this host request a permit at
// once, because the wait that it was given follows from the lower limit.
func (l *Limiter) LimitRaised(id member.UpstreamID) { l.nextRequest.remove(id) }

// Wait returns how long it is until this host may request a permit for an upstream again; zero if it
// may now.
func (l *Limiter) Wait(now time.Time, id member.UpstreamID) time.Duration {
	return l.nextRequest.remaining(now, id)
}

// Scarce reports whether this host may request a permit for an upstream again after it was refused
// one lately. What the upstream's limit allows is lost if no host asks for it in time. After the end
// of the limit no permits are scarce: the upstream is to get its usual share again, and no more.
func (l *Limiter) Scarce(now time.Time, id member.UpstreamID) bool {
	return l.NamedLimits.InForce(now, id) && l.nextRequest.expiredWithin(now, id, scarcityTTL)
}

// requestPermit requests a permit from the granting host, or uses one of this host's own turns if no
// granting host can be asked.
func (l *Limiter) requestPermit(ctx context.Context, now time.Time, r Request) (ratelimit.Decision, Outcome) {
	request := GrantRequest{
		Upstream:      r.Upstream,
		PermitRequest: ratelimit.PermitRequest{From: l.self.ID, Rate: r.Rate, Rank: r.Rank, Repeat: r.Repeat, Unconditional: r.Must},
	}
	request.LimitMark, request.HasLimitMark = l.NamedLimits.PeerReport(now, r.Upstream)
	to := l.site.Granter(now, r.Upstream)
	// A host of another zone may not know the present granting host yet, but the host that it asks
	// does.
	for range 2 {
		if to.ID == l.self.ID {
			return l.grant(now, request), Granted
		}
		reply, err := l.requestFromPeer(ctx, now, to, request)
		if err != nil {
			break
		}
		if reply.Granter.ID == "" {
			return reply.Decision, Granted
		}
		to = reply.Granter
	}
	_, known := l.site.HostCounts(now)
	wait, ok := l.turns.Take(l.now(), r.Upstream, ratelimit.TurnPeriod(r.Rate, known))
	if !ok {
		// The granting host may answer again after unansweredRetryDelay.
		return ratelimit.Decision{Wait: min(wait, unansweredRetryDelay)}, NoTurn
	}
	return ratelimit.Decision{Granted: true}, OwnTurn
}

// errNoGranter says that the granting host is not asked because it didn't answer lately, or that it
// doesn't know the upstream.
var errNoGranter = errors.New("no host to ask for a permit")

// requestFromPeer sends a request to another host, unless that host didn't answer lately.
func (l *Limiter) requestFromPeer(ctx context.Context, now time.Time, to member.Entry, request GrantRequest) (GrantReply, error) {
	if l.unresponsive.remaining(now, to.ID) > 0 {
		return GrantReply{}, errNoGranter
	}
	reply, err := l.site.AskPeer(ctx, to, request)
	if err != nil {
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			l.unresponsive.extend(to.ID, l.now().Add(unansweredRetryDelay))
		}
		return GrantReply{}, err
	}
	if reply.HasLimitMark {
		l.site.ReceiveLimitMark(l.now(), to.ID, reply.LimitMark)
	}
	if reply.UnknownUpstream {
		return GrantReply{}, errNoGranter
	}
	return reply, nil
}

// HandleGrantRequest answers another host's request for a permit. If this host is not the granting
// host, the reply names the one that is.
func (l *Limiter) HandleGrantRequest(request GrantRequest) GrantReply {
	now := l.now()
	if request.HasLimitMark {
		l.site.ReceiveLimitMark(now, request.From, request.LimitMark)
	}
	if _, known := l.site.Zone(request.Upstream); !known {
		return GrantReply{UnknownUpstream: true}
	}
	var reply GrantReply
	if granter := l.site.Granter(now, request.Upstream); granter.ID != l.self.ID {
		reply.Granter = granter
	} else {
		reply.Decision = l.grant(now, request)
	}
	reply.LimitMark, reply.HasLimitMark = l.NamedLimits.PeerReport(now, request.Upstream)
	return reply
}

// grant answers a request as the granting host. It grants only the share of the live hosts, because
// the others may still send on the other side of a network partition.
func (l *Limiter) grant(now time.Time, request GrantRequest) ratelimit.Decision {
	if named, bounded := l.NamedLimits.EffectiveRate(now, request.Upstream); bounded {
		request.Rate = min(request.Rate, named)
	}
	live, known := l.site.CellHostCounts(now)
	share := float64(live) / float64(known)
	// An unknown upstream has no zone, and gets the smaller share.
	if zone, _ := l.site.Zone(request.Upstream); zone == l.self.Zone {
		share *= partitionShareMultiplier
	}
	request.Rate *= ratelimit.Rate(min(share, 1))
	return l.granter.Decide(now, request.Upstream, request.PermitRequest)
}

// Reset discards what is known of an upstream that restarted.
func (l *Limiter) Reset(id member.UpstreamID) {
	l.NamedLimits.Reset(id)
	l.granter.Reset(id)
	l.nextRequest.remove(id)
}

// Prune removes waits that are over, and the turns for upstreams that are no longer rate-limited.
func (l *Limiter) Prune(now time.Time, isBounded func(member.UpstreamID) bool) {
	l.nextRequest.removeExpired(now, scarcityTTL)
	l.unresponsive.removeExpired(now, 0)
	l.turns.Prune(isBounded)
}
