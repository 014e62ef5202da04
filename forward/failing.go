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
	Upstream member.UpstreamID
	Life     Life
	// For is how much longer it is to get no new work.
	For time.Duration
}

const (
	// failingFor is how long an upstream that lost a request gets no new work. It
	// doubles with each that is lost in a row, up to failingMost: one that goes
	// bad for some seconds costs a request a host and zone then, not each one.
	failingFor  = 2 * time.Second
	failingMost = 8 * time.Second
	// failingFirstPart of its objective is how late a first event may be before
	// the engine counts as failing: callers leave at four times the objective.
	failingFirstPart = 1.5
	// worksFor is how long after a token of any of its runs an engine is taken to work:
	// peers tell of theirs twice a second.
	worksFor = 1200 * time.Millisecond
)

// Failed notes that an upstream took a request and lost it, or is silent. It
// returns for how long it gets no new work.
func (f *Fleet) Failed(now time.Time, id member.UpstreamID) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.upstreams[id]
	if k == nil || k.Leaving {
		return 0
	}
	hold := min(failingFor<<min(k.failures, 8), failingMost)
	k.failures++
	k.failedUntil = later(k.failedUntil, now.Add(hold))
	f.failedUntil = later(f.failedUntil, k.failedUntil)
	k.suspectUntil = later(k.suspectUntil, k.failedUntil)
	f.notify(true)
	return hold
}

// ZoneUnreachable notes that an upstream of another zone couldn't be connected to:
// a link that is cut leads to all of that zone, and finding that out takes time each
// time.
func (f *Fleet) ZoneUnreachable(now time.Time, service ServiceName, zone member.Zone) {
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
			k.failedUntil = later(k.failedUntil, now.Add(suspectFor))
			f.failedUntil = later(f.failedUntil, k.failedUntil)
			k.suspectUntil = later(k.suspectUntil, k.failedUntil)
		}
	}
	f.notify(true)
}

// Worked notes that an upstream answered.
func (f *Fleet) Worked(id member.UpstreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.upstreams[id]; k != nil {
		k.failures = 0
	}
}

// Failing reports whether an upstream is kept from new work, by this host's own
// finding or a peer's.
func (f *Fleet) Failing(now time.Time, id member.UpstreamID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.upstreams[id]
	return k != nil && now.Before(k.suspectUntil)
}

// FailingMarks returns this host's own findings.
func (f *Fleet) FailingMarks(now time.Time) []FailingMark {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !now.Before(f.failedUntil) {
		return nil
	}
	var marks []FailingMark
	f.eachForPeers(func(k *known) bool {
		if left := k.failedUntil.Sub(now); left > 0 && !k.Leaving {
			marks = append(marks, FailingMark{Upstream: k.ID, Life: k.Life, For: left})
		}
		return len(marks) < mostMarks
	})
	return marks
}

// ReceiveFailing takes in what a peer of the zone found.
func (f *Fleet) ReceiveFailing(now time.Time, marks []FailingMark) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, mark := range marks {
		k := f.upstreams[mark.Upstream]
		until := now.Add(min(mark.For, failingMost))
		if k == nil || k.isOver(mark.Life) || k.Life.newerThan(mark.Life) || !until.After(k.suspectUntil) {
			continue
		}
		k.suspectUntil, changed = until, true
	}
	f.notify(changed)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// failed notes that the engine of this stream lost it, and tells the zone.
func (s *streamExchange) failed(now time.Time, id member.UpstreamID, why string) {
	hold := s.fleet.Failed(now, id)
	if hold == 0 {
		return
	}
	s.journal.HostEvent("upstream fails", "upstream", id, "request", s.call.ID, "why", why, "no_new_work_for", hold)
	s.peers.notify()
}

// brokeOff notes that an engine broke a stream off in its midst. Where nothing had
// told that it leaves, the list may be behind.
func (s *streamExchange) brokeOff(now time.Time, id member.UpstreamID) {
	if u, known := s.fleet.Upstream(id); known && !u.Leaving {
		s.suspectList(now)
	}
	s.failed(now, id, "it broke a stream off")
}

// lateFirstEvent is after how long an engine without a first event is silent.
func lateFirstEvent(objective time.Duration) time.Duration {
	return time.Duration(failingFirstPart * float64(objective))
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
		late := time.NewTimer(lateFirstEvent(s.route.Objective))
		defer late.Stop()
		for {
			select {
			case <-begun:
				return
			case <-late.C:
			}
			if now := s.now(); !s.engines.works(now, s.service.Name, id) {
				s.failed(now, id, "its first event is late")
				return
			}
			late.Reset(worksFor)
		}
	}()
	return func() { close(begun) }
}
