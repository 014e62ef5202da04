// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rank orders entries for a duty by rendezvous hashing: the first has it, the
// next takes it over. When an entry comes or goes, only its own duties move.
func Rank(role string, entries []Entry) []Entry {
	ranked := slices.Clone(entries)
	slices.SortFunc(ranked, func(a, b Entry) int {
		wa, wb := weight(role, a.ID), weight(role, b.ID)
		switch {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		case a.ID < b.ID:
			return -1
		default:
			return 1
		}
	})
	return ranked
}

// HighestRanked is the entry that ranks first for a duty among some, of which there is one at least.
func HighestRanked(role string, entries []Entry) Entry {
	first, highest := entries[0], weight(role, entries[0].ID)
	for _, e := range entries[1:] {
		if w := weight(role, e.ID); w > highest || w == highest && e.ID < first.ID {
			first, highest = e, w
		}
	}
	return first
}

func weight(role string, id HostID) uint64 {
	var d xxhash.Digest
	d.Reset()
	// A Digest's writes never fail.
	_, _ = d.WriteString(role)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}

// Owner returns the live entry of the zone that has the duty.
func (v *View) Owner(now time.Time, role string, z Zone) (Entry, bool) {
	ranked := Rank(role, v.AvailableEntries(now, z))
	if len(ranked) == 0 {
		return Entry{}, false
	}
	return ranked[0], true
}

// watchersPerZone is how many entries of a zone keep the platform's watch and
// the links to other zones.
const watchersPerZone = 2

// IsWatcher reports whether this entry is among those of its zone that keep the
// platform's watch.
func (v *View) IsWatcher(now time.Time) bool {
	return ranksWithin(Rank("watch", v.AvailableEntries(now, v.self.Zone)), v.self.ID, watchersPerZone)
}

func ranksWithin(ranked []Entry, id HostID, n int) bool {
	for _, e := range ranked[:min(n, len(ranked))] {
		if e.ID == id {
			return true
		}
	}
	return false
}

// HeartbeatPeers lists the peers that this entry exchanges heartbeats with: everyone in
// its zone and, while it is among its own zone's first by rank, the first few
// of each other zone.
func (v *View) HeartbeatPeers(now time.Time) []Entry {
	var peers []Entry
	others := map[Zone][]Entry{}
	for _, p := range v.peers {
		if p.entry.Zone == v.self.Zone {
			peers = append(peers, p.entry)
			continue
		}
		others[p.entry.Zone] = append(others[p.entry.Zone], p.entry)
	}
	if !v.IsWatcher(now) {
		return peers
	}
	for z, all := range others {
		candidates := v.AvailableEntries(now, z)
		if len(candidates) < watchersPerZone {
			// Nobody is heard there: try some of those it may have.
			candidates = all
		}
		ranked := Rank("watch", candidates)
		peers = append(peers, ranked[:min(watchersPerZone, len(ranked))]...)
	}
	return peers
}

// HeartbeatTargets lists the links on which this entry is the one to call. Of each two
// entries one calls and the other answers with its own heartbeat; but a peer
// that has gone quiet is called by both.
func (v *View) HeartbeatTargets(now time.Time) []Entry {
	var targets []Entry
	for _, to := range v.HeartbeatPeers(now) {
		p := v.peers[to.ID]
		quiet := p.linkBroken || now.Sub(p.lastHeartbeat) > quietTimeout
		if v.self.ID < to.ID || quiet {
			targets = append(targets, to)
		}
	}
	return targets
}

// quietTimeout is a little more than the longest time between two heartbeats.
const quietTimeout = 3 * HeartbeatInterval / 2

// ProbableOwner returns the entry of another zone that probably has a duty
// there: by rank among its live entries or, when this entry hears none of
// them, among all it knows of.
func (v *View) ProbableOwner(now time.Time, role string, z Zone) (Entry, bool) {
	candidates := v.AvailableEntries(now, z)
	if len(candidates) == 0 {
		for _, p := range v.peers {
			if p.entry.Zone == z {
				candidates = append(candidates, p.entry)
			}
		}
	}
	ranked := Rank(role, candidates)
	if len(ranked) == 0 {
		return Entry{}, false
	}
	return ranked[0], true
}
