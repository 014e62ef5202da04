// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func testEntry(n int, z Zone) Entry {
	id := fmt.Sprintf("e%d", n)
	return Entry{ID: HostID(id), Zone: z, PeerAddress: id}
}

// TestRankMovesOnlyRolesOfRemovedEntry checks that removing one entry moves no
// role that another entry has.
func TestRankMovesOnlyRolesOfRemovedEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "entries")
		var all []Entry
		for i := range n {
			all = append(all, testEntry(i, "az1"))
		}
		removed := rapid.IntRange(0, n-1).Draw(t, "gone")
		rest := append(append([]Entry(nil), all[:removed]...), all[removed+1:]...)
		for d := range 20 {
			role := fmt.Sprintf("pool/%d", d)
			before, after := Rank(role, all)[0], Rank(role, rest)[0]
			if before.ID != all[removed].ID && before != after {
				t.Fatalf("role %s moved from %s to %s when %s was removed", role, before.ID, after.ID, all[removed].ID)
			}
		}
	})
}

func TestAliveness(t *testing.T) {
	is := is.New(t)
	v := NewView(start, testEntry(1, "az1"))
	other := testEntry(2, "az1")
	v.UpdateHostList(start, HostList{Entries: []Entry{other}})
	is.True(!v.Alive(start, other.ID)) // an entry on the list isn't alive before a heartbeat
	v.RecordHeartbeat(start, other, 1, false)
	is.True(v.Alive(start.Add(SuspectTimeout), other.ID))
	is.True(!v.Alive(start.Add(SuspectTimeout+1), other.ID))
	v.UpdateHostList(start, HostList{})
	is.True(v.Alive(start, other.ID)) // a recent heartbeat overrides the list
	v.RecordHeartbeat(start, other, 1, true)
	is.True(v.Alive(start, other.ID))                  // a leaving entry is alive: its runs go on
	is.Equal(len(v.AvailableEntries(start, "az1")), 1) // but it takes no role
	v.RecordHeartbeat(start, other, 1, false)
	v.MarkLinkBroken(other.ID)
	is.True(!v.Alive(start, other.ID))
	v.RecordHeartbeat(start, other, 1, false)
	v.UpdateHostList(start.Add(ForgetTimeout+time.Minute), HostList{})
	_, known := v.Entry(other.ID)
	is.True(!known) // silent and not on the list for longer than ForgetTimeout
}

func TestLeavingIsSticky(t *testing.T) {
	is := is.New(t)
	v := NewView(start, testEntry(1, "az1"))
	engine := Upstream{ID: "g1", Zone: "az1", Pool: "desk", Kind: KindEngine}
	list := HostList{Upstreams: []Upstream{engine}}
	v.UpdateHostList(start, list)
	is.Equal(len(v.Upstreams(KindEngine, "desk", "az1")), 1)
	is.True(v.MarkLeaving("g1"))
	is.True(!v.MarkLeaving("g1")) // already known
	v.UpdateHostList(start, list) // the list lags: it doesn't mark the engine as leaving yet
	is.Equal(len(v.Upstreams(KindEngine, "desk", "az1")), 0)
	is.Equal(v.LeavingUpstreams(), []UpstreamID{"g1"})
	_, known := v.Upstream("g1")
	is.True(known) // running work still has to look it up
	v.UpdateHostList(start, HostList{})
	is.Equal(len(v.LeavingUpstreams()), 0)
	v.UpdateHostList(start, list) // a new host with the old id
	is.Equal(len(v.Upstreams(KindEngine, "desk", "az1")), 1)
}

// TestHeartbeatPeers checks that each entry exchanges heartbeats with all peers in
// its zone, and that only watchers exchange heartbeats between zones.
func TestHeartbeatPeers(t *testing.T) {
	is := is.New(t)
	const perZone = 8
	views := map[HostID]*View{}
	var all []Entry
	for n := range 3 * perZone {
		all = append(all, testEntry(n, Zone(fmt.Sprintf("az%d", n%3))))
	}
	for _, self := range all {
		v := NewView(start, self)
		for _, other := range all {
			v.RecordHeartbeat(start, other, 1, false)
		}
		views[self.ID] = v
	}
	betweenZones := 0
	for _, self := range all {
		withinZone := 0
		for _, to := range views[self.ID].HeartbeatPeers(start) {
			if to.Zone == self.Zone {
				withinZone++
			} else {
				betweenZones++
			}
		}
		is.Equal(withinZone, perZone-1)
	}
	// The watchers of each zone exchange heartbeats with those of each other zone.
	is.Equal(betweenZones, 3*watchersPerZone*2*watchersPerZone)
}

// TestOneOfTwoPeersInitiates checks that only one entry of a pair sends
// heartbeats, and that the other sends too when its peer is silent or the link
// broke.
func TestOneOfTwoPeersInitiates(t *testing.T) {
	is := is.New(t)
	entry1, entry2 := testEntry(1, "az1"), testEntry(2, "az1")
	view1, view2 := NewView(start, entry1), NewView(start, entry2)
	view1.RecordHeartbeat(start, entry2, 1, false)
	view2.RecordHeartbeat(start, entry1, 1, false)
	is.Equal(len(view1.HeartbeatTargets(start)), 1)
	is.Equal(len(view2.HeartbeatTargets(start)), 0)
	is.Equal(len(view2.HeartbeatTargets(start.Add(quietTimeout+1))), 1)
	view2.MarkLinkBroken(entry1.ID)
	is.Equal(len(view2.HeartbeatTargets(start)), 1)
}

func TestZoneReports(t *testing.T) {
	is := is.New(t)
	v := NewView(start, testEntry(1, "az1"))
	v.RecordHeartbeat(start, testEntry(2, "az1"), 7, false)
	v.RecordHeartbeat(start, testEntry(3, "az1"), 5, false)
	is.Equal(v.OwnZoneReport(start, 9), ZoneReport{MinRevision: 5, Entries: 3, ObservedAt: start})
	v.RecordZoneReport("az2", ZoneReport{MinRevision: 4, Entries: 2, ObservedAt: start})
	v.RecordZoneReport("az2", ZoneReport{MinRevision: 3, Entries: 2, ObservedAt: start.Add(-time.Second)}) // older
	is.Equal(v.LastZoneReport("az2").MinRevision, uint64(4))
	v.RecordZoneReport("az1", ZoneReport{MinRevision: 1, ObservedAt: start.Add(time.Hour)}) // reports on the own zone are ignored
	is.True(v.LastZoneReport("az1").ObservedAt.IsZero())
	v.RecordHeartbeat(start, testEntry(4, "az2"), 4, false)
	is.Equal(len(v.OrphanedZones(start.Add(OrphanTimeout-1))), 0)
	is.Equal(v.OrphanedZones(start.Add(OrphanTimeout+time.Second)), []Zone{"az2"})
}

func TestLeavingSelfHandsOver(t *testing.T) {
	is := is.New(t)
	v := NewView(start, testEntry(1, "az1"))
	v.RecordHeartbeat(start, testEntry(2, "az1"), 1, false)
	v.MarkSelfLeaving()
	for d := range 10 {
		owner, found := v.Owner(start, fmt.Sprint(d), "az1")
		is.True(found)
		is.Equal(owner.ID, HostID("e2"))
	}
}
