// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shedpath/shedpath/clock/clocktest"
	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/rollout"
)

// Every place where an accepted request waits, against every event that can take away what it waits for.

// step is a point at which waitingSite holds a request until it is released.
type step string

const (
	atPermit     step = "permit"
	atOtherZone  step = "other zone"
	atTurn       step = "turn"
	atUpstream   step = "upstream"
	atSecond     step = "second upstream"
	atFirstEvent step = "first event"
	atNextEvent  step = "next event"
	atCopy       step = "copy"
	atFinalCopy  step = "final copy"
	atReader     step = "reader"
)

// waitingSite is a site of two hosts in a zone and one in another, and one request to the host near.
type waitingSite struct {
	*site
	t        *testing.T
	near     *Forwarder
	machines map[*Forwarder]*clocktest.Machine
	hold     step
	entered  sync.Once
	isHeld   chan struct{}
	release  sync.Once
	released chan struct{}
	killed   chan struct{}
	// stopped is closed when an engine is asked to stop the run.
	stopSource sync.Once
	stopped    chan struct{}
	fillers    []waitingFiller
	mu         sync.Mutex
	// ran counts the upstreams that got the request, the continuations of its run left out.
	ran int
	// revision is the last one that was published, version that of the configuration.
	revision history.Revision
	version  Version
}

func (w *waitingSite) next() history.Revision {
	w.revision++
	return w.revision
}

func (w *waitingSite) upstreams() []Upstream {
	w.origin.mu.Lock()
	defer w.origin.mu.Unlock()
	return slices.Clone(w.origin.list)
}

func (w *waitingSite) change(u Upstream, gone bool) {
	u.Revision = rev(w.next())
	w.origin.publish(Change{Upstream: u, Gone: gone})
}

// changeAll changes every upstream, or removes it if change returns true.
func (w *waitingSite) changeAll(change func(u *Upstream) (gone bool)) {
	for _, u := range w.upstreams() {
		gone := change(&u)
		w.change(u, gone)
	}
}

func (w *waitingSite) configure(change func(c *Config)) {
	w.version++
	c := waitingConfig(w.version)
	change(&c)
	w.origin.mu.Lock()
	defer w.origin.mu.Unlock()
	w.origin.config, w.origin.configRevision = c, rev(w.next())
	w.origin.wakeWatches()
}

// completeRollout moves all services to a version. exists says that it has upstreams.
func (w *waitingSite) completeRollout(exists bool) {
	if exists {
		for _, u := range w.upstreams() {
			u.ID, u.Address, u.Version = "v2-"+u.ID, "10.2.0.1:"+string(u.ID), "v2"
			w.change(u, false)
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, f := range w.hosts {
		for _, service := range []ServiceName{"app", "cold", "llm"} {
			f.receiveRollouts(f.now(), []rollout.Status{{
				Order: rollout.Order{Service: service, Target: "v2", GivenAt: rev(w.next()), Duration: time.Minute}, Phase: rollout.Completed,
			}})
		}
	}
}

func (w *waitingSite) stop(grace time.Duration) {
	ctx, cancel := context.WithTimeout(w.t.Context(), grace)
	go func() {
		defer cancel()
		w.near.Stop(ctx)
		w.near.Close(ctx)
	}()
}

func (w *waitingSite) peersOfNear() []*Forwarder {
	var peers []*Forwarder
	for _, f := range w.hosts {
		if f != w.near {
			peers = append(peers, f)
		}
	}
	return peers
}

// waitAt holds a request at a step.
func (w *waitingSite) waitAt(ctx context.Context, at step) error {
	if at != w.hold {
		return nil
	}
	w.entered.Do(func() { close(w.isHeld) })
	select {
	case <-w.released:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// letGo lets the request go on.
func (w *waitingSite) letGo() {
	w.release.Do(func() {
		close(w.released)
		for _, x := range w.fillers {
			x.host.engines.finish(x.host.now(), "llm", x.run, false)
			x.host.peers.notifyAll()
		}
	})
}

func waitingConfig(v Version) Config {
	c := testConfig(v)
	c.Services = append(c.Services, Service{Name: "cold", ColdRate: 20})
	cold := c.Routes[1]
	cold.Name, cold.PathPrefix, cold.Services = "/cold/", "/cold/", []WeightedService{{Service: "cold", Weight: 1}}
	patient := c.Routes[2]
	patient.Name, patient.PathPrefix, patient.Objective, patient.Timeout = "/patient/", "/patient/", 30*time.Second, 38*time.Second
	c.Routes = append(c.Routes, cold, patient)
	for i := range c.Routes {
		if c.Routes[i].Timeout == 39*time.Second {
			c.Routes[i].Timeout = 8 * time.Second
		}
	}
	return c
}

// newWaitingSite starts a site whose request will wait at a place.
func newWaitingSite(ctx context.Context, t *testing.T, p *waitingPlace) *waitingSite {
	w := &waitingSite{
		site: newSite(2, 2, false), t: t, hold: p.hold, revision: 20, version: 1, machines: map[*Forwarder]*clocktest.Machine{},
		isHeld: make(chan struct{}), released: make(chan struct{}), killed: make(chan struct{}), stopped: make(chan struct{}),
	}
	delete(w.hosts, "10.2.0.2:1")
	w.origin.config, w.origin.list = waitingConfig(1), nil
	for service, ids := range map[ServiceName][]string{"app": {"a1", "a2", "a3"}, "cold": {"cold1"}, "llm": {"e1", "e2", "e3"}} {
		for n, id := range ids {
			w.origin.list = append(w.origin.list, Upstream{
				ID: member.UpstreamID(id), Service: service, Address: "10.9.0.1:" + id, Zone: member.Zone(fmt.Sprint("z", n/2+1)), Slots: 6,
				Incarnation: 1, Revision: rev(5), Version: "v1",
			})
		}
	}
	transport := &fakeTransport{send: w.send(p.fails), move: w.move}
	for _, f := range w.hosts {
		w.machines[f] = clocktest.NewMachine(t)
		f.setClock(w.machines[f].Clock())
		f.transport, f.settings.Placement.ZoneAdmission, f.settings.DrainTime = transport, p.zoneQueue, 2*time.Second
		f.retries.setLimit(RetryLimit{Ratio: 0.2, Slack: 100, Window: 10 * time.Second})
	}
	for address, f := range w.hosts {
		go f.settings.Clock.Run(ctx)
		go f.RunPeers(ctx, waitingPeers{sitePeers{w.site, f.settings.Self.ID, address}, w})
		go f.Follow(ctx, w.origin)
		go f.RunRollouts(ctx, noRolloutStore{})
		go f.Run(ctx)
	}
	time.Sleep(1100 * time.Millisecond)
	for _, f := range w.hosts {
		f.fleet.MarkCold("cold1", f.now().Add(time.Hour))
		if f.settings.Self.Zone == "z1" && (p.duty == nil || (p.duty(f, f.now()).ID == f.settings.Self.ID) == p.own) {
			w.near = f
		}
	}
	if p.fill {
		w.fill()
	}
	time.Sleep(100 * time.Millisecond)
	return w
}

type noRolloutStore struct{}

func (noRolloutStore) Record(context.Context, rollout.Status, history.Point) error {
	return errConnectionLost
}

// waitingFiller is a run that leaves no room on its engine.
type waitingFiller struct {
	host *Forwarder
	run  *ownRun
}

// fill has a peer in each zone fill the engines there.
func (w *waitingSite) fill() {
	filled := map[member.UpstreamID]bool{}
	for _, f := range w.peersOfNear() {
		for _, u := range w.upstreams() {
			if u.Service != "llm" || u.Zone != f.settings.Self.Zone || filled[u.ID] {
				continue
			}
			filled[u.ID] = true
			r := policy.Request{Run: policy.RunID("fill-" + string(u.ID)), Route: "/llm/", PromptTokens: 32000, MaxOutputTokens: 4500, Zone: u.Zone}
			_, run, _, ok := f.engines.placeGranted(f.now(), "llm", r, PlacementGrant{Engine: u.ID})
			if !ok {
				w.t.Fatalf("%s isn't filled", u.ID)
			}
			w.fillers = append(w.fillers, waitingFiller{f, run})
			f.engines.recordFirstToken(f.now(), "llm", run)
			f.peers.notifyAll()
		}
	}
}

// leftovers describes what a request has left behind on the hosts.
func (w *waitingSite) leftovers() (left []string) {
	for _, f := range w.hosts {
		id := f.settings.Self.ID
		f.mu.Lock()
		if n := len(f.inFlight); n > 0 {
			left = append(left, fmt.Sprintf("%s: %d in flight", id, n))
		}
		f.mu.Unlock()
		f.engines.mu.Lock()
		for name, p := range f.engines.pools {
			if n := len(p.waiting) + p.pool.Waiting() + len(p.ownRuns) + len(p.unconfirmedGrants); n > 0 {
				left = append(left, fmt.Sprintf("%s: %d waiting, %d queued, %d runs, %d grants of %s", id, len(p.waiting), p.pool.Waiting(), len(p.ownRuns), len(p.unconfirmedGrants), name))
			}
		}
		f.engines.mu.Unlock()
		f.admissions.mu.Lock()
		asked := f.admissions.asked
		f.admissions.mu.Unlock()
		if n := f.ZoneQueueLength(); n+asked > 0 {
			left = append(left, fmt.Sprintf("%s: %d in the zone's queue, %d asked", id, n, asked))
		}
		if n := f.answerBudget.Reserved(); n != 0 {
			left = append(left, fmt.Sprintf("%s: %d bytes held", id, n))
		}
	}
	return left
}
