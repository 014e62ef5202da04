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

func serviceCall(route resource.Name, key string) ServiceRequest {
	return ServiceRequest{Account: "counter", Route: route, ID: "id", Method: "POST", Path: "/x", IdempotencyKey: key}
}

// TestServiceRetries checks that a call is repeated only if no byte can have been sent or if the
// route allows repeats.
func TestServiceRetries(t *testing.T) {
	for name, tt := range map[string]struct {
		route  resource.Name
		key    string
		err    error
		calls  int
		run    RunState
		denied bool
	}{
		"repeatable, well":             {"stock", "", nil, 1, "", false},
		"repeatable, not sent":         {"stock", "", ErrNotSent, 0, NotRun, true},
		"repeatable, lost":             {"stock", "", errAnswerLost, 3, Unknown, true},
		"not repeatable, well":         {"orders", "", nil, 1, "", false},
		"not repeatable, not sent":     {"orders", "", ErrNotSent, 0, NotRun, true},
		"not repeatable, lost":         {"orders", "", errAnswerLost, 1, Unknown, true},
		"not repeatable, crossed":      {"orders", "", ErrMismatchedAnswer, 1, Unknown, true},
		"not repeatable, cut short":    {"orders", "", ErrTruncatedAnswer, 1, Unknown, true},
		"claimed, well":                {"orders", "k", nil, 1, "", false},
		"claimed, not sent":            {"orders", "k", ErrNotSent, 0, NotRun, true},
		"claimed, lost":                {"orders", "k", errAnswerLost, 1, Unknown, true},
		"unknown route":                {"none", "", nil, 0, NotRun, true},
		"model route as service route": {"quote", "", nil, 0, NotRun, true},
	} {
		t.Run(name, func(t *testing.T) {
			withSite(t, nil, nil, func(t *testing.T, s *fakeSite, e *Entry) {
				is := is.New(t)
				s.addService("s2", "az2")
				s.addService("s3", "az3")
				time.Sleep(5 * time.Second)
				s.services.err = tt.err
				_, err := e.CallService(s.ctx, serviceCall(tt.route, tt.key))
				is.Equal(err != nil, tt.denied)
				var failure *Failure
				if errors.As(err, &failure) {
					is.Equal(failure.RunState, tt.run)
				}
				is.Equal(s.services.count(tt.key), tt.calls)
			})
		})
	}
}

// TestClaimAfterNotRun checks that a caller whose call failed with not_run can retry with the same
// key.
func TestClaimAfterNotRun(t *testing.T) {
	withSite(t, nil, nil, func(t *testing.T, s *fakeSite, e *Entry) {
		is := is.New(t)
		s.services.err = ErrNotSent
		_, err := e.CallService(s.ctx, serviceCall("orders", "k"))
		is.True(err != nil)
		s.services.err = nil
		time.Sleep(time.Second)
		_, err = e.CallService(s.ctx, serviceCall("orders", "k"))
		is.NoErr(err)
		is.Equal(s.services.count("k"), 1)
		_, err = e.CallService(s.ctx, serviceCall("orders", "k"))
		var failure *Failure
		is.True(errors.As(err, &failure))
		is.Equal(failure.Code, CodeDuplicateRequest)
		other := serviceCall("orders", "k")
		other.Body = []byte("another order")
		_, err = e.CallService(s.ctx, other)
		is.True(errors.As(err, &failure))
		is.Equal(failure.Code, CodeIdempotencyKeyReused)
		is.Equal(s.services.count("k"), 1)
	})
}

// TestAtMostOnceUnderFaults sends one call repeatedly through several entries, while the store
// refuses writes, loses writes or loses their answers. The call must not run twice, and if it ran,
// at least one caller must be told that it ran or that its outcome is unknown.
func TestAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]writeFault{
			faultNone, faultNotSent, faultAnswerLost, faultWriteLost,
		}), 0, 30).Draw(rt, "faults")
		entries := rapid.IntRange(1, 3).Draw(rt, "entries")
		rounds := rapid.IntRange(1, 3).Draw(rt, "rounds")
		loseAnswers := rapid.Bool().Draw(rt, "answers lost")
		var problem error
		synctest.Test(t, func(t *testing.T) { problem = checkCallUnderFaults(t, faults, entries, rounds, loseAnswers) })
		if problem != nil {
			rt.Fatal(problem)
		}
	})
}

func checkCallUnderFaults(t *testing.T, faults []writeFault, entryCount, rounds int, loseAnswers bool) error {
	ctx, cancel := context.WithCancel(t.Context())
	s := newFakeSite(ctx)
	defer s.running.Wait()
	defer cancel()
	var entries []*Entry
	for i := range entryCount {
		entries = append(entries, s.addEntry(member.HostID(fmt.Sprintf("e%d", i)), "az1"))
	}
	s.addService("s1", "az1")
	if err := s.declareSampleConfig(entries[0]); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	calls := 0
	s.store.mu.Lock()
	s.store.faultFor = func(string) writeFault {
		calls++
		if calls > len(faults) {
			return faultNone
		}
		return faults[calls-1]
	}
	s.store.mu.Unlock()
	s.services.delay = 100 * time.Millisecond
	if loseAnswers {
		s.services.err = errAnswerLost
	}
	var mu sync.Mutex
	ok, unknown := 0, 0
	for range rounds {
		var sending sync.WaitGroup
		for _, e := range entries {
			sending.Go(func() {
				_, err := e.CallService(ctx, serviceCall("orders", "k"))
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
	runs := s.services.count("k")
	switch {
	case runs > 1:
		return fmt.Errorf("the call ran %d times, want at most once", runs)
	case ok > 1:
		return fmt.Errorf("%d callers were told that their call ran, want at most 1", ok)
	case runs == 1 && ok == 0 && unknown == 0:
		return errors.New("the call ran, but every caller was told that it did not run")
	}
	return nil
}

// TestPausedClaimant checks that a call is not sent if its claim was made too long ago.
func TestPausedClaimant(t *testing.T) {
	withSite(t, nil, nil, func(t *testing.T, s *fakeSite, e *Entry) {
		is := is.New(t)
		// The write of the claim takes effect, but its answer takes longer than claimTimeout and
		// is then lost.
		s.store.mu.Lock()
		s.store.writeDelay = time.Hour
		s.store.faultFor = func(string) writeFault { return faultAnswerLost }
		s.store.mu.Unlock()
		_, err := e.CallService(s.ctx, serviceCall("orders", "k"))
		var failure *Failure
		is.True(errors.As(err, &failure))
		is.Equal(failure.RunState, NotRun)
		is.Equal(s.services.count("k"), 0)
	})
}

// TestCallRunsTwiceAfterARestore checks that a call isn't claimed and run again after a restore of
// the platform has lost its claim.
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
				items, index := s.store.snapshot()
				_, err := entries[0].CallService(t.Context(), serviceCall("orders", "k"))
				is.NoErr(err)
				is.Equal(s.services.count("k"), 1)
				s.store.restore(items, index)
				for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(300 * time.Millisecond) {
					_, err = entries[second].CallService(t.Context(), serviceCall("orders", "k"))
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
