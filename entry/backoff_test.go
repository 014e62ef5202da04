// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestEngineAsksForBackoffAndGetsGenerations checks that generations go to another engine until the
// backoff that an engine asked for has ended, and to that engine again afterwards.
func TestEngineAsksForBackoffAndGetsGenerations(t *testing.T) {
	refused := script{startErr: &EngineRefusal{Status: 503, Text: "full", RetryAfter: 3 * time.Second}}
	succeeds := script{events: append(tokenEvents(1, 5), endEvent(5))}
	withSite(t, []script{refused, succeeds}, twoEngines, func(t *testing.T, s *fakeSite, e *Entry) {
		is := is.New(t)
		// Six concurrent generations, so that without backoff both engines would get some.
		generateSix := func() {
			hold := make(chan struct{})
			s.engines.mu.Lock()
			s.engines.holdOpen = hold
			s.engines.mu.Unlock()
			errs := make(chan error, 6)
			for range 6 {
				go func() {
					_, err := e.Generate(s.ctx, quoteRequest(), &fakeSink{})
					errs <- err
				}()
				time.Sleep(10 * time.Millisecond)
			}
			close(hold)
			for range 6 {
				is.NoErr(<-errs)
			}
		}
		generateSix()
		started := s.engines.startsByEngine()
		is.Equal(min(started["g1"], started["g2"]), 1) // the refusal
		time.Sleep(3 * time.Second)
		generateSix()
		started = s.engines.startsByEngine()
		is.True(min(started["g1"], started["g2"]) > 1)
	})
}

// TestEnginesAllAskForBackoff checks that a generation is refused at once, with a Retry-After, while
// all engines are in backoff.
func TestEnginesAllAskForBackoff(t *testing.T) {
	refused := script{startErr: &EngineRefusal{Status: 503, Text: "full", RetryAfter: 3 * time.Second}}
	withSite(t, []script{refused}, twoEngines, func(t *testing.T, s *fakeSite, e *Entry) {
		is := is.New(t)
		for range 4 {
			began := time.Now()
			_, err := e.Generate(s.ctx, quoteRequest(), &fakeSink{})
			var failure *Failure
			is.True(errors.As(err, &failure))
			is.Equal(failure.RunState, NotRun)
			is.Equal(failure.Code, CodeOverloaded)
			is.True(failure.RetryAfter > 2*time.Second)
			is.True(time.Since(began) < time.Second)
		}
		started := s.engines.startsByEngine()
		is.Equal(started["g1"]+started["g2"], 2)
	})
}

// TestServiceAsksForBackoffAndGetsCalls checks that a service's upstreams get no calls until the
// backoff that they asked for has ended.
func TestServiceAsksForBackoffAndGetsCalls(t *testing.T) {
	withSite(t, nil, nil, func(t *testing.T, s *fakeSite, e *Entry) {
		is := is.New(t)
		s.addService("s2", "az2")
		s.addService("s3", "az3")
		time.Sleep(5 * time.Second)
		s.services.setBackoff(3 * time.Second)
		for range 3 {
			_, err := e.CallService(s.ctx, serviceCall("orders", ""))
			is.NoErr(err) // the upstream's own answer
		}
		_, err := e.CallService(s.ctx, serviceCall("orders", ""))
		var failure *Failure
		is.True(errors.As(err, &failure))
		is.Equal(failure.RunState, NotRun)
		is.True(failure.RetryAfter > 2*time.Second)
		is.Equal(s.services.count(""), 3)
		s.services.setBackoff(0)
		time.Sleep(3 * time.Second)
		_, err = e.CallService(s.ctx, serviceCall("orders", ""))
		is.NoErr(err)
		synctest.Wait()
	})
}
