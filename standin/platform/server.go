// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Faults are the faults that a test or an operator can inject. The zero value
// injects no fault.
type Faults struct {
	// Outage fails every request with status 503.
	Outage bool `json:"outage"`
	// DropResponses is the number of following writes that take effect but
	// whose connection is closed without a response.
	DropResponses int `json:"drop_answers"`
	// DelayMillis delays every request, in milliseconds.
	DelayMillis int `json:"delay_ms"`
	// ListLagMillis is the age of the returned host list in milliseconds.
	ListLagMillis int `json:"list_lag_ms"`
}

// Counts holds the numbers of requests received so far, refused ones included. A
// blocking query counts as one read.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Refused int64 `json:"refused"`
}

// Server serves the simulated platform over HTTP. Create it with New.
type Server struct {
	mu    sync.Mutex
	store *store
	// era increases by one with each Restore.
	era    uint64
	faults Faults
	counts Counts
	// changed is closed and replaced at writes, restores and fault changes, to
	// wake blocking queries.
	changed chan struct{}

	reads, writes *rate.Limiter
	mux           *http.ServeMux
}

// Option configures a Server in New.
type Option func(*Server)

// WithRates sets the rate limits in requests per second; zero means unlimited.
func WithRates(writes, reads float64) Option {
	return func(s *Server) {
		s.writes, s.reads = newLimiter(writes), newLimiter(reads)
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond)+1)
}

// New returns an empty Server, by default without faults or rate limits.
func New(opts ...Option) *Server {
	s := &Server{store: newStore(), era: 1, changed: make(chan struct{}), mux: http.NewServeMux()}
	WithRates(0, 0)(s)
	for _, opt := range opts {
		opt(s)
	}
	s.mux.HandleFunc("GET /v1/kv/{key...}", s.read(s.getKey))
	s.mux.HandleFunc("PUT /v1/kv/{key...}", s.write(s.putKey))
	s.mux.HandleFunc("DELETE /v1/kv/{key...}", s.write(s.deleteKey))
	s.mux.HandleFunc("PUT /v1/session/create", s.write(s.createSession))
	s.mux.HandleFunc("PUT /v1/session/renew/{id}", s.write(s.renewSession))
	s.mux.HandleFunc("PUT /v1/session/destroy/{id}", s.write(s.destroySession))
	s.mux.HandleFunc("PUT /v1/agent/service/register", s.write(s.register))
	s.mux.HandleFunc("PUT /v1/agent/service/deregister/{id}", s.write(s.deregister))
	s.mux.HandleFunc("GET /v1/catalog/service/{name}", s.read(s.listServices))
	s.mux.HandleFunc("PUT /standin/faults", s.putFaults)
	s.mux.HandleFunc("GET /standin/counts", s.getCounts)
	return s
}

// ServeHTTP serves the Consul API and the control paths under /standin/.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// headerEra is the response header that carries the store's era.
const headerEra = "Store-Era"

// Snapshot is a copy of the service's state at a point in time.
type Snapshot struct{ store store }

// Snapshot returns a copy of the current state, for Restore.
func (s *Server) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{s.store.clone()}
}

// Restore replaces the state by a snapshot: writes acknowledged since the
// snapshot are lost, and the store index goes back.
func (s *Server) Restore(snapshot Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	restored := snapshot.store.clone()
	s.store = &restored
	s.era++
	s.notifyWatches()
}

// Counts returns the numbers of requests received so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) read(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.admit(w, r, s.reads, func(c *Counts) { c.Reads++ }) {
			next(w, r)
		}
	}
}

// write wraps the handler of a write. While DropResponses is positive, the write
// takes effect and the connection is closed without a response.
func (s *Server) write(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.admit(w, r, s.writes, func(c *Counts) { c.Writes++ }) {
			return
		}
		s.mu.Lock()
		dropResponse := s.faults.DropResponses > 0
		if dropResponse {
			s.faults.DropResponses--
		}
		s.mu.Unlock()
		if dropResponse {
			next(discardResponse{}, r)
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

// setEra puts the era into the response's header. A handler calls it while it holds the mutex for
// its effect, because a restore may come between the request's arrival and its effect.
func (s *Server) setEra(w http.ResponseWriter) {
	w.Header().Set(headerEra, strconv.FormatUint(s.era, 10))
}

// discardResponse is a ResponseWriter that discards the response.
type discardResponse struct{}

func (discardResponse) Header() http.Header         { return http.Header{} }
func (discardResponse) Write(p []byte) (int, error) { return len(p), nil }
func (discardResponse) WriteHeader(int)             {}

func (s *Server) admit(w http.ResponseWriter, r *http.Request, limit *rate.Limiter, count func(*Counts)) bool {
	s.mu.Lock()
	count(&s.counts)
	faults := s.faults
	s.setEra(w)
	s.mu.Unlock()
	if faults.DelayMillis > 0 {
		select {
		case <-time.After(time.Duration(faults.DelayMillis) * time.Millisecond):
		case <-r.Context().Done():
			return false
		}
	}
	if faults.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	}
	if !limit.Allow() {
		s.mu.Lock()
		s.counts.Refused++
		s.mu.Unlock()
		http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
		return false
	}
	return true
}

type keyResponse struct {
	Key         string
	Value       []byte
	CreateIndex uint64
	ModifyIndex uint64
	LockIndex   uint64
	Session     string `json:",omitempty"`
}

const maxWait = 10 * time.Minute

// getKey returns a key. With ?index= it waits until the key's modify index exceeds
// the given index or the wait time is over. It returns at once if the given index
// is above the store's, as after Restore.
func (s *Server) getKey(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	if r.URL.Query().Has("recurse") {
		s.listKeys(w, key)
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait > maxWait {
		wait = maxWait
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		entry, found := s.store.get(time.Now(), key)
		index, changed, outage := s.store.index, s.changed, s.faults.Outage
		s.setEra(w)
		s.mu.Unlock()
		if outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if after == 0 || entry.modifyIndex > after || after > max(index, 1) {
			writeKey(w, key, entry, found, index)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			writeKey(w, key, entry, found, index)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeKey(w http.ResponseWriter, key string, entry kvEntry, found bool, index uint64) {
	w.Header().Set("X-Consul-Index", strconv.FormatUint(max(index, 1), 10))
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, []keyResponse{newKeyResponse(key, entry)})
}

func newKeyResponse(key string, entry kvEntry) keyResponse {
	return keyResponse{
		Key: key, Value: entry.value, CreateIndex: entry.createIndex,
		ModifyIndex: entry.modifyIndex, LockIndex: entry.lockIndex, Session: entry.session,
	}
}

func (s *Server) listKeys(w http.ResponseWriter, prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	responses := []keyResponse{}
	for _, key := range s.store.list(time.Now(), prefix) {
		responses = append(responses, newKeyResponse(key, s.store.entries[key]))
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(max(s.store.index, 1), 10))
	writeJSON(w, responses)
}

const maxValueBytes = 1 << 20

func (s *Server) putKey(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	key, query := r.PathValue("key"), r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	ok, now := true, time.Now()
	switch {
	case query.Has("acquire"):
		ok = s.store.acquire(now, key, value, query.Get("acquire"))
	case query.Has("cas"):
		wantIndex, _ := strconv.ParseUint(query.Get("cas"), 10, 64)
		ok = s.store.compareAndSwap(now, key, value, wantIndex)
	default:
		s.store.put(now, key, value)
	}
	s.notifyWatches()
	writeJSON(w, ok)
}

func (s *Server) deleteKey(w http.ResponseWriter, r *http.Request) {
	wantIndex, _ := strconv.ParseUint(r.URL.Query().Get("cas"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	ok := s.store.remove(time.Now(), r.PathValue("key"), wantIndex)
	s.notifyWatches()
	writeJSON(w, ok)
}

func (s *Server) createSession(w http.ResponseWriter, r *http.Request) {
	var request struct{ TTL, Behavior string }
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(request.TTL)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	writeJSON(w, map[string]string{"ID": s.store.createSession(time.Now(), ttl, request.Behavior == "delete")})
}

func (s *Server) renewSession(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	if !s.store.renewSession(time.Now(), r.PathValue("id")) {
		http.Error(w, "no such session", http.StatusNotFound)
		return
	}
	writeJSON(w, []string{})
}

func (s *Server) destroySession(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	s.store.destroySession(r.PathValue("id"))
	s.notifyWatches()
	writeJSON(w, true)
}

func (s *Server) register(w http.ResponseWriter, r *http.Request) {
	var sv service
	if err := json.NewDecoder(r.Body).Decode(&sv); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	s.store.register(time.Now(), sv)
}

func (s *Server) deregister(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	s.store.deregister(time.Now(), r.PathValue("id"))
}

type serviceResponse struct {
	ServiceID      string
	ServiceName    string
	ServiceAddress string
	ServicePort    int
	ServiceMeta    map[string]string
}

func (s *Server) listServices(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	lag := time.Duration(s.faults.ListLagMillis) * time.Millisecond
	responses := []serviceResponse{}
	for _, sv := range s.store.services(time.Now().Add(-lag), r.PathValue("name")) {
		responses = append(responses, serviceResponse{
			ServiceID: sv.ID, ServiceName: sv.Name, ServiceAddress: sv.Address,
			ServicePort: sv.Port, ServiceMeta: sv.Meta,
		})
	}
	writeJSON(w, responses)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An encoding error here means that the client disconnected; it is ignored.
	_ = json.NewEncoder(w).Encode(v)
}
