// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"slices"
	"strings"
	"time"

	"github.com/shedpath/shedpath/cell"
	"github.com/shedpath/shedpath/member"
)

// fleetIndex maps a service and a cell to their upstreams, so that a lookup need not scan a
// large fleet. The zero value is empty.
type fleetIndex struct {
	layout cell.Layout
	// ownCell is the cell of this host.
	ownCell  cell.ID
	services map[ServiceName]map[cell.ID]map[member.UpstreamID]*knownUpstream
	// availableCache holds the results of Available since the last change, by service.
	availableCache map[ServiceName][]Upstream
}

func (x *fleetIndex) add(k *knownUpstream) {
	if k.Service == "" {
		return
	}
	if x.services == nil {
		x.services = map[ServiceName]map[cell.ID]map[member.UpstreamID]*knownUpstream{}
	}
	cells := x.services[k.Service]
	if cells == nil {
		cells = map[cell.ID]map[member.UpstreamID]*knownUpstream{}
		x.services[k.Service] = cells
	}
	cellID := x.layout.UpstreamCell(k.ID, k.Zone)
	if cells[cellID] == nil {
		cells[cellID] = map[member.UpstreamID]*knownUpstream{}
	}
	cells[cellID][k.ID] = k
}

// remove removes an upstream. Its service and zone must be those under which it was added.
func (x *fleetIndex) remove(k *knownUpstream) {
	cells, cellID := x.services[k.Service], x.layout.UpstreamCell(k.ID, k.Zone)
	delete(cells[cellID], k.ID)
	if len(cells[cellID]) == 0 {
		delete(cells, cellID)
	}
}

// maxMarksPerKind bounds how many marks of each kind a message to peers contains: all upstreams
// of a zone may be cold or out of reach at once.
const maxMarksPerKind = 256

// visitOwnCellFirst calls visit for each upstream, those of this host's cell first if zones are
// divided into cells, until visit returns false. f.mu must be held.
func (f *Fleet) visitOwnCellFirst(visit func(*knownUpstream) bool) {
	if !f.index.layout.Divided() {
		for _, k := range f.upstreams {
			if !visit(k) {
				return
			}
		}
		return
	}
	for _, own := range []bool{true, false} {
		for _, cells := range f.index.services {
			for cellID, upstreams := range cells {
				if (cellID == f.index.ownCell) != own {
					continue
				}
				for _, k := range upstreams {
					if !visit(k) {
						return
					}
				}
			}
		}
	}
}

// SetLayout sets the division of the zones into cells by which upstreams are indexed, and this
// host's cell.
func (f *Fleet) SetLayout(l cell.Layout, own cell.ID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.index.ownCell = own
	if l.Equal(f.index.layout) {
		return
	}
	f.index = fleetIndex{layout: l, ownCell: own}
	for _, k := range f.upstreams {
		f.index.add(k)
	}
	f.notify(true)
}

// AvailableInCell is like Available for the upstreams of one cell, in no particular order.
func (f *Fleet) AvailableInCell(now time.Time, service ServiceName, cellID cell.ID) []Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.availableOf(now, f.index.services[service][cellID])
}

// ZonesServing lists the zones with upstreams of a service that may take work, in no particular
// order.
func (f *Fleet) ZonesServing(service ServiceName) []member.Zone {
	f.mu.Lock()
	defer f.mu.Unlock()
	var zones []member.Zone
	for cellID, upstreams := range f.index.services[service] {
		if f.zones[cellID.Zone].OutOfService || slices.Contains(zones, cellID.Zone) {
			continue
		}
		for _, k := range upstreams {
			if !k.Leaving && !k.unusable {
				zones = append(zones, cellID.Zone)
				break
			}
		}
	}
	return zones
}

// availableOf returns those of the given upstreams that take new work, in no particular order.
func (f *Fleet) availableOf(now time.Time, upstreams map[member.UpstreamID]*knownUpstream) []Upstream {
	var healthy, suspects []Upstream
	for _, k := range upstreams {
		switch f.availabilityOf(now, k) {
		case available:
			healthy = append(healthy, k.Upstream)
		case suspect:
			suspects = append(suspects, k.Upstream)
		}
	}
	if len(healthy) > 0 {
		return healthy
	}
	// If no other upstream is left, suspect ones are better than none.
	return suspects
}

// availability says whether an upstream takes new work. A suspect upstream takes it only if
// there is no available one.
type availability int

const (
	unavailable availability = iota
	suspect
	available
)

func (f *Fleet) availabilityOf(now time.Time, k *knownUpstream) availability {
	switch {
	case k.Leaving || k.unusable || f.zones[k.Zone].OutOfService:
		return unavailable
	case k.missing && !f.mayBeRelisted(now, k) || now.Before(k.suspectUntil) || !k.unreached.since.IsZero():
		return suspect
	default:
		return available
	}
}

func compareUpstreamIDs(a, b Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) }
