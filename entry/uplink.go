// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"math/rand/v2"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/uplink"
)

// UplinkTarget returns the upstream at an address as a target of connections.
func (e *Entry) UplinkTarget(address string) (uplink.Target, bool) {
	e.members.mu.Lock()
	defer e.members.mu.Unlock()
	for _, u := range e.members.view.AllUpstreams() {
		if u.Address == address {
			return uplinkTarget(u), true
		}
	}
	return uplink.Target{}, false
}

func uplinkTarget(u member.Upstream) uplink.Target {
	return uplink.Target{ID: u.ID, Service: uplink.ServiceName(u.Pool), Zone: u.Zone, Address: u.Address}
}

// UplinkPeers returns the available entries that may pass on requests to an upstream. Entries of
// this zone and of others take turns, because a fault that cuts a whole zone off spares the others.
func (e *Entry) UplinkPeers(uplink.Target) []member.Entry {
	now := e.now()
	e.members.mu.Lock()
	var near, far []member.Entry
	for _, p := range e.members.view.Peers() {
		switch {
		case !e.members.view.Alive(now, p.ID):
		case p.Zone == e.self.Zone:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	e.members.mu.Unlock()
	return uplink.Alternate(rand.Shuffle, near, far)
}

// AuthorizeUplink returns the upstream that a peer wants to reach through this entry. The error is
// uplink.ErrDenied or uplink.ErrBusy.
func (e *Entry) AuthorizeUplink(t uplink.Target) (uplink.Target, error) {
	if e.Leaving() {
		return t, uplink.ErrBusy
	}
	u, known := e.members.Upstream(t.ID)
	if !known {
		return t, uplink.ErrDenied
	}
	return uplinkTarget(u), nil
}
