// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"sync"
	"time"

	"github.com/shedpath/shedpath/backoff"
	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/permit"
	"github.com/shedpath/shedpath/quarantine"
	"github.com/shedpath/shedpath/ratelimit"
	"github.com/shedpath/shedpath/rollout"
	"github.com/shedpath/shedpath/roster"
)

// Peer is another entry host.
type Peer = member.Entry

// Share is what a host tells its peers of itself.
type Share struct {
	From Peer
	// AnnouncementCount counts the host's announcements, and AnnouncedAgo is how long ago it made the
	// last; zero before the first.
	AnnouncementCount uint64
	AnnouncementAge   time.Duration
	// Version is the configuration in force, and ConfigAge how long ago it was
	// proved to be the newest.
	Version   Version
	ConfigAge time.Duration
	// OriginAge is how long ago the origin proved that the host is up to date,
	// to it or to the host that it follows.
	OriginAge time.Duration
	Stopping  bool
	// Runs are all generations of the host.
	Runs []RunState
	// EndedRuns are those of its runs that ended by themselves lately.
	EndedRuns []EndedRun
	// Leaving are the host's own observations of engines that leave.
	Leaving []LeavingMark
	// Failing are its findings of upstreams that lose requests.
	Failing []FailingMark
	// Cold are the upstreams that it knows to be cold.
	Cold []ColdMark
	// List is up to where it knows the list of upstreams.
	List history.Point
	// Zones are the orders about zones that it knows.
	Zones []ZoneOrder
	// Epoch tells this process of the host from an earlier one, which knew other things.
	Epoch uint64
	// Crashes are requests under which upstreams ended, as far as the peer may not know.
	Crashes []quarantine.Mark
	// Limits are the newest words of the limits that upstreams name.
	Limits []ratelimit.Mark
	// Backoffs are the upstreams that want nothing from the host for a while.
	Backoffs []backoff.Mark
	// Announcements are hosts, in reply to one that has just started.
	Announcements []roster.Announcement
}

// Peers is the interface to the other hosts.
type Peers interface {
	// Share tells a peer about this host and returns the same of the peer, with its runs where both
	// are of one cell of a divided site.
	Share(ctx context.Context, to Peer, s Share) (Share, error)
	Follow(ctx context.Context, to Peer, r FollowRequest) (FollowReply, error)
	// Config asks a peer for its configuration, if that is newer than a version.
	Config(ctx context.Context, to Peer, have Version) (ConfigReply, error)
	// Ask asks a peer for a place on one of its zone's engines.
	Ask(ctx context.Context, to Peer, a PlacementRequest) (PlacementGrant, error)
	// Permit asks a peer for leave to send to an upstream.
	Permit(ctx context.Context, to Peer, a permit.Ask) (permit.Reply, error)
	// Rollout tells the peer that decides about a rollout what was seen of it, and returns how far
	// it is there.
	Rollout(ctx context.Context, to Peer, r rollout.Report) (rollout.Status, error)
	// Turn waits at an arbiter for the turn to move a run; EndTurn gives it
	// back.
	Turn(ctx context.Context, to Peer, r TurnRequest) error
	EndTurn(ctx context.Context, to Peer, r TurnRequest) error
}

// Timing of what hosts tell each other.
const (
	// shareInterval is the period of shares to each peer; a new run is told at
	// once, to the peers of the own zone.
	shareInterval = 500 * time.Millisecond
	// startupDuration is how long after its start a host looks for its peers more
	// often.
	startupDuration = time.Second
	// shareTimeout bounds one share.
	shareTimeout = 700 * time.Millisecond
	// minShareInterval is the least time between two shares: the changes of a moment go into
	// one, but the first is told at once, for until then other hosts may place runs on
	// the same engine.
	minShareInterval = 3 * time.Millisecond
	// otherCellSharesPerInterval is how many peers of other zones are told in each period, one
	// after another: bytes between zones have a price.
	otherCellSharesPerInterval = 3
	// sameCellSilenceTimeout is how long after its last word a peer of the own zone counts
	// as gone, and farSilent the same for one of another zone.
	sameCellSilenceTimeout  = 1600 * time.Millisecond
	otherCellSilenceTimeout = 15 * time.Second
	// peerForgetTimeout is how long a silent peer is still tried, and its runs are
	// still counted on their engines.
	peerForgetTimeout = 20 * time.Second
)

// shareRunChange tells the peers of the own zone and of the engine's at once that a run was
// placed there, has ended or was taken off: the hosts of an engine's zone decide about it,
// for all, and a run that has ended and still counts keeps another away. While such runs
// were told of within 7 s, hosts took each engine to have 1.4 runs more than its 5.5, and
// on a quiet day 129 requests of 2,479 were refused for want of room.
func (f *Forwarder) shareRunChange(u Upstream) { f.peers.notifyCell(f.peers.upstreamCell(u)) }

// RunPeers tells the peers about this host until the context ends.
func (f *Forwarder) RunPeers(ctx context.Context, peers Peers) {
	f.peers.mu.Lock()
	f.peerTransport = peers
	f.peers.mu.Unlock()
	var sending sync.WaitGroup
	defer sending.Wait()
	sending.Go(func() { f.fetchConfigs(ctx, peers) })
	began := f.now()
	var shared time.Time
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		period, every := false, false
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			period = true
			tick.Reset(nextShareInterval(f.now().Sub(began)))
		case <-f.peers.wakeAll:
			every = true
			PauseFor(ctx, minShareInterval-f.now().Sub(shared))
		case <-f.peers.wake:
			PauseFor(ctx, minShareInterval-f.now().Sub(shared))
		}
		now := f.now()
		shared = now
		if period {
			f.peers.refreshRoster(now)
		}
		f.updateRetryBudgetHosts(now, now.Sub(began))
		f.engines.forgetUnknownPeers(now, f.peers.isKnown)
		f.engines.updateKnownParts(now, f.peers.zoneByHost())
		share := f.newShare(now)
		for _, to := range f.peers.shareTargets(now, period, every, f.crashes.Behind) {
			sending.Go(func() { f.shareWith(ctx, peers, to, share) })
		}
		if period {
			f.shareWithSeeds(ctx, &sending, peers, share)
		}
	}
}

// updateRetryBudgetHosts has the hosts share the slack of the retry budget that were known lately,
// heard or not: one that hears nobody is behind a cut more often than alone, and has an even
// part still. A host that has just started and knows nobody has none until it has looked for
// others.
func (f *Forwarder) updateRetryBudgetHosts(now time.Time, sinceStart time.Duration) {
	hosts := f.peers.recentMaxHosts(now)
	if hosts == 1 && sinceStart < startupDuration {
		return
	}
	f.retries.setHosts(hosts)
}

// nextShareInterval is the time to the next share: short at first, for a host that
// knows no peer watches the origin itself.
func nextShareInterval(sinceStart time.Duration) time.Duration {
	if sinceStart < startupDuration {
		return shareInterval / 4
	}
	return shareInterval
}

// shareWithSeeds tries the addresses that the settings name while no peer is known.
func (f *Forwarder) shareWithSeeds(ctx context.Context, sending *sync.WaitGroup, peers Peers, share Share) {
	f.peers.mu.Lock()
	known := len(f.peers.known)
	f.peers.mu.Unlock()
	if known > 0 {
		return
	}
	for _, address := range f.peers.seeds {
		if address != f.peers.self.PeerAddress {
			sending.Go(func() { f.shareWith(ctx, peers, Peer{PeerAddress: address}, share) })
		}
	}
}

func (f *Forwarder) newShare(now time.Time) Share {
	s := f.newShareWithoutRuns(now)
	s.Runs, s.EndedRuns = f.engines.runStates(now), f.engines.endedRuns(now)
	return s
}

// newShareWithoutRuns is what a peer that shares with this host is told in return.
func (f *Forwarder) newShareWithoutRuns(now time.Time) Share {
	count, age := f.peers.ownAnnouncement(now)
	return Share{
		From: f.peers.self, AnnouncementCount: count, AnnouncementAge: age, Version: f.versionInForce(), ConfigAge: f.ContactAge(now), OriginAge: f.OriginAge(now), Stopping: f.Stopping(),
		Leaving: f.fleet.Marks(now),
		Failing: f.fleet.FailingMarks(now), Cold: f.fleet.ColdMarks(now), List: f.fleet.Revision(), Zones: f.fleet.ZoneOrdersSince(history.Point{}, true), Epoch: f.peers.epoch,
		Limits: f.limiter.Words.Marks(now), Backoffs: f.backoffs.Marks(now),
	}
}

func (f *Forwarder) shareWith(ctx context.Context, peers Peers, to Peer, share Share) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	var upTo uint64
	share.Crashes, upTo = f.crashes.Tell(f.now(), to.ID)
	slept := f.settings.Clock.Slept()
	reply, err := peers.Share(ctx, to, share)
	f.peers.recordShareResult(to.ID, err)
	if err == nil {
		late := f.settings.Clock.Slept() - slept
		reply.ConfigAge, reply.OriginAge = ageWithDelay(reply.ConfigAge, late), ageWithDelay(reply.OriginAge, late)
		if f.peers.inSameCell(reply.From.ID) {
			f.engines.replacePeerRuns(f.now(), reply.From.ID, reply.Runs, reply.EndedRuns)
			f.peers.recordExchange(f.now(), reply.From.ID)
		}
		f.receiveShare(reply)
		f.crashes.Told(reply.From.ID, reply.Epoch, upTo)
	}
}

// receiveShare takes in what a peer says of itself.
func (f *Forwarder) receiveShare(s Share) {
	now := f.now()
	if s.ConfigAge < 0 || s.OriginAge < 0 {
		f.journal.HostEvent("peer told an age below zero", "peer", s.From.ID, "config_age", s.ConfigAge, "origin_age", s.OriginAge)
		s.ConfigAge, s.OriginAge = noProofAge, noProofAge
	}
	f.logZoneChanges(f.fleet.ReceiveZoneOrders(now, s.Zones))
	for _, mark := range s.Leaving {
		f.receiveLeaving(now, s.From.ID, mark)
	}
	if s.From.Zone == f.peers.self.Zone {
		f.fleet.ReceiveFailingMarks(now, s.Failing)
	}
	for _, mark := range s.Cold {
		if f.fleet.ReceiveIncarnation(mark.Upstream, mark.Incarnation) {
			f.fleet.MarkCold(mark.Upstream, now.Add(mark.Remaining))
		}
	}
	for _, mark := range s.Limits {
		f.receiveLimitMark(now, s.From.ID, mark)
	}
	for _, mark := range s.Backoffs {
		f.receivePeerBackoff(now, s.From.ID, mark)
	}
	f.resetRestartedUpstreams()
	f.crashes.Met(s.From.ID, s.Epoch)
	f.receiveCrashes(now, s.Crashes)
	if len(s.Announcements) > 0 {
		f.peers.receiveAnnouncements(now, s.From.ID, s.Announcements)
	}
	if f.peers.recordShare(now, s) {
		f.journal.HostEvent("peer found", "peer", s.From.ID, "zone", s.From.Zone)
	}
	if version := f.versionInForce(); s.Version == version && version > 0 {
		f.ContactProved(now.Add(-s.ConfigAge))
	}
	f.handleConfigOffer(s.From, s.Version)
}

// ageWithDelay is an age that was told, when the word of it may have been late by a while. One
// below zero stays: it is an error of the peer's.
func ageWithDelay(age, late time.Duration) time.Duration {
	if age < 0 {
		return age
	}
	return age + late
}

// OnShare serves a peer's share.
func (f *Forwarder) OnShare(s Share) Share {
	// It may have waited here while this machine was suspended.
	late := f.settings.Clock.Late(f.now())
	s.ConfigAge, s.OriginAge = ageWithDelay(s.ConfigAge, late), ageWithDelay(s.OriginAge, late)
	f.engines.replacePeerRuns(f.now(), s.From.ID, s.Runs, s.EndedRuns)
	f.receiveShare(s)
	now := f.now()
	reply := f.newShareWithoutRuns(now)
	if f.peers.inSameCell(s.From.ID) {
		reply.Runs, reply.EndedRuns = f.engines.runStates(now), f.engines.endedRuns(now)
		f.peers.recordExchange(now, s.From.ID)
	}
	reply.Crashes, _ = f.crashes.Tell(now, s.From.ID)
	if s.List.IsZero() {
		reply.Announcements = f.peers.announcementsForJoiner(now, s.From.ID)
	}
	return reply
}
