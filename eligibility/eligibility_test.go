// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package eligibility

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestJudge(t *testing.T) {
	for name, c := range map[string]struct {
		state State
		want  map[Purpose]Verdict
	}{
		"nothing against it": {State{}, map[Purpose]Verdict{Request: {}, Continuation: {}, Probe: {}, Control: {}}},
		"it leaves": {State{Leaving: true}, map[Purpose]Verdict{
			Request: {Reason: Leaving}, Continuation: {Despite: Leaving}, Probe: {Reason: Leaving}, Control: {Despite: Leaving},
		}},
		"backoff": {State{Backoff: time.Second}, map[Purpose]Verdict{
			Request: {Reason: Backoff, Wait: time.Second}, Continuation: {Despite: Backoff}, Probe: {Reason: Backoff, Wait: time.Second}, Control: {Despite: Backoff},
		}},
		"a limit beyond the backoff": {State{Backoff: time.Second, Limit: 2 * time.Second}, map[Purpose]Verdict{
			Request: {Reason: Limited, Wait: 2 * time.Second}, Probe: {Reason: Limited, Wait: 2 * time.Second},
		}},
		"leaves and asks for backoff": {State{Leaving: true, Backoff: time.Second}, map[Purpose]Verdict{Request: {Reason: Leaving}}},
		"zone out, runs still come":   {State{ZoneOut: true}, map[Purpose]Verdict{Request: {Reason: ZoneOut}, Continuation: {Despite: ZoneOut}}},
		"zone closed":                 {State{ZoneOut: true, ZoneClosed: true}, map[Purpose]Verdict{Continuation: {Reason: ZoneOut}, Control: {Despite: ZoneOut}}},
		"quarantined": {State{Quarantined: true}, map[Purpose]Verdict{
			Request: {Reason: Quarantined}, Continuation: {Reason: Quarantined}, Probe: {}, Control: {Despite: Quarantined},
		}},
		"its entry is unusable": {State{Unusable: true}, map[Purpose]Verdict{Request: {Reason: Unusable}, Continuation: {Despite: Unusable}}},
		"unknown":               {State{Unknown: true}, map[Purpose]Verdict{Request: {Reason: Unknown}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for p, want := range c.want {
				is.Equal(fmt.Sprintf("%d: %+v", p, Judge(c.state, p)), fmt.Sprintf("%d: %+v", p, want))
			}
		})
	}
}

// TestJudgeProperties has no reason more ever allow what is denied, and each denial name a
// reason that holds, and a wait only where waiting helps.
func TestJudgeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		flag := func(name string) bool { return rapid.Bool().Draw(t, name) }
		wait := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, name)) * time.Duration(rapid.IntRange(0, 1).Draw(t, name+" holds"))
		}
		a := State{
			Unknown: flag("unknown"), Leaving: flag("leaving"), Unusable: flag("unusable"), ZoneOut: flag("zone out"),
			Quarantined: flag("quarantined"), Backoff: wait("backoff"), Limit: wait("limit"),
		}
		a.ZoneClosed = a.ZoneOut && flag("zone closed")
		b := State{
			Unknown: a.Unknown || flag("unknown, too"), Leaving: a.Leaving || flag("leaving, too"), Unusable: a.Unusable || flag("unusable, too"),
			ZoneOut: a.ZoneOut || flag("zone out, too"), Quarantined: a.Quarantined || flag("quarantined, too"),
			Backoff: max(a.Backoff, wait("more backoff")), Limit: max(a.Limit, wait("more limit")), ZoneClosed: a.ZoneClosed,
		}
		p := Purpose(rapid.IntRange(int(Request), int(Control)).Draw(t, "purpose"))
		less, more := Judge(a, p), Judge(b, p)
		if !less.OK() && more.OK() {
			t.Fatalf("%+v denies and %+v allows", a, b)
		}
		holds := map[Reason]bool{
			Unknown: a.Unknown, Leaving: a.Leaving, Unusable: a.Unusable, ZoneOut: a.ZoneOut, Quarantined: a.Quarantined,
			Backoff: a.Backoff > 0, Limited: a.Limit > 0,
		}
		for _, reason := range []Reason{less.Reason, less.Despite} {
			if reason != "" && !holds[reason] {
				t.Fatalf("%+v: %v", a, less)
			}
		}
		helps := less.Reason == Backoff || less.Reason == Limited
		if helps != (less.Wait > 0) || helps && (less.Wait < a.Backoff || less.Wait < a.Limit) {
			t.Fatalf("%+v: %v", a, less)
		}
		anything := a.Unknown || a.Leaving || a.Unusable || a.ZoneOut || a.Quarantined || a.Backoff > 0 || a.Limit > 0
		if p == Request && less.OK() == anything {
			t.Fatalf("a request with %+v: %v", a, less)
		}
	})
}
