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

// script is an engine's behaviour for one call of Start or Resume. Scripts are used in order; the
// last one is repeated.
type script struct {
	// startErr and resumeErr are returned by Start and Resume.
	startErr, resumeErr error
	events              []StreamEvent
	// endErr breaks the stream after the events.
	endErr error
	// crashes makes the engine unreachable from then on.
	crashes bool
}

// fakeEngines is a set of engines that follow scripts.
type fakeEngines struct {
	mu sync.Mutex
	// scripts are used in order by all engines together.
	scripts []script
	// started counts the Start calls that reached each engine, and resumed holds the last received
	// index of each successful Resume call.
	started map[member.UpstreamID]int
	resumed []int
	// orders are the orders received, as "ENGINE VERSION".
	orders []string
	loads  map[member.UpstreamID]EngineLoad
	// crashed holds the engines that have crashed.
	crashed map[member.UpstreamID]bool
	// holdOpen, if set, delays the last event of each stream until the channel is closed.
	holdOpen chan struct{}
}

func newFakeEngines() *fakeEngines {
	return &fakeEngines{
		started: map[member.UpstreamID]int{}, loads: map[member.UpstreamID]EngineLoad{}, crashed: map[member.UpstreamID]bool{},
	}
}

func (f *fakeEngines) nextScript() script {
	next := f.scripts[0]
	if len(f.scripts) > 1 {
		f.scripts = f.scripts[1:]
	}
	return next
}

func (f *fakeEngines) Start(_ context.Context, u member.Upstream, r RunRequest) (Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crashed[u.ID] {
		return nil, ErrNotSent
	}
	s := f.nextScript()
	f.crashed[u.ID] = s.crashes
	if s.startErr != nil && errors.Is(s.startErr, ErrNotSent) {
		return nil, s.startErr
	}
	f.started[u.ID]++
	if s.startErr != nil {
		return nil, s.startErr
	}
	return &fakeStream{run: r.Run, script: s, holdOpen: f.holdOpen}, nil
}

// startsByEngine returns the number of Start calls that reached each engine.
func (f *fakeEngines) startsByEngine() map[member.UpstreamID]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.started)
}

func (f *fakeEngines) Resume(_ context.Context, _ member.Upstream, run policy.RunID, afterIndex int) (Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.nextScript()
	if s.resumeErr != nil {
		return nil, s.resumeErr
	}
	f.resumed = append(f.resumed, afterIndex)
	return &fakeStream{run: run, script: s, holdOpen: f.holdOpen}, nil
}

func (f *fakeEngines) Load(_ context.Context, u member.Upstream) (EngineLoad, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	load, known := f.loads[u.ID]
	if !known {
		return load, errAnswerLost
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

// takeOrders returns the orders received since its last call.
func (f *fakeEngines) takeOrders() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	orders := f.orders
	f.orders = nil
	return orders
}

// fakeLeases grants a lease to the first holder that asks for it.
type fakeLeases struct {
	mu    sync.Mutex
	token uint64
	held  map[string]bool
	// renewalsFail makes Renew fail, as if the platform didn't answer.
	renewalsFail bool
}

// failRenewals makes all later renewals fail.
func (l *fakeLeases) failRenewals() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renewalsFail = true
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
	if l.renewalsFail {
		return errAnswerLost
	}
	return nil
}

func (l *fakeLeases) Release(_ context.Context, lease Lease) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.held, lease.Key)
	return nil
}

func (f *fakeEngines) totalStarts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := 0
	for _, n := range f.started {
		total += n
	}
	return total
}

type fakeStream struct {
	run      policy.RunID
	script   script
	holdOpen chan struct{}
}

func (s *fakeStream) Events(idle func()) iter.Seq2[StreamEvent, error] {
	return func(yield func(StreamEvent, error) bool) {
		for i, event := range s.script.events {
			if s.holdOpen != nil && i == len(s.script.events)-1 {
				idle()
				<-s.holdOpen
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

func tokenEvents(from, to int) []StreamEvent {
	var events []StreamEvent
	for i := from; i <= to; i++ {
		events = append(events, StreamEvent{Index: i, Data: fmt.Sprint(i)})
	}
	return events
}

func endEvent(count int) StreamEvent {
	return StreamEvent{Kind: EventEnd, Index: count, End: RunResult{Complete: true, CompletionTokens: count}}
}

// fakeSink records the tokens that reach the caller.
type fakeSink struct {
	mu       sync.Mutex
	id       GenerationID
	indexes  []int
	tokenErr error
}

func (s *fakeSink) Begin(id GenerationID) error {
	s.id = id
	return nil
}

func (s *fakeSink) Token(index int, _ string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.indexes = append(s.indexes, index)
	return s.tokenErr
}

func (s *fakeSink) Flush() error { return nil }

// fakeServices counts the calls that reach an upstream, by idempotency key.
type fakeServices struct {
	mu    sync.Mutex
	calls map[string]int
	// err is the result of each call. A call is counted unless err wraps ErrNotSent.
	err   error
	delay time.Duration
	// backoff, if set, makes each upstream answer 503 with this Retry-After.
	backoff time.Duration
	// failNth, if positive, makes the nth call with a key be answered with 500.
	failNth int
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
	fails := f.failNth > 0 && f.calls[r.IdempotencyKey] == f.failNth
	f.mu.Unlock()
	sleepContext(ctx, delay)
	if backoff > 0 {
		return ServiceAnswer{Status: 503, RetryAfter: backoff}, err
	}
	if fails {
		return ServiceAnswer{Status: 500}, nil
	}
	return ServiceAnswer{Status: 200}, err
}

func (f *fakeServices) count(key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[key]
}
