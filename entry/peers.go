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

// Heartbeat is the state that entries exchange about once a second.
type Heartbeat struct {
	From     member.Entry
	Revision resource.Revision
	// Leaving reports whether the sender is stopping.
	Leaving bool
	// LeavingUpstreams lists the upstreams that the sender knows to be leaving.
	LeavingUpstreams []member.UpstreamID
	// Zones holds the zone reports that the sender has, including its own zone's.
	Zones []ZoneStatus
	// Pools holds the states of the pools that the sender coordinates, and those of other zones'
	// pools that it relays within its zone.
	Pools []PoolStatus
	// Epoch identifies the sender's process, because a restarted process has lost what its
	// predecessor knew.
	Epoch uint64
	// Crashes holds marks of requests under which upstreams crashed, as far as the receiver may not
	// know them.
	Crashes []quarantine.Mark
	// Era is the platform's era as the sender knows it.
	Era history.Era
}

// addDelay adds the delay of a late heartbeat to the ages of the zone reports in it.
func (h *Heartbeat) addDelay(late time.Duration) {
	for i := range h.Zones {
		h.Zones[i].Age += late
	}
}

// ClaimRepair is the state that entries exchange while claims are repaired after a restore of the
// platform, and when an entry starts.
type ClaimRepair struct {
	// Era is the platform's era as the sender knows it.
	Era history.Era
	// Unfinished reports whether the sender is still repairing its claims.
	Unfinished bool
}

// ZoneStatus is a zone's report as the sender of a heartbeat knows it.
type ZoneStatus struct {
	Zone     member.Zone
	Revision resource.Revision
	Entries  int
	// Age is the time since the report was observed.
	Age time.Duration
}

// PoolStatus is a coordinator's summary of a pool in its zone.
type PoolStatus struct {
	Pool       resource.Name
	Zone       member.Zone
	FreeTokens policy.Tokens
	Waiting    int
	// Reports holds the engines' last load reports. They are sent only within the zone.
	Reports []policy.Report
}

// PlacedRun describes a run that holds a place, for a new coordinator.
type PlacedRun struct {
	Request         policy.Request
	Engine          member.UpstreamID
	GeneratedTokens policy.Tokens
}

// LogTail is a part of the configuration log. Snapshot is set if the requested entries are no
// longer kept.
type LogTail struct {
	Snapshot *resource.Snapshot
	Entries  []resource.LogEntry
}

// Peers is the client for calls to other entries.
type Peers interface {
	Heartbeat(ctx context.Context, to member.Entry, h Heartbeat) (Heartbeat, error)
	// Place asks the coordinator of a pool for places.
	Place(ctx context.Context, to member.Entry, pool resource.Name, requests []policy.Request) ([]policy.Decision, error)
	// Decided sends an entry the decisions about its queued requests.
	Decided(ctx context.Context, to member.Entry, pool resource.Name, decisions []policy.Decision) error
	// Finished reports to the coordinator the runs that have left their engines.
	Finished(ctx context.Context, to member.Entry, pool resource.Name, finished []policy.Finish) error
	// Running reports to a new coordinator the runs that hold places on its engines.
	Running(ctx context.Context, to member.Entry, pool resource.Name, runs []PlacedRun) error
	// ClaimRepair exchanges the states of the repair of claims.
	ClaimRepair(ctx context.Context, to member.Entry, r ClaimRepair) (ClaimRepair, error)
	// Log returns the configuration log after a revision.
	Log(ctx context.Context, to member.Entry, after resource.Revision) (LogTail, error)
}

// PeerHandler handles the calls that peers make through Peers.
type PeerHandler interface {
	OnHeartbeat(now time.Time, h Heartbeat) Heartbeat
	OnPlace(ctx context.Context, from member.HostID, pool resource.Name, requests []policy.Request) ([]policy.Decision, error)
	OnDecided(ctx context.Context, from member.HostID, pool resource.Name, decisions []policy.Decision) error
	OnFinished(ctx context.Context, pool resource.Name, finished []policy.Finish) error
	OnRunning(ctx context.Context, from member.HostID, pool resource.Name, runs []PlacedRun) error
	OnClaimRepair(now time.Time, r ClaimRepair) ClaimRepair
	OnLog(after resource.Revision) LogTail
	// OnLinkDown is called when the link on which a peer made its calls has broken.
	OnLinkDown(from member.HostID)
}
