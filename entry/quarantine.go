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

// Upstreams tells whether an upstream still listens.
type Upstreams interface {
	// Closed reports whether nobody listens at an upstream's address, by the word of its
	// machine; without that the error says why it isn't known.
	Closed(ctx context.Context, u member.Upstream) (bool, error)
}

const (
	// beginsFor is how long after its first token a run counts as beginning on its
	// engine; what has run for longer only ran beside.
	beginsFor = 500 * time.Millisecond
	// reachTimeout bounds the look at an upstream whose link broke: one that ended
	// refuses a connection within a round trip.
	reachTimeout = 50 * time.Millisecond
	// sameEnd is within how long two runs that lost their upstream lost it by one end.
	sameEnd = time.Second
)

// crashes are the requests under which upstreams ended, as this entry knows them.
type crashes struct {
	quarantine.Register
	// epoch tells this process from an earlier one of the host.
	epoch uint64

	mu sync.Mutex
	// ends are the upstreams' last ends that this entry saw. The host list tells one
	// start of an upstream from another by nothing but its id, which some keep.
	ends map[member.UpstreamID]upstreamEnd
}

type upstreamEnd struct {
	at   time.Time
	life int64
}

func newCrashes() *crashes {
	return &crashes{epoch: rand.Uint64(), ends: map[member.UpstreamID]upstreamEnd{}}
}

// endOf names the start of an upstream that has just ended.
func (c *crashes) endOf(now time.Time, id member.UpstreamID) quarantine.Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	end, known := c.ends[id]
	if !known || now.Sub(end.at) > sameEnd {
		end = upstreamEnd{at: now, life: rand.Int64()}
		c.ends[id] = end
	}
	for other, e := range c.ends {
		if now.Sub(e.at) > sameEnd {
			delete(c.ends, other)
		}
	}
	return quarantine.Upstream{ID: id, Life: end.life}
}

// asking is one request as the quarantine tells it from others.
type asking struct {
	quarantine.Asked
	route resource.Name
	print *quarantine.Fingerprint
	// isTry says that this one finds out whether upstreams bear the request by now.
	isTry bool
}

// tries reports whether a request is the one by which an entry finds out whether upstreams
// bear it by now. One entry does so for all.
func (e *Entry) tries(a *asking) bool {
	if !a.isTry && e.members.decidesAlone(e.now(), a.print.String()) && e.crashes.TakeTry(e.now(), *a.print) {
		a.isTry = true
		_ = level.Info(e.logger).Log("msg", "tried again", "asks", a.print)
	}
	return a.isTry
}

// held refuses a request under which upstreams ended, for it isn't sent any more.
func (e *Entry) held(a *asking) *Failure {
	evidence, print := e.crashes.Judge(e.now(), a.Asked, a.print)
	a.print = print
	if evidence.Standing < quarantine.Tried || evidence.Standing == quarantine.Tried && e.tries(a) {
		return nil
	}
	_ = level.Warn(e.logger).Log("msg", "held back", "asks", print, "upstreams_ended", evidence.Ended, "last_ended_ago", evidence.Last)
	return newFailure(CodeQuarantined, NotRun, "%d upstreams ended while this request began to run on them; it is not sent to another", evidence.Ended)
}

// broke looks whether an upstream ended when the link to it broke, and if so counts that
// against the request, which had begun there at a moment; zero for not yet.
func (e *Entry) broke(ctx context.Context, a *asking, u member.Upstream, begun time.Time) {
	now := e.now()
	known, listed := e.members.Upstream(u.ID)
	if e.upstreams == nil || ctx.Err() != nil || listed && known.Leaving || !begun.IsZero() && now.Sub(begun) >= beginsFor {
		return
	}
	reach, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	if closed, _ := e.upstreams.Closed(reach, u); !closed {
		// It is there, or nothing is known of it: a link broke.
		return
	}
	if a.print == nil {
		f := a.Fingerprint()
		a.print = &f
	}
	evidence := e.crashes.Crashed(now, *a.print, quarantine.Origin{Caller: a.Caller, Route: string(a.route)}, e.crashes.endOf(now, u.ID))
	_ = level.Warn(e.logger).Log("msg", "upstream ended under it", "upstream", u.ID, "asks", a.print, "upstreams_ended", evidence.Ended, "held", evidence.Standing == quarantine.Held)
	e.members.nudge()
}

// survived takes in that an upstream has run the request and gone on.
func (e *Entry) survived(a *asking) {
	evidence, print := e.crashes.Judge(e.now(), a.Asked, a.print)
	a.print = print
	if evidence.Standing != quarantine.Clear {
		e.crashes.RanWell(e.now(), *print)
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
