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

// OriginUpdate is what an Origin has that is new, as of a revision.
type OriginUpdate struct {
	// Config is nil when the configuration isn't new, or isn't there yet.
	Config *Config
	// Changes are those of the list of upstreams.
	Changes []Change
	// ZoneOrders are orders about zones: with Read, every one that holds.
	ZoneOrders []ZoneOrder
	// HeldRequests are requests that are held, as they were kept.
	HeldRequests []quarantine.Mark
	// Rollouts are orders to move services to other versions, or that such an order was taken
	// back; with Read, every one that holds. RolloutRecords are how far they are.
	Rollouts, RolloutRecords []rollout.Status
	// Hosts are hosts of the site that were put on its directory.
	Hosts []Peer
	// Revision is where in the origin's history it answered.
	Revision history.Point
	// UnreadErr says of some entries why they couldn't be read or used; nil when all
	// could. UnreadCount is how many there were.
	UnreadErr   error
	UnreadCount int
}

// Origin is where the configuration and the list of upstreams are kept.
type Origin interface {
	// Read returns everything: the configuration, and each upstream as a
	// change. An answer that doesn't tell its era is taken to be of the known one.
	Read(ctx context.Context, known history.Era) (OriginUpdate, error)
	// Watch returns the next news after a point, or none when the wait is
	// over. They may be of a later era than that point, and are then not all.
	Watch(ctx context.Context, after history.Point, wait time.Duration) (OriginUpdate, error)
}

// HostsReader is an Origin that can tell the hosts on the directory alone, which takes one call where
// Read may take many.
type HostsReader interface {
	Hosts(ctx context.Context) ([]Peer, error)
}

// ErrHistoryGone is an Origin's word that it no longer has the changes after a
// revision: all has to be read again.
var ErrHistoryGone = errors.New("the history is gone")

// EraRegressedError says that the origin told an era before one that is known. Such an answer was
// under way since before a restore, or comes from another store.
type EraRegressedError struct{ Known, Received history.Point }

func (e *EraRegressedError) Error() string {
	return fmt.Sprintf("the origin is at %v, which is before the era of %v", e.Received, e.Known)
}

// ApplyUpdate takes the origin's list in, the whole of it or what is new. It returns what made a
// difference.
func (f *Fleet) ApplyUpdate(now time.Time, news OriginUpdate, whole bool) ([]ZoneOrder, []Change) {
	f.enterEra(now, news.Revision, news.Revision, 0)
	if whole {
		return f.ReplaceZoneOrders(now, news.ZoneOrders, news.Revision), f.ReplaceEntries(now, news.Changes, news.Revision)
	}
	return f.ApplyZoneOrders(now, news.ZoneOrders), f.Apply(now, news.Changes, news.Revision)
}
