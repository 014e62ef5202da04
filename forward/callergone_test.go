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

// maxWorkAfterLeave is how long after its caller left anything of a request may reach an
// upstream, or be worked on there.
const maxWorkAfterLeave = 500 * time.Millisecond

// workLog notes when upstreams were called and when they were let go.
type workLog struct {
	mu      sync.Mutex
	started []time.Time
	active  int
}

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

// stalledBody is a stream that brings one event and then nothing until it is closed.
type stalledBody struct {
	io.Reader
	closed func()
}

func (b *stalledBody) Close() error {
	b.closed()
	return nil
}

// stalledStream is an answer that stays open, and ends with its request's context.
func stalledStream(ctx context.Context, l *workLog) *Response {
	read, write := io.Pipe()
	var once sync.Once
	end := l.start()
	closed := func() {
		once.Do(end)
		write.CloseWithError(io.ErrUnexpectedEOF)
	}
	context.AfterFunc(ctx, closed)
	go func() { _, _ = io.WriteString(write, "id: 1\n\n") }() // an error says that it was closed
	a := answer(200, "")
	a.ContentLength, a.Body = -1, &stalledBody{Reader: read, closed: closed}
	return a
}

// TestCallerLeftEndsWork has nothing of a request reach an upstream, and none work on it,
// half a second after its caller left, wherever the request then was.
func TestCallerLeftEndsWork(t *testing.T) {
	type site struct {
		f    *Forwarder
		work *workLog
	}
	// hang waits until the request is let go.
	hang := func(s *site) func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
		return func(ctx context.Context, _ Upstream, _ *UpstreamRequest) (*Response, error) {
			end := s.work.start()
			defer end()
			<-ctx.Done()
			return nil, context.Cause(ctx)
		}
	}
	stream := func(s *site) func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
		return func(ctx context.Context, _ Upstream, _ *UpstreamRequest) (*Response, error) {
			return stalledStream(ctx, s.work), nil
		}
	}
	for name, c := range map[string]struct {
		path string
		send func(s *site) func(context.Context, Upstream, *UpstreamRequest) (*Response, error)
		// before is done before the request comes, during while it is served.
		before, during func(s *site)
		// reached is how many calls upstreams get, before the caller leaves.
		reached int
	}{
		"before the first event":  {path: "/llm/", send: hang, reached: 1},
		"between two events":      {path: "/llm/", send: stream, reached: 1},
		"while a plain call runs": {path: "/order/", send: hang, reached: 1},
		"after a second try":      {path: "/status/", send: hang, reached: 2},
		"while it waits for a place": {path: "/llm/", send: stream, before: func(s *site) {
			now := time.Now()
			for _, id := range []policy.RunID{"a", "b", "c"} {
				s.f.engines.place(t.Context(), now, "llm", policy.Request{Run: id, Prompt: 33_000, Limit: 1000, Deadline: now.Add(time.Minute)})
			}
		}, reached: 0},
		"while its run is moved": {path: "/llm/", send: stream, during: func(s *site) {
			s.f.fleet.MarkLeaving(time.Now(), "llm1", 0, false)
		}, reached: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &site{work: &workLog{}}
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
				is.Equal(s.work.active, 0)
				s.work.mu.Unlock()
				time.Sleep(10 * time.Second)
				<-served
				s.work.mu.Lock()
				defer s.work.mu.Unlock()
				is.Equal(len(s.work.started), c.reached)
				for _, at := range s.work.started {
					is.True(at.Sub(left) <= maxWorkAfterLeave)
				}
			})
		})
	}
}

// TestCallerLeftNotResumed has a resumable stream that broke off not run again once
// its caller has left.
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

// TestCallerLeftUnread has a request whose caller left before it was read reach no upstream.
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
				is.Equal(sink.refused, nil)                    // nobody is told
				is.Equal(len(f.engines.runStates(f.now())), 0) // no place is held
			})
		})
	}
}
