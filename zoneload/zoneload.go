// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package zoneload decides when short answers are requested in another zone although a host's own zone
// still has room. Demand peaks at different times in different zones. A zone that is asked only once
// the own one is full gets long answers as well, whose streams break when zones are partitioned.
//
// A host forecasts the load of its own zone from what it knows and receives the forecasts of others.
// The package does no I/O and reads no clock. Its state is soft: without values every request stays in
// its own zone.
package zoneload

import (
	"time"

	"github.com/shedpath/shedpath/member"
)

const (
	// Horizon is how far ahead the load is forecast: long enough that short answers that go elsewhere
	// make a difference, and below the time in which demand turns (some 5 s).
	Horizon = 2 * time.Second
	// MaxAge is the age above which a value is ignored. Each host hears each zone about once a
	// second, and a zone that is silent for longer may be partitioned.
	MaxAge = 3 * time.Second
	// startFullness is the forecast fullness above which short answers go elsewhere, and endFullness
	// the one below which that ends. Engines are filled to 0.96.
	startFullness = 0.85
	endFullness   = 0.75
	// minDifference is how much emptier another zone has to be. A smaller difference is within the
	// error of the forecasts, and would have zones send requests back and forth.
	minDifference = 0.25
	// minShare and maxShare are the shares of the short answers that go elsewhere, at minDifference
	// and at fullDifference. It is never all of them: two zones may choose the same third one, and
	// the values are up to MaxAge old.
	minShare       = 0.2
	maxShare       = 0.8
	fullDifference = 0.75
	// maxTrend bounds the forecast change of the fullness. When engines depart or join, the fullness
	// jumps, which doesn't go on.
	maxTrend = 0.25
	// minSampleInterval bounds the samples that are kept.
	minSampleInterval = 50 * time.Millisecond
	// fullBacklog is the backlog of prompts that counts as a full zone: with it, the first event of a
	// short answer (objective 1.5 s, prompt read in 0.2 to 0.4 s) is about to be late.
	fullBacklog = time.Second
)

// Load is how full a zone's engines are.
type Load struct {
	Zone member.Zone
	// Used is the used fraction of the memory now, and Forecast the one expected in Horizon.
	Used, Forecast float64
	// Backlog is how long engines are expected to read prompts in Horizon that they have by then.
	Backlog time.Duration
	// Age is how old the values are.
	Age time.Duration
}

// Fullness is the expected use of the resource that is scarcer: memory, or time to read prompts.
func (l Load) Fullness() float64 {
	return max(l.Forecast, float64(l.Backlog)/float64(fullBacklog))
}

// usable reports whether the values are possible and recent.
func (l Load) usable() bool {
	return l.Zone != "" && l.Used >= 0 && l.Forecast >= 0 && l.Forecast <= maxFullness && l.Backlog >= 0 && l.Age >= 0 && l.Age <= MaxAge
}

// maxFullness bounds the fullness that is told and accepted. A zone whose engines depart may have more
// than its remaining engines hold; beyond the bound, the exact value makes no difference.
const maxFullness = 10.0

// sample is the load at a time.
type sample struct {
	at      time.Time
	used    float64
	backlog time.Duration
}

// Forecaster forecasts the load of a host's own zone from its past Horizon. The zero value is ready to
// use. It isn't safe for concurrent use.
type Forecaster struct {
	// samples are those of the past Horizon, the oldest first.
	samples []sample
}

// Observe records the used fraction of the zone's memory and the backlog of prompts.
func (f *Forecaster) Observe(now time.Time, used float64, backlog time.Duration) {
	if n := len(f.samples); n > 0 && now.Sub(f.samples[n-1].at) < minSampleInterval {
		return
	}
	f.samples = append(f.samples, sample{now, used, backlog})
	first := 0
	for now.Sub(f.samples[first].at) > Horizon {
		first++
	}
	f.samples = f.samples[first:]
}

// Load returns the zone's load and forecast. The change over the past Horizon is assumed to go on: it
// includes both the demand and the runs that end. Load returns false without a recent sample.
func (f *Forecaster) Load(now time.Time, zone member.Zone) (Load, bool) {
	if len(f.samples) == 0 {
		return Load{}, false
	}
	first, last := f.samples[0], f.samples[len(f.samples)-1]
	l := Load{Zone: zone, Used: last.used, Forecast: last.used, Backlog: last.backlog, Age: now.Sub(last.at)}
	if elapsed := last.at.Sub(first.at); elapsed >= Horizon/2 {
		part := float64(Horizon) / float64(elapsed)
		limit := float64(fullBacklog) * maxTrend
		l.Forecast = max(last.used+min(max((last.used-first.used)*part, -maxTrend), maxTrend), 0)
		l.Backlog = max(last.backlog+time.Duration(min(max(float64(last.backlog-first.backlog)*part, -limit), limit)), 0)
	}
	l.Forecast = min(l.Forecast, maxFullness)
	return l, l.Age <= MaxAge
}

// Balancer decides where the short answers of a host's zone are requested. The zero value is ready to
// use. It isn't safe for concurrent use.
type Balancer struct {
	// received are the newest loads of other zones, with the time as of which they are.
	received map[member.Zone]receivedLoad
	// active says that the own zone is too full, from startFullness until endFullness.
	active bool
}

type receivedLoad struct {
	Load
	asOf time.Time
}

// Receive records the load of another zone. It reports whether the values are possible and recent.
func (b *Balancer) Receive(now time.Time, l Load) bool {
	if !l.usable() {
		return false
	}
	asOf := now.Add(-l.Age)
	if known, found := b.received[l.Zone]; found && !asOf.After(known.asOf) {
		return true
	}
	if b.received == nil {
		b.received = map[member.Zone]receivedLoad{}
	}
	b.received[l.Zone] = receivedLoad{l, asOf}
	return true
}

// Decision says where a short answer is requested first.
type Decision struct {
	// Zone is the other zone; empty for the own one.
	Zone member.Zone
	// Own and Other are the loads that were compared, with their ages, and Share is the part of the
	// requests that goes to the other zone.
	Own, Other Load
	Share      float64
}

// Update updates whether the own zone is too full, and reports whether it is and whether that has
// changed. Without a load of the own zone it isn't.
func (b *Balancer) Update(own Load, known bool) (active, changed bool) {
	before := b.active
	switch fullness := own.Fullness(); {
	case !known, fullness < endFullness:
		b.active = false
	case fullness > startFullness:
		b.active = true
	}
	return b.active, b.active != before
}

// Decide decides about one short answer, after Update. zones are those in which it may be served. draw
// is a random number from 0 to 1 (exclusive), which selects the share of the requests that goes
// elsewhere.
func (b *Balancer) Decide(now time.Time, own Load, zones []member.Zone, draw float64) Decision {
	d := Decision{Own: own}
	if !b.active {
		return d
	}
	emptiest, found := Load{}, false
	for _, zone := range zones {
		r, known := b.received[zone]
		r.Age = now.Sub(r.asOf)
		if zone == own.Zone || !known || r.Age > MaxAge || found && r.Fullness() >= emptiest.Fullness() {
			continue
		}
		emptiest, found = r.Load, true
	}
	difference := own.Fullness() - emptiest.Fullness()
	if !found || difference < minDifference {
		return d
	}
	d.Other = emptiest
	d.Share = min(minShare+(maxShare-minShare)*(difference-minDifference)/(fullDifference-minDifference), maxShare)
	if draw < d.Share {
		d.Zone = emptiest.Zone
	}
	return d
}

// Outcome names what became of a request for a place in an emptier zone, for the metrics.
type Outcome string

// The outcomes.
const (
	Granted Outcome = "granted"
	// NoRoom: the other zone granted no place, and the own zone was tried.
	NoRoom Outcome = "no_room"
	// Unreachable: no host of the other zone replied, and the own zone was tried.
	Unreachable Outcome = "unreachable"
	// Unusable: another zone's load has impossible or old values.
	Unusable Outcome = "unusable"
)
