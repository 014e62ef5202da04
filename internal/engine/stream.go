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

// stream reads one run's events.
type stream struct {
	body   io.ReadCloser
	cancel context.CancelFunc
	// silent is set when the watchdog closed the link.
	silent   atomic.Bool
	watchdog *time.Timer
	silence  time.Duration
}

func newStream(body io.ReadCloser, cancel context.CancelFunc, silence time.Duration) *stream {
	s := &stream{body: body, cancel: cancel, silence: silence}
	s.watchdog = time.AfterFunc(silence, func() {
		s.silent.Store(true)
		cancel()
	})
	return s
}

// Close ends the reading.
func (s *stream) Close() {
	s.watchdog.Stop()
	s.cancel()
	_ = s.body.Close()
}

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// Events ranges over the run's events.
func (s *stream) Events(idle func()) iter.Seq2[entry.StreamEvent, error] {
	reader := &waitingReader{stream: s, idle: idle}
	return func(yield func(entry.StreamEvent, error) bool) {
		for raw, err := range sse.Read(reader, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
			var event entry.StreamEvent
			if err == nil {
				event, err = decode(raw)
			}
			if err != nil && s.silent.Load() {
				err = entry.ErrStreamIdle
			}
			if !yield(event, err) || err != nil {
				return
			}
		}
	}
}

// waitingReader tells when the reader is about to wait, and holds the watchdog
// off as long as something comes.
type waitingReader struct {
	stream *stream
	idle   func()
}

func (r *waitingReader) Read(p []byte) (int, error) {
	r.idle()
	n, err := r.stream.body.Read(p)
	if n > 0 {
		r.stream.watchdog.Reset(r.stream.silence)
	}
	return n, err
}

type endMark struct {
	State            string `json:"state"`
	PromptTokens     int    `json:"prompt_tokens"`
	CompletionTokens int    `json:"completion_tokens"`
}

const (
	endType   = "end"
	wholeMark = "done"
)

var errNoID = errors.New("an event has no RUN/INDEX id")

func decode(raw sse.Event) (entry.StreamEvent, error) {
	run, indexText, found := strings.Cut(raw.LastEventID, "/")
	index, err := strconv.Atoi(indexText)
	if !found || err != nil {
		return entry.StreamEvent{}, trace.Wrap(errNoID)
	}
	event := entry.StreamEvent{Run: policy.RunID(run), Index: index, Data: raw.Data}
	switch raw.Type {
	case "":
		return event, nil
	case endType:
		return decodeEnd(event, raw.Data)
	default:
		return event, trace.BadParameter("an event has the unknown type %q", raw.Type)
	}
}

func decodeEnd(event entry.StreamEvent, data string) (entry.StreamEvent, error) {
	var mark endMark
	if err := json.Unmarshal([]byte(data), &mark); err != nil {
		return event, trace.Wrap(err, "the end mark can't be read")
	}
	event.Kind = entry.EventEnd
	event.End = entry.RunResult{
		Complete: mark.State == wholeMark, PromptTokens: mark.PromptTokens, CompletionTokens: mark.CompletionTokens,
	}
	return event, nil
}
