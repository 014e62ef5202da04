// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package history orders what is read from a store that may be restored from an older copy.
//
// Such a store gives out revisions again that it has already given out for something else.
// It counts its restores: the era rises with each. A revision therefore has a place in
// history only together with its era.
package history

import (
	"cmp"
	"fmt"
	"strconv"
)

// Era counts a store's restores. Zero stands for an era that isn't known.
type Era uint64

// ParseEra reads an era as a store tells it.
func ParseEra(text string) (Era, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n == 0 {
		return 0, fmt.Errorf("%.40q is no era", text)
	}
	return Era(n), nil
}

// Revision numbers a store's changes within an era.
type Revision uint64

// Point is a place in a store's history. The zero value is before all others. Points have no
// order by the revision alone, so it can't be compared from outside without Compare.
type Point struct {
	era      Era
	revision Revision
}

// NewPoint returns the point of a revision in an era.
func NewPoint(e Era, r Revision) Point { return Point{e, r} }

// Era is the point's era.
func (p Point) Era() Era { return p.era }

// Revision is the point's revision, to be given to the store of that era.
func (p Point) Revision() Revision { return p.revision }

// Compare orders points by era, then by revision.
func (p Point) Compare(q Point) int {
	return cmp.Or(cmp.Compare(p.era, q.era), cmp.Compare(p.revision, q.revision))
}

// Before reports whether the point is earlier than another.
func (p Point) Before(q Point) bool { return p.Compare(q) < 0 }

// After reports whether the point is later than another.
func (p Point) After(q Point) bool { return p.Compare(q) > 0 }

// SameEra reports whether both points are of one era.
func (p Point) SameEra(q Point) bool { return p.era == q.era }

// IsZero reports whether the point is before all others.
func (p Point) IsZero() bool { return p == Point{} }

// String is the revision, behind its era if that is known.
func (p Point) String() string {
	if p.era == 0 {
		return strconv.FormatUint(uint64(p.revision), 10)
	}
	return fmt.Sprintf("%d/%d", p.era, p.revision)
}

// Latest returns the later of two points.
func Latest(p, q Point) Point {
	if q.After(p) {
		return q
	}
	return p
}

// EraTracker says from which revision on what an era tells was written in it. The zero value
// knows of no restore.
type EraTracker struct {
	// lowestSeen is the lowest revision at which the era was seen: all above was written in it.
	lowestSeen Point
}

// Observe takes in that a store was at a point. Only points of the latest era count.
func (r *EraTracker) Observe(p Point) {
	if p.era > r.lowestSeen.era || p.era == r.lowestSeen.era && p.Before(r.lowestSeen) {
		r.lowestSeen = p
	}
}

// LowestSeen is the lowest point at which the latest era was seen.
func (r *EraTracker) LowestSeen() Point { return r.lowestSeen }

// Supersedes reports whether what was written at a point is newer than what is known as of
// another, or is the same.
//
// What a restored store has up to the revision at which it was first seen may be the copy's.
// If the copy has a higher revision of a key than is known, its write was after the known one,
// in whichever era. A lower one is either older, or was written since with a revision that was
// given out again: that can't be told, and what is known stands.
func (r *EraTracker) Supersedes(read, known Point) bool {
	if read.era == known.era || read.era < known.era {
		return !read.Before(known)
	}
	fresh := read.era == r.lowestSeen.era && read.After(r.lowestSeen)
	return fresh || read.revision >= known.revision
}
