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
	"time"

	"github.com/shedpath/shedpath/member"
)

// Upstreams in virtual time that can end, for tests of what hosts learn from that.

const (
	// fakeReads is how long an upstream takes to its first event, and fakeGap is between
	// two.
	fakeReads = 300 * time.Millisecond
	fakeGap   = 50 * time.Millisecond
	// fakeDies is how long after its first token a request of which an upstream ends
	// brings that about.
	fakeDies = 90 * time.Millisecond
	// fakeCallTakes is how long a plain call takes.
	fakeCallTakes = 20 * time.Millisecond
	// fakeDown is how long an upstream that has ended is away.
	fakeDown = 2500 * time.Millisecond
)

// crashing begins the body of a request that every upstream ends of.
const crashing = "crashing"

// fakeFleet plays all upstreams of a site.
type fakeFleet struct {
	mu        sync.Mutex
	upstreams map[member.UpstreamID]*fakeUpstream
	// arrivals are the crashing requests that reached an upstream, by body.
	arrivals map[string][]arrival
	// ends are when an upstream ended under each of them.
	ends map[string][]time.Time
	// events bounds a stream.
	events int
}

// arrival is a request's at an upstream.
type arrival struct {
	at       time.Time
	upstream member.UpstreamID
}

// fakeUpstream is one of them.
type fakeUpstream struct {
	downUntil time.Time
	runs      map[*fakeRun]bool
}

// fakeRun is what an upstream is at work on. lost closes when it ends.
type fakeRun struct{ lost chan struct{} }

func newFakeFleet() *fakeFleet {
	return &fakeFleet{
		upstreams: map[member.UpstreamID]*fakeUpstream{}, arrivals: map[string][]arrival{}, ends: map[string][]time.Time{}, events: 40,
	}
}

func (f *fakeFleet) of(id member.UpstreamID) *fakeUpstream {
	u := f.upstreams[id]
	if u == nil {
		u = &fakeUpstream{runs: map[*fakeRun]bool{}}
		f.upstreams[id] = u
	}
	return u
}

// end has an upstream end now, with all that runs there.
func (f *fakeFleet) end(id member.UpstreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.of(id)
	u.downUntil = time.Now().Add(fakeDown)
	for run := range u.runs {
		close(run.lost)
	}
	clear(u.runs)
}

// begin notes that a request has reached an upstream; false says that it is down.
func (f *fakeFleet) begin(id member.UpstreamID, body string) (*fakeRun, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.of(id)
	if time.Now().Before(u.downUntil) {
		return nil, false
	}
	run := &fakeRun{lost: make(chan struct{})}
	u.runs[run] = true
	if strings.HasPrefix(body, crashing) {
		f.arrivals[body] = append(f.arrivals[body], arrival{time.Now(), id})
	}
	return run, true
}

func (f *fakeFleet) finish(id member.UpstreamID, run *fakeRun) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.of(id).runs, run)
}

// work waits; the error says that the upstream or the request has ended meanwhile.
func (r *fakeRun) work(ctx context.Context, d time.Duration) error {
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

// crash has an upstream end under a request.
func (f *fakeFleet) crash(id member.UpstreamID, body string) {
	f.mu.Lock()
	f.ends[body] = append(f.ends[body], time.Now())
	f.mu.Unlock()
	f.end(id)
}

// Send plays an upstream's answer: a stream for the service of engines, else a short body.
func (f *fakeFleet) Send(ctx context.Context, u Upstream, out *UpstreamRequest) (*Response, error) {
	body := string(out.Call.Body)
	run, ok := f.begin(u.ID, body)
	if !ok {
		return nil, ErrNotSent
	}
	if u.Service == "llm" {
		read, write := io.Pipe()
		go func() { _ = write.CloseWithError(f.stream(ctx, u.ID, run, body, write)) }()
		a := answer(200, "")
		a.ContentLength, a.Body = -1, read
		return a, nil
	}
	defer f.finish(u.ID, run)
	if strings.HasPrefix(body, crashing) {
		f.crash(u.ID, body)
	}
	if err := run.work(ctx, fakeCallTakes); err != nil {
		return nil, err
	}
	return answer(200, "fine"), nil
}

// stream writes a run's events.
func (f *fakeFleet) stream(ctx context.Context, id member.UpstreamID, run *fakeRun, body string, to io.Writer) error {
	defer f.finish(id, run)
	if err := run.work(ctx, fakeReads); err != nil {
		return err
	}
	if strings.HasPrefix(body, crashing) {
		if err := run.work(ctx, fakeDies); err != nil {
			return err
		}
		f.crash(id, body)
		return io.ErrUnexpectedEOF
	}
	for n := range f.events {
		if _, err := fmt.Fprintf(to, "id: %d\ndata: x\n\n", n+1); err != nil {
			return errors.Join(errGone, err)
		}
		if err := run.work(ctx, fakeGap); err != nil {
			return err
		}
	}
	return io.EOF
}

// Reach tells whether an upstream listens.
func (f *fakeFleet) Reach(u Upstream) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Now().Before(f.of(u.ID).downUntil) {
		return ErrPortClosed
	}
	return nil
}

// after counts the arrivals of a crashing request later than a while after upstreams
// ended under it for the nth time; all is how many ended.
func (f *fakeFleet) after(body string, nth int, slack time.Duration) (late, all int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ends := f.ends[body]
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

// reset breaks every connection; the upstreams go on.
func (f *fakeFleet) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		for run := range u.runs {
			close(run.lost)
		}
		clear(u.runs)
	}
}
