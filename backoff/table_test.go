// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package backoff

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedpath/shedpath/member"
)

const up = member.UpstreamID("u")

func TestBackoffBindsUntilTheLatestEnd(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		asks []time.Duration
		want time.Duration
	}{
		"one":                     {[]time.Duration{3 * time.Second}, 3 * time.Second},
		"a shorter one after it":  {[]time.Duration{3 * time.Second, time.Second}, 3 * time.Second},
		"a longer one after it":   {[]time.Duration{time.Second, 3 * time.Second}, 3 * time.Second},
		"longer than any is kept": {[]time.Duration{24 * time.Hour}, Longest},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var table Table
			for _, d := range c.asks {
				table.Ask(now, up, 1, d, 0)
			}
			is.Equal(table.Wait(now, up), c.want)
			is.Equal(table.Wait(now.Add(c.want-1), up), time.Duration(1))
			is.Equal(table.Wait(now.Add(c.want), up), time.Duration(0))
		})
	}
}

func TestTrafficReturnsInStepsAfterBackoff(t *testing.T) {
	is := is.New(t)
	var table Table
	now := time.Now()
	table.Ask(now, up, 1, time.Second, 0)
	now = now.Add(time.Second)
	for _, want := range []int{1, 2, 4, 8} {
		var tickets []Ticket
		for {
			ticket, wait := table.Begin(now, up, false)
			if wait > 0 {
				break
			}
			tickets = append(tickets, ticket)
		}
		is.Equal(len(tickets), want)
		for i, ticket := range tickets {
			table.End(now, up, ticket, i == 0) // the others bring no good answer
		}
	}
	for range 100 {
		_, wait := table.Begin(now, up, false)
		is.Equal(wait, time.Duration(0))
	}
	now = now.Add(returnLasts)
	table.Forget(now)
	is.True(!table.Any())
}

func TestBackoffOfTwoPeersBindsThisHost(t *testing.T) {
	is := is.New(t)
	var table Table
	now := time.Now()
	mark := func(d time.Duration) Mark { return Mark{Upstream: up, Life: 1, For: d} }
	is.True(!table.Receive(now, "h2", mark(3*time.Second), time.Millisecond))
	is.Equal(table.Wait(now, up), time.Duration(0)) // only h2 may have sent too much
	is.True(table.Receive(now, "h3", mark(2*time.Second), time.Second))
	is.Equal(table.Wait(now, up), 2*time.Second+time.Millisecond) // until one is left
	is.True(!table.Receive(now, "h3", mark(2*time.Second), 0))
	is.Equal(len(table.Marks(now)), 0) // nothing asked this host itself
	is.True(!table.Alone(now, up))
	table.Ask(now, up, 1, time.Second, 0)
	is.Equal(table.Marks(now), []Mark{mark(time.Second)})
	now = now.Add(2*time.Second + time.Millisecond)
	is.Equal(table.Wait(now, up), time.Duration(0))
}

func TestBackoffOfThisHostAndAPeer(t *testing.T) {
	is := is.New(t)
	var table Table
	now := time.Now()
	table.Ask(now, up, 1, time.Second, 0)
	is.True(table.Alone(now, up))
	table.Receive(now, "h2", Mark{Upstream: up, Life: 1, For: 3 * time.Second}, 0)
	is.True(!table.Alone(now, up))
	is.Equal(table.Wait(now, up), time.Second)
	is.Equal(table.Entries(now), []Entry{{Upstream: up, Left: time.Second, Hosts: 2, Window: 1}})
	table.Forget(now.Add(time.Minute))
	is.True(!table.Any())
}

func TestBackoffOfAnEarlierLifeIsOver(t *testing.T) {
	is := is.New(t)
	var table Table
	now := time.Now()
	table.Ask(now, up, 1, time.Minute, 0)
	table.Renew(up)
	is.Equal(table.Wait(now, up), time.Duration(0))
	table.Ask(now, up, 2, time.Second, 0)
	is.Equal(table.Wait(now, up), time.Second)
}

// TestNothingBeginsBeforeTheEnd has no series of asks, words of peers and answers let a
// request begin before the end of each backoff that was asked for.
func TestNothingBeginsBeforeTheEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table
		now, until := time.Unix(0, 0), time.Time{}
		var open []Ticket
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			d := time.Duration(rapid.IntRange(0, 5000).Draw(t, "for")) * time.Millisecond
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				table.Ask(now, up, 1, d, 0)
				if end := now.Add(d); end.After(until) {
					until = end
				}
			case 1:
				host := member.HostID(rapid.SampledFrom([]string{"h2", "h3", "h4"}).Draw(t, "host"))
				table.Receive(now, host, Mark{Upstream: up, Life: 1, For: d}, 0)
			case 2:
				table.Forget(now)
			case 3:
				if len(open) > 0 {
					table.End(now, up, open[0], rapid.Bool().Draw(t, "good"))
					open = open[1:]
				}
			default:
				ticket, wait := table.Begin(now, up, false)
				if wait == 0 && now.Before(until) {
					t.Fatalf("began %v before the end", until.Sub(now))
				}
				if wait == 0 {
					open = append(open, ticket)
				}
			}
		}
	})
}
