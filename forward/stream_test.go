// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
)

// TestStream checks that the events of a stream are passed on unchanged, and an answer that
// breaks off never looks complete.
func TestStream(t *testing.T) {
	const two = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for name, c := range map[string]struct {
		body io.Reader
		want string
		cut  bool
		code Code
	}{
		"whole":                     {strings.NewReader(two), two, false, ""},
		"windows line ends":         {strings.NewReader("id: 1\r\ndata: a\r\n\r\n"), "id: 1\r\ndata: a\r\n\r\n", false, ""},
		"broken between two events": {io.MultiReader(strings.NewReader(two), errReader{}), two, true, ""},
		"broken within an event":    {io.MultiReader(strings.NewReader(two+"id: 3\nda"), errReader{}), two, true, ""},
		"ended within an event":     {strings.NewReader(two + "id: 3\nda"), two, true, ""},
		"broken before any event":   {errReader{}, "", false, CodeLost},
		"no event at all":           {strings.NewReader(""), "", false, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			transport := &fakeTransport{send: func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
				a := answer(200, "")
				a.ContentLength, a.Body = -1, io.NopCloser(c.body)
				return a, nil
			}}
			f, sink := newForwarder(t, transport), &fakeSink{}
			f.Serve(t.Context(), call("/llm/"), sink)
			is.Equal(sink.body.String(), c.want)
			is.Equal(sink.truncated, c.cut)
			is.Equal(len(transport.sentTo()), 1) // a stream is sent once
			if c.code != "" {
				is.Equal(*sink.refused, Refusal{Code: c.code, MayHaveRun: true})
			}
			is.Equal(len(f.engines.runStates(time.Now())), 0) // its place was freed
		})
	}
}

// TestStreamNotBegun checks that a stream that no engine started is refused, and sent to
// another engine only if the first one didn't run it.
func TestStreamNotBegun(t *testing.T) {
	notRun := answer(503, "")
	notRun.NotRun = true
	for name, c := range map[string]struct {
		first *Response
		err   error
		sent  int
		want  *Refusal
	}{
		"not sent":         {nil, ErrNotSent, 2, nil},
		"not run once":     {notRun, nil, 2, nil},
		"lost":             {nil, io.ErrUnexpectedEOF, 1, &Refusal{Code: CodeLost, MayHaveRun: true}},
		"engine's failure": {answer(500, "no"), nil, 1, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := 0
			transport := &fakeTransport{send: func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
				n++
				if n == 1 {
					return c.first, c.err
				}
				return answer(200, "id: 1\n\n"), nil
			}}
			f, sink := newForwarder(t, transport), &fakeSink{}
			f.Serve(t.Context(), call("/llm/"), sink)
			is.Equal(len(transport.sentTo()), c.sent)
			is.Equal(sink.refused, c.want)
		})
	}
}

// TestStreamRejectedEverywhere checks that a stream that every engine rejects is refused as not
// run.
func TestStreamRejectedEverywhere(t *testing.T) {
	is := is.New(t)
	transport := &fakeTransport{send: func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
		a := answer(503, "")
		a.NotRun = true
		return a, nil
	}}
	f, sink := newForwarder(t, transport), &fakeSink{}
	f.Serve(t.Context(), call("/llm/"), sink)
	is.Equal(len(transport.sentTo()), maxRejections)
	is.Equal(*sink.refused, Refusal{Code: CodeOverloaded, RetryAfter: defaultRetryAfter})
}

// TestStreamUnreachableEngines checks that a stream to which many engines refuse the connection
// reaches the one that is up, and tries each engine once. After a failed connection to an
// engine of another zone, it tries no other engine of that zone.
func TestStreamUnreachableEngines(t *testing.T) {
	for name, c := range map[string]struct {
		zones []member.Zone
		// alive is the engine that can be reached; empty if none can.
		alive member.UpstreamID
		sent  int
	}{
		"the last of eight lives":  {[]member.Zone{"z1", "z1", "z1", "z1", "z1", "z1", "z1", "z1"}, "e7", 8},
		"none lives":               {[]member.Zone{"z1", "z1", "z1", "z1", "z1"}, "", 5},
		"the other zones are cut":  {[]member.Zone{"z2", "z2", "z2", "z3", "z3", "z3", "z1"}, "e6", 1},
		"all of the own zone died": {[]member.Zone{"z1", "z1", "z1", "z2", "z2"}, "e4", 5},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			transport := &fakeTransport{send: func(_ context.Context, u Upstream, _ *UpstreamRequest) (*Response, error) {
				if u.ID != c.alive {
					return nil, ErrNotSent
				}
				return answer(200, "id: 1\n\n"), nil
			}}
			f, sink := newForwarder(t, transport), &fakeSink{}
			var list []Upstream
			for n, zone := range c.zones {
				id := member.UpstreamID(fmt.Sprintf("e%d", n))
				list = append(list, Upstream{ID: id, Service: "llm", Address: "10.1.0.1:1", Zone: zone, Slots: 24, Revision: rev(2)})
			}
			f.fleet.Replace(time.Now(), list, rev(2))
			f.updatePlacementEngines(time.Now(), f.Table())
			f.Serve(t.Context(), call("/llm/"), sink)
			sent := transport.sentTo()
			is.True(len(sent) <= c.sent)
			seen := map[member.UpstreamID]bool{}
			for _, id := range sent {
				is.True(!seen[id]) // tried once
				seen[id] = true
			}
			if c.alive == "" {
				is.Equal(sink.refused.Code, CodeNoUpstream)
				return
			}
			is.Equal(sink.refused, nil)
		})
	}
}

// TestStreamCallerLeft checks that a run ends when the caller's connection fails.
func TestStreamCallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		read, write := io.Pipe()
		transport := &fakeTransport{send: func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
			a := answer(200, "")
			a.Body = read
			return a, nil
		}}
		f, sink := newForwarder(t, transport), &fakeSink{callerGone: true}
		go f.Serve(t.Context(), call("/llm/"), sink)
		_, _ = io.WriteString(write, "id: 1\n\n")
		synctest.Wait()
		_, err := io.WriteString(write, "id: 2\n\n")
		is.True(err != nil) // the body was closed
	})
}

// engineScript plays the engines of a stream that is moved: the first generates events until it
// is stopped or ends by itself, and the engine that takes over generates the rest.
type engineScript struct {
	// eventCount is how many events the whole run has. The first engine generates one every 20
	// ms.
	eventCount int
	// stopped is closed when the first engine is told to stop.
	stopped chan struct{}
	// moveErr is the error of the copy that stops the run. copyTime is how long a copy takes.
	moveErr error
	// refusedStops is how many stops fail with refusal, without stopping the run.
	refusedStops int
	refusal      error
	handle       string
	copyTime     time.Duration
	// refusesContinuation lists the engines that refuse to continue the run.
	refusesContinuation map[member.UpstreamID]bool
	// unreachedSends is how many continuations can't be sent.
	unreachedSends int
	// lastEventID and continuedFrom are what the engine that continues the run was sent: the
	// caller's last event, and the source and handle of the copy.
	lastEventID   string
	continuedFrom string
}

func sseEvent(n int) string { return fmt.Sprintf("id: %d\ndata: t\n\n", n) }

func (e *engineScript) send(ctx context.Context, u Upstream, r *UpstreamRequest) (*Response, error) {
	if c := r.Continue; c != nil {
		if e.unreachedSends > 0 {
			e.unreachedSends--
			return nil, ErrNotSent
		}
		if e.refusesContinuation[u.ID] {
			a := answer(503, "")
			a.NotRun = true
			return a, nil
		}
		e.lastEventID, e.continuedFrom = c.LastEventID, c.Source+"/"+c.Handle
		var lastMade int
		_, _ = fmt.Sscan(c.LastEventID, &lastMade)
		var rest strings.Builder
		for i := lastMade + 1; i <= e.eventCount; i++ {
			rest.WriteString(sseEvent(i))
		}
		return answer(200, rest.String()), nil
	}
	read, write := io.Pipe()
	go func() {
		for i := 1; i <= e.eventCount; i++ {
			select {
			case <-e.stopped:
				write.CloseWithError(io.ErrUnexpectedEOF)
				return
			case <-time.After(20 * time.Millisecond):
				_, _ = io.WriteString(write, sseEvent(i))
			}
		}
		_ = write.Close()
	}()
	a := answer(200, "")
	a.Body = read
	return a, nil
}

func (e *engineScript) move(_ context.Context, _ Upstream, r MoveRequest) (MoveResult, error) {
	if !r.StopSource {
		time.Sleep(e.copyTime)
		return MoveResult{Handle: "h"}, nil
	}
	if errors.Is(e.moveErr, ErrRunNotFound) {
		return MoveResult{}, e.moveErr
	}
	if e.refusedStops > 0 {
		e.refusedStops--
		return MoveResult{}, e.refusal
	}
	close(e.stopped)
	time.Sleep(2 * time.Millisecond)
	return MoveResult{Handle: e.handle}, e.moveErr
}

// TestMove checks that when its engine leaves, a stream continues at another engine with each
// event once and in order. It is cut if no engine continues it.
func TestMove(t *testing.T) {
	whole := func(n int) string {
		var all strings.Builder
		for i := 1; i <= n; i++ {
			all.WriteString(sseEvent(i))
		}
		return all.String()
	}
	for name, c := range map[string]struct {
		script engineScript
		cut    bool
		moved  bool
		// upstreams is how many sends the stream takes.
		upstreams int
	}{
		"moved":                      {engineScript{eventCount: 60, handle: "h", copyTime: 200 * time.Millisecond}, false, true, 2},
		"ends during the first copy": {engineScript{eventCount: 8, handle: "h", copyTime: 200 * time.Millisecond, moveErr: ErrRunNotFound}, false, false, 1},
		"target refuses, source goes on": {engineScript{
			eventCount: 60, handle: "h", copyTime: 200 * time.Millisecond,
			refusesContinuation: map[member.UpstreamID]bool{"llm2": true, "llm3": true},
		}, false, true, 3},
		"no room for the last part, source goes on": {engineScript{
			eventCount: 60, handle: "h", copyTime: 200 * time.Millisecond, moveErr: ErrTargetUnavailable,
			refusesContinuation: map[member.UpstreamID]bool{"llm2": true, "llm3": true},
		}, false, true, 2},
		"target gone before the last part": {engineScript{
			eventCount: 60, handle: "h", copyTime: 200 * time.Millisecond, refusedStops: 1, refusal: ErrTargetUnavailable,
		}, false, true, 2},
		"stop not sent, moved later": {engineScript{
			eventCount: 60, handle: "h", copyTime: 200 * time.Millisecond, refusedStops: 1, refusal: errors.Join(ErrNoMoveReply, ErrNotSent),
		}, false, true, 2},
		"stop unanswered, run stopped": {engineScript{
			eventCount: 60, copyTime: 200 * time.Millisecond, moveErr: ErrNoMoveReply,
		}, false, true, 2},
		"no engine reached for a moment": {engineScript{
			eventCount: 60, handle: "h", copyTime: 200 * time.Millisecond, unreachedSends: 6,
		}, false, true, 8},
		"no engine reached": {engineScript{
			eventCount: 60, handle: "h", copyTime: 200 * time.Millisecond, unreachedSends: 100,
		}, true, false, 35},
		"everybody refuses": {engineScript{
			eventCount: 60, handle: "h", copyTime: 200 * time.Millisecond,
			refusesContinuation: map[member.UpstreamID]bool{"llm1": true, "llm2": true, "llm3": true},
		}, true, false, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := c.script
				e.stopped = make(chan struct{})
				transport := &fakeTransport{send: e.send, move: e.move}
				f, sink := newForwarder(t, transport), &fakeSink{}
				f.fleet.Suspect(time.Now(), "llm2")
				f.fleet.Suspect(time.Now(), "llm3")
				f.updatePlacementEngines(time.Now(), f.Table()) // llm1 gets the run
				time.AfterFunc(100*time.Millisecond, func() {
					f.fleet.Replace(time.Now(), upstreamsWithLeaving(f, "llm1"), rev(2))
					f.updatePlacementEngines(time.Now(), f.Table())
				})
				f.Serve(t.Context(), call("/llm/"), sink)
				is.Equal(sink.truncated, c.cut)
				is.Equal(len(transport.sentTo()), c.upstreams)
				if !c.cut {
					is.Equal(sink.body.String(), whole(e.eventCount))
				}
				if c.moved {
					is.Equal(e.continuedFrom, "10.1.0.1:llm1/h")
				}
				synctest.Wait()
			})
		})
	}
}

// TestMovedRunAvoidsDrainedEngine checks that a moved run whose engines aren't reached isn't tried again at an engine
// that has left for longer than the drain time.
func TestMovedRunAvoidsDrainedEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := engineScript{eventCount: 60, handle: "h", copyTime: 200 * time.Millisecond, unreachedSends: 100, stopped: make(chan struct{})}
		var leftAt time.Time
		var latest time.Duration
		transport := &fakeTransport{move: e.move}
		transport.send = func(ctx context.Context, u Upstream, r *UpstreamRequest) (*Response, error) {
			if u.ID == "llm1" && r.Continue != nil {
				latest = time.Since(leftAt)
			}
			return e.send(ctx, u, r)
		}
		f := newForwarder(t, transport)
		f.fleet.Suspect(time.Now(), "llm2")
		f.fleet.Suspect(time.Now(), "llm3")
		f.updatePlacementEngines(time.Now(), f.Table())
		time.AfterFunc(100*time.Millisecond, func() {
			leftAt = time.Now()
			f.fleet.Replace(leftAt, upstreamsWithLeaving(f, "llm1"), rev(2))
			f.updatePlacementEngines(leftAt, f.Table())
		})
		f.Serve(t.Context(), call("/llm/"), &fakeSink{})
		is.True(latest > 0)                     // the source was tried
		is.True(latest <= f.settings.DrainTime) // later, the source may have ended
	})
}

// TestLostMoveBlamesNoOtherEngine guards against an engine that gets no new work, and whose runs are moved, because it didn't
// run a request that was to continue there.
func TestLostMoveBlamesNoOtherEngine(t *testing.T) {
	all := map[member.UpstreamID]bool{"llm1": true, "llm4": true, "llm5": true}
	for name, c := range map[string]struct {
		script engineScript
		// breaksOff says that the engine that holds the copy closes the connection without an answer.
		breaksOff bool
	}{
		"all refuse":         {engineScript{refusesContinuation: all}, false},
		"none is reached":    {engineScript{unreachedSends: 100}, false},
		"target breaks off":  {engineScript{}, true},
		"target isn't there": {engineScript{unreachedSends: 1, refusesContinuation: all}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := c.script
				e.eventCount, e.handle, e.copyTime, e.stopped = 60, "h", 200*time.Millisecond, make(chan struct{})
				transport := &fakeTransport{move: e.move}
				var last member.UpstreamID
				transport.send = func(ctx context.Context, u Upstream, r *UpstreamRequest) (*Response, error) {
					if last = u.ID; r.Continue != nil && c.breaksOff {
						return nil, io.ErrUnexpectedEOF
					}
					return e.send(ctx, u, r)
				}
				f, sink := newForwarder(t, transport), &fakeSink{}
				f.fleet.Replace(time.Now(), upstreamsWithLeaving(f, "llm2", "llm3"), rev(1))
				f.updatePlacementEngines(time.Now(), f.Table()) // llm1 gets the run
				time.AfterFunc(100*time.Millisecond, func() {
					f.fleet.Replace(time.Now(), append(upstreamsWithLeaving(f, "llm1"), llmUpstream("llm4", 2, false), llmUpstream("llm5", 2, false)), rev(2))
					f.updatePlacementEngines(time.Now(), f.Table())
				})
				f.Serve(t.Context(), call("/llm/"), sink)
				is.True(sink.truncated)
				for _, id := range []member.UpstreamID{"llm4", "llm5"} {
					is.Equal(f.fleet.IsFailing(time.Now(), id), c.breaksOff && id == last)
				}
				synctest.Wait()
			})
		})
	}
}

// TestEndedWhileStopped checks that a stream that reached its end is complete although a move
// has copied its memory. If another engine continued it, its last events would come twice.
func TestEndedWhileStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := engineScript{eventCount: 14, stopped: make(chan struct{})}
		transport := &fakeTransport{send: e.send}
		transport.move = func(_ context.Context, _ Upstream, r MoveRequest) (MoveResult, error) {
			time.Sleep(100 * time.Millisecond)
			// The run ends by itself just before it is stopped.
			return MoveResult{Handle: "h"}, nil
		}
		f, sink := newForwarder(t, transport), &fakeSink{}
		f.fleet.Suspect(time.Now(), "llm2")
		f.fleet.Suspect(time.Now(), "llm3")
		f.updatePlacementEngines(time.Now(), f.Table())
		time.AfterFunc(100*time.Millisecond, func() {
			f.fleet.Replace(time.Now(), upstreamsWithLeaving(f, "llm1"), rev(2))
			f.updatePlacementEngines(time.Now(), f.Table())
		})
		f.Serve(t.Context(), call("/llm/"), sink)
		is.Equal(strings.Count(sink.body.String(), "data"), 14)
		is.Equal(len(transport.sentTo()), 1)
		is.True(!sink.truncated)
		synctest.Wait()
	})
}

// upstreamsWithLeaving lists a forwarder's upstreams, some of them marked as leaving.
func upstreamsWithLeaving(f *Forwarder, ids ...member.UpstreamID) []Upstream {
	changes, _, _ := f.fleet.ChangesSince(rev(0))
	var list []Upstream
	for _, c := range changes {
		for _, id := range ids {
			if c.ID == id {
				c.Leaving = true
			}
		}
		c.Revision = rev(2)
		list = append(list, c.Upstream)
	}
	return list
}

func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid:2\n\n", 3)
	f.Add("\n\n\r\n:c\n\n", 1)
	f.Fuzz(func(t *testing.T, stream string, chunk int) {
		r := newEventReader(&chunkedReader{strings.NewReader(stream), max(chunk, 1) % 64})
		var got strings.Builder
		for {
			e, _, err := r.next()
			if err != nil {
				break
			}
			if !strings.HasSuffix(string(e), "\n") {
				t.Fatalf("event %q doesn't end with a newline", e)
			}
			got.Write(e)
		}
		if !strings.HasPrefix(stream, got.String()) {
			t.Fatalf("the events %q aren't a prefix of the stream %q", got.String(), stream)
		}
	})
}

// chunkedReader returns at most size bytes per read.
type chunkedReader struct {
	source io.Reader
	size   int
}

func (c *chunkedReader) Read(p []byte) (int, error) {
	return c.source.Read(p[:min(len(p), max(c.size, 1))])
}

// TestRunsSentWithDefaultUrgency checks that every run is sent to its engine with the same
// urgency, so that no run evicts another in mid-stream.
func TestRunsSentWithDefaultUrgency(t *testing.T) {
	is := is.New(t)
	var urgencies []Urgency
	transport := &fakeTransport{send: func(_ context.Context, _ Upstream, r *UpstreamRequest) (*Response, error) {
		urgencies = append(urgencies, r.Urgency)
		return answer(http.StatusOK, "id: 1\ndata: a\n\n"), nil
	}}
	f := newForwarder(t, transport)
	for n, urgency := range []Urgency{0, 1, 9} {
		c := testConfig(Version(n + 2))
		c.Routes[2].Urgency = urgency
		f.Configure(time.Now(), c)
		f.Serve(t.Context(), call("/llm/"), &fakeSink{})
	}
	is.Equal(urgencies, []Urgency{DefaultUrgency, DefaultUrgency, DefaultUrgency})
}
