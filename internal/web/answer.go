// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package web serves an entry's HTTP endpoints. Callers use OpenAI's completion endpoints and
// the routes of plain services. Operators use the resource API, status and metrics.
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

// errorAnswer is the body of a failed call, in the format that OpenAI's clients expect, with
// run and retry_after_ms added.
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

// httpStatuses maps failure codes to HTTP statuses. Other codes get 502.
var httpStatuses = map[entry.Code]int{
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
	// Not a 5xx: client libraries retry those automatically.
	entry.CodeQuarantined: http.StatusUnprocessableEntity,
}

func httpStatusOf(c entry.Code) int {
	if status, known := httpStatuses[c]; known {
		return status
	}
	return http.StatusBadGateway
}

func errorAnswerOf(f *entry.Failure) errorAnswer {
	kind := "server_error"
	if httpStatusOf(f.Code) < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return errorAnswer{Error: errorBody{
		Message: f.Message, Type: kind, Code: f.Code, Run: f.RunState, RetryAfterMs: f.RetryAfter.Milliseconds(),
	}}
}

// failureOf returns the failure that err wraps, or an internal failure if it wraps none.
func failureOf(err error) *entry.Failure {
	var f *entry.Failure
	if errors.As(err, &f) {
		return f
	}
	return &entry.Failure{Code: "internal", RunState: entry.Unknown, Message: err.Error()}
}

func writeFailure(w http.ResponseWriter, f *entry.Failure) {
	if f.RetryAfter > 0 {
		// The header can only hold whole seconds.
		seconds := int(math.Ceil(f.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writeJSON(w, httpStatusOf(f.Code), errorAnswerOf(f))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client is gone, so there is nobody to report it to.
	_ = json.NewEncoder(w).Encode(v)
}

func badRequest(message string) *entry.Failure {
	return &entry.Failure{Code: entry.CodeBadRequest, RunState: entry.NotRun, Message: message}
}

var errUnauthorized = &entry.Failure{
	Code: entry.CodeUnauthorized, RunState: entry.NotRun, Message: "give a valid key as 'Authorization: Bearer KEY'",
}

// notReadyRetryAfter is the delay after which callers of an entry without a configuration are
// asked to retry.
const notReadyRetryAfter = time.Second
