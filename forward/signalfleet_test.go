// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/shedpath/shedpath/eligibility"
	"github.com/shedpath/shedpath/member"
)

// Simulated upstreams that signal that they leave, or reject requests and ask for backoff, in
// virtual time, and the checks of what they receive.

// signalPeriod is a period in which an upstream signals something about itself.
type signalPeriod struct {
	upstream    member.UpstreamID
	from, until time.Duration
	// leaving makes its answers signal that it leaves.
	leaving bool
	// backoff makes it reject requests and ask for a backoff of that duration; zero rejects
	// none.
	backoff time.Duration
	// failuresOnly makes it signal only in its own failures, which are half of its answers
	// then.
	failuresOnly bool
	// onlyHosts are the hosts that get the signal; empty for all.
	onlyHosts []member.HostID
}

func (s *signalPeriod) covers(id member.UpstreamID, host member.HostID, at time.Duration) bool {
	return s.upstream == id && s.from <= at && at < s.until && (len(s.onlyHosts) == 0 || slices.Contains(s.onlyHosts, host))
}

// receivedSignal is a signal that a host received in an answer.
type receivedSignal struct {
	at      time.Duration
	leaving bool
	backoff time.Duration
}

// signalArrival is a request or another call that reached an upstream.
type signalArrival struct {
	host member.HostID
	// at is when it arrived, sentAt when the caller sent the request to the host.
	at, sentAt time.Duration
	// hostCall says that it is a call of the host itself: a move, a health check, or the
	// discarding of a copy. continued says that it continues a run from a copy.
	hostCall, continued bool
	request             RequestID
}

// signalFleet simulates upstreams that send signals in signal periods.
type signalFleet struct {
	*fakeFleet
	periods []signalPeriod

	mu       sync.Mutex
	start    time.Time
	arrivals map[member.UpstreamID][]signalArrival
	received map[member.UpstreamID]map[member.HostID][]receivedSignal
	answers  int
	// failEvery makes every nth answer of the fleet a failure of the upstream; zero makes
	// none.
	failEvery int
	// stopChannels has a channel for each run, which is closed to stop the run when it continues at
	// another engine.
	stopChannels map[RequestID]chan struct{}
	// rejections counts the requests that each upstream rejected.
	rejections map[member.UpstreamID]int
}

func newSignalFleet(spells ...signalPeriod) *signalFleet {
	return &signalFleet{
		fakeFleet: newFakeFleet(), periods: spells, start: time.Now(),
		arrivals: map[member.UpstreamID][]signalArrival{}, received: map[member.UpstreamID]map[member.HostID][]receivedSignal{},
		stopChannels: map[RequestID]chan struct{}{}, rejections: map[member.UpstreamID]int{},
	}
}

// elapsed returns the time since the start of the simulation.
func (f *signalFleet) elapsed() time.Duration { return time.Since(f.start) }

// recordArrival records that a request or another call reached an upstream now.
func (f *signalFleet) recordArrival(id member.UpstreamID, a signalArrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a.at = f.elapsed()
	f.arrivals[id] = append(f.arrivals[id], a)
}

// nextSignals returns the signals of an upstream's next answer to a host, and whether that
// answer is a failure of the upstream.
func (f *signalFleet) nextSignals(id member.UpstreamID, host member.HostID) (s Signals, fails bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers++
	fails = f.failEvery > 0 && f.answers%f.failEvery == 0
	for _, period := range f.periods {
		if !period.covers(id, host, f.elapsed()) {
			continue
		}
		if period.failuresOnly && f.answers%2 == 0 {
			continue
		}
		fails = fails || period.failuresOnly
		s.Leaving = s.Leaving || period.leaving
		s.RetryAfter = max(s.RetryAfter, period.backoff)
	}
	return s, fails
}

// recordSignals records the signals that a host receives now.
func (f *signalFleet) recordSignals(id member.UpstreamID, host member.HostID, s Signals) {
	if !s.Leaving && s.RetryAfter == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.received[id] == nil {
		f.received[id] = map[member.HostID][]receivedSignal{}
	}
	f.received[id][host] = append(f.received[id][host], receivedSignal{at: f.elapsed(), leaving: s.Leaving, backoff: s.RetryAfter})
}

// signalTransport is one host's transport to the upstreams.
type signalTransport struct {
	*signalFleet
	host member.HostID
}

func (t signalTransport) Send(ctx context.Context, u Upstream, out *UpstreamRequest) (*Response, error) {
	t.recordArrival(u.ID, signalArrival{host: t.host, sentAt: out.Call.Arrived.Sub(t.start), continued: out.Continue != nil, request: out.Call.ID})
	s, fails := t.nextSignals(u.ID, t.host)
	if s.RetryAfter > 0 {
		// A rejection takes two milliseconds.
		time.Sleep(2 * time.Millisecond)
		t.recordSignals(u.ID, t.host, s)
		t.mu.Lock()
		t.rejections[u.ID]++
		t.mu.Unlock()
		return &Response{Status: http.StatusServiceUnavailable, Header: http.Header{}, Framed: true, NotRun: true, Body: http.NoBody, Signals: s}, nil
	}
	if fails {
		time.Sleep(fakeCallDuration)
		t.recordSignals(u.ID, t.host, s)
		a := answer(http.StatusInternalServerError, "sorry")
		a.Signals = s
		return a, nil
	}
	a, err := t.answer(ctx, u, out)
	if err != nil {
		return nil, err
	}
	a.Signals = s
	t.recordSignals(u.ID, t.host, s)
	return a, nil
}

// answer returns a successful answer: a short body, or a stream, which may continue from a
// copy.
func (t signalTransport) answer(ctx context.Context, u Upstream, out *UpstreamRequest) (*Response, error) {
	if u.Service != "llm" {
		return t.fakeFleet.Send(ctx, u, out)
	}
	run, ok := t.startRun(u.ID, crashCause(out.Call))
	if !ok {
		return nil, ErrNotSent
	}
	from := 0
	if out.Continue != nil {
		from, _ = strconv.Atoi(out.Continue.LastEventID)
	}
	stopped := make(chan struct{})
	t.mu.Lock()
	t.stopChannels[out.Call.ID] = stopped
	t.mu.Unlock()
	read, write := io.Pipe()
	go func() {
		defer t.finishRun(u.ID, run)
		_ = write.CloseWithError(t.writeEvents(ctx, run, from, stopped, write))
	}()
	a := answer(http.StatusOK, "")
	a.ContentLength, a.Body = -1, read
	return a, nil
}

// writeEvents writes a run's events after the given one, until the run ends or is stopped to
// continue at another engine.
func (t signalTransport) writeEvents(ctx context.Context, run *fakeRun, after int, stopped <-chan struct{}, to io.Writer) error {
	if after == 0 {
		if err := run.wait(ctx, fakeFirstEventDelay); err != nil {
			return err
		}
	}
	for n := after; n < t.eventCount; n++ {
		if _, err := fmt.Fprintf(to, "id: %d\ndata: x\n\n", n+1); err != nil {
			return err
		}
		if err := run.wait(ctx, fakeEventGap); err != nil {
			return err
		}
		select {
		case <-stopped:
			return io.ErrUnexpectedEOF
		default:
		}
	}
	return io.EOF
}

func (t signalTransport) Move(ctx context.Context, from Upstream, r MoveRequest) (MoveResult, error) {
	t.recordArrival(from.ID, signalArrival{host: t.host, hostCall: true})
	time.Sleep(20 * time.Millisecond)
	s, _ := t.nextSignals(from.ID, t.host)
	t.mu.Lock()
	defer t.mu.Unlock()
	if stopped := t.stopChannels[r.ID]; r.StopSource && stopped != nil {
		close(stopped)
		delete(t.stopChannels, r.ID)
	}
	return MoveResult{Handle: "h" + string(r.ID), Signals: Signals{Leaving: s.Leaving}}, ctx.Err()
}

func (t signalTransport) Health(_ context.Context, u Upstream, _ eligibility.Purpose, _ string) (Health, error) {
	t.recordArrival(u.ID, signalArrival{host: t.host, hostCall: true})
	return Health{Healthy: true}, nil
}

func (t signalTransport) Report(context.Context, Upstream) (EngineReport, error) {
	return EngineReport{}, ErrNotSent
}

func (t signalTransport) CheckReachable(_ context.Context, u Upstream) (bool, error) {
	return true, t.fakeFleet.checkReachable(u)
}

func (t signalTransport) Discard(_ context.Context, u Upstream, _ string) (Signals, error) {
	t.recordArrival(u.ID, signalArrival{host: t.host, hostCall: true})
	return Signals{}, nil
}

// violation is a request that came although its host had received a signal against it.
type violation struct {
	upstream   member.UpstreamID
	host       member.HostID
	at, toldAt time.Duration
	request    RequestID
}

func (b violation) String() string {
	return fmt.Sprintf("request %q reached upstream %s from host %s at %v; the host received the signal at %v", b.request, b.upstream, b.host, b.at, b.toldAt)
}

// leavingDrainTime is how long an upstream that leaves may still get requests, and
// backoffGrace how long one that asked for backoff. backoffAllowance is how many requests the
// latter has to tolerate in the rest of the backoff.
const (
	leavingDrainTime = 2 * time.Second
	backoffGrace     = 500 * time.Millisecond
	backoffAllowance = 2
)

// drainViolations returns the requests that callers sent later than the drain time after the
// host had learned from the upstream that it leaves, and that reached it from that host.
func (f *signalFleet) drainViolations(excused ...member.HostID) []violation {
	return f.requestsAfterLeaving(func(a signalArrival, toldAt time.Duration) bool {
		return a.sentAt > toldAt+leavingDrainTime && !slices.Contains(excused, a.host)
	})
}

// strictDrainViolations returns the requests that reached an upstream after the host had
// learned from the upstream that it leaves. Continued runs are exempt: a run continues at its
// engine when no other accepts its copy.
func (f *signalFleet) strictDrainViolations() []violation {
	return f.requestsAfterLeaving(func(a signalArrival, toldAt time.Duration) bool { return a.at > toldAt && !a.continued })
}

// requestsAfterLeaving returns the requests from hosts that had learned from the upstream that it
// leaves, at toldAt, and for which counts is true.
func (f *signalFleet) requestsAfterLeaving(counts func(a signalArrival, toldAt time.Duration) bool) []violation {
	f.mu.Lock()
	defer f.mu.Unlock()
	var violations []violation
	for id, arrivals := range f.arrivals {
		for _, a := range arrivals {
			i := slices.IndexFunc(f.received[id][a.host], func(s receivedSignal) bool { return s.leaving })
			if i < 0 || a.hostCall {
				continue
			}
			if told := f.received[id][a.host][i].at; counts(a, told) {
				violations = append(violations, violation{id, a.host, a.at, told, a.request})
			}
		}
	}
	return violations
}

// backoffViolations returns, for each answer that asked a host for backoff, the requests and
// other calls from that host after the grace time and beyond the allowance.
func (f *signalFleet) backoffViolations() []violation {
	return f.requestsDuringBackoff(backoffGrace, backoffAllowance)
}

// strictBackoffViolations is backoffViolations without grace time and allowance.
func (f *signalFleet) strictBackoffViolations() []violation { return f.requestsDuringBackoff(0, 0) }

// requestsDuringBackoff returns, for each answer that asked a host for backoff, what came from that
// host from the grace time to the end of the backoff, beyond the allowed number.
func (f *signalFleet) requestsDuringBackoff(grace time.Duration, allowed int) []violation {
	f.mu.Lock()
	defer f.mu.Unlock()
	var violations []violation
	for id, hosts := range f.received {
		for host, signals := range hosts {
			for _, s := range signals {
				n := 0
				for _, a := range f.arrivals[id] {
					if a.host != host || s.backoff == 0 || a.at <= s.at+grace || a.at > s.at+s.backoff {
						continue
					}
					if n++; n > allowed {
						violations = append(violations, violation{id, host, a.at, s.at, a.request})
					}
				}
			}
		}
	}
	return violations
}

// requestCount returns the number of requests that reached an upstream between two times.
func (f *signalFleet) requestCount(id member.UpstreamID, from, until time.Duration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, a := range f.arrivals[id] {
		if !a.hostCall && a.at >= from && a.at < until {
			n++
		}
	}
	return n
}
