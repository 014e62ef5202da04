// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"errors"
	"fmt"
	"iter"
	"maps"
	"sync"
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// script is what one engine does with each reading of a run, in order. The
// last one is repeated.
type script struct {
	// startErr and resumeErr refuse the reading.
	startErr, resumeErr error
	events              []StreamEvent
	// endErr breaks the link after the events.
	endErr error
	// ends has the engine end, so that it can't be reached any more.
	ends bool
}

// fakeEngines are engines that follow scripts.
type fakeEngines struct {
	mu sync.Mutex
	// scripts are followed in order, whichever engine is asked.
	scripts []script
	// started and resumed count the calls that reached an engine.
	started map[member.UpstreamID]int
	resumed []int
	// orders are those taken, as "ENGINE VERSION".
	orders []string
	loads  map[member.UpstreamID]EngineLoad
	// ended are the engines that have.
	ended map[member.UpstreamID]bool
	// hold keeps a stream open until it closes.
	hold chan struct{}
}

func newFakeEngines() *fakeEngines {
	return &fakeEngines{
		started: map[member.UpstreamID]int{}, loads: map[member.UpstreamID]EngineLoad{}, ended: map[member.UpstreamID]bool{},
	}
}

func (f *fakeEngines) next() script {
	first := f.scripts[0]
	if len(f.scripts) > 1 {
		f.scripts = f.scripts[1:]
	}
	return first
}

func (f *fakeEngines) Start(_ context.Context, u member.Upstream, r RunRequest) (Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended[u.ID] {
		return nil, ErrNotSent
	}
	s := f.next()
	f.ended[u.ID] = s.ends
	if s.startErr != nil && errors.Is(s.startErr, ErrNotSent) {
		return nil, s.startErr
	}
	f.started[u.ID]++
	if s.startErr != nil {
		return nil, s.startErr
	}
	return &fakeStream{run: r.Run, script: s, hold: f.hold}, nil
}

// startedBy counts the starts that reached each engine.
func (f *fakeEngines) startedBy() map[member.UpstreamID]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.started)
}

func (f *fakeEngines) Resume(_ context.Context, _ member.Upstream, run policy.RunID, after int) (Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.next()
	if s.resumeErr != nil {
		return nil, s.resumeErr
	}
	f.resumed = append(f.resumed, after)
	return &fakeStream{run: run, script: s, hold: f.hold}, nil
}

func (f *fakeEngines) Load(_ context.Context, u member.Upstream) (EngineLoad, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	load, known := f.loads[u.ID]
	if !known {
		return load, errLost
	}
	load.Engine = u.ID
	return load, nil
}

func (f *fakeEngines) CacheEvents(context.Context, member.Upstream, uint64) ([]policy.CacheEvent, error) {
	return nil, nil
}

func (f *fakeEngines) Order(_ context.Context, u member.Upstream, o Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	load := f.loads[u.ID]
	load.Models = maps.Clone(load.Models)
	if load.Models == nil {
		load.Models = map[string]string{}
	}
	load.Models[o.Model] = o.Version
	f.loads[u.ID] = load
	f.orders = append(f.orders, string(u.ID)+" "+o.Version)
	return nil
}

func (f *fakeEngines) setRunning(id member.UpstreamID, running int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	load := f.loads[id]
	load.Running = running
	f.loads[id] = load
}

// taken returns the orders taken so far and forgets them.
func (f *fakeEngines) taken() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	taken := f.orders
	f.orders = nil
	return taken
}

// fakeLeases gives the lease to whoever asks while nobody holds it.
type fakeLeases struct {
	mu    sync.Mutex
	token uint64
	held  map[string]bool
	// failing says that the platform doesn't answer.
	failing bool
}

// fail has the platform not answer any more.
func (l *fakeLeases) fail() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failing = true
}

func (l *fakeLeases) Acquire(_ context.Context, key, _ string, ttl time.Duration) (Lease, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held[key] {
		return Lease{}, nil
	}
	if l.held == nil {
		l.held = map[string]bool{}
	}
	l.held[key] = true
	l.token++
	return Lease{Key: key, Token: l.token, TTL: ttl}, nil
}

func (l *fakeLeases) Renew(context.Context, Lease) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failing {
		return errLost
	}
	return nil
}

func (l *fakeLeases) Release(_ context.Context, lease Lease) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.held, lease.Key)
	return nil
}

func (f *fakeEngines) totalStarted() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := 0
	for _, n := range f.started {
		total += n
	}
	return total
}

type fakeStream struct {
	run    policy.RunID
	script script
	hold   chan struct{}
}

func (s *fakeStream) Events(idle func()) iter.Seq2[StreamEvent, error] {
	return func(yield func(StreamEvent, error) bool) {
		for i, event := range s.script.events {
			if s.hold != nil && i == len(s.script.events)-1 {
				idle()
				<-s.hold
			}
			if event.Run == "" {
				event.Run = s.run
			}
			if !yield(event, nil) {
				return
			}
		}
		idle()
		if s.script.endErr != nil {
			yield(StreamEvent{}, s.script.endErr)
		}
	}
}

func (s *fakeStream) Close() {}

func tokens(from, to int) []StreamEvent {
	var events []StreamEvent
	for i := from; i <= to; i++ {
		events = append(events, StreamEvent{Index: i, Data: fmt.Sprint(i)})
	}
	return events
}

func ended(count int) StreamEvent {
	return StreamEvent{Kind: EventEnd, Index: count, End: RunResult{Complete: true, CompletionTokens: count}}
}

// fakeSink gathers what reached the caller.
type fakeSink struct {
	mu   sync.Mutex
	id   GenerationID
	got  []int
	fail error
}

func (s *fakeSink) Begin(id GenerationID) error {
	s.id = id
	return nil
}

func (s *fakeSink) Token(index int, _ string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.got = append(s.got, index)
	return s.fail
}

func (s *fakeSink) Flush() error { return nil }

// fakeServices counts the calls that reach an upstream.
type fakeServices struct {
	mu    sync.Mutex
	calls map[string]int
	// err is what each call ends with, after it was counted unless it wraps
	// ErrNotSent.
	err   error
	delay time.Duration
	// backoff has each upstream answer 503 and ask for so long.
	backoff time.Duration
}

func (f *fakeServices) setBackoff(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backoff = d
}

func (f *fakeServices) Call(ctx context.Context, _ member.Upstream, r ServiceRequest) (ServiceAnswer, error) {
	f.mu.Lock()
	err, delay, backoff := f.err, f.delay, f.backoff
	if !errors.Is(err, ErrNotSent) {
		f.calls[r.IdempotencyKey]++
	}
	f.mu.Unlock()
	pause(ctx, delay)
	if backoff > 0 {
		return ServiceAnswer{Status: 503, RetryAfter: backoff}, err
	}
	return ServiceAnswer{Status: 200}, err
}

func (f *fakeServices) count(key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[key]
}
