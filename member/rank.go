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
func Rank(duty string, among []Entry) []Entry {
	ranked := slices.Clone(among)
	slices.SortFunc(ranked, func(a, b Entry) int {
		wa, wb := weight(duty, a.ID), weight(duty, b.ID)
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
func HighestRanked(duty string, among []Entry) Entry {
	first, highest := among[0], weight(duty, among[0].ID)
	for _, e := range among[1:] {
		if w := weight(duty, e.ID); w > highest || w == highest && e.ID < first.ID {
			first, highest = e, w
		}
	}
	return first
}

func weight(duty string, id HostID) uint64 {
	var d xxhash.Digest
	d.Reset()
	// A Digest's writes never fail.
	_, _ = d.WriteString(duty)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}

// Owner returns the live entry of the zone that has the duty.
func (v *View) Owner(now time.Time, duty string, z Zone) (Entry, bool) {
	ranked := Rank(duty, v.AvailableEntries(now, z))
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
	var links []Entry
	others := map[Zone][]Entry{}
	for _, p := range v.peers {
		if p.entry.Zone == v.self.Zone {
			links = append(links, p.entry)
			continue
		}
		others[p.entry.Zone] = append(others[p.entry.Zone], p.entry)
	}
	if !v.IsWatcher(now) {
		return links
	}
	for z, all := range others {
		among := v.AvailableEntries(now, z)
		if len(among) < watchersPerZone {
			// Nobody is heard there: try some of those it may have.
			among = all
		}
		ranked := Rank("watch", among)
		links = append(links, ranked[:min(watchersPerZone, len(ranked))]...)
	}
	return links
}

// HeartbeatTargets lists the links on which this entry is the one to call. Of each two
// entries one calls and the other answers with its own heartbeat; but a peer
// that has gone quiet is called by both.
func (v *View) HeartbeatTargets(now time.Time) []Entry {
	var calls []Entry
	for _, to := range v.HeartbeatPeers(now) {
		p := v.peers[to.ID]
		quiet := p.linkBroken || now.Sub(p.lastHeartbeat) > quietTimeout
		if v.self.ID < to.ID || quiet {
			calls = append(calls, to)
		}
	}
	return calls
}

// quietTimeout is a little more than the longest time between two heartbeats.
const quietTimeout = 3 * HeartbeatInterval / 2

// ProbableOwner returns the entry of another zone that probably has a duty
// there: by rank among its live entries or, when this entry hears none of
// them, among all it knows of.
func (v *View) ProbableOwner(now time.Time, duty string, z Zone) (Entry, bool) {
	among := v.AvailableEntries(now, z)
	if len(among) == 0 {
		for _, p := range v.peers {
			if p.entry.Zone == z {
				among = append(among, p.entry)
			}
		}
	}
	ranked := Rank(duty, among)
	if len(ranked) == 0 {
		return Entry{}, false
	}
	return ranked[0], true
}
