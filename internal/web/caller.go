// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package web

import (
	"io"
	"net/http"
	"strings"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/shedpath/shedpath/entry"
	"github.com/shedpath/shedpath/internal/reach"
	"github.com/shedpath/shedpath/resource"
)

// Caller serves an entry's API for callers. Use NewCaller.
type Caller struct {
	entry  *entry.Entry
	tracer trace.Tracer
	router *httprouter.Router
}

// NewCaller returns the handler for callers.
func NewCaller(e *entry.Entry, tracer trace.Tracer) *Caller {
	c := &Caller{entry: e, tracer: tracer, router: httprouter.New()}
	c.router.POST("/v1/completions", c.authenticated(c.generate(entry.ShapeCompletion)))
	c.router.POST("/v1/chat/completions", c.authenticated(c.generate(entry.ShapeChat)))
	c.router.GET("/v1/models", c.authenticated(c.listModels))
	for _, method := range []string{
		http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodHead,
	} {
		c.router.Handle(method, "/services/:route/*path", c.authenticated(c.callService))
	}
	c.router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeFailure(w, &entry.Failure{Code: entry.CodeUnknownRoute, RunState: entry.NotRun, Message: "there is no such path"})
	})
	return c
}

// ServeHTTP serves a caller's request in a span that continues the caller's trace.
func (c *Caller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := c.tracer.Start(ctx, "caller", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	if c.entry.Leaving() {
		// Makes the caller open a new connection, which the load balancer sends to another
		// entry.
		w.Header().Set("Connection", "close")
	}
	c.router.ServeHTTP(w, r.WithContext(ctx))
}

type accountHandler func(w http.ResponseWriter, r *http.Request, params httprouter.Params, account resource.Account)

func (c *Caller) authenticated(next accountHandler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		key, isBearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		account, known := c.entry.Authenticate(key)
		if !isBearer || !known {
			if !c.entry.Ready() {
				writeFailure(w, &entry.Failure{Code: entry.CodeNotReady, RunState: entry.NotRun, Message: "this entry has no configuration yet", RetryAfter: notReadyRetryAfter})
				return
			}
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeFailure(w, errUnauthorized)
			return
		}
		next(w, r, params, account)
	}
}

func (c *Caller) generate(shape entry.Shape) accountHandler {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params, account resource.Account) {
		text, failure := readCallBody(w, r, maxGenerationBytes)
		if failure != nil {
			writeFailure(w, failure)
			return
		}
		if last := r.Header.Get("Last-Event-ID"); last != "" {
			c.resumeStream(w, r, account, last)
			return
		}
		request, body, failure := parseGeneration(shape, account, text)
		switch {
		case failure != nil:
			writeFailure(w, failure)
		case body.Stream:
			c.generateStream(w, r, request, body)
		default:
			c.generateWhole(w, r, request, body)
		}
	}
}

func (c *Caller) generateStream(w http.ResponseWriter, r *http.Request, request entry.GenerationRequest, body generationBody) {
	sink := newEventSink(w)
	result, err := c.entry.Generate(r.Context(), request, sink)
	finishStream(w, sink, body, result, err)
}

// resumeStream resumes a generation that another entry started.
func (c *Caller) resumeStream(w http.ResponseWriter, r *http.Request, account resource.Account, lastEventID string) {
	sink := newEventSink(w)
	result, err := c.entry.Resume(r.Context(), account, lastEventID, sink)
	finishStream(w, sink, generationBody{}, result, err)
}

func finishStream(w http.ResponseWriter, sink *eventSink, body generationBody, result entry.RunResult, err error) {
	switch {
	case err == nil:
		sink.finish(body, result)
	case sink.headersSent:
		sink.fail(failureOf(err))
	default:
		writeFailure(w, failureOf(err))
	}
}

func (c *Caller) generateWhole(w http.ResponseWriter, r *http.Request, request entry.GenerationRequest, body generationBody) {
	var sink collectingSink
	result, err := c.entry.Generate(r.Context(), request, &sink)
	if err != nil {
		failure := failureOf(err)
		if failure.RunState == entry.Partial {
			// The caller has received no part of the answer.
			failure.RunState = entry.Unknown
		}
		writeFailure(w, failure)
		return
	}
	writeJSON(w, http.StatusOK, sink.answer(request.Shape, body.Model, result))
}

type modelAnswer struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

type modelsAnswer struct {
	Object string        `json:"object"`
	Data   []modelAnswer `json:"data"`
}

func (c *Caller) listModels(w http.ResponseWriter, _ *http.Request, _ httprouter.Params, _ resource.Account) {
	answer := modelsAnswer{Object: "list", Data: []modelAnswer{}}
	catalog := c.entry.Catalog()
	for _, r := range catalog.List(resource.Routes) {
		if route, known := catalog.Route(r.Name); known && route.Model != "" {
			answer.Data = append(answer.Data, modelAnswer{ID: string(r.Name), Object: "model", OwnedBy: "shedpath"})
		}
	}
	writeJSON(w, http.StatusOK, answer)
}

// unforwardedHeaders are not forwarded: hop-by-hop headers, Content-Length, and the caller's
// key in Authorization.
var unforwardedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization", "Content-Length",
}

func forwardableHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, listed := range forwarded.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range unforwardedHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

// maxIdempotencyKeyBytes bounds the length of a caller's Idempotency-Key.
const maxIdempotencyKeyBytes = 255

func (c *Caller) callService(w http.ResponseWriter, r *http.Request, params httprouter.Params, account resource.Account) {
	body, failure := readCallBody(w, r, maxServiceBytes)
	if failure != nil {
		writeFailure(w, failure)
		return
	}
	request := entry.ServiceRequest{
		Account: account, Route: resource.Name(params.ByName("route")), ID: uuid.NewString(),
		Method: r.Method, Path: servicePath(r, params), Header: forwardableHeader(r.Header), Body: body,
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
	}
	if len(request.IdempotencyKey) > maxIdempotencyKeyBytes {
		writeFailure(w, badRequest("the Idempotency-Key is longer than 255 characters"))
		return
	}
	answer, err := c.entry.CallService(r.Context(), request)
	if err != nil {
		writeFailure(w, failureOf(err))
		return
	}
	writeServiceAnswer(w, r, answer)
}

func servicePath(r *http.Request, params httprouter.Params) string {
	// The escaped path preserves the caller's encoding.
	prefix := "/services/" + params.ByName("route")
	path := strings.TrimPrefix(r.URL.EscapedPath(), prefix)
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

func writeServiceAnswer(w http.ResponseWriter, r *http.Request, answer entry.ServiceAnswer) {
	for name, values := range forwardableHeader(answer.Header) {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Status)
	if _, err := w.Write(answer.Body); err != nil || answer.RemainingBody == nil {
		return
	}
	defer answer.RemainingBody.Close()
	if _, err := io.Copy(w, answer.RemainingBody); err != nil {
		// The status has been sent already. Only aborting the connection shows the caller
		// that the answer is incomplete.
		if !r.ProtoAtLeast(1, 1) {
			reach.ResetCaller(r.Context())
		}
		panic(http.ErrAbortHandler)
	}
}
