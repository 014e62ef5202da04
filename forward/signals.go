// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import "time"

// Signals are what an answer tells about its upstream, besides answering the request.
type Signals struct {
	// Leaving says that the upstream leaves, for the rest of its life.
	Leaving bool
	// Closing says that the connection is closed. Upstreams that leave do so, and others
	// now and then.
	Closing bool
	// RetryAfter is for how long the upstream wants nothing from this host; zero doesn't ask.
	RetryAfter time.Duration
	// Limit is how many requests it takes from all hosts.
	Limit AnnouncedLimit
	// FromUpstream says that the answer shows to be the upstream's own.
	FromUpstream bool
	// Unusable says why parts of what it told can't be used.
	Unusable []error
}

// SignalKind names a signal for the metrics.
type SignalKind string

// The kinds of signals.
const (
	SignalLeaving  SignalKind = "leaving"
	SignalBackoff  SignalKind = "backoff"
	SignalLimit    SignalKind = "limit"
	SignalUnusable SignalKind = "unusable"
)

// answerKind says what kind of answer a signal came with.
type answerKind string

const (
	answerToRequest answerKind = "request"
	answerToMove    answerKind = "move"
	answerToHealth  answerKind = "health"
	answerToDiscard answerKind = "discard"
)

// applySignals takes in what an answer tells about its upstream, whoever waits for the
// answer. sent is when its request was.
func (f *Forwarder) applySignals(sent time.Time, u Upstream, to answerKind, s Signals) {
	now := f.now()
	if known, found := f.fleet.Upstream(u.ID); found && u.Incarnation != 0 && known.Incarnation != u.Incarnation {
		// Of the life before.
		return
	}
	for _, err := range s.Unusable {
		f.observer.Signal(SignalUnusable)
		f.logSignal(now, u, "signal not usable", "answer_to", to, "err", err)
	}
	if s.Leaving {
		f.observer.Signal(SignalLeaving)
		if f.fleet.RecordSelfReportedLeaving(now, u.ID, u.Incarnation, true) {
			f.journal.HostEvent("upstream says that it leaves", "upstream", u.ID, "life", u.Incarnation, "answer_to", to, "asked_ago", now.Sub(sent))
			f.peers.notifyAll()
		}
	}
	if s.RetryAfter > 0 {
		f.observer.Signal(SignalBackoff)
		if f.recordBackoff(now, u, s.RetryAfter) {
			f.logSignal(now, u, "upstream asks for backoff", "answer_to", to, "for", s.RetryAfter, "asked_ago", now.Sub(sent))
		}
	}
	if s.Limit.Announced {
		f.observer.Signal(SignalLimit)
	}
	// Only its own answer to a request that names no limit ends one.
	if s.Limit.Announced || s.Limit.Err != nil || s.FromUpstream && to == answerToRequest {
		f.recordAnswerLimit(sent, u, s.Limit)
	}
}

// logSignal writes a line about an upstream's signal, unless there was one just now.
func (f *Forwarder) logSignal(now time.Time, u Upstream, event string, keyvals ...any) {
	if f.signalLogLimiter.allow(now, u.ID) {
		f.journal.HostEvent(event, append([]any{"upstream", u.ID, "life", u.Incarnation}, keyvals...)...)
	}
}
