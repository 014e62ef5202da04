// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package web

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"testing"
	"time"

	"github.com/shedpath/shedpath/entry"
	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/internal/golden"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/quarantine"
	"github.com/shedpath/shedpath/resource"
)

var goldenNow = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func answerText(t *testing.T, answer func(w http.ResponseWriter)) string {
	w := httptest.NewRecorder()
	answer(w)
	var text bytes.Buffer
	if err := w.Result().Write(&text); err != nil {
		t.Error(err)
	}
	return golden.HTTP(text.Bytes())
}

// TestGoldenFailures pins the answer to each failure.
func TestGoldenFailures(t *testing.T) {
	b := golden.Open(t, "failures")
	runs := []entry.RunState{entry.NotRun, entry.Unknown, entry.Partial}
	for n, code := range []entry.Code{
		entry.CodeBadRequest, entry.CodeUnauthorized, entry.CodeUnknownModel, entry.CodeUnknownRoute, entry.CodePromptTooLong, entry.CodeRequestTooLarge,
		entry.CodeRateLimited, entry.CodeOverloaded, entry.CodeNoEngine, entry.CodeLeaving, entry.CodeNotReady, entry.CodeUpstreamLost,
		entry.CodeUpstreamRefused, entry.CodeBadStream, entry.CodeBadGenerationID, entry.CodeGenerationGone, entry.CodeDuplicateRequest, entry.CodeIdempotencyKeyReused,
		entry.CodeClaimUnavailable, entry.CodeTimeout, entry.CodeCancelled, entry.CodeQuarantined,
	} {
		f := &entry.Failure{Code: code, RunState: runs[n%len(runs)], Message: "message", RetryAfter: time.Duration(1000+n) * time.Millisecond}
		b.Text(string(code), answerText(t, func(w http.ResponseWriter) { writeFailure(w, f) }))
	}
}

// TestGoldenAnswers pins the other answers to callers.
func TestGoldenAnswers(t *testing.T) {
	b := golden.Open(t, "answers")
	ending := entry.RunResult{Complete: true, PromptTokens: 11, CompletionTokens: 12}
	asked := generationBody{Model: "model-1", StreamOptions: &streamOptions{IncludeUsage: true}}
	b.Text("stream", answerText(t, func(w http.ResponseWriter) {
		s := newEventSink(w)
		if s.Begin("generation-1") != nil || s.Token(7, `{"t":1}`) != nil {
			t.Error("not written")
		}
		s.finish(asked, ending)
		s.fail(&entry.Failure{Code: entry.CodeGenerationGone, RunState: entry.Partial, Message: "message"})
	}))
	for _, shape := range []entry.Shape{entry.ShapeCompletion, entry.ShapeChat} {
		s := collectingSink{generationID: "generation-1"}
		if err := s.Token(0, `{"created":13,"system_fingerprint":"f","choices":[{"text":"text","delta":{"content":"content"},"finish_reason":"length"}]}`); err != nil {
			t.Error(err)
		}
		b.Text("answer to "+string(shape), answerText(t, func(w http.ResponseWriter) { writeJSON(w, 200, s.answer(shape, "model-1", ending)) }))
		text := `{"model":"m","prompt":"p","messages":["m"],"stream_options":{"include_usage":true},"max_tokens":14,"max_completion_tokens":15,"n":1,"other":2}`
		request, body, failure := parseGeneration(shape, "account-1", []byte(text))
		golden.Equal(t, "request", fmt.Sprintln(request.Account, request.Route, request.MaxOutputTokens, failure, body.StreamOptions.IncludeUsage), "account-1 m 15 <nil> true\n")
		b.Text("request for "+string(shape), string(request.Body))
	}
	b.Text("models", answerText(t, func(w http.ResponseWriter) {
		writeJSON(w, 200, modelsAnswer{Object: "list", Data: []modelAnswer{{ID: "id", Object: "model", OwnedBy: "owner"}}})
	}))
}

// eraStore is a platform that tells its era alone.
type eraStore struct{ entry.Store }

func (eraStore) Era() history.Era { return 1 }

// TestGoldenAdmin pins the answers to operators.
func TestGoldenAdmin(t *testing.T) {
	b := golden.Open(t, "admin")
	put := func(name string, v any) {
		b.Text(name, answerText(t, func(w http.ResponseWriter) { writeJSON(w, 200, v) }))
	}
	for n, s := range golden.Cases(golden.NewFiller(goldenNow), func(s *entry.Status) {
		s.Upstreams[0].Kind, s.Upstreams[1].Kind = member.KindEngine, member.KindService
	}) {
		put(fmt.Sprint("status ", n+1), entryAnswerOf(s, goldenNow))
	}
	// A zone that is up to date, one that is behind, and one that wasn't heard for long.
	zones := []entry.ZoneState{
		{Zone: "zone-1", Revision: 12, Entries: 1, ReportedAt: goldenNow},
		{Zone: "zone-2", Revision: 11, Entries: 2, ReportedAt: goldenNow},
		{Zone: "zone-3", Revision: 12, Entries: 3, ReportedAt: goldenNow.Add(-time.Hour)},
	}
	one := resourceAnswer{
		Kind: resource.Routes, Name: "name-1", ResourceVersion: 12, Spec: json.RawMessage(`{"s":1}`), Status: statusAnswerOf(zones, goldenNow, 12),
	}
	put("resource", one)
	one.Status = statusAnswerOf(zones[:1], goldenNow, 12)
	put("list of resources", listAnswer{Revision: 13, Items: []resourceAnswer{one}})
	put("accepted", acceptedAnswer{ResourceVersion: 14})
	put("conflict", problemAnswer{Message: "message", Findings: resource.Findings{{Field: "field", Message: "finding"}}, Now: &one})
	for _, kind := range []string{watchPut, watchDelete, watchStatus} {
		put("watch, "+kind, watchEvent{Type: kind, Resource: one})
	}
	e := entry.New(entry.Settings{}, entry.Dependencies{Store: eraStore{}, Claims: eraStore{}, Outcomes: eraStore{}})
	marks := golden.Cases(golden.NewFiller(goldenNow), func(m *quarantine.Mark) {
		m.Crashes = append(m.Crashes, quarantine.CrashAge{Upstream: quarantine.Upstream{ID: "third"}})
		for i := range m.Crashes {
			m.Crashes[i].Age = 30 * time.Second
		}
	})
	e.OnHeartbeat(time.Now(), entry.Heartbeat{From: member.Entry{ID: "h"}, Crashes: marks})
	held := answerText(t, func(w http.ResponseWriter) { (&Admin{entry: e}).quarantine(w, nil, nil) })
	b.Text("requests that are held", regexp.MustCompile(`(Seconds":)3\d[.\d]*`).ReplaceAllString(held, "${1}30")) // and what the test took
}
