// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/forward"
	"github.com/shedpath/shedpath/quarantine"
)

// TestDecisionLogAndCount checks that a decision is logged as one line with its request ID
// and that answers are counted in the served metrics.
func TestDecisionLogAndCount(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	f := NewForward(&out)
	f.Request("r1", "placed", "upstream", "i-1", "waited", time.Millisecond)
	f.HostEvent("stopping", "running", 3)
	f.Accepted()
	is.Equal(f.InProgress(), int64(1))
	f.Answered(forward.KindSafe, "ok", time.Millisecond)
	is.Equal(f.InProgress(), int64(0))
	f.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 2)
	is.True(strings.Contains(lines[0], "msg=placed request=r1 upstream=i-1 waited=1ms"))
	page := httptest.NewRecorder()
	f.Handler().ServeHTTP(page, httptest.NewRequest("GET", "/metrics", nil))
	is.True(strings.Contains(page.Body.String(), `shedpath_answers_total{kind="safe",outcome="ok"} 1`))
}

// TestEngineEstimateMetrics checks that the metrics export the estimates, their sample
// counts and their age.
func TestEngineEstimateMetrics(t *testing.T) {
	is := is.New(t)
	f := NewForward(io.Discard)
	defer f.Close()
	f.WatchLearnt(func() []forward.EngineEstimate {
		return []forward.EngineEstimate{{Service: "llm", PrefillRate: 7300, PrefillSamples: 12, StepTime: 9 * time.Millisecond, StepSamples: 40, Age: 2 * time.Second}}
	})
	page := httptest.NewRecorder()
	f.Handler().ServeHTTP(page, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`shedpath_learnt_read_tokens_per_second{service="llm"} 7300`, `shedpath_learnt_read_samples{service="llm"} 12`,
		`shedpath_learnt_step_seconds{service="llm"} 0.009`, `shedpath_learnt_step_samples{service="llm"} 40`,
		`shedpath_learnt_age_seconds{service="llm"} 2`,
	} {
		is.True(strings.Contains(page.Body.String(), want))
	}
}

// TestQuarantineMetric checks that the metrics count suspected and held requests.
func TestQuarantineMetric(t *testing.T) {
	is := is.New(t)
	f := NewForward(io.Discard)
	defer f.Close()
	f.WatchQuarantine(func() []quarantine.Entry {
		return []quarantine.Entry{
			{Evidence: quarantine.Evidence{Standing: quarantine.Held, UpstreamsEnded: 3}},
			{Evidence: quarantine.Evidence{Standing: quarantine.Suspect, UpstreamsEnded: 1}},
			{Evidence: quarantine.Evidence{Standing: quarantine.Suspect, UpstreamsEnded: 2}},
			{Request: quarantine.PartFingerprint("llm", "x"), Evidence: quarantine.Evidence{Standing: quarantine.Held, UpstreamsEnded: 3}},
		}
	})
	page := httptest.NewRecorder()
	f.Handler().ServeHTTP(page, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{`shedpath_quarantine_requests{standing="held"} 1`, `shedpath_quarantine_requests{standing="suspect"} 2`, `shedpath_quarantine_parts{standing="held"} 1`, `shedpath_quarantine_parts{standing="suspect"} 0`} {
		is.True(strings.Contains(page.Body.String(), want))
	}
}

// blockedWriter blocks each write until unblock is closed.
type blockedWriter struct{ unblock chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	return len(p), nil
}

// TestRingLogDropsWhenWriterBlocks checks that callers don't block and that lines are dropped
// and counted while the underlying writer is blocked.
func TestRingLogDropsWhenWriterBlocks(t *testing.T) {
	is := is.New(t)
	w := blockedWriter{unblock: make(chan struct{})}
	r := NewRingLog(w)
	for range 3 * ringCapacity {
		_, err := io.WriteString(r, "line\n")
		is.NoErr(err)
	}
	is.True(r.Dropped() >= 2*ringCapacity-1)
	close(w.unblock)
	r.Close()
}

// TestSamplerKeepsWholeRequests checks that above the log's rate a request is either logged
// with all its lines or not at all.
func TestSamplerKeepsWholeRequests(t *testing.T) {
	is := is.New(t)
	var s sampler
	now := time.Unix(100, 0)
	for n := range 4 * maxLinesPerSecond {
		is.True(s.shouldLog(now, fmt.Sprint("r", n))) // the first second sets the rate
	}
	now = now.Add(time.Second)
	kept := 0
	for n := range 1000 {
		id := fmt.Sprint("r", n)
		first := s.shouldLog(now, id)
		is.Equal(s.shouldLog(now, id), first)
		if first {
			kept++
		}
	}
	is.True(kept > 100 && kept < 300) // about one in five
}
