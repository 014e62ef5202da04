// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
)

// returnDrill is a host whose list and upstreams a test changes.
type returnDrill struct {
	*Forwarder
	transport *fakeTransport
	// asked counts the health checks, and healthy and instance are the answer to them.
	asked   atomic.Int64
	healthy atomic.Bool
	err     atomic.Bool
	// instance returns the instance that answers; nil for the upstream itself.
	instance func(Upstream) member.UpstreamID
}

func newReturnDrill(t *testing.T) *returnDrill {
	d := &returnDrill{transport: &fakeTransport{send: sendAfterDelay}}
	d.healthy.Store(true)
	d.transport.checkHealth = func(Upstream) (bool, error) {
		d.asked.Add(1)
		if d.err.Load() {
			return false, errors.New("no answer")
		}
		return d.healthy.Load(), nil
	}
	d.transport.instance = func(u Upstream) member.UpstreamID {
		if d.instance != nil {
			return d.instance(u)
		}
		return u.ID
	}
	d.Forwarder = newForwarder(t, d.transport)
	config := testConfig(2)
	for i := range config.Services {
		config.Services[i].HealthPath = "/health"
	}
	d.Configure(time.Now(), config)
	return d
}

// startReturnChecks runs the checks of hosts until the test ends.
func startReturnChecks(t *testing.T, hosts ...*returnDrill) {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	for _, d := range hosts {
		go d.runReturnChecks(ctx)
	}
}

// entryChange returns a list entry of app1, which has no incarnation.
func entryChange(revision history.Revision, leaving bool) Change {
	return Change{Upstream: Upstream{ID: "app1", Service: "app", Address: "10.1.0.1:app1", Zone: "z1", Slots: 6, Leaving: leaving, Revision: rev(revision)}}
}

func madeAt(revision history.Revision, c Change) Change {
	c.EntryMade(rev(revision))
	return c
}

func goneChange(revision history.Revision) Change {
	return Change{Upstream: Upstream{ID: "app1", Revision: rev(revision)}, Gone: true}
}

func (d *returnDrill) apply(changes ...Change) {
	for _, c := range changes {
		d.fleet.Apply(time.Now(), []Change{c}, c.Revision)
	}
}

// usedIDs returns the upstreams of the service "app" that take work.
func (d *returnDrill) usedIDs() map[member.UpstreamID]bool {
	used := map[member.UpstreamID]bool{}
	for _, u := range d.fleet.Available(time.Now(), "app") {
		used[u.ID] = true
	}
	return used
}

func (d *returnDrill) isUsed() bool { return d.usedIDs()["app1"] }

// TestReturnedUpstream checks when an upstream is used again that was said to leave and is listed as staying.
func TestReturnedUpstream(t *testing.T) {
	leaves, gone, back := entryChange(5, true), goneChange(6), entryChange(7, false)
	sign := func(d *returnDrill) {
		d.apply(entryChange(5, false))
		d.fleet.MarkLeaving(time.Now(), "app1", 0, true)
	}
	for name, c := range map[string]struct {
		prepare func(d *returnDrill)
		changes []Change
		// usedAfter is when the upstream is used again after its last change; zero for never.
		usedAfter time.Duration
	}{
		"listed again after it was gone":    {nil, []Change{leaves, gone, back}, 2 * time.Second},
		"it told itself that it leaves":     {func(d *returnDrill) { d.fleet.RecordSelfReportedLeaving(time.Now(), "app1", 0, true) }, []Change{gone, back}, 2 * time.Second},
		"it says that it leaves":            {func(d *returnDrill) { d.healthy.Store(false) }, []Change{leaves, gone, back}, 0},
		"it gives no answer":                {func(d *returnDrill) { d.err.Store(true) }, []Change{leaves, gone, back}, 0},
		"another upstream answers":          {func(d *returnDrill) { d.instance = func(Upstream) member.UpstreamID { return "app9" } }, []Change{leaves, gone, back}, 0},
		"nobody says who answers":           {func(d *returnDrill) { d.instance = func(Upstream) member.UpstreamID { return "" } }, []Change{leaves, gone, back}, 0},
		"listed as leaving":                 {nil, []Change{leaves, gone, entryChange(7, true)}, 0},
		"listed as leaving after that":      {nil, []Change{leaves, gone, back, entryChange(8, true)}, 0},
		"gone after that":                   {nil, []Change{leaves, gone, back, goneChange(8)}, 0},
		"a late word of before it was gone": {nil, []Change{leaves, gone, entryChange(4, false)}, 0},
		"a late word, not gone in between":  {nil, []Change{leaves, entryChange(6, false)}, 0},
		"unusable in between":               {nil, []Change{leaves, gone, {Upstream: Upstream{ID: "app1", Revision: rev(7)}, Unusable: true}, entryChange(8, false)}, 2 * time.Second},
		"the service has no health path":    {func(d *returnDrill) { d.Configure(time.Now(), testConfig(3)) }, []Change{leaves, gone, back}, goneRetention},
		"it told itself, no health path": {func(d *returnDrill) {
			d.Configure(time.Now(), testConfig(3))
			d.fleet.RecordSelfReportedLeaving(time.Now(), "app1", 0, true)
		}, []Change{gone, back}, selfReportRetention},
		"made again while nobody looked":   {nil, []Change{leaves, madeAt(6, back)}, 2 * time.Second},
		"made before, not gone in between": {nil, []Change{leaves, madeAt(3, back)}, 0},
		"never said to leave":              {nil, []Change{gone, back}, time.Nanosecond},
		"a sign newer than its entry":      {sign, []Change{entryChange(5, false)}, 2 * time.Second},
		"a newer entry than the sign":      {sign, []Change{entryChange(6, false)}, time.Nanosecond},
		"a sign, it says that it leaves": {func(d *returnDrill) {
			sign(d)
			d.healthy.Store(false)
		}, []Change{entryChange(5, false), entryChange(5, false)}, 0},
		"its zone is out of service meanwhile": {func(d *returnDrill) { d.closeZone("z1", 3) }, []Change{leaves, gone, back}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := newReturnDrill(t)
				if c.prepare != nil {
					c.prepare(d)
				}
				startReturnChecks(t, d)
				d.apply(c.changes...)
				if c.usedAfter > time.Millisecond {
					time.Sleep(c.usedAfter - time.Millisecond)
					is.True(!d.isUsed()) // the list may say late that it stays
				}
				time.Sleep(maxReturnCheckInterval + time.Second)
				is.Equal(d.isUsed(), c.usedAfter > 0)
				time.Sleep(2 * time.Minute)
				is.Equal(d.isUsed(), c.usedAfter > 0)
				is.True(d.asked.Load() <= 3+int64(135*time.Second/maxReturnCheckInterval)) // at most one check each 8 s in the end
			})
		})
	}
}

func (d *returnDrill) closeZone(zone member.Zone, revision history.Revision) {
	d.fleet.ApplyZoneOrders(time.Now(), []ZoneOrder{{Zone: zone, OutOfService: true, Revision: rev(revision)}})
}

// TestAllUpstreamsReturn checks that a service is served again after all of its upstreams were said to leave, were
// dropped from the list and are listed as staying, on the host that reads the list and on one that follows it, and
// that a peer's late word that they leave keeps them away for no longer than another check takes.
func TestAllUpstreamsReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		reader, follower := newReturnDrill(t), newReturnDrill(t)
		startReturnChecks(t, reader, follower)
		revision := history.Revision(1)
		publish := func(change func(*Change)) {
			for _, id := range []member.UpstreamID{"app1", "app2", "app3"} {
				revision++
				c := entryChange(revision, false)
				c.ID = id
				change(&c)
				reader.apply(c)
			}
			changes, at, whole := reader.fleet.ChangesSince(follower.fleet.Revision())
			is.True(!whole)
			follower.fleet.Apply(time.Now(), changes, at)
		}
		publish(func(c *Change) { c.Leaving = true })
		time.Sleep(2 * time.Second)
		publish(func(c *Change) { c.Gone = true })
		time.Sleep(time.Second)
		publish(func(*Change) {})
		is.Equal(reader.fleet.RelistedCount(), 3)
		time.Sleep(4 * time.Second)
		for _, d := range []*returnDrill{reader, follower} {
			is.Equal(len(d.usedIDs()), 3)
			sink := &fakeSink{}
			d.Serve(t.Context(), call("/order/"), sink)
			is.Equal(sink.status, 200)
			is.Equal(d.fleet.RelistedCount(), 0)
		}
		follower.receiveShare(Share{From: Peer{ID: "h3", Zone: "z1"}, Leaving: []LeavingMark{{Upstream: "app1", Declared: true}}})
		is.True(!follower.isUsed())
		time.Sleep(4 * time.Second)
		is.True(follower.isUsed())
		is.True(reader.fleet.RecordSelfReportedLeaving(time.Now(), "app1", 0, true))
		time.Sleep(time.Minute)
		is.True(!reader.isUsed()) // it says so itself, and hasn't been dropped since
	})
}

// TestRestoredListReturnsNobody checks that the entry of a backup is no evidence that an upstream has returned.
func TestRestoredListReturnsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newReturnDrill(t)
		startReturnChecks(t, d)
		d.apply(entryChange(5, true), goneChange(6))
		copied := entryChange(4, false)
		copied.Revision = history.NewPoint(2, 4)
		d.fleet.ApplyUpdate(time.Now(), OriginUpdate{Revision: history.NewPoint(2, 4), Changes: []Change{copied}}, true)
		is.Equal(d.fleet.RelistedCount(), 0)
		time.Sleep(entryLapseGrace - time.Second)
		is.True(!d.isUsed())
		is.Equal(d.asked.Load(), int64(0))
	})
}
