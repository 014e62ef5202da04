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

	"github.com/shedpath/shedpath/member"
)

// Upstreams in virtual time that say that they leave, or turn requests away and ask for
// backoff, and what is checked of them.

// signalPeriod is a time for which an upstream tells something about itself.
type signalPeriod struct {
	upstream    member.UpstreamID
	from, until time.Duration
	// leaving has its answers say that it leaves.
	leaving bool
	// backoff has it turn requests away and ask for so long; zero turns none away.
	backoff time.Duration
	// failuresOnly has only its own failures tell; half of its answers are such then.
	failuresOnly bool
	// onlyHosts are the hosts that it tells; none for all.
	onlyHosts []member.HostID
}

func (s *signalPeriod) covers(id member.UpstreamID, host member.HostID, at time.Duration) bool {
	return s.upstream == id && s.from <= at && at < s.until && (len(s.onlyHosts) == 0 || slices.Contains(s.onlyHosts, host))
}

// receivedSignal is an answer that a host had.
type receivedSignal struct {
	at      time.Duration
	leaving bool
	backoff time.Duration
}

// signalArrival is a request or another call that reached an upstream.
type signalArrival struct {
	host member.HostID
	// at is when it came, and sentAt when its caller had sent the request.
	at, sentAt time.Duration
	// hostCall says that it is one of the host's hostCall calls: a move, a health check, a copy
	// that is freed. continued is a run that is taken up from a copy.
	hostCall, continued bool
	request             RequestID
}

// signalFleet plays upstreams that have spells.
type signalFleet struct {
	*fakeFleet
	periods []signalPeriod

	mu       sync.Mutex
	start    time.Time
	arrivals map[member.UpstreamID][]signalArrival
	received map[member.UpstreamID]map[member.HostID][]receivedSignal
	answers  int
	// failEvery has every so many of all answers be an upstream's own failure; zero none.
	failEvery int
	// stopRun are the runs that were stopped to go on elsewhere.
	stopRun map[RequestID]chan struct{}
	// rejections counts the refusals of each upstream.
	rejections map[member.UpstreamID]int
}

func newSignalFleet(spells ...signalPeriod) *signalFleet {
	return &signalFleet{
		fakeFleet: newFakeFleet(), periods: spells, start: time.Now(),
		arrivals: map[member.UpstreamID][]signalArrival{}, received: map[member.UpstreamID]map[member.HostID][]receivedSignal{},
		stopRun: map[RequestID]chan struct{}{}, rejections: map[member.UpstreamID]int{},
	}
}

// elapsed is how long the day has gone on.
func (f *signalFleet) elapsed() time.Duration { return time.Since(f.start) }

func (f *signalFleet) recordArrival(id member.UpstreamID, a signalArrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a.at = f.elapsed()
	f.arrivals[id] = append(f.arrivals[id], a)
}

// nextSignals is what an upstream nextSignals a host now; fails says that it is in a failure of its own.
func (f *signalFleet) nextSignals(id member.UpstreamID, host member.HostID) (s Signals, fails bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers++
	fails = f.failEvery > 0 && f.answers%f.failEvery == 0
	for _, spell := range f.periods {
		if !spell.covers(id, host, f.elapsed()) {
			continue
		}
		if spell.failuresOnly && f.answers%2 == 0 {
			continue
		}
		fails = fails || spell.failuresOnly
		s.Leaving = s.Leaving || spell.leaving
		s.RetryAfter = max(s.RetryAfter, spell.backoff)
	}
	return s, fails
}

// hear notes what a host's answer tells, as it comes.
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

// signalTransport is one host's way to the upstreams.
type signalTransport struct {
	*signalFleet
	host member.HostID
}

func (t signalTransport) Send(ctx context.Context, u Upstream, out *UpstreamRequest) (*Response, error) {
	t.recordArrival(u.ID, signalArrival{host: t.host, sentAt: out.Call.Arrived.Sub(t.start), continued: out.Continue != nil, request: out.Call.ID})
	s, fails := t.nextSignals(u.ID, t.host)
	if s.RetryAfter > 0 {
		// A refusal comes back in two milliseconds.
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

// answer is a good answer: a short body, or a stream that goes on from a copy.
func (t signalTransport) answer(ctx context.Context, u Upstream, out *UpstreamRequest) (*Response, error) {
	if u.Service != "llm" {
		return t.fakeFleet.Send(ctx, u, out)
	}
	run, ok := t.startRun(u.ID, string(out.Call.Body))
	if !ok {
		return nil, ErrNotSent
	}
	from := 0
	if out.Continue != nil {
		from, _ = strconv.Atoi(out.Continue.LastEventID)
	}
	stopped := make(chan struct{})
	t.mu.Lock()
	t.stopRun[out.Call.ID] = stopped
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

// writeEvents writes a run's events after one, until it ends or is stopped to go on elsewhere.
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
	if stopped := t.stopRun[r.ID]; r.StopSource && stopped != nil {
		close(stopped)
		delete(t.stopRun, r.ID)
	}
	return MoveResult{Handle: "h" + string(r.ID), Signals: Signals{Leaving: s.Leaving}}, ctx.Err()
}

func (t signalTransport) Health(_ context.Context, u Upstream, _ string) (Health, error) {
	t.recordArrival(u.ID, signalArrival{host: t.host, hostCall: true})
	return Health{Healthy: true}, nil
}

func (t signalTransport) CheckReachable(_ context.Context, u Upstream) error {
	return t.fakeFleet.checkReachable(u)
}

func (t signalTransport) Discard(_ context.Context, u Upstream, _ string) (Signals, error) {
	t.recordArrival(u.ID, signalArrival{host: t.host, hostCall: true})
	return Signals{}, nil
}

// violation is a request that came although its host had been told.
type violation struct {
	upstream   member.UpstreamID
	host       member.HostID
	at, toldAt time.Duration
	request    RequestID
}

func (b violation) String() string {
	return fmt.Sprintf("%s reached %s from %s at %v, told at %v", b.request, b.upstream, b.host, b.at, b.toldAt)
}

// leavingDrainTime is how long an upstream that leaves may still get requests, and backoffGrace the
// same for one that asked for backoff; backoffAllowance is how many it bears in the rest of that
// time.
const (
	leavingDrainTime = 2 * time.Second
	backoffGrace     = 500 * time.Millisecond
	backoffAllowance = 2
)

// drainViolations lists the requests that callers sent later than the drain time after a host had
// been told that an upstream leaves, and that reached it from there.
func (f *signalFleet) drainViolations(excused ...member.HostID) []violation {
	return f.requestsAfterLeaving(func(a signalArrival, told time.Duration) bool {
		return a.sentAt > told+leavingDrainTime && !slices.Contains(excused, a.host)
	})
}

// strictDrainViolations lists the requests that were sent to an upstream after the host had been told
// that it leaves. A run goes on at its engine when no other takes its copy.
func (f *signalFleet) strictDrainViolations() []violation {
	return f.requestsAfterLeaving(func(a signalArrival, told time.Duration) bool { return a.at > told && !a.continued })
}

func (f *signalFleet) requestsAfterLeaving(counts func(a signalArrival, told time.Duration) bool) []violation {
	f.mu.Lock()
	defer f.mu.Unlock()
	var breaches []violation
	for id, arrivals := range f.arrivals {
		for _, a := range arrivals {
			i := slices.IndexFunc(f.received[id][a.host], func(s receivedSignal) bool { return s.leaving })
			if i < 0 || a.hostCall {
				continue
			}
			if told := f.received[id][a.host][i].at; counts(a, told) {
				breaches = append(breaches, violation{id, a.host, a.at, told, a.request})
			}
		}
	}
	return breaches
}

// backoffViolations lists, for each answer that asked a host for backoff, what came from there
// beyond what is borne from the grace on.
func (f *signalFleet) backoffViolations() []violation {
	return f.requestsDuringBackoff(backoffGrace, backoffAllowance)
}

// strictBackoffViolations is restRule without a grace and with nothing borne.
func (f *signalFleet) strictBackoffViolations() []violation { return f.requestsDuringBackoff(0, 0) }

func (f *signalFleet) requestsDuringBackoff(grace time.Duration, allowed int) []violation {
	f.mu.Lock()
	defer f.mu.Unlock()
	var breaches []violation
	for id, hosts := range f.received {
		for host, signals := range hosts {
			for _, s := range signals {
				n := 0
				for _, a := range f.arrivals[id] {
					if a.host != host || s.backoff == 0 || a.at <= s.at+grace || a.at > s.at+s.backoff {
						continue
					}
					if n++; n > allowed {
						breaches = append(breaches, violation{id, host, a.at, s.at, a.request})
					}
				}
			}
		}
	}
	return breaches
}

// requestCount counts the requests that reached an upstream in a time.
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
