// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/shedpath/shedpath/member"
)

// While the list of upstreams can't be had, engines are asked themselves whether
// they leave: a notice is short, and a run that isn't moved is lost.
const (
	// probeInterval is the period of asking one engine. Each answer has a price,
	// so only one host asks each engine, and only while the list is lost.
	probeInterval = 300 * time.Millisecond
	// probeTimeout bounds one answer.
	probeTimeout = 400 * time.Millisecond
	// maxListAge is how old the proof of the list may be before engines are asked.
	maxListAge = watchTimeout + 600*time.Millisecond
	// listSuspectDuration is how long engines are asked after one went without notice: its own
	// entry on the list came late, and others' may, too.
	listSuspectDuration = 10 * time.Second
)

// RunProbes asks the engines while the list is lost, until the context ends.
func (f *Forwarder) RunProbes(ctx context.Context) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			now := f.now()
			if !f.isListCurrent(now) || f.isListSuspect(now) {
				f.probeEngines(ctx, now, f.engines.enginesWithRuns())
				continue
			}
			if missing := f.fleet.Missing(); len(missing) > 0 {
				f.probeEngines(ctx, now, intersect(f.engines.enginesWithRuns(), missing))
			}
		}
	}
}

// isListCurrent reports whether the list is up to date, by this host or by a peer
// that it follows.
func (f *Forwarder) isListCurrent(now time.Time) bool {
	return f.isFollowing(now) || f.OriginAge(now) <= maxListAge
}

// markListSuspect takes in that an engine which the list has as well went without
// notice.
func (f *Forwarder) markListSuspect(now time.Time) {
	if !f.isListSuspect(now) {
		f.journal.HostEvent("list suspect", "for", listSuspectDuration, "list_revision", f.fleet.Revision())
	}
	f.listSuspectedAt.advance(now)
}

func (f *Forwarder) isListSuspect(now time.Time) bool {
	return f.listSuspectedAt.age(now) < listSuspectDuration
}

// intersect returns the ids that are in both lists.
func intersect(a, b []member.UpstreamID) []member.UpstreamID {
	return slices.DeleteFunc(a, func(id member.UpstreamID) bool { return !slices.Contains(b, id) })
}

// probeEngines asks those of some engines that this host is the arbiter of.
func (f *Forwarder) probeEngines(ctx context.Context, now time.Time, ids []member.UpstreamID) {
	t := f.table.Load()
	if t == nil {
		return
	}
	var asking conc.WaitGroup
	for _, id := range ids {
		u, known := f.fleet.Upstream(id)
		service, declared := t.Service(u.Service)
		if !known || !declared || u.Leaving || !f.fleet.InService(u.Zone) || f.peers.arbiter(now, u).ID != f.peers.self.ID {
			continue
		}
		asking.Go(func() { f.probeEngine(ctx, &service, u) })
	}
	asking.Wait()
}

// checkLeavingHint asks an engine that hinted that it leaves, unless the list says so.
// The hint comes with some other answers, too, three times a day of 17 streams a
// second.
func (s *streamExchange) checkLeavingHint(ctx context.Context, u Upstream) {
	known, found := s.fleet.Upstream(u.ID)
	if !found || known.Leaving {
		return
	}
	go s.probeEngine(context.WithoutCancel(ctx), &s.service, u)
}

// probeEngine takes an engine's word that it isn't well as a sign that it leaves, and believes
// that it is cold or in a new life. No answer says nothing. One that is bounded is asked
// only where no request wants its place.
func (f *Forwarder) probeEngine(ctx context.Context, s *Service, u Upstream) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	health, err := f.checkHealth(ctx, s, u)
	now := f.now()
	if err != nil || !f.fleet.ReceiveIncarnation(u.ID, health.Life) {
		return
	}
	f.resetRestartedUpstreams()
	if health.ColdRemaining > 0 {
		f.fleet.MarkCold(u.ID, now.Add(health.ColdRemaining))
	}
	if health.Healthy || health.Rejected {
		return
	}
	f.journal.HostEvent("engine says that it leaves", "upstream", u.ID, "origin_age", f.OriginAge(now))
	f.fleet.MarkLeaving(now, u.ID, 0, true)
	f.peers.notifyAll()
}
