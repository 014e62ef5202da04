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

// Moves of services to upstreams of another version. Every host keeps to the phase that it knows
// and reports what it sees; one, the first that lives, decides for all and has the origin keep
// what it decided.

// RolloutStore keeps how far rollouts are.
type RolloutStore interface {
	// Record puts the phase of a rollout in place of what was recorded at a point, zero for
	// nothing. ErrRecordChanged says that something else is recorded by now.
	Record(ctx context.Context, s rollout.Status, over history.Point) error
}

// ErrRecordChanged says that a record isn't as the writer knew it.
var ErrRecordChanged = errors.New("the record has changed")

const (
	// rolloutCheckInterval is how often a rollout is looked at.
	rolloutCheckInterval = 100 * time.Millisecond
	// rolloutReportsPerSecond is how many reports the host that decides gets from all others, while
	// they see few answers; one that sees something new reports within a second.
	rolloutReportsPerSecond  = 200
	maxRolloutReportInterval = time.Second
	// rolloutReportRepeatFactor is after how many such pauses a host reports what it has reported already: the
	// host that decides may have started again.
	rolloutReportRepeatFactor = 5
	// rolloutRecordTimeout bounds one write, and reportTimeout one report.
	rolloutRecordTimeout = time.Second
	rolloutReportTimeout = 300 * time.Millisecond
)

// rolloutDecider is what a host needs to decide about rollouts. The zero value works.
type rolloutDecider struct {
	mu     sync.Mutex
	judges map[ServiceName]*rollout.Judge
}

// addReport takes in a report.
func (d *rolloutDecider) addReport(now time.Time, r rollout.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.judges == nil {
		d.judges = map[ServiceName]*rollout.Judge{}
	}
	j := d.judges[r.Service]
	if j == nil {
		j = &rollout.Judge{}
		d.judges[r.Service] = j
	}
	j.Take(now, r)
}

func (d *rolloutDecider) decide(now time.Time, s rollout.Status, f rollout.Fleet) (rollout.Phase, float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	j := d.judges[s.Service]
	if j == nil {
		return s.Phase, 0
	}
	return j.Decide(now, s, f), j.Against()
}

// receiveRollouts takes in what the origin or a peer says of rollouts.
func (f *Forwarder) receiveRollouts(now time.Time, told []rollout.Status) {
	for _, s := range told {
		if !f.rollouts.Receive(now, s, f.settings.RolloutLimits, f.peers.recentMaxHosts(now)) {
			continue
		}
		f.rolloutObservations.Begin(s)
		f.journal.HostEvent("rollout", "service", s.Service, "target", s.Target, "phase", s.Phase, "withdrawn", s.Withdrawn, "given", s.Given, "age", s.Age)
		f.fleet.WakeWaiters()
	}
}

// receiveRolloutRecords takes in how far the origin says that rollouts are.
func (f *Forwarder) receiveRolloutRecords(records []rollout.Status) {
	for _, r := range records {
		if f.rollouts.Record(r) {
			f.journal.HostEvent("rollout", "service", r.Service, "target", r.Target, "phase", r.Phase, "recorded", r.Recorded)
			f.fleet.WakeWaiters()
		}
	}
}

// versionConstraint holds which versions a request may go to. Tries of one request run beside each other.
type versionConstraint struct{ current atomic.Pointer[rollout.Bound] }

func (v *versionConstraint) get() rollout.Bound {
	if b := v.current.Load(); b != nil {
		return *b
	}
	return rollout.Bound{}
}

func (v *versionConstraint) set(b rollout.Bound) {
	if b != (rollout.Bound{}) || v.current.Load() != nil {
		v.current.Store(&b)
	}
}

// drawVersions draws which versions a new request may go to.
func (x *exchange) drawVersions(now time.Time) rollout.Bound {
	return x.rollouts.Bound(x.service.Name, x.settings.RolloutLimits, func(target rollout.Version) (hasTarget, hasOthers bool) {
		return x.versionsAvailable(now, x.service.Name, target)
	})
}

// versionsAvailable reports whether upstreams of a version, and of others, take new work.
func (f *Forwarder) versionsAvailable(now time.Time, service ServiceName, v rollout.Version) (has, others bool) {
	for _, u := range f.fleet.Available(now, service) {
		has, others = has || u.Version == v, others || u.Version != v
	}
	return has, others
}

// retireVersions has the upstreams be left whose versions aren't in service any more, and takes
// back what isn't so any more.
func (f *Forwarder) retireVersions(now time.Time) {
	if f.rollouts.Any() {
		f.fleet.Retire(now, func(u Upstream) bool { return f.rollouts.Retired(u.Service, u.Version) })
	}
}

// Retire has upstreams get nothing new, and what runs there move, as long as that is wanted of
// them.
func (f *Fleet) Retire(now time.Time, wanted func(Upstream) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, k := range f.upstreams {
		switch retire := wanted(k.Upstream); {
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

// recordRolloutAnswer takes in an answer of an upstream whose service has a rollout. Cold upstreams are
// slow whatever their version.
func (x *exchange) recordRolloutAnswer(now time.Time, u Upstream, m rollout.Measure, failed bool, took time.Duration) {
	if !x.rollouts.Any() || x.fleet.IsCold(now, u.ID) {
		return
	}
	for _, s := range x.rollouts.Statuses(now) {
		if s.Service == u.Service {
			x.rolloutObservations.Answer(u.Service, rollout.Subject{Route: x.route.Name, Measure: m}, u.Version == s.Target, failed, took)
		}
	}
}

// recordRolloutAttempt is noteAnswer for a plain try. What didn't run there says nothing of its version.
func (p *unaryExchange) recordRolloutAttempt(ctx context.Context, now time.Time, u Upstream, t *upstreamAttempt) {
	switch _, kept := notSentVerdict(t.err); {
	case kept, errors.Is(t.err, ErrNotSent), ctx.Err() != nil:
	case t.err == nil && (t.response.WrongInstance || t.response.NotRun || t.response.Signals.RetryAfter > 0):
	default:
		p.recordRolloutAnswer(now, u, rollout.Whole, !t.succeeded(), t.elapsed)
	}
}

// RunRollouts reports what this host sees of rollouts, and decides about them while it is the
// first of all hosts, until the context ends.
func (f *Forwarder) RunRollouts(ctx context.Context, records RolloutStore) {
	tick := time.NewTicker(rolloutCheckInterval)
	defer tick.Stop()
	told := map[ServiceName]sentRolloutReport{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := f.now()
		for _, s := range f.rollouts.Statuses(now) {
			if first := f.peers.firstHost(now); first.ID != f.peers.self.ID {
				f.reportRollout(ctx, now, first, s, told)
				continue
			}
			f.decideRollout(ctx, now, s, records)
		}
	}
}

// sentRolloutReport is what the host that decides was told last.
type sentRolloutReport struct {
	sentAt           time.Time
	recipient        member.HostID
	observationCount uint64
	phase            rollout.Phase
	given            history.Point
	running          int
}

func (f *Forwarder) rolloutReport(s rollout.Status) (rollout.Report, uint64) {
	evidence, count := f.rolloutObservations.Report(s.Service)
	r := rollout.Report{From: f.peers.self.ID, Service: s.Service, Given: s.Given, Phase: s.Phase, Age: s.Age, Epoch: f.peers.epoch, Evidence: evidence}
	if s.Phase >= rollout.Full {
		r.Running = f.runningRetired(s.Service)
	}
	return r, count
}

// runningRetired counts this host's requests on a service's upstreams that are to be left.
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

// reportRollout tells the host that decides what this one has seen, where that is new.
func (f *Forwarder) reportRollout(ctx context.Context, now time.Time, to Peer, s rollout.Status, told map[ServiceName]sentRolloutReport) {
	peers := f.loadPeerPort()
	before := told[s.Service]
	pause := min(time.Duration(f.peers.recentMaxHosts(now))*time.Second/rolloutReportsPerSecond, maxRolloutReportInterval)
	if peers == nil || now.Sub(before.sentAt) < pause {
		return
	}
	r, count := f.rolloutReport(s)
	next := sentRolloutReport{now, to.ID, count, s.Phase, s.Given, r.Running}
	again := now.Sub(before.sentAt) >= rolloutReportRepeatFactor*pause && !s.Phase.Ended()
	before.sentAt = now
	if next == before && !again {
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
	told[s.Service] = next
	if err == nil && reply.Service == s.Service {
		f.receiveRollouts(now, []rollout.Status{reply})
	}
}

// OnRollout serves a host that reports what it has seen.
func (f *Forwarder) OnRollout(r rollout.Report) rollout.Status {
	now := f.now()
	f.rolloutDecider.addReport(now, r)
	f.rollouts.Aged(now, r.Service, r.Given, r.Age)
	for _, s := range f.rollouts.Statuses(now) {
		if s.Service == r.Service {
			return s
		}
	}
	return rollout.Status{}
}

// decideRollout decides for all hosts what comes next, and has it recorded.
func (f *Forwarder) decideRollout(ctx context.Context, now time.Time, s rollout.Status, records RolloutStore) {
	r, _ := f.rolloutReport(s)
	f.rolloutDecider.addReport(now, r)
	fleet := rollout.Fleet{}
	if !f.peers.zonesDivided() {
		fleet.Hosts = f.peers.liveHostIDs(now)
	}
	fleet.HasTarget, _ = f.versionsAvailable(now, s.Service, s.Target)
	phase, against := f.rolloutDecider.decide(now, s, fleet)
	if phase > s.Phase {
		f.journal.HostEvent("rollout decided", "service", s.Service, "target", s.Target, "phase", phase, "after", s.Age, "of", s.Lasts, "evidence_against", against)
	}
	s.Phase = phase
	if phase == rollout.RolledBack {
		// What is bad is left before anything is recorded.
		f.receiveRollouts(now, []rollout.Status{s})
	}
	if s.Withdrawn || s.RecordedPhase >= s.Phase {
		return
	}
	call, cancel := context.WithTimeout(ctx, rolloutRecordTimeout)
	defer cancel()
	// What became of a write that fails is told by the next news.
	if err := records.Record(call, s, s.Recorded); err != nil {
		f.journal.HostEvent("rollout not recorded", "service", s.Service, "phase", s.Phase, "err", err)
		return
	}
	f.receiveRollouts(f.now(), []rollout.Status{s})
	// The origin's news tell where it was recorded; until then it isn't written again.
	f.rollouts.Written(s.Service, s.Given, s.Phase)
}

// Rollouts lists what this host knows of rollouts, with the evidence against each target that was
// reported here.
func (f *Forwarder) Rollouts() []RolloutEntry {
	now := f.now()
	var all []RolloutEntry
	for _, s := range f.rollouts.Statuses(now) {
		_, against := f.rolloutDecider.decide(now, s, rollout.Fleet{})
		evidence, _ := f.rolloutObservations.Report(s.Service)
		all = append(all, RolloutEntry{Status: s, DecidingHost: f.peers.firstHost(now).ID, EvidenceAgainst: against, Evidence: evidence})
	}
	return all
}

// RolloutEntry is a rollout as a host knows it, for operators.
type RolloutEntry struct {
	rollout.Status
	// DecidingHost is the host that decides, and Against the evidence against the target that was
	// reported to the host that is asked.
	DecidingHost    member.HostID
	EvidenceAgainst float64
	// Evidence is what the host itself has seen.
	Evidence []rollout.Evidence
}

// countOwnRuns tells how many of this host's runs each engine has.
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

// countInFlight tells how many of this host's requests each plain upstream has.
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

// firstHost is the first of the live hosts by zone and name, with this one.
func (p *peerSet) firstHost(now time.Time) Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.layout.Divided() {
		return p.firstAvailable(now)
	}
	first := p.self
	for _, s := range p.known {
		if s.stopping || !s.live(now) {
			continue
		}
		if s.Zone < first.Zone || s.Zone == first.Zone && (p.precedes(s.Peer, first) || p.stopping && first.ID == p.self.ID) {
			first = s.Peer
		}
	}
	return first
}

// liveHostIDs are the hosts that are heard, with this one.
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
