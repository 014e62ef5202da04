// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/eligibility"
	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// upstreamInZone returns an upstream in a zone.
func upstreamInZone(id member.UpstreamID, zone member.Zone) Upstream {
	u := llmUpstream(id, 1, false)
	u.Zone = zone
	return u
}

// outOfService returns an order that takes a zone out of service.
func outOfService(zone member.Zone, at history.Revision) ZoneOrder {
	return ZoneOrder{Zone: zone, OutOfService: true, Revision: rev(at)}
}

// backInService returns the revocation of an order.
func backInService(zone member.Zone, at history.Revision) ZoneOrder {
	return ZoneOrder{Zone: zone, Revision: rev(at)}
}

// TestZoneOrders checks that orders are applied by revision, from the list and from peers, in
// whatever order they arrive.
func TestZoneOrders(t *testing.T) {
	unread := ZoneOrder{Zone: "a", OutOfService: true, Unreadable: true, Revision: rev(30)}
	type step = func(f *Fleet, now time.Time)
	apply := func(at history.Revision, orders ...ZoneOrder) step {
		return func(f *Fleet, now time.Time) {
			f.ApplyZoneOrders(now, orders)
			f.Apply(now, nil, rev(at))
		}
	}
	read := func(at history.Revision, orders ...ZoneOrder) step {
		return func(f *Fleet, now time.Time) {
			f.ReplaceZoneOrders(now, orders, rev(at))
			f.Replace(now, []Upstream{upstreamInZone("ua", "a"), upstreamInZone("ub", "b")}, rev(at))
		}
	}
	receive := func(orders ...ZoneOrder) step {
		return func(f *Fleet, now time.Time) { f.ReceiveZoneOrders(now, orders) }
	}
	for name, c := range map[string]struct {
		steps []step
		want  map[member.UpstreamID]bool
	}{
		"told":                                {[]step{apply(12, outOfService("a", 12))}, map[member.UpstreamID]bool{"ub": true}},
		"two zones":                           {[]step{apply(13, outOfService("a", 12), outOfService("b", 13))}, map[member.UpstreamID]bool{}},
		"taken back":                          {[]step{apply(12, outOfService("a", 12)), apply(13, backInService("a", 13))}, map[member.UpstreamID]bool{"ua": true, "ub": true}},
		"given again":                         {[]step{apply(14, outOfService("a", 12), backInService("a", 13), outOfService("a", 14))}, map[member.UpstreamID]bool{"ub": true}},
		"an older word after a newer":         {[]step{apply(14, backInService("a", 14)), apply(14, outOfService("a", 12))}, map[member.UpstreamID]bool{"ua": true, "ub": true}},
		"read":                                {[]step{read(20, outOfService("a", 5))}, map[member.UpstreamID]bool{"ub": true}},
		"gone from a reading":                 {[]step{apply(12, outOfService("a", 12)), read(20)}, map[member.UpstreamID]bool{"ua": true, "ub": true}},
		"given while a reading went on":       {[]step{apply(12, outOfService("a", 25)), read(20)}, map[member.UpstreamID]bool{"ub": true}},
		"unreadable in a reading, was out":    {[]step{apply(12, outOfService("a", 12)), read(20, unread)}, map[member.UpstreamID]bool{"ub": true}},
		"unreadable in a reading, was in":     {[]step{read(20, unread)}, map[member.UpstreamID]bool{"ua": true, "ub": true}},
		"unreadable by a watch":               {[]step{apply(30, unread)}, map[member.UpstreamID]bool{"ua": true, "ub": true}},
		"heard before the list tells":         {[]step{receive(outOfService("a", 12))}, map[member.UpstreamID]bool{"ub": true}},
		"heard, then the list's reading":      {[]step{receive(outOfService("a", 12)), read(11)}, map[member.UpstreamID]bool{"ub": true}},
		"heard from one who is behind":        {[]step{read(20), receive(outOfService("a", 12))}, map[member.UpstreamID]bool{"ua": true, "ub": true}},
		"heard back from one who is behind":   {[]step{apply(20, outOfService("a", 20)), receive(backInService("a", 15))}, map[member.UpstreamID]bool{"ub": true}},
		"heard back from one who knows newer": {[]step{apply(20, outOfService("a", 20)), receive(backInService("a", 25))}, map[member.UpstreamID]bool{"ua": true, "ub": true}},
		"a zone without a name":               {[]step{apply(12, outOfService("", 12))}, map[member.UpstreamID]bool{"ua": true, "ub": true}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			var f Fleet
			f.Replace(now, []Upstream{upstreamInZone("ua", "a"), upstreamInZone("ub", "b")}, rev(10))
			for _, s := range c.steps {
				s(&f, now)
			}
			is.Equal(availableIDs(&f, now), c.want)
		})
	}
}

// TestFollowerReceivesZoneOrders checks that a host that follows another receives its orders, in whole
// or as changes, and also learns of revocations made before its request.
func TestFollowerReceivesZoneOrders(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var leader, follower Fleet
	list := []Upstream{upstreamInZone("ua", "a"), upstreamInZone("ub", "b")}
	catchUp := func() {
		changes, at, whole := leader.ChangesSince(follower.Revision())
		orders := leader.ZoneOrdersSince(follower.Revision(), whole)
		if whole {
			follower.ReplaceZoneOrders(now, orders, at)
			follower.ReplaceFromPeer(now, changes, at)
			return
		}
		follower.ApplyZoneOrders(now, orders)
		follower.Apply(now, changes, at)
	}
	leader.Replace(now, list, rev(10))
	catchUp()
	leader.ApplyZoneOrders(now, []ZoneOrder{outOfService("a", 12)})
	leader.Apply(now, nil, rev(12))
	catchUp()
	is.Equal(availableIDs(&follower, now), map[member.UpstreamID]bool{"ub": true})
	// The new leader reads the list after the order was revoked, and never knew the order.
	leader = Fleet{}
	leader.Replace(now, list, rev(20))
	catchUp()
	is.Equal(availableIDs(&follower, now), map[member.UpstreamID]bool{"ua": true, "ub": true})
}

// newTwoZoneForwarder returns a forwarder whose upstreams llm1 and app1 are in z1, the others in z2.
func newTwoZoneForwarder(t *testing.T, transport Transport) *Forwarder {
	f := newForwarder(t, transport)
	now := time.Now()
	var changes []Change
	for _, id := range []member.UpstreamID{"app2", "app3", "llm2", "llm3"} {
		u, _ := f.fleet.Upstream(id)
		u.Zone, u.Revision = "z2", rev(2)
		changes = append(changes, Change{Upstream: u})
	}
	f.fleet.Apply(now, changes, rev(2))
	return f
}

// applyZoneOrders applies orders as a watch of the list returns them.
func (f *Forwarder) applyZoneOrders(orders ...ZoneOrder) {
	now := time.Now()
	f.fleet.ApplyZoneOrders(now, orders)
	f.fleet.Apply(now, nil, orders[len(orders)-1].Revision)
	f.updatePlacementEngines(now, f.Table())
}

// TestZoneOutOfServiceGetsNothing checks that calls, streams, retries and second attempts go only to
// upstreams of zones in service, and that requests are refused at once when every zone is out.
func TestZoneOutOfServiceGetsNothing(t *testing.T) {
	for _, path := range []string{"/status/", "/order/", "/llm/"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				transport := &fakeTransport{send: func(_ context.Context, _ Upstream, r *UpstreamRequest) (*Response, error) {
					if r.Call.Path == "/status/x" {
						return &Response{Status: http.StatusServiceUnavailable, NotRun: true, Header: http.Header{}, Body: http.NoBody}, nil
					}
					return answer(http.StatusOK, "id: 1\ndata: a\n\n"), nil
				}}
				f := newTwoZoneForwarder(t, transport)
				f.applyZoneOrders(outOfService("z1", 5))
				for range 20 {
					f.Serve(t.Context(), call(path), &fakeSink{})
				}
				for _, id := range transport.sentTo() {
					u, _ := f.fleet.Upstream(id)
					is.Equal(u.Zone, member.Zone("z2"))
				}
				sent := len(transport.sentTo())
				is.True(sent >= 20)
				f.applyZoneOrders(outOfService("z2", 6))
				began := time.Now()
				sink := &fakeSink{}
				f.Serve(t.Context(), call(path), sink)
				is.Equal(sink.refused.Code, CodeNoUpstream)
				is.True(!sink.refused.MayHaveRun)
				is.Equal(time.Since(began), time.Duration(0)) // not held
				is.Equal(len(transport.sentTo()), sent)
				f.applyZoneOrders(backInService("z1", 7))
				f.Serve(t.Context(), call(path), sink)
				is.True(len(transport.sentTo()) > sent)
			})
		})
	}
}

// TestQueuedForZoneOutOfService checks that a queued request isn't placed on an engine of a zone
// that was taken out of service while the request waited.
func TestQueuedForZoneOutOfService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTwoZoneForwarder(t, &fakeTransport{})
		now := time.Now()
		f.applyZoneOrders(outOfService("z2", 3))
		// A run that leaves no room for another occupies the engine of z1.
		big := policy.Request{Run: "big", PromptTokens: 33000, Deadline: now.Add(time.Second), ArrivedAt: now}
		u, run, _ := f.engines.place(t.Context(), now, "llm", big)
		is.Equal(u.ID, member.UpstreamID("llm1"))
		granted := make(chan Upstream, 1)
		go func() {
			next := policy.Request{Run: "next", PromptTokens: 3000, ArrivedAt: now, Deadline: now.Add(time.Minute), Objective: time.Minute}
			u, _, _ := f.engines.place(t.Context(), now, "llm", next)
			granted <- u
		}()
		synctest.Wait()
		f.applyZoneOrders(outOfService("z1", 4), backInService("z2", 5))
		f.engines.finish(time.Now(), "llm", run, true)
		time.Sleep(queueStagger)
		f.updatePlacementEngines(time.Now(), f.Table())
		got := <-granted
		is.Equal(got.Zone, member.Zone("z2"))
	})
}

// TestHandoverToZoneOutOfService checks that a run that is being moved is still resumed in a zone that
// was taken out of service less than handoverGrace ago, but not later.
func TestHandoverToZoneOutOfService(t *testing.T) {
	for name, c := range map[string]struct {
		heard time.Duration
		want  eligibility.Reason
	}{
		"just now": {500 * time.Millisecond, ""},
		"long ago": {2 * time.Second, eligibility.ZoneOutOfService},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				transport := &fakeTransport{send: func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
					return answer(http.StatusOK, ""), nil
				}}
				f := newTwoZoneForwarder(t, transport)
				f.applyZoneOrders(outOfService("z2", 3))
				time.Sleep(c.heard)
				to, _ := f.fleet.Upstream("llm2")
				source, _ := f.fleet.Upstream("llm3")
				s := &streamExchange{exchange: &exchange{Forwarder: f, call: call("/llm/")}}
				_, _, err := s.continueRun(t.Context(), &handover{target: to, source: source, handle: "h"})
				kept, _ := notSentVerdict(err)
				is.Equal(kept.Reason, c.want)
				is.Equal(err != nil, c.want != "")
			})
		})
	}
}

// TestZoneOrderReachesEveryHost checks that every reachable host sends no new work to a zone within
// 3 s of an order, and sends work again within 3 s of its revocation, while the host that watches the
// list, or a whole zone of hosts, can't be reached. Without the origin all hosts keep the orders that
// they know.
func TestZoneOrderReachesEveryHost(t *testing.T) {
	const bound = 3 * time.Second
	for name, gone := range map[string][]string{
		"all there":          {},
		"leader gone":        {"10.1.0.1:1"},
		"leaders gone":       {"10.1.0.1:1", "10.2.0.1:1", "10.3.0.1:1"},
		"first zone gone":    {"10.1.0.1:1", "10.1.0.2:1", "10.1.0.3:1"},
		"one alone, cut off": {"10.1.0.1:1", "10.1.0.2:1", "10.1.0.3:1", "10.2.0.1:1", "10.2.0.2:1", "10.2.0.3:1", "10.3.0.1:1", "10.3.0.2:1"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSite(3, 3, true)
				s.origin.list = []Upstream{upstreamInZone("llm1", "z1"), upstreamInZone("llm2", "z2")}
				ctx, cancel := context.WithCancel(t.Context())
				s.startAll(ctx)
				time.Sleep(4 * time.Second)
				s.makeUnreachable(gone...)
				want := func(ids ...member.UpstreamID) {
					t.Helper()
					expected := map[member.UpstreamID]bool{}
					for _, id := range ids {
						expected[id] = true
					}
					for address, f := range s.hosts {
						if !s.unreachable[address] {
							is.Equal(availableIDs(f.fleet, time.Now()), expected)
						}
					}
				}
				s.origin.orderZones(outOfService("z1", 20))
				time.Sleep(bound)
				want("llm2")
				s.origin.orderZones(backInService("z1", 21))
				time.Sleep(bound)
				want("llm1", "llm2")
				s.origin.orderZones(outOfService("z1", 22), outOfService("z2", 23), backInService("z1", 24))
				time.Sleep(bound)
				want("llm1")
				s.origin.unavailable.Store(true)
				time.Sleep(bound)
				want("llm1")
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestRevokedZoneOrderStaysRevoked guards against a zone going out of service by an order that was
// already revoked: a list that is older than a revocation received ahead of it must not undo that.
func TestRevokedZoneOrderStaysRevoked(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var f Fleet
	f.ReceiveZoneOrders(now, []ZoneOrder{backInService("z2", 9)})
	f.ApplyUpdate(now, OriginUpdate{Revision: rev(7)}, true)
	f.ReceiveZoneOrders(now, []ZoneOrder{outOfService("z2", 8)})
	is.True(f.InService("z2"))
}
