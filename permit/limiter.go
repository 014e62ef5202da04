// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package permit

import (
	"context"
	"errors"
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/ratelimit"
)

const (
	// permitTTL is how long after it was asked for a permit may be used: a host that was
	// suspended meanwhile has no claim to what was given out then.
	permitTTL = 250 * time.Millisecond
	// unansweredRetryDelay is how long a host that didn't answer isn't asked: each time would
	// cost a request the time for which an answer is waited.
	unansweredRetryDelay = time.Second
	// partitionShareMultiplier is how much more than their part of all hosts those of the upstream's zone
	// get that hear each other: half as much again, together, as an upstream names is what
	// it is to bear at most, and without it the loss of a third of the hosts would leave a
	// third of the limit unused for as long as they are remembered. Hosts of other zones
	// that hear none of that zone get their part alone: its hosts may still hear them.
	partitionShareMultiplier = 1.5
)

// Site is what a Limiter has to know of the hosts and upstreams, and how it asks others.
type Site interface {
	// Granter is the host that gives out what an upstream takes, as far as this one knows.
	Granter(now time.Time, id member.UpstreamID) member.Entry
	// HostCounts is how many hosts are heard, and how many were known at once lately, heard or
	// not; both with this one.
	HostCounts(now time.Time) (live, known int)
	// CellHostCounts is how many hosts of this one's cell are heard, and how many there are; both with this
	// one.
	CellHostCounts(now time.Time) (live, known int)
	// Zone is an upstream's; false for one that isn't known.
	Zone(id member.UpstreamID) (member.Zone, bool)
	// AskPeer asks another host. It waits for an answer for a bounded time.
	AskPeer(ctx context.Context, to member.Entry, request GrantRequest) (GrantReply, error)
	// ReceiveLimitMark takes in another host's word of an upstream's limit.
	ReceiveLimitMark(now time.Time, from member.HostID, m ratelimit.Mark)
}

// Request is something that is to be sent to a bounded upstream.
type Request struct {
	Upstream member.UpstreamID
	// Rate is what the upstream is given at most by all hosts together.
	Rate ratelimit.Rate
	// Rank, Repeat and Must are those of a ratelimit.Ask.
	Rank         int
	Repeat, Must bool
}

// Verdict answers a Request.
type Verdict struct {
	Outcome Outcome
	// Wait is how long it is until leave may be asked for again; zero where there is leave.
	Wait time.Duration
	// Late says that leave came too late to be used.
	Late bool
}

// OK reports whether the request may be sent now.
func (v Verdict) OK() bool { return v.Outcome == Granted || v.Outcome == OwnTurn }

// Limiter gets a host leave to send to bounded upstreams, and gives out, for those for which
// it is this host's duty, what they take. Use New. It is safe for use by several goroutines.
type Limiter struct {
	// NamedLimits are the newest words of the limits that upstreams name.
	NamedLimits ratelimit.Words

	self member.Entry
	site Site
	now  func() time.Time
	// granter gives out what bounded upstreams take, for all hosts; turns are what this
	// one may send without asking.
	granter ratelimit.Granter
	turns   ratelimit.Turns
	// nextRequest is when this host asks again for leave to send to each upstream, and
	// unanswered when it asks each host again that didn't answer.
	nextRequest  retryTimes[member.UpstreamID]
	unresponsive retryTimes[member.HostID]
}

// New returns the limiter of a host. now tells the present moment.
func New(self member.Entry, s Site, now func() time.Time) *Limiter {
	return &Limiter{self: self, site: s, now: now, turns: ratelimit.Turns{Self: self.ID}}
}

// Acquire asks for leave to send a request. It is called just before it is sent.
func (l *Limiter) Acquire(ctx context.Context, r Request) Verdict {
	now := l.now()
	if r.Must {
		// It goes in any case, and doesn't wait for the answer.
		go l.requestPermit(context.WithoutCancel(ctx), now, r)
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
	if boundHolds, returning := l.NamedLimits.Returning(now, r.Upstream); returning {
		// The wait follows from a bound that will have doubled by then.
		wait = min(wait, boundHolds)
	}
	if !grant.Passed {
		l.nextRequest.extend(r.Upstream, l.now().Add(wait))
	}
	return Verdict{Outcome: outcome, Wait: wait, Late: late}
}

// LimitRaised takes in that an upstream takes more than before: how long this host was told to wait
// follows from the lower limit.
func (l *Limiter) LimitRaised(id member.UpstreamID) { l.nextRequest.remove(id) }

// Wait is how long it is until this host asks again for leave to send to an upstream; zero
// when it may now.
func (l *Limiter) Wait(now time.Time, id member.UpstreamID) time.Duration {
	return l.nextRequest.remaining(now, id)
}

// requestPermit asks the host that grants, or takes a turn of this host's own.
func (l *Limiter) requestPermit(ctx context.Context, now time.Time, r Request) (ratelimit.Grant, Outcome) {
	request := GrantRequest{
		Upstream: r.Upstream,
		Ask:      ratelimit.Ask{From: l.self.ID, Rate: r.Rate, Rank: r.Rank, Repeat: r.Repeat, Must: r.Must},
	}
	request.LimitMark, request.HasLimitMark = l.NamedLimits.Mark(now, r.Upstream)
	to := l.site.Granter(now, r.Upstream)
	// A host of another zone may not have heard yet who grants; the one that it asks knows.
	for range 2 {
		if to.ID == l.self.ID {
			return l.grant(now, request), Granted
		}
		reply, err := l.requestFromPeer(ctx, now, to, request)
		if err != nil {
			break
		}
		if reply.Granter.ID == "" {
			return reply.Grant, Granted
		}
		to = reply.Granter
	}
	_, known := l.site.HostCounts(now)
	wait, ok := l.turns.Take(l.now(), r.Upstream, ratelimit.TurnPeriod(r.Rate, known))
	if !ok {
		// By then the host that grants may answer again.
		return ratelimit.Grant{Wait: min(wait, unansweredRetryDelay)}, NoTurn
	}
	return ratelimit.Grant{Granted: true}, OwnTurn
}

// errNoGranter says that the host that grants can't be asked, or doesn't know the upstream.
var errNoGranter = errors.New("no host to ask for a permit")

// requestFromPeer asks another host, if it has answered lately.
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

// HandleGrantRequest serves a host that asks for leave to send to an upstream.
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
		reply.Grant = l.grant(now, request)
	}
	reply.LimitMark, reply.HasLimitMark = l.NamedLimits.Mark(now, request.Upstream)
	return reply
}

// grant answers an ask as the host that grants. It gives out the part of the hosts that it
// hears; others may be there still, behind a cut.
func (l *Limiter) grant(now time.Time, request GrantRequest) ratelimit.Grant {
	if named, bounded := l.NamedLimits.Bound(now, request.Upstream); bounded {
		request.Rate = min(request.Rate, named)
	}
	live, known := l.site.CellHostCounts(now)
	share := float64(live) / float64(known)
	// One that isn't known is of no zone, and gets the smaller part.
	if zone, _ := l.site.Zone(request.Upstream); zone == l.self.Zone {
		share *= partitionShareMultiplier
	}
	request.Rate *= ratelimit.Rate(min(share, 1))
	return l.granter.Give(now, request.Upstream, request.Ask)
}

// Reset forgets what is known of an upstream that has started again.
func (l *Limiter) Reset(id member.UpstreamID) {
	l.NamedLimits.Renew(id)
	l.granter.Renew(id)
	l.nextRequest.remove(id)
}

// Prune drops what is over, and the turns at upstreams that aren't bounded any more.
func (l *Limiter) Prune(now time.Time, isBounded func(member.UpstreamID) bool) {
	l.nextRequest.removeExpired(now)
	l.unresponsive.removeExpired(now)
	l.turns.Forget(isBounded)
}
