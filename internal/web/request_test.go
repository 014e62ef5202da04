// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package web

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/entry"
	"github.com/shedpath/shedpath/internal/reach"
	"github.com/shedpath/shedpath/quarantine"
)

// TestParseGeneration checks that an invalid request is rejected with a message that names
// the field.
func TestParseGeneration(t *testing.T) {
	for name, c := range map[string]struct {
		body string
		// wantWord occurs in the failure's message; empty if the request is valid.
		wantWord string
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
			if c.wantWord == "" {
				is.True(failure == nil)
				return
			}
			is.Equal(failure.Code, entry.CodeBadRequest)
			is.Equal(failure.RunState, entry.NotRun)
			is.True(strings.Contains(failure.Message, c.wantWord))
		})
	}
}

// TestReadCallBodyCallerLeft checks that a call is not sent to upstreams if its caller left
// before the body was read.
func TestReadCallBodyCallerLeft(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	clientConn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	serverConn, err := listener.Accept()
	is.NoErr(err)
	defer serverConn.Close()
	read := func() *entry.Failure {
		r := httptest.NewRequestWithContext(reach.WithConn(t.Context(), serverConn), http.MethodPost, "/", strings.NewReader("{}"))
		_, failure := readCallBody(httptest.NewRecorder(), r, 100)
		return failure
	}
	is.Equal(read(), nil)
	is.NoErr(clientConn.Close())
	_, err = serverConn.Read(make([]byte, 8))
	is.Equal(err, io.EOF) // the close has arrived
	is.Equal(read(), errCallerLeft)
}

// TestSharedMessages guards against two conversations that share a message being known by different
// parts, and against the last message, which belongs to one request, being known as shared.
func TestSharedMessages(t *testing.T) {
	is := is.New(t)
	parse := func(messages string) []quarantine.PartID {
		request, _, failure := parseGeneration(entry.ShapeChat, "a", []byte(`{"model":"m","messages":`+messages+`}`))
		is.True(failure == nil)
		return request.SharedParts
	}
	one, other := parse(`["system", {"a": 1}, "x"]`), parse(`["other", {"a": 1}, "y", "x"]`)
	is.Equal(len(one), 2)
	is.Equal(len(other), 3)
	is.True(one[0] != other[0])
	is.Equal(one[1], other[1])
	is.Equal(len(parse(`["x"]`)), 0)
	is.Equal(len(parse(`"x"`)), 0)
	is.Equal(len(parse(`[`+strings.Repeat(`"m",`, 2*maxSharedMessages)+`"x"]`)), maxSharedMessages)
}

// TestCutServiceAnswerLooksCut guards against an answer that broke off after its beginning was passed on, and that ends for the
// caller as if it were whole.
func TestCutServiceAnswerLooksCut(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		broken := io.MultiReader(strings.NewReader("rest"), iotest.ErrReader(io.ErrUnexpectedEOF))
		writeServiceAnswer(w, r, entry.ServiceAnswer{Status: http.StatusOK, Body: make([]byte, 1<<20), RemainingBody: io.NopCloser(broken)})
	}))
	server.Config.ConnContext = reach.WithConn
	server.Start()
	defer server.Close()
	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		t.Run(proto, func(t *testing.T) {
			is := is.New(t)
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			is.NoErr(err)
			defer c.Close()
			_, err = fmt.Fprintf(c, "GET / %s\r\nHost: a\r\n\r\n", proto)
			is.NoErr(err)
			answer, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil {
				_, err = io.Copy(io.Discard, answer.Body)
			}
			is.True(errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET))
		})
	}
}
