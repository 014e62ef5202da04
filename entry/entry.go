// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package entry implements the daemon that runs on every entry host. The daemon passes callers'
// generations and service calls to upstreams, keeps the configuration and the membership up to
// date, and coordinates engine pools.
//
// The package declares the interfaces that it needs and does no I/O of its own; the adapters are
// under internal. Each duty, such as heartbeats or placement, runs in its own goroutine. An entry's
// state is soft state, except the configuration, claims and orders: each of these is decided by a
// single write to the platform's service, or refused.
package entry

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/shedpath/shedpath/backoff"
	"github.com/shedpath/shedpath/clock"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/resource"
)

// Settings are the settings that an entry is started with.
type Settings struct {
	// Self is the entry's own id, zone and address, as its peers know it.
	Self member.Entry
	// Seeds are peers to contact before the host list was first read.
	Seeds []member.Entry
	// GenerationKey signs the generation ids. All entries of a site must have the same key.
	GenerationKey []byte
	// LocalPlacement makes every entry place its requests itself, within its share of the engines,
	// without a coordinator. It serves to compare this with the coordinated placement.
	LocalPlacement bool
	// HostListInterval, ConfigPollInterval and LoadInterval are the intervals at which the host
	// list, the configuration and the engines' loads are polled; zero means the default.
	HostListInterval, ConfigPollInterval, LoadInterval time.Duration
	// Clock is a clock that includes the time for which the machine is suspended; nil doesn't
	// include it.
	Clock *clock.Clock
}

func (s *Settings) setDefaults() {
	if s.HostListInterval == 0 {
		s.HostListInterval = hostListInterval
	}
	if s.ConfigPollInterval == 0 {
		s.ConfigPollInterval = configPollInterval
	}
	if s.LoadInterval == 0 {
		s.LoadInterval = loadInterval
	}
}

// Dependencies are the interfaces through which an entry reaches the outside. Leases, Upstreams,
// Observer, Logger and Tracer may be nil; all others must be set.
type Dependencies struct {
	Store Store
	// Claims and Outcomes are the same store, with a lower priority in its call budget.
	Claims, Outcomes Store
	Hosts            Hosts
	Peers            Peers
	Engines          Engines
	Services         Services
	Leases           LeaseStore
	Upstreams        UpstreamProber
	Observer         Observer
	Logger           log.Logger
	Tracer           trace.Tracer
}

// Entry is one entry daemon. Create it with New and start it with Run.
type Entry struct {
	settings      Settings
	self          member.Entry
	generationKey []byte

	store, claims, outcomes Store
	// claimHistory holds the recent claims of this entry.
	claimHistory claimHistory
	hosts        Hosts
	peers        Peers
	engines      Engines
	services     Services
	leases       LeaseStore
	upstreams    UpstreamProber
	observer     Observer
	logger       log.Logger
	tracer       trace.Tracer

	config    *configuration
	members   *members
	placement *placement
	limits    accountLimits
	retries   retryBudget
	crashes   *crashRegister
	// backoffs holds the upstreams that asked this entry for backoff.
	backoffs backoff.Table

	// stopped is closed when Run's context has ended.
	stopped chan struct{}

	mu sync.Mutex
	// inFlight counts the calls in progress.
	inFlight int
	// leaving is set when the entry begins to stop, and refusing later, when it begins to refuse
	// new calls.
	leaving, refusing bool
	// drained is closed when refusing is set and no call is in progress.
	drained chan struct{}
	// jobs are the goroutines that spawn started. Run waits for them; once jobsClosed is set, no
	// more are started. Their context is runCtx.
	jobs       conc.WaitGroup
	jobsClosed bool
	runCtx     context.Context
}

// New returns an entry that isn't started yet.
func New(s Settings, p Dependencies) *Entry {
	s.setDefaults()
	if p.Observer == nil {
		p.Observer = noObserver{}
	}
	if p.Logger == nil {
		p.Logger = log.NewNopLogger()
	}
	if p.Tracer == nil {
		p.Tracer = noop.NewTracerProvider().Tracer("")
	}
	e := &Entry{
		settings: s, self: s.Self, generationKey: s.GenerationKey,
		store: p.Store, claims: p.Claims, outcomes: p.Outcomes, hosts: p.Hosts, peers: p.Peers,
		engines: p.Engines, services: p.Services, leases: p.Leases, upstreams: p.Upstreams, crashes: newCrashRegister(),
		observer: p.Observer, logger: p.Logger, tracer: p.Tracer,
		stopped: make(chan struct{}), drained: make(chan struct{}), runCtx: context.Background(),
	}
	e.config = newConfiguration(e)
	e.members = newMembers(e, e.now(), s.Seeds)
	e.placement = newPlacement(e)
	return e
}

// now returns the current time on the clock of the settings, on which all decisions of the entry
// are based.
func (e *Entry) now() time.Time { return e.settings.Clock.Now() }

// Now returns the current time on the entry's clock, for use with Status and ZoneStates.
func (e *Entry) Now() time.Time { return e.now() }

// Run runs all duties until the context ends, and returns when they and all jobs have ended.
func (e *Entry) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.mu.Lock()
	e.runCtx = ctx
	e.mu.Unlock()
	var duties conc.WaitGroup
	duties.Go(func() { e.placement.run(ctx) })
	duties.Go(func() { e.members.runHeartbeats(ctx) })
	duties.Go(func() { e.members.runHostList(ctx) })
	duties.Go(func() { e.config.run(ctx) })
	duties.Go(func() { e.config.runWriter(ctx) })
	duties.Go(func() { e.runLoadReports(ctx) })
	duties.Go(func() { e.runOrders(ctx) })
	<-ctx.Done()
	close(e.stopped)
	e.mu.Lock()
	e.jobsClosed = true
	e.mu.Unlock()
	duties.Wait()
	e.jobs.Wait()
}

// spawn runs a short job in a goroutine, with a context that ends with Run's. Once Run is stopping,
// spawn does nothing.
func (e *Entry) spawn(job func(ctx context.Context)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.jobsClosed {
		return
	}
	ctx := e.runCtx
	e.jobs.Go(func() { job(ctx) })
}

// admit admits a call if the entry takes calls and the account is within its limit. The caller must
// call release when the call has ended.
func (e *Entry) admit(name resource.Account) (release func(), failure *Failure) {
	if !e.Ready() {
		return nil, newFailure(CodeNotReady, NotRun, "this entry has no configuration yet").withRetryAfter(defaultRetryAfter)
	}
	if !e.beginCall() {
		return nil, newFailure(CodeLeaving, NotRun, "this entry is stopping; another takes the call").withRetryAfter(leavingRetryAfter)
	}
	account, _ := e.config.Catalog().Account(name)
	wait, ok := e.limits.acquire(e.now(), name, account)
	if !ok {
		e.endCall()
		return nil, newFailure(CodeRateLimited, NotRun, "the account's limit is reached").withRetryAfter(max(wait, defaultRetryAfter))
	}
	return func() {
		e.limits.release(name)
		e.endCall()
	}, nil
}

// leavingRetryAfter lets the caller retry at once, because another entry takes the call.
const leavingRetryAfter = time.Millisecond

// beginCall counts a call as in progress. It reports false if new calls are refused.
func (e *Entry) beginCall() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refusing {
		return false
	}
	e.inFlight++
	return true
}

func (e *Entry) endCall() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
	if e.refusing && e.inFlight == 0 {
		close(e.drained)
	}
}

// Stop stops the entry without breaking off any call:
//   - it announces to the peers, and to the load balancer through Leaving, that the entry is leaving,
//   - it goes on taking calls for the grace period, in which the load balancer notices,
//   - it then refuses new calls and waits until every running call has ended.
//
// Stop returns early if the context ends.
func (e *Entry) Stop(ctx context.Context, grace time.Duration) {
	e.mu.Lock()
	e.leaving = true
	running := e.inFlight
	e.mu.Unlock()
	_ = level.Info(e.logger).Log("msg", "stopping", "running", running, "grace", grace)
	e.members.setLeaving()
	e.members.sendHeartbeats(ctx)
	sleepContext(ctx, grace)
	e.refuseCalls()
	select {
	case <-e.drained:
	case <-ctx.Done():
	}
}

// refuseCalls makes the entry refuse new calls.
func (e *Entry) refuseCalls() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refusing {
		return
	}
	e.refusing = true
	if e.inFlight == 0 {
		close(e.drained)
	}
}

// Ready reports whether the entry has a configuration, without which it takes no calls.
func (e *Entry) Ready() bool {
	select {
	case <-e.config.loaded:
		return true
	default:
		return false
	}
}

// Leaving reports whether the entry is stopping.
func (e *Entry) Leaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// Authenticate returns the account of a bearer key, and whether there is one.
func (e *Entry) Authenticate(key string) (resource.Account, bool) {
	return e.config.Catalog().AccountByKey(key)
}

// Catalog returns the catalog in force at this entry.
func (e *Entry) Catalog() *resource.Catalog { return e.config.Catalog() }

// Changed returns a channel that is closed when the catalog changes next.
func (e *Entry) Changed() <-chan struct{} { return e.config.Changed() }

// OnHeartbeat handles a peer's heartbeat and returns this entry's own.
func (e *Entry) OnHeartbeat(now time.Time, h Heartbeat) Heartbeat {
	return e.members.OnHeartbeat(now, h)
}

// OnPlace handles a peer's request for places.
func (e *Entry) OnPlace(ctx context.Context, from member.HostID, pool resource.Name, requests []policy.Request) ([]policy.Decision, error) {
	return e.placement.OnPlace(ctx, from, pool, requests)
}

// OnDecided handles a coordinator's decisions about this entry's queued requests.
func (e *Entry) OnDecided(ctx context.Context, from member.HostID, pool resource.Name, decisions []policy.Decision) error {
	return e.placement.OnDecided(ctx, from, pool, decisions)
}

// OnFinished frees the places of a peer's ended runs.
func (e *Entry) OnFinished(ctx context.Context, pool resource.Name, finished []policy.Finish) error {
	return e.placement.OnFinished(ctx, pool, finished)
}

// OnRunning records the running requests of a peer whose coordinator this entry has become.
func (e *Entry) OnRunning(ctx context.Context, from member.HostID, pool resource.Name, runs []PlacedRun) error {
	return e.placement.OnRunning(ctx, from, pool, runs)
}

// OnLog returns the part of the configuration log that a peer at the given revision lacks.
func (e *Entry) OnLog(after resource.Revision) LogTail { return e.config.OnLog(after) }

// OnClaimRepair records the state of a peer's repair of its claims, and returns this entry's own.
func (e *Entry) OnClaimRepair(now time.Time, r ClaimRepair) ClaimRepair {
	e.observeEra(r.Era)
	if r.Unfinished {
		e.claimHistory.peerRepairs(now)
	}
	return e.claimHistory.repairState()
}

// OnLinkDown records that a peer's link to this entry broke.
func (e *Entry) OnLinkDown(from member.HostID) { e.members.OnLinkDown(from) }
