// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package e2e

import (
	"encoding/json"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shedpath/shedpath/internal/load"
)

const (
	placementEntries  = 3
	placementEngines  = 4
	placementRate     = 38
	placementDuration = 40 * time.Second
)

// preemptionCount returns how many runs an engine has preempted so far.
func preemptionCount(b *testing.B, engine *process) (count int) {
	b.Helper()
	response, err := http.Get(engine.url("listen", "/v1/load"))
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	var body struct{ Preemptions int }
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		b.Fatal(err)
	}
	return body.Preemptions
}

// BenchmarkPlacement measures placement by three entries over four engines of
// one zone, all as separate processes, under generation load. It compares entries
// that place through a coordinator with entries that place alone, both
// undisturbed and with one entry frozen for two seconds and later killed.
func BenchmarkPlacement(b *testing.B) {
	for _, c := range []struct {
		name   string
		args   []string
		strike bool
	}{
		{"coordinated", nil, false},
		{"alone", []string{"--alone"}, false},
		{"coordinated, coordinator frozen and killed", nil, true},
		{"alone, one frozen and killed", []string{"--alone"}, true},
	} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				runPlacement(b, c.args, c.strike)
			}
		})
	}
}

// runPlacement starts a site, applies load for placementDuration and reports
// latency, preemptions and throughput. With disruptCoordinator, one entry gets
// no load: it is frozen after a quarter of the time and killed after half.
func runPlacement(b *testing.B, args []string, disruptCoordinator bool) {
	s := &site{t: b, platform: start(b, "dev", "platform", "--listen", "127.0.0.1:0")}
	for i := range placementEngines {
		// zoneForIndex places every third index in az1.
		s.engines = append(s.engines, s.startEngine(3*i, "--memory", "24000", "--max-batch", "256"))
	}
	s.services = append(s.services, start(b, "dev", "service", "--listen", "127.0.0.1:0",
		"--id", "s1", "--zone", "az1", "--pool", "stock", "--platform", s.platformURL()))
	for i := range placementEntries {
		s.entries = append(s.entries, s.startEntry(3*i, args...))
	}
	s.applyFile(s.entries[0], "../examples/site.yaml")
	var urls []string
	for _, e := range s.entries {
		s.waitUntilServing(e)
		urls = append(urls, e.url("caller", ""))
	}
	victim, survivors := s.findCoordinator("desk"), urls
	if disruptCoordinator {
		survivors = nil
		for _, e := range s.entries {
			if e != victim {
				survivors = append(survivors, e.url("caller", ""))
			}
		}
		time.AfterFunc(placementDuration/4, func() { victim.signal(syscall.SIGSTOP) })
		time.AfterFunc(placementDuration/4+2*time.Second, func() { victim.signal(syscall.SIGCONT) })
		time.AfterFunc(placementDuration/2, func() { victim.signal(syscall.SIGKILL) })
	}
	report := load.Run(b.Context(), load.Settings{
		Entries: survivors, Key: callerKey, Rate: placementRate, Duration: placementDuration, Seed: 1,
		Mix: load.Mix{Kinds: []load.Kind{{Name: "quote", Share: 1, Model: "quote", PromptTokens: 300, MaxTokens: 1500}}},
	})
	preempted := 0
	for _, engine := range s.engines {
		preempted += preemptionCount(b, engine)
	}
	quote := report.Kinds["quote"]
	b.ReportMetric(1000*float64(preempted)/float64(quote.Calls), "preempted/1000")
	b.ReportMetric(quote.BetweenTokens.P99, "gap-p99-ms")
	b.ReportMetric(float64(quote.StallMillis)/float64(quote.Calls), "stall-ms/call")
	b.ReportMetric(quote.FirstToken.P95, "first-p95-ms")
	b.ReportMetric(100*float64(quote.Refused)/float64(quote.Calls), "refused-%")
	b.ReportMetric(float64(quote.Tokens)/report.Seconds, "tokens/s")
	if quote.OutOfOrder+quote.Broken > 0 {
		b.Errorf("%d streams delivered tokens out of order and %d broke off, expected none", quote.OutOfOrder, quote.Broken)
	}
}

// findCoordinator returns the entry that coordinates a pool in az1, or the first
// entry if the status output names no coordinator of the pool.
func (s *site) findCoordinator(pool string) *process {
	out, err := s.runOperatorCommand(s.entries[0], "status")
	if err != nil {
		s.t.Fatal(err)
	}
	for i, e := range s.entries {
		// Entry i was started with index 3*i, so its host ID is e(3*i+1).
		if strings.Contains(out, pool+"  e"+string(rune('1'+3*i))) {
			return e
		}
	}
	return s.entries[0]
}
