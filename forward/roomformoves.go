// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"slices"
	"strings"
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// departures returns, for each upstream of a service that leaves, when it is expected to end: at
// the reported time, but no later than the notice after the first sign. Upstreams whose end has
// passed are left out, so that nothing is held back for them for longer than the notice.
func (f *Fleet) departures(now time.Time, service ServiceName, notice time.Duration) map[member.UpstreamID]time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var endsAt map[member.UpstreamID]time.Time
	for _, upstreams := range f.index.services[service] {
		for id, k := range upstreams {
			if k.leavingSince.IsZero() {
				continue
			}
			end := k.leavingSince.Add(notice)
			if !k.expectedEnd.IsZero() && k.expectedEnd.Before(end) {
				end = k.expectedEnd
			}
			if !end.After(now) {
				continue
			}
			if endsAt == nil {
				endsAt = map[member.UpstreamID]time.Time{}
			}
			endsAt[id] = end
		}
	}
	return endsAt
}

// updateDepartures passes the departing engines of a service to its placement, and logs the zones
// in which requests were held back for their runs since the last call.
func (f *Forwarder) updateDepartures(now time.Time, service Service) {
	if !f.settings.Placement.RoomForMoves || !service.Engine.Moves {
		return
	}
	endsAt := f.fleet.departures(now, service.Name, f.expectedNotice(now, service))
	zones, held := f.engines.setDepartures(now, service.Name, endsAt)
	for _, z := range zones {
		f.journal.HostEvent("new requests wait for moves", "service", service.Name, "zone", z.Zone, "runs", z.Runs, "memory", z.Memory, "places", z.Places, "engines", len(endsAt), "held", held, "age", z.Age)
	}
}

// setDepartures sets when the departing engines of a service are expected to end. If requests were
// held back since the last call, it returns the zones with runs that have to move, as they were,
// and the number of attempts that were held back.
func (e *enginePlacer) setDepartures(now time.Time, service ServiceName, endsAt map[member.UpstreamID]time.Time) (zones []policy.DepartingRuns, held uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil {
		return nil, 0
	}
	zones, total := p.pool.DepartingRuns(now)
	held, p.heldForMoves = total-p.heldForMoves, total
	p.pool.SetDepartures(endsAt)
	if held == 0 {
		return nil, 0
	}
	return zones, held
}

// MoveStatus describes the departing runs of one service, and what is done for them.
type MoveStatus struct {
	Service ServiceName
	// Runs is how many runs on departing engines are expected to have to move, and Places how
	// many of them fit on the other engines of their zones.
	Runs, Places float64
	// Held is how many attempts at placing a request found room only where those runs need it.
	Held uint64
	// Notice is how long an engine is expected to serve on after the first sign that it departs,
	// and Departures how many departures that was learned from.
	Notice     time.Duration
	Departures int
	// PaceMoved and PaceFailed count the moves for pace that were tried.
	PaceMoved, PaceFailed uint64
}

// MoveStatus returns the status of each service whose engines support moves, sorted by name.
func (f *Forwarder) MoveStatus() []MoveStatus {
	now := f.now()
	all := f.engines.moveStatus(now)
	for i := range all {
		all[i].Notice, all[i].Departures = f.notices.expected(now, all[i].Service, f.settings.DrainTime)
	}
	return all
}

func (e *enginePlacer) moveStatus(now time.Time) []MoveStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []MoveStatus
	for name, p := range e.pools {
		if !p.spec.Moves {
			continue
		}
		status := MoveStatus{Service: name, PaceMoved: p.paceMoved, PaceFailed: p.paceFailed}
		zones, held := p.pool.DepartingRuns(now)
		for _, z := range zones {
			status.Runs, status.Places = status.Runs+z.Runs, status.Places+float64(z.Places)
		}
		status.Held = held
		all = append(all, status)
	}
	slices.SortFunc(all, func(a, b MoveStatus) int { return strings.Compare(string(a.Service), string(b.Service)) })
	return all
}
