// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"github.com/shedpath/shedpath/member"
)

// Signals are what a response reports about its upstream, in addition to answering the
// request.
type Signals struct {
	// Leaving says that the upstream is leaving, which holds for the rest of its incarnation.
	Leaving bool
	// Closing says that the upstream closes the connection. Leaving upstreams do so, and
	// others occasionally.
	Closing bool
	// RetryAfter is how long the upstream asks this host to send it nothing; zero asks for no
	// backoff.
	RetryAfter time.Duration
	// Limit is the rate limit that the upstream announces for all hosts together.
	Limit AnnouncedLimit
	// Via is the peer that carried the connection; empty for a connection of this host.
	Via member.HostID
	// RejectionLimit is how many rejections a second the upstream says that it withstands.
	RejectionLimit AnnouncedRejectionLimit
	// FromUpstream says that the response is recognizably from the upstream itself.
	FromUpstream bool
	// Unusable holds an error for each part of the signals that cannot be used.
	Unusable []error
}

// AnnouncedRejectionLimit is the number of requests that an upstream may have to reject in a second for
// lack of room; above it, the upstream falls over.
type AnnouncedRejectionLimit struct {
	Announced bool
	PerSecond int
}

// SignalKind names a signal for the metrics.
type SignalKind string

// The kinds of signals.
const (
	SignalLeaving  SignalKind = "leaving"
	SignalBackoff  SignalKind = "backoff"
	SignalLimit    SignalKind = "limit"
	SignalUnusable SignalKind = "unusable"
	// SignalRejectionLimit is an announced RejectionLimit.
	SignalRejectionLimit SignalKind = "rejection_limit"
)

// answerKind is the kind of response that carried a signal.
type answerKind string

const (
	answerToRequest answerKind = "request"
	answerToMove    answerKind = "move"
	answerToHealth  answerKind = "health"
	answerToDiscard answerKind = "discard"
	answerToReport  answerKind = "report"
)

// applySignals applies what a response reports about its upstream, whatever kind of request it
// answers. sent is when that request was sent.
func (f *Forwarder) applySignals(sent time.Time, u Upstream, to answerKind, s Signals) {
	now := f.now()
	if known, found := f.fleet.Upstream(u.ID); found && u.Incarnation != 0 && known.Incarnation != u.Incarnation {
		// The response is from another incarnation.
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
		if s.Via != "" {
			f.notifyCarrier(s.Via, u, s.RetryAfter)
		}
		if f.recordBackoff(now, u, s.RetryAfter) {
			f.logSignal(now, u, "upstream asks for backoff", "answer_to", to, "for", s.RetryAfter, "asked_ago", now.Sub(sent))
		}
	}
	if s.RejectionLimit.Announced || to == answerToRequest {
		f.recordRejectionLimit(now, u, s)
	}
	if s.Limit.Announced {
		f.observer.Signal(SignalLimit)
	}
	// Only the upstream's own response to a request ends a limit, by announcing none.
	if s.Limit.Announced || s.Limit.Err != nil || s.FromUpstream && to == answerToRequest {
		f.recordAnswerLimit(sent, u, s.Limit)
	}
}

// logSignal logs an upstream's signal, unless one was logged shortly before.
func (f *Forwarder) logSignal(now time.Time, u Upstream, event string, keyvals ...any) {
	if f.signalLogLimiter.Allow(now, u.ID) {
		f.journal.HostEvent(event, append([]any{"upstream", u.ID, "life", u.Incarnation}, keyvals...)...)
	}
}
