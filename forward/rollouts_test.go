// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/rollout"
)

// rolloutOrigin is a siteOrigin that stores rollouts.
type rolloutOrigin struct {
	*siteOrigin
	mu           sync.Mutex
	records      map[ServiceName]rollout.Status
	nextRevision history.Revision
	// recordedAt is when each phase was first recorded.
	recordedAt map[rollout.Phase]time.Time
}

// Record stores a phase if the stored record is the one that the writer expects.
func (o *rolloutOrigin) Record(_ context.Context, s rollout.Status, over history.Point) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unavailable.Load() {
		return errConnectionLost
	}
	if o.records[s.Service].Recorded != over {
		return ErrRecordChanged
	}
	o.nextRevision++
	s.Recorded = rev(int(o.nextRevision))
	o.records[s.Service] = s
	if _, ever := o.recordedAt[s.Phase]; !ever {
		o.recordedAt[s.Phase] = time.Now()
	}
	o.publishRollouts(nil, []rollout.Status{s})
	return nil
}

// publishOrder publishes a rollout order to the hosts.
func (o *rolloutOrigin) publishOrder(s rollout.Status) rollout.Status {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.nextRevision++
	s.GivenAt = rev(int(o.nextRevision))
	o.publishRollouts([]rollout.Status{s}, nil)
	return s
}

func (o *rolloutOrigin) publishRollouts(orders, records []rollout.Status) {
	o.siteOrigin.mu.Lock()
	defer o.siteOrigin.mu.Unlock()
	o.rollouts, o.rolloutRecords = append(o.rollouts, orders...), append(o.rolloutRecords, records...)
	o.rolloutsRevision = rev(int(o.nextRevision))
	o.wakeWatches()
}

// rolloutScenario moves a service to another version while faults occur on the site.
type rolloutScenario struct {
	zones, hostsPerZone int
	service             ServiceName
	perSecond           float64
	// failureRate is the share of requests that fail at the new version, from failsFrom after
	// the order on.
	failureRate float64
	failsFrom   time.Duration
	disturb     func(ctx context.Context, s *site, o *rolloutOrigin)
	// wantPhase is the expected phase at the deadline.
	wantPhase rollout.Phase
}

const rolloutDuration = 12 * time.Second

// rolloutTally counts requests to the service and records those that reached the new version.
type rolloutTally struct {
	mu sync.Mutex
	// total is the number of requests that reached the service until the deadline; exposedAt
	// and failedAt are when requests reached the new version and when they failed there.
	total     int
	exposedAt []time.Time
	failedAt  []time.Time
}

// TestRollouts checks that good versions take over a service and bad versions are rolled back,
// whatever faults occur on the hosts meanwhile. A bad version must stay within the exposure
// allowed to all hosts together.
func TestRollouts(t *testing.T) {
	bad := func(d rolloutScenario) rolloutScenario {
		d.failureRate, d.wantPhase = 0.5, rollout.RolledBack
		return d
	}
	good := func(d rolloutScenario) rolloutScenario {
		d.wantPhase = rollout.Completed
		return d
	}
	base := rolloutScenario{zones: 3, hostsPerZone: 3, service: "app", perSecond: 60}
	streams := base
	streams.service, streams.perSecond = "llm", 12
	restarts, judgeDies, cut, storeAway := base, base, base, base
	restarts.disturb = func(ctx context.Context, s *site, o *rolloutOrigin) {
		for n := range 9 {
			s.restartRolloutHost(ctx, o, s.nthHost(n))
			time.Sleep(700 * time.Millisecond)
		}
	}
	judgeDies.disturb = func(ctx context.Context, s *site, o *rolloutOrigin) {
		for range 3 {
			time.Sleep(2 * time.Second)
			first := s.firstHost()
			s.makeUnreachable(first.settings.Self.PeerAddress)
			time.Sleep(time.Second)
			s.reconnect(first.settings.Self.PeerAddress)
			s.restartRolloutHost(ctx, o, first)
		}
	}
	cut.disturb = func(_ context.Context, s *site, _ *rolloutOrigin) {
		time.Sleep(2 * time.Second)
		s.isolate(s.zoneAddresses(2)...)
		time.Sleep(4 * time.Second)
		s.reconnect(s.zoneAddresses(2)...)
	}
	storeAway.disturb = func(_ context.Context, _ *site, o *rolloutOrigin) {
		time.Sleep(time.Second)
		o.unavailable.Store(true)
		time.Sleep(4 * time.Second)
		o.unavailable.Store(false)
	}
	later := bad(base)
	later.failsFrom = 8 * time.Second
	last := bad(base)
	last.failsFrom = 9500 * time.Millisecond
	for name, d := range map[string]rolloutScenario{
		"good": good(base), "good, streams": good(streams), "good, hosts start again": good(restarts),
		"good, the host that decides dies": good(judgeDies), "good, the store is away": good(storeAway),
		"bad": bad(base), "bad, streams": bad(streams), "bad, hosts start again": bad(restarts),
		"bad, the host that decides dies": bad(judgeDies), "bad, a zone is cut off": bad(cut), "bad, the store is away": bad(storeAway),
		"bad, but not at first": later, "bad, once all requests come": last,
	} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, d.run) })
	}
}

// restartRolloutHost replaces a host by a new process.
func (s *site) restartRolloutHost(ctx context.Context, o *rolloutOrigin, old *Forwarder) {
	f := New(old.settings, old.transport, silentJournal{}, silentObserver{})
	f.SetRetryLimit(RetryLimit{Ratio: 0.2, Slack: 1000, Window: 10 * time.Second})
	s.replaceHost(f)
	s.start(ctx, f)
	go f.Run(ctx)
	go f.RunRollouts(ctx, o)
}

func (d rolloutScenario) run(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	random, failures := rand.New(rand.NewPCG(1, 2)), rand.New(rand.NewPCG(3, 4))
	var failuresMu sync.Mutex
	fleet, tally := newFakeFleet(), &rolloutTally{}
	fleet.eventCount = 40 // runs that are not moved end by themselves
	s := newCrashSiteWith(fleet, d.zones, d.hostsPerZone, 6)
	o := &rolloutOrigin{siteOrigin: s.origin, records: map[ServiceName]rollout.Status{}, recordedAt: map[rollout.Phase]time.Time{}, nextRevision: 100}
	var given time.Time
	versions := map[member.UpstreamID]rollout.Version{}
	for i := range s.origin.list {
		s.origin.list[i].Version = "v1"
	}
	send := func(ctx context.Context, u Upstream, out *UpstreamRequest) (*Response, error) {
		now := time.Now()
		tally.mu.Lock()
		counts := !given.IsZero() && now.Sub(given) < rolloutDuration && u.Service == d.service
		if counts {
			tally.total++
		}
		isNew := versions[u.ID] == "v2"
		if isNew && counts {
			tally.exposedAt = append(tally.exposedAt, now)
		}
		tally.mu.Unlock()
		failuresMu.Lock()
		fails := isNew && now.Sub(given) >= d.failsFrom && failures.Float64() < d.failureRate
		failuresMu.Unlock()
		if fails {
			tally.mu.Lock()
			tally.failedAt = append(tally.failedAt, now)
			tally.mu.Unlock()
			time.Sleep(fakeCallDuration)
			return answer(500, "broken"), nil
		}
		return fleet.Send(ctx, u, out)
	}
	for _, f := range s.hosts {
		f.transport = &fakeTransport{send: send, checkReachable: fleet.checkReachable}
		f.settings.RolloutLimits = rollout.Limits{Share: 0.1, Slack: 50}
		go f.RunRollouts(ctx, o)
	}
	s.serveAll(ctx)
	time.Sleep(siteSettleTime)
	path := "/order/"
	if d.service == "llm" {
		path = "/llm/"
	}
	var under sync.WaitGroup
	order := func() {
		at := 0
		for _, u := range s.origin.list {
			if u.Service != d.service {
				continue
			}
			u.ID, u.Version = u.ID+"-new", "v2"
			u.Address += "9"
			o.mu.Lock()
			o.nextRevision++
			u.Revision = rev(int(o.nextRevision))
			o.mu.Unlock()
			tally.mu.Lock()
			versions[u.ID] = "v2"
			tally.mu.Unlock()
			o.publish(Change{Upstream: u})
			at++
		}
		tally.mu.Lock()
		given = time.Now()
		tally.mu.Unlock()
		o.publishOrder(rollout.Status{Order: rollout.Order{Service: d.service, Target: "v2", Duration: rolloutDuration}})
	}
	start := time.Now()
	for n := 0; time.Since(start) < rolloutDuration+2*time.Second; n++ {
		if given.IsZero() && time.Since(start) > 500*time.Millisecond {
			order()
			if d.disturb != nil {
				under.Go(func() { d.disturb(ctx, s, o) })
			}
		}
		host := s.nthHost(random.IntN(d.zones * d.hostsPerZone))
		under.Go(func() {
			c, sink := call(path), &fakeSink{}
			c.ID, c.Prompt = RequestID(fmt.Sprint("r", n)), Prompt{Tokens: 500, MaxOutputTokens: 300}
			host.Serve(ctx, c, sink)
		})
		time.Sleep(time.Duration(float64(time.Second) / d.perSecond))
	}
	under.Wait()
	d.check(t, o, tally, given)
	cancel()
	synctest.Wait()
}

func (d rolloutScenario) check(t *testing.T, o *rolloutOrigin, tally *rolloutTally, given time.Time) {
	ended, done := o.recordedAt[d.wantPhase]
	if !done || ended.Sub(given) > rolloutDuration {
		t.Errorf("phase %v recorded %v after the order, want it recorded within the duration of the rollout; all recorded phases: %v", d.wantPhase, ended.Sub(given), o.recordedAt)
	}
	t.Logf("phase %v %v after the order; %d of %d requests exposed, %d failed", d.wantPhase, ended.Sub(given), len(tally.exposedAt), tally.total, len(tally.failedAt))
	if d.wantPhase != rollout.RolledBack {
		return
	}
	if allowed := 0.1*float64(tally.total) + 50; float64(len(tally.exposedAt)) > allowed {
		t.Errorf("%d requests reached the bad version, at most %.0f allowed", len(tally.exposedAt), allowed)
	}
	if len(tally.failedAt) > 50 {
		last := tally.exposedAt[len(tally.exposedAt)-1]
		if late := last.Sub(tally.failedAt[49]); late > 5*time.Second {
			t.Errorf("requests reached the bad version until %v after its 50th failure, want at most 5 s", late)
		}
	}
}

// TestNextHostDecidesOnceTheFirstIsOutOfReach guards against a rollout without decisions while hosts report to one that is
// gone.
func TestNextHostDecidesOnceTheFirstIsOutOfReach(t *testing.T) {
	is, now := is.New(t), time.Now()
	p := newPeerSet(Peer{ID: "h2", Zone: "z1"}, nil)
	p.recordShare(now, Share{From: Peer{ID: "h1", Zone: "z1"}})
	p.recordShare(now, Share{From: Peer{ID: "h3", Zone: "z2"}})
	is.Equal(p.firstHost(now).ID, member.HostID("h1"))
	p.markUnreachable(now, "h1")
	is.Equal(p.firstHost(now).ID, member.HostID("h2"))
	p.recordShare(now.Add(100*time.Millisecond), Share{From: Peer{ID: "h1", Zone: "z1"}})
	is.Equal(p.firstHost(now.Add(100*time.Millisecond)).ID, member.HostID("h1")) // one call had failed
}
