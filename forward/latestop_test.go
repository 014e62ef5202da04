// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// lateArrivals are times from the start of a stop to a request, by name.
var lateArrivals = map[string]time.Duration{
	"after 3.1 s": 3100 * time.Millisecond, "after 4 s": 4 * time.Second, "after 5 s": 5 * time.Second, "after 6 s": 6 * time.Second,
}

// refreshKnowledge has the host know its configuration and its engines as of now, as its loops do while it runs.
func refreshKnowledge(f *Forwarder) {
	f.ContactProved(time.Now())
	f.originProvedAt.advance(time.Now())
	f.updatePlacementEngines(time.Now(), f.Table())
}

// slowEvents is the body of a stream whose events come one gap apart.
type slowEvents struct {
	gap time.Duration
	// events is how many events there are, and sent how many were read.
	events, sent int
}

func (b *slowEvents) Read(p []byte) (int, error) {
	if b.sent == b.events {
		return 0, io.EOF
	}
	if b.sent++; b.sent > 1 {
		time.Sleep(b.gap)
	}
	return copy(p, sseEvent(b.sent)), nil
}

func (b *slowEvents) Close() error { return nil }

// TestStreamAcceptedLateInStopIsNotCut guards against streams that a host accepts more than three seconds after the start
// of its stop, by their expected length, and cuts at the end of its grace period.
func TestStreamAcceptedLateInStopIsNotCut(t *testing.T) {
	const grace, callerTimeout = 7600 * time.Millisecond, 6 * time.Second
	for name, arrivesAt := range lateArrivals {
		t.Run(name, func(t *testing.T) {
			for firstEvent := 500 * time.Millisecond; firstEvent < callerTimeout; firstEvent += 100 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					f := newForwarder(t, &fakeTransport{send: func(ctx context.Context, _ Upstream, r *UpstreamRequest) (*Response, error) {
						a := answer(200, "")
						a.ContentLength = -1
						if r.Call.ID == "r1" {
							a.Body = &slowEvents{gap: 20 * time.Millisecond, events: 400}
							return a, nil
						}
						PauseFor(ctx, firstEvent)
						a.Body = &slowEvents{gap: 300 * time.Millisecond, events: 3}
						return a, ctx.Err()
					}})
					ctx, cancel := context.WithTimeout(t.Context(), grace)
					defer cancel()
					var running sync.WaitGroup
					defer running.Wait()
					// It lasts until the end of the grace period.
					running.Go(func() { f.Serve(t.Context(), call("/llm/"), &fakeSink{}) })
					synctest.Wait()
					running.Go(func() { f.Close(ctx) })
					time.Sleep(arrivesAt)
					refreshKnowledge(f)
					request, sink := call("/llm/"), &fakeSink{}
					request.ID, request.CallerTimeout, request.Prompt.Tokens, request.Prompt.MaxOutputTokens = "r2", callerTimeout, 1000, 48
					f.Serve(t.Context(), request, sink)
					if took := time.Since(request.Arrived); sink.truncated && took < callerTimeout {
						t.Errorf("the first event comes after %v: the stream is cut after %v", firstEvent, took)
					}
				})
			}
		})
	}
}

// slowBytes is the body of a long answer, of which a part comes after each gap.
type slowBytes struct {
	ctx  context.Context
	gap  time.Duration
	left int
}

func (b *slowBytes) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	PauseFor(b.ctx, b.gap)
	n := min(len(p), b.left, 64<<10)
	b.left -= n
	return n, b.ctx.Err()
}

func (b *slowBytes) Close() error { return nil }

// TestCallAcceptedLateInStopIsNotCut guards against plain calls that a host accepts more than three seconds after the start of
// its stop, as most take less than a second, and interrupts at the end of its grace period.
func TestCallAcceptedLateInStopIsNotCut(t *testing.T) {
	const grace = 7600 * time.Millisecond
	for name, arrivesAt := range lateArrivals {
		t.Run(name, func(t *testing.T) {
			for _, callerTimeout := range []time.Duration{time.Second, 3 * time.Second, 39 * time.Second} {
				for gap := 20 * time.Millisecond; gap < 100*time.Millisecond; gap += 20 * time.Millisecond {
					synctest.Test(t, func(t *testing.T) {
						f := newForwarder(t, &fakeTransport{send: func(ctx context.Context, _ Upstream, r *UpstreamRequest) (*Response, error) {
							a := answer(200, "")
							a.ContentLength = 4 << 20
							a.Body = &slowBytes{ctx, gap, 4 << 20}
							if r.Call.ID == "r1" {
								a.Body = &slowBytes{ctx, time.Second, 4 << 20}
							}
							return a, nil
						}})
						setRouteTimeouts(f, time.Minute)
						ctx, cancel := context.WithTimeout(t.Context(), grace)
						defer cancel()
						var running sync.WaitGroup
						defer running.Wait()
						// It lasts until the end of the grace period.
						running.Go(func() { f.Serve(t.Context(), call("/order/"), &fakeSink{}) })
						synctest.Wait()
						running.Go(func() { f.Close(ctx) })
						time.Sleep(arrivesAt)
						request, sink := call("/order/"), &fakeSink{}
						request.ID, request.CallerTimeout = "r2", callerTimeout
						f.Serve(t.Context(), request, sink)
						interrupted := sink.truncated || sink.refused != nil && sink.refused.MayHaveRun
						if took := time.Since(request.Arrived); interrupted && took < callerTimeout {
							t.Errorf("the deadline is in %v, and %v are between parts: interrupted after %v", callerTimeout, gap, took)
						}
					})
				}
			}
		})
	}
}

// TestLateStreamNeedsDeadlineBeforeEndOfStop checks that a stream late in a stop is accepted if its deadline, the caller's or
// the route's, is before the end, and refused if it has none or the end isn't known.
func TestLateStreamNeedsDeadlineBeforeEndOfStop(t *testing.T) {
	const grace, arrivesAt = 7 * time.Second, 3 * time.Second
	for name, c := range map[string]struct {
		callerTimeout, routeTimeout time.Duration
		endUnknown                  bool
		refused                     bool
	}{
		"the caller's":             {3900 * time.Millisecond, time.Minute, false, false},
		"the route's":              {time.Minute, 3900 * time.Millisecond, false, false},
		"the route's only":         {0, 3900 * time.Millisecond, false, false},
		"later":                    {4100 * time.Millisecond, time.Minute, false, true},
		"none":                     {0, 0, false, true},
		"the end of the stop":      {4 * time.Second, time.Minute, false, true},
		"the end isn't known":      {3900 * time.Millisecond, time.Minute, true, true},
		"none and no end is known": {0, 0, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newForwarder(t, &fakeTransport{send: func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
					return answer(200, "id: 1\ndata: x\n\n"), nil
				}})
				setRouteTimeouts(f, c.routeTimeout)
				ctx, cancel := t.Context(), context.CancelFunc(func() {})
				if !c.endUnknown {
					ctx, cancel = context.WithTimeout(ctx, grace)
				}
				defer cancel()
				f.Stop(ctx)
				time.Sleep(arrivesAt)
				refreshKnowledge(f)
				request, sink := call("/llm/"), &fakeSink{}
				request.CallerTimeout, request.Prompt.Tokens, request.Prompt.MaxOutputTokens = c.callerTimeout, 1000, 40
				f.Serve(t.Context(), request, sink)
				is.Equal(sink.refused != nil, c.refused)
				is.True(!c.refused || sink.refused.Code == CodeStopping)
			})
		})
	}
}

// TestInterruptedCountsThoseAcceptedInStop checks that the end of a stop logs how many requests it interrupts, and how many of them
// arrived while the host stopped.
func TestInterruptedCountsThoseAcceptedInStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newForwarder(t, &fakeTransport{send: func(ctx context.Context, _ Upstream, _ *UpstreamRequest) (*Response, error) {
			<-ctx.Done()
			return nil, context.Cause(ctx)
		}})
		journal := &recordingJournal{}
		f.journal = journal
		serve := func(id RequestID) {
			request := call("/llm/")
			request.ID, request.Prompt.Tokens, request.Prompt.MaxOutputTokens = id, 1000, 40
			go f.Serve(t.Context(), request, &fakeSink{})
			synctest.Wait()
		}
		serve("r1")
		ctx, cancel := context.WithTimeout(t.Context(), 7*time.Second)
		defer cancel()
		go f.Close(ctx)
		time.Sleep(time.Second)
		serve("r2")
		serve("r3")
		time.Sleep(7 * time.Second)
		is.Equal(journal.linesWithPrefix("interrupted"), []string{"interrupted running=3 accepted_while_stopping=2"})
	})
}

// TestSlowBodyLateInStopIsRefused guards against requests that a stopping host accepts by the time at which their header
// arrived, though their body took seconds and the rest of the stop is too short for them.
func TestSlowBodyLateInStopIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		path string
		// arrived and complete are the times from the start of the stop to the header and to the end of the body.
		arrived, complete time.Duration
		callerTimeout     time.Duration
		refused           bool
	}{
		"stream, a quick body":          {"/llm/", time.Second, time.Second, 39 * time.Second, false},
		"stream, complete after 3 s":    {"/llm/", time.Second, 3 * time.Second, 39 * time.Second, true},
		"stream, complete at the end":   {"/llm/", time.Second, 6900 * time.Millisecond, 39 * time.Second, true},
		"stream, begun before the stop": {"/llm/", -time.Second, 6900 * time.Millisecond, 39 * time.Second, true},
		"call, complete in time":        {"/order/", time.Second, 5 * time.Second, 5 * time.Second, false},
		"call, complete at the end":     {"/order/", time.Second, 6900 * time.Millisecond, 39 * time.Second, true},
		"call, begun before the stop":   {"/order/", -time.Second, 6900 * time.Millisecond, 39 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newForwarder(t, &fakeTransport{send: func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
					return answer(200, "id: 1\ndata: x\n\n"), nil
				}})
				setRouteTimeouts(f, time.Minute)
				ctx, cancel := context.WithTimeout(t.Context(), 7*time.Second)
				defer cancel()
				f.Stop(ctx)
				request, sink := call(c.path), &fakeSink{}
				request.Arrived, request.CallerTimeout = time.Now().Add(c.arrived), c.callerTimeout
				request.Prompt.Tokens, request.Prompt.MaxOutputTokens = 1000, 40
				time.Sleep(c.complete)
				refreshKnowledge(f)
				f.Serve(t.Context(), request, sink)
				is.Equal(sink.refused != nil, c.refused)
				is.True(!c.refused || sink.refused.Code == CodeStopping)
			})
		})
	}
}
