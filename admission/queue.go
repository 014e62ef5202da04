// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/resource"
)

// Queue holds the requests of a zone's hosts that wait for room on the engines of one service.
// The zero value is empty and ready to use. It isn't safe for concurrent use.
type Queue struct {
	// priorities are the priorities of the requests that were submitted.
	priorities RecentPriorities

	items []*item
	// pendingRetries holds the refused requests that were told when to return, by caller.
	pendingRetries map[Caller]pendingRetry
	// reviewedAt is when the forecast was last applied to all requests.
	reviewedAt time.Time
}

// item is a waiting request.
type item struct {
	Request
	queuedAt time.Time
	// firstArrivedAt is when the caller's first attempt arrived, as far as that is known.
	firstArrivedAt time.Time
	// reviewed is set once the forecast has let the request wait.
	reviewed bool
}

// pendingRetry is a refused request that is expected to return.
type pendingRetry struct {
	Request
	firstArrivedAt, returnAt time.Time
}

const (
	// creditSlack is how long after the time that it was told a caller's credit is kept.
	creditSlack = 2 * time.Second
	// maxLength bounds the queue. With an objective of 4 s and some 20 answers a second in a zone,
	// the forecast refuses requests long before that.
	maxLength = 512
	// maxPendingRetries bounds the refused requests that are remembered, and maxPlannedRetries those
	// that one forecast considers, which bounds its cost.
	maxPendingRetries = 4096
	maxPlannedRetries = 128
	// maxAttempts bounds the requests that find no room in one pass.
	maxAttempts = 16
	// reviewInterval is how often the forecast is applied to requests that already wait.
	reviewInterval = 100 * time.Millisecond
	// minRetryAfter is the shortest delay that a refused caller is told: hosts learn of room
	// within a few milliseconds, and a shorter delay would only repeat the refusal.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter bounds the delay, and retryFraction bounds it by the caller's time: a caller
	// follows it for up to a third of the time that it has left.
	maxRetryAfter = 13 * time.Second
	retryFraction = 1.0 / 3
)

// Zone is what the decider knows of a zone's engines.
type Zone struct {
	Engines []policy.EngineOutlook
	// Held is the memory that each account uses in the zone, on whichever host.
	Held map[resource.Account]policy.Tokens
}

// Verdict is the outcome of a request.
type Verdict int

// The outcomes of a request.
const (
	Granted Verdict = iota + 1
	Refused
)

// ReasonForecast is the reason for the refusal of a request whose first token isn't expected
// within its objective. RetryAfter is then the forecast and isn't shortened.
const ReasonForecast policy.Reason = "zone_forecast"

// Decision is the outcome of a waiting request.
type Decision struct {
	Run     policy.RunID
	Verdict Verdict
	Waited  time.Duration
	// Reason and RetryAfter are set if Refused, and Forecast is the time to the first token that
	// was expected then; zero if it isn't known.
	Reason     policy.Reason
	RetryAfter time.Duration
	Forecast   time.Duration
}

// Submit adds a request. Decide decides about it. A caller that returns is credited with its
// earlier wait: while it can still have its first token within the objective of its first attempt,
// it precedes those who came after that.
func (q *Queue) Submit(now time.Time, r Request) {
	q.priorities.Observe(now, r.Priority)
	if q.index(r.Run) >= 0 {
		return
	}
	w := &item{Request: r, queuedAt: now, firstArrivedAt: r.ArrivedAt}
	if p, found := q.pendingRetries[r.Caller]; found && r.Caller != "" {
		delete(q.pendingRetries, r.Caller)
		if !now.After(p.returnAt.Add(creditSlack)) && p.firstArrivedAt.Before(w.firstArrivedAt) {
			w.firstArrivedAt = p.firstArrivedAt
		}
	}
	q.items = append(q.items, w)
}

func (q *Queue) index(run policy.RunID) int {
	return slices.IndexFunc(q.items, func(w *item) bool { return w.Run == run })
}

// Withdraw removes a request. It reports whether the request was waiting.
func (q *Queue) Withdraw(run policy.RunID) bool {
	i := q.index(run)
	if i >= 0 {
		q.items = slices.Delete(q.items, i, i+1)
	}
	return i >= 0
}

// Waiting returns the number of waiting requests and their highest priority.
func (q *Queue) Waiting() (count, highest int) {
	for i, w := range q.items {
		if i == 0 || w.Priority > highest {
			highest = w.Priority
		}
	}
	return len(q.items), highest
}

// Decide grants room in the queue's order and refuses the requests that can't be served in time.
// place places a request if there is room for it, on an idle engine only if idleOnly is set, and
// reports whether it did.
func (q *Queue) Decide(now time.Time, z Zone, place func(r *Request, idleOnly bool) bool) []Decision {
	if len(q.items) == 0 {
		return nil
	}
	q.order(now, z.Held)
	decided := q.grant(now, place)
	isDue := func(w *item) bool { return !w.reviewed || !now.Before(w.LatestPlacement()) }
	if now.Sub(q.reviewedAt) >= reviewInterval || slices.ContainsFunc(q.items, isDue) {
		q.reviewedAt = now
		decided = append(decided, q.review(now, z.Engines)...)
	}
	return decided
}

// order sorts the requests: by priority; then fairly between accounts, the one that uses the least
// memory first; then by the time that remains since the caller's first attempt. Requests whose
// time has passed come last, the longest late first: they are late in any case, and each that went
// ahead would make another one late.
func (q *Queue) order(now time.Time, held map[resource.Account]policy.Tokens) {
	due := func(w *item) time.Time { return w.firstArrivedAt.Add(w.slack(1)) }
	isLate := func(w *item) int {
		if due(w).Before(now) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(q.items, func(a, b *item) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(isLate(a), isLate(b)), due(a).Compare(due(b)))
	})
	used := maps.Clone(held)
	if used == nil {
		used = map[resource.Account]policy.Tokens{}
	}
	for start := 0; start < len(q.items); {
		end := start + 1
		for end < len(q.items) && q.items[end].Priority == q.items[start].Priority && isLate(q.items[end]) == isLate(q.items[start]) {
			end++
		}
		shareFairly(q.items[start:end], used)
		start = end
	}
}

// shareFairly interleaves the requests of several accounts, which are sorted by the time that
// remains, so that the account that uses the least memory is always next.
func shareFairly(items []*item, used map[resource.Account]policy.Tokens) {
	var accounts []resource.Account
	byAccount := map[resource.Account][]*item{}
	for _, w := range items {
		if byAccount[w.Account] == nil {
			accounts = append(accounts, w.Account)
		}
		byAccount[w.Account] = append(byAccount[w.Account], w)
	}
	if len(accounts) == 1 {
		return
	}
	for i := range items {
		var next resource.Account
		found := false
		for _, account := range accounts {
			if len(byAccount[account]) > 0 && (!found || used[account] < used[next]) {
				next, found = account, true
			}
		}
		w := byAccount[next][0]
		items[i], byAccount[next] = w, byAccount[next][1:]
		used[next] += w.Memory
	}
}

// grant places requests in order. A request that finds no room keeps it from less urgent ones.
// One of the same priority may overtake it if it needs less memory, until half of the time that
// the first can wait has passed.
func (q *Queue) grant(now time.Time, place func(r *Request, idleOnly bool) bool) []Decision {
	var decided []Decision
	var blocking *item
	var smallest policy.Tokens
	noneIdle, failed := false, 0
	for i := 0; i < len(q.items) && failed < maxAttempts; {
		w := q.items[i]
		if blocking != nil && (w.Priority < blocking.Priority || w.Memory >= smallest || pastHalf(now, blocking)) {
			if w.Priority < blocking.Priority {
				break
			}
			i++
			continue
		}
		yields := q.priorities.Yields(now, &w.Request)
		switch {
		case yields && noneIdle:
			i++
		case place(&w.Request, yields):
			q.items = slices.Delete(q.items, i, i+1)
			decided = append(decided, Decision{Run: w.Run, Verdict: Granted, Waited: now.Sub(w.queuedAt)})
		default:
			failed++
			i++
			switch {
			case w.Restricted:
			case yields:
				noneIdle = true
			default:
				if blocking == nil {
					blocking = w
				}
				smallest = w.Memory
			}
		}
	}
	return decided
}

func pastHalf(now time.Time, w *item) bool { return now.Sub(w.ArrivedAt) > w.slack(1)/2 }

// review refuses the requests whose first token isn't expected in time, and those past the time
// at which they had to be placed.
func (q *Queue) review(now time.Time, engines []policy.EngineOutlook) []Decision {
	plan := newForecast(engines)
	next := plan.nextEnd()
	type refusal struct {
		w     *item
		first time.Duration
	}
	var refused []refusal
	kept := q.items[:0]
	for _, w := range q.items {
		engine, placed, first, ok := plan.plan(&w.Request)
		if placed == 0 && ok && plan.engines[engine].Backlog == 0 {
			// The request has just found no room, so the outlook is too optimistic.
			first = max(first, next+w.Prefill)
		}
		part := entryFraction
		if w.reviewed {
			part = 1
		}
		expected := now.Add(first - w.Prefill)
		late := ok && w.Objective > 0 && expected.After(w.ArrivedAt.Add(w.slack(part)))
		if late || len(kept) >= maxLength || !now.Before(w.LatestPlacement()) {
			if !ok {
				first = 0
			}
			refused = append(refused, refusal{w, first})
			continue
		}
		w.reviewed = true
		if ok {
			plan.reserve(&w.Request, engine, first)
		}
		kept = append(kept, w)
	}
	clear(q.items[len(kept):])
	q.items = kept
	if len(refused) == 0 {
		return nil
	}
	q.planRetries(now, &plan)
	var decided []Decision
	for _, r := range refused {
		retryAfter := max(r.first-r.w.Prefill, next)
		if engine, _, first, ok := plan.plan(&r.w.Request); ok {
			plan.reserve(&r.w.Request, engine, first)
			retryAfter = max(first-r.w.Prefill, next)
		}
		retryAfter = r.w.boundRetryAfter(now, retryAfter)
		q.addRetry(now, r.w, retryAfter)
		decided = append(decided, Decision{
			Run: r.w.Run, Verdict: Refused, Waited: now.Sub(r.w.queuedAt), Reason: ReasonForecast, RetryAfter: retryAfter, Forecast: r.first,
		})
	}
	return decided
}

// boundRetryAfter bounds a delay by what the caller will follow.
func (r *Request) boundRetryAfter(now time.Time, d time.Duration) time.Duration {
	longest := maxRetryAfter
	if !r.Deadline.IsZero() {
		longest = min(longest, time.Duration(retryFraction*float64(r.Deadline.Sub(now))))
	}
	return max(min(d, longest), minRetryAfter)
}

// planRetries counts the refused requests that will return, so that callers aren't told to
// return all at the same time.
func (q *Queue) planRetries(now time.Time, plan *forecast) {
	var expected []pendingRetry
	for caller, p := range q.pendingRetries {
		if now.After(p.returnAt.Add(creditSlack)) {
			delete(q.pendingRetries, caller)
			continue
		}
		expected = append(expected, p)
	}
	slices.SortFunc(expected, func(a, b pendingRetry) int {
		return cmp.Or(a.returnAt.Compare(b.returnAt), cmp.Compare(a.Run, b.Run))
	})
	for _, p := range expected[:min(len(expected), maxPlannedRetries)] {
		if engine, _, first, ok := plan.plan(&p.Request); ok {
			plan.reserve(&p.Request, engine, first)
		}
	}
}

// addRetry remembers a refused request, for its credit and for the forecast.
func (q *Queue) addRetry(now time.Time, w *item, retryAfter time.Duration) {
	caller := w.Caller
	if caller == "" {
		caller = Caller(w.Run)
	}
	if q.pendingRetries == nil {
		q.pendingRetries = map[Caller]pendingRetry{}
	}
	if len(q.pendingRetries) < maxPendingRetries {
		q.pendingRetries[caller] = pendingRetry{Request: w.Request, firstArrivedAt: w.firstArrivedAt, returnAt: now.Add(retryAfter)}
	}
}
