// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/resource"
)

var start = time.Unix(1000, 0)

// request returns a long request; change alters it.
func request(run policy.RunID, change func(*Request)) Request {
	r := Request{
		Run: run, Caller: Caller("caller of " + run), Account: "a", Priority: 1, Memory: 3800, Prefill: 400 * time.Millisecond, Decode: 7 * time.Second,
		Objective: 4 * time.Second, ArrivedAt: start, Deadline: start.Add(39 * time.Second),
	}
	if change != nil {
		change(&r)
	}
	return r
}

func urgent(r *Request) {
	r.Priority, r.Memory, r.Prefill, r.Decode, r.Objective, r.Deadline = 3, 2600, 350*time.Millisecond, 80*time.Millisecond, 1500*time.Millisecond, r.ArrivedAt.Add(6*time.Second)
}

// full is a zone of one engine where a run that takes all memory ends after a time.
func full(ends time.Duration) Zone {
	return Zone{Engines: []policy.EngineOutlook{{Engine: "e", Slots: 20, Ends: []policy.RunEnd{{In: ends, Memory: 26_000}}}}}
}

func noRoom(*Request, bool) bool { return false }

// TestOrder guards against room that goes to a request before one that precedes it.
func TestOrder(t *testing.T) {
	later := func(r *Request) { r.ArrivedAt = start.Add(time.Second) }
	account := func(name resource.Account) func(*Request) { return func(r *Request) { r.Account = name } }
	for name, c := range map[string]struct {
		submitted []Request
		held      map[resource.Account]policy.Tokens
		now       time.Duration
		want      []policy.RunID
	}{
		"more urgent first":             {[]Request{request("long", nil), request("short", urgent)}, nil, 0, []policy.RunID{"short", "long"}},
		"more urgent, more time":        {[]Request{request("long", nil), request("short", func(r *Request) { urgent(r); r.Objective = 9 * time.Second })}, nil, 0, []policy.RunID{"short", "long"}},
		"less time left first":          {[]Request{request("new", later), request("old", nil)}, nil, time.Second, []policy.RunID{"old", "new"}},
		"late ones last":                {[]Request{request("late", func(r *Request) { r.Objective = 500 * time.Millisecond }), request("in time", later)}, nil, time.Second, []policy.RunID{"in time", "late"}},
		"accounts alternate":            {[]Request{request("a1", nil), request("a2", nil), request("b1", account("b"))}, nil, 0, []policy.RunID{"a1", "b1", "a2"}},
		"account that holds more":       {[]Request{request("a1", nil), request("a2", nil), request("b1", account("b"))}, map[resource.Account]policy.Tokens{"a": 5000}, 0, []policy.RunID{"b1", "a1", "a2"}},
		"priority precedes the account": {[]Request{request("b1", account("b")), request("a1", urgent)}, map[resource.Account]policy.Tokens{"a": 50_000}, 0, []policy.RunID{"a1", "b1"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var q Queue
			for _, r := range c.submitted {
				q.Submit(start, r)
			}
			var got []policy.RunID
			q.Decide(start.Add(c.now), Zone{Held: c.held}, func(r *Request, _ bool) bool {
				got = append(got, r.Run)
				return true
			})
			is.Equal(got, c.want)
		})
	}
}

// TestLessUrgentKeepsOffRoom guards against room that a less urgent request takes while a more
// urgent one finds none, and against requests that are overtaken for ever.
func TestLessUrgentKeepsOffRoom(t *testing.T) {
	small := func(r *Request) { r.Memory = 100 }
	for name, c := range map[string]struct {
		first Request
		then  func(*Request)
		now   time.Duration
		want  int // how many of the two are tried
	}{
		"less urgent":                       {request("first", urgent), small, 0, 1},
		"same priority, smaller":            {request("first", nil), small, 0, 2},
		"same priority, as large":           {request("first", nil), nil, 0, 1},
		"same priority, smaller, but later": {request("first", nil), small, 2 * time.Second, 1},
		"the first is restricted":           {request("first", func(r *Request) { urgent(r); r.Restricted = true }), nil, 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var q Queue
			q.Submit(start, c.first)
			q.Submit(start, request("then", func(r *Request) {
				r.ArrivedAt = start.Add(time.Millisecond)
				if c.then != nil {
					c.then(r)
				}
			}))
			tried := 0
			q.Decide(start.Add(c.now), full(time.Second), func(*Request, bool) bool {
				tried++
				return false
			})
			is.Equal(tried, c.want)
		})
	}
}

// TestForecast guards against requests that wait although they can't be in time, that are refused
// although they can, and against a wrong Retry-After.
func TestForecast(t *testing.T) {
	for name, c := range map[string]struct {
		request    Request
		ends       time.Duration
		refused    bool
		retryAfter time.Duration
	}{
		"room in time":                        {request("r", nil), 3 * time.Second, false, 0},
		"room too late":                       {request("r", nil), 4 * time.Second, true, 4 * time.Second},
		"room too late for a short one":       {request("r", urgent), 1200 * time.Millisecond, true, 1200 * time.Millisecond},
		"longer than the caller follows":      {request("r", urgent), 5 * time.Second, true, 2 * time.Second},
		"needs an idle engine":                {request("r", func(r *Request) { r.Memory = 30_000 }), 3 * time.Second, false, 0},
		"an idle engine comes too late":       {request("r", func(r *Request) { r.Memory = 30_000 }), 4 * time.Second, true, 4 * time.Second},
		"no objective, waits to its deadline": {request("r", func(r *Request) { r.Objective = 0 }), 20 * time.Second, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var q Queue
			q.Submit(start, c.request)
			got := q.Decide(start, full(c.ends), noRoom)
			is.Equal(len(got) == 1, c.refused)
			if c.refused {
				is.Equal(got[0], Decision{Run: "r", Verdict: Refused, Reason: ReasonForecast, RetryAfter: c.retryAfter, Forecast: c.ends + c.request.Prefill})
			}
			count, _ := q.Waiting()
			is.Equal(count == 0, c.refused)
		})
	}
	t.Run("a worse forecast and the last moment", func(t *testing.T) {
		is := is.New(t)
		var q Queue
		q.Submit(start, request("r", nil))
		is.Equal(len(q.Decide(start, full(time.Second), noRoom)), 0)
		is.Equal(len(q.Decide(start.Add(200*time.Millisecond), full(3300*time.Millisecond), noRoom)), 0) // still within the objective
		is.Equal(len(q.Decide(start.Add(400*time.Millisecond), full(3300*time.Millisecond), noRoom)), 1)
		q.Submit(start, request("s", nil))
		is.Equal(len(q.Decide(start.Add(3550*time.Millisecond), Zone{}, noRoom)), 0)
		is.Equal(len(q.Decide(start.Add(3600*time.Millisecond), Zone{}, noRoom)), 1) // at once, even if nothing is known
	})
	t.Run("prompts ahead are read one after another", func(t *testing.T) {
		is := is.New(t)
		zone := Zone{Engines: []policy.EngineOutlook{{Engine: "e", Free: 1 << 20, Slots: 20, Backlog: 100 * time.Millisecond}}}
		var q Queue
		for n := range 5 {
			q.Submit(start, request(policy.RunID(rune('a'+n)), urgent))
		}
		refused := q.Decide(start, zone, noRoom)
		is.Equal(len(refused), 2) // the fourth would have its first token after 1.5 s
		is.Equal(refused[0].Forecast, 1500*time.Millisecond)
	})
	t.Run("an outlook that is too optimistic", func(t *testing.T) {
		is := is.New(t)
		zone := full(5 * time.Second)
		zone.Engines[0].Free = 10_000
		var q Queue
		q.Submit(start, request("r", nil))
		q.Decide(start, zone, noRoom)
		count, _ := q.Waiting()
		is.Equal(count, 1) // no longer than unknownWait
		zone.Engines[0].Ends[0].In = unknownWait / 2
		q.Submit(start, request("s", func(r *Request) { r.Objective = 500 * time.Millisecond }))
		is.Equal(q.Decide(start, zone, noRoom)[0].Forecast, unknownWait/2+400*time.Millisecond)
	})
	t.Run("an engine that never becomes idle", func(t *testing.T) {
		is := is.New(t)
		zone := full(time.Second)
		zone.Engines[0].UnknownMemory = true
		f := newForecast(zone.Engines)
		r := request("r", func(r *Request) { r.Memory = 30_000 })
		_, _, _, ok := f.plan(&r)
		is.True(!ok)
	})
	t.Run("those refused don't return together", func(t *testing.T) {
		is := is.New(t)
		zone := full(5 * time.Second)
		zone.Engines[0].Ends = append(zone.Engines[0].Ends, policy.RunEnd{In: 8 * time.Second, Memory: 26_000})
		var q Queue
		var told []time.Duration
		for n := range 8 {
			q.Submit(start, request(policy.RunID(rune('a'+n)), nil))
			told = append(told, q.Decide(start, zone, noRoom)[0].RetryAfter)
		}
		is.Equal(told[0], 5*time.Second)
		is.True(told[7] >= 8*time.Second)
	})
}

// TestCredit guards against a caller that returns as told and waits behind those who came after it.
func TestCredit(t *testing.T) {
	for name, c := range map[string]struct {
		returns time.Duration // after it was told to return
		want    policy.RunID
	}{
		"as told":  {0, "back"},
		"too late": {creditSlack + time.Millisecond, "other"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var q Queue
			slow := func(r *Request) { r.Caller, r.Objective = "x", 20*time.Second }
			q.Submit(start, request("first", slow))
			refused := q.Decide(start, full(20*time.Second), noRoom)
			is.Equal(len(refused), 1)
			now := start.Add(refused[0].RetryAfter + c.returns)
			arriveBefore := func(r *Request) {
				r.Objective, r.ArrivedAt, r.Deadline = 20*time.Second, now.Add(-time.Second), time.Time{}
			}
			q.Submit(now, request("other", arriveBefore))
			q.Submit(now, request("back", func(r *Request) { slow(r); r.ArrivedAt = now }))
			var tried []policy.RunID
			q.Decide(now, full(time.Second), func(r *Request, _ bool) bool {
				tried = append(tried, r.Run)
				return true
			})
			is.Equal(tried[0], c.want)
		})
	}
}

// TestYields guards against a long prompt that is placed before an urgent one on an engine that
// reads prompts, and against a long prompt that yields until it is late.
func TestYields(t *testing.T) {
	for name, c := range map[string]struct {
		urgentAt, now time.Duration // from the arrival of the long request
		want          bool
	}{
		"urgent ones arrive":  {0, 0, true},
		"none for a while":    {-arrivingWindow - time.Millisecond, 0, false},
		"has waited for long": {2 * time.Second, 2200 * time.Millisecond, false},
		"has time left":       {time.Second, time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r RecentPriorities
			long := request("r", nil)
			r.Observe(start.Add(c.urgentAt), 3)
			r.Observe(start, long.Priority)
			is.Equal(r.Yields(start.Add(c.now), &long), c.want)
			short := request("s", urgent)
			is.True(!r.Yields(start, &short))
		})
	}
}

// TestWithdraw guards against a request that gets room after its caller has left.
func TestWithdraw(t *testing.T) {
	is := is.New(t)
	var q Queue
	q.Submit(start, request("r", urgent))
	q.Submit(start, request("s", nil))
	count, highest := q.Waiting()
	is.Equal([]int{count, highest}, []int{2, 3})
	is.True(q.Withdraw("r"))
	is.True(!q.Withdraw("r"))
	count, highest = q.Waiting()
	is.Equal([]int{count, highest}, []int{1, 1})
}

// BenchmarkDecide measures a decision about 64 waiting requests on 15 engines with 7 runs each.
func BenchmarkDecide(b *testing.B) {
	var zone Zone
	for range 15 {
		e := policy.EngineOutlook{Free: -500, Slots: 17}
		for n := range 7 {
			e.Ends = append(e.Ends, policy.RunEnd{In: time.Duration(n+1) * time.Second, Memory: 3500})
		}
		zone.Engines = append(zone.Engines, e)
	}
	var q Queue
	for n := range 64 {
		q.Submit(start, request(policy.RunID(rune('0'+n)), func(r *Request) { r.Objective = time.Hour }))
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		q.Decide(start.Add(time.Duration(n)*time.Microsecond), zone, noRoom)
	}
}
