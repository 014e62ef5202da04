// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package wellformed

import (
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// maxInformational is how many informational responses may precede a response. The library bounds them only for requests
// without a hook for them.
const maxInformational = 64

// Transport fails requests whose responses are malformed.
type Transport struct {
	// Base sends the requests.
	Base http.RoundTripper
}

// RoundTrip sends a request. Its error wraps ErrMalformed if the head of the response, or of an informational one before it,
// is malformed; Check says what becomes of the body.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	informational := 0
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		Got1xxResponse: func(status int, fields textproto.MIMEHeader) error {
			if informational++; informational > maxInformational {
				return fmt.Errorf("%w: more than %d informational responses", ErrMalformed, maxInformational)
			}
			return checkHead(status, http.Header(fields))
		},
	})
	response, err := t.Base.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		// The error to report is why the response can't be used.
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}
