// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package web

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/shedpath/shedpath/entry"
	"github.com/shedpath/shedpath/internal/reach"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/quarantine"
	"github.com/shedpath/shedpath/resource"
)

// Limits on request bodies, and how prompts are estimated.
const (
	maxGenerationBytes = 8 << 20
	maxServiceBytes    = 4 << 20
	// bytesPerToken is used to estimate a prompt's tokens. The engine's reports correct the
	// estimate's errors.
	bytesPerToken = 4
	// prefixHashBytes is the length of the prompt prefix that is hashed to find cached
	// prefixes that can be reused.
	prefixHashBytes = 4 << 10
)

// generationBody holds the fields of an OpenAI request that shedpath uses.
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

func (b *generationBody) maxOutputTokens() int { return max(b.MaxTokens, b.MaxCompletionTokens) }

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

// errCallerLeft never reaches the caller, whose connection is closed.
var errCallerLeft = &entry.Failure{Code: entry.CodeCancelled, RunState: entry.NotRun, Message: "the caller has left"}

// readCallBody reads the body of a request that goes to upstreams. It fails if the caller has
// left in the meantime, because the upstreams' work would be wasted.
func readCallBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *entry.Failure) {
	body, failure := readBody(w, r, limit)
	if failure == nil && reach.CallerDisconnected(r.Context()) {
		return nil, errCallerLeft
	}
	return body, failure
}

// parseGeneration parses and validates a generation request. The body that is sent to the
// engine always requests a stream.
func parseGeneration(shape entry.Shape, account resource.Account, text []byte) (entry.GenerationRequest, generationBody, *entry.Failure) {
	var parsed generationBody
	var request entry.GenerationRequest
	if err := json.Unmarshal(text, &parsed); err != nil {
		return request, parsed, badRequest("the body is not a JSON request: " + err.Error())
	}
	prompt := parsed.Prompt
	if shape == entry.ShapeChat {
		prompt = parsed.Messages
	}
	switch {
	case parsed.Model == "":
		return request, parsed, badRequest("model is missing")
	case len(prompt) == 0:
		return request, parsed, badRequest("the prompt or the messages are missing")
	case parsed.N > 1:
		return request, parsed, badRequest("n must be 1: one answer is one generation")
	case parsed.MaxTokens < 0:
		return request, parsed, badRequest("max_tokens must not be negative")
	case parsed.MaxCompletionTokens < 0:
		return request, parsed, badRequest("max_completion_tokens must not be negative")
	}
	body, err := forceStream(text)
	if err != nil {
		return request, parsed, badRequest(err.Error())
	}
	request = entry.GenerationRequest{
		Account: account, Route: resource.Name(parsed.Model), Shape: shape, Body: body,
		PromptTokens: policy.Tokens(len(prompt)/bytesPerToken + 1), MaxOutputTokens: policy.Tokens(parsed.maxOutputTokens()),
	}
	if len(prompt) >= prefixHashBytes {
		request.PrefixHash = xxhash.Sum64String(parsed.Model + "\x00" + string(prompt[:prefixHashBytes]))
		request.PrefixTokens = prefixHashBytes / bytesPerToken
	}
	if shape == entry.ShapeChat {
		request.SharedParts = sharedMessages(parsed.Messages)
	}
	return request, parsed, nil
}

// maxSharedMessages bounds the messages of a conversation that are known to the quarantine.
const maxSharedMessages = 64

// sharedMessages returns the digests of all messages but the last, which belongs to the request
// itself. Messages that aren't a list have none.
func sharedMessages(text json.RawMessage) []quarantine.PartID {
	var messages []json.RawMessage
	if err := json.Unmarshal(text, &messages); err != nil || len(messages) < 2 {
		return nil
	}
	messages = messages[:min(len(messages)-1, maxSharedMessages)]
	parts := make([]quarantine.PartID, len(messages))
	for n, m := range messages {
		parts[n] = quarantine.PartID(fmt.Sprintf("%016x", xxhash.Sum64(m)))
	}
	return parts
}

// forceStream sets "stream" to true in a JSON body and leaves the other fields unchanged.
func forceStream(text []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	return json.Marshal(fields)
}
