// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"time"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/resource"
)

// ZoneState is what this entry knows of the configuration in one zone, from the zone's last report.
type ZoneState struct {
	Zone member.Zone
	// Revision is the lowest revision in force on the zone's live entries at ReportedAt.
	Revision resource.Revision
	// Entries is the number of the zone's live entries at ReportedAt.
	Entries int
	// ReportedAt is the time of the report; zero if there is none.
	ReportedAt time.Time
}

// maxZoneReportAge is the age up to which a zone's report counts as current.
const maxZoneReportAge = 5 * time.Second

// Fresh reports whether the state is current at the given time.
func (z ZoneState) Fresh(now time.Time) bool {
	return !z.ReportedAt.IsZero() && now.Sub(z.ReportedAt) <= maxZoneReportAge
}

// ZoneStates returns the state of each known zone.
func (e *Entry) ZoneStates(now time.Time) []ZoneState {
	m := e.members
	revision := e.config.Catalog().Revision()
	m.mu.Lock()
	defer m.mu.Unlock()
	var states []ZoneState
	for _, z := range m.view.Zones() {
		report := m.view.LastZoneReport(z)
		if z == e.self.Zone {
			report = m.view.OwnZoneReport(now, uint64(revision))
		}
		states = append(states, ZoneState{
			Zone: z, Revision: resource.Revision(report.MinRevision), Entries: report.Entries, ReportedAt: report.ObservedAt,
		})
	}
	return states
}

// Status is a summary of one entry for operators.
type Status struct {
	Self     member.Entry
	Revision resource.Revision
	// Era is the platform's era, which rises when the platform is restored from a copy.
	Era      history.Era
	Ready    bool
	Leaving  bool
	InFlight int
	Zones    []ZoneState
	// OutOfService lists the zones that a drain order names.
	OutOfService []string
	Entries      []member.Entry
	Upstreams    []member.Upstream
	Pools        []PoolStatus
	// Coordinators maps each pool to the entry that coordinates it in this zone.
	Coordinators map[resource.Name]member.HostID
}

// Status returns the entry's status at the given time.
func (e *Entry) Status(ctx context.Context, now time.Time) Status {
	s := Status{
		Self: e.self, Revision: e.config.Catalog().Revision(), Era: e.Era(), Ready: e.Ready(), Leaving: e.Leaving(),
		Zones: e.ZoneStates(now), Pools: e.placement.coordinatedPoolStatuses(ctx), Coordinators: map[resource.Name]member.HostID{},
	}
	for _, name := range e.config.Catalog().PoolNames() {
		s.Coordinators[name] = e.members.Coordinator(now, name).ID
	}
	e.mu.Lock()
	s.InFlight = e.inFlight
	e.mu.Unlock()
	catalog := e.config.Catalog()
	s.OutOfService = catalog.DrainedZones()
	e.members.mu.Lock()
	defer e.members.mu.Unlock()
	s.Entries = e.members.view.AvailableEntries(now, "")
	for _, u := range e.members.view.AllUpstreams() {
		u.Leaving = u.Leaving || catalog.Drained(string(u.ID), string(u.Zone))
		s.Upstreams = append(s.Upstreams, u)
	}
	return s
}

// Loaded returns a channel that is closed when the entry has a configuration.
func (e *Entry) Loaded() <-chan struct{} { return e.config.loaded }

// KnownEntries returns the number of entries that this one knows of, live or not, including itself.
// Each of them may be calling the platform.
func (e *Entry) KnownEntries() int {
	e.members.mu.Lock()
	defer e.members.mu.Unlock()
	return e.members.view.EntryCount()
}
