// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"math"
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/pace"
)

// wirePace encodes pace.Mark; Base, Step and Slow are in microseconds, Age is in milliseconds.
type wirePace struct {
	Engine     string
	Life       int64
	Base       int64
	Step, Slow int64
	N          int
	Age        int64
}

func toWirePaces(marks []pace.Mark) []wirePace {
	var w []wirePace
	for _, m := range marks {
		w = append(w, wirePace{
			Engine: string(m.Engine), Life: m.Incarnation, Base: m.BaseStep.Microseconds(), Step: m.Step.Microseconds(), Slow: m.SlowStep.Microseconds(), N: m.Samples, Age: m.Age.Milliseconds(),
		})
	}
	return w
}

// paceMarks decodes marks. Their values are checked where they are used; a value that doesn't fit a
// time.Duration must not become a valid one.
func paceMarks(w []wirePace) []pace.Mark {
	var marks []pace.Mark
	for _, m := range w {
		marks = append(marks, pace.Mark{
			Engine: member.UpstreamID(m.Engine), Incarnation: m.Life, BaseStep: duration(m.Base, time.Microsecond), Step: duration(m.Step, time.Microsecond), SlowStep: duration(m.Slow, time.Microsecond),
			Samples: m.N, Age: duration(m.Age, time.Millisecond),
		})
	}
	return marks
}

// duration returns n units, or the longest or shortest duration if they don't fit.
func duration(n int64, unit time.Duration) time.Duration {
	switch most := math.MaxInt64 / int64(unit); {
	case n > most:
		return math.MaxInt64
	case n < -most:
		return math.MinInt64
	}
	return time.Duration(n) * unit
}
