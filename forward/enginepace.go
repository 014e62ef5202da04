// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"cmp"
	"slices"
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/pace"
	"github.com/shedpath/shedpath/policy"
)

// Placement by the pace of each engine. What is decided is in package pace; this file feeds its
// models, passes their estimates to the pools and exchanges marks with the peers.

// spoolDelayLimit is how long passing on an event may take for the gap that follows to count as the
// engine's own. An event that finds room in the spool takes some microseconds.
const spoolDelayLimit = time.Millisecond

// servicePace is the pace of one service's engines. The zero value is disabled, and all of its methods
// then leave the placement as it is.
type servicePace struct {
	// model is nil if placement by pace is disabled.
	model *pace.Model
	limit pace.Limit
	// activity is the result of the last update, made at updatedAt.
	activity  pace.Activity
	updatedAt time.Time
	// unloggedChange is the last change of activity that isn't in the log yet.
	unloggedChange *pace.Activity
	// loggedIgnored is the number of ignored marks that are in the log.
	loggedIgnored uint64
}

// configure enables the model and sets what the callers of the service allow.
func (p *servicePace) configure(shortestPause time.Duration, e Engine) {
	if p.model == nil {
		p.model = &pace.Model{}
	}
	p.limit = pace.Limit{Pause: shortestPause, EventTokens: int(max(e.EventTokens, 1))}
}

// paceCheckInterval is how often it is decided whether placement by pace is active. The decision needs
// slow engines for seconds, and a check compares all engines.
const paceCheckInterval = 400 * time.Millisecond

// update decides whether placement by pace is active, at most once in paceCheckInterval.
func (p *servicePace) update(now time.Time) {
	if p.model == nil || now.Sub(p.updatedAt) < paceCheckInterval {
		return
	}
	p.updatedAt = now
	p.activity = p.model.UpdateActivity(now, p.limit)
	if p.activity.Changed {
		change := p.activity
		p.unloggedChange = &change
	}
}

// apply sets the step times of a report to those of its engine if placement by pace is active. The
// pool decides what an engine counts as that isn't known.
func (p *servicePace) apply(now time.Time, r policy.Report) policy.Report {
	if !p.activity.Active {
		return r
	}
	if e, known := p.model.Intrinsic(now, r.Engine); known {
		r.StepTime, r.SlowStepTime = e.Step, e.SlowStep
	}
	return r
}

// report returns what the pool is told about one of its engines.
func (p *enginePool) report(now time.Time, id member.UpstreamID) policy.Report {
	return p.pace.apply(now, policy.Report{Engine: id, TotalMemory: p.spec.Memory, StepTime: p.expectedStep()})
}

// observePace learns from the gap per token between two events of a run on an engine. An event of an
// earlier incarnation of the engine teaches nothing about the present one.
func (e *enginePlacer) observePace(now time.Time, service ServiceName, source Upstream, step time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil || p.pace.model == nil {
		return
	}
	if u, listed := p.poolEngines[source.ID]; listed && u.Incarnation != source.Incarnation {
		return
	}
	p.pace.model.Observe(now, source.ID, int64(source.Incarnation), step, p.pool.RunCount(source.ID))
}

// recordPace learns the engine's pace from the gap between two events. The first event of an engine
// after a move, a stop or a resumption ends a gap that isn't the engine's, and so does the event after
// one for which the caller had no room.
func (s *streamExchange) recordPace(now time.Time, gap time.Duration) {
	if s.run == nil || !s.engines.paceEnabled || s.engineFirstEventAt.IsZero() || s.spoolDelayed {
		return
	}
	s.engines.observePace(now, s.service.Name, s.source, gap/time.Duration(s.tokensPerEvent()))
}

// noteSpoolDelay records whether the caller held up an event that arrived at a time.
func (s *streamExchange) noteSpoolDelay(arrived time.Time) {
	s.spoolDelayed = s.engines.paceEnabled && s.now().Sub(arrived) > spoolDelayLimit
}

// paceMarks returns this host's observations for a share: those with new samples, or all of them.
func (e *enginePlacer) paceMarks(now time.Time, all bool) []pace.Mark {
	if !e.paceEnabled {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var marks []pace.Mark
	for _, p := range e.pools {
		switch {
		case p.pace.model == nil:
		case all:
			marks = append(marks, p.pace.model.AllMarks(now)...)
		default:
			marks = append(marks, p.pace.model.Marks(now)...)
		}
	}
	return marks[:min(len(marks), pace.MaxMarks)]
}

// pacesForReply returns the marks for the reply to a share: all of them for a host that has just
// started, and the new ones where this host may send no share itself because the peer's share is the
// exchange of both. Hosts of other cells don't place on the same engines.
func (f *Forwarder) pacesForReply(now time.Time, s Share) []pace.Mark {
	joins := s.List.IsZero()
	if !f.engines.paceEnabled || !f.peers.inOwnCell(s.From.ID) || !joins && !f.peers.zonesDivided() {
		return nil
	}
	return f.engines.paceMarks(now, joins)
}

// receivePaces records a peer's marks for the present incarnations of the engines.
func (f *Forwarder) receivePaces(now time.Time, from member.HostID, marks []pace.Mark) {
	if !f.engines.paceEnabled || len(marks) == 0 {
		return
	}
	services := make([]ServiceName, len(marks))
	for i, mark := range marks {
		if f.fleet.ReceiveIncarnation(mark.Engine, Incarnation(mark.Incarnation)) {
			u, _ := f.fleet.Upstream(mark.Engine)
			services[i] = u.Service
		}
	}
	// What is known of past incarnations is discarded before the marks are added.
	f.resetRestartedUpstreams()
	f.engines.receivePaceMarks(now, from, marks, services)
}

// receivePaceMarks records a peer's marks of engines of the given services; empty ones are left out.
func (e *enginePlacer) receivePaceMarks(now time.Time, from member.HostID, marks []pace.Mark, services []ServiceName) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range marks {
		if p := e.pools[services[i]]; p != nil && p.pace.model != nil {
			p.pace.model.ReceiveMarks(now, from, marks[i:i+1])
		}
	}
}

// updatePaces drops what is known of engines that are gone, and logs what has changed.
func (f *Forwarder) updatePaces(now time.Time) {
	if !f.engines.paceEnabled || !f.paceUpdateDue(now) {
		return
	}
	f.engines.forgetPaces(f.fleet.goneAmong(f.engines.prunePaces(now)))
	f.engines.takePaceChanges(func(name ServiceName, p *servicePace) {
		if c := p.unloggedChange; c != nil {
			event := "placement by pace inactive"
			if c.Active {
				event = "placement by pace active"
			}
			f.journal.HostEvent(event, "service", name, "reason", c.Reason, "engine", c.Engine, "step", c.Estimate.Step, "slow_step", c.Estimate.SlowStep,
				"samples", c.Estimate.Samples, "age", c.Estimate.Age, "pause_foreseen", c.Foreseen, "pause_allowed", p.limit.Pause, "fast_step", c.FastStep, "known", c.Known)
			p.unloggedChange = nil
		}
		if n := p.model.IgnoredMarks(); n > p.loggedIgnored && f.paceLogLimiter.Allow(now, member.UpstreamID(name)) {
			f.journal.HostEvent("pace marks ignored", "service", name, "marks", n-p.loggedIgnored)
			p.loggedIgnored = n
		}
	})
}

// paceUpdateDue reports whether the last update is paceCheckInterval ago; it then counts as made now.
func (f *Forwarder) paceUpdateDue(now time.Time) bool {
	f.pacesUpdatedMu.Lock()
	defer f.pacesUpdatedMu.Unlock()
	if now.Sub(f.pacesUpdatedAt) < paceCheckInterval {
		return false
	}
	f.pacesUpdatedAt = now
	return true
}

// prunePaces drops expired observations, and returns the engines that remain known.
func (e *enginePlacer) prunePaces(now time.Time) []member.UpstreamID {
	e.mu.Lock()
	defer e.mu.Unlock()
	var known []member.UpstreamID
	for _, p := range e.pools {
		if p.pace.model != nil {
			p.pace.model.Prune(now)
			known = append(known, p.pace.model.Engines()...)
		}
	}
	return known
}

// forgetPaces drops what is known of the pace of engines.
func (e *enginePlacer) forgetPaces(ids []member.UpstreamID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.pools {
		p.forgetPaces(ids)
	}
}

func (p *enginePool) forgetPaces(ids []member.UpstreamID) {
	if p.pace.model == nil {
		return
	}
	for _, id := range ids {
		p.pace.model.Forget(id)
	}
}

// takePaceChanges calls log for each service with placement by pace. log must not block.
func (e *enginePlacer) takePaceChanges(log func(ServiceName, *servicePace)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, p := range e.pools {
		if p.pace.model != nil {
			log(name, &p.pace)
		}
	}
}

// goneAmong returns those of the upstreams that are gone.
func (f *Fleet) goneAmong(ids []member.UpstreamID) []member.UpstreamID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(ids, func(id member.UpstreamID) bool {
		k := f.upstreams[id]
		return k != nil && !k.gone
	})
}

// PaceStatus is what a host knows of the pace of a service's engines.
type PaceStatus struct {
	Service ServiceName
	// Active says that runs are placed by the pace of each engine.
	Active bool
	// IgnoredMarks is the number of peers' marks that had invalid values.
	IgnoredMarks uint64
	// Engines are the known engines, sorted by ID.
	Engines []EnginePace
}

// EnginePace is the estimated pace of one engine.
type EnginePace struct {
	Engine member.UpstreamID
	pace.Estimate
}

// Paces returns what is known of the pace of each service's engines, sorted by service name. It is
// empty if placement by pace is disabled.
func (f *Forwarder) Paces() []PaceStatus { return f.engines.paces(f.now()) }

func (e *enginePlacer) paces(now time.Time) []PaceStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []PaceStatus
	for name, p := range e.pools {
		if p.pace.model == nil {
			continue
		}
		status := PaceStatus{Service: name, Active: p.pace.activity.Active, IgnoredMarks: p.pace.model.IgnoredMarks()}
		for _, id := range p.pace.model.Engines() {
			if estimate, known := p.pace.model.Estimate(now, id); known {
				status.Engines = append(status.Engines, EnginePace{id, estimate})
			}
		}
		slices.SortFunc(status.Engines, func(a, b EnginePace) int { return cmp.Compare(a.Engine, b.Engine) })
		all = append(all, status)
	}
	slices.SortFunc(all, func(a, b PaceStatus) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

// poolPaceEstimator gives the moves for pace the estimates of one service's engines.
type poolPaceEstimator struct {
	placer  *enginePlacer
	service ServiceName
}

// paceForMoves returns the estimates of a service's engines; nil while placement by pace isn't active.
func (e *enginePlacer) paceForMoves(service ServiceName) paceEstimator {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.pools[service]; p == nil || !p.pace.activity.Active {
		return nil
	}
	return poolPaceEstimator{e, service}
}

// Estimate implements paceEstimator.
func (m poolPaceEstimator) Estimate(now time.Time, engine member.UpstreamID) (step, slowStep time.Duration, ok bool) {
	m.placer.mu.Lock()
	defer m.placer.mu.Unlock()
	e, ok := m.placer.pools[m.service].pace.model.Intrinsic(now, engine)
	return e.Step, e.TailStep(), ok
}
