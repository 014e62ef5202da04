// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import "github.com/shedpath/shedpath/policy"

// eventAction is what the relay does with an event.
type eventAction int

const (
	// actionDeliver passes the token on: it is the next one of the run.
	actionDeliver eventAction = iota
	// actionDrop discards a token that the caller already has.
	actionDrop
	// actionResume resumes the run behind the last delivered token, because tokens are missing.
	actionResume
	// actionRejectForeign closes the stream, because it carries another run's events, and resumes
	// the run.
	actionRejectForeign
	// actionFinish ends the answer: all tokens were delivered.
	actionFinish
	// actionFail ends the answer as incomplete: the engine reports fewer tokens than were
	// delivered, or that the run isn't complete.
	actionFail
)

// sequence selects the events of a stream that reach the caller: exactly the tokens of its run, in
// order, each once. With only run set, no token has been delivered.
type sequence struct {
	run policy.RunID
	// delivered is the index of the last token passed on. The caller has exactly the tokens 1 to
	// delivered.
	delivered int
}

// classify returns what to do with an event. It advances the sequence only for actionDeliver.
func (s *sequence) classify(e StreamEvent) eventAction {
	if e.Run != s.run {
		return actionRejectForeign
	}
	if e.Kind == EventEnd {
		return s.classifyEnd(e.End)
	}
	switch {
	case e.Index <= s.delivered:
		return actionDrop
	case e.Index > s.delivered+1:
		return actionResume
	}
	s.delivered++
	return actionDeliver
}

// classifyEnd returns what to do with the run's end event.
func (s *sequence) classifyEnd(end RunResult) eventAction {
	switch {
	case end.CompletionTokens > s.delivered:
		return actionResume
	case end.CompletionTokens < s.delivered || !end.Complete:
		return actionFail
	}
	return actionFinish
}
