// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package service simulates a plain HTTP service for tests. It echoes each request
// and counts how often the request was executed.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Faults are the faults that can be injected. The zero value injects no fault.
type Faults struct {
	// DelayMillis delays each response after the execution, in milliseconds.
	DelayMillis int `json:"delay_ms"`
	// CloseAfter selects where the connection is closed: "executed" closes it
	// after the execution without a response, "headers" in the middle of the
	// body. Any other value disables the fault.
	CloseAfter string `json:"close_after"`
	// WrongRequestID returns the ID of another request.
	WrongRequestID bool `json:"wrong_request_id"`
}

// Server echoes requests and counts executions by request ID. The zero value is
// ready to use.
type Server struct {
	mu              sync.Mutex
	executionCounts map[string]int
	faults          Faults
}

// maxBodyBytes is the maximum number of bytes read from a request body; the rest
// is ignored.
const maxBodyBytes = 8 << 20

// echoResponse is the JSON body of a response.
type echoResponse struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Body       string `json:"body"`
	RequestID  string `json:"request_id"`
	Executions int    `json:"executions"`
}

// ServeHTTP executes a request or serves the control paths under /standin/.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/standin/counts":
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(s.executionCounts)
		return
	case "/standin/faults":
		s.putFaults(w, r)
		return
	}
	s.execute(w, r)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Executions returns how often the request was executed. A request is identified
// by its Idempotency-Key header or, if that is absent, by its X-Request-Id header.
func (s *Server) Executions(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executionCounts[id]
}

// TotalExecutions returns the number of executions of all requests.
func (s *Server) TotalExecutions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, n := range s.executionCounts {
		total += n
	}
	return total
}

func (s *Server) execute(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	requestID := r.Header.Get("X-Request-Id")
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		key = requestID
	}
	s.mu.Lock()
	if s.executionCounts == nil {
		s.executionCounts = map[string]int{}
	}
	s.executionCounts[key]++
	executions, faults := s.executionCounts[key], s.faults
	s.mu.Unlock()
	select {
	case <-time.After(time.Duration(faults.DelayMillis) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	if faults.WrongRequestID {
		requestID = "another"
	}
	response, _ := json.Marshal(echoResponse{
		Method: r.Method, Path: r.URL.Path, Body: string(body), RequestID: requestID, Executions: executions,
	})
	s.writeResponse(w, faults, requestID, response)
}

func (s *Server) writeResponse(w http.ResponseWriter, faults Faults, requestID string, response []byte) {
	if faults.CloseAfter == "executed" {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Id", requestID)
	if faults.CloseAfter == "headers" {
		_, _ = w.Write(response[:len(response)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(response)
}
