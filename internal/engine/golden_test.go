// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"testing"
	"time"

	"github.com/shedpath/shedpath/entry"
	"github.com/shedpath/shedpath/internal/golden"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// TestGoldenCalls pins the requests to engines, and how their answers are read.
func TestGoldenCalls(t *testing.T) {
	b := golden.Open(t, "calls")
	server := golden.Serve(t, nil)
	u := member.Upstream{ID: "engine-1", Address: server.Address}
	c, ctx := New(), t.Context()
	check := func(name string, err error, got, want any) {
		t.Helper()
		if err != nil {
			t.Error(err)
		}
		b.Text(name, server.Calls())
		golden.Equal(t, name, got, want)
	}
	run := golden.Cases(golden.NewFiller(time.Time{}), func(r *entry.RunRequest) { r.Body = []byte(`{"body":1}`) })[0]
	const mark = `{"state":"done","prompt_tokens":6,"completion_tokens":7}`
	server.Answer = "id: run-1/4\ndata: token\n\nid: run-1/5\nevent: end\ndata: " + mark + "\n\n"
	for _, shape := range []entry.Shape{entry.ShapeCompletion, entry.ShapeChat} {
		run.Shape = shape
		stream, err := c.Start(ctx, u, run)
		if err != nil {
			t.Fatal(err)
		}
		var events []entry.StreamEvent
		for event, err := range stream.Events(func() {}) {
			if err != nil {
				t.Error(err)
				break
			}
			events = append(events, event)
		}
		stream.Close()
		end := entry.RunResult{Complete: true, PromptTokens: 6, CompletionTokens: 7}
		check("run of "+string(shape), nil, events, []entry.StreamEvent{
			{Kind: entry.EventToken, Run: "run-1", Index: 4, Data: "token"}, {Kind: entry.EventEnd, Run: "run-1", Index: 5, Data: mark, End: end},
		})
	}
	stream, err := c.Resume(ctx, u, "run-1", 7)
	if err == nil {
		stream.Close()
	}
	check("resume", err, nil, nil)
	server.Answer = `{"memory_tokens":1,"used_tokens":2,"running":3,"waiting":4,"step_ns":5,"preemptions":6,"leaving":true,"models":{"m":"v"}}`
	load, err := c.Load(ctx, u)
	check("load", err, load, entry.EngineLoad{
		Report:      policy.Report{Engine: "engine-1", TotalMemory: 1, UsedMemory: 2, Running: 3, Waiting: 4, StepTime: 5},
		Preemptions: 6, Leaving: true, Models: map[string]string{"m": "v"},
	})
	server.Answer = `[{"seq":1,"prefix":"2a","tokens":3,"added":true}]`
	events, err := c.CacheEvents(ctx, u, 8)
	check("cache events", err, events, []policy.CacheEvent{{Seq: 1, Prefix: 42, Tokens: 3, Added: true}})
	check("order", c.Order(ctx, u, golden.Cases[entry.Order](golden.NewFiller(time.Time{}), nil)[0]), nil, nil)
}
