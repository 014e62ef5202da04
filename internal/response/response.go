// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package response checks HTTP responses for malformed parts that net/http lets pass.
package response

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrMalformed reports a response that isn't one in the protocol.
var ErrMalformed = errors.New("malformed response")

// The range of status codes by RFC 9110, section 15.
const (
	minStatus = 100
	maxStatus = 599
)

// Check returns an error that wraps ErrMalformed if the head of a response is malformed. The response may be informational.
func Check(r *http.Response) error {
	if r.StatusCode < minStatus || r.StatusCode > maxStatus {
		return fmt.Errorf("%w: status %.20q", ErrMalformed, r.Status)
	}
	return nil
}
