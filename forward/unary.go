// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/shedpath/shedpath/member"
)

const (
	// maxBufferedResponse is the number of bytes of a response that are buffered before any of
	// it is passed on. A response that breaks within them can still be replaced by another
	// upstream's.
	maxBufferedResponse = 1 << 20
	// maxConnectAttempts is how many upstreams a request is tried on while it couldn't be sent to
	// any, however long that takes. While there is time, it is tried on maxDials.
	maxConnectAttempts = 3
	// hedgeDelayFraction is the part of the objective after which a request that is safe to
	// repeat is also sent to a second upstream.
	hedgeDelayFraction = 0.6
	// maxRejections bounds the upstreams that may reject a request before it is refused.
	maxRejections = 3
)

// upstreamAttempt is the outcome of sending a request to one upstream.
type upstreamAttempt struct {
	upstream Upstream
	response *Response
	body     []byte
	// hasMore says that the response goes on after the part in body; the rest is unread.
	hasMore bool
	err     error
	elapsed time.Duration
}

// succeeded reports whether the response may be passed to the caller as a success.
func (t *upstreamAttempt) succeeded() bool {
	a := t.response
	return t.err == nil && a.Signed && !a.UnexpectedEncoding && !a.NotRun && a.Status < http.StatusInternalServerError && !claimsNotRun(a.Status)
}

// unaryExchange is an exchange whose response is passed on whole, as opposed to a stream of
// events. It sends the request to one or more upstreams until one succeeds.
type unaryExchange struct {
	*exchange
	results chan upstreamAttempt
	tried   []member.UpstreamID
	// sent counts the upstreams that may have run the request, pending attempts included; notSent
	// counts those that certainly didn't receive it; pending counts the attempts that haven't
	// ended.
	sent, notSent, pending int
	// rejected counts the upstreams that stated that they didn't run the request.
	rejected int
	// mayHaveRun says that the request may have run in an attempt that has ended.
	mayHaveRun bool
	// upstreamFailure is an error response of an upstream. The caller gets it if no attempt
	// succeeds.
	upstreamFailure *upstreamAttempt
	// selectionRefusal is the reason why no upstream was found for the last attempt that was to
	// start.
	selectionRefusal Refusal
	// lastCode is the reason why the last attempt failed.
	lastCode Code
	// responseMemory counts the memory that the buffered responses take.
	responseMemory answerMemory
}

// serveUnary serves a request with the response of one upstream, which it passes on whole.
func (x *exchange) serveUnary(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := &unaryExchange{exchange: x, results: make(chan upstreamAttempt, maxConnectAttempts+max(x.route.Attempts, 1)+1)}
	p.responseMemory.budget = &x.answerBudget
	defer p.responseMemory.release()
	x.retries.countRequest(x.now(), x.service.Name)
	if !p.startAttempt(ctx, false) {
		x.refuse(p.selectionRefusal, "service", x.service.Name, "kept_back", x.throttledCount(x.now()))
		return
	}
	hedge := p.hedgeTimer()
	defer hedge.Stop()
	for p.pending > 0 {
		select {
		case <-ctx.Done():
			p.finishCanceled(ctx)
			return
		case <-hedge.C:
			p.retry(ctx, "slow")
		case t := <-p.results:
			p.pending--
			if p.handleResult(ctx, &t) {
				return
			}
		}
	}
	p.finishFailed(ctx)
}

// hedgeTimer returns a timer that fires when the first attempt has taken too long. It never fires
// for a request that isn't safe to repeat.
func (p *unaryExchange) hedgeTimer() *time.Timer {
	if p.route.Kind != KindSafe || p.route.Attempts < 2 || p.route.Objective <= 0 {
		t := time.NewTimer(time.Hour)
		t.Stop()
		return t
	}
	return time.NewTimer(time.Duration(hedgeDelayFraction * float64(p.route.Objective)))
}

// startAttempt sends the request in the background to the best upstream that hasn't been tried.
// isRetry says that another upstream has already received the request. It reports whether
// an upstream was found.
func (p *unaryExchange) startAttempt(ctx context.Context, isRetry bool) bool {
	u, refusal, found := p.selectUpstream(ctx, p.tried, isRetry)
	if !found {
		p.selectionRefusal = refusal
		return false
	}
	now := p.now()
	p.tried = append(p.tried, u.ID)
	p.pending++
	p.sent++
	out := &UpstreamRequest{Call: p.call, Account: p.account.Name, TimeLeft: p.timeLeft(now), Urgency: p.urgency}
	go func() {
		defer p.recoverPanic(func() { p.results <- upstreamAttempt{upstream: u, err: errPanicked} })
		p.results <- p.runAttempt(ctx, now, u, out)
	}()
	return true
}

// readBody reads the body of an attempt's response, or the beginning of one that is too long to be buffered.
func (p *unaryExchange) readBody(t *upstreamAttempt) {
	t.body, t.hasMore, t.err = p.responseMemory.readBody(t.response)
}

// checkEnd sets the error of an attempt whose response was read to its end if that isn't the end of the answer.
func (p *unaryExchange) checkEnd(ctx context.Context, t *upstreamAttempt) {
	if t.err == nil && !t.hasMore && !t.response.Framed {
		t.err = p.checkWhole(ctx, t.upstream, p.route.Kind == KindSafe)
	}
}

// runAttempt sends the request to one upstream and reads the response.
func (p *unaryExchange) runAttempt(ctx context.Context, startedAt time.Time, u Upstream, out *UpstreamRequest) upstreamAttempt {
	t := upstreamAttempt{upstream: u}
	t.response, t.err = p.sendTo(ctx, u, out)
	if t.err == nil {
		p.readBody(&t)
	}
	now := p.now()
	t.elapsed = now.Sub(startedAt)
	switch {
	case errors.Is(t.err, ErrNotSent), t.err == nil && (t.response.WrongInstance || t.response.Signals.RetryAfter > 0):
		// A response that asks for backoff doesn't count against the upstream's latency or
		// failure rate: the backoff is the consequence.
		p.plainChooser.done(now, u.ID, 0, true)
	default:
		p.plainChooser.done(now, u.ID, t.elapsed, !t.succeeded())
	}
	if t.err == nil {
		// The upstream is through with the request, so it is no longer counted there. One that is safe to repeat is hedged meanwhile.
		p.checkEnd(ctx, &t)
		if t.err != nil && !errors.Is(t.err, errEndUnknown) {
			p.plainChooser.countFailure(p.now(), u.ID)
		}
	}
	p.recordRolloutAttempt(ctx, now, u, &t)
	return t
}

// handleResult processes an attempt that has ended, and starts another if that is allowed. It
// reports whether the caller has been answered.
func (p *unaryExchange) handleResult(ctx context.Context, t *upstreamAttempt) bool {
	now := p.now()
	if t.succeeded() {
		// A failure says nothing: the upstream may have failed before it began the answer that ends it.
		p.recordSurvival(now)
		p.deliver(ctx, t)
		return true
	}
	why := p.classifyFailure(ctx, now, t)
	p.journal.Request(p.call.ID, "try failed", "upstream", t.upstream.ID, "why", why, "status", statusOf(t.response), "err", t.err, "took", t.elapsed)
	switch why {
	case "kept_back":
		p.sent--
		p.lastCode = CodeOverloaded
		if ctx.Err() == nil && !p.mustHoldBack(now) {
			p.startAttempt(ctx, p.sent+p.rejected > 0)
		}
	case "not_sent":
		p.sent--
		p.notSent++
		p.lastCode = CodeNoUpstream
		mayDial := t.err != nil && p.notSent < maxDials && p.mayDial(now)
		if (p.notSent < maxConnectAttempts || mayDial) && ctx.Err() == nil {
			p.startAttempt(ctx, false)
		}
	case "not_run":
		// An upstream that didn't run the request doesn't use up one of the route's attempts.
		p.sent--
		p.rejected++
		p.lastCode = CodeOverloaded
		if p.rejected < maxRejections {
			p.retry(ctx, why)
		}
	default:
		p.mayHaveRun = true
		if p.route.Kind == KindSafe {
			p.retry(ctx, why)
		}
	}
	return false
}

// classifyFailure returns the kind of a failed attempt, as logged and counted, and marks the
// upstream accordingly.
func (p *unaryExchange) classifyFailure(ctx context.Context, now time.Time, t *upstreamAttempt) string {
	_, notPermitted := notSentVerdict(t.err)
	switch {
	case notPermitted:
		return "kept_back"
	case errors.Is(t.err, ErrNotSent):
		if ctx.Err() == nil {
			p.recordUnreached(now, t.upstream, t.err)
		}
		return "not_sent"
	case t.err != nil:
		p.lastCode = CodeLost
		p.recordBrokenConnection(ctx, now, t.upstream, time.Time{}, t.err)
		return "lost"
	case t.response.WrongInstance:
		p.fleet.MarkLeaving(now, t.upstream.ID, 0, true)
		return "not_sent"
	case t.response.NotRun:
		return "not_run"
	case t.response.Signed && !t.response.UnexpectedEncoding && !claimsNotRun(t.response.Status):
		p.upstreamFailure = t
		return "upstream_failed"
	default:
		p.lastCode = CodeBadAnswer
		return "bad_answer"
	}
}

// claimsNotRun reports whether a status by itself says that the request has not run. An upstream's
// response with such a status isn't trusted unless it also states that the request didn't run.
func claimsNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// statusOf returns a response's status; zero if there is no response.
func statusOf(a *Response) int {
	if a == nil {
		return 0
	}
	return a.Status
}

// retry sends the request to another upstream if the route's attempts and the retry budget allow
// it.
func (p *unaryExchange) retry(ctx context.Context, why string) {
	if ctx.Err() != nil || p.sent >= p.route.Attempts || p.mustHoldBack(p.now()) {
		return
	}
	if !p.retries.takeRetry(p.now(), p.service.Name) {
		p.journal.Request(p.call.ID, "not repeated", "why", "retry budget used up", "after", why)
		return
	}
	if p.startAttempt(ctx, true) {
		p.observer.Repeated(why)
	}
}

// deliver passes an upstream's response to the caller.
func (p *unaryExchange) deliver(ctx context.Context, t *upstreamAttempt) {
	var err error
	p.answerStarted = true
	// From here on, the time is up to how fast the caller reads.
	p.publishedDeadline.Store(nil)
	if t.hasMore {
		err = p.deliverUnbuffered(ctx, t)
	} else {
		err = p.sink.SendResponse(t.response, t.body)
	}
	outcome := "ok"
	if err != nil {
		outcome = "not_delivered"
	}
	p.recordOutcome(outcome, "upstream", t.upstream.ID, "status", t.response.Status, "tries", len(p.tried), "skipped", p.skippedUpstreams, "err", err)
}

// brokenAnswerError reports that an upstream's response broke off after a part of it was passed on.
type brokenAnswerError struct{ err error }

func (e *brokenAnswerError) Error() string { return "the answer broke off: " + e.err.Error() }

func (e *brokenAnswerError) Unwrap() error { return e.err }

// deliverUnbuffered passes on a response that is too long to be buffered. One that isn't whole by the deadline
// counts as its upstream's failure.
func (p *unaryExchange) deliverUnbuffered(ctx context.Context, t *upstreamAttempt) error {
	defer t.response.Body.Close()
	err := p.sink.BeginResponse(t.response)
	if err == nil {
		err = p.sink.Write(t.body)
	}
	chunk := make([]byte, 64<<10)
	for err == nil {
		n, readErr := t.response.Body.Read(chunk)
		if n > 0 {
			err = p.sink.Write(chunk[:n])
		}
		if errors.Is(readErr, io.EOF) {
			readErr = nil
			if !t.response.Framed {
				readErr = p.checkWhole(ctx, t.upstream, false)
			}
			if readErr == nil {
				return err
			}
		}
		if readErr != nil {
			err = &brokenAnswerError{readErr}
		}
	}
	p.sink.Truncate()
	var broken *brokenAnswerError
	if end := endCauseOf(ctx); end == endDeadline || end == endNone && errors.As(err, &broken) {
		p.plainChooser.countFailure(p.now(), t.upstream.ID)
	}
	return err
}

// finishFailed answers the caller when all attempts have ended without success.
func (p *unaryExchange) finishFailed(ctx context.Context) {
	now := p.now()
	switch {
	case p.upstreamFailure != nil:
		p.deliver(ctx, p.upstreamFailure)
	case p.mayHaveRun:
		p.refuse(p.withQuarantineCode(now, Refusal{Code: p.lastCode, MayHaveRun: true}), "tries", len(p.tried))
	case p.mustHoldBack(now):
		p.refuse(quarantineRefusal, "tries", len(p.tried))
	default:
		refusal := Refusal{Code: p.lastCode, RetryAfter: defaultRetryAfter}
		if p.lastCode == CodeOverloaded {
			refusal = p.refuseRejected(now)
		}
		p.refuse(refusal, "tries", len(p.tried), "kept_back", p.throttledCount(now))
	}
}

// finishCanceled ends the exchange when its context has ended: the time for the request or for the
// host's shutdown is over, or the caller has left. Attempts that are pending end with the
// context.
func (p *unaryExchange) finishCanceled(ctx context.Context) {
	why := endCauseOf(ctx)
	if why != endCallerLeft && p.upstreamFailure != nil {
		p.deliver(ctx, p.upstreamFailure)
		return
	}
	p.refuse(Refusal{Code: why.code(), MayHaveRun: true}, "tries", len(p.tried))
}
