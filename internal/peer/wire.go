// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"time"

	"github.com/shedpath/shedpath/entry"
	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/resource"
)

// The kinds of calls.
const (
	kindHeartbeat callKind = iota + 1
	kindPlace
	kindDecided
	kindFinished
	kindRunning
	kindLog
	kindShare
	kindFollow
	kindTurn
	kindEndTurn
	kindConfig
	kindAsk
	kindQuarantine
	kindPermit
	kindRollout
	kindRollouts
	kindAdmit
	kindClaimRepair
	kindTunnel
	kindBackoff
	kindLend
)

// The wire types are encoded as arrays, to keep heartbeats small: the order and number of their
// fields are the format. Deadlines are sent as the remaining time, because the hosts' clocks
// differ.

// wireHeartbeat encodes entry.Heartbeat.
type wireHeartbeat struct {
	ID       string
	Zone     string
	Address  string
	Revision uint64
	Leaving  bool
	Gone     []string
	Zones    []wireZone
	Pools    []wirePool
	Epoch    uint64
	Crashes  []wireCrashMark
	Era      uint64
}

// wireClaimRepair encodes entry.ClaimRepair.
type wireClaimRepair struct {
	Era        uint64
	Unfinished bool
}

func toWireClaimRepair(r entry.ClaimRepair) wireClaimRepair {
	return wireClaimRepair{Era: uint64(r.Era), Unfinished: r.Unfinished}
}

func (w wireClaimRepair) claimRepair() entry.ClaimRepair {
	return entry.ClaimRepair{Era: history.Era(w.Era), Unfinished: w.Unfinished}
}

// wireZone encodes entry.ZoneStatus.
type wireZone struct {
	Zone     string
	Revision uint64
	Entries  int
	Age      time.Duration
}

// wirePool encodes entry.PoolStatus.
type wirePool struct {
	Pool    string
	Zone    string
	Free    int
	Waiting int
	Reports []wireReport
}

// wireReport encodes policy.Report.
type wireReport struct {
	Engine  string
	Memory  int
	Used    int
	Running int
	Waiting int
	// StepMicros is the time of a step in microseconds; a finer unit isn't needed.
	StepMicros int64
}

func toWireHeartbeat(h entry.Heartbeat) wireHeartbeat {
	w := wireHeartbeat{
		ID: string(h.From.ID), Zone: string(h.From.Zone), Address: h.From.PeerAddress,
		Revision: uint64(h.Revision), Leaving: h.Leaving, Epoch: h.Epoch, Crashes: toWireCrashMarks(h.Crashes), Era: uint64(h.Era),
	}
	for _, id := range h.LeavingUpstreams {
		w.Gone = append(w.Gone, string(id))
	}
	for _, z := range h.Zones {
		w.Zones = append(w.Zones, wireZone{Zone: string(z.Zone), Revision: uint64(z.Revision), Entries: z.Entries, Age: z.Age})
	}
	for _, p := range h.Pools {
		w.Pools = append(w.Pools, toWirePool(p))
	}
	return w
}

func toWirePool(p entry.PoolStatus) wirePool {
	w := wirePool{Pool: string(p.Pool), Zone: string(p.Zone), Free: int(p.FreeTokens), Waiting: p.Waiting}
	for _, r := range p.Reports {
		w.Reports = append(w.Reports, wireReport{
			Engine: string(r.Engine), Memory: int(r.TotalMemory), Used: int(r.UsedMemory),
			Running: r.Running, Waiting: r.Waiting, StepMicros: r.StepTime.Microseconds(),
		})
	}
	return w
}

func (w wireHeartbeat) heartbeat() entry.Heartbeat {
	h := entry.Heartbeat{
		From:     member.Entry{ID: member.HostID(w.ID), Zone: member.Zone(w.Zone), PeerAddress: w.Address},
		Revision: resource.Revision(w.Revision), Leaving: w.Leaving, Epoch: w.Epoch, Crashes: crashMarks(w.Crashes), Era: history.Era(w.Era),
	}
	for _, id := range w.Gone {
		h.LeavingUpstreams = append(h.LeavingUpstreams, member.UpstreamID(id))
	}
	for _, z := range w.Zones {
		h.Zones = append(h.Zones, entry.ZoneStatus{
			Zone: member.Zone(z.Zone), Revision: resource.Revision(z.Revision), Entries: z.Entries, Age: z.Age,
		})
	}
	for _, p := range w.Pools {
		h.Pools = append(h.Pools, p.status())
	}
	return h
}

func (w wirePool) status() entry.PoolStatus {
	p := entry.PoolStatus{
		Pool: resource.Name(w.Pool), Zone: member.Zone(w.Zone), FreeTokens: policy.Tokens(w.Free), Waiting: w.Waiting,
	}
	for _, r := range w.Reports {
		p.Reports = append(p.Reports, policy.Report{
			Engine: member.UpstreamID(r.Engine), TotalMemory: policy.Tokens(r.Memory), UsedMemory: policy.Tokens(r.Used),
			Running: r.Running, Waiting: r.Waiting, StepTime: time.Duration(r.StepMicros) * time.Microsecond,
		})
	}
	return p
}

// wireRequest encodes policy.Request. Left is the time until the deadline.
type wireRequest struct {
	Run          string
	Route        string
	Account      string
	Priority     int
	Prompt       int
	Limit        int
	Prefix       uint64
	PrefixTokens int
	Bytes        int
	Left         time.Duration
	Avoid        string
	AvoidAlso    []string
}

func toWireRequest(now time.Time, r policy.Request) wireRequest {
	w := wireRequest{
		Run: string(r.Run), Route: string(r.Route), Account: string(r.Account), Priority: r.Priority,
		Prompt: int(r.PromptTokens), Limit: int(r.MaxOutputTokens), Prefix: r.Prefix, PrefixTokens: int(r.PrefixTokens),
		Bytes: r.QueueBytes, Left: r.Deadline.Sub(now), Avoid: string(r.PreviousEngine),
	}
	for _, id := range r.ExcludedEngines {
		w.AvoidAlso = append(w.AvoidAlso, string(id))
	}
	return w
}

func (w wireRequest) request(now time.Time) policy.Request {
	r := policy.Request{
		Run: policy.RunID(w.Run), Route: resource.Name(w.Route), Account: resource.Account(w.Account),
		Priority: w.Priority, PromptTokens: policy.Tokens(w.Prompt), MaxOutputTokens: policy.Tokens(w.Limit),
		Prefix: w.Prefix, PrefixTokens: policy.Tokens(w.PrefixTokens), QueueBytes: w.Bytes,
		Deadline: now.Add(w.Left), PreviousEngine: member.UpstreamID(w.Avoid),
	}
	for _, id := range w.AvoidAlso {
		r.ExcludedEngines = append(r.ExcludedEngines, member.UpstreamID(id))
	}
	return r
}

type wirePlaceRequest struct {
	Pool  string
	Asked []wireRequest
}

// wireDecision encodes policy.Decision.
type wireDecision struct {
	Run        string
	Verdict    int
	Engine     string
	Priority   int
	Reason     string
	RetryAfter time.Duration
	Waited     time.Duration
}

type wireDecisions struct {
	Pool      string
	Decisions []wireDecision
}

func toWireDecisions(pool resource.Name, decisions []policy.Decision) wireDecisions {
	w := wireDecisions{Pool: string(pool)}
	for _, d := range decisions {
		w.Decisions = append(w.Decisions, wireDecision{
			Run: string(d.Run), Verdict: int(d.Verdict), Engine: string(d.Engine), Priority: d.Priority,
			Reason: string(d.Reason), RetryAfter: d.RetryAfter, Waited: d.Waited,
		})
	}
	return w
}

func (w wireDecisions) decisions() []policy.Decision {
	decisions := make([]policy.Decision, 0, len(w.Decisions))
	for _, d := range w.Decisions {
		decisions = append(decisions, policy.Decision{
			Run: policy.RunID(d.Run), Verdict: policy.Verdict(d.Verdict), Engine: member.UpstreamID(d.Engine),
			Priority: d.Priority, Reason: policy.Reason(d.Reason), RetryAfter: d.RetryAfter, Waited: d.Waited,
		})
	}
	return decisions
}

// wireFinish encodes policy.Finish.
type wireFinish struct {
	Run   string
	Made  int
	Whole bool
}

type wireFinished struct {
	Pool     string
	Finished []wireFinish
}

// wireRun encodes entry.PlacedRun.
type wireRun struct {
	Request wireRequest
	Engine  string
	Made    int
}

type wireRunning struct {
	Pool string
	Runs []wireRun
}

// wireLogRequest asks for the log after a revision.
type wireLogRequest struct {
	After uint64
}

// wireLogTail encodes entry.LogTail. The snapshot and the entries are JSON, the form in which they
// are stored and checked.
type wireLogTail struct {
	Snapshot []byte
	Entries  []byte
}
