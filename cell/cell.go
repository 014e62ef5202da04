// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package cell divides the hosts and upstreams of a zone into cells of bounded size.
//
// Hosts share what changes from moment to moment with those of their own cell only, so that its
// cost doesn't grow with the fleet. Which cell a host or an upstream is of follows from its name
// and the number of cells, which every host works out from the list of hosts. Hosts whose lists
// differ may disagree for a moment; nothing may depend on their agreeing. The package is pure.
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
	// maxUndividedHosts is how many hosts a zone has that is one cell.
	maxUndividedHosts = 48
	// targetHostsPerCell is aimed at in a zone that is divided. Cells have between about two thirds
	// of it and four thirds, for their number is a power of two.
	targetHostsPerCell = 24
	// resizeTolerance is how far beyond that the number of cells stays as it is, so that it doesn't
	// change to and fro with single hosts.
	resizeTolerance = 1.25
)

// ID names a cell.
type ID struct {
	Zone   member.Zone
	Number int
}

// Layout is how the zones are divided. The zero value has each zone be one cell.
type Layout struct {
	zones map[member.Zone]zoneCells
}

// zoneCells is one zoneCells's division.
type zoneCells struct {
	// count is a power of two.
	count int
	// populated are the numbers of the cells that have hosts, in their order.
	populated []int
}

// cellCountFor is how many cells a zone of some hosts is divided into, which had some before.
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

// Next is the layout for the hosts that are known now, after another.
func (l Layout) Next(hosts []member.Entry) Layout {
	sizes := map[member.Zone]int{}
	for _, h := range hosts {
		sizes[h.Zone]++
	}
	next := Layout{zones: make(map[member.Zone]zoneCells, len(sizes))}
	for z, n := range sizes {
		next.zones[z] = zoneCells{count: cellCountFor(n, l.CellCount(z))}
	}
	inhabited := map[ID]bool{}
	for _, h := range hosts {
		inhabited[next.HostCell(h)] = true
	}
	for z, division := range next.zones {
		for number := range division.count {
			if inhabited[ID{z, number}] {
				division.populated = append(division.populated, number)
			}
		}
		next.zones[z] = division
	}
	return next
}

// Equal reports whether two layouts divide alike.
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

// CellCount is how many cells a zone is divided into.
func (l Layout) CellCount(z member.Zone) int { return max(l.zones[z].count, 1) }

// Divided reports whether some zone has more than one cell.
func (l Layout) Divided() bool {
	for _, division := range l.zones {
		if division.count > 1 {
			return true
		}
	}
	return false
}

// Cells lists all cells that have hosts.
func (l Layout) Cells() []ID {
	var ids []ID
	for z, division := range l.zones {
		for _, number := range division.populated {
			ids = append(ids, ID{z, number})
		}
	}
	return ids
}

// HostCell is the cell of a host.
func (l Layout) HostCell(h member.Entry) ID {
	count := l.CellCount(h.Zone)
	// The highest bits decide: when the number doubles, each cell is cut in two.
	return ID{h.Zone, int(bits.RotateLeft64(mixBits(xxhash.Sum64String(string(h.ID))), bits.Len(uint(count))-1) & uint64(count-1))}
}

// mixBits mixes the bits of a hash, whose highest differ little for some similar names.
func mixBits(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	return h ^ h>>33
}

// UpstreamCell is the cell whose hosts an upstream is for: one that has hosts.
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

// PickHost is which of some hosts another turns to for a purpose, the same one each time; each host
// turns to another.
func PickHost(self member.HostID, purpose string, candidates []member.Entry) (member.Entry, bool) {
	if len(candidates) == 0 {
		return member.Entry{}, false
	}
	return member.First(purpose+" "+string(self), candidates), true
}

func (id ID) String() string { return string(id.Zone) + "/" + strconv.Itoa(id.Number) }
