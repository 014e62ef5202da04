// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/resource"
)

// A host knows the runs on its own zone's engines a few milliseconds after they are
// placed, and those of other zones only in part: bytes between zones have a price. So it
// places in its own zone by itself, and where that has no room it asks a host of another
// zone, which answers for a place there. A zone whose hosts can't be asked is placed in
// blindly, as far as its runs are known.

// PlaceAsk asks a host for a place on one of its zone's engines.
type PlaceAsk struct {
	From    member.HostID
	Service ServiceName
	Run     policy.RunID
	// Route and Account are what the length of its answer is foreseen by.
	Route   resource.Name
	Account resource.Account
	Urgency int
	Prompt  policy.Tokens
	Limit   policy.Tokens
	// Objective is the aimed time to the first token, and Waited how much of it is over;
	// zero for a run that is under way.
	Objective, Waited time.Duration
	// Avoid are engines that won't do.
	Avoid []member.UpstreamID
	// OnlyGroup and ButGroup are those of a policy.Request.
	OnlyGroup, ButGroup string
}

// PlaceGrant is the answer to a PlaceAsk.
type PlaceGrant struct {
	// Engine holds a place for the run; empty when none has room.
	Engine member.UpstreamID
	// FirstAfter is after how long its first token is expected.
	FirstAfter time.Duration
}

const (
	// askTimeout bounds the answer of a host that is asked for a place: zones are a
	// millisecond or two apart, and a slow host is as good as none.
	askTimeout = 40 * time.Millisecond
	// grantedFor is how long a place that was given to another host's run is kept before
	// that host must have told of the run, which it does within some 5 ms.
	grantedFor = 300 * time.Millisecond
)

func askOf(self member.HostID, service ServiceName, now time.Time, r policy.Request) PlaceAsk {
	a := PlaceAsk{
		From: self, Service: service, Run: r.Run, Route: r.Route, Account: r.Account, Urgency: r.Priority,
		Prompt: r.Prompt, Limit: r.Limit, Avoid: r.AvoidAlso,
		OnlyGroup: r.OnlyGroup, ButGroup: r.ButGroup,
	}
	if !r.Arrived.IsZero() {
		a.Objective, a.Waited = r.Objective, now.Sub(r.Arrived)
	}
	return a
}

func (a PlaceAsk) request(now time.Time) policy.Request {
	r := policy.Request{
		Run: a.Run, Route: a.Route, Account: a.Account, Priority: a.Urgency, Prompt: a.Prompt, Limit: a.Limit,
		Objective: a.Objective, AvoidAlso: a.Avoid, OnlyGroup: a.OnlyGroup, ButGroup: a.ButGroup,
	}
	if a.Objective > 0 {
		r.Arrived = now.Add(-a.Waited)
		r.Deadline = r.Arrived.Add(a.Objective)
	}
	return r
}

// OnAsk serves a host of another zone that asks for a place.
func (f *Forwarder) OnAsk(a PlaceAsk) PlaceGrant {
	now := f.now()
	t := f.table.Load()
	if t == nil {
		return PlaceGrant{}
	}
	// One that isn't declared here has no engines, so no place is given.
	service, _ := t.Service(a.Service)
	x := &exchange{Forwarder: f, service: service}
	a.Avoid = slices.Concat(a.Avoid, x.keptEngines(now).near)
	d, ok := f.engines.grant(now, a)
	if !ok {
		return PlaceGrant{}
	}
	f.journal.Request(RequestID(a.Run), "place given", "peer", a.From, "upstream", d.Engine, "first_foreseen", d.FirstAfter, "memory_foreseen", d.Memory, "runs", d.Batch)
	return PlaceGrant{Engine: d.Engine, FirstAfter: d.FirstAfter}
}

// askZones asks a host of each of some zones in turn, until one gives a place. blind says
// that some zone couldn't be asked.
func (f *Forwarder) askZones(ctx context.Context, zones []member.Zone, service ServiceName, r policy.Request) (grant PlaceGrant, found, blind bool) {
	peers := f.loadPeerPort()
	for _, zone := range zones {
		now := f.now()
		to, live := f.peers.anyOutside(now, zone)
		if !live || peers == nil {
			blind = true
			continue
		}
		call, cancel := context.WithTimeout(ctx, askTimeout)
		grant, err := peers.Ask(call, to, askOf(f.peers.self.ID, service, now, r))
		cancel()
		if err != nil {
			f.journal.Request(RequestID(r.Run), "not answered for a place", "peer", to.ID, "err", err)
			f.peers.unanswered(to.ID)
			blind = true
			continue
		}
		if grant.Engine != "" {
			return grant, true, blind
		}
	}
	return PlaceGrant{}, false, blind
}

// placing is where a request was placed, or why it wasn't.
type placing struct {
	at       Upstream
	run      *ownRun
	decision policy.Decision
}

// findPlace finds an engine for a new run: in the own zone, or else by another zone's word.
func (s *streamExchange) findPlace(ctx context.Context, now time.Time, r policy.Request, kept keptEngines) placing {
	service := s.service.Name
	near, far := s.zonesOf(service)
	near, far = near && s.mayServeIn(s.peers.self.Zone), s.allowed(far)
	blind := !near || len(far) == 0
	if !blind {
		if u, run, d, ok := s.engines.tryNear(now, service, r); ok {
			return placing{at: u, run: run, decision: d}
		}
		var grant PlaceGrant
		var found bool
		elsewhere := r
		elsewhere.AvoidAlso = slices.Concat(r.AvoidAlso, kept.far)
		if grant, found, blind = s.askZones(ctx, far, service, elsewhere); found {
			s.borrow(service, grant.Engine)
			if u, run, d, ok := s.engines.placeAt(s.now(), service, r, grant); ok {
				return placing{at: u, run: run, decision: d}
			}
			// It isn't on this host's list, or not any more.
			blind = true
		}
	}
	r.AvoidAlso, r.OnlyZone = slices.Concat(r.AvoidAlso, kept.far), !blind
	among := member.Zone("")
	if r.OnlyZone {
		among = s.peers.self.Zone
	}
	if kept.allAvoided(r.AvoidAlso, among) {
		return placing{decision: policy.Decision{Run: r.Run, Verdict: policy.Refused, Reason: policy.ReasonQueueFull, RetryAfter: kept.soonest}}
	}
	u, run, d := s.engines.place(ctx, s.now(), service, r)
	return placing{at: u, run: run, decision: d}
}

// findTarget finds another engine for a run that has to move: in its engine's zone first,
// for a move between zones takes twice as long, then in this host's own. kept are engines
// of other zones that this host may not send to.
func (x *exchange) findTarget(ctx context.Context, now time.Time, run *ownRun, avoid, kept []member.UpstreamID) (u Upstream, found bool) {
	service, own := x.service.Name, x.peers.self.Zone
	near, zones := x.zonesOf(service)
	zones = x.allowed(zones)
	if near && x.mayServeIn(own) {
		zones = append([]member.Zone{own}, zones...)
	}
	// An engine that isn't known any more is of no zone, and none goes first.
	at, _ := x.fleet.Upstream(run.engine)
	if i := slices.Index(zones, at.Zone); i > 0 {
		zones = slices.Insert(slices.Delete(zones, i, i+1), 0, at.Zone)
	}
	r, known := x.engines.grown(service, run, slices.Concat(avoid, kept))
	if !known {
		return Upstream{}, false
	}
	r.OnlyGroup, r.ButGroup = string(x.versions.get().Only), string(x.versions.get().But)
	someBlind := false
	for _, zone := range zones {
		if zone == own {
			if u, ok := x.engines.relocate(now, service, run, policy.Target{Avoid: avoid, OnlyZone: true, Zone: own, OnlyGroup: r.OnlyGroup, ButGroup: r.ButGroup}); ok {
				return u, true
			}
			if !x.peers.divided() {
				continue
			}
		}
		grant, found, blind := x.askZones(ctx, []member.Zone{zone}, service, r)
		someBlind = someBlind || blind
		if !found {
			continue
		}
		x.borrow(service, grant.Engine)
		if u, ok := x.engines.moveTo(x.now(), service, run, grant.Engine); ok {
			return u, true
		}
	}
	if !someBlind {
		return Upstream{}, false
	}
	u, found = x.engines.relocate(x.now(), service, run, policy.Target{FarCost: farCostToMove, Avoid: slices.Concat(avoid, kept), OnlyGroup: r.OnlyGroup, ButGroup: r.ButGroup})
	return u, found
}

// unanswered notes that a peer didn't answer: until it is heard again it isn't asked.
func (p *peerSet) unanswered(id member.HostID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[id]; s != nil {
		s.failed = true
	}
}

// zonesOf tells whether this host places on engines of its own zone, and in which zones others do;
// where the own zone is divided, it is among them.
func (x *exchange) zonesOf(service ServiceName) (near bool, far []member.Zone) {
	near, far = x.engines.zonesOf(service)
	if !x.peers.divided() {
		return near, far
	}
	far = x.fleet.ZonesWith(service)
	if i := slices.Index(far, x.peers.self.Zone); i > 0 {
		far[0], far[i] = far[i], far[0]
	}
	return near, far
}

// borrow has an engine be known to the placement that another host has given a place on.
func (x *exchange) borrow(service ServiceName, id member.UpstreamID) {
	if u, known := x.fleet.Upstream(id); known && x.peers.divided() {
		x.engines.borrow(service, u)
	}
}

// anyOutside draws a live host of a zone that isn't of this host's cell.
func (p *peerSet) anyOutside(now time.Time, zone member.Zone) (Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var chosen Peer
	n := uint64(0)
	for _, s := range p.known {
		if s.Zone != zone || s.near || s.stopping || !s.live(now) {
			continue
		}
		n++
		if rand.Uint64N(n) == 0 {
			chosen = s.Peer
		}
	}
	return chosen, n > 0
}
