// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tmaxmax/go-sse"

	"github.com/shedpath/shedpath/entry"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
	standin "github.com/shedpath/shedpath/standin/engine"
)

// newStandinEngine starts a stand-in engine and returns a client, the engine and
// its upstream.
func newStandinEngine(t *testing.T) (*Client, *standin.Server, member.Upstream) {
	t.Helper()
	settings := standin.DefaultSettings()
	settings.StepBase, settings.StepPerRun, settings.PrefillPerToken = time.Millisecond, 0, 0
	model := standin.New(standin.WithSettings(settings))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		model.Run(ctx)
	}()
	server := httptest.NewServer(model)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		cancel()
		<-done
	})
	return New(), model, member.Upstream{ID: "g1", Address: strings.TrimPrefix(server.URL, "http://")}
}

func newRunRequest(run policy.RunID) entry.RunRequest {
	return entry.RunRequest{
		Run: run, ID: "gen_1", Shape: entry.ShapeCompletion,
		Body: []byte(`{"model":"m","prompt":"x","max_tokens":20,"ignore_eos":true,"stream":true}`),
	}
}

// collectEvents reads a stream to its end or first error and closes it.
func collectEvents(s entry.Stream) (indexes []int, end *entry.RunResult, err error) {
	defer s.Close()
	for event, err := range s.Events(func() {}) {
		if err != nil {
			return indexes, end, err
		}
		if event.Kind == entry.EventEnd {
			end = &event.End
			continue
		}
		indexes = append(indexes, event.Index)
	}
	return indexes, end, nil
}

func TestStartAndResume(t *testing.T) {
	is := is.New(t)
	c, _, u := newStandinEngine(t)
	stream, err := c.Start(t.Context(), u, newRunRequest("r1"))
	is.NoErr(err)
	indexes, end, err := collectEvents(stream)
	is.NoErr(err)
	is.Equal(len(indexes), 20)
	is.Equal(*end, entry.RunResult{Complete: true, PromptTokens: 1, CompletionTokens: 20})
	stream, err = c.Resume(t.Context(), u, "r1", 15)
	is.NoErr(err)
	indexes, end, err = collectEvents(stream)
	is.NoErr(err)
	is.Equal(indexes, []int{16, 17, 18, 19, 20})
	is.True(end.Complete)
	_, err = c.Resume(t.Context(), u, "none", 0)
	is.True(errors.Is(err, entry.ErrRunNotFound))
}

func TestSameRunTwiceIsRefused(t *testing.T) {
	is := is.New(t)
	c, model, u := newStandinEngine(t)
	stream, err := c.Start(t.Context(), u, newRunRequest("r1"))
	is.NoErr(err)
	defer stream.Close()
	_, err = c.Start(t.Context(), u, newRunRequest("r1"))
	var refused *entry.EngineRefusal
	is.True(errors.As(err, &refused))
	is.Equal(refused.Status, http.StatusConflict)
	is.Equal(model.RunsStarted(), 1)
}

func TestSilentStream(t *testing.T) {
	is := is.New(t)
	c, model, u := newStandinEngine(t)
	WithIdleTimeout(50 * time.Millisecond)(c)
	model.SetFaults(standin.Faults{StallAfter: 5})
	stream, err := c.Start(t.Context(), u, newRunRequest("r1"))
	is.NoErr(err)
	indexes, _, err := collectEvents(stream)
	is.True(errors.Is(err, entry.ErrStreamIdle))
	is.Equal(len(indexes), 5)
}

func TestLoadCacheAndOrders(t *testing.T) {
	is := is.New(t)
	c, model, u := newStandinEngine(t)
	request := newRunRequest("r1")
	request.Prefix, request.PrefixTokens = "ff", 1
	stream, err := c.Start(t.Context(), u, request)
	is.NoErr(err)
	_, _, err = collectEvents(stream)
	is.NoErr(err)
	events, err := c.CacheEvents(t.Context(), u, 0)
	is.NoErr(err)
	is.Equal(events, []policy.CacheEvent{{Seq: 1, Prefix: 255, Tokens: 1, Added: true}})
	is.NoErr(c.Order(t.Context(), u, entry.Order{Token: 5, Model: "m", Version: "2"}))
	is.True(c.Order(t.Context(), u, entry.Order{Token: 4, Model: "m", Version: "1"}) != nil) // the fencing token is older than the last one
	model.Leave()
	load, err := c.Load(t.Context(), u)
	is.NoErr(err)
	is.Equal(load.TotalMemory, policy.Tokens(standin.DefaultSettings().MemoryTokens))
	is.Equal(load.Models, map[string]string{"m": "2"})
	is.True(load.Leaving)
}

// TestStartFailures checks that the error of Start distinguishes a request that
// certainly wasn't run from one that may have been.
func TestStartFailures(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		notSent bool
		status  int
	}{
		"nobody listens": {nil, true, 0},
		"link broken":    {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, false, 0},
		"full": {func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "full", http.StatusServiceUnavailable)
		}, false, 503},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := member.Upstream{Address: closed.Addr().String()}
			if c.handler != nil {
				server := httptest.NewServer(c.handler)
				defer server.Close()
				u.Address = strings.TrimPrefix(server.URL, "http://")
			}
			_, err := New().Start(t.Context(), u, newRunRequest("r1"))
			is.Equal(errors.Is(err, entry.ErrNotSent), c.notSent)
			var refused *entry.EngineRefusal
			if errors.As(err, &refused) {
				is.Equal(refused.Status, c.status)
			} else {
				is.Equal(c.status, 0)
			}
		})
	}
}

// FuzzEvents checks that arbitrary bytes from an engine are decoded to an error
// or to events that name a run, unless the event's id begins with "/".
func FuzzEvents(f *testing.F) {
	f.Add("id: r/1\ndata: x\n\nevent: end\nid: r/1\ndata: {\"state\":\"done\",\"completion_tokens\":1}\n\n")
	f.Add("id: r\ndata: x\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		for raw, err := range sse.Read(strings.NewReader(text), nil) {
			if err != nil {
				return
			}
			if event, err := decodeEvent(raw); err == nil && event.Run == "" && !strings.HasPrefix(raw.LastEventID, "/") {
				t.Fatalf("the event with the id %q was decoded to %+v, which names no run", raw.LastEventID, event)
			}
		}
	})
}
