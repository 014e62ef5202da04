// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shedpath/shedpath/member"
)

var compareFlag = flag.Bool("limit.ways", false, "compare strategies for sharing a limit among hosts")

// demand describes the requests that hosts want to send to one upstream.
type demand struct {
	hosts             int
	rate              Rate
	requestsPerSecond float64
	atOneHost         bool
}

// strategy is a way in which hosts share a limit.
type strategy interface {
	// allow reports whether a host may send now, and counts the messages that it needs.
	allow(now time.Time, host int) bool
	// messages returns the number of messages sent.
	messages() int
}

// turnStrategy lets each host send in turns of its own.
type turnStrategy struct {
	turns  []TurnSchedule
	period time.Duration
}

func newTurnStrategy(d demand) strategy {
	// The hosts share the whole limit here, not only the share of hosts that are cut off.
	s := &turnStrategy{turns: make([]TurnSchedule, d.hosts), period: time.Duration(float64(d.hosts) / float64(d.rate) * float64(time.Second))}
	for h := range s.turns {
		s.turns[h].Self = member.HostID(fmt.Sprint("h", h))
	}
	return s
}

func (s *turnStrategy) allow(now time.Time, host int) bool {
	_, ok := s.turns[host].Take(now, "u", s.period)
	return ok
}
func (s *turnStrategy) messages() int { return 0 }

// demandShareStrategy lets hosts announce their demand to each other every half second. Each
// host uses the share of the limit that matches its share of the total demand.
type demandShareStrategy struct {
	demand          demand
	recentDemand    []float64
	announcedDemand []float64
	tokens          []float64
	refilledAt      []time.Time
	announcedAt     time.Time
	messageCount    int
}

func newDemandShareStrategy(d demand) strategy {
	return &demandShareStrategy{demand: d, recentDemand: make([]float64, d.hosts), announcedDemand: make([]float64, d.hosts), tokens: make([]float64, d.hosts), refilledAt: make([]time.Time, d.hosts)}
}

func (s *demandShareStrategy) allow(now time.Time, host int) bool {
	if now.Sub(s.announcedAt) >= 500*time.Millisecond {
		s.announcedAt = now
		copy(s.announcedDemand, s.recentDemand)
		for h := range s.recentDemand {
			s.recentDemand[h] /= 2
		}
		// Each host sends its demand to each other host.
		s.messageCount += s.demand.hosts * (s.demand.hosts - 1)
	}
	s.recentDemand[host]++
	total := 0.0
	for _, t := range s.announcedDemand {
		total += t
	}
	share := 1 / float64(s.demand.hosts)
	if total > 0 {
		share = s.announcedDemand[host] / total
	}
	if !s.refilledAt[host].IsZero() {
		s.tokens[host] = min(s.tokens[host]+share*float64(s.demand.rate)*now.Sub(s.refilledAt[host]).Seconds(), 1)
	}
	s.refilledAt[host] = now
	if s.tokens[host] < 1 {
		return false
	}
	s.tokens[host]--
	return true
}
func (s *demandShareStrategy) messages() int { return s.messageCount }

// grantStrategy lets one host grant requests that the others ask for.
type grantStrategy struct {
	demand       demand
	granter      Granter
	retryAt      []time.Time
	messageCount int
}

func newGrantStrategy(d demand) strategy {
	return &grantStrategy{demand: d, retryAt: make([]time.Time, d.hosts)}
}

func (s *grantStrategy) allow(now time.Time, host int) bool {
	if now.Before(s.retryAt[host]) {
		return false
	}
	if host > 0 {
		s.messageCount += 2
	}
	g := s.granter.Decide(now, "u", PermitRequest{From: member.HostID(fmt.Sprint("h", host)), Rate: s.demand.rate})
	if !g.Granted {
		s.retryAt[host] = now.Add(g.Wait)
	}
	return g.Granted
}
func (s *grantStrategy) messages() int { return s.messageCount }

// TestLimitWays compares strategies for sharing a limit. It runs only if its flag is set.
func TestLimitWays(t *testing.T) {
	if !*compareFlag {
		t.Skip("comparison of strategies: run with -limit.ways")
	}
	strategies := []struct {
		name string
		make func(demand) strategy
	}{{"turns", newTurnStrategy}, {"shares", newDemandShareStrategy}, {"grants", newGrantStrategy}}
	for _, hosts := range []int{3, 9, 60, 300} {
		for _, rate := range []Rate{0.2, 4, 27} {
			for _, atOneHost := range []bool{false, true} {
				d := demand{hosts: hosts, rate: rate, requestsPerSecond: max(10*float64(rate), 10), atOneHost: atOneHost}
				for _, s := range strategies {
					t.Log(d.simulate(s.name, s.make(d)))
				}
			}
		}
	}
}

func (d demand) simulate(name string, s strategy) string {
	const duration = 120 * time.Second
	random := rand.New(rand.NewPCG(1, 0))
	start, sent := time.Now(), []time.Duration(nil)
	started := time.Now()
	asked := 0
	for at := time.Duration(0); at < duration; at += time.Duration(-math.Log(1-random.Float64()) / d.requestsPerSecond * float64(time.Second)) {
		host := 1
		if !d.atOneHost {
			host = random.IntN(d.hosts)
		}
		asked++
		if s.allow(start.Add(at), host) {
			sent = append(sent, at)
		}
	}
	elapsed := time.Since(started)
	allowed := math.Ceil(float64(d.rate) * limitWindow.Seconds())
	return fmt.Sprintf("%d hosts, %v a second, at one host %t: %s: at most %d in 4 s, %v allowed; share of limit used %.2f; share of requests refused %.2f; %.1f messages a second; %v a decision",
		d.hosts, float64(d.rate), d.atOneHost, name, maxInWindow(sent, limitWindow), allowed, float64(len(sent))/(float64(d.rate)*duration.Seconds()),
		1-float64(len(sent))/float64(asked), float64(s.messages())/duration.Seconds(), elapsed/time.Duration(asked))
}
