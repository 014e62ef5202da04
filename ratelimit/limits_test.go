// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
)

// receivedReport is a report in an answer, with the times of its request and its answer since
// the start of the test, or in a message from a peer.
type receivedReport struct {
	sentAt, receivedAt time.Duration
	hasLimit           bool
	rate               Rate
	// age, if not zero, makes it the report of a peer with that age.
	age  time.Duration
	want Change
}

func TestLimits(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		reports []receivedReport
		// at is when the rate is read at the end; bound and bounded are the expected result.
		at      time.Duration
		bound   Rate
		bounded bool
	}{
		"nothing named":              {[]receivedReport{{sentAt: 0, receivedAt: 10 * ms}}, 20 * ms, 0, false},
		"named":                      {[]receivedReport{{sentAt: 0, receivedAt: 10 * ms, hasLimit: true, rate: 4, want: LimitNamed}}, 20 * ms, 4, true},
		"named again":                {[]receivedReport{{receivedAt: 10 * ms, hasLimit: true, rate: 4, want: LimitNamed}, {receivedAt: 20 * ms, hasLimit: true, rate: 4}}, 30 * ms, 4, true},
		"moved":                      {[]receivedReport{{receivedAt: 10 * ms, hasLimit: true, rate: 8, want: LimitNamed}, {receivedAt: 20 * ms, hasLimit: true, rate: 2, want: LimitMoved}}, 30 * ms, 2, true},
		"none at all":                {[]receivedReport{{receivedAt: 10 * ms, hasLimit: true, rate: 0, want: LimitNamed}}, 30 * ms, MinRate, true},
		"an answer from before":      {[]receivedReport{{receivedAt: 10 * ms, hasLimit: true, rate: 4, want: LimitNamed}, {sentAt: 5 * ms, receivedAt: 20 * ms}}, 30 * ms, 4, true},
		"an end begins the return":   {[]receivedReport{{receivedAt: 10 * ms, hasLimit: true, rate: 4, want: LimitNamed}, {sentAt: 15 * ms, receivedAt: 20 * ms, want: LimitEnded}}, 20 * ms, 4, true},
		"half a second after an end": {[]receivedReport{{receivedAt: 10 * ms, hasLimit: true, rate: 4, want: LimitNamed}, {sentAt: 15 * ms, receivedAt: 20 * ms, want: LimitEnded}}, 520 * ms, 4, true},
		"a second after an end":      {[]receivedReport{{receivedAt: 10 * ms, hasLimit: true, rate: 4, want: LimitNamed}, {sentAt: 15 * ms, receivedAt: 20 * ms, want: LimitEnded}}, 1020 * ms, 8, true},
		"long after an end":          {[]receivedReport{{receivedAt: 10 * ms, hasLimit: true, rate: 4, want: LimitNamed}, {sentAt: 15 * ms, receivedAt: 20 * ms, want: LimitEnded}}, 20*ms + recoveryTime, 0, false},
		"named again as it returns":  {[]receivedReport{{receivedAt: 10 * ms, hasLimit: true, rate: 4, want: LimitNamed}, {sentAt: 15 * ms, receivedAt: 20 * ms, want: LimitEnded}, {receivedAt: 30 * ms, hasLimit: true, rate: 4, want: LimitNamed}}, time.Second, 4, true},
		"a peer's older end":         {[]receivedReport{{receivedAt: 100 * ms, hasLimit: true, rate: 4, want: LimitNamed}, {receivedAt: 120 * ms, age: 50 * ms}}, 130 * ms, 4, true},
		"a peer's newer end":         {[]receivedReport{{receivedAt: 100 * ms, hasLimit: true, rate: 4, want: LimitNamed}, {receivedAt: 200 * ms, age: 50 * ms, want: LimitEnded}}, 200 * ms, 4, true},
		"a peer's older limit":       {[]receivedReport{{receivedAt: 100 * ms, hasLimit: true, rate: 4, want: LimitNamed}, {sentAt: 110 * ms, receivedAt: 120 * ms, want: LimitEnded}, {receivedAt: 130 * ms, age: 40 * ms, hasLimit: true, rate: 4}}, 120 * ms, 4, true},
		"unconfirmed for long":       {[]receivedReport{{receivedAt: 0, hasLimit: true, rate: 4, want: LimitNamed}}, confirmationTimeout + recoveryTime, 0, false},
		"unconfirmed, returning":     {[]receivedReport{{receivedAt: 0, hasLimit: true, rate: 4, want: LimitNamed}}, confirmationTimeout + recoveryDelay + recoveryDoublingTime, 8, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var limits Limits
			start := time.Now()
			for _, report := range c.reports {
				now := start.Add(report.receivedAt)
				var got Change
				if report.age > 0 {
					got = limits.ReceivePeerReport(now, "peer", PeerReport{Upstream: "u", Incarnation: 1, HasLimit: report.hasLimit, Rate: report.rate, Age: report.age})
				} else {
					got = limits.Receive(now, "u", 1, "self", AnswerReport{HasLimit: report.hasLimit, Rate: report.rate, SentAt: start.Add(report.sentAt), ReceivedAt: now})
				}
				is.Equal(got, report.want)
			}
			bound, bounded := limits.EffectiveRate(start.Add(c.at), "u")
			is.Equal(bounded, c.bounded)
			is.Equal(bound, c.bound)
		})
	}
}

// TestLimitsOfIncarnations checks that a limit applies to one incarnation of an upstream only,
// and to no unknown upstream.
func TestLimitsOfIncarnations(t *testing.T) {
	is := is.New(t)
	var limits Limits
	now := time.Now()
	is.Equal(limits.Receive(now, "u", 1, "h", AnswerReport{HasLimit: true, Rate: 1, ReceivedAt: now}), LimitNamed)
	is.Equal(limits.Receive(now.Add(1), "u", 2, "h", AnswerReport{SentAt: now.Add(1), ReceivedAt: now.Add(1)}), Unchanged) // another incarnation, without a limit
	limits.Reset("u")
	_, bounded := limits.EffectiveRate(now, "u")
	is.True(!bounded && !limits.Any())
	limits.Receive(now, "u", 2, "h", AnswerReport{HasLimit: true, Rate: 1, ReceivedAt: now})
	limits.Reset("u")
	limits.Receive(now, "u", 0, "h", AnswerReport{HasLimit: true, Rate: 1, ReceivedAt: now}) // its incarnation isn't known yet
	later := now.Add(time.Millisecond)
	is.Equal(limits.Receive(later, "u", 2, "h", AnswerReport{SentAt: later, ReceivedAt: later}), LimitEnded)
	limits.Reset("u")
	limits.Receive(now, "u", 2, "h", AnswerReport{HasLimit: true, Rate: 1, ReceivedAt: now})
	is.Equal(len(limits.Prune(now, func(member.UpstreamID) bool { return false })), 0)
	is.True(!limits.Any())
}
