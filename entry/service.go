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

// ServiceRequest is a caller's call of a plain service.
type ServiceRequest struct {
	Account resource.Account
	Route   resource.Name
	// ID is unique to the call; the upstream's answer must carry it or none.
	ID     string
	Method string
	// Path is what follows the route's name, with the query.
	Path   string
	Header http.Header
	Body   []byte
	// IdempotencyKey is the caller's; empty means that it gave none.
	IdempotencyKey string
}

// ServiceAnswer is an upstream's answer, whole unless Rest is set.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
	// RetryAfter is for how long the upstream wants nothing; zero doesn't ask.
	RetryAfter time.Duration
	// Rest continues a body too long to be held; it is to be closed.
	Rest interface {
		Read(p []byte) (int, error)
		Close() error
	}
}

// Services is the interface to the plain services.
//
// Call sends the request once, on no account twice. Its error wraps ErrNotSent
// when no byte of the request can have left, and ErrCrossed when the answer
// was another request's.
type Services interface {
	Call(ctx context.Context, u member.Upstream, r ServiceRequest) (ServiceAnswer, error)
}

// ErrCrossed says that an upstream's answer belongs to another request.
var ErrCrossed = errors.New("the answer belongs to another request")

// ErrCutShort says that an upstream's answer broke off.
var ErrCutShort = errors.New("the answer broke off")

// maxServiceTries is how many upstreams a call is tried on.
const maxServiceTries = 3

// CallService runs a plain service call. The error is a *Failure.
func (e *Entry) CallService(ctx context.Context, r ServiceRequest) (ServiceAnswer, error) {
	answer, failure := e.callService(ctx, r)
	e.answered("service", failure)
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
		return ServiceAnswer{}, newFailure(CodeOverloaded, NotRun, "no upstream of service %s takes work now", route.Service).withRetryAfter(retryUnknown)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(route.Timeout))
	defer cancel()
	if route.Repeatable || r.IdempotencyKey == "" {
		return e.callUpstreams(ctx, route, upstreams, r)
	}
	held, failure := e.claimCall(ctx, r)
	if failure != nil {
		return ServiceAnswer{}, failure
	}
	answer, failure := e.callUpstreams(ctx, route, upstreams, r)
	switch {
	case failure == nil:
		e.recordOutcome(held, answer.Status)
	case failure.RunState == NotRun:
		// Nothing left this entry: the caller may try again with the key.
		e.spawn(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, claimTimeout)
			defer cancel()
			e.removeClaim(ctx, held.key, held.record.Claimant)
		})
	}
	return answer, failure
}

// serviceUpstreams lists a service's upstreams in the order to try: this
// zone's in a random order, then the others'. wait is how long it is until one takes calls
// where all asked this entry to stay away.
func (e *Entry) serviceUpstreams(name resource.Name) (upstreams []member.Upstream, wait time.Duration) {
	all, wait := e.excludeBackingOff(e.members.upstreamsFor(member.KindService, name, ""))
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	ordered := make([]member.Upstream, 0, len(all))
	for _, near := range []bool{true, false} {
		for _, u := range all {
			if (u.Zone == e.self.Zone) == near {
				ordered = append(ordered, u)
			}
		}
	}
	return ordered[:min(len(ordered), maxServiceTries)], wait
}

// callUpstreams tries one upstream after another: always while no byte has
// left, and after that only where the route allows repeats.
func (e *Entry) callUpstreams(ctx context.Context, route resource.Route, upstreams []member.Upstream, r ServiceRequest) (ServiceAnswer, *Failure) {
	var last *Failure
	asks := asking{Asked: quarantine.Asked{
		Caller: string(r.Account), Method: r.Method, Host: string(r.Route), Target: r.Path, Body: r.Body,
	}, route: r.Route}
	for tries, u := range upstreams {
		if failure := e.held(&asks); failure != nil {
			return ServiceAnswer{}, later(last, failure)
		}
		if tries > 0 && !e.retries.take() {
			break
		}
		answer, failure := e.callOne(ctx, u, r)
		if failure == nil {
			e.retries.earn()
			if answer.Status != http.StatusServiceUnavailable && answer.Status != http.StatusTooManyRequests {
				// These are said by one that is full, and needn't have run it.
				e.survived(&asks)
			}
			return answer, nil
		}
		last = later(last, failure)
		if failure.Code == CodeUpstreamLost && failure.RunState != NotRun {
			e.broke(ctx, &asks, u, time.Time{})
		}
		if failure.RunState != NotRun && !route.Repeatable || ctx.Err() != nil {
			break
		}
		e.observer.Retried(string(failure.Code))
	}
	return ServiceAnswer{}, last
}

func (e *Entry) callOne(ctx context.Context, u member.Upstream, r ServiceRequest) (ServiceAnswer, *Failure) {
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
		return answer, newFailure(CodeTimeout, NotRun, "the time was over before the call was sent").withRetryAfter(retryUnknown)
	case errors.Is(err, ErrNotSent):
		return answer, newFailure(CodeUpstreamLost, NotRun, "upstream %s can't be reached", u.ID).withRetryAfter(retryUnknown)
	case errors.Is(err, ErrCrossed):
		e.observer.Spoilt("crossed")
		return answer, newFailure(CodeBadStream, Unknown, "upstream %s answered another request", u.ID)
	case errors.Is(err, ErrCutShort):
		return answer, newFailure(CodeUpstreamLost, Unknown, "the answer of upstream %s broke off", u.ID)
	case ctx.Err() != nil:
		return answer, newFailure(CodeTimeout, Unknown, "upstream %s did not answer in time", u.ID)
	default:
		return answer, newFailure(CodeUpstreamLost, Unknown, "upstream %s was lost: %v", u.ID, err)
	}
}
