// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package engine implements the HTTP client of the model engines. It uses
// OpenAI's completion endpoints, streamed as server-sent events whose ids have
// the form RUN/INDEX, and the engines' endpoints for runs, load, cache events
// and orders.
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
	"github.com/shedpath/shedpath/internal/wellformed"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// Client calls the engines. Create it with New.
type Client struct {
	http      *http.Client
	transport *http.Transport
	// idleTimeout is how long a stream may deliver no bytes.
	idleTimeout time.Duration
}

// Option configures a Client.
type Option func(*Client)

// WithDialer sets how connections to engines are opened. The default is over TCP.
func WithDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *Client) { c.transport.DialContext = dial }
}

// WithIdleTimeout sets how long a stream may deliver no bytes before it fails with
// entry.ErrStreamIdle. The default is 2 s.
func WithIdleTimeout(d time.Duration) Option { return func(c *Client) { c.idleTimeout = d } }

const (
	defaultIdleTimeout  = 2 * time.Second
	dialTimeout         = time.Second
	headerTimeout       = 10 * time.Second
	maxIdleConnsPerHost = 256
	maxErrorBodyBytes   = 4 << 10
	maxResponseBytes    = 1 << 20
	// maxResponseHeadBytes bounds the head of an answer; the library's default is 10 MB.
	maxResponseHeadBytes = 64 << 10
)

// New returns a Client.
func New(opts ...Option) *Client {
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        30 * time.Second,
		ResponseHeaderTimeout:  headerTimeout,
		MaxResponseHeaderBytes: maxResponseHeadBytes,
	}
	c := &Client{idleTimeout: defaultIdleTimeout, transport: transport, http: &http.Client{Transport: wellformed.Transport{Base: transport}}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

func endpointURL(u member.Upstream, path string) string { return "http://" + u.Address + path }

// Start asks an engine to start a run and returns its event stream. The errors
// are those that entry.Engines describes.
func (c *Client) Start(ctx context.Context, u member.Upstream, r entry.RunRequest) (entry.Stream, error) {
	req, err := http.NewRequest(http.MethodPost, endpointURL(u, "/v1/"+string(r.Shape)), bytes.NewReader(r.Body))
	if err != nil {
		return nil, trace.Wrap(entry.ErrNotSent, "%v", err)
	}
	// Without GetBody the transport can't resend the request, which might start
	// the run twice.
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

// Resume returns the stream of a run's events that follow the index after. The
// error wraps entry.ErrRunNotFound if the engine doesn't have the run.
func (c *Client) Resume(ctx context.Context, u member.Upstream, run policy.RunID, after int) (entry.Stream, error) {
	path := "/v1/runs/" + string(run) + "/events?after=" + strconv.Itoa(after)
	req, err := http.NewRequest(http.MethodGet, endpointURL(u, path), nil)
	if err != nil {
		return nil, trace.Wrap(entry.ErrNotSent, "%v", err)
	}
	return c.open(ctx, req)
}

// open sends a request for a stream. The request has a context of its own, so
// that closing the stream closes the connection.
func (c *Client) open(ctx context.Context, req *http.Request) (entry.Stream, error) {
	var connected atomic.Bool
	streamCtx, cancel := context.WithCancel(ctx)
	streamCtx = httptrace.WithClientTrace(streamCtx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req = req.WithContext(streamCtx)
	req.Header.Set("Accept", "text/event-stream")
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	response, err := c.http.Do(req)
	if err != nil {
		cancel()
		if !connected.Load() {
			return nil, trace.Wrap(entry.ErrNotSent, "%v", err)
		}
		return nil, trace.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		defer cancel()
		return nil, responseError(response)
	}
	return newStream(response.Body, cancel, c.idleTimeout), nil
}

// responseError returns the error that a response other than 200 stands for, and
// closes the response body.
func responseError(response *http.Response) error {
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return trace.Wrap(entry.ErrRunNotFound)
	}
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	refused := &entry.EngineRefusal{Status: response.StatusCode, Text: strings.TrimSpace(string(text))}
	// An unreadable Retry-After counts as none.
	refused.RetryAfter, _ = backoff.Parse(response.Header.Get("Retry-After"))
	return refused
}

// loadResponse is the body of a response of /v1/load.
type loadResponse struct {
	MemoryTokens int               `json:"memory_tokens"`
	UsedTokens   int               `json:"used_tokens"`
	Running      int               `json:"running"`
	Waiting      int               `json:"waiting"`
	Step         time.Duration     `json:"step_ns"`
	Preemptions  int               `json:"preemptions"`
	Leaving      bool              `json:"leaving"`
	Models       map[string]string `json:"models"`
}

// Load fetches an engine's report of its load and state.
func (c *Client) Load(ctx context.Context, u member.Upstream) (entry.EngineLoad, error) {
	var load loadResponse
	if err := c.do(ctx, u, http.MethodGet, "/v1/load", nil, &load); err != nil {
		return entry.EngineLoad{}, err
	}
	return entry.EngineLoad{
		Report: policy.Report{
			Engine: u.ID, TotalMemory: policy.Tokens(load.MemoryTokens), UsedMemory: policy.Tokens(load.UsedTokens),
			Running: load.Running, Waiting: load.Waiting, StepTime: load.Step,
		},
		Preemptions: load.Preemptions, Leaving: load.Leaving, Models: load.Models,
	}, nil
}

// cacheEventResponse is one element of the body of a response of
// /v1/cache-events. Prefix is a hash in hex.
type cacheEventResponse struct {
	Seq    uint64 `json:"seq"`
	Prefix string `json:"prefix"`
	Tokens int    `json:"tokens"`
	Added  bool   `json:"added"`
}

// CacheEvents fetches an engine's cache events whose sequence numbers follow after.
// It skips events whose prefix isn't a hexadecimal number.
func (c *Client) CacheEvents(ctx context.Context, u member.Upstream, after uint64) ([]policy.CacheEvent, error) {
	var responses []cacheEventResponse
	path := "/v1/cache-events?after=" + strconv.FormatUint(after, 10)
	if err := c.do(ctx, u, http.MethodGet, path, nil, &responses); err != nil {
		return nil, err
	}
	events := make([]policy.CacheEvent, 0, len(responses))
	for _, a := range responses {
		prefix, err := strconv.ParseUint(a.Prefix, 16, 64)
		if err != nil {
			continue
		}
		events = append(events, policy.CacheEvent{Seq: a.Seq, Prefix: prefix, Tokens: policy.Tokens(a.Tokens), Added: a.Added})
	}
	return events, nil
}

// orderRequest is the body of a request to /v1/orders.
type orderRequest struct {
	Token   uint64 `json:"token"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Order sends an engine the order to serve a model in a version.
func (c *Client) Order(ctx context.Context, u member.Upstream, o entry.Order) error {
	return c.do(ctx, u, http.MethodPost, "/v1/orders", orderRequest(o), nil)
}

// do sends a request with requestBody as JSON, unless it is nil, and decodes the
// JSON response into result, unless that is nil.
func (c *Client) do(ctx context.Context, u member.Upstream, method, path string, requestBody, result any) error {
	var body io.Reader
	if requestBody != nil {
		encoded, err := json.Marshal(requestBody)
		if err != nil {
			return trace.Wrap(err)
		}
		body = bytes.NewReader(encoded)
	}
	req, err := http.NewRequestWithContext(ctx, method, endpointURL(u, path), body)
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := c.http.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		return responseError(response)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil || result == nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(json.Unmarshal(text, result))
}
