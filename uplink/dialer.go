// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package uplink

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/shedpath/shedpath/member"
)

const (
	// headStart is how long an attempt may take before the next one starts beside it, as in RFC 8305.
	// A handshake takes a few milliseconds.
	headStart = 50 * time.Millisecond
	// dialTimeout bounds all attempts to connect to an upstream together.
	dialTimeout = 400 * time.Millisecond
	// maxPeers bounds the peers that are asked to connect to one upstream, without those that are
	// found cut off from it themselves. maxAsked bounds all of them.
	maxPeers = 4
	maxAsked = 16
)

// Outcome is how an attempt to connect to an upstream ended.
type Outcome string

// The outcomes.
const (
	Direct      Outcome = "direct"
	ThroughPeer Outcome = "through_peer"
	// NotReached: every way failed or took too long.
	NotReached Outcome = "not_reached"
	// Skipped: nothing was attempted, as the upstream had just been found unreachable.
	Skipped Outcome = "skipped"
)

// Network opens the connections of a Dialer.
type Network interface {
	// DialDirect opens a connection over the own link.
	DialDirect(ctx context.Context, t Target) (net.Conn, error)
	// Peers returns the peers that may be asked to connect to the upstream, the best first.
	Peers(t Target) []member.Entry
	// DialThrough asks a peer to connect to the upstream over its own link.
	DialThrough(ctx context.Context, peer member.Entry, t Target) (net.Conn, error)
}

// Observer is told what a Dialer finds. Its methods must not block.
type Observer interface {
	// Connected counts an attempt to connect to an upstream.
	Connected(Outcome)
	// Rerouted records that a request goes through a peer, and why the own link wasn't used; err is
	// nil if it was known to be broken, or had given no result.
	Rerouted(t Target, peer member.HostID, err error)
	// LinksChanged records a change of the own links to a service.
	LinksChanged(Change)
}

// Dialer connects to upstreams over the own link, and through a peer where that fails or takes long.
// It is safe for concurrent use.
type Dialer struct {
	// Network and Observer are required, and set before the first Dial.
	Network  Network
	Observer Observer
	// Now returns the time by which the dialer decides.
	Now func() time.Time

	paths Paths
	// late are the attempts for which no Dial waits any more.
	late sync.WaitGroup
}

// Conn is a connection to an upstream.
type Conn struct {
	net.Conn
	// Peer is the peer that the connection goes through; empty if it is direct.
	Peer member.HostID
}

// attempt is the result of one way to an upstream.
type attempt struct {
	conn net.Conn
	// peer is the host that was asked; empty for the own link.
	peer member.HostID
	err  error
}

// Dial connects to an upstream. If it isn't reached, the error is a *DialError.
func (d *Dialer) Dial(ctx context.Context, t Target) (*Conn, error) {
	plan := d.paths.Plan(d.Now(), t)
	if plan.Refuse {
		d.Observer.Connected(Skipped)
		return nil, &DialError{Cause: ErrUnreachable}
	}
	r := race{dialer: d, target: t, results: make(chan attempt, maxAsked+1), failed: DialError{Peers: map[member.HostID]error{}}}
	c, err := r.run(ctx, plan)
	now := d.Now()
	if err != nil {
		if ctx.Err() == nil {
			d.paths.NotReached(now, t, errors.Is(err, context.DeadlineExceeded))
		}
		d.Observer.Connected(NotReached)
		return nil, err
	}
	if c.Peer == "" {
		d.reachedDirectly(now, t)
		d.Observer.Connected(Direct)
		return c, nil
	}
	if change, changed := d.paths.ReachedThroughPeer(now, c.Peer, t); changed {
		d.Observer.LinksChanged(change)
	}
	d.Observer.Rerouted(t, c.Peer, r.failed.Direct)
	d.Observer.Connected(ThroughPeer)
	return c, nil
}

func (d *Dialer) reachedDirectly(now time.Time, t Target) {
	if change, changed := d.paths.ReachedDirectly(now, t); changed {
		d.Observer.LinksChanged(change)
	}
}

// DialDirect connects to an upstream over the own link only, for a peer that doesn't reach it.
func (d *Dialer) DialDirect(ctx context.Context, t Target) (net.Conn, error) {
	if d.paths.DirectFails(d.Now(), t) {
		return nil, ErrUnreachable
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := d.Network.DialDirect(ctx, t)
	if err != nil {
		return nil, err
	}
	d.reachedDirectly(d.Now(), t)
	return c, nil
}

// CutOff returns the services that this host reaches through peers only.
func (d *Dialer) CutOff() []ServiceName { return d.paths.CutOff() }

// Wait waits for the attempts that were still running when Dial returned.
func (d *Dialer) Wait() { d.late.Wait() }

// race attempts the ways to an upstream one after the other, each with a head start.
type race struct {
	dialer *Dialer
	target Target
	// results receives the result of every attempt; it has room for all of them.
	results chan attempt
	// pending counts the attempts under way, and directPending says that the own link is one.
	pending       int
	directPending bool
	// directTried says that the own link was attempted.
	directTried bool
	// peers are the peers that are left to ask; nil before they are looked up.
	peers       []member.Entry
	peersListed bool
	// asked counts the peers that were asked and aren't known to be cut off themselves.
	asked  int
	failed DialError
}

// run returns the first connection that is made.
func (r *race) run(ctx context.Context, plan Plan) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	// The own link's attempt goes on without this context if a peer is quicker.
	direct, cancelDirect := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancelDirect)
	defer func() {
		if r.directPending && stop() {
			r.drainLate(cancelDirect)
		} else {
			cancelDirect()
			r.drain()
		}
		cancel()
	}()
	if plan.Direct {
		r.startDirect(direct)
	}
	if plan.Peers && !r.startPeer(ctx) && !r.directTried {
		r.startDirect(direct)
	}
	next := time.NewTimer(headStart)
	defer next.Stop()
	for r.pending > 0 {
		select {
		case a := <-r.results:
			r.pending--
			r.directPending = r.directPending && a.peer != ""
			if a.err == nil {
				return &Conn{Conn: a.conn, Peer: a.peer}, nil
			}
			r.recordFailure(a)
			r.startNext(ctx, direct)
			next.Reset(headStart)
		case <-next.C:
			r.startNext(ctx, direct)
			next.Reset(headStart)
		case <-ctx.Done():
			r.failed.Cause = context.Cause(ctx)
			return nil, &r.failed
		}
	}
	return nil, &r.failed
}

// connect calls dial, whose panic is an error like any other: it runs in a goroutine of its own, where it
// would end the process.
func connect(dial func() (net.Conn, error)) (c net.Conn, err error) {
	defer func() {
		if reason := recover(); reason != nil {
			c, err = nil, fmt.Errorf("the dial panicked: %v\n%s", reason, debug.Stack())
		}
	}()
	return dial()
}

// startNext starts the next attempt, if one is left.
func (r *race) startNext(ctx, direct context.Context) {
	if !r.startPeer(ctx) && !r.directTried {
		r.startDirect(direct)
	}
}

func (r *race) startDirect(ctx context.Context) {
	r.directTried, r.directPending = true, true
	r.pending++
	go func() {
		c, err := connect(func() (net.Conn, error) { return r.dialer.Network.DialDirect(ctx, r.target) })
		r.results <- attempt{conn: c, err: err}
	}()
}

// startPeer asks the next peer. It reports false if none is left.
func (r *race) startPeer(ctx context.Context) bool {
	if !r.peersListed {
		r.peers, r.peersListed = r.dialer.peers(r.target), true
	}
	if len(r.peers) == 0 || r.asked >= maxPeers {
		return false
	}
	r.asked++
	peer := r.peers[0]
	r.peers = r.peers[1:]
	r.pending++
	go func() {
		c, err := connect(func() (net.Conn, error) { return r.dialer.Network.DialThrough(ctx, peer, r.target) })
		r.results <- attempt{conn: c, peer: peer.ID, err: err}
	}()
	return true
}

// peers returns the peers to ask, those last that recently didn't reach the service. The one that did
// so last is the second: where few reach it, it is found soon, and where many do, they share the load.
func (d *Dialer) peers(t Target) []member.Entry {
	now := d.Now()
	last := d.paths.LastCarrier(now, t.Service)
	var peers, avoided []member.Entry
	for _, p := range d.Network.Peers(t) {
		switch {
		case p.ID == last:
			peers = slices.Insert(peers, min(1, len(peers)), p)
		case d.paths.Avoids(now, p.ID, t.Service):
			avoided = append(avoided, p)
		default:
			peers = append(peers, p)
		}
	}
	if len(peers) > 1 && peers[0].ID == last {
		peers[0], peers[1] = peers[1], peers[0]
	}
	peers = append(peers, avoided...)
	return peers[:min(len(peers), maxAsked)]
}

func (r *race) recordFailure(a attempt) {
	if a.peer == "" {
		r.failed.Direct = a.err
		return
	}
	r.failed.Peers[a.peer] = a.err
	switch {
	case errors.Is(a.err, ErrPortClosed):
		return
	case errors.Is(a.err, ErrUnreachable):
		r.asked--
	}
	r.dialer.paths.PeerFailed(r.dialer.Now(), a.peer, r.target)
}

// drain closes the connections of the attempts that were too late.
func (r *race) drain() {
	for range r.pending {
		r.dialer.late.Go(func() { closeLate(<-r.results) })
	}
}

// drainLate is like drain, but lets the own link's attempt go on: a link that is slow isn't broken.
func (r *race) drainLate(cancelDirect context.CancelFunc) {
	d := r.dialer
	timer := time.AfterFunc(dialTimeout, cancelDirect)
	pending := r.pending
	d.late.Go(func() {
		defer cancelDirect()
		defer timer.Stop()
		for range pending {
			a := <-r.results
			if a.peer == "" && a.err == nil {
				d.reachedDirectly(d.Now(), r.target)
			}
			closeLate(a)
		}
	})
}

// closeLate closes a connection that came too late. Its error is dropped: nothing was sent.
func closeLate(a attempt) {
	if a.conn != nil {
		_ = a.conn.Close()
	}
}
