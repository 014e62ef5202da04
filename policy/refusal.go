// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxFirstTokenFraction is the fraction of a request's objective within which its
// first token must be forecast. The forecast is a mean: if requests were admitted
// up to the full objective, half of those at the limit would be late.
const maxFirstTokenFraction = 0.7

// The retry delay if the pool has no engine, and the bounds of a delay that is
// derived from the pool's load.
const (
	noEngineRetryAfter = 5 * time.Second
	minRetryAfter      = 500 * time.Millisecond
	maxRetryAfter      = 60 * time.Second
)

// refuseImpossible refuses a request that no engine of the pool could ever take.
func (p *Pool) refuseImpossible(r Request) (Decision, bool) {
	if len(p.engines) == 0 {
		return Decision{Run: r.Run, Verdict: Refused, Reason: ReasonNoEngine, RetryAfter: noEngineRetryAfter}, true
	}
	if p.TooLong(&r) {
		return Decision{Run: r.Run, Verdict: Refused, Reason: ReasonTooLong}, true
	}
	return Decision{}, false
}

// TooLong reports whether a request's prompt fits no engine of the pool. It returns false while the
// capacity of an engine isn't known.
func (p *Pool) TooLong(r *Request) bool {
	largest := Tokens(0)
	for _, e := range p.engines {
		if !e.capacityKnown() {
			return false
		}
		largest = max(largest, e.report.TotalMemory)
	}
	return len(p.engines) > 0 && r.PromptTokens >= largest
}

func (p *Pool) enqueueOrRefuse(now time.Time, w *queuedRequest, position int) Decision {
	if wait := p.backlogWait(now, &w.Request); wait > 0 {
		return p.refuse(w, ReasonLate, wait)
	}
	wait := p.expectedWait(position)
	switch {
	case len(p.queue.items) >= p.settings.MaxQueueLength || p.queue.bytes+w.QueueBytes > p.settings.MaxQueueBytes:
		return p.refuse(w, ReasonQueueFull, wait)
	case p.missesDeadline(now, &w.Request, wait), p.exceedsMaxWait(&w.Request, wait):
		return p.refuse(w, ReasonDeadline, wait)
	}
	p.queue.insert(w)
	return Decision{Run: w.Run, Verdict: Queued}
}

// refuse refuses a request and refunds the cost that was charged to its account.
func (p *Pool) refuse(w *queuedRequest, reason Reason, wait time.Duration) Decision {
	p.queue.adjustCharge(w.Account, -(w.PromptTokens + p.lengths.MeanLength(&w.Request)))
	return Decision{
		Run: w.Run, Verdict: Refused, Reason: reason,
		RetryAfter: min(max(p.retryAfter(&w.Request, wait), minRetryAfter), maxRetryAfter),
	}
}

// expectedWait returns how long a request behind the given number of others is
// expected to wait.
func (p *Pool) expectedWait(requestsAhead int) time.Duration {
	return queueWait(requestsAhead, p.completionsPerSecond())
}

// queueWait returns how long it takes until more than the given number of answers
// have ended; zero if none is expected to end.
func queueWait(requestsAhead int, completionsPerSecond float64) time.Duration {
	if completionsPerSecond == 0 {
		return 0
	}
	return time.Duration(float64(requestsAhead+1) / completionsPerSecond * float64(time.Second))
}

// completionsPerSecond returns the rate at which running answers are expected to
// end.
func (p *Pool) completionsPerSecond() float64 {
	perSecond := 0.0
	for _, e := range p.engines {
		running := max(len(e.orderedRuns), e.report.Running)
		if running == 0 {
			continue
		}
		meanLength := 0.0
		for _, run := range e.orderedRuns {
			meanLength += float64(p.lengths.MeanLength(&run.Request))
		}
		if len(e.orderedRuns) == 0 {
			meanLength = float64(p.lengths.MeanLength(&Request{}))
		} else {
			meanLength /= float64(len(e.orderedRuns))
		}
		perSecond += float64(running) / (meanLength * e.expectedStepTime().Seconds())
	}
	return perSecond
}

// refuseLate refuses the queued requests that won't be served in time: those past
// their deadline, those past their longest wait, and those with an objective that
// are expected to miss their deadline.
func (p *Pool) refuseLate(now time.Time) []Decision {
	if len(p.queue.items) == 0 {
		return nil
	}
	var decided []Decision
	completionsPerSecond := p.completionsPerSecond()
	for i := 0; i < len(p.queue.items); {
		w := p.queue.items[i]
		wait := queueWait(i, completionsPerSecond)
		if !now.After(w.Deadline) && !p.exceedsMaxWait(&w.Request, now.Sub(w.queuedAt)) && (w.Objective <= 0 || !p.missesDeadline(now, &w.Request, wait)) {
			i++
			continue
		}
		p.queue.removeAt(i)
		decided = append(decided, p.refuse(w, ReasonDeadline, wait))
	}
	return decided
}

// exceedsMaxWait reports whether a request has waited too long for its objective.
func (p *Pool) exceedsMaxWait(r *Request, waited time.Duration) bool {
	return r.Objective > 0 && waited > time.Duration(p.settings.MaxWaitFraction*float64(r.Objective))
}

// missesDeadline reports whether a request that gets its place after a wait would
// miss its deadline. If it has an objective, its prompt must be read by then.
func (p *Pool) missesDeadline(now time.Time, r *Request, wait time.Duration) bool {
	if r.Objective > 0 {
		wait += p.prefill.duration(r.PromptTokens)
	}
	return now.Add(wait).After(r.Deadline)
}

// firstTokenDeadline returns the latest time for which a request's first token may
// be forecast; the zero time sets no bound.
func (r *Request) firstTokenDeadline() time.Time {
	if r.Objective <= 0 || r.ArrivedAt.IsZero() {
		return time.Time{}
	}
	return r.ArrivedAt.Add(time.Duration(maxFirstTokenFraction * float64(r.Objective)))
}

// timeToFirstToken returns when an engine is expected to generate a request's
// first token: after it has read the prompts that wait there, and this one.
func (p *Pool) timeToFirstToken(now time.Time, e *engine, r *Request) time.Duration {
	return e.prefillBacklog(now) + p.expectedPrefillTime(now, e, r)
}

// prefillBacklog returns how long an engine still takes to read its prompts.
func (e *engine) prefillBacklog(now time.Time) time.Duration { return max(e.prefillUntil.Sub(now), 0) }

// missesFirstTokenDeadline reports whether an engine's backlog would make a
// request late. An engine without a backlog always passes: no other would be
// sooner.
func (p *Pool) missesFirstTokenDeadline(now time.Time, e *engine, r *Request) bool {
	due := r.firstTokenDeadline()
	if due.IsZero() || !p.prefill.known() || e.prefillBacklog(now) == 0 {
		return false
	}
	return now.Add(p.timeToFirstToken(now, e, r)).After(due)
}

// backlogWait returns the shortest backlog of the engines that could take a
// request, if all of them would make it late; zero if one wouldn't or if none
// could take it.
func (p *Pool) backlogWait(now time.Time, r *Request) time.Duration {
	oldestReport, shortest := now.Add(-maxReportAge), time.Duration(-1)
	for _, e := range p.engines {
		if !e.acceptsWork(oldestReport) || !r.allows(e) {
			continue
		}
		if !p.missesFirstTokenDeadline(now, e, r) {
			return 0
		}
		if wait := e.prefillBacklog(now); shortest < 0 || wait < shortest {
			shortest = wait
		}
	}
	return max(shortest, 0)
}

// retryAfter returns the delay after which a refused caller should try again: the
// wait until room is expected, which is longer for a request further back in the
// queue's order, and, for a request with an objective, the time that its own
// prompt takes to read. Requests with an objective are spread over as long
// again as the wait, so that callers refused together don't return together.
func (p *Pool) retryAfter(r *Request, wait time.Duration) time.Duration {
	if r.Objective <= 0 {
		return wait
	}
	const spreadSteps = 1024
	spread := time.Duration(xxhash.Sum64String(string(r.Run))%spreadSteps) * wait / spreadSteps
	return wait + p.prefill.duration(r.PromptTokens) + spread
}
