// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/quarantine"
)

// recordingJournal is a Journal that keeps its lines in memory.
type recordingJournal struct {
	mu    sync.Mutex
	lines []string
}

func (j *recordingJournal) Request(id RequestID, event string, keyvals ...any) {
	j.HostEvent(event, append([]any{"request", id}, keyvals...)...)
}

func (j *recordingJournal) HostEvent(event string, keyvals ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	line := event
	for i := 0; i+1 < len(keyvals); i += 2 {
		line += fmt.Sprintf(" %v=%v", keyvals[i], keyvals[i+1])
	}
	j.lines = append(j.lines, line)
}

// linesWithPrefix returns the lines that begin with an event.
func (j *recordingJournal) linesWithPrefix(event string) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var found []string
	for _, line := range j.lines {
		if strings.HasPrefix(line, event) {
			found = append(found, line)
		}
	}
	return found
}

// TestBrokenConnectionIsLogged checks that each connection that breaks before the end of its
// answer is logged with a fingerprint of the request, and with whether the upstream itself has
// ended.
func TestBrokenConnectionIsLogged(t *testing.T) {
	closed := func(Upstream) error { return fmt.Errorf("%w: refused", ErrPortClosed) }
	breaks := func(body io.Reader, err error) func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
		return func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
			if err != nil {
				return nil, err
			}
			a := answer(200, "")
			a.ContentLength, a.Body = -1, io.NopCloser(body)
			return a, nil
		}
	}
	for name, c := range map[string]struct {
		path  string
		send  func(context.Context, Upstream, *UpstreamRequest) (*Response, error)
		reach func(Upstream) error
		want  string
	}{
		"stream, before its head":     {"/llm/", breaks(nil, io.ErrUnexpectedEOF), closed, "ended=true"},
		"stream, before an event":     {"/llm/", breaks(errReader{}, nil), closed, "ended=true"},
		"stream, in its midst":        {"/llm/", breaks(io.MultiReader(strings.NewReader("id: 1\ndata: a\n\n"), errReader{}), nil), closed, "first_event_ago="},
		"call":                        {"/order/", breaks(nil, syscall.ECONNRESET), closed, "ended=true"},
		"the upstream still listens":  {"/order/", breaks(nil, io.ErrUnexpectedEOF), nil, "ended=false"},
		"the upstream can't be asked": {"/order/", breaks(nil, io.ErrUnexpectedEOF), func(Upstream) error { return errConnectionLost }, "ended=false"},
		"bytes that are no answer":    {"/order/", breaks(nil, ErrMismatchedResponse), closed, ""},
		"a link that fell silent":     {"/order/", breaks(nil, syscall.ETIMEDOUT), closed, ""},
		"nothing was sent":            {"/order/", breaks(nil, ErrNotSent), closed, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newForwarder(t, &fakeTransport{send: c.send, checkReachable: c.reach})
			journal := &recordingJournal{}
			f.journal = journal
			request := call(c.path)
			request.Prompt.SharedParts = []quarantine.PartID{"p1", "p2"}
			f.Serve(t.Context(), request, &fakeSink{})
			lines := journal.linesWithPrefix("connection broke")
			if c.want == "" {
				is.Equal(len(lines), 0)
				return
			}
			is.Equal(len(lines), 1)
			is.True(strings.Contains(lines[0], c.want))
			is.True(strings.Contains(lines[0], "asks="))
			is.True(strings.Contains(lines[0], "parts=p1,p2"))
		})
	}
}
