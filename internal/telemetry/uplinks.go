// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/uplink"
)

// Uplinks logs and counts connections to upstreams.
type Uplinks struct {
	connections, carried *prometheus.CounterVec
	log                  func(keyvals []any)
	// sampled reports whether lines about a request are logged.
	sampled func(request string) bool
}

func newUplinks(r *registry, log func(keyvals []any), sampled func(request string) bool) *Uplinks {
	return &Uplinks{
		connections: r.counter("upstream_connections_total", "Attempts to connect to an upstream, by outcome.", "outcome"),
		carried:     r.counter("carried_connections_total", "Connections to upstreams that peers asked this host for, by outcome.", "outcome"),
		log:         log, sampled: sampled,
	}
}

// Connected counts an attempt to connect to an upstream.
func (u *Uplinks) Connected(outcome uplink.Outcome) {
	u.connections.WithLabelValues(string(outcome)).Inc()
}

// Rerouted logs that a request goes through a peer.
func (u *Uplinks) Rerouted(t uplink.Target, peer member.HostID, err error) {
	if t.Request != "" && u.sampled(t.Request) {
		u.log([]any{"msg", "connected through a peer", "request", t.Request, "upstream", t.ID, "peer", peer, "err", err})
	}
}

// LinksChanged logs that this host was cut off from a service, or reaches it again.
func (u *Uplinks) LinksChanged(c uplink.Change) {
	event := "service reached again"
	if c.CutOff {
		event = "cut off from a service"
	}
	u.log([]any{"msg", event, "service", c.Service, "upstreams", c.Upstreams, "since", c.For})
}

// Carried logs and counts a connection that a peer asked for.
func (u *Uplinks) Carried(from member.HostID, t uplink.Target, err error) {
	outcome := "carried"
	if err != nil {
		outcome = err.Error()
	}
	u.carried.WithLabelValues(outcome).Inc()
	if t.Request != "" && u.sampled(t.Request) {
		u.log([]any{"msg", "connection for a peer", "request", t.Request, "peer", from, "upstream", t.ID, "outcome", outcome})
	}
}
