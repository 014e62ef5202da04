// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package notice learns how long the engines of a service really serve on after
// the first sign that they depart. Runs that still wait for their move when the
// engine ends are cut, so the estimate is the lower end of what was observed.
//
// The load that this is for: engines that end 1.5 to 2.1 s after the first sign,
// where the configured drain time is 3 s.
//
// The package does no I/O, starts no goroutine and reads no clock.
package notice

import (
	"cmp"
	"slices"
	"time"

	"github.com/shedpath/shedpath/member"
)

const (
	// minDepartures is how many departures an estimate needs. The least of four
	// notices spread over 0.6 s is 0.12 s above the shortest possible one on average.
	minDepartures = 4
	// maxDepartures bounds what is remembered, so that an estimate follows a change
	// of the engines within that many departures.
	maxDepartures = 32
	// lowerEnd is the fraction of the departures that may be shorter than the
	// estimate. A single short one, whose first sign came late, doesn't count once
	// there are ten.
	lowerEnd = 0.1
	// minNotice is the shortest notice that is assumed. Copying a run of 3,500 tokens
	// takes 0.2 s, and final copies begin 0.5 s before the expected end; with less,
	// all runs of an engine would be copied at once from the start.
	minNotice = time.Second
	// minServed is the shortest time that counts as a notice. Below it, the first
	// sign was the end itself, such as a refused connection.
	minServed = 500 * time.Millisecond
	// maxAge is how long a departure counts. Engines that no longer end early aren't
	// noticed otherwise, because an estimate that is too short cuts no run.
	maxAge = 10 * time.Minute
)

// Model learns the notice of one service's engines. The zero value has observed
// nothing and is ready to use. It isn't safe for concurrent use.
type Model struct {
	// departures are in the order in which they were observed, each engine and
	// incarnation once.
	departures []departure
}

type departure struct {
	engine      member.UpstreamID
	incarnation int64
	at          time.Time
	served      time.Duration
}

// Observe records that an engine served for the given time after the first sign
// that it departs. Of several observations of one departure the shortest counts.
// It reports whether the departure is new and counts.
func (m *Model) Observe(now time.Time, engine member.UpstreamID, incarnation int64, served time.Duration) bool {
	if served < minServed {
		return false
	}
	if i := slices.IndexFunc(m.departures, func(d departure) bool { return d.engine == engine && d.incarnation == incarnation }); i >= 0 {
		m.departures[i].served = min(m.departures[i].served, served)
		return false
	}
	m.departures = append(m.departures, departure{engine, incarnation, now, served})
	if len(m.departures) > maxDepartures {
		m.departures = slices.Delete(m.departures, 0, 1)
	}
	return true
}

// Estimate is an expected notice with what it was learned from.
type Estimate struct {
	Notice     time.Duration
	Departures int
	// Age is how long ago the last departure was observed.
	Age time.Duration
}

// Expected returns the lower end of the notices observed, between minNotice and
// longest, which takes precedence. It returns false if too few departures were
// observed.
func (m *Model) Expected(now time.Time, longest time.Duration) (Estimate, bool) {
	m.departures = slices.DeleteFunc(m.departures, func(d departure) bool { return now.Sub(d.at) > maxAge })
	n := len(m.departures)
	if n < minDepartures {
		return Estimate{Departures: n}, false
	}
	sorted := slices.SortedFunc(slices.Values(m.departures), func(a, b departure) int { return cmp.Compare(a.served, b.served) })
	served := sorted[int(lowerEnd*float64(n))].served
	return Estimate{Notice: min(max(served, minNotice), longest), Departures: n, Age: now.Sub(m.departures[n-1].at)}, true
}
