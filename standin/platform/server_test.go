// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package platform

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestEraOfDelayedRequest checks that an answer names the era in which its request took effect. A
// write that a restore had overtaken was answered with the era before.
func TestEraOfDelayedRequest(t *testing.T) {
	for _, tt := range []struct{ method, path, body string }{
		{http.MethodPut, "/v1/kv/k?cas=0", "v"},
		{http.MethodGet, "/v1/kv/k", ""},
		{http.MethodGet, "/v1/kv/k?recurse", ""},
		{http.MethodDelete, "/v1/kv/k?cas=1", ""},
		{http.MethodPut, "/v1/session/create", `{"TTL":"10s","Behavior":"delete"}`},
		{http.MethodPut, "/v1/session/renew/1", ""},
		{http.MethodPut, "/v1/session/destroy/1", ""},
		{http.MethodPut, "/v1/agent/service/register", `{"ID":"a"}`},
		{http.MethodPut, "/v1/agent/service/deregister/a", ""},
		{http.MethodGet, "/v1/catalog/service/a", ""},
	} {
		t.Run(tt.method+" "+tt.path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := New()
				copied := s.Snapshot()
				s.SetFaults(Faults{DelayMillis: 300})
				time.AfterFunc(100*time.Millisecond, func() { s.Restore(copied) })
				answer := httptest.NewRecorder()
				s.ServeHTTP(answer, httptest.NewRequest(tt.method, tt.path, strings.NewReader(tt.body)))
				is.Equal(answer.Header().Get(headerEra), "2")
			})
		})
	}
}
