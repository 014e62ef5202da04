// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"
)

// outcome describes how one call ended.
type outcome struct {
	// runState is the run state that the entry gives for a failed call: not_run,
	// partial or unknown. It is empty if the entry reported no failure.
	runState string
	code     string
	// broken is set if the call failed without a run state from the entry.
	broken           bool
	outOfOrder       bool
	tokens           int
	timeToFirstToken time.Duration
	tokenGaps        []time.Duration
	duration         time.Duration
	retryAfter       time.Duration
}

func (o outcome) complete() bool { return o.runState == "" && !o.broken }

// caller sends the calls of a run and passes their outcomes to a collector.
type caller struct {
	settings  Settings
	collector *collector
	http      *http.Client
}

func newCaller(s Settings, g *collector) *caller {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = 1024
	return &caller{settings: s, collector: g, http: &http.Client{Transport: transport}}
}

// call sends one call. If the call is refused with a retry delay and RetryRefused is
// set, call retries it once after that delay.
func (c *caller) call(ctx context.Context, entry string, k Kind, prompt string) {
	first := c.send(ctx, entry, k, prompt)
	c.collector.add(k, first)
	if !c.settings.RetryRefused || first.runState != "not_run" || first.retryAfter == 0 {
		return
	}
	if !waitUntil(ctx, time.Now().Add(first.retryAfter)) {
		return
	}
	c.collector.addRetry(k, c.send(ctx, entry, k, prompt))
}

func (c *caller) send(ctx context.Context, entry string, k Kind, prompt string) outcome {
	began := time.Now()
	req, err := c.newRequest(ctx, entry, k, prompt)
	if err != nil {
		return outcome{broken: true, code: "bad_url"}
	}
	answer, err := c.http.Do(req)
	if err != nil {
		return outcome{broken: true, code: "link"}
	}
	defer answer.Body.Close()
	var o outcome
	switch {
	case answer.StatusCode != http.StatusOK:
		o = readFailure(answer)
	case k.Model != "":
		o = readStream(answer.Body, began)
	default:
		_, err := io.Copy(io.Discard, answer.Body)
		o.broken = err != nil
	}
	o.duration = time.Since(began)
	return o
}

type generationRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	IgnoreEOS bool   `json:"ignore_eos,omitempty"`
}

func (c *caller) newRequest(ctx context.Context, entry string, k Kind, prompt string) (*http.Request, error) {
	path, body := "/services/"+k.Service+"/load", []byte(prompt)
	if k.Model != "" {
		path = "/v1/completions"
		body, _ = json.Marshal(generationRequest{
			Model: k.Model, Prompt: prompt, Stream: true, MaxTokens: k.MaxTokens, IgnoreEOS: k.ExactLength,
		})
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+path, strings.NewReader(string(body)))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.settings.Key)
	return req, nil
}

// errorBody is the body of a failed call and the data of a stream's failure event.
type errorBody struct {
	Error struct {
		Code         string `json:"code"`
		Run          string `json:"run"`
		RetryAfterMs int64  `json:"retry_after_ms"`
	} `json:"error"`
}

// readFailure reads the outcome from an answer whose status isn't 200.
func readFailure(answer *http.Response) outcome {
	var body errorBody
	if err := json.NewDecoder(answer.Body).Decode(&body); err != nil || body.Error.Run == "" {
		return outcome{broken: true, code: strconv.Itoa(answer.StatusCode)}
	}
	return outcome{
		runState: body.Error.Run, code: body.Error.Code,
		retryAfter: time.Duration(body.Error.RetryAfterMs) * time.Millisecond,
	}
}

// streamEndData is the data of the event that ends a complete stream.
const streamEndData = "[DONE]"

// readStream reads a streamed answer until its end or its failure event. It checks by
// the index in the event IDs that each token arrives once and in order.
func readStream(body io.Reader, began time.Time) outcome {
	o := outcome{broken: true}
	last := began
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return o
		}
		if event.Data == streamEndData {
			o.broken = false
			return o
		}
		var failure errorBody
		if json.Unmarshal([]byte(event.Data), &failure) == nil && failure.Error.Run != "" {
			o.broken, o.runState, o.code = false, failure.Error.Run, failure.Error.Code
			return o
		}
		now := time.Now()
		o.tokens++
		_, index, _ := strings.Cut(event.LastEventID, ":")
		if index != strconv.Itoa(o.tokens) {
			o.outOfOrder = true
		}
		if o.tokens == 1 {
			o.timeToFirstToken = now.Sub(began)
		} else {
			o.tokenGaps = append(o.tokenGaps, now.Sub(last))
		}
		last = now
	}
	return o
}
