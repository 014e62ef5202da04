// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/admission"
	"github.com/shedpath/shedpath/cell"
	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// admissionZone is a zone of three hosts and one engine, with the queue at responsible.
type admissionZone struct {
	*site
	responsible, near, far *Forwarder
	links                  map[member.HostID]*zoneLink
	// asked are the requests that reached a host, withdrawals left out.
	asked []AdmitRequest
	// filler is a run that leaves no room on the engine.
	filler *ownRun
	// objective is that of the requests, so long that a host's own queue accepts them, too.
	objective time.Duration
}

// zoneLink is a host's connection to the others. down is closed when the host dies; loseReplies has
// the replies to its requests not arrive.
type zoneLink struct {
	sitePeers
	zone        *admissionZone
	down        chan struct{}
	loseReplies bool
}

func (l *zoneLink) Admit(ctx context.Context, to Peer, r AdmitRequest) (AdmitReply, error) {
	called, end := context.WithCancel(ctx)
	defer end()
	if !r.Withdraw {
		l.zone.asked = append(l.zone.asked, r)
	}
	type result struct {
		reply AdmitReply
		err   error
	}
	replied := make(chan result, 1)
	go func() {
		reply, err := l.sitePeers.Admit(called, to, r)
		replied <- result{reply, err}
	}()
	select {
	case got := <-replied:
		if l.loseReplies && !r.Withdraw {
			<-ctx.Done()
			return AdmitReply{}, ctx.Err()
		}
		return got.reply, got.err
	case <-ctx.Done():
		return AdmitReply{}, context.Cause(ctx)
	case <-l.down:
		return AdmitReply{}, errConnectionLost
	case <-l.zone.links[to.ID].down:
		return AdmitReply{}, errConnectionLost
	}
}

// newAdmissionZone starts the hosts of a zone, whose engine is full until free is called.
func newAdmissionZone(t *testing.T, enabled bool) *admissionZone {
	t.Helper()
	z := &admissionZone{site: newSite(1, 3, false), objective: 39 * time.Second, links: map[member.HostID]*zoneLink{}}
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(func() {
		stop()
		time.Sleep(2 * shareTimeout) // until no call is under way
	})
	for address, f := range z.hosts {
		f.settings.Placement.ZoneAdmission = enabled
		f.fleet.Replace(time.Now(), []Upstream{upstreamInZone("e1", "z1")}, rev(2))
		f.Configure(time.Now(), testConfig(1))
		z.links[f.peers.self.ID] = &zoneLink{sitePeers: sitePeers{z.site, f.peers.self.ID, address}, zone: z, down: make(chan struct{})}
	}
	for _, f := range z.hosts {
		for _, other := range z.hosts {
			f.peers.recordShare(time.Now(), Share{From: other.peers.self})
		}
		go f.RunPeers(ctx, z.links[f.peers.self.ID])
		go f.Run(ctx)
	}
	time.Sleep(1100 * time.Millisecond)
	first := z.hosts["10.1.0.1:1"].responsibleForAdmission(time.Now(), "llm", cell.ID{Zone: "z1"}).ID
	for _, f := range z.hosts {
		switch {
		case f.peers.self.ID == first:
			z.responsible = f
		case z.near == nil:
			z.near = f
		default:
			z.far = f
		}
	}
	fill := policy.Request{Run: "filler", Route: "/llm/", PromptTokens: 32000, MaxOutputTokens: 4500, Zone: "z1"}
	_, z.filler, _, _ = z.far.engines.placeGranted(time.Now(), "llm", fill, PlacementGrant{Engine: "e1"})
	z.far.peers.notifyOwnCell()
	time.Sleep(20 * time.Millisecond)
	z.far.engines.recordFirstToken(time.Now(), "llm", z.filler)
	z.far.peers.notifyOwnCell()
	time.Sleep(20 * time.Millisecond)
	return z
}

// free makes room on the engine.
func (z *admissionZone) free() {
	z.far.engines.finish(time.Now(), "llm", z.filler, false)
	z.far.peers.notifyOwnCell()
}

// kill ends a host for all others.
func (z *admissionZone) kill(f *Forwarder) {
	z.isolate(f.settings.Self.PeerAddress)
	close(z.links[f.peers.self.ID].down)
}

// ownQueueLength returns how many requests wait in a host's own queue.
func ownQueueLength(f *Forwarder) int {
	f.engines.mu.Lock()
	defer f.engines.mu.Unlock()
	return f.engines.pools["llm"].pool.Waiting()
}

// ask places a run on a host and delivers the result.
func (z *admissionZone) ask(ctx context.Context, f *Forwarder, run policy.RunID) <-chan placementResult {
	got := make(chan placementResult, 1)
	go func() {
		now := time.Now()
		s := &streamExchange{exchange: &exchange{Forwarder: f, call: call("/llm/"), deadline: now.Add(z.objective)}}
		s.service, _ = f.Table().Service("llm")
		got <- s.findPlacement(ctx, now, policy.Request{
			Run: run, Route: "/llm/", PromptTokens: 3000, MaxOutputTokens: 500, Objective: z.objective, ArrivedAt: now, Deadline: now.Add(z.objective),
		}, throttledSet{})
	}()
	time.Sleep(20 * time.Millisecond)
	return got
}

// runsKnown counts the runs that a host counts on the engine.
func (z *admissionZone) runsKnown(f *Forwarder) int { return f.engines.otherRuns("llm", "e1", "") }

// TestZoneAdmission checks the outcome of a request that finds no room, under each failure halfway.
// It guards against requests that are lost, refused or placed twice because of the failure, and
// against places that stay taken.
func TestZoneAdmission(t *testing.T) {
	for name, c := range map[string]struct {
		// fail brings the failure about while the request of near waits.
		fail func(t *testing.T, z *admissionZone, leave context.CancelFunc)
		// freeAfter is when the engine gets room, counted from the failure.
		freeAfter   time.Duration
		wantVerdict policy.Verdict
		// wantQueued is how many requests the responsible host still has 50 ms after the failure.
		wantQueued int
		objective  time.Duration
	}{
		"no failure":            {func(*testing.T, *admissionZone, context.CancelFunc) {}, 60 * time.Millisecond, policy.Granted, 1, 39 * time.Second},
		"responsible host dies": {func(_ *testing.T, z *admissionZone, _ context.CancelFunc) { z.kill(z.responsible) }, 60 * time.Millisecond, policy.Granted, 0, 39 * time.Second},
		"responsible host stops": {func(t *testing.T, z *admissionZone, _ context.CancelFunc) {
			go z.responsible.Stop(t.Context())
		}, 60 * time.Millisecond, policy.Granted, 0, 39 * time.Second},
		"requesting host dies": {func(_ *testing.T, z *admissionZone, leave context.CancelFunc) {
			z.kill(z.near)
			leave()
		}, 60 * time.Millisecond, policy.Refused, 0, 39 * time.Second},
		"caller leaves":       {func(_ *testing.T, _ *admissionZone, leave context.CancelFunc) { leave() }, 60 * time.Millisecond, policy.Refused, 0, 39 * time.Second},
		"room comes too late": {func(*testing.T, *admissionZone, context.CancelFunc) {}, 9 * time.Second, policy.Refused, 1, 8 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				z := newAdmissionZone(t, true)
				z.objective = c.objective
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				got := z.ask(ctx, z.near, "r")
				is.Equal(z.responsible.ZoneQueueLength(), 1)
				is.True(z.far.admissions.blocks(time.Now(), "llm", 0)) // the share told the others
				c.fail(t, z, leave)
				time.Sleep(50 * time.Millisecond)
				is.Equal(z.responsible.ZoneQueueLength(), c.wantQueued)
				time.Sleep(c.freeAfter - 50*time.Millisecond)
				z.free()
				result := <-got
				is.Equal(result.decision.Verdict, c.wantVerdict)
				is.Equal(result.run != nil, c.wantVerdict == policy.Granted)
				time.Sleep(waitingMarkTTL)
				want := 0
				if result.run != nil {
					want = 1
				}
				is.Equal(z.runsKnown(z.far), want) // no place stays taken, and none is taken twice
				is.Equal(z.responsible.ZoneQueueLength(), 0)
				is.Equal(z.far.admissions.blocks(time.Now(), "llm", 0), false)
				is.Equal(len(z.asked), 1)
			})
		})
	}
}

// TestZoneAdmissionCutOff guards against requests that wait for a responsible host that was cut off
// without a word, and against the next request waiting for it as well.
func TestZoneAdmissionCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newAdmissionZone(t, true)
		z.freeze(z.responsible.settings.Self.PeerAddress)
		z.isolate(z.responsible.settings.Self.PeerAddress)
		got := z.ask(t.Context(), z.near, "r")
		is.Equal(ownQueueLength(z.near), 0)
		time.Sleep(sameCellSilenceTimeout)
		is.Equal(ownQueueLength(z.near), 1) // long before the caller's wait ends
		next := z.near
		if z.near.responsibleForAdmission(time.Now(), "llm", cell.ID{Zone: "z1"}).ID == z.far.peers.self.ID {
			next = z.far
		}
		later := z.ask(t.Context(), z.far, "s")
		is.Equal(next.ZoneQueueLength(), 1) // the next host by rendezvous hashing
		z.free()
		is.Equal((<-got).decision.Verdict, policy.Granted)
		is.Equal((<-later).decision.Verdict, policy.Granted)
	})
}

// TestFailedHostIsNotAsked guards against each request waiting for a responsible host that has just
// failed.
func TestFailedHostIsNotAsked(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var a zoneAdmissions
	a.recordFailure(now, "h1")
	is.Equal(a.beginAsk(now.Add(admissionFailurePause-1), "h1"), errAdmissionFailed)
	is.NoErr(a.beginAsk(now, "h2"))
	is.NoErr(a.beginAsk(now.Add(admissionFailurePause), "h1"))
	a.asked = maxAdmissionsAsked
	is.Equal(a.beginAsk(now, "h2"), errTooManyAsked)
	a.recordFailure(now.Add(admissionFailurePause), "h3")
	is.Equal(len(a.failedUntil), 1) // hosts that are gone aren't remembered
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newAdmissionZone(t, true)
		first := z.ask(t.Context(), z.near, "r")
		z.kill(z.responsible)
		synctest.Wait()
		second := z.ask(t.Context(), z.near, "s")
		is.Equal(len(z.asked), 1)
		is.Equal((<-second).decision.Reason, policy.ReasonDeadline) // of the own queue, where one waits
		z.free()
		is.Equal((<-first).decision.Verdict, policy.Granted)
	})
}

// TestTwoResponsibleHosts guards against requests that no host decides while two hosts believe to be
// responsible because their zone is split.
func TestTwoResponsibleHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newAdmissionZone(t, true)
		z.isolate(z.near.settings.Self.PeerAddress)
		time.Sleep(2 * sameCellSilenceTimeout)
		split, other := z.ask(t.Context(), z.near, "r"), z.ask(t.Context(), z.far, "s")
		is.Equal(z.near.ZoneQueueLength(), 1)
		is.Equal(z.responsible.ZoneQueueLength(), 1)
		z.free()
		is.Equal((<-other).decision.Verdict, policy.Granted)
		is.True((<-split).decision.Verdict != policy.Queued) // by its own view of the engine
		z.reconnect(z.near.settings.Self.PeerAddress)
		time.Sleep(time.Second)
		is.Equal(z.responsible.ZoneQueueLength()+z.near.ZoneQueueLength(), 0)
	})
}

// TestLateGrant guards against a place that stays taken although the reply with the grant was lost
// and the request is gone.
func TestLateGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newAdmissionZone(t, true)
		z.links[z.near.peers.self.ID].loseReplies = true
		ctx, leave := context.WithCancel(t.Context())
		got := z.ask(ctx, z.near, "r")
		z.free()
		time.Sleep(20 * time.Millisecond)
		is.Equal(z.runsKnown(z.responsible), 1) // granted
		leave()
		is.Equal((<-got).run, nil)
		time.Sleep(10 * time.Millisecond)
		is.Equal(z.runsKnown(z.responsible), 0) // returned before it expires
	})
}

// TestUnservableRequest guards against a request that waits, and keeps less urgent ones waiting, until
// its objective has passed although no engine can ever take it, or although the responsible host knows
// no engine.
func TestUnservableRequest(t *testing.T) {
	t.Run("prompt longer than any engine's memory", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			z := newAdmissionZone(t, true)
			now := time.Now()
			s := &streamExchange{exchange: &exchange{Forwarder: z.near, call: call("/llm/"), deadline: now.Add(z.objective)}}
			s.service, _ = z.near.Table().Service("llm")
			result := s.findPlacement(t.Context(), now, policy.Request{
				Run: "r", Route: "/llm/", PromptTokens: s.service.Engine.Memory, Objective: z.objective, ArrivedAt: now, Deadline: now.Add(z.objective),
			}, throttledSet{})
			is.Equal(result.decision.Reason, policy.ReasonTooLong)
			is.Equal(time.Since(now), time.Duration(0))
			is.Equal(len(z.asked), 0)
		})
	})
	t.Run("responsible host knows no engine", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			z := newAdmissionZone(t, true)
			ask := AdmitRequest{PlacementRequest: PlacementRequest{From: "h9", Service: "other", Run: "r", PromptTokens: 3000, Objective: time.Second}}
			began := time.Now()
			is.Equal(z.responsible.OnAdmit(t.Context(), ask), AdmitReply{})
			is.Equal(time.Since(began), time.Duration(0))
			is.Equal(len(z.responsible.admissions.queues), 0)
		})
	})
}

// TestWaitingMarks guards against hosts that bypass the zone's queue, and against hosts that hold
// requests back because of a mark that isn't renewed.
func TestWaitingMarks(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var a zoneAdmissions
	a.receiveMarks(now, "h1", []WaitingMark{{Service: "llm", Count: 2, Highest: 5}})
	is.True(a.blocks(now, "llm", 5))
	is.True(!a.blocks(now, "llm", 6)) // more urgent than all that wait
	is.True(!a.blocks(now, "other", 5))
	is.True(a.blocks(now.Add(waitingMarkTTL), "llm", 5)) // a share that is late
	is.True(!a.blocks(now.Add(waitingMarkTTL+1), "llm", 5))
	a.receiveMarks(now, "h1", []WaitingMark{{Service: "llm", Count: 2, Highest: 5}})
	a.receiveMarks(now, "h1", nil)
	is.True(!a.blocks(now, "llm", 0))
}

// TestZoneAdmissionDisabled guards against any effect of the zone's queue while it isn't enabled,
// and against asking another host while there is room.
func TestZoneAdmissionDisabled(t *testing.T) {
	for name, c := range map[string]struct{ enabled, room bool }{
		"disabled, full": {false, false}, "enabled, with room": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				z := newAdmissionZone(t, c.enabled)
				if c.room {
					z.free()
					time.Sleep(20 * time.Millisecond)
				}
				got := z.ask(t.Context(), z.near, "r")
				if !c.room {
					is.Equal(len(z.near.newShare(time.Now()).Waiting), 0)
					is.Equal(z.responsible.OnAdmit(t.Context(), AdmitRequest{PlacementRequest: PlacementRequest{Service: "llm", Run: "x"}}), AdmitReply{})
					z.free()
				}
				<-got
				is.Equal(len(z.asked), 0)
				is.Equal(z.responsible.ZoneQueueLength(), 0)
			})
		})
	}
}

// TestAskRespectsZoneQueue guards against hosts of other zones that bypass the requests that wait in
// this one.
func TestAskRespectsZoneQueue(t *testing.T) {
	is := is.New(t)
	_, far, _ := newTwoZoneHosts(t)
	far.settings.Placement.ZoneAdmission = true
	ask := PlacementRequest{From: "h1", Service: "llm", Run: "r", PromptTokens: 3000, MaxOutputTokens: 500, Objective: time.Second, Priority: 1}
	far.admissions.receiveMarks(time.Now(), "h3", []WaitingMark{{Service: "llm", Count: 1, Highest: 1}})
	is.Equal(far.OnAsk(ask).Engine, member.UpstreamID(""))
	ask.Priority = 2
	is.True(far.OnAsk(ask).Engine != "")
	noObjective := newPlacementRequest("h1", "llm", time.Now(), policy.Request{Run: "s", PromptTokens: 3000, ArrivedAt: time.Now()})
	is.Equal(far.OnAsk(noObjective).Engine, member.UpstreamID(""))
	is.True(!noObjective.policyRequest(time.Now()).ArrivedAt.IsZero()) // takes no room kept for runs that move
	move := ask
	move.Run, move.Priority, move.Objective = "moving", 0, 0
	is.True(far.OnAsk(move).Engine != "") // a run that must move has a caller who reads
}

// TestPlacementPriority guards against short answers that are queued as equal to long ones because
// their accounts have an urgency, and against any other order without zone admission.
func TestPlacementPriority(t *testing.T) {
	is := is.New(t)
	priority := func(enabled bool, account, route Urgency) int {
		f := &Forwarder{}
		f.settings.Placement.ZoneAdmission = enabled
		return (&streamExchange{exchange: &exchange{Forwarder: f, urgency: account, route: Route{Urgency: route}}}).placementPriority()
	}
	is.True(priority(true, 3, 2) > priority(true, 3, 7))
	is.True(priority(true, 3, LeastUrgent) > priority(true, 4, 0)) // the account's urgency goes first
	is.Equal(priority(true, LeastUrgent, LeastUrgent), 0)
	is.Equal(priority(false, 3, 2), priority(false, 3, 7))
	is.Equal(priority(false, 3, 2), int(LeastUrgent-3))
}

// TestForecastRefusal guards against a forecast that the caller isn't told because refusals bound it.
func TestForecastRefusal(t *testing.T) {
	is := is.New(t)
	s := &streamExchange{exchange: &exchange{}}
	told := s.placementRefusal(t.Context(), policy.Decision{Reason: admission.ReasonForecast, RetryAfter: 9 * time.Second})
	is.Equal(told, Refusal{Code: CodeOverloaded, RetryAfter: 9 * time.Second})
}

func (p *remoteZonePeer) Admit(ctx context.Context, _ Peer, r AdmitRequest) (AdmitReply, error) {
	return p.remote.OnAdmit(ctx, r), nil
}

// TestDrainedZoneAsksAnother guards against hosts of a zone without engines that bypass the queues of
// the others, or are refused because they have only their own.
func TestDrainedZoneAsksAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far, _ := newTwoZoneHosts(t)
		for _, f := range []*Forwarder{near, far} {
			f.settings.Placement.ZoneAdmission = true
			f.fleet.ApplyZoneOrders(time.Now(), []ZoneOrder{outOfService("z1", 3)})
			f.updatePlacementEngines(time.Now(), f.Table())
		}
		fillEngine(t, far, "far1")
		fillEngine(t, far, "far2")
		full := far.engines.pools["llm"].ownRuns["fill-far2"]
		for _, run := range far.engines.pools["llm"].ownRuns {
			far.engines.recordFirstToken(time.Now(), "llm", run)
		}
		z := &admissionZone{objective: 39 * time.Second}
		got := z.ask(t.Context(), near, "r")
		is.Equal(far.ZoneQueueLength(), 1)
		far.engines.finish(time.Now(), "llm", full, false)
		result := <-got
		is.Equal(result.decision.Verdict, policy.Granted)
		is.Equal(result.upstream.ID, member.UpstreamID("far2"))
		is.Equal(far.ZoneQueueLength(), 0)
	})
}
