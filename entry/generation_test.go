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

// withSite runs a test in a synctest bubble, with one entry and the given engines, which follow the
// scripts.
func withSite(t *testing.T, scripts []script, engines []policy.EngineID, test func(t *testing.T, s *fakeSite, e *Entry)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newFakeSite(ctx)
		defer s.running.Wait()
		defer cancel()
		e := s.addEntry("e1", "az1")
		s.engines.scripts = scripts
		for _, id := range engines {
			s.addEngine(id, "az1")
		}
		s.addService("s1", "az1")
		if err := s.declareSampleConfig(e); err != nil {
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

var errLinkBroken = errors.New("the link broke")

// TestGenerationFailures makes an engine fail at each point of a generation. It checks which tokens
// and which failure the caller gets, and how often the run was started and resumed.
func TestGenerationFailures(t *testing.T) {
	whole := script{events: append(tokenEvents(1, 5), endEvent(5))}
	rest := script{events: append(tokenEvents(3, 5), endEvent(5))}
	refused := func(status int) script { return script{startErr: &EngineRefusal{Status: status}} }
	for name, c := range map[string]struct {
		scripts      []script
		wantTokens   int
		wantCode     Code
		wantRunState RunState
		wantStarts   int
		wantResumes  []int
	}{
		"whole":                       {[]script{whole}, 5, "", "", 1, nil},
		"no engine reached":           {[]script{{startErr: ErrNotSent}}, 0, CodeUpstreamLost, NotRun, 0, nil},
		"refused as wrong":            {[]script{refused(400)}, 0, CodeUpstreamRefused, NotRun, 1, nil},
		"refused as full, then taken": {[]script{refused(503), whole}, 5, "", "", 2, nil},
		"lost after sending, then taken": {
			[]script{{startErr: errLinkBroken}, whole}, 5, "", "", 2, nil,
		},
		"always lost after sending": {[]script{{startErr: errLinkBroken}}, 0, CodeUpstreamLost, Unknown, 3, nil},
		"link broken before a token, resumed": {
			[]script{{endErr: errLinkBroken}, whole}, 5, "", "", 1, []int{0},
		},
		"link broken mid-stream, resumed": {
			[]script{{events: tokenEvents(1, 2), endErr: errLinkBroken}, rest}, 5, "", "", 1, []int{2},
		},
		"silent mid-stream, resumed": {
			[]script{{events: tokenEvents(1, 2), endErr: ErrStreamIdle}, rest}, 5, "", "", 1, []int{2},
		},
		"end without a mark, resumed": {
			[]script{{events: tokenEvents(1, 2)}, rest}, 5, "", "", 1, []int{2},
		},
		"gap, resumed": {
			[]script{{events: append(tokenEvents(1, 2), tokenEvents(4, 5)...)}, rest}, 5, "", "", 1, []int{2},
		},
		"foreign event, resumed": {
			[]script{{events: append(tokenEvents(1, 2), StreamEvent{Run: "other", Index: 3})}, rest}, 5, "", "", 1, []int{2},
		},
		"run gone mid-stream": {
			[]script{{events: tokenEvents(1, 2), endErr: errLinkBroken}, {resumeErr: ErrRunNotFound}}, 2, CodeUpstreamLost, Partial, 1, nil,
		},
		"engine dead mid-stream": {
			[]script{{events: tokenEvents(1, 2), endErr: errLinkBroken}, {resumeErr: ErrNotSent}}, 2, CodeUpstreamLost, Partial, 1, nil,
		},
		"end mark with too few": {
			[]script{{events: append(tokenEvents(1, 5), endEvent(3))}}, 5, CodeBadStream, Partial, 1, nil,
		},
		"cancelled by the engine": {
			[]script{{events: append(tokenEvents(1, 2), StreamEvent{Kind: EventEnd, End: RunResult{CompletionTokens: 2}})}},
			2, CodeBadStream, Partial, 1, nil,
		},
	} {
		t.Run(name, func(t *testing.T) {
			withSite(t, c.scripts, twoEngines, func(t *testing.T, s *fakeSite, e *Entry) {
				is := is.New(t)
				sink := &fakeSink{}
				start := time.Now()
				_, err := e.Generate(s.ctx, quoteRequest(), sink)
				var failure *Failure
				if errors.As(err, &failure) {
					is.Equal(failure.Code, c.wantCode)
					is.Equal(failure.RunState, c.wantRunState)
				} else {
					is.NoErr(err)
					is.Equal(Code(""), c.wantCode)
				}
				is.Equal(len(sink.indexes), c.wantTokens)
				for i, index := range sink.indexes {
					is.Equal(index, i+1) // in order, each once
				}
				is.Equal(s.engines.totalStarts(), c.wantStarts)
				is.Equal(s.engines.resumed, c.wantResumes)
				is.True(time.Since(start) < 5*time.Second) // gives up without waiting for the deadline
			})
		})
	}
}

// TestResumeAtAnotherEntry resumes a generation by its id alone. Only the account that owns the
// generation may resume it.
func TestResumeAtAnotherEntry(t *testing.T) {
	withSite(t, []script{{events: append(tokenEvents(3, 5), endEvent(5))}}, oneEngine, func(t *testing.T, s *fakeSite, e *Entry) {
		is := is.New(t)
		id := newGenerationID([]byte("key"), runLocation{Engine: "g1", Run: "r", Account: "counter", Route: "quote"})
		sink := &fakeSink{}
		_, err := e.Resume(s.ctx, "another", id.EventID(2), sink)
		var failure *Failure
		is.True(errors.As(err, &failure))
		is.Equal(failure.Code, CodeBadGenerationID)
		is.Equal(len(sink.indexes), 0)
		_, err = e.Resume(s.ctx, "counter", id.EventID(2), sink)
		is.NoErr(err)
		is.Equal(sink.indexes, []int{3, 4, 5})
	})
}

// TestNoRetryAfterFirstToken checks that a generation isn't started a second time once its caller
// has received a token.
func TestNoRetryAfterFirstToken(t *testing.T) {
	lost := []script{{events: tokenEvents(1, 1), endErr: errLinkBroken}, {resumeErr: ErrRunNotFound}}
	withSite(t, lost, twoEngines, func(t *testing.T, s *fakeSite, e *Entry) {
		is := is.New(t)
		sink := &fakeSink{}
		_, err := e.Generate(s.ctx, quoteRequest(), sink)
		var failure *Failure
		is.True(errors.As(err, &failure))
		is.Equal(failure.RunState, Partial)
		is.Equal(s.engines.totalStarts(), 1)
	})
}

// TestRetryBudget checks that the retry budget bounds the retries when every call fails.
func TestRetryBudget(t *testing.T) {
	always := []script{{startErr: errLinkBroken}}
	withSite(t, always, twoEngines, func(t *testing.T, s *fakeSite, e *Entry) {
		is := is.New(t)
		const calls = 50
		for range calls {
			_, err := e.Generate(s.ctx, quoteRequest(), &fakeSink{})
			is.True(err != nil)
		}
		is.True(s.engines.totalStarts() <= calls+retryReserve)
	})
}

// TestLeavingEngine checks that each way of learning that an engine leaves keeps new work off the
// engine within 3 s, while its running work completes.
func TestLeavingEngine(t *testing.T) {
	whole := []script{{events: append(tokenEvents(1, 5), endEvent(5))}}
	for name, sign := range map[string]func(s *fakeSite, e *Entry) error{
		"host list": func(s *fakeSite, _ *Entry) error {
			s.hosts.update(markG1Leaving)
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
		"drain order": func(s *fakeSite, e *Entry) error { return proposeDrain(s, e, "g1") },
		"a peer's word": func(_ *fakeSite, e *Entry) error {
			e.OnHeartbeat(time.Now(), Heartbeat{From: peerEntry, LeavingUpstreams: []policy.EngineID{"g1"}})
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			withSite(t, whole, oneEngine, func(t *testing.T, s *fakeSite, e *Entry) {
				is := is.New(t)
				s.engines.mu.Lock()
				s.engines.holdOpen = make(chan struct{})
				s.engines.mu.Unlock()
				running := make(chan error)
				sink := &fakeSink{}
				go func() {
					_, err := e.Generate(s.ctx, quoteRequest(), sink)
					running <- err
				}()
				time.Sleep(time.Second)
				is.NoErr(sign(s, e))
				time.Sleep(3 * time.Second)
				_, err := e.Generate(s.ctx, quoteRequest(), &fakeSink{})
				var failure *Failure
				is.True(errors.As(err, &failure))
				is.Equal(failure.RunState, NotRun)
				is.Equal(s.engines.totalStarts(), 1)
				close(s.engines.holdOpen)
				is.NoErr(<-running)
				is.Equal(sink.indexes, []int{1, 2, 3, 4, 5})
			})
		})
	}
}

// TestStopLetsCallsEnd checks that a stopping entry takes calls during the grace period, refuses
// them afterwards, and waits for the running ones.
func TestStopLetsCallsEnd(t *testing.T) {
	withSite(t, []script{{events: append(tokenEvents(1, 5), endEvent(5))}}, oneEngine, func(t *testing.T, s *fakeSite, e *Entry) {
		is := is.New(t)
		s.engines.mu.Lock()
		s.engines.holdOpen = make(chan struct{})
		s.engines.mu.Unlock()
		running := make(chan error, 2)
		generate := func() {
			_, err := e.Generate(s.ctx, quoteRequest(), &fakeSink{})
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
		go generate() // within the grace period
		time.Sleep(2 * time.Second)
		_, err := e.Generate(s.ctx, quoteRequest(), &fakeSink{})
		var failure *Failure
		is.True(errors.As(err, &failure))
		is.Equal(failure.Code, CodeLeaving)
		is.Equal(failure.RunState, NotRun)
		is.True(failure.RetryAfter > 0)
		synctest.Wait()
		select {
		case <-stopped:
			t.Fatal("Stop returned while generations were still running")
		default:
		}
		close(s.engines.holdOpen)
		is.NoErr(<-running)
		is.NoErr(<-running)
		<-stopped
	})
}
