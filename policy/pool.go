// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/resource"
)

// Curve tells how likely an answer of more than made tokens is to have more at
// each of Horizons ahead.
type Curve interface {
	Alive(made Tokens) Survival
}

// lengthModel knows how long answers get.
type lengthModel interface {
	Of(r *Request) Curve
	Mean(r *Request) Tokens
}

// learner is a length model that learns from answers that ended.
type learner interface {
	Observe(account resource.Account, route resource.Name, n Tokens)
}

// Pool decides for the engines of one pool in one availability zone. Use
// NewPool. It isn't safe for use by several goroutines.
type Pool struct {
	settings Settings
	lengths  lengthModel
	// engines is in the order in which they were named, and named finds them by id: a
	// host says several times a second which engines there are and how each stands, and
	// by a search through all of them that grows with the square of their number.
	engines []*engine
	named   map[EngineID]*engine
	// away are engines that are no longer named: one that is only kept from new
	// work for a while comes back with its runs.
	away  map[EngineID]*engine
	runs  map[RunID]*placed
	queue queue
	steps stepTime
	reads readRate
	// meanLogSlow is the mean of the engines' logSlow.
	meanLogSlow float64
	// knownParts says of other zones which part of their hosts has told lately what it
	// runs.
	knownParts map[member.Zone]float64
	// share is how many entries decide about these engines at once, each
	// within its part of the free memory. It is 1 for the coordinator.
	share int
	// kept is the engine that is kept for a large request; nil mostly.
	kept *engine
	// blocked says that the queue's head found no room since the last change.
	blocked bool
}

// Option changes how a Pool is built.
type Option func(*Pool)

// WithLengthModel replaces the learned lengths.
func WithLengthModel(m lengthModel) Option {
	return func(p *Pool) { p.lengths = m }
}

// NewPool returns a pool without engines.
func NewPool(s Settings, opts ...Option) *Pool {
	s.fill()
	p := &Pool{settings: s, lengths: &Lengths{}, runs: map[RunID]*placed{}, reads: readRate{prior: s.ReadRate}, share: 1}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// SetSettings changes the settings for decisions from now on.
func (p *Pool) SetSettings(s Settings) {
	s.fill()
	p.settings = s
	p.reads.prior = s.ReadRate
}

// SetShare says how many entries decide about these engines at once.
func (p *Pool) SetShare(n int) { p.share = max(n, 1) }

// SetEngines says which engines take new work. An engine that is no longer
// named takes none; what it runs stays known until it finishes.
func (p *Pool) SetEngines(ids []EngineID) {
	p.blocked = false
	if p.areNamed(ids) {
		return
	}
	engines := make([]*engine, 0, len(ids))
	named := make(map[EngineID]*engine, len(ids))
	for _, id := range ids {
		e := p.anyEngine(id)
		if e == nil {
			e = newEngine(id)
		}
		e.isNew = e.isNew || p.named[id] == nil
		delete(p.away, id)
		engines = append(engines, e)
		named[id] = e
	}
	p.sendAway(named)
	p.engines, p.named = engines, named
}

// areNamed reports whether the engines are those already, in the same order.
func (p *Pool) areNamed(ids []EngineID) bool {
	return slices.EqualFunc(p.engines, ids, func(e *engine, id EngineID) bool { return e.id == id })
}

// Renew forgets everything about an engine that has started again: its runs, which are
// returned, what it keeps, how fast it reads and what it reported.
func (p *Pool) Renew(id EngineID) []RunID {
	old := p.anyEngine(id)
	if old == nil {
		return nil
	}
	ended := make([]RunID, 0, len(old.order))
	for _, run := range old.order {
		ended = append(ended, run.Run)
		delete(p.runs, run.Run)
	}
	fresh := newEngine(id)
	fresh.zone, fresh.group = old.zone, old.group
	if at := slices.Index(p.engines, old); at >= 0 {
		p.engines[at], p.named[id] = fresh, fresh
	} else {
		delete(p.away, id)
	}
	p.blocked = false
	return ended
}

// mostAway bounds the engines that are remembered without runs.
const mostAway = 256

// sendAway remembers the engines that aren't named any more.
func (p *Pool) sendAway(named map[EngineID]*engine) {
	for _, e := range p.engines {
		if named[e.id] != nil {
			continue
		}
		if p.away == nil {
			p.away = map[EngineID]*engine{}
		}
		p.away[e.id] = e
	}
	for id, e := range p.away {
		if len(p.away) > mostAway && len(e.order) == 0 {
			delete(p.away, id)
		}
	}
}

// engine returns an engine that takes new work; nil when none of that name does.
func (p *Pool) engine(id EngineID) *engine { return p.named[id] }

// anyEngine returns an engine that takes new work or is away; nil when it isn't
// known.
func (p *Pool) anyEngine(id EngineID) *engine {
	if e := p.engine(id); e != nil {
		return e
	}
	return p.away[id]
}

// Engines returns the engines that take new work.
func (p *Pool) Engines() []EngineID {
	ids := make([]EngineID, len(p.engines))
	for i, e := range p.engines {
		ids[i] = e.id
	}
	return ids
}

// Waiting is how many requests are queued.
func (p *Pool) Waiting() int { return len(p.queue.items) }

// Running is how many runs hold a place.
func (p *Pool) Running() int { return len(p.runs) }

// FreeTokens is the memory that the engines report as free.
func (p *Pool) FreeTokens() Tokens {
	free := Tokens(0)
	for _, e := range p.engines {
		free += max(e.report.Memory-e.report.Used, 0)
	}
	return free
}

// Report takes in what an engine said of itself.
func (p *Pool) Report(now time.Time, r Report) {
	e := p.engine(r.Engine)
	if e == nil {
		return
	}
	e.take(now, r)
	e.refresh(now)
	p.steps.observe(r.Running, r.Step)
	p.blocked = false
}

// Suspect keeps new work from an engine until it reports again.
func (p *Pool) Suspect(id EngineID) {
	if e := p.engine(id); e != nil {
		e.reported = time.Time{}
	}
}

// Withhold keeps new work from the named engines, and from no others that were
// named before.
func (p *Pool) Withhold(ids []EngineID) {
	for _, e := range p.engines {
		e.withheld = slices.Contains(ids, e.id)
	}
	p.blocked = false
}

// staleAfter is how old a report may be for its engine to take new work.
const staleAfter = 3 * time.Second

// Reports returns each engine's last report.
func (p *Pool) Reports() []Report {
	reports := make([]Report, 0, len(p.engines))
	for _, e := range p.engines {
		if e.known() {
			reports = append(reports, e.report)
		}
	}
	return reports
}

// Cache takes in a cache event of an engine.
func (p *Pool) Cache(now time.Time, id EngineID, event CacheEvent) {
	if e := p.engine(id); e != nil {
		e.cache.take(now, event)
	}
}

// Adopt takes in a run that was placed by another, so that a new coordinator
// knows what its engines already carry.
func (p *Pool) Adopt(now time.Time, r Request, id EngineID, made Tokens) {
	e := p.anyEngine(id)
	if e == nil || p.runs[r.Run] != nil {
		return
	}
	run := &placed{Request: r, made: made, curve: p.lengths.Of(&r)}
	p.runs[r.Run] = run
	e.add(now, run)
	if made == 0 {
		e.willRead(now, run, p.takesToRead(now, e, &r))
	}
	run.began = now.Add(-time.Duration(made) * e.step())
}

// Submit asks for a place. Asking again for a run that is known changes
// nothing and tells how it stands.
func (p *Pool) Submit(now time.Time, r Request) Decision {
	if run := p.runs[r.Run]; run != nil {
		return granted(run, 0)
	}
	if p.queue.find(r.Run) >= 0 {
		return Decision{Run: r.Run, Verdict: Queued}
	}
	if refusal, no := p.hopeless(r); no {
		return refusal
	}
	w := p.queue.tag(now, r, r.Prompt+p.lengths.Mean(&r))
	at := p.queue.position(w)
	if at == 0 {
		if e := p.choose(now, &r); e != nil {
			p.queue.served(w)
			return p.place(now, &r, e, 0)
		}
	}
	return p.enqueue(now, w, at)
}

func granted(run *placed, waited time.Duration) Decision {
	return Decision{
		Run: run.Run, Verdict: Granted, Engine: run.engine.id, Priority: run.priority, Waited: waited, FirstAfter: run.firstAfter,
		Memory: run.engine.foreseenPeak(), Batch: run.engine.batch(),
	}
}

func (p *Pool) place(now time.Time, r *Request, e *engine, waited time.Duration) Decision {
	run := &placed{Request: *r, curve: p.lengths.Of(r), priority: p.worth(r)}
	p.runs[r.Run] = run
	run.placedAt, run.firstAfter = now, p.firstToken(now, e, r)
	e.add(now, run)
	e.willRead(now, run, p.takesToRead(now, e, r))
	e.cache.put(now, r.Prefix, r.PrefixTokens)
	return granted(run, waited)
}

// TryPlace places a request if that can be done at once, ahead of nothing that waits. It
// doesn't queue it.
func (p *Pool) TryPlace(now time.Time, r Request) (Decision, bool) {
	if p.runs[r.Run] != nil || p.queue.find(r.Run) >= 0 {
		return Decision{}, false
	}
	cost := r.Prompt + p.lengths.Mean(&r)
	w := p.queue.tag(now, r, cost)
	if p.queue.position(w) == 0 {
		if e := p.choose(now, &r); e != nil {
			p.queue.served(w)
			return p.place(now, &r, e, 0), true
		}
	}
	p.queue.correct(r.Account, -cost)
	return Decision{}, false
}

// PlaceAt places a request on an engine that another decider has chosen, which expects
// its first token after some time. It reports false when that engine isn't known.
func (p *Pool) PlaceAt(now time.Time, r Request, id EngineID, firstAfter time.Duration) (Decision, bool) {
	e := p.engine(id)
	if e == nil || p.runs[r.Run] != nil {
		return Decision{}, false
	}
	d := p.place(now, &r, e, 0)
	d.FirstAfter = firstAfter
	// What is learnt from its first token is measured against what is foreseen here: what
	// the other foresaw doesn't follow from what is learnt here, and learning from that
	// would never come to an end.
	return d, true
}

// Finish takes a run off its engine, or out of the queue, and learns from it.
func (p *Pool) Finish(now time.Time, f Finish) {
	if i := p.queue.find(f.Run); i >= 0 {
		w := p.queue.removeAt(i)
		p.refuse(w, ReasonDeadline, 0)
		return
	}
	run := p.runs[f.Run]
	if run == nil {
		return
	}
	delete(p.runs, f.Run)
	estimate := p.lengths.Mean(&run.Request)
	p.queue.correct(run.Account, f.Made-estimate)
	if f.Whole {
		p.Learn(&run.Request, f.Made)
	}
	run.engine.remove(run)
	run.engine.refresh(now)
	p.blocked = false
}

// Learn takes in the length of an answer that ended by itself; Finish does so
// for the runs that were placed here.
func (p *Pool) Learn(r *Request, made Tokens) {
	if l, learns := p.lengths.(learner); learns {
		l.Observe(r.Account, r.Route, made)
	}
}

// refreshEvery is how often an engine's memory is foreseen anew.
const refreshEvery = 250 * time.Millisecond

// Advance decides about what waits, as of now.
func (p *Pool) Advance(now time.Time) []Decision {
	for _, e := range p.engines {
		p.stagger(now, e)
		if now.Sub(e.refreshed) >= refreshEvery {
			e.refresh(now)
			p.blocked = false
		}
	}
	decided := p.refuseLate(now)
	if p.blocked {
		return decided
	}
	return p.serve(now, decided)
}

// stagger has an engine that has just begun to take work get what waits here only when
// this decider's time has come. All hosts hear of it at once, and those that have requests
// waiting would all place them there before they hear of each other's.
func (p *Pool) stagger(now time.Time, e *engine) {
	if !e.isNew {
		return
	}
	e.isNew = false
	if p.settings.Stagger > 0 {
		part := xxhash.Sum64String(p.settings.Decider+" "+string(e.id)) % staggerParts
		e.queueFrom = now.Add(time.Duration(part) * p.settings.Stagger / staggerParts)
	}
}

// staggerParts is how finely the time of Stagger is divided.
const staggerParts = 1024

// Limits of how far a request that finds no room lets others pass.
const (
	// passedBy is how many requests behind it are tried.
	passedBy = 32
	// keptForShare is the part of its time after which an engine is kept for
	// it, so that small requests can't pass a large one for ever.
	keptForShare = 0.5
)

// serve places what it can in the queue's order. A request that finds no room
// lets others pass; when the first of them has waited for half of its time, the
// engine that will have room for it soonest is kept for it.
func (p *Pool) serve(now time.Time, decided []Decision) []Decision {
	skipped := 0
	p.kept = nil
	for i := 0; i < len(p.queue.items) && skipped <= passedBy; {
		w := p.queue.items[i]
		e := p.chooseFor(now, w)
		if e != nil {
			p.queue.removeAt(i)
			p.queue.served(w)
			decided = append(decided, p.place(now, &w.Request, e, now.Sub(w.since)))
			continue
		}
		if p.kept == nil && now.Sub(w.since) > time.Duration(keptForShare*float64(w.Deadline.Sub(w.since))) {
			p.kept = p.soonest(now, &w.Request)
		}
		skipped++
		i++
	}
	p.blocked = len(p.queue.items) > 0
	return decided
}
