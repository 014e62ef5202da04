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

const testUpstream = member.UpstreamID("u")

func TestBackoffLastsUntilLatestEnd(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		asks []time.Duration
		want time.Duration
	}{
		"one":                     {[]time.Duration{3 * time.Second}, 3 * time.Second},
		"a shorter one after it":  {[]time.Duration{3 * time.Second, time.Second}, 3 * time.Second},
		"a longer one after it":   {[]time.Duration{time.Second, 3 * time.Second}, 3 * time.Second},
		"longer than any is kept": {[]time.Duration{24 * time.Hour}, MaxDuration},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var table Table
			for _, d := range c.asks {
				table.Record(now, testUpstream, 1, d, 0)
			}
			is.Equal(table.Delay(now, testUpstream), c.want)
			is.Equal(table.Delay(now.Add(c.want-1), testUpstream), time.Duration(1))
			is.Equal(table.Delay(now.Add(c.want), testUpstream), time.Duration(0))
		})
	}
}

func TestTrafficReturnsInStepsAfterBackoff(t *testing.T) {
	is := is.New(t)
	var table Table
	now := time.Now()
	table.Record(now, testUpstream, 1, time.Second, 0)
	now = now.Add(time.Second)
	for _, want := range []int{1, 2, 4, 8} {
		var tickets []Ticket
		for {
			ticket, wait := table.Begin(now, testUpstream, false)
			if wait > 0 {
				break
			}
			tickets = append(tickets, ticket)
		}
		is.Equal(len(tickets), want)
		for i, ticket := range tickets {
			table.End(now, testUpstream, ticket, i == 0) // the others bring no good answer
		}
	}
	for range 100 {
		_, wait := table.Begin(now, testUpstream, false)
		is.Equal(wait, time.Duration(0))
	}
	now = now.Add(maxSlowStart)
	table.RemoveExpired(now)
	is.True(!table.HasUpstreams())
}

func TestBackoffOfTwoPeersAppliesToThisHost(t *testing.T) {
	is := is.New(t)
	var table Table
	now := time.Now()
	mark := func(d time.Duration) Mark { return Mark{Upstream: testUpstream, Incarnation: 1, Remaining: d} }
	is.True(!table.RecordPeer(now, "h2", mark(3*time.Second), time.Millisecond))
	is.Equal(table.Delay(now, testUpstream), time.Duration(0)) // only h2 may have sent too much
	is.True(table.RecordPeer(now, "h3", mark(2*time.Second), time.Second))
	is.Equal(table.Delay(now, testUpstream), 2*time.Second+time.Millisecond) // until one is left
	is.True(!table.RecordPeer(now, "h3", mark(2*time.Second), 0))
	is.Equal(len(table.Marks(now)), 0) // nothing asked this host itself
	is.True(!table.OnlyThisHost(now, testUpstream))
	table.Record(now, testUpstream, 1, time.Second, 0)
	is.Equal(table.Marks(now), []Mark{mark(time.Second)})
	now = now.Add(2*time.Second + time.Millisecond)
	is.Equal(table.Delay(now, testUpstream), time.Duration(0))
}

func TestBackoffOfThisHostAndAPeer(t *testing.T) {
	is := is.New(t)
	var table Table
	now := time.Now()
	table.Record(now, testUpstream, 1, time.Second, 0)
	is.True(table.OnlyThisHost(now, testUpstream))
	table.RecordPeer(now, "h2", Mark{Upstream: testUpstream, Incarnation: 1, Remaining: 3 * time.Second}, 0)
	is.True(!table.OnlyThisHost(now, testUpstream))
	is.Equal(table.Delay(now, testUpstream), time.Second)
	is.Equal(table.Statuses(now), []Status{{Upstream: testUpstream, Remaining: time.Second, Hosts: 2, Window: 1}})
	table.RemoveExpired(now.Add(time.Minute))
	is.True(!table.HasUpstreams())
}

func TestBackoffOfEarlierIncarnationIsDropped(t *testing.T) {
	is := is.New(t)
	var table Table
	now := time.Now()
	table.Record(now, testUpstream, 1, time.Minute, 0)
	table.Remove(testUpstream)
	is.Equal(table.Delay(now, testUpstream), time.Duration(0))
	table.Record(now, testUpstream, 2, time.Second, 0)
	is.Equal(table.Delay(now, testUpstream), time.Second)
}

// TestNoRequestBeginsDuringBackoff has no series of asks, words of peers and answers let a
// request begin before the end of each backoff that was asked for.
func TestNoRequestBeginsDuringBackoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table
		now, until := time.Unix(0, 0), time.Time{}
		var open []Ticket
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			d := time.Duration(rapid.IntRange(0, 5000).Draw(t, "for")) * time.Millisecond
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				table.Record(now, testUpstream, 1, d, 0)
				if end := now.Add(d); end.After(until) {
					until = end
				}
			case 1:
				host := member.HostID(rapid.SampledFrom([]string{"h2", "h3", "h4"}).Draw(t, "host"))
				table.RecordPeer(now, host, Mark{Upstream: testUpstream, Incarnation: 1, Remaining: d}, 0)
			case 2:
				table.RemoveExpired(now)
			case 3:
				if len(open) > 0 {
					table.End(now, testUpstream, open[0], rapid.Bool().Draw(t, "good"))
					open = open[1:]
				}
			default:
				ticket, wait := table.Begin(now, testUpstream, false)
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
