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

// When refused callers are told to come back.
const (
	// notReadyRetryAfter: a host that starts has its configuration in well under a
	// second.
	notReadyRetryAfter = 300 * time.Millisecond
	// defaultRetryAfter is told where nothing is known.
	defaultRetryAfter = 200 * time.Millisecond
)

// exchange is one request on its way through this host.
type exchange struct {
	*Forwarder
	call    *Call
	sink    Sink
	route   Route
	service Service
	account Account
	// deadline is the earlier of the caller's and the route's.
	deadline time.Time
	// urgency is the account's, or else the route's.
	urgency Urgency
	// zones are those in which the request may be served; nil for all.
	zones []member.Zone
	// versions are those that may get the request.
	versions versionConstraint
	// cachedFingerprint is what the request asks, once that has been worked out.
	cachedFingerprint atomic.Pointer[quarantine.Fingerprint]
	// quarantineTrialMu guards isTry, for sends beside each other are judged at the same time.
	quarantineTrialMu sync.Mutex
	// isQuarantineTrial says that upstreams ended under the same request, and this one finds out
	// whether they bear it by now.
	isQuarantineTrial bool
	// skippedUpstreams is how many upstreams got no request when one was chosen last, for a
	// backoff or a limit.
	skippedUpstreams int
	// delivered says that something of an upstream's answer has come.
	delivered atomic.Bool
}

// Serve answers one request. The context ends when the caller leaves.
func (f *Forwarder) Serve(ctx context.Context, c *Call, to Sink) {
	x := &exchange{Forwarder: f, call: c, sink: to}
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	if !f.enter(x, end) {
		x.refuse(Refusal{Code: CodeStopping, RetryAfter: x.retryStopping(c.Arrived)})
		return
	}
	defer f.leave(x)
	defer x.recoverPanic(x.answerPanic)
	refusal, ok := x.admit(c.Arrived)
	if !ok {
		x.refuse(refusal, "version", x.configVersion())
		return
	}
	if why := endCauseOf(ctx); why != endNone {
		// Its caller left before it was read: upstreams would be at work for nobody.
		x.refuse(Refusal{Code: why.code()})
		return
	}
	cut := ctx
	if !x.deadline.IsZero() {
		var cancel context.CancelFunc
		cut, cancel = x.settings.Clock.WithTimeoutCause(ctx, x.deadline.Sub(x.now()), errDeadline)
		defer cancel()
	}
	if x.route.Kind == KindStream {
		x.serveStream(cut)
		return
	}
	x.serveUnary(cut)
}

func (x *exchange) configVersion() Version {
	if t := x.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// admit finds the route, the account and the service, or says why not.
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
	// It may have waited in this host's sockets while its machine was suspended; then its
	// caller has waited, too, and may have left.
	late := x.settings.Clock.MaxMessageDelay(now)
	if x.call.CallerTimeout > 0 && x.call.CallerTimeout <= late {
		return Refusal{Code: CodeLate, RetryAfter: retryElsewhere}, false
	}
	x.deadline = earliestDeadline(now.Add(-late), x.call.CallerTimeout, x.route.Timeout)
	x.zones = x.allowedZones()
	x.service, found = t.Service(x.pickService(now))
	if !found {
		return Refusal{Code: CodeNoUpstream, RetryAfter: defaultRetryAfter}, false
	}
	x.versions.set(x.drawVersions(now))
	if x.mustHoldBack(now) {
		return quarantineRefusal, false
	}
	if x.noUpstreamInRegions(now) {
		return Refusal{Code: CodeRegion, RetryAfter: maxRetryAfter}, false
	}
	if !x.endsBeforeStop(now) {
		x.journal.Request(x.call.ID, "would outlast the stop", "stopping_for", now.Sub(x.stopBegan()), "limit", x.call.Prompt.MaxOutputTokens, "hint", x.call.Prompt.ExpectedOutputTokens)
		return Refusal{Code: CodeStopping, RetryAfter: x.retryStopping(now)}, false
	}
	return Refusal{}, true
}

// refuseUnknown refuses for what the configuration doesn't hold, but only while the
// configuration is known to be the newest; else another host may know more.
func (x *exchange) refuseUnknown(now time.Time, code Code) Refusal {
	if x.ContactAge(now) > x.settings.MaxContactAge {
		return Refusal{Code: CodeNotReady, RetryAfter: notReadyRetryAfter}
	}
	return Refusal{Code: code}
}

func earliestDeadline(from time.Time, bounds ...time.Duration) time.Time {
	var first time.Time
	for _, b := range bounds {
		if b <= 0 {
			continue
		}
		if at := from.Add(b); first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// pickService draws one of the route's services by weight; one without upstreams
// is passed over while another has some.
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

// timeLeft is how long an upstream may still work on the request.
func (x *exchange) timeLeft(now time.Time) time.Duration {
	if x.deadline.IsZero() {
		return 0
	}
	return max(x.deadline.Sub(now), time.Millisecond)
}

// refuse gives the caller its final answer and notes it.
func (x *exchange) refuse(r Refusal, keyvals ...any) {
	took := x.now().Sub(x.call.Arrived)
	keyvals = append([]any{"route", x.route.Name, "code", r.Code, "may_have_run", r.MayHaveRun, "retry_after", r.RetryAfter, "took", took}, keyvals...)
	x.journal.Request(x.call.ID, "refused", keyvals...)
	x.observer.Answered(x.route.Kind, string(r.Code), took)
	if r.Code == CodeCallerLeft {
		return
	}
	if err := x.sink.Refuse(r); err != nil {
		x.journal.Request(x.call.ID, "refusal not delivered", "err", err)
	}
}

// recordOutcome notes the end of a request that an upstream recordOutcome.
func (x *exchange) recordOutcome(outcome string, keyvals ...any) {
	took := x.now().Sub(x.call.Arrived)
	x.observer.Answered(x.route.Kind, outcome, took)
	keyvals = append([]any{"route", x.route.Name, "outcome", outcome, "took", took}, keyvals...)
	x.journal.Request(x.call.ID, "answered", keyvals...)
}

// runID names the request's run on the engines.
func (x *exchange) runID() policy.RunID { return policy.RunID(x.call.ID) }
