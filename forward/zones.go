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

// ZoneOrder is an operator's word on whether the upstreams of an availability zone
// are in service.
type ZoneOrder struct {
	Zone member.Zone
	// OutOfService says that they get nothing new until the order is taken back.
	OutOfService bool
	// Unreadable says that there is an order that can't be read: nothing changes by it.
	Unreadable bool
	// Revision is where in the list's history the order was given, or was found to be taken
	// back.
	Revision history.Point
	// BelievedFrom is when an order that a restored list tells otherwise than before the restore
	// is believed; zero for others.
	BelievedFrom time.Time
}

// zoneState is the newest order about a zone that this host knows.
type zoneState struct {
	ZoneOrder
	// learnedAt is when this host learnedAt of it.
	learnedAt time.Time
	// pending is what the copy says that the list was restored from, which is believed from its
	// BelievedFrom on; nil for nothing else.
	pending *ZoneOrder
}

// ApplyZoneOrders takes in orders that the list told, which are all that there were since
// the revision that was known. It is to be called before Apply raises that. It returns
// those that made a difference.
func (f *Fleet) ApplyZoneOrders(now time.Time, orders []ZoneOrder) []ZoneOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	var news []ZoneOrder
	for _, o := range orders {
		if f.applyZoneOrder(now, o) {
			news = append(news, o)
		}
	}
	f.notify(len(news) > 0)
	return news
}

// ReplaceZoneOrders takes in every order that the whole list has as of a revision: a zone
// without one is back in service. It is to be called before Replace or TakeOver.
func (f *Fleet) ReplaceZoneOrders(now time.Time, orders []ZoneOrder, at history.Point) []ZoneOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	var news []ZoneOrder
	listed := make(map[member.Zone]bool, len(orders))
	for _, o := range orders {
		listed[o.Zone] = o.OutOfService
		if f.applyZoneOrder(now, o) {
			news = append(news, o)
		}
	}
	for zone, known := range f.zones {
		back := ZoneOrder{Zone: zone, Revision: at}
		switch {
		case listed[zone]:
		case !known.OutOfService:
			if at.After(known.Revision) {
				f.setZoneState(zoneState{ZoneOrder: back, learnedAt: known.learnedAt})
			}
		case isFromEarlierEra(known.Revision, at):
			f.deferZoneOrder(back)
		case f.applyZoneOrder(now, back):
			news = append(news, back)
		}
	}
	f.notify(len(news) > 0)
	return news
}

// impliedZoneOrders are a reply's orders, and that there is none for zones of which this host has heard
// in advance: an order that still held would be among them.
func (f *Fleet) impliedZoneOrders(r FollowReply) []ZoneOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	orders := r.Zones
	for zone, known := range f.zones {
		told := slices.ContainsFunc(r.Zones, func(o ZoneOrder) bool { return o.Zone == zone })
		if known.OutOfService && !told && known.Revision.After(f.revision) && known.Revision.Before(r.ListRevision) {
			orders = append(orders, ZoneOrder{Zone: zone, Revision: r.ListRevision})
		}
	}
	return orders
}

// ReceiveZoneOrders takes in what a peer says of its own accord, which may be older than what
// this host has: orders up to the revision that is known here are known as they are.
func (f *Fleet) ReceiveZoneOrders(now time.Time, orders []ZoneOrder) []ZoneOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	var news []ZoneOrder
	for _, o := range orders {
		onTrial := f.zones[o.Zone].pending != nil
		if (o.Revision.After(f.revision) || onTrial) && f.applyZoneOrder(now, o) {
			news = append(news, o)
		}
	}
	f.notify(len(news) > 0)
	return news
}

// applyZoneOrder takes in one applyZoneOrder, unless it is no newer than what is known of its zone.
func (f *Fleet) applyZoneOrder(now time.Time, o ZoneOrder) bool {
	known, any := f.zones[o.Zone]
	switch {
	case o.Unreadable || o.Zone == "" || any && o.Revision == known.Revision:
		return false
	case known.pending != nil && !o.Revision.After(known.pending.Revision):
		return false
	case !o.BelievedFrom.IsZero() && (!any || isFromEarlierEra(known.Revision, o.Revision) && known.OutOfService != o.OutOfService):
		was := known.OutOfService
		known.Zone, known.OutOfService, known.pending = o.Zone, !o.OutOfService, &o
		f.setZoneState(known)
		return was != known.OutOfService
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

// ZoneOrdersSince returns the orders after a revision, or all of them, in the zones' order.
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

// handoverGrace is how long after this host has heard that a zone is out of service a
// run that is already on its way there is still taken up: a copy takes up to a second,
// and the caller would lose the stream. A host hears of an order within some 1.5 s, and
// it has to hold within 5.
const handoverGrace = time.Second

// InService reports whether a zone's upstreams may get new work.
func (f *Fleet) InService(zone member.Zone) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.zones[zone].OutOfService
}

// logZoneChanges logs orders that made a difference.
func (f *Forwarder) logZoneChanges(news []ZoneOrder) {
	for _, o := range news {
		event := "zone back in service"
		if o.OutOfService {
			event = "zone out of service"
		}
		f.journal.HostEvent(event, "zone", o.Zone, "revision", o.Revision)
	}
}
