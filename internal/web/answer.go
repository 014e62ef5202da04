// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package web is the adapter to callers and operators: OpenAI's completion
// endpoints, the plain services' routes, and the resource API, over HTTP.
package web

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/shedpath/shedpath/entry"
)

// errorAnswer is the body of every failed call, in the shape that OpenAI's
// clients read, with run and retry_after_ms added.
type errorAnswer struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Message      string         `json:"message"`
	Type         string         `json:"type"`
	Code         entry.Code     `json:"code"`
	Run          entry.RunState `json:"run"`
	RetryAfterMs int64          `json:"retry_after_ms,omitempty"`
}

// statuses gives the HTTP status of each code; the others are 502.
var statuses = map[entry.Code]int{
	entry.CodeBadRequest:           http.StatusBadRequest,
	entry.CodeUnauthorized:         http.StatusUnauthorized,
	entry.CodeUnknownModel:         http.StatusNotFound,
	entry.CodeUnknownRoute:         http.StatusNotFound,
	entry.CodePromptTooLong:        http.StatusBadRequest,
	entry.CodeRequestTooLarge:      http.StatusRequestEntityTooLarge,
	entry.CodeRateLimited:          http.StatusTooManyRequests,
	entry.CodeOverloaded:           http.StatusServiceUnavailable,
	entry.CodeNoEngine:             http.StatusServiceUnavailable,
	entry.CodeLeaving:              http.StatusServiceUnavailable,
	entry.CodeNotReady:             http.StatusServiceUnavailable,
	entry.CodeBadGenerationID:      http.StatusBadRequest,
	entry.CodeGenerationGone:       http.StatusGone,
	entry.CodeDuplicateRequest:     http.StatusConflict,
	entry.CodeIdempotencyKeyReused: http.StatusUnprocessableEntity,
	entry.CodeClaimUnavailable:     http.StatusServiceUnavailable,
	entry.CodeTimeout:              http.StatusGatewayTimeout,
	entry.CodeCancelled:            499,
	// Clients' libraries send a 5xx again by themselves.
	entry.CodeQuarantined: http.StatusUnprocessableEntity,
}

func statusOf(c entry.Code) int {
	if status, known := statuses[c]; known {
		return status
	}
	return http.StatusBadGateway
}

func errorOf(f *entry.Failure) errorAnswer {
	kind := "server_error"
	if statusOf(f.Code) < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return errorAnswer{Error: errorBody{
		Message: f.Message, Type: kind, Code: f.Code, Run: f.RunState, RetryAfterMs: f.RetryAfter.Milliseconds(),
	}}
}

// asFailure turns any error into the failure that the caller is told.
func asFailure(err error) *entry.Failure {
	var f *entry.Failure
	if errors.As(err, &f) {
		return f
	}
	return &entry.Failure{Code: "internal", RunState: entry.Unknown, Message: err.Error()}
}

func writeFailure(w http.ResponseWriter, f *entry.Failure) {
	if f.RetryAfter > 0 {
		// Whole seconds are all that the header can say.
		seconds := int(math.Ceil(f.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writeJSON(w, statusOf(f.Code), errorOf(f))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that went away gets nothing.
	_ = json.NewEncoder(w).Encode(v)
}

func badRequest(message string) *entry.Failure {
	return &entry.Failure{Code: entry.CodeBadRequest, RunState: entry.NotRun, Message: message}
}

var errUnauthorized = &entry.Failure{
	Code: entry.CodeUnauthorized, RunState: entry.NotRun, Message: "give a valid key as 'Authorization: Bearer KEY'",
}

// notReadyRetry is when to come back to an entry without a configuration.
const notReadyRetry = time.Second
