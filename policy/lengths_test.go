// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// survivalAt is the chance at one of the horizons.
func survivalAt(l *LearnedLengths, r *Request, made, ahead Tokens) float64 {
	return l.SurvivalCurve(r).SurvivalAfter(made)[slices.Index(horizons[:], ahead)]
}

func TestBuckets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := Tokens(rapid.IntRange(0, 1<<maxTokenBits-1).Draw(t, "n"))
		b := bucketOf(n)
		if bucketStart(b) > n || b < bucketCount-1 && bucketStart(b+1) <= n {
			t.Fatalf("%d is in bucket %d, which is %d to %d", n, b, bucketStart(b), bucketStart(b+1))
		}
	})
}

// TestAliveFallsWithDistance holds for whatever was observed.
func TestAliveFallsWithDistance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l LearnedLengths
		for _, n := range rapid.SliceOfN(rapid.IntRange(1, 20_000), 0, 100).Draw(t, "lengths") {
			l.Observe("a", "r", Tokens(n))
		}
		r := Request{Account: "a", Route: "r"}
		made := Tokens(rapid.IntRange(0, 30_000).Draw(t, "made"))
		before := 1.0
		for _, ahead := range horizons {
			alive := survivalAt(&l, &r, made, ahead)
			if alive < 0 || alive > before+1e-6 {
				t.Fatalf("alive %f after %f", alive, before)
			}
			before = alive
		}
	})
}

// TestConditionalTail expects short answers to end soon, and those that got
// past the short ones to go on.
func TestConditionalTail(t *testing.T) {
	is := is.New(t)
	var l LearnedLengths
	for i := range 1000 {
		n := Tokens(30)
		if i%10 == 0 {
			n = 2000
		}
		l.Observe("a", "r", n)
	}
	r := Request{Account: "a", Route: "r"}
	is.True(survivalAt(&l, &r, 0, 96) < 0.15)
	is.True(survivalAt(&l, &r, 100, 96) > 0.9)
	r.MaxOutputTokens = 150
	var f memoryForecast
	f.addRun(&r, 100, l.SurvivalCurve(&r))
	is.True(f.upperBound[1] > 0)
	is.Equal(f.upperBound[2], 0.0) // the caller's limit ends it before 96 more
}

// TestAccountKeepsTheRoutesTail gives an account with a few short answers the
// route's chance of a long one.
func TestAccountKeepsTheRoutesTail(t *testing.T) {
	is := is.New(t)
	var l LearnedLengths
	for i := range 2000 {
		n := Tokens(30)
		if i%20 == 0 {
			n = 4000
		}
		l.Observe("other", "r", n)
	}
	for range 30 {
		l.Observe("new", "r", 30)
	}
	alive := survivalAt(&l, &Request{Account: "new", Route: "r"}, 0, 640)
	is.True(alive > 0.01)
	is.True(survivalAt(&l, &Request{Account: "new", Route: "r"}, 100, 640) > 0.5)
}

func TestStepTimeLine(t *testing.T) {
	is := is.New(t)
	at := func(s *stepTimeModel, running int) time.Duration { return time.Duration(s.fit().at(running)) }
	var s stepTimeModel
	is.Equal(at(&s, 10), time.Duration(0))
	s.observe(10, 20*time.Millisecond)
	is.Equal(at(&s, 50), 20*time.Millisecond) // one point has no slope
	random := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		n := 1 + random.IntN(60)
		s.observe(n, 10*time.Millisecond+time.Duration(n)*time.Millisecond/2)
	}
	got := at(&s, 40)
	is.True(got > 29*time.Millisecond && got < 31*time.Millisecond)
}
