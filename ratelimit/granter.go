// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"math"
	"sync"
	"time"

	"github.com/shedpath/shedpath/member"
)

// Ask asks for leave to send one request to an upstream.
type Ask struct {
	// From is who asks.
	From member.HostID
	// Rate is what the upstream is given at most, by all hosts together.
	Rate Rate
	// Rank orders requests by what their callers lose; a lower one goes first.
	Rank int
	// Repeat says that the request has been sent before. It never takes the place of one
	// that hasn't.
	Repeat bool
	// Must says that the request goes in any case, and is only counted.
	Must bool
}

// Grant answers an Ask.
type Grant struct {
	Granted bool
	// Wait is when to ask again, where nothing is granted.
	Wait time.Duration
	// Passed says that there was room, which is left for requests that go before this one:
	// others needn't wait.
	Passed bool
}

const (
	// asksPerSecond is how many questions a second are aimed at for one upstream, where its
	// limit isn't higher: hosts that were refused are spread over as long, mostSpread at
	// most: what comes free waits for the next who asks.
	asksPerSecond = 30
	mostSpread    = time.Second
	// crowdFor is how long a host counts that was refused.
	crowdFor = 2 * time.Second
	// lesserPart is the part of an upstream's limit that requests of lower rank get
	// together while those of a higher rank are refused: none is refused for good.
	lesserPart = 0.25
	// mostCredit bounds what they may have left over.
	mostCredit = 2
	// grantLasts is for how long a line that nobody asks is kept.
	grantLasts = time.Minute
)

// Granter gives out, for all hosts, what upstreams take. One host does so for each upstream
// while it is in touch with the others. The zero value works. It is safe for use by several
// goroutines.
type Granter struct {
	mu    sync.Mutex
	lines map[member.UpstreamID]*grantLine
}

// grantLine is one upstream's.
type grantLine struct {
	window window
	// refused is when each host was last refused a first try; lookedAt is when it was
	// last looked which of them count no more.
	refused  map[member.HostID]time.Time
	lookedAt time.Time
	// highest is the highest rank that was refused lately, and refusedAt when.
	highest   int
	refusedAt time.Time
	// credit is how many requests of lower rank may go meanwhile.
	credit float64
	// turn spreads those that are refused.
	turn float64
}

// Give answers an Ask.
func (g *Granter) Give(now time.Time, id member.UpstreamID, a Ask) Grant {
	a.Rate = max(a.Rate, LeastRate)
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.line(now, id)
	l.window.advance(now, a.Rate)
	wait := l.window.wait(a.Rate)
	switch {
	case a.Must, wait == 0 && l.mayGo(now, a):
		l.window.give()
		return Grant{Granted: true}
	}
	l.refuse(now, a)
	return Grant{Wait: l.back(now, a.Rate, wait), Passed: wait == 0}
}

func (g *Granter) line(now time.Time, id member.UpstreamID) *grantLine {
	l := g.lines[id]
	if l != nil {
		return l
	}
	if g.lines == nil {
		g.lines = map[member.UpstreamID]*grantLine{}
	}
	for other, l := range g.lines {
		if now.Sub(l.window.asked) > grantLasts {
			delete(g.lines, other)
		}
	}
	l = &grantLine{}
	g.lines[id] = l
	return l
}

// Renew forgets what an upstream was given that has started again.
func (g *Granter) Renew(id member.UpstreamID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.lines, id)
}

// crowded reports whether first tries were refused lately.
func (l *grantLine) crowded(now time.Time) bool {
	return !l.refusedAt.IsZero() && now.Sub(l.refusedAt) < burstOver
}

// mayGo reports whether a request may go where there is room for one, and counts it for
// the part of its rank.
func (l *grantLine) mayGo(now time.Time, a Ask) bool {
	if !l.crowded(now) {
		return true
	}
	switch {
	case a.Repeat:
		return false
	case a.Rank <= l.highest:
		l.credit = min(l.credit+lesserPart/(1-lesserPart), mostCredit)
		return true
	case l.credit >= 1:
		l.credit--
		return true
	}
	return false
}

// refuse counts a request that finds no room.
func (l *grantLine) refuse(now time.Time, a Ask) {
	if a.Repeat {
		return
	}
	if !l.crowded(now) || a.Rank < l.highest {
		l.highest = a.Rank
	}
	if a.Rank == l.highest {
		l.refusedAt = now
	}
	if l.refused == nil {
		l.refused = map[member.HostID]time.Time{}
	}
	l.refused[a.From] = now
	if now.Sub(l.lookedAt) < crowdFor {
		return
	}
	l.lookedAt = now
	for host, at := range l.refused {
		if now.Sub(at) >= crowdFor {
			delete(l.refused, host)
		}
	}
}

// goldenPart spreads a row of numbers evenly over a range, however many there are.
var goldenPart = (math.Sqrt(5) - 1) / 2

// back is when a host that is refused should ask again: when there is room, and later the
// more hosts there are, so that they don't all ask for the same place.
func (l *grantLine) back(now time.Time, r Rate, wait time.Duration) time.Duration {
	_, l.turn = math.Modf(l.turn + goldenPart)
	others := float64(max(len(l.refused)-1, 0))
	spread := l.turn * min(others/max(float64(r), asksPerSecond), mostSpread.Seconds())
	wait = max(wait, binWidth)
	l.window.expect(now.Add(wait))
	return wait + time.Duration(spread*float64(time.Second))
}
