// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package service is the adapter to the plain services, by HTTP. Each call has
// a connection of its own, so that an answer that comes late can't reach the
// next call, and is sent at most once.
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
	"github.com/shedpath/shedpath/member"
)

// Client calls the plain services. Use New.
type Client struct {
	transport *http.Transport
}

const (
	dialTimeout = time.Second
	// heldBytes is how much of an answer is held back until it is whole. A
	// longer one is passed on as it comes.
	heldBytes = 1 << 20
)

// New returns a client.
func New() *Client {
	return &Client{transport: &http.Transport{
		DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives: true,
		// The caller's encodings are its own affair.
		DisableCompression: true,
	}}
}

// onceBody is a request body that the transport can't send again: it has no
// GetBody and isn't http.NoBody, even when it is empty.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// Call sends the request once.
func (c *Client) Call(ctx context.Context, u member.Upstream, r entry.ServiceRequest) (entry.ServiceAnswer, error) {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(traced, r.Method, "http://"+u.Address+r.Path, onceBody{bytes.NewReader(r.Body)})
	if err != nil {
		return entry.ServiceAnswer{}, trace.Wrap(entry.ErrNotSent, "%v", err)
	}
	req.ContentLength = int64(len(r.Body))
	req.Header = r.Header.Clone()
	req.Header.Set("X-Request-Id", r.ID)
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	answer, err := c.transport.RoundTrip(req)
	if err != nil && !connected.Load() {
		return entry.ServiceAnswer{}, trace.Wrap(entry.ErrNotSent, "%v", err)
	}
	if err != nil {
		return entry.ServiceAnswer{}, trace.Wrap(err)
	}
	if echoed := answer.Header.Get("X-Request-Id"); echoed != "" && echoed != r.ID {
		_ = answer.Body.Close()
		return entry.ServiceAnswer{}, trace.Wrap(entry.ErrMismatchedAnswer)
	}
	return hold(answer)
}

// hold reads the answer up to the bound; what is whole by then is final.
func hold(answer *http.Response) (entry.ServiceAnswer, error) {
	held := entry.ServiceAnswer{Status: answer.StatusCode, Header: answer.Header}
	if answer.StatusCode == http.StatusServiceUnavailable || answer.StatusCode == http.StatusTooManyRequests {
		// One that can't be read asks for nothing.
		held.RetryAfter, _ = backoff.Parse(answer.Header.Get("Retry-After"))
	}
	var err error
	held.Body, err = io.ReadAll(io.LimitReader(answer.Body, heldBytes))
	if err != nil {
		_ = answer.Body.Close()
		if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
			return entry.ServiceAnswer{}, trace.Wrap(err)
		}
		return entry.ServiceAnswer{}, trace.Wrap(entry.ErrTruncatedAnswer, "%v", err)
	}
	if len(held.Body) < heldBytes {
		_ = answer.Body.Close()
		return held, nil
	}
	held.RemainingBody = answer.Body
	return held, nil
}
