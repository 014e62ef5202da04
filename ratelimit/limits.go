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

// AnswerReport is what one answer said of its upstream's need.
type AnswerReport struct {
	// HasLimit says that the answer named a limit, which is Rate.
	HasLimit bool
	Rate     Rate
	// SentAt and ReceivedAt bound the moment at which the upstream wrote it: when the request was
	// sent and when the answer came. The head of a stream may be as old as its request.
	SentAt, ReceivedAt time.Time
}

// PeerReport is a host's newest word of one upstream, for its peers.
type PeerReport struct {
	Upstream member.UpstreamID
	// Incarnation tells this start of the upstream from others under its id.
	Incarnation int64
	HasLimit    bool
	Rate        Rate
	// Age is how long ago the word was heard; that of an end, how long ago the request
	// was sent whose answer named no limit.
	Age time.Duration
}

// LimitStatus is how an upstream stands, for operators.
type LimitStatus struct {
	Upstream member.UpstreamID
	// NamedRate is its limit, and zero while it returns after its need.
	NamedRate Rate
	// EffectiveRate is what it gets at most at present.
	EffectiveRate Rate
	// Age is how old the word is, and From the host that heard it.
	Age        time.Duration
	ReportedBy member.HostID
}

// Change says what a word changed.
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
	// MinRate is what an upstream gets that names less, or none at all: nobody would
	// hear that its need is over if it were left alone. One request in 5 s is a quarter
	// of what may come beside any limit.
	MinRate Rate = 0.2
	// confirmationTimeout is how long a word stands that no answer has confirmed. At LeastRate
	// six requests bring an answer meanwhile; where nothing was sent, or nothing was
	// answered, the upstream returns in steps. If that is too soon it gets, until its
	// first answer, as much as it named; if it is too late it stands idle for so long.
	confirmationTimeout = 30 * time.Second
	// recoveryDoublingTime is in how long the bound of an upstream doubles whose need is over:
	// hosts hear of it together, and all would turn to the one that stood idle.
	recoveryDoublingTime = 500 * time.Millisecond
	// recoveryDelay is when that begins: an upstream may name its limit in every second answer.
	recoveryDelay = 500 * time.Millisecond
	// recoveryTime is after how long it isn't bounded any more: it gets 256 times what it
	// had named.
	recoveryTime = recoveryDelay + 8*recoveryDoublingTime
)

// Limits are the newest words of all upstreams. The zero value works. It is safe for use by
// several goroutines.
type Limits struct {
	// nonEmpty says that an upstream is bounded, which is all that most requests ask.
	nonEmpty atomic.Bool

	mu        sync.Mutex
	upstreams map[member.UpstreamID]*limitState
}

// limitState is one upstream's.
type limitState struct {
	incarnation int64
	hasLimit    bool
	// rate is the one that it named last; where it has ended, what it returns from.
	rate Rate
	// reportedAt is when a limit was last heard; of an end, when the request was sent whose
	// answer named none.
	reportedAt time.Time
	reportedBy member.HostID
	// endedAt is when its need was over here; zero while it isn't.
	endedAt time.Time
}

// Receive takes in an answer's word, heard by a host. Life is the upstream's at that time.
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

// ReceivePeerReport takes in a peer's word.
func (l *Limits) ReceivePeerReport(now time.Time, from member.HostID, report PeerReport) Change {
	if !report.HasLimit && !l.nonEmpty.Load() {
		return Unchanged
	}
	return l.apply(now, report.Upstream, report.Incarnation, from, report.HasLimit, report.Rate, now.Add(-max(report.Age, 0)))
}

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
		// It wasn't known when the limit was heard first.
		u.incarnation = incarnation
	}
	// An answer without a limit ends it only if its request was sent after the limit was
	// last heard: else it may be the older word.
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

// endLimit begins the upstream's return.
func (u *limitState) endLimit(now time.Time) Change {
	if !u.hasLimit {
		return Unchanged
	}
	u.hasLimit, u.endedAt = false, now
	return LimitEnded
}

// limitInForce reports whether the upstream names a limit.
func (u *limitState) limitInForce(now time.Time) bool {
	return u.hasLimit && now.Sub(u.reportedAt) < confirmationTimeout
}

// effectiveRate is what the upstream gets at most; false says that nothing bounds it.
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

// EffectiveRate is what an upstream gets at most; false says that nothing bounds it.
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

// RecoveryInterval is for how long at most an upstream's present bound holds whose need is over, for it
// rises; false for one that names a limit, or that nothing bounds.
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

// Any reports whether some upstream may be bounded.
func (l *Limits) Any() bool { return l.nonEmpty.Load() }

// Reset forgets an upstream that has started again.
func (l *Limits) Reset(id member.UpstreamID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.upstreams, id)
	l.nonEmpty.Store(len(l.upstreams) > 0)
}

// Prune drops the upstreams that aren't bounded any more, and those that aren't known. It
// returns those of which a word ended because no answer confirmed it.
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
		if _, bounded := u.effectiveRate(now); !bounded || !isKnown(id) {
			delete(l.upstreams, id)
		}
	}
	l.nonEmpty.Store(len(l.upstreams) > 0)
	return unconfirmed
}

// PeerReport is the newest word of an upstream; false says that there is none.
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

// PeerReports are the newest words of all upstreams.
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

// Statuses lists how the bounded upstreams stand, by their ids.
func (l *Limits) Statuses(now time.Time) []LimitStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	statuses := make([]LimitStatus, 0, len(l.upstreams))
	for id, u := range l.upstreams {
		status := LimitStatus{Upstream: id, Age: now.Sub(u.reportedAt), ReportedBy: u.reportedBy}
		// Zero for one that isn't bounded any more and wasn't forgotten yet.
		status.EffectiveRate, _ = u.effectiveRate(now)
		if u.limitInForce(now) {
			status.NamedRate = u.rate
		}
		statuses = append(statuses, status)
	}
	slices.SortFunc(statuses, func(a, b LimitStatus) int { return strings.Compare(string(a.Upstream), string(b.Upstream)) })
	return statuses
}
