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

// UpstreamProber checks whether an upstream's process still listens.
type UpstreamProber interface {
	// Closed reports whether the upstream's host refuses connections to the upstream's address, so
	// that no process listens there. It returns an error if this can't be determined.
	Closed(ctx context.Context, u member.Upstream) (bool, error)
}

const (
	// crashWindow is how long after its first token a run may be the cause of its engine's crash. A
	// run that lasts longer only ran beside the request that caused it.
	crashWindow = 500 * time.Millisecond
	// closedCheckTimeout bounds the check of an upstream whose link broke. The host of an ended
	// upstream refuses a connection within a round trip.
	closedCheckTimeout = 50 * time.Millisecond
	// sameEndWindow is the time within which lost runs of one upstream are attributed to the same
	// end of that upstream.
	sameEndWindow = time.Second
)

// crashRegister holds the requests under which upstreams ended, as far as this entry knows.
type crashRegister struct {
	quarantine.Register
	// epoch distinguishes this process from earlier ones on the same host.
	epoch uint64

	mu sync.Mutex
	// recentEnds holds the last end of each upstream that this entry saw. It distinguishes
	// successive instances of an upstream: the host list identifies an instance only by the
	// upstream's id, and some upstreams keep their id after a restart.
	recentEnds map[member.UpstreamID]upstreamEnd
}

// upstreamEnd is the end of one instance of an upstream.
type upstreamEnd struct {
	endedAt    time.Time
	instanceID int64
}

func newCrashRegister() *crashRegister {
	return &crashRegister{epoch: rand.Uint64(), recentEnds: map[member.UpstreamID]upstreamEnd{}}
}

// endedInstance returns the instance of an upstream that has just ended. Calls within sameEndWindow
// of the recorded end return the same instance.
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
	return quarantine.Upstream{ID: id, Incarnation: end.instanceID}
}

// trackedRequest is a request with the properties by which the quarantine recognizes it.
type trackedRequest struct {
	quarantine.RequestIdentity
	route       resource.Name
	fingerprint *quarantine.Fingerprint
	// isProbe reports whether this request is sent to find out whether upstreams now survive it.
	isProbe bool
}

// mayProbe reports whether this request may be sent to find out whether upstreams now survive it.
// Only one entry of the site sends such probes for a given request.
func (e *Entry) mayProbe(r *trackedRequest, cause quarantine.Fingerprint) bool {
	if !r.isProbe && e.members.ownsSiteDuty(e.now(), cause.String()) && e.crashes.BeginTrial(e.now(), cause) {
		r.isProbe = true
		_ = level.Info(e.logger).Log("msg", "tried again", "asks", cause)
	}
	return r.isProbe
}

// checkQuarantine returns a failure if the request is quarantined because upstreams ended under it.
func (e *Entry) checkQuarantine(r *trackedRequest) *Failure {
	evidence, fingerprint := e.crashes.Evaluate(e.now(), r.RequestIdentity, r.fingerprint)
	r.fingerprint = fingerprint
	if evidence.Standing < quarantine.TrialDue || evidence.Standing == quarantine.TrialDue && e.mayProbe(r, evidence.Cause) {
		return nil
	}
	_ = level.Warn(e.logger).Log("msg", "held back", "asks", evidence.Cause, "part", evidence.Cause.Part(), "upstreams_ended", evidence.UpstreamsEnded, "last_ended_ago", evidence.SinceLastEnd)
	return newFailure(CodeQuarantined, NotRun, "%d upstreams ended while this request began to run on them; it is not sent to another", evidence.UpstreamsEnded)
}

// handleLostUpstream checks whether an upstream has ended after the link to it broke, and if so
// counts the end against the request. firstTokenAt is when the upstream's first token of the
// request came; zero if none has come. An end isn't counted if the upstream is known to be leaving,
// or if it comes later than crashWindow after the first token.
func (e *Entry) handleLostUpstream(ctx context.Context, r *trackedRequest, u member.Upstream, firstTokenAt time.Time) {
	now := e.now()
	known, listed := e.members.Upstream(u.ID)
	if e.upstreams == nil || ctx.Err() != nil || listed && known.Leaving || !firstTokenAt.IsZero() && now.Sub(firstTokenAt) >= crashWindow {
		return
	}
	checkCtx, cancel := context.WithTimeout(ctx, closedCheckTimeout)
	defer cancel()
	if closed, _ := e.upstreams.Closed(checkCtx, u); !closed {
		// The upstream still listens, or its state is unknown: only the link broke.
		return
	}
	if r.fingerprint == nil {
		f := r.Fingerprint()
		r.fingerprint = &f
	}
	evidence := e.crashes.RecordCrash(now, r.RequestIdentity, *r.fingerprint, quarantine.Origin{Caller: r.Caller, Route: string(r.route)}, e.crashes.endedInstance(now, u.ID))
	_ = level.Warn(e.logger).Log("msg", "upstream ended under it", "upstream", u.ID, "asks", r.fingerprint, "upstreams_ended", evidence.UpstreamsEnded, "held", evidence.Standing == quarantine.Held)
	e.members.requestHeartbeats()
}

// recordSuccess records that an upstream ran the request and survived, which clears the request and
// the parts of its prompt of earlier ends.
func (e *Entry) recordSuccess(r *trackedRequest) {
	e.crashes.RecordSurvival(e.now(), r.RequestIdentity, r.fingerprint)
}

// Quarantine returns the requests under which upstreams ended.
func (e *Entry) Quarantine() []quarantine.Entry { return e.crashes.Entries(e.now()) }

// Release clears a request of all ends of upstreams, so that it is sent again. It reports whether
// any were recorded.
func (e *Entry) Release(f quarantine.Fingerprint) bool {
	if !e.crashes.ClearCrashes(e.now(), f) {
		return false
	}
	_ = level.Info(e.logger).Log("msg", "let through again", "asks", f, "by", "operator")
	e.members.requestHeartbeats()
	return true
}
