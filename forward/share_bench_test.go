// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// BenchmarkShare measures how long a host takes to process a peer's share and to answer it, with
// 120 upstreams and 20 runs of its own. In a site of 300 hosts each host does so about 500 times a
// second. It shows two costs to avoid, which make a share more than ten times as expensive: looking
// through all upstreams for marks when there are none, and listing the runs for a peer that doesn't
// receive them.
func BenchmarkShare(b *testing.B) {
	f := New(Settings{Self: Peer{ID: "h1", Zone: "z1"}}, &fakeTransport{}, silentJournal{}, silentObserver{})
	now := time.Now()
	var list []Upstream
	for n := range 120 {
		list = append(list, llmUpstream(member.UpstreamID(fmt.Sprint("llm", n)), 1, false))
	}
	f.fleet.Replace(now, list, rev(1))
	f.Configure(now, testConfig(1))
	for n := range 20 {
		f.engines.pools["llm"].addOwnRun(policy.Request{Run: policy.RunID(fmt.Sprint("r", n)), PromptTokens: 3000}, list[n].ID)
	}
	share := Share{From: Peer{ID: "h2", Zone: "z1"}, Version: 1}
	for b.Loop() {
		f.OnShare(share)
	}
}
