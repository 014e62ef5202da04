// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/shedpath/shedpath/member"
)

// Report is what an engine says of itself; it is some hundred milliseconds old.
type Report struct {
	Leaving bool
	// LeavesIn is how long the engine will still serve; zero when it doesn't
	// say.
	LeavesIn time.Duration
}

// LeavingMark is a host's own observation that an engine leaves, for its peers.
type LeavingMark struct {
	Engine member.UpstreamID
	// In is how long it will still serve; zero when that isn't known.
	In time.Duration
}

// While the list of upstreams can't be had, engines are asked themselves whether
// they leave: a notice is short, and a run that isn't moved is lost.
const (
	// scoutEvery is the period of asking one engine. Each answer has a price,
	// so only one host asks each engine, and only while the list is lost.
	scoutEvery = 300 * time.Millisecond
	// scoutTimeout bounds one answer.
	scoutTimeout = 400 * time.Millisecond
	// listLate is how old the proof of the list may be before engines are asked.
	listLate = watchWait + 600*time.Millisecond
	// markShared is how long an observation is told to peers.
	markShared = 3 * time.Second
)

// RunScout asks the engines while the list is lost, until the context ends.
func (f *Forwarder) RunScout(ctx context.Context) {
	tick := time.NewTicker(scoutEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			if !f.listKnown(now) {
				f.scout(ctx, now)
			}
		}
	}
}

// listKnown reports whether the list is up to date, by this host or by a peer
// that it follows.
func (f *Forwarder) listKnown(now time.Time) bool {
	return f.following(now) || f.ListAge(now) <= listLate
}

// scout asks the engines that this host is the arbiter of and that carry runs.
func (f *Forwarder) scout(ctx context.Context, now time.Time) {
	var asking conc.WaitGroup
	for _, id := range f.engines.busy() {
		u, known := f.fleet.Upstream(id)
		if !known || u.Leaving || f.peers.arbiter(now, u).ID != f.peers.self.ID {
			continue
		}
		asking.Go(func() { f.ask(ctx, u) })
	}
	asking.Wait()
}

func (f *Forwarder) ask(ctx context.Context, u Upstream) {
	ctx, cancel := context.WithTimeout(ctx, scoutTimeout)
	defer cancel()
	r, err := f.transport.Report(ctx, u)
	if err != nil || !r.Leaving {
		return
	}
	now := time.Now()
	f.journal.Belief("engine says that it leaves", "upstream", u.ID, "in", r.LeavesIn, "list_age", f.ListAge(now))
	f.fleet.MarkLeaving(now, u.ID, r.LeavesIn, true)
	f.peers.nudgeAll()
}
