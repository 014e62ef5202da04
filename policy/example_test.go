// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy_test

import (
	"fmt"
	"time"

	"github.com/shedpath/shedpath/policy"
)

// A pool is told of its engines and asked for places; time is an argument.
func ExamplePool() {
	now := time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)
	pool := policy.NewPool(policy.Settings{})
	pool.SetEngines([]policy.EngineID{"g1"})
	pool.Report(now, policy.Report{Engine: "g1", TotalMemory: 10_000, StepTime: 20 * time.Millisecond})

	request := policy.Request{
		Run: "r1", Route: "quote", Account: "counter", PromptTokens: 300, Deadline: now.Add(10 * time.Second),
	}
	decision := pool.Submit(now, request)
	fmt.Println(decision.Verdict == policy.Granted, decision.Engine)

	pool.Finish(now.Add(time.Second), policy.Finish{Run: "r1", GeneratedTokens: 40, Complete: true})
	fmt.Println(pool.Running())
	// Output:
	// true g1
	// 0
}
