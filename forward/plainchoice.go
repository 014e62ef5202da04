// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/shedpath/shedpath/member"
)

// latencyBalancer picks plain upstreams by what this host has seen of them: how
// long they took and how often they failed. What it saw fades, so that one that
// did badly is tried again.
type latencyBalancer struct {
	zone member.Zone

	mu    sync.Mutex
	stats map[member.UpstreamID]*upstreamStats
}

// upstreamStats is what one host saw of one upstream.
type upstreamStats struct {
	// inFlight is how many requests of this host it has now.
	inFlight int
	// meanLatency is the mean time of its answers; zero before the first.
	meanLatency time.Duration
	// failureRate is the share of its answers that failed.
	failureRate float64
	// updatedAt is when the figures were last brought up to date.
	updatedAt time.Time
}

const (
	// newestSampleWeight is the weight of the newest answer in the means.
	newestSampleWeight = 0.15
	// statsDecayTime is in how long an observation loses two thirds of its weight.
	statsDecayTime = 8 * time.Second
	// defaultLatency is assumed of an upstream that hasn't answered yet.
	defaultLatency = 20 * time.Millisecond
	// crossZoneLatency is what another zone's upstream is taken to be slower by.
	crossZoneLatency = 2 * time.Millisecond
	// failurePenalty is how much longer an answer counts for each share of
	// failures above the best upstream's.
	failurePenalty = 20.0
	// maxTrackedUpstreams bounds the upstreams remembered; the oldest ones go.
	maxTrackedUpstreams = 1024
)

func newLatencyBalancer(zone member.Zone) *latencyBalancer {
	return &latencyBalancer{zone: zone, stats: map[member.UpstreamID]*upstreamStats{}}
}

// pick returns the upstream with the lowest expected cost that isn't among
// those tried, and counts a request on it.
func (c *latencyBalancer) pick(now time.Time, from []Upstream, tried []member.UpstreamID) (Upstream, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	least := 1.0
	for _, u := range from {
		least = min(least, c.statsFor(now, u.ID).failureRate)
	}
	var best Upstream
	lowest := math.Inf(1)
	for _, u := range from {
		if wasTried(tried, u.ID) {
			continue
		}
		if cost := c.cost(now, u, least); cost < lowest {
			best, lowest = u, cost
		}
	}
	if math.IsInf(lowest, 1) {
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

// cost is the expected time of an answer, made longer by failures.
func (c *latencyBalancer) cost(now time.Time, u Upstream, least float64) float64 {
	s := c.statsFor(now, u.ID)
	took := s.meanLatency
	if took == 0 {
		took = defaultLatency
	}
	if u.Zone != c.zone {
		took += crossZoneLatency
	}
	// Hosts that see the same figures should not all pick the same upstream.
	jitter := 0.9 + 0.2*rand.Float64()
	return float64(took) * float64(s.inFlight+1) * (1 + failurePenalty*(s.failureRate-least)) * jitter
}

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

// reset forgets what was seen of an upstream whose life is over. What is under way is
// counted on until it ends.
func (c *latencyBalancer) reset(id member.UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.stats[id]; s != nil {
		s.meanLatency, s.failureRate = 0, 0
	}
}

func (c *latencyBalancer) forgetIdle(now time.Time) {
	for id, s := range c.stats {
		if s.inFlight == 0 && now.Sub(s.updatedAt) > statsDecayTime {
			delete(c.stats, id)
		}
	}
}

// done takes in how a request ended; took is zero when nothing was learnt.
func (c *latencyBalancer) done(now time.Time, id member.UpstreamID, took time.Duration, failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.statsFor(now, id)
	s.inFlight--
	if took == 0 {
		return
	}
	if s.meanLatency == 0 {
		s.meanLatency = took
	}
	s.meanLatency += time.Duration(newestSampleWeight * float64(took-s.meanLatency))
	failure := 0.0
	if failed {
		failure = 1
	}
	s.failureRate += newestSampleWeight * (failure - s.failureRate)
	s.updatedAt = now
}
