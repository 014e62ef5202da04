// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"slices"
	"time"
)

// An engine reads prompts one after another. How long that takes is foreseen, but
// engines of one pool differ in speed and hosts hear of each other's runs late, so what
// is foreseen is held to what is seen: a run without a token has not been read, and one
// with a token has, with all that were placed before it. With 195 hosts before 62
// engines, a third of them 1.3 times slower, engines kept two seconds of prompts for
// eight seconds that every host took for a few tenths.

// headPart is the part of a prompt that is taken to be left to read when nothing but
// that its run has no token yet is known.
const headPart = 0.5

// willRead counts a run's prompt among those that the engine has to read.
func (e *engine) willRead(now time.Time, run *placed, takes time.Duration) {
	run.unread, run.readTakes = true, takes
	if e.readUntil.Before(now) {
		e.readUntil = now
	}
	e.readUntil = e.readUntil.Add(takes)
}

// unreadSeen takes in that a run has no token yet: its prompt, and those that came
// after it, are still to be read.
func (e *engine) unreadSeen(now time.Time, run *placed) {
	run.unread = true
	left := time.Duration(headPart*float64(run.readTakes)) + e.unreadAfter(run)
	if until := now.Add(left); until.After(e.readUntil) {
		e.readUntil = until
	}
}

// readSeen takes in that a run has its first token: no more is left to read than what
// came after it.
func (e *engine) readSeen(now time.Time, run *placed) {
	for _, p := range e.order {
		p.unread = false
		if p == run {
			break
		}
	}
	if until := now.Add(e.unreadAfter(run)); until.Before(e.readUntil) {
		e.readUntil = until
	}
}

// unreadAfter is how long the unread prompts take that came after a run's.
func (e *engine) unreadAfter(run *placed) time.Duration {
	var takes time.Duration
	for _, p := range slices.Backward(e.order) {
		if p == run {
			break
		}
		if p.unread {
			takes += p.readTakes
		}
	}
	return takes
}

// sawMade takes in how many tokens a run has: what it says of its engine's reading.
func (run *placed) sawMade(now time.Time, made Tokens) {
	switch {
	case run.readTakes == 0:
		// It was read elsewhere.
	case made == 0:
		run.engine.unreadSeen(now, run)
	case run.unread:
		run.engine.readSeen(now, run)
	}
}
