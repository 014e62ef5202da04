// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/policy"
)

// maxWorkAfterLeave is how long after its caller left a request may still be sent to or worked on by
// an upstream.
const maxWorkAfterLeave = 500 * time.Millisecond

// workLog records when upstreams were called and how many calls are active.
type workLog struct {
	mu      sync.Mutex
	started []time.Time
	active  int
}

// start records a call; end records that it has ended.
func (l *workLog) start() (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.started = append(l.started, time.Now())
	l.active++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.active--
	}
}

// stalledBody is a stream that yields one event and then blocks until it is closed.
type stalledBody struct {
	io.Reader
	closed func()
}

func (b *stalledBody) Close() error {
	b.closed()
	return nil
}

// stalledStream returns a response that stays open until it is closed or its request's context ends.
func stalledStream(ctx context.Context, l *workLog) *Response {
	read, write := io.Pipe()
	var once sync.Once
	end := l.start()
	closed := func() {
		once.Do(end)
		write.CloseWithError(io.ErrUnexpectedEOF)
	}
	context.AfterFunc(ctx, closed)
	go func() { _, _ = io.WriteString(write, "id: 1\n\n") }() // the only error is that the stream was closed
	a := answer(200, "")
	a.ContentLength, a.Body = -1, &stalledBody{Reader: read, closed: closed}
	return a
}

// TestCallerLeftEndsWork checks that half a second after its caller left, nothing of a request is sent
// to an upstream and no upstream works on it, whatever stage the request was at.
func TestCallerLeftEndsWork(t *testing.T) {
	type fixture struct {
		f    *Forwarder
		work *workLog
	}
	// hang blocks until the request's context ends.
	hang := func(s *fixture) func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
		return func(ctx context.Context, _ Upstream, _ *UpstreamRequest) (*Response, error) {
			end := s.work.start()
			defer end()
			<-ctx.Done()
			return nil, context.Cause(ctx)
		}
	}
	stream := func(s *fixture) func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
		return func(ctx context.Context, _ Upstream, _ *UpstreamRequest) (*Response, error) {
			return stalledStream(ctx, s.work), nil
		}
	}
	for name, c := range map[string]struct {
		path string
		send func(s *fixture) func(context.Context, Upstream, *UpstreamRequest) (*Response, error)
		// before is called before the request is served, during while it is.
		before, during func(s *fixture)
		// wantCalls is the number of calls that upstreams receive before the caller leaves.
		wantCalls int
	}{
		"before the first event":  {path: "/llm/", send: hang, wantCalls: 1},
		"between two events":      {path: "/llm/", send: stream, wantCalls: 1},
		"while a plain call runs": {path: "/order/", send: hang, wantCalls: 1},
		"after a second try":      {path: "/status/", send: hang, wantCalls: 2},
		"while it waits for a place": {path: "/llm/", send: stream, before: func(s *fixture) {
			now := time.Now()
			for _, id := range []policy.RunID{"a", "b", "c"} {
				s.f.engines.place(t.Context(), now, "llm", policy.Request{Run: id, PromptTokens: 33_000, MaxOutputTokens: 1000, Deadline: now.Add(time.Minute)})
			}
		}, wantCalls: 0},
		"while its run is moved": {path: "/llm/", send: stream, during: func(s *fixture) {
			s.f.fleet.MarkLeaving(time.Now(), "llm1", 0, false)
		}, wantCalls: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &fixture{work: &workLog{}}
				transport := &fakeTransport{}
				transport.send = c.send(s)
				transport.move = func(ctx context.Context, _ Upstream, _ MoveRequest) (MoveResult, error) {
					end := s.work.start()
					defer end()
					<-ctx.Done()
					return MoveResult{}, ctx.Err()
				}
				s.f = newForwarder(t, transport)
				s.f.updatePlacementEngines(time.Now(), s.f.Table())
				if c.before != nil {
					c.before(s)
				}
				ctx, leave := context.WithCancel(t.Context())
				served := make(chan struct{})
				go func() {
					defer close(served)
					s.f.Serve(ctx, call(c.path), &fakeSink{})
				}()
				time.Sleep(20 * time.Millisecond)
				if c.during != nil {
					c.during(s)
				}
				time.Sleep(180 * time.Millisecond)
				leave()
				left := time.Now()
				time.Sleep(maxWorkAfterLeave)
				synctest.Wait()
				s.work.mu.Lock()
				is.Equal(s.work.active, 0) // upstreams still work on the request
				s.work.mu.Unlock()
				time.Sleep(10 * time.Second)
				<-served
				s.work.mu.Lock()
				defer s.work.mu.Unlock()
				is.Equal(len(s.work.started), c.wantCalls) // upstream calls
				for _, at := range s.work.started {
					is.True(at.Sub(left) <= maxWorkAfterLeave) // an upstream was called too long after the caller left
				}
			})
		})
	}
}

// TestCallerLeftNotResumed checks that a resumable stream that broke off isn't run again after its
// caller has left.
func TestCallerLeftNotResumed(t *testing.T) {
	is := is.New(t)
	ctx, leave := context.WithCancel(t.Context())
	transport := &fakeTransport{send: func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
		leave()
		return brokenAnswer("id: 1\n\n"), nil
	}}
	f := newResumableForwarder(t, transport, 2, 100)
	f.Serve(ctx, call("/llm/"), &fakeSink{})
	is.Equal(len(transport.sentTo()), 1)
}

// TestCallerLeftUnread checks that a request whose caller left before the request was handled reaches
// no upstream, and is refused as one that didn't run.
func TestCallerLeftUnread(t *testing.T) {
	for _, path := range []string{"/order/", "/status/", "/llm/"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				transport := &fakeTransport{send: func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
					return answer(http.StatusOK, "id: 1\ndata: a\n\n"), nil
				}}
				f := newForwarder(t, transport)
				ctx, leave := context.WithCancel(t.Context())
				leave()
				sink := &fakeSink{}
				f.Serve(ctx, call(path), sink)
				synctest.Wait()
				is.Equal(len(transport.sentTo()), 0)
				is.Equal(sink.refused, &Refusal{Code: CodeCallerLeft})
				is.Equal(sink.status, 0)
				is.Equal(len(f.engines.runStates(f.now())), 0) // the run holds no place
			})
		})
	}
}

// TestCallerLeftAfterLostTry checks that the refusal of a request whose caller leaves while it waits for a second
// engine says that the first one may have run it: a caller that has only closed its sending side reads the refusal.
func TestCallerLeftAfterLostTry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var f *Forwarder
		transport := &fakeTransport{send: func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
			now := time.Now()
			for _, id := range []policy.RunID{"a", "b"} {
				f.engines.place(t.Context(), now, "llm", policy.Request{Run: id, PromptTokens: 33_000, MaxOutputTokens: 1000, Deadline: now.Add(time.Minute)})
			}
			return nil, io.ErrUnexpectedEOF
		}}
		f = newResumableForwarder(t, transport, 2, 100)
		c := testConfig(3)
		c.Routes[2].Resumable, c.Routes[2].Attempts, c.Routes[2].Objective = true, 2, 30*time.Second
		f.Configure(time.Now(), c)
		f.updatePlacementEngines(time.Now(), f.Table())
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, leave)
		sink := &fakeSink{}
		f.Serve(ctx, call("/llm/"), sink)
		is.Equal(len(transport.sentTo()), 1)
		is.Equal(sink.refused, &Refusal{Code: CodeCallerLeft, MayHaveRun: true})
	})
}
