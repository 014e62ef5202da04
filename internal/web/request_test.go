// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package web

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/entry"
	"github.com/shedpath/shedpath/internal/reach"
)

// TestParseGeneration has a request that can't be met refused with the field's
// name.
func TestParseGeneration(t *testing.T) {
	for name, c := range map[string]struct {
		body string
		// names is a word of the refusal; empty for a request that is taken.
		names string
	}{
		"taken":                          {`{"model":"m","prompt":"x","max_tokens":5}`, ""},
		"no model":                       {`{"prompt":"x"}`, "model"},
		"no prompt":                      {`{"model":"m"}`, "prompt"},
		"two answers":                    {`{"model":"m","prompt":"x","n":2}`, "n must"},
		"negative max_tokens":            {`{"model":"m","prompt":"x","max_tokens":-5}`, "max_tokens"},
		"negative max_completion_tokens": {`{"model":"m","prompt":"x","max_completion_tokens":-5}`, "max_completion_tokens"},
		"negative beside a good one":     {`{"model":"m","prompt":"x","max_tokens":-5,"max_completion_tokens":9}`, "max_tokens"},
		"not JSON":                       {`{`, "JSON"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, _, failure := parseGeneration(entry.ShapeCompletion, "a", []byte(c.body))
			if c.names == "" {
				is.True(failure == nil)
				return
			}
			is.Equal(failure.Code, entry.CodeBadRequest)
			is.Equal(failure.RunState, entry.NotRun)
			is.True(strings.Contains(failure.Message, c.names))
		})
	}
}

// TestCallerLeftUnread has a call whose caller left before it was read not be passed on.
func TestCallerLeftUnread(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	here, err := listener.Accept()
	is.NoErr(err)
	defer here.Close()
	read := func() *entry.Failure {
		r := httptest.NewRequestWithContext(reach.WithConn(t.Context(), here), http.MethodPost, "/", strings.NewReader("{}"))
		_, failure := readCall(httptest.NewRecorder(), r, 100)
		return failure
	}
	is.Equal(read(), nil)
	is.NoErr(caller.Close())
	_, err = here.Read(make([]byte, 8))
	is.Equal(err, io.EOF) // the close has arrived
	is.Equal(read(), errCallerLeft)
}
