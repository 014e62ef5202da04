// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

type streamState string

const (
	stateRunning   streamState = "running"
	stateDone      streamState = "done"
	stateCancelled streamState = "cancelled"
)

// chunkFormatter encodes one token as a chunk in the OpenAI format.
type chunkFormatter func(s *stream, text string, last bool) []byte

// stream is the state of a run that its readers use. Server.mu guards it.
type stream struct {
	runID     RunID
	requestID string
	// fingerprint identifies the prompt, so that a reader can verify that the
	// output belongs to its request.
	fingerprint string
	model       string
	formatChunk chunkFormatter
	generation  Generation
	// generated counts the output tokens. The text of a token is computed from
	// its index and isn't stored.
	generated   int
	state       streamState
	readers     int
	attachCount int
	unreadSince time.Time
	// changed is closed and replaced whenever generated or state changes.
	changed chan struct{}
}

func newStream(runID RunID, prompt, model string, format chunkFormatter, generation Generation) *stream {
	return &stream{
		runID: runID, fingerprint: Fingerprint(prompt), model: model, formatChunk: format, generation: generation,
		state: stateRunning, changed: make(chan struct{}),
	}
}

// Fingerprint returns the system_fingerprint of the output for a prompt, given as
// the JSON text of the request's prompt and messages.
func Fingerprint(promptJSON string) string {
	return "fp_" + strconv.FormatUint(xxhash.Sum64String(promptJSON), 16)
}

// TokenText returns the text of a run's token; index counts from 1.
func TokenText(run RunID, index int) string {
	return fmt.Sprintf(" w%s.%d", strconv.FormatUint(xxhash.Sum64String(string(run))&0xffff, 16), index)
}

func (s *stream) apply(now time.Time, event Event) {
	switch event.Kind {
	case Token:
		s.generated = event.Index
	case Ended:
		s.finish(stateDone)
		return
	case Preempted, Admitted:
		return
	}
	if s.readers > 0 {
		s.unreadSince = now
	}
	s.notifyReaders()
}

func (s *stream) finish(state streamState) {
	s.state = state
	s.notifyReaders()
}

func (s *stream) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func formatCompletionChunk(s *stream, text string, last bool) []byte {
	return fmt.Appendf(nil, `{"id":%q,"object":"text_completion","created":%d,"model":%q,"system_fingerprint":%q,"choices":[{"index":0,"text":%q,"finish_reason":%s}]}`,
		s.requestID, createdUnixSeconds, s.model, s.fingerprint, text, finishReason(last))
}

func formatChatChunk(s *stream, text string, last bool) []byte {
	return fmt.Appendf(nil, `{"id":%q,"object":"chat.completion.chunk","created":%d,"model":%q,"system_fingerprint":%q,"choices":[{"index":0,"delta":{"role":"assistant","content":%q},"finish_reason":%s}]}`,
		s.requestID, createdUnixSeconds, s.model, s.fingerprint, text, finishReason(last))
}

// createdUnixSeconds is a fixed creation time; no reader uses it.
const createdUnixSeconds = 1750000000

func finishReason(last bool) string {
	if last {
		return `"stop"`
	}
	return "null"
}

// CountTokens estimates the number of tokens in a prompt of the given size: one
// token per four bytes.
func CountTokens(bytes int) int { return bytes/4 + 1 }

// Parameters of the log-normal distribution of output lengths in tokens: most
// outputs are short, some very long.
const (
	medianOutputLength = 120
	outputLengthSigma  = 1.0
	maxOutputLength    = 8000
)

// outputLength derives an output length in tokens from the prompt, so that a
// prompt always has the same length. With ignoreEOS it returns maxTokens, if
// set.
func outputLength(prompt string, maxTokens int, ignoreEOS bool) int {
	if ignoreEOS && maxTokens > 0 {
		return maxTokens
	}
	random := rand.New(rand.NewPCG(xxhash.Sum64String(prompt), 1))
	n := int(medianOutputLength * math.Exp(random.NormFloat64()*outputLengthSigma))
	n = min(max(n, 1), maxOutputLength)
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	return n
}

func headerInt(h http.Header, name string) int {
	n, _ := strconv.Atoi(h.Get(name))
	return n
}

func queryInt(r *http.Request, name string) int {
	n, _ := strconv.Atoi(r.URL.Query().Get(name))
	return n
}

// pingInterval is the interval of the ping comments sent to each reader. They let
// the reader tell a waiting run from a stalled connection.
const pingInterval = 500 * time.Millisecond

// serveEvents writes a run's events after sentIndex until the run ends, the
// reader disconnects or an injected fault closes the connection.
func (e *Server) serveEvents(w http.ResponseWriter, r *http.Request, s *stream, sentIndex int) {
	e.mu.Lock()
	s.readers++
	s.attachCount++
	faults := Faults{}
	if s.attachCount == 1 {
		faults = e.faults
	}
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		s.readers--
		s.unreadSince = time.Now()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	out := &eventWriter{w: w, flush: http.NewResponseController(w).Flush, stream: s, faults: faults}
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	// Write errors are ignored: when the client disconnects, the request context
	// is cancelled and ends the loop.
	_ = out.flush()
	for {
		e.mu.Lock()
		generated, state, changed := s.generated, s.state, s.changed
		e.mu.Unlock()
		for ; sentIndex < generated && r.Context().Err() == nil; sentIndex++ {
			out.writeToken(r, sentIndex+1, state == stateDone && sentIndex+1 == generated || sentIndex+1 == s.generation.OutputTokens)
		}
		if state != stateRunning {
			out.writeEnd(state, generated)
			return
		}
		_ = out.flush()
		select {
		case <-changed:
		case <-ping.C:
			_, _ = w.Write([]byte(": ping\n\n"))
		case <-r.Context().Done():
			return
		}
	}
}

// eventWriter writes events to one reader and injects the faults.
type eventWriter struct {
	w      http.ResponseWriter
	flush  func() error
	stream *stream
	faults Faults
	sent   int
	// delayed is an event held back to be sent after the next one.
	delayed []byte
}

func isMultiple(n, index int) bool { return n > 0 && index%n == 0 }

func (o *eventWriter) writeToken(r *http.Request, index int, last bool) {
	s, f := o.stream, o.faults
	if f.CloseAfter > 0 && o.sent >= f.CloseAfter {
		panic(http.ErrAbortHandler)
	}
	if f.StallAfter > 0 && o.sent >= f.StallAfter {
		_ = o.flush()
		<-r.Context().Done()
		return
	}
	o.sent++
	runID := s.runID
	if isMultiple(f.ForeignEvery, index) {
		runID = "foreign"
	}
	event := fmt.Appendf(nil, "id: %s/%d\ndata: %s\n\n", runID, index, s.formatChunk(s, TokenText(s.runID, index), last))
	switch {
	case isMultiple(f.SkipEvery, index):
		return
	case isMultiple(f.SwapEvery, index) && !last:
		o.delayed = event
		return
	case isMultiple(f.DuplicateEvery, index):
		event = append(event, event...)
	}
	_, _ = o.w.Write(append(event, o.delayed...))
	o.delayed = nil
}

type endEvent struct {
	State            string `json:"state"`
	PromptTokens     int    `json:"prompt_tokens"`
	CompletionTokens int    `json:"completion_tokens"`
}

func (o *eventWriter) writeEnd(state streamState, generated int) {
	event, _ := json.Marshal(endEvent{
		State: string(state), PromptTokens: o.stream.generation.PromptTokens, CompletionTokens: generated + o.faults.EndCountOffset,
	})
	_, _ = fmt.Fprintf(o.w, "event: end\nid: %s/%d\ndata: %s\n\n", o.stream.runID, generated, event)
	_ = o.flush()
}
