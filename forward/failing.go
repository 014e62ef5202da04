// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"github.com/shedpath/shedpath/member"
)

// FailingMark is a host's finding that an upstream loses requests, for the peers
// of its zone: they have the same links to it.
type FailingMark struct {
	Upstream    member.UpstreamID
	Incarnation Incarnation
	// Remaining is how much longer it is to get no new work.
	Remaining time.Duration
}

const (
	// initialFailingHold is how long an upstream that lost a request gets no new work. It
	// doubles with each that is lost in a row, up to failingMost: one that goes
	// bad for some seconds costs a request a host and zone then, not each one.
	initialFailingHold = 2 * time.Second
	maxFailingHold     = 8 * time.Second
	// firstEventTimeoutFactor of its objective is how late a first event may be before
	// the engine counts as failing: callers leave at four times the objective.
	firstEventTimeoutFactor = 1.5
	// engineProgressTimeout is how long after a token of any of its runs an engine is taken to work:
	// peers tell of theirs twice a second.
	engineProgressTimeout = 1200 * time.Millisecond
)

// RecordFailure notes that an upstream took a request and lost it, or is silent. It
// returns for how long it gets no new work.
func (f *Fleet) RecordFailure(now time.Time, id member.UpstreamID) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.upstreams[id]
	if k == nil || k.Leaving {
		return 0
	}
	hold := min(initialFailingHold<<min(k.consecutiveFailures, 8), maxFailingHold)
	k.consecutiveFailures++
	k.ownFailingUntil = laterOf(k.ownFailingUntil, now.Add(hold))
	f.ownFailingUntil = laterOf(f.ownFailingUntil, k.ownFailingUntil)
	k.suspectUntil = laterOf(k.suspectUntil, k.ownFailingUntil)
	f.notify(true)
	return hold
}

// MarkZoneUnreachable notes that an upstream of another zone couldn't be connected to:
// a link that is cut leads to all of that zone, and finding that out takes time each
// time.
func (f *Fleet) MarkZoneUnreachable(now time.Time, service ServiceName, zone member.Zone) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for of, upstreams := range f.index.services[service] {
		if of.Zone != zone {
			continue
		}
		for _, k := range upstreams {
			if k.Leaving {
				continue
			}
			k.ownFailingUntil = laterOf(k.ownFailingUntil, now.Add(suspectDuration))
			f.ownFailingUntil = laterOf(f.ownFailingUntil, k.ownFailingUntil)
			k.suspectUntil = laterOf(k.suspectUntil, k.ownFailingUntil)
		}
	}
	f.notify(true)
}

// RecordSuccess notes that an upstream answered.
func (f *Fleet) RecordSuccess(id member.UpstreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.upstreams[id]; k != nil {
		k.consecutiveFailures = 0
	}
}

// IsFailing reports whether an upstream is kept from new work, by this host's own
// finding or a peer's.
func (f *Fleet) IsFailing(now time.Time, id member.UpstreamID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.upstreams[id]
	return k != nil && now.Before(k.suspectUntil)
}

// FailingMarks returns this host's own findings.
func (f *Fleet) FailingMarks(now time.Time) []FailingMark {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !now.Before(f.ownFailingUntil) {
		return nil
	}
	var marks []FailingMark
	f.visitOwnCellFirst(func(k *knownUpstream) bool {
		if left := k.ownFailingUntil.Sub(now); left > 0 && !k.Leaving {
			marks = append(marks, FailingMark{Upstream: k.ID, Incarnation: k.Incarnation, Remaining: left})
		}
		return len(marks) < maxMarksPerKind
	})
	return marks
}

// ReceiveFailingMarks takes in what a peer of the zone found.
func (f *Fleet) ReceiveFailingMarks(now time.Time, marks []FailingMark) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, mark := range marks {
		k := f.upstreams[mark.Upstream]
		until := now.Add(min(mark.Remaining, maxFailingHold))
		if k == nil || k.isPastIncarnation(mark.Incarnation) || k.Incarnation.newerThan(mark.Incarnation) || !until.After(k.suspectUntil) {
			continue
		}
		k.suspectUntil, changed = until, true
	}
	f.notify(changed)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recordEngineFailure notes that the engine of this stream lost it, and tells the zone.
func (s *streamExchange) recordEngineFailure(now time.Time, id member.UpstreamID, why string) {
	hold := s.fleet.RecordFailure(now, id)
	if hold == 0 {
		return
	}
	s.journal.HostEvent("upstream fails", "upstream", id, "request", s.call.ID, "why", why, "no_new_work_for", hold)
	s.peers.notifyOwnCell()
}

// recordBrokenStream notes that an engine broke a stream off in its midst. Where nothing had
// told that it leaves, the list may be behind.
func (s *streamExchange) recordBrokenStream(now time.Time, id member.UpstreamID) {
	if u, known := s.fleet.Upstream(id); known && !u.Leaving {
		s.suspectList(now)
	}
	s.recordEngineFailure(now, id, "it broke a stream off")
}

// firstEventTimeout is after how long an engine without a first event is silent.
func firstEventTimeout(objective time.Duration) time.Duration {
	return time.Duration(firstEventTimeoutFactor * float64(objective))
}

// watchFirstEvent has the engine count as failing when the first event is late and none of
// its other runs gets on either: one that is only full would be given up by all hosts of
// the zone for seconds, and the others have to take what it would have.
// The returned function ends that.
func (s *streamExchange) watchFirstEvent(id member.UpstreamID) (stop func()) {
	if s.route.Objective <= 0 {
		return func() {}
	}
	begun := make(chan struct{})
	go func() {
		late := time.NewTimer(firstEventTimeout(s.route.Objective))
		defer late.Stop()
		for {
			select {
			case <-begun:
				return
			case <-late.C:
			}
			if now := s.now(); !s.engines.hasRecentProgress(now, s.service.Name, id) {
				s.recordEngineFailure(now, id, "its first event is late")
				return
			}
			late.Reset(engineProgressTimeout)
		}
	}()
	return func() { close(begun) }
}
