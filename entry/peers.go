// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"time"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/quarantine"
	"github.com/shedpath/shedpath/resource"
)

// Heartbeat is what entries tell each other once a second.
type Heartbeat struct {
	From     member.Entry
	Revision resource.Revision
	// Leaving says that the sender is stopping.
	Leaving bool
	// LeavingUpstreams are those that the sender knows to be leaving.
	LeavingUpstreams []member.UpstreamID
	// Zones are the reports that the sender has, its own zone's among them.
	Zones []ZoneStatus
	// Pools are the states of the pools that the sender coordinates.
	Pools []PoolStatus
	// Epoch tells this process of the sender from an earlier one, which knew other
	// things, and Crashes are requests under which upstreams ended, as far as the
	// receiver may not know.
	Epoch   uint64
	Crashes []quarantine.Mark
	// Era is the platform's as the sender knows it.
	Era history.Era
}

// addDelay has what it tells be older: its word was late by that.
func (h *Heartbeat) addDelay(late time.Duration) {
	for i := range h.Zones {
		h.Zones[i].Age += late
	}
}

// ZoneStatus is a zone's report as the sender knows it.
type ZoneStatus struct {
	Zone     member.Zone
	Revision resource.Revision
	Entries  int
	// Age is how long ago the sender learned it.
	Age time.Duration
}

// PoolStatus is what a coordinator tells of its engines.
type PoolStatus struct {
	Pool    resource.Name
	Zone    member.Zone
	Free    policy.Tokens
	Waiting int
	// Reports are the engines' last ones; they go to the own zone only.
	Reports []policy.Report
}

// PlacedRun tells a new coordinator of a run that holds a place.
type PlacedRun struct {
	Request         policy.Request
	Engine          member.UpstreamID
	GeneratedTokens policy.Tokens
}

// LogTail is a part of the configuration log. Snapshot is set when the entries
// asked for are no longer kept.
type LogTail struct {
	Snapshot *resource.Snapshot
	Entries  []resource.LogEntry
}

// Peers is the interface to the other entries.
type Peers interface {
	Heartbeat(ctx context.Context, to member.Entry, h Heartbeat) (Heartbeat, error)
	// Place asks the coordinator of a pool for places.
	Place(ctx context.Context, to member.Entry, pool resource.Name, asked []policy.Request) ([]policy.Decision, error)
	// Decided tells an entry what became of its queued requests.
	Decided(ctx context.Context, to member.Entry, pool resource.Name, decisions []policy.Decision) error
	// Finished tells the coordinator of runs that left their engines.
	Finished(ctx context.Context, to member.Entry, pool resource.Name, finished []policy.Finish) error
	// Running tells a new coordinator what its engines carry.
	Running(ctx context.Context, to member.Entry, pool resource.Name, runs []PlacedRun) error
	// Log returns the configuration after a revision.
	Log(ctx context.Context, to member.Entry, after resource.Revision) (LogTail, error)
}

// PeerHandler serves the calls of Peers on the other side.
type PeerHandler interface {
	OnHeartbeat(now time.Time, h Heartbeat) Heartbeat
	OnPlace(ctx context.Context, from member.HostID, pool resource.Name, asked []policy.Request) ([]policy.Decision, error)
	OnDecided(ctx context.Context, from member.HostID, pool resource.Name, decisions []policy.Decision) error
	OnFinished(ctx context.Context, pool resource.Name, finished []policy.Finish) error
	OnRunning(ctx context.Context, from member.HostID, pool resource.Name, runs []PlacedRun) error
	OnLog(after resource.Revision) LogTail
	// OnLinkDown tells that the link on which a peer called broke.
	OnLinkDown(from member.HostID)
}
