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

// recordingHandler records the arguments of the calls.
type recordingHandler struct {
	mu        sync.Mutex
	from      member.HostID
	pool      resource.Name
	heartbeat entry.Heartbeat
	requests  []policy.Request
	finishes  []policy.Finish
	runs      []entry.PlacedRun
	decisions []policy.Decision
	down      member.HostID
	// unblockPlace, if not nil, blocks OnPlace until it is closed.
	unblockPlace chan struct{}
}

func (r *recordingHandler) OnHeartbeat(_ time.Time, h entry.Heartbeat) entry.Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heartbeat = h
	return entry.Heartbeat{From: member.Entry{ID: "b"}, Revision: 9}
}

func (r *recordingHandler) OnPlace(_ context.Context, from member.HostID, pool resource.Name, requests []policy.Request) ([]policy.Decision, error) {
	if r.unblockPlace != nil {
		<-r.unblockPlace
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.from, r.pool, r.requests = from, pool, requests
	if pool == "none" {
		return nil, errors.New("no such pool")
	}
	return []policy.Decision{{
		Run: requests[0].Run, Verdict: policy.Refused, Reason: policy.ReasonDeadline, RetryAfter: time.Second,
	}}, nil
}

func (r *recordingHandler) OnDecided(_ context.Context, _ member.HostID, _ resource.Name, decisions []policy.Decision) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decisions = decisions
	return nil
}

func (r *recordingHandler) OnFinished(_ context.Context, _ resource.Name, finishes []policy.Finish) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishes = finishes
	return nil
}

func (r *recordingHandler) OnRunning(_ context.Context, _ member.HostID, _ resource.Name, runs []entry.PlacedRun) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = runs
	return nil
}

func (r *recordingHandler) OnLinkDown(from member.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = from
}

func (r *recordingHandler) OnClaimRepair(_ time.Time, state entry.ClaimRepair) entry.ClaimRepair {
	return entry.ClaimRepair{Era: state.Era + 1, Unfinished: !state.Unfinished}
}

func (r *recordingHandler) OnLog(after resource.Revision) entry.LogTail {
	if after == 0 {
		return entry.LogTail{Snapshot: &resource.Snapshot{Revision: 3, Resources: []resource.Resource{
			{Kind: resource.Routes, Name: "quote", Revision: 2, Spec: json.RawMessage(`{"model":"m"}`)},
		}}}
	}
	return entry.LogTail{Entries: []resource.LogEntry{{Revision: after + 1, Operation: "op"}}}
}

// startServer starts a mesh that serves the handler, and returns its host ID and address.
func startServer(t *testing.T, h entry.PeerHandler, onRefused func(error)) member.Entry {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = NewMesh("b", testKey).Serve(ctx, listener, h, onRefused)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return member.Entry{ID: "b", PeerAddress: listener.Addr().String()}
}

func newTestMesh(t *testing.T, key []byte) *Mesh {
	t.Helper()
	m := NewMesh("a", key)
	t.Cleanup(m.Close)
	return m
}

func ignoreError(error) {}

func TestCalls(t *testing.T) {
	is := is.New(t)
	h := &recordingHandler{}
	to, m, ctx := startServer(t, h, ignoreError), newTestMesh(t, testKey), t.Context()
	heartbeat := entry.Heartbeat{
		From: member.Entry{ID: "a", Zone: "az1", PeerAddress: "10.0.0.1:1"}, Revision: 7, Leaving: true,
		LeavingUpstreams: []member.UpstreamID{"g1"},
		Zones:            []entry.ZoneStatus{{Zone: "az2", Revision: 6, Entries: 3, Age: time.Second}},
		Pools: []entry.PoolStatus{{Pool: "desk", Zone: "az1", FreeTokens: 5, Waiting: 2, Reports: []policy.Report{
			{Engine: "g1", TotalMemory: 100, UsedMemory: 50, Running: 4, Waiting: 1, StepTime: 20 * time.Millisecond},
		}}},
	}
	answer, err := m.Heartbeat(ctx, to, heartbeat)
	is.NoErr(err)
	is.Equal(answer.Revision, resource.Revision(9))
	is.Equal(h.heartbeat, heartbeat)

	asked := policy.Request{
		Run: "r", Route: "quote", Account: "c", Priority: -3, PromptTokens: 10, MaxOutputTokens: 20, Prefix: 1 << 63, PrefixTokens: 4,
		QueueBytes: 9, Deadline: time.Now().Add(time.Minute), PreviousEngine: "g2",
	}
	decisions, err := m.Place(ctx, to, "desk", []policy.Request{asked})
	is.NoErr(err)
	is.Equal(decisions[0].RetryAfter, time.Second)
	is.Equal(h.from, member.HostID("a"))
	drift := h.requests[0].Deadline.Sub(asked.Deadline)
	is.True(drift >= 0 && drift < time.Minute) // the remaining time is sent, not the time of day
	h.requests[0].Deadline = asked.Deadline
	is.Equal(h.requests[0], asked)

	_, err = m.Place(ctx, to, "none", []policy.Request{asked})
	var refused *callError
	is.True(errors.As(err, &refused)) // the connection stays up
	is.NoErr(m.Decided(ctx, to, "desk", []policy.Decision{{Run: "r", Verdict: policy.Granted, Engine: "g", Priority: 2}}))
	is.Equal(h.decisions[0].Engine, member.UpstreamID("g"))
	is.NoErr(m.Finished(ctx, to, "desk", []policy.Finish{{Run: "r", GeneratedTokens: 4, Complete: true}}))
	is.Equal(h.finishes, []policy.Finish{{Run: "r", GeneratedTokens: 4, Complete: true}})
	is.NoErr(m.Running(ctx, to, "desk", []entry.PlacedRun{{Request: asked, Engine: "g", GeneratedTokens: 3}}))
	is.Equal(h.runs[0].GeneratedTokens, policy.Tokens(3))

	tail, err := m.Log(ctx, to, 0)
	is.NoErr(err)
	is.Equal(tail.Snapshot.Resources[0].Name, resource.Name("quote"))
	tail, err = m.Log(ctx, to, 4)
	is.NoErr(err)
	is.Equal(tail.Entries[0].Revision, resource.Revision(5))
}

// TestSlowCallDoesNotBlockOthers checks that a heartbeat is answered while another call
// of the connection is blocked, and that the blocked call ends with its context.
func TestSlowCallDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	h := &recordingHandler{unblockPlace: make(chan struct{})}
	to, m := startServer(t, h, ignoreError), newTestMesh(t, testKey)
	ctx, cancel := context.WithCancel(t.Context())
	slowCall := make(chan error)
	go func() {
		_, err := m.Place(ctx, to, "desk", []policy.Request{{Run: "r"}})
		slowCall <- err
	}()
	_, err := m.Heartbeat(t.Context(), to, entry.Heartbeat{})
	is.NoErr(err)
	cancel()
	is.True(errors.Is(<-slowCall, context.Canceled))
	close(h.unblockPlace)
	_, err = m.Heartbeat(t.Context(), to, entry.Heartbeat{})
	is.NoErr(err)
}

func TestWrongKey(t *testing.T) {
	is := is.New(t)
	refused := make(chan error, 1)
	h := &recordingHandler{}
	to := startServer(t, h, func(err error) { refused <- err })
	_, err := newTestMesh(t, []byte("another key")).Heartbeat(t.Context(), to, entry.Heartbeat{})
	is.True(err != nil)
	is.True(<-refused != nil)
	is.Equal(h.heartbeat.From.ID, member.HostID("")) // no call was handled
}

// TestBrokenLink checks that a broken connection ends its pending calls and that later calls
// dial again.
func TestBrokenLink(t *testing.T) {
	is := is.New(t)
	h := &recordingHandler{unblockPlace: make(chan struct{})}
	to, m := startServer(t, h, ignoreError), newTestMesh(t, testKey)
	slowCall := make(chan error)
	go func() {
		_, err := m.Place(t.Context(), to, "desk", []policy.Request{{Run: "r"}})
		slowCall <- err
	}()
	_, err := m.Heartbeat(t.Context(), to, entry.Heartbeat{})
	is.NoErr(err)
	m.mu.Lock()
	link := m.conns[to.PeerAddress]
	m.mu.Unlock()
	_ = link.netConn.Close()
	close(h.unblockPlace)
	<-slowCall // an error, or a reply that arrived just before the break
	_, err = m.Heartbeat(t.Context(), to, entry.Heartbeat{})
	for err != nil {
		_, err = m.Heartbeat(t.Context(), to, entry.Heartbeat{})
	}
}

func TestCallToClosedPort(t *testing.T) {
	is := is.New(t)
	_, err := newTestMesh(t, testKey).Heartbeat(t.Context(), member.Entry{PeerAddress: "127.0.0.1:1"}, entry.Heartbeat{})
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
			t.Skip("the body isn't a single msgpack value")
		}
		back, err := readFrame(bytes.NewReader(again))
		if err != nil || !reflect.DeepEqual(back, got) {
			t.Fatalf("frame %+v, decoded again %+v, error %v", got, back, err)
		}
	})
}

// FuzzDispatch checks that a call with any kind and body ends with a reply or an error and doesn't
// panic.
func FuzzDispatch(f *testing.F) {
	for k := kindHeartbeat; k <= kindLog; k++ {
		f.Add(byte(k), []byte{0x91, 0xa1, 'x'})
	}
	f.Add(byte(kindClaimRepair), []byte{0x92, 0x01, 0xc3})
	f.Fuzz(func(_ *testing.T, k byte, body []byte) {
		h := &fuzzHandler{}
		_, _ = dispatchEntryCall(context.Background(), time.Now(), h, "a", callKind(k), body)
	})
}

// fuzzHandler accepts any arguments.
type fuzzHandler struct{ recordingHandler }

func (*fuzzHandler) OnPlace(context.Context, member.HostID, resource.Name, []policy.Request) ([]policy.Decision, error) {
	return nil, nil
}
