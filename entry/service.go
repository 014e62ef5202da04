// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/quarantine"
	"github.com/shedpath/shedpath/resource"
)

// ServiceRequest is a caller's request to a service route.
type ServiceRequest struct {
	Account resource.Account
	Route   resource.Name
	// ID is unique to the call. The upstream's answer must carry the same ID or none.
	ID     string
	Method string
	// Path is the part of the request path after the route's name, with the query.
	Path   string
	Header http.Header
	Body   []byte
	// IdempotencyKey is the caller's key; empty if it gave none.
	IdempotencyKey string
}

// ServiceAnswer is an upstream's answer. Body is complete unless RemainingBody is set.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
	// RetryAfter is how long the upstream asks for no further requests; zero if it doesn't ask.
	RetryAfter time.Duration
	// RemainingBody reads the rest of a body that is too long to be buffered. The receiver must
	// close it.
	RemainingBody interface {
		Read(p []byte) (int, error)
		Close() error
	}
}

// Services is the client of the services.
//
// Call sends the request at most once. Its error wraps ErrNotSent if no byte of the request can
// have been sent, ErrMismatchedAnswer if the answer belongs to another request, and
// ErrTruncatedAnswer if the answer was cut short.
type Services interface {
	Call(ctx context.Context, u member.Upstream, r ServiceRequest) (ServiceAnswer, error)
}

// ErrMismatchedAnswer reports that an upstream's answer belongs to another request.
var ErrMismatchedAnswer = errors.New("the upstream's answer belongs to another request")

// ErrTruncatedAnswer reports that an upstream's answer ended early.
var ErrTruncatedAnswer = errors.New("the upstream's answer ended early")

// maxServiceAttempts bounds the upstreams that a call is tried on.
const maxServiceAttempts = 3

// CallService sends a call to a service and returns the answer. The error is a *Failure.
func (e *Entry) CallService(ctx context.Context, r ServiceRequest) (ServiceAnswer, error) {
	answer, failure := e.callService(ctx, r)
	e.observeOutcome("service", failure)
	if failure != nil {
		return answer, failure
	}
	return answer, nil
}

func (e *Entry) callService(ctx context.Context, r ServiceRequest) (ServiceAnswer, *Failure) {
	release, failure := e.admit(r.Account)
	if failure != nil {
		return ServiceAnswer{}, failure
	}
	defer release()
	route, known := e.config.Catalog().Route(r.Route)
	if !known || route.Service == "" {
		return ServiceAnswer{}, newFailure(CodeUnknownRoute, NotRun, "there is no service route %q", r.Route)
	}
	upstreams, wait := e.serviceUpstreams(route.Service)
	if wait > 0 {
		return ServiceAnswer{}, newFailure(CodeOverloaded, NotRun, "every upstream of service %s asked this entry to stay away", route.Service).withRetryAfter(wait)
	}
	if len(upstreams) == 0 {
		return ServiceAnswer{}, newFailure(CodeOverloaded, NotRun, "no upstream of service %s takes work now", route.Service).withRetryAfter(defaultRetryAfter)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(route.Timeout))
	defer cancel()
	if route.Repeatable || r.IdempotencyKey == "" {
		return e.callUpstreams(ctx, route, upstreams, r)
	}
	claimed, failure := e.claimCall(ctx, r)
	if failure != nil {
		return ServiceAnswer{}, failure
	}
	answer, failure := e.callUpstreams(ctx, route, upstreams, r)
	switch {
	case failure == nil:
		e.recordOutcome(claimed, answer.Status)
	case failure.RunState == NotRun:
		// Nothing was sent, so the caller may retry with the same key.
		e.releaseClaim(claimed)
	}
	return answer, failure
}

// serviceUpstreams returns the upstreams of a service in the order in which they are tried: those
// of this entry's zone, then the others, each in random order. If all of them asked this entry for
// backoff, wait is the time until the first takes calls again.
func (e *Entry) serviceUpstreams(name resource.Name) (upstreams []member.Upstream, wait time.Duration) {
	available, wait := e.excludeBackingOff(e.members.upstreamsFor(member.KindService, name, ""))
	rand.Shuffle(len(available), func(i, j int) { available[i], available[j] = available[j], available[i] })
	ordered := make([]member.Upstream, 0, len(available))
	for _, sameZone := range []bool{true, false} {
		for _, u := range available {
			if (u.Zone == e.self.Zone) == sameZone {
				ordered = append(ordered, u)
			}
		}
	}
	return ordered[:min(len(ordered), maxServiceAttempts)], wait
}

// callUpstreams tries one upstream after another. After an attempt that may have reached its
// upstream, it goes on only if the route is repeatable.
func (e *Entry) callUpstreams(ctx context.Context, route resource.Route, upstreams []member.Upstream, r ServiceRequest) (ServiceAnswer, *Failure) {
	var lastFailure *Failure
	tracked := trackedRequest{RequestIdentity: quarantine.RequestIdentity{
		Caller: string(r.Account), Method: r.Method, Host: string(r.Route), Target: r.Path, Body: r.Body,
	}, route: r.Route}
	for attempt, u := range upstreams {
		if failure := e.checkQuarantine(&tracked); failure != nil {
			return ServiceAnswer{}, laterFailure(lastFailure, failure)
		}
		if attempt > 0 && !e.retries.take() {
			break
		}
		answer, failure := e.callUpstream(ctx, u, r)
		if failure == nil {
			e.retries.earn()
			if answer.Status < http.StatusInternalServerError && answer.Status != http.StatusTooManyRequests {
				// An upstream that is overloaded or fails the request may not have begun what ends it.
				e.recordSuccess(&tracked)
			}
			return answer, nil
		}
		lastFailure = laterFailure(lastFailure, failure)
		if failure.Code == CodeUpstreamLost && failure.RunState != NotRun {
			e.handleLostUpstream(ctx, &tracked, u, time.Time{})
		}
		if failure.RunState != NotRun && !route.Repeatable || ctx.Err() != nil {
			break
		}
		e.observer.Retried(string(failure.Code))
	}
	return ServiceAnswer{}, lastFailure
}

// callUpstream sends the call to one upstream.
func (e *Entry) callUpstream(ctx context.Context, u member.Upstream, r ServiceRequest) (ServiceAnswer, *Failure) {
	ctx, span := e.tracer.Start(ctx, "upstream", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("upstream", string(u.ID))))
	defer span.End()
	if wait := e.backoffs.Remaining(e.now(), u.ID); wait > 0 {
		return ServiceAnswer{}, newFailure(CodeOverloaded, NotRun, "upstream %s asked this entry to stay away", u.ID).withRetryAfter(wait)
	}
	answer, err := e.services.Call(ctx, u, r)
	e.recordBackoff(u.ID, answer.RetryAfter)
	switch {
	case err == nil:
		return answer, nil
	case errors.Is(err, ErrNotSent) && ctx.Err() != nil:
		return answer, newFailure(CodeTimeout, NotRun, "the time was over before the call was sent").withRetryAfter(defaultRetryAfter)
	case errors.Is(err, ErrNotSent):
		return answer, newFailure(CodeUpstreamLost, NotRun, "upstream %s can't be reached", u.ID).withRetryAfter(defaultRetryAfter)
	case errors.Is(err, ErrMismatchedAnswer):
		e.observer.Withheld("crossed")
		return answer, newFailure(CodeBadStream, Unknown, "upstream %s answered another request", u.ID)
	case errors.Is(err, ErrTruncatedAnswer):
		return answer, newFailure(CodeUpstreamLost, Unknown, "the answer of upstream %s broke off", u.ID)
	case ctx.Err() != nil:
		return answer, newFailure(CodeTimeout, Unknown, "upstream %s did not answer in time", u.ID)
	default:
		return answer, newFailure(CodeUpstreamLost, Unknown, "upstream %s was lost: %v", u.ID, err)
	}
}
