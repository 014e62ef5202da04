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

// Hosts reads the platform's list of live and leaving hosts.
type Hosts interface {
	Hosts(ctx context.Context) (member.HostList, error)
}

// members tracks which entries and upstreams are alive. All duties share its view under one mutex.
type members struct {
	entry *Entry
	// wake triggers a round of heartbeats at once.
	wake chan struct{}

	mu   sync.Mutex
	view *member.View
	// hostListRead reports whether the platform's host list was read once.
	hostListRead bool
	// leaving reports whether this entry is stopping.
	leaving bool
	// coordinatedPools holds the states of the pools that this entry coordinates, as of the last
	// round of heartbeats.
	coordinatedPools []PoolStatus
	// freeReports holds the last report of the free memory in each pool of the other zones.
	freeReports map[zonePool]freeReport
}

// zonePool identifies a pool's engines in one zone.
type zonePool struct {
	zone member.Zone
	pool resource.Name
}

// freeReport is a received report of the free memory of a pool in another zone.
type freeReport struct {
	tokens     policy.Tokens
	receivedAt time.Time
	// direct reports whether the report came from the zone itself. Relayed reports aren't passed on
	// again, because they would otherwise never expire.
	direct bool
}

const (
	hostListInterval = 5 * time.Second
	// During startupPeriod after its start, an entry reads the host list at
	// startupHostListInterval, so that a site whose hosts start together forms quickly.
	startupPeriod           = 15 * time.Second
	startupHostListInterval = time.Second
	heartbeatTimeout        = 900 * time.Millisecond
	heartbeatConcurrency    = 32
	// freeReportTTL is how long another zone's report of its free memory counts.
	freeReportTTL = 5 * time.Second
)

func newMembers(e *Entry, now time.Time, seeds []member.Entry) *members {
	return &members{entry: e, view: member.NewView(now, e.self, seeds...), freeReports: map[zonePool]freeReport{}, wake: make(chan struct{}, 1)}
}

// jitter returns a random duration within a quarter of d above or below it, so that hosts that were
// started together don't send at the same moments.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}

// runHeartbeats sends heartbeats at about member.HeartbeatInterval, and whenever requestHeartbeats
// asks for them.
func (m *members) runHeartbeats(ctx context.Context) {
	for {
		m.sendHeartbeats(ctx)
		m.entry.crashes.Prune(m.entry.now(), m.isKnown)
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

// requestHeartbeats asks for a round of heartbeats at once.
func (m *members) requestHeartbeats() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// isKnown reports whether the view still contains an entry.
func (m *members) isKnown(id member.HostID) bool {
	_, known := m.Entry(id)
	return known
}

// sendHeartbeats sends one round of heartbeats.
func (m *members) sendHeartbeats(ctx context.Context) {
	pools := m.entry.placement.coordinatedPoolStatuses(ctx)
	m.mu.Lock()
	m.coordinatedPools = pools
	targets := m.view.HeartbeatTargets(m.entry.now())
	m.mu.Unlock()
	workers := pool.New().WithMaxGoroutines(heartbeatConcurrency)
	for _, to := range targets {
		workers.Go(func() { m.sendHeartbeat(ctx, to, pools) })
	}
	workers.Wait()
}

// sendHeartbeat sends a peer a heartbeat and handles its answer. It also pulls the configuration if
// the peer has a newer one.
func (m *members) sendHeartbeat(ctx context.Context, to member.Entry, pools []PoolStatus) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	suspendedBefore := m.entry.settings.Clock.TotalSuspended()
	h, upTo := m.buildHeartbeat(m.entry.now(), to, pools)
	answer, err := m.entry.peers.Heartbeat(ctx, to, h)
	if err != nil {
		if ctx.Err() == nil {
			m.markLinkBroken(to)
		}
		return
	}
	answer.addDelay(m.entry.settings.Clock.TotalSuspended() - suspendedBefore)
	m.receive(m.entry.now(), answer)
	m.entry.crashes.MarksSent(answer.From.ID, answer.Epoch, upTo)
	if answer.Revision > m.entry.config.Catalog().Revision() {
		m.entry.config.pull(ctx, to)
	}
}

// OnLinkDown records that a peer's link to this entry broke.
func (m *members) OnLinkDown(from member.HostID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.MarkLinkBroken(from)
}

// markLinkBroken records that the link to a peer was refused or broke. The peer doesn't count as
// alive until its next heartbeat. It isn't called for a peer that is merely silent, which counts as
// alive until member.SuspectTimeout has passed.
func (m *members) markLinkBroken(to member.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.MarkLinkBroken(to.ID)
}

// buildHeartbeat returns the heartbeat for a peer. Once the peer has received it, the peer knows
// all changes of the crash marks up to the returned number.
func (m *members) buildHeartbeat(now time.Time, peer member.Entry, pools []PoolStatus) (Heartbeat, uint64) {
	m.entry.observeEra(m.entry.store.Era())
	revision, to := m.entry.config.Catalog().Revision(), peer.Zone
	crashes, upTo := m.entry.crashes.UnsentMarks(now, peer.ID)
	m.mu.Lock()
	defer m.mu.Unlock()
	h := Heartbeat{
		From: m.entry.self, Revision: revision, Leaving: m.leaving, LeavingUpstreams: m.view.LeavingUpstreams(),
		Epoch: m.entry.crashes.epoch, Crashes: crashes, Era: m.entry.Era(),
	}
	h.Zones = m.zoneStatusesFor(now, to, revision)
	for _, status := range pools {
		if to != m.entry.self.Zone {
			status.Reports = nil
		}
		h.Pools = append(h.Pools, status)
	}
	for at, report := range m.freeReports {
		if report.direct && now.Sub(report.receivedAt) < freeReportTTL && to == m.entry.self.Zone {
			h.Pools = append(h.Pools, PoolStatus{Pool: at.pool, Zone: at.zone, FreeTokens: report.tokens})
		}
	}
	return h, upTo
}

// zoneStatusesFor lists the zone reports to send to a peer in the given zone. Within its own zone,
// only an entry with links to other zones sends reports. The caller must hold the mutex.
func (m *members) zoneStatusesFor(now time.Time, to member.Zone, revision resource.Revision) []ZoneStatus {
	if to == m.entry.self.Zone && !m.view.IsWatcher(now) {
		return nil
	}
	var statuses []ZoneStatus
	for _, z := range m.view.Zones() {
		report := m.view.LastZoneReport(z)
		if z == m.entry.self.Zone {
			report = m.view.OwnZoneReport(now, uint64(revision))
		}
		if !report.ObservedAt.IsZero() {
			statuses = append(statuses, ZoneStatus{
				Zone: z, Revision: resource.Revision(report.MinRevision), Entries: report.Entries, Age: now.Sub(report.ObservedAt),
			})
		}
	}
	return statuses
}

// OnHeartbeat handles a peer's heartbeat and returns this entry's own.
func (m *members) OnHeartbeat(now time.Time, h Heartbeat) Heartbeat {
	// The heartbeat may have been received before this machine was suspended.
	h.addDelay(m.entry.settings.Clock.MaxMessageDelay(now))
	m.receive(now, h)
	m.mu.Lock()
	pools := m.coordinatedPools
	m.mu.Unlock()
	if h.Revision > m.entry.config.Catalog().Revision() {
		m.entry.spawn(func(ctx context.Context) { m.entry.config.pull(ctx, h.From) })
	}
	answer, _ := m.buildHeartbeat(now, h.From, pools)
	return answer
}

// receive records the contents of a peer's heartbeat.
func (m *members) receive(now time.Time, h Heartbeat) {
	m.entry.crashes.PeerSeen(h.From.ID, h.Epoch)
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
			m.freeReports[zonePool{status.Zone, status.Pool}] = freeReport{
				tokens: status.FreeTokens, receivedAt: now, direct: status.Zone == h.From.Zone,
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

// markLeaving records that an upstream is leaving. sign names the source of the information in the
// log. The caller must hold the mutex.
func (m *members) markLeaving(id member.UpstreamID, sign string) {
	if m.view.MarkLeaving(id) {
		_ = level.Info(m.entry.logger).Log("msg", "upstream is leaving", "upstream", id, "sign", sign)
	}
}

// MarkLeaving records that an upstream announced that it is leaving.
func (m *members) MarkLeaving(id member.UpstreamID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.markLeaving(id, "upstream")
}

// runHostList polls the platform's host list.
func (m *members) runHostList(ctx context.Context) {
	failing := false
	startedAt := m.entry.now()
	for {
		list, err := m.entry.hosts.Hosts(ctx)
		if err == nil {
			m.mu.Lock()
			m.view.UpdateHostList(m.entry.now(), list)
			m.hostListRead = true
			m.mu.Unlock()
			err = list.Unusable
		}
		if failing != (err != nil) {
			failing = err != nil
			logFailureChange(m.entry.logger, "host list", failing, err)
		}
		period := m.entry.settings.HostListInterval
		if m.entry.now().Sub(startedAt) < startupPeriod {
			period = min(period, startupHostListInterval)
		}
		if !sleepContext(ctx, jitter(period)) {
			return
		}
	}
}

// logFailureChange logs that something has started or stopped failing.
func logFailureChange(logger log.Logger, what string, failing bool, err error) {
	if failing {
		_ = level.Warn(logger).Log("msg", what+" is failing", "err", err)
		return
	}
	_ = level.Info(logger).Log("msg", what+" works again")
}

// setLeaving makes the next heartbeats announce that this entry is stopping.
func (m *members) setLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
	m.view.MarkSelfLeaving()
}

// Upstream returns the upstream with the given id, even if it is leaving.
func (m *members) Upstream(id member.UpstreamID) (member.Upstream, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Upstream(id)
}

// upstreamsFor lists the upstreams of a zone that take new work. With an empty zone it lists those
// of all zones.
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

// enginesFor lists the engines of a pool that take new work and are placed from this zone: the
// zone's own engines, and those of orphaned zones, on which no report arrives any longer.
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

// EngineIDsFor lists the ids of the engines that enginesFor returns.
func (m *members) EngineIDsFor(now time.Time, name resource.Name) []policy.EngineID {
	var ids []policy.EngineID
	for _, u := range m.enginesFor(now, name) {
		ids = append(ids, u.ID)
	}
	return ids
}

// AvailableInOwnZone lists the entries of this zone that are alive and not leaving.
func (m *members) AvailableInOwnZone(now time.Time) []member.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.AvailableEntries(now, m.entry.self.Zone)
}

// Alive reports whether an entry is alive, leaving or not.
func (m *members) Alive(now time.Time, id member.HostID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Alive(now, id)
}

// PresumedDead reports whether an entry's runs are presumed to have ended with it.
func (m *members) PresumedDead(now time.Time, id member.HostID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.PresumedDead(now, id)
}

// hasHostList reports whether all listed entries are known.
func (m *members) hasHostList() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hostListRead
}

// Peers lists all known entries but this one, alive or not.
func (m *members) Peers() []member.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Peers()
}

// Entry returns the entry with the given id.
func (m *members) Entry(id member.HostID) (member.Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Entry(id)
}

// Coordinator returns the available entry of this zone that coordinates a pool.
func (m *members) Coordinator(now time.Time, name resource.Name) member.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	if owner, found := m.view.Owner(now, poolDuty(name), m.entry.self.Zone); found {
		return owner
	}
	// No entry of the zone is available: this entry is leaving, and keeps its duties to the end.
	return m.entry.self
}

// poolDuty returns the name of the duty to coordinate a pool.
func poolDuty(name resource.Name) string { return "pool/" + string(name) }

// CoordinatorsInOtherZones lists the entries to ask for a place in the other zones that recently
// reported enough free memory for the prompt, one for each zone.
func (m *members) CoordinatorsInOtherZones(now time.Time, name resource.Name, prompt policy.Tokens) []member.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	var coordinators []member.Entry
	for _, z := range m.view.Zones() {
		report := m.freeReports[zonePool{z, name}]
		if z == m.entry.self.Zone || now.Sub(report.receivedAt) > freeReportTTL || report.tokens <= prompt {
			continue
		}
		if owner, found := m.view.ProbableOwner(now, poolDuty(name), z); found {
			coordinators = append(coordinators, owner)
		}
	}
	return coordinators
}

// ownsSiteDuty reports whether this entry has a duty that exists once per site. Rank assigns the
// duty to a zone, in which its owner has it.
func (m *members) ownsSiteDuty(now time.Time, duty string) bool {
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

// IsWatcher reports whether this entry is one of the entries of its zone that watch the platform.
func (m *members) IsWatcher(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.IsWatcher(now)
}
