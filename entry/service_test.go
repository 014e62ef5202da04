// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/resource"
)

func call(route resource.Name, key string) ServiceRequest {
	return ServiceRequest{Account: "counter", Route: route, ID: "id", Method: "POST", Path: "/x", IdempotencyKey: key}
}

// TestServiceRetries repeats a call only where no byte can have left, or where
// the route allows it.
func TestServiceRetries(t *testing.T) {
	for name, c := range map[string]struct {
		route  resource.Name
		key    string
		err    error
		calls  int
		run    RunState
		denied bool
	}{
		"repeatable, well":             {"stock", "", nil, 1, "", false},
		"repeatable, not sent":         {"stock", "", ErrNotSent, 0, NotRun, true},
		"repeatable, lost":             {"stock", "", errLost, 3, Unknown, true},
		"not repeatable, well":         {"orders", "", nil, 1, "", false},
		"not repeatable, not sent":     {"orders", "", ErrNotSent, 0, NotRun, true},
		"not repeatable, lost":         {"orders", "", errLost, 1, Unknown, true},
		"not repeatable, crossed":      {"orders", "", ErrCrossed, 1, Unknown, true},
		"not repeatable, cut short":    {"orders", "", ErrCutShort, 1, Unknown, true},
		"claimed, well":                {"orders", "k", nil, 1, "", false},
		"claimed, not sent":            {"orders", "k", ErrNotSent, 0, NotRun, true},
		"claimed, lost":                {"orders", "k", errLost, 1, Unknown, true},
		"unknown route":                {"none", "", nil, 0, NotRun, true},
		"model route as service route": {"quote", "", nil, 0, NotRun, true},
	} {
		t.Run(name, func(t *testing.T) {
			inSite(t, nil, nil, func(t *testing.T, s *fakeSite, e *Entry) {
				is := is.New(t)
				s.addService("s2", "az2")
				s.addService("s3", "az3")
				time.Sleep(5 * time.Second)
				s.services.err = c.err
				_, err := e.CallService(s.ctx, call(c.route, c.key))
				is.Equal(err != nil, c.denied)
				var failure *Failure
				if errors.As(err, &failure) {
					is.Equal(failure.RunState, c.run)
				}
				is.Equal(s.services.count(c.key), c.calls)
			})
		})
	}
}

// TestClaimAfterNotRun lets a caller that was told not_run try again with its
// key.
func TestClaimAfterNotRun(t *testing.T) {
	inSite(t, nil, nil, func(t *testing.T, s *fakeSite, e *Entry) {
		is := is.New(t)
		s.services.err = ErrNotSent
		_, err := e.CallService(s.ctx, call("orders", "k"))
		is.True(err != nil)
		s.services.err = nil
		time.Sleep(time.Second)
		_, err = e.CallService(s.ctx, call("orders", "k"))
		is.NoErr(err)
		is.Equal(s.services.count("k"), 1)
		_, err = e.CallService(s.ctx, call("orders", "k"))
		var failure *Failure
		is.True(errors.As(err, &failure))
		is.Equal(failure.Code, CodeDuplicateRequest)
		other := call("orders", "k")
		other.Body = []byte("another order")
		_, err = e.CallService(s.ctx, other)
		is.True(errors.As(err, &failure))
		is.Equal(failure.Code, CodeIdempotencyKeyReused)
		is.Equal(s.services.count("k"), 1)
	})
}

// TestAtMostOnceUnderFaults sends one call through several entries, again and
// again, while the platform refuses, loses and half-loses writes. It is never
// run twice, and when any caller was told not_run by all, it wasn't run.
func TestAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]writeFault{
			faultNone, faultNotSent, faultLost, faultDropped,
		}), 0, 30).Draw(rt, "faults")
		entries := rapid.IntRange(1, 3).Draw(rt, "entries")
		rounds := rapid.IntRange(1, 3).Draw(rt, "rounds")
		lost := rapid.Bool().Draw(rt, "answers lost")
		var problem error
		synctest.Test(t, func(t *testing.T) { problem = callUnderFaults(t, faults, entries, rounds, lost) })
		if problem != nil {
			rt.Fatal(problem)
		}
	})
}

func callUnderFaults(t *testing.T, faults []writeFault, count, rounds int, lost bool) error {
	ctx, cancel := context.WithCancel(t.Context())
	s := newFakeSite(ctx)
	defer s.wait.Wait()
	defer cancel()
	var entries []*Entry
	for i := range count {
		entries = append(entries, s.add(member.HostID(fmt.Sprintf("e%d", i)), "az1"))
	}
	s.addService("s1", "az1")
	if err := s.declare(entries[0]); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	calls := 0
	s.store.mu.Lock()
	s.store.fault = func(string) writeFault {
		calls++
		if calls > len(faults) {
			return faultNone
		}
		return faults[calls-1]
	}
	s.store.mu.Unlock()
	s.services.delay = 100 * time.Millisecond
	if lost {
		s.services.err = errLost
	}
	var mu sync.Mutex
	ok, unknown := 0, 0
	for range rounds {
		var sending sync.WaitGroup
		for _, e := range entries {
			sending.Go(func() {
				_, err := e.CallService(ctx, call("orders", "k"))
				mu.Lock()
				defer mu.Unlock()
				var failure *Failure
				switch {
				case err == nil:
					ok++
				case errors.As(err, &failure) && failure.RunState == Unknown:
					unknown++
				}
			})
		}
		sending.Wait()
	}
	ran := s.services.count("k")
	switch {
	case ran > 1:
		return fmt.Errorf("the call ran %d times", ran)
	case ok > 1:
		return fmt.Errorf("%d callers were told that theirs ran", ok)
	case ran == 1 && ok == 0 && unknown == 0:
		return errors.New("the call ran, and all callers were told that it didn't")
	}
	return nil
}

// TestPausedClaimant never sends a call that it claimed too long ago.
func TestPausedClaimant(t *testing.T) {
	inSite(t, nil, nil, func(t *testing.T, s *fakeSite, e *Entry) {
		is := is.New(t)
		// The pause: the claim's write takes effect, and its answer is lost for
		// longer than the claimant may take.
		s.store.mu.Lock()
		s.store.slow = time.Hour
		s.store.fault = func(string) writeFault { return faultLost }
		s.store.mu.Unlock()
		_, err := e.CallService(s.ctx, call("orders", "k"))
		var failure *Failure
		is.True(errors.As(err, &failure))
		is.Equal(failure.RunState, NotRun)
		is.Equal(s.services.count("k"), 0)
	})
}

// TestCallRunsTwiceAfterARestore: a claim that the platform has lost must not be made again.
func TestCallRunsTwiceAfterARestore(t *testing.T) {
	for name, second := range map[string]int{"at the same entry": 0, "at another": 1, "in another zone": 2} {
		t.Run(name, func(t *testing.T) {
			runInThreeZones(t, func(t *testing.T, s *fakeSite, entries []*Entry) {
				is := is.New(t)
				s.store.mu.Lock()
				s.store.era = 1
				s.store.mu.Unlock()
				s.addService("s2", "az2")
				time.Sleep(time.Minute)
				items, index := s.store.copy()
				_, err := entries[0].CallService(t.Context(), call("orders", "k"))
				is.NoErr(err)
				is.Equal(s.services.count("k"), 1)
				s.store.restore(items, index)
				for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(300 * time.Millisecond) {
					_, err = entries[second].CallService(t.Context(), call("orders", "k"))
					is.True(err != nil)
				}
				is.Equal(s.services.count("k"), 1)
				var failure *Failure
				is.True(errors.As(err, &failure))
				is.Equal(failure.Code, CodeDuplicateRequest)
			})
		})
	}
}
