// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/shedpath/shedpath/backoff"
	"github.com/shedpath/shedpath/eligibility"
	"github.com/shedpath/shedpath/enginereport"
	"github.com/shedpath/shedpath/entry"
	"github.com/shedpath/shedpath/forward"
	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/intake"
	"github.com/shedpath/shedpath/internal/golden"
	"github.com/shedpath/shedpath/pace"
	"github.com/shedpath/shedpath/permit"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/quarantine"
	"github.com/shedpath/shedpath/ratelimit"
	"github.com/shedpath/shedpath/uplink"
	"github.com/shedpath/shedpath/zoneload"
)

// metricsOf lists a registry's own metrics: name, type, labels, bounds of the buckets, and the value,
// by which two of the same labels differ. None may be missing.
func metricsOf(t *testing.T, all *prometheus.Registry) string {
	families, err := all.Gather()
	if err != nil {
		t.Fatal(err)
	}
	descriptions := make(chan *prometheus.Desc, 1000)
	all.Describe(descriptions)
	close(descriptions)
	var lines []string
	described := map[string]bool{}
	for d := range descriptions {
		_, name, _ := strings.Cut(d.String(), `fqName: "`)
		name, _, _ = strings.Cut(name, `"`)
		described[name] = true
	}
	for _, family := range families {
		delete(described, family.GetName())
		if !strings.HasPrefix(family.GetName(), "shedpath_") {
			continue
		}
		for _, m := range family.GetMetric() {
			var labels []string
			for _, l := range m.GetLabel() {
				labels = append(labels, l.GetName()+"="+l.GetValue())
			}
			var bounds []float64
			for _, bucket := range m.GetHistogram().GetBucket() {
				bounds = append(bounds, bucket.GetUpperBound())
			}
			lines = append(lines, strings.TrimSpace(fmt.Sprintln(family.GetName(), family.GetType(), labels, bounds,
				m.GetCounter().GetValue()+m.GetGauge().GetValue()+m.GetHistogram().GetSampleSum())))
		}
	}
	if len(described) > 0 {
		t.Errorf("these metrics weren't touched: %v", described)
	}
	slices.Sort(lines)
	return strings.Join(slices.Compact(lines), "\n")
}

// TestGoldenMetrics pins the names, types and labels of all metrics. Those of the runtime and of the
// process aren't this module's.
func TestGoldenMetrics(t *testing.T) {
	b := golden.Open(t, "metrics")
	m := NewEntryMetrics(log.NewNopLogger())
	m.FirstToken("pool-1", time.Second)
	m.BetweenTokens("pool-1", 2*time.Second)
	m.Waited("pool-1", 3*time.Second)
	for _, run := range []entry.RunState{entry.NotRun, entry.Unknown, entry.Partial} {
		m.CallEnded("kind-1", "outcome-1", run)
	}
	m.Placed("pool-1", "by-1")
	m.Refused("pool-1", "reason-1")
	m.EngineLoad("pool-1", entry.EngineLoad{Preemptions: 4, Report: policy.Report{Engine: "engine-1", UsedMemory: 5, Running: 6, TotalMemory: 7, Waiting: 8}})
	m.Retried("why-2")
	m.Resumed("why-3")
	m.Withheld("what-1")
	m.PlatformCall("call-1", "outcome-1")
	m.Connected("outcome-2")
	m.Carried("h1", uplink.Target{}, uplink.ErrBusy)
	b.Text("entry", metricsOf(t, m.promRegistry))

	f := NewForward(io.Discard)
	defer f.Close()
	for _, k := range []forward.Kind{forward.KindSafe, forward.KindUnsafe, forward.KindStream} {
		f.Answered(k, "outcome-1", time.Second)
	}
	for range 31 {
		f.Accepted()
	}
	f.Repeated("why-1")
	f.Moved("outcome-2", 2*time.Second)
	f.FirstEvent(3 * time.Second)
	f.EventGap(4 * time.Second)
	f.Suspended(5 * time.Second)
	f.Panicked()
	f.Hung("lock")
	f.Hung("request")
	f.UnreadableEntries(6)
	f.StoreCall("call-1", "outcome-3")
	f.Connected("outcome-4")
	f.ConnectionTaken()
	f.ConnectionClosed(intake.LinkOut)
	f.Carried("h1", uplink.Target{}, uplink.ErrBusy)
	f.ConnectionBroken(true)
	f.ConnectionBroken(false)
	for _, i := range []forward.Identity{forward.IdentitySame, forward.IdentityPresumed, forward.IdentityOther, forward.IdentityEnded, forward.IdentityUnknown} {
		f.Identified(i)
	}
	for _, o := range []permit.Outcome{permit.Granted, permit.Deferred, permit.OwnTurn, permit.NoTurn} {
		f.Permit(o)
	}
	for n, o := range []forward.AdmissionOutcome{forward.AdmissionGranted, forward.AdmissionRefused, forward.AdmissionLeft, forward.AdmissionFallback} {
		f.Admission(o, time.Duration(n+26)*time.Second)
	}
	for _, k := range []forward.SignalKind{forward.SignalLeaving, forward.SignalBackoff, forward.SignalLimit, forward.SignalUnusable} {
		f.Signal(k)
	}
	for _, r := range []eligibility.Reason{
		eligibility.Unknown, eligibility.Leaving, eligibility.Unusable, eligibility.ZoneOutOfService, eligibility.RegionBarred,
		eligibility.VersionBarred, eligibility.Quarantined, eligibility.Backoff, eligibility.Limited,
	} {
		f.Send(eligibility.Verdict{Reason: r})
		f.Send(eligibility.Verdict{Overridden: r})
	}
	for _, o := range []enginereport.Outcome{enginereport.Received, enginereport.NoAnswer, enginereport.Unusable, enginereport.Outdated, enginereport.PeerUnusable} {
		f.EngineReport(o)
	}
	for _, o := range []zoneload.Outcome{zoneload.Granted, zoneload.NoRoom, zoneload.Unreachable, zoneload.Unusable} {
		f.ZoneShift(o)
	}
	f.WatchSignals(func() map[forward.LeavingSource]int {
		return map[forward.LeavingSource]int{
			forward.SourceList: 11, forward.SourceUpstream: 12, forward.SourceHost: 13, forward.SourcePeer: 14, forward.SourceRollout: 15,
		}
	}, func() []backoff.Status { return []backoff.Status{{Remaining: 1}, {Remaining: 2}, {}} })
	f.WatchUnreached(func() int { return 31 })
	f.WatchRelisted(func() int { return 32 })
	f.WatchPeers(func() int { return 16 })
	f.WatchLoad(&intake.Meter{Link: &intake.Link{Peers: func() (int64, int64) { return 17, 18 }}})
	f.WatchZoneQueue(func() int { return 30 })
	f.WatchOverdue(func() time.Duration { return 32 * time.Second })
	f.WatchEra(func() history.Era { return 17 }, func() int { return 18 })
	f.WatchLearnt(func() []forward.EngineEstimate {
		return []forward.EngineEstimate{{Service: "service-1", PrefillRate: 19, PrefillSamples: 20, StepTime: 21 * time.Second, StepSamples: 22, Age: 23 * time.Second}}
	})
	f.WatchPaces(func() []forward.PaceStatus {
		return []forward.PaceStatus{{Service: "service-1", Active: true, IgnoredMarks: 26, Engines: []forward.EnginePace{
			{Engine: "engine-1", Estimate: pace.Estimate{Step: 27 * time.Second, SlowStep: 28 * time.Second, Samples: 29, Age: 30 * time.Second}},
		}}}
	})
	f.WatchPacePlacements(func() []forward.PacePlacements {
		return []forward.PacePlacements{{Service: "service-1", PacePlacements: policy.PacePlacements{WithinBound: 26, LastResort: 27, Unknown: 28}}}
	})
	f.WatchMoves(func() []forward.MoveStatus {
		return []forward.MoveStatus{{Service: "service-1", Runs: 26, Places: 27, Held: 28, Notice: 29 * time.Second, Departures: 30, PaceMoved: 31, PaceFailed: 32}}
	})
	f.WatchLimits(func() []ratelimit.LimitStatus {
		return []ratelimit.LimitStatus{{Upstream: "upstream-1", NamedRate: 24, EffectiveRate: 25}}
	})
	f.WatchQuarantine(func() []quarantine.Entry {
		suspect, held := quarantine.Evidence{Standing: quarantine.Suspect}, quarantine.Evidence{Standing: quarantine.Held}
		return []quarantine.Entry{{Evidence: suspect}, {Evidence: held}, {Evidence: held}}
	})
	b.Text("forwarder", metricsOf(t, f.promRegistry))
}
