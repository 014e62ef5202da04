// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package pace

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

// observe adds n samples of an engine, 50 ms apart, the first at a time. It returns the time of the last.
func observe(m *Model, at time.Time, engine Engine, incarnation int64, n int, step time.Duration, batch int) time.Time {
	for i := range n {
		m.Observe(at.Add(time.Duration(i)*50*ms), engine, incarnation, step, batch)
	}
	return at.Add(time.Duration(n-1) * 50 * ms)
}

// near reports whether two step times differ by less than a bucket.
func near(a, b time.Duration) bool { return a > b*10/11 && a < b*11/10 }

// TestEstimateNeeds guards against estimates from too few samples, of one run among several, of a past
// incarnation, or that are too old, and against one that needs more than about a second of one run.
func TestEstimateNeeds(t *testing.T) {
	mark := func(samples int) []Mark {
		return []Mark{{Engine: "e", Incarnation: 1, BaseStep: ms, Step: 10 * ms, SlowStep: 20 * ms, Samples: samples}}
	}
	for name, c := range map[string]struct {
		prepare func(m *Model)
		after   time.Duration
		want    bool
	}{
		"nothing":                      {func(*Model) {}, 0, false},
		"8 of the only run":            {func(m *Model) { observe(m, start, "e", 1, 8, 10*ms, 1) }, 0, true},
		"7 of the only run":            {func(m *Model) { observe(m, start, "e", 1, 7, 10*ms, 1) }, 0, false},
		"8 of one run of five":         {func(m *Model) { observe(m, start, "e", 1, 8, 10*ms, 5) }, 0, false},
		"15 of one run of five":        {func(m *Model) { observe(m, start, "e", 1, 15, 10*ms, 5) }, 0, true},
		"8 of one peer":                {func(m *Model) { m.ReceiveMarks(start, "h2", mark(8)) }, 0, false},
		"20 of one peer":               {func(m *Model) { m.ReceiveMarks(start, "h2", mark(20)) }, 0, true},
		"4 each of two peers":          {func(m *Model) { m.ReceiveMarks(start, "h2", mark(4)); m.ReceiveMarks(start, "h3", mark(4)) }, 0, true},
		"the same peer's mark twice":   {func(m *Model) { m.ReceiveMarks(start, "h2", mark(6)); m.ReceiveMarks(start, "h2", mark(6)) }, 0, false},
		"a mark of a failed host":      {func(m *Model) { m.ReceiveMarks(start, "h2", mark(20)) }, maxAge + 100*ms, false},
		"own samples, old":             {func(m *Model) { observe(m, start, "e", 1, 20, 10*ms, 1) }, maxAge + 2*time.Second, false},
		"restarted since":              {func(m *Model) { observe(m, start, "e", 1, 20, 10*ms, 1); observe(m, start, "e", 2, 1, 10*ms, 1) }, 0, false},
		"a past incarnation's samples": {func(m *Model) { observe(m, start, "e", 2, 1, 10*ms, 1); observe(m, start, "e", 1, 20, 10*ms, 1) }, 0, false},
		"a past incarnation's mark":    {func(m *Model) { observe(m, start, "e", 2, 1, 10*ms, 1); m.ReceiveMarks(start, "h2", mark(20)) }, 0, false},
		"forgotten":                    {func(m *Model) { observe(m, start, "e", 1, 20, 10*ms, 1); m.Forget("e") }, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is, m := is.New(t), &Model{}
			c.prepare(m)
			e, known := m.Estimate(start.Add(c.after), "e")
			is.Equal(known, c.want)
			is.True(!known || near(e.Step, 10*ms))
			m.Prune(start.Add(c.after + maxAge + time.Second))
			is.Equal(len(m.Engines()), 0) // what has expired is freed
		})
	}
}

// TestEstimateCombines checks that samples of several hosts count by their number and age, that slow
// steps show in SlowStep alone, and that Typical and Slowest are those of the known engines.
func TestEstimateCombines(t *testing.T) {
	is, m := is.New(t), &Model{}
	now := start
	for i := range 60 {
		now = now.Add(20 * ms)
		m.Observe(now, "a", 1, map[bool]time.Duration{true: 40 * ms, false: 10 * ms}[i%5 == 0], 5)
	}
	e, _ := m.Estimate(now, "a")
	is.True(near(e.BaseStep, 10*ms) && near(e.Step, 10*ms) && near(e.SlowStep, 40*ms))
	peer := []Mark{{Engine: "a", Incarnation: 1, BaseStep: 20 * ms, Step: 20 * ms, SlowStep: 40 * ms, Samples: e.Samples}}
	m.ReceiveMarks(now, "h2", peer)
	e, _ = m.Estimate(now, "a")
	is.True(near(e.Step, 15*ms) && near(e.BaseStep, 10*ms)) // a host that saw a slow period doesn't raise BaseStep
	peer[0].Age = 8 * time.Second
	m.ReceiveMarks(now, "h2", peer)
	e, _ = m.Estimate(now, "a")
	is.True(e.Step < 12*ms)
	observe(m, now, "b", 1, 20, 12*ms, 1)
	observe(m, now, "c", 1, 20, 50*ms, 1)
	typical, _ := m.Typical(now)
	slowest, _ := m.Slowest(now)
	is.True(near(typical.Step, 12*ms) && near(slowest.SlowStep, 50*ms))
}

// TestMarks checks that marks carry new samples only, are bounded, and that invalid ones are ignored and
// counted: a peer's fault must not become a pace.
func TestMarks(t *testing.T) {
	is, m := is.New(t), &Model{}
	for i := range 2 * MaxMarks {
		observe(m, start, Engine(fmt.Sprint(i)), 1, 1, 10*ms, 1)
	}
	is.Equal(len(m.Marks(start)), MaxMarks)
	last := observe(m, start.Add(2*time.Second), "e", 3, 20, 10*ms, 1)
	marks := m.Marks(last.Add(100 * ms))
	is.Equal(len(marks), 1)
	is.Equal([]any{marks[0].Engine, marks[0].Incarnation, marks[0].Age}, []any{Engine("e"), int64(3), 100 * ms})
	is.Equal(len(m.AllMarks(last)), MaxMarks) // a host that has just started has none of them
	to, valid := &Model{}, marks[0]
	bad := make([]Mark, 8)
	for i := range bad {
		bad[i] = valid
	}
	bad[0].Step, bad[1].Step, bad[2].SlowStep, bad[3].SlowStep = 0, -ms, 11*time.Second, 5*ms
	bad[4].Samples, bad[5].Age, bad[6].Engine, bad[7].BaseStep = 0, -ms, "", 0
	to.ReceiveMarks(last, "h2", bad)
	is.Equal(to.IgnoredMarks(), uint64(8))
	is.Equal(len(to.Engines()), 0)
	to.ReceiveMarks(last, "h2", marks)
	_, known := to.Estimate(last, "e")
	is.True(known)
}

// TestActivityHolds checks that slow engines activate only after unevenTime of new samples, and a single
// one after loneUnevenTime, that the activity holds for holdTime after they are gone, and that without a
// limit there is none.
func TestActivityHolds(t *testing.T) {
	for slow, want := range map[int]map[time.Duration]Reason{
		1: {12500 * ms: ReasonSlowEngine, 24 * time.Second: ReasonFewKnown},
		2: {3500 * ms: ReasonSlowEngine, 24 * time.Second: ReasonFewKnown},
	} {
		is, m, limit := is.New(t), &Model{}, Limit{Pause: 100 * ms, EventTokens: 4}
		changes := map[time.Duration]Reason{}
		for at := time.Duration(0); at < 30*time.Second; at += 50 * ms {
			now := start.Add(at)
			m.Observe(now, "fast", 1, 10*ms, 1)
			for i := range slow {
				if m.Observe(now, Engine(fmt.Sprint(i)), 1, 30*ms, 1); at >= 14*time.Second {
					m.Forget(Engine(fmt.Sprint(i)))
				}
			}
			if a := m.UpdateActivity(now, limit); a.Changed {
				changes[at.Round(500*ms)] = a.Reason
			}
		}
		is.Equal(changes, want)
		is.Equal(m.UpdateActivity(start, Limit{}), Activity{Reason: ReasonNoLimit})
	}
}

// TestActivityNeedsNewSamples guards against slow engines that are known from few samples, or from none of
// the last second.
func TestActivityNeedsNewSamples(t *testing.T) {
	for every, c := range map[time.Duration]struct {
		until time.Duration
		want  bool
	}{
		50 * ms: {8 * time.Second, true}, 25 * ms: {time.Second, false}, 350 * ms: {8 * time.Second, false},
	} {
		m, active := &Model{}, false
		for at := time.Duration(0); at < 8*time.Second; at += 25 * ms {
			m.Observe(start.Add(at), "fast", 1, 10*ms, 1)
			if at%every == 0 && at < c.until {
				m.Observe(start.Add(at), "slow1", 1, 30*ms, 1)
				m.Observe(start.Add(at), "slow2", 1, 30*ms, 1)
			}
			active = m.UpdateActivity(start.Add(at), Limit{Pause: 100 * ms, EventTokens: 4}).Active
		}
		is.New(t).Equal(active, c.want)
	}
}

// TestActivityNeedsUnbrokenTime guards against engines that count as slow at once because they were so before
// a time in which they had too few samples to be known.
func TestActivityNeedsUnbrokenTime(t *testing.T) {
	is, m, limit := is.New(t), &Model{}, Limit{Pause: 100 * ms, EventTokens: 4}
	activeAt := time.Duration(0)
	for at := time.Duration(0); at < 20*time.Second && activeAt == 0; at += 50 * ms {
		now := start.Add(at)
		m.Observe(now, "fast1", 1, 10*ms, 1)
		m.Observe(now, "fast2", 1, 10*ms, 1)
		// A second of events, then one in 900 ms, and all events again from 12 s on.
		if at < time.Second || at >= 12*time.Second || at%(900*ms) == 0 {
			m.Observe(now, "slow1", 1, 30*ms, 5)
			m.Observe(now, "slow2", 1, 30*ms, 5)
		}
		if m.UpdateActivity(now, limit).Active {
			activeAt = at
		}
	}
	is.True(activeAt >= 12*time.Second+unevenTime)
}

// TestPruneForgetsBatch guards against an estimate from few samples of one peer because of an own sample that
// has expired, which was of the only run on the engine.
func TestPruneForgetsBatch(t *testing.T) {
	is, m := is.New(t), &Model{}
	m.Observe(start, "e", 1, 10*ms, 1)
	now := start.Add(maxAge + time.Second)
	m.ReceiveMarks(now, "h2", []Mark{{Engine: "e", Incarnation: 1, BaseStep: ms, Step: 10 * ms, SlowStep: 20 * ms, Samples: 8}})
	m.Prune(now)
	_, known := m.Estimate(now, "e")
	is.True(!known)
}

// TestObserveAllocatesNothing guards the cost of an event.
func TestObserveAllocatesNothing(t *testing.T) {
	m, now := &Model{}, observe(&Model{}, start, "e", 1, 1, ms, 1)
	m.Observe(now, "e", 1, 10*ms, 5)
	is.New(t).Equal(testing.AllocsPerRun(1000, func() {
		now = now.Add(20 * ms)
		m.Observe(now, "e", 1, 10*ms, 5)
	}), 0.0)
}

// TestEngineBecomesSlower guards against an engine that looks fast because of what a host saw before it
// became slower for good.
func TestEngineBecomesSlower(t *testing.T) {
	is, m := is.New(t), &Model{}
	m.ReceiveMarks(start, "h2", []Mark{{Engine: "e", Incarnation: 1, BaseStep: 10 * ms, Step: 10 * ms, SlowStep: 10 * ms, Samples: 20}})
	last := observe(m, start.Add(2*decayTime), "e", 1, 20, 80*ms, 1)
	e, known := m.Estimate(last, "e")
	is.True(known)
	is.True(near(e.BaseStep, 80*ms))
}
