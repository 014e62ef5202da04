// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package uplink

import (
	"sync"
	"time"

	"github.com/shedpath/shedpath/member"
)

const (
	// retryDelay is how long after a failure of the own link to an upstream connections go through
	// peers only. The next connection after it is attempted both ways.
	retryDelay = time.Second
	// unreachableDelay is how long after an upstream was reached in no way within the time for it
	// further connections fail at once.
	unreachableDelay = 500 * time.Millisecond
	// cutOffUpstreams is how many upstreams of a service a host reaches through peers only, and no
	// other one by itself, before it counts as cut off from the service.
	cutOffUpstreams = 2
	// peerAvoidance is how long a peer that didn't reach an upstream of a service is asked last.
	peerAvoidance = 2 * time.Second
	// carrierLifetime is how long the peer that last reached a service is preferred.
	carrierLifetime = 10 * time.Second
	// maxPaths is the number of remembered upstreams at which unused ones are dropped, and
	// pathLifetime is how long one counts as used.
	maxPaths     = 4096
	pathLifetime = time.Minute
)

// Plan says in which order the ways to an upstream are attempted.
type Plan struct {
	// Direct says that the own link is attempted at once, and Peers that a peer is.
	Direct, Peers bool
	// Refuse says that nothing is attempted, because the upstream was just found unreachable.
	Refuse bool
}

// Change is a change of what a host knows about its own links to a service.
type Change struct {
	Service ServiceName
	// CutOff says that the host reaches the service through peers only; otherwise it has reached it
	// by itself again.
	CutOff bool
	// Upstreams is how many upstreams were found out of reach.
	Upstreams int
	// For is the time since the first of them was.
	For time.Duration
}

// Paths holds what a host has learned from its connections about the ways to upstreams. The zero
// value is ready to use. It is safe for concurrent use.
type Paths struct {
	mu        sync.Mutex
	upstreams map[member.UpstreamID]*path
	services  map[ServiceName]*serviceLinks
	// avoided holds until when peers are asked last for a service.
	avoided map[peerService]time.Time
	// carriers holds the peer that last reached each service for this host.
	carriers map[ServiceName]carriedBy
}

type carriedBy struct {
	peer member.HostID
	at   time.Time
}

type peerService struct {
	peer    member.HostID
	service ServiceName
}

// path is what is known of the ways to one upstream.
type path struct {
	// directFailed says that the last attempt over the own link failed.
	directFailed bool
	// nextDirect is when the own link is attempted again; it has no meaning unless directFailed.
	nextDirect time.Time
	// unreachableUntil is until when connections fail at once; zero if the upstream was reached.
	unreachableUntil time.Time
	usedAt           time.Time
}

// serviceLinks is what is known of the own links to a service's upstreams.
type serviceLinks struct {
	// unreached holds the upstreams that were reached through a peer only, with the time at which
	// they were found so. It is emptied when the own link reaches any of the service's upstreams.
	unreached map[member.UpstreamID]time.Time
	cutOff    bool
	// nextDirect is when the own link to an upstream of which nothing is known is attempted.
	nextDirect time.Time
}

// Plan returns how to attempt a connection.
func (p *Paths) Plan(now time.Time, t Target) Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.upstreams[t.ID]
	links := p.services[t.Service]
	if k == nil {
		if links == nil || !links.cutOff {
			return Plan{Direct: true}
		}
		k = p.path(now, t.ID)
		k.directFailed, k.nextDirect = true, links.nextDirect
	}
	k.usedAt = now
	if now.Before(k.unreachableUntil) {
		return Plan{Refuse: true}
	}
	if !k.unreachableUntil.IsZero() {
		// One connection finds out whether the upstream is reached again.
		k.unreachableUntil = now.Add(unreachableDelay)
		return Plan{Direct: true, Peers: true}
	}
	if !k.directFailed {
		return Plan{Direct: true}
	}
	if now.Before(k.nextDirect) {
		return Plan{Peers: true}
	}
	k.nextDirect = now.Add(retryDelay)
	if links != nil {
		links.nextDirect = k.nextDirect
	}
	return Plan{Direct: true, Peers: true}
}

// path returns the state of an upstream, which it adds if it is missing. The mutex is held.
func (p *Paths) path(now time.Time, id member.UpstreamID) *path {
	k := p.upstreams[id]
	if k == nil {
		if p.upstreams == nil {
			p.upstreams = map[member.UpstreamID]*path{}
		}
		if len(p.upstreams) >= maxPaths {
			p.forgetUnused(now)
		}
		k = &path{}
		p.upstreams[id] = k
	}
	k.usedAt = now
	return k
}

// forgetUnused drops the upstreams that weren't connected to for pathLifetime. The mutex is held.
func (p *Paths) forgetUnused(now time.Time) {
	for id, k := range p.upstreams {
		if now.Sub(k.usedAt) > pathLifetime {
			delete(p.upstreams, id)
		}
	}
}

// ReachedDirectly records that the own link reached an upstream. It reports whether the host had
// been cut off from the service.
func (p *Paths) ReachedDirectly(now time.Time, t Target) (Change, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.upstreams, t.ID)
	links := p.services[t.Service]
	if links == nil {
		return Change{}, false
	}
	delete(p.services, t.Service)
	if !links.cutOff {
		return Change{}, false
	}
	change := links.change(now, t.Service)
	change.CutOff = false
	for id := range links.unreached {
		if k := p.upstreams[id]; k != nil {
			k.nextDirect = now
		}
	}
	return change, true
}

// ReachedThroughPeer records that a peer reached an upstream which the own link didn't reach. It
// reports whether the host counts as cut off from the service from now on.
func (p *Paths) ReachedThroughPeer(now time.Time, peer member.HostID, t Target) (Change, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.carriers == nil {
		p.carriers = map[ServiceName]carriedBy{}
	}
	p.carriers[t.Service] = carriedBy{peer: peer, at: now}
	k := p.path(now, t.ID)
	k.unreachableUntil = time.Time{}
	if !k.directFailed {
		k.directFailed, k.nextDirect = true, now.Add(retryDelay)
	}
	links := p.services[t.Service]
	if links == nil {
		links = &serviceLinks{unreached: map[member.UpstreamID]time.Time{}}
		if p.services == nil {
			p.services = map[ServiceName]*serviceLinks{}
		}
		p.services[t.Service] = links
	}
	if _, known := links.unreached[t.ID]; !known {
		links.unreached[t.ID] = now
	}
	if links.cutOff || len(links.unreached) < cutOffUpstreams {
		return Change{}, false
	}
	links.cutOff, links.nextDirect = true, now.Add(retryDelay)
	return links.change(now, t.Service), true
}

// change describes the state of the links to a service.
func (l *serviceLinks) change(now time.Time, service ServiceName) Change {
	c := Change{Service: service, CutOff: l.cutOff, Upstreams: len(l.unreached)}
	for _, since := range l.unreached {
		c.For = max(c.For, now.Sub(since))
	}
	return c
}

// NotReached records that an upstream was reached in no way. timedOut says that the attempts took
// all of their time, as opposed to being refused.
func (p *Paths) NotReached(now time.Time, t Target, timedOut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !timedOut {
		if k := p.upstreams[t.ID]; k != nil {
			k.unreachableUntil = time.Time{}
		}
		return
	}
	p.path(now, t.ID).unreachableUntil = now.Add(unreachableDelay)
}

// LastCarrier returns the peer that recently reached a service for this host; empty if there is none.
func (p *Paths) LastCarrier(now time.Time, service ServiceName) member.HostID {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.carriers[service]; now.Sub(c.at) < carrierLifetime {
		return c.peer
	}
	return ""
}

// PeerFailed records that a peer didn't reach an upstream.
func (p *Paths) PeerFailed(now time.Time, peer member.HostID, t Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.avoided == nil {
		p.avoided = map[peerService]time.Time{}
	}
	for key, until := range p.avoided {
		if !now.Before(until) {
			delete(p.avoided, key)
		}
	}
	p.avoided[peerService{peer, t.Service}] = now.Add(peerAvoidance)
	if p.carriers[t.Service].peer == peer {
		delete(p.carriers, t.Service)
	}
}

// Avoids reports whether a peer recently didn't reach an upstream of the service.
func (p *Paths) Avoids(now time.Time, peer member.HostID, service ServiceName) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.avoided[peerService{peer, service}])
}

// DirectFails reports whether the own link to an upstream is known to be broken, so that this host
// is of no use to a peer that wants to reach it.
func (p *Paths) DirectFails(now time.Time, t Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k := p.upstreams[t.ID]; k != nil {
		return k.directFailed && now.Before(k.nextDirect)
	}
	links := p.services[t.Service]
	return links != nil && links.cutOff && now.Before(links.nextDirect)
}

// CutOff returns the services that this host reaches through peers only.
func (p *Paths) CutOff() []ServiceName {
	p.mu.Lock()
	defer p.mu.Unlock()
	var services []ServiceName
	for name, links := range p.services {
		if links.cutOff {
			services = append(services, name)
		}
	}
	return services
}
