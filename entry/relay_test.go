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
			switch s.judge(event) {
			case deliver:
				if event.Run != run || event.Kind != EventToken || event.Index != before+1 || s.delivered != before+1 {
					t.Fatalf("delivered %+v after %d tokens", event, before)
				}
			case done:
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

func TestSequenceJudge(t *testing.T) {
	token := func(run policy.RunID, index int) StreamEvent { return StreamEvent{Run: run, Index: index} }
	end := func(count int, whole bool) StreamEvent {
		return StreamEvent{Run: "r", Kind: EventEnd, End: RunResult{Complete: whole, CompletionTokens: count}}
	}
	for name, c := range map[string]struct {
		event StreamEvent
		want  verdict
	}{
		"next token":              {token("r", 6), deliver},
		"same token again":        {token("r", 5), drop},
		"older token":             {token("r", 1), drop},
		"token skipped":           {token("r", 7), resume},
		"another run's token":     {token("q", 6), foreign},
		"end with all tokens":     {end(5, true), done},
		"end with more tokens":    {end(8, true), resume},
		"end with fewer tokens":   {end(3, true), broken},
		"end of a cancelled run":  {end(5, false), broken},
		"end of another run":      {StreamEvent{Run: "q", Kind: EventEnd, End: RunResult{Complete: true, CompletionTokens: 5}}, foreign},
		"token without any index": {token("r", 0), drop},
	} {
		t.Run(name, func(t *testing.T) {
			s := sequence{run: "r", delivered: 5}
			if got := s.judge(c.event); got != c.want {
				t.Fatalf("judged %d, want %d", got, c.want)
			}
		})
	}
}
