// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"slices"
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/rejection"
)

// rejectionSite presents this host and its peers to a rejection.Budget.
type rejectionSite struct{ *Forwarder }

// Hosts returns the highest recent number of hosts: one that is cut off still sends.
func (s rejectionSite) Hosts() int { return s.peers.recentMaxHosts(s.now()) }

// Position returns this host's position in an upstream's order of the known hosts.
func (s rejectionSite) Position(id member.UpstreamID) int {
	s.peers.mu.Lock()
	hosts := []Peer{s.peers.self}
	for _, p := range s.peers.known {
		hosts = append(hosts, p.Peer)
	}
	s.peers.mu.Unlock()
	return slices.IndexFunc(member.Rank(string(id), hosts), func(p Peer) bool { return p.ID == s.peers.self.ID })
}

// rejectionUpstream returns what the budget of rejections needs to know of an upstream. An engine may
// run out of memory before it runs out of slots, so none of its slots is certain.
func (f *Forwarder) rejectionUpstream(u Upstream) rejection.Upstream {
	r := rejection.Upstream{ID: u.ID, Service: rejection.ServiceName(u.Service), Slots: u.Slots}
	if t := f.table.Load(); t != nil {
		if s, found := t.Service(u.Service); found && s.Engine != nil {
			r.Slots = 0
		}
	}
	return r
}

// rejectionDelay returns how long it is until an upstream may be sent a request that it may have to
// reject.
func (f *Forwarder) rejectionDelay(now time.Time, u Upstream) time.Duration {
	if !f.rejections.Active() {
		return 0
	}
	wait := f.rejections.Delay(now, f.rejectionUpstream(u), rejectionSite{f})
	f.wakeBorrowing(wait)
	return wait
}

// beginRejectable counts a request that an upstream may reject, unless it has to wait.
func (f *Forwarder) beginRejectable(now time.Time, u Upstream, force bool) (rejection.Ticket, time.Duration) {
	if !f.rejections.Active() {
		return rejection.Ticket{}, 0
	}
	t, wait := f.rejections.Begin(now, f.rejectionUpstream(u), rejectionSite{f}, force)
	f.wakeBorrowing(wait)
	return t, wait
}

// recordRejectionLimit records the limit that an upstream's answer announces, or that it announces none.
func (f *Forwarder) recordRejectionLimit(now time.Time, u Upstream, s Signals) {
	service := rejection.ServiceName(u.Service)
	switch {
	case s.RejectionLimit.Announced:
		f.observer.Signal(SignalRejectionLimit)
		if f.rejections.Announced(now, service, s.RejectionLimit.PerSecond) {
			f.journal.HostEvent("rejections limited", "service", service, "upstream", u.ID, "per_second", s.RejectionLimit.PerSecond)
			f.peers.notifyAll()
		}
	case s.FromUpstream && f.rejections.Ended(now, service):
		f.journal.HostEvent("rejections not limited any more", "service", service, "upstream", u.ID)
	}
}

// receiveRejectionLimits records the limits that a peer reports.
func (f *Forwarder) receiveRejectionLimits(now time.Time, from member.HostID, all []rejection.Announcement) {
	for _, a := range all {
		if f.rejections.Receive(now, a) {
			f.journal.HostEvent("rejections limited", "service", a.Service, "peer", from, "per_second", a.Limit)
		}
	}
}
