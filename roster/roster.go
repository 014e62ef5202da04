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
	// AnnounceEvery is how often a host announces itself.
	AnnounceEvery = 60 * time.Second
	// keptFor is for how long after its last announcement a host is known.
	keptFor = 200 * time.Second
)

// Announcement is a host's word that it is there.
type Announcement struct {
	member.Entry
	// Epoch tells the process that made it from earlier ones of the host, and Count orders the
	// announcements of one process.
	Epoch, Count uint64
	// Age is how long ago it was made.
	Age time.Duration
}

// Roster is what one host knows. Use New. It isn't safe for use by several goroutines.
type Roster struct {
	self  member.Entry
	epoch uint64
	hosts map[member.HostID]*known
	// last counts the announcements that were taken in.
	last uint64
	// changed counts the hosts that came or went.
	changed uint64
}

type known struct {
	Announcement
	// at is when it was made, by this host's clock.
	at time.Time
	// count is that of last when it was taken in, and from who told it.
	count uint64
	from  member.HostID
}

// processesApart is by how much later a process's announcement must have been made than that of
// another of its host to be believed the later one: their ages are told, and are late by what they took.
const processesApart = 200 * time.Millisecond

// supersededBy reports whether an announcement is later than the one that is known.
func (k *known) supersededBy(now time.Time, a *Announcement) bool {
	if a.Epoch == k.Epoch {
		return a.Count > k.Count
	}
	return now.Add(-a.Age).Sub(k.at) > processesApart
}

// New returns the roster of a process of a host, which has it alone.
func New(self member.Entry, epoch uint64) *Roster {
	return &Roster{self: self, epoch: epoch, hosts: map[member.HostID]*known{}}
}

// Announce has this host be announced anew, if that is due.
func (r *Roster) Announce(now time.Time) {
	k := r.hosts[r.self.ID]
	if k != nil && now.Sub(k.at) < AnnounceEvery {
		return
	}
	own := Announcement{Entry: r.self, Epoch: r.epoch, Count: 1}
	if k != nil {
		own.Count = k.Count + 1
	}
	r.Receive(now, r.self.ID, own)
}

// Own is this host's last announcement.
func (r *Roster) Own(now time.Time) (count uint64, age time.Duration) {
	k := r.hosts[r.self.ID]
	if k == nil {
		return 0, 0
	}
	return k.Count, now.Sub(k.at)
}

// Receive takes in an announcement that another host passed on. It reports whether it is news.
func (r *Roster) Receive(now time.Time, from member.HostID, a Announcement) bool {
	if a.ID == "" || a.Age > keptFor || a.ID == r.self.ID && from != r.self.ID {
		return false
	}
	k := r.hosts[a.ID]
	if k != nil && !k.supersededBy(now, &a) {
		return false
	}
	if k == nil || k.Entry != a.Entry {
		r.changed++
	}
	r.last++
	r.hosts[a.ID] = &known{Announcement: a, at: now.Add(-a.Age), count: r.last, from: from}
	return true
}

// Forget drops the hosts that weren't announced lately.
func (r *Roster) Forget(now time.Time) {
	for id, k := range r.hosts {
		if id != r.self.ID && now.Sub(k.at) > keptFor {
			delete(r.hosts, id)
			r.changed++
		}
	}
}

// Changed rises with each host that comes, goes, or is announced otherwise.
func (r *Roster) Changed() uint64 { return r.changed }

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

// Since returns announcements that were taken in after a count, the earliest first and some at
// most, but for those that came from whom they are for, and the count to go on from.
func (r *Roster) Since(now time.Time, count uint64, to member.HostID, most int) ([]Announcement, uint64) {
	if count >= r.last {
		return nil, r.last
	}
	var news []*known
	for _, k := range r.hosts {
		if k.count > count && k.from != to && k.ID != to {
			news = append(news, k)
		}
	}
	slices.SortFunc(news, func(a, b *known) int { return cmp.Compare(a.count, b.count) })
	upTo := r.last
	if len(news) > most {
		news = news[:most]
		upTo = news[most-1].count
	}
	told := make([]Announcement, len(news))
	for i, k := range news {
		told[i] = k.Announcement
		told[i].Age = now.Sub(k.at)
	}
	return told, upTo
}
