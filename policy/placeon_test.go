// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPlaceOnLearnsFromOwnForecast checks that the prefill rate is learned from
// this pool's own forecast for runs that another decider placed. With the other
// decider's forecast, which doesn't depend on the rate learned here, the estimate
// never converges: a forecast of 20 ms for an actual 300 ms led, after about 100
// answers, to an estimate of 19 hours for a prompt of 50 tokens, and this decider
// refused all streams for engines of its own zone as late.
func TestPlaceOnLearnsFromOwnForecast(t *testing.T) {
	is := is.New(t)
	p := NewPool(Settings{InitialPrefillRate: 7000})
	p.SetEngines([]EngineID{"far"})
	now := time.Now()
	p.Report(now, Report{Engine: "far", TotalMemory: 1_000_000})
	const prompt, prefillTime = 50, 300 * time.Millisecond
	for n := range 300 {
		id := RunID(fmt.Sprint("r", n))
		d, ok := p.PlaceOn(now, Request{Run: id, PromptTokens: prompt, MaxOutputTokens: 100}, "far", 20*time.Millisecond)
		is.True(ok)
		is.Equal(d.TimeToFirstToken, 20*time.Millisecond) // the decision reports the other decider's forecast
		now = now.Add(prefillTime)
		p.RecordFirstToken(now, id)
		p.Finish(now, Finish{Run: id, GeneratedTokens: 10, Complete: true})
	}
	perSecond, _ := p.PrefillRate()
	tokensPerSecond := prompt / prefillTime.Seconds()
	is.True(perSecond > tokensPerSecond/2 && perSecond < 2*tokensPerSecond)
}
