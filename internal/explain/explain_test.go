// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package explain

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const tsPrefix = "ts=2026-12-01T10:00:0"

// TestDetermineCause checks the cause for each way in which a request can end.
func TestDetermineCause(t *testing.T) {
	const placed = tsPrefix + `0.1Z msg=placed request=r upstream=e1` + "\n"
	for name, c := range map[string]struct {
		log  string
		want Cause
	}{
		"answered":                       {placed + tsPrefix + `1Z msg=answered request=r outcome=ok took=1s`, CauseAnswered},
		"an upstream's failure":          {tsPrefix + `1Z msg=answered request=r outcome=ok status=500 took=1s`, CauseUpstreamFailure},
		"a route that is unknown":        {tsPrefix + `1Z msg=answered request=r outcome=ok status=404 took=1s`, CauseAnswered},
		"refused":                        {tsPrefix + `1Z msg=refused request=r code=overloaded took=1s`, "refused: overloaded"},
		"the caller left, unanswered":    {tsPrefix + `1Z msg=refused request=r code=caller_left`, CauseCallerLeft},
		"the caller left, midway":        {placed + tsPrefix + `1Z msg=answered request=r outcome=caller_left`, CauseCallerLeft},
		"the host stopped":               {placed + tsPrefix + `0.5Z msg=stopping running=1` + "\n" + tsPrefix + `8Z msg=answered request=r outcome=interrupted`, CauseHostStopped},
		"the host stopped, unanswered":   {tsPrefix + `8Z msg=refused request=r code=interrupted may_have_run=true`, "refused: interrupted"},
		"the caller left a stopping one": {placed + tsPrefix + `0.5Z msg=stopping running=1` + "\n" + tsPrefix + `1Z msg=answered request=r outcome=caller_left`, CauseCallerLeft},
		"no end":                         {placed, CauseNoEnd},
		"the engine left":                {placed + tsPrefix + `1Z msg="engine leaves" request=r upstream=e1` + "\n" + tsPrefix + `2Z msg=answered request=r outcome=cut upstream=e1 err="unexpected EOF"`, CauseEngineLeft},
		"an earlier engine left":         {placed + tsPrefix + `1Z msg="engine leaves" request=r upstream=e0` + "\n" + tsPrefix + `2Z msg=answered request=r outcome=cut upstream=e1 err="unexpected EOF"`, CauseEngineGone},
		"the engine went":                {placed + tsPrefix + `2Z msg=answered request=r outcome=cut upstream=e1 err="unexpected EOF"`, CauseEngineGone},
		"the engine ended":               {placed + tsPrefix + `2Z msg="connection broke" request=r upstream=e1 ended=true leaving=false` + "\n" + tsPrefix + `2Z msg=answered request=r outcome=cut upstream=e1 err="unexpected EOF"`, CauseEngineEnded},
		"another engine had ended":       {placed + tsPrefix + `1Z msg="connection broke" request=r upstream=e0 ended=true leaving=false` + "\n" + tsPrefix + `2Z msg=answered request=r outcome=cut upstream=e1 err="unexpected EOF"`, CauseEngineGone},
		"held back":                      {tsPrefix + `1Z msg="held back" request=r upstreams_ended=3` + "\n" + tsPrefix + `1Z msg=refused request=r code=quarantined took=1ms`, "refused: quarantined"},
		"kept to a limit":                {tsPrefix + `1Z msg="kept back" request=r upstream=u1 per_second=4 wait=250ms` + "\n" + tsPrefix + `1Z msg=refused request=r code=overloaded kept_back=1 took=1ms`, CauseUpstreamsLimited},
		"full, and none kept":            {tsPrefix + `1Z msg=refused request=r code=overloaded kept_back=0 took=1ms`, "refused: overloaded"},
		"the link broke":                 {placed + tsPrefix + `2Z msg=answered request=r outcome=cut upstream=e1 err="read tcp: connection timed out"`, CauseLinkBroke},
		"the link broke, by a check":     {placed + tsPrefix + `2Z msg="link broke" request=r upstream=e1` + "\n" + tsPrefix + `2Z msg=answered request=r outcome=cut upstream=e1 err="unexpected EOF"`, CauseLinkBroke},
		"cut, and nothing tells why":     {placed + tsPrefix + `2Z msg=answered request=r outcome=cut upstream=e1 err=odd`, CauseCutUnknown},
		"lines that came out of order":   {tsPrefix + `2Z msg=answered request=r outcome=ok` + "\n" + placed, CauseAnswered},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lines, unread, err := Read("h1.log", strings.NewReader(c.log))
			is.NoErr(err)
			is.Equal(len(unread), 0)
			stories := Timelines(lines)
			is.Equal(len(stories), 1)
			is.Equal(stories[0].Cause, c.want)
		})
	}
}

// TestCauseIgnoresStopOfAnotherHost checks that a request that ends on one host is not
// reported as cut because another host stops.
func TestCauseIgnoresStopOfAnotherHost(t *testing.T) {
	is := is.New(t)
	stop, _, err := Read("h1.log", strings.NewReader(tsPrefix+"0Z msg=stopping\n"))
	is.NoErr(err)
	end, _, err := Read("h2.log", strings.NewReader(tsPrefix+"1Z msg=answered request=r outcome=caller_left\n"))
	is.NoErr(err)
	is.Equal(Timelines(append(stop, end...))[0].Cause, CauseCallerLeft)
}

// TestRead checks that each line is either parsed or reported with its position and a
// reason.
func TestRead(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		source string
		reason string
	}{
		"a plain line":             {tsPrefix + "0Z msg=placed request=r", "h1.log", ""},
		"a collector's prefix":     {"  12.5 entry-3 " + tsPrefix + "0Z msg=placed", "entry-3", ""},
		"no time":                  {"msg=placed request=r", "", "no field ts"},
		"a time in another field":  {"at x" + tsPrefix + "0Z", "", "no field ts"},
		"a time that is none":      {"ts=noon msg=placed", "", "field ts is not an RFC 3339 time"},
		"no event":                 {tsPrefix + "0Z request=r", "", "no field msg"},
		"a quote that doesn't end": {tsPrefix + `0Z msg="placed`, "", "logfmt syntax error"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lines, unread, err := Read("h1.log", strings.NewReader("\n"+c.text+"\n"))
			is.NoErr(err)
			if c.reason != "" {
				is.Equal(len(lines), 0)
				is.Equal(unread[0].File, "h1.log")
				is.Equal(unread[0].LineNumber, 2)
				is.True(strings.HasPrefix(unread[0].Reason, c.reason))
				return
			}
			is.Equal(len(unread), 0)
			is.Equal(lines[0].Source, c.source)
			is.Equal(lines[0].Timestamp, time.Date(2026, 12, 1, 10, 0, 0, 0, time.UTC))
		})
	}
}

// TestReadTooLong checks that a line longer than maxLineBytes gives an error.
func TestReadTooLong(t *testing.T) {
	_, _, err := Read("h1.log", strings.NewReader(strings.Repeat("x", maxLineBytes+1)))
	is.New(t).True(err != nil)
}
