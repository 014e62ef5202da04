// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package enginereport

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/shedpath/shedpath/member"
)

const (
	// Interval is the shortest time between two requests to one engine. Engines update their values
	// every 500 ms, so a shorter interval brings nothing new.
	Interval = 500 * time.Millisecond
	// Timeout bounds one request, as for health checks: zones are a millisecond or two apart.
	Timeout = 400 * time.Millisecond
	// StartDuration is how long engines are asked after the start of a host that follows an outage of
	// all hosts. Long answers take some 10 s, and few runs from before the outage last longer.
	StartDuration = 10 * time.Second
	// RefusalDuration is how long an engine is asked after it refused a run or a copy.
	RefusalDuration = 3 * time.Second
	// UseDuration is how long a report is used: four intervals, so that one lost answer or share
	// leaves no gap, while the runs that it contains end within seconds.
	UseDuration = 2 * time.Second
	// discoveryDelay is the time after its start in which a host hears its first peers, and asks no
	// engine for the reason that it started.
	discoveryDelay = 300 * time.Millisecond
	// expectedAge is the mean age of an engine's values when it answers: they are up to 500 ms old.
	// The mean halves the greatest error in telling which runs the values include.
	expectedAge = 250 * time.Millisecond
)

// Reason is why an engine is asked.
type Reason string

// The reasons.
const (
	// ReasonStart: this host started, and no peer of its cell has runs from before.
	ReasonStart Reason = "start"
	// ReasonRefusal: the engine refused a run or a copy of one.
	ReasonRefusal Reason = "refusal"
	// ReasonPeer: a peer has one of these reasons.
	ReasonPeer Reason = "peer"
)

// Tracker holds the reasons to ask engines and the reports that were received. The zero value is
// ready to use. It isn't safe for concurrent use. Its state is soft: reasons and reports expire, and an
// empty tracker leaves the placement to what hosts know of each other's runs.
type Tracker struct {
	// startedAt is when this host started; zero before Start.
	startedAt time.Time
	// olderRunSeen says that a peer has a run from before this host's start.
	olderRunSeen bool
	// refusedAt is when an engine last refused something that this host sent.
	refusedAt map[member.UpstreamID]time.Time
	// requestedUntil is until when peers have a reason; the empty ID stands for all engines.
	requestedUntil map[member.UpstreamID]time.Time
	// askedAt is when this host last asked an engine.
	askedAt map[member.UpstreamID]time.Time
	// reports holds the newest report of each engine.
	reports map[member.UpstreamID]report
}

// report is a load with what tells when it may be used.
type report struct {
	Load
	incarnation int64
	takenAt     time.Time
	// own says that this host asked, so that it tells its peers.
	own bool
}

// Start records the start of this host.
func (t *Tracker) Start(now time.Time) { t.startedAt = now }

// ObservePeerRun records that a peer of this host's cell has a run whose first token came at a time.
// If that is before this host's start, there was no outage of all hosts.
func (t *Tracker) ObservePeerRun(firstTokenAt time.Time) {
	if !t.startedAt.IsZero() && firstTokenAt.Before(t.startedAt) {
		t.olderRunSeen = true
	}
}

// RecordRefusal records that an engine refused a run or a copy for lack of room.
func (t *Tracker) RecordRefusal(now time.Time, engine member.UpstreamID) {
	set(&t.refusedAt, engine, now)
}

// ReceiveRequest records that a peer has a reason to ask an engine. It reports whether the request is
// possible; one that lasts too long is cut.
func (t *Tracker) ReceiveRequest(now time.Time, r Request) bool {
	if r.Remaining <= 0 {
		return false
	}
	longest := RefusalDuration
	if r.Engine == "" {
		longest = StartDuration
	}
	if until := now.Add(min(r.Remaining, longest)); until.After(t.requestedUntil[r.Engine]) {
		set(&t.requestedUntil, r.Engine, until)
	}
	return true
}

// Requests returns the reasons that this host itself has, for its peers.
func (t *Tracker) Requests(now time.Time) []Request {
	var requests []Request
	if t.startReason(now) {
		requests = append(requests, Request{Remaining: t.startedAt.Add(StartDuration).Sub(now)})
	}
	for engine, at := range t.refusedAt {
		if remaining := at.Add(RefusalDuration).Sub(now); remaining > 0 {
			requests = append(requests, Request{Engine: engine, Remaining: remaining})
		}
	}
	slices.SortFunc(requests, func(a, b Request) int { return strings.Compare(string(a.Engine), string(b.Engine)) })
	return requests
}

// startReason reports whether this host has just started after an outage of all hosts.
func (t *Tracker) startReason(now time.Time) bool {
	uptime := now.Sub(t.startedAt)
	return !t.startedAt.IsZero() && !t.olderRunSeen && uptime >= discoveryDelay && uptime < StartDuration
}

// Starting reports whether it is still open whether there was an outage of all hosts before this one's
// start.
func (t *Tracker) Starting(now time.Time) bool {
	return !t.olderRunSeen && now.Sub(t.startedAt) < StartDuration
}

// HasReason reports whether there is a reason to ask any engine. It drops what has expired, so it is to
// be called regularly.
func (t *Tracker) HasReason(now time.Time) bool {
	t.prune(now)
	return t.startReason(now) || len(t.refusedAt) > 0 || len(t.requestedUntil) > 0
}

// Named returns the engines that there is a reason to ask in particular, which includes those whose
// reason has expired since the last call of HasReason.
func (t *Tracker) Named() []member.UpstreamID {
	engines := slices.Collect(maps.Keys(t.refusedAt))
	for engine := range t.requestedUntil {
		if engine != "" {
			engines = append(engines, engine)
		}
	}
	return engines
}

// Reason returns the reason to ask an engine; empty if there is none.
func (t *Tracker) Reason(now time.Time, engine member.UpstreamID) Reason {
	refusedAt, refused := t.refusedAt[engine]
	switch {
	case refused && now.Sub(refusedAt) < RefusalDuration:
		return ReasonRefusal
	case t.startReason(now):
		return ReasonStart
	case now.Before(t.requestedUntil[engine]), now.Before(t.requestedUntil[""]):
		return ReasonPeer
	}
	return ""
}

// Ask reports whether an engine is to be asked now, and why, and records that it is.
func (t *Tracker) Ask(now time.Time, engine member.UpstreamID) (Reason, bool) {
	reason := t.Reason(now, engine)
	if askedAt, ever := t.askedAt[engine]; reason == "" || ever && now.Sub(askedAt) < Interval {
		return reason, false
	}
	set(&t.askedAt, engine, now)
	return reason, true
}

// ReceiveAnswer records the load that an engine stated to this host at a time.
func (t *Tracker) ReceiveAnswer(at time.Time, engine member.UpstreamID, incarnation int64, l Load) {
	t.store(engine, report{Load: l, incarnation: incarnation, takenAt: at.Add(-expectedAge), own: true})
}

// ReceiveMark records a peer's mark. It reports whether the mark's values are possible.
func (t *Tracker) ReceiveMark(now time.Time, m Mark) bool {
	if !m.usable() || m.Age < 0 || m.Engine == "" {
		return false
	}
	t.store(m.Engine, report{Load: m.Load, incarnation: m.Incarnation, takenAt: now.Add(-m.Age)})
	return true
}

// store keeps a report unless a newer one of the same engine is known. Reports of different
// incarnations are told apart when they are used.
func (t *Tracker) store(engine member.UpstreamID, r report) {
	if r.takenAt.After(t.reports[engine].takenAt) {
		set(&t.reports, engine, r)
	}
}

// Marks returns the reports that this host got itself and that may still be used, for its peers.
func (t *Tracker) Marks(now time.Time) []Mark {
	var marks []Mark
	for engine, r := range t.reports {
		if r.own && now.Sub(r.takenAt) <= UseDuration {
			marks = append(marks, Mark{Engine: engine, Incarnation: r.incarnation, Load: r.Load, Age: now.Sub(r.takenAt)})
		}
	}
	slices.SortFunc(marks, func(a, b Mark) int { return strings.Compare(string(a.Engine), string(b.Engine)) })
	return marks
}

// Load returns the load of an engine's present incarnation and when it was as stated. It returns false
// if none is known that may still be used.
func (t *Tracker) Load(now time.Time, engine member.UpstreamID, incarnation int64) (l Load, takenAt time.Time, known bool) {
	r, known := t.reports[engine]
	if !known || r.incarnation != incarnation || now.Sub(r.takenAt) > UseDuration {
		return Load{}, time.Time{}, false
	}
	return r.Load, r.takenAt, true
}

// prune drops what has expired.
func (t *Tracker) prune(now time.Time) {
	for engine, at := range t.refusedAt {
		if now.Sub(at) >= RefusalDuration {
			delete(t.refusedAt, engine)
		}
	}
	for engine, until := range t.requestedUntil {
		if !now.Before(until) {
			delete(t.requestedUntil, engine)
		}
	}
	for engine, at := range t.askedAt {
		if now.Sub(at) >= Interval {
			delete(t.askedAt, engine)
		}
	}
	for engine, r := range t.reports {
		if now.Sub(r.takenAt) > UseDuration {
			delete(t.reports, engine)
		}
	}
}

// set puts a value into a map, which it creates if needed.
func set[V any](m *map[member.UpstreamID]V, engine member.UpstreamID, v V) {
	if *m == nil {
		*m = map[member.UpstreamID]V{}
	}
	(*m)[engine] = v
}
