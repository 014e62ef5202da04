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
	// undividedMost is how many hosts a zone has that is one cell.
	undividedMost = 48
	// hostsPerCell is aimed at in a zone that is divided. Cells have between about two thirds
	// of it and four thirds, for their number is a power of two.
	hostsPerCell = 24
	// keptWithin is how far beyond that the number of cells stays as it is, so that it doesn't
	// change to and fro with single hosts.
	keptWithin = 1.25
)

// ID names a cell.
type ID struct {
	Zone   member.Zone
	Number int
}

// Layout is how the zones are divided. The zero value has each zone be one cell.
type Layout struct {
	zones map[member.Zone]zone
}

// zone is one zone's division.
type zone struct {
	// count is a power of two.
	count int
	// inhabited are the numbers of the cells that have hosts, in their order.
	inhabited []int
}

// countFor is how many cells a zone of some hosts is divided into, which had some before.
func countFor(hosts, before int) int {
	if hosts <= undividedMost {
		return 1
	}
	if before > 1 {
		size := float64(hosts) / float64(before)
		if size <= hostsPerCell*math.Sqrt2*keptWithin && size >= hostsPerCell/math.Sqrt2/keptWithin {
			return before
		}
	}
	return 1 << max(int(math.Round(math.Log2(float64(hosts)/hostsPerCell))), 1)
}

// Next is the layout for the hosts that are known now, after another.
func (l Layout) Next(hosts []member.Entry) Layout {
	sizes := map[member.Zone]int{}
	for _, h := range hosts {
		sizes[h.Zone]++
	}
	next := Layout{zones: make(map[member.Zone]zone, len(sizes))}
	for z, n := range sizes {
		next.zones[z] = zone{count: countFor(n, l.Count(z))}
	}
	inhabited := map[ID]bool{}
	for _, h := range hosts {
		inhabited[next.OfHost(h)] = true
	}
	for z, of := range next.zones {
		for number := range of.count {
			if inhabited[ID{z, number}] {
				of.inhabited = append(of.inhabited, number)
			}
		}
		next.zones[z] = of
	}
	return next
}

// Equal reports whether two layouts divide alike.
func (l Layout) Equal(o Layout) bool {
	if len(l.zones) != len(o.zones) {
		return false
	}
	for z, of := range l.zones {
		other, known := o.zones[z]
		if !known || of.count != other.count || !slices.Equal(of.inhabited, other.inhabited) {
			return false
		}
	}
	return true
}

// Count is how many cells a zone is divided into.
func (l Layout) Count(z member.Zone) int { return max(l.zones[z].count, 1) }

// Divided reports whether some zone has more than one cell.
func (l Layout) Divided() bool {
	for _, of := range l.zones {
		if of.count > 1 {
			return true
		}
	}
	return false
}

// Cells lists all cells that have hosts.
func (l Layout) Cells() []ID {
	var ids []ID
	for z, of := range l.zones {
		for _, number := range of.inhabited {
			ids = append(ids, ID{z, number})
		}
	}
	return ids
}

// OfHost is the cell of a host.
func (l Layout) OfHost(h member.Entry) ID {
	count := l.Count(h.Zone)
	// The highest bits decide: when the number doubles, each cell is cut in two.
	return ID{h.Zone, int(bits.RotateLeft64(spread(xxhash.Sum64String(string(h.ID))), bits.Len(uint(count))-1) & uint64(count-1))}
}

// spread mixes the bits of a hash, whose highest differ little for some similar names.
func spread(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	return h ^ h>>33
}

// OfUpstream is the cell whose hosts an upstream is for: one that has hosts.
func (l Layout) OfUpstream(id member.UpstreamID, z member.Zone) ID {
	of := l.zones[z]
	if of.count <= 1 || len(of.inhabited) == 0 {
		return ID{z, 0}
	}
	best, highest := 0, uint64(0)
	name := xxhash.Sum64String(string(id))
	for _, number := range of.inhabited {
		if w := spread(name ^ spread(uint64(number)+1)); w >= highest {
			best, highest = number, w
		}
	}
	return ID{z, best}
}

// Pick is which of some hosts another turns to for a purpose, the same one each time; each host
// turns to another.
func Pick(self member.HostID, purpose string, among []member.Entry) (member.Entry, bool) {
	if len(among) == 0 {
		return member.Entry{}, false
	}
	return member.HighestRanked(purpose+" "+string(self), among), true
}

func (id ID) String() string { return string(id.Zone) + "/" + strconv.Itoa(id.Number) }
