// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/rollout"
)

// Rollouts move services to upstreams of another version. Every host follows the phase that it
// knows and reports what it observes. One host, the first live one, decides for all hosts and
// has the origin record its decisions.

// RolloutStore stores the phases of rollouts.
type RolloutStore interface {
	// Record replaces the record written at the point over, zero if there is none, with the
	// phase in s. It returns ErrRecordChanged if the stored record is a different one by now.
	Record(ctx context.Context, s rollout.Status, over history.Point) error
}

// ErrRecordChanged means that the stored record is not the one that the writer expected.
var ErrRecordChanged = errors.New("the record has changed")

const (
	// rolloutCheckInterval is how often rollouts are evaluated.
	rolloutCheckInterval = 100 * time.Millisecond
	// rolloutReportsPerSecond is how many reports per second the deciding host should get from
	// all others together while they observe few answers. A host with a new observation
	// reports it within maxRolloutReportInterval.
	rolloutReportsPerSecond  = 200
	maxRolloutReportInterval = time.Second
	// rolloutReportRepeatFactor is the number of report intervals after which a host repeats
	// an unchanged report, because the deciding host may have restarted.
	rolloutReportRepeatFactor = 5
	// rolloutRecordTimeout bounds one write, and rolloutReportTimeout one report.
	rolloutRecordTimeout = time.Second
	rolloutReportTimeout = 300 * time.Millisecond
)

// rolloutDecider holds the reports from which a host decides about rollouts. The zero value is
// ready to use.
type rolloutDecider struct {
	mu     sync.Mutex
	judges map[ServiceName]*rollout.Decider
}

// addReport adds a host's report to the evidence.
func (d *rolloutDecider) addReport(now time.Time, r rollout.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.judges == nil {
		d.judges = map[ServiceName]*rollout.Decider{}
	}
	j := d.judges[r.Service]
	if j == nil {
		j = &rollout.Decider{}
		d.judges[r.Service] = j
	}
	j.ReceiveReport(now, r)
}

func (d *rolloutDecider) decide(now time.Time, s rollout.Status, f rollout.FleetState) (rollout.Phase, float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	j := d.judges[s.Service]
	if j == nil {
		return s.Phase, 0
	}
	return j.Decide(now, s, f), j.EvidenceAgainst()
}

// receiveRollouts records the state of rollouts as received from the origin or a peer.
func (f *Forwarder) receiveRollouts(now time.Time, statuses []rollout.Status) {
	for _, s := range statuses {
		if !f.rollouts.Receive(now, s, f.settings.RolloutLimits, f.peers.recentMaxHosts(now)) {
			continue
		}
		f.rolloutObservations.Begin(s)
		f.journal.HostEvent("rollout", "service", s.Service, "target", s.Target, "phase", s.Phase, "withdrawn", s.Withdrawn, "given", s.GivenAt, "age", s.Age)
		f.fleet.WakeWaiters()
	}
}

// receiveRolloutRecords records the phases that the origin has stored.
func (f *Forwarder) receiveRolloutRecords(records []rollout.Status) {
	for _, r := range records {
		if f.rollouts.ReceiveRecord(r) {
			f.journal.HostEvent("rollout", "service", r.Service, "target", r.Target, "phase", r.Phase, "recorded", r.Recorded)
			f.fleet.WakeWaiters()
		}
	}
}

// versionConstraint holds the versions that a request may go to. It is safe for concurrent
// use, because attempts for one request run concurrently.
type versionConstraint struct {
	current atomic.Pointer[rollout.VersionFilter]
}

func (v *versionConstraint) get() rollout.VersionFilter {
	if b := v.current.Load(); b != nil {
		return *b
	}
	return rollout.VersionFilter{}
}

func (v *versionConstraint) set(b rollout.VersionFilter) {
	if b != (rollout.VersionFilter{}) || v.current.Load() != nil {
		v.current.Store(&b)
	}
}

// drawVersions draws which versions a new request may go to.
func (x *exchange) drawVersions(now time.Time) rollout.VersionFilter {
	return x.rollouts.DrawFilter(x.service.Name, x.settings.RolloutLimits, func(target rollout.Version) (hasTarget, hasOthers bool) {
		return x.versionsAvailable(now, x.service.Name, target)
	})
}

// versionsAvailable reports whether upstreams of a version accept new work, and whether
// upstreams of other versions do.
func (f *Forwarder) versionsAvailable(now time.Time, service ServiceName, v rollout.Version) (has, others bool) {
	for _, u := range f.fleet.Available(now, service) {
		has, others = has || u.Version == v, others || u.Version != v
	}
	return has, others
}

// retireVersions marks upstreams as leaving whose versions are no longer in service, and
// clears the mark where that no longer holds.
func (f *Forwarder) retireVersions(now time.Time) {
	if f.rollouts.Any() {
		f.fleet.Retire(now, func(u Upstream) bool { return f.rollouts.Retired(u.Service, u.Version) })
	}
}

// Retire marks the upstreams as leaving for which shouldRetire returns true: they get no new
// work, and their runs move. It clears the marks that it set earlier where shouldRetire
// returns false.
func (f *Fleet) Retire(now time.Time, shouldRetire func(Upstream) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, k := range f.upstreams {
		switch retire := shouldRetire(k.Upstream); {
		case retire && !k.Leaving && !k.gone:
			k.startLeaving(now, SourceRollout)
			k.leavingUnconfirmed, k.retiredByRollout, changed = true, true, true
		case !retire && k.retiredByRollout && !k.leavingDeclared && !k.gone:
			k.cancelLeaving()
			changed = true
		}
	}
	f.notify(changed)
}

// recordRolloutAnswer records the answer of an upstream whose service has a rollout. It
// ignores cold upstreams, because these are slow whatever their version.
func (x *exchange) recordRolloutAnswer(now time.Time, u Upstream, m rollout.Measure, failed bool, took time.Duration) {
	if !x.rollouts.Any() || x.fleet.IsCold(now, u.ID) {
		return
	}
	for _, s := range x.rollouts.Statuses(now) {
		if s.Service == u.Service {
			x.rolloutObservations.RecordAnswer(u.Service, rollout.Comparison{Route: x.route.Name, Measure: m}, u.Version == s.Target, failed, took)
		}
	}
}

// recordRolloutAttempt calls recordRolloutAnswer for an attempt of a unary request. An attempt
// that the upstream did not run says nothing about its version.
func (p *unaryExchange) recordRolloutAttempt(ctx context.Context, now time.Time, u Upstream, t *upstreamAttempt) {
	switch _, kept := notSentVerdict(t.err); {
	case kept, errors.Is(t.err, ErrNotSent), ctx.Err() != nil:
	case t.err == nil && (t.response.WrongInstance || t.response.NotRun || t.response.Signals.RetryAfter > 0):
	default:
		p.recordRolloutAnswer(now, u, rollout.ResponseTime, !t.succeeded(), t.elapsed)
	}
}

// RunRollouts reports what this host observes of rollouts, and decides about them while this
// host is the first of all live hosts, until the context ends.
func (f *Forwarder) RunRollouts(ctx context.Context, records RolloutStore) {
	tick := time.NewTicker(rolloutCheckInterval)
	defer tick.Stop()
	lastReports := map[ServiceName]sentRolloutReport{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := f.now()
		for _, s := range f.rollouts.Statuses(now) {
			if first := f.peers.firstHost(now); first.ID != f.peers.self.ID {
				f.reportRollout(ctx, now, first, s, lastReports)
				continue
			}
			f.decideRollout(ctx, now, s, records)
		}
	}
}

// sentRolloutReport is what this host last reported to the deciding host.
type sentRolloutReport struct {
	sentAt           time.Time
	recipient        member.HostID
	observationCount uint64
	phase            rollout.Phase
	given            history.Point
	running          int
}

func (f *Forwarder) rolloutReport(s rollout.Status) (rollout.Report, uint64) {
	evidence, count := f.rolloutObservations.Evidence(s.Service)
	r := rollout.Report{From: f.peers.self.ID, Service: s.Service, GivenAt: s.GivenAt, Phase: s.Phase, Age: s.Age, Epoch: f.peers.epoch, Evidence: evidence}
	if s.Phase >= rollout.Full {
		r.RunningRetired = f.runningRetired(s.Service)
	}
	return r, count
}

// runningRetired counts this host's requests in progress on upstreams of a service whose
// versions are being retired.
func (f *Forwarder) runningRetired(service ServiceName) int {
	n := 0
	count := func(id member.UpstreamID, requests int) {
		if u, known := f.fleet.Upstream(id); known && u.Service == service && f.rollouts.Retired(service, u.Version) {
			n += requests
		}
	}
	f.engines.countOwnRuns(count)
	f.plainChooser.countInFlight(count)
	return n
}

// reportRollout sends what this host has observed to the deciding host if it is new, or if a
// repeat is due.
func (f *Forwarder) reportRollout(ctx context.Context, now time.Time, to Peer, s rollout.Status, lastReports map[ServiceName]sentRolloutReport) {
	peers := f.loadPeerPort()
	before := lastReports[s.Service]
	pause := min(time.Duration(f.peers.recentMaxHosts(now))*time.Second/rolloutReportsPerSecond, maxRolloutReportInterval)
	if peers == nil || now.Sub(before.sentAt) < pause {
		return
	}
	r, count := f.rolloutReport(s)
	next := sentRolloutReport{now, to.ID, count, s.Phase, s.GivenAt, r.RunningRetired}
	repeatDue := now.Sub(before.sentAt) >= rolloutReportRepeatFactor*pause && !s.Phase.Ended()
	before.sentAt = now
	if next == before && !repeatDue {
		return
	}
	call, cancel := context.WithTimeout(ctx, rolloutReportTimeout)
	defer cancel()
	reply, err := peers.Rollout(call, to, r)
	if err != nil {
		next.observationCount, next.recipient = before.observationCount, ""
		f.peers.markUnreachable(now, to.ID)
		f.journal.HostEvent("rollout not reported", "service", s.Service, "peer", to.ID, "err", err)
	}
	lastReports[s.Service] = next
	if err == nil && reply.Service == s.Service {
		f.receiveRollouts(now, []rollout.Status{reply})
	}
}

// OnRollout serves a peer that reports its observations, and returns the state of the rollout
// as this host knows it.
func (f *Forwarder) OnRollout(r rollout.Report) rollout.Status {
	now := f.now()
	f.rolloutDecider.addReport(now, r)
	f.rollouts.ReceiveAge(now, r.Service, r.GivenAt, r.Age)
	for _, s := range f.rollouts.Statuses(now) {
		if s.Service == r.Service {
			return s
		}
	}
	return rollout.Status{}
}

// decideRollout decides the next phase of a rollout for all hosts and has it recorded.
func (f *Forwarder) decideRollout(ctx context.Context, now time.Time, s rollout.Status, records RolloutStore) {
	r, _ := f.rolloutReport(s)
	f.rolloutDecider.addReport(now, r)
	fleet := rollout.FleetState{}
	if !f.peers.zonesDivided() {
		fleet.Hosts = f.peers.liveHostIDs(now)
	}
	fleet.TargetAvailable, _ = f.versionsAvailable(now, s.Service, s.Target)
	phase, against := f.rolloutDecider.decide(now, s, fleet)
	if phase > s.Phase {
		f.journal.HostEvent("rollout decided", "service", s.Service, "target", s.Target, "phase", phase, "after", s.Age, "of", s.Duration, "evidence_against", against)
	}
	s.Phase = phase
	if phase == rollout.RolledBack {
		// A rollback takes effect on this host before it is recorded.
		f.receiveRollouts(now, []rollout.Status{s})
	}
	if s.Withdrawn || s.RecordedPhase >= s.Phase {
		return
	}
	call, cancel := context.WithTimeout(ctx, rolloutRecordTimeout)
	defer cancel()
	// If the write fails, the next update from the origin shows whether it took effect.
	if err := records.Record(call, s, s.Recorded); err != nil {
		f.journal.HostEvent("rollout not recorded", "service", s.Service, "phase", s.Phase, "err", err)
		return
	}
	f.receiveRollouts(f.now(), []rollout.Status{s})
	// The next update from the origin gives the point of the record. Until then the phase
	// isn't written again.
	f.rollouts.MarkRecorded(s.Service, s.GivenAt, s.Phase)
}

// Rollouts lists the rollouts that this host knows, each with the evidence against its target
// version that was reported to this host.
func (f *Forwarder) Rollouts() []RolloutEntry {
	now := f.now()
	var all []RolloutEntry
	for _, s := range f.rollouts.Statuses(now) {
		_, against := f.rolloutDecider.decide(now, s, rollout.FleetState{})
		evidence, _ := f.rolloutObservations.Evidence(s.Service)
		all = append(all, RolloutEntry{Status: s, DecidingHost: f.peers.firstHost(now).ID, EvidenceAgainst: against, Evidence: evidence})
	}
	return all
}

// RolloutEntry is a rollout as a host knows it, for operators.
type RolloutEntry struct {
	rollout.Status
	// DecidingHost is the host that decides, and EvidenceAgainst the evidence against the
	// target version that was reported to the queried host.
	DecidingHost    member.HostID
	EvidenceAgainst float64
	// Evidence is what the queried host itself has observed.
	Evidence []rollout.Evidence
}

// countOwnRuns calls count with the engine of each of this host's runs.
func (e *enginePlacer) countOwnRuns(count func(member.UpstreamID, int)) {
	e.mu.Lock()
	var on []member.UpstreamID
	for _, p := range e.pools {
		for _, run := range p.ownRuns {
			on = append(on, run.engine)
		}
	}
	e.mu.Unlock()
	for _, id := range on {
		count(id, 1)
	}
}

// countInFlight calls count with the number of this host's requests in flight at each plain
// upstream.
func (c *latencyBalancer) countInFlight(count func(member.UpstreamID, int)) {
	c.mu.Lock()
	on := map[member.UpstreamID]int{}
	for id, s := range c.stats {
		if s.inFlight > 0 {
			on[id] = s.inFlight
		}
	}
	c.mu.Unlock()
	for id, n := range on {
		count(id, n)
	}
}

// firstHost returns the first of the live hosts by zone and name, this host included. A host to which a call
// failed doesn't count as live until it sends a share again.
func (p *peerSet) firstHost(now time.Time) Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.layout.Divided() {
		return p.firstAvailable(now)
	}
	first := p.self
	for _, s := range p.known {
		if s.stopping || !s.live(now) || now.Before(p.unreachableUntil[s.ID]) {
			continue
		}
		if s.Zone < first.Zone || s.Zone == first.Zone && (p.precedes(s.Peer, first) || p.stopping && first.ID == p.self.ID) {
			first = s.Peer
		}
	}
	return first
}

// liveHostIDs returns the IDs of the live hosts, this host included, in sorted order.
func (p *peerSet) liveHostIDs(now time.Time) []member.HostID {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := []member.HostID{p.self.ID}
	for id, s := range p.known {
		if s.live(now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
