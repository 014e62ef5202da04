// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"math"
	"sync"
	"time"

	"github.com/shedpath/shedpath/member"
)

// PermitRequest asks for a permit to send one request to an upstream.
type PermitRequest struct {
	// From is the host that asks.
	From member.HostID
	// Rate is the highest rate at which all hosts together may send to the upstream.
	Rate Rate
	// Rank orders requests by how much their callers would lose. A lower rank goes first.
	Rank int
	// Repeat says that the request has been sent before. A repeat never takes the place of a
	// first attempt.
	Repeat bool
	// Unconditional says that the request is sent in any case. It is always granted and only
	// counted.
	Unconditional bool
}

// Decision is the answer to a PermitRequest.
type Decision struct {
	Granted bool
	// Wait is how long the host waits before it asks again, if the request is not granted.
	Wait time.Duration
	// Outranked says that the request was refused although the rate had room, because that room
	// is kept for requests that go first. Other requests needn't wait.
	Outranked bool
}

const (
	// targetRetriesPerSecond is the rate at which refused hosts should ask again for one
	// upstream; if the limit of the upstream is higher, that is the rate. Refused hosts are
	// spread over the time that follows from it, at most maxRetrySpread, because capacity that
	// becomes free stays unused until the next host asks.
	targetRetriesPerSecond = 30
	maxRetrySpread         = time.Second
	// refusedHostWindow is how long after its last refusal a host counts among the refused
	// hosts, over which the next requests are spread.
	refusedHostWindow = 2 * time.Second
	// lowRankShare is the share of an upstream's limit that requests of lower priority get
	// together while requests of higher priority are refused, so that no request is refused
	// forever.
	lowRankShare = 0.25
	// maxLowRankCredit bounds the unused part of that share, in requests.
	maxLowRankCredit = 2
	// idleRetention is how long the state of an upstream is kept after the last request for it.
	idleRetention = time.Minute
)

// Granter decides for all hosts which requests may be sent to upstreams. For each upstream one
// host does so, as long as it is in contact with the others. The zero value is ready for use. A
// Granter is safe for concurrent use.
type Granter struct {
	mu        sync.Mutex
	upstreams map[member.UpstreamID]*grantState
}

// grantState is the state of one upstream.
type grantState struct {
	window window
	// lastRefusals is when each host was last refused a first attempt. refusalsPrunedAt is when
	// expired entries were last removed.
	lastRefusals     map[member.HostID]time.Time
	refusalsPrunedAt time.Time
	// highestRefusedRank is the lowest number, and so the highest priority, among the ranks
	// refused recently. highestRefusedAt is when a request of that rank was last refused.
	highestRefusedRank int
	highestRefusedAt   time.Time
	// lowRankCredit is how many requests of lower priority may be granted meanwhile.
	lowRankCredit float64
	// retryPhase, in [0, 1), is the place of the last refused host within the retry spread.
	retryPhase float64
}

// Decide decides on a request to an upstream. A rate below MinRate counts as MinRate.
func (g *Granter) Decide(now time.Time, id member.UpstreamID, req PermitRequest) Decision {
	req.Rate = max(req.Rate, MinRate)
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state(now, id)
	s.window.advance(now, req.Rate)
	wait := s.window.delay(req.Rate)
	switch {
	case req.Unconditional, wait == 0 && s.admit(now, req):
		s.window.add()
		return Decision{Granted: true}
	}
	s.recordRefusal(now, req)
	return Decision{Wait: s.retryDelay(now, req.Rate, wait), Outranked: wait == 0}
}

// state returns the state of an upstream. If there is none it creates it, and removes the
// states of idle upstreams.
func (g *Granter) state(now time.Time, id member.UpstreamID) *grantState {
	s := g.upstreams[id]
	if s != nil {
		return s
	}
	if g.upstreams == nil {
		g.upstreams = map[member.UpstreamID]*grantState{}
	}
	for other, l := range g.upstreams {
		if now.Sub(l.window.activeUntil) > idleRetention {
			delete(g.upstreams, other)
		}
	}
	s = &grantState{}
	g.upstreams[id] = s
	return s
}

// Reset drops the state of an upstream that has restarted.
func (g *Granter) Reset(id member.UpstreamID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.upstreams, id)
}

// refusedRecently reports whether a first attempt of the highest refused rank was refused
// within burstWindow.
func (s *grantState) refusedRecently(now time.Time) bool {
	return !s.highestRefusedAt.IsZero() && now.Sub(s.highestRefusedAt) < burstWindow
}

// admit reports whether a request may be sent when the rate has room for one, and updates the
// credit of lower ranks.
func (s *grantState) admit(now time.Time, req PermitRequest) bool {
	if !s.refusedRecently(now) {
		return true
	}
	switch {
	case req.Repeat:
		return false
	case req.Rank <= s.highestRefusedRank:
		s.lowRankCredit = min(s.lowRankCredit+lowRankShare/(1-lowRankShare), maxLowRankCredit)
		return true
	case s.lowRankCredit >= 1:
		s.lowRankCredit--
		return true
	}
	return false
}

// recordRefusal records the refusal of a first attempt. Repeats are not recorded.
func (s *grantState) recordRefusal(now time.Time, req PermitRequest) {
	if req.Repeat {
		return
	}
	if !s.refusedRecently(now) || req.Rank < s.highestRefusedRank {
		s.highestRefusedRank = req.Rank
	}
	if req.Rank == s.highestRefusedRank {
		s.highestRefusedAt = now
	}
	if s.lastRefusals == nil {
		s.lastRefusals = map[member.HostID]time.Time{}
	}
	s.lastRefusals[req.From] = now
	if now.Sub(s.refusalsPrunedAt) < refusedHostWindow {
		return
	}
	s.refusalsPrunedAt = now
	for host, at := range s.lastRefusals {
		if now.Sub(at) >= refusedHostWindow {
			delete(s.lastRefusals, host)
		}
	}
}

// goldenRatioConjugate has multiples whose fractional parts are spread evenly over [0, 1),
// however many there are.
var goldenRatioConjugate = (math.Sqrt(5) - 1) / 2

// retryDelay returns after which time a refused host asks again: when the rate has room, plus a
// delay that grows with the number of refused hosts, so that they don't all ask for the same
// capacity.
func (s *grantState) retryDelay(now time.Time, r Rate, wait time.Duration) time.Duration {
	_, s.retryPhase = math.Modf(s.retryPhase + goldenRatioConjugate)
	others := float64(max(len(s.lastRefusals)-1, 0))
	spread := s.retryPhase * min(others/max(float64(r), targetRetriesPerSecond), maxRetrySpread.Seconds())
	wait = max(wait, binWidth)
	s.window.noteActivity(now.Add(wait))
	return wait + time.Duration(spread*float64(time.Second))
}
