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

// plainChooser picks plain upstreams by what this host has seen of them: how
// long they took and how often they failed. What it saw fades, so that one that
// did badly is tried again.
type plainChooser struct {
	zone member.Zone

	mu   sync.Mutex
	seen map[member.UpstreamID]*plainSeen
}

// plainSeen is what one host saw of one upstream.
type plainSeen struct {
	// inFlight is how many requests of this host it has now.
	inFlight int
	// took is the mean time of its answers; zero before the first.
	took time.Duration
	// failures is the share of its answers that failed.
	failures float64
	// at is when the figures were last brought up to date.
	at time.Time
}

const (
	// seenWeight is the weight of the newest answer in the means.
	seenWeight = 0.15
	// seenFades is in how long an observation loses two thirds of its weight.
	seenFades = 8 * time.Second
	// tookUnknown is assumed of an upstream that hasn't answered yet.
	tookUnknown = 20 * time.Millisecond
	// farTook is what another zone's upstream is taken to be slower by.
	farTook = 2 * time.Millisecond
	// failurePenalty is how much longer an answer counts for each share of
	// failures above the best upstream's.
	failurePenalty = 20.0
	// maxSeen bounds the upstreams remembered; the oldest ones go.
	maxSeen = 1024
)

func newPlainChooser(zone member.Zone) *plainChooser {
	return &plainChooser{zone: zone, seen: map[member.UpstreamID]*plainSeen{}}
}

// choose returns the upstream with the lowest expected cost that isn't among
// those tried, and counts a request on it.
func (c *plainChooser) choose(now time.Time, from []Upstream, tried []member.UpstreamID) (Upstream, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	least := 1.0
	for _, u := range from {
		least = min(least, c.of(now, u.ID).failures)
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
	c.of(now, best.ID).inFlight++
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
func (c *plainChooser) cost(now time.Time, u Upstream, least float64) float64 {
	s := c.of(now, u.ID)
	took := s.took
	if took == 0 {
		took = tookUnknown
	}
	if u.Zone != c.zone {
		took += farTook
	}
	// Hosts that see the same figures should not all pick the same upstream.
	jitter := 0.9 + 0.2*rand.Float64()
	return float64(took) * float64(s.inFlight+1) * (1 + failurePenalty*(s.failures-least)) * jitter
}

func (c *plainChooser) of(now time.Time, id member.UpstreamID) *plainSeen {
	s := c.seen[id]
	if s == nil {
		if len(c.seen) >= maxSeen {
			c.forgetIdle(now)
		}
		s = &plainSeen{at: now}
		c.seen[id] = s
	}
	if idle := now.Sub(s.at); idle > time.Second {
		fade := math.Exp(-float64(idle) / float64(seenFades))
		s.failures *= fade
		if s.took > 0 {
			s.took = tookUnknown + time.Duration(fade*float64(s.took-tookUnknown))
		}
		s.at = now
	}
	return s
}

// renew forgets what was seen of an upstream whose life is over. What is under way is
// counted on until it ends.
func (c *plainChooser) renew(id member.UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.seen[id]; s != nil {
		s.took, s.failures = 0, 0
	}
}

func (c *plainChooser) forgetIdle(now time.Time) {
	for id, s := range c.seen {
		if s.inFlight == 0 && now.Sub(s.at) > seenFades {
			delete(c.seen, id)
		}
	}
}

// done takes in how a request ended; took is zero when nothing was learnt.
func (c *plainChooser) done(now time.Time, id member.UpstreamID, took time.Duration, failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.of(now, id)
	s.inFlight--
	if took == 0 {
		return
	}
	if s.took == 0 {
		s.took = took
	}
	s.took += time.Duration(seenWeight * float64(took-s.took))
	failure := 0.0
	if failed {
		failure = 1
	}
	s.failures += seenWeight * (failure - s.failures)
	s.at = now
}
