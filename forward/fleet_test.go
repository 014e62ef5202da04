// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
)

// llmUpstream returns an upstream of the service "llm" with an entry written at a revision.
func llmUpstream(id member.UpstreamID, revision history.Revision, leaving bool) Upstream {
	return Upstream{ID: id, Service: "llm", Address: "10.0.0.9:1", Revision: rev(revision), Leaving: leaving}
}

// availableIDs returns the IDs of the upstreams of the service "llm" that take new work.
func availableIDs(f *Fleet, now time.Time) map[member.UpstreamID]bool {
	available := map[member.UpstreamID]bool{}
	for _, u := range f.Available(now, "llm") {
		available[u.ID] = true
	}
	return available
}

// TestFleet checks that changes of the list are applied, in whatever order they arrive.
func TestFleet(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var f Fleet
	f.Replace(now, []Upstream{llmUpstream("a", 1, false), llmUpstream("b", 2, false)}, rev(5))
	is.Equal(availableIDs(&f, now), map[member.UpstreamID]bool{"a": true, "b": true})
	f.Apply(now, []Change{{Upstream: llmUpstream("a", 7, true)}}, rev(7))
	is.Equal(availableIDs(&f, now), map[member.UpstreamID]bool{"b": true})
	is.Equal(len(f.Apply(now, []Change{{Upstream: llmUpstream("a", 6, false)}}, rev(7))), 0) // older
	f.Apply(now, []Change{{Upstream: llmUpstream("a", 8, false)}}, rev(8))
	is.Equal(availableIDs(&f, now), map[member.UpstreamID]bool{"b": true}) // leaving by the list is final
	f.Apply(now, []Change{{Upstream: Upstream{ID: "b", Revision: rev(9)}, Gone: true}}, rev(9))
	is.Equal(len(availableIDs(&f, now)), 0)
	select {
	case <-f.LeavingStarted("b"): // removed without notice: it counts as leaving
	default:
		t.Fatal("upstream b was removed from the list, but LeavingStarted is not closed")
	}
	f.Replace(now, []Upstream{llmUpstream("c", 10, false)}, rev(11))
	is.Equal(availableIDs(&f, now), map[member.UpstreamID]bool{"c": true})
	changes, at, _ := f.ChangesSince(rev(9))
	is.Equal(at, rev(11))
	is.Equal(len(changes), 2) // c, and a, which the new list lacks
}

// TestFleetOutage checks that an upstream which the list lacks after a long outage is kept
// until the list has settled, and reported to peers as missing.
func TestFleetOutage(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := Fleet{}
	f.Replace(now, []Upstream{llmUpstream("a", 1, false), llmUpstream("b", 1, false)}, rev(1))
	f.ListLost(now)
	now = now.Add(5 * time.Second)
	f.Replace(now, []Upstream{llmUpstream("a", 1, false)}, rev(9))
	f.ListRegained(now, 5*time.Second)
	is.Equal(availableIDs(&f, now), map[member.UpstreamID]bool{"a": true}) // no new work
	is.Equal(f.Missing(), []member.UpstreamID{"b"})
	changes, at, _ := f.ChangesSince(rev(1))
	is.Equal(len(changes), 1)
	is.True(changes[0].Missing && !changes[0].Gone)
	follower := Fleet{}
	follower.Replace(now, []Upstream{llmUpstream("a", 1, false), llmUpstream("b", 1, false)}, rev(1))
	follower.Apply(now, changes, at)
	is.Equal(availableIDs(&follower, now), map[member.UpstreamID]bool{"a": true})
	is.Equal(len(follower.Settle(now.Add(time.Second))), 0)
	is.Equal(len(follower.Settle(now.Add(3*time.Second))), 1) // gone on the follower, too, if it stays missing
	is.Equal(len(f.Settle(now.Add(time.Second))), 0)
	select {
	case <-f.LeavingStarted("b"):
		t.Fatal("upstream b is only missing and may come back, but LeavingStarted is closed")
	default:
	}
	f.Apply(now, []Change{{Upstream: llmUpstream("b", 10, false)}}, rev(0))
	is.Equal(availableIDs(&f, now), map[member.UpstreamID]bool{"a": true, "b": true})
	f.Apply(now, []Change{{Upstream: Upstream{ID: "b", Revision: rev(12)}, Gone: true}}, rev(0))
	is.Equal(len(f.Settle(now.Add(3*time.Second))), 1) // still missing: gone
	<-f.LeavingStarted("b")
}

// TestFleetShortOutage checks that removals take effect at once if the list was unreadable only
// for a moment.
func TestFleetShortOutage(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := Fleet{}
	f.Replace(now, []Upstream{llmUpstream("a", 1, false)}, rev(1))
	f.ListLost(now)
	f.ListRegained(now, 80*time.Millisecond)
	f.Apply(now, []Change{{Upstream: Upstream{ID: "a", Revision: rev(2)}, Gone: true}}, rev(0))
	<-f.LeavingStarted("a")
	is.Equal(len(availableIDs(&f, now)), 0)
}

// TestFleetReturns checks that an upstream whose entry expired and was written again takes work
// again, on hosts that follow as well, but not if it had reported that it leaves.
func TestFleetReturns(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f, follower := Fleet{}, Fleet{}
	list := []Upstream{llmUpstream("a", 1, false), llmUpstream("b", 1, true)}
	f.Replace(now, list, rev(1))
	follower.Replace(now, list, rev(1))
	f.Apply(now, []Change{{Upstream: Upstream{ID: "a", Revision: rev(2)}, Gone: true}, {Upstream: Upstream{ID: "b", Revision: rev(3)}, Gone: true}}, rev(3))
	<-f.LeavingStarted("a")
	changes, at, _ := f.ChangesSince(rev(1))
	follower.Apply(now, changes, at)
	is.Equal(len(availableIDs(&follower, now)), 0)
	f.Apply(now, []Change{{Upstream: llmUpstream("a", 2, false)}}, rev(3))
	is.Equal(len(availableIDs(&f, now)), 0) // not newer than its removal
	f.Apply(now, []Change{{Upstream: llmUpstream("a", 5, false)}, {Upstream: llmUpstream("b", 6, false)}}, rev(6))
	is.Equal(availableIDs(&f, now), map[member.UpstreamID]bool{"a": true})
	changes, at, _ = f.ChangesSince(rev(3))
	follower.Apply(now, changes, at)
	is.Equal(availableIDs(&follower, now), map[member.UpstreamID]bool{"a": true})
	select {
	case <-f.LeavingStarted("a"):
		t.Fatal("upstream a was listed again and takes work, but LeavingStarted is closed")
	default:
	}
	f.Apply(now, []Change{{Upstream: llmUpstream("a", 7, true)}}, rev(7))
	<-f.LeavingStarted("a")
}

// TestUnconfirmedLeaving checks that a newer entry of the list takes back another source's sign that an upstream
// leaves, and that the entry which the sign contradicts doesn't.
func TestUnconfirmedLeaving(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := Fleet{}
	f.Replace(now, []Upstream{llmUpstream("a", 1, false)}, rev(1))
	f.MarkLeaving(now, "a", 900*time.Millisecond, true)
	is.Equal(len(availableIDs(&f, now)), 0)
	is.Equal(f.ExpectedEnd("a", now, 2*time.Second), now.Add(900*time.Millisecond))
	is.Equal(f.LeavingMarks(now), []LeavingMark{{Upstream: "a", Remaining: 900 * time.Millisecond}})
	is.Equal(len(f.LeavingMarks(now.Add(time.Minute))), 0)
	f.Replace(now, []Upstream{llmUpstream("a", 1, false)}, rev(4))
	is.Equal(len(availableIDs(&f, now)), 0)
	is.Equal(f.RelistedCount(), 1) // a is asked
	<-f.LeavingStarted("a")
	f.Replace(now, []Upstream{llmUpstream("a", 5, false)}, rev(5))
	is.Equal(availableIDs(&f, now), map[member.UpstreamID]bool{"a": true})
	is.Equal(f.RelistedCount(), 0)
}

// TestUnconfirmedLeavingIsNotForwarded checks that followers receive an upstream as the list
// has it if only another source indicates that it leaves. Such a sign can be wrong and be taken
// back, whereas leaving by the list is final.
func TestUnconfirmedLeavingIsNotForwarded(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var f, follower Fleet
	f.Replace(now, []Upstream{llmUpstream("a", 1, false), llmUpstream("b", 2, false)}, rev(2))
	f.MarkLeaving(now, "a", 0, true)
	f.MarkLeaving(now, "b", 0, true)
	f.Apply(now, []Change{{Upstream: llmUpstream("b", 3, true)}}, rev(3))
	changes, at, _ := f.ChangesSince(rev(0))
	follower.Apply(now, changes, at)
	is.Equal(availableIDs(&follower, now), map[member.UpstreamID]bool{"a": true})
	follower.Apply(now, []Change{{Upstream: llmUpstream("a", 4, true)}}, rev(4))
	is.Equal(len(availableIDs(&follower, now)), 0)
}
