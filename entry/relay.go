// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import "github.com/shedpath/shedpath/policy"

// verdict is what the relay does with an event.
type verdict int

const (
	// deliver passes the token on: it is the next of the run.
	deliver verdict = iota
	// drop leaves out a token that the caller already has.
	drop
	// resume asks the engine again from the next index: some are missing.
	resume
	// foreign gives the link up: it carries another run's events.
	foreign
	// done ends the answer: every token came.
	done
	// broken ends the answer as partial: the engine contradicts itself.
	broken
)

// sequence decides which events of a stream reach the caller: exactly those of
// its own run, in order, once each. The zero value with a run set has
// delivered nothing.
type sequence struct {
	run policy.RunID
	// delivered is the index of the last token passed on; the caller has
	// exactly the tokens 1 to delivered.
	delivered int
}

// judge decides about an event. Only deliver moves the sequence on.
func (s *sequence) judge(e StreamEvent) verdict {
	if e.Run != s.run {
		return foreign
	}
	if e.Kind == EventEnd {
		return s.judgeEnd(e.End)
	}
	switch {
	case e.Index <= s.delivered:
		return drop
	case e.Index > s.delivered+1:
		return resume
	}
	s.delivered++
	return deliver
}

func (s *sequence) judgeEnd(end RunResult) verdict {
	switch {
	case end.CompletionTokens > s.delivered:
		return resume
	case end.CompletionTokens < s.delivered || !end.Complete:
		return broken
	}
	return done
}
