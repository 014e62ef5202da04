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

var compareFlag = flag.Bool("limit.ways", false, "compare ways in which hosts share a limit")

// demand is what hosts want of one upstream.
type demand struct {
	hosts             int
	rate              Rate
	requestsPerSecond float64
	atOneHost         bool
}

// strategy is one in which hosts share a limit.
type strategy interface {
	// allow reports whether a host allow send now, and counts its messages.
	allow(now time.Time, host int) bool
	// messages is how many were sent.
	messages() int
}

// turnStrategy has each host send in turns of its own.
type turnStrategy struct {
	turns  []TurnSchedule
	period time.Duration
}

func newTurnStrategy(l demand) strategy {
	// The whole rate is shared, not the part that is left to hosts that are cut off.
	w := &turnStrategy{turns: make([]TurnSchedule, l.hosts), period: time.Duration(float64(l.hosts) / float64(l.rate) * float64(time.Second))}
	for h := range w.turns {
		w.turns[h].Self = member.HostID(fmt.Sprint("h", h))
	}
	return w
}

func (w *turnStrategy) allow(now time.Time, host int) bool {
	_, ok := w.turns[host].Take(now, "u", w.period)
	return ok
}
func (w *turnStrategy) messages() int { return 0 }

// demandShareStrategy has hosts tell each other what they want, each half second, and each take the
// part of the rate that it wanted of all.
type demandShareStrategy struct {
	demand          demand
	recentDemand    []float64
	announcedDemand []float64
	tokens          []float64
	refilledAt      []time.Time
	announcedAt     time.Time
	messageCount    int
}

func newDemandShareStrategy(l demand) strategy {
	return &demandShareStrategy{demand: l, recentDemand: make([]float64, l.hosts), announcedDemand: make([]float64, l.hosts), tokens: make([]float64, l.hosts), refilledAt: make([]time.Time, l.hosts)}
}

func (w *demandShareStrategy) allow(now time.Time, host int) bool {
	if now.Sub(w.announcedAt) >= 500*time.Millisecond {
		w.announcedAt = now
		copy(w.announcedDemand, w.recentDemand)
		for h := range w.recentDemand {
			w.recentDemand[h] /= 2
		}
		// Each tells each other host.
		w.messageCount += w.demand.hosts * (w.demand.hosts - 1)
	}
	w.recentDemand[host]++
	total := 0.0
	for _, t := range w.announcedDemand {
		total += t
	}
	share := 1 / float64(w.demand.hosts)
	if total > 0 {
		share = w.announcedDemand[host] / total
	}
	if !w.refilledAt[host].IsZero() {
		w.tokens[host] = min(w.tokens[host]+share*float64(w.demand.rate)*now.Sub(w.refilledAt[host]).Seconds(), 1)
	}
	w.refilledAt[host] = now
	if w.tokens[host] < 1 {
		return false
	}
	w.tokens[host]--
	return true
}
func (w *demandShareStrategy) messages() int { return w.messageCount }

// grantStrategy has one host give out requests, and the others ask it.
type grantStrategy struct {
	demand       demand
	granter      Granter
	retryAt      []time.Time
	messageCount int
}

func newGrantStrategy(l demand) strategy {
	return &grantStrategy{demand: l, retryAt: make([]time.Time, l.hosts)}
}

func (w *grantStrategy) allow(now time.Time, host int) bool {
	if now.Before(w.retryAt[host]) {
		return false
	}
	if host > 0 {
		w.messageCount += 2
	}
	g := w.granter.Decide(now, "u", PermitRequest{From: member.HostID(fmt.Sprint("h", host)), Rate: w.demand.rate})
	if !g.Granted {
		w.retryAt[host] = now.Add(g.Wait)
	}
	return g.Granted
}
func (w *grantStrategy) messages() int { return w.messageCount }

// TestLimitWays compares ways in which hosts share a limit, where it is asked to.
func TestLimitWays(t *testing.T) {
	if !*compareFlag {
		t.Skip("compared by hand: -limit.ways")
	}
	strategies := []struct {
		name string
		make func(demand) strategy
	}{{"turns", newTurnStrategy}, {"shares", newDemandShareStrategy}, {"grants", newGrantStrategy}}
	for _, hosts := range []int{3, 9, 60, 300} {
		for _, rate := range []Rate{0.2, 4, 27} {
			for _, atOneHost := range []bool{false, true} {
				l := demand{hosts: hosts, rate: rate, requestsPerSecond: max(10*float64(rate), 10), atOneHost: atOneHost}
				for _, w := range strategies {
					t.Log(l.simulate(w.name, w.make(l)))
				}
			}
		}
	}
}

func (l demand) simulate(name string, s strategy) string {
	const duration = 120 * time.Second
	random := rand.New(rand.NewPCG(1, 0))
	start, sent := time.Now(), []time.Duration(nil)
	started := time.Now()
	asked := 0
	for at := time.Duration(0); at < duration; at += time.Duration(-math.Log(1-random.Float64()) / l.requestsPerSecond * float64(time.Second)) {
		host := 1
		if !l.atOneHost {
			host = random.IntN(l.hosts)
		}
		asked++
		if s.allow(start.Add(at), host) {
			sent = append(sent, at)
		}
	}
	elapsed := time.Since(started)
	allowed := math.Ceil(float64(l.rate) * limitWindow.Seconds())
	return fmt.Sprintf("%d hosts, %v a second, at one host %t: %s: most in 4 s %d of %v; used %.2f; refused %.2f; %.1f messages a second; %v a decision",
		l.hosts, float64(l.rate), l.atOneHost, name, maxInWindow(sent, limitWindow), allowed, float64(len(sent))/(float64(l.rate)*duration.Seconds()),
		1-float64(len(sent))/float64(asked), float64(s.messages())/duration.Seconds(), elapsed/time.Duration(asked))
}
