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

// TestEngineAsksForBackoffAndGetsGenerations has generations go to another engine until the end.
func TestEngineAsksForBackoffAndGetsGenerations(t *testing.T) {
	refused := script{startErr: &EngineRefusal{Status: 503, Text: "full", RetryAfter: 3 * time.Second}}
	good := script{events: append(tokens(1, 5), ended(5))}
	inSite(t, []script{refused, good}, twoEngines, func(t *testing.T, s *fakeSite, e *Entry) {
		is := is.New(t)
		// Six at once, so that both engines would get some.
		six := func() {
			hold := make(chan struct{})
			s.engines.mu.Lock()
			s.engines.hold = hold
			s.engines.mu.Unlock()
			errs := make(chan error, 6)
			for range 6 {
				go func() {
					_, err := e.Generate(s.ctx, quote(), &fakeSink{})
					errs <- err
				}()
				time.Sleep(10 * time.Millisecond)
			}
			close(hold)
			for range 6 {
				is.NoErr(<-errs)
			}
		}
		six()
		started := s.engines.startedBy()
		is.Equal(min(started["g1"], started["g2"]), 1) // the refusal
		time.Sleep(3 * time.Second)
		six()
		started = s.engines.startedBy()
		is.True(min(started["g1"], started["g2"]) > 1)
	})
}

// TestEnginesAllAskForBackoff has a generation refused at once, with when to come back.
func TestEnginesAllAskForBackoff(t *testing.T) {
	refused := script{startErr: &EngineRefusal{Status: 503, Text: "full", RetryAfter: 3 * time.Second}}
	inSite(t, []script{refused}, twoEngines, func(t *testing.T, s *fakeSite, e *Entry) {
		is := is.New(t)
		for range 4 {
			began := time.Now()
			_, err := e.Generate(s.ctx, quote(), &fakeSink{})
			var failure *Failure
			is.True(errors.As(err, &failure))
			is.Equal(failure.RunState, NotRun)
			is.Equal(failure.Code, CodeOverloaded)
			is.True(failure.RetryAfter > 2*time.Second)
			is.True(time.Since(began) < time.Second)
		}
		started := s.engines.startedBy()
		is.Equal(started["g1"]+started["g2"], 2)
	})
}

// TestServiceAsksForBackoffAndGetsCalls has a service's upstream get nothing until the end.
func TestServiceAsksForBackoffAndGetsCalls(t *testing.T) {
	inSite(t, nil, nil, func(t *testing.T, s *fakeSite, e *Entry) {
		is := is.New(t)
		s.addService("s2", "az2")
		s.addService("s3", "az3")
		time.Sleep(5 * time.Second)
		s.services.setBackoff(3 * time.Second)
		for range 3 {
			_, err := e.CallService(s.ctx, call("orders", ""))
			is.NoErr(err) // the upstream's own answer
		}
		_, err := e.CallService(s.ctx, call("orders", ""))
		var failure *Failure
		is.True(errors.As(err, &failure))
		is.Equal(failure.RunState, NotRun)
		is.True(failure.RetryAfter > 2*time.Second)
		is.Equal(s.services.count(""), 3)
		s.services.setBackoff(0)
		time.Sleep(3 * time.Second)
		_, err = e.CallService(s.ctx, call("orders", ""))
		is.NoErr(err)
		synctest.Wait()
	})
}
