// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedpath/shedpath/member"
)

func entry(n int) member.Entry {
	return member.Entry{ID: member.HostID(fmt.Sprint("h", n)), Zone: "z1", PeerAddress: fmt.Sprintf("10.0.0.%d:1", n)}
}

// TestAnnouncementsReachAllOverATree checks that hosts connected as a tree all learn of each
// other, and that each announcement passes each edge at most once.
func TestAnnouncementsReachAllOverATree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		n := rapid.IntRange(2, 30).Draw(t, "hosts")
		all := make([]*Roster, n)
		parent := make([]int, n)
		for i := range all {
			all[i] = New(entry(i), uint64(i))
			all[i].Announce(now)
			if i > 0 {
				parent[i] = rapid.IntRange(0, i-1).Draw(t, "parent")
			}
		}
		type edge struct{ from, to int }
		positions, sent := map[edge]uint64{}, 0
		exchange := func(e edge) {
			news, upTo := all[e.from].AnnouncementsSince(now, positions[e], all[e.to].self.ID, 5)
			positions[e] = upTo
			sent += len(news)
			for _, a := range news {
				all[e.to].Receive(now, all[e.from].self.ID, a)
			}
		}
		for range 6 * n {
			for i := 1; i < n; i++ {
				exchange(edge{parent[i], i})
				exchange(edge{i, parent[i]})
			}
		}
		for i, r := range all {
			if r.Len() != n {
				t.Fatalf("h%d knows %d of %d hosts", i, r.Len(), n)
			}
		}
		if sent > n*(n-1) {
			t.Fatalf("%d announcements sent among %d hosts, want each at most once over each edge", sent, n)
		}
	})
}

// TestHostThatIsAnnouncedNoMore checks that a host that stops announcing itself is removed
// everywhere, although the other hosts keep exchanging announcements.
func TestHostThatIsAnnouncedNoMore(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, b, gone := New(entry(1), 1), New(entry(2), 2), New(entry(3), 3)
	gone.Announce(now)
	news, _ := gone.AnnouncementsSince(now, 0, "h1", 10)
	is.True(a.Receive(now, "h3", news[0]))
	for range 300 {
		now = now.Add(time.Second)
		for _, pair := range [][2]*Roster{{a, b}, {b, a}} {
			pair[0].Announce(now)
			told, _ := pair[0].AnnouncementsSince(now, 0, pair[1].self.ID, 10)
			for _, n := range told {
				pair[1].Receive(now, pair[0].self.ID, n)
			}
			pair[0].PruneExpired(now)
		}
	}
	is.Equal(a.Len(), 2)
	is.Equal(b.Len(), 2)
}

// TestHostStartsAgain checks that the announcement of a restarted host replaces the one of its
// previous process, in whichever order the two arrive.
func TestHostStartsAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	oldProcess, newProcess := New(entry(1), 7), New(entry(1), 3)
	oldProcess.Announce(now)
	old, _ := oldProcess.AnnouncementsSince(now.Add(5*time.Second), 0, "h9", 1)
	moved := entry(1)
	moved.PeerAddress = "10.0.0.7:1"
	newProcess.self = moved
	newProcess.Announce(now.Add(4 * time.Second))
	fresh, _ := newProcess.AnnouncementsSince(now.Add(5*time.Second), 0, "h9", 1)
	for _, order := range [][]Announcement{{old[0], fresh[0], old[0]}, {fresh[0], old[0]}} {
		r := New(entry(2), 1)
		for _, a := range order {
			r.Receive(now.Add(5*time.Second), "h8", a)
		}
		is.Equal(r.Entries(), []member.Entry{moved})
	}
}
