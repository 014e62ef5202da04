// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/quarantine"
	"github.com/shedpath/shedpath/resource"
)

// UpstreamProber tells whether an upstream still listens.
type UpstreamProber interface {
	// Closed reports whether nobody listens at an upstream's address, by the word of its
	// machine; without that the error says why it isn't known.
	Closed(ctx context.Context, u member.Upstream) (bool, error)
}

const (
	// crashWindow is how long after its first token a run counts as beginning on its
	// engine; what has run for longer only ran beside.
	crashWindow = 500 * time.Millisecond
	// closedCheckTimeout bounds the look at an upstream whose link broke: one that ended
	// refuses a connection within a round trip.
	closedCheckTimeout = 50 * time.Millisecond
	// sameEndWindow is within how long two runs that lost their upstream lost it by one end.
	sameEndWindow = time.Second
)

// crashRegister are the requests under which upstreams ended, as this entry knows them.
type crashRegister struct {
	quarantine.Register
	// epoch tells this process from an earlier one of the host.
	epoch uint64

	mu sync.Mutex
	// recentEnds are the upstreams' last recentEnds that this entry saw. The host list tells one
	// start of an upstream from another by nothing but its id, which some keep.
	recentEnds map[member.UpstreamID]upstreamEnd
}

type upstreamEnd struct {
	endedAt    time.Time
	instanceID int64
}

func newCrashRegister() *crashRegister {
	return &crashRegister{epoch: rand.Uint64(), recentEnds: map[member.UpstreamID]upstreamEnd{}}
}

// endedInstance names the start of an upstream that has just ended.
func (c *crashRegister) endedInstance(now time.Time, id member.UpstreamID) quarantine.Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	end, seen := c.recentEnds[id]
	if !seen || now.Sub(end.endedAt) > sameEndWindow {
		end = upstreamEnd{endedAt: now, instanceID: rand.Int64()}
		c.recentEnds[id] = end
	}
	for other, e := range c.recentEnds {
		if now.Sub(e.endedAt) > sameEndWindow {
			delete(c.recentEnds, other)
		}
	}
	return quarantine.Upstream{ID: id, Life: end.instanceID}
}

// trackedRequest is one request as the quarantine tells it from others.
type trackedRequest struct {
	quarantine.Asked
	route       resource.Name
	fingerprint *quarantine.Fingerprint
	// isProbe says that this one finds out whether upstreams bear the request by now.
	isProbe bool
}

// mayProbe reports whether a request is the one by which an entry finds out whether upstreams
// bear it by now. One entry does so for all.
func (e *Entry) mayProbe(r *trackedRequest) bool {
	if !r.isProbe && e.members.decidesAlone(e.now(), r.fingerprint.String()) && e.crashes.TakeTry(e.now(), *r.fingerprint) {
		r.isProbe = true
		_ = level.Info(e.logger).Log("msg", "tried again", "asks", r.fingerprint)
	}
	return r.isProbe
}

// checkQuarantine refuses a request under which upstreams ended, for it isn't sent any more.
func (e *Entry) checkQuarantine(r *trackedRequest) *Failure {
	evidence, fingerprint := e.crashes.Judge(e.now(), r.Asked, r.fingerprint)
	r.fingerprint = fingerprint
	if evidence.Standing < quarantine.Tried || evidence.Standing == quarantine.Tried && e.mayProbe(r) {
		return nil
	}
	_ = level.Warn(e.logger).Log("msg", "held back", "asks", fingerprint, "upstreams_ended", evidence.Ended, "last_ended_ago", evidence.Last)
	return newFailure(CodeQuarantined, NotRun, "%d upstreams ended while this request began to run on them; it is not sent to another", evidence.Ended)
}

// handleLostUpstream looks whether an upstream ended when the link to it handleLostUpstream, and if so counts that
// against the request, which had begun there at a moment; zero for not yet.
func (e *Entry) handleLostUpstream(ctx context.Context, r *trackedRequest, u member.Upstream, firstTokenAt time.Time) {
	now := e.now()
	known, listed := e.members.Upstream(u.ID)
	if e.upstreams == nil || ctx.Err() != nil || listed && known.Leaving || !firstTokenAt.IsZero() && now.Sub(firstTokenAt) >= crashWindow {
		return
	}
	checkCtx, cancel := context.WithTimeout(ctx, closedCheckTimeout)
	defer cancel()
	if closed, _ := e.upstreams.Closed(checkCtx, u); !closed {
		// It is there, or nothing is known of it: a link broke.
		return
	}
	if r.fingerprint == nil {
		f := r.Fingerprint()
		r.fingerprint = &f
	}
	evidence := e.crashes.Crashed(now, *r.fingerprint, quarantine.Origin{Caller: r.Caller, Route: string(r.route)}, e.crashes.endedInstance(now, u.ID))
	_ = level.Warn(e.logger).Log("msg", "upstream ended under it", "upstream", u.ID, "asks", r.fingerprint, "upstreams_ended", evidence.Ended, "held", evidence.Standing == quarantine.Held)
	e.members.nudge()
}

// recordSuccess takes in that an upstream has run the request and gone on.
func (e *Entry) recordSuccess(r *trackedRequest) {
	evidence, fingerprint := e.crashes.Judge(e.now(), r.Asked, r.fingerprint)
	r.fingerprint = fingerprint
	if evidence.Standing != quarantine.Clear {
		e.crashes.RanWell(e.now(), *fingerprint)
	}
}

// Quarantine lists the requests under which upstreams ended.
func (e *Entry) Quarantine() []quarantine.Entry { return e.crashes.Entries(e.now()) }

// Release lets a request through again. It reports whether anything was against it.
func (e *Entry) Release(f quarantine.Fingerprint) bool {
	if !e.crashes.RanWell(e.now(), f) {
		return false
	}
	_ = level.Info(e.logger).Log("msg", "let through again", "asks", f, "by", "operator")
	e.members.nudge()
	return true
}
