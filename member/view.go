// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package member

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// View is what one entry knows of the others and of the upstreams. It isn't
// safe for use by several goroutines. Use NewView.
type View struct {
	self Entry
	// selfLeaving says that this entry is stopping: it takes no duty.
	selfLeaving bool
	peers       map[HostID]*peer
	// upstreams is the last host list with what peers and upstreams said since.
	upstreams map[UpstreamID]Upstream
	// leaving is sticky: once one sign said that an upstream leaves, it holds
	// until the host list has dropped the upstream.
	leaving map[UpstreamID]bool
	// zoneReports are the other zoneReports' reports, as last heard.
	zoneReports map[Zone]ZoneReport
	// startedAt is when this entry started to listen.
	startedAt time.Time
}

type peer struct {
	entry Entry
	// lastHeartbeat is the time of the last heartbeat; zero means never.
	lastHeartbeat time.Time
	// linkBroken says that its link was refused or broke since.
	linkBroken bool
	// lastNamed is the last time the host list or a heartbeat named the peer.
	lastNamed time.Time
	leaving   bool
	revision  uint64
}

// ZoneReport is the state of a zone as it was last reported.
type ZoneReport struct {
	// MinRevision is the lowest in force on the zone's live entries.
	MinRevision uint64
	// Entries is how many of them there were.
	Entries int
	// ObservedAt is when this entry learned it.
	ObservedAt time.Time
}

// NewView returns a view that knows only its own entry and the seeds.
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

func (v *View) recordPeer(now time.Time, e Entry) *peer {
	p := v.peers[e.ID]
	if p == nil {
		p = &peer{}
		v.peers[e.ID] = p
	}
	p.entry, p.lastNamed = e, now
	return p
}

// UpdateHostList takes in the platform's list. A peer that was heard of lately stays,
// whatever the list says; an upstream that the list dropped goes.
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
		_, still := listed[id]
		return !still
	})
}

// RecordHeartbeat takes in a heartbeat from a peer.
func (v *View) RecordHeartbeat(now time.Time, from Entry, revision uint64, leaving bool) {
	if from.ID == v.self.ID {
		return
	}
	p := v.recordPeer(now, from)
	p.lastHeartbeat, p.linkBroken, p.revision, p.leaving = now, false, revision, leaving
}

// MarkLeaving records a sign, of whatever source, that an upstream is leaving.
// It reports whether this was news.
func (v *View) MarkLeaving(id UpstreamID) bool {
	if v.leaving[id] {
		return false
	}
	v.leaving[id] = true
	return true
}

// LeavingUpstreams lists the upstreams known to be leaving, for the next heartbeat.
func (v *View) LeavingUpstreams() []UpstreamID { return slices.Sorted(maps.Keys(v.leaving)) }

// Upstreams lists a pool's upstreams that take new work, in the given zone or,
// with an empty zone, everywhere.
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

// Upstream finds an upstream by its id, also one that is leaving.
func (v *View) Upstream(id UpstreamID) (Upstream, bool) {
	u, ok := v.upstreams[id]
	return u, ok
}

// AllUpstreams lists every upstream with its leaving mark, in order.
func (v *View) AllUpstreams() []Upstream {
	listed := slices.Collect(maps.Values(v.upstreams))
	for i := range listed {
		listed[i].Leaving = v.leaving[listed[i].ID]
	}
	slices.SortFunc(listed, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return listed
}

func (p *peer) alive(now time.Time) bool {
	return !p.linkBroken && now.Sub(p.lastHeartbeat) <= SuspectTimeout
}

// takesRoles reports whether the peer is alive and takes duties.
func (p *peer) takesRoles(now time.Time) bool { return p.alive(now) && !p.leaving }

// AvailableEntries lists the live entries of a zone that take duties, this one included
// when it is in the zone, in order. With an empty zone it lists all.
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

// Zones lists the zones that the view has heard of.
func (v *View) Zones() []Zone {
	known := map[Zone]bool{v.self.Zone: true}
	for _, p := range v.peers {
		known[p.entry.Zone] = true
	}
	for _, u := range v.upstreams {
		known[u.Zone] = true
	}
	return slices.Sorted(maps.Keys(known))
}

// OrphanTimeout is how long a zone must be silent for its upstreams to be used
// from other zones as if they were their own.
const OrphanTimeout = 8 * time.Second

// OrphanedZones lists the other zones from which no entry was heard for long,
// directly or through others. Their entries may be gone, or cut off; in either
// case using the engines there that answer costs at most some crowding.
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

// OwnZoneReport reports on the zone of this entry, which is at the given revision.
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

// RecordZoneReport takes in another zone's report; an older one changes nothing.
func (v *View) RecordZoneReport(z Zone, report ZoneReport) {
	if z != v.self.Zone && report.ObservedAt.After(v.zoneReports[z].ObservedAt) {
		v.zoneReports[z] = report
	}
}

// LastZoneReport returns the last report on another zone; its zero At says that there
// was none.
func (v *View) LastZoneReport(z Zone) ZoneReport { return v.zoneReports[z] }

// MarkSelfLeaving makes this entry hand its duties over.
func (v *View) MarkSelfLeaving() { v.selfLeaving = true }

// MarkLinkBroken records that a peer's link was refused or broke: it isn't alive until
// it is heard again.
func (v *View) MarkLinkBroken(id HostID) {
	if p := v.peers[id]; p != nil {
		p.linkBroken = true
	}
}

// PresumedDead reports whether an entry hasn't been heard of for so long that its runs
// are taken to have ended with it. A link that broke just now doesn't say so.
func (v *View) PresumedDead(now time.Time, id HostID) bool {
	if id == v.self.ID {
		return false
	}
	p := v.peers[id]
	return p == nil || now.Sub(p.lastHeartbeat) > SuspectTimeout
}

// Alive reports whether an entry was heard of lately, leaving or not; this one
// always is.
func (v *View) Alive(now time.Time, id HostID) bool {
	if id == v.self.ID {
		return true
	}
	p := v.peers[id]
	return p != nil && p.alive(now)
}

// Entry finds an entry by its id.
func (v *View) Entry(id HostID) (Entry, bool) {
	if id == v.self.ID {
		return v.self, true
	}
	if p := v.peers[id]; p != nil {
		return p.entry, true
	}
	return Entry{}, false
}

// EntryCount is how many entries the view knows of, this one included.
func (v *View) EntryCount() int { return len(v.peers) + 1 }
