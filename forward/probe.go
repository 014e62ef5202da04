// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/shedpath/shedpath/eligibility"
	"github.com/shedpath/shedpath/member"
)

// While the list of upstreams is unavailable, engines are asked directly whether they are
// leaving: a notice is short, and a run that is not moved in time is lost.
const (
	// probeInterval is how often one engine is probed. Each answer has a cost, so only one
	// host probes each engine, and only while the list is not reliable.
	probeInterval = 300 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 400 * time.Millisecond
	// maxListAge is how old the last proof that the list is current may be before engines are
	// probed.
	maxListAge = watchTimeout + 600*time.Millisecond
	// listSuspectDuration is how long engines are probed after one ended without notice: its
	// own entry in the list was late, and those of others may be, too.
	listSuspectDuration = 10 * time.Second
)

// RunProbes probes engines while the list is unavailable, suspect or lacks engines that have
// runs, until the context ends.
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

// isListCurrent reports whether the list is up to date, either at this host or at a peer that
// it follows.
func (f *Forwarder) isListCurrent(now time.Time) bool {
	return f.isFollowing(now) || f.OriginAge(now) <= maxListAge
}

// markListSuspect records that an engine ended without notice although it is still on the
// list.
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

// probeEngines probes those of the given engines that this host arbitrates.
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

// checkLeavingHint probes an engine that hinted that it is leaving, unless the list says so
// already. The hint isn't proof: a few times a day it also comes with answers of engines that
// stay.
func (s *streamExchange) checkLeavingHint(ctx context.Context, u Upstream) {
	known, found := s.fleet.Upstream(u.ID)
	if !found || known.Leaving {
		return
	}
	s.tasks.Go("probe", func() { s.probeEngine(context.WithoutCancel(ctx), &s.service, u) })
}

// probeEngine checks an engine's health. An unhealthy engine counts as leaving, and a reported
// cold start or new incarnation is recorded. A failed check proves nothing. An engine with a
// rate limit is checked only if no request wants its place.
func (f *Forwarder) probeEngine(ctx context.Context, s *Service, u Upstream) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	health, err := f.checkHealth(ctx, s, u, eligibility.Probe)
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
