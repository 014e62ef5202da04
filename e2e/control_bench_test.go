// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package e2e

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// readMetric returns the current value of one of an entry's metrics.
func readMetric(b *testing.B, e *process, name string) float64 {
	b.Helper()
	response, err := http.Get(e.url("admin", "/metrics"))
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if value, found := strings.CutPrefix(scanner.Text(), name+" "); found {
			n, err := strconv.ParseFloat(value, 64)
			if err != nil {
				b.Fatal(err)
			}
			return n
		}
	}
	b.Fatalf("metric %s not found at %s", name, e.url("admin", "/metrics"))
	return 0
}

// residentBytes returns the resident set size of a process in bytes.
func residentBytes(b *testing.B, pid int) float64 {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		b.Skip("cannot read memory use from /proc: ", err)
	}
	pages, _ := strconv.Atoi(strings.Fields(string(text))[1])
	return float64(pages * os.Getpagesize())
}

// idleWindow is how long each measurement of the idle entries lasts.
const idleWindow = 10 * time.Second

// BenchmarkControl measures the peer traffic, CPU time and memory that idle
// entries of one zone use to keep in contact with each other, their engines and
// the platform. docs/CAPACITY.md takes its growth rates from the results.
func BenchmarkControl(b *testing.B) {
	for _, c := range []struct{ entries, engines int }{{3, 2}, {9, 2}, {24, 2}, {9, 26}} {
		b.Run(fmt.Sprintf("%d entries, %d engines", c.entries, c.engines), func(b *testing.B) {
			s := &site{t: b, platform: start(b, "dev", "platform", "--listen", "127.0.0.1:0")}
			for i := range c.engines {
				s.engines = append(s.engines, s.startEngine(3*i))
			}
			s.services = append(s.services, start(b, "dev", "service", "--listen", "127.0.0.1:0",
				"--id", "s1", "--zone", "az1", "--pool", "stock", "--platform", s.platformURL()))
			for i := range c.entries {
				// zoneForIndex places every third index in az1.
				s.entries = append(s.entries, s.startEntry(3*i, "--host-list-every", "5s"))
			}
			s.applyFile(s.entries[0], "../examples/site.yaml")
			for _, e := range s.entries {
				s.waitUntilServing(e)
			}
			for b.Loop() {
				measureIdleEntries(b, s)
			}
		})
	}
}

// measureIdleEntries reports the mean and maximum peer traffic and CPU use per
// entry over idleWindow, and the largest resident set size.
func measureIdleEntries(b *testing.B, s *site) {
	type reading struct{ sent, received, cpu float64 }
	read := func(e *process) reading {
		return reading{
			readMetric(b, e, "shedpath_peer_sent_bytes"), readMetric(b, e, "shedpath_peer_received_bytes"),
			processCPUTime(b, e.cmd.Process.Pid).Seconds(),
		}
	}
	var before []reading
	for _, e := range s.entries {
		before = append(before, read(e))
	}
	<-time.After(idleWindow)
	var sum, maximum reading
	memory := 0.0
	for i, e := range s.entries {
		current := read(e)
		used := reading{current.sent - before[i].sent, current.received - before[i].received, current.cpu - before[i].cpu}
		sum = reading{sum.sent + used.sent, sum.received + used.received, sum.cpu + used.cpu}
		maximum = reading{max(maximum.sent, used.sent), max(maximum.received, used.received), max(maximum.cpu, used.cpu)}
		memory = max(memory, residentBytes(b, e.cmd.Process.Pid))
	}
	n, window := float64(len(s.entries)), idleWindow.Seconds()
	b.ReportMetric(sum.sent/n/window, "sent-B/s")
	b.ReportMetric(maximum.sent/window, "most-sent-B/s")
	b.ReportMetric(sum.received/n/window, "received-B/s")
	b.ReportMetric(100*sum.cpu/n/window, "cpu-%")
	b.ReportMetric(100*maximum.cpu/window, "most-cpu-%")
	b.ReportMetric(memory/(1<<20), "most-MiB")
}
