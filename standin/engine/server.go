// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
)

// Faults are the faults that a test or an operator can inject. All but
// LoadLagMillis and IgnoreTokens affect only the first reader of each run, so
// that a reader that resumes receives a correct stream. The zero value injects
// no fault.
type Faults struct {
	// Each of these faults affects the events whose index is a multiple of its
	// value; 0 disables it.
	DuplicateEvery int `json:"duplicate_every"`
	SkipEvery      int `json:"skip_every"`
	SwapEvery      int `json:"swap_every"`
	ForeignEvery   int `json:"foreign_every"`
	// StallAfter stalls the stream after that many events; CloseAfter closes
	// the connection. 0 disables them.
	StallAfter int `json:"stall_after"`
	CloseAfter int `json:"close_after"`
	// EndCountOffset is added to the token count in the end event.
	EndCountOffset int `json:"end_off_by"`
	// LoadLagMillis is the age of the reported load in milliseconds.
	LoadLagMillis int `json:"load_lag_ms"`
	// IgnoreTokens accepts orders regardless of their fencing token.
	IgnoreTokens bool `json:"ignore_tokens"`
}

// Server serves one engine over HTTP. Create it with New and call Run in a
// separate goroutine to generate tokens.
type Server struct {
	settings Settings
	// unreadTimeout is how long a run continues without a reader.
	unreadTimeout time.Duration

	mu    sync.Mutex
	model *Model
	// streams holds every run since the start, so that tests can count them.
	// Token texts aren't stored, so a finished run takes little memory.
	streams     map[RunID]*stream
	faults      Faults
	leaving     bool
	loadHistory []loadSample
	orders      orderState
	// workAvailable wakes Run when a run is submitted.
	workAvailable chan struct{}
	mux           *http.ServeMux
}

// Option configures a Server in New.
type Option func(*Server)

// WithSettings sets the engine's memory, batch size and speed.
func WithSettings(s Settings) Option { return func(e *Server) { e.settings = s } }

// WithUnreadTimeout sets how long a run continues without a reader.
func WithUnreadTimeout(d time.Duration) Option { return func(e *Server) { e.unreadTimeout = d } }

// DefaultUnreadTimeout leaves a client enough time to resume a run through
// another host.
const DefaultUnreadTimeout = 5 * time.Second

// New returns a Server with an idle engine.
func New(opts ...Option) *Server {
	e := &Server{
		settings: DefaultSettings(), unreadTimeout: DefaultUnreadTimeout,
		streams: map[RunID]*stream{}, workAvailable: make(chan struct{}, 1), mux: http.NewServeMux(),
	}
	for _, opt := range opts {
		opt(e)
	}
	e.model = NewModel(e.settings)
	e.mux.HandleFunc("POST /v1/completions", e.complete(formatCompletionChunk))
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete(formatChatChunk))
	e.mux.HandleFunc("GET /v1/runs/{run}/events", e.resume)
	e.mux.HandleFunc("DELETE /v1/runs/{run}", e.cancel)
	e.mux.HandleFunc("PUT /v1/runs/{run}/priority", e.setPriority)
	e.mux.HandleFunc("GET /v1/load", e.getLoad)
	e.mux.HandleFunc("GET /v1/cache-events", e.getCacheEvents)
	e.mux.HandleFunc("POST /v1/orders", e.postOrder)
	e.mux.HandleFunc("POST /v1/leave", e.leave)
	e.mux.HandleFunc("PUT /standin/faults", e.putFaults)
	e.mux.HandleFunc("GET /standin/runs", e.getRuns)
	return e
}

// ServeHTTP serves the engine API and the control paths under /standin/.
func (e *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// SetFaults replaces the injected faults.
func (e *Server) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Leave makes the engine report that it is shutting down.
func (e *Server) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Run steps the engine until ctx is done.
func (e *Server) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		started := time.Now()
		duration := e.step(started)
		if duration > 0 {
			timer.Reset(time.Until(started.Add(duration)))
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-e.workAvailable:
			timer.Reset(0)
		}
	}
}

func (e *Server) step(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	events, duration := e.model.Step()
	for _, event := range events {
		if s := e.streams[event.Run]; s != nil {
			s.apply(now, event)
		}
	}
	e.cancelUnread(now)
	e.loadHistory = appendLoad(e.loadHistory, loadSample{at: now, load: e.model.Load()})
	return duration
}

// cancelUnread cancels the runs without a reader for longer than
// unreadTimeout.
func (e *Server) cancelUnread(now time.Time) {
	for id, s := range e.streams {
		if s.state == stateRunning && s.readers == 0 && now.Sub(s.unreadSince) > e.unreadTimeout {
			e.model.Cancel(id)
			s.finish(stateCancelled)
		}
	}
}

type generationRequest struct {
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
	Model    string          `json:"model"`
	// MaxTokens is the maximum output length; with IgnoreEOS it is the exact
	// length.
	MaxTokens int  `json:"max_tokens"`
	IgnoreEOS bool `json:"ignore_eos"`
}

func (e *Server) complete(format chunkFormatter) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request generationRequest
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		id := RunID(r.Header.Get("X-Run-Id"))
		if id == "" {
			id = RunID(uuid.NewString())
		}
		s, fresh := e.startRun(id, request, format, r.Header)
		if !fresh {
			http.Error(w, "the run exists", http.StatusConflict)
			return
		}
		e.serveEvents(w, r, s, 0)
	}
}

func (e *Server) startRun(id RunID, request generationRequest, format chunkFormatter, header http.Header) (*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[id] != nil {
		return nil, false
	}
	text := string(request.Prompt) + string(request.Messages)
	generation := Generation{
		ID: id, PromptTokens: CountTokens(len(text)), OutputTokens: outputLength(text, request.MaxTokens, request.IgnoreEOS),
		Priority: headerInt(header, "X-Priority"),
		Prefix:   header.Get("X-Prefix"), PrefixTokens: headerInt(header, "X-Prefix-Tokens"),
	}
	s := newStream(id, text, request.Model, format, generation)
	s.requestID = header.Get("X-Request-Id")
	s.unreadSince = time.Now()
	e.streams[id] = s
	e.model.Submit(generation)
	select {
	case e.workAvailable <- struct{}{}:
	default:
	}
	return s, true
}

func (e *Server) resume(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s := e.streams[RunID(r.PathValue("run"))]
	e.mu.Unlock()
	if s == nil {
		http.Error(w, "no such run", http.StatusNotFound)
		return
	}
	e.serveEvents(w, r, s, queryInt(r, "after"))
}

func (e *Server) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := RunID(r.PathValue("run"))
	s := e.streams[id]
	if s == nil {
		http.Error(w, "no such run", http.StatusNotFound)
		return
	}
	e.model.Cancel(id)
	if s.state == stateRunning {
		s.finish(stateCancelled)
	}
}

func (e *Server) setPriority(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Priority int `json:"priority"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.SetPriority(RunID(r.PathValue("run")), request.Priority)
}

func (e *Server) leave(http.ResponseWriter, *http.Request) { e.Leave() }

func (e *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(faults)
}

type runStatus struct {
	Run       RunID  `json:"run"`
	RequestID string `json:"request_id"`
	State     string `json:"state"`
	Generated int    `json:"made"`
}

func (e *Server) getRuns(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := []runStatus{}
	for id, s := range e.streams {
		runs = append(runs, runStatus{Run: id, RequestID: s.requestID, State: string(s.state), Generated: s.generated})
	}
	writeJSON(w, runs)
}

// RunsStarted returns the number of runs started so far.
func (e *Server) RunsStarted() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.streams)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An encoding error here means that the client disconnected; it is ignored.
	_ = json.NewEncoder(w).Encode(v)
}
