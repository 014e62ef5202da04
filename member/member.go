// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package member decides which hosts are alive, which are leaving, and which
// entry has which role, such as the coordinator of a pool. It does no I/O and
// reads no clock: callers pass in heartbeats and host lists with the time at
// which they arrived.
//
// Roles are not exclusive. Two entries may disagree for a moment, and then both
// carry out one role. A role that is assigned here must therefore do no harm
// when it is carried out twice.
package member

import "time"

// HostID is the id of an entry host.
type HostID string

// Zone is the name of an availability zone.
type Zone string

// Region is the name of a group of zones that are close to each other.
type Region string

// UpstreamID is the id of a model engine or of an instance of a plain service.
type UpstreamID string

// UpstreamKind distinguishes engines from plain services.
type UpstreamKind string

// The kinds of upstream.
const (
	KindEngine  UpstreamKind = "engine"
	KindService UpstreamKind = "service"
)

// Entry describes an entry host, as read from the host list or a heartbeat.
type Entry struct {
	ID          HostID
	Zone        Zone
	PeerAddress string
	// Capacity is the rate of the host's network link in Mbit/s, which weighs how much traffic
	// the host can relay for others. Zero means unknown.
	Capacity int
}

// Upstream describes an upstream, as read from the host list.
type Upstream struct {
	ID      UpstreamID
	Zone    Zone
	Address string
	// Pool is the name of the engine pool or of the plain service.
	Pool    string
	Kind    UpstreamKind
	Leaving bool
}

// HostList is the platform's list of hosts. It lags behind the actual state.
type HostList struct {
	Entries   []Entry
	Upstreams []Upstream
	// Unusable says why a registration was left out; nil if none was.
	Unusable error
}

// The heartbeat interval and the time limits that depend on it.
const (
	// HeartbeatInterval is the time between two heartbeats to a peer, before
	// jitter.
	HeartbeatInterval = time.Second
	// SuspectTimeout is how long an entry counts as alive after its last
	// heartbeat.
	SuspectTimeout = 3 * time.Second
	// ForgetTimeout is how long an entry that sends no heartbeats and isn't on
	// the host list is still contacted.
	ForgetTimeout = 10 * time.Minute
)
