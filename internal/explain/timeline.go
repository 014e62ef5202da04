// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package explain

import (
	"slices"
	"strings"
	"time"
)

// Cause says how a request ended, in words that lead to the operators' page.
type Cause string

// The causes of an end that isn't a refusal's; those are the refusals' codes after
// "refused: ".
const (
	CauseAnswered   Cause = "answered"
	CauseFailure    Cause = "an upstream's failure passed on"
	CauseCallerLeft Cause = "the caller left"
	CauseNoEnd      Cause = "no end: its host died, or its log ends"
	CauseStopped    Cause = "cut: its host stopped"
	CauseLeft       Cause = "cut: the engine left before the run was moved"
	CauseGone       Cause = "cut: the engine went without notice"
	CauseCrash      Cause = "cut: the engine ended"
	CauseLink       Cause = "cut: the link to the engine broke"
	CauseUnknown    Cause = "cut"
	CauseBounded    Cause = refusedPrefix + "overloaded, upstreams limited or backing off"
)

const refusedPrefix = "refused: "

// Failed reports whether the caller didn't get what it asked for.
func (c Cause) Failed() bool { return c != CauseAnswered && c != CauseCallerLeft }

// Story is all that the logs say of one request.
type Story struct {
	Request string
	// Route is empty for a request that no route took.
	Route string
	// Lines are in the order of their times.
	Lines []Line
	Cause Cause
	// Took is from its arrival to its end; zero without an end.
	Took time.Duration
	// Began is when the first line was written.
	Began time.Time
}

// Events of the lines that tell how a request ended.
const (
	eventAnswered = "answered"
	eventRefused  = "refused"
	eventLeaves   = "engine leaves"
	eventBroke    = "connection broke"
)

// Stories groups lines by request and tells how each ended, in the order in which
// the requests began.
func Stories(lines []Line) []Story {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	index := map[string]int{}
	var stories []Story
	for _, line := range lines {
		if line.Request == "" {
			continue
		}
		at, known := index[line.Request]
		if !known {
			at = len(stories)
			index[line.Request] = at
			stories = append(stories, Story{Request: line.Request, Began: line.At, Cause: CauseNoEnd})
		}
		stories[at].take(line)
	}
	return stories
}

func (s *Story) take(line Line) {
	s.Lines = append(s.Lines, line)
	switch line.Event {
	case eventAnswered, eventRefused:
		s.Route, s.Took = line.Field("route"), line.duration("took")
		s.Cause = s.cause(line)
	}
}

// cause tells how a request ended from its last line and those before it.
func (s *Story) cause(end Line) Cause {
	if end.Event == eventRefused {
		if end.Field("code") == "caller_left" {
			return CauseCallerLeft
		}
		if kept := end.Field("kept_back"); end.Field("code") == "overloaded" && kept != "" && kept != "0" {
			return CauseBounded
		}
		return Cause(refusedPrefix + end.Field("code"))
	}
	switch end.Field("outcome") {
	case "ok":
		if strings.HasPrefix(end.Field("status"), "5") {
			return CauseFailure
		}
		return CauseAnswered
	case "cut":
		return s.cutBy(end)
	case "interrupted":
		return CauseStopped
	default:
		return CauseCallerLeft
	}
}

// cutBy tells what cut a stream.
func (s *Story) cutBy(end Line) Cause {
	why := end.Field("err")
	switch {
	case s.leaving(end.Field("upstream")):
		return CauseLeft
	case s.ended(end.Field("upstream")):
		return CauseCrash
	case strings.Contains(why, "timed out"), strings.Contains(why, "reset"), strings.Contains(why, "no route"):
		return CauseLink
	case strings.Contains(why, "EOF"):
		return CauseGone
	default:
		return CauseUnknown
	}
}

// leaving reports whether the request's host knew that an engine leaves.
func (s *Story) leaving(upstream string) bool {
	return slices.ContainsFunc(s.Lines, func(l Line) bool {
		return l.Event == eventLeaves && l.Field("upstream") == upstream
	})
}

// ended reports whether the request's host saw that an engine had ended.
func (s *Story) ended(upstream string) bool {
	return slices.ContainsFunc(s.Lines, func(l Line) bool {
		return l.Event == eventBroke && l.Field("upstream") == upstream && l.Field("ended") == "true" && l.Field("leaving") == "false"
	})
}
