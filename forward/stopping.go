// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"math/rand/v2"
	"time"
)

// Ready reports whether this host should get new connections: it has a configuration and a
// list of upstreams, can place streams on them, and is not stopping.
func (f *Forwarder) Ready() bool { return f.canPlace.Load() && !f.Stopping() }

// Stopping reports whether Stop has been called.
func (f *Forwarder) Stopping() bool { return f.stopping.Load() }

// interruptTimeout is how long requests that are interrupted have to write their final answer.
const interruptTimeout = 50 * time.Millisecond

// Stop refuses requests from now on that are not expected to end before the deadline of ctx;
// if ctx has none, it refuses streams only. It waits until no request is in flight or ctx is
// done; it then interrupts the requests that are still in flight, so that they write their
// final answer. Stop may be called again to wait again.
func (f *Forwarder) Stop(ctx context.Context) {
	f.mu.Lock()
	running := len(f.inFlight)
	if !f.stopping.Load() {
		f.stoppingSince = f.now()
		f.stopping.Store(true)
		f.journal.HostEvent("stopping", "running", running)
		f.peers.markStopping()
		f.peers.notifyAll()
	}
	// Without a deadline stopDeadline is zero, and no stream is expected to end before it.
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

// Close waits until no request is in flight or ctx is done, and refuses every request from
// then on. Requests still in flight when ctx is done are interrupted and write their final
// answer. A request accepted between the last wait and the end of the process would be
// forwarded and its answer lost.
func (f *Forwarder) Close(ctx context.Context) {
	for !f.closeIfIdle(ctx.Err() != nil) {
		f.Stop(ctx)
	}
	f.Stop(ctx)
}

// closeIfIdle closes the forwarder if no request is in flight, or if force is set. It reports
// whether the forwarder is closed.
func (f *Forwarder) closeIfIdle(force bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = force || len(f.inFlight) == 0
	return f.closed
}

// interrupt ends every request in flight and waits up to interruptTimeout for the final
// answers. A stopping host accepts some requests by an estimate of their length. Callers whose
// request outlasts its estimate before its answer begins get an answer instead of a closed connection.
func (f *Forwarder) interrupt(idle <-chan struct{}) {
	f.mu.Lock()
	acceptedWhileStopping := 0
	for x, end := range f.inFlight {
		if x.call.Arrived.After(f.stoppingSince) {
			acceptedWhileStopping++
		}
		end(errStopped)
	}
	if len(f.inFlight) > 0 {
		f.journal.HostEvent("interrupted", "running", len(f.inFlight), "accepted_while_stopping", acceptedWhileStopping)
	}
	f.mu.Unlock()
	timeout := time.NewTimer(interruptTimeout)
	defer timeout.Stop()
	select {
	case <-idle:
	case <-timeout.C:
	}
}

// addInFlight registers a request as in flight. It reports false if the forwarder is closed.
func (f *Forwarder) addInFlight(x *exchange, end context.CancelCauseFunc) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.inFlight[x] = end
	return true
}

// removeInFlight removes a request that has ended, and wakes Stop if it was the last one.
func (f *Forwarder) removeInFlight(x *exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.inFlight, x)
	if f.stopping.Load() && len(f.inFlight) == 0 {
		select {
		case <-f.idle:
		default:
			close(f.idle)
		}
	}
}

// Bounds of the requests that a stopping host still accepts.
const (
	// estimateTrustPeriod is how long after the start of the stop a request is accepted by its expected
	// duration. Its caller's next attempts may reach other hosts that stop, and a request that outlasts the grace
	// period may be cut if it arrived in the first three seconds of the stop.
	estimateTrustPeriod = 2500 * time.Millisecond
	// A stream is accepted by its expected length if streamDurationMultiplier times its expected duration
	// and streamStopMargin fit in before the stop deadline.
	streamDurationMultiplier = 2
	streamStopMargin         = time.Second
	// maxExpectedCallDuration is longer than all but one in some thousands of plain calls
	// take.
	maxExpectedCallDuration = time.Second
)

// endsBeforeStop reports whether a request ends before this host stops: its deadline is earlier or, soon after the start of
// the stop, its expected duration fits in.
func (x *exchange) endsBeforeStop(now time.Time) bool {
	x.mu.Lock()
	stopping, since, by := x.stopping.Load(), x.stoppingSince, x.stopDeadline
	x.mu.Unlock()
	isStream := x.route.Kind == KindStream
	switch {
	case !stopping:
		return true
	case by.IsZero():
		return !isStream
	case !x.deadline.IsZero() && x.deadline.Before(by):
		return true
	case now.Sub(since) > estimateTrustPeriod:
		return false
	case isStream:
		return x.streamEndsBefore(now, by)
	default:
		return now.Add(maxExpectedCallDuration).Before(by)
	}
}

// streamEndsBefore reports whether a stream is expected to end before deadline by. A stream that names neither a maximum
// nor an estimate of its output is not.
func (x *exchange) streamEndsBefore(now, by time.Time) bool {
	p := x.call.Prompt
	outputTokens := p.MaxOutputTokens
	if p.ExpectedOutputTokens > 0 && (outputTokens <= 0 || p.ExpectedOutputTokens < outputTokens) {
		outputTokens = p.ExpectedOutputTokens
	}
	if outputTokens <= 0 {
		return false
	}
	duration := x.engines.expectedDuration(x.service.Name, p.Tokens, outputTokens)
	return now.Add(streamDurationMultiplier*duration + streamStopMargin).Before(by)
}

// stopStartedAt returns when Stop was first called; zero if it was not.
func (f *Forwarder) stopStartedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stoppingSince
}

const (
	// otherHostRetryAfter sends a caller to another host at once.
	otherHostRetryAfter = 10 * time.Millisecond
	// notReadyDetectionTime is how long callers still reach a host after it reports that it is
	// not ready. Readiness is checked once a second, and only the second negative check
	// counts.
	notReadyDetectionTime = 2100 * time.Millisecond
	// stopRetryJitter spreads the return of callers that wait for notReadyDetectionTime to
	// pass.
	stopRetryJitter = 150 * time.Millisecond
)

// stoppingRetryAfter returns after what delay a caller refused by this stopping host should
// retry: at once if the zone has another host, otherwise when callers no longer reach this
// host. Callers that retry at once in a zone with a single host use up their retries on that
// host.
func (x *exchange) stoppingRetryAfter(now time.Time) time.Duration {
	if x.peers.hasPeerInZone(now) {
		return otherHostRetryAfter
	}
	return max(x.stopStartedAt().Add(notReadyDetectionTime).Sub(now), otherHostRetryAfter) + rand.N(stopRetryJitter)
}
