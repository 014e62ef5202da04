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
	// mostHeld is the longest answer that is read whole before it is passed
	// on, so that a broken one can still be replaced.
	mostHeld = 1 << 20
	// mostDials bounds the upstreams that a request which was not sent yet is
	// tried on.
	mostDials = 3
	// secondTryPart is the part of the objective after which a request that
	// may be repeated is sent to a second upstream, too.
	secondTryPart = 0.6
	// maxRejections bounds the upstreams that turn a request away before its caller is told.
	maxRejections = 3
)

// plainTry is one upstream's part in a plain exchange.
type plainTry struct {
	upstream Upstream
	answer   *Answer
	body     []byte
	// long says that the body goes on after what was held.
	long bool
	err  error
	took time.Duration
}

// good reports whether the answer may be given to the caller as a success.
func (t *plainTry) good() bool {
	a := t.answer
	return t.err == nil && a.Signed && !a.Encoded && !a.NotRun && a.Status < http.StatusInternalServerError && !promising(a.Status)
}

// ran reports whether the upstream says that it has run the request, well or not.
func (t *plainTry) ran() bool {
	return t.err == nil && t.answer.Signed && !t.answer.NotRun && !t.answer.OtherInstance
}

// plainExchange sends one request to one upstream after another.
type plainExchange struct {
	*exchange
	tries chan plainTry
	tried []member.UpstreamID
	// sent counts the upstreams that may have got the request, dials those
	// that surely didn't, and open the tries that haven't ended.
	sent, dials, open int
	// rejected counts the upstreams that said that they didn't run it.
	rejected int
	// mayHaveRun is whether a try that ended may have run.
	mayHaveRun bool
	// failure is an upstream's own failure, which the caller gets when nothing
	// better comes.
	failure *plainTry
	// none says why no upstream was found for the first try.
	none Refusal
	// lastCode says what the last try failed of.
	lastCode Code
	// held is what the answers of its tries take in memory.
	memory answerMemory
}

// servePlain answers a request by one upstream's whole answer.
func (x *exchange) servePlain(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := &plainExchange{exchange: x, tries: make(chan plainTry, mostDials+max(x.route.Attempts, 1)+1)}
	p.memory.budget = &x.answerBudget
	defer p.memory.release()
	x.retries.first(x.now(), x.service.Name)
	if !p.launch(ctx, false) {
		x.refuse(p.none, "service", x.service.Name, "kept_back", x.keptCount(x.now()))
		return
	}
	second := p.secondTryTimer()
	defer second.Stop()
	for p.open > 0 {
		select {
		case <-ctx.Done():
			p.giveUp(ctx)
			return
		case <-second.C:
			p.again(ctx, "slow")
		case t := <-p.tries:
			p.open--
			if p.ended(ctx, &t) {
				return
			}
		}
	}
	p.failed()
}

// secondTryTimer fires when the first try has been slow; never for a request
// that may not be repeated.
func (p *plainExchange) secondTryTimer() *time.Timer {
	if p.route.Kind != KindSafe || p.route.Attempts < 2 || p.route.Objective <= 0 {
		t := time.NewTimer(time.Hour)
		t.Stop()
		return t
	}
	return time.NewTimer(time.Duration(secondTryPart * float64(p.route.Objective)))
}

// launch sends the request to the best upstream that wasn't tried yet.
// repeat says that another upstream has had it.
func (p *plainExchange) launch(ctx context.Context, repeat bool) bool {
	u, none, found := p.choosePlain(ctx, p.tried, repeat)
	if !found {
		p.none = none
		return false
	}
	now := p.now()
	p.tried = append(p.tried, u.ID)
	p.open++
	p.sent++
	out := &Outgoing{Call: p.call, Account: p.account.Name, Left: p.timeLeft(now), Urgency: p.urgency}
	go func() {
		defer p.recoverPanic(func() { p.tries <- plainTry{upstream: u, err: errPanicked} })
		p.tries <- p.try(ctx, now, u, out)
	}()
	return true
}

// try sends the request once and reads the answer.
func (p *plainExchange) try(ctx context.Context, began time.Time, u Upstream, out *Outgoing) plainTry {
	t := plainTry{upstream: u}
	t.answer, t.err = p.sendTo(ctx, u, out)
	if t.err == nil {
		t.body, t.long, t.err = p.memory.readBody(t.answer)
	}
	now := p.now()
	t.took = now.Sub(began)
	p.noteVersion(ctx, now, u, &t)
	switch {
	case errors.Is(t.err, ErrNotSent), t.err == nil && (t.answer.OtherInstance || t.answer.Signals.RetryAfter > 0):
		// What asks for backoff gets that, and counts as no worse afterwards.
		p.plainChooser.done(now, u.ID, 0, true)
	default:
		p.plainChooser.done(now, u.ID, t.took, !t.good())
	}
	return t
}

// ended takes in one try. It reports whether the caller has its answer.
func (p *plainExchange) ended(ctx context.Context, t *plainTry) bool {
	now := p.now()
	if t.ran() {
		// Also to a failure: whoever gives it is still there.
		p.survived(now)
	}
	if t.good() {
		p.deliver(t)
		return true
	}
	why := p.judge(ctx, now, t)
	p.journal.Request(p.call.ID, "try failed", "upstream", t.upstream.ID, "why", why, "status", status(t.answer), "err", t.err, "took", t.took)
	switch why {
	case "kept_back":
		p.sent--
		p.lastCode = CodeOverloaded
		if ctx.Err() == nil && !p.held(now) {
			p.launch(ctx, p.sent+p.rejected > 0)
		}
	case "not_sent":
		p.sent--
		p.dials++
		p.lastCode = CodeNoUpstream
		if p.dials < mostDials && ctx.Err() == nil {
			p.launch(ctx, false)
		}
	case "not_run":
		// What didn't run there doesn't count against the upstreams that may run it.
		p.sent--
		p.rejected++
		p.lastCode = CodeOverloaded
		if p.rejected < maxRejections {
			p.again(ctx, why)
		}
	default:
		p.mayHaveRun = true
		if p.route.Kind == KindSafe {
			p.again(ctx, why)
		}
	}
	return false
}

// judge says what a failed try means and marks the upstream accordingly.
func (p *plainExchange) judge(ctx context.Context, now time.Time, t *plainTry) string {
	_, kept := keptBackBy(t.err)
	switch {
	case kept:
		return "kept_back"
	case errors.Is(t.err, ErrNotSent):
		p.fleet.Suspect(now, t.upstream.ID)
		return "not_sent"
	case t.err != nil:
		p.lastCode = CodeLost
		p.noteBroken(ctx, now, t.upstream, time.Time{}, t.err)
		return "lost"
	case t.answer.OtherInstance:
		p.fleet.MarkLeaving(now, t.upstream.ID, 0, true)
		return "not_sent"
	case t.answer.NotRun:
		return "not_run"
	case t.answer.Signed && !t.answer.Encoded && !promising(t.answer.Status):
		p.failure = t
		return "upstream_failed"
	default:
		p.lastCode = CodeBadAnswer
		return "bad_answer"
	}
}

// promising reports whether a status says that the request has not run; an
// upstream's own such status without its word doesn't count as that.
func promising(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func status(a *Answer) int {
	if a == nil {
		return 0
	}
	return a.Status
}

// again sends the request to another upstream if the route and the budget allow
// it.
func (p *plainExchange) again(ctx context.Context, why string) {
	if ctx.Err() != nil || p.sent >= p.route.Attempts || p.held(p.now()) {
		return
	}
	if !p.retries.take(p.now(), p.service.Name) {
		p.journal.Request(p.call.ID, "not repeated", "why", "retry budget used up", "after", why)
		return
	}
	if p.launch(ctx, true) {
		p.observer.Repeated(why)
	}
}

// deliver gives the caller an upstream's answer.
func (p *plainExchange) deliver(t *plainTry) {
	var err error
	if t.long {
		err = p.deliverLong(t)
	} else {
		err = p.sink.Whole(t.answer, t.body)
	}
	outcome := "ok"
	if err != nil {
		outcome = "not_delivered"
	}
	p.recordOutcome(outcome, "upstream", t.upstream.ID, "status", t.answer.Status, "tries", len(p.tried), "skipped", p.skippedUpstreams, "err", err)
}

// deliverLong passes on an answer that is too long to be held.
func (p *plainExchange) deliverLong(t *plainTry) error {
	defer t.answer.Body.Close()
	err := p.sink.Begin(t.answer)
	if err == nil {
		err = p.sink.Write(t.body)
	}
	chunk := make([]byte, 64<<10)
	for err == nil {
		n, readErr := t.answer.Body.Read(chunk)
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
	p.sink.Cut()
	return err
}

// failed answers when every try has ended without a good answer.
func (p *plainExchange) failed() {
	now := p.now()
	switch {
	case p.failure != nil:
		p.deliver(p.failure)
	case p.mayHaveRun:
		p.refuse(p.truly(now, Refusal{Code: p.lastCode, MayHaveRun: true}), "tries", len(p.tried))
	case p.held(now):
		p.refuse(heldRefusal, "tries", len(p.tried))
	default:
		refusal := Refusal{Code: p.lastCode, RetryAfter: defaultRetryAfter}
		if p.lastCode == CodeOverloaded {
			refusal = p.rejectedEverywhere(now)
		}
		p.refuse(refusal, "tries", len(p.tried), "kept_back", p.keptCount(now))
	}
}

// giveUp answers when the request's time is over, or the host's, or notes that its
// caller has left. Tries that are still open end with the context.
func (p *plainExchange) giveUp(ctx context.Context) {
	why := endCauseOf(ctx)
	if why != endCallerLeft && p.failure != nil {
		p.deliver(p.failure)
		return
	}
	p.refuse(Refusal{Code: why.code(), MayHaveRun: true}, "tries", len(p.tried))
}
