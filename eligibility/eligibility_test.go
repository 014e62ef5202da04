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

// TestCheck checks the verdicts on single reasons and some combinations, by purpose.
func TestCheck(t *testing.T) {
	for name, c := range map[string]struct {
		state State
		want  map[Purpose]Verdict
	}{
		"nothing against it": {State{}, map[Purpose]Verdict{Request: {}, Continuation: {}, Probe: {}, Control: {}}},
		"it leaves": {State{Leaving: true}, map[Purpose]Verdict{
			Request: {Reason: Leaving}, Continuation: {Overridden: Leaving}, Probe: {Reason: Leaving}, Control: {Overridden: Leaving}, Identity: {},
		}},
		"backoff": {State{Backoff: time.Second}, map[Purpose]Verdict{
			Request: {Reason: Backoff, Wait: time.Second}, Continuation: {Overridden: Backoff}, Probe: {Reason: Backoff, Wait: time.Second}, Control: {Overridden: Backoff},
			Identity: {Reason: Backoff, Wait: time.Second},
		}},
		"a limit beyond the backoff": {State{Backoff: time.Second, LimitWait: 2 * time.Second}, map[Purpose]Verdict{
			Request: {Reason: Limited, Wait: 2 * time.Second}, Probe: {Reason: Limited, Wait: 2 * time.Second},
		}},
		"leaves and asks for backoff": {State{Leaving: true, Backoff: time.Second}, map[Purpose]Verdict{Request: {Reason: Leaving}}},
		"zone out, runs still come":   {State{ZoneOutOfService: true}, map[Purpose]Verdict{Request: {Reason: ZoneOutOfService}, Continuation: {Overridden: ZoneOutOfService}}},
		"zone closed":                 {State{ZoneOutOfService: true, ZoneClosed: true}, map[Purpose]Verdict{Continuation: {Reason: ZoneOutOfService}, Control: {Overridden: ZoneOutOfService}}},
		"quarantined": {State{Quarantined: true}, map[Purpose]Verdict{
			Request: {Reason: Quarantined}, Continuation: {Reason: Quarantined}, Probe: {}, Control: {Overridden: Quarantined},
		}},
		"its entry is unusable": {State{Unusable: true}, map[Purpose]Verdict{Request: {Reason: Unusable}, Continuation: {Overridden: Unusable}}},
		"unknown":               {State{Unknown: true}, map[Purpose]Verdict{Request: {Reason: Unknown}, Identity: {}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for p, want := range c.want {
				is.Equal(fmt.Sprintf("%d: %+v", p, Check(c.state, p)), fmt.Sprintf("%d: %+v", p, want))
			}
		})
	}
}

// TestCheckProperties checks that an additional reason never allows a send that was denied, that a
// verdict names only reasons that hold, and that it has a wait only if waiting helps.
func TestCheckProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		flag := func(name string) bool { return rapid.Bool().Draw(t, name) }
		wait := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, name)) * time.Duration(rapid.IntRange(0, 1).Draw(t, name+" holds"))
		}
		a := State{
			Unknown: flag("unknown"), Leaving: flag("leaving"), Unusable: flag("unusable"), ZoneOutOfService: flag("zone out"),
			Quarantined: flag("quarantined"), Backoff: wait("backoff"), LimitWait: wait("limit"),
		}
		a.ZoneClosed = a.ZoneOutOfService && flag("zone closed")
		b := State{
			Unknown: a.Unknown || flag("unknown, too"), Leaving: a.Leaving || flag("leaving, too"), Unusable: a.Unusable || flag("unusable, too"),
			ZoneOutOfService: a.ZoneOutOfService || flag("zone out, too"), Quarantined: a.Quarantined || flag("quarantined, too"),
			Backoff: max(a.Backoff, wait("more backoff")), LimitWait: max(a.LimitWait, wait("more limit")), ZoneClosed: a.ZoneClosed,
		}
		p := Purpose(rapid.IntRange(int(Request), int(Identity)).Draw(t, "purpose"))
		fewer, more := Check(a, p), Check(b, p)
		if !fewer.OK() && more.OK() {
			t.Fatalf("purpose %d: denied in state %+v, but allowed with more reasons in state %+v", p, a, b)
		}
		reasonHolds := map[Reason]bool{
			Unknown: a.Unknown, Leaving: a.Leaving, Unusable: a.Unusable, ZoneOutOfService: a.ZoneOutOfService, Quarantined: a.Quarantined,
			Backoff: a.Backoff > 0, Limited: a.LimitWait > 0,
		}
		for _, reason := range []Reason{fewer.Reason, fewer.Overridden} {
			if reason != "" && !reasonHolds[reason] {
				t.Fatalf("purpose %d, state %+v: verdict %v with overridden reason %q names reason %q, which does not hold", p, a, fewer, fewer.Overridden, reason)
			}
		}
		waitable := fewer.Reason == Backoff || fewer.Reason == Limited
		if waitable != (fewer.Wait > 0) || waitable && (fewer.Wait < a.Backoff || fewer.Wait < a.LimitWait) {
			t.Fatalf("purpose %d, state %+v: verdict %v has a wrong wait", p, a, fewer)
		}
		anyReason := a.Unknown || a.Leaving || a.Unusable || a.ZoneOutOfService || a.Quarantined || a.Backoff > 0 || a.LimitWait > 0
		if p == Request && fewer.OK() == anyReason {
			t.Fatalf("state %+v: verdict on a request is %v, want it allowed exactly if no reason holds", a, fewer)
		}
	})
}
