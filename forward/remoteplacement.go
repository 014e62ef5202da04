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

// A host learns of the runs on its own zone's engines within a few milliseconds of their
// placement, but has only part of the runs of other zones, because traffic between zones
// is billed. It therefore places runs in its own zone by itself. When that zone has no
// room, it asks a host of another zone, which reserves a place there. If no host of a zone
// can be asked, the asking host places runs in that zone by its own incomplete view.

// PlacementRequest asks a host of another zone to reserve a place for a run on one of its
// zone's engines.
type PlacementRequest struct {
	From    member.HostID
	Service ServiceName
	Run     policy.RunID
	// Route and Account are used to predict the length of the run's output.
	Route   resource.Name
	Account resource.Account
	// Priority is that of a policy.Request: the highest goes first.
	Priority        int
	PromptTokens    policy.Tokens
	MaxOutputTokens policy.Tokens
	// Objective is the target time to the first token, and Elapsed the time since the request
	// arrived. Both are zero for a run that has already started.
	Objective, Elapsed time.Duration
	// ExcludedEngines must not be used.
	ExcludedEngines []member.UpstreamID
	// OnlyGroup and ExcludedGroup restrict the engines by group, as in policy.Request; empty
	// sets no restriction.
	OnlyGroup, ExcludedGroup string
}

// PlacementGrant is the reply to a PlacementRequest.
type PlacementGrant struct {
	// Engine has a place reserved for the run; empty if no engine has room.
	Engine member.UpstreamID
	// TimeToFirstToken is the expected time until the run's first token.
	TimeToFirstToken time.Duration
}

const (
	// peerRequestTimeout bounds a call that asks a peer for a place or a permit. Zones are a
	// millisecond or two apart; a request doesn't wait for a peer that is slower than this.
	peerRequestTimeout = 40 * time.Millisecond
	// placementGrantTTL is how long a place stays reserved for another host's run until that
	// host reports the run, which it does within about 5 ms.
	placementGrantTTL = 300 * time.Millisecond
	// initialPlacementPause is how long a peer that didn't reply isn't asked for a place, unless a message from it
	// arrives. The pause doubles with each further request without a reply, up to maxPlacementPause.
	initialPlacementPause = 500 * time.Millisecond
	maxPlacementPause     = 8 * time.Second
)

// newPlacementRequest returns the placement request that host self sends for r.
func newPlacementRequest(self member.HostID, service ServiceName, now time.Time, r policy.Request) PlacementRequest {
	a := PlacementRequest{
		From: self, Service: service, Run: r.Run, Route: r.Route, Account: r.Account, Priority: r.Priority,
		PromptTokens: r.PromptTokens, MaxOutputTokens: r.MaxOutputTokens, ExcludedEngines: r.ExcludedEngines,
		OnlyGroup: r.OnlyGroup, ExcludedGroup: r.ExcludedGroup,
	}
	if !r.ArrivedAt.IsZero() {
		a.Objective, a.Elapsed = r.Objective, now.Sub(r.ArrivedAt)
		if a.Objective <= 0 {
			// Only the time since its arrival tells a new request without an objective from one for
			// a run that moves. It is sent in milliseconds.
			a.Elapsed = max(a.Elapsed, time.Millisecond)
		}
	}
	return a
}

// policyRequest returns the request for the placement policy, with its times relative to now.
func (a PlacementRequest) policyRequest(now time.Time) policy.Request {
	request := policy.Request{
		Run: a.Run, Route: a.Route, Account: a.Account, Priority: a.Priority, PromptTokens: a.PromptTokens, MaxOutputTokens: a.MaxOutputTokens,
		Objective: a.Objective, ExcludedEngines: a.ExcludedEngines, OnlyGroup: a.OnlyGroup, ExcludedGroup: a.ExcludedGroup,
	}
	if a.startsNewAnswer() {
		request.ArrivedAt = now.Add(-a.Elapsed)
	}
	if a.Objective > 0 {
		request.Deadline = request.ArrivedAt.Add(a.Objective)
	}
	return request
}

// startsNewAnswer reports whether the request isn't for a run that moves.
func (a PlacementRequest) startsNewAnswer() bool { return a.Objective > 0 || a.Elapsed > 0 }

// OnAsk reserves a place for a run of a host of another zone. It returns an empty grant if
// no engine of this zone has room.
func (f *Forwarder) OnAsk(request PlacementRequest) PlacementGrant {
	now := f.now()
	t := f.table.Load()
	if t == nil {
		return PlacementGrant{}
	}
	// A service that was never configured on this host has no engines, so no place is granted.
	service, _ := t.Service(request.Service)
	x := &exchange{Forwarder: f, service: service}
	if !f.constrainAsk(now, &request) {
		return PlacementGrant{}
	}
	request.ExcludedEngines = slices.Concat(request.ExcludedEngines, x.throttledEngines(now).sameZone)
	decision, ok := f.engines.grantPlacement(now, request)
	if !ok {
		return PlacementGrant{}
	}
	f.journal.Request(RequestID(request.Run), "place given", "peer", request.From, "upstream", decision.Engine, "first_foreseen", decision.TimeToFirstToken, "memory_foreseen", decision.PeakMemory, "runs", decision.BatchSize)
	return PlacementGrant{Engine: decision.Engine, TimeToFirstToken: decision.TimeToFirstToken}
}

// requestPlacement asks one host of each zone in turn until one grants a place.
// anyUnreachable reports whether some zone had no live host or its host didn't reply.
func (f *Forwarder) requestPlacement(ctx context.Context, zones []member.Zone, service ServiceName, r policy.Request) (grant PlacementGrant, found, anyUnreachable bool) {
	peers := f.loadPeerPort()
	for _, zone := range zones {
		now := f.now()
		peer, found := f.peers.randomPeerOutsideCell(now, zone)
		if !found || peers == nil {
			anyUnreachable = true
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
		grant, err := peers.Ask(callCtx, peer, newPlacementRequest(f.peers.self.ID, service, now, r))
		cancel()
		if err != nil {
			f.journal.Request(RequestID(r.Run), "not answered for a place", "peer", peer.ID, "err", err)
			f.peers.recordUnanswered(f.now(), peer.ID)
			anyUnreachable = true
			continue
		}
		if grant.Engine != "" {
			return grant, true, anyUnreachable
		}
	}
	return PlacementGrant{}, false, anyUnreachable
}

// placementResult holds the engine that a run was placed on, or a decision with the reason
// why it wasn't placed.
type placementResult struct {
	upstream Upstream
	run      *ownRun
	decision policy.Decision
}

// findPlacement finds an engine for a new run. It tries the host's own zone first, then asks
// hosts of other zones. If its own zone has no usable engine, there is no other zone, or a
// zone couldn't be asked, it places the run on any engine by its own view of the runs;
// otherwise the run waits for a place in the host's own zone.
func (s *streamExchange) findPlacement(ctx context.Context, now time.Time, r policy.Request, throttled throttledSet) placementResult {
	service := s.service.Name
	inOwnZone, otherZones := s.placementZones(service)
	inOwnZone, otherZones = inOwnZone && s.zoneAllowed(s.peers.self.Zone), s.filterZones(otherZones)
	if inOwnZone && len(otherZones) > 0 {
		if placed, ok := s.placeInEmptierZone(ctx, now, otherZones, r, throttled); ok {
			return placed
		}
		now = s.now()
	}
	if s.settings.Placement.ZoneAdmission {
		if p, decided := s.placeInZone(ctx, now, r, throttled, inOwnZone, otherZones); decided {
			return p
		}
		now = s.now()
	}
	useLocalView := !inOwnZone || len(otherZones) == 0
	if !useLocalView {
		if u, run, d, ok := s.engines.tryPlaceInOwnZone(now, service, r); ok {
			return placementResult{upstream: u, run: run, decision: d}
		}
		var grant PlacementGrant
		var found bool
		remote := r
		remote.ExcludedEngines = slices.Concat(r.ExcludedEngines, throttled.otherZones)
		if grant, found, useLocalView = s.requestPlacement(ctx, otherZones, service, remote); found {
			s.registerGrantedEngine(service, grant.Engine)
			if u, run, d, ok := s.engines.placeGranted(s.now(), service, r, grant); ok {
				return placementResult{upstream: u, run: run, decision: d}
			}
			// The granted engine is not, or no longer, on this host's list.
			useLocalView = true
		}
	}
	r.ExcludedEngines, r.SameZoneOnly = slices.Concat(r.ExcludedEngines, throttled.otherZones), !useLocalView
	zone := member.Zone("")
	if r.SameZoneOnly {
		zone = s.peers.self.Zone
	}
	if throttled.allExcluded(r.ExcludedEngines, zone) {
		return placementResult{decision: policy.Decision{Run: r.Run, Verdict: policy.Refused, Reason: policy.ReasonQueueFull, RetryAfter: throttled.shortestWait}}
	}
	u, run, d := s.engines.place(ctx, s.now(), service, r)
	return placementResult{upstream: u, run: run, decision: d}
}

// findMoveTarget finds another engine for a run that has to move. It tries the zone of the
// run's engine first, because a move between zones takes twice as long, then this host's
// own zone, then the others. avoid are engines to exclude in all zones; throttled are
// engines of other zones to which this host may not send now.
func (x *exchange) findMoveTarget(ctx context.Context, now time.Time, run *ownRun, avoid, throttled []member.UpstreamID) (u Upstream, found bool) {
	service, ownZone := x.service.Name, x.peers.self.Zone
	inOwnZone, zones := x.placementZones(service)
	zones = x.filterZones(zones)
	if inOwnZone && x.zoneAllowed(ownZone) {
		zones = append([]member.Zone{ownZone}, zones...)
	}
	// If the run's engine is no longer known, its zone is empty and the order stays.
	current, _ := x.fleet.Upstream(run.engine)
	if i := slices.Index(zones, current.Zone); i > 0 {
		zones = slices.Insert(slices.Delete(zones, i, i+1), 0, current.Zone)
	}
	r, known := x.engines.requestForMove(service, run, slices.Concat(avoid, throttled))
	if !known {
		return Upstream{}, false
	}
	r.OnlyGroup, r.ExcludedGroup = string(x.versions.get().Only), string(x.versions.get().Except)
	anyUnreachable := false
	for _, zone := range zones {
		if zone == ownZone {
			if u, ok := x.engines.relocate(now, service, run, policy.Target{ExcludedEngines: avoid, SameZoneOnly: true, Zone: ownZone, OnlyGroup: r.OnlyGroup, ExcludedGroup: r.ExcludedGroup}); ok {
				return u, true
			}
			if !x.peers.zonesDivided() {
				continue
			}
		}
		grant, found, unreachable := x.requestPlacement(ctx, []member.Zone{zone}, service, r)
		anyUnreachable = anyUnreachable || unreachable
		if !found {
			continue
		}
		x.registerGrantedEngine(service, grant.Engine)
		if u, ok := x.engines.moveToGranted(x.now(), service, run, grant.Engine); ok {
			return u, true
		}
	}
	if !anyUnreachable {
		return Upstream{}, false
	}
	u, found = x.engines.relocate(x.now(), service, run, policy.Target{CrossZoneCost: crossZoneMoveCost, ExcludedEngines: slices.Concat(avoid, throttled), OnlyGroup: r.OnlyGroup, ExcludedGroup: r.ExcludedGroup})
	return u, found
}

// recordUnanswered records that a peer didn't reply to a request for a place. It isn't asked for one for a while. That
// says nothing about whether it is live: peerRequestTimeout is short, and this host may itself have had no processor.
func (p *peerSet) recordUnanswered(now time.Time, id member.HostID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.known[id]
	if s == nil || now.Before(s.placementPauseUntil) {
		return
	}
	s.placementPauseUntil = now.Add(min(initialPlacementPause<<min(s.unansweredCount, 8), maxPlacementPause))
	s.unansweredCount++
}

// placementZones reports whether this host places runs on engines of its own zone, and in
// which zones other hosts have to be asked. If the own zone is divided into cells, it is
// among these too, in first place.
func (x *exchange) placementZones(service ServiceName) (inOwnZone bool, otherZones []member.Zone) {
	inOwnZone, otherZones = x.engines.zonesWithEngines(service)
	if !x.peers.zonesDivided() {
		return inOwnZone, otherZones
	}
	otherZones = x.fleet.ZonesServing(service)
	if i := slices.Index(otherZones, x.peers.self.Zone); i > 0 {
		otherZones[0], otherZones[i] = otherZones[i], otherZones[0]
	}
	return inOwnZone, otherZones
}

// registerGrantedEngine adds an engine of another cell, on which another host granted a place,
// to the engines that this host's placement knows. It does nothing if zones aren't divided.
func (x *exchange) registerGrantedEngine(service ServiceName, id member.UpstreamID) {
	if u, known := x.fleet.Upstream(id); known && x.peers.zonesDivided() {
		x.engines.addRemoteEngine(service, u)
	}
}

// randomPeerOutsideCell picks a random live host of a zone from outside this host's cell, that may be asked for a place.
func (p *peerSet) randomPeerOutsideCell(now time.Time, zone member.Zone) (Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var chosen Peer
	n := uint64(0)
	for _, s := range p.known {
		if s.Zone != zone || s.sameCell || s.stopping || !s.live(now) || now.Before(s.placementPauseUntil) {
			continue
		}
		n++
		if rand.Uint64N(n) == 0 {
			chosen = s.Peer
		}
	}
	return chosen, n > 0
}
