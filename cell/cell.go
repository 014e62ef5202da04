// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package cell divides the hosts and upstreams of a zone into cells of bounded size.
//
// Hosts share frequently changing state only within their own cell, so that its cost doesn't
// grow with the fleet. The cell of a host or upstream follows from its name and from the
// division of its zone, which every host computes from its list of hosts. Hosts whose lists
// differ may disagree for a moment; nothing may depend on their agreement. The package is pure.
package cell

import (
	"math"
	"math/bits"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/shedpath/shedpath/member"
)

const (
	// maxUndividedHosts is the largest number of hosts for which a zone is a single cell.
	maxUndividedHosts = 48
	// targetHostsPerCell is the intended cell size in a divided zone. Because the number of
	// cells is a power of two, cells have between about two thirds and four thirds of it.
	targetHostsPerCell = 24
	// resizeTolerance is the factor by which cells may exceed or fall below that range before
	// the number of cells changes, so that it doesn't change back and forth with single hosts.
	resizeTolerance = 1.25
)

// ID identifies a cell.
type ID struct {
	Zone   member.Zone
	Number int
}

// Layout is the division of the zones into cells. In the zero value each zone is one cell.
type Layout struct {
	zones map[member.Zone]zoneCells
}

// zoneCells is the division of one zone.
type zoneCells struct {
	// count is the number of cells, a power of two.
	count int
	// populated holds the numbers of the cells that have hosts, in ascending order.
	populated []int
}

// cellCountFor returns the number of cells for a zone with that many hosts; previous is the
// number of cells that it has had so far.
func cellCountFor(hosts, previous int) int {
	if hosts <= maxUndividedHosts {
		return 1
	}
	if previous > 1 {
		size := float64(hosts) / float64(previous)
		if size <= targetHostsPerCell*math.Sqrt2*resizeTolerance && size >= targetHostsPerCell/math.Sqrt2/resizeTolerance {
			return previous
		}
	}
	return 1 << max(int(math.Round(math.Log2(float64(hosts)/targetHostsPerCell))), 1)
}

// Next returns the layout for a new list of hosts, derived from the previous layout l.
func (l Layout) Next(hosts []member.Entry) Layout {
	sizes := map[member.Zone]int{}
	for _, h := range hosts {
		sizes[h.Zone]++
	}
	next := Layout{zones: make(map[member.Zone]zoneCells, len(sizes))}
	for z, n := range sizes {
		next.zones[z] = zoneCells{count: cellCountFor(n, l.CellCount(z))}
	}
	populated := map[ID]bool{}
	for _, h := range hosts {
		populated[next.HostCell(h)] = true
	}
	for z, division := range next.zones {
		for number := range division.count {
			if populated[ID{z, number}] {
				division.populated = append(division.populated, number)
			}
		}
		next.zones[z] = division
	}
	return next
}

// Equal reports whether two layouts divide the zones in the same way.
func (l Layout) Equal(o Layout) bool {
	if len(l.zones) != len(o.zones) {
		return false
	}
	for z, division := range l.zones {
		other, known := o.zones[z]
		if !known || division.count != other.count || !slices.Equal(division.populated, other.populated) {
			return false
		}
	}
	return true
}

// CellCount returns the number of cells of a zone.
func (l Layout) CellCount(z member.Zone) int { return max(l.zones[z].count, 1) }

// Divided reports whether any zone has more than one cell.
func (l Layout) Divided() bool {
	for _, division := range l.zones {
		if division.count > 1 {
			return true
		}
	}
	return false
}

// Cells lists all cells that have hosts, in no order.
func (l Layout) Cells() []ID {
	var ids []ID
	for z, division := range l.zones {
		for _, number := range division.populated {
			ids = append(ids, ID{z, number})
		}
	}
	return ids
}

// HostCell returns the cell of a host.
func (l Layout) HostCell(h member.Entry) ID {
	count := l.CellCount(h.Zone)
	// The highest bits of the hash select the cell, so that each cell is split in two when the
	// number of cells doubles.
	return ID{h.Zone, int(bits.RotateLeft64(mixBits(xxhash.Sum64String(string(h.ID))), bits.Len(uint(count))-1) & uint64(count-1))}
}

// mixBits mixes the bits of a hash. Without it the highest bits differ little for some similar
// names.
func mixBits(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	return h ^ h>>33
}

// UpstreamCell returns the cell whose hosts serve an upstream. It selects among the cells that
// have hosts by rendezvous hashing.
func (l Layout) UpstreamCell(id member.UpstreamID, z member.Zone) ID {
	division := l.zones[z]
	if division.count <= 1 || len(division.populated) == 0 {
		return ID{z, 0}
	}
	best, bestWeight := 0, uint64(0)
	idHash := xxhash.Sum64String(string(id))
	for _, number := range division.populated {
		if weight := mixBits(idHash ^ mixBits(uint64(number)+1)); weight >= bestWeight {
			best, bestWeight = number, weight
		}
	}
	return ID{z, best}
}

// PickHost selects the candidate that host self contacts for a purpose: the same one each time,
// and different ones for different hosts. It returns false if there are no candidates.
func PickHost(self member.HostID, purpose string, candidates []member.Entry) (member.Entry, bool) {
	if len(candidates) == 0 {
		return member.Entry{}, false
	}
	return member.HighestRanked(purpose+" "+string(self), candidates), true
}

func (id ID) String() string { return string(id.Zone) + "/" + strconv.Itoa(id.Number) }
