// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/policy"
)

// inSite runs a test with one entry and the named engines, which follow the
// scripts, in a bubble of synctest's time.
func inSite(t *testing.T, scripts []script, engines []policy.EngineID, test func(t *testing.T, s *fakeSite, e *Entry)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newFakeSite(ctx)
		defer s.wait.Wait()
		defer cancel()
		e := s.add("e1", "az1")
		s.engines.scripts = scripts
		for _, id := range engines {
			s.addEngine(id, "az1")
		}
		s.addService("s1", "az1")
		if err := s.declare(e); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		test(t, s, e)
	})
}

var (
	oneEngine  = []policy.EngineID{"g1"}
	twoEngines = []policy.EngineID{"g1", "g2"}
)

var errLink = errors.New("the link broke")

// TestGenerationFailures has an engine fail at each point of a generation, and
// checks what the caller gets and is told, and how often it was run.
func TestGenerationFailures(t *testing.T) {
	whole := script{events: append(tokens(1, 5), ended(5))}
	rest := script{events: append(tokens(3, 5), ended(5))}
	refused := func(status int) script { return script{startErr: &EngineRefusal{Status: status}} }
	for name, c := range map[string]struct {
		scripts []script
		got     int
		code    Code
		run     RunState
		started int
		resumed []int
	}{
		"whole":                       {[]script{whole}, 5, "", "", 1, nil},
		"no engine reached":           {[]script{{startErr: ErrNotSent}}, 0, CodeUpstreamLost, NotRun, 0, nil},
		"refused as wrong":            {[]script{refused(400)}, 0, CodeUpstreamRefused, NotRun, 1, nil},
		"refused as full, then taken": {[]script{refused(503), whole}, 5, "", "", 2, nil},
		"lost after sending, then taken": {
			[]script{{startErr: errLink}, whole}, 5, "", "", 2, nil,
		},
		"always lost after sending": {[]script{{startErr: errLink}}, 0, CodeUpstreamLost, Unknown, 3, nil},
		"link broken before a token, resumed": {
			[]script{{endErr: errLink}, whole}, 5, "", "", 1, []int{0},
		},
		"link broken mid-stream, resumed": {
			[]script{{events: tokens(1, 2), endErr: errLink}, rest}, 5, "", "", 1, []int{2},
		},
		"silent mid-stream, resumed": {
			[]script{{events: tokens(1, 2), endErr: ErrStreamIdle}, rest}, 5, "", "", 1, []int{2},
		},
		"end without a mark, resumed": {
			[]script{{events: tokens(1, 2)}, rest}, 5, "", "", 1, []int{2},
		},
		"gap, resumed": {
			[]script{{events: append(tokens(1, 2), tokens(4, 5)...)}, rest}, 5, "", "", 1, []int{2},
		},
		"foreign event, resumed": {
			[]script{{events: append(tokens(1, 2), StreamEvent{Run: "other", Index: 3})}, rest}, 5, "", "", 1, []int{2},
		},
		"run gone mid-stream": {
			[]script{{events: tokens(1, 2), endErr: errLink}, {resumeErr: ErrRunNotFound}}, 2, CodeUpstreamLost, Partial, 1, nil,
		},
		"engine dead mid-stream": {
			[]script{{events: tokens(1, 2), endErr: errLink}, {resumeErr: ErrNotSent}}, 2, CodeUpstreamLost, Partial, 1, nil,
		},
		"end mark with too few": {
			[]script{{events: append(tokens(1, 5), ended(3))}}, 5, CodeBadStream, Partial, 1, nil,
		},
		"cancelled by the engine": {
			[]script{{events: append(tokens(1, 2), StreamEvent{Kind: EventEnd, End: RunResult{CompletionTokens: 2}})}},
			2, CodeBadStream, Partial, 1, nil,
		},
	} {
		t.Run(name, func(t *testing.T) {
			inSite(t, c.scripts, twoEngines, func(t *testing.T, s *fakeSite, e *Entry) {
				is := is.New(t)
				sink := &fakeSink{}
				asked := time.Now()
				_, err := e.Generate(s.ctx, quote(), sink)
				var failure *Failure
				if errors.As(err, &failure) {
					is.Equal(failure.Code, c.code)
					is.Equal(failure.RunState, c.run)
				} else {
					is.NoErr(err)
					is.Equal(Code(""), c.code)
				}
				is.Equal(len(sink.got), c.got)
				for i, index := range sink.got {
					is.Equal(index, i+1) // in order, each once
				}
				is.Equal(s.engines.totalStarted(), c.started)
				is.Equal(s.engines.resumed, c.resumed)
				is.True(time.Since(asked) < 5*time.Second) // given up at once
			})
		})
	}
}

// TestResumeAtAnotherEntry carries on where the caller was, with the account's
// own key only.
func TestResumeAtAnotherEntry(t *testing.T) {
	inSite(t, []script{{events: append(tokens(3, 5), ended(5))}}, oneEngine, func(t *testing.T, s *fakeSite, e *Entry) {
		is := is.New(t)
		id := newGenerationID([]byte("key"), location{Engine: "g1", Run: "r", Account: "counter", Route: "quote"})
		sink := &fakeSink{}
		_, err := e.Resume(s.ctx, "another", id.EventID(2), sink)
		var failure *Failure
		is.True(errors.As(err, &failure))
		is.Equal(failure.Code, CodeBadGenerationID)
		is.Equal(len(sink.got), 0)
		_, err = e.Resume(s.ctx, "counter", id.EventID(2), sink)
		is.NoErr(err)
		is.Equal(sink.got, []int{3, 4, 5})
	})
}

// TestNothingRunAgainAfterAToken has a caller that saw one token never get a
// second run.
func TestNothingRunAgainAfterAToken(t *testing.T) {
	lost := []script{{events: tokens(1, 1), endErr: errLink}, {resumeErr: ErrRunNotFound}}
	inSite(t, lost, twoEngines, func(t *testing.T, s *fakeSite, e *Entry) {
		is := is.New(t)
		sink := &fakeSink{}
		_, err := e.Generate(s.ctx, quote(), sink)
		var failure *Failure
		is.True(errors.As(err, &failure))
		is.Equal(failure.RunState, Partial)
		is.Equal(s.engines.totalStarted(), 1)
	})
}

// TestRetryBudget stops retries when everything fails.
func TestRetryBudget(t *testing.T) {
	always := []script{{startErr: errLink}}
	inSite(t, always, twoEngines, func(t *testing.T, s *fakeSite, e *Entry) {
		is := is.New(t)
		const calls = 50
		for range calls {
			_, err := e.Generate(s.ctx, quote(), &fakeSink{})
			is.True(err != nil)
		}
		is.True(s.engines.totalStarted() <= calls+retryReserve)
	})
}

// TestLeavingEngine has each sign by itself keep new work away within 3 s,
// while running work ends whole.
func TestLeavingEngine(t *testing.T) {
	whole := []script{{events: append(tokens(1, 5), ended(5))}}
	for name, sign := range map[string]func(s *fakeSite, e *Entry) error{
		"host list": func(s *fakeSite, _ *Entry) error {
			s.hosts.change(markLeaving)
			return nil
		},
		"the engine's word": func(s *fakeSite, _ *Entry) error {
			s.engines.mu.Lock()
			defer s.engines.mu.Unlock()
			load := s.engines.loads["g1"]
			load.Leaving = true
			s.engines.loads["g1"] = load
			return nil
		},
		"drain order": func(s *fakeSite, e *Entry) error { return drain(s, e, "g1") },
		"a peer's word": func(_ *fakeSite, e *Entry) error {
			e.OnHeartbeat(time.Now(), Heartbeat{From: peerEntry, LeavingUpstreams: []policy.EngineID{"g1"}})
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			inSite(t, whole, oneEngine, func(t *testing.T, s *fakeSite, e *Entry) {
				is := is.New(t)
				s.engines.mu.Lock()
				s.engines.hold = make(chan struct{})
				s.engines.mu.Unlock()
				running := make(chan error)
				sink := &fakeSink{}
				go func() {
					_, err := e.Generate(s.ctx, quote(), sink)
					running <- err
				}()
				time.Sleep(time.Second)
				is.NoErr(sign(s, e))
				time.Sleep(3 * time.Second)
				_, err := e.Generate(s.ctx, quote(), &fakeSink{})
				var failure *Failure
				is.True(errors.As(err, &failure))
				is.Equal(failure.RunState, NotRun)
				is.Equal(s.engines.totalStarted(), 1)
				close(s.engines.hold)
				is.NoErr(<-running)
				is.Equal(sink.got, []int{1, 2, 3, 4, 5})
			})
		})
	}
}

// TestStopCutsNothing takes calls during the grace, refuses them after it, and
// waits for what runs.
func TestStopCutsNothing(t *testing.T) {
	inSite(t, []script{{events: append(tokens(1, 5), ended(5))}}, oneEngine, func(t *testing.T, s *fakeSite, e *Entry) {
		is := is.New(t)
		s.engines.mu.Lock()
		s.engines.hold = make(chan struct{})
		s.engines.mu.Unlock()
		running := make(chan error, 2)
		generate := func() {
			_, err := e.Generate(s.ctx, quote(), &fakeSink{})
			running <- err
		}
		go generate()
		time.Sleep(time.Second)
		stopped := make(chan struct{})
		go func() {
			e.Stop(s.ctx, 2*time.Second)
			close(stopped)
		}()
		time.Sleep(time.Second)
		go generate() // within the grace
		time.Sleep(2 * time.Second)
		_, err := e.Generate(s.ctx, quote(), &fakeSink{})
		var failure *Failure
		is.True(errors.As(err, &failure))
		is.Equal(failure.Code, CodeLeaving)
		is.Equal(failure.RunState, NotRun)
		is.True(failure.RetryAfter > 0)
		synctest.Wait()
		select {
		case <-stopped:
			t.Fatal("the entry stopped while calls ran")
		default:
		}
		close(s.engines.hold)
		is.NoErr(<-running)
		is.NoErr(<-running)
		<-stopped
	})
}
