// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// slowSink is a caller that pauses before it takes each part.
type slowSink struct {
	fakeSink
	pause   time.Duration
	aborted chan struct{}
	once    sync.Once
}

func newSlowSink(pause time.Duration) *slowSink {
	return &slowSink{pause: pause, aborted: make(chan struct{})}
}

func (s *slowSink) Write(p []byte) error {
	timer := time.NewTimer(s.pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return s.fakeSink.Write(p)
	case <-s.aborted:
		return errConnectionLost
	}
}

func (s *slowSink) Abort() { s.once.Do(func() { close(s.aborted) }) }

// unreadTimeoutEngines play engines that cut off an answer of which a part stays unread for
// unreadTimeout.
type unreadTimeoutEngines struct {
	eventCount, eventBytes int
	cutOff                 atomic.Int64
}

const unreadTimeout = 3 * time.Second

func (e *unreadTimeoutEngines) send(ctx context.Context, _ Upstream, _ *UpstreamRequest) (*Response, error) {
	read, write := io.Pipe()
	go func() {
		for n := range e.eventCount {
			time.Sleep(50 * time.Millisecond)
			unread := time.AfterFunc(unreadTimeout, func() {
				e.cutOff.Add(1)
				_ = write.CloseWithError(io.ErrUnexpectedEOF)
			})
			_, err := fmt.Fprintf(write, "id: %d\ndata: %s\n\n", n+1, strings.Repeat("x", e.eventBytes))
			unread.Stop()
			if err != nil {
				return
			}
		}
		_ = write.Close()
	}()
	a := answer(http.StatusOK, "")
	a.ContentLength, a.Body = -1, read
	context.AfterFunc(ctx, func() { _ = read.Close() })
	return a, nil
}

// TestSlowReaders checks that a host with many callers that read slowly, or not at all, serves
// the others as if there were none and stays within its memory, and no engine waits for them.
func TestSlowReaders(t *testing.T) {
	for name, c := range map[string]struct {
		slow, stalled int
		// whole is set if the slow callers get the complete answer.
		whole bool
	}{
		"some that are slow":         {slow: 20, whole: true},
		"some that take nothing":     {stalled: 20},
		"hundreds that are slow":     {slow: 400},
		"hundreds that take nothing": {stalled: 400},
		"thousands of both kinds":    {slow: 1000, stalled: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				engines := &unreadTimeoutEngines{eventCount: 100, eventBytes: 800}
				f := newForwarder(t, &fakeTransport{send: engines.send})
				f.answerBudget.MaxBytes = 14 << 20 // an eighth of 112 MB
				config := testConfig(2)
				config.Services[1].Engine = nil // the test isn't about placement
				f.Configure(time.Now(), config)
				var requests sync.WaitGroup
				serve := func(n int, sink Sink) {
					requests.Go(func() {
						call := call("/llm/")
						call.ID, call.CallerTimeout = RequestID(fmt.Sprint("r", n)), time.Hour
						f.Serve(t.Context(), call, sink)
					})
				}
				var slow []*slowSink
				var fast []*fakeSink
				var peak int64
				for n := range max(c.slow, c.stalled) {
					if n < c.slow {
						slow = append(slow, newSlowSink(250*time.Millisecond))
						serve(n, slow[n])
					}
					if n < c.stalled {
						serve(10000+n, newSlowSink(time.Hour))
					}
					if n%10 == 0 {
						fast = append(fast, &fakeSink{})
						serve(20000+n, fast[n/10])
					}
				}
				done := make(chan struct{})
				go func() {
					for {
						peak = max(peak, f.answerBudget.Reserved())
						select {
						case <-done:
							return
						case <-time.After(100 * time.Millisecond):
						}
					}
				}()
				requests.Wait()
				close(done)
				synctest.Wait()
				whole := engines.eventCount * (engines.eventBytes + len("id: 1\ndata: \n\n"))
				t.Logf("at most %d bytes held; engines cut off %d answers", peak, engines.cutOff.Load())
				for _, s := range fast {
					is.True(s.body.Len() >= whole && !s.truncated) // a fast reader gets everything
				}
				for _, s := range slow {
					is.True(!c.whole || s.body.Len() >= whole && !s.truncated)
				}
				eventSize := int64(engines.eventBytes + 32)
				is.True(peak <= f.answerBudget.MaxBytes+eventSize*int64(c.slow+c.stalled+len(fast))) // one event per caller beyond the bound
				is.Equal(engines.cutOff.Load(), int64(0))                                            // no engine waited until its timeout
				is.Equal(f.answerBudget.Reserved(), int64(0))
			})
		})
	}
}

// TestStalledReaderIsCut checks that the answer of a caller that takes nothing is cut, not
// ended as if it were complete, and its place is freed.
func TestStalledReaderIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines := &unreadTimeoutEngines{eventCount: 400, eventBytes: 2000}
		f := newForwarder(t, &fakeTransport{send: engines.send})
		sink := newSlowSink(time.Hour)
		start := time.Now()
		f.Serve(t.Context(), call("/llm/"), sink)
		is.True(sink.truncated)
		is.True(time.Since(start) < 10*time.Second)
		time.Sleep(time.Second)
		is.Equal(f.engines.otherRuns("llm", "llm1", "")+f.engines.otherRuns("llm", "llm2", "")+f.engines.otherRuns("llm", "llm3", ""), 0)
	})
}

// TestAnswersForSlowReadersAreBounded checks that long answers are passed on as they come once
// the memory held for answers has reached its bound.
func TestAnswersForSlowReadersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		body := strings.Repeat("x", 600<<10)
		f := newForwarder(t, &fakeTransport{send: func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
			return answer(http.StatusOK, body), nil
		}})
		f.answerBudget.MaxBytes = 2 << 20
		var peak int64
		var requests sync.WaitGroup
		var sinks []*slowSink
		for range 100 {
			s := newSlowSink(100 * time.Millisecond)
			sinks = append(sinks, s)
			requests.Go(func() {
				c := call("/order/")
				f.Serve(t.Context(), c, slowWholeSink{s})
			})
			peak = max(peak, f.answerBudget.Reserved())
		}
		synctest.Wait()
		peak = max(peak, f.answerBudget.Reserved())
		requests.Wait()
		is.True(peak <= f.answerBudget.MaxBytes)
		is.Equal(f.answerBudget.Reserved(), int64(0))
		for _, s := range sinks {
			is.Equal(s.body.Len(), len(body))
		}
	})
}

// slowWholeSink takes whole answers as slowly as parts.
type slowWholeSink struct{ *slowSink }

func (s slowWholeSink) SendResponse(a *Response, body []byte) error {
	time.Sleep(s.pause)
	return s.fakeSink.SendResponse(a, body)
}
