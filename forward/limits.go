// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/ratelimit"
)

// AnnouncedLimit is the rate limit that a response announces for its upstream: how many
// requests per second the upstream accepts from all hosts together. The zero value announces
// no limit.
type AnnouncedLimit struct {
	Announced bool
	Rate      ratelimit.Rate
	// Err is set if the announced limit cannot be parsed. Such a response neither sets nor
	// ends a limit.
	Err error
}

// recordAnswerLimit records the rate limit that a response announces for its upstream, or that
// it announces none. sent is when the request was sent.
func (f *Forwarder) recordAnswerLimit(sent time.Time, u Upstream, l AnnouncedLimit) {
	now := f.now()
	if l.Err != nil {
		if f.limitLogLimiter.Allow(now, u.ID) {
			f.journal.HostEvent("limit not read", "upstream", u.ID, "err", l.Err)
		}
		return
	}
	if !l.Announced && !f.limiter.NamedLimits.Any() {
		return
	}
	word := ratelimit.AnswerReport{HasLimit: l.Announced, Rate: l.Rate, SentAt: sent, ReceivedAt: now}
	f.applyLimitChange(now, u.ID, f.peers.self.ID, l.Rate, 0, f.limiter.NamedLimits.Receive(now, u.ID, int64(u.Incarnation), f.peers.self.ID, word))
}

// receivePeerLimit records a peer's mark of an upstream's limit, unless it belongs to another
// incarnation.
func (f *Forwarder) receivePeerLimit(now time.Time, from member.HostID, m ratelimit.PeerReport) {
	if !f.fleet.ReceiveIncarnation(m.Upstream, Incarnation(m.Incarnation)) {
		return
	}
	f.applyLimitChange(now, m.Upstream, from, m.Rate, m.Age, f.limiter.NamedLimits.ReceivePeerReport(now, from, m))
}

// applyLimitChange logs a change of an upstream's limit. When the limit has ended, this host
// may ask for permits again at once.
func (f *Forwarder) applyLimitChange(now time.Time, id member.UpstreamID, from member.HostID, rate ratelimit.Rate, age time.Duration, c ratelimit.Change) {
	if c == ratelimit.Unchanged {
		return
	}
	if c == ratelimit.LimitEnded {
		f.limiter.LimitRaised(id)
	}
	if f.limitLogLimiter.Allow(now, id) {
		f.journal.HostEvent(c.String(), "upstream", id, "per_second", rate, "from", from, "age", age)
	}
}

// pruneLimits drops the limits of unknown upstreams, limits that no response has confirmed,
// and the permit state of upstreams that no longer have a rate limit.
func (f *Forwarder) pruneLimits(now time.Time) {
	isKnown := func(id member.UpstreamID) bool {
		_, found := f.fleet.Upstream(id)
		return found
	}
	for _, id := range f.limiter.NamedLimits.Prune(now, isKnown) {
		f.journal.HostEvent(ratelimit.LimitEnded.String(), "upstream", id, "why", "no answer confirmed it")
	}
	f.limitLogLimiter.Prune(now)
	f.signalLogLimiter.Prune(now)
	f.backoffNoticeLimiter.Prune(now)
	f.reports.logLimiter.Prune(now)
	f.reports.refusalLogLimiter.Prune(now)
	f.limiter.Prune(now, func(id member.UpstreamID) bool {
		_, named := f.limiter.NamedLimits.EffectiveRate(now, id)
		return named || f.fleet.IsCold(now, id)
	})
}

// LimitedUpstreams lists the upstreams that announce a limit, and those that are returning to
// their normal rate after one.
func (f *Forwarder) LimitedUpstreams() []ratelimit.LimitStatus {
	return f.limiter.NamedLimits.Statuses(f.now())
}
