// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/order"
	"github.com/shedpath/shedpath/resource"
)

const (
	orderLeaseTTL = 10 * time.Second
	orderEvery    = time.Second
	orderTimeout  = 2 * time.Second
	// reconcileEvery is how often engines are looked at that nothing seems to
	// be wanted of: one may have been restarted.
	reconcileEvery = 10 * time.Second
)

// runOrders holds the zone's order lease while this entry has that duty, and
// brings the engines to the declared models.
func (e *Entry) runOrders(ctx context.Context) {
	var holder order.Holder
	var lease Lease
	var looked reconciled
	for {
		wanted := e.ordersAreOurs(e.now())
		switch holder.Next(e.now(), wanted) {
		case order.Acquire:
			lease = e.acquireOrders(ctx, &holder)
		case order.Renew:
			e.renewOrders(ctx, &holder, lease)
		case order.Release:
			e.releaseOrders(ctx, &holder, lease)
		case order.Wait:
		}
		if holder.LeaseValid(e.now()) && looked.due(e.now(), e.Catalog().Revision()) {
			settled := e.reconcile(ctx, &holder)
			looked = reconciled{at: e.now(), revision: e.Catalog().Revision(), settled: settled}
		}
		if !pause(ctx, jitter(orderEvery)) {
			break
		}
	}
	if holder.Token() != 0 {
		quick, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		_ = e.leases.Release(quick, lease)
	}
}

// ordersAreOurs reports whether this entry has the duty, and there is
// something to order.
func (e *Entry) ordersAreOurs(now time.Time) bool {
	if e.leases == nil || len(e.Catalog().List(resource.Models)) == 0 || e.Leaving() {
		return false
	}
	e.members.mu.Lock()
	defer e.members.mu.Unlock()
	owner, found := e.members.view.Owner(now, "orders", e.self.Zone)
	return found && owner.ID == e.self.ID
}

func orderKey(z member.Zone) string { return "shedpath/orders/" + string(z) }

func (e *Entry) acquireOrders(ctx context.Context, h *order.Holder) Lease {
	asked := e.now()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	lease, err := e.leases.Acquire(ctx, orderKey(e.self.Zone), string(e.self.ID), orderLeaseTTL)
	if err != nil || lease.Token == 0 {
		h.Refused(e.now())
		return Lease{}
	}
	h.Acquired(asked, lease.Token, orderLeaseTTL)
	_ = level.Info(e.logger).Log("msg", "holding the order lease", "token", lease.Token)
	return lease
}

func (e *Entry) renewOrders(ctx context.Context, h *order.Holder, lease Lease) {
	asked := e.now()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := e.leases.Renew(ctx, lease); err == nil {
		h.Renewed(asked, orderLeaseTTL)
	}
}

func (e *Entry) releaseOrders(ctx context.Context, h *order.Holder, lease Lease) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	h.Released()
	if err := e.leases.Release(ctx, lease); err == nil {
		_ = level.Info(e.logger).Log("msg", "gave the order lease back", "token", lease.Token)
	}
}

// reconciled is the last look at the zone's engines.
type reconciled struct {
	at       time.Time
	revision resource.Revision
	// settled says that nothing was left to order then.
	settled bool
}

// due reports whether the engines are to be looked at again.
func (r reconciled) due(now time.Time, revision resource.Revision) bool {
	return !r.settled || r.revision != revision || now.Sub(r.at) >= reconcileEvery
}

// reconcile orders each engine of this zone to serve the declared models, and
// reports whether they all do. An order is only sent while the lease surely
// holds, and its effect is read back in the next round.
func (e *Entry) reconcile(ctx context.Context, h *order.Holder) bool {
	catalog := e.Catalog()
	settled := true
	for _, pool := range catalog.PoolNames() {
		declared, _ := catalog.Pool(pool)
		wanted := wantedModels(catalog, pool)
		for _, u := range e.members.upstreamsFor(member.KindEngine, pool, e.self.Zone) {
			settled = e.reconcileEngine(ctx, h, u, wanted, declared.ChecksOrders) && settled
		}
	}
	return settled
}

func wantedModels(catalog *resource.Catalog, pool resource.Name) map[string]string {
	wanted := map[string]string{}
	for _, r := range catalog.List(resource.Models) {
		if model, known := catalog.Model(r.Name); known && model.Pool == pool {
			wanted[string(r.Name)] = model.Version
		}
	}
	return wanted
}

// reconcileEngine reports whether nothing is left to order. An engine that
// serves an old version is only ordered once it is empty.
func (e *Entry) reconcileEngine(ctx context.Context, h *order.Holder, u member.Upstream, wanted map[string]string, checks bool) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	load, err := e.engines.Load(ctx, u)
	if err != nil {
		return false
	}
	missing := order.MissingModels(wanted, load.Models)
	if order.HasOutdatedModel(wanted, load.Models) && load.Running+load.Waiting > 0 {
		return false
	}
	for _, target := range missing {
		if !h.MaySendOrder(e.now(), checks) {
			return false
		}
		o := Order{Token: h.Token(), Model: target.Model, Version: target.Version}
		if err := e.engines.Order(ctx, u, o); err != nil {
			_ = level.Warn(e.logger).Log("msg", "order refused", "upstream", u.ID, "model", o.Model, "token", o.Token, "err", err)
			return false
		}
		_ = level.Info(e.logger).Log("msg", "ordered", "upstream", u.ID, "model", o.Model, "version", o.Version, "token", o.Token)
	}
	return len(missing) == 0
}
