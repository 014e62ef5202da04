// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// TestProbe checks that engines with runs are probed as soon as the list is unavailable, and
// that an unhealthy engine counts as leaving.
func TestProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var asked atomic.Int32
		transport := &fakeTransport{checkHealth: func(u Upstream) (bool, error) {
			asked.Add(1)
			return u.ID != "llm1", nil
		}}
		f := newForwarder(t, transport)
		ctx, cancel := context.WithCancel(t.Context())
		origin := &failingOrigin{}
		go f.Follow(ctx, origin)
		go f.RunProbes(ctx)
		synctest.Wait() // the list is read
		f.updatePlacementEngines(time.Now(), f.Table())
		_, run, _ := f.engines.place(ctx, time.Now(), "llm", policy.Request{Run: "r", PromptTokens: 100})
		is.Equal(run.engine, member.UpstreamID("llm1"))
		time.Sleep(4 * time.Second)
		is.Equal(asked.Load(), int32(0)) // each answer has a cost
		origin.failing.Store(true)
		time.Sleep(time.Second) // well before the proof of the list is too old
		is.True(asked.Load() > 0)
		select {
		case <-f.fleet.LeavingStarted("llm1"):
		default:
			t.Error("engine llm1 is unhealthy but does not count as leaving")
		}
		is.Equal(f.OnFollow(ctx, FollowRequest{}).OriginAge > maxOriginProofAge, true)
		cancel()
		synctest.Wait()
	})
}

// TestProbeListSuspected checks that engines are probed for a while after one ended without
// notice, although the list is available.
func TestProbeListSuspected(t *testing.T) {
	for name, c := range map[string]struct {
		// listed says that the list reported the engine as leaving before it ended.
		listed bool
		marked bool
	}{
		"it went without notice":   {false, true},
		"the list told it, before": {true, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				transport := &fakeTransport{checkHealth: func(u Upstream) (bool, error) { return u.ID != "llm2", nil }}
				var f *Forwarder
				transport.send = func(_ context.Context, u Upstream, _ *UpstreamRequest) (*Response, error) {
					if c.listed {
						f.fleet.MarkLeaving(time.Now(), u.ID, 0, false)
					}
					return brokenAnswer("id: 1\n\n"), nil
				}
				f = newForwarder(t, transport)
				ctx, cancel := context.WithCancel(t.Context())
				go f.RunProbes(ctx)
				synctest.Wait()
				f.updatePlacementEngines(time.Now(), f.Table())
				f.Serve(ctx, call("/llm/"), &fakeSink{}) // placed on llm1
				f.engines.setAvailable(time.Now(), "llm", []Upstream{{ID: "llm2", Service: "llm", Zone: "z1"}})
				_, run, _ := f.engines.place(ctx, time.Now(), "llm", policy.Request{Run: "r", PromptTokens: 100})
				is.Equal(run.engine, member.UpstreamID("llm2"))
				time.Sleep(2 * probeInterval)
				u, _ := f.fleet.Upstream("llm2")
				is.Equal(u.Leaving, c.marked)
				is.True(!f.isListSuspect(time.Now().Add(listSuspectDuration))) // the suspicion expires
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestHintedLeaving checks that an engine that hints that it is leaving is probed at once, and
// counts as leaving only if the probe confirms it.
func TestHintedLeaving(t *testing.T) {
	for name, c := range map[string]struct {
		hint, well bool
		asked      int32
		leaving    bool
	}{
		"no hint":               {false, false, 0, false},
		"a hint, and it leaves": {true, false, 1, true},
		"a hint, but it stays":  {true, true, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var asked atomic.Int32
				transport := &fakeTransport{checkHealth: func(Upstream) (bool, error) {
					asked.Add(1)
					return c.well, nil
				}}
				transport.send = func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
					a := answer(200, "id: 1\n\n")
					a.Signals.Closing = c.hint
					return a, nil
				}
				f := newForwarder(t, transport)
				f.Serve(t.Context(), call("/llm/"), &fakeSink{})
				synctest.Wait()
				is.Equal(asked.Load(), c.asked)
				u, _ := f.fleet.Upstream(transport.sentTo()[0])
				is.Equal(u.Leaving, c.leaving)
			})
		})
	}
}
