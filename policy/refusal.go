// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// firstTokenMark is the part of its objective within which a request's first
// token must be foreseen. The foreseen time is a mean: of those admitted at the
// whole objective every second would be late.
const firstTokenMark = 0.7

// Waits that callers are told when the pool can't foresee one.
const (
	retryNoEngine = 5 * time.Second
	retryLeast    = 500 * time.Millisecond
	retryMost     = 60 * time.Second
)

// hopeless refuses what no engine could ever take.
func (p *Pool) hopeless(r Request) (Decision, bool) {
	if len(p.engines) == 0 {
		return Decision{Run: r.Run, Verdict: Refused, Reason: ReasonNoEngine, RetryAfter: retryNoEngine}, true
	}
	largest, known := Tokens(0), true
	for _, e := range p.engines {
		largest = max(largest, e.report.Memory)
		known = known && e.known()
	}
	if known && r.Prompt >= largest {
		return Decision{Run: r.Run, Verdict: Refused, Reason: ReasonTooLong}, true
	}
	return Decision{}, false
}

func (p *Pool) enqueue(now time.Time, w *waiting, at int) Decision {
	if wait := p.backlogWait(now, &w.Request); wait > 0 {
		return p.refuse(w, ReasonLate, wait)
	}
	wait := p.foreseenWait(at)
	switch {
	case len(p.queue.items) >= p.settings.QueueLimit || p.queue.bytes+w.Bytes > p.settings.QueueBytes:
		return p.refuse(w, ReasonQueueFull, wait)
	case p.placedTooLate(now, &w.Request, wait), p.waitsTooLong(&w.Request, wait):
		return p.refuse(w, ReasonDeadline, wait)
	}
	p.queue.insert(w)
	return Decision{Run: w.Run, Verdict: Queued}
}

// refuse gives the account its tag back: it was charged for nothing.
func (p *Pool) refuse(w *waiting, why Reason, wait time.Duration) Decision {
	p.queue.correct(w.Account, -(w.Prompt + p.lengths.Mean(&w.Request)))
	return Decision{
		Run: w.Run, Verdict: Refused, Reason: why,
		RetryAfter: min(max(p.returnAfter(&w.Request, wait), retryLeast), retryMost),
	}
}

// foreseenWait is how long a request behind that many others will wait.
func (p *Pool) foreseenWait(ahead int) time.Duration { return waitBehind(ahead, p.endsPerSecond()) }

// waitBehind is how long it takes until more answers than that have ended; zero when
// none is expected to.
func waitBehind(ahead int, endsPerSecond float64) time.Duration {
	if endsPerSecond == 0 {
		return 0
	}
	return time.Duration(float64(ahead+1) / endsPerSecond * float64(time.Second))
}

// endsPerSecond is the rate at which the running answers are expected to end.
func (p *Pool) endsPerSecond() float64 {
	perSecond := 0.0
	for _, e := range p.engines {
		running := max(len(e.order), e.report.Running)
		if running == 0 {
			continue
		}
		life := 0.0
		for _, run := range e.order {
			life += float64(p.lengths.Mean(&run.Request))
		}
		if len(e.order) == 0 {
			life = float64(p.lengths.Mean(&Request{}))
		} else {
			life /= float64(len(e.order))
		}
		perSecond += float64(running) / (life * e.step().Seconds())
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
	endsPerSecond := p.endsPerSecond()
	for i := 0; i < len(p.queue.items); {
		w := p.queue.items[i]
		wait := waitBehind(i, endsPerSecond)
		if !now.After(w.Deadline) && !p.waitsTooLong(&w.Request, now.Sub(w.since)) && (w.Objective <= 0 || !p.placedTooLate(now, &w.Request, wait)) {
			i++
			continue
		}
		p.queue.removeAt(i)
		decided = append(decided, p.refuse(w, ReasonDeadline, wait))
	}
	return decided
}

// waitsTooLong reports whether a request that will have waited so long is refused instead.
func (p *Pool) waitsTooLong(r *Request, waited time.Duration) bool {
	return r.Objective > 0 && waited > time.Duration(p.settings.WaitPart*float64(r.Objective))
}

// placedTooLate reports whether a request that gets its place after a wait would
// miss its deadline: one with an objective has to be read by then.
func (p *Pool) placedTooLate(now time.Time, r *Request, wait time.Duration) bool {
	if r.Objective > 0 {
		wait += p.reads.takes(r.Prompt)
	}
	return now.Add(wait).After(r.Deadline)
}

// due is when a request's first token is to be foreseen at the latest; the zero
// time sets no bound.
func (r *Request) due() time.Time {
	if r.Objective <= 0 || r.Arrived.IsZero() {
		return time.Time{}
	}
	return r.Arrived.Add(time.Duration(firstTokenMark * float64(r.Objective)))
}

// firstToken is after how long an engine is expected to make a request's first
// token: when it has read the prompts that wait there, and this one.
func (p *Pool) firstToken(now time.Time, e *engine, r *Request) time.Duration {
	return e.backlog(now) + p.takesToRead(now, e, r)
}

// backlog is how long an engine still reads the prompts that it has.
func (e *engine) backlog(now time.Time) time.Duration { return max(e.readUntil.Sub(now), 0) }

// tooLate reports whether an engine's backlog would make a request late. An
// engine without one is as good as any.
func (p *Pool) tooLate(now time.Time, e *engine, r *Request) bool {
	due := r.due()
	if due.IsZero() || !p.reads.known() || e.backlog(now) == 0 {
		return false
	}
	return now.Add(p.firstToken(now, e, r)).After(due)
}

// backlogWait is how long it takes until some engine's backlog lets a request
// begin in time; zero when one does now.
func (p *Pool) backlogWait(now time.Time, r *Request) time.Duration {
	oldest, least := now.Add(-staleAfter), time.Duration(-1)
	for _, e := range p.engines {
		if !e.takes(oldest) || !r.allows(e) {
			continue
		}
		if !p.tooLate(now, e, r) {
			return 0
		}
		if wait := e.backlog(now); least < 0 || wait < least {
			least = wait
		}
	}
	return max(least, 0)
}

// returnAfter is when a refused caller should come back: when there is expected
// to be room, and later the longer its own prompt takes to be read and the less
// urgent it is. Callers refused together are spread over as long again, so that
// they don't return together.
func (p *Pool) returnAfter(r *Request, wait time.Duration) time.Duration {
	if r.Objective <= 0 {
		return wait
	}
	const parts = 1024
	spread := time.Duration(xxhash.Sum64String(string(r.Run))%parts) * wait / parts
	return wait + p.reads.takes(r.Prompt) + spread
}
