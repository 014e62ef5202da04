// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package notice

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
)

var testStart = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

const ms = time.Millisecond

func TestExpected(t *testing.T) {
	for name, c := range map[string]struct {
		served []time.Duration
		after  time.Duration
		want   time.Duration
		known  bool
	}{
		"nothing observed":                     {},
		"too few":                              {served: []time.Duration{1600 * ms, 1700 * ms, 1800 * ms}},
		"the shortest of a few":                {served: []time.Duration{1900 * ms, 1600 * ms, 2100 * ms, 1800 * ms}, want: 1600 * ms, known: true},
		"ends that were the first sign":        {served: []time.Duration{1900 * ms, 1600 * ms, 2100 * ms, 400 * ms}},
		"not below a second":                   {served: []time.Duration{600 * ms, 700 * ms, 700 * ms, 700 * ms}, want: time.Second, known: true},
		"not above the drain time":             {served: []time.Duration{9 * time.Second, 9 * time.Second, 9 * time.Second, 9 * time.Second}, want: 3 * time.Second, known: true},
		"one late sign among many":             {served: append([]time.Duration{600 * ms}, repeat(1700*ms, 11)...), want: 1700 * ms, known: true},
		"earlier departures make way":          {served: append(repeat(1500*ms, 10), repeat(2500*ms, maxDepartures)...), want: 2500 * ms, known: true},
		"observed too long ago to be relevant": {served: repeat(1500*ms, 10), after: maxAge + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var m Model
			for i, served := range c.served {
				m.Observe(testStart, member.UpstreamID(fmt.Sprint("g", i)), 1, served)
			}
			got, known := m.Expected(testStart.Add(c.after), 3*time.Second)
			is.Equal(known, c.known)
			is.Equal(got.Notice, c.want)
		})
	}
}

func repeat(served time.Duration, n int) []time.Duration {
	all := make([]time.Duration, n)
	for i := range all {
		all[i] = served
	}
	return all
}

// TestOneDepartureSeenOften guards against counting an engine's end once for each of its runs, and
// against mistaking a new incarnation for the one that ended.
func TestOneDepartureSeenOften(t *testing.T) {
	is := is.New(t)
	var m Model
	is.True(m.Observe(testStart, "g1", 1, 1800*ms))
	is.True(!m.Observe(testStart, "g1", 1, 1700*ms))
	is.True(!m.Observe(testStart, "g1", 1, 1900*ms))
	is.True(m.Observe(testStart, "g1", 2, 2*time.Second))
	m.Observe(testStart, "g2", 1, 2*time.Second)
	m.Observe(testStart, "g3", 1, 2*time.Second)
	got, known := m.Expected(testStart.Add(time.Second), 3*time.Second)
	is.True(known)
	is.Equal(got, Estimate{Notice: 1700 * ms, Departures: 4, Age: time.Second})
}

// TestNoticeUnderLoad draws departures as in the deployments: notices of 1.5 to 2.1 s, ends seen up
// to 100 ms early, one sign in ten up to a second late. The estimate must rarely exceed the real
// notice, where the drain time of 3 s always does, and must not stay near its lower bound either.
func TestNoticeUnderLoad(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 0))
	var m Model
	estimates, tooLong, sum := 0, 0, time.Duration(0)
	for n := range 400 {
		now := testStart.Add(time.Duration(n) * time.Second)
		notice := 1500*ms + time.Duration(random.Int64N(int64(600*ms)))
		if e, known := m.Expected(now, 3*time.Second); known {
			estimates++
			sum += e.Notice
			if e.Notice > notice {
				tooLong++
			}
		}
		seen := notice - time.Duration(random.Int64N(int64(100*ms)))
		if random.IntN(10) == 0 {
			seen -= time.Duration(random.Int64N(int64(time.Second)))
		}
		m.Observe(now, member.UpstreamID(fmt.Sprint("g", n)), 1, seen)
	}
	t.Logf("%d estimates, %d longer than the notice, on average %v", estimates, tooLong, sum/time.Duration(estimates))
	is.True(estimates > 350)
	is.True(tooLong*10 <= estimates)
	is.True(sum/time.Duration(estimates) > 1200*ms)
}
