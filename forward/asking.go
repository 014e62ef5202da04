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

// PlacementRequest asks a host for a place on one of its zone's engines.
type PlacementRequest struct {
	From    member.HostID
	Service ServiceName
	Run     policy.RunID
	// Route and Account are what the length of its answer is foreseen by.
	Route           resource.Name
	Account         resource.Account
	Priority        int
	PromptTokens    policy.Tokens
	MaxOutputTokens policy.Tokens
	// Objective is the aimed time to the first token, and Elapsed how much of it is over;
	// zero for a run that is under way.
	Objective, Elapsed time.Duration
	// ExcludedEngines are engines that won't do.
	ExcludedEngines []member.UpstreamID
	// OnlyGroup and ExcludedGroup are those of a policy.Request.
	OnlyGroup, ExcludedGroup string
}

// PlacementGrant is the answer to a PlaceAsk.
type PlacementGrant struct {
	// Engine holds a place for the run; empty when none has room.
	Engine member.UpstreamID
	// TimeToFirstToken is after how long its first token is expected.
	TimeToFirstToken time.Duration
}

const (
	// peerRequestTimeout bounds the answer of a host that is asked for a place: zones are a
	// millisecond or two apart, and a slow host is as good as none.
	peerRequestTimeout = 40 * time.Millisecond
	// placementGrantTTL is how long a place that was given to another host's run is kept before
	// that host must have told of the run, which it does within some 5 ms.
	placementGrantTTL = 300 * time.Millisecond
)

func newPlacementRequest(self member.HostID, service ServiceName, now time.Time, r policy.Request) PlacementRequest {
	a := PlacementRequest{
		From: self, Service: service, Run: r.Run, Route: r.Route, Account: r.Account, Priority: r.Priority,
		PromptTokens: r.Prompt, MaxOutputTokens: r.Limit, ExcludedEngines: r.AvoidAlso,
		OnlyGroup: r.OnlyGroup, ExcludedGroup: r.ButGroup,
	}
	if !r.Arrived.IsZero() {
		a.Objective, a.Elapsed = r.Objective, now.Sub(r.Arrived)
	}
	return a
}

func (a PlacementRequest) policyRequest(now time.Time) policy.Request {
	r := policy.Request{
		Run: a.Run, Route: a.Route, Account: a.Account, Priority: a.Priority, Prompt: a.PromptTokens, Limit: a.MaxOutputTokens,
		Objective: a.Objective, AvoidAlso: a.ExcludedEngines, OnlyGroup: a.OnlyGroup, ButGroup: a.ExcludedGroup,
	}
	if a.Objective > 0 {
		r.Arrived = now.Add(-a.Elapsed)
		r.Deadline = r.Arrived.Add(a.Objective)
	}
	return r
}

// OnAsk serves a host of another zone that asks for a place.
func (f *Forwarder) OnAsk(a PlacementRequest) PlacementGrant {
	now := f.now()
	t := f.table.Load()
	if t == nil {
		return PlacementGrant{}
	}
	// One that isn't declared here has no engines, so no place is given.
	service, _ := t.Service(a.Service)
	x := &exchange{Forwarder: f, service: service}
	a.ExcludedEngines = slices.Concat(a.ExcludedEngines, x.throttledEngines(now).sameZone)
	d, ok := f.engines.grant(now, a)
	if !ok {
		return PlacementGrant{}
	}
	f.journal.Request(RequestID(a.Run), "place given", "peer", a.From, "upstream", d.Engine, "first_foreseen", d.FirstAfter, "memory_foreseen", d.Memory, "runs", d.Batch)
	return PlacementGrant{Engine: d.Engine, TimeToFirstToken: d.FirstAfter}
}

// requestPlacement asks a host of each of some zones in turn, until one gives a place. blind says
// that some zone couldn't be asked.
func (f *Forwarder) requestPlacement(ctx context.Context, zones []member.Zone, service ServiceName, r policy.Request) (grant PlacementGrant, found, blind bool) {
	peers := f.loadPeerPort()
	for _, zone := range zones {
		now := f.now()
		to, live := f.peers.randomPeerOutsideCell(now, zone)
		if !live || peers == nil {
			blind = true
			continue
		}
		call, cancel := context.WithTimeout(ctx, peerRequestTimeout)
		grant, err := peers.Ask(call, to, newPlacementRequest(f.peers.self.ID, service, now, r))
		cancel()
		if err != nil {
			f.journal.Request(RequestID(r.Run), "not answered for a place", "peer", to.ID, "err", err)
			f.peers.markUnresponsive(to.ID)
			blind = true
			continue
		}
		if grant.Engine != "" {
			return grant, true, blind
		}
	}
	return PlacementGrant{}, false, blind
}

// placementResult is where a request was placed, or why it wasn't.
type placementResult struct {
	upstream Upstream
	run      *ownRun
	decision policy.Decision
}

// findPlacement finds an engine for a new run: in the own zone, or else by another zone's word.
func (s *streamExchange) findPlacement(ctx context.Context, now time.Time, r policy.Request, kept throttledSet) placementResult {
	service := s.service.Name
	near, far := s.placementZones(service)
	near, far = near && s.zoneAllowed(s.peers.self.Zone), s.filterZones(far)
	blind := !near || len(far) == 0
	if !blind {
		if u, run, d, ok := s.engines.tryNear(now, service, r); ok {
			return placementResult{upstream: u, run: run, decision: d}
		}
		var grant PlacementGrant
		var found bool
		elsewhere := r
		elsewhere.AvoidAlso = slices.Concat(r.AvoidAlso, kept.otherZones)
		if grant, found, blind = s.requestPlacement(ctx, far, service, elsewhere); found {
			s.registerGrantedEngine(service, grant.Engine)
			if u, run, d, ok := s.engines.placeAt(s.now(), service, r, grant); ok {
				return placementResult{upstream: u, run: run, decision: d}
			}
			// It isn't on this host's list, or not any more.
			blind = true
		}
	}
	r.AvoidAlso, r.OnlyZone = slices.Concat(r.AvoidAlso, kept.otherZones), !blind
	among := member.Zone("")
	if r.OnlyZone {
		among = s.peers.self.Zone
	}
	if kept.allExcluded(r.AvoidAlso, among) {
		return placementResult{decision: policy.Decision{Run: r.Run, Verdict: policy.Refused, Reason: policy.ReasonQueueFull, RetryAfter: kept.shortestWait}}
	}
	u, run, d := s.engines.place(ctx, s.now(), service, r)
	return placementResult{upstream: u, run: run, decision: d}
}

// findMoveTarget finds another engine for a run that has to move: in its engine's zone first,
// for a move between zones takes twice as long, then in this host's own. kept are engines
// of other zones that this host may not send to.
func (x *exchange) findMoveTarget(ctx context.Context, now time.Time, run *ownRun, avoid, kept []member.UpstreamID) (u Upstream, found bool) {
	service, own := x.service.Name, x.peers.self.Zone
	near, zones := x.placementZones(service)
	zones = x.filterZones(zones)
	if near && x.zoneAllowed(own) {
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
			if !x.peers.zonesDivided() {
				continue
			}
		}
		grant, found, blind := x.requestPlacement(ctx, []member.Zone{zone}, service, r)
		someBlind = someBlind || blind
		if !found {
			continue
		}
		x.registerGrantedEngine(service, grant.Engine)
		if u, ok := x.engines.moveTo(x.now(), service, run, grant.Engine); ok {
			return u, true
		}
	}
	if !someBlind {
		return Upstream{}, false
	}
	u, found = x.engines.relocate(x.now(), service, run, policy.Target{FarCost: crossZoneMoveCost, Avoid: slices.Concat(avoid, kept), OnlyGroup: r.OnlyGroup, ButGroup: r.ButGroup})
	return u, found
}

// markUnresponsive notes that a peer didn't answer: until it is heard again it isn't asked.
func (p *peerSet) markUnresponsive(id member.HostID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[id]; s != nil {
		s.lastShareFailed = true
	}
}

// placementZones tells whether this host places on engines of its own zone, and in which zones others do;
// where the own zone is divided, it is among them.
func (x *exchange) placementZones(service ServiceName) (near bool, far []member.Zone) {
	near, far = x.engines.zonesOf(service)
	if !x.peers.zonesDivided() {
		return near, far
	}
	far = x.fleet.ZonesServing(service)
	if i := slices.Index(far, x.peers.self.Zone); i > 0 {
		far[0], far[i] = far[i], far[0]
	}
	return near, far
}

// registerGrantedEngine has an engine be known to the placement that another host has given a place on.
func (x *exchange) registerGrantedEngine(service ServiceName, id member.UpstreamID) {
	if u, known := x.fleet.Upstream(id); known && x.peers.zonesDivided() {
		x.engines.addRemoteEngine(service, u)
	}
}

// randomPeerOutsideCell draws a live host of a zone that isn't of this host's cell.
func (p *peerSet) randomPeerOutsideCell(now time.Time, zone member.Zone) (Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var chosen Peer
	n := uint64(0)
	for _, s := range p.known {
		if s.Zone != zone || s.sameCell || s.stopping || !s.live(now) {
			continue
		}
		n++
		if rand.Uint64N(n) == 0 {
			chosen = s.Peer
		}
	}
	return chosen, n > 0
}
