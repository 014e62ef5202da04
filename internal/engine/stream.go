// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"iter"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/tmaxmax/go-sse"

	"github.com/shedpath/shedpath/entry"
	"github.com/shedpath/shedpath/policy"
)

// stream reads the events of one run. It implements entry.Stream.
type stream struct {
	body   io.ReadCloser
	cancel context.CancelFunc
	// idleTimedOut is set when the watchdog has canceled the request.
	idleTimedOut atomic.Bool
	// watchdog fires when no bytes have arrived for idleTimeout.
	watchdog    *time.Timer
	idleTimeout time.Duration
}

func newStream(body io.ReadCloser, cancel context.CancelFunc, silence time.Duration) *stream {
	s := &stream{body: body, cancel: cancel, idleTimeout: silence}
	s.watchdog = time.AfterFunc(silence, func() {
		s.idleTimedOut.Store(true)
		cancel()
	})
	return s
}

// Close stops reading and closes the connection; the run goes on.
func (s *stream) Close() {
	s.watchdog.Stop()
	s.cancel()
	_ = s.body.Close()
}

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

// Events returns the run's events up to the first error. It calls idle before each
// read from the connection. The error is entry.ErrStreamIdle if no bytes arrived
// for the idle timeout.
func (s *stream) Events(idle func()) iter.Seq2[entry.StreamEvent, error] {
	reader := &watchdogReader{stream: s, idle: idle}
	return func(yield func(entry.StreamEvent, error) bool) {
		for raw, err := range sse.Read(reader, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
			var event entry.StreamEvent
			if err == nil {
				event, err = decodeEvent(raw)
			}
			if err != nil && s.idleTimedOut.Load() {
				err = entry.ErrStreamIdle
			}
			if !yield(event, err) || err != nil {
				return
			}
		}
	}
}

// watchdogReader reads the body of a stream. It calls idle before each read, which
// may block, and restarts the watchdog whenever bytes arrive.
type watchdogReader struct {
	stream *stream
	idle   func()
}

func (r *watchdogReader) Read(p []byte) (int, error) {
	r.idle()
	n, err := r.stream.body.Read(p)
	if n > 0 {
		r.stream.watchdog.Reset(r.stream.idleTimeout)
	}
	return n, err
}

// endPayload is the data of a run's last event.
type endPayload struct {
	State            string `json:"state"`
	PromptTokens     int    `json:"prompt_tokens"`
	CompletionTokens int    `json:"completion_tokens"`
}

const (
	// endEventType is the type of a run's last event.
	endEventType = "end"
	// stateDone is the state in endPayload of a complete run.
	stateDone = "done"
)

var errInvalidEventID = errors.New("the event id is not of the form RUN/INDEX")

func decodeEvent(raw sse.Event) (entry.StreamEvent, error) {
	run, indexText, found := strings.Cut(raw.LastEventID, "/")
	index, err := strconv.Atoi(indexText)
	if !found || err != nil {
		return entry.StreamEvent{}, trace.Wrap(errInvalidEventID)
	}
	event := entry.StreamEvent{Run: policy.RunID(run), Index: index, Data: raw.Data}
	switch raw.Type {
	case "":
		return event, nil
	case endEventType:
		return decodeEnd(event, raw.Data)
	default:
		return event, trace.BadParameter("unknown event type %q", raw.Type)
	}
}

func decodeEnd(event entry.StreamEvent, data string) (entry.StreamEvent, error) {
	var payload endPayload
	if err := json.Unmarshal([]byte(data), &payload); err != nil {
		return event, trace.Wrap(err, "decode the data of the end event")
	}
	event.Kind = entry.EventEnd
	event.End = entry.RunResult{
		Complete: payload.State == stateDone, PromptTokens: payload.PromptTokens, CompletionTokens: payload.CompletionTokens,
	}
	return event, nil
}
