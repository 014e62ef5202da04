// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package cutanswer tests clients with HTTP answers that break off after each of their bytes, or that are malformed.
package cutanswer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// Framing is a way to mark the end of an answer's body.
type Framing string

// The framings.
const (
	Length  Framing = "length"
	Chunks  Framing = "chunks"
	Unended Framing = "no length"
)

// Answer returns an answer of status 200. Each header line ends with a line end.
func (f Framing) Answer(header, body string) string {
	head := "HTTP/1.1 200 OK\r\n" + header
	switch f {
	case Length:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	case Chunks:
		head += "Transfer-Encoding: chunked\r\n\r\n"
		if body != "" {
			head += fmt.Sprintf("1\r\n%s\r\n", body[:1])
		}
		if len(body) > 1 {
			head += fmt.Sprintf("%x\r\n%s\r\n", len(body)-1, body[1:])
		}
		return head + "0\r\n\r\n"
	default:
		return head + "\r\n" + body
	}
}

// Server answers each request with the same bytes and closes the connection. Use NewServer.
type Server struct {
	// Address is IP:port.
	Address string
	answer  atomic.Pointer[answer]
}

// answer is the beginning of an answer, after which the connection is closed, or reset.
type answer struct {
	text  string
	reset bool
}

// NewServer starts a server that ends with the test.
func NewServer(t *testing.T) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &Server{Address: listener.Addr().String()}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

// serve answers one request. What fails shows at the client.
func (s *Server) serve(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	a := s.answer.Load()
	_, _ = io.WriteString(c, a.text)
	if a.reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// malform returns an answer with its status or the name of a field made malformed in several ways.
func malform(text string) []string {
	statusLine, rest, _ := strings.Cut(text, "\r\n")
	var malformed []string
	for _, status := range []string{"000", "+12", "-00", "099", "600", "999", "1000"} {
		malformed = append(malformed, strings.Replace(text, " 200 ", " "+status+" ", 1))
	}
	for _, field := range []string{"X Trouble: 1", "X-Trouble : 1", " X-Trouble: 1", "X-Trouble\t: 1", "X\x01Trouble: 1", "X\x7fTrouble: 1", ": 1"} {
		malformed = append(malformed, statusLine+"\r\n"+field+"\r\n"+rest, "HTTP/1.1 103 Early Hints\r\n"+field+"\r\n\r\n"+text)
		if chunks, ended := strings.CutSuffix(text, "0\r\n\r\n"); ended {
			malformed = append(malformed, chunks+"0\r\n"+field+"\r\n\r\n")
		}
	}
	return malformed
}

// Check answers a client's call with each beginning of an answer, with malformed answers, and with the whole one. The call
// must fail on all but the last.
func (s *Server) Check(t *testing.T, text string, call func() error) {
	t.Helper()
	for n := range text {
		for _, reset := range []bool{false, true} {
			s.answer.Store(&answer{text[:n], reset})
			if call() == nil {
				t.Fatalf("the answer %q, reset %v, counts as whole", text[:n], reset)
			}
		}
	}
	for _, malformed := range malform(text) {
		s.answer.Store(&answer{text: malformed})
		if call() == nil {
			t.Errorf("the malformed answer %q counts as whole", malformed)
		}
	}
	s.answer.Store(&answer{text: text})
	if err := call(); err != nil {
		t.Fatalf("the answer %q: %v", text, err)
	}
}
