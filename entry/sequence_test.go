// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/shedpath/shedpath/policy"
)

// TestSequenceDeliversOneRunInOrder feeds a sequence with duplicated, missing, reordered and
// foreign events. The delivered tokens must always be a prefix of the run, each token once, and
// actionFinish may only be returned after the last token.
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
					t.Fatalf("event %+v was delivered after %d tokens; want only the next token of the run, and the sequence to advance by 1", event, before)
				}
			case actionFinish:
				if !ended || before != length {
					t.Fatalf("actionFinish after %d of %d tokens; want it only for an end event after all tokens", before, length)
				}
			default:
				if s.delivered != before {
					t.Fatalf("event %+v was not delivered but advanced the sequence", event)
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
	for name, tt := range map[string]struct {
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
			if got := s.classify(tt.event); got != tt.want {
				t.Fatalf("classify returned action %d, want %d", got, tt.want)
			}
		})
	}
}
