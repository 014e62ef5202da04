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

// fleetIndex finds the upstreams of a service and a cell, among all that a large fleet has. The
// zero value is empty.
type fleetIndex struct {
	layout cell.Layout
	// ownCell is this host's cell.
	ownCell  cell.ID
	services map[ServiceName]map[cell.ID]map[member.UpstreamID]*knownUpstream
	// availableCache are the answers to what was asked since the last change, by service.
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
	of := x.layout.OfUpstream(k.ID, k.Zone)
	if cells[of] == nil {
		cells[of] = map[member.UpstreamID]*knownUpstream{}
	}
	cells[of][k.ID] = k
}

// remove drops an upstream as it is indexed.
func (x *fleetIndex) remove(k *knownUpstream) {
	cells, of := x.services[k.Service], x.layout.OfUpstream(k.ID, k.Zone)
	delete(cells[of], k.ID)
	if len(cells[of]) == 0 {
		delete(cells, of)
	}
}

// maxMarksPerKind bounds how many upstreams a host tells its peers of in one message, of each kind: all of a
// zone may be cold or out of reach at once.
const maxMarksPerKind = 256

// visitOwnCellFirst visits the upstreams of which peers are told, until told to stop: those of this host's
// cell first. The mutex is held.
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
			for of, upstreams := range cells {
				if (of == f.index.ownCell) != own {
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

// SetLayout has the upstreams be found by a division of the zones, of whose cells one is this host's.
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

// AvailableInCell is Takers of one cell, in no order.
func (f *Fleet) AvailableInCell(now time.Time, service ServiceName, of cell.ID) []Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.availableOf(now, f.index.services[service][of])
}

// ZonesServing lists the zones in which upstreams of a service may take work, in no order.
func (f *Fleet) ZonesServing(service ServiceName) []member.Zone {
	f.mu.Lock()
	defer f.mu.Unlock()
	var zones []member.Zone
	for of, upstreams := range f.index.services[service] {
		if f.zones[of.Zone].OutOfService || slices.Contains(zones, of.Zone) {
			continue
		}
		for _, k := range upstreams {
			if !k.Leaving && !k.unusable {
				zones = append(zones, of.Zone)
				break
			}
		}
	}
	return zones
}

// availableOf are those of some upstreams that take new work.
func (f *Fleet) availableOf(now time.Time, upstreams map[member.UpstreamID]*knownUpstream) []Upstream {
	var takers, suspected []Upstream
	for _, k := range upstreams {
		switch f.availabilityOf(now, k) {
		case available:
			takers = append(takers, k.Upstream)
		case suspect:
			suspected = append(suspected, k.Upstream)
		}
	}
	if len(takers) > 0 {
		return takers
	}
	// With nobody else, those under suspicion are better than nothing.
	return suspected
}

// availability says whether an upstream takes new work.
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
	case k.missing && !f.mayBeRelisted(now, k) || now.Before(k.suspectUntil):
		return suspect
	default:
		return available
	}
}

func compareUpstreamIDs(a, b Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) }
