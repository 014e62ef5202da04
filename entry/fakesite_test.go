// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/shedpath/shedpath/clock"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/resource"
)

// fakePeers connects an entry directly to the other entries of the test's site, except over links
// that are down.
type fakePeers struct {
	mu       sync.Mutex
	from     member.HostID
	site     *fakeSite
	linkDown map[member.HostID]bool
	// frozen peers accept a call and never answer.
	frozen map[member.HostID]bool
	// answersLate holds the peers that handle a placement request only after its caller has given
	// up.
	answersLate map[member.HostID]bool
}

var errLinkDown = errors.New("the link to the peer is down")

func (p *fakePeers) reach(to member.Entry) (*Entry, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := p.site.entry(to.ID)
	if entry == nil || p.linkDown[to.ID] {
		return nil, errLinkDown
	}
	return entry, nil
}

func (p *fakePeers) setLinkDown(id member.HostID, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.linkDown[id] = cut
}

func (p *fakePeers) Heartbeat(ctx context.Context, to member.Entry, h Heartbeat) (Heartbeat, error) {
	if p.isFrozen(to.ID) {
		<-ctx.Done()
		return Heartbeat{}, ctx.Err()
	}
	e, err := p.reach(to)
	if err != nil {
		return Heartbeat{}, err
	}
	return e.OnHeartbeat(time.Now(), h), nil
}

func (p *fakePeers) setFrozen(id member.HostID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = map[member.HostID]bool{id: true}
}

func (p *fakePeers) isFrozen(id member.HostID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.frozen[id]
}

func (p *fakePeers) Place(ctx context.Context, to member.Entry, pool resource.Name, requests []policy.Request) ([]policy.Decision, error) {
	if p.isFrozen(to.ID) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	e, err := p.reach(to)
	if err != nil {
		return nil, err
	}
	if p.isAnsweringLate(to.ID) {
		<-ctx.Done()
		_, _ = e.OnPlace(p.site.ctx, p.from, pool, requests)
		return nil, ctx.Err()
	}
	return e.OnPlace(ctx, p.from, pool, requests)
}

func (p *fakePeers) setAnswersLate(id member.HostID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answersLate = map[member.HostID]bool{id: true}
}

func (p *fakePeers) isAnsweringLate(id member.HostID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answersLate[id]
}

func (p *fakePeers) Decided(ctx context.Context, to member.Entry, pool resource.Name, decisions []policy.Decision) error {
	e, err := p.reach(to)
	if err != nil {
		return err
	}
	return e.OnDecided(ctx, p.from, pool, decisions)
}

func (p *fakePeers) Finished(ctx context.Context, to member.Entry, pool resource.Name, finished []policy.Finish) error {
	e, err := p.reach(to)
	if err != nil {
		return err
	}
	return e.OnFinished(ctx, pool, finished)
}

func (p *fakePeers) Running(ctx context.Context, to member.Entry, pool resource.Name, runs []PlacedRun) error {
	e, err := p.reach(to)
	if err != nil {
		return err
	}
	return e.OnRunning(ctx, p.from, pool, runs)
}

func (p *fakePeers) ClaimRepair(ctx context.Context, to member.Entry, r ClaimRepair) (ClaimRepair, error) {
	if p.isFrozen(to.ID) {
		<-ctx.Done()
		return ClaimRepair{}, ctx.Err()
	}
	e, err := p.reach(to)
	if err != nil {
		return ClaimRepair{}, err
	}
	return e.OnClaimRepair(time.Now(), r), nil
}

func (p *fakePeers) Log(_ context.Context, to member.Entry, after resource.Revision) (LogTail, error) {
	e, err := p.reach(to)
	if err != nil {
		return LogTail{}, err
	}
	return e.OnLog(after), nil
}

// fakeHosts is a host list that a test can change.
type fakeHosts struct {
	mu   sync.Mutex
	list member.HostList
	down bool
}

func (h *fakeHosts) Hosts(context.Context) (member.HostList, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return member.HostList{}, errAnswerLost
	}
	return h.list, nil
}

func (h *fakeHosts) update(change func(*member.HostList)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(&h.list)
}

// fakeSite is a set of entries that share fake dependencies.
type fakeSite struct {
	store    *fakeStore
	hosts    *fakeHosts
	engines  *fakeEngines
	services *fakeServices
	entries  map[member.HostID]*Entry
	peers    map[member.HostID]*fakePeers
	stores   map[member.HostID]*disconnectableStore
	leases   fakeLeases
	running  sync.WaitGroup
	ctx      context.Context
	// clock is the clock of entries that are added after it is set; nil means the default clock.
	clock *clock.Clock
	// upstreams is the prober of entries that are added after it is set.
	upstreams UpstreamProber
	// mu guards entries.
	mu sync.Mutex
}

func (s *fakeSite) entry(id member.HostID) *Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[id]
}

func newFakeSite(ctx context.Context) *fakeSite {
	return &fakeSite{
		store: newFakeStore(), hosts: &fakeHosts{}, engines: newFakeEngines(),
		services: &fakeServices{calls: map[string]int{}},
		entries:  map[member.HostID]*Entry{}, peers: map[member.HostID]*fakePeers{},
		stores: map[member.HostID]*disconnectableStore{}, ctx: ctx,
	}
}

// addEntry starts an entry. The entry stops when the site's context ends.
func (s *fakeSite) addEntry(id member.HostID, zone member.Zone) *Entry {
	self := member.Entry{ID: id, Zone: zone, PeerAddress: string(id)}
	peers := &fakePeers{from: id, site: s, linkDown: map[member.HostID]bool{}}
	store := &disconnectableStore{fakeStore: s.store}
	s.stores[id] = store
	e := New(Settings{Self: self, GenerationKey: []byte("key"), HostListInterval: time.Second, Clock: s.clock}, Dependencies{
		Store: store, Claims: store, Outcomes: store, Hosts: s.hosts, Peers: peers,
		Engines: s.engines, Services: s.services, Leases: &s.leases, Upstreams: s.upstreams,
	})
	s.hosts.update(func(list *member.HostList) { list.Entries = append(list.Entries, self) })
	s.mu.Lock()
	s.entries[id], s.peers[id] = e, peers
	s.mu.Unlock()
	s.running.Go(func() { e.Run(s.ctx) })
	return e
}

// addEngine lists an engine that reports much free memory.
func (s *fakeSite) addEngine(id member.UpstreamID, zone member.Zone) {
	s.engines.mu.Lock()
	s.engines.loads[id] = EngineLoad{Report: policy.Report{TotalMemory: 100_000, StepTime: 20 * time.Millisecond}}
	s.engines.mu.Unlock()
	s.hosts.update(func(list *member.HostList) {
		list.Upstreams = append(list.Upstreams, member.Upstream{
			ID: id, Zone: zone, Address: string(id), Pool: "desk", Kind: member.KindEngine,
		})
	})
}

func (s *fakeSite) addService(id member.UpstreamID, zone member.Zone) {
	s.hosts.update(func(list *member.HostList) {
		list.Upstreams = append(list.Upstreams, member.Upstream{
			ID: id, Zone: zone, Address: string(id), Pool: "stock", Kind: member.KindService,
		})
	})
}

// declareSampleConfig writes the sample configuration through an entry.
func (s *fakeSite) declareSampleConfig(e *Entry) error {
	for _, c := range []resource.Change{
		{Kind: resource.EnginePools, Name: "desk", Spec: json.RawMessage(`{}`)},
		{Kind: resource.Models, Name: "m", Spec: json.RawMessage(`{"pool":"desk","version":"1"}`)},
		{Kind: resource.Routes, Name: "quote", Spec: json.RawMessage(`{"model":"m","timeout":"10s"}`)},
		{Kind: resource.Routes, Name: "stock", Spec: json.RawMessage(`{"service":"stock","repeatable":true}`)},
		{Kind: resource.Routes, Name: "orders", Spec: json.RawMessage(`{"service":"stock","timeout":"5s"}`)},
	} {
		if _, err := e.Propose(s.ctx, c, nil); err != nil {
			return err
		}
	}
	return nil
}

func quoteRequest() GenerationRequest {
	return GenerationRequest{Account: "counter", Route: "quote", Shape: ShapeCompletion, PromptTokens: 10}
}

var peerEntry = member.Entry{ID: "e9", Zone: "az1", PeerAddress: "e9"}

// markG1Leaving marks the upstream g1 as leaving.
func markG1Leaving(list *member.HostList) {
	upstreams := append([]member.Upstream(nil), list.Upstreams...)
	for i := range upstreams {
		if upstreams[i].ID == "g1" {
			upstreams[i].Leaving = true
		}
	}
	list.Upstreams = upstreams
}

func proposeDrain(s *fakeSite, e *Entry, upstream string) error {
	spec, err := json.Marshal(resource.DrainOrder{Upstream: upstream})
	if err != nil {
		return err
	}
	_, err = e.Propose(s.ctx, resource.Change{Kind: resource.DrainOrders, Name: "d", Spec: spec}, nil)
	return err
}
