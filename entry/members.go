// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/sourcegraph/conc/pool"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/resource"
)

// Hosts is the platform's list of live and leaving hosts.
type Hosts interface {
	Hosts(ctx context.Context) (member.HostList, error)
}

// members is the duty that knows who is alive. Its view is shared by all
// duties under one mutex.
type members struct {
	entry *Entry
	// wake asks for heartbeats at once.
	wake chan struct{}

	mu   sync.Mutex
	view *member.View
	// leaving says that this entry is stopping.
	leaving bool
	// pools are the states of the pools coordinated here, as of the last beat.
	pools []PoolStatus
	// free is what other zones' pools had free, as last heard.
	free map[zonePool]heardFree
}

type zonePool struct {
	zone member.Zone
	pool resource.Name
}

type heardFree struct {
	free policy.Tokens
	at   time.Time
	// direct says that the zone itself told; what others tell isn't passed on,
	// or it would never fade.
	direct bool
}

const (
	hostListEvery = 5 * time.Second
	// A site that is started together forms quickly: the list is read more
	// often at first.
	formingTime          = 15 * time.Second
	formingEvery         = time.Second
	heartbeatTimeout     = 900 * time.Millisecond
	heartbeatConcurrency = 32
	// freeFades is how long another zone's word on its free memory counts.
	freeFades = 5 * time.Second
)

func newMembers(e *Entry, now time.Time, seeds []member.Entry) *members {
	return &members{entry: e, view: member.NewView(now, e.self, seeds...), free: map[zonePool]heardFree{}, wake: make(chan struct{}, 1)}
}

// jitter spreads a period by a quarter up and down, so that hosts started
// together don't call together.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}

// runHeartbeats sends a heartbeat to each linked peer once a period.
func (m *members) runHeartbeats(ctx context.Context) {
	for {
		m.beat(ctx)
		m.entry.crashes.Forget(m.entry.now(), m.isKnown)
		timer := time.NewTimer(jitter(member.HeartbeatInterval))
		select {
		case <-timer.C:
		case <-m.wake:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// nudge asks for a round of heartbeats at once.
func (m *members) nudge() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// isKnown reports whether an entry is still remembered.
func (m *members) isKnown(id member.HostID) bool {
	_, known := m.Entry(id)
	return known
}

// beat sends one round of heartbeats.
func (m *members) beat(ctx context.Context) {
	pools := m.entry.placement.status(ctx)
	m.mu.Lock()
	m.pools = pools
	calls := m.view.HeartbeatTargets(m.entry.now())
	m.mu.Unlock()
	round := pool.New().WithMaxGoroutines(heartbeatConcurrency)
	for _, to := range calls {
		round.Go(func() { m.beatOne(ctx, to, pools) })
	}
	round.Wait()
}

func (m *members) beatOne(ctx context.Context, to member.Entry, pools []PoolStatus) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	slept := m.entry.settings.Clock.TotalSuspended()
	h, upTo := m.heartbeat(m.entry.now(), to, pools)
	answer, err := m.entry.peers.Heartbeat(ctx, to, h)
	if err != nil {
		if ctx.Err() == nil {
			m.lost(to)
		}
		return
	}
	answer.age(m.entry.settings.Clock.TotalSuspended() - slept)
	m.receive(m.entry.now(), answer)
	m.entry.crashes.Told(answer.From.ID, answer.Epoch, upTo)
	if answer.Revision > m.entry.config.Catalog().Revision() {
		m.entry.config.pull(ctx, to)
	}
}

// OnLinkDown takes in that a peer's own link to this entry broke.
func (m *members) OnLinkDown(from member.HostID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.MarkLinkBroken(from)
}

// lost takes a refused or broken link for the peer's end; a silent one counts
// only after member.SuspectAfter.
func (m *members) lost(to member.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.MarkLinkBroken(to.ID)
}

// heartbeat is what this entry tells a peer, and the change of the crashes up to which that
// tells everything.
func (m *members) heartbeat(now time.Time, peer member.Entry, pools []PoolStatus) (Heartbeat, uint64) {
	revision, to := m.entry.config.Catalog().Revision(), peer.Zone
	crashes, upTo := m.entry.crashes.Tell(now, peer.ID)
	m.mu.Lock()
	defer m.mu.Unlock()
	h := Heartbeat{
		From: m.entry.self, Revision: revision, Leaving: m.leaving, LeavingUpstreams: m.view.LeavingUpstreams(),
		Epoch: m.entry.crashes.epoch, Crashes: crashes, Era: m.entry.Era(),
	}
	h.Zones = m.zonesFor(now, to, revision)
	for _, status := range pools {
		if to != m.entry.self.Zone {
			status.Reports = nil
		}
		h.Pools = append(h.Pools, status)
	}
	for at, heard := range m.free {
		if heard.direct && now.Sub(heard.at) < freeFades && to == m.entry.self.Zone {
			h.Pools = append(h.Pools, PoolStatus{Pool: at.pool, Zone: at.zone, Free: heard.free})
		}
	}
	return h, upTo
}

// zonesFor lists the zones' reports for a peer. Within the zone, only the
// entries that have links to other zones have something to tell. The mutex is
// held.
func (m *members) zonesFor(now time.Time, to member.Zone, revision resource.Revision) []ZoneStatus {
	if to == m.entry.self.Zone && !m.view.IsWatcher(now) {
		return nil
	}
	var told []ZoneStatus
	for _, z := range m.view.Zones() {
		report := m.view.LastZoneReport(z)
		if z == m.entry.self.Zone {
			report = m.view.OwnZoneReport(now, uint64(revision))
		}
		if !report.ObservedAt.IsZero() {
			told = append(told, ZoneStatus{
				Zone: z, Revision: resource.Revision(report.MinRevision), Entries: report.Entries, Age: now.Sub(report.ObservedAt),
			})
		}
	}
	return told
}

// OnHeartbeat serves a peer's heartbeat.
func (m *members) OnHeartbeat(now time.Time, h Heartbeat) Heartbeat {
	// It may have waited here while this machine was suspended.
	h.age(m.entry.settings.Clock.MaxMessageDelay(now))
	m.receive(now, h)
	m.mu.Lock()
	pools := m.pools
	m.mu.Unlock()
	if h.Revision > m.entry.config.Catalog().Revision() {
		m.entry.spawn(func(ctx context.Context) { m.entry.config.pull(ctx, h.From) })
	}
	answer, _ := m.heartbeat(now, h.From, pools)
	return answer
}

// receive takes in what a peer told.
func (m *members) receive(now time.Time, h Heartbeat) {
	m.entry.crashes.Met(h.From.ID, h.Epoch)
	m.entry.crashes.Receive(now, h.Crashes)
	m.entry.observeEra(h.Era)
	m.mu.Lock()
	m.view.RecordHeartbeat(now, h.From, uint64(h.Revision), h.Leaving)
	for _, id := range h.LeavingUpstreams {
		m.markLeaving(id, "peer")
	}
	for _, z := range h.Zones {
		m.view.RecordZoneReport(z.Zone, member.ZoneReport{MinRevision: uint64(z.Revision), Entries: z.Entries, ObservedAt: now.Add(-z.Age)})
	}
	for _, status := range h.Pools {
		if status.Zone != m.entry.self.Zone {
			m.free[zonePool{status.Zone, status.Pool}] = heardFree{
				free: status.Free, at: now, direct: status.Zone == h.From.Zone,
			}
		}
	}
	m.mu.Unlock()
	for _, status := range h.Pools {
		if len(status.Reports) > 0 {
			m.entry.spawn(func(ctx context.Context) {
				m.entry.placement.applyReports(ctx, status.Pool, status.Reports, nil)
			})
		}
	}
}

// markLeaving records a sign that an upstream leaves. The mutex is held.
func (m *members) markLeaving(id member.UpstreamID, sign string) {
	if m.view.MarkLeaving(id) {
		_ = level.Info(m.entry.logger).Log("msg", "upstream is leaving", "upstream", id, "sign", sign)
	}
}

// MarkLeaving records an upstream's own word that it is leaving.
func (m *members) MarkLeaving(id member.UpstreamID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.markLeaving(id, "upstream")
}

// runHostList follows the platform's list.
func (m *members) runHostList(ctx context.Context) {
	failing := false
	began := m.entry.now()
	for {
		list, err := m.entry.hosts.Hosts(ctx)
		if err == nil {
			m.mu.Lock()
			m.view.UpdateHostList(m.entry.now(), list)
			m.mu.Unlock()
		}
		if failing != (err != nil) {
			failing = err != nil
			logChange(m.entry.logger, "host list", failing, err)
		}
		period := m.entry.settings.HostListInterval
		if m.entry.now().Sub(began) < formingTime {
			period = min(period, formingEvery)
		}
		if !pause(ctx, jitter(period)) {
			return
		}
	}
}

// logChange writes a line when something starts or stops failing.
func logChange(logger log.Logger, what string, failing bool, err error) {
	if failing {
		_ = level.Warn(logger).Log("msg", what+" is failing", "err", err)
		return
	}
	_ = level.Info(logger).Log("msg", what+" works again")
}

// setLeaving makes the next heartbeats say that this entry is stopping.
func (m *members) setLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
	m.view.MarkSelfLeaving()
}

// Upstream finds an upstream by its id, also one that is leaving.
func (m *members) Upstream(id member.UpstreamID) (member.Upstream, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Upstream(id)
}

// upstreamsFor lists the upstreams of a zone that take new work; with an empty
// zone, of all.
func (m *members) upstreamsFor(kind member.UpstreamKind, name resource.Name, z member.Zone) []member.Upstream {
	catalog := m.entry.config.Catalog()
	m.mu.Lock()
	defer m.mu.Unlock()
	listed := m.view.Upstreams(kind, string(name), z)
	kept := listed[:0]
	for _, u := range listed {
		if !catalog.Drained(string(u.ID), string(u.Zone)) {
			kept = append(kept, u)
		}
	}
	return kept
}

// enginesFor lists the engines of a pool that this zone decides about and that
// take new work: its own, and those of zones that no entry is heard from.
func (m *members) enginesFor(now time.Time, name resource.Name) []member.Upstream {
	engines := m.upstreamsFor(member.KindEngine, name, m.entry.self.Zone)
	m.mu.Lock()
	orphaned := m.view.OrphanedZones(now)
	m.mu.Unlock()
	for _, z := range orphaned {
		engines = append(engines, m.upstreamsFor(member.KindEngine, name, z)...)
	}
	return engines
}

// EnginesFor lists the ids of those engines.
func (m *members) EnginesFor(now time.Time, name resource.Name) []policy.EngineID {
	var ids []policy.EngineID
	for _, u := range m.enginesFor(now, name) {
		ids = append(ids, u.ID)
	}
	return ids
}

// LiveHere lists the live entries of this zone.
func (m *members) LiveHere(now time.Time) []member.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.AvailableEntries(now, m.entry.self.Zone)
}

// Alive reports whether an entry was heard of lately.
func (m *members) Alive(now time.Time, id member.HostID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Alive(now, id)
}

// Gone reports whether an entry's runs are taken to have ended with it.
func (m *members) Gone(now time.Time, id member.HostID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.PresumedDead(now, id)
}

// Entry finds an entry by its id.
func (m *members) Entry(id member.HostID) (member.Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Entry(id)
}

// Coordinator is the live entry of this zone that coordinates a pool.
func (m *members) Coordinator(now time.Time, name resource.Name) member.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	if owner, found := m.view.Owner(now, poolDuty(name), m.entry.self.Zone); found {
		return owner
	}
	// An entry that leaves alone keeps its duties to the end.
	return m.entry.self
}

func poolDuty(name resource.Name) string { return "pool/" + string(name) }

// OtherCoordinators lists, for each other zone that lately had room for the
// prompt, an entry to ask there.
func (m *members) OtherCoordinators(now time.Time, name resource.Name, prompt policy.Tokens) []member.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	var asked []member.Entry
	for _, z := range m.view.Zones() {
		heard := m.free[zonePool{z, name}]
		if z == m.entry.self.Zone || now.Sub(heard.at) > freeFades || heard.free <= prompt {
			continue
		}
		if owner, found := m.view.ProbableOwner(now, poolDuty(name), z); found {
			asked = append(asked, owner)
		}
	}
	return asked
}

// decidesAlone reports whether this entry has a duty of which there is one for the whole
// site: the owner in the zone that the duty falls to.
func (m *members) decidesAlone(now time.Time, duty string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	zones := []member.Entry{{ID: member.HostID(m.entry.self.Zone)}}
	for _, z := range m.view.Zones() {
		zones = append(zones, member.Entry{ID: member.HostID(z)})
	}
	if member.Rank(duty, zones)[0].ID != member.HostID(m.entry.self.Zone) {
		return false
	}
	owner, found := m.view.Owner(now, duty, m.entry.self.Zone)
	return found && owner.ID == m.entry.self.ID
}

// Watches reports whether this entry keeps the platform's watch for its zone.
func (m *members) Watches(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.IsWatcher(now)
}
