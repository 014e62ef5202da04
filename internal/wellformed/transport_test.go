// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package wellformed

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestInformationalResponses checks that informational responses are skipped, but not without a bound.
func TestInformationalResponses(t *testing.T) {
	for count, passes := range map[int]bool{0: true, 1: true, maxInformational: true, maxInformational + 1: false} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for range count {
				w.WriteHeader(http.StatusEarlyHints)
			}
			w.WriteHeader(http.StatusOK)
		}))
		client := http.Client{Transport: Transport{Base: &http.Transport{}}}
		response, err := client.Get(server.URL)
		if err == nil {
			_ = response.Body.Close()
		}
		if (err == nil) != passes || err != nil && !errors.Is(err, ErrMalformed) {
			t.Errorf("%d informational responses: %v", count, err)
		}
		client.CloseIdleConnections()
		server.Close()
	}
}
