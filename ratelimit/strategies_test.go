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

var waysFlag = flag.Bool("limit.ways", false, "compare ways in which hosts share a limit")

// wayLoad is what hosts want of one upstream.
type wayLoad struct {
	hosts     int
	rate      Rate
	perSecond float64
	atOneHost bool
}

// way is one in which hosts share a limit.
type way interface {
	// may reports whether a host may send now, and counts its messages.
	may(now time.Time, host int) bool
	// messages is how many were sent.
	messages() int
}

// turnsWay has each host send in turns of its own.
type turnsWay struct {
	turns  []Turns
	period time.Duration
}

func newTurnsWay(l wayLoad) way {
	// The whole rate is shared, not the part that is left to hosts that are cut off.
	w := &turnsWay{turns: make([]Turns, l.hosts), period: time.Duration(float64(l.hosts) / float64(l.rate) * float64(time.Second))}
	for h := range w.turns {
		w.turns[h].Self = member.HostID(fmt.Sprint("h", h))
	}
	return w
}

func (w *turnsWay) may(now time.Time, host int) bool {
	_, ok := w.turns[host].Take(now, "u", w.period)
	return ok
}
func (w *turnsWay) messages() int { return 0 }

// sharesWay has hosts tell each other what they want, each half second, and each take the
// part of the rate that it wanted of all.
type sharesWay struct {
	load    wayLoad
	wanted  []float64
	told    []float64
	tokens  []float64
	at      []time.Time
	tellAt  time.Time
	counted int
}

func newSharesWay(l wayLoad) way {
	return &sharesWay{load: l, wanted: make([]float64, l.hosts), told: make([]float64, l.hosts), tokens: make([]float64, l.hosts), at: make([]time.Time, l.hosts)}
}

func (w *sharesWay) may(now time.Time, host int) bool {
	if now.Sub(w.tellAt) >= 500*time.Millisecond {
		w.tellAt = now
		copy(w.told, w.wanted)
		for h := range w.wanted {
			w.wanted[h] /= 2
		}
		// Each tells each other host.
		w.counted += w.load.hosts * (w.load.hosts - 1)
	}
	w.wanted[host]++
	all := 0.0
	for _, t := range w.told {
		all += t
	}
	part := 1 / float64(w.load.hosts)
	if all > 0 {
		part = w.told[host] / all
	}
	if !w.at[host].IsZero() {
		w.tokens[host] = min(w.tokens[host]+part*float64(w.load.rate)*now.Sub(w.at[host]).Seconds(), 1)
	}
	w.at[host] = now
	if w.tokens[host] < 1 {
		return false
	}
	w.tokens[host]--
	return true
}
func (w *sharesWay) messages() int { return w.counted }

// grantsWay has one host give out requests, and the others ask it.
type grantsWay struct {
	load    wayLoad
	granter Granter
	until   []time.Time
	counted int
}

func newGrantsWay(l wayLoad) way { return &grantsWay{load: l, until: make([]time.Time, l.hosts)} }

func (w *grantsWay) may(now time.Time, host int) bool {
	if now.Before(w.until[host]) {
		return false
	}
	if host > 0 {
		w.counted += 2
	}
	g := w.granter.Give(now, "u", Ask{From: member.HostID(fmt.Sprint("h", host)), Rate: w.load.rate})
	if !g.Granted {
		w.until[host] = now.Add(g.Wait)
	}
	return g.Granted
}
func (w *grantsWay) messages() int { return w.counted }

// TestLimitWays compares ways in which hosts share a limit, where it is asked to.
func TestLimitWays(t *testing.T) {
	if !*waysFlag {
		t.Skip("compared by hand: -limit.ways")
	}
	ways := []struct {
		name string
		make func(wayLoad) way
	}{{"turns", newTurnsWay}, {"shares", newSharesWay}, {"grants", newGrantsWay}}
	for _, hosts := range []int{3, 9, 60, 300} {
		for _, rate := range []Rate{0.2, 4, 27} {
			for _, atOneHost := range []bool{false, true} {
				l := wayLoad{hosts: hosts, rate: rate, perSecond: max(10*float64(rate), 10), atOneHost: atOneHost}
				for _, w := range ways {
					t.Log(l.play(w.name, w.make(l)))
				}
			}
		}
	}
}

func (l wayLoad) play(name string, w way) string {
	const lasts = 120 * time.Second
	random := rand.New(rand.NewPCG(1, 0))
	start, sent := time.Now(), []time.Duration(nil)
	began := time.Now()
	asked := 0
	for at := time.Duration(0); at < lasts; at += time.Duration(-math.Log(1-random.Float64()) / l.perSecond * float64(time.Second)) {
		host := 1
		if !l.atOneHost {
			host = random.IntN(l.hosts)
		}
		asked++
		if w.may(start.Add(at), host) {
			sent = append(sent, at)
		}
	}
	took := time.Since(began)
	allowed := math.Ceil(float64(l.rate) * countedOver.Seconds())
	return fmt.Sprintf("%d hosts, %v a second, at one host %t: %s: most in 4 s %d of %v; used %.2f; refused %.2f; %.1f messages a second; %v a decision",
		l.hosts, float64(l.rate), l.atOneHost, name, mostIn(sent, countedOver), allowed, float64(len(sent))/(float64(l.rate)*lasts.Seconds()),
		1-float64(len(sent))/float64(asked), float64(w.messages())/lasts.Seconds(), took/time.Duration(asked))
}
