// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/shedpath/shedpath/entry"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// newTestHeartbeat returns a heartbeat with the given numbers of zones and pools, and of engines
// in each pool.
func newTestHeartbeat(zones, pools, engines int) entry.Heartbeat {
	h := entry.Heartbeat{From: member.Entry{ID: "entry-0123", Zone: "zone-01", PeerAddress: "10.11.12.13:8082"}, Revision: 4_000_000}
	for z := range zones {
		h.Zones = append(h.Zones, entry.ZoneStatus{Zone: member.Zone(fmt.Sprintf("zone-%02d", z)), Revision: 4_000_000, Entries: 23, Age: time.Second})
	}
	for p := range pools {
		status := entry.PoolStatus{Pool: "pool-01", Zone: "zone-01", FreeTokens: 100_000, Waiting: 10}
		for e := range engines {
			status.Reports = append(status.Reports, policy.Report{
				Engine: member.UpstreamID(fmt.Sprintf("engine-%d-%d", p, e)), TotalMemory: 400_000, UsedMemory: 300_000, Running: 200, StepTime: 30 * time.Millisecond,
			})
		}
		h.Pools = append(h.Pools, status)
	}
	return h
}

// BenchmarkHeartbeat measures the size of a heartbeat and the cost of encoding and
// decoding it.
func BenchmarkHeartbeat(b *testing.B) {
	for _, c := range []struct {
		name                  string
		zones, pools, engines int
	}{
		{"3 zones, no pool", 3, 0, 0},
		{"15 zones, no pool", 15, 0, 0},
		{"15 zones, 2 pools of 10 engines", 15, 2, 10},
	} {
		b.Run(c.name, func(b *testing.B) {
			h := newTestHeartbeat(c.zones, c.pools, c.engines)
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				body, err := encode(toWireHeartbeat(h))
				if err != nil {
					b.Fatal(err)
				}
				message, err := appendFrame(nil, &frame{ID: 1 << 20, Kind: kindHeartbeat, Body: body})
				if err != nil {
					b.Fatal(err)
				}
				size = len(message)
				if _, err := onHeartbeat(time.Now(), &recordingHandler{}, body); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkGrantCall measures the total size of the messages for the placement of one
// generation: the request, the decision, the end and a bare reply.
func BenchmarkGrantCall(b *testing.B) {
	asked := policy.Request{
		Run: "abcdefghijklmnop", Route: "route-12", Account: "account-1234", Priority: 3, PromptTokens: 3000,
		MaxOutputTokens: 8000, Prefix: 1 << 60, PrefixTokens: 1024, QueueBytes: 12_000, Deadline: time.Now().Add(20 * time.Second),
	}
	size := 0
	for b.Loop() {
		size = 0
		for _, part := range []any{
			wirePlaceRequest{Pool: "pool-01", Asked: []wireRequest{toWireRequest(time.Now(), asked)}},
			toWireDecisions("pool-01", []policy.Decision{{Run: asked.Run, Verdict: policy.Granted, Engine: "engine-123", Priority: 200}}),
			wireFinished{Pool: "pool-01", Finished: []wireFinish{{Run: string(asked.Run), Made: 400, Whole: true}}},
			true,
		} {
			body, err := encode(part)
			if err != nil {
				b.Fatal(err)
			}
			message, err := appendFrame(nil, &frame{ID: 1 << 20, Kind: kindPlace, Body: body})
			if err != nil {
				b.Fatal(err)
			}
			size += len(message)
		}
	}
	b.ReportMetric(float64(size), "bytes")
}
