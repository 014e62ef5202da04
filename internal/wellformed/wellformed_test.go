// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package wellformed

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// read parses a response and checks its head.
func read(t *testing.T, text string) (*http.Response, error) {
	t.Helper()
	r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
	if err != nil {
		t.Fatal(err)
	}
	return r, Check(r)
}

func TestStatus(t *testing.T) {
	for status, wellFormed := range map[string]bool{
		"000": false, "-00": false, "+12": false, "099": false, "600": false, "999": false,
		"100": true, "103": true, "200": true, "404": true, "599": true,
	} {
		if _, err := read(t, "HTTP/1.1 "+status+" Odd\r\n\r\n"); (err == nil) != wellFormed || err != nil && !errors.Is(err, ErrMalformed) {
			t.Errorf("status %s: %v", status, err)
		}
	}
}

func TestFieldNames(t *testing.T) {
	for field, wellFormed := range map[string]bool{
		"Content-Length : 3": false, "Transfer-Encoding : chunked": false, "X Trouble: 1": false,
		"Content-Length: 0": true, "x_trouble!: 1": true, "X-Trouble:": true,
	} {
		if _, err := read(t, "HTTP/1.1 200 OK\r\n"+field+"\r\n\r\n"); (err == nil) != wellFormed || err != nil && !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", field, err)
		}
		r, err := read(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"+field+"\r\n\r\n")
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(r.Body)
		if (err == nil) != wellFormed || err != nil && !errors.Is(err, ErrMalformed) || string(body) != "abc" {
			t.Errorf("%s in a trailer: %q, %v", field, body, err)
		}
	}
}
