// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/ratelimit"
)

// A cold upstream can take only a limited rate of requests from all hosts together, and fails
// under many more. It is limited in the same way as an upstream that announces a limit.

// coldRateShare is the share of a cold upstream's rate that is granted. It is half, because two
// hosts that have not discovered each other yet may both grant that rate for a moment.
const coldRateShare = 0.5

// coldRateLimit is the rate limit of a cold upstream; false if the upstream is not cold or its
// service sets no limit.
func (f *Forwarder) coldRateLimit(now time.Time, s *Service, u Upstream) (ratelimit.Rate, bool) {
	if s.ColdRate <= 0 || !f.fleet.IsCold(now, u.ID) {
		return 0, false
	}
	return ratelimit.Rate(coldRateShare * s.ColdRate), true
}

// IsCold reports whether an upstream is cold.
func (f *Fleet) IsCold(now time.Time, id member.UpstreamID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.upstreams[id]
	return k != nil && now.Before(k.coldUntil)
}

// AnyCold reports whether any upstream may be cold.
func (f *Fleet) AnyCold(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.coldUntil)
}

// MarkCold records that an upstream is cold, as learned from another source than the list.
func (f *Fleet) MarkCold(id member.UpstreamID, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.upstreams[id]; k != nil {
		k.coldUntil = laterOf(k.coldUntil, until)
		f.coldUntil = laterOf(f.coldUntil, until)
	}
}

// ColdMark reports to the peers of a host that an upstream is cold.
type ColdMark struct {
	Upstream    member.UpstreamID
	Incarnation Incarnation
	// Remaining is for how much longer the upstream is cold.
	Remaining time.Duration
}

// ColdMarks returns the cold upstreams that this host knows of.
func (f *Fleet) ColdMarks(now time.Time) []ColdMark {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !now.Before(f.coldUntil) {
		return nil
	}
	var marks []ColdMark
	f.visitOwnCellFirst(func(k *knownUpstream) bool {
		if remaining := k.coldUntil.Sub(now); remaining > 0 {
			marks = append(marks, ColdMark{Upstream: k.ID, Incarnation: k.Incarnation, Remaining: remaining})
		}
		return len(marks) < maxMarksPerKind
	})
	return marks
}
