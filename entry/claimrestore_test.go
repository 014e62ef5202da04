// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedpath/shedpath/claim"
	"github.com/shedpath/shedpath/member"
)

// runOnRestorableSite runs a test on three entries in zones of their own, whose store reports an
// era and has been running for a minute.
func runOnRestorableSite(t *testing.T, test func(is *is.I, s *fakeSite, entries []*Entry)) {
	t.Helper()
	runInThreeZones(t, func(t *testing.T, s *fakeSite, entries []*Entry) {
		s.store.mu.Lock()
		s.store.era = 1
		s.store.mu.Unlock()
		s.addService("s2", "az2")
		time.Sleep(time.Minute)
		test(is.New(t), s, entries)
	})
}

// callUntilRun repeats a call every 300 ms until it has run, for at most 30 seconds.
func callUntilRun(s *fakeSite, e *Entry, key string) error {
	var err error
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(300 * time.Millisecond) {
		if _, err = e.CallService(s.ctx, serviceCall("orders", key)); err == nil {
			return nil
		}
	}
	return err
}

// TestTemporaryClaimDuringRepair checks that a claim is repaired although another attempt holds the
// key when the restored platform is first seen, and removes its claim later. The call then ran again
// once claims were allowed.
func TestTemporaryClaimDuringRepair(t *testing.T) {
	for name, second := range map[string]int{"of the same entry": 0, "of another": 1} {
		t.Run(name, func(t *testing.T) {
			runOnRestorableSite(t, func(is *is.I, s *fakeSite, entries []*Entry) {
				call := serviceCall("orders", "k")
				key := claim.Key(call.Account, call.Route, call.IdempotencyKey)
				temporary := claim.NewAttempt(claim.Record{Claimant: "temporary"}, time.Now())
				entries[second].createClaim(s.ctx, key, temporary)
				items, index := s.store.snapshot()
				entries[second].abandonClaim(key, temporary)
				synctest.Wait()
				_, err := entries[0].CallService(s.ctx, call)
				is.NoErr(err)
				time.Sleep(time.Second) // the outcome is recorded
				s.store.restore(items, index)
				time.Sleep(3 * time.Second)
				entries[second].abandonClaim(key, temporary)
				is.True(callUntilRun(s, entries[2], "k") != nil)
				is.Equal(s.services.count("k"), 1)
			})
		})
	}
}

// TestHoldDuringRestore checks that a claim isn't held once a restore is known. Its call was sent,
// and its claim was not part of the repair.
func TestHoldDuringRestore(t *testing.T) {
	is := is.New(t)
	var k claimHistory
	now := time.Now()
	_, isFirst := k.observeEra(now, 1)
	is.True(isFirst)
	k.joined()
	held, blocked := k.hold(now, "k1", claim.Record{Claimant: "c1"})
	is.Equal(blocked, time.Duration(0))
	repair, _ := k.observeEra(now, 2)
	is.Equal(repair, []*recentClaim{held})
	held, blocked = k.hold(now, "k2", claim.Record{Claimant: "c2"})
	is.True(held == nil)
	is.Equal(blocked, restoreSettleTime)
}

// TestReleasedClaimAfterRestore checks that a caller whose call failed with not_run can
// repeat it after a restore, whether or not the copy has the claim. The claim came back for good.
func TestReleasedClaimAfterRestore(t *testing.T) {
	for name, copiedAfter := range map[string]time.Duration{"copy without the claim": 0, "copy with the claim": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			runOnRestorableSite(t, func(is *is.I, s *fakeSite, entries []*Entry) {
				s.services.mu.Lock()
				s.services.err, s.services.delay = ErrNotSent, 100*time.Millisecond
				s.services.mu.Unlock()
				items, index := s.store.snapshot()
				called := make(chan error)
				go func() {
					_, err := entries[0].CallService(s.ctx, serviceCall("orders", "k"))
					called <- err
				}()
				if copiedAfter > 0 {
					time.Sleep(copiedAfter)
					items, index = s.store.snapshot()
				}
				var failure *Failure
				is.True(errors.As(<-called, &failure))
				is.Equal(failure.RunState, NotRun)
				time.Sleep(time.Second)
				s.services.mu.Lock()
				s.services.err = nil
				s.services.mu.Unlock()
				s.store.restore(items, index)
				is.NoErr(callUntilRun(s, entries[1], "k"))
				is.Equal(s.services.count("k"), 1)
			})
		})
	}
}

// TestOutcomeSurvivesRestore checks that a second caller learns the status of the first call after
// a restore. The repaired claim had lost it.
func TestOutcomeSurvivesRestore(t *testing.T) {
	runOnRestorableSite(t, func(is *is.I, s *fakeSite, entries []*Entry) {
		items, index := s.store.snapshot()
		_, err := entries[0].CallService(s.ctx, serviceCall("orders", "k"))
		is.NoErr(err)
		time.Sleep(time.Second)
		s.store.restore(items, index)
		var failure *Failure
		is.True(errors.As(callUntilRun(s, entries[1], "k"), &failure))
		is.Equal(failure.Code, CodeDuplicateRequest)
		is.Equal(failure.RunState, NotRun)
	})
}

// TestSecondRestore checks that a claim that was repaired is repaired again after another restore,
// even if it was made longer ago than claimRetention.
func TestSecondRestore(t *testing.T) {
	runOnRestorableSite(t, func(is *is.I, s *fakeSite, entries []*Entry) {
		items, index := s.store.snapshot()
		_, err := entries[0].CallService(s.ctx, serviceCall("orders", "k"))
		is.NoErr(err)
		for range 4 {
			time.Sleep(20 * time.Second)
			s.store.restore(items, index)
		}
		is.True(callUntilRun(s, entries[1], "k") != nil)
		is.Equal(s.services.count("k"), 1)
	})
}

// TestRestoreAfterLongRepair guards against a call that runs again after a second restore, from a copy that was taken while
// the repair after the first one couldn't write for most of claimRetention.
func TestRestoreAfterLongRepair(t *testing.T) {
	runOnRestorableSite(t, func(is *is.I, s *fakeSite, entries []*Entry) {
		setFault := func(f writeFault) {
			s.store.mu.Lock()
			defer s.store.mu.Unlock()
			s.store.faultFor = func(string) writeFault { return f }
		}
		items, index := s.store.snapshot()
		_, err := entries[0].CallService(s.ctx, serviceCall("orders", "k"))
		is.NoErr(err)
		time.Sleep(time.Second)
		setFault(faultNotSent)
		s.store.restore(items, index)
		time.Sleep(claimRetention - 5*time.Second)
		items, index = s.store.snapshot()
		setFault(faultNone)
		time.Sleep(10 * time.Second) // the repair ends
		s.store.restore(items, index)
		is.True(callUntilRun(s, entries[1], "k") != nil)
		is.Equal(s.services.count("k"), 1)
	})
}

// TestEntryStartedAfterRestore checks that an entry that starts after a restore makes no claims
// until the others have repaired theirs. It took the restored era for an old one.
func TestEntryStartedAfterRestore(t *testing.T) {
	runOnRestorableSite(t, func(is *is.I, s *fakeSite, entries []*Entry) {
		items, index := s.store.snapshot()
		_, err := entries[0].CallService(s.ctx, serviceCall("orders", "k"))
		is.NoErr(err)
		s.stores["e1"].setDisconnected(true)
		s.store.restore(items, index)
		started := s.addEntry("e4", "az4")
		for !started.Ready() {
			time.Sleep(time.Millisecond)
		}
		s.stores["e1"].setDisconnected(false)
		is.True(callUntilRun(s, started, "k") != nil)
		is.Equal(s.services.count("k"), 1)
	})
}

// TestEntryStartedInOldEra checks that an entry that starts long after a restore soon makes claims:
// its peers say that the era is old.
func TestEntryStartedInOldEra(t *testing.T) {
	runOnRestorableSite(t, func(is *is.I, s *fakeSite, _ []*Entry) {
		started := s.addEntry("e4", "az4")
		time.Sleep(2 * time.Second)
		_, err := started.CallService(s.ctx, serviceCall("orders", "k"))
		is.NoErr(err)
	})
}

// TestEntryStartedBesideDeadPeer checks that an entry that starts while a listed peer is down makes
// claims after restoreSettleTime, and asks callers to come back until then.
func TestEntryStartedBesideDeadPeer(t *testing.T) {
	runOnRestorableSite(t, func(is *is.I, s *fakeSite, _ []*Entry) {
		s.hosts.update(func(list *member.HostList) {
			list.Entries = append(list.Entries, member.Entry{ID: "e9", Zone: "az1", PeerAddress: "e9"})
		})
		started := s.addEntry("e4", "az4")
		time.Sleep(time.Second)
		_, err := started.CallService(s.ctx, serviceCall("orders", "k"))
		var failure *Failure
		is.True(errors.As(err, &failure))
		is.Equal(failure.Code, CodeClaimUnavailable)
		is.Equal(failure.RunState, NotRun)
		is.True(failure.RetryAfter > 0 && failure.RetryAfter <= restoreSettleTime)
		time.Sleep(restoreSettleTime)
		_, err = started.CallService(s.ctx, serviceCall("orders", "k"))
		is.NoErr(err)
	})
}

// TestManyClaimsAreRepaired checks that no entry makes new claims while another one still repairs
// its own. Claims were allowed again after a fixed time, when only a part had been written.
func TestManyClaimsAreRepaired(t *testing.T) {
	const calls = 3000
	runOnRestorableSite(t, func(is *is.I, s *fakeSite, entries []*Entry) {
		items, index := s.store.snapshot()
		for n := range calls {
			_, err := entries[0].CallService(s.ctx, serviceCall("orders", fmt.Sprint("k", n)))
			is.NoErr(err)
		}
		s.store.mu.Lock()
		s.store.writeDelay = 100 * time.Millisecond
		s.store.mu.Unlock()
		s.store.restore(items, index)
		for until := time.Now().Add(time.Minute); time.Now().Before(until); time.Sleep(time.Second) {
			for range 10 {
				_, err := entries[1].CallService(s.ctx, serviceCall("orders", fmt.Sprint("k", rand.IntN(calls))))
				is.True(err != nil)
			}
		}
		for n := range calls {
			is.Equal(s.services.count(fmt.Sprint("k", n)), 1)
		}
	})
}

// TestAtMostOnceAcrossRestores sends calls repeatedly through several entries, while the store is
// restored from copies of its past and writes and services fail. No call may run twice.
func TestAtMostOnceAcrossRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawRestoreStep), 5, 60).Draw(rt, "steps")
		var problem error
		synctest.Test(t, func(t *testing.T) { problem = checkCallsAcrossRestores(t, steps) })
		if problem != nil {
			rt.Fatal(problem)
		}
	})
}

// restoreStep is one step of TestAtMostOnceAcrossRestores.
type restoreStep struct {
	action   string
	entry    int
	key      string
	fault    writeFault
	pause    time.Duration
	services error
}

func drawRestoreStep(t *rapid.T) restoreStep {
	return restoreStep{
		action:   rapid.SampledFrom([]string{"call", "call", "call", "copy", "restore", "fault", "services"}).Draw(t, "action"),
		entry:    rapid.IntRange(0, 2).Draw(t, "entry"),
		key:      rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key"),
		fault:    rapid.SampledFrom([]writeFault{faultNone, faultNone, faultNotSent, faultAnswerLost, faultWriteLost}).Draw(t, "fault"),
		pause:    time.Duration(rapid.SampledFrom([]int{0, 0, 1, 100, 1000, 5000, 20000}).Draw(t, "pause")) * time.Millisecond,
		services: rapid.SampledFrom([]error{nil, ErrNotSent, errAnswerLost}).Draw(t, "services"),
	}
}

// maxCopyAge is the age of the oldest copy that the store is restored from.
const maxCopyAge = 30 * time.Second

func checkCallsAcrossRestores(t *testing.T, steps []restoreStep) error {
	ctx, cancel := context.WithCancel(t.Context())
	s := newFakeSite(ctx)
	defer s.running.Wait()
	defer cancel()
	s.store.era = 1
	var entries []*Entry
	for n := range 3 {
		entries = append(entries, s.addEntry(member.HostID(fmt.Sprint("e", n+1)), member.Zone(fmt.Sprint("az", n+1))))
	}
	s.addService("s1", "az1")
	if err := s.declareSampleConfig(entries[0]); err != nil {
		return err
	}
	time.Sleep(10 * time.Second)
	items, index := s.store.snapshot()
	copiedAt := time.Now()
	var sending sync.WaitGroup
	for _, step := range steps {
		if time.Since(copiedAt) > maxCopyAge {
			items, index = s.store.snapshot()
			copiedAt = time.Now()
		}
		switch step.action {
		case "copy":
			items, index = s.store.snapshot()
			copiedAt = time.Now()
		case "restore":
			s.store.restore(items, index)
		case "fault":
			s.store.mu.Lock()
			s.store.faultFor = func(string) writeFault { return step.fault }
			s.store.mu.Unlock()
		case "services":
			s.services.mu.Lock()
			s.services.err = step.services
			s.services.mu.Unlock()
		default:
			sending.Go(func() { _, _ = entries[step.entry].CallService(ctx, serviceCall("orders", step.key)) })
		}
		time.Sleep(step.pause)
	}
	sending.Wait()
	for _, key := range []string{"k1", "k2", "k3"} {
		if runs := s.services.count(key); runs > 1 {
			return fmt.Errorf("call %s ran %d times, want at most once", key, runs)
		}
	}
	return nil
}
