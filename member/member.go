// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package member decides which hosts are alive, which are leaving, and which
// entry has which soft duty. It is pure: heartbeats and host lists are told to
// it, with the time at which they came.
//
// What it decides is soft. Two entries may disagree for a moment, and then two
// may do one duty; no duty given out here may do harm when done twice.
package member

import "time"

// HostID names an entry host.
type HostID string

// Zone names an availability zone.
type Zone string

// Region names a group of zones that lie close together.
type Region string

// UpstreamID names a model engine or an instance of a plain service.
type UpstreamID string

// UpstreamKind tells engines from plain services.
type UpstreamKind string

// The kinds of upstream.
const (
	KindEngine  UpstreamKind = "engine"
	KindService UpstreamKind = "service"
)

// Entry is an entry host as the host list or a heartbeat gives it.
type Entry struct {
	ID          HostID
	Zone        Zone
	PeerAddress string
	// Capacity is how much the host can carry for others, relative to them: the rate of its
	// link in Mbit/s. Zero where that isn't known.
	Capacity int
}

// Upstream is an upstream as the host list gives it.
type Upstream struct {
	ID      UpstreamID
	Zone    Zone
	Address string
	// Pool is the engine pool's or the plain service's name.
	Pool    string
	Kind    UpstreamKind
	Leaving bool
}

// HostList is the platform's list, which lags behind reality.
type HostList struct {
	Entries   []Entry
	Upstreams []Upstream
}

// Heartbeat periods and limits.
const (
	HeartbeatInterval = time.Second
	// SuspectTimeout is how long after its last heartbeat an entry counts as
	// alive.
	SuspectTimeout = 3 * time.Second
	// ForgetTimeout is how long a silent entry that the host list doesn't name
	// is still tried.
	ForgetTimeout = 10 * time.Minute
)
