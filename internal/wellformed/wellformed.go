// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package wellformed checks HTTP responses for malformed parts that net/http lets pass.
package wellformed

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed reports a response that isn't one in the protocol.
var ErrMalformed = errors.New("malformed response")

// The range of status codes by RFC 9110, section 15.
const (
	minStatus = 100
	maxStatus = 599
)

// Check returns an error that wraps ErrMalformed if the head of a response is malformed. The response may be informational.
// Its body fails in the same way at its end if its trailer is malformed.
func Check(r *http.Response) error {
	if len(r.TransferEncoding) > 0 {
		r.Body = &trailedBody{ReadCloser: r.Body, response: r}
	}
	return checkHead(r.StatusCode, r.Header)
}

func checkHead(status int, fields http.Header) error {
	if status < minStatus || status > maxStatus {
		return fmt.Errorf("%w: status %d", ErrMalformed, status)
	}
	return checkNames(fields)
}

// checkNames checks the names of a head's or trailer's fields. The library keeps names that have a blank, and doesn't
// take "Content-Length : 3" for a length.
func checkNames(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %.60q", ErrMalformed, name)
		}
	}
	return nil
}

// trailedBody is the body of a response that may have a trailer.
type trailedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read reads from the body. The library has parsed the trailer once it reports the body's end.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if malformed := checkNames(b.response.Trailer); malformed != nil {
			err = malformed
		}
	}
	return n, err
}
