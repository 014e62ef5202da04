// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package intake

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// gateEvents records a gate's decisions.
type gateEvents struct {
	taken  int
	closed map[Resource]int
	began  int
	ended  []int
}

func (e *gateEvents) ConnectionTaken()                    { e.taken++ }
func (e *gateEvents) ConnectionClosed(r Resource)         { e.closed[r]++ }
func (e *gateEvents) ClosingBegan(Resource, Load)         { e.began++ }
func (e *gateEvents) ClosingEnded(n int, _ time.Duration) { e.ended = append(e.ended, n) }

func newTestGate(load Load) (*Gate, *gateEvents) {
	events := &gateEvents{closed: map[Resource]int{}}
	return &Gate{Meter: &Meter{Link: &Link{}, load: load}, Observer: events}, events
}

// TestGateShare guards against a gate that takes more than a lacking resource allows, blames another one, or closes
// connections in long rows instead of evenly.
func TestGateShare(t *testing.T) {
	for name, c := range map[string]struct {
		load    Load
		closed  int // of 100
		lacking Resource
	}{
		"idle":                          {Load{}, 0, ""},
		"as busy as all are taken":      {Load{LinkOut: 0.65, LinkIn: 0.65, Processor: 0.6, Lag: 15 * time.Millisecond, Connect: 30 * time.Millisecond}, 0, ""},
		"half of the range":             {Load{LinkOut: 0.75}, 50, LinkOut},
		"the scarcest decides":          {Load{LinkOut: 0.7, LinkIn: 0.75, Processor: 0.65}, 50, LinkIn},
		"processor":                     {Load{Processor: 0.8}, 99, Processor},
		"share that isn't enforced":     {Load{Processor: 0.9, ShareExceeded: true}, 0, ""},
		"late":                          {Load{Lag: 45 * time.Millisecond}, 50, Processor},
		"connections to upstreams slow": {Load{Connect: 90 * time.Millisecond}, 50, Upstreams},
		"full":                          {Load{LinkOut: 3}, 99, LinkOut}, // one a second is taken
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g, events := newTestGate(c.load)
			now, inRow, longest := time.Now(), 0, 0
			g.takenAt = now
			for range 100 {
				now = now.Add(10 * time.Millisecond)
				near, far := net.Pipe()
				defer far.Close()
				if taken, _ := g.Take(now, near, 0); taken != nil {
					is.NoErr(taken.Close())
					inRow = 0
				} else {
					inRow++
				}
				longest = max(longest, inRow)
			}
			is.Equal(events.closed[c.lacking], c.closed)
			is.Equal(events.taken, 100-c.closed)
			if c.closed <= 50 {
				is.True(longest <= 1)
			}
		})
	}
}

// TestGateTakesSomeWhenFull guards against a host that says it is ready and takes nothing.
func TestGateTakesSomeWhenFull(t *testing.T) {
	is := is.New(t)
	g, events := newTestGate(Load{LinkOut: 2})
	now := time.Now()
	for range 500 {
		now = now.Add(20 * time.Millisecond)
		near, _ := net.Pipe()
		g.Take(now, near, 0)
	}
	is.Equal(events.taken, 10) // in 10 s
	is.Equal(events.began, 1)
	g.Meter.load = Load{}
	near, _ := net.Pipe()
	taken, _ := g.Take(now.Add(2*time.Second), near, 0)
	is.True(taken != nil)
	is.Equal(events.ended, []int{490})
}

// TestGateBoundsOpenConnections guards against callers' connections that use up a host's descriptors.
func TestGateBoundsOpenConnections(t *testing.T) {
	is := is.New(t)
	g, events := newTestGate(Load{})
	g.MaxConns = 2
	now := time.Now()
	take := func() net.Conn {
		near, _ := net.Pipe()
		taken, _ := g.Take(now, near, 0)
		return taken
	}
	first, second := take(), take()
	is.True(first != nil && second != nil)
	is.True(take() == nil)
	is.Equal(events.closed[Descriptors], 1)
	is.NoErr(first.Close())
	is.NoErr(first.Close()) // counts once
	is.True(take() != nil)
	is.True(take() == nil)
}

// TestGateEndsSomeKeptConnections guards against a full host whose callers all keep their connections, and against one
// that ends them without need.
func TestGateEndsSomeKeptConnections(t *testing.T) {
	is := is.New(t)
	for load, want := range map[float64]int{0.5: 100, 0.75: 50, 2: 0} {
		g, _ := newTestGate(Load{LinkOut: load})
		kept := 0
		for range 100 {
			if g.Keep() {
				kept++
			}
		}
		is.Equal(kept, want)
	}
}

// TestClosedCallersReturnAtOnce guards against a host that closes the connections of a few callers, who return at once,
// so often that the work keeps it full; and against callers that wait although there is room again.
func TestClosedCallersReturnAtOnce(t *testing.T) {
	is := is.New(t)
	const callers, step = 50, time.Millisecond
	g, events := newTestGate(Load{LinkOut: 2})
	g.Meter.ProcessorShare = 0.4
	near, _ := net.Pipe()
	now := time.Now()
	// offers is how often each caller's connection was offered, and next when it is offered again.
	offers, next := make([]int, callers), make([]time.Time, callers)
	play := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(step) {
			for n := range callers {
				if now.Before(next[n]) {
					continue
				}
				taken, wait := g.Take(now, near, offers[n])
				switch {
				case wait:
					offers[n], next[n] = offers[n]+1, now.Add(OfferInterval)
				case taken != nil:
					offers[n], next[n] = 0, now.Add(time.Hour)
				default:
					offers[n], next[n] = 0, now.Add(step)
				}
			}
		}
	}
	play(10 * time.Second)
	is.True(events.closed[LinkOut] <= 10*int(closingsPerProcessor*0.4)+callers*10*int(time.Second/(OfferInterval*(maxOffers-1))))
	taken := events.taken
	g.Meter.load = Load{}
	play(OfferInterval + step)
	is.Equal(events.taken-taken, callers-taken) // all that waited
	is.Equal(g.waiting, 0)
}
