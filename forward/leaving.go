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
	Engine member.UpstreamID
	Life   Incarnation
	// In is how long it will still serve; zero when that isn't known.
	In time.Duration
	// Said says that the upstream told so itself.
	Said bool
}

const (
	// markShared is how long a finding is told to peers.
	markShared = 3 * time.Second
	// saidShared is how long an upstream's own word is, while the list doesn't have it.
	saidShared = 30 * time.Second
	// forgetSaid is how long an upstream that said that it leaves is remembered after the
	// list dropped it: its entry may lapse and come back while it still serves.
	forgetSaid = 5 * time.Minute
)

// SaidLeaving takes in an upstream's own word, to this host or with own unset to a peer,
// that it leaves. The list doesn't take that back. It reports whether it is new.
func (f *Fleet) SaidLeaving(now time.Time, id member.UpstreamID, life Incarnation, own bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.upstreams[id]
	if k == nil || k.leavingSelfReported || life != 0 && k.Incarnation != life {
		return false
	}
	k.leavingSelfReported, k.leavingDeclared, k.leavingUnconfirmed = true, true, false
	if own && !k.gone {
		f.tellPeers(k, now.Add(saidShared))
	}
	k.startLeaving(now, SourceUpstream)
	f.notify(true)
	return true
}

// tellPeers has peers be told for a while that an upstream leaves. The mutex is held.
func (f *Fleet) tellPeers(k *knownUpstream, until time.Time) {
	k.shareLeavingUntil = until
	f.shareLeavingUntil = laterOf(f.shareLeavingUntil, until)
}

// Marks returns this host's own words that upstreams leave.
func (f *Fleet) Marks(now time.Time) []LeavingMark {
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
		mark := LeavingMark{Engine: id, Life: k.Incarnation, Said: k.leavingSelfReported || k.leavingDeclared}
		if !k.expectedEnd.IsZero() {
			mark.In = max(k.expectedEnd.Sub(now), time.Millisecond)
		}
		marks = append(marks, mark)
	}
	return marks
}

// receiveLeaving takes in a peer's word that an upstream leaves.
func (f *Forwarder) receiveLeaving(now time.Time, from member.HostID, mark LeavingMark) {
	if !f.fleet.ReceiveIncarnation(mark.Engine, mark.Life) {
		return
	}
	isNew := false
	if mark.Said {
		isNew = f.fleet.SaidLeaving(now, mark.Engine, mark.Life, false)
	} else {
		isNew = f.fleet.MarkLeaving(now, mark.Engine, mark.In, false)
	}
	if isNew && f.peers.inOtherCell(from) {
		// The others of this cell hear it from this host.
		f.fleet.retell(now, mark.Engine)
		f.peers.notifyOwnCell()
	}
	if isNew {
		f.journal.HostEvent("peer says that an upstream leaves", "upstream", mark.Engine, "peer", from, "in", mark.In, "upstream_said_so", mark.Said)
	}
}

// retell has a peer's word that an upstream leaves be told on.
func (f *Fleet) retell(now time.Time, id member.UpstreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.upstreams[id]; k != nil {
		f.tellPeers(k, laterOf(k.shareLeavingUntil, now.Add(markShared)))
	}
}

// LeavingUpstreams counts the upstreams that leave, by who told first.
func (f *Fleet) LeavingUpstreams() map[LeavingSource]int {
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
