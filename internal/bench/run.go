// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package bench

import (
	"fmt"
	"slices"
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/standin/engine"
)

// The pool under measurement.
const (
	engineCount  = 4
	entryCount   = 3
	engineMemory = 24_000
	// reportEvery and reportLag are how often the load is had and how old it
	// is then.
	reportEvery  = 250 * time.Millisecond
	reportLag    = 500 * time.Millisecond
	advanceEvery = 20 * time.Millisecond
	// waitLimit is how long a caller waits for its first token.
	waitLimit = 10 * time.Second
	// warmUp is left out of the measurement, span is how long work comes in,
	// and settle how long it may take to end after that.
	warmUp        = 10 * time.Second
	span          = 70 * time.Second
	settle        = 60 * time.Second
	betweenTokens = 70 * time.Millisecond
	// pauseLength is how long a lost or paused coordinator is missed.
	pauseLength = time.Second
	slowedBy    = 3
)

func benchSettings() engine.Settings {
	s := engine.DefaultSettings()
	s.MemoryTokens, s.MaxBatch = engineMemory, 256
	return s
}

// host is one engine of the pool.
type host struct {
	id    member.UpstreamID
	model *engine.Model
	// next is when the step under way ends; zero while idle.
	next   time.Time
	events []engine.Event
	slow   int
	dead   bool
	// running are the generations placed here, with some that have ended.
	running []*track
}

// datedReport is a load report on its way.
type datedReport struct {
	due    time.Time
	report policy.Report
}

// track is what is known of one generation.
type track struct {
	arrival
	asked   time.Time
	host    *host
	granted bool
	first   time.Time
	last    time.Time
	made    int
	done    bool
	refused bool
	lost    bool
	// returned says that the caller came back when it was told to, taken that
	// it was let in then.
	returned, taken bool
	stall           time.Duration
	worst           time.Duration
	preempted       int
}

// simulation is one run of one policy.
type simulation struct {
	start   time.Time
	now     time.Time
	work    workload
	decider decider
	hosts   []*host
	byID    map[member.UpstreamID]*host
	pending []arrival
	// comeBack are refused callers that will try again, in order of time.
	comeBack []*track
	tracks   map[policy.RunID]*track
	order    []*track
	reports  []datedReport
	// paused is until when nobody decides.
	paused time.Time
	// rebuild makes a decider afresh, for a lost coordinator.
	rebuild func() decider
	held    []*track
	// nextLook is when to look again whether everything has ended.
	nextLook time.Time
}

// engineIDs names the pool's engines.
func engineIDs() []member.UpstreamID {
	ids := make([]member.UpstreamID, engineCount)
	for i := range ids {
		ids[i] = member.UpstreamID(fmt.Sprintf("g%d", i))
	}
	return ids
}

func newSimulation(w workload, arrivals []arrival, build func(s *simulation) decider) *simulation {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := &simulation{
		start: start, now: start, work: w, pending: arrivals,
		byID: map[member.UpstreamID]*host{}, tracks: map[policy.RunID]*track{},
	}
	s.rebuild = func() decider { return build(s) }
	s.decider = s.rebuild()
	for _, id := range engineIDs() {
		h := &host{id: id, model: engine.NewModel(benchSettings()), slow: 1}
		s.hosts = append(s.hosts, h)
		s.byID[id] = h
		s.decider.report(start, s.reportOf(h))
	}
	return s
}

func (s *simulation) reportOf(h *host) policy.Report {
	load := h.model.Load()
	return policy.Report{
		Engine: h.id, TotalMemory: policy.Tokens(load.MemoryTokens), UsedMemory: policy.Tokens(load.UsedTokens),
		Running: load.Running, Waiting: load.Waiting, StepTime: load.StepDuration * time.Duration(h.slow),
	}
}

// run goes through virtual time to the end of the settling.
func (s *simulation) run() tally {
	end := s.start.Add(span + settle)
	nextReport, nextAdvance := s.start, s.start
	happened := s.work.event == noEvent
	for s.now.Before(end) {
		if !happened && s.now.Sub(s.start) >= eventAt {
			happened = true
			s.strike()
		}
		s.arrive()
		s.stepHosts()
		if !s.now.Before(nextReport) {
			nextReport = s.now.Add(reportEvery)
			s.takeReports()
		}
		if !s.now.Before(nextAdvance) {
			nextAdvance = s.now.Add(advanceEvery)
			s.deliverReports()
			if !s.now.Before(s.paused) {
				s.releaseHeld()
				s.apply(s.decider.advance(s.now))
			}
		}
		s.now = s.nextMoment(nextReport, nextAdvance)
		if s.finished() {
			break
		}
	}
	return s.tally()
}

func (s *simulation) finished() bool {
	if len(s.pending) > 0 || len(s.comeBack) > 0 || s.now.Before(s.nextLook) {
		return false
	}
	s.nextLook = s.now.Add(time.Second)
	for _, t := range s.order {
		if !t.done && !t.refused && !t.lost {
			return false
		}
	}
	return true
}

func (s *simulation) nextMoment(moments ...time.Time) time.Time {
	next := moments[0]
	for _, m := range moments[1:] {
		if m.Before(next) {
			next = m
		}
	}
	if len(s.pending) > 0 {
		next = earlier(next, s.start.Add(s.pending[0].at))
	}
	for _, h := range s.hosts {
		if !h.next.IsZero() {
			next = earlier(next, h.next)
		}
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// strike is the workload's mishap.
func (s *simulation) strike() {
	switch s.work.event {
	case engineLost:
		s.loseEngine(s.hosts[0])
	case engineSlowed:
		s.hosts[0].slow = slowedBy
	case coordinatorLost:
		s.paused = s.now.Add(pauseLength)
		if _, ours := s.decider.(*pooled); ours {
			s.replaceCoordinator()
		}
	case coordinatorPaused:
		s.paused = s.now.Add(pauseLength)
	}
}

// loseEngine ends an engine. Generations that gave a token are lost with it;
// the others are asked for again.
func (s *simulation) loseEngine(h *host) {
	h.dead = true
	h.next = time.Time{}
	var alive []member.UpstreamID
	for _, id := range engineIDs() {
		if id != h.id {
			alive = append(alive, id)
		}
	}
	switch d := s.decider.(type) {
	case *pooled:
		d.pool.SetEngines(alive)
	case *random:
		d.engines = alive
	case *alone:
		d.without(h.id, alive)
	}
	for _, t := range s.order {
		if t.host != h || t.done {
			continue
		}
		s.decider.finish(s.now, policy.Finish{Run: t.request.Run, GeneratedTokens: policy.Tokens(t.made)})
		t.host, t.granted = nil, false
		if t.made > 0 {
			t.lost = true
			continue
		}
		s.submit(t)
	}
}

// replaceCoordinator has a new pool take over: it knows nothing but what the
// entries tell it of their runs.
func (s *simulation) replaceCoordinator() {
	s.decider = s.rebuild()
	fresh, ours := s.decider.(*pooled)
	if !ours {
		return
	}
	for _, h := range s.hosts {
		fresh.report(s.now, s.reportOf(h))
	}
	for _, t := range s.order {
		switch {
		case t.host != nil && !t.done:
			fresh.pool.Adopt(s.now, t.request, t.host.id, policy.Tokens(t.made))
		case !t.granted && !t.refused && !t.lost:
			s.held = append(s.held, t)
		}
	}
}

func (s *simulation) releaseHeld() {
	held := s.held
	s.held = nil
	for _, t := range held {
		s.submit(t)
	}
}

func (s *simulation) arrive() {
	for len(s.pending) > 0 && !s.start.Add(s.pending[0].at).After(s.now) {
		a := s.pending[0]
		s.pending = s.pending[1:]
		t := &track{arrival: a, asked: s.now}
		t.request.Deadline = s.now.Add(waitLimit)
		s.tracks[a.request.Run] = t
		s.order = append(s.order, t)
		s.submit(t)
	}
	for len(s.comeBack) > 0 && !s.comeBack[0].asked.After(s.now) {
		t := s.comeBack[0]
		s.comeBack = s.comeBack[1:]
		t.refused = false
		t.request.Deadline = s.now.Add(waitLimit)
		s.submit(t)
	}
}

func (s *simulation) submit(t *track) {
	if s.now.Before(s.paused) {
		s.held = append(s.held, t)
		return
	}
	s.apply(s.decider.submit(s.now, len(t.request.Run)%entryCount, t.request))
}

func (s *simulation) apply(decisions []policy.Decision) {
	for _, d := range decisions {
		t := s.tracks[d.Run]
		switch d.Verdict {
		case policy.Granted:
			s.grant(t, d)
		case policy.Refused:
			s.refuse(t, d)
		case policy.Queued:
		}
	}
}

func (s *simulation) grant(t *track, d policy.Decision) {
	t.granted, t.host = true, s.byID[d.Engine]
	t.taken = t.returned
	if t.host.dead {
		t.lost = true
		return
	}
	work := engine.Generation{
		ID: engine.RunID(d.Run), PromptTokens: int(t.request.PromptTokens), OutputTokens: t.length, Priority: d.Priority,
		Prefix: prefixOf(t), PrefixTokens: int(t.request.PrefixTokens),
	}
	t.host.model.Submit(work)
	t.host.running = append(slices.DeleteFunc(t.host.running, func(t *track) bool { return t.done }), t)
	if t.host.next.IsZero() {
		t.host.next = s.now
	}
}

func prefixOf(t *track) string {
	if t.request.Prefix == 0 {
		return ""
	}
	return fmt.Sprint(t.request.Prefix)
}

// refuse has a caller that was told when to come back do so, once.
func (s *simulation) refuse(t *track, d policy.Decision) {
	t.refused = true
	if t.returned || d.RetryAfter == 0 {
		return
	}
	t.returned = true
	t.asked = s.now.Add(d.RetryAfter)
	at := len(s.comeBack)
	for at > 0 && s.comeBack[at-1].asked.After(t.asked) {
		at--
	}
	s.comeBack = append(s.comeBack, nil)
	copy(s.comeBack[at+1:], s.comeBack[at:])
	s.comeBack[at] = t
}

func (s *simulation) stepHosts() {
	for _, h := range s.hosts {
		for !h.dead && !h.next.IsZero() && !h.next.After(s.now) {
			s.take(h)
			events, took := h.model.Step()
			h.events = append(h.events[:0], events...)
			if took == 0 {
				h.next = time.Time{}
				break
			}
			h.next = s.now.Add(took * time.Duration(h.slow))
		}
	}
}

// take accounts for the step that has just ended.
func (s *simulation) take(h *host) {
	for _, event := range h.events {
		t := s.tracks[policy.RunID(event.Run)]
		switch event.Kind {
		case engine.Token:
			t.token(s.now, event.Index)
		case engine.Preempted:
			t.preempted++
		case engine.Ended:
			t.done = true
			s.decider.finish(s.now, policy.Finish{Run: t.request.Run, GeneratedTokens: policy.Tokens(event.Index), Complete: true})
		case engine.Admitted:
		}
	}
	h.events = h.events[:0]
}

// stallAfter is the gap between tokens that counts as a stall.
const stallAfter = 250 * time.Millisecond

func (t *track) token(now time.Time, index int) {
	t.made = index
	if t.first.IsZero() {
		t.first = now
	} else {
		gap := now.Sub(t.last)
		t.worst = max(t.worst, gap)
		if gap >= stallAfter {
			t.stall += gap
		}
	}
	t.last = now
}

func (s *simulation) takeReports() {
	for _, h := range s.hosts {
		if !h.dead {
			s.reports = append(s.reports, datedReport{due: s.now.Add(reportLag), report: s.reportOf(h)})
		}
	}
}

func (s *simulation) deliverReports() {
	for len(s.reports) > 0 && !s.reports[0].due.After(s.now) {
		report := s.reports[0].report
		s.reports = s.reports[1:]
		// A lost engine is known at once to all, for every policy alike.
		if !s.byID[report.Engine].dead {
			s.decider.report(s.now, report)
		}
	}
}
