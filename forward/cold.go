// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/ratelimit"
)

// A cold upstream bears only so many requests in a second from all hosts together, and
// falls over when it gets many more. It is bounded as one is that names a limit.

// coldRateShare of what a cold upstream bears is given out: for a moment, while hosts haven't
// heard of each other, two may give it out at once.
const coldRateShare = 0.5

// coldRateLimit is what a cold upstream is given at most; false for one that isn't cold, or
// whose service sets no bound.
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

// AnyCold reports whether some upstream may be cold.
func (f *Fleet) AnyCold(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.coldUntil)
}

// MarkCold takes in from another than the list that an upstream is cold.
func (f *Fleet) MarkCold(id member.UpstreamID, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.upstreams[id]; k != nil {
		k.coldUntil = laterOf(k.coldUntil, until)
		f.coldUntil = laterOf(f.coldUntil, until)
	}
}

// ColdMark is a host's word that an upstream is cold, for its peers.
type ColdMark struct {
	Upstream    member.UpstreamID
	Incarnation Incarnation
	// Remaining is how much longer it is.
	Remaining time.Duration
}

// ColdMarks returns what this host knows of cold upstreams.
func (f *Fleet) ColdMarks(now time.Time) []ColdMark {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !now.Before(f.coldUntil) {
		return nil
	}
	var marks []ColdMark
	f.visitOwnCellFirst(func(k *knownUpstream) bool {
		if left := k.coldUntil.Sub(now); left > 0 {
			marks = append(marks, ColdMark{Upstream: k.ID, Incarnation: k.Incarnation, Remaining: left})
		}
		return len(marks) < maxMarksPerKind
	})
	return marks
}
