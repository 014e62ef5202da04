// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/clock/clocktest"
)

// panicReader panics where its reader returns an error.
type panicReader struct{ io.Reader }

func (r panicReader) Read(p []byte) (int, error) {
	if n, err := r.Reader.Read(p); err == nil {
		return n, nil
	}
	panic("a mistake")
}

// TestRequestPanics checks that a request whose handling panics gets a final answer that says
// that it may have run, and the host goes on serving all others.
func TestRequestPanics(t *testing.T) {
	sends := func(context.Context, Upstream, *UpstreamRequest) (*Response, error) { panic("a mistake") }
	midway := func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
		a := answer(200, "")
		a.ContentLength = -1
		a.Body = io.NopCloser(panicReader{&twoEventReader{}})
		return a, nil
	}
	for name, c := range map[string]struct {
		path string
		send func(context.Context, Upstream, *UpstreamRequest) (*Response, error)
		cut  bool
		code Code
	}{
		"a call":                         {"/order/", sends, false, CodeLost},
		"a call that may be repeated":    {"/status/", sends, false, CodeLost},
		"a stream":                       {"/llm/", sends, false, CodeInternal},
		"a stream that has begun":        {"/llm/", midway, true, ""},
		"a call's answer that is midway": {"/order/", midway, false, CodeLost},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, sink := newForwarder(t, &fakeTransport{send: c.send}), &fakeSink{}
			journal := &recordingJournal{}
			f.journal = journal
			f.Serve(t.Context(), call(c.path), sink)
			is.True(len(journal.linesWithPrefix("panicked")) > 0)
			is.Equal(sink.truncated, c.cut)
			if !c.cut {
				is.Equal(*sink.refused, Refusal{Code: c.code, MayHaveRun: true})
			}
			is.Equal(len(f.inFlight), 0)
		})
	}
}

// twoEventReader returns the first two events of a stream, and then io.EOF.
type twoEventReader struct{ done bool }

func (e *twoEventReader) Read(p []byte) (int, error) {
	if e.done {
		return 0, io.EOF
	}
	e.done = true
	return copy(p, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), nil
}

// TestTaskPanics checks that a panic in a goroutine that belongs to no request is reported, and that the
// host goes on serving: when an engine's health answer can't be handled, and when a peer's reply can't.
func TestTaskPanics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		transport := &fakeTransport{send: func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
			a := answer(200, "id: 1\ndata: a\n\n")
			a.Signals.Closing = true
			return a, nil
		}}
		transport.checkHealth = func(Upstream) (bool, error) { panic("a mistake") }
		f, sink, journal := newForwarder(t, transport), &fakeSink{}, &recordingJournal{}
		f.journal = journal
		f.updatePlacementEngines(f.now(), f.Table())
		f.Serve(t.Context(), call("/llm/"), sink)
		synctest.Wait()
		is.Equal(len(journal.linesWithPrefix("panicked task=probe why=a mistake")), 1)
		is.Equal(sink.status, 200)

		f.peers.seeds = []string{"10.0.0.2:1"}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			f.RunPeers(ctx, panickyPeers{})
		}()
		time.Sleep(5 * time.Second)
		is.True(len(journal.linesWithPrefix("panicked task=share why=a mistake")) > 1)
		cancel()
		<-ended
	})
}

// TestPlacementPanics checks that the placement goes on after a panic in its loop or in a check of an upstream, and that
// each panic is reported when it happens.
func TestPlacementPanics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		machine := clocktest.NewMachine(t)
		transport := &fakeTransport{checkReachable: func(Upstream) error { panic("a mistake") }, checkHealth: func(Upstream) (bool, error) { panic("a mistake") }}
		f, journal := newForwarder(t, transport), &panickyJournal{event: "was suspended"}
		f.journal = journal
		f.setClock(machine.Clock())
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			f.tasks.Loop(ctx, "placement", f.Run)
		}()
		time.Sleep(2 * time.Second)
		f.fleet.MarkUnreached(f.now(), "llm2")
		time.Sleep(5 * time.Second)
		is.True(len(journal.linesWithPrefix("panicked task=unreached upstream why=a mistake")) > 1)

		machine.Suspend(time.Second)
		time.Sleep(5 * time.Second)
		is.Equal(len(journal.linesWithPrefix("panicked task=placement why=a mistake")), 1)
		machine.Suspend(time.Second)
		time.Sleep(5 * time.Second)
		is.Equal(len(journal.linesWithPrefix("panicked task=placement why=a mistake")), 2) // the loop ran again
		cancel()
		<-ended
	})
}

// panickyJournal panics when one event is recorded.
type panickyJournal struct {
	recordingJournal
	event string
}

func (j *panickyJournal) HostEvent(event string, keyvals ...any) {
	if event == j.event {
		panic("a mistake")
	}
	j.recordingJournal.HostEvent(event, keyvals...)
}

// panickyPeers panics in each call.
type panickyPeers struct{ Peers }

func (panickyPeers) Share(context.Context, Peer, Share) (Share, error) { panic("a mistake") }
