// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package pace estimates how fast each engine of a service decodes, and decides whether the engines
// differ so much that placement should consider it.
//
// The load that it addresses: some 44 engines with three to seven runs each, whose runs are spread
// over some 64 hosts. A host has one to three runs at a time, each with an event of four tokens every
// 20 to 70 ms, so most of what a host knows comes from its peers. An engine is gone some 20 s after it
// came, so an estimate must be usable after about a second.
//
// The package does no I/O, starts no goroutine and reads no clock. All state is soft: a new Model is
// complete again after a few seconds of observations and reports. A Model isn't safe for concurrent use.
package pace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/shedpath/shedpath/member"
)

// Engine identifies an engine.
type Engine = member.UpstreamID

// Mark is one host's report to its peers about one engine.
type Mark struct {
	Engine Engine
	// Incarnation tells one start of the engine from others; zero if unknown.
	Incarnation int64
	// BaseStep, Step and SlowStep are as in Estimate.
	BaseStep, Step, SlowStep time.Duration
	// Samples is the number of samples, those of the past weighted by their age.
	Samples int
	// Age is the age of the newest sample.
	Age time.Duration
}

// Estimate is the pace of an engine.
type Estimate struct {
	// Step is the typical duration of a decoding step, and SlowStep the duration that one step in
	// ten exceeds. SlowStep includes slow periods and steps that also prefill a prompt.
	Step, SlowStep time.Duration
	// BaseStep is the duration that nine steps in ten exceed. It shows the engine's own speed: it
	// excludes slow periods and prefill unless they take nearly all of the time.
	BaseStep time.Duration
	// Samples is the number of samples, and Age the age of the newest one.
	Samples int
	Age     time.Duration
}

// TailStep returns the step that one in a thousand exceeds. The tail of the steps is taken to be
// exponential: it exceeds the usual step by three times as much as one in ten does.
func (e Estimate) TailStep() time.Duration { return 3*e.SlowStep - 2*e.Step }

const (
	// maxStep is the longest step that counts. An engine that stands still for longer is failing rather
	// than slow.
	maxStep = 10 * time.Second
	// maxAge is the age at which samples and marks are dropped. An engine's speed is mostly that of its
	// machine, so what is known of it holds longer than its slow periods: an engine without recent runs
	// isn't taken for a typical one again.
	maxAge = 30 * time.Second
	// minStep is the shortest step that counts. Events that arrive together were delayed on the way
	// and show nothing of the engine; no engine decodes a token in less.
	minStep = 100 * time.Microsecond
	// decayTime is the time after which a sample's weight has fallen to 1/e. Engines that are slow
	// for 0.6 s at a time are so about once in 4 s; SlowStep has to include these periods.
	decayTime = 4 * time.Second
	// minSamples is the least number of samples of an estimate, if they come from several hosts or
	// from the only run on the engine.
	minSamples = 8
	// minSingleHostSamples is the least number of samples of an estimate of one host where the engine
	// has other runs, too. What slows one run's stream needn't be the engine. With their decay these
	// are 14 events, about a second of one run.
	minSingleHostSamples = 12
	// maxMarkSamples bounds the weight of one host's mark. One run yields up to 200 samples within
	// decayTime.
	maxMarkSamples = 400
	// newSampleAge is how old the newest sample of a mark may be for Marks. Within that time each peer
	// of the cell gets a share at least once.
	newSampleAge = time.Second
	// MaxMarks bounds the marks of one report. A host has one to three runs at a time, so it seldom
	// has more than ten marks.
	MaxMarks = 32
)

// Model holds what a host knows of the pace of one service's engines. The zero value is empty and
// ready to use.
type Model struct {
	engines map[Engine]*record
	// ignoredMarks counts the marks that had invalid values.
	ignoredMarks uint64
	// estimates is scratch space that is reused between calls.
	estimates []engineEstimate
	// activity is the state of UpdateActivity, and tail is the one found by its last call.
	activity activity
	tail     tail
}

// record is what is known of one incarnation of an engine.
type record struct {
	incarnation int64
	own         sampleSet
	// batch is the number of runs on the engine at the last own sample; zero without one.
	batch int
	// peers holds the last mark of each peer. Age is the age at receivedAt.
	peers map[member.HostID]peerMark
	// unevenSince is when the engine was first found slower than the others, in every check and on new
	// samples since; zero if it was not in the last check.
	unevenSince time.Time
}

type peerMark struct {
	Mark
	receivedAt time.Time
}

// age returns the age of the mark's newest sample.
func (p peerMark) age(now time.Time) time.Duration { return p.Age + max(now.Sub(p.receivedAt), 0) }

// isValidStep reports whether a step has a duration that an engine's step can have.
func isValidStep(step time.Duration) bool { return step >= minStep && step <= maxStep }

// record returns the record of an engine's incarnation. It is nil if the incarnation is older than the
// one that is known. A newer one starts empty; so does any after Forget.
func (m *Model) record(id Engine, incarnation int64) *record {
	r := m.engines[id]
	switch {
	case r == nil || r.incarnation != 0 && incarnation > r.incarnation:
		if m.engines == nil {
			m.engines = map[Engine]*record{}
		}
		r = &record{incarnation: incarnation}
		m.engines[id] = r
	case r.incarnation == 0:
		r.incarnation = incarnation
	case incarnation != 0 && incarnation < r.incarnation:
		return nil
	}
	return r
}

// Observe records the gap per token between two events of one of this host's runs. batch is the number
// of runs known on the engine. The caller leaves out gaps that span a move, a stop or a resumption of
// the run, or in which the caller's side held the stream up.
func (m *Model) Observe(now time.Time, engine Engine, incarnation int64, step time.Duration, batch int) {
	if !isValidStep(step) {
		return
	}
	if r := m.record(engine, incarnation); r != nil {
		r.batch = batch
		r.own.add(now, step)
	}
}

// ReceiveMarks records a peer's marks. Marks with invalid values are ignored and counted.
func (m *Model) ReceiveMarks(now time.Time, from member.HostID, marks []Mark) {
	for i, mark := range marks {
		if i >= MaxMarks || mark.Engine == "" || !isValidStep(mark.BaseStep) || !isValidStep(mark.SlowStep) || mark.Step < mark.BaseStep || mark.SlowStep < mark.Step || mark.Samples <= 0 || mark.Age < 0 {
			m.ignoredMarks++
			continue
		}
		if mark.Age > maxAge {
			continue
		}
		r := m.record(mark.Engine, mark.Incarnation)
		if r == nil {
			continue
		}
		if r.peers == nil {
			r.peers = map[member.HostID]peerMark{}
		}
		mark.Samples = min(mark.Samples, maxMarkSamples)
		r.peers[from] = peerMark{mark, now}
	}
}

// IgnoredMarks returns the number of marks that were ignored because of invalid values.
func (m *Model) IgnoredMarks() uint64 { return m.ignoredMarks }

// Marks returns this host's own observations that have new samples, at most MaxMarks.
func (m *Model) Marks(now time.Time) []Mark { return m.marks(now, newSampleAge) }

// AllMarks returns all of this host's own observations, for a peer that has none of them yet, at most
// MaxMarks.
func (m *Model) AllMarks(now time.Time) []Mark { return m.marks(now, maxAge) }

func (m *Model) marks(now time.Time, oldest time.Duration) []Mark {
	var marks []Mark
	for id, r := range m.engines {
		age := r.own.age(now)
		if r.own.isEmpty() || age > oldest {
			continue
		}
		base, step, slow := r.own.quantiles()
		marks = append(marks, Mark{
			Engine: id, Incarnation: r.incarnation, BaseStep: base, Step: step, SlowStep: slow,
			Samples: min(r.own.samples(), maxMarkSamples), Age: age,
		})
	}
	slices.SortFunc(marks, func(a, b Mark) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Engine, b.Engine))
	})
	return marks[:min(len(marks), MaxMarks)]
}

// Estimate returns the pace of an engine, from this host's observations and its peers' marks, weighted
// by samples and age. It returns false if too little is known.
func (m *Model) Estimate(now time.Time, engine Engine) (Estimate, bool) {
	r := m.engines[engine]
	if r == nil {
		return Estimate{}, false
	}
	return r.estimate(now)
}

func (r *record) estimate(now time.Time) (Estimate, bool) {
	var baseSteps, steps, slowSteps, weights float64
	hosts, e := 0, Estimate{Age: maxAge}
	add := func(base, step, slow time.Duration, samples int, age time.Duration) {
		if samples <= 0 || age > maxAge {
			return
		}
		weight := float64(samples) * math.Exp(-float64(age)/float64(decayTime))
		baseSteps += weight * float64(base)
		steps += weight * float64(step)
		slowSteps += weight * float64(slow)
		weights += weight
		e.Samples += samples
		e.Age = min(e.Age, age)
		hosts++
	}
	if !r.own.isEmpty() {
		base, step, slow := r.own.quantiles()
		add(base, step, slow, r.own.samples(), r.own.age(now))
	}
	for _, p := range r.peers {
		add(p.BaseStep, p.Step, p.SlowStep, p.Samples, p.age(now))
	}
	least := minSamples
	if hosts == 1 && r.batch != 1 {
		least = minSingleHostSamples
	}
	if e.Samples < least {
		return Estimate{}, false
	}
	e.Step, e.SlowStep = time.Duration(steps/weights), time.Duration(slowSteps/weights)
	if e.BaseStep = r.leastBaseStep(now, e.Age+decayTime); e.BaseStep == 0 {
		e.BaseStep = time.Duration(baseSteps / weights)
	}
	return e, true
}

// leastBaseStep returns the least BaseStep of the hosts with enough samples that aren't older than a
// given age; zero if there are none. A host that saw only a slow period must not raise the result, and
// an engine that has become slower must not look fast because of what hosts saw before.
func (r *record) leastBaseStep(now time.Time, oldest time.Duration) time.Duration {
	least := time.Duration(0)
	if r.own.samples() >= minSamples && r.own.age(now) <= oldest {
		least, _, _ = r.own.quantiles()
	}
	for _, p := range r.peers {
		if p.Samples >= minSamples && p.age(now) <= oldest && (least == 0 || p.BaseStep < least) {
			least = p.BaseStep
		}
	}
	return least
}

// engineEstimate is the estimate of one engine.
type engineEstimate struct {
	engine Engine
	Estimate
}

// known returns the estimates of the known engines, sorted by Step. The result is valid until the next
// call. An engine that isn't known isn't slower than the others.
func (m *Model) known(now time.Time) []engineEstimate {
	m.estimates = m.estimates[:0]
	for id, r := range m.engines {
		if e, ok := r.estimate(now); ok {
			m.estimates = append(m.estimates, engineEstimate{id, e})
		} else {
			r.unevenSince = time.Time{}
		}
	}
	slices.SortFunc(m.estimates, func(a, b engineEstimate) int {
		return cmp.Or(cmp.Compare(a.Step, b.Step), cmp.Compare(a.engine, b.engine))
	})
	return m.estimates
}

// Typical returns the medians of the known engines. It returns false if no engine is known.
func (m *Model) Typical(now time.Time) (Estimate, bool) {
	known := m.known(now)
	if len(known) == 0 {
		return Estimate{}, false
	}
	typical := known[len(known)/2].Estimate
	slices.SortFunc(known, func(a, b engineEstimate) int { return cmp.Compare(a.SlowStep, b.SlowStep) })
	typical.SlowStep = max(known[len(known)/2].SlowStep, typical.Step)
	return typical, true
}

// Intrinsic returns the step times that an engine has at the load of a typical engine. Slow periods and
// prefill affect all engines in proportion to their speed, and few samples of one engine say little about
// them, so only BaseStep is the engine's own. It returns false if the engine isn't known.
func (m *Model) Intrinsic(now time.Time, engine Engine) (Estimate, bool) {
	e, known := m.Estimate(now, engine)
	if !known {
		return Estimate{}, false
	}
	return m.tail.of(e), true
}

// tail is how far the steps of typical engines exceed their BaseStep. The zero value isn't valid.
type tail struct{ step, slowStep float64 }

// newTail returns the medians of the given engines. It reorders them.
func newTail(known []engineEstimate) tail {
	median := func(ratio func(engineEstimate) float64) float64 {
		slices.SortFunc(known, func(a, b engineEstimate) int { return cmp.Compare(ratio(a), ratio(b)) })
		return ratio(known[len(known)/2])
	}
	t := tail{
		step:     median(func(e engineEstimate) float64 { return float64(e.Step) / float64(e.BaseStep) }),
		slowStep: median(func(e engineEstimate) float64 { return float64(e.SlowStep) / float64(e.BaseStep) }),
	}
	t.slowStep = max(t.slowStep, t.step)
	return t
}

// of returns an estimate whose Step and SlowStep follow from its BaseStep.
func (t tail) of(e Estimate) Estimate {
	e.Step, e.SlowStep = time.Duration(t.step*float64(e.BaseStep)), time.Duration(t.slowStep*float64(e.BaseStep))
	return e
}

// Slowest returns the estimate of the known engine with the longest SlowStep. It returns false if no
// engine is known.
func (m *Model) Slowest(now time.Time) (Estimate, bool) {
	known := m.known(now)
	if len(known) == 0 {
		return Estimate{}, false
	}
	return slices.MaxFunc(known, func(a, b engineEstimate) int { return cmp.Compare(a.SlowStep, b.SlowStep) }).Estimate, true
}

// Forget drops what is known of an engine, with its incarnation.
func (m *Model) Forget(engine Engine) { delete(m.engines, engine) }

// Engines returns the engines of which anything is known, in no particular order.
func (m *Model) Engines() []Engine {
	engines := make([]Engine, 0, len(m.engines))
	for id := range m.engines {
		engines = append(engines, id)
	}
	return engines
}

// Prune drops samples and marks that have expired. What it drops no longer counts in estimates.
func (m *Model) Prune(now time.Time) {
	for id, r := range m.engines {
		for host, p := range r.peers {
			if p.age(now) > maxAge {
				delete(r.peers, host)
			}
		}
		if !r.own.isEmpty() && r.own.age(now) > maxAge {
			r.own, r.batch = sampleSet{}, 0
		}
		if r.own.isEmpty() && len(r.peers) == 0 {
			delete(m.engines, id)
		}
	}
}
