// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// Origin is where the configuration and the list of upstreams are kept. Waiting
// calls answer at the next change after a revision, or with nothing when the
// wait is over.
type Origin interface {
	// ReadConfig returns the configuration, which isn't there before the
	// first.
	ReadConfig(ctx context.Context) (c Config, found bool, at Revision, err error)
	WatchConfig(ctx context.Context, after Revision, wait time.Duration) (c Config, found bool, at Revision, err error)
	// ReadUpstreams returns the whole list as of a revision.
	ReadUpstreams(ctx context.Context) (list []Upstream, at Revision, err error)
	WatchUpstreams(ctx context.Context, after Revision, wait time.Duration) (changes []Change, at Revision, err error)
}

// ErrHistoryGone is an Origin's word that it no longer has the changes after a
// revision: all has to be read again.
var ErrHistoryGone = errors.New("the history is gone")

const (
	// watchWait is how long a watch waits. Changes end it at once, but a watch
	// may miss them, so its silence is believed no longer than this: half of
	// the time in which a configuration has to be in force.
	watchWait = time.Second
	// failLeast and failMost bound the pause after a failed call; it doubles
	// with each failure in a row.
	failLeast = 50 * time.Millisecond
	failMost  = 800 * time.Millisecond
)

// failPause is the pause after so many failures in a row, half of it jitter.
func failPause(failures int) time.Duration {
	pause := min(failLeast<<min(failures, 8), failMost)
	return pause/2 + rand.N(pause)
}

// dependency notes when something that this host depends on is lost and
// regained. It is for one goroutine.
type dependency struct {
	name     string
	journal  Journal
	lost     time.Time
	failures int
}

// failed notes a failure, and waits before the next try.
func (d *dependency) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if d.lost.IsZero() {
		d.lost = time.Now()
		d.journal.Belief("dependency lost", "what", d.name, "err", err)
	}
	d.failures++
	pauseFor(ctx, failPause(d.failures))
}

// ok notes a success and returns how long the outage was that it ended; zero
// when there was none.
func (d *dependency) ok(now time.Time) time.Duration {
	d.failures = 0
	if d.lost.IsZero() {
		return 0
	}
	lostFor := now.Sub(d.lost)
	d.journal.Belief("dependency regained", "what", d.name, "lost_for", lostFor)
	d.lost = time.Time{}
	return lostFor
}

// followingCheck is how often a host that follows a peer looks whether it still
// does.
const followingCheck = 100 * time.Millisecond

// following reports whether a peer gives this host what is new.
func (f *Forwarder) following(now time.Time) bool {
	return now.Sub(time.Unix(0, f.followed.Load())) < followTimeout
}

// FollowConfig keeps the configuration up to date until the context ends.
func (f *Forwarder) FollowConfig(ctx context.Context, from Origin) {
	d := dependency{name: "configuration watch", journal: f.journal}
	var at Revision
	read := true
	for ctx.Err() == nil {
		if f.following(time.Now()) {
			read = true
			pauseFor(ctx, followingCheck)
			continue
		}
		asked := time.Now()
		var c Config
		var found bool
		var next Revision
		var err error
		if read {
			c, found, next, err = from.ReadConfig(ctx)
		} else {
			c, found, next, err = from.WatchConfig(ctx, at, watchWait)
		}
		switch {
		case errors.Is(err, ErrHistoryGone):
			read = true
			continue
		case err != nil:
			f.originLost.Store(true)
			d.failed(ctx, err)
			// What was missed meanwhile is read at once, not waited for.
			read = true
			continue
		}
		f.originLost.Store(false)
		d.ok(time.Now())
		if found {
			f.Configure(time.Now(), c)
		}
		if read {
			f.ContactProved(asked)
		} else {
			f.ContactProved(time.Now())
		}
		read, at = false, max(at, next)
	}
}

// listFollower keeps the list of upstreams up to date, from the origin or from
// a peer that watches the origin.
type listFollower struct {
	*Forwarder
	from Origin
	dep  dependency
	// read says that the list has to be read whole; at is the revision that a
	// watch goes on from.
	read bool
	at   Revision
	// tried is when the origin failed last.
	tried time.Time
}

// alonePause is waited between two watches while no peer is known.
const alonePause = 150 * time.Millisecond

// originPause is how long a host whose origin failed follows a peer before it
// tries the origin again.
const originPause = time.Second

// FollowUpstreams keeps the list of upstreams up to date until the context
// ends.
func (f *Forwarder) FollowUpstreams(ctx context.Context, from Origin) {
	l := &listFollower{Forwarder: f, from: from, dep: dependency{name: "list watch", journal: f.journal}, read: true}
	for ctx.Err() == nil {
		if l.followLeader(ctx) {
			continue
		}
		l.followOrigin(ctx)
	}
}

// followLeader takes over what a peer has that is newer. It reports false when
// this host has to ask the origin itself.
func (l *listFollower) followLeader(ctx context.Context) bool {
	now := time.Now()
	needed := l.dep.failures > 0 && (l.originLost.Load() || now.Sub(l.tried) < originPause)
	if l.read && !needed {
		return false
	}
	leader, found := l.peers.leader(now, needed)
	if !found || !l.followPeer(ctx, leader) {
		return false
	}
	if needed {
		l.fleet.ListTrusted()
	}
	l.at = max(l.at, l.fleet.Revision())
	return true
}

// followOrigin reads the list or waits for its next change.
func (l *listFollower) followOrigin(ctx context.Context) {
	proved := time.Now()
	var news []Change
	var next Revision
	var err error
	if l.read {
		var list []Upstream
		list, next, err = l.from.ReadUpstreams(ctx)
		if err == nil {
			news = l.fleet.Replace(time.Now(), list, next)
		}
	} else {
		var changes []Change
		changes, next, err = l.from.WatchUpstreams(ctx, l.at, watchWait)
		if err == nil {
			proved = time.Now()
			news = l.fleet.Apply(proved, changes)
		}
	}
	if errors.Is(err, ErrHistoryGone) {
		l.read = true
		return
	}
	if err != nil {
		l.read, l.tried = true, time.Now()
		l.fleet.ListLost(l.tried)
		// The proof is withdrawn, so that followers turn elsewhere at once and
		// engines are asked themselves.
		l.listContact.Store(0)
		l.fleet.Wake()
		l.dep.failed(ctx, err)
		return
	}
	l.noteList(news)
	if lostFor := l.dep.ok(time.Now()); lostFor > 0 {
		l.fleet.ListRegained(time.Now(), lostFor)
	}
	l.listProved(proved)
	l.read, l.at = false, max(l.at, next)
	if l.peers.live(proved) == 1 {
		// Hosts that start together don't know each other yet, and each change
		// would be told to every one of them.
		pauseFor(ctx, alonePause)
	}
}

func (f *Forwarder) noteList(news []Change) {
	for _, n := range news {
		f.journal.Belief("upstream listed", "upstream", n.ID, "service", n.Service, "zone", n.Zone,
			"leaving", n.Leaving, "gone", n.Gone, "revision", n.Revision)
	}
}

// listProved takes in that the list was up to date at a time.
func (f *Forwarder) listProved(at time.Time) { raise(&f.listContact, at) }

// ListAge is how long ago the list was last proved to be up to date.
func (f *Forwarder) ListAge(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, f.listContact.Load()))
}
