// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"math"
	"slices"
	"time"
)

// An engine reads prompts one after another. How long that takes is foreseen, but
// engines of one pool differ in speed and hosts hear of each other's runs late, so what
// is foreseen is held to what is seen: a run without a token has not been read, and one
// with a token has, with all that were placed before it. From when first tokens came
// each engine's own speed is learnt.

const (
	// overduePart is the part of a prompt that is taken to be left to read when its run
	// has no token though it should have.
	overduePart = 0.25
	// slownessWeight is the weight of the newest observation of an engine's own speed:
	// most of a difference is learnt from five first tokens, for an engine of a spot
	// pool may be gone after some twenty.
	slownessWeight = 0.3
	// slownessMost bounds an engine's slowness, and one observation of it.
	slownessMost = 3.0
)

// takesToRead is how long the engine is expected to read a prompt.
func (p *Pool) takesToRead(now time.Time, e *engine, r *Request) time.Duration {
	return time.Duration(float64(p.reads.takes(r.Prompt-e.cache.reusable(now, r))) * p.slowness(e))
}

// slowness is how much longer an engine reads than the pool's engines do on average.
// What all of them have in common is in the pool's rate of reading.
func (p *Pool) slowness(e *engine) float64 {
	if !e.slowLearnt {
		return 1
	}
	return min(max(math.Exp(e.logSlow-p.meanLogSlow), 1/slownessMost), slownessMost)
}

// willRead counts a run's prompt among those that the engine has to read.
func (e *engine) willRead(now time.Time, run *placed, takes time.Duration) {
	run.unread, run.readTakes, run.toldAt = true, takes, now
	if e.readUntil.Before(now) {
		e.readUntil = now
	}
	e.readUntil = e.readUntil.Add(takes)
}

// unreadSeen takes in that a run has no token yet: its prompt, and those that came
// after it, are still to be read.
func (e *engine) unreadSeen(now time.Time, run *placed) {
	run.unread = true
	left := max(run.readTakes-now.Sub(e.readFrom(run)), time.Duration(overduePart*float64(run.readTakes)))
	_, after := e.unreadAround(run)
	if until := now.Add(left + after); until.After(e.readUntil) {
		e.readUntil = until
	}
}

// readSeen takes in that a run's first token came at a time: no more is left to read
// than what came after it.
func (p *Pool) readSeen(at time.Time, run *placed) {
	e := run.engine
	before, after := e.unreadAround(run)
	p.observeReading(e, before+run.readTakes, at.Sub(e.readFrom(run)))
	for _, other := range e.order {
		other.unread = false
		if other == run {
			break
		}
	}
	if at.After(e.lastRead) {
		e.lastRead = at
	}
	if until := at.Add(after); until.Before(e.readUntil) {
		e.readUntil = until
	}
}

// readFrom is when the engine began to read a run's prompt, or those before it that
// it hadn't read: when the run came, or when the last one that is known was read.
func (e *engine) readFrom(run *placed) time.Time {
	if run.toldAt.Before(e.lastRead) {
		return e.lastRead
	}
	return run.toldAt
}

// unreadAround is how long the unread prompts take that came before a run's and after.
func (e *engine) unreadAround(run *placed) (before, after time.Duration) {
	at := slices.Index(e.order, run)
	for i, p := range e.order {
		switch {
		case !p.unread || i == at:
		case i < at:
			before += p.readTakes
		default:
			after += p.readTakes
		}
	}
	return before, after
}

// observeReading takes in how long an engine took to read what was foreseen to take
// another time.
func (p *Pool) observeReading(e *engine, foreseen, took time.Duration) {
	if foreseen <= 0 || took <= 0 {
		return
	}
	off := min(max(float64(took)/float64(foreseen), 1/slownessMost), slownessMost)
	if !e.slowLearnt {
		e.logSlow, e.slowLearnt = p.meanLogSlow, true
	}
	e.logSlow += slownessWeight * math.Log(off)
	p.meanLogSlow = p.averageLogSlow()
}

// averageLogSlow is the mean over the engines that take work; those that nothing is
// known of count as the mean.
func (p *Pool) averageLogSlow() float64 {
	sum, learnt := 0.0, 0
	for _, e := range p.engines {
		if e.slowLearnt {
			sum += e.logSlow
			learnt++
		}
	}
	return sum / float64(max(learnt, 1))
}

// Reading takes in what another host tells of its run's prompt: when its first token
// came, or the zero time while it has none.
func (p *Pool) Reading(now time.Time, id RunID, first time.Time) {
	run := p.runs[id]
	switch {
	case run == nil || run.readTakes == 0:
		// It isn't known, or was read elsewhere.
	case first.IsZero():
		run.engine.unreadSeen(now, run)
	case run.unread:
		p.readSeen(first, run)
	}
}
