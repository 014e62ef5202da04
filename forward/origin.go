// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/quarantine"
	"github.com/shedpath/shedpath/rollout"
)

// OriginUpdate is what a full read or a watch of an Origin returned, as of a revision.
type OriginUpdate struct {
	// Config is nil if the configuration hasn't changed or doesn't exist yet.
	Config *Config
	// Changes are those of the list of upstreams.
	Changes []Change
	// ZoneOrders are orders about zones; after Read, every order in force.
	ZoneOrders []ZoneOrder
	// HeldRequests are requests held in quarantine, as they were saved.
	HeldRequests []quarantine.Mark
	// Rollouts are orders to move services to other versions, or withdrawals of such orders; after
	// Read, every order in force. RolloutRecords say how far the rollouts are.
	Rollouts, RolloutRecords []rollout.Status
	// Hosts are hosts of the site that were listed in its directory.
	Hosts []Peer
	// Revision is the point in the origin's history at which it answered.
	Revision history.Point
	// UnreadErr says why some of the entries couldn't be read or used; nil if all could.
	// UnreadCount is how many there were.
	UnreadErr   error
	UnreadCount int
}

// Origin stores the configuration and the list of upstreams.
type Origin interface {
	// Read returns everything: the configuration, and each upstream as a change. An answer that
	// doesn't state its era is taken to be of the known one.
	Read(ctx context.Context, known history.Era) (OriginUpdate, error)
	// Watch returns the next update after a point, or an empty one when the wait is over. The
	// update may be of a later era than the point, and is then incomplete.
	Watch(ctx context.Context, after history.Point, wait time.Duration) (OriginUpdate, error)
}

// HostsReader is an Origin that can read the hosts in the directory alone, which takes one call
// where Read may take many.
type HostsReader interface {
	Hosts(ctx context.Context) ([]Peer, error)
}

// ErrHistoryGone is returned by an Origin that no longer has the changes after a revision, or that
// was restored during a read: everything has to be read again.
var ErrHistoryGone = errors.New("the origin's history is gone: everything has to be read again")

// EraRegressedError says that the origin answered with an era before a known one. Such an answer
// was sent before a restore, or comes from another store.
type EraRegressedError struct{ Known, Received history.Point }

func (e *EraRegressedError) Error() string {
	return fmt.Sprintf("the origin is at %v, which is before the era of %v", e.Received, e.Known)
}

// ApplyUpdate applies an update of the origin, which holds the complete list or its changes. It
// returns the zone orders and the changes that made a difference.
func (f *Fleet) ApplyUpdate(now time.Time, update OriginUpdate, complete bool) ([]ZoneOrder, []Change) {
	f.enterEra(now, update.Revision, update.Revision, 0)
	if complete {
		return f.ReplaceZoneOrders(now, update.ZoneOrders, update.Revision), f.ReplaceEntries(now, update.Changes, update.Revision)
	}
	return f.ApplyZoneOrders(now, update.ZoneOrders), f.Apply(now, update.Changes, update.Revision)
}
