// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxFirstTokenFraction is the part of its objective within which a request's first
// token must be foreseen. The foreseen time is a mean: of those admitted at the
// whole objective every second would be late.
const maxFirstTokenFraction = 0.7

// Waits that callers are told when the pool can't foresee one.
const (
	noEngineRetryAfter = 5 * time.Second
	minRetryAfter      = 500 * time.Millisecond
	maxRetryAfter      = 60 * time.Second
)

// refuseImpossible refuses what no engine could ever take.
func (p *Pool) refuseImpossible(r Request) (Decision, bool) {
	if len(p.engines) == 0 {
		return Decision{Run: r.Run, Verdict: Refused, Reason: ReasonNoEngine, RetryAfter: noEngineRetryAfter}, true
	}
	largest, known := Tokens(0), true
	for _, e := range p.engines {
		largest = max(largest, e.report.TotalMemory)
		known = known && e.capacityKnown()
	}
	if known && r.PromptTokens >= largest {
		return Decision{Run: r.Run, Verdict: Refused, Reason: ReasonTooLong}, true
	}
	return Decision{}, false
}

func (p *Pool) enqueueOrRefuse(now time.Time, w *queuedRequest, at int) Decision {
	if wait := p.backlogWait(now, &w.Request); wait > 0 {
		return p.refuse(w, ReasonLate, wait)
	}
	wait := p.expectedWait(at)
	switch {
	case len(p.queue.items) >= p.settings.MaxQueueLength || p.queue.bytes+w.QueueBytes > p.settings.MaxQueueBytes:
		return p.refuse(w, ReasonQueueFull, wait)
	case p.missesDeadline(now, &w.Request, wait), p.exceedsMaxWait(&w.Request, wait):
		return p.refuse(w, ReasonDeadline, wait)
	}
	p.queue.insert(w)
	return Decision{Run: w.Run, Verdict: Queued}
}

// refuse gives the account its tag back: it was charged for nothing.
func (p *Pool) refuse(w *queuedRequest, why Reason, wait time.Duration) Decision {
	p.queue.adjustCharge(w.Account, -(w.PromptTokens + p.lengths.MeanLength(&w.Request)))
	return Decision{
		Run: w.Run, Verdict: Refused, Reason: why,
		RetryAfter: min(max(p.retryAfter(&w.Request, wait), minRetryAfter), maxRetryAfter),
	}
}

// expectedWait is how long a request behind that many others will wait.
func (p *Pool) expectedWait(ahead int) time.Duration {
	return queueWait(ahead, p.completionsPerSecond())
}

// queueWait is how long it takes until more answers than that have ended; zero when
// none is expected to.
func queueWait(ahead int, endsPerSecond float64) time.Duration {
	if endsPerSecond == 0 {
		return 0
	}
	return time.Duration(float64(ahead+1) / endsPerSecond * float64(time.Second))
}

// completionsPerSecond is the rate at which the running answers are expected to end.
func (p *Pool) completionsPerSecond() float64 {
	perSecond := 0.0
	for _, e := range p.engines {
		running := max(len(e.orderedRuns), e.report.Running)
		if running == 0 {
			continue
		}
		life := 0.0
		for _, run := range e.orderedRuns {
			life += float64(p.lengths.MeanLength(&run.Request))
		}
		if len(e.orderedRuns) == 0 {
			life = float64(p.lengths.MeanLength(&Request{}))
		} else {
			life /= float64(len(e.orderedRuns))
		}
		perSecond += float64(running) / (life * e.expectedStepTime().Seconds())
	}
	return perSecond
}

// refuseLate refuses what won't be served in time as things stand now: what has
// waited past its deadline, and what is foreseen to.
func (p *Pool) refuseLate(now time.Time) []Decision {
	if len(p.queue.items) == 0 {
		return nil
	}
	var decided []Decision
	endsPerSecond := p.completionsPerSecond()
	for i := 0; i < len(p.queue.items); {
		w := p.queue.items[i]
		wait := queueWait(i, endsPerSecond)
		if !now.After(w.Deadline) && !p.exceedsMaxWait(&w.Request, now.Sub(w.queuedAt)) && (w.Objective <= 0 || !p.missesDeadline(now, &w.Request, wait)) {
			i++
			continue
		}
		p.queue.removeAt(i)
		decided = append(decided, p.refuse(w, ReasonDeadline, wait))
	}
	return decided
}

// exceedsMaxWait reports whether a request that will have waited so long is refused instead.
func (p *Pool) exceedsMaxWait(r *Request, waited time.Duration) bool {
	return r.Objective > 0 && waited > time.Duration(p.settings.MaxWaitFraction*float64(r.Objective))
}

// missesDeadline reports whether a request that gets its place after a wait would
// miss its deadline: one with an objective has to be read by then.
func (p *Pool) missesDeadline(now time.Time, r *Request, wait time.Duration) bool {
	if r.Objective > 0 {
		wait += p.prefill.duration(r.PromptTokens)
	}
	return now.Add(wait).After(r.Deadline)
}

// firstTokenDeadline is when a request's first token is to be foreseen at the latest; the zero
// time sets no bound.
func (r *Request) firstTokenDeadline() time.Time {
	if r.Objective <= 0 || r.ArrivedAt.IsZero() {
		return time.Time{}
	}
	return r.ArrivedAt.Add(time.Duration(maxFirstTokenFraction * float64(r.Objective)))
}

// timeToFirstToken is after how long an engine is expected to make a request's first
// token: when it has read the prompts that wait there, and this one.
func (p *Pool) timeToFirstToken(now time.Time, e *engine, r *Request) time.Duration {
	return e.prefillBacklog(now) + p.expectedPrefillTime(now, e, r)
}

// prefillBacklog is how long an engine still reads the prompts that it has.
func (e *engine) prefillBacklog(now time.Time) time.Duration { return max(e.prefillUntil.Sub(now), 0) }

// missesFirstTokenDeadline reports whether an engine's backlog would make a request late. An
// engine without one is as good as any.
func (p *Pool) missesFirstTokenDeadline(now time.Time, e *engine, r *Request) bool {
	due := r.firstTokenDeadline()
	if due.IsZero() || !p.prefill.known() || e.prefillBacklog(now) == 0 {
		return false
	}
	return now.Add(p.timeToFirstToken(now, e, r)).After(due)
}

// backlogWait is how long it takes until some engine's backlog lets a request
// begin in time; zero when one does now.
func (p *Pool) backlogWait(now time.Time, r *Request) time.Duration {
	oldest, least := now.Add(-maxReportAge), time.Duration(-1)
	for _, e := range p.engines {
		if !e.acceptsWork(oldest) || !r.allows(e) {
			continue
		}
		if !p.missesFirstTokenDeadline(now, e, r) {
			return 0
		}
		if wait := e.prefillBacklog(now); least < 0 || wait < least {
			least = wait
		}
	}
	return max(least, 0)
}

// retryAfter is when a refused caller should come back: when there is expected
// to be room, and later the longer its own prompt takes to be read and the less
// urgent it is. Callers refused together are spread over as long again, so that
// they don't return together.
func (p *Pool) retryAfter(r *Request, wait time.Duration) time.Duration {
	if r.Objective <= 0 {
		return wait
	}
	const parts = 1024
	spread := time.Duration(xxhash.Sum64String(string(r.Run))%parts) * wait / parts
	return wait + p.prefill.duration(r.PromptTokens) + spread
}
