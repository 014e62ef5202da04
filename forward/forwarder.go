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
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/permit"
	"github.com/shedpath/shedpath/quarantine"
	"github.com/shedpath/shedpath/rollout"
	"github.com/shedpath/shedpath/spool"
)

// Settings are what a forwarder is told at its start.
type Settings struct {
	// Self is this host, as its peers know it.
	Self Peer
	// Seeds are addresses of peers to try while none is known.
	Seeds []string
	// FirstStart says that the whole site starts for the first time.
	FirstStart bool
	// RetryLimit bounds the requests that are sent once more, over all hosts.
	RetryLimit RetryLimit
	// DrainTime is how long an upstream surely goes on serving after the first
	// sign that it leaves.
	DrainTime time.Duration
	// MaxContactAge is how old the proof of contact with the platform may be
	// for this host to say that a route or key doesn't exist.
	MaxContactAge time.Duration
	// MaxHeldAnswerBytes is how many bytes of answers this host holds for callers that are slower than
	// their upstreams; zero sets no bound.
	MaxHeldAnswerBytes int64
	// Regions tells each zone's region. A zone that it lacks is of none.
	Regions map[member.Zone]member.Region
	// RolloutLimits bound what a version on trial gets.
	RolloutLimits rollout.Limits
	// Clock counts the time for which the machine is suspended; nil counts none.
	Clock *clock.Clock
}

// Journal takes the decision lines of the log. It must not block.
type Journal interface {
	// Request notes a decision about one request.
	Request(id RequestID, event string, keyvals ...any)
	// HostEvent notes a change of what this host believes.
	HostEvent(event string, keyvals ...any)
}

// Observer counts what happens. It is called on the data path.
type Observer interface {
	Answered(kind Kind, outcome string, took time.Duration)
	FirstEvent(took time.Duration)
	EventGap(d time.Duration)
	Repeated(why string)
	Moved(outcome string, pause time.Duration)
	// UnreadableEntries counts entries of the origin that couldn't be read or used.
	UnreadableEntries(entries int)
	// ConnectionBroken counts a connection that an upstream ended before its answer, and whether
	// the upstream itself had ended.
	ConnectionBroken(ended bool)
	// Permit counts the answers to whether something may be sent to a bounded upstream.
	Permit(permit.Outcome)
	// Signal counts what upstreams tell about themselves in their answers.
	Signal(SignalKind)
	// Send counts what was not sent, or sent all the same.
	Send(eligibility.Verdict)
	// Suspended counts the time for which this machine was suspended.
	Suspended(d time.Duration)
}

// Forwarder serves callers' requests. Use New.
type Forwarder struct {
	settings  Settings
	transport Transport
	journal   Journal
	observer  Observer

	fleet        *Fleet
	table        atomic.Pointer[Table]
	engines      *enginePlacer
	plainChooser *latencyBalancer
	// backoffs are the upstreams that asked this host for backoff, and backoffNotices bounds
	// how often peers are told of that at once.
	backoffs             backoff.Table
	backoffNoticeLimiter eventLimiter
	// relistRequested asks Run to tell the placement which engines take work.
	relistRequested chan struct{}
	// limiter gets leave to send to bounded upstreams, and limitLines bounds the log's
	// lines about the limits that they name.
	limiter         *permit.Limiter
	limitLogLimiter eventLimiter
	// signalLogLimiter bounds the lines about what upstreams tell about themselves.
	signalLogLimiter eventLimiter
	retries          retryBudget
	// contactProvedAt is when this host last had proof that its configuration is the
	// newest.
	contactProvedAt latestTime
	// originProvedAt is when the origin proved that the list is up to date, to
	// this host or to the one that it follows; never while neither has it.
	originProvedAt latestTime
	// originProofRenewed wakes when it is renewed.
	originProofRenewed broadcast
	// originProofInherited says that this proof is a peer's.
	originProofInherited atomic.Bool
	// followedPeerAnsweredAt is when a peer that is followedPeerAnsweredAt last answered.
	followedPeerAnsweredAt latestTime
	// listSuspectedAt is when an engine last went without notice that the list had.
	listSuspectedAt latestTime
	// newestConfig is the configuration in force as it came, for peers.
	newestConfig atomic.Pointer[Config]
	peers        *peerSet
	turns        turnQueues
	// peerTransport is set by RunPeers, under the lock of peers.
	peerTransport Peers
	// crashes are requests under which upstreams ended.
	crashes quarantine.Register
	// fingerprintsToStore are requests that the origin is to keep.
	fingerprintsToStore chan quarantine.Fingerprint
	// rollouts are the moves of services to other versions, seen what this host has seen of
	// these, and desk what it decides for all.
	rollouts            rollout.Book
	rolloutObservations rollout.Observations
	rolloutDecider      rolloutDecider
	// answerBudget bounds what is held of answerBudget.
	answerBudget spool.Budget
	// configOffers are peers' newer configurations.
	configOffers *configOffers

	// givenUntil is when this host's link will have carried the lists that it gives to others.
	listSendMu     sync.Mutex
	listSendDoneAt time.Time

	// leaveFailingMu lets one run of this host at a time leave a failing engine.
	leaveFailingMu sync.Mutex

	mu sync.Mutex
	// inFlight are the requests under way, with what ends each of them.
	inFlight map[*exchange]context.CancelCauseFunc
	stopping bool
	// stoppingSince is when the host was first told to stop.
	stoppingSince time.Time
	// stopDeadline is when the host will have stopped; zero when it isn't known.
	stopDeadline time.Time
	// idle closes when the forwarder is stopping and nothing is in flight.
	idle chan struct{}
	// closed says that nothing is taken any more, whatever it is.
	closed bool
}

// New returns a forwarder without a configuration.
func New(s Settings, t Transport, j Journal, o Observer) *Forwarder {
	f := &Forwarder{
		settings: s, transport: t, journal: j, observer: o,
		fleet: &Fleet{}, engines: newEnginePlacer(s.Self.ID, s.Self.Zone), plainChooser: newLatencyBalancer(s.Self.Zone),
		peers: newPeerSet(s.Self, s.Seeds), configOffers: newConfigOffers(),
		inFlight: map[*exchange]context.CancelCauseFunc{}, idle: make(chan struct{}), relistRequested: make(chan struct{}, 1),
		fingerprintsToStore: make(chan quarantine.Fingerprint, saveQueueSize),
	}
	f.limiter = permit.New(s.Self, permitSite{f}, f.now)
	f.retries.setLimit(s.RetryLimit)
	f.answerBudget.Most = s.MaxHeldAnswerBytes
	f.setClock(s.Clock)
	return f
}

// setClock has everything here be decided by a clock.
func (f *Forwarder) setClock(c *clock.Clock) {
	f.settings.Clock, f.engines.clock, f.turns.clock = c, c, c
}

// now is the present moment, by which everything here is decided.
func (f *Forwarder) now() time.Time { return f.settings.Clock.Now() }

// Fleet is what this host believes about the upstreams.
func (f *Forwarder) Fleet() *Fleet { return f.fleet }

// Table is the configuration in force here; nil before the first.
func (f *Forwarder) Table() *Table { return f.table.Load() }

// Configure puts a configuration in force, unless it is older than the one
// that is. It reports whether it is now in force.
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

// ContactProved takes in that the configuration was the newest at a time. A restored origin has
// an older one than the newest that it acknowledged, so that isn't believed where a newer one was
// known by then.
func (f *Forwarder) ContactProved(at time.Time) {
	if since, newer := f.configOffers.newerOfferedAt(f.versionInForce()); !newer || at.Before(since) {
		f.contactProvedAt.advance(at)
	}
}

// ContactAge is how long ago the configuration was last proved to be the newest;
// neverProved when it wasn't.
func (f *Forwarder) ContactAge(now time.Time) time.Duration { return f.contactProvedAt.age(now) }

// SetRetryLimit changes the bound on repeats.
func (f *Forwarder) SetRetryLimit(l RetryLimit) { f.retries.setLimit(l) }

// Run keeps the placement up to date until the context ends.
func (f *Forwarder) Run(ctx context.Context) {
	tick := time.NewTicker(poolRefreshInterval)
	defer tick.Stop()
	slept := f.settings.Clock.TotalSuspended()
	for {
		slept = f.reportSuspension(slept)
		changed := f.fleet.Changed()
		f.retireVersions(f.now())
		if f.peers.zonesDivided() {
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
			f.crashes.Forget(f.now(), f.peers.isKnown)
			f.pruneLimits(f.now())
			f.backoffs.RemoveExpired(f.now())
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

// relistDelay gathers changes of the list: a fleet that is divided has many, and a request to an
// upstream that has left is turned back as it is sent.
const relistDelay = 25 * time.Millisecond

// reportSuspension tells of a suspension of this machine since it was suspended for so long in
// all, and returns for how long it has been by now. Peers then learn at once that the host
// is there again, and it learns what they know.
func (f *Forwarder) reportSuspension(before time.Duration) time.Duration {
	slept := f.settings.Clock.TotalSuspended()
	if slept > before {
		f.journal.HostEvent("was suspended", "for", slept-before)
		f.observer.Suspended(slept - before)
		f.peers.notifyAll()
	}
	return slept
}

// updatePlacementEngines tells the placement which engines take work.
func (f *Forwarder) updatePlacementEngines(now time.Time, t *Table) {
	layout, own := f.peers.cellLayout()
	f.fleet.SetLayout(layout, own)
	for name, s := range t.Services() {
		if s.Engine != nil {
			f.engines.setAvailable(now, name, f.placementEngines(now, name, layout, own))
		}
	}
}

// maxFallbackEngines is how many engines of other cells a host places on by itself whose cell has none.
const maxFallbackEngines = 64

// placementEngines are the engines on which this host places: all where the zones aren't divided, else those
// of its cell.
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
		near := slices.DeleteFunc(slices.Clone(all), func(u Upstream) bool { return u.Zone != own.Zone })
		if len(near) == 0 {
			near = slices.Clone(all)
		}
		rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
		takers = near[:min(len(near), maxFallbackEngines)]
	}
	slices.SortFunc(takers, compareUpstreamIDs)
	return takers
}
