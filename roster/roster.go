// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package roster keeps which hosts there are.
//
// Each host announces itself now and then; announcements travel from host to host along the links
// that there are anyway, each at most once over each. A host that is announced no more is
// forgotten after a while. Whether it lives at the moment is for those to find out who speak to it.
// The package is pure: no I/O, no goroutine, and no clock.
package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/shedpath/shedpath/member"
)

const (
	// AnnounceInterval is how often a host announces itself.
	AnnounceInterval = 60 * time.Second
	// announcementTTL is for how long after its last announcement a host is known.
	announcementTTL = 200 * time.Second
)

// Announcement is a host's word that it is there.
type Announcement struct {
	member.Entry
	// Epoch tells the process that made it from earlier ones of the host, and Sequence orders the
	// announcements of one process.
	Epoch, Sequence uint64
	// Age is how long ago it was made.
	Age time.Duration
}

// Roster is what one host knows. Use New. It isn't safe for use by several goroutines.
type Roster struct {
	self  member.Entry
	epoch uint64
	hosts map[member.HostID]*hostRecord
	// lastPosition counts the announcements that were taken in.
	lastPosition uint64
	// version counts the hosts that came or went.
	version uint64
}

type hostRecord struct {
	Announcement
	// announcedAt is when it was made, by this host's clock.
	announcedAt time.Time
	// position is that of last when it was taken in, and from who told it.
	position     uint64
	receivedFrom member.HostID
}

// minEpochSeparation is by how much later a process's announcement must have been made than that of
// another of its host to be believed the later one: their ages are told, and are late by what they took.
const minEpochSeparation = 200 * time.Millisecond

// supersededBy reports whether an announcement is later than the one that is known.
func (k *hostRecord) supersededBy(now time.Time, a *Announcement) bool {
	if a.Epoch == k.Epoch {
		return a.Sequence > k.Sequence
	}
	return now.Add(-a.Age).Sub(k.announcedAt) > minEpochSeparation
}

// New returns the roster of a process of a host, which has it alone.
func New(self member.Entry, epoch uint64) *Roster {
	return &Roster{self: self, epoch: epoch, hosts: map[member.HostID]*hostRecord{}}
}

// Announce has this host be announced anew, if that is due.
func (r *Roster) Announce(now time.Time) {
	k := r.hosts[r.self.ID]
	if k != nil && now.Sub(k.announcedAt) < AnnounceInterval {
		return
	}
	own := Announcement{Entry: r.self, Epoch: r.epoch, Sequence: 1}
	if k != nil {
		own.Sequence = k.Sequence + 1
	}
	r.Receive(now, r.self.ID, own)
}

// OwnAnnouncement is this host's last announcement.
func (r *Roster) OwnAnnouncement(now time.Time) (sequence uint64, age time.Duration) {
	k := r.hosts[r.self.ID]
	if k == nil {
		return 0, 0
	}
	return k.Sequence, now.Sub(k.announcedAt)
}

// Receive takes in an announcement that another host passed on. It reports whether it is news.
func (r *Roster) Receive(now time.Time, from member.HostID, a Announcement) bool {
	if a.ID == "" || a.Age > announcementTTL || a.ID == r.self.ID && from != r.self.ID {
		return false
	}
	k := r.hosts[a.ID]
	if k != nil && !k.supersededBy(now, &a) {
		return false
	}
	if k == nil || k.Entry != a.Entry {
		r.version++
	}
	r.lastPosition++
	r.hosts[a.ID] = &hostRecord{Announcement: a, announcedAt: now.Add(-a.Age), position: r.lastPosition, receivedFrom: from}
	return true
}

// PruneExpired drops the hosts that weren't announced lately.
func (r *Roster) PruneExpired(now time.Time) {
	for id, k := range r.hosts {
		if id != r.self.ID && now.Sub(k.announcedAt) > announcementTTL {
			delete(r.hosts, id)
			r.version++
		}
	}
}

// Version rises with each host that comes, goes, or is announced otherwise.
func (r *Roster) Version() uint64 { return r.version }

// Len is how many hosts are known, with this one if it has announced itself.
func (r *Roster) Len() int { return len(r.hosts) }

// Entries lists the hosts, in no order.
func (r *Roster) Entries() []member.Entry {
	all := make([]member.Entry, 0, len(r.hosts))
	for _, k := range r.hosts {
		all = append(all, k.Entry)
	}
	return all
}

// AnnouncementsSince returns announcements that were taken in after a count, the earliest first and some at
// most, but for those that came from whom they are for, and the count to go on from.
func (r *Roster) AnnouncementsSince(now time.Time, position uint64, to member.HostID, limit int) ([]Announcement, uint64) {
	if position >= r.lastPosition {
		return nil, r.lastPosition
	}
	var pending []*hostRecord
	for _, k := range r.hosts {
		if k.position > position && k.receivedFrom != to && k.ID != to {
			pending = append(pending, k)
		}
	}
	slices.SortFunc(pending, func(a, b *hostRecord) int { return cmp.Compare(a.position, b.position) })
	nextPosition := r.lastPosition
	if len(pending) > limit {
		pending = pending[:limit]
		nextPosition = pending[limit-1].position
	}
	announcements := make([]Announcement, len(pending))
	for i, k := range pending {
		announcements[i] = k.Announcement
		announcements[i].Age = now.Sub(k.announcedAt)
	}
	return announcements, nextPosition
}
