// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package engine is the adapter to the model engines: OpenAI's completion
// endpoints, streamed by server-sent events whose ids are RUN/INDEX, and the
// engines' endpoints for runs, load, cache events and orders.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/propagation"

	"github.com/shedpath/shedpath/backoff"
	"github.com/shedpath/shedpath/entry"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// Client calls the engines. Use New.
type Client struct {
	http *http.Client
	// silence is how long a stream may bring nothing at all.
	silence time.Duration
}

// Option changes how a Client is built.
type Option func(*Client)

// WithSilence sets how long a stream may bring nothing at all before it counts
// as stalled.
func WithSilence(d time.Duration) Option { return func(c *Client) { c.silence = d } }

const (
	defaultSilence  = 2 * time.Second
	dialTimeout     = time.Second
	headerTimeout   = 10 * time.Second
	maxIdlePerHost  = 256
	maxRefusalBytes = 4 << 10
	maxReportBytes  = 1 << 20
)

// New returns a client.
func New(opts ...Option) *Client {
	c := &Client{
		silence: defaultSilence,
		http: &http.Client{Transport: &http.Transport{
			DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost:   maxIdlePerHost,
			IdleConnTimeout:       30 * time.Second,
			ResponseHeaderTimeout: headerTimeout,
		}},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

func address(u member.Upstream, path string) string { return "http://" + u.Address + path }

// Start begins a run.
func (c *Client) Start(ctx context.Context, u member.Upstream, r entry.RunRequest) (entry.Stream, error) {
	req, err := http.NewRequest(http.MethodPost, address(u, "/v1/"+string(r.Shape)), bytes.NewReader(r.Body))
	if err != nil {
		return nil, trace.Wrap(entry.ErrNotSent, "%v", err)
	}
	// The transport must not send a run twice on its own.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Run-Id", string(r.Run))
	req.Header.Set("X-Request-Id", string(r.ID))
	req.Header.Set("X-Priority", strconv.Itoa(r.Priority))
	if r.Prefix != "" {
		req.Header.Set("X-Prefix", r.Prefix)
		req.Header.Set("X-Prefix-Tokens", strconv.Itoa(int(r.PrefixTokens)))
	}
	return c.open(ctx, req)
}

// Resume reads a run from behind an index.
func (c *Client) Resume(ctx context.Context, u member.Upstream, run policy.RunID, after int) (entry.Stream, error) {
	path := "/v1/runs/" + string(run) + "/events?after=" + strconv.Itoa(after)
	req, err := http.NewRequest(http.MethodGet, address(u, path), nil)
	if err != nil {
		return nil, trace.Wrap(entry.ErrNotSent, "%v", err)
	}
	return c.open(ctx, req)
}

// open sends a request for a stream. The stream has a context of its own, so
// that closing it ends the link.
func (c *Client) open(ctx context.Context, req *http.Request) (entry.Stream, error) {
	var connected atomic.Bool
	link, cancel := context.WithCancel(ctx)
	link = httptrace.WithClientTrace(link, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req = req.WithContext(link)
	req.Header.Set("Accept", "text/event-stream")
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	answer, err := c.http.Do(req)
	if err != nil {
		cancel()
		if !connected.Load() {
			return nil, trace.Wrap(entry.ErrNotSent, "%v", err)
		}
		return nil, trace.Wrap(err)
	}
	if answer.StatusCode != http.StatusOK {
		defer cancel()
		return nil, refusal(answer)
	}
	return newStream(answer.Body, cancel, c.silence), nil
}

func refusal(answer *http.Response) error {
	defer answer.Body.Close()
	if answer.StatusCode == http.StatusNotFound {
		return trace.Wrap(entry.ErrRunNotFound)
	}
	text, _ := io.ReadAll(io.LimitReader(answer.Body, maxRefusalBytes))
	refused := &entry.EngineRefusal{Status: answer.StatusCode, Text: strings.TrimSpace(string(text))}
	// One that can't be read asks for nothing.
	refused.RetryAfter, _ = backoff.Parse(answer.Header.Get("Retry-After"))
	return refused
}

type loadAnswer struct {
	MemoryTokens int               `json:"memory_tokens"`
	UsedTokens   int               `json:"used_tokens"`
	Running      int               `json:"running"`
	Waiting      int               `json:"waiting"`
	Step         time.Duration     `json:"step_ns"`
	Preemptions  int               `json:"preemptions"`
	Leaving      bool              `json:"leaving"`
	Models       map[string]string `json:"models"`
}

// Load asks an engine how it is.
func (c *Client) Load(ctx context.Context, u member.Upstream) (entry.EngineLoad, error) {
	var answer loadAnswer
	if err := c.do(ctx, u, http.MethodGet, "/v1/load", nil, &answer); err != nil {
		return entry.EngineLoad{}, err
	}
	return entry.EngineLoad{
		Report: policy.Report{
			Engine: u.ID, TotalMemory: policy.Tokens(answer.MemoryTokens), UsedMemory: policy.Tokens(answer.UsedTokens),
			Running: answer.Running, Waiting: answer.Waiting, StepTime: answer.Step,
		},
		Preemptions: answer.Preemptions, Leaving: answer.Leaving, Models: answer.Models,
	}, nil
}

type cacheAnswer struct {
	Seq    uint64 `json:"seq"`
	Prefix string `json:"prefix"`
	Tokens int    `json:"tokens"`
	Added  bool   `json:"added"`
}

// CacheEvents asks an engine for its cache events after a number.
func (c *Client) CacheEvents(ctx context.Context, u member.Upstream, after uint64) ([]policy.CacheEvent, error) {
	var answers []cacheAnswer
	path := "/v1/cache-events?after=" + strconv.FormatUint(after, 10)
	if err := c.do(ctx, u, http.MethodGet, path, nil, &answers); err != nil {
		return nil, err
	}
	events := make([]policy.CacheEvent, 0, len(answers))
	for _, a := range answers {
		prefix, err := strconv.ParseUint(a.Prefix, 16, 64)
		if err != nil {
			continue
		}
		events = append(events, policy.CacheEvent{Seq: a.Seq, Prefix: prefix, Tokens: policy.Tokens(a.Tokens), Added: a.Added})
	}
	return events, nil
}

type orderRequest struct {
	Token   uint64 `json:"token"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Order tells an engine what to serve.
func (c *Client) Order(ctx context.Context, u member.Upstream, o entry.Order) error {
	return c.do(ctx, u, http.MethodPost, "/v1/orders", orderRequest(o), nil)
}

// do sends a small call and decodes its answer.
func (c *Client) do(ctx context.Context, u member.Upstream, method, path string, asked, answered any) error {
	var body io.Reader
	if asked != nil {
		text, err := json.Marshal(asked)
		if err != nil {
			return trace.Wrap(err)
		}
		body = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, address(u, path), body)
	if err != nil {
		return trace.Wrap(err)
	}
	answer, err := c.http.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	if answer.StatusCode != http.StatusOK {
		return refusal(answer)
	}
	defer answer.Body.Close()
	if answered == nil {
		return nil
	}
	return json.NewDecoder(io.LimitReader(answer.Body, maxReportBytes)).Decode(answered)
}
