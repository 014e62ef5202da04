// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shedpath/shedpath/member"
)

// Simulated upstreams that can end, in virtual time, for tests of what hosts learn from that.

const (
	// fakeFirstEventDelay is the time until an upstream writes the first event of a stream,
	// and fakeEventGap the time between two events.
	fakeFirstEventDelay = 300 * time.Millisecond
	fakeEventGap        = 50 * time.Millisecond
	// fakeCrashDelay is how long after the first token a crashing request ends its upstream.
	fakeCrashDelay = 90 * time.Millisecond
	// fakeCallDuration is how long a plain call takes.
	fakeCallDuration = 20 * time.Millisecond
	// fakeDowntime is how long an upstream that has ended is down.
	fakeDowntime = 2500 * time.Millisecond
)

// crashingPrefix begins the body of a request that ends every upstream it reaches, and the name of
// a part of a prompt that does.
const crashingPrefix = "crashing"

// crashCause returns the body or the part of the prompt by which a request ends its upstream; empty
// for a request that doesn't.
func crashCause(c *Call) string {
	if strings.HasPrefix(string(c.Body), crashingPrefix) {
		return string(c.Body)
	}
	for _, part := range c.Prompt.SharedParts {
		if strings.HasPrefix(string(part), crashingPrefix) {
			return string(part)
		}
	}
	return ""
}

// fakeFleet simulates all upstreams of a site.
type fakeFleet struct {
	mu        sync.Mutex
	upstreams map[member.UpstreamID]*fakeUpstream
	// arrivals are the arrivals of crashing requests at upstreams, by cause.
	arrivals map[string][]arrival
	// crashes are the times at which an upstream ended because of a crashing request, by cause.
	crashes map[string][]time.Time
	// eventCount is the number of events of a stream.
	eventCount int
	// unframed has answers end with their connection, so that those of an upstream that ends look whole.
	unframed bool
	// replaceAtOnce has another upstream listen at the address of each that ends.
	replaceAtOnce bool
	// carried has peers carry all streams.
	carried bool
	// failEvery, if positive, has every nth call fail at its upstream, which goes on.
	failEvery int
	calls     atomic.Int64
	// mended has all requests run without a crash.
	mended atomic.Bool
}

// arrival records that a request reached an upstream.
type arrival struct {
	at       time.Time
	upstream member.UpstreamID
}

// fakeUpstream is the state of one upstream.
type fakeUpstream struct {
	downUntil time.Time
	runs      map[*fakeRun]bool
}

// fakeRun is a request that an upstream works on. lost is closed when the upstream ends or the
// connection breaks.
type fakeRun struct{ lost chan struct{} }

func newFakeFleet() *fakeFleet {
	return &fakeFleet{
		upstreams: map[member.UpstreamID]*fakeUpstream{}, arrivals: map[string][]arrival{}, crashes: map[string][]time.Time{}, eventCount: 40,
	}
}

// upstream returns an upstream's state, which it creates if needed. The mutex must be held.
func (f *fakeFleet) upstream(id member.UpstreamID) *fakeUpstream {
	u := f.upstreams[id]
	if u == nil {
		u = &fakeUpstream{runs: map[*fakeRun]bool{}}
		f.upstreams[id] = u
	}
	return u
}

// endUpstream ends an upstream and all its runs.
func (f *fakeFleet) endUpstream(id member.UpstreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.upstream(id)
	u.downUntil = time.Now().Add(fakeDowntime)
	for run := range u.runs {
		close(run.lost)
	}
	clear(u.runs)
}

// startRun records that a request reached an upstream. It reports false if the upstream is
// down.
func (f *fakeFleet) startRun(id member.UpstreamID, cause string) (*fakeRun, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.upstream(id)
	if time.Now().Before(u.downUntil) {
		return nil, false
	}
	run := &fakeRun{lost: make(chan struct{})}
	u.runs[run] = true
	if cause != "" {
		f.arrivals[cause] = append(f.arrivals[cause], arrival{time.Now(), id})
	}
	return run, true
}

func (f *fakeFleet) finishRun(id member.UpstreamID, run *fakeRun) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.upstream(id).runs, run)
}

// wait waits for d; it returns an error if the run is lost or ctx is done before.
func (r *fakeRun) wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-r.lost:
		return io.ErrUnexpectedEOF
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// crash ends an upstream because of a crashing request.
func (f *fakeFleet) crash(id member.UpstreamID, cause string) {
	f.mu.Lock()
	f.crashes[cause] = append(f.crashes[cause], time.Now())
	f.mu.Unlock()
	f.endUpstream(id)
}

// Send simulates an upstream's answer: a stream for the service "llm", otherwise a short body.
func (f *fakeFleet) Send(ctx context.Context, u Upstream, out *UpstreamRequest) (*Response, error) {
	cause := crashCause(out.Call)
	if f.mended.Load() {
		cause = ""
	}
	run, ok := f.startRun(u.ID, cause)
	if !ok {
		return nil, ErrNotSent
	}
	if u.Service == "llm" {
		read, write := io.Pipe()
		go func() {
			err := f.stream(ctx, u.ID, run, cause, write)
			if f.unframed && errors.Is(err, io.ErrUnexpectedEOF) {
				err = io.EOF
			}
			_ = write.CloseWithError(err)
		}()
		a := answer(200, "")
		a.ContentLength, a.Body, a.Framed = -1, read, !f.unframed
		if f.carried {
			a.Signals.Via = "z1-h01"
		}
		return a, nil
	}
	defer f.finishRun(u.ID, run)
	if f.failEvery > 0 && f.calls.Add(1)%int64(f.failEvery) == 0 {
		return answer(500, "failed"), nil
	}
	if cause != "" {
		f.crash(u.ID, cause)
	}
	err := run.wait(ctx, fakeCallDuration)
	a := answer(200, "fine")
	if f.unframed {
		a.ContentLength, a.Framed = -1, false
		if errors.Is(err, io.ErrUnexpectedEOF) {
			a.Body, err = io.NopCloser(strings.NewReader("fi")), nil
		}
	}
	return a, err
}

// stream writes a run's events and returns the error that ends its body.
func (f *fakeFleet) stream(ctx context.Context, id member.UpstreamID, run *fakeRun, cause string, to io.Writer) error {
	defer f.finishRun(id, run)
	if err := run.wait(ctx, fakeFirstEventDelay); err != nil {
		return err
	}
	if cause != "" {
		if err := run.wait(ctx, fakeCrashDelay); err != nil {
			return err
		}
		f.crash(id, cause)
		return io.ErrUnexpectedEOF
	}
	for n := range f.eventCount {
		if _, err := fmt.Fprintf(to, "id: %d\ndata: x\n\n", n+1); err != nil {
			return errors.Join(errConnectionLost, err)
		}
		if err := run.wait(ctx, fakeEventGap); err != nil {
			return err
		}
	}
	return io.EOF
}

// checkReachable returns ErrPortClosed if an upstream is down.
func (f *fakeFleet) checkReachable(u Upstream) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Now().Before(f.upstream(u.ID).downUntil) && !f.replaceAtOnce {
		return ErrPortClosed
	}
	return nil
}

// instance returns the instance at an upstream's address.
func (f *fakeFleet) instance(u Upstream) member.UpstreamID {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.replaceAtOnce && !f.upstream(u.ID).downUntil.IsZero() {
		return "another"
	}
	return u.ID
}

// arrivalsAfter returns how many arrivals of a crashing request came later than slack after it
// ended upstreams for the nth time, and how many upstreams it ended in all. If it ended fewer
// than nth upstreams, none is late.
func (f *fakeFleet) arrivalsAfter(body string, nth int, slack time.Duration) (late, all int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ends := f.crashes[body]
	if len(ends) < nth {
		return 0, len(ends)
	}
	for _, a := range f.arrivals[body] {
		if a.at.After(ends[nth-1].Add(slack)) {
			late++
		}
	}
	return late, len(ends)
}

// breakConnections breaks every connection; the upstreams stay up.
func (f *fakeFleet) breakConnections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		for run := range u.runs {
			close(run.lost)
		}
		clear(u.runs)
	}
}
