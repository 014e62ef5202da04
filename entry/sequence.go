// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import "github.com/shedpath/shedpath/policy"

// eventAction is what the relay does with an event.
type eventAction int

const (
	// actionDeliver passes the token on: it is the next of the run.
	actionDeliver eventAction = iota
	// actionDrop leaves out a token that the caller already has.
	actionDrop
	// actionResume asks the engine again from the next index: some are missing.
	actionResume
	// actionRejectForeign gives the link up: it carries another run's events.
	actionRejectForeign
	// actionFinish ends the answer: every token came.
	actionFinish
	// actionFail ends the answer as partial: the engine contradicts itself.
	actionFail
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

// classify decides about an event. Only deliver moves the sequence on.
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

func (s *sequence) classifyEnd(end RunResult) eventAction {
	switch {
	case end.CompletionTokens > s.delivered:
		return actionResume
	case end.CompletionTokens < s.delivered || !end.Complete:
		return actionFail
	}
	return actionFinish
}
