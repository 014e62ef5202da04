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
	"github.com/shedpath/shedpath/resource"
)

// Caller serves the callers' side of an entry. Use NewCaller.
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
	c.router.GET("/v1/models", c.authenticated(c.models))
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

// ServeHTTP serves a caller, in a span that continues the caller's trace.
func (c *Caller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := c.tracer.Start(ctx, "caller", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	if c.entry.Leaving() {
		// The next call is to come by the balancer, to another entry.
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
				writeFailure(w, &entry.Failure{Code: entry.CodeNotReady, RunState: entry.NotRun, Message: "this entry has no configuration yet", RetryAfter: notReadyRetry})
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
		text, failure := readCall(w, r, maxGenerationBytes)
		if failure != nil {
			writeFailure(w, failure)
			return
		}
		if last := r.Header.Get("Last-Event-ID"); last != "" {
			c.resume(w, r, account, last)
			return
		}
		request, asked, failure := parseGeneration(shape, account, text)
		switch {
		case failure != nil:
			writeFailure(w, failure)
		case asked.Stream:
			c.stream(w, r, request, asked)
		default:
			c.whole(w, r, request, asked)
		}
	}
}

func (c *Caller) stream(w http.ResponseWriter, r *http.Request, request entry.GenerationRequest, asked generationBody) {
	sink := newEventSink(w)
	ending, err := c.entry.Generate(r.Context(), request, sink)
	finish(w, sink, asked, ending, err)
}

// resume carries on with a generation that another entry began.
func (c *Caller) resume(w http.ResponseWriter, r *http.Request, account resource.Account, last string) {
	sink := newEventSink(w)
	ending, err := c.entry.Resume(r.Context(), account, last, sink)
	finish(w, sink, generationBody{}, ending, err)
}

func finish(w http.ResponseWriter, sink *eventSink, asked generationBody, ending entry.RunResult, err error) {
	switch {
	case err == nil:
		sink.end(asked, ending)
	case sink.begun:
		sink.fail(asFailure(err))
	default:
		writeFailure(w, asFailure(err))
	}
}

func (c *Caller) whole(w http.ResponseWriter, r *http.Request, request entry.GenerationRequest, asked generationBody) {
	var sink wholeSink
	ending, err := c.entry.Generate(r.Context(), request, &sink)
	if err != nil {
		failure := asFailure(err)
		if failure.RunState == entry.Partial {
			// This caller has seen nothing of the answer.
			failure.RunState = entry.Unknown
		}
		writeFailure(w, failure)
		return
	}
	writeJSON(w, http.StatusOK, sink.answer(request.Shape, asked.Model, ending))
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

func (c *Caller) models(w http.ResponseWriter, _ *http.Request, _ httprouter.Params, _ resource.Account) {
	answer := modelsAnswer{Object: "list", Data: []modelAnswer{}}
	catalog := c.entry.Catalog()
	for _, r := range catalog.List(resource.Routes) {
		if route, known := catalog.Route(r.Name); known && route.Model != "" {
			answer.Data = append(answer.Data, modelAnswer{ID: string(r.Name), Object: "model", OwnedBy: "shedpath"})
		}
	}
	writeJSON(w, http.StatusOK, answer)
}

// hopHeaders belong to one connection and aren't passed on; neither is the
// caller's key.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization", "Content-Length",
}

func passedOn(header http.Header) http.Header {
	passed := header.Clone()
	for _, listed := range passed.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		passed.Del(name)
	}
	return passed
}

// maxIdempotencyKey bounds the length of a caller's key.
const maxIdempotencyKey = 255

func (c *Caller) callService(w http.ResponseWriter, r *http.Request, params httprouter.Params, account resource.Account) {
	body, failure := readCall(w, r, maxServiceBytes)
	if failure != nil {
		writeFailure(w, failure)
		return
	}
	request := entry.ServiceRequest{
		Account: account, Route: resource.Name(params.ByName("route")), ID: uuid.NewString(),
		Method: r.Method, Path: servicePath(r, params), Header: passedOn(r.Header), Body: body,
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
	}
	if len(request.IdempotencyKey) > maxIdempotencyKey {
		writeFailure(w, badRequest("the Idempotency-Key is longer than 255 characters"))
		return
	}
	answer, err := c.entry.CallService(r.Context(), request)
	if err != nil {
		writeFailure(w, asFailure(err))
		return
	}
	writeServiceAnswer(w, answer)
}

func servicePath(r *http.Request, params httprouter.Params) string {
	// The escaped path keeps what the caller wrote.
	prefix := "/services/" + params.ByName("route")
	path := strings.TrimPrefix(r.URL.EscapedPath(), prefix)
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

func writeServiceAnswer(w http.ResponseWriter, answer entry.ServiceAnswer) {
	for name, values := range passedOn(answer.Header) {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Status)
	if _, err := w.Write(answer.Body); err != nil || answer.Rest == nil {
		return
	}
	defer answer.Rest.Close()
	if _, err := io.Copy(w, answer.Rest); err != nil {
		// The status is out already: breaking the connection is what tells the
		// caller that the answer isn't whole.
		panic(http.ErrAbortHandler)
	}
}
