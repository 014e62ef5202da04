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

// wireRollout is rollout.Status; times are in milliseconds.
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
		Service: string(s.Service), Target: string(s.Target), Lasts: s.Lasts.Milliseconds(), Age: s.Age.Milliseconds(),
		Withdrawn: s.Withdrawn, Phase: int(s.Phase), RecordedPhase: int(s.RecordedPhase),
	}
	w.GivenEra, w.Given = numbers(s.Given)
	w.RecordedEra, w.Record = numbers(s.Recorded)
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
			Service: resource.Name(w.Service), Target: rollout.Version(w.Target), Lasts: time.Duration(w.Lasts) * time.Millisecond,
			Given: point(w.GivenEra, w.Given), Withdrawn: w.Withdrawn,
		},
		Age: time.Duration(w.Age) * time.Millisecond, Recorded: point(w.RecordedEra, w.Record),
		RecordedPhase: rollout.Phase(w.RecordedPhase),
	}
	if p := rollout.Phase(w.Phase); p.Valid() {
		s.Phase = p
	}
	return s
}

func rollouts(w []wireRollout) []rollout.Status {
	var all []rollout.Status
	for _, r := range w {
		all = append(all, r.status())
	}
	return all
}

// wireRolloutReport is rollout.Report.
type wireRolloutReport struct {
	From, Service   string
	GivenEra, Given uint64
	Phase, Running  int
	Age             int64
	Epoch           uint64
	Evidence        []wireEvidence
}

// wireEvidence is rollout.Evidence. Times has the buckets that aren't empty, each before its count.
type wireEvidence struct {
	Route        string
	Measure      int
	Target       bool
	Good, Failed uint32
	Times        []uint32
}

func toWireRolloutReport(r rollout.Report) wireRolloutReport {
	w := wireRolloutReport{From: string(r.From), Service: string(r.Service), Phase: int(r.Phase), Running: r.Running, Age: r.Age.Milliseconds(), Epoch: r.Epoch}
	w.GivenEra, w.Given = numbers(r.Given)
	for _, e := range r.Evidence {
		evidence := wireEvidence{Route: e.Route, Measure: int(e.Measure), Target: e.Target, Good: e.Good, Failed: e.Failed}
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
		From: member.HostID(w.From), Service: resource.Name(w.Service), Given: point(w.GivenEra, w.Given),
		Phase: rollout.Phase(w.Phase), Running: w.Running, Age: time.Duration(max(w.Age, 0)) * time.Millisecond, Epoch: w.Epoch,
	}
	for _, e := range w.Evidence {
		evidence := rollout.Evidence{Subject: rollout.Subject{Route: e.Route, Measure: rollout.Measure(e.Measure)}, Target: e.Target}
		evidence.Good, evidence.Failed = e.Good, e.Failed
		for i := 0; i+1 < len(e.Times); i += 2 {
			if bucket := int(e.Times[i]); bucket < len(evidence.Times) {
				evidence.Times[bucket] = e.Times[i+1]
			}
		}
		r.Evidence = append(r.Evidence, evidence)
	}
	return r
}

// Rollout tells the peer that decides what was seen of a rollout.
func (m *Mesh) Rollout(ctx context.Context, to forward.Peer, r rollout.Report) (rollout.Status, error) {
	var answer wireRollout
	if err := m.call(ctx, to.PeerAddress, kindRollout, toWireRolloutReport(r), &answer); err != nil {
		return rollout.Status{}, err
	}
	return answer.status(), nil
}

func onRollout(f forwardPeer, body []byte) (any, error) {
	var w wireRolloutReport
	if err := msgpack.Unmarshal(body, &w); err != nil {
		return nil, trace.Wrap(err)
	}
	return toWireRollout(f.OnRollout(w.report())), nil
}

// wireRolloutEntry is forward.RolloutEntry.
type wireRolloutEntry struct {
	Status  wireRollout
	Decides string
	Against float64
	Seen    wireRolloutReport
}

// Rollouts asks a host for the rollouts that it knows.
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

func onRollouts(f forwardPeer) (any, error) {
	var w []wireRolloutEntry
	for _, e := range f.Rollouts() {
		w = append(w, wireRolloutEntry{
			Status: toWireRollout(e.Status), Decides: string(e.DecidingHost), Against: e.EvidenceAgainst, Seen: toWireRolloutReport(rollout.Report{Evidence: e.Evidence}),
		})
	}
	return w, nil
}
