// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shedpath/shedpath/backoff"
	"github.com/shedpath/shedpath/cell"
	"github.com/shedpath/shedpath/clock"
	"github.com/shedpath/shedpath/eligibility"
	"github.com/shedpath/shedpath/enginereport"
	"github.com/shedpath/shedpath/internal/event"
	"github.com/shedpath/shedpath/internal/supervise"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/permit"
	"github.com/shedpath/shedpath/quarantine"
	"github.com/shedpath/shedpath/rejection"
	"github.com/shedpath/shedpath/rollout"
	"github.com/shedpath/shedpath/spool"
	"github.com/shedpath/shedpath/zoneload"
)

// Settings configure a forwarder when it is created.
type Settings struct {
	// Self is this host as its peers know it.
	Self Peer
	// Seeds are the peer addresses to try while no peer is known.
	Seeds []string
	// FirstStart is set if the whole site starts for the first time.
	FirstStart bool
	// RetryLimit bounds the retries of all hosts together.
	RetryLimit RetryLimit
	// DrainTime is how long an upstream is sure to go on serving after the first sign that it
	// leaves.
	DrainTime time.Duration
	// MaxContactAge is how old the last proof of contact with the platform may be for this host
	// to answer that a route or key doesn't exist.
	MaxContactAge time.Duration
	// MaxHeldAnswerBytes bounds the answers that this host holds in memory for callers that are
	// slower than their upstreams; zero sets no bound.
	MaxHeldAnswerBytes int64
	// Regions maps each zone to its region. A zone that is missing has no region.
	Regions map[member.Zone]member.Region
	// RolloutLimits bound what a version on trial gets.
	RolloutLimits rollout.Limits
	// Placement enables optional parts of the placement.
	Placement PlacementSettings
	// Clock counts the time for which the machine is suspended; nil counts none.
	Clock *clock.Clock
}

// PlacementSettings enables parts of the placement of runs. Each part takes effect only under its
// own conditions. The zero value enables none.
type PlacementSettings struct {
	// Pace places runs by the pace of each engine.
	Pace bool
	// PaceMoves moves runs off engines that are too slow for them. It requires Pace.
	PaceMoves bool
	// ZoneAdmission queues the requests of all hosts of a zone in one order.
	ZoneAdmission bool
	// RoomForMoves keeps capacity for runs on departing engines.
	RoomForMoves bool
	// EngineReports asks engines for reports of their load.
	EngineReports bool
}

// Journal receives the log lines about decisions. Its methods must not block.
type Journal interface {
	// Request records a decision about one request.
	Request(id RequestID, event string, keyvals ...any)
	// HostEvent records a change in what this host knows about the site, its upstreams, its
	// peers or itself.
	HostEvent(event string, keyvals ...any)
}

// Observer counts events for the metrics. It is called on the data path.
type Observer interface {
	// Answered counts a request that ended, took after it arrived. It is called once for each request.
	Answered(kind Kind, outcome string, took time.Duration)
	// FirstEvent records the time from a request's arrival to the first event of its stream.
	FirstEvent(took time.Duration)
	// EventGap records the time between two events of a stream.
	EventGap(d time.Duration)
	// Repeated counts a request that is sent to a further upstream, and why.
	Repeated(why string)
	// Moved counts a stopped run that was moved or lost, and for how long it stood still.
	Moved(outcome string, pause time.Duration)
	// UnreadableEntries counts entries of the origin that could not be read or used.
	UnreadableEntries(entries int)
	// ConnectionBroken counts a connection that an upstream ended before its answer was
	// complete. ended is set if the upstream itself had ended.
	ConnectionBroken(ended bool)
	// Identified counts what was found out about the upstream of an answer without a declared end.
	Identified(Identity)
	// Permit counts the outcome of a request for a permit to send to a bounded upstream.
	Permit(permit.Outcome)
	// Signal counts what upstreams report about themselves in their answers.
	Signal(SignalKind)
	// Send counts sends that were withheld, or made despite a reason against them.
	Send(eligibility.Verdict)
	// ZoneShift counts what became of short answers that were requested in an emptier zone.
	ZoneShift(zoneload.Outcome)
	// EngineReport counts the outcome of a request for an engine's report.
	EngineReport(enginereport.Outcome)
	// Suspended counts the time for which this machine was suspended.
	Suspended(d time.Duration)
	// Panicked counts a panic that was recovered from.
	Panicked()
	// Admission counts the outcome of a request that asked for room in its zone, and how long it
	// waited.
	Admission(outcome AdmissionOutcome, waited time.Duration)
}

// Forwarder serves callers' requests. Use New.
type Forwarder struct {
	settings  Settings
	transport Transport
	journal   Journal
	observer  Observer
	// tasks runs the goroutines that belong to no request.
	tasks supervise.Report

	fleet        *Fleet
	table        atomic.Pointer[Table]
	engines      *enginePlacer
	plainChooser *latencyBalancer
	// canPlace says that the placement got engines of a list of upstreams that this host received.
	canPlace atomic.Bool
	// backoffs holds the upstreams that asked this host for backoff. backoffNoticeLimiter
	// bounds how often peers are notified of that at once.
	backoffs             backoff.Table
	backoffNoticeLimiter event.Limiter
	// rejections bounds how many requests upstreams have to reject that say that they fall over
	// above a limit.
	rejections rejection.Budget
	// placesWanted wakes borrowRejectionPlaces, and loanLogLimiter bounds its log lines about peers that
	// don't answer.
	placesWanted   chan struct{}
	loanLogLimiter event.Limiter
	// relistRequested asks Run to pass the engines that take work to the placement.
	relistRequested chan struct{}
	// limiter obtains permits to send to bounded upstreams. limitLogLimiter bounds the log
	// lines about the limits that upstreams name.
	limiter         *permit.Limiter
	limitLogLimiter event.Limiter
	// signalLogLimiter bounds the log lines about what upstreams report about themselves.
	signalLogLimiter event.Limiter
	// paceLogLimiter bounds the log lines about invalid pace marks, by service.
	paceLogLimiter event.Limiter
	// pacesUpdatedAt is when the pace of engines was last updated. pacesUpdatedMu guards it.
	pacesUpdatedMu sync.Mutex
	pacesUpdatedAt time.Time
	// zoneLoadLogLimiter bounds the log lines about unusable loads of other zones.
	zoneLoadLogLimiter event.Limiter
	retries            retryBudget
	// contactProvedAt is when this host last had proof that its configuration is the newest.
	contactProvedAt latestTime
	// originProvedAt is when the origin last proved that the list of upstreams is up to date,
	// to this host or to the one that it follows; never if neither has such a proof.
	originProvedAt latestTime
	// originProofRenewed wakes its waiters when originProvedAt advances.
	originProofRenewed event.Broadcast
	// originProofInherited is set if the proof came from a peer.
	originProofInherited atomic.Bool
	// followedPeerAnsweredAt is when the peer that this host follows last answered.
	followedPeerAnsweredAt latestTime
	// listSuspectedAt is when an engine that was on the list last disappeared without notice.
	listSuspectedAt latestTime
	// newestConfig is the configuration in force in the form in which it was received, for
	// peers.
	newestConfig atomic.Pointer[Config]
	peers        *peerSet
	turns        turnQueues
	// reports holds the engines' own reports of their load.
	reports engineReports
	// admissions are the queues of the zone's requests, where zone admission is enabled.
	admissions zoneAdmissions
	notices    noticeLearner
	// peerTransport is set by RunPeers under the lock of peers.
	peerTransport Peers
	paceMoves     paceMoves
	// crashes holds the requests under which upstreams ended.
	crashes quarantine.Register
	// fingerprintsToStore queues the requests whose quarantine the origin is to store.
	fingerprintsToStore chan quarantine.Fingerprint
	// rollouts holds the moves of services to other versions, rolloutObservations what this
	// host has observed of them, and rolloutDecider what it needs to decide about them for all
	// hosts.
	rollouts            rollout.Tracker
	rolloutObservations rollout.Observations
	rolloutDecider      rolloutDecider
	// answerBudget bounds the memory that answers take.
	answerBudget spool.Budget
	// configOffers holds the newer configurations that peers offer.
	configOffers *configOffers

	// listSendDoneAt is when this host's link will have transmitted the upstream lists that it
	// sends to peers. listSendMu guards it.
	listSendMu     sync.Mutex
	listSendDoneAt time.Time

	// leaveFailingMu lets one run of this host at a time leave a failing engine.
	leaveFailingMu sync.Mutex

	mu sync.Mutex
	// inFlight maps each request in progress to the function that ends it.
	inFlight map[*exchange]context.CancelCauseFunc
	// stopping is written under mu.
	stopping atomic.Bool
	// stoppingSince is when the host was first told to stop.
	stoppingSince time.Time
	// stopDeadline is when the host will have stopped; zero if that isn't known.
	stopDeadline time.Time
	// idle is closed when the forwarder is stopping and no request is in flight.
	idle chan struct{}
	// closed is set once no further request is accepted.
	closed bool
}

// New returns a forwarder without a configuration.
func New(s Settings, t Transport, j Journal, o Observer) *Forwarder {
	f := &Forwarder{
		settings: s, transport: t, journal: j, observer: o,
		fleet: &Fleet{}, engines: newEnginePlacer(s.Self.ID, s.Self.Zone), plainChooser: newLatencyBalancer(s.Self.Zone),
		peers: newPeerSet(s.Self, s.Seeds), configOffers: newConfigOffers(),
		inFlight: map[*exchange]context.CancelCauseFunc{}, idle: make(chan struct{}), relistRequested: make(chan struct{}, 1), placesWanted: make(chan struct{}, 1),
		fingerprintsToStore: make(chan quarantine.Fingerprint, saveQueueSize),
	}
	f.engines.paceEnabled = s.Placement.Pace
	f.engines.roomForMoves = s.Placement.RoomForMoves
	f.paceMoves.paceOf = f.engines.paceForMoves
	f.tasks = f.reportPanic
	f.limiter = permit.New(s.Self, permitSite{f}, f.now)
	f.limiter.Tasks = f.tasks
	f.retries.setLimit(s.RetryLimit)
	f.answerBudget.MaxBytes = s.MaxHeldAnswerBytes
	f.setClock(s.Clock)
	f.enableEngineReports()
	f.engines.balanceZones = s.Placement.ZoneAdmission
	return f
}

// setClock makes the forwarder, its placement and its turns use c.
func (f *Forwarder) setClock(c *clock.Clock) {
	f.settings.Clock, f.engines.clock, f.turns.clock = c, c, c
}

// now returns the time by which the forwarder decides.
func (f *Forwarder) now() time.Time { return f.settings.Clock.Now() }

// Fleet returns what this host knows about the upstreams.
func (f *Forwarder) Fleet() *Fleet { return f.fleet }

// Table returns the configuration in force; nil before the first one.
func (f *Forwarder) Table() *Table { return f.table.Load() }

// Configure puts a configuration in force, unless it is older than the present one. It reports
// whether the configuration's version is in force now.
func (f *Forwarder) Configure(now time.Time, c Config) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.table.Load()
	if old != nil && c.Version <= old.Version {
		return c.Version == old.Version
	}
	t := NewTable(c)
	f.engines.configure(t)
	f.newestConfig.Store(&c)
	f.table.Store(t)
	f.journal.HostEvent("configuration in force", "version", c.Version, "routes", len(c.Routes), "accounts", len(c.Accounts))
	f.updatePlacementEngines(now, t)
	f.fleet.WakeWaiters()
	return true
}

// ContactProved records that the configuration in force was proved to be the newest at a time.
// The proof is ignored if a newer configuration was already known then: a restored origin
// serves an older configuration than the newest that it acknowledged.
func (f *Forwarder) ContactProved(at time.Time) {
	if since, newer := f.configOffers.newerOfferedAt(f.versionInForce()); !newer || at.Before(since) {
		f.contactProvedAt.advance(at)
	}
}

// ContactAge returns how long ago the configuration was last proved to be the newest, or the
// greatest age that is reported if it never was.
func (f *Forwarder) ContactAge(now time.Time) time.Duration { return f.contactProvedAt.age(now) }

// SetRetryLimit changes the bound on retries.
func (f *Forwarder) SetRetryLimit(l RetryLimit) { f.retries.setLimit(l) }

// Run keeps the placement up to date, and drops state that has expired, until the context ends.
func (f *Forwarder) Run(ctx context.Context) {
	var checks sync.WaitGroup
	defer checks.Wait()
	// After a panic the checks end, so that Run returns and can be called again.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	checks.Go(func() { f.tasks.Loop(ctx, "unreached upstreams", f.runUnreachedChecks) })
	checks.Go(func() { f.tasks.Loop(ctx, "returned upstreams", f.runReturnChecks) })
	tick := time.NewTicker(poolRefreshInterval)
	defer tick.Stop()
	suspended := f.settings.Clock.TotalSuspended()
	for {
		suspended = f.reportSuspension(suspended)
		changed := f.fleet.Changed()
		f.retireVersions(f.now())
		if f.canPlace.Load() && f.peers.zonesDivided() {
			PauseFor(ctx, relistDelay)
		}
		if t := f.table.Load(); t != nil {
			f.updatePlacementEngines(f.now(), t)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-f.relistRequested:
		case <-tick.C:
			f.crashes.Prune(f.now(), f.peers.isKnown)
			f.pruneLimits(f.now())
			f.backoffs.RemoveExpired(f.now())
			f.rejections.Prune(f.now())
			for _, c := range f.fleet.Settle(f.now()) {
				if !c.Gone {
					f.journal.HostEvent("upstream back", "upstream", c.ID, "why", "still on the restored list")
					continue
				}
				f.journal.HostEvent("upstream dropped", "upstream", c.ID, "why", "still missing after the list settled")
			}
			f.logZoneChanges(f.fleet.SettleZoneOrders(f.now()))
		}
	}
}

// relistDelay gathers changes of the upstream list into one update. A fleet that is divided
// into cells has many changes. A request to an upstream that left meanwhile is still turned
// back when it is sent.
const relistDelay = 25 * time.Millisecond

// reportSuspension reports how long this machine was suspended since reported, the total at the
// last call, and returns the present total. After a suspension it notifies all peers at once,
// so that they learn that this host is back, and it learns what they know.
func (f *Forwarder) reportSuspension(reported time.Duration) time.Duration {
	suspended := f.settings.Clock.TotalSuspended()
	if suspended > reported {
		f.journal.HostEvent("was suspended", "for", suspended-reported)
		f.observer.Suspended(suspended - reported)
		f.peers.notifyAll()
	}
	return suspended
}

// updatePlacementEngines passes the engines that take work to the placement.
func (f *Forwarder) updatePlacementEngines(now time.Time, t *Table) {
	hasList := !f.fleet.Revision().IsZero()
	layout, own := f.peers.cellLayout()
	f.fleet.SetLayout(layout, own)
	for _, s := range f.engines.services(t) {
		f.updateDepartures(now, s)
		f.engines.setAvailable(now, s.Name, f.placementEngines(now, s.Name, layout, own))
	}
	f.updatePaces(now)
	if hasList {
		f.canPlace.Store(true)
	}
}

// maxFallbackEngines bounds the engines of other cells on which a host places by itself when
// its own cell has none.
const maxFallbackEngines = 64

// placementEngines returns the engines on which this host places runs: all of them if the zones
// aren't divided into cells, else those of its own cell. If its cell has none, it returns some
// random ones, of its zone if possible.
func (f *Forwarder) placementEngines(now time.Time, service ServiceName, layout cell.Layout, own cell.ID) []Upstream {
	if !layout.Divided() {
		return f.candidates(now, service)
	}
	takers := f.fleet.AvailableInCell(now, service, own)
	if f.backoffs.HasUpstreams() {
		takers = slices.DeleteFunc(takers, func(u Upstream) bool { return f.backoffs.Remaining(now, u.ID) > 0 })
	}
	if len(takers) == 0 {
		all := f.candidates(now, service)
		fallback := slices.DeleteFunc(slices.Clone(all), func(u Upstream) bool { return u.Zone != own.Zone })
		if len(fallback) == 0 {
			fallback = slices.Clone(all)
		}
		rand.Shuffle(len(fallback), func(i, j int) { fallback[i], fallback[j] = fallback[j], fallback[i] })
		takers = fallback[:min(len(fallback), maxFallbackEngines)]
	}
	slices.SortFunc(takers, compareUpstreamIDs)
	return takers
}
