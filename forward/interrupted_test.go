// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestStopAnswersInterruptedRequests checks that a request in progress when the time for
// stopping is over gets its final answer then, and one that may have run isn't reported as not
// run.
//
// A stopping host accepts the requests that it expects to end before it does. It used to go by
// the caller's guess of a stream's length, which is often far off. It now goes by the bound of
// the length, but that estimate can be wrong too, for example when engines are twelve times
// slower than usual. The host then exited with such requests open and closed their connections
// without an answer.
func TestStopAnswersInterruptedRequests(t *testing.T) {
	const grace = 3 * time.Second
	silent := func(ctx context.Context, _ Upstream, _ *UpstreamRequest) (*Response, error) {
		<-ctx.Done()
		return nil, context.Cause(ctx)
	}
	midway := func(ctx context.Context, _ Upstream, _ *UpstreamRequest) (*Response, error) {
		a := answer(http.StatusOK, "")
		read, write := io.Pipe()
		a.Body = read
		go func() {
			_, _ = write.Write([]byte("id: 1\ndata: x\n\n"))
			<-ctx.Done()
			_ = write.CloseWithError(context.Cause(ctx))
		}()
		return a, nil
	}
	for name, c := range map[string]struct {
		path string
		send func(ctx context.Context, u Upstream, r *UpstreamRequest) (*Response, error)
		// cut is set if the answer had begun, so that the host can only show that it is
		// incomplete.
		cut bool
	}{
		"a stream without an event yet": {"/llm/", silent, false},
		"a stream midway":               {"/llm/", midway, true},
		"a call that runs once":         {"/order/", silent, false},
		"a call that may run again":     {"/status/", silent, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, sink := newForwarder(t, &fakeTransport{send: c.send}), &fakeSink{}
				config := testConfig(2)
				for i := range config.Routes {
					config.Routes[i].Timeout = time.Minute
				}
				f.Configure(time.Now(), config)
				served := make(chan struct{})
				go func() {
					defer close(served)
					f.Serve(t.Context(), call(c.path), sink)
				}()
				synctest.Wait()
				ctx, cancel := context.WithTimeout(t.Context(), grace)
				defer cancel()
				f.Stop(ctx)
				// Stop returns when the last request has its answer. The goroutine of that request
				// returns at the same moment, before or after it.
				synctest.Wait()
				select {
				case <-served:
				default:
					t.Fatal("the host has stopped, but Serve has not returned for the request in progress")
				}
				is.Equal(sink.truncated, c.cut)
				is.Equal(sink.refused != nil, !c.cut)
				if !c.cut {
					is.Equal(sink.refused.Code, CodeInterrupted)
					is.True(sink.refused.MayHaveRun)
				} else {
					is.True(strings.Contains(sink.body.String(), "id: 1"))
				}
			})
		})
	}
}

// TestCloseRefusesNewRequests checks that a request that arrives after the host has closed is
// refused, not passed on, because its connection is closed a moment later. Close waits for a
// request that arrived before.
func TestCloseRefusesNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		transport := &fakeTransport{send: sendAfterDelay}
		f, sink := newForwarder(t, transport), &fakeSink{}
		go f.Serve(t.Context(), call("/order/"), sink)
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		began := time.Now()
		f.Close(ctx)
		is.Equal(time.Since(began), 100*time.Millisecond)
		is.Equal(sink.body.String(), "late")
		sent, late := len(transport.sentTo()), &fakeSink{}
		f.Serve(t.Context(), call("/order/"), late)
		is.Equal(late.refused.Code, CodeStopping)
		is.True(!late.refused.MayHaveRun)
		is.Equal(len(transport.sentTo()), sent)
	})
}
