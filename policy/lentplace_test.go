// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPlaceOnLearnsFromOwnForecast has a decider learn how fast engines read from first tokens at places
// that another decider gave, by its own foresight and not by the other's, which doesn't follow
// from what is learnt here. One that foresaw 20 ms in place of 300 had this one learn, from
// some 100 answers, that a prompt of 50 tokens is read in 19 hours; it then refused all streams
// for its own zone's engines as late.
func TestPlaceOnLearnsFromOwnForecast(t *testing.T) {
	is := is.New(t)
	p := NewPool(Settings{InitialPrefillRate: 7000})
	p.SetEngines([]EngineID{"far"})
	now := time.Now()
	p.Report(now, Report{Engine: "far", TotalMemory: 1_000_000})
	const prompt, took = 50, 300 * time.Millisecond
	for n := range 300 {
		id := RunID(fmt.Sprint("r", n))
		d, ok := p.PlaceOn(now, Request{Run: id, PromptTokens: prompt, MaxOutputTokens: 100}, "far", 20*time.Millisecond)
		is.True(ok)
		is.Equal(d.TimeToFirstToken, 20*time.Millisecond) // what the other foresaw is told
		now = now.Add(took)
		p.RecordFirstToken(now, id)
		p.Finish(now, Finish{Run: id, GeneratedTokens: 10, Complete: true})
	}
	perSecond, _ := p.PrefillRate()
	reads := prompt / took.Seconds()
	is.True(perSecond > reads/2 && perSecond < 2*reads)
}
