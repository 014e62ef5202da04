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

// BenchmarkShare is what it costs a host to take a peer's share in and to answer it, with
// 120 upstreams and 20 runs of its own: 300 hosts do so some 500 times a second each. Before
// the marks of all upstreams were looked at only where there are some, and the runs listed
// only for those that are told them, 14 us (the median of three); since, 0.9.
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
		f.engines.pools["llm"].carry(policy.Request{Run: policy.RunID(fmt.Sprint("r", n)), Prompt: 3000}, list[n].ID)
	}
	share := Share{From: Peer{ID: "h2", Zone: "z1"}, Version: 1}
	for b.Loop() {
		f.OnShare(share)
	}
}
