// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"sync"
	"time"

	"github.com/shedpath/shedpath/backoff"
	"github.com/shedpath/shedpath/enginereport"
	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/pace"
	"github.com/shedpath/shedpath/permit"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/quarantine"
	"github.com/shedpath/shedpath/ratelimit"
	"github.com/shedpath/shedpath/rejection"
	"github.com/shedpath/shedpath/rollout"
	"github.com/shedpath/shedpath/roster"
)

// Peer is another entry host.
type Peer = member.Entry

// Share is the state that a host reports to its peers, periodically and after changes.
type Share struct {
	From Peer
	// AnnouncementCount counts the host's announcements, and AnnouncementAge is how long ago the
	// last one was made; both are zero before the first.
	AnnouncementCount uint64
	AnnouncementAge   time.Duration
	// Version is the configuration in force, and ConfigAge is how long ago it was
	// proved to be the newest.
	Version   Version
	ConfigAge time.Duration
	// OriginAge is how long ago the origin proved that the host is up to date, either directly
	// or to the host that it follows.
	OriginAge time.Duration
	Stopping  bool
	// Runs are all generations in progress on the host, or, with RunChangesOnly, those that were placed,
	// were moved or have begun since the last share that the peer answered. GoneRuns are gone since then.
	Runs           []RunState
	RunChangesOnly bool
	GoneRuns       []policy.RunID
	// MergesRuns says that the host understands RunChangesOnly.
	MergesRuns bool
	// snapshot is what the peer knows of the host's runs once it has the share; it isn't sent.
	snapshot *runSnapshot
	// EndedRuns are the runs of the host whose answers recently ended by themselves.
	EndedRuns []EndedRun
	// Leaving are the host's own observations of upstreams that leave.
	Leaving []LeavingMark
	// Failing are the upstreams that lose requests, as the host itself found.
	Failing []FailingMark
	// Cold are the upstreams that the host knows to be cold.
	Cold []ColdMark
	// List is the point up to which the host knows the list of upstreams.
	List history.Point
	// Zones are the orders about zones that the host knows.
	Zones []ZoneOrder
	// Epoch identifies the host's process. After a restart the new process has none of the state
	// of the earlier one.
	Epoch uint64
	// Crashes are the requests during which upstreams crashed, those that the peer may not have.
	Crashes []quarantine.Mark
	// Limits are the newest rate limits that upstreams have given.
	Limits []ratelimit.PeerReport
	// Backoffs are the upstreams that have asked the host to send nothing for a while.
	Backoffs []backoff.Mark
	// Announcements are announcements of hosts. Only the reply to a host that has just started has
	// any.
	Announcements []roster.Announcement
	// Paces are the host's new observations of the pace of engines, for the peers of its cell.
	Paces []pace.Mark
	// Reports are the engines' own reports that the host got, and ReportRequests the engines that it
	// has a reason to ask. Only shares within a cell have any.
	Reports        []enginereport.Mark
	ReportRequests []enginereport.Request
	// ZoneLoad is the load of the host's zone. Only shares with hosts of other zones have any.
	ZoneLoad []ZoneLoad
	// Waiting are the requests that wait for room at the host, where it is responsible for the
	// zone's requests. The reply to a share has none.
	Waiting []WaitingMark
	// RejectionLimits are what upstreams say of the rejections that they withstand.
	RejectionLimits []rejection.Announcement
}

// Peers is the interface to the other hosts.
type Peers interface {
	// Share sends this host's state to a peer and returns the peer's. The reply has the peer's runs
	// where zones are divided and both hosts are in the same cell.
	Share(ctx context.Context, to Peer, s Share) (Share, error)
	// Follow asks a peer for what is newer than what this host has.
	Follow(ctx context.Context, to Peer, r FollowRequest) (FollowReply, error)
	// Config asks a peer for its configuration, if that is newer than the version given.
	Config(ctx context.Context, to Peer, have Version) (ConfigReply, error)
	// Ask asks a peer to place a run on one of the engines of its zone.
	Ask(ctx context.Context, to Peer, a PlacementRequest) (PlacementGrant, error)
	// Permit asks a peer for permission to send to an upstream.
	Permit(ctx context.Context, to Peer, a permit.GrantRequest) (permit.GrantReply, error)
	// Rollout reports what this host observed of a rollout to the peer that decides about it, and
	// returns the rollout's status there.
	Rollout(ctx context.Context, to Peer, r rollout.Report) (rollout.Status, error)
	// Turn waits at an arbiter for the turn to move a run; EndTurn returns it.
	Turn(ctx context.Context, to Peer, r TurnRequest) error
	EndTurn(ctx context.Context, to Peer, r TurnRequest) error
	// Backoff reports a backoff to the peer that carried the answer in which an upstream asked for it.
	Backoff(ctx context.Context, to Peer, mark backoff.Mark) error
	// Lend asks a peer to lend places at upstreams that announce how many rejections they withstand.
	Lend(ctx context.Context, to Peer, r rejection.LoanRequest) (rejection.LoanReply, error)
	// Admit waits at the host that is responsible for the zone's requests for a place.
	Admit(ctx context.Context, to Peer, r AdmitRequest) (AdmitReply, error)
}

// Timing of the exchange between hosts. An undivided zone is one cell.
const (
	// shareInterval is the period of shares to the peers of the own cell. Changes of runs are
	// shared at once.
	shareInterval = 500 * time.Millisecond
	// startupDuration is how long after its start a host looks for peers at shorter intervals.
	startupDuration = time.Second
	// shareTimeout bounds one share.
	shareTimeout = 700 * time.Millisecond
	// minShareInterval is the least time between two rounds of shares. Changes in quick
	// succession go into one round, but the first change is sent at once: until peers have
	// received it, they may place runs on the same engine.
	minShareInterval = 3 * time.Millisecond
	// otherCellSharesPerInterval is how many peers of other cells get a share in each interval,
	// in rotation, as traffic between zones is billed. Where zones are divided it is the least
	// number.
	otherCellSharesPerInterval = 3
	// sameCellSilenceTimeout is how long after its last message a peer of the own cell still
	// counts as live; otherCellSilenceTimeout is the same for a peer of another cell.
	sameCellSilenceTimeout  = 1600 * time.Millisecond
	otherCellSilenceTimeout = 15 * time.Second
	// peerForgetTimeout is how long a silent peer is still tried and its runs still count on their
	// engines.
	peerForgetTimeout = 20 * time.Second
)

// shareRunChange shares at once that a run was placed on an engine, has ended there or was moved
// off, with the peers of the own cell and of the engine's cell. The hosts of an engine's cell decide
// about it for all hosts, and an ended run that still counts takes the place of another. With
// a delay of up to 7 s hosts overestimate the load of the engines and refuse requests for lack of
// room, even at low traffic.
func (f *Forwarder) shareRunChange(u Upstream) { f.peers.notifyCell(f.peers.upstreamCell(u)) }

// RunPeers exchanges shares with the peers until the context ends.
func (f *Forwarder) RunPeers(ctx context.Context, peers Peers) {
	f.peers.mu.Lock()
	f.peerTransport = peers
	f.peers.mu.Unlock()
	var pending sync.WaitGroup
	defer pending.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	pending.Go(func() {
		f.tasks.Loop(ctx, "configurations", func(ctx context.Context) { f.fetchConfigs(ctx, peers) })
	})
	pending.Go(func() {
		f.tasks.Loop(ctx, "rejection places", func(ctx context.Context) { f.borrowRejectionPlaces(ctx, peers) })
	})
	began := f.now()
	var lastShare time.Time
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		period, all := false, false
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			period = true
			tick.Reset(nextShareInterval(f.now().Sub(began)))
		case <-f.peers.wakeAll:
			all = true
			PauseFor(ctx, minShareInterval-f.now().Sub(lastShare))
		case <-f.peers.wake:
			PauseFor(ctx, minShareInterval-f.now().Sub(lastShare))
		}
		now := f.now()
		lastShare = now
		if period {
			f.peers.refreshRoster(now)
		}
		f.updateRetryBudgetHosts(now, now.Sub(began))
		f.engines.forgetUnknownPeers(now, f.peers.isKnown)
		f.engines.updateKnownParts(now, f.peers.zoneByHost())
		share := f.newShare(now)
		if period {
			share.Paces = f.engines.paceMarks(now, false)
		}
		for _, to := range f.peers.shareTargets(now, period, all, f.crashes.LacksLocalChanges) {
			limited := share
			f.peers.limitRuns(now, to.ID, &limited, period)
			pending.Go(func() { f.tasks.Do("share", func() { f.shareWith(ctx, peers, to, limited) }) })
		}
		if period {
			f.shareWithSeeds(ctx, &pending, peers, share)
		}
	}
}

// updateRetryBudgetHosts sets the number of hosts that share the slack of the retry budget: all
// hosts that were known recently, live or not. A host that reaches no peer is more often cut off
// by a network partition than alone, and still gets only an even part. A host that has just started
// and knows no peer gets no part until it has looked for others.
func (f *Forwarder) updateRetryBudgetHosts(now time.Time, sinceStart time.Duration) {
	hosts := f.peers.recentMaxHosts(now)
	if hosts == 1 && sinceStart < startupDuration {
		return
	}
	f.retries.setHosts(hosts)
}

// nextShareInterval returns the time until the next periodic share. It is shorter at first, as a
// host that knows no peer watches the origin itself.
func nextShareInterval(sinceStart time.Duration) time.Duration {
	if sinceStart < startupDuration {
		return shareInterval / 4
	}
	return shareInterval
}

// shareWithSeeds sends shares to the seed addresses of the settings while no peer is known.
func (f *Forwarder) shareWithSeeds(ctx context.Context, pending *sync.WaitGroup, peers Peers, share Share) {
	f.peers.mu.Lock()
	known := len(f.peers.known)
	f.peers.mu.Unlock()
	if known > 0 {
		return
	}
	for _, address := range f.peers.seeds {
		if address != f.peers.self.PeerAddress {
			pending.Go(func() {
				f.tasks.Do("share", func() { f.shareWith(ctx, peers, Peer{PeerAddress: address}, share) })
			})
		}
	}
}

// newShare returns this host's state for a share to a peer, except the pace of engines, which only
// periodic shares have: to summarize it for each change of a run costs more than all else in a share.
func (f *Forwarder) newShare(now time.Time) Share {
	s := f.newShareWithoutRuns(now)
	s.Runs, s.EndedRuns = f.engines.runStates(now), f.engines.endedRuns(now)
	s.snapshot = newRunSnapshot(s.Runs)
	s.Waiting = f.admissions.marks()
	return s
}

// newShareWithoutRuns returns this host's state without its runs, for the reply to a share.
func (f *Forwarder) newShareWithoutRuns(now time.Time) Share {
	count, age := f.peers.ownAnnouncement(now)
	return Share{
		From: f.peers.self, AnnouncementCount: count, AnnouncementAge: age, Version: f.versionInForce(), ConfigAge: f.ContactAge(now), OriginAge: f.OriginAge(now), Stopping: f.Stopping(),
		Leaving: f.fleet.LeavingMarks(now),
		Failing: f.fleet.FailingMarks(now), Cold: f.fleet.ColdMarks(now), List: f.fleet.Revision(), Zones: f.fleet.ZoneOrdersSince(history.Point{}, true), Epoch: f.peers.epoch,
		Limits: f.limiter.NamedLimits.PeerReports(now), Backoffs: f.backoffs.Marks(now),
		RejectionLimits: f.rejections.Announcements(now), MergesRuns: true,
	}
}

// shareWith sends a share to a peer and processes the reply.
func (f *Forwarder) shareWith(ctx context.Context, peers Peers, to Peer, share Share) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	var upTo uint64
	share.Crashes, upTo = f.crashes.UnsentMarks(f.now(), to.ID)
	if !f.peers.inOwnCell(to.ID) {
		share.Paces = nil
	}
	f.addEngineReports(f.now(), &share, to.ID)
	f.addZoneLoads(f.now(), &share, to.ID)
	suspendedBefore := f.settings.Clock.TotalSuspended()
	reply, err := peers.Share(ctx, to, share)
	f.peers.recordShareResult(to.ID, err)
	f.peers.recordRunsShared(f.now(), to.ID, &share, &reply, err)
	if err == nil {
		suspended := f.settings.Clock.TotalSuspended() - suspendedBefore
		reply.ConfigAge, reply.OriginAge = ageWithDelay(reply.ConfigAge, suspended), ageWithDelay(reply.OriginAge, suspended)
		if f.peers.inSameCell(reply.From.ID) {
			f.engines.replacePeerRuns(f.now(), reply.From.ID, reply.Runs, reply.EndedRuns)
			f.peers.recordExchange(f.now(), reply.From.ID)
		}
		f.receiveShare(reply)
		f.crashes.MarksSent(reply.From.ID, reply.Epoch, upTo)
	}
}

// receiveShare processes the state that a peer reports, except its runs and ended runs.
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
		f.receivePeerLimit(now, s.From.ID, mark)
	}
	f.receiveRejectionLimits(now, s.From.ID, s.RejectionLimits)
	for _, mark := range s.Backoffs {
		f.receivePeerBackoff(now, s.From.ID, mark)
	}
	f.resetRestartedUpstreams()
	f.receivePaces(now, s.From.ID, s.Paces)
	f.crashes.PeerSeen(s.From.ID, s.Epoch)
	f.receivePeerCrashes(now, s.Crashes)
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
	f.receiveEngineReports(now, s)
	f.receiveZoneLoads(now, s)
}

// ageWithDelay returns an age that a peer reported plus the delay that its message may have had. A
// negative age is an error of the peer and is returned as it is, so that it is still noticed.
func ageWithDelay(age, delay time.Duration) time.Duration {
	if age < 0 {
		return age
	}
	return age + delay
}

// OnShare handles a share from a peer and returns the reply.
func (f *Forwarder) OnShare(s Share) Share {
	// The share may have waited in a socket of this machine while the machine was suspended.
	delay := f.settings.Clock.MaxMessageDelay(f.now())
	s.ConfigAge, s.OriginAge = ageWithDelay(s.ConfigAge, delay), ageWithDelay(s.OriginAge, delay)
	if s.RunChangesOnly {
		f.engines.mergePeerRuns(f.now(), s.From.ID, s.Runs, s.GoneRuns, s.EndedRuns)
	} else {
		f.engines.replacePeerRuns(f.now(), s.From.ID, s.Runs, s.EndedRuns)
	}
	f.receiveShare(s)
	now := f.now()
	if f.peers.inOwnCell(s.From.ID) {
		f.admissions.receiveMarks(now, s.From.ID, s.Waiting)
	}
	reply := f.newShareWithoutRuns(now)
	if f.peers.inSameCell(s.From.ID) {
		reply.Runs, reply.EndedRuns = f.engines.runStates(now), f.engines.endedRuns(now)
		f.peers.recordExchange(now, s.From.ID)
	}
	reply.Paces = f.pacesForReply(now, s)
	reply.Crashes, _ = f.crashes.UnsentMarks(now, s.From.ID)
	f.addEngineReports(now, &reply, s.From.ID)
	f.addZoneLoads(now, &reply, s.From.ID)
	if s.List.IsZero() {
		reply.Announcements = f.peers.announcementsForJoiner(now, s.From.ID)
	}
	return reply
}
