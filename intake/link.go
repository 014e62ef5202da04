// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package intake

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// headerBytes are the headers of a TCP segment on Ethernet, with timestamps. The bytes of one read or write
	// count as one segment, and another one without data acknowledges it.
	headerBytes = 66
	// elasticShare is the part of the link's rate up to which a long transfer counts as load. It takes more if it
	// gets more, but yields that to other connections.
	elasticShare = 1.0 / 64
	// elasticBurst is how many bytes of a connection count in full before it is a long transfer.
	elasticBurst = 256 << 10
	// elasticCeiling is the part of the link's rate up to which long transfers fill the link, and minElasticRate what
	// they get in any case, all of them together.
	elasticCeiling, minElasticRate = 0.8, 0.05
)

// Link counts the bytes on a host's network link. The zero value is ready to use. It is safe for
// concurrent use.
type Link struct {
	// Callers, Upstreams and Tunnels count the bytes exchanged with them.
	Callers, Upstreams, Tunnels Traffic
	// Peers returns the bytes exchanged with peers so far, apart from tunnels; nil counts none.
	Peers func() (sent, received int64)

	// granted is how many bytes a long transfer may have counted as load so far, in each direction.
	granted atomic.Int64
	// elastic limits what long transfers send to callers and peers; nil if the rate of the link isn't known.
	elastic atomic.Pointer[rate.Limiter]
	// elasticMu makes a look at elastic and what is taken of it one step.
	elasticMu sync.Mutex
}

// CountCaller returns a caller's connection with its bytes counted. What a long answer sends waits while the link has
// no room for it.
func (l *Link) CountCaller(c net.Conn) net.Conn { return l.count(&l.Callers, c, true) }

// CountUpstream returns an upstream's connection with its bytes counted.
func (l *Link) CountUpstream(c net.Conn) net.Conn { return l.count(&l.Upstreams, c, false) }

// CountTunnel returns a tunnel's connection with its bytes counted. What a long answer sends waits like that to a
// caller.
func (l *Link) CountTunnel(c net.Conn) net.Conn { return l.count(&l.Tunnels, c, true) }

func (l *Link) count(t *Traffic, c net.Conn, limited bool) net.Conn {
	granted := l.granted.Load()
	return &countedConn{
		Conn: c, traffic: t, link: l, limited: limited,
		sent: allowance{left: elasticBurst, at: granted}, received: allowance{left: elasticBurst, at: granted},
	}
}

// grant adds to what long transfers may have counted, and adjusts what they may send to what the other traffic leaves
// of the link.
func (l *Link) grant(now time.Time, bytesPerSecond float64, since time.Duration, use float64) {
	l.granted.Add(int64(elasticShare * bytesPerSecond * since.Seconds()))
	limit := rate.Limit(max(elasticCeiling-use, minElasticRate) * bytesPerSecond)
	if limiter := l.elastic.Load(); limiter != nil {
		limiter.SetLimitAt(now, limit)
	} else if bytesPerSecond > 0 {
		l.elastic.Store(rate.NewLimiter(limit, elasticBurst))
	}
}

// takeElastic takes n bytes of what long transfers may send, or returns how long to wait before it is tried again.
// Nothing is reserved for a write that waits, which may be given up or find the link idle soon. A write takes all of its
// bytes once there is room for one, so that shorter ones don't overtake it for ever.
func (l *Link) takeElastic(now time.Time, n int) (wait time.Duration) {
	limiter := l.elastic.Load()
	if limiter == nil {
		return 0
	}
	l.elasticMu.Lock()
	defer l.elasticMu.Unlock()
	if room := limiter.TokensAt(now); room <= 0 {
		return minWriteWait + time.Duration(-room/float64(limiter.Limit())*float64(time.Second))
	}
	limiter.ReserveN(now, min(n, elasticBurst))
	return 0
}

// load returns how many bytes were sent and received so far that count as load.
func (l *Link) load() (sent, received int64) {
	if l.Peers != nil {
		sent, received = l.Peers()
	}
	for _, t := range []*Traffic{&l.Callers, &l.Upstreams, &l.Tunnels} {
		sent, received = sent+t.sentLoad.Load(), received+t.receivedLoad.Load()
	}
	return sent, received
}

// Traffic counts the bytes of connections, with their headers. The zero value is ready to use. It is safe
// for concurrent use.
type Traffic struct {
	sent, received         atomic.Int64
	sentLoad, receivedLoad atomic.Int64
}

// Bytes returns how many bytes were sent and received so far.
func (t *Traffic) Bytes() (sent, received int64) { return t.sent.Load(), t.received.Load() }
