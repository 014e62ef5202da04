// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/shedpath/shedpath/member"
)

// latencyBalancer picks upstreams by the latency and failure rate that this host has
// observed, and by its requests in flight. Observations decay over time, so that an upstream
// that performed badly is tried again.
type latencyBalancer struct {
	zone member.Zone

	mu    sync.Mutex
	stats map[member.UpstreamID]*upstreamStats
}

// upstreamStats holds this host's observations of one upstream.
type upstreamStats struct {
	// inFlight counts this host's requests that the upstream is working on.
	inFlight int
	// meanLatency is a moving average of the response times; zero before the first response.
	meanLatency time.Duration
	// failureRate is a moving average of the share of responses that failed, from 0 to 1.
	failureRate float64
	// updatedAt is when the averages were last updated or decayed.
	updatedAt time.Time
}

const (
	// newestSampleWeight is the weight of the newest sample in the moving averages.
	newestSampleWeight = 0.15
	// statsDecayTime is the time constant of the decay: without new samples, an observation loses two
	// thirds of its weight in this time.
	statsDecayTime = 8 * time.Second
	// defaultLatency is assumed of an upstream that hasn't responded yet.
	defaultLatency = 20 * time.Millisecond
	// crossZoneLatency is added to the expected latency of an upstream in another zone.
	crossZoneLatency = 2 * time.Millisecond
	// failurePenalty scales the cost of an upstream by the amount by which its failure rate
	// exceeds the lowest one: at 20, a rate that is 0.05 higher doubles the cost.
	failurePenalty = 20.0
	// scarceCostFactor scales the cost of an upstream whose permits are scarce. It outweighs two
	// requests in flight, but not a raised failure rate.
	scarceCostFactor = 0.25
	// maxTrackedUpstreams is the number of tracked upstreams at which idle ones are dropped.
	maxTrackedUpstreams = 1024
)

func newLatencyBalancer(zone member.Zone) *latencyBalancer {
	return &latencyBalancer{zone: zone, stats: map[member.UpstreamID]*upstreamStats{}}
}

// pick returns the upstream with the lowest expected cost that isn't in tried, and counts a
// request in flight on it. Each pick must be followed by a call of done.
// Upstreams in scarce are preferred.
func (c *latencyBalancer) pick(now time.Time, candidates []Upstream, tried, scarce []member.UpstreamID) (Upstream, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lowestFailureRate := 1.0
	for _, u := range candidates {
		lowestFailureRate = min(lowestFailureRate, c.statsFor(now, u.ID).failureRate)
	}
	var best Upstream
	lowestCost := math.Inf(1)
	for _, u := range candidates {
		if wasTried(tried, u.ID) {
			continue
		}
		cost := c.cost(now, u, lowestFailureRate)
		if slices.Contains(scarce, u.ID) {
			cost *= scarceCostFactor
		}
		if cost < lowestCost {
			best, lowestCost = u, cost
		}
	}
	if math.IsInf(lowestCost, 1) {
		return Upstream{}, false
	}
	c.statsFor(now, best.ID).inFlight++
	return best, true
}

func wasTried(tried []member.UpstreamID, id member.UpstreamID) bool {
	for _, t := range tried {
		if t == id {
			return true
		}
	}
	return false
}

// cost returns the expected latency of an upstream in nanoseconds, raised by its requests in
// flight and its failures.
func (c *latencyBalancer) cost(now time.Time, u Upstream, lowestFailureRate float64) float64 {
	s := c.statsFor(now, u.ID)
	latency := s.meanLatency
	if latency == 0 {
		latency = defaultLatency
	}
	if u.Zone != c.zone {
		latency += crossZoneLatency
	}
	// Jitter keeps hosts with the same statistics from all picking the same upstream.
	jitter := 0.9 + 0.2*rand.Float64()
	return float64(latency) * float64(s.inFlight+1) * (1 + failurePenalty*(s.failureRate-lowestFailureRate)) * jitter
}

// statsFor returns an upstream's statistics, decayed up to now. The mutex is held.
func (c *latencyBalancer) statsFor(now time.Time, id member.UpstreamID) *upstreamStats {
	s := c.stats[id]
	if s == nil {
		if len(c.stats) >= maxTrackedUpstreams {
			c.forgetIdle(now)
		}
		s = &upstreamStats{updatedAt: now}
		c.stats[id] = s
	}
	if idle := now.Sub(s.updatedAt); idle > time.Second {
		fade := math.Exp(-float64(idle) / float64(statsDecayTime))
		s.failureRate *= fade
		if s.meanLatency > 0 {
			s.meanLatency = defaultLatency + time.Duration(fade*float64(s.meanLatency-defaultLatency))
		}
		s.updatedAt = now
	}
	return s
}

// reset drops the averages of an upstream that has restarted. Requests in flight stay counted
// until they end.
func (c *latencyBalancer) reset(id member.UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.stats[id]; s != nil {
		s.meanLatency, s.failureRate = 0, 0
	}
}

// forgetIdle drops upstreams without requests in flight or recent observations. The mutex is
// held.
func (c *latencyBalancer) forgetIdle(now time.Time) {
	for id, s := range c.stats {
		if s.inFlight == 0 && now.Sub(s.updatedAt) > statsDecayTime {
			delete(c.stats, id)
		}
	}
}

// done records the end of a request that pick counted. A latency of zero means that the request
// says nothing about the upstream's performance.
func (c *latencyBalancer) done(now time.Time, id member.UpstreamID, latency time.Duration, failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.statsFor(now, id)
	s.inFlight--
	if latency == 0 {
		return
	}
	if s.meanLatency == 0 {
		s.meanLatency = latency
	}
	s.meanLatency += time.Duration(newestSampleWeight * float64(latency-s.meanLatency))
	s.countOutcome(now, failed)
}

// countFailure records that a request failed which done has recorded as a success.
func (c *latencyBalancer) countFailure(now time.Time, id member.UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statsFor(now, id).countOutcome(now, true)
}

func (s *upstreamStats) countOutcome(now time.Time, failed bool) {
	failure := 0.0
	if failed {
		failure = 1
	}
	s.failureRate += newestSampleWeight * (failure - s.failureRate)
	s.updatedAt = now
}
