// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shedpath/shedpath/cell"
	"github.com/shedpath/shedpath/clock/clocktest"
	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/permit"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/rollout"
)

// Every place where an accepted request waits, against every event that can take away what it waits for.

// step is a point at which waitingSite holds a request until it is released.
type step string

const (
	atPermit     step = "permit"
	atOtherZone  step = "other zone"
	atTurn       step = "turn"
	atUpstream   step = "upstream"
	atSecond     step = "second upstream"
	atFirstEvent step = "first event"
	atNextEvent  step = "next event"
	atCopy       step = "copy"
	atFinalCopy  step = "final copy"
	atReader     step = "reader"
)

// waitingSite is a site of two hosts in a zone and one in another, and one request to the host near.
type waitingSite struct {
	*site
	t        *testing.T
	near     *Forwarder
	machines map[*Forwarder]*clocktest.Machine
	hold     step
	entered  sync.Once
	isHeld   chan struct{}
	release  sync.Once
	released chan struct{}
	killed   chan struct{}
	// stopped is closed when an engine is asked to stop the run.
	stopSource sync.Once
	stopped    chan struct{}
	fillers    []waitingFiller
	mu         sync.Mutex
	// ran counts the upstreams that got the request, the continuations of its run left out.
	ran int
	// revision is the last one that was published, version that of the configuration.
	revision history.Revision
	version  Version
}

// waitingPlace is where the request of a waitingSite waits.
type waitingPlace struct {
	path string
	hold step
	// fill leaves no room on any engine.
	fill bool
	// zoneQueue enables the queues of zones.
	zoneQueue bool
	// duty returns the host that the request waits at; nil for none. It is near if own is set.
	duty func(f *Forwarder, now time.Time) Peer
	own  bool
	// begin is called once the request is under way.
	begin func(w *waitingSite)
	// fails makes the first upstream fail.
	fails bool
	// isSent says that an upstream has the request by then.
	isSent bool
}

var waitingPlaces = map[string]waitingPlace{
	"a permit of a cold upstream, asked of a peer": {path: "/cold/", hold: atPermit, duty: func(f *Forwarder, now time.Time) Peer {
		return f.peers.responsibleHost(now, "cold1", cell.ID{Zone: "z1"})
	}},
	"a place asked of another zone's host": {path: "/patient/", hold: atOtherZone, fill: true},
	"the host's own queue":                 {path: "/patient/", fill: true},
	"its zone's queue at the host itself":  {path: "/patient/", fill: true, zoneQueue: true, own: true, duty: zoneQueueHost},
	"its zone's queue at a peer":           {path: "/patient/", fill: true, zoneQueue: true, duty: zoneQueueHost},
	"the answer of a call that runs once":  {path: "/order/", hold: atUpstream, isSent: true},
	"a hedged call":                        {path: "/status/", hold: atUpstream, isSent: true, begin: func(*waitingSite) { time.Sleep(100 * time.Millisecond) }},
	"a call's second attempt":              {path: "/status/", hold: atSecond, fails: true, isSent: true},
	"a stream's answer":                    {path: "/llm/", hold: atUpstream, isSent: true},
	"a stream's first event":               {path: "/llm/", hold: atFirstEvent, isSent: true},
	"a stream's next event":                {path: "/llm/", hold: atNextEvent, isSent: true},
	"a stream that is resumed":             {path: "/resumable/", hold: atSecond, fails: true, isSent: true},
	"the turn to move, asked of a peer": {path: "/llm/", hold: atTurn, isSent: true, begin: leaveSource, duty: func(f *Forwarder, now time.Time) Peer {
		u, _ := f.fleet.Upstream("e1")
		return f.peers.arbiter(now, u)
	}},
	"a copy of its memory":        {path: "/llm/", hold: atCopy, isSent: true, begin: leaveSource},
	"the last copy of its memory": {path: "/llm/", hold: atFinalCopy, isSent: true, begin: leaveSource},
	"a reader that takes nothing": {path: "/llm/", hold: atReader, isSent: true},
}

func zoneQueueHost(f *Forwarder, now time.Time) Peer {
	return f.responsibleForAdmission(now, "llm", cell.ID{Zone: "z1"})
}

// leaveSource has the engine of the request leave once its stream has begun.
func leaveSource(w *waitingSite) {
	time.Sleep(300 * time.Millisecond)
	for _, s := range w.near.engines.runStates(w.near.now()) {
		u, _ := w.near.fleet.Upstream(s.Engine)
		u.Leaving = true
		w.change(u, false)
	}
}

// waitingEvent is what happens while a request waits.
type waitingEvent struct {
	happen func(w *waitingSite)
	// stopsIn is when the host ends, counted from the event; zero if it doesn't.
	stopsIn time.Duration
	// mayHang plays it with a request that is never released, too.
	mayHang bool
	// mayFail says that a request that an upstream has may get a failure although it is released in time.
	mayFail bool
}

var waitingEvents = map[string]waitingEvent{
	"nothing": {mayHang: true, happen: func(*waitingSite) {}},
	"a stop":  {mayHang: true, stopsIn: 3 * time.Second, happen: func(w *waitingSite) { w.stop(3 * time.Second) }},
	"two stops": {stopsIn: 3 * time.Second, happen: func(w *waitingSite) {
		w.stop(3 * time.Second)
		time.Sleep(50 * time.Millisecond)
		w.stop(2900 * time.Millisecond)
	}},
	"a reload":               {happen: func(w *waitingSite) { w.near.SetRetryLimit(RetryLimit{}) }},
	"its route is removed":   {happen: func(w *waitingSite) { w.configure(func(c *Config) { c.Routes = nil }) }},
	"its account is removed": {happen: func(w *waitingSite) { w.configure(func(c *Config) { c.Accounts = nil }) }},
	"its service is removed": {mayHang: true, happen: func(w *waitingSite) { w.configure(func(c *Config) { c.Routes, c.Services = nil, nil }) }},
	"its service has no engines": {happen: func(w *waitingSite) {
		w.configure(func(c *Config) {
			for i := range c.Services {
				c.Services[i].Engine = nil
			}
		})
	}},
	"its limits change": {happen: func(w *waitingSite) {
		w.configure(func(c *Config) {
			for i := range c.Services {
				c.Services[i].ColdRate = 0
			}
			for i := range c.Routes {
				c.Routes[i].Timeout, c.Routes[i].Attempts = time.Millisecond, 1
			}
		})
	}},
	"a reload and a removed service in a stop": {stopsIn: 3 * time.Second, happen: func(w *waitingSite) {
		w.stop(3 * time.Second)
		w.near.SetRetryLimit(RetryLimit{})
		w.configure(func(c *Config) { c.Routes, c.Services = nil, nil })
	}},
	"its zone out of service":                   {mayFail: true, happen: func(w *waitingSite) { w.origin.orderZones(outOfService("z1", w.next())) }},
	"all zones out of service":                  {mayFail: true, happen: func(w *waitingSite) { w.origin.orderZones(outOfService("z1", w.next()), outOfService("z2", w.next())) }},
	"its upstreams gone":                        {mayFail: true, happen: func(w *waitingSite) { w.changeAll(func(u *Upstream) bool { return true }) }},
	"its upstreams leave":                       {mayFail: true, happen: func(w *waitingSite) { w.changeAll(func(u *Upstream) bool { u.Leaving = true; return false }) }},
	"its upstreams restarted":                   {mayFail: true, happen: func(w *waitingSite) { w.changeAll(func(u *Upstream) bool { u.Incarnation = 9; return false }) }},
	"its addresses used again":                  {mayFail: true, happen: reuseAddresses},
	"a roll-out that completes":                 {mayFail: true, happen: func(w *waitingSite) { w.completeRollout(true) }},
	"a roll-out to a version without upstreams": {mayFail: true, happen: func(w *waitingSite) { w.completeRollout(false) }},
	"the store away":                            {happen: func(w *waitingSite) { w.origin.unavailable.Store(true) }},
	"the store away and the service removed before": {happen: func(w *waitingSite) {
		w.configure(func(c *Config) { c.Routes, c.Services = nil, nil })
		time.Sleep(10 * time.Millisecond)
		w.origin.unavailable.Store(true)
	}},
	"its peers stop": {happen: func(w *waitingSite) {
		for _, f := range w.peersOfNear() {
			go f.Stop(w.t.Context())
		}
	}},
	"its peers hang": {mayHang: true, happen: func(w *waitingSite) {
		w.freeze(w.otherAddresses(w.near.settings.Self.PeerAddress)...)
	}},
	"its peers are killed": {happen: func(w *waitingSite) {
		w.isolate(w.otherAddresses(w.near.settings.Self.PeerAddress)...)
		close(w.killed)
	}},
	"its peers are killed in a stop": {stopsIn: 3 * time.Second, happen: func(w *waitingSite) {
		w.stop(3 * time.Second)
		w.isolate(w.otherAddresses(w.near.settings.Self.PeerAddress)...)
		close(w.killed)
	}},
	"its host suspended": {mayHang: true, happen: func(w *waitingSite) { w.machines[w.near].Suspend(1500 * time.Millisecond) }, mayFail: true},
}

func reuseAddresses(w *waitingSite) {
	w.changeAll(func(*Upstream) bool { return true })
	for _, u := range w.upstreams() {
		u.ID, u.Service = "new-"+u.ID, "other"
		w.change(u, false)
	}
}

func (w *waitingSite) next() history.Revision {
	w.revision++
	return w.revision
}

func (w *waitingSite) upstreams() []Upstream {
	w.origin.mu.Lock()
	defer w.origin.mu.Unlock()
	return slices.Clone(w.origin.list)
}

func (w *waitingSite) change(u Upstream, gone bool) {
	u.Revision = rev(w.next())
	w.origin.publish(Change{Upstream: u, Gone: gone})
}

// changeAll changes every upstream, or removes it if change returns true.
func (w *waitingSite) changeAll(change func(u *Upstream) (gone bool)) {
	for _, u := range w.upstreams() {
		gone := change(&u)
		w.change(u, gone)
	}
}

func (w *waitingSite) configure(change func(c *Config)) {
	w.version++
	c := waitingConfig(w.version)
	change(&c)
	w.origin.mu.Lock()
	defer w.origin.mu.Unlock()
	w.origin.config, w.origin.configRevision = c, rev(w.next())
	w.origin.wakeWatches()
}

// completeRollout moves all services to a version. exists says that it has upstreams.
func (w *waitingSite) completeRollout(exists bool) {
	if exists {
		for _, u := range w.upstreams() {
			u.ID, u.Address, u.Version = "v2-"+u.ID, "10.2.0.1:"+string(u.ID), "v2"
			w.change(u, false)
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, f := range w.hosts {
		for _, service := range []ServiceName{"app", "cold", "llm"} {
			f.receiveRollouts(f.now(), []rollout.Status{{
				Order: rollout.Order{Service: service, Target: "v2", GivenAt: rev(w.next()), Duration: time.Minute}, Phase: rollout.Completed,
			}})
		}
	}
}

func (w *waitingSite) stop(grace time.Duration) {
	ctx, cancel := context.WithTimeout(w.t.Context(), grace)
	go func() {
		defer cancel()
		w.near.Stop(ctx)
		w.near.Close(ctx)
	}()
}

func (w *waitingSite) peersOfNear() []*Forwarder {
	var peers []*Forwarder
	for _, f := range w.hosts {
		if f != w.near {
			peers = append(peers, f)
		}
	}
	return peers
}

// waitAt holds a request at a step.
func (w *waitingSite) waitAt(ctx context.Context, at step) error {
	if at != w.hold {
		return nil
	}
	w.entered.Do(func() { close(w.isHeld) })
	select {
	case <-w.released:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// letGo lets the request go on.
func (w *waitingSite) letGo() {
	w.release.Do(func() {
		close(w.released)
		for _, x := range w.fillers {
			x.host.engines.finish(x.host.now(), "llm", x.run, false)
			x.host.peers.notifyAll()
		}
	})
}

// waitingPeers are the connections of a host of a waitingSite.
type waitingPeers struct {
	sitePeers
	w *waitingSite
}

func (p waitingPeers) Permit(ctx context.Context, to Peer, a permit.GrantRequest) (permit.GrantReply, error) {
	if err := p.w.waitAt(ctx, atPermit); err != nil {
		return permit.GrantReply{}, err
	}
	return p.sitePeers.Permit(ctx, to, a)
}

func (p waitingPeers) Ask(ctx context.Context, to Peer, r PlacementRequest) (PlacementGrant, error) {
	if err := p.w.waitAt(ctx, atOtherZone); err != nil {
		return PlacementGrant{}, err
	}
	return p.sitePeers.Ask(ctx, to, r)
}

func (p waitingPeers) Turn(ctx context.Context, to Peer, r TurnRequest) error {
	if err := p.w.waitAt(ctx, atTurn); err != nil {
		return err
	}
	if f := p.w.reachHost(ctx, p.address, to); f != nil {
		return f.OnTurn(ctx, r)
	}
	return errConnectionLost
}

func (p waitingPeers) EndTurn(ctx context.Context, to Peer, r TurnRequest) error {
	if f := p.w.reachHost(ctx, p.address, to); f != nil {
		f.OnEndTurn(r)
		return nil
	}
	return errConnectionLost
}

func (p waitingPeers) Admit(ctx context.Context, to Peer, r AdmitRequest) (AdmitReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replied := make(chan AdmitReply, 1)
	failed := make(chan error, 1)
	go func() {
		reply, err := p.sitePeers.Admit(ctx, to, r)
		if err != nil {
			failed <- err
			return
		}
		if p.w.reachHost(ctx, p.address, to) != nil {
			replied <- reply
		}
	}()
	select {
	case reply := <-replied:
		return reply, nil
	case err := <-failed:
		return AdmitReply{}, err
	case <-p.w.killed:
		return AdmitReply{}, errConnectionLost
	case <-ctx.Done():
		return AdmitReply{}, ctx.Err()
	}
}

// waitingEventCount is how many events a stream has.
const waitingEventCount = 40

// send plays the upstreams: plain ones that answer after 20 ms, and engines that make an event each 50 ms.
func (w *waitingSite) send(fails bool) func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
	return func(ctx context.Context, u Upstream, r *UpstreamRequest) (*Response, error) {
		attempt := 0
		if r.Continue == nil || r.Continue.Handle == "" {
			w.mu.Lock()
			w.ran++
			attempt = w.ran
			w.mu.Unlock()
		}
		time.Sleep(20 * time.Millisecond)
		if err := w.waitAt(ctx, atUpstream); err != nil {
			return nil, err
		}
		if attempt > 1 {
			if err := w.waitAt(ctx, atSecond); err != nil {
				return nil, err
			}
		}
		breaks := fails && attempt == 1
		if u.Service != "llm" {
			if breaks {
				return nil, errConnectionLost
			}
			return answer(http.StatusOK, "ok"), nil
		}
		stopped := w.stopped
		begin := 1
		if r.Continue != nil {
			if r.Continue.Handle != "" {
				stopped = nil
			}
			last, _ := strconv.Atoi(r.Continue.LastEventID)
			begin += last
		}
		read, write := io.Pipe()
		go func() {
			defer context.AfterFunc(ctx, func() { write.CloseWithError(context.Cause(ctx)) })()
			if w.waitAt(ctx, atFirstEvent) != nil {
				return
			}
			for n := begin; n <= waitingEventCount; n++ {
				_, err := fmt.Fprintf(write, "id: %d\ndata: x\n\n", n)
				if err != nil || breaks {
					write.CloseWithError(errConnectionLost)
					return
				}
				select {
				case <-stopped:
					write.CloseWithError(io.ErrUnexpectedEOF)
					return
				case <-time.After(50 * time.Millisecond):
				}
				if w.waitAt(ctx, atNextEvent) != nil {
					return
				}
			}
			_ = write.Close()
		}()
		a := answer(http.StatusOK, "")
		a.ContentLength, a.Body = -1, read
		return a, nil
	}
}

func (w *waitingSite) runCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ran
}

func (w *waitingSite) move(ctx context.Context, _ Upstream, r MoveRequest) (MoveResult, error) {
	at := atCopy
	if r.StopSource {
		at = atFinalCopy
		w.stopSource.Do(func() { close(w.stopped) })
	}
	time.Sleep(10 * time.Millisecond)
	if err := w.waitAt(ctx, at); err != nil {
		return MoveResult{}, err
	}
	return MoveResult{Handle: "copy"}, nil
}

// waitingSink counts the answers to a request, and how they end.
type waitingSink struct {
	w                              *waitingSite
	began, refused, cut, succeeded int
	refusal                        Refusal
	// missing counts the events that a stream still lacks.
	missing int
	aborted chan struct{}
	abort   sync.Once
}

func (s *waitingSink) SendResponse(a *Response, _ []byte) error {
	s.began++
	if a.Status == http.StatusOK {
		s.succeeded++
	}
	return nil
}

func (s *waitingSink) BeginResponse(a *Response) error {
	s.missing = waitingEventCount
	return s.SendResponse(a, nil)
}

func (s *waitingSink) Write([]byte) error {
	ctx, cancel := context.WithCancel(s.w.t.Context())
	defer cancel()
	go func() {
		select {
		case <-s.aborted:
			cancel()
		case <-ctx.Done():
		}
	}()
	if err := s.w.waitAt(ctx, atReader); err != nil {
		return err
	}
	s.missing--
	return nil
}
func (s *waitingSink) Abort() { s.abort.Do(func() { close(s.aborted) }) }
func (s *waitingSink) Refuse(r Refusal) error {
	s.refused++
	s.refusal = r
	return nil
}
func (s *waitingSink) Truncate() { s.cut++ }

func waitingConfig(v Version) Config {
	c := testConfig(v)
	c.Services = append(c.Services, Service{Name: "cold", ColdRate: 20})
	cold := c.Routes[1]
	cold.Name, cold.PathPrefix, cold.Services = "/cold/", "/cold/", []WeightedService{{Service: "cold", Weight: 1}}
	patient := c.Routes[2]
	patient.Name, patient.PathPrefix, patient.Objective, patient.Timeout = "/patient/", "/patient/", 30*time.Second, 38*time.Second
	c.Routes = append(c.Routes, cold, patient)
	for i := range c.Routes {
		if c.Routes[i].Timeout == 39*time.Second {
			c.Routes[i].Timeout = 8 * time.Second
		}
	}
	return c
}

// newWaitingSite starts a site whose request will wait at a place.
func newWaitingSite(ctx context.Context, t *testing.T, p *waitingPlace) *waitingSite {
	w := &waitingSite{
		site: newSite(2, 2, false), t: t, hold: p.hold, revision: 20, version: 1, machines: map[*Forwarder]*clocktest.Machine{},
		isHeld: make(chan struct{}), released: make(chan struct{}), killed: make(chan struct{}), stopped: make(chan struct{}),
	}
	delete(w.hosts, "10.2.0.2:1")
	w.origin.config, w.origin.list = waitingConfig(1), nil
	for service, ids := range map[ServiceName][]string{"app": {"a1", "a2", "a3"}, "cold": {"cold1"}, "llm": {"e1", "e2", "e3"}} {
		for n, id := range ids {
			w.origin.list = append(w.origin.list, Upstream{
				ID: member.UpstreamID(id), Service: service, Address: "10.9.0.1:" + id, Zone: member.Zone(fmt.Sprint("z", n/2+1)), Slots: 6,
				Incarnation: 1, Revision: rev(5), Version: "v1",
			})
		}
	}
	transport := &fakeTransport{send: w.send(p.fails), move: w.move}
	for _, f := range w.hosts {
		w.machines[f] = clocktest.NewMachine(t)
		f.setClock(w.machines[f].Clock())
		f.transport, f.settings.Placement.ZoneAdmission, f.settings.DrainTime = transport, p.zoneQueue, 2*time.Second
		f.retries.setLimit(RetryLimit{Ratio: 0.2, Slack: 100, Window: 10 * time.Second})
	}
	for address, f := range w.hosts {
		go f.settings.Clock.Run(ctx)
		go f.RunPeers(ctx, waitingPeers{sitePeers{w.site, f.settings.Self.ID, address}, w})
		go f.Follow(ctx, w.origin)
		go f.RunRollouts(ctx, noRolloutStore{})
		go f.Run(ctx)
	}
	time.Sleep(1100 * time.Millisecond)
	for _, f := range w.hosts {
		f.fleet.MarkCold("cold1", f.now().Add(time.Hour))
		if f.settings.Self.Zone == "z1" && (p.duty == nil || (p.duty(f, f.now()).ID == f.settings.Self.ID) == p.own) {
			w.near = f
		}
	}
	if p.fill {
		w.fill()
	}
	time.Sleep(100 * time.Millisecond)
	return w
}

type noRolloutStore struct{}

func (noRolloutStore) Record(context.Context, rollout.Status, history.Point) error {
	return errConnectionLost
}

// waitingFiller is a run that leaves no room on its engine.
type waitingFiller struct {
	host *Forwarder
	run  *ownRun
}

// fill has a peer in each zone fill the engines there.
func (w *waitingSite) fill() {
	filled := map[member.UpstreamID]bool{}
	for _, f := range w.peersOfNear() {
		for _, u := range w.upstreams() {
			if u.Service != "llm" || u.Zone != f.settings.Self.Zone || filled[u.ID] {
				continue
			}
			filled[u.ID] = true
			r := policy.Request{Run: policy.RunID("fill-" + string(u.ID)), Route: "/llm/", PromptTokens: 32000, MaxOutputTokens: 4500, Zone: u.Zone}
			_, run, _, ok := f.engines.placeGranted(f.now(), "llm", r, PlacementGrant{Engine: u.ID})
			if !ok {
				w.t.Fatalf("%s isn't filled", u.ID)
			}
			w.fillers = append(w.fillers, waitingFiller{f, run})
			f.engines.recordFirstToken(f.now(), "llm", run)
			f.peers.notifyAll()
		}
	}
}

// leftovers describes what a request has left behind on the hosts.
func (w *waitingSite) leftovers() (left []string) {
	for _, f := range w.hosts {
		id := f.settings.Self.ID
		f.mu.Lock()
		if n := len(f.inFlight); n > 0 {
			left = append(left, fmt.Sprintf("%s: %d in flight", id, n))
		}
		f.mu.Unlock()
		f.engines.mu.Lock()
		for name, p := range f.engines.pools {
			if n := len(p.waiting) + p.pool.Waiting() + len(p.ownRuns) + len(p.unconfirmedGrants); n > 0 {
				left = append(left, fmt.Sprintf("%s: %d waiting, %d queued, %d runs, %d grants of %s", id, len(p.waiting), p.pool.Waiting(), len(p.ownRuns), len(p.unconfirmedGrants), name))
			}
		}
		f.engines.mu.Unlock()
		f.admissions.mu.Lock()
		asked := f.admissions.asked
		f.admissions.mu.Unlock()
		if n := f.ZoneQueueLength(); n+asked > 0 {
			left = append(left, fmt.Sprintf("%s: %d in the zone's queue, %d asked", id, n, asked))
		}
		if n := f.answerBudget.Reserved(); n != 0 {
			left = append(left, fmt.Sprintf("%s: %d bytes held", id, n))
		}
	}
	return left
}

// TestWaitingRequestsAreAnswered guards against requests without an answer, with two, or with one after their time,
// and against a refusal of a request that has run or runs later.
func TestWaitingRequestsAreAnswered(t *testing.T) {
	for place, p := range waitingPlaces {
		for event, e := range waitingEvents {
			for _, goesOn := range []bool{true, false} {
				if !goesOn && !e.mayHang {
					continue
				}
				t.Run(fmt.Sprintf("%s, %s, goes on %v", place, event, goesOn), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { playWaiting(t, &p, &e, goesOn) })
				})
			}
		}
	}
}

func playWaiting(t *testing.T, p *waitingPlace, e *waitingEvent, goesOn bool) {
	ctx, end := context.WithCancel(t.Context())
	w := newWaitingSite(ctx, t, p)
	defer func() {
		w.letGo()
		end()
		time.Sleep(moveTimeout) // until no call is under way
	}()
	c, sink := call(p.path), &waitingSink{w: w, aborted: make(chan struct{})}
	c.Arrived = w.near.now()
	route, _ := w.near.Table().Match(c.Host, c.Path)
	answered := make(chan time.Time, 1)
	began := time.Now()
	go func() {
		w.near.Serve(ctx, c, sink)
		answered <- time.Now()
	}()
	if p.begin != nil {
		p.begin(w)
	}
	time.Sleep(30 * time.Millisecond)
	if p.hold != "" {
		select {
		case <-w.isHeld:
		case <-time.After(time.Second):
			t.Fatal("the request doesn't get to the place where it should wait")
		}
	}
	if len(answered) > 0 {
		t.Fatalf("the request doesn't wait: %+v", sink.refusal)
	}
	happened := time.Now()
	e.happen(w)
	time.Sleep(200 * time.Millisecond)
	if goesOn {
		w.letGo()
	}
	latest := began.Add(route.Timeout + 500*time.Millisecond)
	if !p.isSent && route.Objective > 0 {
		latest = began.Add(route.Objective + 500*time.Millisecond)
	}
	if goesOn {
		// What the upstreams take.
		latest = laterOf(latest, happened.Add(2500*time.Millisecond))
	}
	if e.stopsIn > 0 && happened.Add(e.stopsIn+interruptTimeout).Before(latest) {
		latest = happened.Add(e.stopsIn + interruptTimeout)
	}
	select {
	case at := <-answered:
		t.Logf("answered %v after the event: %d begun, %d cut, %d refused %+v; %d ran", at.Sub(happened), sink.began, sink.cut, sink.refused, sink.refusal, w.runCount())
	case <-time.After(time.Until(latest)):
		t.Errorf("no answer %v after the event", time.Since(happened))
		return
	}
	if sink.began+sink.refused != 1 {
		t.Errorf("%d answers and %d refusals", sink.began, sink.refused)
	}
	if sink.began > 0 && sink.cut == 0 && sink.missing != 0 {
		t.Errorf("ended as complete, with %d events missing", sink.missing)
	}
	if p.isSent && goesOn && !e.mayFail && (sink.succeeded != 1 || sink.cut > 0) {
		t.Errorf("a request whose upstream answers fails: %+v, cut %v", sink.refusal, sink.cut > 0)
	}
	time.Sleep(time.Second)
	if ran := w.runCount(); sink.refused > 0 && !sink.refusal.MayHaveRun && ran > 0 {
		t.Errorf("refused with %+v, but %d upstreams got it", sink.refusal, ran)
	}
	w.letGo()
	time.Sleep(500 * time.Millisecond)
	if left := w.leftovers(); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
}
