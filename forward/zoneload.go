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
	"github.com/shedpath/shedpath/zoneload"
)

// ZoneLoad is what a host tells others about the load of its zone's engines of a service.
type ZoneLoad struct {
	Service ServiceName
	zoneload.Load
}

// zoneBalance is the state of the load sharing between zones for one service.
type zoneBalance struct {
	forecaster zoneload.Forecaster
	balancer   zoneload.Balancer
	// draw returns a random number from 0 to 1 (exclusive); nil stands for rand.Float64.
	draw func() float64
}

// observeZoneLoad records the load of a zone's engines, which is the placer's own zone.
func (p *enginePool) observeZoneLoad(now time.Time, zone member.Zone) {
	if p.balance == nil {
		return
	}
	if u := p.pool.ZoneUse(now, zone); u.Total > 0 {
		p.balance.forecaster.Observe(now, float64(u.Used)/float64(u.Total), u.Backlog)
	}
}

// zoneLoads returns the load of the own zone's engines of each service.
func (e *enginePlacer) zoneLoads(now time.Time) []ZoneLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	var loads []ZoneLoad
	for service, p := range e.pools {
		if p.balance == nil {
			continue
		}
		if l, known := p.balance.forecaster.Load(now, e.zone); known {
			loads = append(loads, ZoneLoad{service, l})
		}
	}
	return loads
}

// addZoneLoads adds the load of this host's zone to a share, if it goes to a host of another zone.
func (f *Forwarder) addZoneLoads(now time.Time, s *Share, to member.HostID) {
	if f.settings.Placement.ZoneAdmission && f.peers.isInOtherZone(to) {
		s.ZoneLoad = f.engines.zoneLoads(now)
	}
}

// isInOtherZone reports whether a known peer is in another zone.
func (p *peerSet) isInOtherZone(id member.HostID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.known[id]
	return s != nil && s.Zone != p.self.Zone
}

// receiveZoneLoads records what a host of another zone tells about its zone.
func (f *Forwarder) receiveZoneLoads(now time.Time, s Share) {
	if !f.settings.Placement.ZoneAdmission {
		return
	}
	for _, l := range s.ZoneLoad {
		if s.From.Zone == f.peers.self.Zone || l.Zone != s.From.Zone || !f.engines.receiveZoneLoad(now, l) {
			f.observer.ZoneShift(zoneload.Unusable)
			if f.zoneLoadLogLimiter.Allow(now, "") {
				f.journal.HostEvent("peer's zone load not usable", "peer", s.From.ID, "zone", l.Zone, "used", l.Used, "forecast", l.Forecast, "backlog", l.Backlog, "age", l.Age)
			}
		}
	}
}

// receiveZoneLoad records another zone's load. It reports whether its values are usable. The load of a
// service that isn't configured here is ignored.
func (e *enginePlacer) receiveZoneLoad(now time.Time, l ZoneLoad) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[l.Service]
	return p == nil || p.balance == nil || p.balance.balancer.Receive(now, l.Load)
}

// chooseZone decides whether a request is sent to another zone although its own may have room. Only
// short answers are: a stream between zones breaks when the zones are partitioned. changed reports
// whether the own zone has become too full, or no longer is.
func (e *enginePlacer) chooseZone(now time.Time, service ServiceName, r *policy.Request, zones []member.Zone) (d zoneload.Decision, active, changed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil || p.balance == nil {
		return zoneload.Decision{}, false, false
	}
	own, known := p.balance.forecaster.Load(now, e.zone)
	active, changed = p.balance.balancer.Update(own, known)
	if p.pool.MeanLength(r) >= p.shortAnswerLength() {
		return zoneload.Decision{Own: own}, active, changed
	}
	draw := p.balance.draw
	if draw == nil {
		draw = rand.Float64
	}
	return p.balance.balancer.Decide(now, own, zones, draw()), active, changed
}

// placeInEmptierZone places a short answer in another zone if this host's zone is about to be full and
// the other isn't. It returns false if the request is to be placed as usual, which includes that the
// other zone grants no place.
func (s *streamExchange) placeInEmptierZone(ctx context.Context, now time.Time, zones []member.Zone, r policy.Request, throttled throttledSet) (placementResult, bool) {
	if !s.settings.Placement.ZoneAdmission {
		return placementResult{}, false
	}
	service := s.service.Name
	d, active, changed := s.engines.chooseZone(now, service, &r, zones)
	if changed {
		s.journal.HostEvent("load sharing between zones", "service", service, "active", active, "used", d.Own.Used, "forecast", d.Own.Forecast, "backlog", d.Own.Backlog, "age", d.Own.Age)
	}
	if d.Zone == "" {
		return placementResult{}, false
	}
	r.ExcludedEngines = slices.Concat(r.ExcludedEngines, throttled.otherZones)
	grant, found, unreachable := s.requestPlacement(ctx, []member.Zone{d.Zone}, service, r)
	outcome := zoneload.NoRoom
	var result placementResult
	if found {
		s.registerGrantedEngine(service, grant.Engine)
		if u, run, decision, ok := s.engines.placeGranted(s.now(), service, r, grant); ok {
			outcome, result = zoneload.Granted, placementResult{upstream: u, run: run, decision: decision}
		}
	} else if unreachable {
		outcome = zoneload.Unreachable
	}
	s.observer.ZoneShift(outcome)
	s.journal.Request(s.call.ID, "requested in an emptier zone", "zone", d.Zone, "outcome", outcome, "share", d.Share, "own_forecast", d.Own.Forecast, "own_backlog", d.Own.Backlog,
		"own_age", d.Own.Age, "other_forecast", d.Other.Forecast, "other_backlog", d.Other.Backlog, "other_age", d.Other.Age)
	return result, outcome == zoneload.Granted
}
