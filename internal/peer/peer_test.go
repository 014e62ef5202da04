// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/shedpath/shedpath/entry"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/resource"
)

var testKey = []byte("a key of the test")

// recorder is a handler that keeps what it was given.
type recorder struct {
	mu    sync.Mutex
	from  member.HostID
	pool  resource.Name
	heard entry.Heartbeat
	asked []policy.Request
	done  []policy.Finish
	runs  []entry.PlacedRun
	told  []policy.Decision
	down  member.HostID
	// block holds OnPlace back until it closes.
	block chan struct{}
}

func (r *recorder) OnHeartbeat(_ time.Time, h entry.Heartbeat) entry.Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard = h
	return entry.Heartbeat{From: member.Entry{ID: "b"}, Revision: 9}
}

func (r *recorder) OnPlace(_ context.Context, from member.HostID, pool resource.Name, asked []policy.Request) ([]policy.Decision, error) {
	if r.block != nil {
		<-r.block
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.from, r.pool, r.asked = from, pool, asked
	if pool == "none" {
		return nil, errors.New("no such pool")
	}
	return []policy.Decision{{
		Run: asked[0].Run, Verdict: policy.Refused, Reason: policy.ReasonDeadline, RetryAfter: time.Second,
	}}, nil
}

func (r *recorder) OnDecided(_ context.Context, _ member.HostID, _ resource.Name, told []policy.Decision) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told = told
	return nil
}

func (r *recorder) OnFinished(_ context.Context, _ resource.Name, done []policy.Finish) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done = done
	return nil
}

func (r *recorder) OnRunning(_ context.Context, _ member.HostID, _ resource.Name, runs []entry.PlacedRun) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = runs
	return nil
}

func (r *recorder) OnLinkDown(from member.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = from
}

func (r *recorder) OnLog(after resource.Revision) entry.LogTail {
	if after == 0 {
		return entry.LogTail{Snapshot: &resource.Snapshot{Revision: 3, Resources: []resource.Resource{
			{Kind: resource.Routes, Name: "quote", Revision: 2, Spec: json.RawMessage(`{"model":"m"}`)},
		}}}
	}
	return entry.LogTail{Entries: []resource.LogEntry{{Revision: after + 1, Operation: "op"}}}
}

// serveTo starts a mesh that serves the handler and returns its address.
func serveTo(t *testing.T, h entry.PeerHandler, refused func(error)) member.Entry {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = NewMesh("b", testKey).Serve(ctx, listener, h, refused)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return member.Entry{ID: "b", PeerAddress: listener.Addr().String()}
}

func newCaller(t *testing.T, key []byte) *Mesh {
	t.Helper()
	m := NewMesh("a", key)
	t.Cleanup(m.Close)
	return m
}

func ignore(error) {}

func TestCalls(t *testing.T) {
	is := is.New(t)
	h := &recorder{}
	to, m, ctx := serveTo(t, h, ignore), newCaller(t, testKey), t.Context()
	beat := entry.Heartbeat{
		From: member.Entry{ID: "a", Zone: "az1", PeerAddress: "10.0.0.1:1"}, Revision: 7, Leaving: true,
		LeavingUpstreams: []member.UpstreamID{"g1"},
		Zones:            []entry.ZoneStatus{{Zone: "az2", Revision: 6, Entries: 3, Age: time.Second}},
		Pools: []entry.PoolStatus{{Pool: "desk", Zone: "az1", Free: 5, Waiting: 2, Reports: []policy.Report{
			{Engine: "g1", TotalMemory: 100, UsedMemory: 50, Running: 4, Waiting: 1, StepTime: 20 * time.Millisecond},
		}}},
	}
	answer, err := m.Heartbeat(ctx, to, beat)
	is.NoErr(err)
	is.Equal(answer.Revision, resource.Revision(9))
	is.Equal(h.heard, beat)

	asked := policy.Request{
		Run: "r", Route: "quote", Account: "c", Priority: -3, PromptTokens: 10, MaxOutputTokens: 20, Prefix: 1 << 63, PrefixTokens: 4,
		QueueBytes: 9, Deadline: time.Now().Add(time.Minute), PreviousEngine: "g2",
	}
	decisions, err := m.Place(ctx, to, "desk", []policy.Request{asked})
	is.NoErr(err)
	is.Equal(decisions[0].RetryAfter, time.Second)
	is.Equal(h.from, member.HostID("a"))
	drift := h.asked[0].Deadline.Sub(asked.Deadline)
	is.True(drift >= 0 && drift < time.Minute) // what was left, not the clock's time
	h.asked[0].Deadline = asked.Deadline
	is.Equal(h.asked[0], asked)

	_, err = m.Place(ctx, to, "none", []policy.Request{asked})
	var refused *callError
	is.True(errors.As(err, &refused)) // the link stays up
	is.NoErr(m.Decided(ctx, to, "desk", []policy.Decision{{Run: "r", Verdict: policy.Granted, Engine: "g", Priority: 2}}))
	is.Equal(h.told[0].Engine, member.UpstreamID("g"))
	is.NoErr(m.Finished(ctx, to, "desk", []policy.Finish{{Run: "r", GeneratedTokens: 4, Complete: true}}))
	is.Equal(h.done, []policy.Finish{{Run: "r", GeneratedTokens: 4, Complete: true}})
	is.NoErr(m.Running(ctx, to, "desk", []entry.PlacedRun{{Request: asked, Engine: "g", Made: 3}}))
	is.Equal(h.runs[0].Made, policy.Tokens(3))

	tail, err := m.Log(ctx, to, 0)
	is.NoErr(err)
	is.Equal(tail.Snapshot.Resources[0].Name, resource.Name("quote"))
	tail, err = m.Log(ctx, to, 4)
	is.NoErr(err)
	is.Equal(tail.Entries[0].Revision, resource.Revision(5))
}

// TestSlowCallHoldsNoOther has a heartbeat pass while a call is held back, and
// the held call ends with its context.
func TestSlowCallHoldsNoOther(t *testing.T) {
	is := is.New(t)
	h := &recorder{block: make(chan struct{})}
	to, m := serveTo(t, h, ignore), newCaller(t, testKey)
	ctx, cancel := context.WithCancel(t.Context())
	held := make(chan error)
	go func() {
		_, err := m.Place(ctx, to, "desk", []policy.Request{{Run: "r"}})
		held <- err
	}()
	_, err := m.Heartbeat(t.Context(), to, entry.Heartbeat{})
	is.NoErr(err)
	cancel()
	is.True(errors.Is(<-held, context.Canceled))
	close(h.block)
	_, err = m.Heartbeat(t.Context(), to, entry.Heartbeat{})
	is.NoErr(err)
}

func TestWrongKey(t *testing.T) {
	is := is.New(t)
	refused := make(chan error, 1)
	h := &recorder{}
	to := serveTo(t, h, func(err error) { refused <- err })
	_, err := newCaller(t, []byte("another key")).Heartbeat(t.Context(), to, entry.Heartbeat{})
	is.True(err != nil)
	is.True(<-refused != nil)
	is.Equal(h.heard.From.ID, member.HostID("")) // nothing was handled
}

// TestBrokenLink ends the calls under way and dials anew for the next.
func TestBrokenLink(t *testing.T) {
	is := is.New(t)
	h := &recorder{block: make(chan struct{})}
	to, m := serveTo(t, h, ignore), newCaller(t, testKey)
	held := make(chan error)
	go func() {
		_, err := m.Place(t.Context(), to, "desk", []policy.Request{{Run: "r"}})
		held <- err
	}()
	_, err := m.Heartbeat(t.Context(), to, entry.Heartbeat{})
	is.NoErr(err)
	m.mu.Lock()
	link := m.conns[to.PeerAddress]
	m.mu.Unlock()
	_ = link.net.Close()
	close(h.block)
	<-held // broken, or answered just before
	_, err = m.Heartbeat(t.Context(), to, entry.Heartbeat{})
	for err != nil {
		_, err = m.Heartbeat(t.Context(), to, entry.Heartbeat{})
	}
}

func TestNobodyListens(t *testing.T) {
	is := is.New(t)
	_, err := newCaller(t, testKey).Heartbeat(t.Context(), member.Entry{PeerAddress: "127.0.0.1:1"}, entry.Heartbeat{})
	is.True(err != nil)
}

func TestFrameLimit(t *testing.T) {
	is := is.New(t)
	_, err := readFrame(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff}))
	is.True(err != nil)
	_, err = readFrame(bytes.NewReader([]byte{0, 0, 0, 9, 1}))
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}

func FuzzFrame(f *testing.F) {
	message, err := appendFrame(nil, &frame{ID: 3, Kind: kindPlace, Body: msgpack.RawMessage{0xc0}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(message)
	f.Add([]byte{0, 0, 0, 1, 0x90})
	f.Fuzz(func(t *testing.T, text []byte) {
		got, err := readFrame(bytes.NewReader(text))
		if err != nil {
			return
		}
		again, err := appendFrame(nil, got)
		if err != nil {
			t.Skip("a body that isn't one value")
		}
		back, err := readFrame(bytes.NewReader(again))
		if err != nil || !reflect.DeepEqual(back, got) {
			t.Fatalf("%+v became %+v: %v", got, back, err)
		}
	})
}

// FuzzDispatch has any body of any call end with an answer or an error.
func FuzzDispatch(f *testing.F) {
	for k := kindHeartbeat; k <= kindLog; k++ {
		f.Add(byte(k), []byte{0x91, 0xa1, 'x'})
	}
	f.Fuzz(func(_ *testing.T, k byte, body []byte) {
		h := &fuzzHandler{}
		_, _ = dispatch(context.Background(), time.Now(), h, "a", kind(k), body)
	})
}

// fuzzHandler takes anything.
type fuzzHandler struct{ recorder }

func (*fuzzHandler) OnPlace(context.Context, member.HostID, resource.Name, []policy.Request) ([]policy.Decision, error) {
	return nil, nil
}
