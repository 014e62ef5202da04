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
	// maxBufferedResponse is the longest answer that is read whole before it is passed
	// on, so that a broken one can still be replaced.
	maxBufferedResponse = 1 << 20
	// maxConnectAttempts bounds the upstreams that a request which was not sent yet is
	// tried on.
	maxConnectAttempts = 3
	// hedgeDelayFraction is the part of the objective after which a request that
	// may be repeated is sent to a second upstream, too.
	hedgeDelayFraction = 0.6
	// maxRejections bounds the upstreams that turn a request away before its caller is told.
	maxRejections = 3
)

// upstreamAttempt is one upstream's part in a plain exchange.
type upstreamAttempt struct {
	upstream Upstream
	response *Response
	body     []byte
	// hasMore says that the body goes on after what was held.
	hasMore bool
	err     error
	elapsed time.Duration
}

// succeeded reports whether the answer may be given to the caller as a success.
func (t *upstreamAttempt) succeeded() bool {
	a := t.response
	return t.err == nil && a.Signed && !a.UnexpectedEncoding && !a.NotRun && a.Status < http.StatusInternalServerError && !claimsNotRun(a.Status)
}

// executed reports whether the upstream says that it has run the request, well or not.
func (t *upstreamAttempt) executed() bool {
	return t.err == nil && t.response.Signed && !t.response.NotRun && !t.response.WrongInstance
}

// unaryExchange sends one request to one upstream after another.
type unaryExchange struct {
	*exchange
	results chan upstreamAttempt
	tried   []member.UpstreamID
	// sent counts the upstreams that may have got the request, notSent those
	// that surely didn't, and pending the tries that haven't ended.
	sent, notSent, pending int
	// rejected counts the upstreams that said that they didn't run it.
	rejected int
	// mayHaveRun is whether a try that ended may have run.
	mayHaveRun bool
	// upstreamFailure is an upstream's own upstreamFailure, which the caller gets when nothing
	// better comes.
	upstreamFailure *upstreamAttempt
	// selectionRefusal says why no upstream was found for the first try.
	selectionRefusal Refusal
	// lastCode says what the last try failed of.
	lastCode Code
	// held is what the answers of its tries take in responseMemory.
	responseMemory answerMemory
}

// serveUnary answers a request by one upstream's whole answer.
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
	second := p.hedgeTimer()
	defer second.Stop()
	for p.pending > 0 {
		select {
		case <-ctx.Done():
			p.finishCanceled(ctx)
			return
		case <-second.C:
			p.retry(ctx, "slow")
		case t := <-p.results:
			p.pending--
			if p.handleResult(ctx, &t) {
				return
			}
		}
	}
	p.finishFailed()
}

// hedgeTimer fires when the first try has been slow; never for a request
// that may not be repeated.
func (p *unaryExchange) hedgeTimer() *time.Timer {
	if p.route.Kind != KindSafe || p.route.Attempts < 2 || p.route.Objective <= 0 {
		t := time.NewTimer(time.Hour)
		t.Stop()
		return t
	}
	return time.NewTimer(time.Duration(hedgeDelayFraction * float64(p.route.Objective)))
}

// startAttempt sends the request to the best upstream that wasn't tried yet.
// repeat says that another upstream has had it.
func (p *unaryExchange) startAttempt(ctx context.Context, repeat bool) bool {
	u, none, found := p.selectUpstream(ctx, p.tried, repeat)
	if !found {
		p.selectionRefusal = none
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

// runAttempt sends the request once and reads the answer.
func (p *unaryExchange) runAttempt(ctx context.Context, began time.Time, u Upstream, out *UpstreamRequest) upstreamAttempt {
	t := upstreamAttempt{upstream: u}
	t.response, t.err = p.sendTo(ctx, u, out)
	if t.err == nil {
		t.body, t.hasMore, t.err = p.responseMemory.readBody(t.response)
	}
	now := p.now()
	t.elapsed = now.Sub(began)
	p.noteVersion(ctx, now, u, &t)
	switch {
	case errors.Is(t.err, ErrNotSent), t.err == nil && (t.response.WrongInstance || t.response.Signals.RetryAfter > 0):
		// What asks for backoff gets that, and counts as no worse afterwards.
		p.plainChooser.done(now, u.ID, 0, true)
	default:
		p.plainChooser.done(now, u.ID, t.elapsed, !t.succeeded())
	}
	return t
}

// handleResult takes in one try. It reports whether the caller has its answer.
func (p *unaryExchange) handleResult(ctx context.Context, t *upstreamAttempt) bool {
	now := p.now()
	if t.executed() {
		// Also to a failure: whoever gives it is still there.
		p.survived(now)
	}
	if t.succeeded() {
		p.deliver(t)
		return true
	}
	why := p.classifyFailure(ctx, now, t)
	p.journal.Request(p.call.ID, "try failed", "upstream", t.upstream.ID, "why", why, "status", statusOf(t.response), "err", t.err, "took", t.elapsed)
	switch why {
	case "kept_back":
		p.sent--
		p.lastCode = CodeOverloaded
		if ctx.Err() == nil && !p.held(now) {
			p.startAttempt(ctx, p.sent+p.rejected > 0)
		}
	case "not_sent":
		p.sent--
		p.notSent++
		p.lastCode = CodeNoUpstream
		if p.notSent < maxConnectAttempts && ctx.Err() == nil {
			p.startAttempt(ctx, false)
		}
	case "not_run":
		// What didn't run there doesn't count against the upstreams that may run it.
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

// classifyFailure says what a failed try means and marks the upstream accordingly.
func (p *unaryExchange) classifyFailure(ctx context.Context, now time.Time, t *upstreamAttempt) string {
	_, kept := notSentVerdict(t.err)
	switch {
	case kept:
		return "kept_back"
	case errors.Is(t.err, ErrNotSent):
		p.fleet.Suspect(now, t.upstream.ID)
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

// claimsNotRun reports whether a status says that the request has not run; an
// upstream's own such status without its word doesn't count as that.
func claimsNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func statusOf(a *Response) int {
	if a == nil {
		return 0
	}
	return a.Status
}

// retry sends the request to another upstream if the route and the budget allow
// it.
func (p *unaryExchange) retry(ctx context.Context, why string) {
	if ctx.Err() != nil || p.sent >= p.route.Attempts || p.held(p.now()) {
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

// deliver gives the caller an upstream's answer.
func (p *unaryExchange) deliver(t *upstreamAttempt) {
	var err error
	if t.hasMore {
		err = p.deliverUnbuffered(t)
	} else {
		err = p.sink.SendResponse(t.response, t.body)
	}
	outcome := "ok"
	if err != nil {
		outcome = "not_delivered"
	}
	p.recordOutcome(outcome, "upstream", t.upstream.ID, "status", t.response.Status, "tries", len(p.tried), "skipped", p.skippedUpstreams, "err", err)
}

// deliverUnbuffered passes on an answer that is too long to be held.
func (p *unaryExchange) deliverUnbuffered(t *upstreamAttempt) error {
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
			return err
		}
		if readErr != nil {
			err = readErr
		}
	}
	p.sink.Truncate()
	return err
}

// finishFailed answers when every try has ended without a good answer.
func (p *unaryExchange) finishFailed() {
	now := p.now()
	switch {
	case p.upstreamFailure != nil:
		p.deliver(p.upstreamFailure)
	case p.mayHaveRun:
		p.refuse(p.truly(now, Refusal{Code: p.lastCode, MayHaveRun: true}), "tries", len(p.tried))
	case p.held(now):
		p.refuse(heldRefusal, "tries", len(p.tried))
	default:
		refusal := Refusal{Code: p.lastCode, RetryAfter: defaultRetryAfter}
		if p.lastCode == CodeOverloaded {
			refusal = p.rejectedEverywhere(now)
		}
		p.refuse(refusal, "tries", len(p.tried), "kept_back", p.throttledCount(now))
	}
}

// finishCanceled answers when the request's time is over, or the host's, or notes that its
// caller has left. Tries that are still open end with the context.
func (p *unaryExchange) finishCanceled(ctx context.Context) {
	why := endCauseOf(ctx)
	if why != endCallerLeft && p.upstreamFailure != nil {
		p.deliver(p.upstreamFailure)
		return
	}
	p.refuse(Refusal{Code: why.code(), MayHaveRun: true}, "tries", len(p.tried))
}
