// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shedpath/shedpath/member"
)

// AnswerReport is what one answer says about the limit of its upstream.
type AnswerReport struct {
	// HasLimit says that the answer names a limit, which is Rate.
	HasLimit bool
	Rate     Rate
	// SentAt and ReceivedAt bound the time at which the upstream wrote the answer: when the
	// request was sent and when the answer came. The head of a stream may be as old as its
	// request.
	SentAt, ReceivedAt time.Time
}

// PeerReport is a host's newest knowledge of the limit of one upstream, sent to its peers.
type PeerReport struct {
	Upstream member.UpstreamID
	// Incarnation distinguishes this start of the upstream from others with the same ID. Zero
	// means unknown.
	Incarnation int64
	HasLimit    bool
	Rate        Rate
	// Age is how long ago the limit was received. If the limit has ended, it is how long ago
	// the request was sent whose answer named no limit.
	Age time.Duration
}

// LimitStatus describes the limit of an upstream for operators.
type LimitStatus struct {
	Upstream member.UpstreamID
	// NamedRate is the limit that the upstream names. It is zero while the rate recovers after
	// a limit.
	NamedRate Rate
	// EffectiveRate is the rate at which all hosts together may send to the upstream now.
	EffectiveRate Rate
	// Age is the age of the report, and ReportedBy the host that it came from.
	Age        time.Duration
	ReportedBy member.HostID
}

// Change is the effect of a report on the limit of an upstream.
type Change int

// The changes.
const (
	Unchanged Change = iota
	LimitNamed
	LimitMoved
	LimitEnded
)

func (c Change) String() string {
	return [...]string{"unchanged", "limit named", "limit moved", "limit ended"}[c]
}

const (
	// MinRate is the rate at which requests are sent to an upstream that names a lower limit,
	// or zero: without requests no host would learn that the limit has ended. One request in
	// five seconds is a quarter of the requests that may be sent beyond any limit.
	MinRate Rate = 0.2
	// confirmationTimeout is how long a limit stays in force without an answer that confirms
	// it. At MinRate six requests get an answer in that time. If none was sent or answered, the
	// rate recovers in steps. If that is too early, the upstream gets, until its first answer,
	// as much as it named; if it is too late, the upstream stays idle for this time.
	confirmationTimeout = 30 * time.Second
	// recoveryDoublingTime is the time in which the rate doubles after a limit has ended. The
	// rate rises in steps because hosts learn of the end together and would all turn to the
	// idle upstream.
	recoveryDoublingTime = 500 * time.Millisecond
	// recoveryDelay is how long after the end of a limit the rate starts to rise: an upstream
	// may name its limit in only every second answer.
	recoveryDelay = 500 * time.Millisecond
	// recoveryTime is how long after the end of its limit an upstream is no longer limited. The
	// rate is then 256 times the limit.
	recoveryTime = recoveryDelay + 8*recoveryDoublingTime
)

// Limits holds the newest limits of all upstreams. The zero value is ready for use. Limits is
// safe for concurrent use.
type Limits struct {
	// nonEmpty says that some upstream may be limited. Most requests read only this field.
	nonEmpty atomic.Bool

	mu        sync.Mutex
	upstreams map[member.UpstreamID]*limitState
}

// limitState is the limit of one upstream.
type limitState struct {
	incarnation int64
	hasLimit    bool
	// rate is the limit that was named last. After its end it is the rate from which recovery
	// starts.
	rate Rate
	// reportedAt is when a limit was last received. If the limit has ended, it is when the
	// request was sent whose answer named no limit.
	reportedAt time.Time
	reportedBy member.HostID
	// endedAt is when this host learned that the limit has ended, or when the limit expired
	// unconfirmed; zero while it is in force.
	endedAt time.Time
}

// Receive records the report in an answer that a host received. incarnation is that of the
// upstream at that time; zero means unknown.
func (l *Limits) Receive(now time.Time, id member.UpstreamID, incarnation int64, from member.HostID, report AnswerReport) Change {
	if !report.HasLimit && !l.nonEmpty.Load() {
		return Unchanged
	}
	reportedAt := report.ReceivedAt
	if !report.HasLimit {
		reportedAt = report.SentAt
	}
	return l.apply(now, id, incarnation, from, report.HasLimit, report.Rate, reportedAt)
}

// ReceivePeerReport records a report received from a peer.
func (l *Limits) ReceivePeerReport(now time.Time, from member.HostID, report PeerReport) Change {
	if !report.HasLimit && !l.nonEmpty.Load() {
		return Unchanged
	}
	return l.apply(now, report.Upstream, report.Incarnation, from, report.HasLimit, report.Rate, now.Add(-max(report.Age, 0)))
}

// apply records a limit, or its end, unless a newer report is known.
func (l *Limits) apply(now time.Time, id member.UpstreamID, incarnation int64, from member.HostID, hasLimit bool, rate Rate, reportedAt time.Time) Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.upstreams[id]
	if u == nil || u.incarnation != incarnation && u.incarnation != 0 && incarnation != 0 {
		if !hasLimit {
			return Unchanged
		}
		u = &limitState{incarnation: incarnation}
		l.add(id, u)
	}
	if u.incarnation == 0 {
		// The incarnation was unknown when the limit was first received.
		u.incarnation = incarnation
	}
	// An answer without a limit ends the limit only if its request was sent after the limit was
	// last received. Otherwise the answer may be the older of the two.
	if !reportedAt.After(u.reportedAt) {
		return Unchanged
	}
	wasInForce, previousRate := u.limitInForce(now), u.rate
	u.reportedAt, u.reportedBy = reportedAt, from
	if !hasLimit {
		return u.endLimit(now)
	}
	u.hasLimit, u.rate, u.endedAt = true, rate, time.Time{}
	switch {
	case !wasInForce:
		return LimitNamed
	case previousRate != rate:
		return LimitMoved
	}
	return Unchanged
}

func (l *Limits) add(id member.UpstreamID, u *limitState) {
	if l.upstreams == nil {
		l.upstreams = map[member.UpstreamID]*limitState{}
	}
	l.upstreams[id] = u
	l.nonEmpty.Store(true)
}

// endLimit ends the limit and starts the recovery of the rate.
func (u *limitState) endLimit(now time.Time) Change {
	if !u.hasLimit {
		return Unchanged
	}
	u.hasLimit, u.endedAt = false, now
	return LimitEnded
}

// limitInForce reports whether the upstream names a limit that was confirmed recently.
func (u *limitState) limitInForce(now time.Time) bool {
	return u.hasLimit && now.Sub(u.reportedAt) < confirmationTimeout
}

// effectiveRate returns the rate at which all hosts together may send to the upstream, and
// whether it is limited.
func (u *limitState) effectiveRate(now time.Time) (Rate, bool) {
	base := max(u.rate, MinRate)
	if u.limitInForce(now) {
		return base, true
	}
	ended := u.endedAt
	if u.hasLimit {
		ended = u.reportedAt.Add(confirmationTimeout)
	}
	elapsed := now.Sub(ended)
	if elapsed >= recoveryTime {
		return 0, false
	}
	return base * Rate(math.Exp2(float64(max(elapsed-recoveryDelay, 0))/float64(recoveryDoublingTime))), true
}

// EffectiveRate returns the rate at which all hosts together may send to an upstream, and
// whether it is limited.
func (l *Limits) EffectiveRate(now time.Time, id member.UpstreamID) (Rate, bool) {
	if !l.nonEmpty.Load() {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.upstreams[id]
	if u == nil {
		return 0, false
	}
	return u.effectiveRate(now)
}

// InForce reports whether an upstream names a limit that was confirmed recently.
func (l *Limits) InForce(now time.Time, id member.UpstreamID) bool {
	if !l.nonEmpty.Load() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.upstreams[id]
	return u != nil && u.limitInForce(now)
}

// RecoveryInterval returns for how long at most the current rate of a recovering upstream is
// valid, since that rate rises. It returns false if the limit of the upstream is in force or no
// limit is known.
func (l *Limits) RecoveryInterval(now time.Time, id member.UpstreamID) (time.Duration, bool) {
	if !l.nonEmpty.Load() {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.upstreams[id]
	if u == nil || u.limitInForce(now) {
		return 0, false
	}
	return recoveryDoublingTime, true
}

// Any reports whether any upstream may be limited.
func (l *Limits) Any() bool { return l.nonEmpty.Load() }

// Reset drops the limit of an upstream that has restarted.
func (l *Limits) Reset(id member.UpstreamID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.upstreams, id)
	l.nonEmpty.Store(len(l.upstreams) > 0)
}

// Prune removes upstreams that are no longer limited or no longer known. It returns the
// upstreams whose limit ended because no answer confirmed it.
func (l *Limits) Prune(now time.Time, isKnown func(member.UpstreamID) bool) (unconfirmed []member.UpstreamID) {
	if !l.nonEmpty.Load() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, u := range l.upstreams {
		if u.hasLimit && !u.limitInForce(now) {
			u.hasLimit, u.endedAt = false, u.reportedAt.Add(confirmationTimeout)
			unconfirmed = append(unconfirmed, id)
		}
		if _, limited := u.effectiveRate(now); !limited || !isKnown(id) {
			delete(l.upstreams, id)
		}
	}
	l.nonEmpty.Store(len(l.upstreams) > 0)
	return unconfirmed
}

// PeerReport returns the newest report on an upstream for peers, and whether there is one.
func (l *Limits) PeerReport(now time.Time, id member.UpstreamID) (PeerReport, bool) {
	if !l.nonEmpty.Load() {
		return PeerReport{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.upstreams[id]
	if u == nil {
		return PeerReport{}, false
	}
	return u.toPeerReport(now, id), true
}

// PeerReports returns the newest reports on all upstreams for peers.
func (l *Limits) PeerReports(now time.Time) []PeerReport {
	if !l.nonEmpty.Load() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	reports := make([]PeerReport, 0, len(l.upstreams))
	for id, u := range l.upstreams {
		reports = append(reports, u.toPeerReport(now, id))
	}
	return reports
}

func (u *limitState) toPeerReport(now time.Time, id member.UpstreamID) PeerReport {
	return PeerReport{Upstream: id, Incarnation: u.incarnation, HasLimit: u.hasLimit, Rate: u.rate, Age: now.Sub(u.reportedAt)}
}

// Statuses lists the limited upstreams, sorted by ID.
func (l *Limits) Statuses(now time.Time) []LimitStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	statuses := make([]LimitStatus, 0, len(l.upstreams))
	for id, u := range l.upstreams {
		status := LimitStatus{Upstream: id, Age: now.Sub(u.reportedAt), ReportedBy: u.reportedBy}
		// The rate is zero for an upstream that is no longer limited but has not been pruned
		// yet.
		status.EffectiveRate, _ = u.effectiveRate(now)
		if u.limitInForce(now) {
			status.NamedRate = u.rate
		}
		statuses = append(statuses, status)
	}
	slices.SortFunc(statuses, func(a, b LimitStatus) int { return strings.Compare(string(a.Upstream), string(b.Upstream)) })
	return statuses
}
