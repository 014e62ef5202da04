// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/history"
)

// applyReplyFrom has a fleet take in what another has that is newer.
func applyReplyFrom(now time.Time, f, leader *Fleet) {
	var r FollowReply
	leader.fillFollowReply(now, f.Revision(), &r)
	f.ApplyFollowReply(now, r)
}

// TestFollowerIsNotToldWhatItsLeaderNeverKnew: a host that knows only a part of the history is followed by one that is behind.
func TestFollowerIsNotToldWhatItsLeaderNeverKnew(t *testing.T) {
	now := time.Now()
	listed := Change{Upstream: llmUpstream("app1", 3, false)}
	ended := Change{Upstream: llmUpstream("app1", 4, false), Gone: true}
	read := func(at history.Revision, changes ...Change) *Fleet {
		f := &Fleet{}
		f.ApplyUpdate(now, OriginUpdate{Changes: changes, Revision: rev(at)}, true)
		return f
	}
	for name, leader := range map[string]func() *Fleet{
		"it began by following a host that had read the list": func() *Fleet {
			f := &Fleet{}
			applyReplyFrom(now, f, read(5))
			return f
		},
		"it followed on across another's reading": func() *Fleet {
			f := read(4)
			applyReplyFrom(now, f, read(5))
			return f
		},
		"it was told the end of what it hadn't known": func() *Fleet {
			f := read(2)
			f.ApplyUpdate(now, OriginUpdate{Changes: []Change{ended}, Revision: rev(5)}, false)
			return f
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			behind := read(3, listed)
			is.Equal(len(behind.Available(now, listed.Service)), 1)
			applyReplyFrom(now, behind, leader())
			now := now.Add(listSettleTime + time.Second)
			behind.Settle(now)
			is.Equal(len(behind.Available(now, listed.Service)), 0)
		})
	}
}

// TestZoneStaysOutAtAFollower: its leader knows an older order to be taken back, and reads that there is none.
func TestZoneStaysOutAtAFollower(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var leader, behind Fleet
	leader.ReceiveZoneOrders(now, []ZoneOrder{backInService("z2", 5)})
	leader.ApplyUpdate(now, OriginUpdate{Revision: rev(7)}, true)
	behind.ApplyUpdate(now, OriginUpdate{ZoneOrders: []ZoneOrder{outOfService("z2", 6)}, Revision: rev(6)}, true)
	is.True(!behind.InService("z2"))
	applyReplyFrom(now, &behind, &leader)
	is.True(behind.InService("z2"))
}
