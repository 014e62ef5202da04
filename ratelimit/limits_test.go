// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
)

// heard is a word of a test: of a request that was sent and answered at some times.
type heard struct {
	sent, at time.Duration
	named    bool
	rate     Rate
	// age, if it isn't zero, has it be a peer's mark of that age.
	age  time.Duration
	want Change
}

func TestWords(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		heard []heard
		// at and bound are what is asked at the end.
		at      time.Duration
		bound   Rate
		bounded bool
	}{
		"nothing named":              {[]heard{{sent: 0, at: 10 * ms}}, 20 * ms, 0, false},
		"named":                      {[]heard{{sent: 0, at: 10 * ms, named: true, rate: 4, want: Named}}, 20 * ms, 4, true},
		"named again":                {[]heard{{at: 10 * ms, named: true, rate: 4, want: Named}, {at: 20 * ms, named: true, rate: 4}}, 30 * ms, 4, true},
		"moved":                      {[]heard{{at: 10 * ms, named: true, rate: 8, want: Named}, {at: 20 * ms, named: true, rate: 2, want: Moved}}, 30 * ms, 2, true},
		"none at all":                {[]heard{{at: 10 * ms, named: true, rate: 0, want: Named}}, 30 * ms, LeastRate, true},
		"an answer from before":      {[]heard{{at: 10 * ms, named: true, rate: 4, want: Named}, {sent: 5 * ms, at: 20 * ms}}, 30 * ms, 4, true},
		"an end begins the return":   {[]heard{{at: 10 * ms, named: true, rate: 4, want: Named}, {sent: 15 * ms, at: 20 * ms, want: Ended}}, 20 * ms, 4, true},
		"half a second after an end": {[]heard{{at: 10 * ms, named: true, rate: 4, want: Named}, {sent: 15 * ms, at: 20 * ms, want: Ended}}, 520 * ms, 4, true},
		"a second after an end":      {[]heard{{at: 10 * ms, named: true, rate: 4, want: Named}, {sent: 15 * ms, at: 20 * ms, want: Ended}}, 1020 * ms, 8, true},
		"long after an end":          {[]heard{{at: 10 * ms, named: true, rate: 4, want: Named}, {sent: 15 * ms, at: 20 * ms, want: Ended}}, 20*ms + returnsFor, 0, false},
		"named again as it returns":  {[]heard{{at: 10 * ms, named: true, rate: 4, want: Named}, {sent: 15 * ms, at: 20 * ms, want: Ended}, {at: 30 * ms, named: true, rate: 4, want: Named}}, time.Second, 4, true},
		"a peer's older end":         {[]heard{{at: 100 * ms, named: true, rate: 4, want: Named}, {at: 120 * ms, age: 50 * ms}}, 130 * ms, 4, true},
		"a peer's newer end":         {[]heard{{at: 100 * ms, named: true, rate: 4, want: Named}, {at: 200 * ms, age: 50 * ms, want: Ended}}, 200 * ms, 4, true},
		"a peer's older limit":       {[]heard{{at: 100 * ms, named: true, rate: 4, want: Named}, {sent: 110 * ms, at: 120 * ms, want: Ended}, {at: 130 * ms, age: 40 * ms, named: true, rate: 4}}, 120 * ms, 4, true},
		"unconfirmed for long":       {[]heard{{at: 0, named: true, rate: 4, want: Named}}, unconfirmedFor + returnsFor, 0, false},
		"unconfirmed, returning":     {[]heard{{at: 0, named: true, rate: 4, want: Named}}, unconfirmedFor + returnAfter + returnDoubles, 8, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var w Words
			start := time.Now()
			for _, h := range c.heard {
				now := start.Add(h.at)
				var got Change
				if h.age > 0 {
					got = w.ReceiveMark(now, "peer", Mark{Upstream: "u", Life: 1, Named: h.named, Rate: h.rate, Age: h.age})
				} else {
					got = w.Receive(now, "u", 1, "self", Word{Named: h.named, Rate: h.rate, Since: start.Add(h.sent), At: now})
				}
				is.Equal(got, h.want)
			}
			bound, bounded := w.Bound(start.Add(c.at), "u")
			is.Equal(bounded, c.bounded)
			is.Equal(bound, c.bound)
		})
	}
}

// TestWordsOfLives has a limit be of one life of an upstream, and of none that isn't known.
func TestWordsOfLives(t *testing.T) {
	is := is.New(t)
	var w Words
	now := time.Now()
	is.Equal(w.Receive(now, "u", 1, "h", Word{Named: true, Rate: 1, At: now}), Named)
	is.Equal(w.Receive(now.Add(1), "u", 2, "h", Word{Since: now.Add(1), At: now.Add(1)}), Unchanged) // another start, without need
	w.Renew("u")
	_, bounded := w.Bound(now, "u")
	is.True(!bounded && !w.Any())
	w.Receive(now, "u", 2, "h", Word{Named: true, Rate: 1, At: now})
	w.Renew("u")
	w.Receive(now, "u", 0, "h", Word{Named: true, Rate: 1, At: now}) // its life isn't known yet
	later := now.Add(time.Millisecond)
	is.Equal(w.Receive(later, "u", 2, "h", Word{Since: later, At: later}), Ended)
	w.Renew("u")
	w.Receive(now, "u", 2, "h", Word{Named: true, Rate: 1, At: now})
	is.Equal(len(w.Forget(now, func(member.UpstreamID) bool { return false })), 0)
	is.True(!w.Any())
}
