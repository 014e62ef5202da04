// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// promptOf returns the nth request of a caller whose prompt has the given shared parts.
func promptOf(caller string, n int, parts ...PartID) RequestIdentity {
	return RequestIdentity{Caller: caller, Target: fmt.Sprint(n), Service: "llm", SharedParts: parts}
}

// TestEvaluateParts guards against sending requests with a part that crashes upstreams, and against
// holding those that only share other parts with them.
func TestEvaluateParts(t *testing.T) {
	type step func(r *Register, now time.Time)
	requests := 0
	crash := func(upstream int, caller string, parts ...PartID) step {
		return func(r *Register, now time.Time) {
			requests++
			a := promptOf(caller, requests, parts...)
			r.RecordCrash(now, a, a.Fingerprint(), Origin{Caller: caller}, testUpstream(upstream))
		}
	}
	ranWell := func(parts ...PartID) step {
		return func(r *Register, now time.Time) { r.RecordSurvival(now, promptOf("any", 0, parts...), nil) }
	}
	others := ranWell("others")
	pause := func(*Register, time.Time) {}
	for name, c := range map[string]struct {
		steps  []step
		caller string
		parts  []PartID
		want   Standing
	}{
		"in three crashes": {[]step{others, crash(1, "a", "x"), crash(2, "a", "x"), crash(3, "a", "x")}, "a", []PartID{"x"}, Held},
		"in two":           {[]step{others, crash(1, "a", "x"), crash(2, "a", "x")}, "a", []PartID{"x"}, Suspect},
		"in three of one upstream": {
			[]step{others, crash(1, "a", "x"), crash(1, "a", "x"), crash(1, "a", "x")}, "a", []PartID{"x"}, Suspect,
		},
		"another part": {[]step{others, crash(1, "a", "x"), crash(2, "a", "x"), crash(3, "a", "x")}, "a", []PartID{"y"}, Clear},
		"among other parts": {
			[]step{others, crash(1, "a", "x", "y"), crash(2, "a", "z", "x"), crash(3, "a", "x")}, "a", []PartID{"s", "x", "t"}, Held,
		},
		"in three while nothing ran well": {[]step{crash(1, "a", "x"), crash(2, "a", "x"), crash(3, "a", "x")}, "a", []PartID{"x"}, Suspect},
		"in five while nothing ran well": {
			[]step{crash(1, "a", "x"), crash(2, "a", "x"), crash(3, "a", "x"), crash(4, "a", "x"), crash(5, "a", "x")}, "a", []PartID{"x"}, Held,
		},
		"long after others ran well": {
			[]step{others, crash(1, "a", "x"), crash(2, "a", "x"), crash(3, "a", "x"), pause, pause}, "a", []PartID{"x"}, Held,
		},
		"others ran well afterwards": {
			[]step{crash(1, "a", "x"), crash(2, "a", "x"), crash(3, "a", "x"), others}, "a", []PartID{"x"}, Held,
		},
		"it ran well before": {[]step{ranWell("x"), crash(1, "a", "x"), crash(2, "a", "x"), crash(3, "a", "x")}, "a", []PartID{"x"}, Clear},
		"it ran well between": {
			[]step{others, crash(1, "a", "x"), crash(2, "a", "x"), ranWell("x"), crash(3, "a", "x")}, "a", []PartID{"x"}, Clear,
		},
		"it ran well afterwards": {
			[]step{others, crash(1, "a", "x"), crash(2, "a", "x"), crash(3, "a", "x"), ranWell("y", "x")}, "a", []PartID{"x"}, Clear,
		},
		"another caller's crashes": {[]step{others, crash(1, "a", "x"), crash(2, "a", "x"), crash(3, "a", "x")}, "b", []PartID{"x"}, Suspect},
		"two callers' crashes": {
			[]step{others, crash(1, "a", "x"), crash(2, "a", "x"), crash(3, "b", "x")}, "c", []PartID{"x"}, Held,
		},
		"beside the cause each time, without it": {
			[]step{others, crash(1, "a", "x", "y"), crash(2, "a", "x", "y"), crash(3, "a", "x", "y")}, "a", []PartID{"y"}, Suspect,
		},
		"beside the cause each time, with it": {
			[]step{others, crash(1, "a", "x", "y"), crash(2, "a", "x", "y"), crash(3, "a", "x", "y")}, "a", []PartID{"x", "y"}, Held,
		},
		"beside the cause, and once without": {
			[]step{others, crash(1, "a", "x", "y"), crash(2, "a", "x", "y"), crash(3, "a", "x", "y"), crash(4, "a", "y")}, "a", []PartID{"y"}, Suspect,
		},
		"the cause, which once ended one without the other": {
			[]step{others, crash(1, "a", "x", "y"), crash(2, "a", "x", "y"), crash(3, "a", "x", "y"), crash(4, "a", "x"), crash(5, "a", "x")}, "a", []PartID{"x"}, Held,
		},
		"explained by one that crashed more": {
			[]step{others, crash(1, "a", "x", "y"), crash(2, "a", "x", "y"), crash(3, "a", "x", "y"), crash(4, "a", "x"), crash(5, "a", "x")}, "a", []PartID{"y"}, Clear,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r Register
			now := start
			for _, s := range c.steps {
				s(&r, now)
				r.NewlyHeld(now.Add(SettleTime)) // as hosts do after each crash
				now = now.Add(survivalMemory / 5)
			}
			found, _ := r.Evaluate(now, promptOf(c.caller, -1, c.parts...), nil)
			is.Equal(found.Standing, c.want)
			if found.Standing == Held {
				is.True(found.Cause.IsPart())
			}
		})
	}
}

// TestPartsOfEndsAtOnce guards against holding what all prompts share before all hosts have reported
// what began on the engines that ended, or because these lost power together.
func TestPartsOfEndsAtOnce(t *testing.T) {
	is := is.New(t)
	var r Register
	r.RecordSurvival(start, promptOf("a", 0, "others"), nil)
	end := func(at time.Time, n int) {
		a := promptOf("a", n, "x")
		r.RecordCrash(at, a, a.Fingerprint(), Origin{Caller: "a"}, testUpstream(n))
	}
	for n := range 12 {
		end(start, n)
	}
	is.Equal(len(r.NewlyHeld(start.Add(SettleTime))), 0)
	next := start.Add(crashSpacing)
	end(next, 12)
	is.Equal(len(r.NewlyHeld(next.Add(SettleTime-1))), 0)
	held := r.NewlyHeld(next.Add(SettleTime))
	is.Equal(len(held), 1)
	is.Equal(held[0].Cause.Part(), PartID("x"))
	is.Equal(len(r.NewlyHeld(next.Add(time.Second))), 0) // was returned before
}

// TestEndsAtOnceWhileNothingRanWell guards against holding what all prompts share because all upstreams
// lose power before any prompt has run well, and against never holding a part while nothing runs well.
func TestEndsAtOnceWhileNothingRanWell(t *testing.T) {
	for _, c := range []struct {
		apart time.Duration
		ends  int
		want  Standing
	}{
		{0, 20, Suspect},
		{crashSpacing / 10, 20, Suspect},
		{crashSpacing, DefaultHoldThreshold + unprovenMargin - 1, Suspect},
		{crashSpacing, DefaultHoldThreshold + unprovenMargin, Held},
		{crashSpacing / 10, 30, Suspect},
		{crashSpacing / 4, 30, Held},
	} {
		t.Run(fmt.Sprint(c.ends, " ends, ", c.apart, " apart"), func(t *testing.T) {
			is := is.New(t)
			var r Register
			now := start
			for n := range c.ends {
				a := promptOf("a", n, "x")
				r.RecordCrash(now, a, a.Fingerprint(), Origin{Caller: "a"}, testUpstream(n))
				now = now.Add(c.apart)
			}
			found, _ := r.Evaluate(now.Add(SettleTime), promptOf("a", -1, "x"), nil)
			is.Equal(found.Standing, c.want)
		})
	}
}

// TestHoldTimeOfPart guards against holding a part for hours because many upstreams that ended together
// had begun to run prompts with it, and against trying one more than three times in a day.
func TestHoldTimeOfPart(t *testing.T) {
	is := is.New(t)
	var r Register
	x := promptOf("a", -1, "x")
	r.RecordSurvival(start, promptOf("a", 0, "others"), nil)
	crash := func(now time.Time, n int) {
		a := promptOf("a", n, "x")
		r.RecordCrash(now, a, a.Fingerprint(), Origin{Caller: "a"}, testUpstream(n))
	}
	standing := func(now time.Time) Standing {
		f, _ := r.Evaluate(now, x, nil)
		return f.Standing
	}
	for n := range 12 {
		crash(start.Add(time.Duration(n)*crashSpacing/4), n)
	}
	now := start.Add(time.Second)
	is.Equal(standing(now), Held)
	for trial, hold := range []time.Duration{initialHoldTime, holdTimeMultiplier * initialHoldTime, holdTimeMultiplier * holdTimeMultiplier * initialHoldTime} {
		is.Equal(standing(now.Add(hold-2*time.Second)), Held)
		now = now.Add(hold)
		is.Equal(standing(now), TrialDue)
		crash(now, 100+trial)
		now = now.Add(time.Second)
	}
	for hours := range 24 {
		is.Equal(standing(now.Add(time.Duration(hours)*time.Hour)), Held)
	}
	is.True(r.ClearCrashes(now, PartFingerprint("llm", "x")))
	is.Equal(standing(now), Clear)
}

// TestReceivedPartThatRanWell guards against holding a part that one host suspects and another one
// runs well: the other one's reply clears it.
func TestReceivedPartThatRanWell(t *testing.T) {
	is := is.New(t)
	var suspecting, running Register
	running.RecordSurvival(start, promptOf("a", 0, "x"), nil)
	for n := range 6 {
		a := promptOf("a", n, "x")
		suspecting.RecordCrash(start.Add(time.Duration(n)*time.Second), a, a.Fingerprint(), Origin{Caller: "a"}, testUpstream(n))
	}
	standing := func(r *Register) Standing {
		f, _ := r.Evaluate(start.Add(7*time.Second), promptOf("a", -1, "x"), nil)
		return f.Standing
	}
	is.Equal(standing(&suspecting), Held)
	marks, _ := suspecting.UnsentMarks(start, "running")
	is.True(running.Receive(start, marks))
	is.Equal(standing(&running), Clear)
	reply, _ := running.UnsentMarks(start, "suspecting")
	is.True(suspecting.Receive(start, reply))
	is.Equal(standing(&suspecting), Clear)
}

// TestSurvivalsAreForgotten guards against trusting a part for ever that once ran well, and against a
// list of survivals that grows with the load.
func TestSurvivalsAreForgotten(t *testing.T) {
	is := is.New(t)
	var s survivals
	x := PartFingerprint("llm", "x")
	is.True(!s.recent(start))
	s.add(start, []Fingerprint{x})
	is.True(s.has(start.Add(survivalMemory), x))
	is.True(!s.has(start.Add(survivalMemory+1), x))
	is.True(s.recent(start.Add(survivalMemory)))
	is.True(!s.recent(start.Add(survivalMemory + 1)))
	for n := range maxSurvivals {
		s.add(start, []Fingerprint{PartFingerprint("llm", PartID(fmt.Sprint(n)))})
	}
	is.Equal(len(s.ring), maxSurvivals)
	is.True(!s.has(start, x))
	is.True(s.has(start, PartFingerprint("llm", "0")))
	is.True(s.has(start, PartFingerprint("llm", PartID(fmt.Sprint(maxSurvivals-1)))))
	is.True(!s.has(start, PartFingerprint("other", "0")))
	is.True(s.recent(start))
}

// TestPartsAreBounded guards against a prompt with thousands of parts that fills the list.
func TestPartsAreBounded(t *testing.T) {
	is := is.New(t)
	var many []PartID
	for n := range 10 * MaxParts {
		many = append(many, PartID(fmt.Sprint("p", n)))
	}
	var r Register
	now := time.Unix(1e9, 0)
	a := promptOf("a", 1, many...)
	r.RecordCrash(now, a, a.Fingerprint(), Origin{Caller: "a"}, testUpstream(1))
	is.Equal(len(r.Entries(now)), MaxParts+1)
	r.RecordSurvival(now, promptOf("a", 2, many...), nil)
	is.Equal(len(r.list.survivals.ring), MaxParts)
}

// TestPartFingerprint checks that operators recognize a part by its fingerprint, and that no part is
// taken for a request.
func TestPartFingerprint(t *testing.T) {
	for _, part := range []PartID{"5c1e07a2", "", "a part with a long ID", "ünï"} {
		t.Run(string(part), func(t *testing.T) {
			is := is.New(t)
			f := PartFingerprint("llm", part)
			is.True(f.IsPart())
			is.Equal(f.Part(), part[:min(len(part), 11)])
			parsed, err := ParseFingerprint(f.String())
			is.NoErr(err)
			is.Equal(parsed, f)
		})
	}
	is := is.New(t)
	is.True(!fingerprintOf(1).IsPart())
	is.Equal(fingerprintOf(1).Part(), PartID(""))
	is.True(PartFingerprint("llm", "a part with a long ID") != PartFingerprint("llm", "a part with a longer ID"))
}

// BenchmarkEvaluateParts measures the evaluation of a prompt of 30 parts while as many parts are
// suspected as the list holds.
func BenchmarkEvaluateParts(b *testing.B) {
	var parts []PartID
	for n := range 30 {
		parts = append(parts, PartID(fmt.Sprintf("%08x", n)))
	}
	a := promptOf("a", 0, parts...)
	var empty, full Register
	for n := range maxRequests {
		suspect := promptOf("b", n, PartID(fmt.Sprint("suspect", n)))
		full.RecordCrash(start, suspect, suspect.Fingerprint(), Origin{}, testUpstream(n))
	}
	for name, r := range map[string]*Register{"empty": &empty, "full": &full} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.Evaluate(start, a, nil)
			}
		})
	}
	b.Run("survival", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			empty.RecordSurvival(start, a, nil)
		}
	})
	b.Run("crash while full", func(b *testing.B) {
		b.ReportAllocs()
		n := 0
		for b.Loop() {
			n++
			full.RecordCrash(start, a, a.Fingerprint(), Origin{}, testUpstream(n))
		}
	})
}
