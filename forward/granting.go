// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"slices"
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// Places on engines that one host gives to another's runs.

// zonesWithEngines tells whether the own zone has engines of a service that take work, and which
// others do, in an order that differs from call to call.
func (e *enginePlacer) zonesWithEngines(service ServiceName) (near bool, far []member.Zone) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil {
		return false, nil
	}
	// The order of a map will do for that.
	for _, u := range p.poolEngines {
		switch {
		case u.Zone == e.zone:
			near = true
		case !slices.Contains(far, u.Zone):
			far = append(far, u.Zone)
		}
	}
	return near, far
}

// tryPlaceInOwnZone places a request on an engine of the own zone if that can be done at once.
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

// placeGranted counts a run on an engine that another host gave a place on.
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

// addOwnRun notes that this host has a run on an engine.
func (p *enginePool) addOwnRun(r policy.Request, engine member.UpstreamID) *ownRun {
	run := &ownRun{request: r, engine: engine, incarnation: p.poolEngines[engine].Incarnation}
	p.ownRuns[r.Run] = run
	return run
}

// grantPlacement gives a peer's run a place on an engine of the own zone, if one has room.
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

// placePeerRun places a peer's run on an engine of a zone. One that is known here already
// is to move, and stays counted where it is if there is no room.
func (p *enginePool) placePeerRun(now time.Time, a PlacementRequest, zone member.Zone) (policy.Decision, bool) {
	if _, known := p.peerRuns[a.Run]; known {
		id, ok := p.pool.Relocate(now, a.Run, policy.Target{ExcludedEngines: a.ExcludedEngines, SameZoneOnly: true, Zone: zone, OnlyGroup: a.OnlyGroup, ExcludedGroup: a.ExcludedGroup})
		return policy.Decision{Run: a.Run, Verdict: policy.Granted, Engine: id}, ok
	}
	r := a.policyRequest(now)
	r.Zone, r.SameZoneOnly = zone, true
	return p.pool.TryPlace(now, r)
}

// revokeUnusedGrants frees the places that were given to peers' runs that nothing was heard of.
func (p *enginePool) revokeUnusedGrants(now time.Time) {
	for id, at := range p.unconfirmedGrants {
		if now.Sub(at) > placementGrantTTL {
			delete(p.unconfirmedGrants, id)
			delete(p.peerRuns, id)
			p.pool.Finish(now, policy.Finish{Run: id})
		}
	}
}

// requestForMove is a run as it would be placed anew with what it has made so far.
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

// moveToGranted counts a run on an engine that another host gave a place on.
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
