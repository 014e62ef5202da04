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
	// lasts is how long after it was asked for a permit may be used: a host that was
	// suspended meanwhile has no claim to what was given out then.
	lasts = 250 * time.Millisecond
	// unansweredFor is how long a host that didn't answer isn't asked: each time would
	// cost a request the time for which an answer is waited.
	unansweredFor = time.Second
	// cutPart is how much more than their part of all hosts those of the upstream's zone
	// get that hear each other: half as much again, together, as an upstream names is what
	// it is to bear at most, and without it the loss of a third of the hosts would leave a
	// third of the limit unused for as long as they are remembered. Hosts of other zones
	// that hear none of that zone get their part alone: its hosts may still hear them.
	cutPart = 1.5
)

// Site is what a Limiter has to know of the hosts and upstreams, and how it asks others.
type Site interface {
	// Granter is the host that gives out what an upstream takes, as far as this one knows.
	Granter(now time.Time, id member.UpstreamID) member.Entry
	// Hosts is how many hosts are heard, and how many were known at once lately, heard or
	// not; both with this one.
	Hosts(now time.Time) (heard, known int)
	// Heard is how many hosts of this one's cell are heard, and how many there are; both with this
	// one.
	Heard(now time.Time) (heard, known int)
	// Zone is an upstream's; false for one that isn't known.
	Zone(id member.UpstreamID) (member.Zone, bool)
	// AskPeer asks another host. It waits for an answer for a bounded time.
	AskPeer(ctx context.Context, to member.Entry, a Ask) (Reply, error)
	// ReceiveWord takes in another host's word of an upstream's limit.
	ReceiveWord(now time.Time, from member.HostID, m ratelimit.PeerReport)
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
	// Words are the newest words of the limits that upstreams name.
	Words ratelimit.Limits

	self member.Entry
	site Site
	now  func() time.Time
	// granter gives out what bounded upstreams take, for all hosts; turns are what this
	// one may send without asking.
	granter ratelimit.Granter
	turns   ratelimit.TurnSchedule
	// asksAgain is when this host asks again for leave to send to each upstream, and
	// unanswered when it asks each host again that didn't answer.
	asksAgain  waits[member.UpstreamID]
	unanswered waits[member.HostID]
}

// New returns the limiter of a host. now tells the present moment.
func New(self member.Entry, s Site, now func() time.Time) *Limiter {
	return &Limiter{self: self, site: s, now: now, turns: ratelimit.TurnSchedule{Self: self.ID}}
}

// Take asks for leave to send a request. It is called just before it is sent.
func (l *Limiter) Take(ctx context.Context, r Request) Verdict {
	now := l.now()
	if r.Must {
		// It goes in any case, and doesn't wait for the answer.
		go l.ask(context.WithoutCancel(ctx), now, r)
		return Verdict{Outcome: Granted}
	}
	if wait := l.asksAgain.left(now, r.Upstream); wait > 0 {
		return Verdict{Outcome: KeptBack, Wait: wait}
	}
	grant, outcome := l.ask(ctx, now, r)
	late := l.now().Sub(now) > lasts
	if grant.Granted && !late {
		return Verdict{Outcome: outcome}
	}
	if outcome != NoTurn {
		outcome = KeptBack
	}
	wait := grant.Wait
	if holds, returning := l.Words.RecoveryInterval(now, r.Upstream); returning {
		// The wait follows from a bound that will have doubled by then.
		wait = min(wait, holds)
	}
	if !grant.Outranked {
		l.asksAgain.extend(r.Upstream, l.now().Add(wait))
	}
	return Verdict{Outcome: outcome, Wait: wait, Late: late}
}

// Raised takes in that an upstream takes more than before: how long this host was told to wait
// follows from the lower limit.
func (l *Limiter) Raised(id member.UpstreamID) { l.asksAgain.end(id) }

// Wait is how long it is until this host asks again for leave to send to an upstream; zero
// when it may now.
func (l *Limiter) Wait(now time.Time, id member.UpstreamID) time.Duration {
	return l.asksAgain.left(now, id)
}

// ask asks the host that grants, or takes a turn of this host's own.
func (l *Limiter) ask(ctx context.Context, now time.Time, r Request) (ratelimit.Decision, Outcome) {
	a := Ask{
		Upstream:      r.Upstream,
		PermitRequest: ratelimit.PermitRequest{From: l.self.ID, Rate: r.Rate, Rank: r.Rank, Repeat: r.Repeat, Unconditional: r.Must},
	}
	a.Word, a.HasWord = l.Words.PeerReport(now, r.Upstream)
	to := l.site.Granter(now, r.Upstream)
	// A host of another zone may not have heard yet who grants; the one that it asks knows.
	for range 2 {
		if to.ID == l.self.ID {
			return l.give(now, a), Granted
		}
		reply, err := l.askPeer(ctx, now, to, a)
		if err != nil {
			break
		}
		if reply.Granter.ID == "" {
			return reply.Decision, Granted
		}
		to = reply.Granter
	}
	_, known := l.site.Hosts(now)
	wait, ok := l.turns.Take(l.now(), r.Upstream, ratelimit.TurnPeriod(r.Rate, known))
	if !ok {
		// By then the host that grants may answer again.
		return ratelimit.Decision{Wait: min(wait, unansweredFor)}, NoTurn
	}
	return ratelimit.Decision{Granted: true}, OwnTurn
}

// errNoGranter says that the host that grants can't be asked, or doesn't know the upstream.
var errNoGranter = errors.New("no host to ask for a permit")

// askPeer asks another host, if it has answered lately.
func (l *Limiter) askPeer(ctx context.Context, now time.Time, to member.Entry, a Ask) (Reply, error) {
	if l.unanswered.left(now, to.ID) > 0 {
		return Reply{}, errNoGranter
	}
	reply, err := l.site.AskPeer(ctx, to, a)
	if err != nil {
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			l.unanswered.extend(to.ID, l.now().Add(unansweredFor))
		}
		return Reply{}, err
	}
	if reply.HasWord {
		l.site.ReceiveWord(l.now(), to.ID, reply.Word)
	}
	if reply.Unknown {
		return Reply{}, errNoGranter
	}
	return reply, nil
}

// OnAsk serves a host that asks for leave to send to an upstream.
func (l *Limiter) OnAsk(a Ask) Reply {
	now := l.now()
	if a.HasWord {
		l.site.ReceiveWord(now, a.From, a.Word)
	}
	if _, known := l.site.Zone(a.Upstream); !known {
		return Reply{Unknown: true}
	}
	var reply Reply
	if granter := l.site.Granter(now, a.Upstream); granter.ID != l.self.ID {
		reply.Granter = granter
	} else {
		reply.Decision = l.give(now, a)
	}
	reply.Word, reply.HasWord = l.Words.PeerReport(now, a.Upstream)
	return reply
}

// give answers an ask as the host that grants. It gives out the part of the hosts that it
// hears; others may be there still, behind a cut.
func (l *Limiter) give(now time.Time, a Ask) ratelimit.Decision {
	if own, bounded := l.Words.EffectiveRate(now, a.Upstream); bounded {
		a.Rate = min(a.Rate, own)
	}
	heard, known := l.site.Heard(now)
	part := float64(heard) / float64(known)
	// One that isn't known is of no zone, and gets the smaller part.
	if zone, _ := l.site.Zone(a.Upstream); zone == l.self.Zone {
		part *= cutPart
	}
	a.Rate *= ratelimit.Rate(min(part, 1))
	return l.granter.Decide(now, a.Upstream, a.PermitRequest)
}

// Renew forgets what is known of an upstream that has started again.
func (l *Limiter) Renew(id member.UpstreamID) {
	l.Words.Reset(id)
	l.granter.Reset(id)
	l.asksAgain.end(id)
}

// Forget drops what is over, and the turns at upstreams that aren't bounded any more.
func (l *Limiter) Forget(now time.Time, isBounded func(member.UpstreamID) bool) {
	l.asksAgain.forget(now)
	l.unanswered.forget(now)
	l.turns.Prune(isBounded)
}
