// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"github.com/shedpath/shedpath/member"
)

// FailingMark reports to the peers of a host's zone that an upstream loses requests. The peers
// reach it over the same links.
type FailingMark struct {
	Upstream    member.UpstreamID
	Incarnation Incarnation
	// Remaining is for how much longer the upstream is to get no new work.
	Remaining time.Duration
}

const (
	// initialFailingHold is how long an upstream that lost a request gets no new work. The
	// period doubles with each further loss in a row, up to maxFailingHold. An upstream that
	// fails for some seconds then costs one request per host and zone, not every request.
	initialFailingHold = 2 * time.Second
	maxFailingHold     = 8 * time.Second
	// firstEventTimeoutFactor times a route's objective is how late a first event may be before
	// its engine counts as failing. Callers give up at four times the objective.
	firstEventTimeoutFactor = 1.5
	// engineProgressTimeout is how long after the last token of any of its runs an engine still
	// counts as working. Peers report their runs twice a second.
	engineProgressTimeout = 1200 * time.Millisecond
)

// RecordFailure records that an upstream lost a request that it had taken, or does not answer.
// It returns for how long the upstream gets no new work; zero if the upstream is unknown or
// leaving.
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

// MarkZoneUnreachable records that a connection to an upstream in another zone failed. A broken
// link affects all upstreams of that zone, and each of them would cost the time of a connection
// attempt.
func (f *Fleet) MarkZoneUnreachable(now time.Time, service ServiceName, zone member.Zone) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for cellID, upstreams := range f.index.services[service] {
		if cellID.Zone != zone {
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

// RecordSuccess records that an upstream answered.
func (f *Fleet) RecordSuccess(id member.UpstreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.upstreams[id]; k != nil {
		k.consecutiveFailures = 0
	}
}

// IsFailing reports whether an upstream gets no new work because of a finding of this host or a
// peer.
func (f *Fleet) IsFailing(now time.Time, id member.UpstreamID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.upstreams[id]
	return k != nil && now.Before(k.suspectUntil)
}

// FailingMarks returns the findings of this host itself.
func (f *Fleet) FailingMarks(now time.Time) []FailingMark {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !now.Before(f.ownFailingUntil) {
		return nil
	}
	var marks []FailingMark
	f.visitOwnCellFirst(func(k *knownUpstream) bool {
		if remaining := k.ownFailingUntil.Sub(now); remaining > 0 && !k.Leaving {
			marks = append(marks, FailingMark{Upstream: k.ID, Incarnation: k.Incarnation, Remaining: remaining})
		}
		return len(marks) < maxMarksPerKind
	})
	return marks
}

// ReceiveFailingMarks applies the findings of a peer of the own zone. Marks about a past
// incarnation of an upstream, or one that started before the present one, are ignored.
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

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recordEngineFailure records that the engine of this stream lost the run, and notifies the
// zone.
func (s *streamExchange) recordEngineFailure(now time.Time, id member.UpstreamID, reason string) {
	hold := s.fleet.RecordFailure(now, id)
	if hold == 0 {
		return
	}
	s.journal.HostEvent("upstream fails", "upstream", id, "request", s.call.ID, "why", reason, "no_new_work_for", hold)
	s.peers.notifyOwnCell()
}

// recordBrokenStream records that an engine broke off a stream before its end. If nothing had
// announced that the engine leaves, the list may be out of date.
func (s *streamExchange) recordBrokenStream(now time.Time, id member.UpstreamID) {
	if u, known := s.fleet.Upstream(id); known && !u.Leaving {
		s.markListSuspect(now)
	}
	s.recordEngineFailure(now, id, "the upstream broke off a stream")
}

// firstEventTimeout is how long an engine may take to send the first event before it counts as
// silent.
func firstEventTimeout(objective time.Duration) time.Duration {
	return time.Duration(firstEventTimeoutFactor * float64(objective))
}

// watchFirstEvent records the engine as failing if its first event is late and none of its
// other runs makes progress. A late first event alone may just mean that the engine is full:
// all hosts of the zone would avoid it for seconds, and the other engines would have to take
// its load. After a suspension of this host's machine, reports of its progress have yet to arrive. stop ends the watch.
func (s *streamExchange) watchFirstEvent(id member.UpstreamID) (stop func()) {
	if s.route.Objective <= 0 {
		return func() {}
	}
	arrived := make(chan struct{})
	s.tasks.Go("first event", func() {
		timer, slept := time.NewTimer(firstEventTimeout(s.route.Objective)), s.settings.Clock.TotalSuspended()
		defer timer.Stop()
		for {
			select {
			case <-arrived:
				return
			case <-timer.C:
			}
			sleptBefore := slept
			slept = s.settings.Clock.TotalSuspended()
			if now := s.now(); slept == sleptBefore && !s.engines.hasRecentProgress(now, s.service.Name, id) {
				s.recordEngineFailure(now, id, "the first event is late")
				return
			}
			timer.Reset(engineProgressTimeout)
		}
	})
	return func() { close(arrived) }
}
