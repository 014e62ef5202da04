// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/shedpath/shedpath/forward"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/resource"
	"github.com/shedpath/shedpath/rollout"
)

// wireRollout encodes rollout.Status; times are in milliseconds.
type wireRollout struct {
	Service, Target      string
	Lasts, Age           int64
	GivenEra, Given      uint64
	RecordedEra, Record  uint64
	Withdrawn            bool
	Phase, RecordedPhase int
}

func toWireRollout(s rollout.Status) wireRollout {
	w := wireRollout{
		Service: string(s.Service), Target: string(s.Target), Lasts: s.Duration.Milliseconds(), Age: s.Age.Milliseconds(),
		Withdrawn: s.Withdrawn, Phase: int(s.Phase), RecordedPhase: int(s.RecordedPhase),
	}
	w.GivenEra, w.Given = pointNumbers(s.GivenAt)
	w.RecordedEra, w.Record = pointNumbers(s.Recorded)
	return w
}

func toWireRollouts(all []rollout.Status) []wireRollout {
	var w []wireRollout
	for _, s := range all {
		w = append(w, toWireRollout(s))
	}
	return w
}

func (w wireRollout) status() rollout.Status {
	s := rollout.Status{
		Order: rollout.Order{
			Service: resource.Name(w.Service), Target: rollout.Version(w.Target), Duration: time.Duration(w.Lasts) * time.Millisecond,
			GivenAt: newPoint(w.GivenEra, w.Given), Withdrawn: w.Withdrawn,
		},
		Age: time.Duration(w.Age) * time.Millisecond, Recorded: newPoint(w.RecordedEra, w.Record),
		RecordedPhase: rollout.Phase(w.RecordedPhase),
	}
	if p := rollout.Phase(w.Phase); p.Valid() {
		s.Phase = p
	}
	return s
}

func rolloutStatuses(w []wireRollout) []rollout.Status {
	var all []rollout.Status
	for _, r := range w {
		all = append(all, r.status())
	}
	return all
}

// wireRolloutReport encodes rollout.Report; Age is in milliseconds.
type wireRolloutReport struct {
	From, Service   string
	GivenEra, Given uint64
	Phase, Running  int
	Age             int64
	Epoch           uint64
	Evidence        []wireEvidence
}

// wireEvidence encodes rollout.Evidence. Times holds the index and the count of each non-empty
// bucket, in pairs.
type wireEvidence struct {
	Route        string
	Measure      int
	Target       bool
	Good, Failed uint32
	Times        []uint32
}

func toWireRolloutReport(r rollout.Report) wireRolloutReport {
	w := wireRolloutReport{From: string(r.From), Service: string(r.Service), Phase: int(r.Phase), Running: r.RunningRetired, Age: r.Age.Milliseconds(), Epoch: r.Epoch}
	w.GivenEra, w.Given = pointNumbers(r.GivenAt)
	for _, e := range r.Evidence {
		evidence := wireEvidence{Route: e.Route, Measure: int(e.Measure), Target: e.Target, Good: e.Succeeded, Failed: e.Failed}
		for bucket, n := range e.Times {
			if n > 0 {
				evidence.Times = append(evidence.Times, uint32(bucket), n)
			}
		}
		w.Evidence = append(w.Evidence, evidence)
	}
	return w
}

func (w wireRolloutReport) report() rollout.Report {
	r := rollout.Report{
		From: member.HostID(w.From), Service: resource.Name(w.Service), GivenAt: newPoint(w.GivenEra, w.Given),
		Phase: rollout.Phase(w.Phase), RunningRetired: w.Running, Age: time.Duration(max(w.Age, 0)) * time.Millisecond, Epoch: w.Epoch,
	}
	for _, e := range w.Evidence {
		evidence := rollout.Evidence{Comparison: rollout.Comparison{Route: e.Route, Measure: rollout.Measure(e.Measure)}, Target: e.Target}
		evidence.Succeeded, evidence.Failed = e.Good, e.Failed
		for i := 0; i+1 < len(e.Times); i += 2 {
			if bucket := int(e.Times[i]); bucket < len(evidence.Times) {
				evidence.Times[bucket] = e.Times[i+1]
			}
		}
		r.Evidence = append(r.Evidence, evidence)
	}
	return r
}

// Rollout reports this host's evidence about a rollout to the peer that decides, and returns that
// peer's status of the rollout.
func (m *Mesh) Rollout(ctx context.Context, to forward.Peer, r rollout.Report) (rollout.Status, error) {
	var answer wireRollout
	if err := m.call(ctx, to.PeerAddress, kindRollout, toWireRolloutReport(r), &answer); err != nil {
		return rollout.Status{}, err
	}
	return answer.status(), nil
}

func onRollout(f forwardHandler, body []byte) (any, error) {
	var w wireRolloutReport
	if err := msgpack.Unmarshal(body, &w); err != nil {
		return nil, trace.Wrap(err)
	}
	return toWireRollout(f.OnRollout(w.report())), nil
}

// wireRolloutEntry encodes forward.RolloutEntry. Only the evidence of Seen is set.
type wireRolloutEntry struct {
	Status  wireRollout
	Decides string
	Against float64
	Seen    wireRolloutReport
}

// Rollouts fetches the rollouts that the host at an address knows.
func (m *Mesh) Rollouts(ctx context.Context, address string) ([]forward.RolloutEntry, error) {
	var answer []wireRolloutEntry
	if err := m.call(ctx, address, kindRollouts, true, &answer); err != nil {
		return nil, err
	}
	var all []forward.RolloutEntry
	for _, w := range answer {
		all = append(all, forward.RolloutEntry{
			Status: w.Status.status(), DecidingHost: member.HostID(w.Decides), EvidenceAgainst: w.Against, Evidence: w.Seen.report().Evidence,
		})
	}
	return all, nil
}

func onRollouts(f forwardHandler) (any, error) {
	var w []wireRolloutEntry
	for _, e := range f.Rollouts() {
		w = append(w, wireRolloutEntry{
			Status: toWireRollout(e.Status), Decides: string(e.DecidingHost), Against: e.EvidenceAgainst, Seen: toWireRolloutReport(rollout.Report{Evidence: e.Evidence}),
		})
	}
	return w, nil
}
