// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"slices"
	"strings"
	"time"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
)

// ZoneOrder is an operator's order that takes the upstreams of an availability zone out of service,
// or the revocation of one, which puts them back in service.
type ZoneOrder struct {
	Zone member.Zone
	// OutOfService says that the zone's upstreams get no new work until the order is revoked.
	OutOfService bool
	// Unreadable says that there is an order that can't be decoded. It changes nothing.
	Unreadable bool
	// Revision is the point in the list's history at which the order was given, or at which it was
	// found to be revoked.
	Revision history.Point
	// BelievedFrom is when an order takes effect that comes from a restored list and differs from
	// what was known before the restore; zero for others.
	BelievedFrom time.Time
}

// zoneState is the newest order about a zone that this host knows.
type zoneState struct {
	ZoneOrder
	// learnedAt is when this host learned of the order.
	learnedAt time.Time
	// pending is the differing order in the copy from which the list was restored. It takes effect
	// at its BelievedFrom; nil for none.
	pending *ZoneOrder
}

// ApplyZoneOrders applies the orders that the list has had since the known revision; none may be
// missing. It must be called before Apply, which raises that revision. It returns the orders that
// changed whether a zone is in service.
func (f *Fleet) ApplyZoneOrders(now time.Time, orders []ZoneOrder) []ZoneOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	var changed []ZoneOrder
	for _, o := range orders {
		if f.applyZoneOrder(now, o) {
			changed = append(changed, o)
		}
	}
	f.notify(len(changed) > 0)
	return changed
}

// ReplaceZoneOrders applies all orders of the whole list as of a revision: a zone without an order
// is back in service. It must be called before the list of upstreams itself is replaced. It returns
// the orders and revocations that changed whether a zone is in service.
func (f *Fleet) ReplaceZoneOrders(now time.Time, orders []ZoneOrder, at history.Point) []ZoneOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	var changed []ZoneOrder
	listed := make(map[member.Zone]bool, len(orders))
	for _, o := range orders {
		listed[o.Zone] = o.OutOfService
		if f.applyZoneOrder(now, o) {
			changed = append(changed, o)
		}
	}
	for zone, known := range f.zones {
		restored := ZoneOrder{Zone: zone, Revision: at}
		switch {
		case listed[zone]:
		case !known.OutOfService:
			if at.After(known.Revision) {
				f.setZoneState(zoneState{ZoneOrder: restored, learnedAt: known.learnedAt})
			}
		case isFromEarlierEra(known.Revision, at):
			f.deferZoneOrder(restored)
		case f.applyZoneOrder(now, restored):
			changed = append(changed, restored)
		}
	}
	f.notify(len(changed) > 0)
	return changed
}

// impliedZoneOrders returns the orders of a follow reply, and a revocation for each zone that is out
// of service by an order which this host received ahead of the list and which the reply lacks: an
// order still in force would be in the reply.
func (f *Fleet) impliedZoneOrders(r FollowReply) []ZoneOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	orders := r.Zones
	for zone, known := range f.zones {
		listed := slices.ContainsFunc(r.Zones, func(o ZoneOrder) bool { return o.Zone == zone })
		if known.OutOfService && !listed && known.Revision.After(f.revision) && known.Revision.Before(r.ListRevision) {
			orders = append(orders, ZoneOrder{Zone: zone, Revision: r.ListRevision})
		}
	}
	return orders
}

// ReceiveZoneOrders applies orders from a peer's share, which may be older than what this host
// has. Orders up to the revision that is known here are ignored, as this host has them already,
// unless an order of a restored list is pending for the zone. It returns the orders that changed
// whether a zone is in service.
func (f *Fleet) ReceiveZoneOrders(now time.Time, orders []ZoneOrder) []ZoneOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	var changed []ZoneOrder
	for _, o := range orders {
		hasPending := f.zones[o.Zone].pending != nil
		if (o.Revision.After(f.revision) || hasPending) && f.applyZoneOrder(now, o) {
			changed = append(changed, o)
		}
	}
	f.notify(len(changed) > 0)
	return changed
}

// applyZoneOrder applies one order, unless it is no newer than the known one of its zone. An order of
// a restored list that differs from what was known before the restore stays pending until its
// BelievedFrom. It reports whether the zone's state of service changed. The mutex is held.
func (f *Fleet) applyZoneOrder(now time.Time, o ZoneOrder) bool {
	known, any := f.zones[o.Zone]
	switch {
	case o.Unreadable || o.Zone == "" || any && o.Revision == known.Revision:
		return false
	case known.pending != nil && !o.Revision.After(known.pending.Revision):
		return false
	case !o.BelievedFrom.IsZero() && (!any || isFromEarlierEra(known.Revision, o.Revision) && known.OutOfService != o.OutOfService):
		wasOut := known.OutOfService
		known.Zone, known.OutOfService, known.pending = o.Zone, !o.OutOfService, &o
		f.setZoneState(known)
		return wasOut != known.OutOfService
	case any && !f.restore.Supersedes(o.Revision, known.Revision):
		switch {
		case !isFromEarlierEra(known.Revision, o.Revision):
		case o.OutOfService != known.OutOfService:
			f.deferZoneOrder(o)
		default:
			f.setZoneState(zoneState{ZoneOrder: o, learnedAt: known.learnedAt})
		}
		return false
	}
	o.BelievedFrom = time.Time{}
	f.setZoneState(zoneState{ZoneOrder: o, learnedAt: now})
	return known.OutOfService != o.OutOfService
}

func (f *Fleet) setZoneState(z zoneState) {
	f.invalidate()
	if f.zones == nil {
		f.zones = map[member.Zone]zoneState{}
	}
	f.zones[z.Zone] = z
}

// ZoneOrdersSince returns the orders after a revision, or all orders if whole is set, sorted by
// zone. A pending order is returned in place of the one in force.
func (f *Fleet) ZoneOrdersSince(after history.Point, whole bool) []ZoneOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.zoneOrdersSince(after, whole)
}

func (f *Fleet) zoneOrdersSince(after history.Point, whole bool) []ZoneOrder {
	var orders []ZoneOrder
	for _, z := range f.zones {
		o := z.ZoneOrder
		if z.pending != nil {
			o = *z.pending
		}
		if whole || o.Revision.After(after) {
			orders = append(orders, o)
		}
	}
	slices.SortFunc(orders, func(a, b ZoneOrder) int { return strings.Compare(string(a.Zone), string(b.Zone)) })
	return orders
}

// handoverGrace is how long after this host has learned that a zone is out of service it still
// resumes a run there that is already being moved to the zone. Copying a run takes up to a second,
// and the caller would lose the stream. A host learns of an order within about 1.5 s, and the order
// must be in force within 5 s.
const handoverGrace = time.Second

// InService reports whether a zone's upstreams may get new work.
func (f *Fleet) InService(zone member.Zone) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.zones[zone].OutOfService
}

// logZoneChanges logs orders that changed whether a zone is in service.
func (f *Forwarder) logZoneChanges(changed []ZoneOrder) {
	for _, o := range changed {
		event := "zone back in service"
		if o.OutOfService {
			event = "zone out of service"
		}
		f.journal.HostEvent(event, "zone", o.Zone, "revision", o.Revision)
	}
}
