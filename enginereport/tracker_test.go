// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package enginereport

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/policy"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// TestReasons guards against engines that are asked without a reason, or not asked with one.
func TestReasons(t *testing.T) {
	for name, c := range map[string]struct {
		set  func(t *Tracker)
		at   time.Duration
		want Reason
	}{
		"none":                             {func(*Tracker) {}, time.Second, ""},
		"just started, no peer heard yet":  {func(t *Tracker) { t.Start(start) }, 100 * time.Millisecond, ""},
		"started after an outage":          {func(t *Tracker) { t.Start(start) }, time.Second, ReasonStart},
		"started long ago":                 {func(t *Tracker) { t.Start(start) }, StartDuration, ""},
		"a peer has older runs":            {func(t *Tracker) { t.Start(start); t.ObservePeerRun(at(-1)) }, time.Second, ""},
		"a peer has runs since":            {func(t *Tracker) { t.Start(start); t.ObservePeerRun(at(time.Millisecond)) }, time.Second, ReasonStart},
		"the engine refused":               {func(t *Tracker) { t.RecordRefusal(start, "e") }, time.Second, ReasonRefusal},
		"the engine refused long ago":      {func(t *Tracker) { t.RecordRefusal(start, "e") }, RefusalDuration, ""},
		"another engine refused":           {func(t *Tracker) { t.RecordRefusal(start, "f") }, time.Second, ""},
		"refused at a peer":                {func(t *Tracker) { t.ReceiveRequest(start, Request{"e", time.Second}) }, 999 * time.Millisecond, ReasonPeer},
		"refused at a peer long ago":       {func(t *Tracker) { t.ReceiveRequest(start, Request{"e", time.Second}) }, time.Second, ""},
		"a peer has started":               {func(t *Tracker) { t.ReceiveRequest(start, Request{"", 9 * time.Second}) }, 8 * time.Second, ReasonPeer},
		"a peer's refusal lasts too long":  {func(t *Tracker) { t.ReceiveRequest(start, Request{"e", time.Hour}) }, RefusalDuration, ""},
		"a peer's start lasts too long":    {func(t *Tracker) { t.ReceiveRequest(start, Request{"", time.Hour}) }, StartDuration, ""},
		"a peer's request is over already": {func(t *Tracker) { t.ReceiveRequest(start, Request{"e", -time.Second}) }, 0, ""},
		"a shorter request doesn't replace": {func(t *Tracker) {
			t.ReceiveRequest(start, Request{"e", time.Second})
			t.ReceiveRequest(start, Request{"e", 1})
		}, 500 * time.Millisecond, ReasonPeer},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var tracker Tracker
			c.set(&tracker)
			is.Equal(tracker.Reason(at(c.at), "e"), c.want)
			_, asked := tracker.Ask(at(c.at), "e")
			is.Equal(asked, c.want != "")
			_, again := tracker.Ask(at(c.at).Add(Interval-1), "e")
			is.True(!asked || !again) // each request has a cost
		})
	}
}

// TestRequestsForPeers guards against reasons of which the host that is to ask doesn't learn, and
// against reasons that hosts keep alive by passing on each other's.
func TestRequestsForPeers(t *testing.T) {
	is := is.New(t)
	var tracker, peer Tracker
	tracker.Start(start)
	tracker.RecordRefusal(at(time.Second), "e")
	requests := tracker.Requests(at(2 * time.Second))
	is.Equal(requests, []Request{{"", 8 * time.Second}, {"e", 2 * time.Second}})
	for _, r := range requests {
		is.True(peer.ReceiveRequest(at(2*time.Second), r))
	}
	is.Equal(len(peer.Requests(at(2*time.Second))), 0)
	is.True(peer.HasReason(at(9 * time.Second)))
	is.True(!peer.HasReason(at(10 * time.Second)))
	is.Equal(len(tracker.Requests(at(10*time.Second))), 0)
}

// TestReportUse guards against reports that are used too long, for another incarnation, or in place of
// newer ones.
func TestReportUse(t *testing.T) {
	is := is.New(t)
	var tracker, peer Tracker
	tracker.ReceiveAnswer(start, "e", 7, Load{Used: 5, Active: 2, Queued: 1})
	l, takenAt, known := tracker.Load(start, "e", 7)
	is.True(known)
	is.Equal(l, Load{Used: 5, Active: 2, Queued: 1})
	is.Equal(takenAt, at(-expectedAge))
	_, _, known = tracker.Load(start, "e", 8)
	is.True(!known) // the engine has restarted since
	_, _, known = tracker.Load(at(UseDuration-expectedAge+1), "e", 7)
	is.True(!known)

	marks := tracker.Marks(at(time.Second))
	is.Equal(marks, []Mark{{"e", 7, Load{5, 2, 1}, time.Second + expectedAge}})
	is.True(peer.ReceiveMark(at(time.Second), marks[0]))
	_, takenAt, _ = peer.Load(at(time.Second), "e", 7)
	is.Equal(takenAt, at(-expectedAge))
	is.Equal(len(peer.Marks(at(time.Second))), 0) // only the host that asked tells it
	is.True(peer.ReceiveMark(at(time.Second), Mark{"e", 7, Load{9, 9, 9}, 3 * time.Second}))
	l, _, _ = peer.Load(at(time.Second), "e", 7)
	is.Equal(l.Used, policy.Tokens(5)) // an older mark changes nothing
	is.Equal(len(tracker.Marks(at(UseDuration))), 0)
	is.True(!tracker.HasReason(at(UseDuration)))
	is.Equal(len(tracker.reports), 0)
}

// TestImpossibleValues guards against values that would keep work off an engine, or put too much on it.
func TestImpossibleValues(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	for _, m := range []Mark{{"", 1, Load{1, 1, 1}, 1}, {"e", 1, Load{-1, 1, 1}, 1}, {"e", 1, Load{1, -1, 1}, 1}, {"e", 1, Load{1, 1, maxRuns + 1}, 1}, {"e", 1, Load{1, 1, 1}, -1}} {
		is.True(!tracker.ReceiveMark(start, m))
	}
	for _, a := range []Answer{{Load: Load{Used: -1}}, {Load: Load{Used: 2}, Total: 1}, {Total: -1}, {LeavesIn: -1}} {
		is.True(errors.Is(a.Check(), ErrUnusable))
	}
	is.NoErr(Answer{Load: Load{Used: 2, Active: 1}, Total: 2, LeavesIn: 1}.Check())
	for err, want := range map[error]Outcome{nil: Received, ErrUnusable: Unusable, ErrOtherInstance: Outdated, errors.New("timeout"): NoAnswer} {
		is.Equal(OutcomeOf(err), want)
	}
	is.Equal(OutcomeOf(fmt.Errorf("%w: status 500", ErrUnusable)), Unusable)
}
