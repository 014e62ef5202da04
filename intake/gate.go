// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package intake

import (
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Resource is what a host may lack to take another connection.
type Resource string

// The resources.
const (
	LinkOut     Resource = "link_out"
	LinkIn      Resource = "link_in"
	Processor   Resource = "processor"
	Upstreams   Resource = "upstreams"
	Descriptors Resource = "descriptors"
)

const (
	// maxTakeInterval is the longest time without a new connection while callers open some.
	maxTakeInterval = time.Second
	// closingsPerProcessor is how many connections a second are closed at once for each processor of the host's share.
	// Connections above that rate wait for room before they are closed, as their callers return at once.
	closingsPerProcessor = 1000
	// OfferInterval is when a connection that waits is offered again, and maxOffers how often it is offered.
	OfferInterval = loadInterval
	maxOffers     = 4
	// maxWaiting is the number of connections that may wait.
	maxWaiting = 256
	// closingQuietTime is how long after the last closed connection a host counts as having room again.
	closingQuietTime = time.Second
)

// limit is the range of a load in which a part of the new connections is closed: none below low, nearly all
// above high.
type limit struct{ low, high float64 }

// The ranges end below 1, as some traffic on the link isn't counted and the answers in progress send more once they
// have begun.
var (
	linkLimit      = limit{0.65, 0.85}
	processorLimit = limit{0.6, 0.8}
	lagLimit       = limit{0.015, 0.075} // seconds
	connectLimit   = limit{0.03, 0.15}   // seconds
)

// share returns the part of the connections that is closed.
func (l limit) share(load float64) float64 {
	return min(max((load-l.low)/(l.high-l.low), 0), 1)
}

// closeShare returns the part of new connections that is closed at a load, and the resource that is lacking.
func (l Load) closeShare() (share float64, lacking Resource) {
	processor := processorLimit.share(l.Processor)
	if l.ShareExceeded {
		processor = 0
	}
	for _, r := range []struct {
		resource Resource
		share    float64
	}{
		{LinkOut, linkLimit.share(l.LinkOut)},
		{LinkIn, linkLimit.share(l.LinkIn)},
		{Processor, processor},
		{Processor, lagLimit.share(l.Lag.Seconds())},
		{Upstreams, connectLimit.share(l.Connect.Seconds())},
	} {
		if r.share > share {
			share, lacking = r.share, r.resource
		}
	}
	return share, lacking
}

// Observer receives the decisions of a Gate. Its methods must not block.
type Observer interface {
	// ConnectionTaken and ConnectionClosed count new connections.
	ConnectionTaken()
	ConnectionClosed(lacking Resource)
	// ClosingBegan and ClosingEnded record that a host begins to close connections, and that it has
	// room again after it closed some.
	ClosingBegan(lacking Resource, l Load)
	ClosingEnded(closed int, since time.Duration)
}

// Gate decides which new connections of callers a host takes. Without room for all it takes a part of them,
// evenly spread; the others are closed, or wait a moment if many come. Meter and Observer have to be set before
// use. It is safe for concurrent use.
type Gate struct {
	Meter    *Meter
	Observer Observer
	// MaxConns bounds the open connections; zero sets no bound.
	MaxConns int

	mu sync.Mutex
	// open is the number of connections taken and not closed yet, and waiting of those to be offered again.
	open, waiting int
	// closings allows connections to be closed at once.
	closings *rate.Limiter
	// toClose is the number of connections, or a fraction of one, that are due to be closed unread, and toEnd
	// of those that are due to end with their answer.
	toClose, toEnd float64
	takenAt        time.Time
	// closed counts the connections closed since closingSince; lastClosedAt is the time of the last one.
	closed                     int
	closingSince, lastClosedAt time.Time
}

// Take returns the connection to serve; nil if there is no room for it. It is closed then, or if wait is set, it is to
// be offered again after OfferInterval. offers is how often it was offered before.
func (g *Gate) Take(now time.Time, c net.Conn, offers int) (taken net.Conn, wait bool) {
	load := g.Meter.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	if offers > 0 {
		g.waiting--
	}
	lacking, full := g.lacks(now, load)
	if full && g.mayWait(now, offers) {
		g.waiting++
		return nil, true
	}
	if full {
		g.recordClosed(now, lacking, load)
		// Nothing was read, so nothing is lost with the error.
		_ = c.Close()
		return nil, false
	}
	if g.closed > 0 && now.Sub(g.lastClosedAt) > closingQuietTime {
		g.Observer.ClosingEnded(g.closed, g.lastClosedAt.Sub(g.closingSince))
		g.closed = 0
	}
	g.takenAt = now
	g.open++
	g.Observer.ConnectionTaken()
	return &takenConn{Conn: g.Meter.Link.CountCaller(c), gate: g}, false
}

// mayWait reports whether a connection for which there is no room waits instead of being closed at once. The mutex is
// held.
func (g *Gate) mayWait(now time.Time, offers int) bool {
	if g.closings == nil {
		share := g.Meter.ProcessorShare
		if share <= 0 {
			share = 1
		}
		g.closings = rate.NewLimiter(rate.Limit(closingsPerProcessor*share), int(closingsPerProcessor*share*OfferInterval.Seconds())+1)
	}
	if g.waiting >= maxWaiting || g.MaxConns > 0 && g.open+g.waiting >= g.MaxConns {
		return false
	}
	return offers+1 < maxOffers && (offers > 0 || !g.closings.AllowN(now, 1))
}

// lacks returns the resource for the lack of which the next connection is to be closed. The mutex is held.
func (g *Gate) lacks(now time.Time, load Load) (Resource, bool) {
	if g.MaxConns > 0 && g.open >= g.MaxConns {
		return Descriptors, true
	}
	share, lacking := load.closeShare()
	if g.toClose += share; g.toClose < 1 {
		return "", false
	}
	g.toClose--
	return lacking, now.Sub(g.takenAt) < maxTakeInterval
}

// recordClosed counts a connection that is closed. The mutex is held.
func (g *Gate) recordClosed(now time.Time, lacking Resource, load Load) {
	if g.closed == 0 {
		g.closingSince = now
		g.Observer.ClosingBegan(lacking, load)
	}
	g.closed++
	g.lastClosedAt = now
	g.Observer.ConnectionClosed(lacking)
}

// Keep reports whether a connection may be used for another request after an answer. A part of the callers
// is made to connect again while there isn't room for all.
func (g *Gate) Keep() bool {
	share, _ := g.Meter.Load().closeShare()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.toEnd += share; g.toEnd < 1 {
		return true
	}
	g.toEnd--
	return false
}

// takenConn is a connection that counts as open until it is closed.
type takenConn struct {
	net.Conn
	gate *Gate
	once sync.Once
}

// NetConn returns the underlying connection.
func (c *takenConn) NetConn() net.Conn { return c.Conn }

// Close closes the connection.
func (c *takenConn) Close() error {
	c.once.Do(func() {
		c.gate.mu.Lock()
		defer c.gate.mu.Unlock()
		c.gate.open--
	})
	return c.Conn.Close()
}
