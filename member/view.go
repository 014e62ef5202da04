// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package member

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// View is what one entry knows of the other entries and of the upstreams. It
// isn't safe for concurrent use. Create it with NewView.
type View struct {
	self Entry
	// selfLeaving is set once this entry is stopping. It then takes no roles.
	selfLeaving bool
	peers       map[HostID]*peer
	// upstreams holds the upstreams of the last host list.
	upstreams map[UpstreamID]Upstream
	// leaving holds the upstreams that the host list, a peer or the upstream
	// itself reported as leaving. An upstream stays in it until a host list no
	// longer names the upstream.
	leaving map[UpstreamID]bool
	// zoneReports holds the latest report on each other zone.
	zoneReports map[Zone]ZoneReport
	// startedAt is when the view was created.
	startedAt time.Time
}

// peer is what the view knows of another entry.
type peer struct {
	entry Entry
	// lastHeartbeat is the time of the last heartbeat; zero means that none was
	// received.
	lastHeartbeat time.Time
	// linkBroken is set if a connection to the peer was refused or broke after
	// the last heartbeat.
	linkBroken bool
	// lastNamed is the last time the host list or a heartbeat named the peer, or
	// when it was given as a seed.
	lastNamed time.Time
	leaving   bool
	revision  uint64
}

// ZoneReport is the state of a zone as one of its entries reported it.
type ZoneReport struct {
	// MinRevision is the lowest configuration revision in force on the zone's
	// live entries.
	MinRevision uint64
	// Entries is the number of live entries.
	Entries int
	// ObservedAt is the time of the observation by this entry's clock. For a
	// relayed report it is computed from the report's age.
	ObservedAt time.Time
}

// NewView returns a view that knows only its own entry and the seeds, which are
// contacted but don't count as alive before their first heartbeat.
func NewView(now time.Time, self Entry, seeds ...Entry) *View {
	v := &View{
		self:        self,
		startedAt:   now,
		peers:       map[HostID]*peer{},
		upstreams:   map[UpstreamID]Upstream{},
		leaving:     map[UpstreamID]bool{},
		zoneReports: map[Zone]ZoneReport{},
	}
	for _, seed := range seeds {
		v.recordPeer(now, seed)
	}
	return v
}

// recordPeer adds or updates the peer of an entry that was named now.
func (v *View) recordPeer(now time.Time, e Entry) *peer {
	p := v.peers[e.ID]
	if p == nil {
		p = &peer{}
		v.peers[e.ID] = p
	}
	p.entry, p.lastNamed = e, now
	return p
}

// UpdateHostList records a new host list from the platform. A peer is removed if
// neither a host list nor a heartbeat named it within ForgetTimeout. An upstream
// that the list no longer names is removed at once.
func (v *View) UpdateHostList(now time.Time, list HostList) {
	for _, e := range list.Entries {
		if e.ID != v.self.ID {
			v.recordPeer(now, e)
		}
	}
	for id, p := range v.peers {
		if now.Sub(p.lastNamed) > ForgetTimeout && now.Sub(p.lastHeartbeat) > ForgetTimeout {
			delete(v.peers, id)
		}
	}
	listed := make(map[UpstreamID]Upstream, len(list.Upstreams))
	for _, u := range list.Upstreams {
		listed[u.ID] = u
		if u.Leaving {
			v.leaving[u.ID] = true
		}
	}
	v.upstreams = listed
	maps.DeleteFunc(v.leaving, func(id UpstreamID, _ bool) bool {
		_, isListed := listed[id]
		return !isListed
	})
}

// RecordHeartbeat records a heartbeat from a peer, with the configuration
// revision in force there and whether the peer is leaving.
func (v *View) RecordHeartbeat(now time.Time, from Entry, revision uint64, leaving bool) {
	if from.ID == v.self.ID {
		return
	}
	p := v.recordPeer(now, from)
	p.lastHeartbeat, p.linkBroken, p.revision, p.leaving = now, false, revision, leaving
}

// MarkLeaving records that an upstream is leaving, from whatever source. It
// reports whether this wasn't known yet.
func (v *View) MarkLeaving(id UpstreamID) bool {
	if v.leaving[id] {
		return false
	}
	v.leaving[id] = true
	return true
}

// LeavingUpstreams lists the upstreams known to be leaving, for the next
// heartbeat, in the order of their ids.
func (v *View) LeavingUpstreams() []UpstreamID { return slices.Sorted(maps.Keys(v.leaving)) }

// Upstreams lists a pool's upstreams that accept new work, in the given zone or,
// with an empty zone, in all zones, in the order of their ids.
func (v *View) Upstreams(kind UpstreamKind, pool string, z Zone) []Upstream {
	var listed []Upstream
	for id, u := range v.upstreams {
		if u.Kind == kind && u.Pool == pool && (z == "" || u.Zone == z) && !v.leaving[id] {
			listed = append(listed, u)
		}
	}
	slices.SortFunc(listed, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return listed
}

// Upstream returns the upstream with the given id, even if it is leaving. It
// returns false if the host list doesn't name it.
func (v *View) Upstream(id UpstreamID) (Upstream, bool) {
	u, ok := v.upstreams[id]
	return u, ok
}

// AllUpstreams lists all upstreams in the order of their ids. Leaving is set on
// those known to be leaving from any source.
func (v *View) AllUpstreams() []Upstream {
	listed := slices.Collect(maps.Values(v.upstreams))
	for i := range listed {
		listed[i].Leaving = v.leaving[listed[i].ID]
	}
	slices.SortFunc(listed, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return listed
}

// Peers lists all known entries but this one, alive or not, in the order of their ids.
func (v *View) Peers() []Entry {
	var peers []Entry
	for _, id := range slices.Sorted(maps.Keys(v.peers)) {
		peers = append(peers, v.peers[id].entry)
	}
	return peers
}

// alive reports whether the link to the peer is intact and the last heartbeat is
// no older than SuspectTimeout.
func (p *peer) alive(now time.Time) bool {
	return !p.linkBroken && now.Sub(p.lastHeartbeat) <= SuspectTimeout
}

// takesRoles reports whether the peer is alive and not leaving.
func (p *peer) takesRoles(now time.Time) bool { return p.alive(now) && !p.leaving }

// AvailableEntries lists the entries of a zone that are alive and not leaving, in
// the order of their ids. This entry is included if it is in the zone and not
// leaving. With an empty zone it lists those of all zones.
func (v *View) AvailableEntries(now time.Time, z Zone) []Entry {
	var live []Entry
	if (z == "" || v.self.Zone == z) && !v.selfLeaving {
		live = append(live, v.self)
	}
	for _, p := range v.peers {
		if p.takesRoles(now) && (z == "" || p.entry.Zone == z) {
			live = append(live, p.entry)
		}
	}
	slices.SortFunc(live, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

// Zones lists all zones with a known entry or upstream, in order.
func (v *View) Zones() []Zone {
	zones := map[Zone]bool{v.self.Zone: true}
	for _, p := range v.peers {
		zones[p.entry.Zone] = true
	}
	for _, u := range v.upstreams {
		zones[u.Zone] = true
	}
	return slices.Sorted(maps.Keys(zones))
}

// OrphanTimeout is how long a zone must be silent before entries of other zones
// use its upstreams like those of their own zone.
const OrphanTimeout = 8 * time.Second

// OrphanedZones lists the other zones on which no report, direct or relayed, was
// observed within OrphanTimeout. It returns none until the view is that old. The
// entries of an orphaned zone may have stopped or may be partitioned from this
// one. In both cases, using the engines there that answer costs at most some
// extra load on them.
func (v *View) OrphanedZones(now time.Time) []Zone {
	if now.Sub(v.startedAt) < OrphanTimeout {
		return nil
	}
	var orphaned []Zone
	for _, z := range v.Zones() {
		if z != v.self.Zone && now.Sub(v.zoneReports[z].ObservedAt) > OrphanTimeout {
			orphaned = append(orphaned, z)
		}
	}
	return orphaned
}

// OwnZoneReport returns a report on the zone of this entry. revision is the
// configuration revision in force on this entry.
func (v *View) OwnZoneReport(now time.Time, revision uint64) ZoneReport {
	report := ZoneReport{MinRevision: revision, Entries: 1, ObservedAt: now}
	for _, p := range v.peers {
		if p.entry.Zone == v.self.Zone && p.alive(now) {
			report.MinRevision = min(report.MinRevision, p.revision)
			report.Entries++
		}
	}
	return report
}

// RecordZoneReport records a report on another zone. It ignores reports that
// aren't newer than the recorded one, and reports on this entry's own zone.
func (v *View) RecordZoneReport(z Zone, report ZoneReport) {
	if z != v.self.Zone && report.ObservedAt.After(v.zoneReports[z].ObservedAt) {
		v.zoneReports[z] = report
	}
}

// LastZoneReport returns the latest report on another zone. Its ObservedAt is
// zero if there was none.
func (v *View) LastZoneReport(z Zone) ZoneReport { return v.zoneReports[z] }

// MarkSelfLeaving records that this entry is leaving, so that its roles move to
// other entries.
func (v *View) MarkSelfLeaving() { v.selfLeaving = true }

// MarkLinkBroken records that a connection to a peer was refused or broke. The
// peer doesn't count as alive until its next heartbeat.
func (v *View) MarkLinkBroken(id HostID) {
	if p := v.peers[id]; p != nil {
		p.linkBroken = true
	}
}

// PresumedDead reports whether an entry is unknown or has sent no heartbeat for
// longer than SuspectTimeout, so that its runs are presumed to have ended with
// it. A broken link alone doesn't count, as the entry may still be running.
func (v *View) PresumedDead(now time.Time, id HostID) bool {
	if id == v.self.ID {
		return false
	}
	p := v.peers[id]
	return p == nil || now.Sub(p.lastHeartbeat) > SuspectTimeout
}

// Alive reports whether an entry is alive, leaving or not. This entry always is.
func (v *View) Alive(now time.Time, id HostID) bool {
	if id == v.self.ID {
		return true
	}
	p := v.peers[id]
	return p != nil && p.alive(now)
}

// Entry returns the entry with the given id. It returns false if the view doesn't
// know it.
func (v *View) Entry(id HostID) (Entry, bool) {
	if id == v.self.ID {
		return v.self, true
	}
	if p := v.peers[id]; p != nil {
		return p.entry, true
	}
	return Entry{}, false
}

// EntryCount returns the number of entries that the view knows, alive or not,
// this one included.
func (v *View) EntryCount() int { return len(v.peers) + 1 }
