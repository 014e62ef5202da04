// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package history orders revisions that are read from a store which may be restored from an
// older copy.
//
// A restored store reuses revisions that it assigned to other writes before the restore. The
// store counts its restores in an era, which rises with each. Revisions can therefore only be
// ordered together with their eras.
package history

import (
	"cmp"
	"fmt"
	"strconv"
)

// Era counts a store's restores. Zero means that the era is unknown.
type Era uint64

// ParseEra parses an era as a store reports it: a positive decimal number. It returns an error
// for any other text.
func ParseEra(text string) (Era, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n == 0 {
		return 0, fmt.Errorf("invalid era %.40q: not a positive decimal number of 64 bits", text)
	}
	return Era(n), nil
}

// Revision numbers a store's changes within an era.
type Revision uint64

// Point is a position in a store's history. The zero value is before all others. Its fields are
// unexported so that callers compare points with Compare and not by the revision alone, which
// doesn't order them.
type Point struct {
	era      Era
	revision Revision
}

// NewPoint returns the point of a revision in an era.
func NewPoint(e Era, r Revision) Point { return Point{e, r} }

// Era returns the point's era.
func (p Point) Era() Era { return p.era }

// Revision returns the point's revision, which is only valid in requests to the store of that
// era.
func (p Point) Revision() Revision { return p.revision }

// Compare orders points by era, then by revision.
func (p Point) Compare(q Point) int {
	return cmp.Or(cmp.Compare(p.era, q.era), cmp.Compare(p.revision, q.revision))
}

// Before reports whether the point is earlier than another.
func (p Point) Before(q Point) bool { return p.Compare(q) < 0 }

// After reports whether the point is later than another.
func (p Point) After(q Point) bool { return p.Compare(q) > 0 }

// SameEra reports whether both points are in the same era.
func (p Point) SameEra(q Point) bool { return p.era == q.era }

// IsZero reports whether the point is the zero value, which is before all others.
func (p Point) IsZero() bool { return p == Point{} }

// String returns "era/revision", or only the revision if the era is unknown.
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

// EraTracker tracks the lowest revision at which the latest era of a store was observed, to tell
// writes of that era from writes that were restored from the copy. The zero value has observed
// nothing.
type EraTracker struct {
	// lowestSeen is the lowest point at which the latest era was observed. Every revision of
	// that era above it was written in the era.
	lowestSeen Point
}

// Observe records that the store was at a point. Points of earlier eras are ignored.
func (r *EraTracker) Observe(p Point) {
	if p.era > r.lowestSeen.era || p.era == r.lowestSeen.era && p.Before(r.lowestSeen) {
		r.lowestSeen = p
	}
}

// LowestSeen returns the lowest point at which the latest era was observed.
func (r *EraTracker) LowestSeen() Point { return r.lowestSeen }

// Supersedes reports whether a value of a key that was written at the point read replaces the
// value known from the point known: the write is newer than the known one, or is the same.
//
// Up to the lowest revision at which the latest era was observed, a restored store may hold data
// of the copy:
//   - If the copy has a higher revision of the key than the known one, its write came after the
//     known write, in whichever era.
//   - If the copy has a lower revision, the write is either older, or was made after the restore
//     with a reused revision. The two can't be told apart, and the known value stays.
func (r *EraTracker) Supersedes(read, known Point) bool {
	if read.era == known.era || read.era < known.era {
		return !read.Before(known)
	}
	writtenInEra := read.era == r.lowestSeen.era && read.After(r.lowestSeen)
	return writtenInEra || read.revision >= known.revision
}
