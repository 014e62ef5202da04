// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package service is a stand-in for a plain service: it answers any call with
// what it was asked, and counts how often each request was executed.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Faults are the troubles that can be switched on. The zero value is a healthy
// service.
type Faults struct {
	// DelayMillis holds back each answer, after the request was executed.
	DelayMillis int `json:"delay_ms"`
	// CloseAfter says where the connection breaks: "executed" breaks it after
	// the execution with no answer, "headers" in the middle of the body.
	CloseAfter string `json:"close_after"`
	// WrongRequestID answers as if for another request.
	WrongRequestID bool `json:"wrong_request_id"`
}

// Server counts the executions by request id. The zero value works.
type Server struct {
	mu              sync.Mutex
	executionCounts map[string]int
	faults          Faults
}

// maxBodyBytes bounds what is read of a request.
const maxBodyBytes = 8 << 20

// echoResponse is the service's answer.
type echoResponse struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Body       string `json:"body"`
	RequestID  string `json:"request_id"`
	Executions int    `json:"executions"`
}

// ServeHTTP executes a call, or serves the stand-in's own /standin/ paths.
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

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Executions returns how often the request was executed. A request is known by
// its Idempotency-Key or, without one, by its X-Request-Id.
func (s *Server) Executions(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executionCounts[id]
}

// TotalExecutions returns how many executions there were in all.
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
