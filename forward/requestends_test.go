// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// endObserver records the outcomes of requests.
type endObserver struct {
	silentObserver
	mu       sync.Mutex
	outcomes []string
}

func (o *endObserver) Answered(_ Kind, outcome string, _ time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.outcomes = append(o.outcomes, outcome)
}

type sendFunc = func(context.Context, Upstream, *UpstreamRequest) (*Response, error)

// sendVariants are the ways in which upstreams answer, fail or fall silent.
func sendVariants() map[string]sendFunc {
	const events = "id: 1\ndata: a\n\n"
	answerWith := func(a func(ctx context.Context) *Response) sendFunc {
		return func(ctx context.Context, _ Upstream, _ *UpstreamRequest) (*Response, error) {
			time.Sleep(10 * time.Millisecond)
			return a(ctx), nil
		}
	}
	failWith := func(err error) sendFunc {
		return func(context.Context, Upstream, *UpstreamRequest) (*Response, error) { return nil, err }
	}
	// streamed returns an answer without a declared length.
	streamed := func(body io.Reader) *Response {
		a := answer(http.StatusOK, "")
		a.ContentLength, a.Body = -1, io.NopCloser(body)
		return a
	}
	// long returns a body that is longer than what is buffered, and then reads from rest.
	long := func(ctx context.Context, rest io.Reader) io.Reader {
		return io.MultiReader(io.LimitReader(&endlessBody{ctx: ctx}, maxBufferedResponse+128<<10), rest)
	}
	return map[string]sendFunc{
		"answers":       answerWith(func(context.Context) *Response { return answer(http.StatusOK, events) }),
		"fails":         answerWith(func(context.Context) *Response { return answer(http.StatusInternalServerError, "") }),
		"says 503":      answerWith(func(context.Context) *Response { return answer(http.StatusServiceUnavailable, "") }),
		"refuses":       answerWith(func(context.Context) *Response { a := answer(503, ""); a.NotRun = true; return a }),
		"isn't there":   failWith(ErrNotSent),
		"resets":        failWith(io.ErrUnexpectedEOF),
		"lacks a seal":  answerWith(func(context.Context) *Response { a := answer(200, events); a.Signed = false; return a }),
		"panics":        func(context.Context, Upstream, *UpstreamRequest) (*Response, error) { panic("a mistake") },
		"breaks off":    answerWith(func(context.Context) *Response { return brokenAnswer(events) }),
		"panics midway": answerWith(func(context.Context) *Response { return streamed(panicReader{&twoEventReader{}}) }),
		"answers long":  answerWith(func(ctx context.Context) *Response { return streamed(long(ctx, strings.NewReader(""))) }),
		"breaks late":   answerWith(func(ctx context.Context) *Response { return streamed(long(ctx, errReader{})) }),
		"panics late":   answerWith(func(ctx context.Context) *Response { return streamed(long(ctx, panicReader{errReader{}})) }),
		"is silent": func(ctx context.Context, _ Upstream, _ *UpstreamRequest) (*Response, error) {
			<-ctx.Done()
			return nil, context.Cause(ctx)
		},
		"is silent midway": func(ctx context.Context, _ Upstream, _ *UpstreamRequest) (*Response, error) {
			return stalledStream(ctx, &workLog{}), nil
		},
		"never ends": answerWith(func(ctx context.Context) *Response { return streamed(&endlessBody{ctx: ctx}) }),
	}
}

// checkFinalAnswer checks that a caller got one final answer: a refusal, a whole answer, or one that
// ends so that the caller sees that it is incomplete.
func checkFinalAnswer(t *testing.T, sink *fakeSink, outcome string) {
	t.Helper()
	begun := sink.status != 0
	switch {
	case !begun && sink.refused == nil && !sink.truncated:
		t.Errorf("outcome %s: the caller got no answer", outcome)
	case begun && sink.refused != nil:
		t.Errorf("outcome %s: the caller got refusal %v after an answer with status %d had begun", outcome, *sink.refused, sink.status)
	case begun && outcome != "ok" && !sink.truncated:
		t.Errorf("outcome %s: the caller's answer with status %d seems complete", outcome, sink.status)
	}
}

// TestEachRequestEndsOnce checks that each request ends with exactly one outcome, one log line that says
// how and one final answer, whatever its upstream, its caller and its host do.
func TestEachRequestEndsOnce(t *testing.T) {
	// Each interruption begins 100 ms after the request.
	interruptions := map[string]func(f *Forwarder, leave func()){
		"": func(*Forwarder, func()) {},
		"caller leaves": func(_ *Forwarder, leave func()) {
			leave()
		},
		"host stops": func(f *Forwarder, _ func()) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			f.Close(ctx)
		},
		"configuration drops the route": func(f *Forwarder, _ func()) {
			c := testConfig(2)
			c.Routes = nil
			f.Configure(f.now(), c)
		},
	}
	for sendName, send := range sendVariants() {
		for interruption, interrupt := range interruptions {
			for _, path := range []string{"/order/", "/status/", "/llm/", "/resumable/", "/unknown/"} {
				for _, callerGone := range []bool{false, true} {
					name := strings.Join([]string{path, sendName, interruption, map[bool]string{true: "caller gone"}[callerGone]}, ",")
					t.Run(name, func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							f, journal, observer := newForwarder(t, &fakeTransport{send: send}), &recordingJournal{}, &endObserver{}
							f.journal, f.observer = journal, observer
							f.updatePlacementEngines(f.now(), f.Table())
							ctx, leave := context.WithCancelCause(t.Context())
							defer leave(nil)
							time.AfterFunc(100*time.Millisecond, func() { interrupt(f, func() { leave(errors.New("left")) }) })
							sink := &fakeSink{callerGone: callerGone}
							f.Serve(ctx, call(path), sink)
							lines := append(journal.linesWithPrefix("answered "), journal.linesWithPrefix("refused ")...)
							if len(observer.outcomes) != 1 || len(lines) != 1 {
								t.Errorf("outcomes %q and lines %q, expected one of each", observer.outcomes, lines)
							} else {
								checkFinalAnswer(t, sink, observer.outcomes[0])
							}
							if len(f.inFlight) != 0 || f.MaxOverdue() != 0 {
								t.Errorf("%d requests are in flight", len(f.inFlight))
							}
							time.Sleep(time.Minute) // until upstreams and the stop have ended
						})
					})
				}
			}
		}
	}
}

// TestMaxOverdue checks that a request that hangs shows by how far it is past its deadline.
func TestMaxOverdue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hung := make(chan struct{})
		f := newForwarder(t, &fakeTransport{})
		sink := &hungSink{until: hung}
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Serve(t.Context(), call("/order/"), sink)
		}()
		time.Sleep(10 * time.Second)
		// The route's timeout is 800 ms.
		if got, want := f.MaxOverdue(), 9200*time.Millisecond; got != want {
			t.Errorf("the request is overdue for %v, expected %v", got, want)
		}
		close(hung)
		<-done
		if got := f.MaxOverdue(); got != 0 {
			t.Errorf("an ended request is overdue for %v", got)
		}
	})
}

// hungSink is a caller whose refusal isn't written before until is closed.
type hungSink struct {
	fakeSink
	until chan struct{}
}

func (s *hungSink) Refuse(r Refusal) error {
	<-s.until
	return s.fakeSink.Refuse(r)
}

// TestProbeLocks checks that a probe waits for each lock that requests depend on, and names it.
func TestProbeLocks(t *testing.T) {
	f := newForwarder(t, &fakeTransport{})
	for lock, l := range map[string]sync.Locker{
		"requests": &f.mu, "upstreams": &f.fleet.mu, "engines": &f.engines.mu, "peers": &f.peers.mu,
		"admissions": &f.admissions.mu, "turns": &f.turns.mu, "latencies": &f.plainChooser.mu, "retries": &f.retries.mu,
	} {
		l.Lock()
		names := make(chan string)
		go func() {
			defer close(names)
			f.ProbeLocks(func(name string) { names <- name })
		}()
		for name := range names {
			if name == lock {
				break
			}
		}
		select {
		case name := <-names:
			t.Errorf("the probe reached %q while %s was held", name, lock)
		case <-time.After(10 * time.Millisecond):
		}
		l.Unlock()
		for range names {
		}
	}
}
