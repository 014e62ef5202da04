// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/shedpath/shedpath/enginereport"
	"github.com/shedpath/shedpath/internal/event"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// EngineReport is an engine's answer to a host that asks for its own report of its load.
type EngineReport struct {
	enginereport.Answer
	Signals Signals
}

// engineReports holds the reasons to ask engines for reports, and the reports. Its mutex may be
// acquired with that of the placement held, but not the other way round.
type engineReports struct {
	// enabled doesn't change after New.
	enabled bool

	mu      sync.Mutex
	tracker enginereport.Tracker
	// logLimiter bounds the log lines about reports that didn't come or aren't usable, and
	// refusalLogLimiter those about engines that refuse something.
	logLimiter, refusalLogLimiter event.Limiter
}

// reportCheckInterval is how often a host checks which engines it is to ask. It bounds how late an
// engine is asked that has just refused something.
const reportCheckInterval = 100 * time.Millisecond

// enableEngineReports enables the reports if the settings do. It is called before the forwarder is
// used.
func (f *Forwarder) enableEngineReports() {
	f.reports.enabled, f.engines.reports = f.settings.Placement.EngineReports, &f.reports
	f.reports.tracker.Start(f.now())
}

// RunEngineReports asks engines for reports while there is a reason, until the context ends.
func (f *Forwarder) RunEngineReports(ctx context.Context) {
	if !f.reports.enabled {
		return
	}
	var asking sync.WaitGroup
	defer asking.Wait()
	tick := time.NewTicker(reportCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f.askEngines(ctx, f.now(), &asking)
		}
	}
}

// askEngines starts a request to each engine that this host arbitrates and has a reason to ask.
func (f *Forwarder) askEngines(ctx context.Context, now time.Time, asking *sync.WaitGroup) {
	if !f.reports.hasReason(now) {
		return
	}
	t := f.table.Load()
	if t == nil {
		return
	}
	// An engine that refused a copy is suspect, so that it isn't among those that take work.
	for _, id := range slices.Concat(f.engines.ownZoneEngines(), f.reports.named()) {
		u, known := f.fleet.Upstream(id)
		service, declared := t.Service(u.Service)
		if !known || !declared || u.Leaving || !f.fleet.InService(u.Zone) || f.reports.reason(now, id) == "" {
			continue
		}
		if f.backoffs.Remaining(now, id) > 0 || f.peers.arbiter(now, u).ID != f.peers.self.ID {
			continue
		}
		if reason, due := f.reports.ask(now, u.ID); due {
			asking.Go(func() { f.tasks.Do("engine report", func() { f.askEngine(ctx, &service, u, reason) }) })
		}
	}
}

// askEngine asks an engine for its report. If the engine gives no usable answer, no action follows.
func (f *Forwarder) askEngine(ctx context.Context, s *Service, u Upstream, reason enginereport.Reason) {
	askCtx, cancel := context.WithTimeout(ctx, enginereport.Timeout)
	defer cancel()
	answer, err := f.requestReport(askCtx, s, u)
	if ctx.Err() != nil {
		return
	}
	now := f.now()
	if err == nil {
		err = answer.Check()
	}
	if known, found := f.fleet.Upstream(u.ID); err == nil && (!found || known.Incarnation != u.Incarnation) {
		err = enginereport.ErrOtherInstance
	}
	f.observer.EngineReport(enginereport.OutcomeOf(err))
	if err != nil {
		f.reports.log(f.journal, now, u.ID, "no engine report", "why", reason, "err", err)
		return
	}
	f.reports.receiveAnswer(now, u, answer.Load)
	f.journal.HostEvent("engine report", "upstream", u.ID, "life", u.Incarnation, "why", reason, "used", answer.Used, "total", answer.Total,
		"active", answer.Active, "queued", answer.Queued, "runs_counted", f.engines.knownRuns(u.Service, u.ID))
	if answer.Leaving && f.fleet.RecordSelfReportedLeaving(now, u.ID, u.Incarnation, true) {
		f.journal.HostEvent("upstream says that it leaves", "upstream", u.ID, "life", u.Incarnation, "answer_to", answerToReport, "in", answer.LeavesIn)
		f.peers.notifyAll()
	}
}

// setExpectedEnd records that an upstream stated for how much longer it will serve; zero states
// nothing. It is called before the departure itself is recorded, because that starts the moves off
// the upstream, which depend on its end. An end that is known for the same departure stays, so that
// it isn't put off by the delays of the messages that repeat it.
func (f *Fleet) setExpectedEnd(now time.Time, id member.UpstreamID, incarnation Incarnation, remaining time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.upstreams[id]
	if k == nil || incarnation != 0 && k.Incarnation != incarnation || remaining <= 0 {
		return
	}
	if k.leavingSince.IsZero() || k.expectedEnd.IsZero() {
		k.expectedEnd = now.Add(remaining)
	}
}

// recordRefusedRun records that an engine rejected a run because it is full, which its answer shows.
// A leaving engine rejects runs for another reason.
func (x *exchange) recordRefusedRun(u Upstream, a *Response) {
	if a.NotRun && !a.Signals.Leaving && x.service.Engine != nil {
		x.reports.recordRefusal(x.journal, x.now(), u, "run")
	}
}

// recordRefusedCopy records that an engine had no room for a copy, which the error of the copy shows.
func (x *exchange) recordRefusedCopy(to Upstream, err error) {
	if errors.Is(err, ErrTargetUnavailable) {
		x.reports.recordRefusal(x.journal, x.now(), to, "copy")
	}
}

// addEngineReports adds the reports that this host got and its reasons to a share, if it goes to a
// host of the same cell: others don't place runs on these engines.
func (f *Forwarder) addEngineReports(now time.Time, s *Share, to member.HostID) {
	if !f.reports.enabled || !f.peers.inOwnCell(to) {
		return
	}
	f.reports.mu.Lock()
	defer f.reports.mu.Unlock()
	s.Reports, s.ReportRequests = f.reports.tracker.Marks(now), f.reports.tracker.Requests(now)
}

// receiveEngineReports processes what a peer of the cell reports about engines, and learns from its
// runs whether it had runs before this host started. The state of other peers is ignored.
func (f *Forwarder) receiveEngineReports(now time.Time, s Share) {
	if !f.reports.enabled || !f.peers.inOwnCell(s.From.ID) {
		return
	}
	unusable := 0
	for _, m := range s.Reports {
		// A mark of a past incarnation says nothing about the present one.
		if f.fleet.ReceiveIncarnation(m.Engine, Incarnation(m.Incarnation)) && !f.reports.receiveMark(now, m) {
			unusable++
		}
	}
	f.resetRestartedUpstreams()
	f.reports.mu.Lock()
	for _, r := range s.ReportRequests {
		if !f.reports.tracker.ReceiveRequest(now, r) {
			unusable++
		}
	}
	if f.reports.tracker.Starting(now) {
		for _, r := range s.Runs {
			if r.FirstTokenAge > 0 {
				f.reports.tracker.ObservePeerRun(now.Add(-r.FirstTokenAge))
			}
		}
	}
	f.reports.mu.Unlock()
	for range unusable {
		f.observer.EngineReport(enginereport.PeerUnusable)
	}
	if unusable > 0 {
		f.reports.log(f.journal, now, "", "peer's engine reports not usable", "peer", s.From.ID, "count", unusable)
	}
}

func (r *engineReports) hasReason(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.HasReason(now)
}

func (r *engineReports) named() []member.UpstreamID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Named()
}

func (r *engineReports) reason(now time.Time, id member.UpstreamID) enginereport.Reason {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Reason(now, id)
}

func (r *engineReports) ask(now time.Time, id member.UpstreamID) (enginereport.Reason, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Ask(now, id)
}

func (r *engineReports) receiveAnswer(now time.Time, u Upstream, l enginereport.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.ReceiveAnswer(now, u.ID, int64(u.Incarnation), l)
}

func (r *engineReports) receiveMark(now time.Time, m enginereport.Mark) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.ReceiveMark(now, m)
}

// recordRefusal records that an engine refused a run or a copy, so that it is asked.
func (r *engineReports) recordRefusal(j Journal, now time.Time, u Upstream, what string) {
	if !r.enabled {
		return
	}
	r.mu.Lock()
	r.tracker.RecordRefusal(now, u.ID)
	r.mu.Unlock()
	if r.refusalLogLimiter.Allow(now, u.ID) {
		j.HostEvent("engine had no room", "upstream", u.ID, "what", what)
	}
}

// log logs that a report isn't there or isn't usable, unless that was logged shortly before. The empty ID stands for events
// about no engine.
func (r *engineReports) log(j Journal, now time.Time, id member.UpstreamID, event string, keyvals ...any) {
	if !r.logLimiter.Allow(now, id) {
		return
	}
	if id != "" {
		keyvals = append([]any{"upstream", id}, keyvals...)
	}
	j.HostEvent(event, keyvals...)
}

// ownZoneEngines lists the engines of this host's zone on which it places runs.
func (e *enginePlacer) ownZoneEngines() []member.UpstreamID {
	e.mu.Lock()
	defer e.mu.Unlock()
	var engines []member.UpstreamID
	for _, p := range e.pools {
		for _, u := range p.available {
			if u.Zone == e.zone {
				engines = append(engines, u.ID)
			}
		}
	}
	return engines
}

// knownRuns returns how many runs on an engine this host knows, without those that only the engine
// reports.
func (e *enginePlacer) knownRuns(service ServiceName, id member.UpstreamID) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.pools[service]; p != nil {
		return p.pool.KnownRunCount(id)
	}
	return 0
}

// applyLoads passes the engines' own reports that may be used to the policy pool, after the refresh of
// the engines' state, which discards the earlier ones.
func (p *enginePool) applyLoads(now time.Time) {
	if p.reports == nil || !p.reports.enabled {
		return
	}
	p.reports.mu.Lock()
	defer p.reports.mu.Unlock()
	for id, u := range p.poolEngines {
		if l, takenAt, known := p.reports.tracker.Load(now, id, int64(u.Incarnation)); known {
			p.pool.ApplyLoad(policy.EngineLoad{Engine: id, TakenAt: takenAt, UsedMemory: l.Used, Active: l.Active, Queued: l.Queued})
		}
	}
}
