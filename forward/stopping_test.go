// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/policy"
)

// TestStopping checks that Stop waits for requests in flight, and that a stopping host still
// accepts calls and refuses streams at once that are not expected to end in time.
func TestStopping(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		transport := &fakeTransport{send: sendAfterDelay}
		f, sink := newForwarder(t, transport), &fakeSink{}
		go f.Serve(t.Context(), call("/order/"), sink)
		synctest.Wait()
		began := time.Now()
		f.Stop(t.Context())
		is.Equal(time.Since(began), 100*time.Millisecond)
		is.Equal(sink.body.String(), "late")
		is.True(!f.Ready())
		refused := &fakeSink{}
		f.Serve(t.Context(), call("/llm/"), refused)
		is.Equal(refused.refused.Code, CodeStopping)
		is.True(refused.refused.RetryAfter > 0)
		served := &fakeSink{}
		f.Serve(t.Context(), call("/order/"), served)
		is.Equal(served.status, 200)
		ctx, cancel := context.WithTimeout(t.Context(), 7*time.Second)
		defer cancel()
		f.Stop(ctx)
		is.True(!errors.Is(ctx.Err(), context.DeadlineExceeded)) // nothing was running
		for _, c := range []struct {
			since                     time.Duration
			expectedOutput, maxOutput policy.Tokens
			refuses                   bool
		}{
			{0, 0, 2000, true},
			{0, 20, 2000, false}, // a short stream ends in time
			{0, 400, 2000, true},
			{0, 0, 40, false}, // the maximum output is short
			{0, 400, 40, false},
			{2600 * time.Millisecond, 20, 2000, true}, // too late to trust an estimate
			{2600 * time.Millisecond, 0, 40, true},
			{6 * time.Second, 0, 40, true}, // no time is left
		} {
			time.Sleep(time.Until(began.Add(100*time.Millisecond + c.since)))
			call, sink := call("/llm/"), &fakeSink{}
			call.Prompt.ExpectedOutputTokens, call.Prompt.MaxOutputTokens, call.Prompt.Tokens = c.expectedOutput, c.maxOutput, 1000
			f.Serve(t.Context(), call, sink)
			is.Equal(sink.refused != nil && sink.refused.Code == CodeStopping, c.refuses)
		}
	})
}

// TestStoppingRetryAfter checks when callers that a stopping host refuses are to retry: at
// once if another host of the zone accepts requests, otherwise when they no longer reach the
// same host, spread over time.
func TestStoppingRetryAfter(t *testing.T) {
	for name, c := range map[string]struct {
		peers []Share
		// after is the time from the start of the stop to the request.
		after                        time.Duration
		minRetryAfter, maxRetryAfter time.Duration
	}{
		"another host":                {[]Share{{From: Peer{ID: "h2", Zone: "z1"}}}, 0, otherHostRetryAfter, otherHostRetryAfter},
		"alone in the site":           {nil, 0, notReadyDetectionTime, notReadyDetectionTime + stopRetryJitter},
		"alone in the zone":           {[]Share{{From: Peer{ID: "h2", Zone: "z2"}}}, 0, notReadyDetectionTime, notReadyDetectionTime + stopRetryJitter},
		"the other stops, too":        {[]Share{{From: Peer{ID: "h2", Zone: "z1"}, Stopping: true}}, 0, notReadyDetectionTime, notReadyDetectionTime + stopRetryJitter},
		"alone, a second later":       {nil, time.Second, notReadyDetectionTime - time.Second, notReadyDetectionTime - time.Second + stopRetryJitter},
		"alone, long after the start": {nil, 5 * time.Second, otherHostRetryAfter, otherHostRetryAfter + stopRetryJitter},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newForwarder(t, &fakeTransport{})
				ctx, cancel := context.WithTimeout(t.Context(), 7*time.Second)
				defer cancel()
				f.Stop(ctx)
				time.Sleep(c.after)
				for _, s := range c.peers {
					f.peers.recordShare(time.Now(), s)
				}
				seen := map[time.Duration]bool{}
				for range 20 {
					sink := &fakeSink{}
					f.Serve(t.Context(), call("/llm/"), sink)
					is.Equal(sink.refused.Code, CodeStopping)
					is.True(sink.refused.RetryAfter >= c.minRetryAfter && sink.refused.RetryAfter <= c.maxRetryAfter)
					seen[sink.refused.RetryAfter] = true
				}
				is.True(c.minRetryAfter == c.maxRetryAfter || len(seen) > 10)
			})
		})
	}
}

// TestStoppingCalls checks that a stopping host accepts plain calls that are expected to end
// in time and refuses the others at once.
func TestStoppingCalls(t *testing.T) {
	for name, c := range map[string]struct {
		after         time.Duration
		callerTimeout time.Duration
		refused       bool
	}{
		"at once":                          {0, 39 * time.Second, false},
		"two seconds before the end":       {5 * time.Second, 39 * time.Second, false},
		"half a second before the end":     {6500 * time.Millisecond, 39 * time.Second, true},
		"then, but the caller waits less":  {6500 * time.Millisecond, 400 * time.Millisecond, false},
		"a tenth of a second, waits less":  {6900 * time.Millisecond, 400 * time.Millisecond, true},
		"the stop has no time left at all": {7 * time.Second, 39 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newForwarder(t, &fakeTransport{send: func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
					return answer(200, "ok"), nil
				}})
				ctx, cancel := context.WithTimeout(t.Context(), 7*time.Second)
				defer cancel()
				f.Stop(ctx)
				time.Sleep(c.after)
				for _, path := range []string{"/order/", "/status/"} {
					request, sink := call(path), &fakeSink{}
					request.CallerTimeout = c.callerTimeout
					f.Serve(t.Context(), request, sink)
					is.Equal(sink.refused != nil, c.refused)
					is.True(!c.refused || *sink.refused == Refusal{Code: CodeStopping, RetryAfter: sink.refused.RetryAfter})
				}
			})
		})
	}
}

// TestCallsInShortStop checks that a call whose deadline is after the end of a short stop is accepted while a usual call fits in.
func TestCallsInShortStop(t *testing.T) {
	for arrivesAt, refused := range map[time.Duration]bool{0: false, 900 * time.Millisecond: false, 1100 * time.Millisecond: true} {
		t.Run(arrivesAt.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newForwarder(t, &fakeTransport{send: sendAfterDelay})
				config := testConfig(2)
				for i := range config.Routes {
					config.Routes[i].Timeout = time.Minute
				}
				f.Configure(time.Now(), config)
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				f.Stop(ctx)
				time.Sleep(arrivesAt)
				sink := &fakeSink{}
				f.Serve(t.Context(), call("/order/"), sink)
				is.Equal(sink.refused != nil, refused)
			})
		})
	}
}

// TestPeersLearnOfStop checks that all hosts know at once that one of them stops, so that they open no
// connections through it and their streams leave it while there is time.
func TestPeersLearnOfStop(t *testing.T) {
	for name, c := range map[string]struct{ zones, hosts int }{"two hosts": {1, 2}, "three zones": {3, 2}, "larger zones": {3, 20}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSite(c.zones, c.hosts, true)
				ctx, cancel := context.WithCancel(t.Context())
				s.startAll(ctx)
				time.Sleep(10 * time.Second)
				stopping := s.hosts["10.1.0.2:1"]
				go stopping.Stop(ctx)
				time.Sleep(100 * time.Millisecond)
				for _, f := range s.hosts {
					is.True(f == stopping || f.peers.isStopping(stopping.settings.Self.ID))
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}
