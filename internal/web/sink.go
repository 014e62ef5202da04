// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package web

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/shedpath/shedpath/entry"
)

// eventSink passes an answer on as server-sent events.
type eventSink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	id         entry.GenerationID
	begun      bool
	line       []byte
}

func newEventSink(w http.ResponseWriter) *eventSink {
	return &eventSink{w: w, controller: http.NewResponseController(w)}
}

// Begin sends the headers.
func (s *eventSink) Begin(id entry.GenerationID) error {
	s.id, s.begun = id, true
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set("X-Generation-Id", string(id))
	s.w.WriteHeader(http.StatusOK)
	return nil
}

// Token sends one token under the id that a caller can come back with.
func (s *eventSink) Token(index int, data string) error {
	line := append(s.line[:0], "id: "...)
	line = append(line, s.id...)
	line = append(line, ':')
	line = strconv.AppendInt(line, int64(index), 10)
	line = append(line, "\ndata: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	s.line = line
	_, err := s.w.Write(line)
	return err
}

// Flush sends what is held.
func (s *eventSink) Flush() error { return s.controller.Flush() }

// end sends the last events of an answer that is whole.
func (s *eventSink) end(asked generationBody, ending entry.RunResult) {
	if asked.StreamOptions != nil && asked.StreamOptions.IncludeUsage {
		usage, _ := json.Marshal(usageChunk{ID: string(s.id), Model: asked.Model, Choices: []struct{}{}, Usage: usageOf(ending)})
		s.event(string(usage))
	}
	s.event("[DONE]")
}

// fail sends the error that ends an answer that can't be finished.
func (s *eventSink) fail(f *entry.Failure) {
	text, _ := json.Marshal(errorOf(f))
	s.event(string(text))
}

func (s *eventSink) event(data string) {
	// A caller that went away gets nothing.
	_, _ = s.w.Write([]byte("data: " + data + "\n\n"))
	_ = s.controller.Flush()
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func usageOf(e entry.RunResult) usage {
	return usage{PromptTokens: e.PromptTokens, CompletionTokens: e.CompletionTokens, TotalTokens: e.PromptTokens + e.CompletionTokens}
}

type usageChunk struct {
	ID      string     `json:"id"`
	Model   string     `json:"model"`
	Choices []struct{} `json:"choices"`
	Usage   usage      `json:"usage"`
}

// wholeSink gathers an answer for a caller that didn't ask for a stream.
type wholeSink struct {
	id   entry.GenerationID
	text strings.Builder
	last chunk
}

// chunk is one token's data in either shape.
type chunk struct {
	Created     int64  `json:"created"`
	Fingerprint string `json:"system_fingerprint"`
	Choices     []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// Begin keeps the id.
func (s *wholeSink) Begin(id entry.GenerationID) error {
	s.id = id
	return nil
}

// Token adds a token's text.
func (s *wholeSink) Token(_ int, data string) error {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return err
	}
	if len(c.Choices) > 0 {
		s.text.WriteString(c.Choices[0].Text)
		s.text.WriteString(c.Choices[0].Delta.Content)
		s.last = c
	}
	return nil
}

// Flush does nothing: the answer goes out whole.
func (s *wholeSink) Flush() error { return nil }

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason string   `json:"finish_reason"`
}

type wholeAnswer struct {
	ID          string   `json:"id"`
	Object      string   `json:"object"`
	Created     int64    `json:"created"`
	Model       string   `json:"model"`
	Fingerprint string   `json:"system_fingerprint,omitempty"`
	Choices     []choice `json:"choices"`
	Usage       usage    `json:"usage"`
}

func (s *wholeSink) answer(shape entry.Shape, model string, ending entry.RunResult) wholeAnswer {
	text := s.text.String()
	one := choice{FinishReason: "stop"}
	if len(s.last.Choices) > 0 && s.last.Choices[0].FinishReason != "" {
		one.FinishReason = s.last.Choices[0].FinishReason
	}
	answer := wholeAnswer{
		ID: string(s.id), Object: "text_completion", Created: s.last.Created, Model: model,
		Fingerprint: s.last.Fingerprint, Usage: usageOf(ending),
	}
	if shape == entry.ShapeChat {
		answer.Object = "chat.completion"
		one.Message = &message{Role: "assistant", Content: text}
	} else {
		one.Text = &text
	}
	answer.Choices = []choice{one}
	return answer
}
