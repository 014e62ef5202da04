// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedpath/shedpath/member"
)

// A cold upstream bears only so many requests in a second from all hosts together, and
// falls over when it gets many more, but no host knows what the others send. Each host
// therefore sends it one request in each turn of its own; turns come as often as the
// known hosts can share the rate. Nobody has to be asked, and hosts that are cut off from
// each other go on counting each other for a while.

const (
	// coldPart of what a cold upstream bears is shared: turns of many hosts fall together
	// now and then.
	coldPart = 0.5
	// coldTurnLasts is how long a turn can be used. A turn that was kept would be used
	// together with the others' when traffic jumps: of 66 hosts that share 27 a second,
	// where 45 in any second are allowed, an upstream got up to 20 in a second with
	// requests in bursts of 0.6 s, and up to 49 with turns that never end; with requests
	// all the time, 23 in a second and 13.5 in the mean (50 plays of 20 s).
	coldTurnLasts = 300 * time.Millisecond
	// leastColdRate is assumed where an upstream bears less: a cold one is never left
	// alone for good.
	leastColdRate = 0.2
)

// coldTurns are this host's turns at cold upstreams. The zero value works.
type coldTurns struct {
	// self is this host: each has turns of its own.
	self member.HostID

	mu sync.Mutex
	// next is when the next turn at each upstream begins.
	next map[member.UpstreamID]time.Time
}

// coldPeriod is the time between two turns of one host.
func coldPeriod(perSecond float64, hosts int) time.Duration {
	return time.Duration(float64(hosts) / (coldPart * max(perSecond, leastColdRate)) * float64(time.Second))
}

// wait is how long it is until this host may send to a cold upstream; zero when it may
// now.
func (c *coldTurns) wait(now time.Time, id member.UpstreamID, period time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.turn(now, id, period).Sub(now), 0)
}

// take uses this host's present turn. It reports false when there is none.
func (c *coldTurns) take(now time.Time, id member.UpstreamID, period time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.turn(now, id, period)
	if at.After(now) {
		return false
	}
	c.next[id] = at.Add(period)
	return true
}

// turn is when the present turn began, or the next one will.
func (c *coldTurns) turn(now time.Time, id member.UpstreamID, period time.Duration) time.Time {
	at, known := c.next[id]
	lasts := min(coldTurnLasts, period)
	switch {
	case !known || at.Sub(now) > period || now.Sub(at) > 10*period:
		// Hosts hear of a cold upstream together; their turns must not begin together.
		part := float64(xxhash.Sum64String(string(c.self)+" "+string(id))) / math.MaxUint64
		at = now.Add(time.Duration(part * float64(period)))
	case now.Sub(at) >= lasts:
		missed := math.Floor(float64(now.Sub(at)-lasts)/float64(period)) + 1
		at = at.Add(time.Duration(missed) * period)
	}
	if c.next == nil {
		c.next = map[member.UpstreamID]time.Time{}
	}
	c.next[id] = at
	return at
}

// forget drops the turns at upstreams that aren't cold any more.
func (c *coldTurns) forget(cold []member.UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.next {
		if !slices.Contains(cold, id) {
			delete(c.next, id)
		}
	}
}

// coldWait is how long it is until this host may send to an upstream; zero for one that
// isn't cold, or whose service sets no bound.
func (f *Forwarder) coldWait(now time.Time, s *Service, u Upstream) time.Duration {
	switch {
	case s.ColdRate <= 0 || !f.fleet.Cold(now, u.ID):
		return 0
	case !f.sharesRuns(s, u):
		return f.cold.wait(now, u.ID, coldPeriod(s.ColdRate, f.peers.mostKnown(now)))
	case f.engines.arrived(now, s.Name, u.ID) < f.coldBudget(now, s):
		return 0
	default:
		return coldRetry
	}
}

// takeColdTurn reports whether this host may send to an upstream now, and uses its turn if
// that is cold.
func (f *Forwarder) takeColdTurn(now time.Time, s *Service, u Upstream) bool {
	if s.ColdRate <= 0 || !f.fleet.Cold(now, u.ID) || f.sharesRuns(s, u) {
		return true
	}
	return f.cold.take(now, u.ID, coldPeriod(s.ColdRate, f.peers.mostKnown(now)))
}

// coldRetry is when a host looks again whether a cold engine may get more.
const coldRetry = 200 * time.Millisecond

// sharesRuns reports whether the hosts that place on an upstream hear of each other's
// requests there at once: the runs on an engine of the own zone. They needn't take turns
// then, in which a cold engine would stand idle for as long as the hosts whose turn it is
// have nothing for it: with 60 engines of which ten are new and cold for a second in every
// 3.3, long answers in time fell from 823 to 754 of 875, and 31 were cut in place of 7,
// for runs couldn't move to the empty engines. With this, 823 and 7.
func (f *Forwarder) sharesRuns(s *Service, u Upstream) bool {
	return s.Engine != nil && u.Zone == f.peers.self.Zone
}

// coldBudget is how many runs a cold engine may get in a second as far as this host knows.
// Hosts that it doesn't hear, behind a cut, may send there as well.
func (f *Forwarder) coldBudget(now time.Time, s *Service) int {
	heard := float64(f.peers.live(now)) / float64(f.peers.mostKnown(now))
	return max(int(coldPart*s.ColdRate*min(heard, 1)), 1)
}

// Cold reports whether an upstream is cold.
func (f *Fleet) Cold(now time.Time, id member.UpstreamID) bool {
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
		k.coldUntil = later(k.coldUntil, until)
		f.coldUntil = later(f.coldUntil, until)
	}
}

// ColdMark is a host's word that an upstream is cold, for its peers.
type ColdMark struct {
	Upstream member.UpstreamID
	Life     Life
	// For is how much longer it is.
	For time.Duration
}

// ColdMarks returns what this host knows of cold upstreams.
func (f *Fleet) ColdMarks(now time.Time) []ColdMark {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !now.Before(f.coldUntil) {
		return nil
	}
	var marks []ColdMark
	for id, k := range f.upstreams {
		if left := k.coldUntil.Sub(now); left > 0 {
			marks = append(marks, ColdMark{Upstream: id, Life: k.Life, For: left})
		}
	}
	return marks
}

// AllCold lists the upstreams that are cold.
func (f *Fleet) AllCold(now time.Time) []member.UpstreamID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var cold []member.UpstreamID
	for id, k := range f.upstreams {
		if now.Before(k.coldUntil) {
			cold = append(cold, id)
		}
	}
	return cold
}

// mostKnownFor is how long hosts that were once known are counted: hosts behind a cut
// still send.
const mostKnownFor = 5 * time.Minute

// mostKnown is how many hosts, with this one, were known at once in the last minutes.
func (p *peerSet) mostKnown(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.known) + 1; n >= p.most || now.Sub(p.mostAt) > mostKnownFor {
		p.most, p.mostAt = n, now
	}
	return p.most
}
