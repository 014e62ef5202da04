// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"time"

	"github.com/shedpath/shedpath/forward"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/rollout"
	"github.com/shedpath/shedpath/roster"
)

// wireFollowRequest encodes forward.FollowRequest; Wait is in milliseconds.
type wireFollowRequest struct {
	Version, List uint64
	ListEra       uint64 `msgpack:",omitempty"`
	Epoch, Found  uint64
	Wait          int64
	From          string
	Announced     []wireAnnouncement
}

// wireFollowReply encodes forward.FollowReply; ages are in milliseconds.
type wireFollowReply struct {
	Version uint64
	Changes []wireChange
	// Packed holds the compressed changes if there are many; Changes is then empty.
	Packed               []byte
	Busy                 bool
	Zones                []wireZoneOrder
	Rollouts             []wireRollout
	Whole, Gaps          bool
	List                 uint64
	ListEra              uint64 `msgpack:",omitempty"`
	EraFrom              uint64
	EraAge               int64
	Hosts                []wireAnnouncement
	Epoch, Found         uint64
	ConfigAge, OriginAge int64
}

// wireChange encodes forward.Change.
type wireChange struct {
	ID, Service, Address, Zone string
	Slots                      int
	Leaving, Gone, Missing     bool
	Unusable                   bool
	Version                    string
	Life                       int64
	// Cold is how much longer the upstream is cold, in milliseconds.
	Cold int64
	// Believed is in how many milliseconds the change takes effect; zero for at once.
	Believed int64 `msgpack:",omitempty"`
	Revision uint64
	Era      uint64 `msgpack:",omitempty"`
}

// wireAnnouncement encodes roster.Announcement; Age is in milliseconds.
type wireAnnouncement struct {
	ID, Zone, Address string
	Capacity          int
	Epoch, Count      uint64
	Age               int64
}

func toWireAnnouncements(announced []roster.Announcement) []wireAnnouncement {
	var w []wireAnnouncement
	for _, a := range announced {
		w = append(w, wireAnnouncement{string(a.ID), string(a.Zone), a.PeerAddress, a.Capacity, a.Epoch, a.Sequence, a.Age.Milliseconds()})
	}
	return w
}

func announcements(w []wireAnnouncement) []roster.Announcement {
	var announced []roster.Announcement
	for _, a := range w {
		announced = append(announced, roster.Announcement{
			Entry: member.Entry{ID: member.HostID(a.ID), Zone: member.Zone(a.Zone), PeerAddress: a.Address, Capacity: a.Capacity},
			Epoch: a.Epoch, Sequence: a.Count, Age: time.Duration(max(a.Age, 0)) * time.Millisecond,
		})
	}
	return announced
}

func toWireFollowReply(now time.Time, r forward.FollowReply, packer *listPacker) (wireFollowReply, error) {
	w := wireFollowReply{
		Busy:    r.Busy,
		Version: uint64(r.Version), Whole: r.Complete, Gaps: r.HasGaps, EraFrom: uint64(r.EraFirstSeen.Revision()), EraAge: r.EraAge.Milliseconds(), Epoch: r.HostCursor.Epoch, Found: r.HostCursor.Position,
		ConfigAge: r.ConfigAge.Milliseconds(), OriginAge: r.OriginAge.Milliseconds(),
		Zones: toWireZones(now, r.Zones), Rollouts: toWireRollouts(r.Rollouts),
	}
	w.ListEra, w.List = pointNumbers(r.ListRevision)
	w.Hosts = toWireAnnouncements(r.Announcements)
	var err error
	if w.Packed, err = packer.pack(now, r); err != nil || len(w.Packed) > 0 {
		return w, err
	}
	for _, c := range r.Changes {
		w.Changes = append(w.Changes, toWireChange(now, c))
	}
	return w, nil
}

func toWireChange(now time.Time, c forward.Change) wireChange {
	change := wireChange{
		ID: string(c.ID), Service: string(c.Service), Address: c.Address, Zone: string(c.Zone),
		Slots: c.Slots, Leaving: c.Leaving, Gone: c.Gone, Missing: c.Missing,
		Version: string(c.Version), Unusable: c.Unusable, Life: int64(c.Incarnation), Cold: max(c.ColdUntil.Sub(now).Milliseconds(), 0),
	}
	change.Era, change.Revision = pointNumbers(c.Revision)
	change.Believed = believedDelayMillis(now, c.BelievedFrom)
	return change
}

func (w wireFollowReply) reply(now time.Time) (forward.FollowReply, error) {
	r := forward.FollowReply{
		Busy:    w.Busy,
		Version: forward.Version(w.Version), Complete: w.Whole, HasGaps: w.Gaps, ListRevision: newPoint(w.ListEra, w.List), EraFirstSeen: newPoint(w.ListEra, w.EraFrom), EraAge: time.Duration(w.EraAge) * time.Millisecond, HostCursor: forward.HostCursor{Epoch: w.Epoch, Position: w.Found},
		ConfigAge: time.Duration(w.ConfigAge) * time.Millisecond, OriginAge: time.Duration(w.OriginAge) * time.Millisecond,
		Zones: zoneOrders(now, w.Zones), Rollouts: rolloutStatuses(w.Rollouts),
	}
	for _, c := range w.Changes {
		r.Changes = append(r.Changes, c.change(now))
	}
	r.Announcements = announcements(w.Hosts)
	if len(w.Packed) == 0 {
		return r, nil
	}
	var err error
	r.Changes, err = unpackChanges(now, w.Packed)
	return r, err
}

func (w wireChange) change(now time.Time) forward.Change {
	c := forward.Change{
		Upstream: forward.Upstream{
			ID: member.UpstreamID(w.ID), Service: forward.ServiceName(w.Service), Address: w.Address,
			Zone: member.Zone(w.Zone), Slots: w.Slots, Version: rollout.Version(w.Version), Leaving: w.Leaving, Incarnation: forward.Incarnation(w.Life), Revision: newPoint(w.Era, w.Revision),
		},
		Gone: w.Gone, Missing: w.Missing, Unusable: w.Unusable,
	}
	if w.Cold > 0 {
		c.ColdUntil = now.Add(time.Duration(w.Cold) * time.Millisecond)
	}
	c.BelievedFrom = believedFromDelay(now, w.Believed)
	return c
}

// Follow asks a peer for what is newer than this host's state.
func (m *Mesh) Follow(ctx context.Context, to forward.Peer, r forward.FollowRequest) (forward.FollowReply, error) {
	var answer wireFollowReply
	request := wireFollowRequest{
		Version: uint64(r.Version), Epoch: r.HostCursor.Epoch, Found: r.HostCursor.Position, Wait: r.Wait.Milliseconds(),
		From: string(r.From), Announced: toWireAnnouncements(r.Announcements),
	}
	request.ListEra, request.List = pointNumbers(r.ListRevision)
	if err := m.call(ctx, to.PeerAddress, kindFollow, request, &answer); err != nil {
		return forward.FollowReply{}, err
	}
	return answer.reply(m.clock.Now())
}
