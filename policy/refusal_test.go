// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newRequestWithObjective is a request whose first token is aimed at within two seconds.
func newRequestWithObjective(run string, at time.Time, prompt Tokens) Request {
	r := newRequest(run, prompt)
	r.ArrivedAt, r.Objective, r.Deadline = at, 2*time.Second, at.Add(2*time.Second)
	return r
}

// TestRefuseLate has a request that no engine would begin in time refused at
// once, with a time to come back that is when it would be.
func TestRefuseLate(t *testing.T) {
	for name, c := range map[string]struct {
		engines []EngineID
		// ahead are prompts placed before, at a reading rate of 1,000 a second.
		ahead   []Tokens
		prompt  Tokens
		verdict Verdict
	}{
		"nothing ahead":                     {[]EngineID{"g1"}, nil, 500, Granted},
		"idle, however long it takes":       {[]EngineID{"g1"}, nil, 3000, Granted},
		"a little ahead":                    {[]EngineID{"g1"}, []Tokens{500}, 500, Granted},
		"just too much ahead":               {[]EngineID{"g1"}, []Tokens{1000}, 500, Refused},
		"another engine is idle":            {[]EngineID{"g1", "g2"}, []Tokens{1200}, 1000, Granted},
		"both have too much ahead":          {[]EngineID{"g1", "g2"}, []Tokens{1200, 1200}, 500, Refused},
		"a short prompt where no long fits": {[]EngineID{"g1"}, []Tokens{1000}, 300, Granted},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newTestPool(Settings{InitialPrefillRate: 1000}, c.engines...)
			for i, prompt := range c.ahead {
				is.Equal(p.Submit(testStart, newRequestWithObjective(fmt.Sprint("ahead", i), testStart, prompt)).Verdict, Granted)
			}
			d := p.Submit(testStart, newRequestWithObjective("r", testStart, c.prompt))
			is.Equal(d.Verdict, c.verdict)
			if d.Verdict != Refused {
				return
			}
			is.Equal(d.Reason, ReasonLate)
			is.Equal(p.Waiting(), 0) // it isn't held
			back := testStart.Add(d.RetryAfter)
			is.Equal(p.Submit(back, newRequestWithObjective("r", back, c.prompt)).Verdict, Granted)
		})
	}
}

// TestRetryAfterIsSpread has callers that are refused together told different
// times, the short prompts earlier.
func TestRetryAfterIsSpread(t *testing.T) {
	is := is.New(t)
	p := newTestPool(Settings{InitialPrefillRate: 1000}, "g1")
	p.Submit(testStart, newRequestWithObjective("ahead", testStart, 4000))
	told := map[time.Duration]bool{}
	for i := range 20 {
		told[p.Submit(testStart, newRequestWithObjective(fmt.Sprint(i), testStart, 1000)).RetryAfter] = true
	}
	is.True(len(told) >= 18)
	short := p.Submit(testStart, newRequestWithObjective("same", testStart, 500)).RetryAfter
	long := p.Submit(testStart, newRequestWithObjective("same", testStart, 1500)).RetryAfter
	is.Equal(long-short, time.Second) // what the longer prompt takes to be read
}

// TestRefuseQueuedRequest has a queued request refused as soon as its outlook is
// hopeless, not when its time is over.
func TestRefuseQueuedRequest(t *testing.T) {
	is := is.New(t)
	p := newTestPool(Settings{MaxBatchSize: 1, InitialPrefillRate: 100_000, MaxWaitFraction: 2}, "g1", "g2")
	learnLengths(p, "r", 60) // 1.2 s a run, so a place comes every 0.6 s
	for _, run := range []string{"a", "b"} {
		is.Equal(p.Submit(testStart, newRequest(run, 100)).Verdict, Granted)
	}
	is.Equal(p.Submit(testStart, newRequestWithObjective("c", testStart, 100)).Verdict, Queued)
	is.Equal(len(p.Advance(testStart.Add(100*time.Millisecond))), 0)
	p.Finish(testStart, Finish{Run: "a"})
	p.SetEngines([]EngineID{"g2"}) // half of the engines go
	for i := range 40 {
		now := testStart.Add(time.Duration(i) * 50 * time.Millisecond)
		for _, d := range p.Advance(now) {
			is.Equal(d.Verdict, Refused)
			is.True(now.Before(testStart.Add(time.Second))) // long before its two seconds are over
			return
		}
	}
	t.Fatal("the request still waits")
}

// TestRefuseLongWaits has a request refused at once if its place is foreseen to come after
// a longer wait than is worth it, and else when it has waited for as long.
func TestRefuseLongWaits(t *testing.T) {
	is := is.New(t)
	p := newTestPool(Settings{MaxBatchSize: 1, InitialPrefillRate: 100_000}, "g1", "g2")
	for _, run := range []string{"a", "b"} {
		is.Equal(p.Submit(testStart, newRequest(run, 100)).Verdict, Granted)
	}
	learnLengths(p, "r", 60)                                                                     // 1.2 s a run, so a place comes every 0.6 s
	is.Equal(p.Submit(testStart, newRequestWithObjective("c", testStart, 100)).Verdict, Refused) // 0.15 of 2 s is less
	p.lengths = &LearnedLengths{}
	learnLengths(p, "r", 20) // 0.4 s a run, so a place comes every 0.2 s
	is.Equal(p.Submit(testStart, newRequestWithObjective("d", testStart, 100)).Verdict, Queued)
	is.Equal(len(p.Advance(testStart.Add(290*time.Millisecond))), 0)
	decided := p.Advance(testStart.Add(310 * time.Millisecond))
	is.Equal(len(decided), 1)
	is.Equal(decided[0].Verdict, Refused)
	is.True(decided[0].RetryAfter > 0)
}

// TestReadRateLearnt has the foreseen first tokens right for engines that are
// three times faster and slower than was assumed.
func TestReadRateLearnt(t *testing.T) {
	for name, factor := range map[string]float64{"as assumed": 1, "three times faster": 3, "three times slower": 1.0 / 3} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newTestPool(Settings{InitialPrefillRate: 1000}, "g1")
			now := testStart
			for i := range 60 {
				run := fmt.Sprint(i)
				p.Submit(now, newRequestWithObjective(run, now, 600))
				now = now.Add(time.Duration(0.6 / factor * float64(time.Second)))
				p.Report(now, Report{Engine: "g1", TotalMemory: 10_000, StepTime: testStepTime})
				p.RecordFirstToken(now, RunID(run))
				p.RecordFirstToken(now.Add(time.Hour), RunID(run)) // later tokens say nothing
				p.Finish(now, Finish{Run: RunID(run)})
				now = now.Add(5 * time.Second)
				p.Report(now, Report{Engine: "g1", TotalMemory: 10_000, StepTime: testStepTime})
			}
			rate, samples := p.PrefillRate()
			is.Equal(samples, uint64(60))
			is.True(rate > 1000*factor*0.97 && rate < 1000*factor*1.03)
		})
	}
}
