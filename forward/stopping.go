// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"math/rand/v2"
	"time"
)

// Ready reports whether this host should get new connections: not before it knows a
// configuration and upstreams to send to.
func (f *Forwarder) Ready() bool {
	return f.table.Load() != nil && !f.fleet.Revision().IsZero() && !f.Stopping()
}

// Stopping reports whether the host is about to stop.
func (f *Forwarder) Stopping() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopping
}

// interruptTimeout is how long requests that are ended get to write their final answer.
const interruptTimeout = 50 * time.Millisecond

// Stop refuses new streams from now on, but for those that should have ended
// when the context does, and waits until nothing is in flight or
// the context ends; what is in flight then gets its final answer. It may be called
// again to wait again.
func (f *Forwarder) Stop(ctx context.Context) {
	f.mu.Lock()
	running := len(f.inFlight)
	if !f.stopping {
		f.stoppingSince = f.now()
		f.journal.HostEvent("stopping", "running", running)
	}
	f.stopping = true
	f.peers.markStopping()
	// Without a deadline stopBy is zero, and no stream surely ends before it.
	f.stopDeadline = time.Time{}
	if by, set := ctx.Deadline(); set {
		f.stopDeadline = f.now().Add(time.Until(by))
	}
	f.idle = make(chan struct{})
	if running == 0 {
		close(f.idle)
	}
	idle := f.idle
	f.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
		f.interrupt(idle)
	}
}

// Close takes nothing any more once nothing is in flight, or when the context ends; then
// what is in flight gets its final answer. A request that came between the end of a wait
// and that of the process would be passed on and its answer lost.
func (f *Forwarder) Close(ctx context.Context) {
	for !f.closeIfIdle(ctx.Err() != nil) {
		f.Stop(ctx)
	}
	f.Stop(ctx)
}

// closeIfIdle closes if nothing is in flight, or if it must.
func (f *Forwarder) closeIfIdle(must bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = must || len(f.inFlight) == 0
	return f.closed
}

// interrupt has every request in flight end now. What a stopping host takes is taken on
// an estimate, and an estimate can be wrong: whoever it was wrong about is told, instead
// of finding its connection closed.
func (f *Forwarder) interrupt(idle <-chan struct{}) {
	f.mu.Lock()
	if len(f.inFlight) > 0 {
		f.journal.HostEvent("interrupted", "running", len(f.inFlight))
	}
	for _, end := range f.inFlight {
		end(errStopped)
	}
	f.mu.Unlock()
	answered := time.NewTimer(interruptTimeout)
	defer answered.Stop()
	select {
	case <-idle:
	case <-answered.C:
	}
}

// addInFlight counts a request as in flight; false says that it comes too late.
func (f *Forwarder) addInFlight(x *exchange, end context.CancelCauseFunc) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.inFlight[x] = end
	return true
}

func (f *Forwarder) removeInFlight(x *exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.inFlight, x)
	if f.stopping && len(f.inFlight) == 0 {
		select {
		case <-f.idle:
		default:
			close(f.idle)
		}
	}
}

// Margins of a stream that a stopping host still takes.
const (
	// hintTrustPeriod is how long after the stop began a stream is taken on the caller's
	// guess of its length, which is often far off. A stream that is cut at the
	// end of the grace is excused when it came in the first three seconds.
	hintTrustPeriod          = 2500 * time.Millisecond
	streamDurationMultiplier = 2
	streamStopMargin         = time.Second
	// maxExpectedCallDuration is longer than plain calls last, but for one in some thousands; a
	// caller that waits less shortens it.
	maxExpectedCallDuration = time.Second
)

// endsBeforeStop reports whether a request will have ended when this host stops.
func (x *exchange) endsBeforeStop(now time.Time) bool {
	x.mu.Lock()
	stopping, since, by := x.stopping, x.stoppingSince, x.stopDeadline
	x.mu.Unlock()
	switch {
	case !stopping:
		return true
	case x.route.Kind != KindStream:
		return by.IsZero() || now.Add(x.expectedCallDuration(now)).Before(by)
	default:
		return x.streamEndsBefore(now, since, by)
	}
}

// expectedCallDuration is how long a plain call may last.
func (x *exchange) expectedCallDuration(now time.Time) time.Duration {
	if left := x.timeLeft(now); left > 0 {
		return min(left, maxExpectedCallDuration)
	}
	return maxExpectedCallDuration
}

// streamEndsBefore reports whether a stream will have ended by a time, by the bound of its
// length, or soon after the stop began by the caller's guess; without either, none
// will.
func (x *exchange) streamEndsBefore(now, since, by time.Time) bool {
	p := x.call.Prompt
	out := p.MaxOutputTokens
	if p.ExpectedOutputTokens > 0 && now.Sub(since) <= hintTrustPeriod && (out <= 0 || p.ExpectedOutputTokens < out) {
		out = p.ExpectedOutputTokens
	}
	if out <= 0 {
		return false
	}
	takes := x.engines.expectedDuration(x.service.Name, p.Tokens, out)
	return now.Add(streamDurationMultiplier*takes + streamStopMargin).Before(by)
}

// stopStartedAt is when this host was first told to stop.
func (f *Forwarder) stopStartedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stoppingSince
}

const (
	// otherHostRetryAfter sends a caller on at once, for another host of the zone takes
	// it.
	otherHostRetryAfter = 10 * time.Millisecond
	// notReadyDetectionTime is how long callers still reach a host after it has said that it
	// isn't ready: it is asked once a second, and twice before it is believed.
	notReadyDetectionTime = 2100 * time.Millisecond
	// stopRetryJitter is over how long callers return that wait for that.
	stopRetryJitter = 150 * time.Millisecond
)

// stoppingRetryAfter is when a caller refused by a stopping host should come back: at
// once if its zone has another host, else when it won't meet this one again.
// Callers that come back at once to a zone's only host use up their returns there.
func (x *exchange) stoppingRetryAfter(now time.Time) time.Duration {
	if x.peers.hasPeerInZone(now) {
		return otherHostRetryAfter
	}
	return max(x.stopStartedAt().Add(notReadyDetectionTime).Sub(now), otherHostRetryAfter) + rand.N(stopRetryJitter)
}
