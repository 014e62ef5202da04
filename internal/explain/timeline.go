// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package explain

import (
	"slices"
	"strings"
	"time"
)

// Cause is how a request ended, in the words that the operators' documentation uses.
type Cause string

// The causes other than refusals. The cause of a refusal is "refused: " followed by the
// refusal's code. CauseUpstreamsLimited is a refusal for which upstreams were withheld.
const (
	CauseAnswered         Cause = "answered"
	CauseUpstreamFailure  Cause = "an upstream's failure passed on"
	CauseCallerLeft       Cause = "the caller left"
	CauseNoEnd            Cause = "no end: its host died, or its log ends"
	CauseHostStopped      Cause = "cut: its host stopped"
	CauseEngineLeft       Cause = "cut: the engine left before the run was moved"
	CauseEngineGone       Cause = "cut: the engine went without notice"
	CauseEngineEnded      Cause = "cut: the engine ended"
	CauseLinkBroke        Cause = "cut: the link to the engine broke"
	CauseCutUnknown       Cause = "cut"
	CauseUpstreamsLimited Cause = refusedPrefix + "overloaded, upstreams limited or backing off"
)

const refusedPrefix = "refused: "

// Failed reports whether the request failed. A request whose caller left did not fail.
func (c Cause) Failed() bool { return c != CauseAnswered && c != CauseCallerLeft }

// Timeline holds all log lines of one request and how the request ended.
type Timeline struct {
	Request string
	// Route is empty if no route matched the request or its end is not in the log.
	Route string
	// Lines are sorted by time.
	Lines []Line
	Cause Cause
	// RequestDuration is the time from the request's arrival to its end; zero if the end is not
	// in the log.
	RequestDuration time.Duration
	// Start is the time of the first line.
	Start time.Time
}

// Events of the lines that the cause is determined from.
const (
	eventAnswered        = "answered"
	eventRefused         = "refused"
	eventEngineLeaves    = "engine leaves"
	eventConnectionBroke = "connection broke"
	eventLinkBroke       = "link broke"
)

// Timelines groups lines by request and determines how each request ended. The result
// is sorted by the start of the requests.
func Timelines(lines []Line) []Timeline {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Timestamp.Compare(b.Timestamp) })
	index := map[string]int{}
	var stories []Timeline
	for _, line := range lines {
		if line.Request == "" {
			continue
		}
		i, known := index[line.Request]
		if !known {
			i = len(stories)
			index[line.Request] = i
			stories = append(stories, Timeline{Request: line.Request, Start: line.Timestamp, Cause: CauseNoEnd})
		}
		stories[i].add(line)
	}
	return stories
}

func (s *Timeline) add(line Line) {
	s.Lines = append(s.Lines, line)
	switch line.Event {
	case eventAnswered, eventRefused:
		s.Route, s.RequestDuration = line.Field("route"), line.duration("took")
		s.Cause = s.determineCause(line)
	}
}

// determineCause returns how a request ended, from the line about its end and the lines
// before it.
func (s *Timeline) determineCause(end Line) Cause {
	if end.Event == eventRefused {
		if end.Field("code") == "caller_left" {
			return CauseCallerLeft
		}
		if keptBack := end.Field("kept_back"); end.Field("code") == "overloaded" && keptBack != "" && keptBack != "0" {
			return CauseUpstreamsLimited
		}
		return Cause(refusedPrefix + end.Field("code"))
	}
	switch end.Field("outcome") {
	case "ok":
		if strings.HasPrefix(end.Field("status"), "5") {
			return CauseUpstreamFailure
		}
		return CauseAnswered
	case "cut":
		return s.cutCause(end)
	case "interrupted":
		return CauseHostStopped
	default:
		return CauseCallerLeft
	}
}

// cutCause returns why a stream was cut.
func (s *Timeline) cutCause(end Line) Cause {
	errText := end.Field("err")
	switch {
	case s.sawEngineLeave(end.Field("upstream")):
		return CauseEngineLeft
	case s.sawLinkBreak(end.Field("upstream")):
		return CauseLinkBroke
	case s.sawEngineEnd(end.Field("upstream")):
		return CauseEngineEnded
	case strings.Contains(errText, "timed out"), strings.Contains(errText, "reset"), strings.Contains(errText, "no route"):
		return CauseLinkBroke
	case strings.Contains(errText, "EOF"):
		return CauseEngineGone
	default:
		return CauseCutUnknown
	}
}

// sawEngineLeave reports whether the request's lines announce that the engine leaves.
func (s *Timeline) sawEngineLeave(upstream string) bool {
	return slices.ContainsFunc(s.Lines, func(l Line) bool {
		return l.Event == eventEngineLeaves && l.Field("upstream") == upstream
	})
}

// sawLinkBreak reports whether the request's lines show that only the link to the engine broke.
func (s *Timeline) sawLinkBreak(upstream string) bool {
	return slices.ContainsFunc(s.Lines, func(l Line) bool {
		return l.Event == eventLinkBroke && l.Field("upstream") == upstream
	})
}

// sawEngineEnd reports whether the request's lines show that the engine ended without
// leaving first.
func (s *Timeline) sawEngineEnd(upstream string) bool {
	return slices.ContainsFunc(s.Lines, func(l Line) bool {
		return l.Event == eventConnectionBroke && l.Field("upstream") == upstream && l.Field("ended") == "true" && l.Field("leaving") == "false"
	})
}
