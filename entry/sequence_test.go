// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/shedpath/shedpath/policy"
)

// TestSequenceDeliversOneRunInOrder feeds streams with duplicated, missing,
// swapped and foreign events; what is delivered is always a prefix of the run,
// each token once, and done is only said when all of it was delivered.
func TestSequenceDeliversOneRunInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const run = policy.RunID("r")
		length := rapid.IntRange(0, 30).Draw(t, "length")
		s := sequence{run: run}
		for range rapid.IntRange(0, 80).Draw(t, "events") {
			event := StreamEvent{Run: run, Index: rapid.IntRange(1, length+1).Draw(t, "index")}
			ended := rapid.IntRange(0, 9).Draw(t, "end") == 0
			if ended {
				event = StreamEvent{Run: run, Kind: EventEnd, End: RunResult{Complete: true, CompletionTokens: length}}
			} else if event.Index > length {
				event.Run = "another"
			}
			before := s.delivered
			switch s.classify(event) {
			case actionDeliver:
				if event.Run != run || event.Kind != EventToken || event.Index != before+1 || s.delivered != before+1 {
					t.Fatalf("delivered %+v after %d tokens", event, before)
				}
			case actionFinish:
				if !ended || before != length {
					t.Fatalf("done after %d of %d tokens", before, length)
				}
			default:
				if s.delivered != before {
					t.Fatalf("an event that isn't delivered moved the sequence on: %+v", event)
				}
			}
		}
	})
}

func TestSequenceClassify(t *testing.T) {
	token := func(run policy.RunID, index int) StreamEvent { return StreamEvent{Run: run, Index: index} }
	end := func(count int, whole bool) StreamEvent {
		return StreamEvent{Run: "r", Kind: EventEnd, End: RunResult{Complete: whole, CompletionTokens: count}}
	}
	for name, test := range map[string]struct {
		event StreamEvent
		want  eventAction
	}{
		"next token":              {token("r", 6), actionDeliver},
		"same token again":        {token("r", 5), actionDrop},
		"older token":             {token("r", 1), actionDrop},
		"token skipped":           {token("r", 7), actionResume},
		"another run's token":     {token("q", 6), actionRejectForeign},
		"end with all tokens":     {end(5, true), actionFinish},
		"end with more tokens":    {end(8, true), actionResume},
		"end with fewer tokens":   {end(3, true), actionFail},
		"end of a cancelled run":  {end(5, false), actionFail},
		"end of another run":      {StreamEvent{Run: "q", Kind: EventEnd, End: RunResult{Complete: true, CompletionTokens: 5}}, actionRejectForeign},
		"token without any index": {token("r", 0), actionDrop},
	} {
		t.Run(name, func(t *testing.T) {
			s := sequence{run: "r", delivered: 5}
			if got := s.classify(test.event); got != test.want {
				t.Fatalf("judged %d, want %d", got, test.want)
			}
		})
	}
}
