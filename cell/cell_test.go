// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedpath/shedpath/member"
)

func makeHosts(zones, perZone int) []member.Entry {
	var all []member.Entry
	for z := range zones {
		for n := range perZone {
			all = append(all, member.Entry{ID: member.HostID(fmt.Sprintf("front-z%d-%d", z, n)), Zone: member.Zone(fmt.Sprint("z", z))})
		}
	}
	return all
}

// TestCellsStayBounded checks that the size of cells is bounded for any size of the fleet, and
// that upstreams are spread evenly over the cells.
func TestCellsStayBounded(t *testing.T) {
	for _, perZone := range []int{1, 20, 48, 49, 64, 100, 192, 227, 500, 1250} {
		t.Run(fmt.Sprint(perZone), func(t *testing.T) {
			is := is.New(t)
			all := makeHosts(3, perZone)
			l := Layout{}.Next(all)
			sizes, upstreams := map[ID]int{}, map[ID]int{}
			for _, h := range all {
				sizes[l.HostCell(h)]++
			}
			largest := 0
			for _, n := range sizes {
				largest = max(largest, n)
			}
			t.Logf("%d cells in the zone, %d hosts in the largest cell", l.CellCount("z0"), largest)
			is.True(largest <= maxUndividedHosts+8)
			is.Equal(l.Divided(), perZone > maxUndividedHosts)
			for n := range 10 * perZone {
				upstreams[l.UpstreamCell(member.UpstreamID(fmt.Sprintf("i-%08x", n*7919)), "z0")]++
			}
			for id, n := range upstreams {
				is.True(sizes[id] > 0) // the cell of the upstreams has hosts
				mean := float64(10*perZone) / float64(len(upstreams))
				is.True(perZone < 48 || float64(n) < 1.6*mean)
			}
		})
	}
}

// TestHostsComeAndGo checks that the number of cells stays while few hosts leave, and that only
// the upstreams of a cell that has lost its hosts move to other cells.
func TestHostsComeAndGo(t *testing.T) {
	is := is.New(t)
	all := makeHosts(1, 200)
	l := Layout{}.Next(all)
	shrunk := l.Next(all[:170])
	is.Equal(shrunk.CellCount("z0"), l.CellCount("z0"))
	var remaining []member.Entry
	for _, h := range all {
		if l.HostCell(h).Number != 3 {
			remaining = append(remaining, h)
		}
	}
	afterLoss := l.Next(remaining)
	for n := range 1000 {
		id := member.UpstreamID(fmt.Sprint("i-", n))
		before, after := l.UpstreamCell(id, "z0"), afterLoss.UpstreamCell(id, "z0")
		is.True(after.Number != 3)
		is.True(before.Number == 3 || before == after)
	}
}

// TestDoublingCutsCellsInTwo checks that, when the number of cells doubles, each host moves to
// one of the two halves of its cell.
func TestDoublingCutsCellsInTwo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := member.Entry{ID: member.HostID(rapid.StringN(1, 20, 40).Draw(t, "name")), Zone: "z0"}
		doublings := rapid.IntRange(0, 8).Draw(t, "doublings")
		cellNumber := func(count int) int {
			return Layout{zones: map[member.Zone]zoneCells{"z0": {count: count}}}.HostCell(h).Number
		}
		if cellNumber(2<<doublings)/2 != cellNumber(1<<doublings) {
			t.Fatalf("host moved from cell %d of %d to cell %d of %d, which is not a half of its cell", cellNumber(1<<doublings), 1<<doublings, cellNumber(2<<doublings), 2<<doublings)
		}
	})
}
