// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestStreamEndsDuringMove guards against a stream that stays open after its end because a move was under way that didn't stop
// the run, or counts as complete although its engine ended.
func TestStreamEndsDuringMove(t *testing.T) {
	for name, c := range map[string]struct {
		// end ends the answer, which has a declared end if it isn't io.EOF. engineEnded says that the engine ended with it.
		end         error
		engineEnded bool
		// stopErr is the reply to the copy that was to stop the run.
		stopErr error
	}{
		"run not found":                  {io.EOF, false, ErrRunNotFound},
		"run not found, broken off":      {io.ErrUnexpectedEOF, false, ErrRunNotFound},
		"copy under way":                 {io.EOF, false, ErrMoveBusy},
		"no room":                        {io.EOF, false, ErrTargetUnavailable},
		"run not found, engine ended":    {io.EOF, true, ErrRunNotFound},
		"no room, engine ended after it": {io.EOF, true, ErrTargetUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				read, write := io.Pipe()
				ended := false
				transport := &fakeTransport{}
				transport.send = func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
					go func() { _, _ = io.WriteString(write, sseEvent(1)) }()
					a := answer(200, "")
					a.ContentLength, a.Framed, a.Body = -1, !errors.Is(c.end, io.EOF), read
					return a, nil
				}
				transport.move = func(_ context.Context, _ Upstream, r MoveRequest) (MoveResult, error) {
					switch {
					case ended:
						return MoveResult{}, ErrRunNotFound
					case !r.StopSource:
						return MoveResult{Handle: "h"}, nil
					}
					ended = true
					_ = write.CloseWithError(c.end)
					time.Sleep(10 * time.Millisecond)
					return MoveResult{}, c.stopErr
				}
				transport.checkReachable = func(Upstream) error {
					if c.engineEnded && ended {
						return ErrPortClosed
					}
					return nil
				}
				f, sink := newForwarder(t, transport), &fakeSink{}
				f.fleet.Suspect(time.Now(), "llm2")
				f.fleet.Suspect(time.Now(), "llm3")
				f.updatePlacementEngines(time.Now(), f.Table()) // llm1 gets the run
				time.AfterFunc(100*time.Millisecond, func() {
					f.fleet.Replace(time.Now(), upstreamsWithLeaving(f, "llm1"), rev(2))
					f.updatePlacementEngines(time.Now(), f.Table())
				})
				began := time.Now()
				f.Serve(t.Context(), call("/llm/"), sink)
				is.True(time.Since(began) < time.Second)
				is.Equal(sink.body.String(), sseEvent(1))
				is.Equal(sink.truncated, c.engineEnded || !errors.Is(c.end, io.EOF))
				synctest.Wait()
			})
		})
	}
}

// TestMovedRunIsTriedAgainAfterSlowCopy guards against streams that are cut, although their copy is there, because the final
// copy waited for busy links and the first connection to the engine that holds it fails.
func TestMovedRunIsTriedAgainAfterSlowCopy(t *testing.T) {
	for _, copyTime := range []time.Duration{0, continueTimeout, moveTimeout - 100*time.Millisecond} {
		for name, failures := range map[string]int{"one failed round": 2, "none is reached": 1000} {
			t.Run(fmt.Sprint(copyTime, " ", name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					read, write := io.Pipe()
					tries := 0
					var copied time.Time
					transport := &fakeTransport{}
					transport.send = func(_ context.Context, _ Upstream, r *UpstreamRequest) (*Response, error) {
						if r.Continue == nil {
							go func() { _, _ = io.WriteString(write, sseEvent(1)) }()
							a := answer(200, "")
							a.ContentLength, a.Framed, a.Body = -1, true, read
							return a, nil
						}
						if tries++; tries <= failures {
							return nil, ErrNotSent
						}
						return answer(200, sseEvent(2)), nil
					}
					transport.move = func(_ context.Context, _ Upstream, r MoveRequest) (MoveResult, error) {
						if r.StopSource {
							_ = write.CloseWithError(io.ErrUnexpectedEOF)
							time.Sleep(copyTime)
							copied = time.Now()
						}
						return MoveResult{Handle: "h"}, nil
					}
					f, sink := newForwarder(t, transport), &fakeSink{}
					f.fleet.Suspect(time.Now(), "llm2")
					f.fleet.Suspect(time.Now(), "llm3")
					f.updatePlacementEngines(time.Now(), f.Table()) // llm1 gets the run
					time.AfterFunc(100*time.Millisecond, func() {
						f.fleet.Replace(time.Now(), upstreamsWithLeaving(f, "llm1"), rev(2))
						f.updatePlacementEngines(time.Now(), f.Table())
					})
					f.Serve(t.Context(), call("/llm/"), sink)
					is.Equal(sink.truncated, failures > 2)
					is.True(time.Since(copied) <= continueTimeout)
					if failures <= 2 {
						is.Equal(sink.body.String(), sseEvent(1)+sseEvent(2))
					}
					synctest.Wait()
				})
			})
		}
	}
}

// TestStreamCutAtDeadlineWhileItsReaderIsSlow guards against a stream that ends as complete although its caller hasn't got all of it.
func TestStreamCutAtDeadlineWhileItsReaderIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		transport := &fakeTransport{send: func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
			return answer(200, sseEvent(1)+sseEvent(2)+sseEvent(3)), nil
		}}
		f, sink := newForwarder(t, transport), newSlowSink(900*time.Millisecond)
		request := call("/llm/")
		request.CallerTimeout = 2 * time.Second
		f.Serve(t.Context(), request, sink)
		is.True(strings.Count(sink.body.String(), "data") < 3)
		is.True(sink.truncated)
	})
}

// TestStreamHasNoLength guards against a stream that ends at the length that its first engine declared, although another engine
// continues it.
func TestStreamHasNoLength(t *testing.T) {
	is := is.New(t)
	transport := &fakeTransport{}
	transport.send = func(_ context.Context, _ Upstream, r *UpstreamRequest) (*Response, error) {
		if r.Continue != nil {
			return answer(200, sseEvent(2)+sseEvent(3)), nil
		}
		a := brokenAnswer(sseEvent(1))
		a.ContentLength = int64(len(sseEvent(1) + sseEvent(2)))
		return a, nil
	}
	f, sink := newResumableForwarder(t, transport, 2, 100), &fakeSink{}
	f.Serve(t.Context(), call("/llm/"), sink)
	is.Equal(sink.body.String(), sseEvent(1)+sseEvent(2)+sseEvent(3))
	is.Equal(sink.length, int64(-1))
}

// TestCutFailureOfEngineIsNotComplete guards against an engine's failure without a declared end that is passed on as complete
// although the engine ended in the middle of it.
func TestCutFailureOfEngineIsNotComplete(t *testing.T) {
	for name, ended := range map[string]bool{"engine goes on": false, "engine ended": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			transport := &fakeTransport{send: func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
				a := answer(500, "fail")
				a.ContentLength, a.Framed = -1, false
				return a, nil
			}}
			transport.checkReachable = func(Upstream) error {
				if ended {
					return ErrPortClosed
				}
				return nil
			}
			f, sink := newForwarder(t, transport), &fakeSink{}
			f.Serve(t.Context(), call("/llm/"), sink)
			is.Equal(sink.refused != nil, ended)
			is.Equal(sink.status == 500, !ended)
		})
	}
}

// TestMovedStreamIsNoOtherAnswer guards against an answer that isn't the run's stream, such as an encoded one, that is joined to the
// stream of a moved run, and against a run that is continued twice.
func TestMovedStreamIsNoOtherAnswer(t *testing.T) {
	for name, spoil := range map[string]func(a *Response){
		"encoded":  func(a *Response) { a.UnexpectedEncoding = true },
		"unsigned": func(a *Response) { a.Signed = false },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := engineScript{eventCount: 60, handle: "h", copyTime: 200 * time.Millisecond, stopped: make(chan struct{})}
				transport := &fakeTransport{move: e.move}
				transport.send = func(ctx context.Context, u Upstream, r *UpstreamRequest) (*Response, error) {
					a, err := e.send(ctx, u, r)
					if r.Continue != nil {
						spoil(a)
					}
					return a, err
				}
				f, sink := newForwarder(t, transport), &fakeSink{}
				f.fleet.Suspect(time.Now(), "llm2")
				f.fleet.Suspect(time.Now(), "llm3")
				f.updatePlacementEngines(time.Now(), f.Table()) // llm1 gets the run
				time.AfterFunc(100*time.Millisecond, func() {
					f.fleet.Replace(time.Now(), upstreamsWithLeaving(f, "llm1"), rev(2))
					f.updatePlacementEngines(time.Now(), f.Table())
				})
				f.Serve(t.Context(), call("/llm/"), sink)
				is.True(sink.truncated)
				is.True(strings.Count(sink.body.String(), "data") < e.eventCount)
				is.Equal(len(transport.sentTo()), 2)
				synctest.Wait()
			})
		})
	}
}
