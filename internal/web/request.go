// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package web

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/shedpath/shedpath/entry"
	"github.com/shedpath/shedpath/internal/reach"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/resource"
)

// Bounds of what a caller may send.
const (
	maxGenerationBytes = 8 << 20
	maxServiceBytes    = 4 << 20
	// bytesPerToken estimates a prompt's tokens; the engine's reports correct
	// what it gets wrong.
	bytesPerToken = 4
	// prefixBytes is how much of a prompt is looked at for reuse.
	prefixBytes = 4 << 10
)

// generationBody is the part of an OpenAI request that shedpath reads.
type generationBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	N                   int             `json:"n"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

func (b *generationBody) limit() int { return max(b.MaxTokens, b.MaxCompletionTokens) }

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *entry.Failure) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &entry.Failure{Code: entry.CodeRequestTooLarge, RunState: entry.NotRun, Message: "the request body is too large"}
	case err != nil:
		return nil, badRequest("the request body can't be read: " + err.Error())
	}
	return body, nil
}

// errCallerLeft is told to nobody: the connection is closed.
var errCallerLeft = &entry.Failure{Code: entry.CodeCancelled, RunState: entry.NotRun, Message: "the caller has left"}

// readCall reads the body of something that upstreams are to work on, unless its caller has
// left meanwhile: they would be at work for nobody.
func readCall(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *entry.Failure) {
	body, failure := readBody(w, r, limit)
	if failure == nil && reach.CallerLeft(r.Context()) {
		return nil, errCallerLeft
	}
	return body, failure
}

// parseGeneration checks a generation request and makes its body ask for a
// stream.
func parseGeneration(shape entry.Shape, account resource.Account, text []byte) (entry.GenerationRequest, generationBody, *entry.Failure) {
	var asked generationBody
	var request entry.GenerationRequest
	if err := json.Unmarshal(text, &asked); err != nil {
		return request, asked, badRequest("the body is not a JSON request: " + err.Error())
	}
	prompt := asked.Prompt
	if shape == entry.ShapeChat {
		prompt = asked.Messages
	}
	switch {
	case asked.Model == "":
		return request, asked, badRequest("model is missing")
	case len(prompt) == 0:
		return request, asked, badRequest("the prompt or the messages are missing")
	case asked.N > 1:
		return request, asked, badRequest("n must be 1: one answer is one generation")
	case asked.MaxTokens < 0:
		return request, asked, badRequest("max_tokens must not be negative")
	case asked.MaxCompletionTokens < 0:
		return request, asked, badRequest("max_completion_tokens must not be negative")
	}
	body, err := askForStream(text)
	if err != nil {
		return request, asked, badRequest(err.Error())
	}
	request = entry.GenerationRequest{
		Account: account, Route: resource.Name(asked.Model), Shape: shape, Body: body,
		Prompt: policy.Tokens(len(prompt)/bytesPerToken + 1), Limit: policy.Tokens(asked.limit()),
	}
	if len(prompt) >= prefixBytes {
		request.Prefix = xxhash.Sum64String(asked.Model + "\x00" + string(prompt[:prefixBytes]))
		request.PrefixTokens = prefixBytes / bytesPerToken
	}
	return request, asked, nil
}

// askForStream sets "stream" in the body and leaves the rest as it is.
func askForStream(text []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	return json.Marshal(fields)
}
