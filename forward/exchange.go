// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/quarantine"
)

// Retry times in refusals.
const (
	// notReadyRetryAfter is used while this host has no configuration that is known to be the
	// newest. A host that starts gets one in well under a second.
	notReadyRetryAfter = 300 * time.Millisecond
	// defaultRetryAfter is used where no better estimate is known.
	defaultRetryAfter = 200 * time.Millisecond
)

// exchange is one request while this host serves it.
type exchange struct {
	*Forwarder
	call    *Call
	sink    Sink
	route   Route
	service Service
	account Account
	// deadline is the earlier of the caller's and the route's; zero if neither sets one. publishedDeadline
	// points to it for other goroutines, from when it is set until a call's answer is passed on.
	deadline          time.Time
	publishedDeadline atomic.Pointer[time.Time]
	// urgency is the account's if it has one, else the route's.
	urgency Urgency
	// zones are the zones in which the request may be served; nil allows all.
	zones []member.Zone
	// versions restricts the upstream versions that may get the request.
	versions versionConstraint
	// identity is what quarantine knows the request by; nil until the request's account and service
	// are known.
	identity atomic.Pointer[quarantine.RequestIdentity]
	// cachedFingerprint identifies what the request asks; nil until it is computed.
	cachedFingerprint atomic.Pointer[quarantine.Fingerprint]
	// quarantineTrialMu guards isQuarantineTrial, because parallel sends of the request are
	// decided at the same time.
	quarantineTrialMu sync.Mutex
	// isQuarantineTrial is set if upstreams ended under the same request and this one is sent
	// to find out whether they can run it by now.
	isQuarantineTrial bool
	// skippedUpstreams is how many upstreams the last choice passed over because of a backoff
	// or a limit.
	skippedUpstreams int
	// answerStarted is set when the answer's status and header are passed to the caller.
	answerStarted bool
	// delivered is set once an event of a stream has been passed on to the caller.
	delivered atomic.Bool
	// ended is set once the end of the request is recorded.
	ended bool
}

// Serve answers one request. The context ends when the caller leaves.
func (f *Forwarder) Serve(ctx context.Context, c *Call, to Sink) {
	x := &exchange{Forwarder: f, call: c, sink: to}
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	if !f.addInFlight(x, end) {
		x.refuse(Refusal{Code: CodeStopping, RetryAfter: x.stoppingRetryAfter(c.Arrived)})
		return
	}
	defer f.removeInFlight(x)
	defer x.recoverPanic(x.answerPanic)
	refusal, ok := x.admit(c.Arrived)
	if !ok {
		x.refuse(refusal, "version", x.configVersion())
		return
	}
	if cause := endCauseOf(ctx); cause != endNone {
		// The caller left before its request was read; upstreams would work for nobody.
		x.refuse(Refusal{Code: cause.code()})
		return
	}
	deadlineCtx := ctx
	if !x.deadline.IsZero() {
		var cancel context.CancelFunc
		deadlineCtx, cancel = x.settings.Clock.WithTimeoutCause(ctx, x.deadline.Sub(x.now()), errDeadline)
		defer cancel()
	}
	if x.route.Kind == KindStream {
		x.serveStream(deadlineCtx)
		return
	}
	x.serveUnary(deadlineCtx)
}

// configVersion returns the version of the configuration in force; zero if there is none.
func (x *exchange) configVersion() Version {
	if t := x.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// admit determines the route, the account and the service of the request. If it can't be served
// here, it returns the refusal and false.
func (x *exchange) admit(now time.Time) (Refusal, bool) {
	t := x.table.Load()
	if t == nil {
		return Refusal{Code: CodeNotReady, RetryAfter: notReadyRetryAfter}, false
	}
	var found bool
	if x.route, found = t.Match(x.call.Host, x.call.Path); !found {
		return x.refuseUnknown(now, CodeNoRoute), false
	}
	if t.RequiresKey && !x.route.Public {
		if x.account, found = t.Account(x.call.APIKey); !found {
			return x.refuseUnknown(now, CodeBadKey), false
		}
	}
	x.urgency = x.route.Urgency
	if x.account.Ranked {
		x.urgency = x.account.Urgency
	}
	// The request may have waited in a socket of this host while the machine was suspended. Its
	// caller has waited for that time, too, and may have left.
	late := x.settings.Clock.MaxMessageDelay(now)
	if x.call.CallerTimeout > 0 && x.call.CallerTimeout <= late {
		return Refusal{Code: CodeLate, RetryAfter: otherHostRetryAfter}, false
	}
	x.deadline = earliestDeadline(now.Add(-late), x.call.CallerTimeout, x.route.Timeout)
	x.publishedDeadline.Store(&x.deadline)
	x.zones = x.allowedZones()
	x.service, found = t.Service(x.pickService(now))
	if !found {
		return Refusal{Code: CodeNoUpstream, RetryAfter: defaultRetryAfter}, false
	}
	x.versions.set(x.drawVersions(now))
	identity := x.requestIdentity()
	x.identity.Store(&identity)
	if x.mustHoldBack(now) {
		return quarantineRefusal, false
	}
	if x.noUpstreamInRegions(now) {
		return Refusal{Code: CodeRegion, RetryAfter: maxRetryAfter}, false
	}
	// The body may have taken seconds to arrive.
	if now := x.now(); !x.endsBeforeStop(now) {
		x.journal.Request(x.call.ID, "would outlast the stop", "stopping_for", now.Sub(x.stopStartedAt()), "limit", x.call.Prompt.MaxOutputTokens, "hint", x.call.Prompt.ExpectedOutputTokens)
		return Refusal{Code: CodeStopping, RetryAfter: x.stoppingRetryAfter(now)}, false
	}
	return Refusal{}, true
}

// refuseUnknown refuses a request for something that the configuration doesn't hold. It returns
// the code only while the configuration is known to be the newest. Otherwise it asks the caller
// to retry, because another host may have a newer one.
func (x *exchange) refuseUnknown(now time.Time, code Code) Refusal {
	if x.ContactAge(now) > x.settings.MaxContactAge {
		return Refusal{Code: CodeNotReady, RetryAfter: notReadyRetryAfter}
	}
	return Refusal{Code: code}
}

// earliestDeadline returns from plus the least positive bound; zero if no bound is positive.
func earliestDeadline(from time.Time, bounds ...time.Duration) time.Time {
	var earliest time.Time
	for _, b := range bounds {
		if b <= 0 {
			continue
		}
		if at := from.Add(b); earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	return earliest
}

// pickService draws one of the route's services by weight. A service without upstreams is
// passed over if another one has some.
func (x *exchange) pickService(now time.Time) ServiceName {
	total := 0
	for _, s := range x.route.Services {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	draw := rand.IntN(total)
	var picked ServiceName
	for _, s := range x.route.Services {
		if draw < s.Weight {
			picked = s.Service
			break
		}
		draw -= s.Weight
	}
	if len(x.route.Services) == 1 || len(x.filterUpstreams(x.fleet.Available(now, picked))) > 0 {
		return picked
	}
	for _, s := range x.route.Services {
		if s.Weight > 0 && len(x.filterUpstreams(x.fleet.Available(now, s.Service))) > 0 {
			return s.Service
		}
	}
	return picked
}

// timeLeft is how long an upstream may still work on the request; zero sets no limit.
func (x *exchange) timeLeft(now time.Time) time.Duration {
	if x.deadline.IsZero() {
		return 0
	}
	return max(x.deadline.Sub(now), time.Millisecond)
}

// refuse sends the caller a refusal as its final answer, and records it.
func (x *exchange) refuse(r Refusal, keyvals ...any) {
	took := x.now().Sub(x.call.Arrived)
	keyvals = append([]any{"route", x.route.Name, "code", r.Code, "may_have_run", r.MayHaveRun, "retry_after", r.RetryAfter, "took", took}, keyvals...)
	x.recordEnd("refused", string(r.Code), took, keyvals)
	// A caller whose connection has ended in one direction may still read: it gets an answer, too.
	if err := x.sink.Refuse(r); err != nil && r.Code != CodeCallerLeft {
		x.journal.Request(x.call.ID, "refusal not delivered", "err", err)
	}
}

// recordOutcome records the end of a request that an upstream answered.
func (x *exchange) recordOutcome(outcome string, keyvals ...any) {
	took := x.now().Sub(x.call.Arrived)
	keyvals = append([]any{"route", x.route.Name, "outcome", outcome, "took", took}, keyvals...)
	x.recordEnd("answered", outcome, took, keyvals)
}

// recordEnd logs and counts the end of the request, once: after a panic the end may be recorded already.
func (x *exchange) recordEnd(event, outcome string, took time.Duration, keyvals []any) {
	if x.ended {
		return
	}
	x.ended = true
	x.observer.Answered(x.route.Kind, outcome, took)
	x.journal.Request(x.call.ID, event, keyvals...)
}

// runID returns the id of the request's run on the engines.
func (x *exchange) runID() policy.RunID { return policy.RunID(x.call.ID) }
