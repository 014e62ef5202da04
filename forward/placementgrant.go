// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"slices"
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// Placements on engines that a host grants to runs of its peers.

// zonesWithEngines reports whether this host's zone has available engines of a service, and
// lists the other zones that have some, in an order that varies from call to call.
func (e *enginePlacer) zonesWithEngines(service ServiceName) (inOwnZone bool, otherZones []member.Zone) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil {
		return false, nil
	}
	// The iteration order of the map varies enough.
	for _, u := range p.poolEngines {
		switch {
		case u.Zone == e.zone:
			inOwnZone = true
		case !slices.Contains(otherZones, u.Zone):
			otherZones = append(otherZones, u.Zone)
		}
	}
	return inOwnZone, otherZones
}

// tryPlaceInOwnZone places a request on an engine of this host's zone if one has room now.
func (e *enginePlacer) tryPlaceInOwnZone(now time.Time, service ServiceName, r policy.Request) (Upstream, *ownRun, policy.Decision, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil {
		return Upstream{}, nil, policy.Decision{}, false
	}
	r.Zone, r.SameZoneOnly = e.zone, true
	d, ok := p.pool.TryPlace(now, r)
	if !ok {
		return Upstream{}, nil, d, false
	}
	return p.poolEngines[d.Engine], p.addOwnRun(r, d.Engine), d, true
}

// placeGranted records a run on an engine on which a peer granted it a place.
func (e *enginePlacer) placeGranted(now time.Time, service ServiceName, r policy.Request, g PlacementGrant) (Upstream, *ownRun, policy.Decision, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil || p.poolEngines[g.Engine].ID == "" {
		return Upstream{}, nil, policy.Decision{}, false
	}
	r.Zone = e.zone
	d, ok := p.pool.PlaceOn(now, r, g.Engine, g.TimeToFirstToken)
	if !ok {
		return Upstream{}, nil, d, false
	}
	return p.poolEngines[g.Engine], p.addOwnRun(r, g.Engine), d, true
}

// addOwnRun records that this host has a run on an engine.
func (p *enginePool) addOwnRun(r policy.Request, engine member.UpstreamID) *ownRun {
	run := &ownRun{request: r, engine: engine, incarnation: p.poolEngines[engine].Incarnation}
	p.ownRuns[r.Run] = run
	return run
}

// grantPlacement grants a peer's run a place on an engine of this host's zone, if one has
// room.
func (e *enginePlacer) grantPlacement(now time.Time, a PlacementRequest) (policy.Decision, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[a.Service]
	if p == nil || p.ownRuns[a.Run] != nil {
		return policy.Decision{}, false
	}
	d, ok := p.placePeerRun(now, a, e.zone)
	if ok {
		p.peerRuns[a.Run], p.unconfirmedGrants[a.Run] = a.From, now
	}
	return d, ok
}

// placePeerRun places a peer's run on an engine of a zone. A run that is known here already is
// being moved; if there is no room, it stays counted on its present engine.
func (p *enginePool) placePeerRun(now time.Time, a PlacementRequest, zone member.Zone) (policy.Decision, bool) {
	if _, known := p.peerRuns[a.Run]; known {
		id, ok := p.pool.Relocate(now, a.Run, policy.Target{ExcludedEngines: a.ExcludedEngines, SameZoneOnly: true, Zone: zone, OnlyGroup: a.OnlyGroup, ExcludedGroup: a.ExcludedGroup})
		return policy.Decision{Run: a.Run, Verdict: policy.Granted, Engine: id}, ok
	}
	r := a.policyRequest(now)
	r.Zone, r.SameZoneOnly = zone, true
	return p.pool.TryPlace(now, r)
}

// revokeUnusedGrants frees places that were granted to peers' runs of which no report arrived
// within placementGrantTTL.
func (p *enginePool) revokeUnusedGrants(now time.Time) {
	for id, at := range p.unconfirmedGrants {
		if now.Sub(at) > placementGrantTTL {
			delete(p.unconfirmedGrants, id)
			delete(p.peerRuns, id)
			p.pool.Finish(now, policy.Finish{Run: id})
		}
	}
}

// requestForMove returns the request with which a run would be placed again, including the
// output that it has generated so far. It excludes the engines in avoid and the present one.
func (e *enginePlacer) requestForMove(service ServiceName, run *ownRun, avoid []member.UpstreamID) (policy.Request, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil {
		return policy.Request{}, false
	}
	r, ok := p.pool.RelocationRequest(run.request.Run)
	r.ExcludedEngines = append(slices.Clone(avoid), run.engine)
	return r, ok
}

// moveToGranted records that a run moves to an engine on which a peer granted it a place.
func (e *enginePlacer) moveToGranted(now time.Time, service ServiceName, run *ownRun, engine member.UpstreamID) (Upstream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil || p.poolEngines[engine].ID == "" || !p.pool.CancelRelocation(now, run.request.Run, engine) {
		return Upstream{}, false
	}
	run.engine, run.incarnation = engine, p.poolEngines[engine].Incarnation
	return p.poolEngines[engine], true
}
