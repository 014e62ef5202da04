// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package admission

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/resource"
)

// The simulation runs the requests of one zone in virtual time against 30 hosts, whose pools learn
// of each other's runs after simDelay, and 15 engines that decode in steps.

const (
	simHosts, simEngines = 30, 15
	simTick, simDelay    = 5 * time.Millisecond, 5 * time.Millisecond
	simUpdate            = 100 * time.Millisecond
	simMemory            = policy.Tokens(26_837)
	simStepPrompt        = 112 // prompt tokens that one step reads
)

// simKind is a kind of requests; rate is per second in the zone, burst multiplies it for some time.
type simKind struct {
	route               resource.Name
	rate, burst         float64
	prompt, output      policy.Tokens
	objective, patience time.Duration
	priority            int
}

// simCaller is one caller with up to two attempts.
type simCaller struct {
	kind         *simKind
	account      resource.Account
	firstAt      time.Time
	output, made policy.Tokens
	attempts     int
	unread       policy.Tokens // prompt tokens that the engine hasn't read
	firstTokenAt time.Time
	host         int
	run          policy.RunID
}

// simOutcome counts the callers of a kind or account.
type simOutcome struct {
	callers, inTime, late, refused int
	waits                          time.Duration
}

func (o *simOutcome) add(other *simOutcome) {
	o.callers, o.inTime, o.late = o.callers+other.callers, o.inTime+other.inTime, o.late+other.late
	o.refused, o.waits = o.refused+other.refused, o.waits+other.waits
}

type simEngine struct {
	busyUntil time.Time
	runs      []*simCaller
}

type simZone struct {
	rand       *rand.Rand
	now        time.Time
	pools      []*policy.Pool
	engines    map[policy.EngineID]*simEngine
	ids        []policy.EngineID
	runs       map[policy.RunID]*simCaller
	queued     map[policy.RunID]*simCaller
	events     map[int64][]func()
	queue      *Queue // nil: each host has its own queue
	waiting    [2]int // count and highest priority as the hosts know them
	priorities []RecentPriorities
	outcomes   map[string]*simOutcome
	attempt    int
}

func newSimZone(seed uint64, queue *Queue, kinds []simKind) *simZone {
	z := &simZone{
		rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), queue: queue, engines: map[policy.EngineID]*simEngine{},
		runs: map[policy.RunID]*simCaller{}, queued: map[policy.RunID]*simCaller{}, events: map[int64][]func(){}, outcomes: map[string]*simOutcome{},
		priorities: make([]RecentPriorities, simHosts),
	}
	for n := range simEngines {
		id := policy.EngineID(fmt.Sprintf("e%02d", n))
		z.ids = append(z.ids, id)
		z.engines[id] = &simEngine{busyUntil: z.now}
	}
	for n := range simHosts {
		p := policy.NewPool(policy.Settings{
			MaxStepTime: 40 * time.Millisecond, MaxBatchSize: 24, InitialPrefillRate: 7000, MaxQueueStagger: 100 * time.Millisecond, DeciderID: fmt.Sprint(n), MovableTokens: 25_000,
		})
		p.SetEngines(z.ids)
		for i := range kinds {
			for range 30 {
				p.LearnLength(&policy.Request{Route: kinds[i].route}, z.drawOutput(&kinds[i]))
			}
		}
		z.pools = append(z.pools, p)
	}
	z.refresh()
	return z
}

func (z *simZone) drawOutput(k *simKind) policy.Tokens {
	return max(policy.Tokens(float64(k.output)*(0.5+z.rand.Float64())), 1)
}

func (z *simZone) in(d time.Duration, do func()) {
	at := z.now.Add(max(d, simTick)).UnixNano() / int64(simTick)
	z.events[at] = append(z.events[at], do)
}

// refresh gives all hosts the state of the engines.
func (z *simZone) refresh() {
	for h, p := range z.pools {
		for _, id := range slices.Sorted(maps.Keys(z.runs)) {
			c := z.runs[id]
			if c.firstTokenAt.IsZero() {
				p.UpdatePrefill(z.now, id, time.Time{})
				continue
			}
			p.UpdatePrefill(z.now, id, c.firstTokenAt)
			p.Progress(z.now, id, c.made)
		}
		for _, id := range z.ids {
			p.Report(z.now, policy.Report{Engine: id, TotalMemory: simMemory, StepTime: 9 * time.Millisecond})
		}
		z.decide(h)
	}
}

// decide delivers the decisions of a host's own queue.
func (z *simZone) decide(host int) {
	for _, d := range z.pools[host].Advance(z.now) {
		z.decided(z.queued[d.Run], d)
	}
}

func (z *simZone) decided(c *simCaller, d policy.Decision) {
	delete(z.queued, c.run)
	if d.Verdict == policy.Refused {
		if d.Reason != ReasonForecast {
			d.RetryAfter = min(max(d.RetryAfter, 50*time.Millisecond), 2*time.Second) // as forward does
		}
		z.refused(c, d.RetryAfter)
		return
	}
	z.outcomes[string(c.kind.route)].waits += d.Waited
	c.unread = c.kind.prompt
	e := z.engines[d.Engine]
	e.runs = append(e.runs, c)
	z.runs[c.run] = c
	r := policy.Request{Run: c.run, Route: c.kind.route, Account: c.account, PromptTokens: c.kind.prompt, MaxOutputTokens: 2 * c.kind.output}
	z.in(simDelay, func() {
		if z.runs[r.Run] != nil {
			for _, p := range z.pools {
				p.Adopt(z.now, r, d.Engine, 0)
			}
		}
	})
}

// refused has a caller return once, as long as the answer is still of use.
func (z *simZone) refused(c *simCaller, retryAfter time.Duration) {
	left := c.kind.patience - z.now.Sub(c.firstAt)
	if c.attempts >= 2 || left <= 0 {
		z.count(c, func(o *simOutcome) { o.refused++ })
		return
	}
	z.in(min(retryAfter, left/3), func() { z.arrive(c) })
}

func (z *simZone) count(c *simCaller, add func(*simOutcome)) {
	for _, name := range []string{string(c.kind.route), string(c.kind.route) + "/" + string(c.account)} {
		if z.outcomes[name] == nil {
			z.outcomes[name] = &simOutcome{}
		}
		add(z.outcomes[name])
	}
}

// arrive has a caller ask a random host.
func (z *simZone) arrive(c *simCaller) {
	z.attempt++
	c.attempts++
	c.host, c.run = z.rand.IntN(simHosts), policy.RunID(fmt.Sprintf("r%d", z.attempt))
	r := policy.Request{
		Run: c.run, Route: c.kind.route, Account: c.account, Priority: c.kind.priority, PromptTokens: c.kind.prompt, MaxOutputTokens: 2 * c.kind.output,
		Objective: c.kind.objective, ArrivedAt: z.now, Deadline: z.now.Add(c.kind.objective),
	}
	p := z.pools[c.host]
	z.queued[c.run] = c
	if z.queue == nil {
		if d := p.Submit(z.now, r); d.Verdict != policy.Queued {
			z.decided(c, d)
		}
		return
	}
	length := p.MeanLength(&r)
	a := Request{
		Run: c.run, Caller: Caller(fmt.Sprintf("%p", c)), Account: c.account, Priority: r.Priority, Memory: r.PromptTokens + length, Prefill: p.IdlePrefillTime(r.PromptTokens),
		Decode: time.Duration(length) * 9 * time.Millisecond, Objective: r.Objective, ArrivedAt: z.now, Deadline: c.firstAt.Add(c.kind.patience),
	}
	z.priorities[c.host].Observe(z.now, a.Priority)
	if z.waiting[0] == 0 || z.waiting[1] < a.Priority {
		if z.place(c.host, c, r, z.priorities[c.host].Yields(z.now, &a)) {
			return
		}
	}
	z.queue.Submit(z.now, a)
	z.decideZone()
}

// decideZone serves the zone's queue at the responsible host, which is host 0.
func (z *simZone) decideZone() {
	p := z.pools[0]
	decided := z.queue.Decide(z.now, Zone{Engines: p.Outlook(z.now, ""), Held: p.HeldTokens()}, func(a *Request, idleOnly bool) bool {
		c := z.queued[a.Run]
		r := policy.Request{
			Run: c.run, Route: c.kind.route, Account: c.account, Priority: a.Priority, PromptTokens: c.kind.prompt, MaxOutputTokens: 2 * c.kind.output,
			Objective: a.Objective, ArrivedAt: a.ArrivedAt, Deadline: a.ArrivedAt.Add(a.Objective),
		}
		return z.place(0, c, r, idleOnly)
	})
	for _, d := range decided {
		if d.Verdict == Refused {
			z.decided(z.queued[d.Run], policy.Decision{Run: d.Run, Verdict: policy.Refused, Reason: d.Reason, RetryAfter: d.RetryAfter})
		}
	}
	count, highest := z.queue.Waiting()
	z.in(simDelay, func() { z.waiting = [2]int{count, highest} })
}

func (z *simZone) place(host int, c *simCaller, r policy.Request, idleOnly bool) bool {
	if idleOnly {
		r.ExcludedEngines = z.pools[host].ReadingEngines(z.now)
	}
	d, ok := z.pools[host].TryPlace(z.now, r)
	if ok {
		d.Waited = z.now.Sub(r.ArrivedAt)
		z.decided(c, d)
	}
	return ok
}

// step runs an engine's steps up to now. A step reads a part of the first unread prompt and makes a
// token for each run whose prompt is read.
func (z *simZone) step(e *simEngine) {
	for e.busyUntil.Before(z.now) {
		took, running := 7*time.Millisecond, 0
		var reading *simCaller
		for _, c := range e.runs {
			switch {
			case c.unread == 0:
				running++
				c.made++
			case reading == nil:
				reading = c
			}
		}
		took += time.Duration(running) * 120 * time.Microsecond
		if reading != nil {
			took += 8 * time.Millisecond
			reading.unread = max(reading.unread-simStepPrompt, 0)
		}
		if e.busyUntil = e.busyUntil.Add(took); reading != nil && reading.unread == 0 {
			z.firstToken(reading, e.busyUntil)
		}
		kept := e.runs[:0]
		for _, c := range e.runs {
			if c.unread == 0 && c.made >= c.output {
				z.finished(c)
				continue
			}
			kept = append(kept, c)
		}
		e.runs = kept
	}
}

func (z *simZone) firstToken(c *simCaller, at time.Time) {
	c.firstTokenAt, c.made = at, 1
	z.count(c, func(o *simOutcome) {
		if at.Sub(c.firstAt) <= c.kind.objective {
			o.inTime++
			return
		}
		o.late++
	})
	z.pools[c.host].RecordFirstToken(at, c.run)
}

func (z *simZone) finished(c *simCaller) {
	delete(z.runs, c.run)
	done := policy.Finish{Run: c.run, GeneratedTokens: c.made, Complete: true}
	z.in(simDelay, func() {
		for h, p := range z.pools {
			p.Finish(z.now, done)
			if h == c.host {
				z.decide(h)
			}
		}
	})
}

// simulate runs a load for 14 s with a burst from 3 s to 9 s, and 12 s more for what is left.
func simulate(seed uint64, queue *Queue, kinds []simKind) map[string]*simOutcome {
	z := newSimZone(seed, queue, kinds)
	arrivals, began := rand.New(rand.NewPCG(seed, 2)), z.now
	next := make([]time.Time, len(kinds))
	for tick := range int(26 * time.Second / simTick) {
		z.now = began.Add(time.Duration(tick) * simTick)
		at := z.now.UnixNano() / int64(simTick)
		for _, do := range z.events[at] {
			do()
		}
		delete(z.events, at)
		for i := range kinds {
			for since := z.now.Sub(began); since < 14*time.Second && !next[i].After(z.now); {
				if !next[i].IsZero() {
					account := resource.Account("large")
					if arrivals.Float64() < 0.2 {
						account = "small"
					}
					c := &simCaller{kind: &kinds[i], account: account, firstAt: z.now, output: max(policy.Tokens(float64(kinds[i].output)*(0.5+arrivals.Float64())), 1)}
					z.count(c, func(o *simOutcome) { o.callers++ })
					z.arrive(c)
				}
				rate := kinds[i].rate
				if since > 3*time.Second && since < 9*time.Second {
					rate *= kinds[i].burst
				}
				next[i] = z.now.Add(time.Duration(-math.Log(1-arrivals.Float64()) / rate * float64(time.Second)))
			}
		}
		for _, id := range z.ids {
			z.step(z.engines[id])
		}
		if z.queue != nil && len(z.queue.items) > 0 {
			z.decideZone()
		}
		if z.now.Sub(began)%simUpdate == 0 {
			z.refresh()
		}
	}
	return z.outcomes
}

// simKinds are the requests of one zone of the first deployment while another zone is drained.
func simKinds() []simKind {
	return []simKind{
		{route: "long", rate: 9.1, burst: 2.3, prompt: 3079, output: 752, objective: 4 * time.Second, patience: 39 * time.Second, priority: 1},
		{route: "short", rate: 17.7, burst: 1, prompt: 2550, output: 8, objective: 1500 * time.Millisecond, patience: 6 * time.Second, priority: 3},
	}
}

// TestZoneQueueUnderLoad compares the zone's queue with a queue for each host on the same requests.
// It guards against urgent answers that are late or refused because less urgent ones take the room.
func TestZoneQueueUnderLoad(t *testing.T) {
	is := is.New(t)
	sums := map[string]*simOutcome{}
	for seed := uint64(100); seed < 106; seed++ {
		for mode, queue := range map[string]*Queue{"host": nil, "zone": {}} {
			for name, o := range simulate(seed, queue, simKinds()) {
				key := mode + " " + name
				if sums[key] == nil {
					sums[key] = &simOutcome{}
				}
				sums[key].add(o)
			}
		}
	}
	for _, key := range slices.Sorted(maps.Keys(sums)) {
		t.Logf("%-17s %+v", key, *sums[key])
	}
	part := func(key string) float64 { return float64(sums[key].inTime) / float64(sums[key].callers) }
	is.True(part("zone short") > 0.94)
	is.True(part("host short") < 0.8)                           // what the queue is for
	is.True(part("zone long") > 0.75)                           // less urgent answers aren't starved
	is.True(part("zone long/small") >= part("zone long/large")) // nor the account that uses less
	is.True(sums["zone short"].refused < sums["host short"].refused/2)
	is.True(sums["zone short"].inTime+sums["zone long"].inTime > sums["host short"].inTime+sums["host long"].inTime)
}

// TestZoneQueueAtUsualLoad guards against requests that wait, or hosts that ask others, while there
// is room.
func TestZoneQueueAtUsualLoad(t *testing.T) {
	is := is.New(t)
	kinds := simKinds()
	for i := range kinds {
		kinds[i].rate, kinds[i].burst = kinds[i].rate/1.5, 1
	}
	queue := &Queue{}
	for name, o := range simulate(200, queue, kinds) {
		t.Log(name, *o)
		is.Equal(o.inTime, o.callers)
		is.Equal(o.waits, time.Duration(0))
	}
	is.Equal(queue.priorities, RecentPriorities{}) // nothing was submitted
}
