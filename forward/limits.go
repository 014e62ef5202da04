// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/ratelimit"
)

// AnnouncedLimit is what an answer says of how many requests a second its upstream takes from
// all hosts together. The zero value names none.
type AnnouncedLimit struct {
	Announced bool
	Rate      ratelimit.Rate
	// Err says why what it named can't be read. Such an answer says nothing.
	Err error
}

// recordAnswerLimit takes in what an answer says of its upstream's limit. sent is when its request
// was.
func (f *Forwarder) recordAnswerLimit(sent time.Time, u Upstream, l AnnouncedLimit) {
	now := f.now()
	if l.Err != nil {
		if f.limitLogLimiter.allow(now, u.ID) {
			f.journal.HostEvent("limit not read", "upstream", u.ID, "err", l.Err)
		}
		return
	}
	if !l.Announced && !f.limiter.Words.Any() {
		return
	}
	word := ratelimit.Word{Named: l.Announced, Rate: l.Rate, Since: sent, At: now}
	f.applyLimitChange(now, u.ID, f.peers.self.ID, l.Rate, 0, f.limiter.Words.Receive(now, u.ID, int64(u.Incarnation), f.peers.self.ID, word))
}

// receivePeerLimit takes in a peer's word of an upstream's limit.
func (f *Forwarder) receivePeerLimit(now time.Time, from member.HostID, m ratelimit.Mark) {
	if !f.fleet.ReceiveIncarnation(m.Upstream, Incarnation(m.Life)) {
		return
	}
	f.applyLimitChange(now, m.Upstream, from, m.Rate, m.Age, f.limiter.Words.ReceiveMark(now, from, m))
}

// applyLimitChange tells of a change of an upstream's limit.
func (f *Forwarder) applyLimitChange(now time.Time, id member.UpstreamID, from member.HostID, rate ratelimit.Rate, age time.Duration, c ratelimit.Change) {
	if c == ratelimit.Unchanged {
		return
	}
	if c == ratelimit.Ended {
		f.limiter.Raised(id)
	}
	if f.limitLogLimiter.allow(now, id) {
		f.journal.HostEvent(c.String(), "upstream", id, "per_second", rate, "from", from, "age", age)
	}
}

// pruneLimits drops what is known of upstreams that aren't bounded any more.
func (f *Forwarder) pruneLimits(now time.Time) {
	isKnown := func(id member.UpstreamID) bool {
		_, found := f.fleet.Upstream(id)
		return found
	}
	for _, id := range f.limiter.Words.Forget(now, isKnown) {
		f.journal.HostEvent(ratelimit.Ended.String(), "upstream", id, "why", "no answer confirmed it")
	}
	f.limitLogLimiter.prune(now)
	f.signalLogLimiter.prune(now)
	f.backoffNoticeLimiter.prune(now)
	f.limiter.Forget(now, func(id member.UpstreamID) bool {
		_, named := f.limiter.Words.Bound(now, id)
		return named || f.fleet.IsCold(now, id)
	})
}

// LimitedUpstreams lists the upstreams that name a limit, or return after they did.
func (f *Forwarder) LimitedUpstreams() []ratelimit.Entry { return f.limiter.Words.Entries(f.now()) }
