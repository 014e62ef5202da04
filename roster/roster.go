// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package roster keeps the list of known hosts.
//
// Each host announces itself periodically. Announcements spread from host to host over existing
// connections, each at most once over each connection. A host without new announcements is
// removed after a while. Whether a host is alive at the moment is for the hosts that
// communicate with it to detect. The package is pure: it does no I/O, starts no goroutines and
// reads no clock.
package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/shedpath/shedpath/member"
)

const (
	// AnnounceInterval is the interval at which a host announces itself.
	AnnounceInterval = 60 * time.Second
	// announcementTTL is how long after its last announcement a host is kept.
	announcementTTL = 200 * time.Second
)

// Announcement is a host's statement that it exists.
type Announcement struct {
	member.Entry
	// Epoch identifies the process of the host that made the announcement. Sequence orders the
	// announcements of one process.
	Epoch, Sequence uint64
	// Age is how long ago the announcement was made.
	Age time.Duration
}

// Roster holds the hosts that one host knows. Create it with New. It is not safe for concurrent
// use.
type Roster struct {
	self  member.Entry
	epoch uint64
	hosts map[member.HostID]*hostRecord
	// lastPosition is the number of announcements accepted so far.
	lastPosition uint64
	// version increases whenever a host is added, changed or removed.
	version uint64
}

// hostRecord is the newest announcement of one host.
type hostRecord struct {
	Announcement
	// announcedAt is when the announcement was made, by this host's clock.
	announcedAt time.Time
	// position numbers the accepted announcements in their order. receivedFrom is the host that
	// passed this one on.
	position     uint64
	receivedFrom member.HostID
}

// minEpochSeparation is how much later than that of another process of its host an announcement
// must have been made to replace it. Announcements carry their age, which doesn't include the
// time of transfer, so small differences prove no order.
const minEpochSeparation = 200 * time.Millisecond

// supersededBy reports whether an announcement is newer than the recorded one.
func (k *hostRecord) supersededBy(now time.Time, a *Announcement) bool {
	if a.Epoch == k.Epoch {
		return a.Sequence > k.Sequence
	}
	return now.Add(-a.Age).Sub(k.announcedAt) > minEpochSeparation
}

// New returns the roster of a process of host self, without any hosts. epoch identifies the
// process.
func New(self member.Entry, epoch uint64) *Roster {
	return &Roster{self: self, epoch: epoch, hosts: map[member.HostID]*hostRecord{}}
}

// Announce renews the announcement of this host if it is due.
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

// OwnAnnouncement returns the sequence number and the age of this host's last announcement.
func (r *Roster) OwnAnnouncement(now time.Time) (sequence uint64, age time.Duration) {
	k := r.hosts[r.self.ID]
	if k == nil {
		return 0, 0
	}
	return k.Sequence, now.Sub(k.announcedAt)
}

// Receive records an announcement that another host passed on. It reports whether the
// announcement was new.
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

// PruneExpired removes the hosts whose last announcement is older than announcementTTL.
func (r *Roster) PruneExpired(now time.Time) {
	for id, k := range r.hosts {
		if id != r.self.ID && now.Sub(k.announcedAt) > announcementTTL {
			delete(r.hosts, id)
			r.version++
		}
	}
}

// Version returns a number that increases whenever a host is added, changed or removed.
func (r *Roster) Version() uint64 { return r.version }

// Len returns the number of known hosts, including this one once it has announced itself.
func (r *Roster) Len() int { return len(r.hosts) }

// Entries lists the known hosts, in no order.
func (r *Roster) Entries() []member.Entry {
	all := make([]member.Entry, 0, len(r.hosts))
	for _, k := range r.hosts {
		all = append(all, k.Entry)
	}
	return all
}

// AnnouncementsSince returns up to limit announcements accepted after a position, oldest first,
// and the position to continue from. It leaves out those of the recipient and those received
// from it.
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
