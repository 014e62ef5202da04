// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package service implements the HTTP client of the plain services. Each call
// uses a new connection, so that a late response can't reach the next call, and
// is sent at most once.
package service

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/propagation"

	"github.com/shedpath/shedpath/backoff"
	"github.com/shedpath/shedpath/entry"
	"github.com/shedpath/shedpath/internal/socket"
	"github.com/shedpath/shedpath/internal/wellformed"
	"github.com/shedpath/shedpath/member"
)

// Client calls the plain services. Create it with New.
type Client struct {
	transport *http.Transport
}

const (
	dialTimeout = time.Second
	// maxBufferedBytes bounds the response bodies that are buffered completely
	// before they are passed on. The rest of a longer body is streamed.
	maxBufferedBytes = 1 << 20
)

// Option configures a Client.
type Option func(*Client)

// WithDialer sets how connections to services are opened. The default is over TCP.
func WithDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *Client) { c.transport.DialContext = dial }
}

// New returns a Client.
func New(opts ...Option) *Client {
	c := &Client{transport: &http.Transport{
		DialContext:       socket.Dial((&net.Dialer{Timeout: dialTimeout}).DialContext),
		DisableKeepAlives: true,
		// The caller negotiates encodings with the service itself.
		DisableCompression: true,
		// The library's default is 10 MB.
		MaxResponseHeaderBytes: 64 << 10,
	}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// nonReplayableBody is a request body that the transport can't send again: its
// type gives the request no GetBody, and it isn't http.NoBody even if it is empty.
type nonReplayableBody struct{ io.Reader }

func (nonReplayableBody) Close() error { return nil }

// Call sends the request to the upstream, at most once. Its error wraps
//   - entry.ErrNotSent if no connection was made, so that no byte was sent;
//   - entry.ErrMismatchedAnswer if the response carries the id of another request;
//   - entry.ErrTruncatedAnswer if the response body broke off.
//
// After any other error the service may have run the request.
func (c *Client) Call(ctx context.Context, u member.Upstream, r entry.ServiceRequest) (entry.ServiceAnswer, error) {
	var connected atomic.Bool
	tracedCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(tracedCtx, r.Method, "http://"+u.Address+r.Path, nonReplayableBody{bytes.NewReader(r.Body)})
	if err != nil {
		return entry.ServiceAnswer{}, trace.Wrap(entry.ErrNotSent, "%v", err)
	}
	req.ContentLength = int64(len(r.Body))
	req.Header = r.Header.Clone()
	req.Header.Set("X-Request-Id", r.ID)
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	response, err := wellformed.Transport{Base: c.transport}.RoundTrip(req)
	if err != nil && !connected.Load() {
		return entry.ServiceAnswer{}, trace.Wrap(entry.ErrNotSent, "%v", err)
	}
	if err != nil {
		return entry.ServiceAnswer{}, trace.Wrap(err)
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		_ = response.Body.Close()
		return entry.ServiceAnswer{}, trace.BadParameter("the service switched to another protocol, which it wasn't asked for")
	}
	if echoed := response.Header.Get("X-Request-Id"); echoed != "" && echoed != r.ID {
		_ = response.Body.Close()
		return entry.ServiceAnswer{}, trace.Wrap(entry.ErrMismatchedAnswer)
	}
	return bufferResponse(response)
}

// bufferResponse reads up to maxBufferedBytes of the response body. A shorter
// body is complete in the answer; the rest of a longer one is left to be read
// from the answer's Rest.
func bufferResponse(response *http.Response) (entry.ServiceAnswer, error) {
	buffered := entry.ServiceAnswer{Status: response.StatusCode, Header: response.Header}
	if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests {
		// An unreadable Retry-After counts as none.
		buffered.RetryAfter, _ = backoff.Parse(response.Header.Get("Retry-After"))
	}
	var err error
	buffered.Body, err = io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes))
	if err != nil {
		_ = response.Body.Close()
		if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
			return entry.ServiceAnswer{}, trace.Wrap(err)
		}
		return entry.ServiceAnswer{}, trace.Wrap(entry.ErrTruncatedAnswer, "%v", err)
	}
	if len(buffered.Body) < maxBufferedBytes {
		_ = response.Body.Close()
		return buffered, nil
	}
	buffered.RemainingBody = response.Body
	return buffered, nil
}
