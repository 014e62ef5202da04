// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rank orders entries for a role by rendezvous hashing: the first has the role,
// and the next takes it over. When an entry joins or leaves, only that entry's
// roles move.
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

// HighestRanked returns the first entry of Rank without sorting. It panics if there are no
// entries.
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

// Owner returns the entry that has the role among the available entries of the
// zone. It returns false if there is none.
func (v *View) Owner(now time.Time, role string, z Zone) (Entry, bool) {
	ranked := Rank(role, v.AvailableEntries(now, z))
	if len(ranked) == 0 {
		return Entry{}, false
	}
	return ranked[0], true
}

// watchersPerZone is how many entries of a zone watch the platform and exchange
// heartbeats with other zones.
const watchersPerZone = 2

// IsWatcher reports whether this entry is one of the entries of its zone that
// watch the platform.
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

// HeartbeatPeers lists the peers that this entry exchanges heartbeats with: all
// peers in its zone and, while it is a watcher of its zone, the watchers of each
// other zone.
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
			// Too few entries of that zone are known to be alive: try some of
			// all that are known there.
			candidates = all
		}
		ranked := Rank("watch", candidates)
		peers = append(peers, ranked[:min(watchersPerZone, len(ranked))]...)
	}
	return peers
}

// HeartbeatTargets lists the peers to which this entry sends its heartbeat. Of
// each pair of entries the one with the lower id sends, and the other answers
// with its own heartbeat. The other sends as well when its peer has been silent
// for longer than quietTimeout or the link to the peer is broken.
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

// quietTimeout is a little more than the longest time between two heartbeats,
// which includes jitter.
const quietTimeout = 3 * HeartbeatInterval / 2

// ProbableOwner returns the entry of another zone that probably has a role
// there: by rank among the available entries of the zone or, if none is known to
// be available, among all known entries of the zone. It returns false if there
// are none.
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
