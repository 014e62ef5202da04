// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"net"
	"time"

	"github.com/shedpath/shedpath/entry"
	"github.com/shedpath/shedpath/internal/peer"
	"github.com/shedpath/shedpath/internal/socket"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/uplink"
)

// dialTimeout bounds a connection to an upstream over the own link.
const dialTimeout = time.Second

// upstreamNetwork connects to upstreams, through a peer if the own link is broken.
type upstreamNetwork struct {
	*peer.Mesh
	dialer *uplink.Dialer
	// entry is set before the first connection.
	entry *entry.Entry
	// direct opens a connection over the own link.
	direct func(ctx context.Context, network, address string) (net.Conn, error)
}

// DialContext connects to an address. Only upstreams on the host list are reached through peers.
func (n *upstreamNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	target, known := n.entry.UplinkTarget(address)
	if !known {
		return socket.Dial(n.direct)(ctx, network, address)
	}
	return n.dialer.Dial(ctx, target)
}

// DialDirect connects to an upstream over the own link.
func (n *upstreamNetwork) DialDirect(ctx context.Context, t uplink.Target) (net.Conn, error) {
	return socket.Dial(n.direct)(ctx, "tcp", t.Address)
}

// Peers returns the entries that may carry a connection to an upstream.
func (n *upstreamNetwork) Peers(t uplink.Target) []member.Entry { return n.entry.UplinkPeers(t) }

// Closed reports whether an upstream's port is closed, as far as it is known.
func (n *upstreamNetwork) Closed(ctx context.Context, u member.Upstream) (bool, error) {
	c, err := n.dialer.Dial(ctx, uplink.Target{ID: u.ID, Service: uplink.ServiceName(u.Pool), Zone: u.Zone, Address: u.Address})
	if err != nil {
		return uplink.PortClosed(err), err
	}
	return false, c.Close()
}
