// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"github.com/shedpath/shedpath/member"
)

// LeavingSource says who told that an upstream leaves.
type LeavingSource string

// The sources.
const (
	SourceList LeavingSource = "list"
	// SourceUpstream is its own, in an answer.
	SourceUpstream LeavingSource = "upstream"
	// SourceHost is this host's finding, such as a failed health check.
	SourceHost LeavingSource = "host"
	SourcePeer LeavingSource = "peer"
	// SourceRollout is that its version is not in service any more.
	SourceRollout LeavingSource = "rollout"
)

// LeavingMark is a host's word that an upstream leaves, for its peers.
type LeavingMark struct {
	Upstream    member.UpstreamID
	Incarnation Incarnation
	// Remaining is how long it will still serve; zero when that isn't known.
	Remaining time.Duration
	// Declared says that the upstream told so itself.
	Declared bool
}

const (
	// observedLeavingShareTime is how long a finding is told to peers.
	observedLeavingShareTime = 3 * time.Second
	// declaredLeavingShareTime is how long an upstream's own word is, while the list doesn't have it.
	declaredLeavingShareTime = 30 * time.Second
	// selfReportRetention is how long an upstream that said that it leaves is remembered after the
	// list dropped it: its entry may lapse and come back while it still serves.
	selfReportRetention = 5 * time.Minute
)

// RecordSelfReportedLeaving takes in an upstream's own word, to this host or with own unset to a peer,
// that it leaves. The list doesn't take that back. It reports whether it is new.
func (f *Fleet) RecordSelfReportedLeaving(now time.Time, id member.UpstreamID, life Incarnation, own bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.upstreams[id]
	if k == nil || k.leavingSelfReported || life != 0 && k.Incarnation != life {
		return false
	}
	k.leavingSelfReported, k.leavingDeclared, k.leavingUnconfirmed = true, true, false
	if own && !k.gone {
		f.shareLeaving(k, now.Add(declaredLeavingShareTime))
	}
	k.startLeaving(now, SourceUpstream)
	f.notify(true)
	return true
}

// shareLeaving has peers be told for a while that an upstream leaves. The mutex is held.
func (f *Fleet) shareLeaving(k *knownUpstream, until time.Time) {
	k.shareLeavingUntil = until
	f.shareLeavingUntil = laterOf(f.shareLeavingUntil, until)
}

// LeavingMarks returns this host's own words that upstreams leave.
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

// receiveLeaving takes in a peer's word that an upstream leaves.
func (f *Forwarder) receiveLeaving(now time.Time, from member.HostID, mark LeavingMark) {
	if !f.fleet.ReceiveIncarnation(mark.Upstream, mark.Incarnation) {
		return
	}
	isNew := false
	if mark.Declared {
		isNew = f.fleet.RecordSelfReportedLeaving(now, mark.Upstream, mark.Incarnation, false)
	} else {
		isNew = f.fleet.MarkLeaving(now, mark.Upstream, mark.Remaining, false)
	}
	if isNew && f.peers.inOtherCell(from) {
		// The others of this cell hear it from this host.
		f.fleet.relayLeaving(now, mark.Upstream)
		f.peers.notifyOwnCell()
	}
	if isNew {
		f.journal.HostEvent("peer says that an upstream leaves", "upstream", mark.Upstream, "peer", from, "in", mark.Remaining, "upstream_said_so", mark.Declared)
	}
}

// relayLeaving has a peer's word that an upstream leaves be told on.
func (f *Fleet) relayLeaving(now time.Time, id member.UpstreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.upstreams[id]; k != nil {
		f.shareLeaving(k, laterOf(k.shareLeavingUntil, now.Add(observedLeavingShareTime)))
	}
}

// LeavingUpstreamCounts counts the upstreams that leave, by who told first.
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
