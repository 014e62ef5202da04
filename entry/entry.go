// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package entry is the daemon that runs on every entry host: it takes callers'
// generations and service calls to upstreams, keeps the configuration and the
// membership, and coordinates engine pools.
//
// It declares the interfaces that it needs and does no I/O of its own; the
// adapters are under internal. Each duty is a goroutine. What an entry knows
// is soft, but for the configuration, claims and orders: those are decided by
// single writes to the platform's service, or refused.
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

// Settings are what an entry is told at its start.
type Settings struct {
	// Self is how the entry is known to its peers.
	Self member.Entry
	// Seeds are peers to try before the host list is had.
	Seeds []member.Entry
	// GenerationKey signs the generation ids; it must be the same on every
	// entry of the site.
	GenerationKey []byte
	// LocalPlacement has every entry place by itself, within its share, to be compared
	// with the coordinated placement.
	LocalPlacement bool
	// HostListInterval, ConfigPollInterval and LoadInterval are the periods of the
	// polls; zero takes the default.
	HostListInterval, ConfigPollInterval, LoadInterval time.Duration
	// Clock counts the time for which the machine is suspended; nil counts none.
	Clock *clock.Clock
}

func (s *Settings) setDefaults() {
	if s.HostListInterval == 0 {
		s.HostListInterval = hostListEvery
	}
	if s.ConfigPollInterval == 0 {
		s.ConfigPollInterval = configPollInterval
	}
	if s.LoadInterval == 0 {
		s.LoadInterval = loadEvery
	}
}

// Dependencies are what an entry reaches the outside by. All but the last four must
// be set.
type Dependencies struct {
	Store Store
	// Claims and Outcomes are the same store at lower ranks of its budget.
	Claims, Outcomes Store
	Hosts            Hosts
	Peers            Peers
	Engines          Engines
	Services         Services
	Leases           LeaseStore
	Upstreams        Upstreams
	Observer         Observer
	Logger           log.Logger
	Tracer           trace.Tracer
}

// Entry is one entry daemon. Use New, then Run.
type Entry struct {
	settings      Settings
	self          member.Entry
	generationKey []byte

	store, claims, outcomes Store
	// claimHistory remembers the claims of calls that were made here.
	claimHistory claimHistory
	hosts        Hosts
	peers        Peers
	engines      Engines
	services     Services
	leases       LeaseStore
	upstreams    Upstreams
	observer     Observer
	logger       log.Logger
	tracer       trace.Tracer

	config    *configuration
	members   *members
	placement *placement
	limits    accountLimits
	retries   retryBudget
	crashes   *crashes
	// backoffs are the upstreams that asked this entry for backoff.
	backoffs backoff.Table

	// stopped closes when Run's context has ended.
	stopped chan struct{}

	mu sync.Mutex
	// inFlight counts the calls under way.
	inFlight int
	// leaving says that the entry is stopping; refusing, which follows it,
	// that new calls are refused.
	leaving, refusing bool
	// drained closes when refusing and nothing is in flight.
	drained chan struct{}
	// jobs are the short-lived goroutines, which end with stopped.
	jobs       conc.WaitGroup
	jobsClosed bool
	runCtx     context.Context
}

// New returns an entry that isn't running yet.
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
		engines: p.Engines, services: p.Services, leases: p.Leases, upstreams: p.Upstreams, crashes: newCrashes(),
		observer: p.Observer, logger: p.Logger, tracer: p.Tracer,
		stopped: make(chan struct{}), drained: make(chan struct{}), runCtx: context.Background(),
	}
	e.config = newConfiguration(e)
	e.members = newMembers(e, e.now(), s.Seeds)
	e.placement = newPlacement(e)
	return e
}

// now is the present moment, by which everything here is decided.
func (e *Entry) now() time.Time { return e.settings.Clock.Now() }

// Now is the moment that Status and ZoneStates are to be told.
func (e *Entry) Now() time.Time { return e.now() }

// Run carries out the duties until the context ends.
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

// spawn runs a short-lived job beside the duties; its context ends with Run's.
// After that it runs nothing.
func (e *Entry) spawn(job func(ctx context.Context)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.jobsClosed {
		return
	}
	ctx := e.runCtx
	e.jobs.Go(func() { job(ctx) })
}

// admit lets a call in if the entry and the account allow it. The release is
// to be called when the call has ended.
func (e *Entry) admit(name resource.Account) (release func(), failure *Failure) {
	if !e.Ready() {
		return nil, newFailure(CodeNotReady, NotRun, "this entry has no configuration yet").withRetryAfter(retryUnknown)
	}
	if !e.beginCall() {
		return nil, newFailure(CodeLeaving, NotRun, "this entry is stopping; another takes the call").withRetryAfter(leavingRetryAfter)
	}
	account, _ := e.config.Catalog().Account(name)
	wait, ok := e.limits.enter(e.now(), name, account)
	if !ok {
		e.endCall()
		return nil, newFailure(CodeRateLimited, NotRun, "the account's limit is reached").withRetryAfter(max(wait, retryUnknown))
	}
	return func() {
		e.limits.leave(name)
		e.endCall()
	}, nil
}

// leavingRetryAfter sends the caller on at once: another entry takes the call.
const leavingRetryAfter = time.Millisecond

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

// Stop ends the entry's work without cutting any. It tells the peers and the
// balancer that the entry leaves, goes on taking calls for the grace that the
// balancer needs to notice, then refuses new ones and waits until every running
// call has ended. It returns early when the context ends.
func (e *Entry) Stop(ctx context.Context, grace time.Duration) {
	e.mu.Lock()
	e.leaving = true
	running := e.inFlight
	e.mu.Unlock()
	_ = level.Info(e.logger).Log("msg", "stopping", "running", running, "grace", grace)
	e.members.setLeaving()
	e.members.beat(ctx)
	pause(ctx, grace)
	e.refuseCalls()
	select {
	case <-e.drained:
	case <-ctx.Done():
	}
}

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

// Ready reports whether the entry has a configuration and takes calls.
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

// Authenticate finds the account of a bearer key.
func (e *Entry) Authenticate(key string) (resource.Account, bool) {
	return e.config.Catalog().AccountByKey(key)
}

// Catalog returns the configuration in force here.
func (e *Entry) Catalog() *resource.Catalog { return e.config.Catalog() }

// Changed returns a channel that closes at the next revision.
func (e *Entry) Changed() <-chan struct{} { return e.config.Changed() }

// OnHeartbeat serves a peer's heartbeat.
func (e *Entry) OnHeartbeat(now time.Time, h Heartbeat) Heartbeat {
	return e.members.OnHeartbeat(now, h)
}

// OnPlace serves a peer's request for places.
func (e *Entry) OnPlace(ctx context.Context, from member.HostID, pool resource.Name, asked []policy.Request) ([]policy.Decision, error) {
	return e.placement.OnPlace(ctx, from, pool, asked)
}

// OnDecided takes what a coordinator decided about queued requests.
func (e *Entry) OnDecided(ctx context.Context, from member.HostID, pool resource.Name, decisions []policy.Decision) error {
	return e.placement.OnDecided(ctx, from, pool, decisions)
}

// OnFinished frees the places of a peer's runs.
func (e *Entry) OnFinished(ctx context.Context, pool resource.Name, finished []policy.Finish) error {
	return e.placement.OnFinished(ctx, pool, finished)
}

// OnRunning takes in the runs of a peer whose coordinator this entry became.
func (e *Entry) OnRunning(ctx context.Context, from member.HostID, pool resource.Name, runs []PlacedRun) error {
	return e.placement.OnRunning(ctx, from, pool, runs)
}

// OnLog serves a peer whose configuration is behind.
func (e *Entry) OnLog(after resource.Revision) LogTail { return e.config.OnLog(after) }

// OnLinkDown takes in that a peer's own link to this entry broke.
func (e *Entry) OnLinkDown(from member.HostID) { e.members.OnLinkDown(from) }
