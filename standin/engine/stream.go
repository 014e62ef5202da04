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

// chunkFormatter writes one token the way an OpenAI endpoint does.
type chunkFormatter func(s *stream, text string, last bool) []byte

// stream is one run as its readers see it. The server's mutex guards it.
type stream struct {
	runID     RunID
	requestID string
	// fingerprint tells the prompt, so that a reader can see whose answer
	// it has.
	fingerprint string
	model       string
	formatChunk chunkFormatter
	generation  Generation
	// generated counts the tokens given out; the text of each follows from its
	// index, so none is kept.
	generated   int
	state       streamState
	readers     int
	attachCount int
	unreadSince time.Time
	// changed is closed and replaced whenever made or state changes.
	changed chan struct{}
}

func newStream(runID RunID, prompt, model string, format chunkFormatter, generation Generation) *stream {
	return &stream{
		runID: runID, fingerprint: Fingerprint(prompt), model: model, formatChunk: format, generation: generation,
		state: stateRunning, changed: make(chan struct{}),
	}
}

// Fingerprint is the system_fingerprint of the answers to a prompt, given as
// the JSON text of the request's prompt or messages.
func Fingerprint(promptJSON string) string {
	return "fp_" + strconv.FormatUint(xxhash.Sum64String(promptJSON), 16)
}

// TokenText is the word that a run gives out at an index, from 1.
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

// createdUnixSeconds stands in for the time of creation, which no reader needs.
const createdUnixSeconds = 1750000000

func finishReason(last bool) string {
	if last {
		return `"stop"`
	}
	return "null"
}

// CountTokens estimates the tokens of a prompt of that many bytes, as the
// stand-in does: one to four bytes.
func CountTokens(bytes int) int { return bytes/4 + 1 }

// Shape of the answers' made-up lengths: most are short, some very long.
const (
	medianOutputLength = 120
	outputLengthSigma  = 1.0
	maxOutputLength    = 8000
)

// outputLength makes up an answer's length from its prompt.
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

// pingInterval is how often a reader hears from an engine whose run makes no
// tokens, so that it can tell a waiting run from a stalled link.
const pingInterval = 500 * time.Millisecond

// serveEvents writes a run's events after an index until it ends, the reader leaves
// or the faults cut the link.
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
	// A write that fails ends the reading at the next turn by its context.
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

// eventWriter writes one reader's events, spoilt as the faults say.
type eventWriter struct {
	w      http.ResponseWriter
	flush  func() error
	stream *stream
	faults Faults
	sent   int
	// delayed is an event kept back to be sent after its successor.
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
