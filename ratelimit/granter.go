// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"math"
	"sync"
	"time"

	"github.com/shedpath/shedpath/member"
)

// PermitRequest asks for leave to send one request to an upstream.
type PermitRequest struct {
	// From is who asks.
	From member.HostID
	// Rate is what the upstream is given at most, by all hosts together.
	Rate Rate
	// Rank orders requests by what their callers lose; a lower one goes first.
	Rank int
	// Repeat says that the request has been sent before. It never takes the place of one
	// that hasn't.
	Repeat bool
	// Unconditional says that the request goes in any case, and is only counted.
	Unconditional bool
}

// Decision answers an Ask.
type Decision struct {
	Granted bool
	// Wait is when to ask again, where nothing is granted.
	Wait time.Duration
	// Outranked says that there was room, which is left for requests that go before this one:
	// others needn't wait.
	Outranked bool
}

const (
	// targetRetriesPerSecond is how many questions a second are aimed at for one upstream, where its
	// limit isn't higher: hosts that were refused are spread over as long, mostSpread at
	// most: what comes free waits for the next who asks.
	targetRetriesPerSecond = 30
	maxRetrySpread         = time.Second
	// refusedHostWindow is how long a host counts that was refused.
	refusedHostWindow = 2 * time.Second
	// lowRankShare is the part of an upstream's limit that requests of lower rank get
	// together while those of a higher rank are refused: none is refused for good.
	lowRankShare = 0.25
	// maxLowRankCredit bounds what they may have left over.
	maxLowRankCredit = 2
	// idleRetention is for how long a line that nobody asks is kept.
	idleRetention = time.Minute
)

// Granter gives out, for all hosts, what upstreams take. One host does so for each upstream
// while it is in touch with the others. The zero value works. It is safe for use by several
// goroutines.
type Granter struct {
	mu        sync.Mutex
	upstreams map[member.UpstreamID]*grantState
}

// grantState is one upstream's.
type grantState struct {
	window window
	// lastRefusals is when each host was last lastRefusals a first try; lookedAt is when it was
	// last looked which of them count no more.
	lastRefusals     map[member.HostID]time.Time
	refusalsPrunedAt time.Time
	// highestRefusedRank is the highestRefusedRank rank that was refused lately, and refusedAt when.
	highestRefusedRank int
	highestRefusedAt   time.Time
	// lowRankCredit is how many requests of lower rank may go meanwhile.
	lowRankCredit float64
	// retryPhase spreads those that are refused.
	retryPhase float64
}

// Decide answers an Ask.
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

func (g *Granter) state(now time.Time, id member.UpstreamID) *grantState {
	l := g.upstreams[id]
	if l != nil {
		return l
	}
	if g.upstreams == nil {
		g.upstreams = map[member.UpstreamID]*grantState{}
	}
	for other, l := range g.upstreams {
		if now.Sub(l.window.activeUntil) > idleRetention {
			delete(g.upstreams, other)
		}
	}
	l = &grantState{}
	g.upstreams[id] = l
	return l
}

// Reset forgets what an upstream was given that has started again.
func (g *Granter) Reset(id member.UpstreamID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.upstreams, id)
}

// refusedRecently reports whether first tries were refused lately.
func (s *grantState) refusedRecently(now time.Time) bool {
	return !s.highestRefusedAt.IsZero() && now.Sub(s.highestRefusedAt) < burstWindow
}

// admit reports whether a request may go where there is room for one, and counts it for
// the part of its rank.
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

// recordRefusal counts a request that finds no room.
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

// goldenRatioConjugate spreads a row of numbers evenly over a range, however many there are.
var goldenRatioConjugate = (math.Sqrt(5) - 1) / 2

// retryDelay is when a host that is refused should ask again: when there is room, and later the
// more hosts there are, so that they don't all ask for the same place.
func (s *grantState) retryDelay(now time.Time, r Rate, wait time.Duration) time.Duration {
	_, s.retryPhase = math.Modf(s.retryPhase + goldenRatioConjugate)
	others := float64(max(len(s.lastRefusals)-1, 0))
	spread := s.retryPhase * min(others/max(float64(r), targetRetriesPerSecond), maxRetrySpread.Seconds())
	wait = max(wait, binWidth)
	s.window.noteActivity(now.Add(wait))
	return wait + time.Duration(spread*float64(time.Second))
}
