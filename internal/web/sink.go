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

// eventSink streams an answer to the caller as server-sent events.
type eventSink struct {
	w            http.ResponseWriter
	controller   *http.ResponseController
	generationID entry.GenerationID
	headersSent  bool
	buf          []byte
}

func newEventSink(w http.ResponseWriter) *eventSink {
	return &eventSink{w: w, controller: http.NewResponseController(w)}
}

// Begin writes the status and the headers.
func (s *eventSink) Begin(id entry.GenerationID) error {
	s.generationID, s.headersSent = id, true
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set("X-Generation-Id", string(id))
	s.w.WriteHeader(http.StatusOK)
	return nil
}

// Token writes one token as an event. The event's ID is the generation ID and the token's index;
// a caller that sends it as Last-Event-ID resumes the stream.
func (s *eventSink) Token(index int, data string) error {
	line := append(s.buf[:0], "id: "...)
	line = append(line, s.generationID...)
	line = append(line, ':')
	line = strconv.AppendInt(line, int64(index), 10)
	line = append(line, "\ndata: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	s.buf = line
	_, err := s.w.Write(line)
	return err
}

// Flush sends the buffered events.
func (s *eventSink) Flush() error { return s.controller.Flush() }

// finish sends the events that end a complete answer: the usage if the caller asked for it, and
// [DONE].
func (s *eventSink) finish(body generationBody, result entry.RunResult) {
	if body.StreamOptions != nil && body.StreamOptions.IncludeUsage {
		usage, _ := json.Marshal(usageChunk{ID: string(s.generationID), Model: body.Model, Choices: []struct{}{}, Usage: usageOf(result)})
		s.writeEvent(string(usage))
	}
	s.writeEvent("[DONE]")
}

// fail sends the error event that ends an incomplete answer.
func (s *eventSink) fail(f *entry.Failure) {
	text, _ := json.Marshal(errorAnswerOf(f))
	s.writeEvent(string(text))
}

func (s *eventSink) writeEvent(data string) {
	// An error means that the caller is gone, so there is nobody to report it to.
	_, _ = s.w.Write([]byte("data: " + data + "\n\n"))
	_ = s.controller.Flush()
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func usageOf(result entry.RunResult) usage {
	return usage{PromptTokens: result.PromptTokens, CompletionTokens: result.CompletionTokens, TotalTokens: result.PromptTokens + result.CompletionTokens}
}

type usageChunk struct {
	ID      string     `json:"id"`
	Model   string     `json:"model"`
	Choices []struct{} `json:"choices"`
	Usage   usage      `json:"usage"`
}

// collectingSink collects an answer for a caller that didn't ask for a stream.
type collectingSink struct {
	generationID entry.GenerationID
	text         strings.Builder
	lastChunk    chunk
}

// chunk is the data of one token, of a completion (Text) or a chat completion (Delta).
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

// Begin stores the generation ID.
func (s *collectingSink) Begin(id entry.GenerationID) error {
	s.generationID = id
	return nil
}

// Token appends the text of a token to the answer.
func (s *collectingSink) Token(_ int, data string) error {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return err
	}
	if len(c.Choices) > 0 {
		s.text.WriteString(c.Choices[0].Text)
		s.text.WriteString(c.Choices[0].Delta.Content)
		s.lastChunk = c
	}
	return nil
}

// Flush does nothing, because the answer is sent as a whole.
func (s *collectingSink) Flush() error { return nil }

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

type completionAnswer struct {
	ID          string   `json:"id"`
	Object      string   `json:"object"`
	Created     int64    `json:"created"`
	Model       string   `json:"model"`
	Fingerprint string   `json:"system_fingerprint,omitempty"`
	Choices     []choice `json:"choices"`
	Usage       usage    `json:"usage"`
}

func (s *collectingSink) answer(shape entry.Shape, model string, result entry.RunResult) completionAnswer {
	text := s.text.String()
	onlyChoice := choice{FinishReason: "stop"}
	if len(s.lastChunk.Choices) > 0 && s.lastChunk.Choices[0].FinishReason != "" {
		onlyChoice.FinishReason = s.lastChunk.Choices[0].FinishReason
	}
	answer := completionAnswer{
		ID: string(s.generationID), Object: "text_completion", Created: s.lastChunk.Created, Model: model,
		Fingerprint: s.lastChunk.Fingerprint, Usage: usageOf(result),
	}
	if shape == entry.ShapeChat {
		answer.Object = "chat.completion"
		onlyChoice.Message = &message{Role: "assistant", Content: text}
	} else {
		onlyChoice.Text = &text
	}
	answer.Choices = []choice{onlyChoice}
	return answer
}
