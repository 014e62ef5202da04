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

// TestRankMovesOnlyRolesOfRemovedEntry takes one entry away: duties that it didn't
// have stay where they were.
func TestRankMovesOnlyRolesOfRemovedEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "entries")
		var all []Entry
		for i := range n {
			all = append(all, testEntry(i, "az1"))
		}
		gone := rapid.IntRange(0, n-1).Draw(t, "gone")
		rest := append(append([]Entry(nil), all[:gone]...), all[gone+1:]...)
		for d := range 20 {
			duty := fmt.Sprintf("pool/%d", d)
			before, after := Rank(duty, all)[0], Rank(duty, rest)[0]
			if before.ID != all[gone].ID && before != after {
				t.Fatalf("%s moved from %s to %s when %s left", duty, before.ID, after.ID, all[gone].ID)
			}
		}
	})
}

func TestAliveness(t *testing.T) {
	is := is.New(t)
	v := NewView(start, testEntry(1, "az1"))
	other := testEntry(2, "az1")
	v.UpdateHostList(start, HostList{Entries: []Entry{other}})
	is.True(!v.Alive(start, other.ID)) // listed isn't alive
	v.RecordHeartbeat(start, other, 1, false)
	is.True(v.Alive(start.Add(SuspectTimeout), other.ID))
	is.True(!v.Alive(start.Add(SuspectTimeout+1), other.ID))
	v.UpdateHostList(start, HostList{})
	is.True(v.Alive(start, other.ID)) // heard lately goes before the list
	v.RecordHeartbeat(start, other, 1, true)
	is.True(v.Alive(start, other.ID))                  // leaving: its runs go on
	is.Equal(len(v.AvailableEntries(start, "az1")), 1) // but it takes no duty
	v.RecordHeartbeat(start, other, 1, false)
	v.MarkLinkBroken(other.ID)
	is.True(!v.Alive(start, other.ID))
	v.RecordHeartbeat(start, other, 1, false)
	v.UpdateHostList(start.Add(ForgetTimeout+time.Minute), HostList{})
	_, known := v.Entry(other.ID)
	is.True(!known) // silent and unlisted for long
}

func TestLeavingIsSticky(t *testing.T) {
	is := is.New(t)
	v := NewView(start, testEntry(1, "az1"))
	engine := Upstream{ID: "g1", Zone: "az1", Pool: "desk", Kind: KindEngine}
	list := HostList{Upstreams: []Upstream{engine}}
	v.UpdateHostList(start, list)
	is.Equal(len(v.Upstreams(KindEngine, "desk", "az1")), 1)
	is.True(v.MarkLeaving("g1"))
	is.True(!v.MarkLeaving("g1")) // no news
	v.UpdateHostList(start, list) // the list lags: it doesn't know yet
	is.Equal(len(v.Upstreams(KindEngine, "desk", "az1")), 0)
	is.Equal(v.LeavingUpstreams(), []UpstreamID{"g1"})
	_, known := v.Upstream("g1")
	is.True(known) // running work still finds it
	v.UpdateHostList(start, HostList{})
	is.Equal(len(v.LeavingUpstreams()), 0)
	v.UpdateHostList(start, list) // a new host under the old name
	is.Equal(len(v.Upstreams(KindEngine, "desk", "az1")), 1)
}

// TestHeartbeatPeers keeps heartbeats within the zone, and between zones to the few
// that watch.
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
	between := 0
	for _, self := range all {
		inZone := 0
		for _, to := range views[self.ID].HeartbeatPeers(start) {
			if to.Zone == self.Zone {
				inZone++
			} else {
				between++
			}
		}
		is.Equal(inZone, perZone-1)
	}
	// Two watchers of each zone link to two of each other zone.
	is.Equal(between, 3*watchersPerZone*2*watchersPerZone)
}

// TestOneOfTwoPeersInitiates has one entry of each pair call, and both when the other is
// quiet.
func TestOneOfTwoPeersInitiates(t *testing.T) {
	is := is.New(t)
	one, two := testEntry(1, "az1"), testEntry(2, "az1")
	first, second := NewView(start, one), NewView(start, two)
	first.RecordHeartbeat(start, two, 1, false)
	second.RecordHeartbeat(start, one, 1, false)
	is.Equal(len(first.HeartbeatTargets(start)), 1)
	is.Equal(len(second.HeartbeatTargets(start)), 0)
	is.Equal(len(second.HeartbeatTargets(start.Add(quietTimeout+1))), 1)
	second.MarkLinkBroken(one.ID)
	is.Equal(len(second.HeartbeatTargets(start)), 1)
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
	v.RecordZoneReport("az1", ZoneReport{MinRevision: 1, ObservedAt: start.Add(time.Hour)}) // own zone is seen, not told
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
