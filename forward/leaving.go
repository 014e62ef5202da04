// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"github.com/shedpath/shedpath/member"
)

// LeavingSource is the source that first reported that an upstream leaves.
type LeavingSource string

// The sources of a report that an upstream leaves.
const (
	// SourceList is the list of upstreams.
	SourceList LeavingSource = "list"
	// SourceUpstream is the upstream itself, in an answer.
	SourceUpstream LeavingSource = "upstream"
	// SourceHost is this host's own observation, such as a failed health check.
	SourceHost LeavingSource = "host"
	// SourcePeer is another host.
	SourcePeer LeavingSource = "peer"
	// SourceRollout is a rollout that has taken the upstream's version out of service.
	SourceRollout LeavingSource = "rollout"
)

// LeavingMark is a host's report to its peers that an upstream leaves.
type LeavingMark struct {
	Upstream    member.UpstreamID
	Incarnation Incarnation
	// Remaining is how long the upstream will still serve; zero if unknown.
	Remaining time.Duration
	// Declared says that the upstream itself or the list reported that it leaves, rather than
	// that a host observed a sign of it.
	Declared bool
}

const (
	// observedLeavingShareTime is how long a host shares its own observation that an upstream
	// leaves, or passes on a peer's report.
	observedLeavingShareTime = 3 * time.Second
	// declaredLeavingShareTime is how long a host shares a declared leaving that other hosts
	// may not have from the list.
	declaredLeavingShareTime = 30 * time.Second
	// selfReportRetention is how long an upstream that reported that it leaves is remembered
	// after the list dropped it. Its entry may lapse and be listed again while the upstream
	// still serves.
	selfReportRetention = 5 * time.Minute
)

// RecordSelfReportedLeaving records that an upstream itself reported that it leaves: to this
// host with toThisHost, otherwise to a peer. A report from another incarnation is ignored. The
// list can't take the report back. RecordSelfReportedLeaving reports whether the report is
// new.
func (f *Fleet) RecordSelfReportedLeaving(now time.Time, id member.UpstreamID, incarnation Incarnation, toThisHost bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.upstreams[id]
	if k == nil || k.leavingSelfReported || incarnation != 0 && k.Incarnation != incarnation {
		return false
	}
	k.leavingSelfReported, k.leavingDeclared, k.leavingUnconfirmed = true, true, false
	if k.hasReturned && !toThisHost {
		// The peer may not know yet that the upstream has returned.
		f.setRelisted(now, k)
	}
	if toThisHost && !k.gone {
		f.shareLeaving(k, now.Add(declaredLeavingShareTime))
	}
	k.startLeaving(now, SourceUpstream)
	f.notify(true)
	return true
}

// shareLeaving has this host tell its peers until the given time that an upstream leaves. The
// mutex must be held.
func (f *Fleet) shareLeaving(k *knownUpstream, until time.Time) {
	k.shareLeavingUntil = until
	f.shareLeavingUntil = laterOf(f.shareLeavingUntil, until)
}

// LeavingMarks returns the reports about upstreams that leave that this host shares with its
// peers now.
func (f *Fleet) LeavingMarks(now time.Time) []LeavingMark {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !now.Before(f.shareLeavingUntil) {
		return nil
	}
	var marks []LeavingMark
	for id, k := range f.upstreams {
		if !now.Before(k.shareLeavingUntil) || k.gone {
			continue
		}
		mark := LeavingMark{Upstream: id, Incarnation: k.Incarnation, Declared: k.leavingSelfReported || k.leavingDeclared}
		if !k.expectedEnd.IsZero() {
			mark.Remaining = max(k.expectedEnd.Sub(now), time.Millisecond)
		}
		marks = append(marks, mark)
	}
	return marks
}

// receiveLeaving records a peer's report that an upstream leaves.
func (f *Forwarder) receiveLeaving(now time.Time, from member.HostID, mark LeavingMark) {
	if !f.fleet.ReceiveIncarnation(mark.Upstream, mark.Incarnation) {
		return
	}
	isNew := false
	if mark.Declared {
		if f.reports.enabled {
			f.fleet.setExpectedEnd(now, mark.Upstream, mark.Incarnation, mark.Remaining)
		}
		isNew = f.fleet.RecordSelfReportedLeaving(now, mark.Upstream, mark.Incarnation, false)
	} else {
		isNew = f.fleet.MarkLeaving(now, mark.Upstream, mark.Remaining, false)
	}
	if isNew && f.peers.inOtherCell(from) {
		// The other hosts of this cell receive the report from this host.
		f.fleet.relayLeaving(now, mark.Upstream)
		f.peers.notifyOwnCell()
	}
	if isNew {
		f.journal.HostEvent("peer says that an upstream leaves", "upstream", mark.Upstream, "peer", from, "in", mark.Remaining, "upstream_said_so", mark.Declared)
	}
}

// relayLeaving passes a peer's report that an upstream leaves on to other peers.
func (f *Fleet) relayLeaving(now time.Time, id member.UpstreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.upstreams[id]; k != nil {
		f.shareLeaving(k, laterOf(k.shareLeavingUntil, now.Add(observedLeavingShareTime)))
	}
}

// LeavingUpstreamCounts returns the number of upstreams that leave by the source that reported
// it first.
func (f *Fleet) LeavingUpstreamCounts() map[LeavingSource]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := map[LeavingSource]int{SourceList: 0, SourceUpstream: 0, SourceHost: 0, SourcePeer: 0, SourceRollout: 0}
	for _, k := range f.upstreams {
		if k.Leaving && !k.gone {
			n[k.leavingSource]++
		}
	}
	return n
}
