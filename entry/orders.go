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
	orderInterval = time.Second
	orderTimeout  = 2 * time.Second
	// reconcileInterval is how often engines are checked even if they all serve the declared
	// models, because an engine may have been restarted.
	reconcileInterval = 10 * time.Second
)

// runOrders holds the zone's order lease while this entry has the order duty, and orders the
// engines to serve the declared models.
func (e *Entry) runOrders(ctx context.Context) {
	var holder order.Holder
	var lease Lease
	var last reconcileState
	for {
		wanted := e.ownsOrderDuty(e.now())
		switch holder.Next(e.now(), wanted) {
		case order.Acquire:
			lease = e.acquireOrderLease(ctx, &holder)
		case order.Renew:
			e.renewOrderLease(ctx, &holder, lease)
		case order.Release:
			e.releaseOrderLease(ctx, &holder, lease)
		case order.Wait:
		}
		if holder.LeaseValid(e.now()) && last.due(e.now(), e.Catalog().Revision()) {
			settled := e.reconcile(ctx, &holder)
			last = reconcileState{checkedAt: e.now(), revision: e.Catalog().Revision(), settled: settled}
		}
		if !sleepContext(ctx, jitter(orderInterval)) {
			break
		}
	}
	if holder.Token() != 0 {
		quick, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		_ = e.leases.Release(quick, lease)
	}
}

// ownsOrderDuty reports whether this entry should hold the order lease: it has the order duty of
// its zone, isn't leaving, and models are declared.
func (e *Entry) ownsOrderDuty(now time.Time) bool {
	if e.leases == nil || len(e.Catalog().List(resource.Models)) == 0 || e.Leaving() {
		return false
	}
	e.members.mu.Lock()
	defer e.members.mu.Unlock()
	owner, found := e.members.view.Owner(now, "orders", e.self.Zone)
	return found && owner.ID == e.self.ID
}

// orderLeaseKey returns the key of a zone's order lease.
func orderLeaseKey(z member.Zone) string { return "shedpath/orders/" + string(z) }

func (e *Entry) acquireOrderLease(ctx context.Context, h *order.Holder) Lease {
	sentAt := e.now()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	lease, err := e.leases.Acquire(ctx, orderLeaseKey(e.self.Zone), string(e.self.ID), orderLeaseTTL)
	if err != nil || lease.Token == 0 {
		h.Refused(e.now())
		return Lease{}
	}
	h.Acquired(sentAt, lease.Token, orderLeaseTTL)
	_ = level.Info(e.logger).Log("msg", "holding the order lease", "token", lease.Token)
	return lease
}

func (e *Entry) renewOrderLease(ctx context.Context, h *order.Holder, lease Lease) {
	sentAt := e.now()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := e.leases.Renew(ctx, lease); err == nil {
		h.Renewed(sentAt, orderLeaseTTL)
	}
}

func (e *Entry) releaseOrderLease(ctx context.Context, h *order.Holder, lease Lease) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	h.Released()
	if err := e.leases.Release(ctx, lease); err == nil {
		_ = level.Info(e.logger).Log("msg", "gave the order lease back", "token", lease.Token)
	}
}

// reconcileState is the result of the last reconcile.
type reconcileState struct {
	checkedAt time.Time
	revision  resource.Revision
	// settled reports whether all engines served the declared models.
	settled bool
}

// due reports whether it is time to reconcile again.
func (r reconcileState) due(now time.Time, revision resource.Revision) bool {
	return !r.settled || r.revision != revision || now.Sub(r.checkedAt) >= reconcileInterval
}

// reconcile orders each engine of this zone to serve the declared models, and reports whether they
// all do already. An order is sent only while the lease certainly holds. Its effect is checked in
// the next round.
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

// wantedModels maps the models that are declared for a pool to their versions.
func wantedModels(catalog *resource.Catalog, pool resource.Name) map[string]string {
	wanted := map[string]string{}
	for _, r := range catalog.List(resource.Models) {
		if model, known := catalog.Model(r.Name); known && model.Pool == pool {
			wanted[string(r.Name)] = model.Version
		}
	}
	return wanted
}

// reconcileEngine sends an engine the orders that it needs, and reports whether it needed none. An
// engine that serves an outdated version is ordered only once it is drained. checks tells whether
// the engine checks the fencing tokens of orders.
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
